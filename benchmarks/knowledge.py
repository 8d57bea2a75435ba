"""How soon the nodes of a tier know of a change, and what that costs, by the number of nodes.

    python -m benchmarks.knowledge [NODES ...]

The rounds of `sailrun/load_gossip/`, in virtual time, while something goes on: 90 form servers, five
sessions a node. In the middle of a round two nodes in five place one more session at one form server.
Printed, for each number of nodes and share of datagrams lost: seconds until half and until 99 in 100 of the
nodes know its new load to 15%, datagrams and bytes that a node sends a second, and what the rounds keep in
memory a node.
"""

from __future__ import annotations

import sys
import tracemalloc
from dataclasses import replace
from random import Random

from tests.test_load_gossip import SimulatedFleet, local_load

SECOND = 1_000_000
FORM_SERVERS, SESSIONS, LOAD = 90, 5, 30_000.0
SETTLED_US, LOOK_US, MOST_US = 30 * SECOND, 50_000, 90 * SECOND
SUBJECT = 7


def measure(
    nodes: int, lost: float, seed: int, load: float = LOAD
) -> tuple[float, float, float, float, float]:
    """Seconds until half and until 99 in 100 know; datagrams and bytes a node and second; KiB a node. `load`
    is a session's, in us of work a second.
    """
    random = Random(seed)
    tracemalloc.start()
    loads = [dict.fromkeys(range(FORM_SERVERS), 0.0) for _ in range(nodes)]
    for own in loads:
        for _ in range(SESSIONS):
            own[random.randrange(FORM_SERVERS)] += load
    fleet = SimulatedFleet([local_load(own) for own in loads], seed, lost)
    fleet.play(SETTLED_US)
    kept = tracemalloc.get_traced_memory()[0] / nodes / 1024
    tracemalloc.stop()
    sent, bytes_ = fleet.sent, fleet.bytes
    changed_us = SETTLED_US + random.randrange(2 * SECOND)
    fleet.play(changed_us)
    for k in random.sample(range(nodes), max(1, 2 * nodes // 5)):
        own = {**loads[k], SUBJECT: loads[k][SUBJECT] + load}
        loads[k], fleet.local_loads[k] = own, replace(fleet.local_loads[k], loads=own)
    whole = sum(own[SUBJECT] for own in loads)
    half = most = float("inf")
    now_us = changed_us
    while most == float("inf") and now_us < changed_us + MOST_US:
        now_us += LOOK_US
        fleet.play(now_us)
        knows = 0
        for k, others in fleet.estimates.items():
            rest = whole - loads[k][SUBJECT]
            knows += abs(others.loads.get(SUBJECT, 0.0) - rest) <= 0.15 * rest
        took_s = (now_us - changed_us) / SECOND
        half = min(half, took_s if knows >= nodes / 2 else half)
        most = took_s if knows >= 0.99 * nodes else most
    seconds = (now_us - SETTLED_US) / SECOND
    return half, most, (fleet.sent - sent) / nodes / seconds, (fleet.bytes - bytes_) / nodes / seconds, kept


def main() -> None:
    counts = [int(word) for word in sys.argv[1:]] or [4, 40, 200, 1_000]
    print(f"{'nodes':>6} {'lost':>5} {'half s':>7} {'99% s':>7} {'sent/s':>7} {'bytes/s':>8} {'KiB':>6}")
    for nodes in counts:
        for lost in (0.0, 0.1, 0.3):
            found = sorted(measure(nodes, lost, seed) for seed in range(1, 4))[1]  # the middle one of three
            half, most, sent, bytes_, kept = found
            print(
                f"{nodes:6} {lost:5.1f} {half:7.2f} {most:7.2f} {sent:7.2f} {bytes_:8.0f} {kept:6.0f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
