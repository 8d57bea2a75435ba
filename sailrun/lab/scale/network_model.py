"""Delay and loss between places, cuts between regions, and nodes that are cut off from the network.

Every host process and virtual time use the same model. Messages between two real processes go over plain
loopback without the model; on every other path the hollow node applies it.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from sailrun.lab.scale.plan import Place

# One-way delays in seconds. The regions form a ring, and each step along it takes REGION_STEP_S.
IN_ZONE_S, IN_REGION_S, REGION_STEP_S = 0.0001, 0.0008, 0.015
# The largest random extension of a delay, as a share of it.
JITTER = 0.2
# The share of messages that are lost.
LOST_IN_REGION, LOST_BETWEEN_REGIONS = 0.0001, 0.002


@dataclass(frozen=True, slots=True)
class Path:
    """The path from one place to another: the one-way delay without jitter and the share of lost messages."""

    delay_s: float
    lost: float


def path_between(sender: Place, receiver: Place, regions: int) -> Path:
    if sender.zone == receiver.zone:
        return Path(IN_ZONE_S, LOST_IN_REGION)
    if sender.region == receiver.region:
        return Path(IN_REGION_S, LOST_IN_REGION)
    apart = abs(int(sender.region[1:]) - int(receiver.region[1:]))
    return Path(REGION_STEP_S * min(apart, regions - apart), LOST_BETWEEN_REGIONS)


class NetworkModel:
    def __init__(self, places: Iterable[Place], regions: int, seed: str) -> None:
        self._regions = regions
        self._random = random.Random(seed)
        self.by_name = {place.name: place for place in places}
        self.by_address = {place.address: place for place in self.by_name.values()}
        self._paths: dict[tuple[str, str], Path] = {}  # by the zones of sender and receiver
        self._cut: set[frozenset[str]] = set()  # pairs of regions
        self._silent: set[str] = set()  # names
        self.blocked_messages = 0  # by a cut or a silence

    # ------------------------------------------------------------------ faults

    def cut(self, one: str, other: str) -> None:
        """Blocks all messages between the two regions, in both directions."""
        self._cut.add(frozenset((one, other)))

    def heal(self) -> None:
        """Ends every cut."""
        self._cut.clear()

    def silence(self, names: Iterable[str], on: bool) -> None:
        """Blocks all messages from and to these nodes, as if their switch had failed, or stops blocking
        them.
        """
        if on:
            self._silent.update(names)
        else:
            self._silent.difference_update(names)

    def passes(self, sender: Place, receiver: Place) -> bool:
        """Returns whether a message gets from the sender to the receiver now. Counts it if not."""
        cut = bool(self._cut) and frozenset((sender.region, receiver.region)) in self._cut
        if cut or sender.name in self._silent or receiver.name in self._silent:
            self.blocked_messages += 1
            return False
        return True

    # ------------------------------------------------------------------ paths

    def datagram_s(self, sender: Place, receiver: Place) -> float | None:
        """Returns the delay of a datagram in seconds, or None if it is lost."""
        if not self.passes(sender, receiver):
            return None
        path = self._path(sender, receiver)
        if self._random.random() < path.lost:
            return None
        return path.delay_s * (1.0 + JITTER * self._random.random())

    def frame_s(self, sender: Place, receiver: Place) -> float | None:
        """Returns the delay of a frame on a link in seconds, or None if a cut or a silence blocks it.

        A frame is never lost by chance, because TCP retransmits.
        """
        if not self.passes(sender, receiver):
            return None
        return self._path(sender, receiver).delay_s * (1.0 + JITTER * self._random.random())

    def _path(self, sender: Place, receiver: Place) -> Path:
        zones = (sender.zone, receiver.zone)
        path = self._paths.get(zones)
        if path is None:
            path = self._paths[zones] = path_between(sender, receiver, self._regions)
        return path
