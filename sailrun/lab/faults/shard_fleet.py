"""The members of two regions in virtual time. Shard owners periodically send acts for their shards:
messages to other members, each with the shard's fencing token.
"""

from __future__ import annotations

from sailrun.lab.faults.shard_world import (
    FLEET_VOTERS,
    REGIONS,
    ZONES_PER_REGION,
    place_of,
    shard_agent_settings,
)
from sailrun.lab.faults.virtual import VirtualFleet, VirtualNode
from sailrun.leadership.agent import OutgoingEnvelope
from sailrun.membership.messages import MemberRecord, MemberState
from sailrun.sharding.act_exerciser import ACT_INTERVAL_US, ActExerciser
from sailrun.sharding.messages import ShardAct


class ShardFleet(VirtualFleet):
    # How long, in seconds, a node is paused between checking its lease and sending. The range extends beyond
    # a shard's lease, so that some of these messages are sent after the lease has expired.
    send_pause_s = (4.0, 14.0)

    def __init__(self, nodes: int, seed: int, off: frozenset[str] = frozenset()) -> None:
        super().__init__(nodes, FLEET_VOTERS, ZONES_PER_REGION, shard_agent_settings, seed, off)
        for node in self.nodes.values():
            node.zone = place_of(node.index).zone
        self._exercisers: dict[str, tuple[int, ActExerciser]] = {}  # by node: its start count and exerciser

    def begin(self) -> None:
        super().begin()
        for index, name in enumerate(self.names):
            self.time.after(ACT_INTERVAL_US * index // len(self.names), self._send_acts, name)

    def _record_of(self, node: VirtualNode, life: int) -> MemberRecord:
        place = place_of(node.index)
        return MemberRecord(
            node.name, life, 1, MemberState.ALIVE, node.address, place.zone, place.region, place.role
        )

    # ------------------------------------------------------------------ acts

    def _send_acts(self, name: str) -> None:
        self.time.after(ACT_INTERVAL_US, self._send_acts, name)
        node = self.nodes[name]
        agent = node.agent
        if agent is None or node.paused:
            return
        now_us = self.clock_us(node)
        self._send(node, agent.send_shard_messages(now_us, self._exerciser(node).tick(now_us)))

    def _exerciser(self, node: VirtualNode) -> ActExerciser:
        start_count, exerciser = self._exercisers.get(node.name, (0, None))
        if exerciser is None or start_count != node.start_count:
            agent = node.agent
            assert agent is not None and agent.shards is not None
            seed = self._random.getrandbits(32)
            # The interval is 0: `_send_acts` is called once per ACT_INTERVAL_US.
            exerciser = ActExerciser(agent.shards, agent.members, node.name, seed, 0)
            self._exercisers[node.name] = node.start_count, exerciser
        return exerciser

    def _is_pause_point(self, out: OutgoingEnvelope) -> bool:
        return isinstance(out.envelope.body, ShardAct)

    def hand_over(self, name: str) -> None:
        node = self.nodes[name]
        if node.agent is None or node.agent.shards is None or node.paused:
            return
        self.record_fault("hand-over", node=name)
        node.agent.shards.set_leaving(self.clock_us(node), True)
        self._schedule_turn(node, 0)

    # ------------------------------------------------------------------ queries of the nemesis

    def leader_of(self, task: str) -> str | None:
        for node in self.nodes.values():
            sharding = node.agent.shards if node.agent is not None else None
            if sharding is not None and sharding.task == task and sharding.is_assigner(self.clock_us(node)):
                return node.name
        return None

    def tasks(self) -> list[str]:
        return [f"shards/{region}" for region in REGIONS]
