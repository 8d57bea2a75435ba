"""Runs a fault plan for shards, in virtual time or on real processes, and checks the recorded history."""

from __future__ import annotations

from collections.abc import Callable

from sailrun.lab.faults.history import Row
from sailrun.lab.faults.nemesis import Nemesis
from sailrun.lab.faults.runs import FaultRun, RunResult
from sailrun.lab.faults.shard_checks import ShardChecker
from sailrun.lab.faults.shard_plans import SHARD_PLANS, ShardPlan
from sailrun.lab.faults.shard_world import FLEET_VOTERS, LEASE_S, MIN_NODES, shard_agent_settings


def _validate(run: FaultRun) -> None:
    """Raises ValueError if the run has too few nodes."""
    if run.nodes < MIN_NODES:
        raise ValueError(f"{run.nodes} nodes are fewer than {MIN_NODES}, the minimum for two regions")


def run_shards_virtual(
    run: FaultRun, report_progress: Callable[[float], None] = lambda progress: None
) -> RunResult:
    """Runs the plan in virtual time. Raises ValueError for too few nodes."""
    from sailrun.lab.faults.shard_fleet import ShardFleet
    from sailrun.lab.scheduler import BEGIN_US

    _validate(run)
    plan = SHARD_PLANS[run.plan]
    seconds = run.seconds or plan.seconds
    fleet = ShardFleet(run.nodes, run.seed, run.off)
    fleet.begin()
    Nemesis(fleet, plan, run.seed, seconds, LEASE_S)  # schedules the faults of the plan
    for tenths in range(1, 11):
        fleet.run(seconds * tenths / 10)
        report_progress(tenths / 10)
    result = check_shard_history(fleet.rows, plan, BEGIN_US, fleet.time.now_us, seconds)
    # Only a sample of the messages is encoded; its size is extrapolated to all messages.
    sampled_messages = max(1, fleet.encoded_count)
    sent = sum(fleet.message_counts.values())
    result.figures["bytes_a_node_and_s"] = fleet.bytes / sampled_messages * sent / run.nodes / seconds
    result.figures["messages_a_node_and_s"] = sent / run.nodes / seconds
    result.figures["events"] = float(fleet.time.done)
    return result


def run_shards_real(
    run: FaultRun, report_progress: Callable[[float], None] = lambda progress: None
) -> RunResult:
    """Runs the plan on real processes in real time. Raises ValueError for too few nodes, or if safety rules
    are disabled (`run.off`).
    """
    import anyio

    from sailrun.lab.faults.rig import RealFleet
    from sailrun.lab.faults.shard_world import place_of

    _validate(run)
    if run.off:
        raise ValueError(
            "safety rules (`off`) can be disabled in virtual time only, expected none for real processes"
        )
    plan = SHARD_PLANS[run.plan]
    seconds = run.seconds or plan.seconds
    # One zone; the zones are set from `place_of` below.
    rig = RealFleet(run.nodes, FLEET_VOTERS, 1, shard_agent_settings, run.seed)
    for node in rig.nodes.values():
        node.zone = place_of(node.index).zone
    anyio.run(rig.run, seconds, lambda fleet: Nemesis(fleet, plan, run.seed, seconds, LEASE_S))
    report_progress(1.0)
    result = check_shard_history(rig.rows, plan, rig.begin_us, rig.end_us, seconds)
    result.figures["messages_a_node_and_s"] = rig.relays.delivered / run.nodes / seconds
    return result


def check_shard_history(
    rows: list[Row], plan: ShardPlan, begin_us: int, end_us: int, seconds: float
) -> RunResult:
    """Checks a history against the expectations of the plan; returns the checks and the run's figures."""
    checker = ShardChecker(rows, begin_us, end_us, plan.expected)
    return RunResult(rows, checker.checks(), checker.figures(), seconds)
