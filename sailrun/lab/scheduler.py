"""Virtual time. Callbacks run in the order of their times; those that are due at the same time run in the
order in which they were scheduled.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from sailrun.node.clock import Clock

# Start of virtual time: any whole second except 0, which the registry interprets as "long ago".
BEGIN_US = 1_000_000_000


class Scheduler:
    def __init__(self) -> None:
        self.now_us = BEGIN_US
        self.done = 0  # events run so far
        self._queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def at(self, when_us: int, callback: Callable[..., None], *arguments: Any) -> None:
        self._count += 1
        heapq.heappush(self._queue, (max(when_us, self.now_us), self._count, callback, arguments))

    def after(self, wait_us: int, callback: Callable[..., None], *arguments: Any) -> None:
        self.at(self.now_us + wait_us, callback, *arguments)

    def run(self, until_us: int) -> None:
        while self._queue and self._queue[0][0] <= until_us:
            self.now_us, _, callback, arguments = heapq.heappop(self._queue)
            self.done += 1
            callback(*arguments)
        self.now_us = max(self.now_us, until_us)


class VirtualClock(Clock):
    """A node clock that reads the scheduler's virtual time."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler

    def now_us(self) -> int:
        return self._scheduler.now_us
