"""Measures the time of one placement in the decision module, by the number of form servers.

    python benchmarks/placement.py [COUNT ...]

Prints, for each COUNT, the microseconds that the decision module takes for the arrival of a request, for a
whole request (arrival, opening of its connection and end), and for finding out whether an open connection
would now be placed elsewhere, with five open connections per form server. The figures are medians over
batches, on the core that the benchmark runs on.
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

SECOND_US = 1_000_000
BATCH_COUNT, BATCH_SIZE = 15, 200


def measure(backend_count: int) -> tuple[float, float, float]:
    settings = Settings(
        zone="a",
        classes=(RequestClass("page-load", 500_000, 2_000_000, message_objective_us=50_000.0),),
        drain_grace_us=2 * SECOND_US,
        initial_capacity_share=0.13,
        slow_start_us=24 * SECOND_US,
        overload_multiple=3.0,
        overload_window_us=3 * SECOND_US,
        tick_us=5_000,
    )
    balancer = Balancer(settings, 1, 0)
    backends = tuple(
        Backend(n * 2_654_435_761 & 0xFFFFFFFF, BackendState.READY) for n in range(1, backend_count + 1)
    )
    balancer.handle(0, BackendListUpdate(ListKind.FULL, 1, backends))
    now_us, request_count = 0, 0

    def place_request() -> tuple[str, int]:
        nonlocal now_us, request_count
        now_us += 1_000
        request_count += 1
        name = f"r{request_count}"
        (attempt,) = balancer.handle(
            now_us, RequestArrived(name, "page-load", 2_000_000, key=f"{request_count:016x}")
        )
        assert isinstance(attempt, StartAttempt)
        return name, attempt.backend

    established = []
    for _ in range(5 * backend_count):
        name, backend = place_request()
        balancer.handle(now_us, ConnectionOpened(name, 0, backend, 10_000))
        established.append((name, backend))
    arrival_us, total_us, alternative_us = [], [], []
    for _ in range(BATCH_COUNT):
        start_ns = time.perf_counter_ns()
        placed = [place_request() for _ in range(BATCH_SIZE)]
        arrival_us.append((time.perf_counter_ns() - start_ns) / BATCH_SIZE / 1000)
        for name, backend in placed:
            balancer.handle(now_us, ConnectionOpened(name, 0, backend, 10_000))
        for name, backend in placed:
            balancer.handle(now_us, AttemptEnded(name, 0, backend, AttemptOutcome.OK, True))
        total_us.append((time.perf_counter_ns() - start_ns) / BATCH_SIZE / 1000)
        start_ns = time.perf_counter_ns()
        for name, _ in established[:BATCH_SIZE]:
            balancer.choose_other_backend(now_us, [name])
        alternative_us.append((time.perf_counter_ns() - start_ns) / min(BATCH_SIZE, len(established)) / 1000)
    return statistics.median(arrival_us), statistics.median(total_us), statistics.median(alternative_us)


def main() -> None:
    print(f"{'form servers':>12} {'arrival us':>12} {'total us':>12} {'other us':>13}")
    for backend_count in [int(argument) for argument in sys.argv[1:]] or [14, 140, 1400]:
        print(f"{backend_count:12} " + " ".join(f"{figure_us:12.1f}" for figure_us in measure(backend_count)))


if __name__ == "__main__":
    main()
