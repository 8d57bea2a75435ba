"""Distinguishes the load reports and the delay reports of form servers, which use the same line.

A form server sends `LOAD X` when the load of a connection changes. If the settings state it (`tellsDelay`),
the platform's form servers use the same line to report their message latency in milliseconds: once a second
while the latency is over a third of the shortest message objective, and once more when it is back under that,
on one connection of each node. In a fleet of forty nodes, all of them receive the same value at the same
moment, and the next one a second later. Read as a load, such a value is close to zero, so that the most
overloaded form server would appear to be the least loaded.

A single node receives one such line at a time, and recognizes it by its interval: it arrives one second after
the previous one, within a tolerance.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

SECOND = 1_000_000
# How much the interval between two delay reports may differ from a second, because of delays in the network
# and in this node's event loop.
INTERVAL_TOLERANCE_US = 30_000
# Form servers report only delays below this value, in milliseconds. Few loads, in microseconds of work a
# second, are below it.
MAX_DELAY_MS = 5_000.0
# In microseconds of work a second. A load below this, less than one message in ten minutes, cannot be a
# client's; the value is classified as a delay at once.
MIN_LOAD = 100.0

SourceT = TypeVar("SourceT")


@dataclass(frozen=True, slots=True)
class Load:
    """A connection's load, in microseconds of work a second."""

    value: float


@dataclass(frozen=True, slots=True)
class Delay(Generic[SourceT]):
    """The message latency at the form server, in milliseconds."""

    value: float
    # The connection whose delay report, a second ago, was classified as a load by mistake.
    misclassified_source: SourceT | None


class LoadLineClassifier(Generic[SourceT]):
    """Classifies the reports of one form server to this node. Free of I/O: callers pass the time in."""

    __slots__ = ("_candidates", "_last_delay_us", "_min_delay_ms")

    def __init__(self, min_delay_ms: float) -> None:
        """`min_delay_ms`: form servers report delays from this value on; 0: they never report delays."""
        self._min_delay_ms = min_delay_ms
        self._last_delay_us = -2 * SECOND  # the time of the last delay report
        self._candidates: list[tuple[int, SourceT]] = []  # recent loads that may be delays

    def classify(self, now_us: int, value: float, source: SourceT) -> Load | Delay[SourceT]:
        """Classifies a value as a load or a delay; `source`: the connection on which it was reported."""
        if self._min_delay_ms <= 0 or not 0 < value < MAX_DELAY_MS:
            return Load(value)
        self._candidates = [
            (received_us, candidate)
            for received_us, candidate in self._candidates
            if now_us - received_us <= SECOND + INTERVAL_TOLERANCE_US
        ]
        if (
            abs(now_us - self._last_delay_us - SECOND) <= INTERVAL_TOLERANCE_US
            or self._min_delay_ms <= value < MIN_LOAD
        ):
            self._last_delay_us = now_us
            return Delay(value, None)
        if now_us - self._last_delay_us < SECOND - INTERVAL_TOLERANCE_US:
            return Load(value)  # too early to be the next delay report
        for index, (received_us, candidate) in enumerate(self._candidates):
            if abs(now_us - received_us - SECOND) <= INTERVAL_TOLERANCE_US:
                del self._candidates[index]
                self._last_delay_us = now_us
                return Delay(value, candidate)
        self._candidates.append((now_us, source))
        return Load(value)
