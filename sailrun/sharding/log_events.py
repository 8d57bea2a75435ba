"""Log events of the ownership of shards: the name of each and its fields, in order."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from sailrun.sharding.messages import GenerationChange

Note = tuple[str, dict[str, object]]


class SessionEventKind(StrEnum):
    """What happened to a node's session; the values are what the log shows."""

    BEGAN = "began"
    LOST = "lost"
    GENERATION = "generation"
    USABLE = "usable"


@dataclass(frozen=True, slots=True)
class SessionEvent:
    """A change of a node's own session; `shards`: how many it may use."""

    kind: SessionEventKind
    generation: int
    session_number: int
    shards: int
    reason: str = ""


def generation_note(region: str, change: GenerationChange, nodes: int) -> Note:
    """A new generation, at the assigner; `nodes`: how many have a session now."""
    facts: dict[str, object] = {
        "region": region,
        "generation": change.generation,
        "nodes": nodes,
        "joined": ",".join(session.name for session in change.joined) or None,
        "left": len(change.left) or None,
    }
    return "shards-generation", facts


def session_note(event: SessionEvent) -> Note:
    """A change of a node's own session."""
    facts: dict[str, object] = {
        "what": event.kind.value,
        "generation": event.generation,
        "shards": event.shards,
        "why": event.reason or None,
    }
    return "shards", facts
