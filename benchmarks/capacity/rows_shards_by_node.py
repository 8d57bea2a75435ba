"""Rows of the ownership of 750,000 shards with one lease per node, which replaces one lease per shard."""

from __future__ import annotations

from msgspec import structs

from benchmarks.capacity.record import Record, Row
from benchmarks.capacity.target import DAY_S, Target
from benchmarks.capacity.working import (
    BYTES_LIMIT,
    CONFIG_PROPAGATION_LIMIT,
    CORE_LIMIT,
    LINK_LIMIT,
    MEMBERSHIP_CONVERGENCE_LIMIT,
    MEMORY_LIMIT,
    WHOLE_CORE_LIMIT,
    CostLimit,
    fit_by_name,
    make_row,
)

NODE_SESSIONS = "sharding/session.py and assigner.py: a heartbeat four times in 10 s to the region's assigner"
# Number of shards placed in the measurement.
MEASURED_SHARDS = 125_000
REGION_FIT = "fit at the nodes of a region (633) * its shards / 125,000"
PLACEMENT = "sharding/placement.py: every node places its region's shards by itself, with numpy"


def _region_nodes(target: Target) -> float:
    return target.nodes_per_region


def _shards_factor(target: Target) -> float:
    """Returns the shards of a region relative to those placed in the measurement; the time and memory of a
    placement are proportional to it.
    """
    return target.shards / target.regions / MEASURED_SHARDS


def _region_changes_per_s(target: Target) -> float:
    """Returns the changes of members per second in a region."""
    return target.member_changes_per_day / target.regions / DAY_S


def session_rows(record: Record) -> list[Row]:
    costs = (
        ("region.bytes_s", "every node that owns shards", "one lease per node: bytes", BYTES_LIMIT),
        ("region.assigner_bytes_s", "assigner of a region", "heartbeats of its nodes: bytes", LINK_LIMIT),
        (
            "region.assigner_messages_s",
            "assigner of a region",
            "heartbeats: messages",
            CostLimit("messages/s"),
        ),
        (
            "region.assigner_cpu",
            "assigner of a region",
            "processor time of the whole machine, without sockets",
            WHOLE_CORE_LIMIT,
        ),
        (
            "region.voter_bytes_s",
            "voter of a region",
            "the assigner's lease and its table: bytes",
            LINK_LIMIT,
        ),
    )
    return [
        make_row(
            record,
            name,
            lambda fit, target: fit.at(_region_nodes(target)),
            role=role,
            cost=cost,
            cost_limit=cost_limit,
            mechanism=NODE_SESSIONS,
            arithmetic="fit at the nodes of a region (633)",
            why="a control machine: not held to a node's limits"
            if cost_limit in (LINK_LIMIT, WHOLE_CORE_LIMIT)
            else "",
        )
        for name, role, cost, cost_limit in costs
    ]


def takeover_rows(record: Record) -> list[Row]:
    costs = (("node", "a node dies"), ("zone", "a quarter of a region's nodes die at once"))
    return [
        make_row(
            record,
            f"region.{lost}_goes.seconds",
            lambda fit, target: fit.at(_region_nodes(target)),
            role="its shards",
            cost=f"{event}: until every shard may be used again",
            cost_limit=MEMBERSHIP_CONVERGENCE_LIMIT,
            mechanism=NODE_SESSIONS,
            arithmetic="fit at the nodes of a region; a lease of 10 s is in it",
        )
        for lost, event in costs
    ]


def assigner_loss_row(record: Record) -> Row:
    return make_row(
        record,
        "region.assigner_goes.unused_seconds",
        lambda fit, target: fit.at(_region_nodes(target)),
        role="its shards",
        cost="the assigner dies: how long any shard may be used by nobody",
        cost_limit=MEMBERSHIP_CONVERGENCE_LIMIT,
        mechanism=NODE_SESSIONS,
        arithmetic="mean of the sizes measured",
        kind="constant",
        why="one seed a size; docs/design/shards.md names the rare cases",
    )


def placement_rows(record: Record) -> list[Row]:
    def placement_s(target: Target) -> float:
        """Returns the mean time of a placement after a node left and after a node joined."""
        left, joined = (
            fit_by_name(record, "placement.left_cpu_s"),
            fit_by_name(record, "placement.joined_cpu_s"),
        )
        return (
            (left.at(_region_nodes(target)) + joined.at(_region_nodes(target))) / 2 * _shards_factor(target)
        )

    scored = make_row(
        record,
        "placement.scored_cpu_s",
        lambda fit, target: fit.at(_region_nodes(target)) * _shards_factor(target),
        role="every node",
        cost="before: a region's shards scored one by one after one change: seconds",
        cost_limit=CONFIG_PROPAGATION_LIMIT,
        mechanism="leadership/leases.py `best_placed`, as tasks are placed; same run as the next rows",
        arithmetic=REGION_FIT,
    )
    return [
        structs.replace(scored, replaced_by="one lease per node"),
        make_row(
            record,
            "placement.joined_cpu_s",
            lambda fit, target: fit.at(_region_nodes(target)) * _shards_factor(target),
            role="every node",
            cost="now: the same after a node joined: seconds",
            cost_limit=CONFIG_PROPAGATION_LIMIT,
            mechanism=PLACEMENT,
            arithmetic=REGION_FIT,
        ),
        make_row(
            record,
            "placement.left_cpu_s",
            lambda fit, target: placement_s(target) * _region_changes_per_s(target),
            role="every node",
            cost="now: shards placed after each change of members of a day: processor time",
            cost_limit=CORE_LIMIT,
            mechanism=PLACEMENT,
            arithmetic="mean of a node that left and one that joined * (33 + 520) * 2 / 6 regions / 86,400 s",
        ),
        make_row(
            record,
            "placement.begin_cpu_s",
            lambda fit, target: fit.at(_region_nodes(target)) * _shards_factor(target),
            role="every node",
            cost="now: a region's shards placed from nothing: seconds",
            cost_limit=CONFIG_PROPAGATION_LIMIT,
            mechanism=PLACEMENT,
            arithmetic=REGION_FIT,
        ),
    ]


def memory_rows(record: Record) -> list[Row]:
    return [
        make_row(
            record,
            name,
            lambda fit, target: fit.at(_region_nodes(target)) * _shards_factor(target),
            role="every node",
            cost=cost,
            cost_limit=MEMORY_LIMIT,
            mechanism=PLACEMENT,
            arithmetic=REGION_FIT,
        )
        for name, cost in (
            ("placement.memory_mb", "a region's placement: memory kept"),
            ("placement.memory_most_mb", "a region's placement: memory while it is made from nothing"),
        )
    ]


def rows(record: Record) -> list[Row]:
    takeovers = [*takeover_rows(record), assigner_loss_row(record)]
    return [*session_rows(record), *takeovers, *placement_rows(record), *memory_rows(record)]
