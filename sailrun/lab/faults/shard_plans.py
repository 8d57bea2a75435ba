"""The fault plans for shards, and the results that are expected of each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from sailrun.lab.faults.nemesis import Nemesis, Plan
from sailrun.lab.faults.shard_checks import Expected
from sailrun.lab.faults.shard_faults import ShardFaults
from sailrun.lab.faults.shard_world import (
    NODES,
    REGIONS,
    SHARD_LEASE_S,
    index_of,
    place_of,
    voters_of,
)

# No fault begins in the first CALM_BEGIN_S seconds of a run. When a fleet starts, no member remembers a shard
# table. An assigner begins one a whole lease after its own election, and in some starts the election has to
# wait until voters without a memory stop abstaining.
CALM_BEGIN_S = 18.0
# No fault begins in the last CALM_END_S seconds of a run: the last faults end, and the fleet has to recover.
CALM_END_S = 34.0
# Every shard has an owner at most this long after the last fault: a lease, a change of assigner, and some
# heartbeats. If a majority of voters has lost its memory, the abstention of voters and another lease are
# added.
OWNED_WITHIN_S, OWNED_WITHIN_AFTER_MEMORY_LOSS_S = 14.0, 20.0
# The same for the plan `shards-short`: no voter but the assigner has faults, and the last fault is a paused
# node that resumes, so less time is needed.
OWNED_WITHIN_SHORT_RUN_S = 9.0
SHORT_PAUSE_S = 1.2 * SHARD_LEASE_S
SECOND_US = 1_000_000


@dataclass(frozen=True, slots=True)
class ShardPlan(Plan):
    """A fault plan for shards, and the results that are expected of it."""

    expected: Expected = field(default_factory=Expected)
    nodes: int = NODES


# ---------------------------------------------------------------------- plans


def _mixed_faults(nemesis: Nemesis) -> None:
    shards, rng = ShardFaults(nemesis), nemesis.random
    nemesis.set_network_faults(rng.choice((0.0, 0.02, 0.05)), 1, rng.choice((3, 20)))
    nemesis.every(
        3.0,
        6.0,
        shards.choose_from(
            shards.kill_random_member,
            shards.kill_assigner,
            shards.make_random_member_leave,
            shards.hand_over_random_node,
            shards.lose_rack,
            shards.lose_zone,
            shards.pause_random_member,
        ),
    )
    nemesis.at(nemesis.first_s - 1.0, shards.delay_acts)
    nemesis.at(nemesis.first_s + 4.0, shards.kill_assigner)


def _pause_node(shards: ShardFaults, region: str) -> None:
    """Pauses a random node for two leases while it is sending."""
    shards.pause(shards.random_node(region), 2.0 * SHARD_LEASE_S, True)


def _pauses(nemesis: Nemesis) -> None:
    shards = ShardFaults(nemesis)
    nemesis.set_network_faults(0.02, 1, 10)
    nemesis.every(2.5, 5.0, shards.pause_random_member)
    for at_s in (1.0, 10.0):
        region = shards.random_region()
        nemesis.at(
            nemesis.first_s + at_s,
            partial(_pause_node, shards, region),
        )
    nemesis.at(nemesis.first_s - 1.0, shards.delay_acts)
    nemesis.at(nemesis.first_s + 12.0, shards.kill_assigner)


def _partitions(nemesis: Nemesis) -> None:
    shards = ShardFaults(nemesis)
    nemesis.set_network_faults(0.02, 1, 20)
    nemesis.every(
        3.0,
        6.0,
        shards.choose_from(
            shards.cut_assigner, shards.cut_node, shards.partition_region, shards.partition_regions
        ),
    )
    nemesis.every(
        5.0,
        9.0,
        shards.choose_from(
            shards.return_node_during_cut,
            shards.kill_assigner_during_cut,
            shards.make_voter_miss_writes,
            shards.kill_random_member,
        ),
    )
    nemesis.at(nemesis.first_s - 1.0, shards.delay_acts)
    nemesis.at(nemesis.first_s + 6.0, shards.kill_assigner)


def _region_partitions(nemesis: Nemesis) -> None:
    shards = ShardFaults(nemesis)
    nemesis.set_network_faults(0.01, 1, 20)
    nemesis.every(5.0, 16.0, shards.if_all_were_owned(shards.partition_regions))
    shards.when_all_owned(nemesis.first_s + 2.0, shards.partition_regions)


def _assigner_faults(nemesis: Nemesis) -> None:
    """Injects faults into the assigner of each region, at least 12 s apart within a region, so that no shard
    lease expires.
    """
    shards = ShardFaults(nemesis)

    def inject(region: str) -> None:
        name, draw = shards.assigner(region), shards.rng.random()
        others = [voter for voter in voters_of(region) if voter != name]
        if draw < 0.4:
            shards.kill(name, shards.rng.choice((0.05, 1.0, 4.0)))
        elif draw < 0.6:
            nemesis.fleet.leave(name)
            nemesis.later(2.0, nemesis.fleet.start, name)
        elif draw < 0.8:
            shards.pause(name, shards.rng.uniform(1.0, 5.0))
        else:
            nemesis.cut_for(shards.rng.uniform(1.0, 5.0), [name], others, shards.rng.random() < 0.5)

    nemesis.set_network_faults(0.01, 1, 10)
    shards.when_all_owned(nemesis.first_s, lambda: None)  # enables `if_all_were_owned`
    for n, region in enumerate(REGIONS):
        at_s = nemesis.first_s + 1.0 + 3.0 * n
        while at_s < nemesis.last_s:
            nemesis.at(at_s, shards.if_all_were_owned(partial(inject, region)))
            at_s += shards.rng.uniform(12.0, 16.0)


def _voter_restarts(nemesis: Nemesis) -> None:
    shards = ShardFaults(nemesis)
    nemesis.set_network_faults(0.02, 1, 10)
    nemesis.every(
        5.0,
        9.0,
        shards.choose_from(
            shards.restart_voters,
            shards.restart_majority_during_cut,
            lambda: shards.make_voter_miss_writes(True),
        ),
    )
    nemesis.every(4.0, 8.0, shards.choose_from(shards.kill_random_member, shards.make_random_member_leave))
    nemesis.at(nemesis.first_s - 1.5, shards.make_random_node_leave)
    nemesis.at(nemesis.first_s - 1.0, shards.delay_acts)
    nemesis.at(nemesis.first_s + 8.0, shards.kill_assigner)


def _rolling_restart(nemesis: Nemesis) -> None:
    """Restarts all members gracefully, one after another; then a zone is killed and started again. Restarts
    that are due after `nemesis.last_s`, in a large fleet, happen together at that time.
    """
    shards = ShardFaults(nemesis)
    nemesis.set_network_faults(nemesis.random.choice((0.0, 0.02)), 1, 10)

    def restart(name: str) -> None:
        if place_of(index_of(name)).role:
            nemesis.fleet.leave(name)
            nemesis.later(nemesis.random.uniform(0.8, 1.5), nemesis.fleet.start, name)
        else:
            shards.hand_over(name)

    nemesis.at(nemesis.first_s - 1.0, shards.delay_acts)
    for n, name in enumerate(nemesis.fleet.names):
        nemesis.at(nemesis.first_s + 4.0 + 4.0 * n, partial(restart, name))
    nemesis.at(nemesis.last_s, shards.lose_zone)


def _slow_network(nemesis: Nemesis) -> None:
    shards, rng = ShardFaults(nemesis), nemesis.random

    def degrade_network() -> None:
        nemesis.set_network_faults(
            *rng.choice(((0.3, 1, 40), (0.0, 150, 250), (0.1, 5, 900), (0.05, 300, 2500))), 0.1
        )
        nemesis.later(rng.uniform(2.0, 6.0), nemesis.set_network_faults, 0.02, 1, 20)

    nemesis.set_network_faults(0.02, 1, 20)
    nemesis.every(6.0, 10.0, degrade_network)
    nemesis.every(
        4.0,
        8.0,
        shards.choose_from(
            shards.kill_random_member, shards.pause_random_member, shards.make_random_member_leave
        ),
    )
    nemesis.at(nemesis.first_s - 1.5, shards.make_random_node_leave)
    nemesis.at(nemesis.first_s - 1.0, shards.delay_acts)
    nemesis.at(nemesis.first_s + 8.0, shards.kill_assigner)


def _short_run(nemesis: Nemesis) -> None:
    """A pause longer than a lease, a cut and a killed assigner: short enough for real processes in a test."""
    shards = ShardFaults(nemesis)
    region = shards.random_region()
    names = shards.nodes(region)
    nemesis.set_network_faults(0.0, 0, 2)

    def begin() -> None:
        shards.pause(names[0], SHORT_PAUSE_S)
        # Ends the run 2 s after the time by which every shard has to have an owner.
        nemesis.fleet.end_after(int((SHORT_PAUSE_S + OWNED_WITHIN_SHORT_RUN_S + 2.0) * SECOND_US))
        nemesis.later(1.0, lambda: nemesis.cut_for(3.0, names[1:2], [shards.assigner(region)], False))
        nemesis.later(3.0, lambda: shards.kill(shards.assigner(region), 1.0))

    shards.when_all_owned(nemesis.first_s, begin)


def _plan(
    name: str, about: str, script: Callable[[Nemesis], None], seconds: float, expected: Expected
) -> ShardPlan:
    return ShardPlan(
        name,
        about,
        script,
        seconds,
        fault_free_begin_s=CALM_BEGIN_S,
        fault_free_end_s=CALM_END_S,
        expected=expected,
    )


_MEMORY_LOSS = Expected(owned_within_s=OWNED_WITHIN_AFTER_MEMORY_LOSS_S)
_REJECTIONS = Expected(rejections_required=True, owned_within_s=OWNED_WITHIN_AFTER_MEMORY_LOSS_S)
SHARD_PLANS = {
    plan.name: plan
    for plan in (
        _plan(
            "shards",
            "Shard owners, voters and assigners are killed, leave or pause; shard owners hand over their "
            "shards before they leave; zones are lost.",
            _mixed_faults,
            87.0,
            _MEMORY_LOSS,
        ),
        _plan(
            "shards-stopped",
            "Shard owners and assigners pause for about a lease, also while they are sending.",
            _pauses,
            87.0,
            _REJECTIONS,
        ),
        _plan(
            "shards-cut",
            "Nodes, voters and assigners are cut off, also one way; regions are "
            "partitioned, or cut off from each other.",
            _partitions,
            87.0,
            _MEMORY_LOSS,
        ),
        _plan(
            "shards-regions",
            "Regions are cut off from each other and reconnected; no shard moves.",
            _region_partitions,
            77.0,
            # Neither moves nor changes of an assigner.
            Expected(False, False, owned_within_s=OWNED_WITHIN_S),
        ),
        _plan(
            "shards-assigner",
            "Assigners are killed, leave, pause or are cut off; no shard moves.",
            _assigner_faults,
            82.0,
            # No moves, but changes of an assigner.
            Expected(False, True, owned_within_s=OWNED_WITHIN_S),
        ),
        _plan(
            "shards-restart",
            "One, a majority or all voters restart without memory; members are killed or leave.",
            _voter_restarts,
            92.0,
            _MEMORY_LOSS,
        ),
        _plan(
            "shards-roll",
            "All members are restarted one after another; a zone is lost.",
            _rolling_restart,
            112.0,
            _REJECTIONS,
        ),
        _plan(
            "shards-slow",
            "Messages are lost, delayed and duplicated while owners fail.",
            _slow_network,
            87.0,
            _MEMORY_LOSS,
        ),
        ShardPlan(
            "shards-short",
            "A pause longer than a lease, a cut and a killed assigner, in about half a minute.",
            _short_run,
            60.0,
            expected=Expected(owned_within_s=OWNED_WITHIN_SHORT_RUN_S),
        ),
    )
}
