"""What goes wrong on the days of shards, and what each of them is held to."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from sailrun.lab.faults.nemesis import Nemesis, Plan
from sailrun.lab.faults.shard_judge import Expected
from sailrun.lab.faults.shard_strikes import ShardFaults
from sailrun.lab.faults.shard_world import (
    NODES,
    REGIONS,
    SHARD_LEASE_S,
    control_of,
    index_of,
    place_of,
)

# A fleet that starts has no table that anybody remembers: one is begun a whole lease after its assigner is,
# which takes the patience of voters without a memory in some starts.
BEGIN_S = 18.0
# The last faults end, and what is owed after them is waited for.
CALM_S = 34.0
# So long after the last fault every shard is owned: a lease, a change of assigner, and some heartbeats. Where
# a majority of voters has lost its memory, the voters' patience and another lease come on top.
OWNED_WITHIN_S, OWNED_AFTER_AMNESIA_S = 14.0, 20.0
# On the short day no voter but the assigner is struck, and the last fault is a node that goes on.
OWNED_SOON_S = 9.0
SHORT_STOP_S = 1.2 * SHARD_LEASE_S
SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class ShardPlan(Plan):
    """A plan among shards, and what it is held to."""

    expected: Expected = field(default_factory=Expected)
    nodes: int = NODES


# ---------------------------------------------------------------------- the days


def _shards(nemesis: Nemesis) -> None:
    shards, luck = ShardFaults(nemesis), nemesis.random
    nemesis.weather(luck.choice((0.0, 0.02, 0.05)), 1, luck.choice((3, 20)))
    nemesis.every(
        3.0,
        6.0,
        shards.one_of(
            shards.kill_one,
            shards.kill_assigner,
            shards.leave_one,
            shards.hand_over_one,
            shards.lose_rack,
            shards.lose_zone,
            shards.stop_one,
        ),
    )
    nemesis.at(nemesis.first_s - 1.0, shards.stale_acts)
    nemesis.at(nemesis.first_s + 4.0, shards.kill_assigner)


def _stop_a_node(shards: ShardFaults, region: str) -> None:
    shards.stop(shards.node(region), 2.0 * SHARD_LEASE_S, True)


def _stopped(nemesis: Nemesis) -> None:
    shards = ShardFaults(nemesis)
    nemesis.weather(0.02, 1, 10)
    nemesis.every(2.5, 5.0, shards.stop_one)
    for at_s in (1.0, 10.0):
        region = shards.region()
        nemesis.at(
            nemesis.first_s + at_s,
            partial(_stop_a_node, shards, region),
        )
    nemesis.at(nemesis.first_s - 1.0, shards.stale_acts)
    nemesis.at(nemesis.first_s + 12.0, shards.kill_assigner)


def _cut(nemesis: Nemesis) -> None:
    shards = ShardFaults(nemesis)
    nemesis.weather(0.02, 1, 20)
    nemesis.every(
        3.0, 6.0, shards.one_of(shards.cut_assigner, shards.cut_node, shards.cut_in_parts, shards.cut_regions)
    )
    nemesis.every(
        5.0,
        9.0,
        shards.one_of(
            shards.newcomer_past_a_cut,
            shards.assigner_past_a_cut,
            shards.voter_misses_writes,
            shards.kill_one,
        ),
    )
    nemesis.at(nemesis.first_s - 1.0, shards.stale_acts)
    nemesis.at(nemesis.first_s + 6.0, shards.kill_assigner)


def _regions(nemesis: Nemesis) -> None:
    shards = ShardFaults(nemesis)
    nemesis.weather(0.01, 1, 20)
    nemesis.every(5.0, 16.0, shards.once_begun(shards.cut_regions))
    shards.once_owned(nemesis.first_s + 2.0, shards.cut_regions)


def _assigner(nemesis: Nemesis) -> None:
    """One region's at a time, and never so soon after another that leases end by it."""
    shards = ShardFaults(nemesis)

    def strike(region: str) -> None:
        name, how = shards.assigner(region), shards.luck.random()
        others = [voter for voter in control_of(region) if voter != name]
        if how < 0.4:
            shards.kill(name, shards.luck.choice((0.05, 1.0, 4.0)))
        elif how < 0.6:
            nemesis.fleet.leave(name)
            nemesis.later(2.0, nemesis.fleet.start, name)
        elif how < 0.8:
            shards.stop(name, shards.luck.uniform(1.0, 5.0))
        else:
            nemesis.cut_for(shards.luck.uniform(1.0, 5.0), [name], others, shards.luck.random() < 0.5)

    nemesis.weather(0.01, 1, 10)
    shards.once_owned(nemesis.first_s, lambda: None)
    for n, region in enumerate(REGIONS):
        at_s = nemesis.first_s + 1.0 + 3.0 * n
        while at_s < nemesis.last_s:
            nemesis.at(at_s, shards.once_begun(partial(strike, region)))
            at_s += shards.luck.uniform(12.0, 16.0)


def _restart(nemesis: Nemesis) -> None:
    shards = ShardFaults(nemesis)
    nemesis.weather(0.02, 1, 10)
    nemesis.every(
        5.0,
        9.0,
        shards.one_of(
            shards.voters_forget,
            shards.majority_forgets_past_a_cut,
            lambda: shards.voter_misses_writes(True),
        ),
    )
    nemesis.every(4.0, 8.0, shards.one_of(shards.kill_one, shards.leave_one))
    nemesis.at(nemesis.first_s - 1.5, shards.leave_one_node)
    nemesis.at(nemesis.first_s - 1.0, shards.stale_acts)
    nemesis.at(nemesis.first_s + 8.0, shards.kill_assigner)


def _roll(nemesis: Nemesis) -> None:
    """Everybody is restarted in good order, one after another; then a zone is lost and comes back."""
    shards = ShardFaults(nemesis)
    nemesis.weather(nemesis.random.choice((0.0, 0.02)), 1, 10)

    def restart(name: str) -> None:
        if place_of(index_of(name)).role:
            nemesis.fleet.leave(name)
            nemesis.later(nemesis.random.uniform(0.8, 1.5), nemesis.fleet.start, name)
        else:
            shards.hand_over(name)

    nemesis.at(nemesis.first_s - 1.0, shards.stale_acts)
    for n, name in enumerate(nemesis.fleet.names):
        nemesis.at(nemesis.first_s + 4.0 + 4.0 * n, partial(restart, name))
    nemesis.at(nemesis.last_s, shards.lose_zone)


def _slow(nemesis: Nemesis) -> None:
    shards, luck = ShardFaults(nemesis), nemesis.random

    def storm() -> None:
        nemesis.weather(*luck.choice(((0.3, 1, 40), (0.0, 150, 250), (0.1, 5, 900), (0.05, 300, 2500))), 0.1)
        nemesis.later(luck.uniform(2.0, 6.0), nemesis.weather, 0.02, 1, 20)

    nemesis.weather(0.02, 1, 20)
    nemesis.every(6.0, 10.0, storm)
    nemesis.every(4.0, 8.0, shards.one_of(shards.kill_one, shards.stop_one, shards.leave_one))
    nemesis.at(nemesis.first_s - 1.5, shards.leave_one_node)
    nemesis.at(nemesis.first_s - 1.0, shards.stale_acts)
    nemesis.at(nemesis.first_s + 8.0, shards.kill_assigner)


def _short(nemesis: Nemesis) -> None:
    """A stop over a lease, a cut, and the assigner killed: short enough for real processes in a test."""
    shards = ShardFaults(nemesis)
    region = shards.region()
    names = shards.nodes(region)
    nemesis.weather(0.0, 0, 2)

    def begin() -> None:
        shards.stop(names[0], SHORT_STOP_S)
        nemesis.fleet.end_after(int((SHORT_STOP_S + OWNED_SOON_S + 2.0) * SECOND))
        nemesis.later(1.0, lambda: nemesis.cut_for(3.0, names[1:2], [shards.assigner(region)], False))
        nemesis.later(3.0, lambda: shards.kill(shards.assigner(region), 1.0))

    shards.once_owned(nemesis.first_s, begin)


def _plan(
    name: str, about: str, script: Callable[[Nemesis], None], seconds: float, expected: Expected
) -> ShardPlan:
    return ShardPlan(
        name,
        about,
        script,
        seconds,
        calm_begin_s=BEGIN_S,
        calm_end_s=CALM_S,
        expected=expected,
    )


_AMNESIA = Expected(owned_within_s=OWNED_AFTER_AMNESIA_S)
_REFUSALS = Expected(refusals=True, owned_within_s=OWNED_AFTER_AMNESIA_S)
SHARD_PLANS = {
    plan.name: plan
    for plan in (
        _plan(
            "shards",
            "Nodes with shards, voters and assigners are killed, leave, hand over, stop; zones are lost.",
            _shards,
            87.0,
            _AMNESIA,
        ),
        _plan(
            "shards-stopped",
            "Owners of shards and assigners stop for about a lease, also in the middle of sending.",
            _stopped,
            87.0,
            _REFUSALS,
        ),
        _plan(
            "shards-cut",
            "Nodes, voters and assigners are cut off, one way too; regions in parts and from each other.",
            _cut,
            87.0,
            _AMNESIA,
        ),
        _plan(
            "shards-regions",
            "Regions are cut apart and healed; nothing moves.",
            _regions,
            77.0,
            Expected(False, False, owned_within_s=OWNED_WITHIN_S),
        ),
        _plan(
            "shards-assigner",
            "Assigners are killed, leave, stop, are cut off; nothing moves.",
            _assigner,
            82.0,
            Expected(False, True, owned_within_s=OWNED_WITHIN_S),
        ),
        _plan("shards-restart", "Voters lose their memory: one, a majority, all.", _restart, 92.0, _AMNESIA),
        _plan("shards-roll", "All are restarted one after another; a zone is lost.", _roll, 112.0, _REFUSALS),
        _plan("shards-slow", "Loss, delay, doubles, and owners that fail amid it.", _slow, 87.0, _AMNESIA),
        ShardPlan(
            "shards-short",
            "A stop over a lease, a cut, and the assigner killed, in about half a minute.",
            _short,
            60.0,
            expected=Expected(owned_within_s=OWNED_SOON_S),
        ),
    )
}
