"""What the nodes tell each other of the load they hold, in datagrams that may be late, lost or out of order.

They also tell whose connections they have just moved, so that a group's other connections, which may
have come through other nodes, follow: a form server is relieved of a group only once all have left.

A datagram is whole in itself and can be taken twice. Its sender's incarnation (its start) and sequence number
say which of two is newer; what is older is passed over. A fleet that does not fit one datagram is told of in
turns, the form servers that changed most first.
"""

from __future__ import annotations

import bisect
import math
import struct
from collections.abc import Mapping
from dataclasses import dataclass, field

from sailrun.errors import SailrunError

# Version, flags, form servers in it, groups in it, sequence number, incarnation (ms of Unix time), the
# sender's whole load.
_HEAD = struct.Struct("<BBBBIQf")
_ENTRY = struct.Struct("<If")
_MOVED = struct.Struct("<I")
VERSION = 0xB1
TOLD = 1  # flag: loads are in us of work a second, not in connections
ALERT = 2  # flag: the sender sees a fleet that is not even, and would hear of the others
LONGEST = 256
MOVED = 16
ENTRIES = (LONGEST - _HEAD.size - MOVED * _MOVED.size) // _ENTRY.size
# Every datagram goes to every node: beyond so many nodes they are sent the more rarely, the more there are.
FEW = 4
# Who is not heard of for so many turns says nothing any more.
TURNS = 4
# After so many datagrams without one in return they are sent half as often, at each further one again.
DEAF = 4
# Of the form servers in a datagram, so many are told of though others have changed more.
AGAIN = 4
# While groups are moved, their names go out this often.
SOON_US = 500_000


class InvalidGossipError(SailrunError, ValueError):
    """No datagram of this kind; says why."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """One datagram's content: some form servers' loads as one node holds them."""

    incarnation: int
    sequence: int
    told: bool
    total: float
    loads: dict[int, float]
    moved: tuple[int, ...] = ()  # hashes of the groups moved lately
    alert: bool = False


def write(report: LoadReport) -> bytes:
    """At most 256 bytes. Raises ValueError for more form servers or groups than that holds."""
    if len(report.loads) > ENTRIES or len(report.moved) > MOVED:
        raise ValueError(f"{len(report.loads)} form servers, {len(report.moved)} households")
    head = _HEAD.pack(
        VERSION,
        (TOLD if report.told else 0) | (ALERT if report.alert else 0),
        len(report.loads),
        len(report.moved),
        report.sequence,
        report.incarnation,
        report.total,
    )
    loads = b"".join(_ENTRY.pack(number, load) for number, load in report.loads.items())
    return head + loads + b"".join(map(_MOVED.pack, report.moved))


def read(content: bytes) -> LoadReport:
    """Raises InvalidGossipError for whatever another node of this version would not have written."""
    if len(content) < _HEAD.size or content[0] != VERSION:
        raise InvalidGossipError("another version")
    _, flags, count, groups, sequence, incarnation, total = _HEAD.unpack_from(content)
    ends = _HEAD.size + count * _ENTRY.size
    if len(content) != ends + groups * _MOVED.size:
        raise InvalidGossipError(f"{len(content)} bytes for {count} form servers and {groups} households")
    loads = dict(_ENTRY.iter_unpack(content[_HEAD.size : ends]))
    moved = tuple(one for (one,) in _MOVED.iter_unpack(content[ends:]))
    if not all(math.isfinite(load) and load >= 0 for load in (total, *loads.values())):
        raise InvalidGossipError("a load that is none")
    return LoadReport(incarnation, sequence, bool(flags & TOLD), total, loads, moved, bool(flags & ALERT))


@dataclass(slots=True)
class _Neighbour:
    incarnation: int = -1
    sequence: int = -1
    heard_us: int = 0
    told: bool = False
    rest: float = 0.0  # of its load, what stands on form servers that it has not told of
    loads: dict[int, float] = field(default_factory=dict)


class NeighbourLoads:
    """What the neighbours hold, as far as heard. Sums are kept, not made anew at every look."""

    def __init__(self, every_us: int, nodes: int) -> None:
        self._forgotten_us = TURNS * apart_us(every_us, nodes) + SOON_US
        self._neighbours: dict[int, _Neighbour] = {}
        self._sums: dict[bool, dict[int, float]] = {False: {}, True: {}}  # by the unit that they count in

    def heard(self, now_us: int, sender: int, report: LoadReport) -> bool:
        """Takes it over, unless something newer of this sender is known."""
        known = self._neighbours.setdefault(sender, _Neighbour())
        if report.incarnation < known.incarnation:
            return False
        if report.incarnation > known.incarnation or report.told != known.told:
            # It has started anew, or counts otherwise: what it held before is void.
            self._forget(known)
            known.incarnation, known.told = report.incarnation, report.told
        if report.sequence <= known.sequence:
            return False
        known.sequence, known.heard_us = report.sequence, now_us
        sums = self._sums[known.told]
        for number, load in report.loads.items():
            sums[number] = sums.get(number, 0.0) + load - known.loads.get(number, 0.0)
            known.loads[number] = load
        known.rest = max(0.0, report.total - sum(known.loads.values()))
        return True

    def loads(self, now_us: int, told: bool, servers: Mapping[int, object]) -> tuple[dict[int, float], int]:
        """The neighbours' loads on these form servers, and how many neighbours that speaks for. One that
        counts in other units, or was not heard of lately, says nothing.
        """
        for known in self._neighbours.values():
            if known.loads and now_us - known.heard_us > self._forgotten_us:
                self._forget(known)
        voices = [known for known in self._neighbours.values() if known.told == told and known.loads]
        sums = self._sums[told]
        rest = sum(known.rest for known in voices) / len(servers) if servers else 0.0
        return {n: max(0.0, sums.get(n, 0.0)) + rest for n in servers}, len(voices)

    def _forget(self, known: _Neighbour) -> None:
        sums = self._sums[known.told]
        for number, load in known.loads.items():
            sums[number] = sums.get(number, 0.0) - load
            if sums[number] < 1e-6:
                del sums[number]  # nobody holds anything there: free of rounding
        known.loads.clear()
        known.rest, known.sequence = 0.0, -1


def apart_us(every_us: int, nodes: int) -> int:
    """The least time between two datagrams of a node, in a tier of so many."""
    return int(every_us * max(1.0, nodes / FEW))


class LoadReporter:
    """When a node tells what. Of an even fleet nothing: datagrams cost, and nobody would do anything. Once a
    node sees from its own part that the fleet is not even, it tells, and all who hear of it tell too.
    """

    def __init__(self, incarnation: int, every_us: int, nodes: int) -> None:
        self._incarnation = incarnation
        self._every_us = apart_us(every_us, nodes)
        self._soon_us = apart_us(min(SOON_US, every_us), nodes)
        self._owed = False  # a neighbour has raised the alarm, and has no answer yet
        self._unanswered = 0  # datagrams since a neighbour was heard
        self._sequence = 0
        self._told_us = -(1 << 62)
        self._loads: dict[int, float] = {}
        self._moved: list[int] = []
        self._again = -1  # the form server last told of though it had not changed most

    def moved(self, group: int) -> None:
        """A group is being moved: neighbours are told soon."""
        self._moved.append(group)

    def answered(self) -> None:
        """A neighbour was heard: datagrams get through."""
        self._unanswered = 0

    def heard_alert(self) -> None:
        """A neighbour sees a fleet that is not even: it is told what stands here, once."""
        self._owed = True

    def due(self, now_us: int, told: bool, loads: Mapping[int, float], alert: bool = False) -> bytes | None:
        """The next datagram, if it is time for one. `alert`: this node sees a fleet that is not even."""
        if not (alert or self._moved or self._owed):
            return None
        apart_us = self._soon_us if self._moved else self._every_us
        if now_us - self._told_us < apart_us << min(max(0, self._unanswered - DEAF), 10):
            return None
        changed = {
            n: abs(loads.get(n, 0.0) - self._loads.get(n, 0.0)) for n in sorted({*loads, *self._loads})
        }
        if not changed:
            return None
        # What changed most, then some of the others in turn: a datagram that told of them may have been lost.
        chosen = sorted(changed, key=lambda n: (-changed[n], n))[: ENTRIES - AGAIN]
        others = [n for n in changed if n not in chosen]
        at = bisect.bisect_right(others, self._again)
        for number in (others[at:] + others[:at])[:AGAIN]:
            chosen.append(number)
            self._again = number
        told_of = {n: loads.get(n, 0.0) for n in chosen}
        self._loads.update(told_of)
        for number in chosen:
            if number not in loads:
                del self._loads[number]
        self._sequence += 1
        self._told_us, self._owed = now_us, False
        self._unanswered += 1
        groups, self._moved = tuple(self._moved[:MOVED]), self._moved[MOVED:]
        return write(
            LoadReport(self._incarnation, self._sequence, told, sum(loads.values()), told_of, groups, alert)
        )
