"""For the laboratory: a node acts for the shards it owns, again and again, so that the checks have occasions.

Half of the acts for a shard go to one control member, which owns no shards: its fence sees the acts of every
owner there is. The others go to the member that is placed best but for the owner itself.

Pure.
"""

from __future__ import annotations

import random

from sailrun.leadership.leases import best_placed
from sailrun.membership.messages import CONTROL
from sailrun.sharding.agent import ShardingAgent
from sailrun.sharding.assigner_election import MembershipView
from sailrun.sharding.messages import PeerMessage

SECOND = 1_000_000
# So often it acts, for so many of its shards.
EVERY_US, AT_A_TIME = SECOND // 4, 4


class ActExerciser:
    """Exercises acts on owned shards, so that a laboratory can judge their fencing."""

    def __init__(
        self,
        part: ShardingAgent,
        members: MembershipView,
        name: str,
        seed: int,
        every_us: int = EVERY_US,
        at_a_time: int = AT_A_TIME,
    ) -> None:
        """Acts for the shards of the member called `name`."""
        self._part, self._members, self._name = part, members, name
        self._every_us, self._at_a_time = every_us, at_a_time
        self._luck = random.Random(seed)
        self._next_us = 0

    def tick(self, now_us: int) -> list[PeerMessage]:
        """The acts that are due, where this member may act."""
        session = self._part.session
        if session is None or now_us < self._next_us:
            return []
        self._next_us = now_us + self._every_us
        usable = sorted(session.usable_shards(now_us))
        posts: list[PeerMessage] = []
        for shard in self._luck.sample(usable, min(self._at_a_time, len(usable))):
            posts += self._act(now_us, shard)
        return posts

    def _act(self, now_us: int, shard: int) -> list[PeerMessage]:
        region = self._part.region.name
        others = [r for r in self._members.living_records() if r.region == region and r.name != self._name]
        control = [record for record in others if record.role == CONTROL]
        if control and self._luck.random() < 0.5:
            others = control
        best = best_placed(f"{region}/act/{shard}", [record.name for record in others])
        return self._part.send_act(now_us, shard, best[0]) if best else []
