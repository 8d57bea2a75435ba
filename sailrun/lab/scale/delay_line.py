"""Delays messages: one task holds the messages that a host's nodes send until they are due."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

import anyio

# A shorter wait is skipped: the event loop takes about that long anyway.
MIN_DELAY_S = 0.001


class DelayLine:
    def __init__(self) -> None:
        # A heap of due times in seconds, sequence numbers and actions.
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._earlier_deadline = anyio.Event()

    def after(self, wait_s: float, action: Callable[[], None]) -> None:
        if wait_s < MIN_DELAY_S:
            action()
            return
        due_s = anyio.current_time() + wait_s
        if not self._due or due_s < self._due[0][0]:
            self._earlier_deadline.set()
        heapq.heappush(self._due, (due_s, next(self._numbers), action))

    async def run(self) -> None:
        while True:
            deadline = self._due[0][0] if self._due else float("inf")
            with anyio.CancelScope(deadline=deadline):
                await self._earlier_deadline.wait()
            self._earlier_deadline = anyio.Event()
            self._run_due_actions(anyio.current_time())

    def _run_due_actions(self, now_s: float) -> None:
        while self._due and self._due[0][0] <= now_s:
            _, _, action = heapq.heappop(self._due)
            action()
