"""What the nodes tell each other of the load they hold, in datagrams that may be late, lost or out of order.

They also tell whose connections they have just moved, so that a household's other connections, which may
have come through other nodes, follow: a form server is relieved of a household only once all have left.

A datagram is whole in itself and can be taken twice. Its sender's incarnation (its start) and sequence number
say which of two is newer; what is older is passed over. A fleet that does not fit one datagram is told of in
turns, the form servers that changed most first.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Mapping
from dataclasses import dataclass, field

# Version, flags, form servers in it, households in it, sequence number, incarnation (ms of Unix time), the
# sender's whole load.
_HEAD = struct.Struct("<BBBBIQf")
_ENTRY = struct.Struct("<If")
_MOVED = struct.Struct("<I")
VERSION = 0xB1
TOLD = 1  # flag: loads are in us of work a second, not in connections
LONGEST = 256
MOVED = 16
ENTRIES = (LONGEST - _HEAD.size - MOVED * _MOVED.size) // _ENTRY.size
# What was told longer ago counts for less, down to nothing.
FRESH_US, FORGOTTEN_US = 6_000_000, 12_000_000
# While households are moved, their names go out this often.
SOON_US = 500_000


class BadDatagram(ValueError):
    """No datagram of this kind; says why."""


@dataclass(frozen=True, slots=True)
class Telling:
    """One datagram's content: some form servers' loads as one node holds them."""

    incarnation: int
    sequence: int
    told: bool
    total: float
    loads: dict[int, float]
    moved: tuple[int, ...] = ()  # hashes of the households moved lately


def write(telling: Telling) -> bytes:
    """At most 256 bytes. Raises ValueError for more form servers or households than that holds."""
    if len(telling.loads) > ENTRIES or len(telling.moved) > MOVED:
        raise ValueError(f"{len(telling.loads)} form servers, {len(telling.moved)} households")
    head = _HEAD.pack(
        VERSION,
        TOLD if telling.told else 0,
        len(telling.loads),
        len(telling.moved),
        telling.sequence,
        telling.incarnation,
        telling.total,
    )
    loads = b"".join(_ENTRY.pack(number, load) for number, load in telling.loads.items())
    return head + loads + b"".join(map(_MOVED.pack, telling.moved))


def read(content: bytes) -> Telling:
    """Raises BadDatagram for whatever another node of this version would not have written."""
    if len(content) < _HEAD.size or content[0] != VERSION:
        raise BadDatagram("another version")
    _, flags, count, households, sequence, incarnation, total = _HEAD.unpack_from(content)
    ends = _HEAD.size + count * _ENTRY.size
    if len(content) != ends + households * _MOVED.size:
        raise BadDatagram(f"{len(content)} bytes for {count} form servers and {households} households")
    loads = dict(_ENTRY.iter_unpack(content[_HEAD.size : ends]))
    moved = tuple(one for (one,) in _MOVED.iter_unpack(content[ends:]))
    if not all(math.isfinite(load) and load >= 0 for load in (total, *loads.values())):
        raise BadDatagram("a load that is none")
    return Telling(incarnation, sequence, bool(flags & TOLD), total, loads, moved)


@dataclass(slots=True)
class _Neighbour:
    incarnation: int = -1
    sequence: int = -1
    heard_us: int = 0
    told: bool = False
    total: float = 0.0
    loads: dict[int, tuple[float, int]] = field(default_factory=dict)  # with the time of each


class Hearsay:
    """What the neighbours hold, as far as heard."""

    def __init__(self) -> None:
        self._neighbours: dict[int, _Neighbour] = {}

    def heard(self, now_us: int, sender: int, telling: Telling) -> bool:
        """Takes it over, unless something newer of this sender is known."""
        known = self._neighbours.setdefault(sender, _Neighbour())
        if telling.incarnation < known.incarnation:
            return False
        if telling.incarnation > known.incarnation or telling.told != known.told:
            known.loads.clear()  # it has started anew, or counts otherwise: what it held before is void
            known.sequence = -1
        if telling.sequence <= known.sequence:
            return False
        known.incarnation, known.sequence = telling.incarnation, telling.sequence
        known.heard_us, known.told, known.total = now_us, telling.told, telling.total
        for number, load in telling.loads.items():
            known.loads[number] = (load, now_us)
        return True

    def loads(self, now_us: int, told: bool, servers: Mapping[int, object]) -> tuple[dict[int, float], float]:
        """The neighbours' loads on these form servers, and how many neighbours that speaks for, each by how
        fresh its word is. One that counts in other units says nothing.
        """
        sums: dict[int, float] = {}
        voices = 0.0
        for known in self._neighbours.values():
            trust = _trust(now_us - known.heard_us)
            if known.told != told or trust <= 0:
                continue
            told_of = [load for load, at_us in known.loads.values() if now_us - at_us < FORGOTTEN_US]
            # Of a fleet too large for its datagrams, the rest is spread over those not told of.
            rest = max(0.0, known.total - sum(told_of))
            missing = [n for n in servers if n not in known.loads]
            voices += trust
            for number, (load, at_us) in known.loads.items():
                if number in servers and now_us - at_us < FORGOTTEN_US:
                    sums[number] = sums.get(number, 0.0) + trust * load
            for number in missing:
                sums[number] = sums.get(number, 0.0) + trust * rest / len(missing)
        return sums, voices


def _trust(age_us: int) -> float:
    if age_us <= FRESH_US:
        return 1.0
    return max(0.0, 1.0 - (age_us - FRESH_US) / (FORGOTTEN_US - FRESH_US))


class Teller:
    """When a node tells what: only what has changed, and rarely."""

    def __init__(self, incarnation: int, every_us: int) -> None:
        self._incarnation, self._every_us = incarnation, every_us
        self._sequence = 0
        self._told_us = -(1 << 62)
        self._loads: dict[int, float] = {}
        self._moved: list[int] = []

    def moved(self, household: int) -> None:
        """A household is being moved: neighbours are told soon."""
        self._moved.append(household)

    def due(self, now_us: int, told: bool, loads: Mapping[int, float], unit: float) -> bytes | None:
        """The next datagram, if it is time for one. In a fleet at rest every third turn at most."""
        age_us = now_us - self._told_us
        if age_us < (min(SOON_US, self._every_us) if self._moved else self._every_us):
            return None
        changed = {
            n: abs(loads.get(n, 0.0) - self._loads.get(n, 0.0)) for n in sorted({*loads, *self._loads})
        }
        moved = sum(changed.values())
        if not self._moved and (not changed or (moved < 3 * unit and age_us < 3 * self._every_us)):
            return None
        chosen = sorted(changed, key=lambda n: (-changed[n], n))[:ENTRIES]
        told_of = {n: loads.get(n, 0.0) for n in chosen}
        self._loads.update(told_of)
        for number in chosen:
            if number not in loads:
                del self._loads[number]
        self._sequence += 1
        self._told_us = now_us
        households, self._moved = tuple(self._moved[:MOVED]), self._moved[MOVED:]
        return write(
            Telling(self._incarnation, self._sequence, told, sum(loads.values()), told_of, households)
        )
