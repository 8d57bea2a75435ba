"""What staff are shown of one agent, as rows that JSON can have. Times left are in seconds.

The names of the fields are an interface to scripts.
"""

from __future__ import annotations

from typing import Any

from sailrun.leadership.agent import Agent
from sailrun.leadership.permits import PERMITS_TASK as PERMITS

SECOND = 1_000_000
Rows = list[dict[str, Any]]


def members(agent: Agent, now_us: int) -> Rows:
    voters = agent.voters.names()
    return [
        {
            "name": record.name,
            "incarnation": record.incarnation,
            "state": record.state.name.lower(),
            "since_s": _seconds(now_us - since_us),
            "voter": record.name in voters,
            "address": record.address,
            "zone": record.zone,
        }
        for record, since_us in agent.members.known()
    ]


def owners(agent: Agent, now_us: int) -> Rows:
    return [
        {
            "task": task,
            "holder": lease.holder or None,
            "term": lease.highest_granted_term,
            "held": bool(agent.leases.held_term(task, now_us)),
            "ends_in_s": _seconds(lease.expires_us - now_us) if lease.expires_us else None,
            "refused_orders": lease.rejected_responses,
        }
        for task, lease in sorted(agent.leases.by_task.items())
    ]


def permits(agent: Agent, now_us: int) -> Rows:
    """The fleet's, at their owner; elsewhere those that this node holds or wants."""
    holder, coordinator = agent.permit_holder, agent.permit_coordinator
    if coordinator is not None and agent.leading_term(PERMITS, now_us):
        return coordinator.rows(now_us)
    return [
        {
            "kind": wanted.kind,
            "subject": wanted.subject,
            "holder": agent.name,
            "state": {"want": "waiting"}.get(wanted.state, wanted.state),
            "ends_in_s": _seconds(wanted.expires_us - now_us) if wanted.expires_us else None,
        }
        for wanted in (holder.permits.values() if holder is not None else ())
    ]


def rolling_drain(agent: Agent, name: str) -> Rows | None:
    """None: no rolling drain of that name was begun here."""
    begun = agent.rolling_drains.drains.get(name)
    if begun is None:
        return None
    return [{"name": step.node, "state": step.state, "why": step.reason} for step in begun.steps]


def _seconds(us: int) -> float:
    return round(us / SECOND, 3)


def shards(agent: Agent, now_us: int, node: str) -> dict[str, Any] | None:
    """This node's shards, or those placed on another one; None: `[shards]` is off."""
    if agent.shards is None:
        return None
    # Loaded only where it is switched on: it needs numpy.
    from sailrun.sharding.status import shards_status

    return shards_status(agent.shards, now_us, node)
