"""What one placement costs the decision module, by the number of form servers.

    python benchmarks/placement.py [COUNT ...]

Prints, for each count, the microseconds of an arrival, of the whole of arrival, set-up and end, and of asking
where a standing connection would go now. Medians of batches, on the core it runs on.
"""

from __future__ import annotations

import statistics
import sys
import time

from sailrun import Balancer
from sailrun.decisions.actions import StartAttempt
from sailrun.decisions.events import (
    AttemptEnded,
    AttemptOutcome,
    Backend,
    BackendListUpdate,
    BackendState,
    ConnectionOpened,
    ListKind,
    RequestArrived,
)
from sailrun.decisions.settings import RequestClass, Settings

SECOND = 1_000_000
BATCHES, BATCH = 15, 200


def measure(count: int) -> tuple[float, float, float]:
    settings = Settings(
        zone="a",
        classes=(RequestClass("page-load", 500_000, 2_000_000, message_objective_us=50_000.0),),
        drain_grace_us=2 * SECOND,
        initial_capacity_share=0.13,
        slow_start_us=24 * SECOND,
        overload_multiple=3.0,
        overload_window_us=3 * SECOND,
        tick_us=5_000,
    )
    node = Balancer(settings, 1, 0)
    entries = tuple(Backend(n * 2_654_435_761 & 0xFFFFFFFF, BackendState.READY) for n in range(1, count + 1))
    node.handle(0, BackendListUpdate(ListKind.FULL, 1, entries))
    now_us, asked = 0, 0

    def arrive() -> tuple[str, int]:
        nonlocal now_us, asked
        now_us += 1_000
        asked += 1
        name = f"r{asked}"
        (send,) = node.handle(now_us, RequestArrived(name, "page-load", 2_000_000, key=f"{asked:016x}"))
        assert isinstance(send, StartAttempt)
        return name, send.backend

    standing = []
    for _ in range(5 * count):
        name, backend = arrive()
        node.handle(now_us, ConnectionOpened(name, 0, backend, 10_000))
        standing.append((name, backend))
    arrivals, wholes, questions = [], [], []
    for _ in range(BATCHES):
        began = time.perf_counter_ns()
        placed = [arrive() for _ in range(BATCH)]
        arrivals.append((time.perf_counter_ns() - began) / BATCH / 1000)
        for name, backend in placed:
            node.handle(now_us, ConnectionOpened(name, 0, backend, 10_000))
        for name, backend in placed:
            node.handle(now_us, AttemptEnded(name, 0, backend, AttemptOutcome.OK, True))
        wholes.append((time.perf_counter_ns() - began) / BATCH / 1000)
        began = time.perf_counter_ns()
        for name, _ in standing[:BATCH]:
            node.choose_other_backend(now_us, [name])
        questions.append((time.perf_counter_ns() - began) / min(BATCH, len(standing)) / 1000)
    return statistics.median(arrivals), statistics.median(wholes), statistics.median(questions)


def main() -> None:
    print(f"{'form servers':>12} {'arrival us':>12} {'whole us':>12} {'elsewhere us':>13}")
    for count in [int(word) for word in sys.argv[1:]] or [14, 140, 1400]:
        print(f"{count:12} " + " ".join(f"{us:12.1f}" for us in measure(count)))


if __name__ == "__main__":
    main()
