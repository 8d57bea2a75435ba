"""What staff are shown of shards, as JSON can have it. The fields' names are an interface to scripts."""

from __future__ import annotations

from typing import Any

from sailrun.sharding.agent import ShardingAgent
from sailrun.sharding.session import NodeSession

SECOND = 1_000_000


def shards_status(part: ShardingAgent, now_us: int, node: str = "") -> dict[str, Any]:
    """A member's region and its assigner; its own shards, or those placed on another `node`."""
    assigns = part.is_assigner(now_us)
    shown: dict[str, Any] = {
        "region": part.region.name,
        "assigner": part.name if assigns else part.assigner_name or None,
        "is_assigner": assigns,
        "shards": part.region.shards,
    }
    if assigns and part.assigner is not None:
        shown["generation"] = part.assigner.generation
        shown["settled"] = part.assigner.settled_generation
        shown["nodes"] = len(part.assigner.sessions)
    if part.session is not None:
        shown |= _of_session(part.session, part.name, node or part.name, now_us)
    return shown


def _of_session(session: NodeSession, name: str, node: str, now_us: int) -> dict[str, Any]:
    shown: dict[str, Any] = {
        "generation": session.generation,
        "settled": session.settled_generation,
        "nodes": len(session.known_sessions()),
        "node": node,
    }
    if node != name:
        shown["placed"] = session.shards_placed_on(node)
        return shown
    usable = session.usable_shards(now_us)
    shown["usable"] = sorted(usable)
    shown["moving"] = [shard for shard in session.placed_shards() if shard not in usable]
    shown["ends_in_s"] = round((session.expires_us - now_us) / SECOND, 3) if session.session_number else None
    return shown
