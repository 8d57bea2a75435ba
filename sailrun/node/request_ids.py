"""The ids of requests that must not be forwarded again, because they are running or may have run."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import anyio

from sailrun.node.clock import Clock

# How many ids of ended requests are remembered at most; the oldest is forgotten first.
MAX_REMEMBERED = 8192
# How long a new process waits for the ids that its predecessor has taken since it handed over its state.
PREDECESSOR_TIMEOUT_S = 0.1


class RequestIds:
    """The ids in use, and those of ended requests until their time is over. A client uses an id once, so one
    that comes again would duplicate a request.

    If several processes form a node, each reports its changes to the others through `on_change`.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._in_use: set[str] = set()
        self._remembered: dict[str, float] = {}  # until when, in Unix microseconds; oldest first
        # Until when the other process blocks an id; infinity: it is in use there.
        self._elsewhere: dict[str, float] = {}
        # Called with each id of this process that changes, and until when it is blocked now: infinity while
        # it is in use, 0 if it is free.
        self.on_change: Callable[[str, float], None] = lambda _id, _until_us: None
        self._is_current = anyio.Event()
        self._is_current.set()

    def reserve(self, id_: str) -> bool:
        """Reserves an id for a request; returns False if it must not be used."""
        now_us = self._clock.now_us()
        blocked_until_us = max(self._remembered.get(id_, 0), self._elsewhere.get(id_, 0))
        if id_ in self._in_use or blocked_until_us > now_us:
            return False
        self._in_use.add(id_)
        self.on_change(id_, math.inf)
        return True

    def adopt(self, id_: str) -> bool:
        """Reserves the id of a session that another process transfers, where it is in use; returns False if
        it is in use here too.
        """
        if id_ in self._in_use:
            return False
        self._in_use.add(id_)
        self.on_change(id_, math.inf)
        return True

    def release(self, id_: str, blocked_until_us: int) -> None:
        """Ends the use of an id, which must not be used again before the given time; 0: it may at once."""
        self._in_use.discard(id_)
        self._remember(id_, blocked_until_us)
        self.on_change(id_, blocked_until_us)

    def _remember(self, id_: str, until_us: float) -> None:
        until_us = max(until_us, self._remembered.pop(id_, 0))
        now_us = self._clock.now_us()
        if until_us <= now_us:
            return
        self._remembered[id_] = until_us
        while self._remembered:
            oldest = next(iter(self._remembered))
            if len(self._remembered) <= MAX_REMEMBERED and self._remembered[oldest] > now_us:
                return
            del self._remembered[oldest]

    # ------------------------------------------------------------------ several processes that form a node

    def snapshot(self) -> list[tuple[str, float]]:
        """Returns all ids that are blocked in this process, and until when; infinity: in use."""
        now_us = self._clock.now_us()
        in_use = [(id_, math.inf) for id_ in self._in_use]
        return [(id_, until_us) for id_, until_us in self._remembered.items() if until_us > now_us] + in_use

    def restore(self, ids: Iterable[tuple[str, float]]) -> None:
        """Begins with the ids of a predecessor, which is asked for those that it has taken since: until
        `mark_current` is called, `wait_until_current` waits.
        """
        self._elsewhere.update(ids)
        self._is_current = anyio.Event()

    def apply_change(self, id_: str, until_us: float) -> None:
        """Another process has reported a change of one of its ids."""
        if until_us > 0:
            self._elsewhere[id_] = until_us
        else:
            self._elsewhere.pop(id_, None)

    def mark_current(self) -> None:
        """All ids that the predecessor took before it stopped accepting clients have been reported."""
        self._is_current.set()

    async def wait_until_current(self) -> None:
        """Waits until the ids of the predecessor are known, for at most `PREDECESSOR_TIMEOUT_S`."""
        if not self._is_current.is_set():
            with anyio.move_on_after(PREDECESSOR_TIMEOUT_S):
                await self._is_current.wait()
            self._is_current.set()

    def on_other_process_ended(self, blocked_until_us: int) -> None:
        """The other process has ended: what it did not settle stays blocked until the given time."""
        for id_, until_us in self._elsewhere.items():
            self._remember(id_, min(until_us, blocked_until_us) if math.isinf(until_us) else until_us)
        self._elsewhere.clear()
        self.mark_current()
