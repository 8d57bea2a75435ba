"""Injects faults into the members that own or assign shards, and chooses their targets and durations.

The nemesis (`nemesis.py`) is the component that injects the faults of a plan. As in its other plans, the
target is chosen when the fault begins: the assigner of a region, one of its voters, or a node that owns
shards.
"""

from __future__ import annotations

from collections.abc import Callable

from sailrun.lab.faults.nemesis import Nemesis
from sailrun.lab.faults.shard_history import shards_in_use
from sailrun.lab.faults.shard_world import (
    REGIONS,
    SHARD_LEASE_S,
    SHARDS_PER_REGION,
    index_of,
    place_of,
    region_of,
    voters_of,
)

SECOND_US = 1_000_000
POLL_INTERVAL_S = 0.2
# Messages are delayed long enough for another owner to send acts for the shard in the meantime.
ACT_DELAY_S = 18.0
# The number of intervals whose messages from an owner are delayed. Each lasts half a second, after which the
# drivers end a delay (`delay_messages`).
DELAYED_INTERVALS = 4


class ShardFaults:
    """Injects faults into the members that own or assign shards."""

    def __init__(self, nemesis: Nemesis) -> None:
        self.nemesis, self.fleet, self.rng = nemesis, nemesis.fleet, nemesis.random
        self._were_all_owned = False

    # ------------------------------------------------------------------ timing

    def when_all_owned(self, not_before_s: float, then: Callable[[], None]) -> None:
        """Calls `then` at that time of the run, or after it as soon as every shard has an owner for the first
        time.
        """

        def poll() -> None:
            self._were_all_owned = shards_in_use(self.fleet.rows) == len(REGIONS) * SHARDS_PER_REGION
            if self._were_all_owned:
                then()
            else:
                self.nemesis.later(POLL_INTERVAL_S, poll)

        self.nemesis.at(not_before_s, poll)

    def if_all_were_owned(self, inject: Callable[[], None]) -> Callable[[], None]:
        """Returns a function that injects the fault, but does nothing before `when_all_owned` calls back."""
        return lambda: inject() if self._were_all_owned else None

    # ------------------------------------------------------------------ targets

    def random_region(self) -> str:
        return self.rng.choice(REGIONS)

    def members(self, region: str) -> list[str]:
        return [name for name in self.fleet.names if region_of(name) == region]

    def nodes(self, region: str) -> list[str]:
        """Returns the ordinary nodes of a region, which own shards."""
        return [name for name in self.members(region) if not place_of(index_of(name)).role]

    def random_node(self, region: str) -> str:
        return self.rng.choice(self.nodes(region))

    def assigner(self, region: str) -> str:
        """Returns the assigner of a region, or a random voter if there is no assigner now."""
        return self.fleet.leader_of(f"shards/{region}") or self.rng.choice(voters_of(region))

    def random_member(self) -> str:
        """Returns a random member of a random region: its assigner in 35 % of the cases, an ordinary node in
        50 %, a voter in 15 %.
        """
        region, draw = self.random_region(), self.rng.random()
        if draw < 0.35:
            return self.assigner(region)
        return self.random_node(region) if draw < 0.85 else self.rng.choice(voters_of(region))

    # ------------------------------------------------------------------ processes

    def kill(self, name: str, duration_s: float) -> None:
        self.nemesis.kill_for(name, duration_s)

    def kill_random_member(self) -> None:
        self.kill(self.random_member(), self.rng.choice((0.05, 1.0, 4.0, 1.4 * SHARD_LEASE_S)))

    def kill_assigner(self) -> None:
        self.kill(self.assigner(self.random_region()), self.rng.choice((0.05, 1.0, 4.0)))

    def make_random_member_leave(self) -> None:
        name = self.random_member()
        self.fleet.leave(name)
        self.nemesis.later(self.rng.uniform(1.0, 4.0), self.fleet.start, name)

    def make_random_node_leave(self) -> None:
        name = self.random_node(self.random_region())
        self.fleet.leave(name)
        self.nemesis.later(1.0, self.fleet.start, name)

    def hand_over_random_node(self) -> None:
        """Shuts a random node down as planned (see `hand_over`) and starts it again."""
        self.hand_over(self.random_node(self.random_region()))

    def hand_over(self, name: str, wait_s: float = 2.5) -> None:
        """Shuts a node down as planned and starts it again. The node asks the assigner, which has to permit
        it, to move its shards, and leaves `wait_s` later in any case.
        """
        self.fleet.hand_over(name)
        self.nemesis.later(wait_s, self.fleet.leave, name)
        self.nemesis.later(wait_s + self.rng.uniform(0.8, 1.5), self.fleet.start, name)

    def pause_random_member(self) -> None:
        """Pauses a member for 0.4 to 1.6 leases; in half of the cases while it is sending."""
        self.pause(self.random_member(), SHARD_LEASE_S * self.rng.uniform(0.4, 1.6), self.rng.random() < 0.5)

    def pause(self, name: str, duration_s: float, in_send: bool = False) -> None:
        self.nemesis.later(duration_s, self.fleet.resume, name, self.fleet.pause(name, in_send))

    def lose_zone(self, fraction: float = 1.0) -> None:
        """Simulates a power failure of a zone, or of a rack (a random fraction of the zone's members): kills
        the members, and starts them again some seconds later.
        """
        zone = place_of(index_of(self.random_node(self.random_region()))).zone
        names = [name for name in self.fleet.names if place_of(index_of(name)).zone == zone]
        self.rng.shuffle(names)
        duration_s = self.rng.choice((1.0, 4.0, 1.2 * SHARD_LEASE_S))
        for name in names[: max(1, round(fraction * len(names)))]:
            self.kill(name, duration_s)

    def lose_rack(self) -> None:
        self.lose_zone(0.5)

    # ------------------------------------------------------------------ late acts

    def delay_acts(self) -> None:
        """In each region, delays messages of a random shard owner by up to ACT_DELAY_S, and cuts it off from
        the region's voters for longer than a lease, so that other nodes send acts for its shards. The owner
        must still be a member when the messages arrive, because receivers ignore messages of senders that are
        not members.
        """
        for region in REGIONS:
            name = self.random_node(region)
            for n in range(DELAYED_INTERVALS):
                self.nemesis.later(
                    0.5 * n, self.fleet.delay_messages, name, int((ACT_DELAY_S - 0.5 * n) * SECOND_US)
                )
            wait_s = 0.5 * DELAYED_INTERVALS + 0.1
            voters = list(voters_of(region))
            self.nemesis.later(wait_s, self.nemesis.cut_for, 1.2 * SHARD_LEASE_S, [name], voters)

    # ------------------------------------------------------------------ network partitions

    def cut_assigner(self) -> None:
        """Cuts an assigner off from one other voter, or from all other voters."""
        region = self.random_region()
        name = self.assigner(region)
        others = [voter for voter in voters_of(region) if voter != name]
        self.rng.shuffle(others)
        self._cut([name], others if self.rng.random() < 0.6 else others[:1])

    def cut_node(self) -> None:
        """Cuts a node off from the region's voters, or from the assigner alone."""
        region = self.random_region()
        voters = list(voters_of(region))
        self._cut([self.random_node(region)], voters if self.rng.random() < 0.7 else [self.assigner(region)])

    def partition_region(self) -> None:
        """Partitions a region into two or three parts."""
        names = self.members(self.random_region())
        self.rng.shuffle(names)
        count = self.rng.choice((2, 2, 3))
        parts = [names[n::count] for n in range(count)]
        duration_s = self.rng.choice((1.0, 3.0, 1.5 * SHARD_LEASE_S))
        for n, side in enumerate(parts):
            for other_side in parts[n + 1 :]:
                self.nemesis.cut_for(duration_s, side, other_side)

    def partition_regions(self) -> None:
        side, other_side = (self.members(region) for region in REGIONS)
        duration_s = self.rng.choice((2.0, 5.0, 2.0 * SHARD_LEASE_S))
        self.nemesis.cut_for(duration_s, side, other_side, self.rng.random() < 0.7)

    def _cut(self, side: list[str], other_side: list[str]) -> None:
        duration_s = self.rng.choice((1.0, 3.0, 5.0, 1.5 * SHARD_LEASE_S))
        if self.rng.random() < 0.3:
            side, other_side = other_side, side
        self.nemesis.cut_for(duration_s, side, other_side, self.rng.random() < 0.6)

    def return_node_during_cut(self) -> None:
        """Kills a node. Shortly before the node returns, another node is cut off from the voters for less
        than a lease, so that shards that the returning node takes over may still be in use there.
        """
        region = self.random_region()
        returning, isolated = self.rng.sample(self.nodes(region), 2)
        self.kill(returning, 1.4 * SHARD_LEASE_S)
        wait_s = 1.4 * SHARD_LEASE_S - 0.2
        voters = list(voters_of(region))
        self.nemesis.later(wait_s, self.nemesis.cut_for, 0.7 * SHARD_LEASE_S, [isolated], voters)

    def kill_assigner_during_cut(self) -> None:
        """Kills the assigner while a node is cut off, so that the node does not learn of the next one."""
        region = self.random_region()
        voters = list(voters_of(region))
        self.nemesis.cut_for(0.8 * SHARD_LEASE_S, [self.random_node(region)], voters)
        self.nemesis.later(0.2, self.kill, self.assigner(region), self.rng.choice((1.0, 4.0)))

    def make_voter_miss_writes(self, restart_informed_voter: bool = False) -> None:
        """Cuts one voter off from the assigner while the shard table changes, and then kills the assigner.
        With `restart_informed_voter`, the voter that received the change is restarted and loses its memory.

        Steps: the voter is cut off for 9 s; a node leaves and returns, which changes the table; at 5 s a node
        is cut off from the voters; at 5.2 s the assigner is killed, so that the next one is elected with the
        voter that missed the change. The cut outlasts the kill, so the voter cannot learn of the change from
        the assigner in between.
        """
        region = self.random_region()
        name = self.assigner(region)
        others = [voter for voter in voters_of(region) if voter != name]
        self.rng.shuffle(others)
        nodes = self.nodes(region)
        self.rng.shuffle(nodes)
        self.nemesis.cut_for(9.0, [name], others[:1])
        self.fleet.leave(nodes[0])
        self.nemesis.later(2.0, self.fleet.start, nodes[0])
        # After the change a node that owns shards is cut off from the region's voters.
        self.nemesis.later(5.0, self.nemesis.cut_for, 4.5, [nodes[-1]], list(voters_of(region)))
        self.nemesis.later(5.2, self.kill, name, 5.0)
        if restart_informed_voter:
            self.nemesis.later(5.2, self.kill, others[1], 0.05)

    # ------------------------------------------------------------------ loss of memory

    def restart_voters(self) -> None:
        """Restarts one voter, a majority or all voters of a region, at the same time or one after another."""
        voters = list(voters_of(self.random_region()))
        self.rng.shuffle(voters)
        at_once = self.rng.random() < 0.6
        for n, name in enumerate(voters[: self.rng.choice((1, 2, 2, 3))]):
            wait_s = 0.0 if at_once else 0.7 * n
            self.nemesis.later(wait_s, self.kill, name, self.rng.choice((0.02, 0.5, 3.0)))

    def restart_majority_during_cut(self) -> None:
        """Restarts a majority of the voters while a node is cut off from all voters."""
        region = self.random_region()
        voters = list(voters_of(region))
        self.rng.shuffle(voters)
        self.nemesis.cut_for(0.9 * SHARD_LEASE_S, [self.random_node(region)], voters)
        for name in voters[:2]:
            self.kill(name, 0.05)

    def choose_from(self, *faults: Callable[[], None]) -> Callable[[], None]:
        return lambda: self.rng.choice(faults)()
