"""What the days of shards are held to. Each check counts its breaches and its occasions, and does not hold
without an occasion.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from functools import lru_cache
from itertools import pairwise

from sailrun.decisions.placement import MASK, key_hash
from sailrun.lab.checks import Check
from sailrun.lab.faults.history import Counted, Judge, Row, fault
from sailrun.lab.faults.shard_history import (
    Generation,
    Owned,
    ShardHistory,
    ShardKey,
    shard_of,
    shards_of,
    token_of,
)
from sailrun.lab.faults.shard_world import REGIONS, SHARDS_OF_A_REGION
from sailrun.sharding.placement import node_hash, shard_key

SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class Expected:
    """What a plan is held to beside the rules of every day."""

    moves: bool = True  # shards move; otherwise no generation may follow once faults began
    assigner_changes: bool = True
    refusals: bool = False  # acts that come late are refused on each such day; on others they may be
    owned_within_s: float = 14.0  # of the last fault, every shard is owned


class ShardJudge:
    def __init__(self, rows: list[Row], begin_us: int, end_us: int, expected: Expected) -> None:
        self.history = ShardHistory(rows)
        self.rows = self.history.rows
        self._begin_us, self._end_us, self._expected = begin_us, end_us, expected
        self._leases = Judge(rows, {}, begin_us, end_us)

    def checks(self) -> list[Check]:
        expected = self._expected
        found: list[Check] = [
            self.acts_only_while_owner(),
            self.one_content(),
            self.used_only_where_placed(),
            self.owned_after_the_faults(),
        ]
        if expected.moves:
            found += [
                self.one_owner(),
                self.generations_grow_at_a_node(),
                self.moves_with_cause(),
                self.sessions_end_unused(),
                self.no_lower_token_at_a_receiver(),
                self.tokens_grow(),
            ]
        else:
            found.append(self.nothing_moved())
        refused = self.only_the_past_is_refused()
        if expected.refusals or refused.occasions:
            found.append(refused)
        if expected.assigner_changes:
            found += [check for check in self._leases.checks() if check.name in LEASE_CHECKS]
        return found

    def _fault(self, check: Check, at_us: int, what: str) -> None:
        fault(check, at_us - self._begin_us, what)

    # ------------------------------------------------------------------ who uses what

    def one_owner(self) -> Counted:
        """Never two sessions that use one shard at an instant. Occasions: changes of owner."""
        check = Counted("one-owner-of-a-shard", occasions=0)
        for key, spans in self.history.owned.items():
            latest: Owned | None = None
            for span in sorted(spans, key=lambda s: s.begin_us):
                if latest is not None and span.session != latest.session:
                    check.occasions += 1
                    if span.begin_us < latest.end_us:
                        what = f"{_shown(key)}: {span.node} and {latest.node} both use it"
                        self._fault(check, span.begin_us, what)
                if latest is None or span.end_us > latest.end_us:
                    latest = span
        return check

    def acts_only_while_owner(self) -> Counted:
        """No act is made but by who uses the shard then. Occasions: acts made."""
        check = Counted("acts-only-while-owner", occasions=0)
        for row in self._of("shard-act"):
            check.occasions += 1
            key, at_us, session = shard_of(row), row["at_us"], int(row["session"])
            spans = self.history.owned.get(key, ())
            if not any(s.session == session and s.begin_us <= at_us <= s.end_us for s in spans):
                self._fault(check, at_us, f"{_shown(key)}: {row['node']} acts under session {session}")
        return check

    def used_only_where_placed(self) -> Counted:
        """Nobody uses what the sessions of its generation do not place on it. Occasions: shards told of."""
        check = Counted("used-only-where-placed", occasions=0)
        for row in self._of("shards"):
            generation = self.history.generations.get((row["region"], int(row["generation"])))
            for shard in shards_of(row):
                check.occasions += 1
                owner = placed(row["region"], shard, generation.text) if generation is not None else 0
                if owner != int(row["session"]):
                    what = f"{row['region']}/{shard}: {row['node']} uses what is placed on session {owner}"
                    self._fault(check, row["at_us"], what)
        return check

    def owned_after_the_faults(self) -> Counted:
        """Some time after the last fault every shard is used, without a gap to the end. Occasions: shards."""
        check = Counted("owned-after-the-faults", occasions=0)
        from_us = self.last_fault_us() + int(self._expected.owned_within_s * SECOND)
        if from_us >= self._end_us:
            return check
        for region in REGIONS:
            for shard in range(SHARDS_OF_A_REGION):
                check.occasions += 1
                gap_us = _uncovered(self.history.owned.get((region, shard), []), from_us, self._end_us)
                if gap_us is not None:
                    self._fault(check, gap_us, f"{region}/{shard}: nobody uses it")
        return check

    def last_fault_us(self) -> int:
        """When the nemesis did something for the last time, or a process came or went."""
        kinds = ("fault", "died", "started")
        return max(
            (r["at_us"] for r in self.rows if r["kind"] in kinds and r["at_us"] < self._end_us),
            default=self._begin_us,
        )

    # ------------------------------------------------------------------ why it moves

    def moves_with_cause(self) -> Counted:
        """A shard changes owner only as the former session has ended, or as one joined that scores higher.
        Occasions: changes of owner.
        """
        check = Counted("moved-only-with-cause", occasions=0)
        for key, spans in self.history.owned.items():
            ordered = sorted(spans, key=lambda s: s.begin_us)
            for before, after in pairwise(ordered):
                if before.session == after.session:
                    continue
                check.occasions += 1
                if not self._has_cause(key, before, after):
                    what = f"{_shown(key)}: from {before.node} to {after.node} without a cause"
                    self._fault(check, after.begin_us, what)
        return check

    def _has_cause(self, key: ShardKey, before: Owned, after: Owned) -> bool:
        then = self._sessions_of(key[0], after.generation)
        if before.session not in then:
            return True
        joined = after.session not in self._sessions_of(key[0], before.generation)
        return joined and _beats(key, after.node, before.node)

    def _sessions_of(self, region: str, generation: int) -> dict[int, str]:
        known = self.history.generations.get((region, generation))
        return known.sessions() if known is not None else {}

    def sessions_end_unused(self) -> Counted:
        """A session is taken out of the table only once its node uses it no more. Occasions: sessions that
        were used and are out.
        """
        check = Counted("sessions-end-unused", occasions=0)
        for region in REGIONS:
            in_force: set[int] = set()
            for generation in self._in_order(region):
                sessions = set(generation.sessions())
                for number in in_force - sessions:
                    used = self.history.sessions.get((region, number))
                    if used is None:
                        continue
                    check.occasions += 1
                    if used.end_us > generation.first_us:
                        what = f"{region}: session {number} of {used.node} is out and in use"
                        self._fault(check, generation.first_us, what)
                in_force = sessions
        return check

    def nothing_moved(self) -> Counted:
        """No generation follows once faults have begun. Occasions: faults that began something."""
        check = Counted("nothing-moved", occasions=0)
        strikes = [r for r in self._of("fault") if r["what"] in STRIKES]
        strikes += [r for r in self._of("died") if r["at_us"] < self._end_us]
        check.occasions = len(strikes)
        first_us = min((r["at_us"] for r in strikes), default=self._end_us)
        for (region, number), generation in self.history.generations.items():
            if generation.first_us > first_us:
                self._fault(check, generation.first_us, f"{region}: generation {number} follows")
        return check

    # ------------------------------------------------------------------ generations

    def one_content(self) -> Counted:
        """A generation holds the same sessions wherever it is known. Occasions: nodes that go by one that
        another went by before.
        """
        check = Counted("one-content-of-a-generation", occasions=0)
        seen: set[tuple[str, int]] = set()
        for row in self._of("shards-generation"):
            key = (row["region"], int(row["generation"]))
            if key in seen:
                check.occasions += 1
                if str(row["sessions"]) != self.history.generations[key].text:
                    what = f"{key[0]}: generation {key[1]} is another at {row['node']}"
                    self._fault(check, row["at_us"], what)
            seen.add(key)
        return check

    def generations_grow_at_a_node(self) -> Counted:
        """Within a session a node goes on only to higher generations. Occasions: steps."""
        check = Counted("generations-grow-at-a-node", occasions=0)
        latest: dict[tuple[str, int], int] = {}
        for row in self._of("shards-generation"):
            key, generation = (row["node"], int(row["session"])), int(row["generation"])
            if key in latest:
                check.occasions += 1
                if generation <= latest[key]:
                    what = f"{row['node']}: generation {generation} after {latest[key]}"
                    self._fault(check, row["at_us"], what)
            latest[key] = max(generation, latest.get(key, 0))
        return check

    def _in_order(self, region: str) -> list[Generation]:
        found = [g for (name, _), g in self.history.generations.items() if name == region]
        return sorted(found, key=lambda g: g.number)

    # ------------------------------------------------------------------ tokens

    def no_lower_token_at_a_receiver(self) -> Counted:
        """Whoever took an act takes none with a lower token for that shard, while its process lasts.
        Occasions: tokens taken after another.
        """
        check = Counted("no-lower-token-at-a-receiver", occasions=0)
        for row, highest in self._with_highest("shard-take"):
            if highest is None or token_of(row) == highest:
                continue
            check.occasions += 1
            if token_of(row) < highest:
                what = f"{_shown(shard_of(row))}: {row['node']} took {token_of(row)} after {highest}"
                self._fault(check, row["at_us"], what)
        return check

    def only_the_past_is_refused(self) -> Counted:
        """No act is refused but after a higher token. Occasions: refusals."""
        check = Counted("only-the-past-is-refused", occasions=0)
        for row, highest in self._with_highest("shard-refuse"):
            check.occasions += 1
            if highest is None or token_of(row) >= highest:
                what = f"{_shown(shard_of(row))}: {row['node']} refused {token_of(row)}"
                self._fault(check, row["at_us"], what)
        return check

    def _with_highest(self, kind: str) -> Iterator[tuple[Row, tuple[int, int] | None]]:
        """Rows of a kind, each with the highest token its process had taken for the shard before."""
        highest: dict[tuple[str, ShardKey], tuple[int, int]] = {}
        for row in self.rows:
            if row["kind"] == "died":
                for gone in [key for key in highest if key[0] == row["node"]]:
                    del highest[gone]
            if row["kind"] not in ("shard-take", "shard-refuse"):
                continue
            key = (row["node"], shard_of(row))
            if row["kind"] == kind:
                yield row, highest.get(key)
            if row["kind"] == "shard-take":
                highest[key] = max(token_of(row), highest.get(key, (0, 0)))

    def tokens_grow(self) -> Counted:
        """Of two acts for a shard the later one, by when they were made, has no lower token, whoever made
        them. Occasions: acts under another token than the one before.
        """
        check = Counted("tokens-grow", occasions=0)
        highest: dict[ShardKey, tuple[int, int]] = {}
        for row in self._of("shard-act"):
            key, token = shard_of(row), token_of(row)
            before = highest.get(key)
            if before is not None and token != before:
                check.occasions += 1
                if token < before:
                    self._fault(check, row["at_us"], f"{_shown(key)}: {row['node']} acts by {token}")
            highest[key] = max(token, before or token)
        return check

    # ------------------------------------------------------------------ figures

    def figures(self) -> dict[str, float]:
        """How a day went. Seconds without owner are those between two owners, faults or none."""
        gaps = [gap for spans in self.history.owned.values() for gap in _gaps_s(spans)]
        found = {
            "generations": float(len(self.history.generations)),
            "changes_of_owner": float(self.one_owner().occasions),
            "changes_of_assigner": float(
                sum(max(0, len(spans) - 1) for spans in self._leases.holds.values())
            ),
            "acts_made": float(len(self._of("shard-act"))),
            "acts_taken": float(len(self._of("shard-take"))),
            "acts_refused": float(len(self._of("shard-refuse"))),
            "acts_taken_after_a_higher_elsewhere": float(self._taken_late()),
        }
        if gaps:
            found["s_without_owner_median"] = sorted(gaps)[len(gaps) // 2]
            found["s_without_owner_most"] = max(gaps)
        return found

    def _taken_late(self) -> int:
        """Acts that a member took though another one had taken a higher token: each has its own fence."""
        highest: dict[ShardKey, tuple[int, int]] = {}
        late = 0
        for row in self._of("shard-take"):
            key, token = shard_of(row), token_of(row)
            late += token < highest.get(key, token)
            highest[key] = max(token, highest.get(key, token))
        return late

    def _of(self, kind: str) -> list[Row]:
        return [row for row in self.rows if row["kind"] == kind]


# The checks of `history.py` that the leases on being the assigner are held to.
LEASE_CHECKS = ("one-owner-at-a-time", "no-term-given-twice", "terms-grow")
# Faults that begin something, as the nemesis tells of them.
STRIKES = ("cut", "stop", "leave", "hold-back")


def _shown(key: ShardKey) -> str:
    return f"{key[0]}/{key[1]}"


@lru_cache(maxsize=65_536)
def placed(region: str, shard: int, sessions: str) -> int:
    """The session a shard is placed on among those (`NAME:NUMBER,...`); 0: there are none. Worked out score
    by score, apart from the placement that nodes use.
    """
    pairs = [word.split(":") for word in sessions.split(",") if ":" in word]
    if not pairs:
        return 0
    best = min(pairs, key=lambda pair: (-_score((region, shard), pair[0]), pair[0]))
    return int(best[1])


@lru_cache(maxsize=65_536)
def _score(key: ShardKey, name: str) -> int:
    return (key_hash(shard_key(*key)) * node_hash(name)) & MASK


def _beats(key: ShardKey, name: str, other: str) -> bool:
    return (-_score(key, name), name) < (-_score(key, other), other)


def _uncovered(spans: list[Owned], from_us: int, to_us: int) -> int | None:
    """The first moment in which nobody uses it; None: there is none."""
    reached_us = from_us
    for span in sorted(spans, key=lambda s: s.begin_us):
        if span.begin_us <= reached_us < span.end_us:
            reached_us = span.end_us
        if reached_us >= to_us:
            return None
    return reached_us


def _gaps_s(spans: list[Owned]) -> Iterator[float]:
    """Between two users of one shard."""
    ordered = sorted(spans, key=lambda s: s.begin_us)
    for before, after in pairwise(ordered):
        if after.begin_us > before.end_us:
            yield (after.begin_us - before.end_us) / SECOND
