"""The checks of a scale run, computed from recorded rows and times without I/O.

The checks call the leader of a task its owner.
"""

from __future__ import annotations

from collections.abc import Iterable

from sailrun.lab.faults.history import HistoryChecker, Row, Span
from sailrun.lab.figures import quantile
from sailrun.lab.run import Outcome, finite
from sailrun.lab.scale.host_messages import NodeReport

# The time within which every node must know every other, after the start and after the last fault.
CONVERGENCE_LIMIT_S = 60.0
# A host is overloaded if the 99th percentile of its event loop lateness exceeds this limit. The figures of
# its nodes are then invalid.
MAX_LATE_MS, LATE_QUANTILE = 100.0, 0.99
MAX_NAMED_FAULTS = 5


def members_known_check(name: str, seconds: float, lacking: Iterable[str], occasions: int) -> Outcome:
    """Checks that every node knew every other in time.

    `seconds`: the time until every node knew every other; infinite if it never happened. `occasions`: the
    number of events that the nodes had to recover from; with none the check fails, because nothing was
    tested.
    """
    faults = [f"{node} does not know exactly the running members" for node in lacking][:MAX_NAMED_FAULTS]
    holds = seconds <= CONVERGENCE_LIMIT_S and occasions > 0
    return Outcome(name, finite(seconds), CONVERGENCE_LIMIT_S, holds, faults, occasions)


def owner_checks(rows: list[Row], begin_us: int, end_us: int) -> list[Outcome]:
    """Checks that no task has two owners at once and that every task has one at the end.

    The rows are `hold`, `lost`, `started` and `died`, as in `sailrun.lab.faults.history`.
    """
    holds = HistoryChecker(rows, {}, begin_us, end_us).holds
    faults = [fault for task, spans in sorted(holds.items()) for fault in _overlaps(task, spans, begin_us)]
    unowned = [task for task, spans in sorted(holds.items()) if not any(s.end_us >= end_us for s in spans)]
    return [
        Outcome(
            "one-owner-a-task",
            len(faults),
            0,
            not faults and bool(holds),
            faults[:MAX_NAMED_FAULTS],
            len(holds),
        ),
        Outcome(
            "every-task-owned-at-the-end",
            len(unowned),
            0,
            not unowned and bool(holds),
            [f"{task} has no owner" for task in unowned[:MAX_NAMED_FAULTS]],
            len(holds),
        ),
    ]


def longest_gap_s(rows: list[Row], begin_us: int, end_us: int) -> float:
    """Returns the longest time that any task was without an owner between two ownerships."""
    longest_us = 0
    for spans in HistoryChecker(rows, {}, begin_us, end_us).holds.values():
        covered_us: int | None = None
        for span in sorted(spans, key=lambda s: s.begin_us):
            if covered_us is not None:
                longest_us = max(longest_us, span.begin_us - covered_us)
            covered_us = max(covered_us or 0, span.end_us)
    return longest_us / 1e6


def _overlaps(task: str, spans: list[Span], begin_us: int) -> list[str]:
    faults = []
    latest: Span | None = None
    for span in sorted(spans, key=lambda s: s.begin_us):
        if latest is not None and span.node != latest.node and span.begin_us < latest.end_us:
            at_s = (span.begin_us - begin_us) / 1e6
            faults.append(f"{at_s:.3f} s: {task}: {span.node} and {latest.node} both own it")
        if latest is None or span.end_us > latest.end_us:
            latest = span
    return faults


def late_check(late_ms: dict[str, list[float]]) -> Outcome:
    """Checks the event loop lateness of each host. If it fails, the figures of the run are invalid."""
    worst = {host: quantile(values, LATE_QUANTILE) for host, values in late_ms.items()}
    faults = [
        f"{host} ran its event loop late by {late:.0f} ms: the figures of this run are invalid"
        for host, late in sorted(worst.items())
        if late > MAX_LATE_MS
    ]
    measurements = sum(len(values) for values in late_ms.values())
    value = max(worst.values(), default=0.0)
    return Outcome(
        "hosts-on-time-ms",
        value,
        MAX_LATE_MS,
        not faults and measurements > 0,
        faults[:MAX_NAMED_FAULTS],
        measurements,
    )


def shards_check(reports: list[NodeReport], shards: int) -> Outcome:
    """Checks that the number of shards in use over all nodes at the end equals the number of shards.

    Only the number is known here. The sharding runs check that no two nodes use the same shard.
    """
    used = sum(report.shards for report in reports)
    faults = [] if used == shards else [f"{used} shards are in use, expected {shards}"]
    return Outcome("shards-owned-at-the-end", abs(shards - used), 0, not faults, faults, shards)


def worst_late_ms(late_ms: dict[str, list[float]]) -> float:
    """Returns the 99th percentile of the event loop lateness of the worst host."""
    return max((quantile(values, LATE_QUANTILE) for values in late_ms.values()), default=0.0)


def ended_check(ended: list[str], processes: int) -> Outcome:
    """Checks that no process ended except by an action of the run."""
    faults = [f"{name} ended by itself" for name in ended]
    return Outcome(
        "no-process-ended-by-itself", len(ended), 0, not ended, faults[:MAX_NAMED_FAULTS], processes
    )
