"""When a node tells whom what it holds, and what it then knows of the whole fleet. Pure: time comes in.

Every node telling every other costs as many datagrams as there are pairs. Here the time of day names one node
of the tier, another each round: all tell that one, it adds up, and tells all the sum. Two datagrams for each
node and round, however many nodes there are. A collector that is down costs the one round.

A node that has just started knows nothing, and asks: another passes on the latest sum that it has heard.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random

import mmh3

from sailrun.decisions.events import LocalLoad
from sailrun.load_gossip.datagram import (
    InvalidDatagram,
    LoadDatagram,
    datagram_capacity,
    decode_datagram,
    encode_datagram,
    merge_parts,
    short_name,
    split_report,
)
from sailrun.load_gossip.load_estimate import SECOND, LoadEstimate, Others

# A round, as often as that where there is something to look at, else so many times more seldom. Beyond two
# hundred nodes rounds are longer, so that the tier sends no more of them.
MIN_ROUND_US, QUIET_ROUND_INTERVAL, ROUND_US_PER_NODE = 2 * SECOND, 4, 10_000
# Within a round: all tell within the first while, the collector adds up after the second.
TELL_US, COLLECT_US = 200_000, 300_000
# Whoever saw something to look at, or heard that others do, goes on looking for so long.
ALERT_US = 6 * SECOND
# A warning counts if so many of those heard give it.
WARN_LEAST = 2
# A node that has heard no sum asks another one so often, this many times.
ASK_US, MAX_REQUESTS = 400_000, 5
# What is known counts less as it ages: so often the core hears how much.
RESTATE_INTERVAL_US = 1 * SECOND

OutgoingDatagram = tuple[int | None, bytes]


class AggregationRounds:
    """One node's part in the rounds of its tier."""

    def __init__(self, index: int, nodes: int, seed: int, now_us: int) -> None:
        self._index, self._nodes, self._room = index, nodes, datagram_capacity(nodes)
        self._random = Random(seed)
        self._round_us = max(MIN_ROUND_US, ROUND_US_PER_NODE * nodes)
        self._tier = LoadEstimate(index, self._round_us)
        self._alert_until_us = now_us
        self._collecting: dict[int, LoadDatagram] = {}  # the round's tellings, by node
        self._own: dict[int, LoadDatagram] = {}  # what this node told, by round
        self._round = now_us // self._round_us  # the one under way
        self._tell_us = self._at(TELL_US, 1)
        self._sum_us = self._sum_round = 0  # when this node adds up, for which round; 0: not this time
        self._ask_us, self._asked = now_us + self._within(ASK_US // 4), 0
        self._age_us = now_us + RESTATE_INTERVAL_US
        self._latest: LoadDatagram | None = None  # the sum to pass on
        self.rejected_count = 0  # datagrams that were none, or came too late

    def due_us(self) -> int:
        """When `turn` wants to be called next."""
        ask_us = self._ask_us if self._asks else self._tell_us
        return min(self._tell_us, self._sum_us or self._tell_us, ask_us, self._age_us)

    def collector_of(self, number: int) -> int:
        """Whom all tell in this round."""
        return mmh3.hash(number.to_bytes(8, "little"), 0, signed=False) % self._nodes

    @property
    def _asks(self) -> bool:
        return self._latest is None and self._asked < MAX_REQUESTS and self._nodes > 1

    def tick(self, now_us: int, holding: LocalLoad) -> tuple[list[OutgoingDatagram], Others | None]:
        """What to send now, and what is known of the others where that has changed."""
        if holding.alert:
            self._alert_until_us = now_us + ALERT_US
        out: list[OutgoingDatagram] = []
        changed = False
        if self._asks and now_us >= self._ask_us:
            self._asked += 1
            self._ask_us = now_us + ASK_US
            asks = LoadDatagram(now_us // self._round_us, {}, 0, holding.loads_reported, is_request=True)
            other = (self._index + 1 + self._random.randrange(self._nodes - 1)) % self._nodes
            out.append((other, encode_datagram(asks, self._nodes)))
        if self._sum_us and now_us >= self._sum_us:
            self._sum_us = 0
            total = self._add_up(holding)
            out.append((None, encode_datagram(total, self._nodes)))
            changed = self._hear(total)
        if now_us >= self._tell_us:
            self._round = now_us // self._round_us
            if now_us < self._alert_until_us or self._round % QUIET_ROUND_INTERVAL == 0:
                self._tell(now_us, holding, out)
            self._tell_us = self._at(TELL_US, 1)
        if now_us >= self._age_us:
            self._age_us = now_us + RESTATE_INTERVAL_US
            changed = changed or self._tier.summary_round >= 0
        return out, self._others(now_us, holding) if changed else None

    def _tell(self, now_us: int, holding: LocalLoad, out: list[OutgoingDatagram]) -> None:
        telling = self._digest(holding, now_us < self._alert_until_us)
        self._own = {n: d for n, d in self._own.items() if n > self._round - 3} | {self._round: telling}
        if self.collector_of(self._round) == self._index:
            self._collect(self._round)
        else:
            out += [
                (self.collector_of(self._round), encode_datagram(p, self._nodes))
                for p in split_report(telling, self._room)
            ]

    def receive(
        self, now_us: int, sender: int, content: bytes, holding: LocalLoad
    ) -> tuple[list[OutgoingDatagram], Others | None]:
        """What a datagram makes known, and the answer to it. One that is torn, old, or not its sender's to
        send is counted.
        """
        try:
            digest = decode_datagram(content, self._nodes)
        except InvalidDatagram:
            self.rejected_count += 1
            return [], None
        number = now_us // self._round_us
        if digest.is_request:
            return self._answer(sender), None
        if digest.contributors is None:
            mine = self.collector_of(digest.round_number) == self._index
            late = now_us >= digest.round_number * self._round_us + COLLECT_US
            if mine and not late and number <= digest.round_number <= number + 1:
                self._collect(digest.round_number)
                self._collecting[sender] = merge_parts(self._collecting.get(sender), digest)
            else:
                self.rejected_count += 1
            return [], None
        # A relayed one is believed by a node that knows nothing, and by nobody else.
        whose = (
            self._latest is None if digest.is_relayed else sender == self.collector_of(digest.round_number)
        )
        oldest = number - (QUIET_ROUND_INTERVAL if digest.is_relayed else 1)
        if not whose or not oldest <= digest.round_number <= number + 1:
            self.rejected_count += 1
            return [], None
        if digest.has_alert:
            self._alert_until_us = max(self._alert_until_us, now_us + ALERT_US)
        return [], self._others(now_us, holding) if self._hear(digest) else None

    def _answer(self, sender: int) -> list[OutgoingDatagram]:
        if self._latest is None or not 0 <= sender < self._nodes:
            return []
        return [(sender, encode_datagram(replace(self._latest, is_relayed=True), self._nodes))]

    # ------------------------------------------------------------------ sums

    def _hear(self, total: LoadDatagram) -> bool:
        voices = total.contributors or frozenset()
        if not self._tier.merge_summary(
            total, self._own.get(total.round_number) if self._index in voices else None
        ):
            return False
        self._latest = total
        return True

    def _others(self, now_us: int, holding: LocalLoad) -> Others:
        return self._tier.estimate_fleet_load(now_us, holding.loads)

    def _collect(self, number: int) -> None:
        if self._sum_round != number:
            self._collecting = {}
        self._sum_round, self._sum_us = number, number * self._round_us + COLLECT_US

    def _at(self, within_us: int, later: int = 0) -> int:
        """A time of its own within a round: nodes that tell in the same instant would be lost together."""
        return (self._round + later) * self._round_us + self._within(within_us)

    def _within(self, span_us: int) -> int:
        return int(span_us * self._random.random())

    def _digest(self, holding: LocalLoad, alert: bool) -> LoadDatagram:
        loads = dict[int, float]()
        for number, load in holding.loads.items():
            if load > 0 or number in holding.overloaded:
                loads[short_name(number)] = loads.get(short_name(number), 0.0) + load
        warned = frozenset(map(short_name, holding.overloaded)) & loads.keys()
        return LoadDatagram(self._round, loads, holding.connections, holding.loads_reported, alert, warned)

    def _add_up(self, holding: LocalLoad) -> LoadDatagram:
        """What all who were heard hold. Where some count connections yet and some work, a connection is
        taken for a usual one of the others.
        """
        number = self._sum_round
        own = self._own.setdefault(number, self._digest(holding, False))
        tellings = {**self._collecting, self._index: own}
        told = [d for d in tellings.values() if d.loads_reported]
        work = sum(sum(d.loads.values()) for d in told)
        unit = work / max(1, sum(d.connections for d in told))
        sums, warnings = dict[int, float](), dict[int, int]()
        for digest in tellings.values():
            scale = unit if told and not digest.loads_reported else 1.0
            for name, load in digest.loads.items():
                sums[name] = sums.get(name, 0.0) + load * scale
            for name in digest.overloaded:
                warnings[name] = warnings.get(name, 0) + 1
        warned = frozenset(n for n, count in warnings.items() if count >= WARN_LEAST)
        whole = len(sums) <= self._room
        if not whole:  # then empty ones have their turn as well
            sums = dict.fromkeys(map(short_name, holding.loads), 0.0) | sums
        chosen = self._tier.order_by_last_named(sums, warned)[: self._room]
        return LoadDatagram(
            number,
            {n: sums[n] for n in chosen},
            sum(d.connections for d in tellings.values()),
            bool(told),
            any(d.has_alert for d in tellings.values()),
            warned & set(chosen),
            frozenset(tellings),
            is_complete=whole,
        )
