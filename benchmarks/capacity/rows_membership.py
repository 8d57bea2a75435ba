"""Rows of the members: at rest, at a begin of all, when a rack or zone goes and comes back."""

from __future__ import annotations

from benchmarks.capacity.record import Record, Row
from benchmarks.capacity.target import Target
from benchmarks.capacity.working import AWARE, BYTES, CORE, LINK, MEMORY, by_nodes, fit_of, row

SWIM = "membership/failure_detector.py: probes, hearsay that rides along, copies compared by digests"
ALL = "members, leases, copies and the reader together"
FIT = "fit at the number of nodes"
LOST = "fit at the number of nodes, a 23rd of them lost"


def at_rest(record: Record) -> list[Row]:
    about = (
        ("rest.bytes_s", "bytes at rest", BYTES),
        ("rest.cpu", "processor time at rest, without sockets", CORE),
        ("rest.memory_mb", "memory for members, leases and an empty copy", MEMORY),
    )
    return [
        row(
            record,
            name,
            by_nodes,
            role="ordinary node",
            cost=cost,
            bound=bound,
            mechanism=ALL,
            arithmetic=FIT,
        )
        for name, cost, bound in about
    ]


def at_begin(record: Record) -> list[Row]:
    def mean_bytes(target: Target) -> float:
        seconds = max(1.0, fit_of(record, "begin.seconds").at(target.nodes))
        return fit_of(record, "begin.bytes_node").at(target.nodes) / seconds

    return [
        row(
            record,
            "begin.seconds",
            by_nodes,
            role="every node",
            cost="begin of all: until all know all",
            bound=AWARE,
            mechanism=SWIM,
            arithmetic=FIT,
        ),
        row(
            record,
            "begin.bytes_busiest_second",
            by_nodes,
            role="node that others join by",
            cost="begin of all: bytes in its busiest second",
            bound=LINK,
            mechanism=SWIM,
            arithmetic=FIT,
            kind="square",
            why="one second, so against the link: every node joins by the same three",
        ),
        row(
            record,
            "begin.bytes_node",
            lambda fit, target: mean_bytes(target),
            role="ordinary node",
            cost="begin of all: bytes a second until all know all",
            bound=BYTES,
            mechanism=SWIM,
            arithmetic="bytes of the begin / seconds of the begin, each by its fit",
        ),
    ]


def zone(record: Record, what: str, words: str) -> list[Row]:
    return [
        row(
            record,
            f"{what}.seconds_99",
            by_nodes,
            role="every node",
            cost=f"{words}: until 99 in 100 nodes know all of it",
            bound=AWARE,
            mechanism=SWIM,
            arithmetic=LOST,
        ),
        row(
            record,
            f"{what}.seconds",
            by_nodes,
            role="every node",
            cost=f"{words}: until every node knows all of it",
            bound=AWARE,
            mechanism=SWIM,
            arithmetic=LOST,
            why="one seed a size; the last few nodes hear by comparison only",
        ),
        row(
            record,
            f"{what}.bytes_s",
            by_nodes,
            role="ordinary node",
            cost=f"{words}: bytes a second over the 40 s after",
            bound=BYTES,
            mechanism=SWIM,
            arithmetic=LOST,
        ),
        row(
            record,
            f"{what}.bytes_busiest_second",
            by_nodes,
            role="busiest node",
            cost=f"{words}: bytes in the busiest second",
            bound=LINK,
            mechanism=SWIM,
            arithmetic=LOST,
            why="one second, so against the link",
        ),
    ]


def rack(record: Record) -> Row:
    def bytes_s(zone_bytes_s: float, target: Target) -> float:
        rest = fit_of(record, "rest.bytes_s").at(target.nodes)
        return rest + (zone_bytes_s - rest) * min(1.0, target.rack_nodes / target.zone_nodes)

    return row(
        record,
        "zone_goes.bytes_s",
        lambda fit, target: bytes_s(fit.at(target.nodes), target),
        role="ordinary node",
        cost="a rack goes: bytes a second over the 40 s after",
        bound=BYTES,
        mechanism=SWIM,
        arithmetic="rest + (zone - rest) * 20 nodes of a rack / nodes of a zone",
        reckoned=True,
    )


def rows(record: Record) -> list[Row]:
    return [
        *at_rest(record),
        *at_begin(record),
        *zone(record, "zone_goes", "a zone goes"),
        *zone(record, "zone_returns", "a zone returns"),
        rack(record),
    ]
