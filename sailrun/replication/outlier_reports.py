"""Gossiped outlier reports: which form servers a node keeps away from, reported by each node for itself,
aged, and acted on by others only where enough nodes report the same. Pure.
"""

from __future__ import annotations

from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

import msgspec

from sailrun.replication.records import Record

US_PER_MS = 1000
SECOND_US = 1_000_000
# The most form servers in one report, those that are kept away from the longest.
MAX_OUTLIERS = 64
# A set-up time that changed by less than this share is not reported again.
MIN_SETUP_CHANGE = 0.25
# A report is repeated so many times within the time after which it expires.
REPEATS_PER_TTL = 3


class OutlierReport(msgspec.Struct, array_like=True, frozen=True):
    """The content of a node's report. `ejected_ms`: by form server, for how much longer the node keeps away
    from it. `setup_ms`: what a set-up usually takes; 0: the node does not know.
    """

    ejected_ms: dict[str, int]
    setup_ms: int = 0


class PeerOutliers(NamedTuple):
    """What a node may act on: by form server, for how much longer enough others keep away from it, and what
    set-ups usually take (us; 0: too few know).
    """

    ejected_us: dict[str, int]
    setup_us: int


class OutlierReporter:
    """This node's own report, and when it is worth sending."""

    def __init__(self, report_ttl_s: float) -> None:
        """`report_ttl_s`: after so long a report expires at the others."""
        self._repeat_interval_us = int(report_ttl_s * SECOND_US / REPEATS_PER_TTL)
        self._last_report = OutlierReport({})
        self._reported_us = 0

    def make_report(self, now_us: int, ejected_us: dict[str, int], setup_us: int) -> bytes | None:
        """The report to send now; None: nothing has changed, or nothing is to be reported."""
        longest = sorted(ejected_us.items(), key=lambda pair: -pair[1])[:MAX_OUTLIERS]
        report = OutlierReport(
            {name: left_us // US_PER_MS for name, left_us in longest}, setup_us // US_PER_MS
        )
        has_content = bool(report.ejected_ms or report.setup_ms)
        is_due = has_content and now_us - self._reported_us >= self._repeat_interval_us
        if not self._has_changed(report) and not is_due:
            return None
        self._last_report, self._reported_us = report, now_us
        return msgspec.msgpack.encode(report)

    def _has_changed(self, report: OutlierReport) -> bool:
        last = self._last_report
        setup_change_ms = abs(report.setup_ms - last.setup_ms)
        is_same_setup = setup_change_ms <= MIN_SETUP_CHANGE * max(1, last.setup_ms)
        return report.ejected_ms.keys() != last.ejected_ms.keys() or not is_same_setup


def combine_outlier_reports(
    records: Iterable[tuple[Record, int]], living: set[str], name: str, min_reporters: int
) -> PeerOutliers:
    """What the node `name` may act on: where at least `min_reporters` living others report the same, until
    the time that so many of them agree on; of set-up times the median. `records` are reports with their age
    in us.
    """
    left_us: dict[str, list[int]] = {}
    setups_us: list[int] = []
    for record, age_us in records:
        if record.subject == name or record.subject not in living or not record.versions:
            continue
        try:
            report = msgspec.msgpack.decode(record.versions[-1].content, type=OutlierReport)
        except msgspec.MsgspecError:
            continue  # of another version of the program
        for server, ejected_ms in report.ejected_ms.items():
            if ejected_ms * US_PER_MS > age_us:
                left_us.setdefault(server, []).append(ejected_ms * US_PER_MS - age_us)
        if report.setup_ms > 0:
            setups_us.append(report.setup_ms * US_PER_MS)
    ejected_us = {
        server: sorted(reported)[-min_reporters]
        for server, reported in left_us.items()
        if len(reported) >= min_reporters
    }
    setup_us = int(median(setups_us)) if len(setups_us) >= min_reporters else 0
    return PeerOutliers(ejected_us, setup_us)
