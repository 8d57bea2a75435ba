"""The status of one agent for operators, as rows that JSON can represent. Durations are in seconds.

The names of the fields are an interface to scripts and must not change when attributes are renamed.
"""

from __future__ import annotations

from typing import Any

from sailrun.leadership.agent import Agent
from sailrun.leadership.permits import PERMITS_TASK
from sailrun.leadership.traffic_counters import TrafficCounters

SECOND = 1_000_000
Rows = list[dict[str, Any]]


def member_rows(agent: Agent, now_us: int) -> Rows:
    """Returns one row for each known member, living or not."""
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
        for record, since_us in agent.members.records_with_state_time()
    ]


def lease_rows(agent: Agent, now_us: int) -> Rows:
    """Returns one row for each task: its leader as far as is known, and whether it is this node."""
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
    """Returns all permits of the fleet at their leader; elsewhere those that this node holds or requests."""
    holder, coordinator = agent.permit_holder, agent.permit_coordinator
    if coordinator is not None and agent.leading_term(PERMITS_TASK, now_us):
        return coordinator.rows(now_us)
    return [
        {
            "kind": permit.kind,
            "subject": permit.subject,
            "holder": agent.name,
            "state": {"want": "waiting"}.get(permit.state, permit.state),
            "ends_in_s": _seconds(permit.expires_us - now_us) if permit.expires_us else None,
        }
        for permit in (holder.permits.values() if holder is not None else ())
    ]


def rolling_drain_rows(agent: Agent, name: str) -> Rows | None:
    """Returns the progress of each node of a rolling drain; None: none of that name was started here."""
    drain = agent.rolling_drains.drains.get(name)
    if drain is None:
        return None
    return [{"name": step.node, "state": step.state, "why": step.reason} for step in drain.steps]


def _seconds(us: int) -> float:
    return round(us / SECOND, 3)


def shard_status(agent: Agent, now_us: int, node: str) -> dict[str, Any] | None:
    """Returns the shards of this node, or those placed on another one; None: `[shards]` is off."""
    if agent.shards is None:
        return None
    # Imported only if sharding is switched on, because it needs numpy.
    from sailrun.sharding.status import shards_status

    return shards_status(agent.shards, now_us, node)


def counters(agent: Agent, traffic: TrafficCounters, now_us: int) -> dict[str, Any]:
    """Returns counts since the process started, and whether a majority of the voters answers."""
    agent_counters, members = agent.counters, agent.members
    return {
        "orders_sent": agent_counters.responses_sent,
        "orders_dropped": agent_counters.responses_expired,
        "orders_taken": agent_counters.responses_accepted,
        "orders_refused": agent_counters.responses_of_lower_term,
        "orders_late": agent_counters.responses_too_late,
        "bad_messages": agent_counters.malformed_messages,
        "wrong_fleet": agent_counters.foreign_messages,
        "strangers": members.unknown_sender_count,
        "slowness": members.local_health_multiplier,
        "messages_in": traffic.messages_in,
        "messages_out": traffic.messages_out,
        "bytes_in": traffic.bytes_in,
        "bytes_out": traffic.bytes_out,
        "in_touch": agent.leases.reaches_majority(now_us),
    }
