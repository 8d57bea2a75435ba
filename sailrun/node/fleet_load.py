"""What the nodes of the tier hold together, as this one knows it: the rounds, their latest sum, and the part
of a predecessor on this machine, which is this node's own.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from sailrun.decisions.events import FleetLoad, LocalLoad
from sailrun.load_gossip.aggregation_rounds import RESTATE_INTERVAL_US, AggregationRounds, OutgoingDatagram
from sailrun.load_gossip.datagram import FORMAT_VERSION
from sailrun.node.restart_state import ProcessLoad

FLEET = bytes((FORMAT_VERSION,))
# What is known of the others is told anew as it ages; should that fail to come, it ends.
OTHERS_US = 4 * RESTATE_INTERVAL_US


class FleetLoadExchange:
    def __init__(self, rounds: AggregationRounds | None, now_us: int) -> None:
        """`rounds`: None where the nodes may not talk."""
        self._rounds = rounds
        self._heard_of = 0  # nodes that the last sum spoke for
        self._others: FleetLoad | None = None  # what the other nodes hold, for as long as that is known
        self._others_until_us = now_us
        self.news = False  # whether the last call brought a new sum
        self.predecessor: ProcessLoad | None = None  # what the process before this one still holds

    def due_us(self) -> int | None:
        return self._rounds.due_us() if self._rounds is not None else None

    def turn(self, now_us: int, own: LocalLoad) -> list[OutgoingDatagram]:
        """What the rounds have to send, their time having come."""
        assert self._rounds is not None
        return self._said(now_us, self._rounds.tick(now_us, self.holding(own)))

    def heard(
        self, now_us: int, neighbour: int, content: bytes, own: Callable[[], LocalLoad]
    ) -> list[OutgoingDatagram] | None:
        """What another node's word has this one send; None: it is not of the rounds."""
        if self._rounds is None or content[:1] != FLEET:
            return None
        return self._said(now_us, self._rounds.receive(now_us, neighbour, content, self.holding(own())))

    def _said(
        self, now_us: int, said: tuple[list[OutgoingDatagram], FleetLoad | None]
    ) -> list[OutgoingDatagram]:
        outgoing, others = said
        if others is not None:
            self._heard_of = others.instances
            self._others, self._others_until_us = others, now_us + OTHERS_US
        self.news = others is not None
        return outgoing

    def holding(self, own: LocalLoad) -> LocalLoad:
        """What the node holds, a predecessor's part included."""
        before = self.predecessor
        if before is None or before.loads_reported is not own.loads_reported:
            return own
        loads = {number: load + before.loads.get(number, 0.0) for number, load in own.loads.items()}
        return replace(own, loads=loads, connections=own.connections + before.connections)

    def others_hold(self, now_us: int) -> FleetLoad:
        """What others hold: the other nodes, and the process before this one."""
        others, before = self._others, self.predecessor
        if others is None or now_us >= self._others_until_us:
            others = FleetLoad({}, 0, before is not None and before.loads_reported, 1, frozenset(), 0)
        loads, connections = others.loads, others.connections
        if before is not None and (before.loads_reported is others.loads_reported or not connections):
            loads = {n: loads.get(n, 0.0) + before.loads.get(n, 0.0) for n in {*loads, *before.loads}}
            connections += before.connections
        told = others.loads_reported if others.connections or before is None else before.loads_reported
        return FleetLoad(loads, connections, told, others.instances, others.overloaded, others.fresh_until_us)

    def pulse(self) -> str | None:
        """For the log: nodes that the last sum spoke for, and messages refused."""
        return f"{self._heard_of}/{self._rounds.rejected_count}" if self._rounds is not None else None
