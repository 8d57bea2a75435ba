"""What owners and members cost and how long they take.

`python benchmarks/owners.py [PART...]`, in virtual time.

Parts: `change` (time without an owner after SIGKILL and after an orderly leave), `false` (changes of owner
in an hour in which nothing failed but the network), `known` (time until a dead node is known by all others),
`cost` (bytes and messages of a node in a second, at rest), `explore` (every order of events in small cases).
"""

from __future__ import annotations

import sys
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

from sailrun.lab.faults.explore import Bounds, Explorer
from sailrun.lab.faults.history import HistoryChecker
from sailrun.lab.faults.nemesis import PLANS
from sailrun.lab.faults.play import agent_terms, voters_among
from sailrun.lab.faults.virtual import VirtualFleet
from sailrun.lab.figures import quantile
from sailrun.lab.scheduler import BEGIN_US

SECOND = 1_000_000
WEATHERS = {
    "calm": (0.0, (1_000, 3_000)),
    "10% lost": (0.10, (1_000, 3_000)),
    "30% lost": (0.30, (1_000, 3_000)),
    "200 ms": (0.0, (180_000, 220_000)),
    "10% lost, 200 ms": (0.10, (180_000, 220_000)),
}


def _fleet(nodes: int, seed: int, zones: int = 1) -> VirtualFleet:
    fleet = VirtualFleet(
        nodes,
        voters_among(nodes),
        zones,
        lambda index, voters, joins: agent_terms(index, voters, joins, PLANS["owner"]),
        seed,
    )
    fleet.begin()
    return fleet


def _changes(seed: int) -> tuple[list[float], list[float]]:
    """One owner killed, another one told to leave: how long the task had none."""
    fleet = _fleet(7, seed)
    task, gaps = "roster/z0", []
    for n, ends in enumerate((fleet.kill, fleet.leave)):
        fleet.run(20.0 + 30.0 * n)
        owner = fleet.owner(task)
        if owner is None:
            raise RuntimeError(f"seed {seed}: nobody owns {task}")
        at_us = fleet.time.now_us
        ends(owner)
        fleet.time.after(5 * SECOND, fleet.start, owner)
        fleet.run(40.0 + 30.0 * n)
        gap_s = HistoryChecker(fleet.rows, {}, BEGIN_US, fleet.time.now_us).without_owner_s(task, at_us)
        gaps.append(gap_s if gap_s is not None else float("inf"))
    return [gaps[0]], [gaps[1]]


def _false(asked: tuple[str, int]) -> int:
    weather, seed = asked
    fleet = _fleet(5, seed)
    fleet.run(20.0)
    lost, delay_us = WEATHERS[weather]
    fleet.set_network_faults(lost, delay_us, 0.0)
    fleet.rows.clear()
    fleet.run(3_620.0)
    return sum(1 for row in fleet.rows if row["kind"] == "lost")


def _known(asked: tuple[int, int]) -> float:
    """Seconds from a node's death until the last of the others took it for gone."""
    nodes, seed = asked
    fleet = _fleet(nodes, seed)
    settled = 15.0 if nodes < 100 else 30.0 if nodes < 500 else 90.0
    fleet.run(settled)
    name = fleet.names[-1]
    fleet.kill(name)
    passed = settled
    while any(n.agent is not None and n.agent.members.is_living(name) for n in fleet.nodes.values()):
        passed += 0.25
        fleet.run(passed)
        if passed > settled + 60:
            return float("inf")
    return passed - settled


def _cost(nodes: int) -> tuple[float, float]:
    fleet = _fleet(nodes, 1)
    settled = 15.0 if nodes < 100 else 60.0 if nodes < 500 else 150.0
    fleet.run(settled)
    before, fleet.bytes, fleet.encoded_count = sum(fleet.by_body.values()), 0, 0
    fleet.run(settled + 20.0)
    sent = sum(fleet.by_body.values()) - before
    return fleet.bytes / max(1, fleet.encoded_count) * sent / nodes / 20.0, sent / nodes / 20.0


def _spread(values: list[float]) -> str:
    return f"median {quantile(values, 0.5):.2f} s, 99 in 100 {quantile(values, 0.99):.2f} s"


def change(pool: ProcessPoolExecutor) -> Iterator[str]:
    found = list(pool.map(_changes, range(1, 201)))
    for n, what in enumerate(("SIGKILL", "an orderly leave")):
        yield f"without an owner after {what}: {_spread([gap for one in found for gap in one[n]])}, 200 seeds"


def false(pool: ProcessPoolExecutor) -> Iterator[str]:
    asked = [(weather, seed) for weather in WEATHERS for seed in range(1, 9)]
    found = list(zip(asked, pool.map(_false, asked), strict=True))
    for weather in WEATHERS:
        counts = [count for (its, _), count in found if its == weather]
        yield f"{weather:18} {sum(counts)} changes of owner in {len(counts)} hours"


def known(pool: ProcessPoolExecutor) -> Iterator[str]:
    for nodes, seeds in ((5, 40), (50, 16), (200, 8), (1_000, 2)):
        found = list(pool.map(_known, [(nodes, seed) for seed in range(1, seeds + 1)]))
        yield f"{nodes:5} nodes: a dead one known by all, {_spread(found)}, {seeds} seeds"


def cost(pool: ProcessPoolExecutor) -> Iterator[str]:
    sizes = (5, 50, 200, 1_000)
    for nodes, (count, messages) in zip(sizes, pool.map(_cost, sizes), strict=True):
        yield f"{nodes:5} nodes: {count:.0f} bytes and {messages:.1f} messages of a node in a second"


def explore(pool: ProcessPoolExecutor) -> Iterator[str]:
    for bounds in (Bounds(4, 2, 2, 0), Bounds(5, 3, 2, 1), Bounds(8, 1, 2, 1, 400_000, True)):
        began_s = time.monotonic()
        found = Explorer(bounds).explore()
        whole = "all" if found.complete else "stopped"
        size = (bounds.deliveries, bounds.steps, bounds.turns, bounds.restarts)
        yield (
            f"{size} deliveries, steps, turns, restarts: {found.states} states ({whole}), "
            f"{found.events} events, {found.owners} with an owner, {found.changes} changes; "
            f"{found.fault or 'nothing broken'}; {time.monotonic() - began_s:.0f} s"
        )


PARTS = {"change": change, "false": false, "known": known, "cost": cost, "explore": explore}


def main() -> None:
    with ProcessPoolExecutor() as pool:
        for part in sys.argv[1:] or PARTS:
            for line in PARTS[part](pool):
                print(line, flush=True)


if __name__ == "__main__":
    main()
