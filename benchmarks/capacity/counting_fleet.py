"""A fleet in virtual time that counts the messages, bytes and processor time of each node.

Bytes are those of the datagrams on the wire: the encoded envelope and `HEADER_BYTES` bytes of IP and UDP
headers. Processor time covers the calls of the agent, encoding and decoding, measured with the clock of the
thread. It includes neither sockets nor the time that the virtual network takes.
"""

from __future__ import annotations

import time
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from sailrun.lab.faults.virtual import VirtualFleet, VirtualNode
from sailrun.lab.scheduler import BEGIN_US
from sailrun.leadership.agent import AgentSettings, OutgoingEnvelope
from sailrun.leadership.envelope import Body, Envelope, decode_envelope, encode_envelope
from sailrun.leadership.messages import (
    LeaderRequest,
    LeaderResponse,
    LeaseDenial,
    LeaseGrant,
    LeaseHandover,
    LeaseRelease,
    LeaseRequest,
    NotLeader,
    ResponseRejection,
    TermQuery,
    TermReport,
)
from sailrun.leadership.settings import LeadershipSettings, ListReaderSettings, PermitSettings
from sailrun.membership.messages import MemberBody
from sailrun.membership.settings import MembershipSettings
from sailrun.replication.messages import ReplicationBody
from sailrun.replication.settings import ReplicationSettings
from sailrun.sharding.messages import ShardBody

SECOND_US = 1_000_000
HEADER_BYTES = 28
VOTERS = 7
MAX_OUT_OF_SERVICE = 1_000
MEMBERS, LEASES, REPLICATION, SHARDS, OTHER = "members", "leases", "copies", "shards", "other"
_LEADER_MESSAGES = (LeaderRequest, LeaderResponse, NotLeader, ResponseRejection)
_LEASE_MESSAGES = (LeaseRequest, LeaseGrant, LeaseDenial, LeaseRelease, LeaseHandover, TermQuery, TermReport)


def control_settings(index: int, voters: list[str], joins: list[str]) -> AgentSettings:
    """Returns the program's default settings with membership, leadership, permits, list reader, move rate and
    replication enabled. Sharding is off. Up to `MAX_OUT_OF_SERVICE` form servers may be out of service at a
    time, so that no mark waits for a permit.
    """
    return AgentSettings(
        MembershipSettings(enabled=True, fleet="capacity", name=f"n{index}", join=tuple(joins)),
        LeadershipSettings(enabled=True, voters=tuple(voters)),
        PermitSettings(enabled=True, out=MAX_OUT_OF_SERVICE),
        ListReaderSettings(enabled=True),
        shares_move_rate=True,
        replication=ReplicationSettings(enabled=True),
    )


def message_group(body: Body) -> str:
    """Returns the group in which a message is counted: `members`, `leases`, `copies` (replication),
    `shards`, `other`, or the task of a message to or from a leader.
    """
    if isinstance(body, MemberBody):
        return MEMBERS
    if isinstance(body, _LEADER_MESSAGES):
        return body.task
    if isinstance(body, _LEASE_MESSAGES):
        return LEASES
    if isinstance(body, ShardBody):
        return SHARDS
    return REPLICATION if isinstance(body, ReplicationBody) else OTHER


@dataclass(slots=True)
class Traffic:
    messages: int = 0
    bytes: int = 0

    def add(self, size: int) -> None:
        self.messages += 1
        self.bytes += size


@dataclass(slots=True)
class NodeCounts:
    """Counts of one node, incoming and outgoing together."""

    groups: defaultdict[str, Traffic] = field(default_factory=lambda: defaultdict(Traffic))
    bytes_by_second: defaultdict[int, int] = field(default_factory=lambda: defaultdict(int))
    cpu_ns: int = 0

    @property
    def bytes(self) -> int:
        return sum(traffic.bytes for traffic in self.groups.values())

    @property
    def messages(self) -> int:
        return sum(traffic.messages for traffic in self.groups.values())

    def group(self, name: str) -> Traffic:
        return self.groups.get(name, Traffic())


class CountingFleet(VirtualFleet):
    def __init__(self, nodes: int, seed: int = 1, zones: int = 1, voters: int = VOTERS) -> None:
        super().__init__(nodes, voters, zones, control_settings, seed)
        self.counts: dict[str, NodeCounts] = {}
        # Time spent in the virtual network and in counting during a call of a node, which is subtracted from
        # the node's processor time.
        self._excluded_ns = 0
        self.reset_counts()

    # ------------------------------------------------------------------ control and queries

    def reset_counts(self) -> None:
        self.counts = {name: NodeCounts() for name in self.names}

    def now_s(self) -> float:
        return (self.time.now_us - BEGIN_US) / SECOND_US

    def run_for(self, seconds: float) -> None:
        self.run(self.now_s() + seconds)

    def running_nodes(self) -> list[VirtualNode]:
        return [node for node in self.nodes.values() if node.agent is not None]

    def converged_share(self) -> float:
        """Returns the share, 0 to 1, of the running nodes that know as many living members as there are
        running nodes.
        """
        running_nodes = self.running_nodes()
        converged = sum(
            node.agent is not None and len(node.agent.members.living_names) == len(running_nodes)
            for node in running_nodes
        )
        return converged / max(1, len(running_nodes))

    def run_until_converged(self, timeout_s: float, share: float = 1.0, step_s: float = 0.25) -> float:
        """Runs until this share of the nodes knows all members. Returns the seconds taken, infinity after
        `timeout_s`.
        """
        began_s = self.now_s()
        while self.converged_share() < share:
            if self.now_s() - began_s >= timeout_s:
                return float("inf")
            self.run_for(step_s)
        return self.now_s() - began_s

    # ------------------------------------------------------------------ counting

    def row(self, kind: str, node: str, **facts: Any) -> None:
        """Records nothing: no checker reads this history, and rows would count as memory of the nodes."""

    def _turn(self, node: VirtualNode, turn_number: int) -> None:
        began_ns, self._excluded_ns = time.thread_time_ns(), 0
        super()._turn(node, turn_number)
        self.counts[node.name].cpu_ns += time.thread_time_ns() - began_ns - self._excluded_ns

    def _arrive(self, sender: str, address: str, to: VirtualNode, envelope: Envelope) -> None:
        if to.agent is None or self._is_cut(sender, to.name):
            return
        data = encode_envelope(envelope)
        self._count(to, envelope, len(data))
        began_ns, self._excluded_ns = time.thread_time_ns(), 0
        super()._arrive(sender, address, to, decode_envelope(data))
        self.counts[to.name].cpu_ns += time.thread_time_ns() - began_ns - self._excluded_ns

    def _transmit(self, node: VirtualNode, out: OutgoingEnvelope) -> None:
        length = len(encode_envelope(out.envelope))
        began_ns = time.thread_time_ns()
        self._count(node, out.envelope, length)
        super()._transmit(node, out)
        self._excluded_ns += time.thread_time_ns() - began_ns

    def _count(self, node: VirtualNode, envelope: Envelope, length: int) -> None:
        counts = self.counts[node.name]
        counts.groups[message_group(envelope.body)].add(length + HEADER_BYTES)
        counts.bytes_by_second[self.time.now_us // SECOND_US] += length + HEADER_BYTES
