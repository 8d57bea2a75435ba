"""The exchange of load between the nodes of a fleet, and between two processes that are one node.

It drives the rounds of the load gossip, and notifies the decisions of the load that others hold: the other
nodes, and a predecessor on this machine, whose sessions count as this node's towards the others.
"""

from __future__ import annotations

from dataclasses import replace

from sailrun.decisions.balancer import Balancer
from sailrun.decisions.events import FleetLoad, LocalLoad
from sailrun.load_gossip.aggregation_rounds import RESTATE_INTERVAL_US, AggregationRounds, RoundOutput
from sailrun.load_gossip.datagram import FORMAT_VERSION
from sailrun.node.clock import TurnTime
from sailrun.node.decision_port import DecisionPort
from sailrun.node.ports import OutgoingPorts
from sailrun.node.restart_state import ProcessLoad
from sailrun.node.shutdown import ShutdownPlans, ShutdownReason

GOSSIP_PREFIX = bytes((FORMAT_VERSION,))
# The load of the others is restated as it ages; should that fail to come, it is unknown after so long.
OTHERS_VALID_US = 4 * RESTATE_INTERVAL_US


class FleetLoadExchange:
    """The rounds, the load of the other nodes as they last had it, and that of a predecessor."""

    def __init__(
        self,
        rounds: AggregationRounds | None,
        turn: TurnTime,
        balancer: Balancer,
        decisions: DecisionPort,
        plans: ShutdownPlans,
        ports: OutgoingPorts,
    ) -> None:
        """`rounds`: None where the nodes may not exchange messages."""
        self._rounds, self._turn, self._balancer, self._decisions = rounds, turn, balancer, decisions
        self._plans, self._ports = plans, ports
        self._nodes_heard_from = 0  # that the last sum spoke for
        self._others: FleetLoad | None = None  # of the other nodes, for as long as it is known
        self._others_until_us = turn.now_us
        self._predecessor: ProcessLoad | None = None

    def due_us(self) -> int | None:
        """When `run_round` is due next; None: never. Of a node's two processes the successor gossips."""
        if self._rounds is None or ShutdownReason.SUCCEEDED in self._plans:
            return None
        return self._rounds.due_us()

    def run_round_if_due(self) -> None:
        """Sends what the rounds have to send, if their time has come."""
        due_us = self.due_us()
        if self._rounds is not None and due_us is not None and self._turn.now_us >= due_us:
            self._carry_out(self._rounds.tick(self._turn.now_us, self._node_load()))

    def receive(self, peer: int, content: bytes) -> bool:
        """Takes a datagram of another node, and answers it; False if it is not of the load gossip."""
        if self._rounds is None or content[:1] != GOSSIP_PREFIX:
            return False
        self._carry_out(self._rounds.receive(self._turn.now_us, peer, content, self._node_load()))
        return True

    def set_predecessor_load(self, load: ProcessLoad | None) -> None:
        """The load of the sessions that the predecessor still serves; None: it has ended."""
        self._predecessor = load
        self._decisions.feed(self._others_load())

    def local_load(self) -> ProcessLoad:
        """The load of the sessions established in this process, for the other of the node's two."""
        own = self._balancer.local_load()
        return ProcessLoad(own.loads, own.connections, own.loads_reported)

    def describe(self) -> str | None:
        """For the status line: nodes that the last sum spoke for, and messages refused."""
        return f"{self._nodes_heard_from}/{self._rounds.rejected_count}" if self._rounds is not None else None

    def _carry_out(self, output: RoundOutput) -> None:
        """Sends datagrams, and notifies the decisions if the load of the others was restated."""
        others = output.fleet_load
        if others is not None:
            self._nodes_heard_from = others.instances
            self._others, self._others_until_us = others, self._turn.now_us + OTHERS_VALID_US
        for peer, content in output.datagrams:
            if self._ports.peer_transport is not None:
                self._ports.peer_transport.send(peer, content)
        if others is not None:
            self._decisions.feed(self._others_load())

    def _node_load(self) -> LocalLoad:
        """The load of this node, a predecessor's part included."""
        own, predecessor = self._balancer.local_load(), self._predecessor
        if predecessor is None or predecessor.loads_reported is not own.loads_reported:
            return own
        loads = {number: load + predecessor.loads.get(number, 0.0) for number, load in own.loads.items()}
        return replace(own, loads=loads, connections=own.connections + predecessor.connections)

    def _others_load(self) -> FleetLoad:
        """The load of the other nodes, and of the process before this one."""
        others, predecessor = self._others, self._predecessor
        if others is None or self._turn.now_us >= self._others_until_us:
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
