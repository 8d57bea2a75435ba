"""Text formats for values in the laboratory's records, computed only when a record is written."""

from __future__ import annotations

from sailrun.sharding.messages import Session

# A longer list is written as its length only.
MAX_LISTED_SHARDS = 1_000


class ShardList:
    """Formats shards as `0,3,7`, or `-` for none."""

    def __init__(self, shards: frozenset[int]) -> None:
        self._shards = shards

    def __str__(self) -> str:
        if len(self._shards) > MAX_LISTED_SHARDS:
            return f"{len(self._shards)}-shards"
        return ",".join(map(str, sorted(self._shards))) or "-"


class SessionList:
    """Formats sessions as `NAME:NUMBER,...` sorted by number, or `-` for none."""

    def __init__(self, sessions: list[Session]) -> None:
        self._sessions = sessions

    def __str__(self) -> str:
        ordered = sorted(self._sessions, key=lambda session: session.number)
        return ",".join(f"{session.name}:{session.number}" for session in ordered) or "-"
