"""What a node knows of what the whole tier holds, from sums that name a part of it, late or lost. Pure.

A sum speaks for the nodes that its collector heard. Who is missing from one sum has most likely lost a
datagram and still holds what it held; who is missing from the next ones as well is gone. So what a missing
node holds is taken to be what a node held on average before, less with each sum that it is missing from: a
cut of a few seconds, or a third of the datagrams lost, makes no hole, and what was killed is forgotten
within three sums.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from sailrun.load_gossip.datagram import LoadDatagram, ambiguous_names, short_name

SECOND = 1_000_000
# What a node counts that so many of the latest sums in a row did not speak for.
MISSED = (1.0, 1.0, 0.5)
# What was said counts in full for so many rounds, and from there on less, evenly, to nothing at so many.
FRESH, STALE = 2.0, 8.0
# A warning holds until the next sum but one.
WARNS = 3


@dataclass(frozen=True, slots=True)
class Others:
    """What the other nodes hold together."""

    loads: dict[int, float]  # by the numbers of the form servers listed
    connections: int
    loads_reported: bool  # loads are us of work a second, not connections
    instances: int  # nodes that the last sum spoke for, this one among them
    overloaded: frozenset[int]
    fresh_until_us: int = 0  # from then on it may be a good deal different


@dataclass(slots=True)
class _Load:
    load: float  # of the whole tier, less what this node told for it
    round: int  # of the sum that said so


@dataclass(slots=True)
class LoadEstimate:
    """What is known of the tier, kept up by one sum after another."""

    index: int
    round_us: int
    summary_round: int = -1  # of the latest sum
    loads_reported: bool = False
    connections: float = 0.0
    overloaded: frozenset[int] = frozenset()
    instances: int = 1
    _whole: bool = False  # the latest sum named all that hold anything
    _loads: dict[int, _Load] = field(default_factory=dict)  # by short name
    _missed: dict[int, int] = field(default_factory=dict)  # sums in a row, by node that counts

    def merge_summary(self, total: LoadDatagram, own: LoadDatagram | None) -> bool:
        """Takes in a sum; `own` is what this node told for it, None if it does not speak for this node. False
        for one that is not newer than the latest: what is known never goes back in time.
        """
        voices = total.contributors or frozenset()
        if total.round_number <= self.summary_round or not voices:
            return False
        if total.loads_reported is not self.loads_reported:
            self._loads.clear()  # another unit: what was known is no use
            self._missed.clear()
            self.connections = 0.0
        before = self._weight()
        self._missed = {n: m + 1 for n, m in self._missed.items() if n not in voices}
        self._missed = {n: m for n, m in self._missed.items() if m < len(MISSED)}
        self._missed.pop(self.index, None)  # what this node holds itself is never among the others
        absent = self._weight()
        # What the missing hold, as a part of what all held before.
        part = min(1.0, absent / before) if before > 0 else 0.0
        heard = voices - {self.index}
        self._missed |= dict.fromkeys(heard, 0)
        scale = 1.0
        if own is not None and own.loads_reported != total.loads_reported:
            scale = sum(total.loads.values()) / max(1, total.connections)
        for name in {*total.loads, *(self._loads if total.is_complete else ())}:
            told = own.loads.get(name, 0.0) * scale if own is not None else 0.0
            said = max(0.0, total.loads.get(name, 0.0) - told)
            known = self._loads.get(name)
            missing = part * known.load if known is not None else 0.0
            self._loads[name] = _Load(said + missing, total.round_number)
        self.connections = (
            total.connections - (own.connections if own is not None else 0) + part * self.connections
        )
        self._whole = total.is_complete
        self.summary_round, self.loads_reported, self.overloaded, self.instances = (
            total.round_number,
            total.loads_reported,
            total.overloaded,
            len(heard) + 1,
        )
        self._loads = {n: k for n, k in self._loads.items() if total.round_number - k.round < STALE}
        return True

    def _weight(self) -> float:
        """Of how many nodes the load is counted."""
        return sum(MISSED[m] for m in self._missed.values())

    def estimate_fleet_load(self, now_us: int, listed: Iterable[int]) -> Others:
        """What is known by now of these form servers."""
        numbers = list(listed)
        doubtful = ambiguous_names(numbers)
        share = self._share(now_us, self.summary_round)
        loads, unknown = dict[int, float](), list[int]()
        for number in numbers:
            name = short_name(number)
            known = self._loads.get(name)
            if name in doubtful or (known is None and not self._whole):
                unknown.append(number)
            else:
                loads[number] = known.load * self._share(now_us, known.round) if known is not None else 0.0
        # One that is not known is taken for a usual one, never for an empty one.
        usual = sum(loads.values()) / len(loads) if loads else 0.0
        loads |= dict.fromkeys(unknown, usual)
        warns = self.overloaded if now_us < (self.summary_round + WARNS) * self.round_us else frozenset[int]()
        warned = frozenset(n for n in numbers if short_name(n) in warns)
        connections = max(0, round(self.connections * share))
        until_us = int((self.summary_round + FRESH) * self.round_us)
        return Others(
            loads, connections, self.loads_reported, self.instances if share else 1, warned, until_us
        )

    def order_by_last_named(self, loads: Mapping[int, float], first: frozenset[int]) -> list[int]:
        """These names, with `first` first, then those that no sum has named for longest."""
        never = _Load(0.0, -1)
        return sorted(loads, key=lambda n: (n not in first, self._loads.get(n, never).round, -loads[n], n))

    def _share(self, now_us: int, number: int) -> float:
        """How much of what was said in this round counts by now: no cliff at its end."""
        age = now_us / self.round_us - number
        return max(0.0, min(1.0, (STALE - age) / (STALE - FRESH)))
