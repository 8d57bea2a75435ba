"""Measures how fast and at what cost the nodes of a fleet learn of a changed load, by the number of nodes.

    python -m benchmarks.knowledge [NODES ...]

Runs the aggregation rounds of `sailrun/load_gossip/` in virtual time, with 90 form servers and five sessions
at each node. In the middle of a round, two nodes in five place one more session at one form server. Prints,
for each number of nodes and share of lost datagrams, the seconds until half and until 99 in 100 of the nodes
know the server's new load to within 15%, the datagrams and bytes that a node sends per second, and the memory
per node of the rounds and their simulation.
"""

from __future__ import annotations

import sys
import tracemalloc
from dataclasses import replace
from random import Random

from tests.test_load_gossip import SimulatedFleet, local_load

SECOND_US = 1_000_000
# LOAD is the load of one session, in microseconds of work per second.
FORM_SERVER_COUNT, SESSIONS_PER_NODE, LOAD = 90, 5, 30_000.0
SETTLE_TIME_US, CHECK_INTERVAL_US, TIMEOUT_US = 30 * SECOND_US, 50_000, 90 * SECOND_US
CHANGED_SERVER = 7


def measure(
    nodes: int, loss_rate: float, seed: int, load: float = LOAD
) -> tuple[float, float, float, float, float]:
    """Returns the seconds until half and until 99 in 100 of the nodes know the new load (infinite after
    TIMEOUT_US), the datagrams and the bytes that a node sends per second, and the KiB of memory per node.

    `load` is the load of one session, in microseconds of work per second.
    """
    rng = Random(seed)
    tracemalloc.start()
    loads = [dict.fromkeys(range(FORM_SERVER_COUNT), 0.0) for _ in range(nodes)]
    for own_loads in loads:
        for _ in range(SESSIONS_PER_NODE):
            own_loads[rng.randrange(FORM_SERVER_COUNT)] += load
    fleet = SimulatedFleet([local_load(own_loads) for own_loads in loads], seed, loss_rate)
    fleet.play(SETTLE_TIME_US)
    memory_kib = tracemalloc.get_traced_memory()[0] / nodes / 1024
    tracemalloc.stop()
    initial_sent, initial_bytes = fleet.sent, fleet.bytes
    changed_us = SETTLE_TIME_US + rng.randrange(2 * SECOND_US)
    fleet.play(changed_us)
    for node in rng.sample(range(nodes), max(1, 2 * nodes // 5)):
        own_loads = {**loads[node], CHANGED_SERVER: loads[node][CHANGED_SERVER] + load}
        loads[node], fleet.local_loads[node] = own_loads, replace(fleet.local_loads[node], loads=own_loads)
    total_load = sum(own_loads[CHANGED_SERVER] for own_loads in loads)
    half_s = p99_s = float("inf")
    now_us = changed_us
    while p99_s == float("inf") and now_us < changed_us + TIMEOUT_US:
        now_us += CHECK_INTERVAL_US
        fleet.play(now_us)
        informed_count = 0
        for node, estimate in fleet.estimates.items():
            expected_load = total_load - loads[node][CHANGED_SERVER]
            informed_count += (
                abs(estimate.loads.get(CHANGED_SERVER, 0.0) - expected_load) <= 0.15 * expected_load
            )
        elapsed_s = (now_us - changed_us) / SECOND_US
        half_s = min(half_s, elapsed_s if informed_count >= nodes / 2 else half_s)
        p99_s = elapsed_s if informed_count >= 0.99 * nodes else p99_s
    duration_s = (now_us - SETTLE_TIME_US) / SECOND_US
    return (
        half_s,
        p99_s,
        (fleet.sent - initial_sent) / nodes / duration_s,
        (fleet.bytes - initial_bytes) / nodes / duration_s,
        memory_kib,
    )


def main() -> None:
    node_counts = [int(argument) for argument in sys.argv[1:]] or [4, 40, 200, 1_000]
    print(f"{'nodes':>6} {'lost':>5} {'half s':>7} {'99% s':>7} {'sent/s':>7} {'bytes/s':>8} {'KiB':>6}")
    for nodes in node_counts:
        for loss_rate in (0.0, 0.1, 0.3):
            # Of the three runs, that with the median time until half of the nodes know.
            median_run = sorted(measure(nodes, loss_rate, seed) for seed in range(1, 4))[1]
            half_s, p99_s, sent_per_s, bytes_per_s, memory_kib = median_run
            print(
                f"{nodes:6} {loss_rate:5.1f} {half_s:7.2f} {p99_s:7.2f} "
                f"{sent_per_s:7.2f} {bytes_per_s:8.0f} {memory_kib:6.0f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
