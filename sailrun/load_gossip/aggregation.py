"""Builds a node's report of its own load, and sums all reports of a round. This module does no I/O."""

from __future__ import annotations

from collections.abc import Mapping

from sailrun.decisions.events import LocalLoad
from sailrun.load_gossip.datagram import LoadDatagram, short_name
from sailrun.load_gossip.load_estimate import LoadEstimate

# A backend counts as overloaded if at least this many reports name it as overloaded.
MIN_OVERLOAD_REPORTS = 2


def build_report(round_number: int, local: LocalLoad, has_alert: bool) -> LoadDatagram:
    """Builds this node's report of all backends at which it has load or that it detects as overloaded."""
    loads: dict[int, float] = {}
    for number, load in local.loads.items():
        if load > 0 or number in local.overloaded:
            name = short_name(number)
            loads[name] = loads.get(name, 0.0) + load
    overloaded = frozenset(map(short_name, local.overloaded)) & loads.keys()
    return LoadDatagram(round_number, loads, local.connections, local.loads_reported, has_alert, overloaded)


def sum_reports(
    round_number: int,
    reports: Mapping[int, LoadDatagram],
    local: LocalLoad,
    estimate: LoadEstimate,
    capacity: int,
) -> LoadDatagram:
    """Sums the reports, given by node index. If there are more backends than `capacity`, the summary names
    the overloaded ones and those that summaries have not named for the longest time.
    """
    sums = _sum_loads(reports)
    overloaded = _agreed_overloads(reports)
    is_complete = len(sums) <= capacity
    if not is_complete:
        # Backends without load take part in the rotation as well.
        sums = dict.fromkeys(map(short_name, local.loads), 0.0) | sums
    named = estimate.order_by_last_named(sums, overloaded)[:capacity]
    return LoadDatagram(
        round_number,
        {name: sums[name] for name in named},
        sum(report.connections for report in reports.values()),
        any(report.loads_reported for report in reports.values()),
        any(report.has_alert for report in reports.values()),
        overloaded & set(named),
        frozenset(reports),
        is_complete=is_complete,
    )


def _sum_loads(reports: Mapping[int, LoadDatagram]) -> dict[int, float]:
    """Returns the loads by short name. If only some nodes report work, a connection of the other nodes counts
    as the average work per connection of those that do.
    """
    work_reports = [report for report in reports.values() if report.loads_reported]
    work = sum(sum(report.loads.values()) for report in work_reports)
    work_per_connection = work / max(1, sum(report.connections for report in work_reports))
    sums: dict[int, float] = {}
    for report in reports.values():
        scale = work_per_connection if work_reports and not report.loads_reported else 1.0
        for name, load in report.loads.items():
            sums[name] = sums.get(name, 0.0) + load * scale
    return sums


def _agreed_overloads(reports: Mapping[int, LoadDatagram]) -> frozenset[int]:
    counts: dict[int, int] = {}
    for report in reports.values():
        for name in report.overloaded:
            counts[name] = counts.get(name, 0) + 1
    return frozenset(name for name, count in counts.items() if count >= MIN_OVERLOAD_REPORTS)
