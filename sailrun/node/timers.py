"""The timers that the decision module sets."""

from __future__ import annotations

import heapq


class TimerQueue:
    """Timers ordered by the time at which they fire, each with the token that identifies it in the decision
    module.
    """

    def __init__(self) -> None:
        self._timers: list[tuple[int, int]] = []  # a heap of (due time in Unix microseconds, token)

    def set(self, at_us: int, token: int) -> None:
        """Adds a timer. Setting a token again adds a second timer and does not replace the first."""
        heapq.heappush(self._timers, (at_us, token))

    def due_us(self) -> int | None:
        """Returns when the next timer fires, in Unix microseconds; None if there is none."""
        return self._timers[0][0] if self._timers else None

    def pop_due(self, now_us: int) -> int | None:
        """Removes the earliest timer that is due and returns its token; None if none is due."""
        if self._timers and self._timers[0][0] <= now_us:
            return heapq.heappop(self._timers)[1]
        return None
