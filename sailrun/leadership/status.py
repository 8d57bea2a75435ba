"""What operators are shown of one agent, as rows that JSON can have. Remaining times are in seconds.

The names of the fields are an interface to scripts: they stay, whatever the attributes are called here.
"""

from __future__ import annotations

from typing import Any

from sailrun.leadership.agent import Agent
from sailrun.leadership.permits import PERMITS_TASK
from sailrun.leadership.traffic import TrafficCounters

SECOND = 1_000_000
Rows = list[dict[str, Any]]


def member_rows(agent: Agent, now_us: int) -> Rows:
    """One row for each member that is known, living or not."""
    voters = agent.voters.names()
    return [
        {
            "name": record.name,
            "incarnation": record.incarnation,
            "state": record.state.label,
            "since_s": _seconds(now_us - since_us),
            "voter": record.name in voters,
            "address": record.address,
            "zone": record.zone,
        }
        for record, since_us in agent.members.records_with_age()
    ]


def lease_rows(agent: Agent, now_us: int) -> Rows:
    """One row for each task: its leader as far as is known, and whether this node is it."""
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


def permit_rows(agent: Agent, now_us: int) -> Rows:
    """All permits of the fleet at their leader; elsewhere those that this node holds or requests."""
    holder, coordinator = agent.permit_holder, agent.permit_coordinator
    if coordinator is not None and agent.leading_term(PERMITS_TASK, now_us):
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


def rolling_drain_rows(agent: Agent, name: str) -> Rows | None:
    """How far each node of a rolling drain is; None: none of that name was started here."""
    begun = agent.rolling_drains.drains.get(name)
    if begun is None:
        return None
    return [{"name": step.node, "state": step.state, "why": step.reason} for step in begun.steps]


def _seconds(us: int) -> float:
    return round(us / SECOND, 3)


def shard_status(agent: Agent, now_us: int, node: str) -> dict[str, Any] | None:
    """This node's shards, or those placed on another one; None: `[shards]` is off."""
    if agent.shards is None:
        return None
    # Loaded only where it is switched on: it needs numpy.
    from sailrun.sharding.status import shards_status

    return shards_status(agent.shards, now_us, node)


def counters(agent: Agent, traffic: TrafficCounters, now_us: int) -> dict[str, Any]:
    """Counts since the process started, and whether a majority of the voters answers."""
    counted, members = agent.counters, agent.members
    return {
        "orders_sent": counted.responses_sent,
        "orders_dropped": counted.responses_expired,
        "orders_taken": counted.responses_accepted,
        "orders_refused": counted.responses_of_lower_term,
        "orders_late": counted.responses_too_late,
        "bad_messages": counted.malformed_messages,
        "wrong_fleet": counted.foreign_messages,
        "strangers": members.unknown_sender_count,
        "slowness": members.local_health_multiplier,
        "messages_in": traffic.messages_in,
        "messages_out": traffic.messages_out,
        "bytes_in": traffic.bytes_in,
        "bytes_out": traffic.bytes_out,
        "in_touch": agent.leases.reaches_majority(now_us),
    }
