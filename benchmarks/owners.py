"""Measures leader election and membership: their network traffic and the time that they take.

`python benchmarks/owners.py [PART...]`; all parts run in virtual time.

Parts:

- `change`: the time without a leader after SIGKILL and after a graceful leave;
- `false`: how often a leader loses its task in an hour in which only the network has faults;
- `known`: the time until all other nodes know that a node is dead;
- `cost`: the bytes and messages that an idle node sends per second;
- `explore`: a search through the orders of events in small cases, exhaustive unless it reaches its limit of
  states.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

from sailrun.lab.faults.explore import Bounds, Explorer
from sailrun.lab.faults.history import HistoryChecker
from sailrun.lab.faults.nemesis import PLANS
from sailrun.lab.faults.runs import agent_settings, voters_among
from sailrun.lab.faults.virtual import VirtualFleet
from sailrun.lab.figures import quantile
from sailrun.lab.scheduler import BEGIN_US

SECOND_US = 1_000_000
# Share of lost datagrams, and lowest and highest delay in microseconds.
NETWORK_CONDITIONS = {
    "calm": (0.0, (1_000, 3_000)),
    "10% lost": (0.10, (1_000, 3_000)),
    "30% lost": (0.30, (1_000, 3_000)),
    "200 ms": (0.0, (180_000, 220_000)),
    "10% lost, 200 ms": (0.10, (180_000, 220_000)),
}


def _create_fleet(node_count: int, seed: int, zones: int = 1) -> VirtualFleet:
    fleet = VirtualFleet(
        node_count,
        voters_among(node_count),
        zones,
        lambda index, voters, joins: agent_settings(index, voters, joins, PLANS["owner"]),
        seed,
    )
    fleet.begin()
    return fleet


def _measure_failover(seed: int) -> tuple[list[float], list[float]]:
    """Kills a task's leader, and later has its next leader leave.

    Returns the seconds without a leader after each of the two, infinite if no leader followed, each as a list
    with one value.
    """
    fleet = _create_fleet(7, seed)
    task, gaps_s = "roster/z0", []
    for n, stop in enumerate((fleet.kill, fleet.leave)):
        fleet.run(20.0 + 30.0 * n)
        leader = fleet.leader_of(task)
        if leader is None:
            raise RuntimeError(f"seed {seed}: task {task} has no leader, expected one")
        stopped_us = fleet.time.now_us
        stop(leader)
        fleet.time.after(5 * SECOND_US, fleet.start, leader)
        fleet.run(40.0 + 30.0 * n)
        gap_s = HistoryChecker(fleet.rows, {}, BEGIN_US, fleet.time.now_us).seconds_without_leader(
            task, stopped_us
        )
        gaps_s.append(gap_s if gap_s is not None else float("inf"))
    return [gaps_s[0]], [gaps_s[1]]


def _count_leadership_losses(arguments: tuple[str, int]) -> int:
    """Returns how often a leader lost its task in an hour under the given network condition."""
    condition, seed = arguments
    fleet = _create_fleet(5, seed)
    fleet.run(20.0)
    loss_rate, delay_us = NETWORK_CONDITIONS[condition]
    fleet.set_network_faults(loss_rate, delay_us, 0.0)
    fleet.rows.clear()
    fleet.run(3_620.0)
    return sum(1 for row in fleet.rows if row["kind"] == "lost")


def _measure_death_detection(arguments: tuple[int, int]) -> float:
    """Returns the seconds from a node's death until none of the others regards it as alive any more, infinite
    after 60 s.
    """
    node_count, seed = arguments
    fleet = _create_fleet(node_count, seed)
    settle_time_s = 15.0 if node_count < 100 else 30.0 if node_count < 500 else 90.0
    fleet.run(settle_time_s)
    killed = fleet.names[-1]
    fleet.kill(killed)
    time_s = settle_time_s
    while any(
        node.agent is not None and node.agent.members.is_living(killed) for node in fleet.nodes.values()
    ):
        time_s += 0.25
        fleet.run(time_s)
        if time_s > settle_time_s + 60:
            return float("inf")
    return time_s - settle_time_s


def _measure_traffic(node_count: int) -> tuple[float, float]:
    """Returns the bytes and the messages that a node sends per second."""
    fleet = _create_fleet(node_count, 1)
    settle_time_s = 15.0 if node_count < 100 else 60.0 if node_count < 500 else 150.0
    fleet.run(settle_time_s)
    initial_messages, fleet.bytes, fleet.encoded_count = sum(fleet.message_counts.values()), 0, 0
    fleet.run(settle_time_s + 20.0)
    message_count = sum(fleet.message_counts.values()) - initial_messages
    # Only a sample of the messages is encoded: mean size in the sample times the number of messages.
    return fleet.bytes / max(
        1, fleet.encoded_count
    ) * message_count / node_count / 20.0, message_count / node_count / 20.0


def _format_quantiles(values_s: list[float]) -> str:
    return f"median {quantile(values_s, 0.5):.2f} s, 99th percentile {quantile(values_s, 0.99):.2f} s"


def report_failover(pool: ProcessPoolExecutor) -> Iterator[str]:
    results = list(pool.map(_measure_failover, range(1, 201)))
    for n, stop_kind in enumerate(("SIGKILL", "a graceful leave")):
        yield (
            f"without a leader after {stop_kind}: "
            f"{_format_quantiles([gap_s for gaps_s in results for gap_s in gaps_s[n]])}, 200 seeds"
        )


def report_leadership_losses(pool: ProcessPoolExecutor) -> Iterator[str]:
    cases = [(condition, seed) for condition in NETWORK_CONDITIONS for seed in range(1, 9)]
    results = list(zip(cases, pool.map(_count_leadership_losses, cases), strict=True))
    for condition in NETWORK_CONDITIONS:
        loss_counts = [
            loss_count for (case_condition, _), loss_count in results if case_condition == condition
        ]
        yield f"{condition:18} {sum(loss_counts)} leaders lost in {len(loss_counts)} hours"


def report_death_detection(pool: ProcessPoolExecutor) -> Iterator[str]:
    for node_count, seed_count in ((5, 40), (50, 16), (200, 8), (1_000, 2)):
        detection_s = list(
            pool.map(_measure_death_detection, [(node_count, seed) for seed in range(1, seed_count + 1)])
        )
        yield (
            f"{node_count:5} nodes: death of a node known to all others, {_format_quantiles(detection_s)}, "
            f"{seed_count} seeds"
        )


def report_traffic(pool: ProcessPoolExecutor) -> Iterator[str]:
    node_counts = (5, 50, 200, 1_000)
    for node_count, (bytes_per_s, messages_per_s) in zip(
        node_counts, pool.map(_measure_traffic, node_counts), strict=True
    ):
        yield (
            f"{node_count:5} nodes: {bytes_per_s:.0f} bytes and {messages_per_s:.1f} messages "
            "per node and second"
        )


def report_exploration(pool: ProcessPoolExecutor) -> Iterator[str]:
    for bounds in (Bounds(4, 2, 2, 0), Bounds(5, 3, 2, 1), Bounds(8, 1, 2, 1, 400_000, True)):
        start_s = time.monotonic()
        result = Explorer(bounds).explore()
        extent = "complete" if result.complete else "stopped at its limit of states"
        limits = (bounds.deliveries, bounds.steps, bounds.turns, bounds.restarts)
        yield (
            f"{limits} deliveries, time steps, candidate turns, restarts at most: "
            f"{result.states} states ({extent}), {result.events} events, "
            f"{result.led_states} with a leader, {result.changes} changes of leader; "
            f"{result.violation or 'no fault found'}; {time.monotonic() - start_s:.0f} s"
        )


PARTS = {
    "change": report_failover,
    "false": report_leadership_losses,
    "known": report_death_detection,
    "cost": report_traffic,
    "explore": report_exploration,
}


def main() -> None:
    with ProcessPoolExecutor() as pool:
        for part in sys.argv[1:] or PARTS:
            for line in PARTS[part](pool):
                print(line, flush=True)


if __name__ == "__main__":
    main()
