"""The datagrams of a round: a node's report of its load, the collector's summary, and a new node's request.

A backend (form server) is identified by two bytes of its number's hash. Its load is encoded in seven bits on
a logarithmic scale; an eighth bit is set if the backend is overloaded, which means that the sender observes
late messages or lost connections there. The short names are sorted, and the gaps between them are written in
a Rice code, so that ninety backends and two hundred nodes fit into one datagram.
"""

from __future__ import annotations

import math
import struct
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import IntFlag

import mmh3

from sailrun.errors import SailrunError
from sailrun.load_gossip.rice_code import BitReader, BitWriter, TruncatedBitsError, choose_parameter, max_bits

FORMAT_VERSION = 0xF2
MAX_DATAGRAM_BYTES = 256
# Version, flags, number of backends, connections, round.
_HEADER = struct.Struct("<BBBHI")
MAX_BACKENDS = 0xFF
MAX_CONNECTIONS = 0xFFFF
ROUND_MASK = 0xFFFFFFFF

NAME_BITS = 16
LOAD_BITS = 7
ENTRY_BITS = LOAD_BITS + 1  # the load, and whether the backend is overloaded
NAME_COUNT = 1 << NAME_BITS
MAX_LOAD_STEP = (1 << LOAD_BITS) - 1
# The ratio of consecutive steps of the logarithmic scale; the encoding error of a load is at most 5%.
LOAD_STEP_RATIO = 1.09
# The load of the first step: in connections (False) or in microseconds of work per second (True).
FIRST_LOAD_STEP = {False: 0.25, True: 50.0}


class InvalidDatagramError(SailrunError, ValueError):
    """The bytes are not a datagram of this format; the message gives the reason."""


class _Flag(IntFlag):
    SUMMARY = 1  # without this flag and REQUEST, the datagram is a report
    LOADS_REPORTED = 2
    ALERT = 4
    REQUEST = 8
    COMPLETE = 16
    RELAYED = 32


@dataclass(frozen=True, slots=True)
class LoadDatagram:
    """A report of one node, a request, or, with `contributors`, a summary of the reports of these nodes."""

    round_number: int
    loads: Mapping[int, float]  # by `short_name` of the backend's number
    connections: int
    loads_reported: bool  # loads are in microseconds of work per second, not in connections
    has_alert: bool = False
    overloaded: frozenset[int] = frozenset()
    contributors: frozenset[int] | None = None  # indexes of nodes; None: not a summary
    is_complete: bool = True  # backends that are not named have no load; otherwise their load is unknown
    is_relayed: bool = False  # a summary forwarded to a node that requested it
    is_request: bool = False  # a request of a node that has received no summary yet

    def _flags(self) -> _Flag:
        states = {
            _Flag.SUMMARY: self.contributors is not None,
            _Flag.LOADS_REPORTED: self.loads_reported,
            _Flag.ALERT: self.has_alert,
            _Flag.REQUEST: self.is_request,
            _Flag.COMPLETE: self.is_complete,
            _Flag.RELAYED: self.is_relayed,
        }
        flags = _Flag(0)
        for flag, is_set in states.items():
            flags |= flag if is_set else _Flag(0)
        return flags

    def encode_header(self, backend_count: int) -> bytes:
        """Encodes the fixed-size part of the datagram."""
        connections = max(0, min(self.connections, MAX_CONNECTIONS))
        round_number = self.round_number & ROUND_MASK
        return _HEADER.pack(FORMAT_VERSION, self._flags(), backend_count, connections, round_number)


def short_name(number: int) -> int:
    """Returns the two-byte name of a backend. `ambiguous_names` finds names that several backends share."""
    return mmh3.hash(number.to_bytes(8, "little"), signed=False) >> (32 - NAME_BITS)


def ambiguous_names(numbers: Iterable[int]) -> frozenset[int]:
    """Returns the short names that several of these backends share. A load under such a name
    cannot be used.
    """
    counts = Counter(map(short_name, numbers))
    return frozenset(name for name, count in counts.items() if count > 1)


def datagram_capacity(nodes: int) -> int:
    """Returns how many backends fit into a summary in the worst case of names, in a fleet of
    `nodes` nodes.
    """
    free_bits = 8 * (MAX_DATAGRAM_BYTES - _HEADER.size - _contributor_bytes(nodes))
    count = 1
    while count < MAX_BACKENDS and max_bits(count + 1, NAME_COUNT, ENTRY_BITS) <= free_bits:
        count += 1
    return count


# ---------------------------------------------------------------------- encoding


def encode_datagram(datagram: LoadDatagram, nodes: int) -> bytes:
    """Encodes a datagram into at most MAX_DATAGRAM_BYTES. Raises ValueError for more backends than
    `datagram_capacity`.
    """
    names = sorted({*datagram.loads, *datagram.overloaded})
    if len(names) > datagram_capacity(nodes):
        raise ValueError(
            f"datagram names {len(names)} form servers, expected at most {datagram_capacity(nodes)}"
        )
    parameter = choose_parameter(len(names), NAME_COUNT)
    writer = BitWriter()
    previous = -1
    for name in names:
        writer.append_rice(name - previous - 1, parameter)
        step = _load_to_step(datagram.loads.get(name, 0.0), datagram.loads_reported)
        writer.append(step << 1 | (name in datagram.overloaded), ENTRY_BITS)
        previous = name
    contributors = b""
    if datagram.contributors is not None:
        bits = sum(1 << index for index in datagram.contributors)
        contributors = bits.to_bytes(_contributor_bytes(nodes), "little")
    return datagram.encode_header(len(names)) + contributors + writer.to_bytes()


def _contributor_bytes(nodes: int) -> int:
    return (nodes + 7) // 8


def _load_to_step(load: float, loads_reported: bool) -> int:
    """Returns the step that is closest to the load; the last one for all loads above the scale, however
    large, and 0 for a value that is not a number.
    """
    first = FIRST_LOAD_STEP[loads_reported]
    if load >= _step_to_load(MAX_LOAD_STEP, loads_reported):
        return MAX_LOAD_STEP
    if not load >= first / 2:
        return 0
    return max(1, min(MAX_LOAD_STEP, 1 + round(math.log(load / first, LOAD_STEP_RATIO))))


def _step_to_load(step: int, loads_reported: bool) -> float:
    return FIRST_LOAD_STEP[loads_reported] * LOAD_STEP_RATIO ** (step - 1) if step else 0.0


# ---------------------------------------------------------------------- decoding


def decode_datagram(content: bytes, nodes: int) -> LoadDatagram:
    """Decodes a datagram. Raises InvalidDatagramError for bytes that no node of a fleet of `nodes` nodes
    sends.
    """
    if not _HEADER.size <= len(content) <= MAX_DATAGRAM_BYTES or content[0] != FORMAT_VERSION:
        raise InvalidDatagramError("unsupported format version, or length outside the allowed range")
    _, flag_bits, count, connections, round_number = _HEADER.unpack_from(content)
    flags = _decode_flags(flag_bits, count)
    entries_at, contributors = _HEADER.size, None
    if _Flag.SUMMARY in flags:
        entries_at += _contributor_bytes(nodes)
        contributors = _decode_contributors(content, entries_at, nodes)
    loads_reported = _Flag.LOADS_REPORTED in flags
    loads, overloaded = _decode_entries(content, entries_at, count, loads_reported)
    return LoadDatagram(
        round_number,
        loads,
        connections,
        loads_reported,
        has_alert=_Flag.ALERT in flags,
        overloaded=overloaded,
        contributors=contributors,
        is_complete=_Flag.COMPLETE in flags,
        is_relayed=_Flag.RELAYED in flags,
        is_request=_Flag.REQUEST in flags,
    )


def _decode_flags(flag_bits: int, backend_count: int) -> _Flag:
    """Decodes the flags. Raises InvalidDatagramError for unknown flags, and for a request that names backends
    or is marked as a summary.
    """
    has_unknown_bits = bool(flag_bits & ~sum(_Flag))
    is_bad_request = bool(flag_bits & _Flag.REQUEST) and (
        backend_count > 0 or bool(flag_bits & _Flag.SUMMARY)
    )
    if has_unknown_bits or is_bad_request:
        raise InvalidDatagramError(
            f"invalid flags 0x{flag_bits:02x} of a datagram with {backend_count} form servers"
        )
    return _Flag(flag_bits)


def _decode_contributors(content: bytes, end: int, nodes: int) -> frozenset[int]:
    bits = int.from_bytes(content[_HEADER.size : end], "little")
    if len(content) < end or bits >> nodes:
        raise InvalidDatagramError("contributors are truncated or contain a node index outside the fleet")
    return frozenset(index for index in range(nodes) if bits >> index & 1)


def _decode_entries(
    content: bytes, start: int, count: int, loads_reported: bool
) -> tuple[dict[int, float], frozenset[int]]:
    """Decodes the loads by short name and the short names of the overloaded backends."""
    loads: dict[int, float] = {}
    overloaded: set[int] = set()
    reader = BitReader(content[start:])
    parameter, name = choose_parameter(count, NAME_COUNT), -1
    try:
        for _ in range(count):
            name += 1 + reader.read_rice(parameter)
            if name >= NAME_COUNT:
                raise InvalidDatagramError("short name exceeds NAME_BITS")
            entry = reader.read(ENTRY_BITS)
            loads[name] = _step_to_load(entry >> 1, loads_reported)
            if entry & 1:
                overloaded.add(name)
    except TruncatedBitsError as error:
        raise InvalidDatagramError(str(error)) from error
    if not reader.is_at_end():
        raise InvalidDatagramError(
            f"unexpected data at the end of a datagram of {len(content)} bytes with {count} form servers"
        )
    return loads, frozenset(overloaded)


# ---------------------------------------------------------------------- reports in parts


def split_report(report: LoadDatagram, capacity: int) -> list[LoadDatagram]:
    """Splits one node's report into as many datagrams as it needs."""
    names = sorted(report.loads)
    if len(names) <= capacity:
        return [report]
    parts = (frozenset(names[start : start + capacity]) for start in range(0, len(names), capacity))
    return [
        replace(
            report,
            loads={name: report.loads[name] for name in sorted(part)},
            overloaded=report.overloaded & part,
        )
        for part in parts
    ]


def merge_parts(one: LoadDatagram | None, other: LoadDatagram) -> LoadDatagram:
    """Merges two parts of one node's report. A duplicate part counts once."""
    if one is None:
        return other
    return replace(one, loads={**one.loads, **other.loads}, overloaded=one.overloaded | other.overloaded)
