"""The timers that the decisions set."""

from __future__ import annotations

import heapq


class TimerQueue:
    """Timers by the time they fire, each with the token by which the decisions know it."""

    def __init__(self) -> None:
        self._timers: list[tuple[int, int]] = []  # a heap of (when in Unix microseconds, token)

    def set(self, at_us: int, token: int) -> None:
        """Adds a timer; one that is set again fires once more."""
        heapq.heappush(self._timers, (at_us, token))

    def due_us(self) -> int | None:
        """When the next timer fires, in Unix microseconds; None if there is none."""
        return self._timers[0][0] if self._timers else None

    def pop_due(self, now_us: int) -> int | None:
        """Removes the earliest timer that has come due and returns its token; None if none has."""
        if self._timers and self._timers[0][0] <= now_us:
            return heapq.heappop(self._timers)[1]
        return None
