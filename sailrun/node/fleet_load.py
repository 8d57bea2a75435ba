"""The exchange of load between the nodes of a fleet, and between two processes that form one node.

It runs the rounds of the load gossip, and notifies the decision module of the load of the other nodes and of
a predecessor on this machine. Towards the other nodes, the predecessor's sessions count as this node's.
"""

from __future__ import annotations

from dataclasses import replace

from sailrun.decisions.balancer import Balancer
from sailrun.decisions.events import FleetLoad, LocalLoad
from sailrun.load_gossip.aggregation_rounds import RESTATE_INTERVAL_US, AggregationRounds, RoundOutput
from sailrun.load_gossip.datagram import FORMAT_VERSION
from sailrun.node.clock import LoopTime
from sailrun.node.decision_port import DecisionPort
from sailrun.node.ports import OutgoingPorts
from sailrun.node.restart_state import ProcessLoad
from sailrun.node.shutdown import ShutdownPlans, ShutdownReason

GOSSIP_PREFIX = bytes((FORMAT_VERSION,))
# The load of the other nodes is restated regularly. It counts as unknown if no restatement arrives for this
# long.
OTHERS_VALID_US = 4 * RESTATE_INTERVAL_US


class FleetLoadExchange:
    """The gossip rounds, the last known load of the other nodes, and the load of a predecessor."""

    def __init__(
        self,
        rounds: AggregationRounds | None,
        loop_time: LoopTime,
        balancer: Balancer,
        decisions: DecisionPort,
        plans: ShutdownPlans,
        ports: OutgoingPorts,
    ) -> None:
        """`rounds`: None if the nodes do not exchange messages."""
        self._rounds, self._loop_time, self._balancer, self._decisions = (
            rounds,
            loop_time,
            balancer,
            decisions,
        )
        self._plans, self._ports = plans, ports
        self._reporting_nodes = 0  # the number of nodes that the last sum covered
        self._others: FleetLoad | None = None  # the load of the other nodes, valid until `_others_until_us`
        self._others_until_us = loop_time.now_us
        self._predecessor: ProcessLoad | None = None

    def due_us(self) -> int | None:
        """Returns when `run_round_if_due` has to run next; None: never. If two processes form a node, only
        the successor takes part in the gossip.
        """
        if self._rounds is None or ShutdownReason.SUCCEEDED in self._plans:
            return None
        return self._rounds.due_us()

    def run_round_if_due(self) -> None:
        """Runs a gossip round if one is due, and sends its datagrams."""
        due_us = self.due_us()
        if self._rounds is not None and due_us is not None and self._loop_time.now_us >= due_us:
            self._carry_out(self._rounds.tick(self._loop_time.now_us, self._node_load()))

    def receive(self, peer: int, content: bytes) -> bool:
        """Handles and answers a datagram from another node; returns False if it is not part of the load
        gossip.
        """
        if self._rounds is None or content[:1] != GOSSIP_PREFIX:
            return False
        self._carry_out(self._rounds.receive(self._loop_time.now_us, peer, content, self._node_load()))
        return True

    def set_predecessor_load(self, load: ProcessLoad | None) -> None:
        """Sets the load of the sessions that the predecessor still serves; None: it has ended."""
        self._predecessor = load
        self._decisions.feed(self._others_load())

    def local_load(self) -> ProcessLoad:
        """Returns the load of the sessions established in this process, for the node's other process."""
        own = self._balancer.local_load()
        return ProcessLoad(own.loads, own.connections, own.loads_reported)

    def describe(self) -> str | None:
        """Returns NODES/REJECTED for the status line: nodes in the last sum, and rejected messages."""
        return f"{self._reporting_nodes}/{self._rounds.rejected_count}" if self._rounds is not None else None

    def _carry_out(self, output: RoundOutput) -> None:
        """Sends datagrams, and notifies the decision module if the load of the other nodes was restated."""
        others = output.fleet_load
        if others is not None:
            self._reporting_nodes = others.instances
            self._others, self._others_until_us = others, self._loop_time.now_us + OTHERS_VALID_US
        for peer, content in output.datagrams:
            if self._ports.peer_transport is not None:
                self._ports.peer_transport.send(peer, content)
        if others is not None:
            self._decisions.feed(self._others_load())

    def _node_load(self) -> LocalLoad:
        """Returns the load of this node, including the load of a predecessor if both state it in the same
        unit.
        """
        own, predecessor = self._balancer.local_load(), self._predecessor
        if predecessor is None or predecessor.loads_reported is not own.loads_reported:
            return own
        loads = {number: load + predecessor.loads.get(number, 0.0) for number, load in own.loads.items()}
        return replace(own, loads=loads, connections=own.connections + predecessor.connections)

    def _others_load(self) -> FleetLoad:
        """Returns the load of the other nodes and of the predecessor. The predecessor's is omitted if the
        other nodes have connections and state their load in another unit.
        """
        others, predecessor = self._others, self._predecessor
        if others is None or self._loop_time.now_us >= self._others_until_us:
            reported = predecessor is not None and predecessor.loads_reported
            others = FleetLoad({}, 0, reported, 1, frozenset(), 0)
        loads, connections, reported = others.loads, others.connections, others.loads_reported
        if predecessor is not None:
            if predecessor.loads_reported is others.loads_reported or not connections:
                numbers = {*loads, *predecessor.loads}
                loads = {n: loads.get(n, 0.0) + predecessor.loads.get(n, 0.0) for n in numbers}
                connections += predecessor.connections
            if not others.connections:
                reported = predecessor.loads_reported
        return replace(others, loads=loads, connections=connections, loads_reported=reported)
