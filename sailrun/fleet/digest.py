"""The datagrams of a round: what one node holds, and what all who were heard hold together.

A form server is named by three bytes of its number's hash and its load by seven bits of a logarithm, so that
sixty of them go into one datagram. The eighth bit warns: its teller sees messages late there, or was cut off.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import mmh3

VERSION = 0xF1
LONGEST = 256
# Version, kind and flags, entries in it, connections held, round.
_HEAD = struct.Struct("<BBBHI")
_ENTRY = 4
TELLING, SUM = 0, 1  # kinds
TOLD, ALERT = 2, 4  # flags: loads are us of work a second, not connections; there is something to look at
WARNED = 0x80
# One step of the logarithm: a load is known to 5%.
STEP = 1.1
MOST_STEPS = 0x7F
# A load of so much, in connections or in us of work a second, is the first step.
FIRST = {False: 0.25, True: 25.0}


class BadDatagram(ValueError):
    """No datagram of this kind; says why."""


@dataclass(frozen=True, slots=True)
class Digest:
    """Loads by form server, of one node or of all that were heard."""

    round: int
    loads: Mapping[int, float]  # by `short` of the form server's number
    connections: int
    told: bool  # the unit of the loads
    alert: bool = False
    warned: frozenset[int] = frozenset()
    voices: frozenset[int] | None = None  # of a sum: the nodes that it speaks for


def short(number: int) -> int:
    """Three bytes for a form server: two of sixty are alike once in ten thousand fleets."""
    return mmh3.hash(number.to_bytes(8, "little"), signed=False) >> 8


def room(nodes: int) -> int:
    """How many form servers a datagram has room for, in a tier of so many nodes."""
    return (LONGEST - _HEAD.size - (nodes + 7) // 8) // _ENTRY


def write(digest: Digest, nodes: int) -> bytes:
    """At most 256 bytes; raises ValueError for more form servers than that holds."""
    names = sorted({*digest.loads, *digest.warned})
    if len(names) > room(nodes):
        raise ValueError(f"{len(names)} form servers")
    kind = TELLING if digest.voices is None else SUM
    kind |= (TOLD if digest.told else 0) | (ALERT if digest.alert else 0)
    head = _HEAD.pack(VERSION, kind, len(names), min(digest.connections, 0xFFFF), digest.round & 0xFFFFFFFF)
    entries = bytearray()
    for name in names:
        step = _step(digest.loads.get(name, 0.0), digest.told) | (WARNED if name in digest.warned else 0)
        entries += name.to_bytes(3, "little") + bytes((step,))
    return head + (b"" if digest.voices is None else _bits(digest.voices, nodes)) + bytes(entries)


def read(content: bytes, nodes: int) -> Digest:
    """Raises BadDatagram for whatever a node of a tier of so many would not have written."""
    if len(content) < _HEAD.size or content[0] != VERSION:
        raise BadDatagram("another version")
    _, kind, count, connections, number = _HEAD.unpack_from(content)
    if kind & ~(SUM | TOLD | ALERT):
        raise BadDatagram(f"kind {kind}")
    at, voices = _HEAD.size, None
    if kind & SUM:
        at += (nodes + 7) // 8
        bits = int.from_bytes(content[_HEAD.size : at], "little")
        if bits >> nodes:
            raise BadDatagram("a node that there is not")
        voices = frozenset(n for n in range(nodes) if bits >> n & 1)
    if len(content) != at + count * _ENTRY:
        raise BadDatagram(f"{len(content)} bytes for {count} form servers")
    told = bool(kind & TOLD)
    loads, warned = dict[int, float](), set[int]()
    for start in range(at, len(content), _ENTRY):
        name, step = int.from_bytes(content[start : start + 3], "little"), content[start + 3]
        if name in loads:
            raise BadDatagram("a form server twice")
        loads[name] = _load(step & MOST_STEPS, told)
        if step & WARNED:
            warned.add(name)
    return Digest(number, loads, connections, told, bool(kind & ALERT), frozenset(warned), voices)


def _step(load: float, told: bool) -> int:
    if load < FIRST[told] / 2:
        return 0
    return max(1, min(MOST_STEPS, 1 + round(math.log(load / FIRST[told], STEP))))


def _load(step: int, told: bool) -> float:
    return FIRST[told] * STEP ** (step - 1) if step else 0.0


def _bits(voices: Iterable[int], nodes: int) -> bytes:
    return sum(1 << n for n in voices).to_bytes((nodes + 7) // 8, "little")
