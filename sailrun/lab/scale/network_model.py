"""Delay and loss between places, cuts between regions, and nodes that nobody hears.

The same model is used by every host process and by virtual time. What passes between two real processes is
plain loopback and passes no model; every other path has it, applied by the hollow end.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from sailrun.lab.scale.plan import Place

# One way, in seconds. Regions stand in a ring; each step along it takes this long.
IN_ZONE_S, IN_REGION_S, REGION_STEP_S = 0.0001, 0.0008, 0.015
# The part of a delay by which it may be longer.
JITTER = 0.2
# Share of messages that are lost on the way.
LOST_IN_REGION, LOST_BETWEEN_REGIONS = 0.0001, 0.002


@dataclass(frozen=True, slots=True)
class Path:
    """From one place to another: seconds one way without jitter, and the share of messages lost."""

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
        self._paths: dict[tuple[str, str], Path] = {}  # by zones
        self._cut: set[frozenset[str]] = set()  # pairs of regions
        self._silent: set[str] = set()  # names
        self.stopped = 0  # messages that a cut or a silence kept back

    # ------------------------------------------------------------------ faults

    def cut(self, one: str, other: str) -> None:
        """Nothing passes between the two regions any more, either way."""
        self._cut.add(frozenset((one, other)))

    def heal(self) -> None:
        """Every cut is over."""
        self._cut.clear()

    def silence(self, names: Iterable[str], on: bool) -> None:
        """Nothing comes from these nodes or gets to them, as if their switch had failed."""
        if on:
            self._silent.update(names)
        else:
            self._silent.difference_update(names)

    def passes(self, sender: Place, receiver: Place) -> bool:
        """Whether anything gets from the one to the other now; what does not is counted."""
        cut = bool(self._cut) and frozenset((sender.region, receiver.region)) in self._cut
        if cut or sender.name in self._silent or receiver.name in self._silent:
            self.stopped += 1
            return False
        return True

    # ------------------------------------------------------------------ paths

    def datagram_s(self, sender: Place, receiver: Place) -> float | None:
        """How long a datagram takes; None: it is lost."""
        if not self.passes(sender, receiver):
            return None
        path = self._path(sender, receiver)
        if self._random.random() < path.lost:
            return None
        return path.delay_s * (1.0 + JITTER * self._random.random())

    def frame_s(self, sender: Place, receiver: Place) -> float | None:
        """How long a frame on a link takes; None: the two are cut apart. TCP mends loss by itself."""
        if not self.passes(sender, receiver):
            return None
        return self._path(sender, receiver).delay_s * (1.0 + JITTER * self._random.random())

    def _path(self, sender: Place, receiver: Place) -> Path:
        zones = (sender.zone, receiver.zone)
        path = self._paths.get(zones)
        if path is None:
            path = self._paths[zones] = path_between(sender, receiver, self._regions)
        return path
