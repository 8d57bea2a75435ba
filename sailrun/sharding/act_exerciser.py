"""For the laboratory: sends acts for a node's shards periodically, so that the checks have cases to examine.

About half of the acts for a shard go to one control member, which owns no shards: its fence checks the acts
of all successive owners of the shard. The others go to the best placed member other than the sender. Pure.
"""

from __future__ import annotations

import random

from sailrun.leadership.leases import best_placed
from sailrun.membership.messages import CONTROL
from sailrun.sharding.agent import ShardingAgent
from sailrun.sharding.assigner_election import MembershipView
from sailrun.sharding.messages import PeerMessage

SECOND_US = 1_000_000
ACT_INTERVAL_US = SECOND_US // 4
SHARDS_PER_INTERVAL = 4
CONTROL_SHARE = 0.5


class ActExerciser:
    """Sends acts for a random sample of a node's shards at fixed intervals."""

    def __init__(
        self,
        agent: ShardingAgent,
        members: MembershipView,
        name: str,
        seed: int,
        interval_us: int = ACT_INTERVAL_US,
        shards_per_interval: int = SHARDS_PER_INTERVAL,
    ) -> None:
        """Sends acts for the shards of the member `name`, whose agent is `agent`."""
        self._agent = agent
        self._members = members
        self._name = name
        self._interval_us = interval_us
        self._shards_per_interval = shards_per_interval
        self._random = random.Random(seed)
        self._next_us = 0

    def tick(self, now_us: int) -> list[PeerMessage]:
        """Returns the acts that are due, for shards that this member may use."""
        session = self._agent.session
        if session is None or now_us < self._next_us:
            return []
        self._next_us = now_us + self._interval_us
        usable = sorted(session.usable_shards(now_us))
        messages: list[PeerMessage] = []
        for shard in self._random.sample(usable, min(self._shards_per_interval, len(usable))):
            messages += self._send_act(now_us, shard)
        return messages

    def _send_act(self, now_us: int, shard: int) -> list[PeerMessage]:
        region = self._agent.region.name
        others = [r for r in self._members.living_records() if r.region == region and r.name != self._name]
        control = [record for record in others if record.role == CONTROL]
        if control and self._random.random() < CONTROL_SHARE:
            others = control
        best = best_placed(f"{region}/act/{shard}", [record.name for record in others])
        return self._agent.send_act(now_us, shard, best[0]) if best else []
