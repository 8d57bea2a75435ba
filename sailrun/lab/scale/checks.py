"""What a scale run is held to. Pure: out of recorded rows and times."""

from __future__ import annotations

from collections.abc import Iterable

from sailrun.lab.faults.history import Judge, Row, Span
from sailrun.lab.figures import quantile
from sailrun.lab.run import Outcome, finite
from sailrun.lab.scale.host_messages import NodeReport

# All know all within this after the begin, and after the last fault.
KNOWN_S = 60.0
# A host whose event loop was later than this, 99 times in 100 it was not, says nothing of its nodes.
LATE_MS, LATE_SHARE = 100.0, 0.99
NAMED = 5


def known_check(name: str, seconds: float, lacking: Iterable[str], occasions: int) -> Outcome:
    """`seconds`: after how long every node knew every other; infinite where it never did. `occasions`: what
    they had to get over; without any, nothing was tried.
    """
    faults = [f"{node} knows other members" for node in lacking][:NAMED]
    holds = seconds <= KNOWN_S and occasions > 0
    return Outcome(name, finite(seconds), KNOWN_S, holds, faults, occasions)


def owner_checks(rows: list[Row], begin_us: int, end_us: int) -> list[Outcome]:
    """Rows are `hold`, `lost`, `started` and `died`, as in `sailrun.lab.faults.history`."""
    holds = Judge(rows, {}, begin_us, end_us).holds
    faults = [fault for task, spans in sorted(holds.items()) for fault in _overlaps(task, spans, begin_us)]
    unowned = [task for task, spans in sorted(holds.items()) if not any(s.end_us >= end_us for s in spans)]
    return [
        Outcome("one-owner-a-task", len(faults), 0, not faults and bool(holds), faults[:NAMED], len(holds)),
        Outcome(
            "every-task-owned-at-the-end",
            len(unowned),
            0,
            not unowned and bool(holds),
            [f"{task} has no owner" for task in unowned[:NAMED]],
            len(holds),
        ),
    ]


def longest_gap_s(rows: list[Row], begin_us: int, end_us: int) -> float:
    """The longest time that any task had no owner between two that it had."""
    longest_us = 0
    for spans in Judge(rows, {}, begin_us, end_us).holds.values():
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
    """By host. Where it does not hold, the figures of this run mean nothing."""
    worst = {host: quantile(values, LATE_SHARE) for host, values in late_ms.items()}
    faults = [
        f"{host} was late by {late:.0f} ms: the figures of this run mean nothing"
        for host, late in sorted(worst.items())
        if late > LATE_MS
    ]
    looks = sum(len(values) for values in late_ms.values())
    value = max(worst.values(), default=0.0)
    return Outcome("hosts-on-time-ms", value, LATE_MS, not faults and looks > 0, faults[:NAMED], looks)


def shards_check(reports: list[NodeReport], shards: int) -> Outcome:
    """At the end as many shards are used as there are, over all nodes. That no two nodes use the same one is
    what the days of shards judge: here only the number is known.
    """
    used = sum(report.shards for report in reports)
    faults = [] if used == shards else [f"{used} shards are used, of {shards}"]
    return Outcome("shards-owned-at-the-end", abs(shards - used), 0, not faults, faults, shards)


def most_late_ms(late_ms: dict[str, list[float]]) -> float:
    """How late the worst host was, 99 times in 100 no later."""
    return max((quantile(values, LATE_SHARE) for values in late_ms.values()), default=0.0)


def ended_check(ended: list[str], processes: int) -> Outcome:
    """Processes that ended although nobody had them end."""
    faults = [f"{name} ended by itself" for name in ended]
    return Outcome("no-process-ended-by-itself", len(ended), 0, not ended, faults[:NAMED], processes)
