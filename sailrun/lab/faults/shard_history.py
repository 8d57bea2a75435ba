"""Which session used which shard when, as the nodes' own records tell, in the time that all share.

Rows are those of `history.py`; of shards there are:

- `shards` region, generation, session, until_us, shards: from now on the node uses these shards (`0,3,7`, or
  `-` for none) until then; it replaces the row before;
- `shards-lost` region, session, why: it uses none any more under that session;
- `shards-generation` region, generation, session, sessions: the node goes by that generation, in which these
  sessions are (`NAME:NUMBER,...`);
- `shard-act` shard, generation, session, to: an act was made, at the moment the clock was looked at for it;
- `shard-take`, `shard-refuse` shard, generation, session, of: what became of an act where it came to.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from sailrun.lab.faults.history import Row
from sailrun.lab.faults.shard_world import region_of

ShardKey = tuple[str, int]  # region and shard


@dataclass(slots=True, eq=False)
class Owned:
    """A time in which one session used one shard. `generation`: the one its node went by as it began."""

    node: str
    session: int
    generation: int
    begin_us: int
    end_us: int


@dataclass(slots=True, eq=False)
class SessionSpan:
    """How long a session was used by its node's own word."""

    node: str
    begin_us: int
    end_us: int


@dataclass(slots=True, eq=False)
class Generation:
    """What a generation holds, as the first node said that went by it."""

    number: int
    first_us: int
    text: str

    def sessions(self) -> dict[int, str]:
        """Names of nodes by session."""
        pairs = (word.split(":") for word in self.text.split(",") if ":" in word)
        return {int(number): name for name, number in pairs}


@dataclass(slots=True, eq=False)
class _Using:
    """What a node uses now."""

    session: int
    until_us: int
    spans: dict[int, Owned] = field(default_factory=dict)  # by shard


def shards_of(row: Row) -> frozenset[int]:
    """The shards a `shards` row names; a log line's single shard may have been read as a number."""
    text = str(row["shards"])
    return frozenset() if text == "-" else frozenset(map(int, text.split(",")))


def shards_in_use(rows: list[Row]) -> int:
    """How many shards the nodes use by what each said last; to be asked while nothing goes wrong yet."""
    latest = {row["node"]: len(shards_of(row)) for row in rows if row["kind"] == "shards"}
    return sum(latest.values())


def shard_of(row: Row) -> ShardKey:
    """The shard that an act, or what became of one, is about: acts stay in their region."""
    return region_of(row["node"]), int(row["shard"])


def token_of(row: Row) -> tuple[int, int]:
    return int(row["generation"]), int(row["session"])


class ShardHistory:
    """Goes through the rows once, in the order of their time."""

    def __init__(self, rows: list[Row]) -> None:
        self.rows = sorted(rows, key=lambda row: row["at_us"])
        self.owned: dict[ShardKey, list[Owned]] = defaultdict(list)
        self.sessions: dict[tuple[str, int], SessionSpan] = {}  # by region and number
        self.generations: dict[tuple[str, int], Generation] = {}  # by region and number
        self._using: dict[str, _Using] = {}
        for row in self.rows:
            self._read(row)

    def _read(self, row: Row) -> None:
        match row["kind"]:
            case "shards":
                self._uses(row)
            case "shards-lost" | "died":
                self._ends(row["node"], row["at_us"])
            case "shards-generation":
                key = (row["region"], int(row["generation"]))
                if key not in self.generations:
                    self.generations[key] = Generation(key[1], row["at_us"], str(row["sessions"]))

    def _uses(self, row: Row) -> None:
        node, at_us, session, until_us = row["node"], row["at_us"], int(row["session"]), row["until_us"]
        using = self._using.get(node)
        if using is None or using.session != session or at_us > using.until_us:
            self._ends(node, at_us)
            if until_us <= at_us:
                return  # said after the lease had ended: nothing is used by it
            using = self._using[node] = _Using(session, until_us)
        shards = shards_of(row)
        for shard in [shard for shard in using.spans if shard not in shards]:
            span = using.spans.pop(shard)
            span.end_us = min(span.end_us, at_us)
        for shard in shards:
            if shard not in using.spans:
                span = Owned(node, session, int(row["generation"]), at_us, until_us)
                using.spans[shard] = span
                self.owned[row["region"], shard].append(span)
            using.spans[shard].end_us = until_us
        using.until_us = until_us
        key = (row["region"], session)
        whole = self.sessions.setdefault(key, SessionSpan(node, at_us, until_us))
        whole.end_us = until_us

    def _ends(self, node: str, at_us: int) -> None:
        """Nothing is used any more under the session that the node had."""
        using = self._using.pop(node, None)
        if using is None:
            return
        for span in using.spans.values():
            span.end_us = min(span.end_us, at_us)
        whole = self.sessions.get((region_of(node), using.session))
        if whole is not None:
            whole.end_us = min(whole.end_us, at_us)
