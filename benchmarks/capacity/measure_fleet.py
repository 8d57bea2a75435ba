"""Measures whole fleets in virtual time at several numbers of nodes: when all nodes start at once, at rest,
at a restart, when a zone fails and returns, and while operators change the configuration.

Every scenario function runs one fleet from its start and returns figures by name. `measure_scenario` runs a
scenario at all sizes, each in its own process, so that the memory measured is that of one fleet. It stores
the first line of a scenario's doc comment in the record as part of `how`.
"""

from __future__ import annotations

import gc
import resource
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from statistics import median

from benchmarks.capacity.counting_fleet import LEASES, CountingFleet, NodeCounts
from benchmarks.capacity.record import Measurement
from sailrun.leadership.permits import PERMITS_TASK
from sailrun.replication.mark_client import MarkOutcome
from sailrun.replication.messages import MarkRequest
from sailrun.replication.replica import MARKS_TASK, Replica

Figures = dict[str, float]
MAX_PROCESSES = 2
# SETTLE_S: time until the gossip about a start or a change of members has ended. The others: how long
# messages are counted, at rest and around a change of members.
SETTLE_S, REST_OBSERVATION_S, CHANGE_OBSERVATION_S = 40.0, 20.0, 40.0
CONVERGENCE_TIMEOUT_S = 300.0
OUTCOME_WAIT_S = 30.0  # time to wait for the outcomes after the last mark is written
START_S = 0.35  # all nodes have started within this time
MOST_NODES_SHARE = 0.99
# Tasks whose leaders receive requests in a fleet at rest.
LEADER_TASKS_AT_REST = ("marks", "roster")
ZONES = 23
# Number of marks that are written one after another, a second apart; the rates, each kept for
# RATE_DURATION_S; the number of marks written at once.
SINGLE_MARKS, MARK_RATES_PER_S, RATE_DURATION_S, BURST_MARKS = 20, (1, 2, 5, 10), 10.0, 1_000
# The cost of one mark is the cost at this rate less the cost at rest, divided by the rate.
COST_MARKS_PER_S = 5
# The figures of `mark_cost`, and the figures of `mark_rates` from which they are computed.
MARK_COSTS = {"bytes": "bytes_s", "cpu_s": "cpu", "owner_bytes": "owner_bytes_s", "owner_cpu_s": "owner_cpu"}
# A region (1 / REGIONS of the nodes) is cut off for CUT_S instead of an hour. All changes of an hour are made
# in that time.
REGIONS, CUT_S, CHANGES_PER_HOUR = 6, 60.0, 542


def _memory_mb() -> float:
    gc.collect()
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize() / 1e6


def _settled_fleet(nodes: int) -> CountingFleet:
    fleet = CountingFleet(nodes)
    _start_all(fleet)
    fleet.run_for(SETTLE_S)
    return fleet


def _start_all(fleet: CountingFleet) -> float:
    """Starts all nodes. Returns the seconds until every node knows all members. Raises RuntimeError if they
    do not within CONVERGENCE_TIMEOUT_S.
    """
    fleet.begin()
    fleet.run_for(START_S)
    took_s = START_S + fleet.run_until_converged(CONVERGENCE_TIMEOUT_S)
    if took_s == float("inf"):
        raise RuntimeError(
            f"{fleet.converged_share():.0%} of {len(fleet.names)} nodes know all members "
            f"{CONVERGENCE_TIMEOUT_S} s after the start, expected all"
        )
    return took_s


def _max_bytes_in_a_second(counts: Sequence[NodeCounts]) -> float:
    return float(max(max(node_counts.bytes_by_second.values(), default=0) for node_counts in counts))


def _median_bytes(counts: Sequence[NodeCounts]) -> float:
    return median(node_counts.bytes for node_counts in counts)


# ---------------------------------------------------------------------- start and rest


def start_and_rest(nodes: int) -> Figures:
    """A begin of all within 0.3 s, then a fleet at rest."""
    before_mb = _memory_mb()
    fleet = CountingFleet(nodes)
    took_s = _start_all(fleet)
    initial_counts = list(fleet.counts.values())
    figures = {
        "begin.seconds": took_s,
        "begin.bytes_busiest_second": _max_bytes_in_a_second(initial_counts),
        "begin.bytes_node": _median_bytes(initial_counts),
        "begin.cpu_s_node": median(node_counts.cpu_ns for node_counts in initial_counts) / 1e9,
    }
    fleet.run_for(SETTLE_S)
    fleet.reset_counts()
    fleet.run_for(REST_OBSERVATION_S)
    figures["rest.memory_mb"] = (_memory_mb() - before_mb) / nodes
    figures |= _role_figures(fleet)
    return figures


def _role_figures(fleet: CountingFleet) -> Figures:
    """Returns figures by role. Only the messages of the role's own task are counted, so that those of two
    roles of one node stay separate. Processor time is that of the node less the median of ordinary nodes; it
    is not divided between two roles of one node.
    """
    counts, leaders = fleet.counts, {task: fleet.leader_of(task) for task in fleet.tasks()}
    nodes_with_roles = {*fleet.voters, *leaders.values()}
    ordinary = [node_counts for name, node_counts in counts.items() if name not in nodes_with_roles]
    figures = {
        "rest.bytes_s": _median_bytes(ordinary) / REST_OBSERVATION_S,
        "rest.messages_s": median(node_counts.messages for node_counts in ordinary) / REST_OBSERVATION_S,
        "rest.cpu": median(node_counts.cpu_ns for node_counts in ordinary) / 1e9 / REST_OBSERVATION_S,
        "rest.busiest_bytes_s": max(node_counts.bytes for node_counts in counts.values())
        / REST_OBSERVATION_S,
        "voter.bytes_s": median(counts[name].group(LEASES).bytes for name in fleet.voters)
        / REST_OBSERVATION_S,
    }
    for task, name in leaders.items():
        role = task.split("/")[0]
        if name is None or role not in LEADER_TASKS_AT_REST:
            continue
        figures[f"{role}.bytes_s"] = counts[name].group(task).bytes / REST_OBSERVATION_S
        figures[f"{role}.messages_s"] = counts[name].group(task).messages / REST_OBSERVATION_S
        extra_ns = counts[name].cpu_ns - median(node_counts.cpu_ns for node_counts in ordinary)
        figures[f"{role}.cpu"] = max(0.0, extra_ns) / 1e9 / REST_OBSERVATION_S
    return figures


# ---------------------------------------------------------------------- changes of members


def member_changes(nodes: int) -> Figures:
    """A restart in good order; then a zone (a 23rd of the nodes) dies at once, and comes back at once."""
    fleet = _settled_fleet(nodes)
    fleet.reset_counts()
    fleet.run_for(CHANGE_OBSERVATION_S)
    rest_bytes = _median_bytes(list(fleet.counts.values()))
    fleet.reset_counts()
    fleet.leave(fleet.names[-1])
    fleet.run_for(2.0)  # the node stays stopped for 2 s
    fleet.start(fleet.names[-1])
    fleet.run_for(CHANGE_OBSERVATION_S - 2.0)
    others = [fleet.counts[name] for name in fleet.names[:-1]]
    figures = {"restart.extra_bytes_node": _median_bytes(others) - rest_bytes}
    zone_nodes = fleet.names[-max(1, round(nodes / ZONES)) :]
    other_nodes = [name for name in fleet.names if name not in zone_nodes]
    for event, apply in (("zone_goes", fleet.kill), ("zone_returns", fleet.start)):
        fleet.reset_counts()
        for name in zone_nodes:
            apply(name)
        began_s = fleet.now_s()
        most_nodes_s = fleet.run_until_converged(CONVERGENCE_TIMEOUT_S, MOST_NODES_SHARE)
        figures[f"{event}.seconds_99"] = most_nodes_s
        figures[f"{event}.seconds"] = most_nodes_s + fleet.run_until_converged(CONVERGENCE_TIMEOUT_S)
        fleet.run(began_s + max(CHANGE_OBSERVATION_S, figures[f"{event}.seconds"]))
        observed_s = fleet.now_s() - began_s
        counts = [fleet.counts[name] for name in other_nodes]
        figures[f"{event}.bytes_busiest_second"] = _max_bytes_in_a_second(counts)
        figures[f"{event}.bytes_s"] = _median_bytes(counts) / observed_s
        fleet.run_for(SETTLE_S)
    return figures


# ---------------------------------------------------------------------- changes of configuration


def _replica(fleet: CountingFleet, name: str) -> Replica:
    agent = fleet.nodes[name].agent
    assert agent is not None and agent.replica is not None
    return agent.replica


def _write_mark(fleet: CountingFleet, name: str, subject: str, outcomes: list[MarkOutcome]) -> None:
    request = MarkRequest("mark", _replica(fleet, name).make_request_id(), 0, "out", subject, True)
    node = fleet.nodes[name]
    # The mark itself times out after 60 s.
    _replica(fleet, name).write_mark(fleet.clock_us(node), request, outcomes.append, 60_000_000)
    fleet._run_soon(node)


def _await_marks(fleet: CountingFleet, outcomes: list[MarkOutcome], count: int) -> None:
    """Waits for the outcomes of marks. Raises RuntimeError unless this number of marks was written (state
    `done`).
    """
    until_s = fleet.now_s() + OUTCOME_WAIT_S
    while len(outcomes) < count and fleet.now_s() < until_s:
        fleet.run_for(0.25)
    state_counts = Counter(outcome.state for outcome in outcomes)
    if state_counts["done"] < count:
        raise RuntimeError(
            f"{state_counts['done']} of {count} marks were written within {OUTCOME_WAIT_S} s, expected all; "
            f"outcomes: {dict(state_counts)}"
        )


def _nodes_with_marks(fleet: CountingFleet, subjects: Sequence[str]) -> int:
    """Returns the number of nodes whose replica has all of these marks."""
    return sum(
        all(_replica(fleet, n).store.get(("out", subject, "")) for subject in subjects) for n in fleet.names
    )


def _run_until_replicated(
    fleet: CountingFleet, subjects: Sequence[str], timeout_s: float, step_s: float
) -> float:
    """Runs until every node has all of these marks. Returns the seconds taken, infinity after `timeout_s`."""
    began_s = fleet.now_s()
    while _nodes_with_marks(fleet, subjects) < len(fleet.names):
        if fleet.now_s() - began_s > timeout_s:
            return float("inf")
        fleet.run_for(step_s)
    return fleet.now_s() - began_s


def single_marks(nodes: int) -> Figures:
    """Marks one after another, and at several rates.

    Only marks one after another are measured here; `mark_rates` measures the rates.
    """
    fleet = _settled_fleet(nodes)
    took: list[float] = []
    outcomes: list[MarkOutcome] = []
    for n in range(SINGLE_MARKS):
        _write_mark(fleet, fleet.names[n * 7 % nodes], f"one-{n}", outcomes)
        took.append(_run_until_replicated(fleet, [f"one-{n}"], 60.0, 0.02))
        fleet.run_for(1.0)
    _await_marks(fleet, outcomes, SINGLE_MARKS)
    return {"mark.seconds_median": median(took), "mark.seconds_most": max(took)}


def mark_rates(nodes: int, rates: Sequence[int] = (0, *MARK_RATES_PER_S)) -> Figures:
    """Returns, by marks per second, the median bytes per second of the nodes that are neither leader nor
    voter, the median processor time of all nodes but the leader, and both figures of the leader of the marks
    task.
    """
    fleet = _settled_fleet(nodes)
    leader = fleet.leader_of(MARKS_TASK) or fleet.names[0]
    figures: Figures = {}
    outcomes: list[MarkOutcome] = []
    for rate in rates:
        fleet.run_for(10.0)  # pause between two rates
        fleet.reset_counts()
        for n in range(int(rate * RATE_DURATION_S)):
            _write_mark(fleet, fleet.names[n * 7 % nodes], f"rate-{rate}-{n}", outcomes)
            fleet.run_for(1.0 / rate)
        fleet.run_for(RATE_DURATION_S if not rate else 0.0)
        counts = fleet.counts
        ordinary = [counts[name].bytes for name in fleet.names if name not in (leader, *fleet.voters)]
        figures[f"mark_rate.{rate}.bytes_s"] = median(ordinary) / RATE_DURATION_S
        figures[f"mark_rate.{rate}.owner_bytes_s"] = counts[leader].bytes / RATE_DURATION_S
        figures[f"mark_rate.{rate}.cpu"] = (
            median(counts[name].cpu_ns for name in fleet.names if name != leader) / 1e9 / RATE_DURATION_S
        )
        figures[f"mark_rate.{rate}.owner_cpu"] = counts[leader].cpu_ns / 1e9 / RATE_DURATION_S
    _await_marks(fleet, outcomes, sum(int(rate * RATE_DURATION_S) for rate in rates))
    return figures


def mark_cost(nodes: int) -> Figures:
    """Bytes and processor time that one mark costs an ordinary node and the owner, by the number of nodes."""
    figures = mark_rates(nodes, (0, COST_MARKS_PER_S))
    return {
        f"mark_cost.{quantity}": (
            figures[f"mark_rate.{COST_MARKS_PER_S}.{rate_quantity}"] - figures[f"mark_rate.0.{rate_quantity}"]
        )
        / COST_MARKS_PER_S
        for quantity, rate_quantity in MARK_COSTS.items()
    }


def mark_burst(nodes: int) -> Figures:
    """A thousand marks at once, at one node."""
    fleet = _settled_fleet(nodes)
    fleet.reset_counts()
    outcomes: list[MarkOutcome] = []
    began_s = fleet.now_s()
    for n in range(BURST_MARKS):
        _write_mark(fleet, fleet.names[-1], f"burst-{n:04}", outcomes)
    took_s = _run_until_replicated(fleet, [f"burst-{n:04}" for n in range(BURST_MARKS)], 120.0, 0.25)
    _await_marks(fleet, outcomes, BURST_MARKS)
    return {
        "burst.seconds": took_s,
        "burst.bytes_busiest_second": _max_bytes_in_a_second(list(fleet.counts.values())),
        "burst.bytes_node": _median_bytes(list(fleet.counts.values())) / max(1.0, fleet.now_s() - began_s),
    }


def region_cut(nodes: int, cut_s: float = CUT_S) -> Figures:
    """One region in six cut off; the changes of an hour are made on the larger side; then healed."""
    fleet = _settled_fleet(nodes)
    cut_off = fleet.names[-max(1, nodes // REGIONS) :]
    other_nodes = [name for name in fleet.names if name not in cut_off]
    cut_number = fleet.cut(cut_off, other_nodes)
    outcomes: list[MarkOutcome] = []
    for n in range(CHANGES_PER_HOUR):
        _write_mark(fleet, other_nodes[n * 7 % len(other_nodes)], f"cut-{n:04}", outcomes)
        fleet.run_for(cut_s / CHANGES_PER_HOUR)
    _await_marks(fleet, outcomes, CHANGES_PER_HOUR)
    fleet.reset_counts()
    fleet.heal(cut_number)
    began_s = fleet.now_s()
    converged_s = _run_until_replicated(fleet, [f"cut-{n:04}" for n in range(CHANGES_PER_HOUR)], 120.0, 0.25)
    members_s = converged_s + fleet.run_until_converged(CONVERGENCE_TIMEOUT_S)
    return {
        "cut.alike_seconds": converged_s,
        "cut.members_seconds": members_s,
        "cut.bytes_busiest_second": _max_bytes_in_a_second(list(fleet.counts.values())),
        "cut.bytes_s": _median_bytes(list(fleet.counts.values())) / max(1.0, fleet.now_s() - began_s),
    }


def hour_long_cut(nodes: int) -> Figures:
    """As `cut`, for a whole hour."""
    return {f"hour.{name}": value for name, value in region_cut(nodes, 3_600.0).items()}


# ---------------------------------------------------------------------- permits


def permit_queue(waiting: int) -> Figures:
    """So many of a hundred nodes want to be drained at once: one does, the others wait in line."""
    fleet = _settled_fleet(100)
    leader = fleet.leader_of(PERMITS_TASK) or fleet.names[0]
    for name in fleet.names[-waiting:]:
        agent = fleet.nodes[name].agent
        assert agent is not None and agent.permit_holder is not None
        agent.permit_holder.request("drain", name)
        fleet._run_soon(fleet.nodes[name])
    fleet.run_for(5.0)  # pause before counting
    fleet.reset_counts()
    fleet.run_for(REST_OBSERVATION_S)
    traffic = fleet.counts[leader].group(PERMITS_TASK)
    return {
        "permits.bytes_s": traffic.bytes / REST_OBSERVATION_S,
        "permits.messages_s": traffic.messages / REST_OBSERVATION_S,
    }


# ---------------------------------------------------------------------- scenarios at all sizes

FLEET_SCENARIOS: dict[str, tuple[Callable[[int], Figures], tuple[int, ...], str]] = {
    "rest": (start_and_rest, (50, 100, 200, 400, 800), "nodes"),
    "change": (member_changes, (50, 100, 200, 400), "nodes"),
    "marks": (single_marks, (50, 100, 200, 400), "nodes"),
    "mark_rates": (mark_rates, (100,), "nodes"),
    "mark_cost": (mark_cost, (50, 100, 200, 400), "nodes"),
    "burst": (mark_burst, (50, 100, 200, 400), "nodes"),
    "cut": (region_cut, (50, 100, 200, 400), "nodes"),
    "hour": (hour_long_cut, (50,), "nodes"),
    "permits": (permit_queue, (5, 10, 20, 40), "nodes that wait"),
}
SCENARIO_CONDITIONS = (
    "a fleet in virtual time, all tables of the operator's file on with their defaults, 7 voters, 1 to 3 ms"
)


def measure_scenario(scenario: str) -> list[Measurement]:
    """Returns a measurement for each figure that the runs of all sizes have in common."""
    run, sizes, size_name = FLEET_SCENARIOS[scenario]
    with ProcessPoolExecutor(MAX_PROCESSES, max_tasks_per_child=1) as pool:
        largest_first = sorted(sizes, reverse=True)
        results = dict(zip(largest_first, pool.map(run, largest_first), strict=True))
    names = sorted(set.intersection(*(set(results[size]) for size in sizes)))
    if scenario == "mark_rates":
        return _rate_measurements(results[sizes[0]])
    return [
        Measurement(
            name,
            size_name,
            _unit(name),
            [float(size) for size in sizes],
            [results[size][name] for size in sizes],
            f"{SCENARIO_CONDITIONS}; {(run.__doc__ or '').splitlines()[0]}",
        )
        for name in names
    ]


def _rate_measurements(figures: Figures) -> list[Measurement]:
    rates = [0, *MARK_RATES_PER_S]
    return [
        Measurement(
            f"mark_rate.{quantity}",
            "marks a second",
            _unit(quantity),
            [float(rate) for rate in rates],
            [figures[f"mark_rate.{rate}.{quantity}"] for rate in rates],
            f"{SCENARIO_CONDITIONS}; 100 nodes, marks at one node after another for {RATE_DURATION_S:.0f} s",
        )
        for quantity in ("bytes_s", "owner_bytes_s", "cpu", "owner_cpu")
    ]


def _unit(name: str) -> str:
    quantity = name.rsplit(".", 1)[-1]
    if "memory" in quantity:
        return "MB"
    if "cpu_s" in quantity or "seconds" in quantity:
        return "s"
    if "cpu" in quantity:
        return "of a core"
    if "messages" in quantity:
        return "messages/s"
    if quantity == "done":
        return "marks"
    return "bytes/s" if quantity.endswith("_s") or "second" in quantity else "bytes"
