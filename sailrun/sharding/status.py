"""The sharding status for output as JSON. Scripts depend on the names of the fields."""

from __future__ import annotations

from typing import Any

from sailrun.sharding.agent import ShardingAgent
from sailrun.sharding.session import NodeSession

SECOND_US = 1_000_000


def shards_status(agent: ShardingAgent, now_us: int, node: str = "") -> dict[str, Any]:
    """The status of a member: its region, the assigner, and its own shards or those placed on `node`."""
    is_assigner = agent.is_assigner(now_us)
    status: dict[str, Any] = {
        "region": agent.region.name,
        "assigner": agent.name if is_assigner else agent.assigner_name or None,
        "is_assigner": is_assigner,
        "shards": agent.region.shards,
    }
    if is_assigner and agent.assigner is not None:
        status["generation"] = agent.assigner.generation
        status["settled"] = agent.assigner.settled_generation
        status["nodes"] = len(agent.assigner.sessions)
    if agent.session is not None:
        status |= _session_status(agent.session, agent.name, node or agent.name, now_us)
    return status


def _session_status(session: NodeSession, name: str, node: str, now_us: int) -> dict[str, Any]:
    status: dict[str, Any] = {
        "generation": session.generation,
        "settled": session.settled_generation,
        "nodes": len(session.known_sessions()),
        "node": node,
    }
    if node != name:
        status["placed"] = session.shards_placed_on(node)
        return status
    usable = session.usable_shards(now_us)
    status["usable"] = sorted(usable)
    status["moving"] = [shard for shard in session.placed_shards() if shard not in usable]
    status["ends_in_s"] = (
        round((session.expires_us - now_us) / SECOND_US, 3) if session.session_number else None
    )
    return status
