"""Failures of machines, zones and networks and their effects, from measurements where they exist."""

from __future__ import annotations

from benchmarks.capacity.record import Failure, Record
from benchmarks.capacity.target import DESIGNED
from benchmarks.capacity.working import MissingMeasurement, fit_by_name, format_number

SINGLE_OWNER = "never two owners of a task or a shard at once; no acknowledged change is lost"
TASK_RUNS = "docs/design/owners.md: 200 seeds of each kind of day at 5 nodes, virtual time"
SHARD_RUNS = "rows of shards, one lease per node: 50 to 400 nodes of a region, virtual time"


def _seconds_at_target(
    record: Record,
    name: str,
    kind: str = "line or constant",  # the value of `working.BEST_FIT`
    nodes: float = DESIGNED.nodes,
) -> str:
    try:
        return f"{format_number(fit_by_name(record, name, kind).at(nodes))} s"
    except MissingMeasurement:
        return "not measured"


def _hour_long_cut(record: Record) -> str:
    measurement = record.measurement("hour.cut.alike_seconds")
    return (
        f"after an hour {format_number(measurement.values[0])} s at 50 nodes"
        if measurement
        else "an hour was not run"
    )


def failures(record: Record) -> list[Failure]:
    """Returns the failures and their effects. Times at the target are extrapolated by fits of
    measurements at up to 400 nodes of the fleet or of a region.
    """
    zone_loss, zone_return = (
        _seconds_at_target(record, f"zone_{event}.seconds_99") for event in ("goes", "returns")
    )
    convergence = _seconds_at_target(record, "cut.alike_seconds", "log")
    node_takeover, zone_takeover = (
        _seconds_at_target(record, f"region.{event}_goes.seconds", nodes=DESIGNED.nodes_per_region)
        for event in ("node", "zone")
    )
    return [
        Failure(
            "a machine",
            "its connections end and come over to others; its shards and tasks have no owner for a lease",
            f"shards {node_takeover} by fit; a task median 2.06 s, 99 in 100 2.20 s (7 nodes, 200 seeds)",
            SINGLE_OWNER,
            f"run: {SHARD_RUNS}; {TASK_RUNS}",
            False,
        ),
        Failure(
            "a rack (20 nodes)",
            "as a machine, 20 times, in one change of the region's table",
            f"shards between {node_takeover} and {zone_takeover}",
            SINGLE_OWNER,
            "reasoned, from the runs of a machine and of a zone",
            True,
        ),
        Failure(
            "a switch (a rack cut off, its processes live)",
            "its sessions end and others take its shards; it serves on with the list and marks it had",
            f"shards as for a rack; once it is back, copies are alike within {convergence} by fit",
            f"{SINGLE_OWNER}; out stays out",
            f"reasoned for a rack; cuts were run: {TASK_RUNS}; docs/design/shards.md for their safety",
            True,
        ),
        Failure(
            "a zone (a 23rd of the fleet, a quarter of its region)",
            "its clients come over; its reader's task ends with it; voters that stood there are missed",
            f"shards {zone_takeover} by fit; members: {zone_loss} until 99 in 100 nodes know it gone, "
            f"{zone_return} until they know it back, by fit",
            f"{SINGLE_OWNER}, while a majority of the voters stands elsewhere",
            f"run: the rows of a zone, 50 to 400 nodes; {SHARD_RUNS}",
            False,
        ),
        Failure(
            "two regions lose each other for an hour",
            "the side without a majority of voters has no owners: changes wait there, permits end, each node "
            "reads the roster itself",
            f"the hour; changes are everywhere {convergence} after a cut of 60 s, by fit; "
            f"{_hour_long_cut(record)}",
            f"{SINGLE_OWNER}; what was said with `--wait none` on either side is kept, out stays out",
            "run: the rows of a cut, one region against all others; two that lose only each other: reasoned",
            False,
        ),
        Failure(
            "a control machine",
            "a voter: nothing, while a majority of its region's answers; an assigner: the next one begins",
            "a task 2.2 s for 99 in 100; an assigner 2.3 s in 95 of 100 cases, 6 s at most, within the lease",
            SINGLE_OWNER,
            f"run: {TASK_RUNS}; docs/design/shards.md; {SHARD_RUNS}, one seed a size: no shard went unused",
            False,
        ),
        Failure(
            "a majority of a region's control machines",
            "its nodes stop using their shards as their leases end; clients are served as ever",
            "until a majority is back, and one lease more; other regions see nothing",
            SINGLE_OWNER,
            "reasoned at this size; docs/design/shards.md, and days of shards at a few nodes",
            True,
        ),
        Failure(
            "a majority of the voters of fleet tasks",
            "no owner of a task, no new permit, no change of configuration; clients and shards go on",
            "until a majority is back; with folders one lease more, without some 6 s",
            f"{SINGLE_OWNER}; with folders nothing is forgotten, without folders terms rest on chance",
            "run: docs/design/lasting.md, docs/fleet.md, 5 nodes; not at a large size",
            False,
        ),
    ]
