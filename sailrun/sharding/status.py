"""The sharding status for output as JSON. Scripts depend on the names of the fields."""

from __future__ import annotations

from typing import Any

from sailrun.sharding.agent import ShardingAgent
from sailrun.sharding.session import NodeSession

SECOND = 1_000_000


def shards_status(agent: ShardingAgent, now_us: int, node: str = "") -> dict[str, Any]:
    """The status of a member: its region, the assigner, and its own shards or those placed on `node`."""
    assigns = agent.is_assigner(now_us)
    shown: dict[str, Any] = {
        "region": agent.region.name,
        "assigner": agent.name if assigns else agent.assigner_name or None,
        "is_assigner": assigns,
        "shards": agent.region.shards,
    }
    if assigns and agent.assigner is not None:
        shown["generation"] = agent.assigner.generation
        shown["settled"] = agent.assigner.settled_generation
        shown["nodes"] = len(agent.assigner.sessions)
    if agent.session is not None:
        shown |= _of_session(agent.session, agent.name, node or agent.name, now_us)
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
