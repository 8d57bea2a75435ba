"""Log events about the ownership of shards: their names and their fields in order."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from sailrun.sharding.messages import GenerationChange

LogEvent = tuple[str, dict[str, object]]


class SessionEventKind(StrEnum):
    """The kind of a change of a node's session. The values are logged."""

    BEGAN = "began"
    LOST = "lost"
    GENERATION = "generation"
    USABLE = "usable"


@dataclass(frozen=True, slots=True)
class SessionEvent:
    """A change of a node's own session; `shard_count` is the number of shards that it may use."""

    kind: SessionEventKind
    generation: int
    session_number: int
    shard_count: int
    reason: str = ""


def generation_event(region: str, change: GenerationChange, node_count: int) -> LogEvent:
    """Returns the event for a new generation, logged at the assigner; `node_count` counts its sessions."""
    fields: dict[str, object] = {
        "region": region,
        "generation": change.generation,
        "nodes": node_count,
        "joined": ",".join(session.name for session in change.joined) or None,
        "left": len(change.left) or None,
    }
    return "shards-generation", fields


def session_event(event: SessionEvent) -> LogEvent:
    """Returns the event for a change of a node's own session."""
    fields: dict[str, object] = {
        "what": event.kind.value,
        "generation": event.generation,
        "shards": event.shard_count,
        "why": event.reason or None,
    }
    return "shards", fields
