"""The checks of the fault runs with shards. Each check counts violations, and occasions: the cases in which a
violation would have been found. A check without occasions tested nothing, so it does not hold.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from functools import lru_cache
from itertools import pairwise

from sailrun.decisions.placement import MASK, key_hash
from sailrun.lab.checks import Check
from sailrun.lab.faults.history import Counted, HistoryChecker, Row, add_violation
from sailrun.lab.faults.shard_history import (
    Generation,
    OwnershipSpan,
    ShardHistory,
    ShardKey,
    shard_of,
    shards_of,
    token_of,
)
from sailrun.lab.faults.shard_world import REGIONS, SHARDS_PER_REGION
from sailrun.sharding.placement import node_hash, shard_key

SECOND_US = 1_000_000


@dataclass(frozen=True, slots=True)
class Expected:
    """The results expected of one plan, in addition to the checks of every run."""

    # True: shards change owners, and the checks of such moves apply. False: no new generation is allowed
    # after the first fault.
    moves: bool = True
    # True: the checks of the assigners' leases apply. They need a change of assigner, so there has to be one.
    assigner_changes: bool = True
    # True: in every run of the plan acts are rejected, because they arrive after an act with a higher token.
    # False: a run may have no rejected act.
    rejections_required: bool = False
    # From this time after the last fault on, every shard has an owner.
    owned_within_s: float = 14.0


class ShardChecker:
    def __init__(self, rows: list[Row], begin_us: int, end_us: int, expected: Expected) -> None:
        self.history = ShardHistory(rows)
        self.rows = self.history.rows
        self._begin_us, self._end_us, self._expected = begin_us, end_us, expected
        self._lease_checker = HistoryChecker(rows, {}, begin_us, end_us)

    def checks(self) -> list[Check]:
        expected = self._expected
        result: list[Check] = [
            self.acts_only_while_owner(),
            self.one_content(),
            self.used_only_where_placed(),
            self.owned_after_the_faults(),
        ]
        if expected.moves:
            result += [
                self.one_owner(),
                self.generations_grow_at_a_node(),
                self.moves_with_cause(),
                self.sessions_end_unused(),
                self.no_lower_token_at_a_receiver(),
                self.tokens_grow(),
            ]
        else:
            result.append(self.nothing_moved())
        rejected = self.only_lower_tokens_rejected()
        if expected.rejections_required or rejected.occasions:
            result.append(rejected)
        if expected.assigner_changes:
            result += [check for check in self._lease_checker.checks() if check.name in LEASE_CHECKS]
        return result

    def _add_violation(self, check: Check, at_us: int, message: str) -> None:
        add_violation(check, at_us - self._begin_us, message)

    # ------------------------------------------------------------------ use of shards

    def one_owner(self) -> Counted:
        """At no time do two sessions use the same shard. Occasions: changes of owner."""
        check = Counted("one-owner-of-a-shard", occasions=0)
        for key, spans in self.history.owned.items():
            latest: OwnershipSpan | None = None
            for span in sorted(spans, key=lambda s: s.begin_us):
                if latest is not None and span.session != latest.session:
                    check.occasions += 1
                    if span.begin_us < latest.end_us:
                        message = (
                            f"{_format_shard(key)}: {span.node} and {latest.node} use it at "
                            "the same time under two sessions"
                        )
                        self._add_violation(check, span.begin_us, message)
                if latest is None or span.end_us > latest.end_us:
                    latest = span
        return check

    def acts_only_while_owner(self) -> Counted:
        """Only the session that uses a shard at that time creates acts for it. Occasions: acts created."""
        check = Counted("acts-only-while-owner", occasions=0)
        for row in self._rows_of_kind("shard-act"):
            check.occasions += 1
            key, at_us, session = shard_of(row), row["at_us"], int(row["session"])
            spans = self.history.owned.get(key, ())
            if not any(s.session == session and s.begin_us <= at_us <= s.end_us for s in spans):
                self._add_violation(
                    check,
                    at_us,
                    f"{_format_shard(key)}: {row['node']} created an act without using "
                    f"the shard, under session {session}",
                )
        return check

    def used_only_where_placed(self) -> Counted:
        """A session uses only the shards that placement among the sessions of its generation assigns to it.
        Occasions: shards listed in `shards` rows.
        """
        check = Counted("used-only-where-placed", occasions=0)
        for row in self._rows_of_kind("shards"):
            generation = self.history.generations.get((row["region"], int(row["generation"])))
            for shard in shards_of(row):
                check.occasions += 1
                owner = placed_session(row["region"], shard, generation.text) if generation is not None else 0
                if owner != int(row["session"]):
                    message = (
                        f"{row['region']}/{shard}: {row['node']} uses the shard, but it is "
                        f"placed on session (0: unknown) {owner}"
                    )
                    self._add_violation(check, row["at_us"], message)
        return check

    def owned_after_the_faults(self) -> Counted:
        """From `owned_within_s` after the last fault to the end, every shard is in use without a gap.
        Occasions: shards.
        """
        check = Counted("owned-after-the-faults", occasions=0)
        from_us = self.last_fault_us() + int(self._expected.owned_within_s * SECOND_US)
        if from_us >= self._end_us:
            return check
        for region in REGIONS:
            for shard in range(SHARDS_PER_REGION):
                check.occasions += 1
                gap_us = _first_gap_us(self.history.owned.get((region, shard), []), from_us, self._end_us)
                if gap_us is not None:
                    self._add_violation(
                        check,
                        gap_us,
                        f"{region}/{shard}: no session uses it, expected one without a gap until the end",
                    )
        return check

    def last_fault_us(self) -> int:
        """Returns the time of the last action of the nemesis, or of the last start or end of a process."""
        kinds = ("fault", "died", "started")
        return max(
            (r["at_us"] for r in self.rows if r["kind"] in kinds and r["at_us"] < self._end_us),
            default=self._begin_us,
        )

    # ------------------------------------------------------------------ causes of moves

    def moves_with_cause(self) -> Counted:
        """A shard changes owner only because the previous session has ended, or because a session with a
        higher score joined. Occasions: changes of owner.
        """
        check = Counted("moved-only-with-cause", occasions=0)
        for key, spans in self.history.owned.items():
            ordered = sorted(spans, key=lambda s: s.begin_us)
            for before, after in pairwise(ordered):
                if before.session == after.session:
                    continue
                check.occasions += 1
                if not self._has_cause(key, before, after):
                    message = (
                        f"{_format_shard(key)}: moved from {before.node}, whose session has not ended, "
                        f"to {after.node} without a new session with a higher score"
                    )
                    self._add_violation(check, after.begin_us, message)
        return check

    def _has_cause(self, key: ShardKey, before: OwnershipSpan, after: OwnershipSpan) -> bool:
        sessions_after = self._sessions_of(key[0], after.generation)
        if before.session not in sessions_after:
            return True
        joined = after.session not in self._sessions_of(key[0], before.generation)
        return joined and _scores_higher(key, after.node, before.node)

    def _sessions_of(self, region: str, generation: int) -> dict[int, str]:
        known = self.history.generations.get((region, generation))
        return known.sessions() if known is not None else {}

    def sessions_end_unused(self) -> Counted:
        """A session is removed from the table only after its node has stopped using it. Occasions: sessions
        that were used and then removed.
        """
        check = Counted("sessions-end-unused", occasions=0)
        for region in REGIONS:
            in_force: set[int] = set()
            for generation in self._generations_in_order(region):
                sessions = set(generation.sessions())
                for number in in_force - sessions:
                    used = self.history.sessions.get((region, number))
                    if used is None:
                        continue
                    check.occasions += 1
                    if used.end_us > generation.first_applied_us:
                        message = f"{region}: session {number} of {used.node} is removed while in use"
                        self._add_violation(check, generation.first_applied_us, message)
                in_force = sessions
        return check

    def nothing_moved(self) -> Counted:
        """No new generation appears after the first fault. Occasions: beginnings of faults, and deaths of
        processes.
        """
        check = Counted("nothing-moved", occasions=0)
        beginnings = [r for r in self._rows_of_kind("fault") if r["what"] in FAULT_BEGINNINGS]
        beginnings += [r for r in self._rows_of_kind("died") if r["at_us"] < self._end_us]
        check.occasions = len(beginnings)
        first_us = min((r["at_us"] for r in beginnings), default=self._end_us)
        for (region, number), generation in self.history.generations.items():
            if generation.first_applied_us > first_us:
                self._add_violation(
                    check,
                    generation.first_applied_us,
                    f"{region}: generation {number} is new after the first fault",
                )
        return check

    # ------------------------------------------------------------------ generations

    def one_content(self) -> Counted:
        """A generation has the same sessions at all nodes. Occasions: `shards-generation` rows except the
        first one of each generation.
        """
        check = Counted("one-content-of-a-generation", occasions=0)
        seen: set[tuple[str, int]] = set()
        for row in self._rows_of_kind("shards-generation"):
            key = (row["region"], int(row["generation"]))
            if key in seen:
                check.occasions += 1
                if str(row["sessions"]) != self.history.generations[key].text:
                    message = (
                        f"{key[0]}: generation {key[1]} has other sessions than at the first "
                        f"node at {row['node']}"
                    )
                    self._add_violation(check, row["at_us"], message)
            seen.add(key)
        return check

    def generations_grow_at_a_node(self) -> Counted:
        """Within a session a node applies increasing generations only. Occasions: `shards-generation` rows
        except the first one of each session.
        """
        check = Counted("generations-grow-at-a-node", occasions=0)
        latest: dict[tuple[str, int], int] = {}
        for row in self._rows_of_kind("shards-generation"):
            key, generation = (row["node"], int(row["session"])), int(row["generation"])
            if key in latest:
                check.occasions += 1
                if generation <= latest[key]:
                    message = (
                        f"{row['node']}: applied generation {generation} in the same session "
                        f"after {latest[key]}"
                    )
                    self._add_violation(check, row["at_us"], message)
            latest[key] = max(generation, latest.get(key, 0))
        return check

    def _generations_in_order(self, region: str) -> list[Generation]:
        result = [g for (name, _), g in self.history.generations.items() if name == region]
        return sorted(result, key=lambda g: g.number)

    # ------------------------------------------------------------------ tokens

    def no_lower_token_at_a_receiver(self) -> Counted:
        """A process that has accepted an act does not accept an act with a lower token for the same shard.
        Occasions: acts accepted with another token than the highest one before.
        """
        check = Counted("no-lower-token-at-a-receiver", occasions=0)
        for row, highest in self._with_highest("shard-take"):
            if highest is None or token_of(row) == highest:
                continue
            check.occasions += 1
            if token_of(row) < highest:
                message = (
                    f"{_format_shard(shard_of(row))}: {row['node']} accepted the token "
                    f"(generation, session) {token_of(row)} after {highest}"
                )
                self._add_violation(check, row["at_us"], message)
        return check

    def only_lower_tokens_rejected(self) -> Counted:
        """An act is rejected only after an act with a higher token was accepted. Occasions: rejections."""
        check = Counted("only-the-past-is-refused", occasions=0)
        for row, highest in self._with_highest("shard-refuse"):
            check.occasions += 1
            if highest is None or token_of(row) >= highest:
                message = (
                    f"{_format_shard(shard_of(row))}: {row['node']} accepted no higher token "
                    f"but rejected (generation, session) {token_of(row)}"
                )
                self._add_violation(check, row["at_us"], message)
        return check

    def _with_highest(self, kind: str) -> Iterator[tuple[Row, tuple[int, int] | None]]:
        """Yields the rows of a kind, each with the highest token that its process has accepted for the shard
        so far.
        """
        highest: dict[tuple[str, ShardKey], tuple[int, int]] = {}
        for row in self.rows:
            if row["kind"] == "died":
                for old_key in [key for key in highest if key[0] == row["node"]]:
                    del highest[old_key]
            if row["kind"] not in ("shard-take", "shard-refuse"):
                continue
            key = (row["node"], shard_of(row))
            if row["kind"] == kind:
                yield row, highest.get(key)
            if row["kind"] == "shard-take":
                highest[key] = max(token_of(row), highest.get(key, (0, 0)))

    def tokens_grow(self) -> Counted:
        """In order of creation, the tokens of all acts for a shard never decrease, across all nodes.
        Occasions: acts with another token than the highest one before.
        """
        check = Counted("tokens-grow", occasions=0)
        highest: dict[ShardKey, tuple[int, int]] = {}
        for row in self._rows_of_kind("shard-act"):
            key, token = shard_of(row), token_of(row)
            before = highest.get(key)
            if before is not None and token != before:
                check.occasions += 1
                if token < before:
                    self._add_violation(
                        check,
                        row["at_us"],
                        f"{_format_shard(key)}: {row['node']} created an act after one "
                        f"with a higher token (generation, session) than {token}",
                    )
            highest[key] = max(token, before or token)
        return check

    # ------------------------------------------------------------------ figures

    def figures(self) -> dict[str, float]:
        """Returns the figures of a run. `s_without_owner_*` are the gaps between consecutive spans of a
        shard, whether or not a fault caused them.
        """
        gaps = [gap for spans in self.history.owned.values() for gap in _gaps_s(spans)]
        result = {
            "generations": float(len(self.history.generations)),
            "changes_of_owner": float(self.one_owner().occasions),
            "changes_of_assigner": float(
                sum(max(0, len(spans) - 1) for spans in self._lease_checker.holds.values())
            ),
            "acts_made": float(len(self._rows_of_kind("shard-act"))),
            "acts_taken": float(len(self._rows_of_kind("shard-take"))),
            "acts_refused": float(len(self._rows_of_kind("shard-refuse"))),
            "acts_taken_after_a_higher_elsewhere": float(self._count_taken_after_higher()),
        }
        if gaps:
            result["s_without_owner_median"] = sorted(gaps)[len(gaps) // 2]
            result["s_without_owner_most"] = max(gaps)
        return result

    def _count_taken_after_higher(self) -> int:
        """Returns how many acts a member accepted after any member had accepted a higher token. At different
        members these are no violations, because each member has a fence of its own.
        """
        highest: dict[ShardKey, tuple[int, int]] = {}
        count = 0
        for row in self._rows_of_kind("shard-take"):
            key, token = shard_of(row), token_of(row)
            count += token < highest.get(key, token)
            highest[key] = max(token, highest.get(key, token))
        return count

    def _rows_of_kind(self, kind: str) -> list[Row]:
        return [row for row in self.rows if row["kind"] == kind]


# The checks of `history.py` that apply to the assigners' leases.
LEASE_CHECKS = ("one-owner-at-a-time", "no-term-given-twice", "terms-grow")
# The values of `what` in `fault` rows after which no new generation is allowed.
FAULT_BEGINNINGS = ("cut", "stop", "leave", "hold-back")


def _format_shard(key: ShardKey) -> str:
    return f"{key[0]}/{key[1]}"


@lru_cache(maxsize=65_536)
def placed_session(region: str, shard: int, sessions: str) -> int:
    """Returns the session (of `NAME:NUMBER,...`) that a shard is placed on, or 0 if there are no sessions.
    Compares the scores of all sessions one by one instead of using `Placement`, as nodes do; only the hash
    functions are shared.
    """
    pairs = [entry.split(":") for entry in sessions.split(",") if ":" in entry]
    if not pairs:
        return 0
    best = min(pairs, key=lambda pair: (-_score((region, shard), pair[0]), pair[0]))
    return int(best[1])


@lru_cache(maxsize=65_536)
def _score(key: ShardKey, name: str) -> int:
    return (key_hash(shard_key(*key)) * node_hash(name)) & MASK


def _scores_higher(key: ShardKey, name: str, other: str) -> bool:
    return (-_score(key, name), name) < (-_score(key, other), other)


def _first_gap_us(spans: list[OwnershipSpan], from_us: int, to_us: int) -> int | None:
    """Returns the first time from `from_us` to `to_us` that no span covers, or None if there is none."""
    reached_us = from_us
    for span in sorted(spans, key=lambda s: s.begin_us):
        if span.begin_us <= reached_us < span.end_us:
            reached_us = span.end_us
        if reached_us >= to_us:
            return None
    return reached_us


def _gaps_s(spans: list[OwnershipSpan]) -> Iterator[float]:
    """Yields the lengths of the gaps between consecutive spans of a shard."""
    ordered = sorted(spans, key=lambda s: s.begin_us)
    for before, after in pairwise(ordered):
        if after.begin_us > before.end_us:
            yield (after.begin_us - before.end_us) / SECOND_US
