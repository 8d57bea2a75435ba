"""Derives from the rows that nodes record which session used which shard at what time, on the shared clock. A
session is the membership of a node in the shard table of its region; it has a number and a lease.

The rows are those described in `history.py`. The following kinds are about shards:

- `shards` region, generation, session, until_us, shards: the node uses these shards (`0,3,7`, or `-` for
  none) from now until `until_us`; the row replaces the node's previous one;
- `shards-lost` region, session, why (the reason): the node uses no more shards under that session;
- `shards-generation` region, generation, session, sessions: the node applies that generation, which contains
  these sessions (`NAME:NUMBER,...`);
- `shard-act` shard, generation, session, to (the recipient): an act was created; `at_us` is the time at which
  the sender checked that it may use the shard;
- `shard-take`, `shard-refuse` shard, generation, session, of (the sender): the receiver accepted or rejected
  an act.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from sailrun.lab.faults.history import Row
from sailrun.lab.faults.shard_world import region_of

ShardKey = tuple[str, int]  # region and shard


@dataclass(slots=True, eq=False)
class OwnershipSpan:
    """A span of time in which one session used one shard. `generation` is the one that the node applied when
    the span began.
    """

    node: str
    session: int
    generation: int
    begin_us: int
    end_us: int


@dataclass(slots=True, eq=False)
class SessionSpan:
    """The span of time in which a node's own rows show it using shards, possibly none, under a session."""

    node: str
    begin_us: int
    end_us: int


@dataclass(slots=True, eq=False)
class Generation:
    """The content of a generation, as recorded by the first node that applied it."""

    number: int
    first_applied_us: int
    text: str

    def sessions(self) -> dict[int, str]:
        """Returns the names of nodes by session number."""
        pairs = (entry.split(":") for entry in self.text.split(",") if ":" in entry)
        return {int(number): name for name, number in pairs}


@dataclass(slots=True, eq=False)
class _CurrentUse:
    """The session and shards that a node uses at this point of the history."""

    session: int
    until_us: int
    spans: dict[int, OwnershipSpan] = field(default_factory=dict)  # by shard


def shards_of(row: Row) -> frozenset[int]:
    """Returns the shards that a `shards` row lists; the driver for real processes (`rig.py`)
    parses the field of a single shard as an int.
    """
    text = str(row["shards"])
    return frozenset() if text == "-" else frozenset(map(int, text.split(",")))


def shards_in_use(rows: list[Row]) -> int:
    """Returns how many shards the nodes use according to the last row of each. The result is valid only
    before the first fault, because rows about lost sessions and ended processes are ignored.
    """
    latest = {row["node"]: len(shards_of(row)) for row in rows if row["kind"] == "shards"}
    return sum(latest.values())


def shard_of(row: Row) -> ShardKey:
    """Returns the shard that an act, or its outcome, is about. Sender and receiver of an act are in the
    same region, so the region of the row's node is that of the shard.
    """
    return region_of(row["node"]), int(row["shard"])


def token_of(row: Row) -> tuple[int, int]:
    """Returns the fencing token of an act, or of its outcome: generation, then session number."""
    return int(row["generation"]), int(row["session"])


class ShardHistory:
    """Reads the rows once, in order of time."""

    def __init__(self, rows: list[Row]) -> None:
        self.rows = sorted(rows, key=lambda row: row["at_us"])
        self.owned: dict[ShardKey, list[OwnershipSpan]] = defaultdict(list)
        self.sessions: dict[tuple[str, int], SessionSpan] = {}  # by region and number
        self.generations: dict[tuple[str, int], Generation] = {}  # by region and number
        self._current_uses: dict[str, _CurrentUse] = {}
        for row in self.rows:
            self._read(row)

    def _read(self, row: Row) -> None:
        match row["kind"]:
            case "shards":
                self._record_use(row)
            case "shards-lost" | "died":
                self._end_session(row["node"], row["at_us"])
            case "shards-generation":
                key = (row["region"], int(row["generation"]))
                if key not in self.generations:
                    self.generations[key] = Generation(key[1], row["at_us"], str(row["sessions"]))

    def _record_use(self, row: Row) -> None:
        node, at_us, session, until_us = row["node"], row["at_us"], int(row["session"]), row["until_us"]
        current = self._current_uses.get(node)
        if current is None or current.session != session or at_us > current.until_us:
            self._end_session(node, at_us)
            if until_us <= at_us:
                return  # recorded after the lease had expired, so no shard is used
            current = self._current_uses[node] = _CurrentUse(session, until_us)
        shards = shards_of(row)
        for shard in [shard for shard in current.spans if shard not in shards]:
            span = current.spans.pop(shard)
            span.end_us = min(span.end_us, at_us)
        for shard in shards:
            if shard not in current.spans:
                span = OwnershipSpan(node, session, int(row["generation"]), at_us, until_us)
                current.spans[shard] = span
                self.owned[row["region"], shard].append(span)
            current.spans[shard].end_us = until_us
        current.until_us = until_us
        key = (row["region"], session)
        session_span = self.sessions.setdefault(key, SessionSpan(node, at_us, until_us))
        session_span.end_us = until_us

    def _end_session(self, node: str, at_us: int) -> None:
        """Ends the spans of the node's current session."""
        current = self._current_uses.pop(node, None)
        if current is None:
            return
        for span in current.spans.values():
            span.end_us = min(span.end_us, at_us)
        session_span = self.sessions.get((region_of(node), current.session))
        if session_span is not None:
            session_span.end_us = min(session_span.end_us, at_us)
