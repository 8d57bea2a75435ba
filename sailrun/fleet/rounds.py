"""When a node tells whom what it holds, and what it then knows of the whole fleet. Pure: time comes in.

Every node telling every other costs as many datagrams as there are pairs. Here the time of day names one node
of the tier, another each round: all tell that one, it adds up, and tells all the sum. Two datagrams for each
node and round, however many nodes there are. A collector that is down costs the one round.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

import mmh3

from sailrun.fleet.digest import BadDatagram, Digest, read, room, short, write

SECOND = 1_000_000
# A round, as often as that where there is something to look at, else so many times more seldom. Each costs
# two datagrams a node: beyond forty nodes rounds are longer, so that the tier sends no more of them.
ROUND_US, SELDOM, NODE_US = 2 * SECOND, 4, 50_000
# Within a round: all tell within the first while, the collector adds up after the second.
TELL_US, COLLECT_US = 200_000, 300_000
# Whoever saw something to look at, or heard that others do, goes on looking for so long.
ALERT_US = 6 * SECOND
# A warning counts if so many of those heard give it.
WARN_LEAST = 2

Outgoing = tuple[int | None, bytes]


@dataclass(frozen=True, slots=True)
class Holding:
    """What this node holds itself."""

    loads: Mapping[int, float]  # by the numbers of all form servers listed, 0 where nothing stands
    connections: int
    told: bool  # loads are us of work a second, not connections
    warned: frozenset[int]  # numbers of form servers that it finds late or was cut off by
    alert: bool  # something is going on: a warm-up, a drain, a warning


@dataclass(frozen=True, slots=True)
class Others:
    """What the other nodes hold together, as a sum told of it."""

    loads: dict[int, float]  # by the form servers' numbers; those that the sum does not name left out
    connections: int
    told: bool
    nodes: int  # nodes that the sum speaks for, this one among them
    warned: frozenset[int]


class Rounds:
    """One node's part in the rounds of its tier."""

    def __init__(self, index: int, nodes: int, seed: int, now_us: int) -> None:
        self._index, self._nodes, self._room = index, nodes, room(nodes)
        self._random = Random(seed)
        self._round_us = max(ROUND_US, NODE_US * nodes)
        # A sum holds for so long: one round may be lost, and at the most two.
        self.holds_us = 3 * self._round_us + SECOND
        self._alert_until_us = now_us
        self._collecting: dict[int, Digest] = {}  # the round's tellings, by node
        self._own: dict[int, Digest] = {}  # what this node told, by round
        self._round = now_us // self._round_us  # the one under way
        self._tell_us = self._at(TELL_US, 1)
        self._sum_us = self._sum_round = 0  # when this node adds up, for which round; 0: not this time
        self.refused = 0  # datagrams that were none, or came too late

    def due_us(self) -> int:
        """When `turn` wants to be called next."""
        return min(self._tell_us, self._sum_us or self._tell_us)

    def collector(self, number: int) -> int:
        """Whom all tell in this round."""
        return mmh3.hash(number.to_bytes(8, "little"), 0, signed=False) % self._nodes

    def turn(self, now_us: int, holding: Holding) -> tuple[list[Outgoing], Others | None]:
        """What to send now, and, as a collector, what this node itself learns from it."""
        if holding.alert:
            self._alert_until_us = now_us + ALERT_US
        out: list[Outgoing] = []
        others = None
        if self._sum_us and now_us >= self._sum_us:
            self._sum_us = 0
            total = self._add_up(holding)
            out.append((None, write(total, self._nodes)))
            others = self._others(total, holding)
        if now_us >= self._tell_us:
            self._round = now_us // self._round_us
            if now_us < self._alert_until_us or self._round % SELDOM == 0:
                self._tell(now_us, holding, out)
            self._tell_us = self._at(TELL_US, 1)
        return out, others

    def _tell(self, now_us: int, holding: Holding, out: list[Outgoing]) -> None:
        telling = self._digest(holding, now_us < self._alert_until_us)
        self._own = {n: d for n, d in self._own.items() if n > self._round - 3} | {self._round: telling}
        if self.collector(self._round) == self._index:
            self._collect(self._round)
        else:
            out.append((self.collector(self._round), write(telling, self._nodes)))

    def heard(self, now_us: int, sender: int, content: bytes, holding: Holding) -> Others | None:
        """What a datagram makes known. One that is torn, old, or not its sender's to send is counted."""
        try:
            digest = read(content, self._nodes)
        except BadDatagram:
            self.refused += 1
            return None
        number = now_us // self._round_us
        mine = self.collector(digest.round) == self._index
        if digest.voices is None:
            if not mine or not number <= digest.round <= number + 1:
                self.refused += 1
                return None
            if now_us >= digest.round * self._round_us + COLLECT_US:
                self.refused += 1
                return None
            self._collect(digest.round)
            self._collecting[sender] = digest
            return None
        if sender != self.collector(digest.round) or not number - 1 <= digest.round <= number + 1:
            self.refused += 1
            return None
        if digest.alert:
            self._alert_until_us = max(self._alert_until_us, now_us + ALERT_US)
        return self._others(digest, holding)

    # ------------------------------------------------------------------ sums

    def _collect(self, number: int) -> None:
        if self._sum_round != number:
            self._collecting = {}
        self._sum_round, self._sum_us = number, number * self._round_us + COLLECT_US

    def _at(self, within_us: int, later: int = 0) -> int:
        """A time of its own within a round: nodes that tell in the same instant would be lost together."""
        return (self._round + later) * self._round_us + int(within_us * self._random.random())

    def _digest(self, holding: Holding, alert: bool) -> Digest:
        # The heaviest, if they do not all go in.
        chosen = [n for n, load in holding.loads.items() if load > 0 or n in holding.warned]
        chosen.sort(key=lambda n: (n not in holding.warned, -holding.loads[n], n))
        loads = {short(n): holding.loads[n] for n in chosen[: self._room]}
        warned = frozenset(short(n) for n in holding.warned) & loads.keys()
        return Digest(self._round, loads, holding.connections, holding.told, alert, warned)

    def _add_up(self, holding: Holding) -> Digest:
        """What all who were heard hold. Where some count connections yet and some work, a connection is
        taken for a usual one of the others.
        """
        number = self._sum_round
        own = self._own.setdefault(number, self._digest(holding, False))
        tellings = {**self._collecting, self._index: own}
        told = [d for d in tellings.values() if d.told]
        work = sum(sum(d.loads.values()) for d in told)
        unit = work / max(1, sum(d.connections for d in told))
        sums, warnings = dict[int, float](), dict[int, int]()
        for digest in tellings.values():
            scale = unit if told and not digest.told else 1.0
            for name, load in digest.loads.items():
                sums[name] = sums.get(name, 0.0) + load * scale
            for name in digest.warned:
                warnings[name] = warnings.get(name, 0) + 1
        heaviest = sorted(sums, key=lambda n: (-sums[n], n))[: self._room]
        return Digest(
            number,
            {n: sums[n] for n in heaviest},
            sum(d.connections for d in tellings.values()),
            bool(told),
            any(d.alert for d in tellings.values()),
            frozenset(n for n in heaviest if warnings.get(n, 0) >= WARN_LEAST),
            frozenset(tellings),
        )

    def _others(self, total: Digest, holding: Holding) -> Others:
        """The sum less what this node had told for it."""
        voices = total.voices or frozenset()
        own = self._own.get(total.round) if self._index in voices else None
        scale = 1.0
        if own is not None and own.told != total.told:
            scale = sum(total.loads.values()) / max(1, total.connections)
        loads = {}
        for number in holding.loads:
            name = short(number)
            if name in total.loads:
                mine = own.loads.get(name, 0.0) * scale if own is not None else 0.0
                loads[number] = max(0.0, total.loads[name] - mine)
        connections = max(0, total.connections - (own.connections if own is not None else 0))
        warned = frozenset(n for n in holding.loads if short(n) in total.warned)
        return Others(loads, connections, total.told, max(1, len(voices | {self._index})), warned)
