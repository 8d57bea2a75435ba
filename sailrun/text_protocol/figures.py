"""Tells apart the two figures that form servers state in the same line.

A form server says `LOAD X` when the load of a connection changes. The platform's form servers also say in
that line what a message takes with them, in milliseconds, where the settings promise it (`tellsDelay`): once
a second while it is over a third of the shortest message aim, and once more when it is back under, on one
connection of each node. Counted over forty nodes, the same figure then arrives at all of them in the same
instant, and again one second later. Read as a load it is next to nothing, so that the form server which is
worst off looks emptiest.

One node sees one such line at a time. What gives it away is the beat: exactly a second after the last.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

SECOND = 1_000_000
# How far from a second two lines of the beat may be apart: what the network and this node's loop add.
SLACK_US = 30_000
# No message takes so many milliseconds and is still told of; few loads, in us of work a second, are under it.
LONGEST_MS = 5_000.0
# A load under this is no client's: less than one message in ten minutes. Taken for a time at once.
LEAST_LOAD = 100.0

Whose = TypeVar("Whose")


@dataclass(frozen=True, slots=True)
class Load:
    """A connection's load, in us of work a second."""

    value: float


@dataclass(frozen=True, slots=True)
class Delay(Generic[Whose]):
    """What a message takes at the form server, in milliseconds."""

    value: float
    mistaken: Whose | None  # whose load was given as the same kind of figure, a second ago


class Figures(Generic[Whose]):
    """The figures of one form server, through this node. Pure: the time comes with each line."""

    __slots__ = ("_beat_us", "_least_ms", "_small")

    def __init__(self, least_ms: float) -> None:
        """`least_ms`: from what time on messages are told of at all; 0: never."""
        self._least_ms = least_ms
        self._beat_us = -2 * SECOND  # when a time was last told
        self._small: list[tuple[int, Whose]] = []  # lines of the last second that may have been one

    def read(self, now_us: int, value: float, whose: Whose) -> Load | Delay[Whose]:
        """Tells a load from a delay. `value`: as stated; `whose`: the session that stated it."""
        if self._least_ms <= 0 or not 0 < value < LONGEST_MS:
            return Load(value)
        self._small = [(at, who) for at, who in self._small if now_us - at <= SECOND + SLACK_US]
        if abs(now_us - self._beat_us - SECOND) <= SLACK_US or self._least_ms <= value < LEAST_LOAD:
            self._beat_us = now_us
            return Delay(value, None)
        if now_us - self._beat_us < SECOND - SLACK_US:
            return Load(value)  # within the beat: this one is not of it
        for n, (at, who) in enumerate(self._small):
            if abs(now_us - at - SECOND) <= SLACK_US:
                del self._small[n]
                self._beat_us = now_us
                return Delay(value, who)
        self._small.append((now_us, whose))
        return Load(value)
