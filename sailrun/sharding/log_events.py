"""Log lines of the ownership of shards: a line's name, and its facts in order."""

from __future__ import annotations

from sailrun.sharding.messages import GenerationChange
from sailrun.sharding.session import SessionEvent

Note = tuple[str, dict[str, object]]


def generation_note(region: str, change: GenerationChange, nodes: int) -> Note:
    """A change of generation, at the assigner; `nodes` have a session now."""
    facts: dict[str, object] = {
        "region": region,
        "generation": change.generation,
        "nodes": nodes,
        "joined": ",".join(session.name for session in change.joined) or None,
        "left": len(change.left) or None,
    }
    return "shards-generation", facts


def session_note(event: SessionEvent) -> Note:
    """What became of a node's own session."""
    facts: dict[str, object] = {
        "what": event.kind,
        "generation": event.generation,
        "shards": event.shards,
        "why": event.reason or None,
    }
    return "shards", facts
