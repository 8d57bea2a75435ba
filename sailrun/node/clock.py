"""The node's one clock, and its log."""

from __future__ import annotations

import sys
import time

import anyio


class Clock:
    """Microseconds since 1970, read once from the system and then carried on by the monotonic clock.

    What discovery states in Unix milliseconds therefore converts by a plain multiplication, the same way
    every time, and a step of the system's clock moves nothing.
    """

    def __init__(self) -> None:
        self._offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now_us(self) -> int:
        return time.monotonic_ns() // 1000 + self._offset_us

    def moment(self, at_us: int) -> float:
        """The same instant on the event loop's clock, as deadlines of cancel scopes want it."""
        return anyio.current_time() + (at_us - self.now_us()) / 1e6


def log(what: str, /, **facts: object) -> None:
    """One line: the event's name, then name=value pairs."""
    pairs = "".join(f" {name}={_word(value)}" for name, value in facts.items() if value is not None)
    sys.stderr.write(f"{time.time():.3f} {what}{pairs}\n")
    sys.stderr.flush()


def _word(value: object) -> str:
    text = str(value)
    return repr(text) if any(c.isspace() for c in text) or not text else text
