"""Rows of membership: at rest, when all nodes start at once, and when a rack or a zone fails and returns."""

from __future__ import annotations

from benchmarks.capacity.record import Record, Row
from benchmarks.capacity.target import Target
from benchmarks.capacity.working import (
    BYTES_LIMIT,
    CORE_LIMIT,
    LINK_LIMIT,
    MEMBERSHIP_CONVERGENCE_LIMIT,
    MEMORY_LIMIT,
    at_node_count,
    fit_by_name,
    make_row,
)

FAILURE_DETECTOR = (
    "membership/failure_detector.py: probes, hearsay that rides along, copies compared by digests"
)
ALL_CONTROL = "members, leases, copies and the reader together"
NODE_COUNT_FIT = "fit at the number of nodes"
LOST_ZONE_FIT = "fit at the number of nodes, a 23rd of them lost"


def rest_rows(record: Record) -> list[Row]:
    costs = (
        ("rest.bytes_s", "bytes at rest", BYTES_LIMIT),
        ("rest.cpu", "processor time at rest, without sockets", CORE_LIMIT),
        ("rest.memory_mb", "memory for members, leases and an empty copy", MEMORY_LIMIT),
    )
    return [
        make_row(
            record,
            name,
            at_node_count,
            role="ordinary node",
            cost=cost,
            cost_limit=cost_limit,
            mechanism=ALL_CONTROL,
            arithmetic=NODE_COUNT_FIT,
        )
        for name, cost, cost_limit in costs
    ]


def start_rows(record: Record) -> list[Row]:
    def bytes_per_s(target: Target) -> float:
        seconds = max(1.0, fit_by_name(record, "begin.seconds").at(target.nodes))
        return fit_by_name(record, "begin.bytes_node").at(target.nodes) / seconds

    return [
        make_row(
            record,
            "begin.seconds",
            at_node_count,
            role="every node",
            cost="begin of all: until all know all",
            cost_limit=MEMBERSHIP_CONVERGENCE_LIMIT,
            mechanism=FAILURE_DETECTOR,
            arithmetic=NODE_COUNT_FIT,
        ),
        make_row(
            record,
            "begin.bytes_busiest_second",
            at_node_count,
            role="node that others join by",
            cost="begin of all: bytes in its busiest second",
            cost_limit=LINK_LIMIT,
            mechanism=FAILURE_DETECTOR,
            arithmetic=NODE_COUNT_FIT,
            kind="square",
            why="one second, so against the link: every node joins by the same three",
        ),
        make_row(
            record,
            "begin.bytes_node",
            lambda fit, target: bytes_per_s(target),
            role="ordinary node",
            cost="begin of all: bytes a second until all know all",
            cost_limit=BYTES_LIMIT,
            mechanism=FAILURE_DETECTOR,
            arithmetic="bytes of the begin / seconds of the begin, each by its fit",
        ),
    ]


def zone_rows(record: Record, prefix: str, event: str) -> list[Row]:
    return [
        make_row(
            record,
            f"{prefix}.seconds_99",
            at_node_count,
            role="every node",
            cost=f"{event}: until 99 in 100 nodes know all of it",
            cost_limit=MEMBERSHIP_CONVERGENCE_LIMIT,
            mechanism=FAILURE_DETECTOR,
            arithmetic=LOST_ZONE_FIT,
        ),
        make_row(
            record,
            f"{prefix}.seconds",
            at_node_count,
            role="every node",
            cost=f"{event}: until every node knows all of it",
            cost_limit=MEMBERSHIP_CONVERGENCE_LIMIT,
            mechanism=FAILURE_DETECTOR,
            arithmetic=LOST_ZONE_FIT,
            why="one seed a size; the last few nodes hear by comparison only",
        ),
        make_row(
            record,
            f"{prefix}.bytes_s",
            at_node_count,
            role="ordinary node",
            cost=f"{event}: bytes a second over the 40 s after",
            cost_limit=BYTES_LIMIT,
            mechanism=FAILURE_DETECTOR,
            arithmetic=LOST_ZONE_FIT,
        ),
        make_row(
            record,
            f"{prefix}.bytes_busiest_second",
            at_node_count,
            role="busiest node",
            cost=f"{event}: bytes in the busiest second",
            cost_limit=LINK_LIMIT,
            mechanism=FAILURE_DETECTOR,
            arithmetic=LOST_ZONE_FIT,
            why="one second, so against the link",
        ),
    ]


def rack_row(record: Record) -> Row:
    def rack_bytes_per_s(zone_bytes_per_s: float, target: Target) -> float:
        rest_bytes_per_s = fit_by_name(record, "rest.bytes_s").at(target.nodes)
        return rest_bytes_per_s + (zone_bytes_per_s - rest_bytes_per_s) * min(
            1.0, target.nodes_per_rack / target.nodes_per_zone
        )

    return make_row(
        record,
        "zone_goes.bytes_s",
        lambda fit, target: rack_bytes_per_s(fit.at(target.nodes), target),
        role="ordinary node",
        cost="a rack goes: bytes a second over the 40 s after",
        cost_limit=BYTES_LIMIT,
        mechanism=FAILURE_DETECTOR,
        arithmetic="rest + (zone - rest) * 20 nodes of a rack / nodes of a zone",
        estimated=True,
    )


def rows(record: Record) -> list[Row]:
    return [
        *rest_rows(record),
        *start_rows(record),
        *zone_rows(record, "zone_goes", "a zone goes"),
        *zone_rows(record, "zone_returns", "a zone returns"),
        rack_row(record),
    ]
