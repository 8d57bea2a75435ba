"""Rows of the cost of restarts and of the machines reserved for control."""

from __future__ import annotations

from benchmarks.capacity.record import Record, Row
from benchmarks.capacity.working import BYTES_LIMIT, CostLimit, make_row, unmeasured_row


def restart_row(record: Record) -> Row:
    return make_row(
        record,
        "restart.extra_bytes_node",
        lambda fit, target: (
            max(0.0, fit.at(target.nodes)) * (target.restarts_per_day + target.failures_per_day) / 86_400
        ),
        role="every other node",
        cost="restarts and failures of a day: bytes of members' news, on top of rest",
        cost_limit=BYTES_LIMIT,
        mechanism="membership/failure_detector.py",
        arithmetic="bytes that one restart costs each other node, by its fit * (520 + 33) / 86,400 s",
    )


def control_machines_row() -> Row:
    return unmeasured_row(
        "control machines",
        "47 machines in 6 regions and 23 zones: enough voters after any zone is lost",
        CostLimit("machines", 47.0, "47 set aside"),
        "sharding/settings.py: 5 voters a region; leadership/task_leadership.py: control work goes to "
        "members of that role",
        "reasoned, not run: 6 regions * 5 voters are 30 of the 47; a region has 3 or 4 zones, so "
        "with at most 2 voters of a region in a zone any zone may be lost; voters of fleet tasks (7 at most) "
        "stand in 7 of 23 zones, and a region cut off has none of their majority",
    )


def rows(record: Record) -> list[Row]:
    return [restart_row(record), control_machines_row()]
