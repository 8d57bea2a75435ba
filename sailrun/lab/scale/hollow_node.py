"""A hollow node: the agent and transport of a real node, without clients, form servers and a core."""

from __future__ import annotations

import random
import socket
import time
import zlib
from collections.abc import Callable
from functools import partial
from time import thread_time
from typing import Any

import anyio

from sailrun.connection import split_address
from sailrun.lab.scale.delay_line import MIN_DELAY_S, DelayLine
from sailrun.lab.scale.host_messages import Look, NodeReport
from sailrun.lab.scale.metered_agent import MeteredAgent
from sailrun.lab.scale.network_model import NetworkModel
from sailrun.lab.scale.plan import Place
from sailrun.lab.scale.settings import initial_member_record
from sailrun.leadership.agent import READER_TASK_PREFIX, AgentSettings, OutgoingEnvelope
from sailrun.leadership.clock import boot_us
from sailrun.leadership.envelope import Envelope
from sailrun.leadership.initial_term import new_initial_term
from sailrun.leadership.list_reader import SharedList
from sailrun.leadership.traffic_counters import TrafficCounters
from sailrun.leadership.transport import Transport
from sailrun.membership.messages import MemberRecord

SECOND = 1_000_000
# The interval at which the endpoint list changes in a scale run.
ROSTER_CHANGE_INTERVAL_S = 60
# A leaving node runs on for this time, as a real node does while it moves its clients.
LEAVE_GRACE_S = 0.5


def process_number_of(seed: int, name: str, number: int) -> int:
    """Returns the process number of the `number`-th start of a hollow node. Every host can compute it."""
    return random.Random(f"{seed}/{name}/{number}").getrandbits(62)


def member_record(seed: int, place: Place, number: int) -> MemberRecord:
    return initial_member_record(place, process_number_of(seed, place.name, number))


def names_crc(names: list[str]) -> int:
    """Returns the CRC of the names in the given order."""
    return zlib.crc32("\n".join(names).encode())


def roster_revision(began_us: int, now_us: int) -> int:
    return 1 + max(0, now_us - began_us) // (ROSTER_CHANGE_INTERVAL_S * SECOND)


class ModelledTransport(Transport):
    """A transport that applies the delay and loss of the network model to datagrams and frames.

    A frame waits before it is queued for its link, so that the leader's term is checked after the delay, not
    before.
    """

    def __init__(self, agent: MeteredAgent, place: Place, network: NetworkModel, delays: DelayLine) -> None:
        super().__init__(agent, split_address(place.address), waits_for_address=False)
        self._metered, self._place, self._network, self._delays = agent, place, network, delays

    def _send(self, datagrams: socket.socket, outs: list[OutgoingEnvelope]) -> None:
        began_s = thread_time()
        super()._send(datagrams, outs)
        self._metered.cpu_s += thread_time() - began_s

    def _send_datagram(self, datagrams: socket.socket, data: bytes, address: str) -> None:
        to = self._network.by_address.get(address)
        if to is None:
            return
        wait_s = self._network.datagram_s(self._place, to)
        if wait_s is None:
            self.traffic.sent(len(data))
            return
        if wait_s < MIN_DELAY_S:
            super()._send_datagram(datagrams, data, address)
        else:
            self._delays.after(wait_s, partial(self._send_delayed_datagram, datagrams, data, address))

    def _send_delayed_datagram(self, datagrams: socket.socket, data: bytes, address: str) -> None:
        began_s = thread_time()
        super()._send_datagram(datagrams, data, address)
        self._metered.cpu_s += thread_time() - began_s

    def _queue_frame(self, out: OutgoingEnvelope, data: bytes) -> None:
        to = self._network.by_address.get(out.address)
        if to is None:
            return
        wait_s = self._network.frame_s(self._place, to)
        if wait_s is not None:
            self._delays.after(wait_s, partial(super()._queue_frame, out, data))

    def _decode(self, data: bytes) -> Envelope:
        began_s = thread_time()
        try:
            return super()._decode(data)
        finally:
            self._metered.cpu_s += thread_time() - began_s

    def _on_envelope(self, address: str, envelope: Envelope) -> None:
        """Applies the model to messages from real processes, which send without it.

        A message from a hollow node is checked again for a cut or a silence that began during its delay.
        """
        sender = self._network.by_name.get(envelope.sender)
        if sender is None or not sender.real:
            if sender is None or self._network.passes(sender, self._place):
                super()._on_envelope(address, envelope)
            return
        wait_s = self._network.datagram_s(sender, self._place)
        if wait_s is not None:
            self._delays.after(wait_s, partial(super()._on_envelope, address, envelope))


class HollowNode:
    """One process lifetime of a hollow node."""

    def __init__(
        self,
        place: Place,
        agent_settings: AgentSettings,
        seed: int,
        number: int,
        network: NetworkModel,
        delays: DelayLine,
        roster: str,
        began_us: int,
        record: Callable[..., None],
    ) -> None:
        """Raises OSError if the address is not available."""
        self.place, self.number = place, number
        self._began_us = began_us
        rng = random.Random(f"{seed}/{place.name}/{number}/agent")
        self.agent = MeteredAgent(
            member_record(seed, place, number),
            agent_settings,
            rng.getrandbits(32),
            boot_us(),
            lambda: new_initial_term(time.time(), rng.getrandbits(12)),
            record=record,
        )
        self.transport = ModelledTransport(self.agent, place, network, delays)
        self.transport.after_turn = self._after_turn
        self._task = READER_TASK_PREFIX + place.zone
        self._shared_list = SharedList(roster, agent_settings.list_reader, boot_us())
        self.agent.request_handlers[self._task] = lambda now_us, sender, content: (
            self._shared_list.answer_query(content)
        )
        self._scope = anyio.CancelScope()
        self._checked = (-1, 0)  # the version of the member list, and the CRC of its names

    async def run(self) -> None:
        with self._scope:
            await self.transport.run()

    def kill(self) -> None:
        """Cancels the tasks of the node; its sockets are closed once they have ended."""
        self._scope.cancel()

    async def leave(self) -> None:
        self.transport.post(self.agent.leave)
        await anyio.sleep(LEAVE_GRACE_S)
        self.kill()

    def preload(self, records: list[MemberRecord]) -> None:
        """Starts with these members known, as if it had joined long ago and disseminated all updates."""
        preload_members(self.agent, boot_us(), records)

    # ------------------------------------------------------------------ endpoint list

    def _after_turn(self, now_us: int) -> list[OutgoingEnvelope]:
        """Reads the list after each turn as a real node does: the reader of a zone reads the registry, and
        the other nodes query the reader.
        """
        shared_list = self._shared_list
        shared_list.is_leader = bool(self.agent.leading_term(self._task, now_us))
        if shared_list.must_read_registry(now_us):
            shared_list.on_registry_list(roster_revision(self._began_us, now_us), [])
        query = shared_list.next_query(now_us)
        if query is None or not self.agent.members.has_joined:
            return []
        return self.agent.request(now_us, self._task, [query.source, query.revision], self._on_answer)

    def _on_answer(self, now_us: int, sent_us: int, content: Any) -> None:
        self._shared_list.on_reply(now_us, content)

    # ------------------------------------------------------------------ inspection

    def report(self) -> NodeReport:
        return node_report(self.agent, self.number, self.transport.traffic, boot_us())

    def knows(self, expected_members: Look, seed: int) -> bool:
        """Returns whether the node knows exactly the members that the command describes."""
        members = self.agent.members
        if not members.has_joined or len(members.living_names) != expected_members.count:
            return False
        if self._checked[0] != members.living_version:
            self._checked = (members.living_version, names_crc(members.living_names))
        if self._checked[1] != expected_members.names_crc:
            return False
        return all(
            self._knows_process_number(seed, name, number) for name, number in expected_members.lives.items()
        )

    def _knows_process_number(self, seed: int, name: str, number: int) -> bool:
        record = self.agent.members.find_record(name)
        return record is not None and record.life == process_number_of(seed, name, number)


def node_report(agent: MeteredAgent, life: int, traffic: TrafficCounters, now_us: int) -> NodeReport:
    """Returns what one node has used, the tasks that it leads, and how many shards it may use."""
    tasks = [task for task in agent.candidate_tasks() if agent.leading_term(task, now_us)]
    report = NodeReport(agent.name, life, traffic, agent.cpu_s, tasks, agent.voter is not None)
    sharding = agent.shards
    if sharding is None:
        return report
    if sharding.is_assigner(now_us):
        tasks.append(sharding.task)
    report.control = sharding.session is None
    report.shards = len(sharding.session.usable_shards(now_us)) if sharding.session is not None else 0
    return report


def preload_members(agent: MeteredAgent, now_us: int, records: list[MemberRecord]) -> None:
    """Speeds up the start: the members are known at once, and their updates count as disseminated."""
    agent.members.preload(now_us, records)
    agent.cpu_s = 0.0
