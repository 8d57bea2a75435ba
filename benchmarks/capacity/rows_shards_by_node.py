"""Rows of who owns 750,000 shards with one lease per node: what replaces a lease for each shard."""

from __future__ import annotations

from msgspec import structs

from benchmarks.capacity.record import Record, Row
from benchmarks.capacity.target import DAY_S, Target
from benchmarks.capacity.working import (
    AWARE,
    BYTES,
    CORE,
    IN_FORCE,
    LINK,
    MEMORY,
    WHOLE_CORE,
    Bound,
    fit_of,
    row,
)

SESSIONS = "sharding/session.py and assigner.py: a heartbeat four times in 10 s to the region's assigner"
# Shards that were placed in the measurement.
REGION_SHARDS = 125_000
OF_REGION = "fit at the nodes of a region (633) * its shards / 125,000"
PLACES = "sharding/placement.py: every node places its region's shards by itself, with numpy"


def _in_region(target: Target) -> float:
    return target.region_nodes


def _shards(target: Target) -> float:
    """How many times the shards that were placed a region has; placing and its memory go with them."""
    return target.shards / target.regions / REGION_SHARDS


def _changes_s(target: Target) -> float:
    """Changes of a region's members a second."""
    return target.member_changes_day / target.regions / DAY_S


def sessions(record: Record) -> list[Row]:
    about = (
        ("region.bytes_s", "every node that owns shards", "one lease per node: bytes", BYTES),
        ("region.assigner_bytes_s", "assigner of a region", "heartbeats of its nodes: bytes", LINK),
        ("region.assigner_messages_s", "assigner of a region", "heartbeats: messages", Bound("messages/s")),
        (
            "region.assigner_cpu",
            "assigner of a region",
            "processor time of the whole machine, without sockets",
            WHOLE_CORE,
        ),
        ("region.voter_bytes_s", "voter of a region", "the assigner's lease and its table: bytes", LINK),
    )
    return [
        row(
            record,
            name,
            lambda fit, target: fit.at(_in_region(target)),
            role=role,
            cost=cost,
            bound=bound,
            mechanism=SESSIONS,
            arithmetic="fit at the nodes of a region (633)",
            why="a control machine: not held to a node's limits" if bound in (LINK, WHOLE_CORE) else "",
        )
        for name, role, cost, bound in about
    ]


def taken_over(record: Record) -> list[Row]:
    about = (("node", "a node dies"), ("zone", "a quarter of a region's nodes die at once"))
    return [
        row(
            record,
            f"region.{what}_goes.seconds",
            lambda fit, target: fit.at(_in_region(target)),
            role="its shards",
            cost=f"{words}: until every shard may be used again",
            bound=AWARE,
            mechanism=SESSIONS,
            arithmetic="fit at the nodes of a region; a lease of 10 s is in it",
        )
        for what, words in about
    ]


def without_assigner(record: Record) -> Row:
    return row(
        record,
        "region.assigner_goes.unused_seconds",
        lambda fit, target: fit.at(_in_region(target)),
        role="its shards",
        cost="the assigner dies: how long any shard may be used by nobody",
        bound=AWARE,
        mechanism=SESSIONS,
        arithmetic="mean of the sizes measured",
        kind="constant",
        why="one seed a size; docs/design/shards.md names the rare cases",
    )


def placing(record: Record) -> list[Row]:
    def change_s(target: Target) -> float:
        """A node left or joined, in equal parts."""
        left, joined = fit_of(record, "placement.left_cpu_s"), fit_of(record, "placement.joined_cpu_s")
        return (left.at(_in_region(target)) + joined.at(_in_region(target))) / 2 * _shards(target)

    before = row(
        record,
        "placement.scored_cpu_s",
        lambda fit, target: fit.at(_in_region(target)) * _shards(target),
        role="every node",
        cost="before: a region's shards scored one by one after one change: seconds",
        bound=IN_FORCE,
        mechanism="leadership/leases.py `best_placed`, as tasks are placed; same run as the next rows",
        arithmetic=OF_REGION,
    )
    return [
        structs.replace(before, replaced_by="one lease per node"),
        row(
            record,
            "placement.joined_cpu_s",
            lambda fit, target: fit.at(_in_region(target)) * _shards(target),
            role="every node",
            cost="now: the same after a node joined: seconds",
            bound=IN_FORCE,
            mechanism=PLACES,
            arithmetic=OF_REGION,
        ),
        row(
            record,
            "placement.left_cpu_s",
            lambda fit, target: change_s(target) * _changes_s(target),
            role="every node",
            cost="now: shards placed after each change of members of a day: processor time",
            bound=CORE,
            mechanism=PLACES,
            arithmetic="mean of a node that left and one that joined * (33 + 520) * 2 / 6 regions / 86,400 s",
        ),
        row(
            record,
            "placement.begin_cpu_s",
            lambda fit, target: fit.at(_in_region(target)) * _shards(target),
            role="every node",
            cost="now: a region's shards placed from nothing: seconds",
            bound=IN_FORCE,
            mechanism=PLACES,
            arithmetic=OF_REGION,
        ),
    ]


def memory(record: Record) -> list[Row]:
    return [
        row(
            record,
            name,
            lambda fit, target: fit.at(_in_region(target)) * _shards(target),
            role="every node",
            cost=cost,
            bound=MEMORY,
            mechanism=PLACES,
            arithmetic=OF_REGION,
        )
        for name, cost in (
            ("placement.memory_mb", "a region's placement: memory kept"),
            ("placement.memory_most_mb", "a region's placement: memory while it is made from nothing"),
        )
    ]


def rows(record: Record) -> list[Row]:
    over = [*taken_over(record), without_assigner(record)]
    return [*sessions(record), *over, *placing(record), *memory(record)]
