"""Encodes, applies and schedules the datagrams in which nodes report their loads and their moved groups.

A group's connections may come through several nodes, and a form server only loses the load of a group when
all of them have left. The other nodes therefore move their connections of a group that one node has moved.

Datagrams may be late, lost, duplicated or out of order. Each one is complete in itself and idempotent. The
sender's incarnation (the time of its start) and the sequence number order them; an older one is ignored. If a
datagram cannot hold the loads of all form servers, the ones that changed most come first, and the others
rotate.
"""

from __future__ import annotations

import bisect
import math
import struct
from collections.abc import Mapping
from dataclasses import dataclass, field

from sailrun.errors import SailrunError

# Version, flags, number of form servers, number of groups, sequence number, incarnation (milliseconds of Unix
# time), the sender's total load.
_HEADER = struct.Struct("<BBBBIQf")
_LOAD = struct.Struct("<If")
_GROUP = struct.Struct("<I")
VERSION = 0xB1
LOADS_REPORTED = 1  # flag: loads are microseconds of work a second, not connections
ALERT = 2  # flag: the sender estimates an imbalance, and requests the loads of the other nodes
MAX_DATAGRAM_BYTES = 256
MAX_GROUPS = 16
MAX_LOADS = (MAX_DATAGRAM_BYTES - _HEADER.size - MAX_GROUPS * _GROUP.size) // _LOAD.size
# Every datagram goes to every node, so with more nodes than this the interval grows with their number.
FULL_RATE_NODES = 4
# The loads of a node expire after this many intervals, plus GROUPS_INTERVAL_US, without a datagram.
EXPIRY_INTERVALS = 4
# After this many datagrams without one in return, the interval doubles with each further one, up to 1024
# times the interval.
MAX_UNANSWERED = 4
# The number of form servers in a datagram that rotate, independent of how much their load changed.
ROTATING_LOADS = 4
# The maximum interval of datagrams while groups are moved; it also grows with the number of nodes.
GROUPS_INTERVAL_US = 500_000


class InvalidGossipError(SailrunError, ValueError):
    """A datagram is invalid; the text states the reason."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The content of a datagram: one node's loads on some of the form servers."""

    incarnation: int
    sequence: int
    loads_reported: bool
    total: float
    loads: dict[int, float]
    moved_groups: tuple[int, ...] = ()  # hashes of the groups that were moved recently
    alert: bool = False


def encode_report(report: LoadReport) -> bytes:
    """Encodes a report in at most 256 bytes. Raises ValueError if it has too many form servers or groups."""
    if len(report.loads) > MAX_LOADS or len(report.moved_groups) > MAX_GROUPS:
        raise ValueError(
            f"a datagram cannot hold {len(report.loads)} form servers and {len(report.moved_groups)} groups"
        )
    header = _HEADER.pack(
        VERSION,
        (LOADS_REPORTED if report.loads_reported else 0) | (ALERT if report.alert else 0),
        len(report.loads),
        len(report.moved_groups),
        report.sequence,
        report.incarnation,
        report.total,
    )
    loads = b"".join(_LOAD.pack(number, load) for number, load in report.loads.items())
    return header + loads + b"".join(map(_GROUP.pack, report.moved_groups))


def decode_report(content: bytes) -> LoadReport:
    """Decodes a report. Raises InvalidGossipError for a datagram that no node of this version would send."""
    if len(content) < _HEADER.size or content[0] != VERSION:
        raise InvalidGossipError("datagram is too short or of another version")
    _, flags, server_count, group_count, sequence, incarnation, total = _HEADER.unpack_from(content)
    loads_end = _HEADER.size + server_count * _LOAD.size
    if len(content) != loads_end + group_count * _GROUP.size:
        raise InvalidGossipError(
            f"{len(content)} bytes do not match {server_count} form servers and {group_count} groups"
        )
    loads = dict(_LOAD.iter_unpack(content[_HEADER.size : loads_end]))
    moved_groups = tuple(group for (group,) in _GROUP.iter_unpack(content[loads_end:]))
    if not all(math.isfinite(load) and load >= 0 for load in (total, *loads.values())):
        raise InvalidGossipError("a load is negative or not finite")
    return LoadReport(
        incarnation, sequence, bool(flags & LOADS_REPORTED), total, loads, moved_groups, bool(flags & ALERT)
    )


@dataclass(slots=True)
class _Neighbour:
    incarnation: int = -1
    sequence: int = -1
    received_us: int = 0
    loads_reported: bool = False
    unlisted_load: float = 0.0  # its load on form servers that it has not listed yet
    loads: dict[int, float] = field(default_factory=dict)


class NeighbourLoads:
    """The loads of the other nodes as last reported. The sums are updated with each datagram."""

    def __init__(self, interval_us: int, node_count: int) -> None:
        self._expiry_us = EXPIRY_INTERVALS * min_interval_us(interval_us, node_count) + GROUPS_INTERVAL_US
        self._neighbours: dict[int, _Neighbour] = {}
        # By `loads_reported`, which determines the unit.
        self._sums: dict[bool, dict[int, float]] = {False: {}, True: {}}

    def update(self, now_us: int, sender: int, report: LoadReport) -> bool:
        """Applies a report; returns False if one that is as new or newer was already applied."""
        neighbour = self._neighbours.setdefault(sender, _Neighbour())
        if report.incarnation < neighbour.incarnation:
            return False
        if report.incarnation > neighbour.incarnation or report.loads_reported != neighbour.loads_reported:
            # The node has restarted, or counts in another unit: its earlier loads are invalid.
            self._clear(neighbour)
            neighbour.incarnation, neighbour.loads_reported = report.incarnation, report.loads_reported
        if report.sequence <= neighbour.sequence:
            return False
        neighbour.sequence, neighbour.received_us = report.sequence, now_us
        sums = self._sums[neighbour.loads_reported]
        for number, load in report.loads.items():
            sums[number] = sums.get(number, 0.0) + load - neighbour.loads.get(number, 0.0)
            neighbour.loads[number] = load
        neighbour.unlisted_load = max(0.0, report.total - sum(neighbour.loads.values()))
        return True

    def loads(
        self, now_us: int, loads_reported: bool, servers: Mapping[int, object]
    ) -> tuple[dict[int, float], int]:
        """Returns the other nodes' loads on these form servers, and the number of nodes that are counted.

        A node that counts in another unit or has sent nothing recently is not counted.
        """
        for neighbour in self._neighbours.values():
            if neighbour.loads and now_us - neighbour.received_us > self._expiry_us:
                self._clear(neighbour)
        counted = [
            neighbour
            for neighbour in self._neighbours.values()
            if neighbour.loads_reported == loads_reported and neighbour.loads
        ]
        sums = self._sums[loads_reported]
        unlisted_load = (
            sum(neighbour.unlisted_load for neighbour in counted) / len(servers) if servers else 0.0
        )
        return {n: max(0.0, sums.get(n, 0.0)) + unlisted_load for n in servers}, len(counted)

    def _clear(self, neighbour: _Neighbour) -> None:
        sums = self._sums[neighbour.loads_reported]
        for number, load in neighbour.loads.items():
            sums[number] = sums.get(number, 0.0) - load
            if sums[number] < 1e-6:
                del sums[number]  # no load is left there; discards accumulated rounding errors
        neighbour.loads.clear()
        neighbour.unlisted_load, neighbour.sequence = 0.0, -1


def min_interval_us(interval_us: int, node_count: int) -> int:
    """Returns the minimum interval between two datagrams of a node, in a fleet of this many nodes."""
    return int(interval_us * max(1.0, node_count / FULL_RATE_NODES))


class LoadReporter:
    """Decides when this node sends a datagram, and with which loads.

    In a balanced fleet no datagrams are sent, because they cost work and no node would act on them. A node
    that estimates an imbalance sends its loads with an alert, and the other nodes answer with theirs.
    """

    def __init__(self, incarnation: int, interval_us: int, node_count: int) -> None:
        self._incarnation = incarnation
        self._interval_us = min_interval_us(interval_us, node_count)
        self._groups_interval_us = min_interval_us(min(GROUPS_INTERVAL_US, interval_us), node_count)
        self._answer_due = False  # another node has sent an alert that is not answered yet
        self._unanswered = 0  # datagrams sent since the last one was received
        self._sequence = 0
        self._sent_us = -(1 << 62)
        self._sent_loads: dict[int, float] = {}
        self._moved_groups: list[int] = []
        self._last_rotated = -1  # the last form server that was sent by rotation

    def add_moved_group(self, group: int) -> None:
        """Adds a group that is being moved to the next datagram."""
        self._moved_groups.append(group)

    def on_datagram(self) -> None:
        """A datagram of another node was received, so datagrams are delivered."""
        self._unanswered = 0

    def on_alert(self) -> None:
        """Another node has sent an alert, which is answered once with this node's loads."""
        self._answer_due = True

    def next_datagram(
        self, now_us: int, loads_reported: bool, loads: Mapping[int, float], alert: bool = False
    ) -> bytes | None:
        """Returns the next datagram if one is due, else None. `alert`: this node estimates an imbalance."""
        if not (alert or self._moved_groups or self._answer_due):
            return None
        interval_us = self._groups_interval_us if self._moved_groups else self._interval_us
        if now_us - self._sent_us < interval_us << min(max(0, self._unanswered - MAX_UNANSWERED), 10):
            return None
        changed = {
            n: abs(loads.get(n, 0.0) - self._sent_loads.get(n, 0.0))
            for n in sorted({*loads, *self._sent_loads})
        }
        if not changed:
            return None
        # The loads that changed most, then some of the others in rotation, because the datagram with their
        # last change may have been lost.
        chosen = sorted(changed, key=lambda n: (-changed[n], n))[: MAX_LOADS - ROTATING_LOADS]
        others = [n for n in changed if n not in chosen]
        start = bisect.bisect_right(others, self._last_rotated)
        for number in (others[start:] + others[:start])[:ROTATING_LOADS]:
            chosen.append(number)
            self._last_rotated = number
        sent_loads = {n: loads.get(n, 0.0) for n in chosen}
        self._sent_loads.update(sent_loads)
        for number in chosen:
            if number not in loads:
                del self._sent_loads[number]
        self._sequence += 1
        self._sent_us, self._answer_due = now_us, False
        self._unanswered += 1
        moved_groups, self._moved_groups = (
            tuple(self._moved_groups[:MAX_GROUPS]),
            self._moved_groups[MAX_GROUPS:],
        )
        return encode_report(
            LoadReport(
                self._incarnation,
                self._sequence,
                loads_reported,
                sum(loads.values()),
                sent_loads,
                moved_groups,
                alert,
            )
        )
