"""Log events about the ownership of shards: their names and their fields in order."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from sailrun.sharding.messages import GenerationChange

Note = tuple[str, dict[str, object]]


class SessionEventKind(StrEnum):
    """The kind of a change of a node's session. The values are logged."""

    BEGAN = "began"
    LOST = "lost"
    GENERATION = "generation"
    USABLE = "usable"


@dataclass(frozen=True, slots=True)
class SessionEvent:
    """A change of a node's own session; `shards` is the number of shards that it may use."""

    kind: SessionEventKind
    generation: int
    session_number: int
    shards: int
    reason: str = ""


def generation_note(region: str, change: GenerationChange, nodes: int) -> Note:
    """Returns the event for a new generation, logged at the assigner; `nodes` is the number of sessions."""
    facts: dict[str, object] = {
        "region": region,
        "generation": change.generation,
        "nodes": nodes,
        "joined": ",".join(session.name for session in change.joined) or None,
        "left": len(change.left) or None,
    }
    return "shards-generation", facts


def session_note(event: SessionEvent) -> Note:
    """Returns the event for a change of a node's own session."""
    facts: dict[str, object] = {
        "what": event.kind.value,
        "generation": event.generation,
        "shards": event.shards,
        "why": event.reason or None,
    }
    return "shards", facts
