"""The node's one clock, the time of a turn, and the log."""

from __future__ import annotations

import sys
import time

import anyio


class Clock:
    """Microseconds since 1970, read once from the system and then advanced by the monotonic clock.

    What discovery states in Unix milliseconds therefore converts by a plain multiplication, the same way
    every time, and a step of the system's clock shifts nothing.
    """

    def __init__(self) -> None:
        self._offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now_us(self) -> int:
        """The present, in Unix microseconds."""
        return time.monotonic_ns() // 1000 + self._offset_us

    def moment(self, at_us: int) -> float:
        """The same instant in seconds of the event loop's clock, as deadlines of cancel scopes need it."""
        return anyio.current_time() + (at_us - self.now_us()) / 1e6


class TurnTime:
    """The instant of the event loop's present turn, shared by all that runs in it.

    Everything that one turn does carries this one time. Only the event loop sets it.
    """

    __slots__ = ("now_us",)

    def __init__(self, now_us: int) -> None:
        self.now_us = now_us


def log(what: str, /, **facts: object) -> None:
    """Writes one line to standard error: the event's name, then name=value pairs; None is left out."""
    pairs = "".join(f" {name}={_quote(value)}" for name, value in facts.items() if value is not None)
    sys.stderr.write(f"{time.time():.3f} {what}{pairs}\n")
    sys.stderr.flush()


def _quote(value: object) -> str:
    text = str(value)
    return repr(text) if any(c.isspace() for c in text) or not text else text
