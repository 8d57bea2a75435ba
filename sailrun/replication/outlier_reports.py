"""Gossiped outlier reports. Each node reports the form servers that it has ejected. Reports age, and other
nodes act on them only if enough nodes report the same form server. This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

import msgspec

from sailrun.replication.records import Record

US_PER_MS = 1000
SECOND_US = 1_000_000
# The maximum number of form servers in one report; those with the longest remaining ejection are reported.
MAX_OUTLIERS = 64
# A set-up time that has changed by no more than this share is not reported early.
MIN_SETUP_CHANGE = 0.25
# How often an unchanged report is repeated within its time to live.
REPEATS_PER_TTL = 3


class OutlierReport(msgspec.Struct, array_like=True, frozen=True):
    """The content of a node's report. `ejected_ms`: the remaining ejection time of each form server.
    `setup_ms`: the usual set-up time; 0 if the node does not know it.
    """

    ejected_ms: dict[str, int]
    setup_ms: int = 0


class PeerOutliers(NamedTuple):
    """The reported outliers that a node may act on: the time for which enough other nodes eject each form
    server, and the usual set-up time (us; 0 if too few nodes report it).
    """

    ejected_us: dict[str, int]
    setup_us: int


class OutlierReporter:
    """Creates this node's reports and decides when to send them."""

    def __init__(self, report_ttl_s: float) -> None:
        """`report_ttl_s` is the time after which a report expires at other nodes."""
        self._repeat_interval_us = int(report_ttl_s * SECOND_US / REPEATS_PER_TTL)
        self._last_report = OutlierReport({})
        self._reported_us = 0

    def make_report(self, now_us: int, ejected_us: dict[str, int], setup_us: int) -> bytes | None:
        """Returns the report to send now; None if no report is due."""
        longest = sorted(ejected_us.items(), key=lambda pair: -pair[1])[:MAX_OUTLIERS]
        report = OutlierReport(
            {name: remaining_us // US_PER_MS for name, remaining_us in longest}, setup_us // US_PER_MS
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
    records: Iterable[tuple[Record, int]], living_members: set[str], name: str, min_reporters: int
) -> PeerOutliers:
    """Returns the outliers that the node `name` may act on: form servers that at least `min_reporters` other
    living nodes report, for the longest time that so many reports cover, and the median of the set-up times.
    `records` are reports with their age in us.
    """
    remaining_us: dict[str, list[int]] = {}
    setups_us: list[int] = []
    for record, age_us in records:
        if record.subject == name or record.subject not in living_members or not record.versions:
            continue
        try:
            report = msgspec.msgpack.decode(record.versions[-1].content, type=OutlierReport)
        except msgspec.MsgspecError:
            continue  # written by another program version
        for server, ejected_ms in report.ejected_ms.items():
            if ejected_ms * US_PER_MS > age_us:
                remaining_us.setdefault(server, []).append(ejected_ms * US_PER_MS - age_us)
        if report.setup_ms > 0:
            setups_us.append(report.setup_ms * US_PER_MS)
    ejected_us = {
        server: sorted(remaining_times_us)[-min_reporters]
        for server, remaining_times_us in remaining_us.items()
        if len(remaining_times_us) >= min_reporters
    }
    setup_us = int(median(setups_us)) if len(setups_us) >= min_reporters else 0
    return PeerOutliers(ejected_us, setup_us)
