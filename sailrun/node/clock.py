"""The node's clock, the time of an event loop iteration, and the log."""

from __future__ import annotations

import sys
import time

import anyio


class Clock:
    """Unix time in microseconds, read once from the system clock and then advanced by the monotonic clock.

    A time that discovery states in Unix milliseconds therefore always converts by a plain multiplication, and
    a step of the system clock does not change any time here.
    """

    def __init__(self) -> None:
        self._offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now_us(self) -> int:
        """Returns the current time in Unix microseconds."""
        return time.monotonic_ns() // 1000 + self._offset_us

    def to_deadline(self, at_us: int) -> float:
        """Converts Unix microseconds to seconds of the async event loop's clock, as used by the deadlines of
        cancel scopes.
        """
        return anyio.current_time() + (at_us - self.now_us()) / 1e6


class LoopTime:
    """The time of the event loop's current iteration, shared by all parts that run in the event loop.

    Everything that happens in one iteration uses this same time. Only the event loop sets it.
    """

    __slots__ = ("now_us",)

    def __init__(self, now_us: int) -> None:
        self.now_us = now_us


def log(event: str, /, **fields: object) -> None:
    """Writes one line to standard error: the event's name, then name=value pairs; fields that are None are
    omitted.
    """
    pairs = "".join(f" {name}={_quote(value)}" for name, value in fields.items() if value is not None)
    sys.stderr.write(f"{time.time():.3f} {event}{pairs}\n")
    sys.stderr.flush()


def _quote(value: object) -> str:
    text = str(value)
    return repr(text) if any(c.isspace() for c in text) or not text else text
