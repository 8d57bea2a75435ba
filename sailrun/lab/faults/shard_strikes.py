"""Faults that strike where shards are owned or decided on: whom, how, and for how long.

As in `nemesis.py`, who that is shows when its time has come: the assigner of a region, one of its voters, or
a node that owns shards.
"""

from __future__ import annotations

from collections.abc import Callable

from sailrun.lab.faults.nemesis import Nemesis
from sailrun.lab.faults.shard_history import shards_in_use
from sailrun.lab.faults.shard_world import (
    REGIONS,
    SHARD_LEASE_S,
    SHARDS_OF_A_REGION,
    control_of,
    index_of,
    place_of,
    region_of,
)

SECOND = 1_000_000
LOOK_S = 0.2
# Held back for long enough that another owner has acted for the shard meanwhile.
STALE_S = 18.0
# What an owner sends is held back so often, for half a second each time.
STALE_TIMES = 4


class ShardFaults:
    """The faults, struck where shards are owned or decided on."""

    def __init__(self, nemesis: Nemesis) -> None:
        self.nemesis, self.fleet, self.luck = nemesis, nemesis.fleet, nemesis.random
        self._begun = False

    # ------------------------------------------------------------------ when

    def once_owned(self, when_s: float, then: Callable[[], None]) -> None:
        """At that time of the day, or as soon after it as every shard is owned for the first time."""

        def look() -> None:
            self._begun = shards_in_use(self.fleet.rows) == len(REGIONS) * SHARDS_OF_A_REGION
            if self._begun:
                then()
            else:
                self.nemesis.later(LOOK_S, look)

        self.nemesis.at(when_s, look)

    def once_begun(self, strike: Callable[[], None]) -> Callable[[], None]:
        """The strike, left out before what `once_owned` waits for."""
        return lambda: strike() if self._begun else None

    # ------------------------------------------------------------------ whom it strikes

    def region(self) -> str:
        return self.luck.choice(REGIONS)

    def members(self, region: str) -> list[str]:
        return [name for name in self.fleet.names if region_of(name) == region]

    def nodes(self, region: str) -> list[str]:
        """The ordinary ones, which own shards."""
        return [name for name in self.members(region) if not place_of(index_of(name)).role]

    def node(self, region: str) -> str:
        return self.luck.choice(self.nodes(region))

    def assigner(self, region: str) -> str:
        """Or, where there is none just now, a control member."""
        return self.fleet.owner(f"shards/{region}") or self.luck.choice(control_of(region))

    def anybody(self) -> str:
        region, how = self.region(), self.luck.random()
        if how < 0.35:
            return self.assigner(region)
        return self.node(region) if how < 0.85 else self.luck.choice(control_of(region))

    # ------------------------------------------------------------------ processes

    def kill(self, name: str, for_s: float) -> None:
        self.nemesis.kill_for(name, for_s)

    def kill_one(self) -> None:
        self.kill(self.anybody(), self.luck.choice((0.05, 1.0, 4.0, 1.4 * SHARD_LEASE_S)))

    def kill_assigner(self) -> None:
        self.kill(self.assigner(self.region()), self.luck.choice((0.05, 1.0, 4.0)))

    def leave_one(self) -> None:
        name = self.anybody()
        self.fleet.leave(name)
        self.nemesis.later(self.luck.uniform(1.0, 4.0), self.fleet.start, name)

    def leave_one_node(self) -> None:
        name = self.node(self.region())
        self.fleet.leave(name)
        self.nemesis.later(1.0, self.fleet.start, name)

    def hand_over_one(self) -> None:
        """A planned stop, which the assigner lets go ahead."""
        self.hand_over(self.node(self.region()))

    def hand_over(self, name: str, wait_s: float = 2.5) -> None:
        self.fleet.hand_over(name)
        self.nemesis.later(wait_s, self.fleet.leave, name)
        self.nemesis.later(wait_s + self.luck.uniform(0.8, 1.5), self.fleet.start, name)

    def stop_one(self) -> None:
        """For about a lease, less or more; half the time in the middle of sending."""
        self.stop(self.anybody(), SHARD_LEASE_S * self.luck.uniform(0.4, 1.6), self.luck.random() < 0.5)

    def stop(self, name: str, for_s: float, in_send: bool = False) -> None:
        self.nemesis.later(for_s, self.fleet.resume, name, self.fleet.stop(name, in_send))

    def lose_zone(self, part: float = 1.0) -> None:
        """A zone, or a rack of it, loses its power, and is back some seconds later."""
        zone = place_of(index_of(self.node(self.region()))).zone
        names = [name for name in self.fleet.names if place_of(index_of(name)).zone == zone]
        self.luck.shuffle(names)
        for_s = self.luck.choice((1.0, 4.0, 1.2 * SHARD_LEASE_S))
        for name in names[: max(1, round(part * len(names)))]:
            self.kill(name, for_s)

    def lose_rack(self) -> None:
        self.lose_zone(0.5)

    # ------------------------------------------------------------------ acts that come late

    def stale_acts(self) -> None:
        """What an owner has sent is under way for long; meanwhile it hears of nobody who decides, and others
        act for its shards. It has to be a member still when it arrives: else nobody would listen.
        """
        for region in REGIONS:
            name = self.node(region)
            for n in range(STALE_TIMES):
                self.nemesis.later(
                    0.5 * n, self.fleet.delay_messages, name, int((STALE_S - 0.5 * n) * SECOND)
                )
            wait_s = 0.5 * STALE_TIMES + 0.1
            control = list(control_of(region))
            self.nemesis.later(wait_s, self.nemesis.cut_for, 1.2 * SHARD_LEASE_S, [name], control)

    # ------------------------------------------------------------------ cuts

    def cut_assigner(self) -> None:
        """From one other voter, or from all."""
        region = self.region()
        name = self.assigner(region)
        others = [voter for voter in control_of(region) if voter != name]
        self.luck.shuffle(others)
        self._cut([name], others if self.luck.random() < 0.6 else others[:1])

    def cut_node(self) -> None:
        """A node from the region's control members, or from the assigner alone."""
        region = self.region()
        control = list(control_of(region))
        self._cut([self.node(region)], control if self.luck.random() < 0.7 else [self.assigner(region)])

    def cut_in_parts(self) -> None:
        """A region in two or in three."""
        names = self.members(self.region())
        self.luck.shuffle(names)
        count = self.luck.choice((2, 2, 3))
        parts = [names[n::count] for n in range(count)]
        for_s = self.luck.choice((1.0, 3.0, 1.5 * SHARD_LEASE_S))
        for n, one in enumerate(parts):
            for other in parts[n + 1 :]:
                self.nemesis.cut_for(for_s, one, other)

    def cut_regions(self) -> None:
        one, other = (self.members(region) for region in REGIONS)
        for_s = self.luck.choice((2.0, 5.0, 2.0 * SHARD_LEASE_S))
        self.nemesis.cut_for(for_s, one, other, self.luck.random() < 0.7)

    def _cut(self, one: list[str], other: list[str]) -> None:
        for_s = self.luck.choice((1.0, 3.0, 5.0, 1.5 * SHARD_LEASE_S))
        if self.luck.random() < 0.3:
            one, other = other, one
        self.nemesis.cut_for(for_s, one, other, self.luck.random() < 0.6)

    def newcomer_past_a_cut(self) -> None:
        """A node returns while another, whose shards it gets, hears nothing of it for less than a lease."""
        region = self.region()
        back, cut = self.luck.sample(self.nodes(region), 2)
        self.kill(back, 1.4 * SHARD_LEASE_S)
        wait_s = 1.4 * SHARD_LEASE_S - 0.2
        control = list(control_of(region))
        self.nemesis.later(wait_s, self.nemesis.cut_for, 0.7 * SHARD_LEASE_S, [cut], control)

    def assigner_past_a_cut(self) -> None:
        """The assigner dies while a node does not hear of the next one."""
        region = self.region()
        control = list(control_of(region))
        self.nemesis.cut_for(0.8 * SHARD_LEASE_S, [self.node(region)], control)
        self.nemesis.later(0.2, self.kill, self.assigner(region), self.luck.choice((1.0, 4.0)))

    def voter_misses_writes(self, forgets: bool = False) -> None:
        """One voter hears nothing of the assigner while the table changes; then the assigner dies, and with
        `forgets` the voter that did hear of it is started anew.
        """
        region = self.region()
        name = self.assigner(region)
        others = [voter for voter in control_of(region) if voter != name]
        self.luck.shuffle(others)
        nodes = self.nodes(region)
        self.luck.shuffle(nodes)
        self.nemesis.cut_for(9.0, [name], others[:1])
        self.fleet.leave(nodes[0])
        self.nemesis.later(2.0, self.fleet.start, nodes[0])
        # Past the change a node that owns shards hears of nobody who decides.
        self.nemesis.later(5.0, self.nemesis.cut_for, 4.5, [nodes[-1]], list(control_of(region)))
        self.nemesis.later(5.2, self.kill, name, 5.0)
        if forgets:
            self.nemesis.later(5.2, self.kill, others[1], 0.05)

    # ------------------------------------------------------------------ memory

    def voters_forget(self) -> None:
        """One voter, a majority or all of a region, at once or one after another."""
        voters = list(control_of(self.region()))
        self.luck.shuffle(voters)
        at_once = self.luck.random() < 0.6
        for n, name in enumerate(voters[: self.luck.choice((1, 2, 2, 3))]):
            wait_s = 0.0 if at_once else 0.7 * n
            self.nemesis.later(wait_s, self.kill, name, self.luck.choice((0.02, 0.5, 3.0)))

    def majority_forgets_past_a_cut(self) -> None:
        """A majority forgets while a node hears of nobody who decides."""
        region = self.region()
        voters = list(control_of(region))
        self.luck.shuffle(voters)
        self.nemesis.cut_for(0.9 * SHARD_LEASE_S, [self.node(region)], voters)
        for name in voters[:2]:
            self.kill(name, 0.05)

    def one_of(self, *faults: Callable[[], None]) -> Callable[[], None]:
        return lambda: self.luck.choice(faults)()
