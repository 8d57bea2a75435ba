"""Schedules when this instance subscribes to the backend list, in discovery mode ASK."""

from __future__ import annotations

from sailrun.decisions.actions import SetTimer, Subscribe
from sailrun.decisions.context import SECOND_US, SUBSCRIBE_TIMER, DecisionContext
from sailrun.decisions.events import ListKind
from sailrun.decisions.settings import DiscoveryMode

# All instances together make one call to discovery per CALL_INTERVAL_US on average, and fewer after failures.
# An instance calls within POLL_SHARE of its poll interval.
CALL_INTERVAL_US = 100_000
POLL_SHARE = 0.75
MAX_DOUBLINGS = 10


class ListSubscription:
    """Spreads the calls of all instances over a window that grows with failures (backoff).

    Discovery handles calls in order, including those that have timed out at the caller. If more calls arrive
    than it can handle, none is answered in time.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._failures = 0
        self._is_scheduled = False

    def record_update(self, kind: ListKind) -> None:
        """Counts consecutive failures; a cached list is not a result of a call and is ignored."""
        if kind is not ListKind.CACHED:
            self._failures = self._failures + 1 if kind is ListKind.FAILED else 0

    def schedule(self) -> None:
        """Sets the timer for the next call to a random time within the window."""
        settings = self._context.settings
        if settings.discovery is not DiscoveryMode.ASK or self._is_scheduled:
            return
        self._is_scheduled = True
        longest_us = max(POLL_SHARE * settings.poll_interval_us, SECOND_US)
        backoff_us = (CALL_INTERVAL_US * settings.instances) << min(self._failures, MAX_DOUBLINGS)
        window_us = min(longest_us, backoff_us)
        self._context.emit(SetTimer(1 + int(self._context.random.random() * window_us), SUBSCRIBE_TIMER))

    def on_timer(self) -> None:
        """Subscribes if a call is scheduled."""
        if self._is_scheduled:
            self._is_scheduled = False
            self._context.emit(Subscribe())
