"""Values of the laboratory's records as text, formatted only where a record is written."""

from __future__ import annotations

from sailrun.sharding.messages import Session

# Of more shards only the number is written.
MAX_LISTED_SHARDS = 1_000


class ShardList:
    """Shards as text: `0,3,7`, or `-` for none."""

    def __init__(self, shards: frozenset[int]) -> None:
        self._shards = shards

    def __str__(self) -> str:
        if len(self._shards) > MAX_LISTED_SHARDS:
            return f"{len(self._shards)}-shards"
        return ",".join(map(str, sorted(self._shards))) or "-"


class SessionList:
    """Sessions as text: `NAME:NUMBER,...` by number, or `-` for none."""

    def __init__(self, sessions: list[Session]) -> None:
        self._sessions = sessions

    def __str__(self) -> str:
        ordered = sorted(self._sessions, key=lambda session: session.number)
        return ",".join(f"{session.name}:{session.number}" for session in ordered) or "-"
