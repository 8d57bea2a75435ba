"""Plays a day of shards, in virtual time or on real processes, and judges what was recorded."""

from __future__ import annotations

from collections.abc import Callable

from sailrun.lab.faults.history import Row
from sailrun.lab.faults.nemesis import Nemesis
from sailrun.lab.faults.play import FaultDay, Played
from sailrun.lab.faults.shard_judge import ShardJudge
from sailrun.lab.faults.shard_plans import SHARD_PLANS, ShardPlan
from sailrun.lab.faults.shard_world import FEWEST_NODES, FLEET_VOTERS, LEASE_S, shard_agent_terms


def _check(day: FaultDay) -> None:
    """Raises ValueError."""
    if day.nodes < FEWEST_NODES:
        raise ValueError(f"{day.nodes} nodes are fewer than {FEWEST_NODES}, as many as two regions need")


def play_shards_virtual(day: FaultDay, told: Callable[[float], None] = lambda share: None) -> Played:
    """In virtual time. Raises ValueError for too few nodes."""
    from sailrun.lab.faults.shard_fleet import ShardFleet
    from sailrun.lab.scheduler import BEGIN_US

    _check(day)
    plan = SHARD_PLANS[day.plan]
    seconds = day.seconds or plan.seconds
    fleet = ShardFleet(day.nodes, day.seed, day.off)
    fleet.begin()
    Nemesis(fleet, plan, day.seed, seconds, LEASE_S)
    for tenth in range(1, 11):
        fleet.run(seconds * tenth / 10)
        told(tenth / 10)
    played = judged_shards(fleet.rows, plan, BEGIN_US, fleet.time.now_us, seconds)
    rate = max(1, fleet.encoded_count)
    sent = sum(fleet.by_body.values())
    played.figures["bytes_a_node_and_s"] = fleet.bytes / rate * sent / day.nodes / seconds
    played.figures["messages_a_node_and_s"] = sent / day.nodes / seconds
    played.figures["events"] = float(fleet.time.done)
    return played


def play_shards_real(day: FaultDay, told: Callable[[float], None] = lambda share: None) -> Played:
    """On real processes, in real time. Raises ValueError for too few nodes or a rule switched off."""
    import anyio

    from sailrun.lab.faults.rig import Rig
    from sailrun.lab.faults.shard_world import place_of

    _check(day)
    if day.off:
        raise ValueError("safety rules are switched off in virtual time only")
    plan = SHARD_PLANS[day.plan]
    seconds = day.seconds or plan.seconds
    rig = Rig(day.nodes, FLEET_VOTERS, 1, shard_agent_terms, day.seed)
    for node in rig.nodes.values():
        node.zone = place_of(node.index).zone
    anyio.run(rig.play, seconds, lambda fleet: Nemesis(fleet, plan, day.seed, seconds, LEASE_S))
    told(1.0)
    played = judged_shards(rig.rows, plan, rig.begin_us, rig.end_us, seconds)
    played.figures["messages_a_node_and_s"] = rig.relays.delivered / day.nodes / seconds
    return played


def judged_shards(rows: list[Row], plan: ShardPlan, begin_us: int, end_us: int, seconds: float) -> Played:
    """The checks and figures of a history."""
    judge = ShardJudge(rows, begin_us, end_us, plan.expected)
    return Played(rows, judge.checks(), judge.figures(), seconds)
