"""The datagrams of a round: what one node holds, and what all who were heard hold together.

A form server is named by two bytes of its number's hash, its load by seven bits of a logarithm. The names are
sorted and only the gaps between them are written, in a Rice code: ninety form servers of two hundred nodes
go into one datagram, where names in full had room for fifty-five. An eighth bit warns: its teller sees
messages late there, or was cut off.
"""

from __future__ import annotations

import math
import struct
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

import mmh3

FORMAT_VERSION = 0xF2
MAX_DATAGRAM_BYTES = 256
# Version, kind and flags, form servers named, connections held, round.
_HEAD = struct.Struct("<BBBHI")
TELLING, SUM, ASK = 0, 1, 8  # kinds; whoever asks has heard no sum yet
TOLD, ALERT = 2, 4  # flags: loads are us of work a second, not connections; there is something to look at
WHOLE, RELAYED = 16, 32  # flags of a sum: all that hold anything are named; passed on to a node that asked
NAME_BITS, LOAD_BITS = 16, 7
NAMES, STEPS = 1 << NAME_BITS, (1 << LOAD_BITS) - 1
# One step of the logarithm: a load is known to 5%.
LOAD_STEP_RATIO = 1.09
# A load of so much, in connections or in us of work a second, is the first step.
FIRST_LOAD_STEP = {False: 0.25, True: 50.0}


class InvalidDatagram(ValueError):
    """No datagram of this kind; says why."""


@dataclass(frozen=True, slots=True)
class LoadDatagram:
    """Loads by form server, of one node or of all that were heard."""

    round_number: int
    loads: Mapping[int, float]  # by `short` of the form server's number
    connections: int
    loads_reported: bool  # the unit of the loads
    has_alert: bool = False
    overloaded: frozenset[int] = frozenset()
    contributors: frozenset[int] | None = None  # of a sum: the nodes that it speaks for
    is_complete: bool = True  # a form server that is not named holds nothing; else it is not known
    is_relayed: bool = False
    is_request: bool = False


def short_name(number: int) -> int:
    """Two bytes for a form server. Two that are alike in one list are known to `alike`."""
    return mmh3.hash(number.to_bytes(8, "little"), signed=False) >> (32 - NAME_BITS)


def ambiguous_names(numbers: Iterable[int]) -> frozenset[int]:
    """Names that more than one of these form servers has: what is said of them is said of no one."""
    counted = Counter(map(short_name, numbers))
    return frozenset(name for name, count in counted.items() if count > 1)


def datagram_capacity(nodes: int) -> int:
    """How many form servers a datagram has room for whatever they are called, in a tier of so many nodes."""
    bits = 8 * (MAX_DATAGRAM_BYTES - _HEAD.size - (nodes + 7) // 8)
    count = 1
    while count < 0xFF and _most_bits(count + 1) <= bits:
        count += 1
    return count


def encode_datagram(digest: LoadDatagram, nodes: int) -> bytes:
    """At most 256 bytes; raises ValueError for more form servers than that holds."""
    names = sorted({*digest.loads, *digest.overloaded})
    if len(names) > datagram_capacity(nodes):
        raise ValueError(f"{len(names)} form servers")
    kind = TELLING if digest.contributors is None else SUM
    for flag, is_so in (
        (TOLD, digest.loads_reported),
        (ALERT, digest.has_alert),
        (WHOLE, digest.is_complete),
        (RELAYED, digest.is_relayed),
        (ASK, digest.is_request),
    ):
        kind |= flag if is_so else 0
    head = _HEAD.pack(
        FORMAT_VERSION, kind, len(names), min(digest.connections, 0xFFFF), digest.round_number & 0xFFFFFFFF
    )
    parameter, bits, length, before = _rice(len(names)), 0, 0, -1
    for name in names:
        gap, before = name - before - 1, name
        step = _step(digest.loads.get(name, 0.0), digest.loads_reported) << 1 | (name in digest.overloaded)
        quotient = gap >> parameter
        # So many ones as the quotient says, a zero, the remainder, then load and warning.
        entry = (((1 << quotient) - 1) << 1) << parameter | gap & ((1 << parameter) - 1)
        width = quotient + 1 + parameter + LOAD_BITS + 1
        bits = bits << width | entry << (LOAD_BITS + 1) | step
        length += width
    spare = -length % 8
    entries = (bits << spare).to_bytes((length + spare) // 8, "big")
    return head + (b"" if digest.contributors is None else _bits(digest.contributors, nodes)) + entries


def decode_datagram(content: bytes, nodes: int) -> LoadDatagram:
    """Raises BadDatagram for whatever a node of a tier of so many would not have written."""
    if not _HEAD.size <= len(content) <= MAX_DATAGRAM_BYTES or content[0] != FORMAT_VERSION:
        raise InvalidDatagram("another version, or no datagram of this kind")
    _, kind, count, connections, number = _HEAD.unpack_from(content)
    if kind & ~(SUM | TOLD | ALERT | WHOLE | RELAYED | ASK) or (kind & ASK and (count or kind & SUM)):
        raise InvalidDatagram(f"kind {kind}")
    at, voices = _HEAD.size, None
    if kind & SUM:
        at += (nodes + 7) // 8
        bits = int.from_bytes(content[_HEAD.size : at], "little")
        if len(content) < at or bits >> nodes:
            raise InvalidDatagram("a node that there is not")
        voices = frozenset(n for n in range(nodes) if bits >> n & 1)
    told = bool(kind & TOLD)
    loads, warned = dict[int, float](), set[int]()
    left = _Bits(content[at:])
    parameter, name = _rice(count), -1
    for _ in range(count):
        quotient = left.ones()
        name += 1 + (quotient << parameter | left.take(parameter))
        if name >= NAMES:
            raise InvalidDatagram("a name that there is not")
        step = left.take(LOAD_BITS + 1)
        loads[name] = _load(step >> 1, told)
        if step & 1:
            warned.add(name)
    if not left.spent():
        raise InvalidDatagram(f"{len(content)} bytes for {count} form servers")
    alert, whole, relayed, asks = (bool(kind & flag) for flag in (ALERT, WHOLE, RELAYED, ASK))
    return LoadDatagram(
        number, loads, connections, told, alert, frozenset(warned), voices, whole, relayed, asks
    )


def split_report(telling: LoadDatagram, most: int) -> list[LoadDatagram]:
    """What one node holds, in as many datagrams as it takes."""
    names = sorted(telling.loads)
    if len(names) <= most:
        return [telling]
    pieces = (frozenset(names[n : n + most]) for n in range(0, len(names), most))
    return [
        replace(telling, loads={n: telling.loads[n] for n in sorted(p)}, overloaded=telling.overloaded & p)
        for p in pieces
    ]


def merge_parts(one: LoadDatagram | None, other: LoadDatagram) -> LoadDatagram:
    """Two parts of what one node holds; the same part twice is that part."""
    if one is None:
        return other
    return replace(one, loads={**one.loads, **other.loads}, overloaded=one.overloaded | other.overloaded)


class _Bits:
    """Bits read one after another; asked for more than there are, it raises BadDatagram."""

    def __init__(self, content: bytes) -> None:
        self._bits, self._left = int.from_bytes(content, "big"), 8 * len(content)

    def take(self, count: int) -> int:
        self._left -= count
        if self._left < 0:
            raise InvalidDatagram("torn")
        return self._bits >> self._left & ((1 << count) - 1)

    def ones(self) -> int:
        count = 0
        while self.take(1):
            count += 1
        return count

    def spent(self) -> bool:
        """Whether nothing is left but what fills the last byte."""
        return self._left < 8 and not self._bits & ((1 << self._left) - 1)


def _rice(count: int) -> int:
    """The parameter of the code: about the logarithm of the mean gap between so many names."""
    return (NAMES // count).bit_length() - 1 if count else 0


def _most_bits(count: int) -> int:
    parameter = _rice(count)
    return count * (1 + parameter + LOAD_BITS + 1) + (NAMES >> parameter)


def _step(load: float, told: bool) -> int:
    if load < FIRST_LOAD_STEP[told] / 2:
        return 0
    return max(1, min(STEPS, 1 + round(math.log(load / FIRST_LOAD_STEP[told], LOAD_STEP_RATIO))))


def _load(step: int, told: bool) -> float:
    return FIRST_LOAD_STEP[told] * LOAD_STEP_RATIO ** (step - 1) if step else 0.0


def _bits(voices: Iterable[int], nodes: int) -> bytes:
    return sum(1 << n for n in voices).to_bytes((nodes + 7) // 8, "little")
