"""Where the backend list has to be asked for: when this instance subscribes again after a failed call."""

from __future__ import annotations

from sailrun.decisions.actions import SetTimer, Subscribe
from sailrun.decisions.context import SECOND_US, SUBSCRIBE_TIMER, DecisionContext
from sailrun.decisions.events import ListKind
from sailrun.decisions.settings import DiscoveryMode

# Discovery gets one call of all instances in so long, less often after failures; an instance calls within
# this share of the longest time that it may go without.
CALL_INTERVAL_US = 100_000
POLL_SHARE = 0.75
MAX_DOUBLINGS = 10


class ListSubscription:
    """Spreads the calls of all instances over a window that grows with failures (backoff).

    Discovery takes calls in turn, also those that have been given up: with more calls than it takes, none is
    answered in time any more.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._failures = 0
        self._is_scheduled = False

    def record_update(self, kind: ListKind) -> None:
        """A call or the subscription has brought this; a list from before this instance says nothing."""
        if kind is not ListKind.CACHED:
            self._failures = self._failures + 1 if kind is ListKind.FAILED else 0

    def schedule(self) -> None:
        """Sets the timer for the next call, at a random time within the window."""
        settings = self._context.settings
        if settings.discovery is not DiscoveryMode.ASK or self._is_scheduled:
            return
        self._is_scheduled = True
        longest_us = max(POLL_SHARE * settings.poll_interval_us, SECOND_US)
        backoff_us = (CALL_INTERVAL_US * settings.instances) << min(self._failures, MAX_DOUBLINGS)
        window_us = min(longest_us, backoff_us)
        self._context.emit(SetTimer(1 + int(self._context.random.random() * window_us), SUBSCRIBE_TIMER))

    def on_timer(self) -> None:
        """Subscribes, if that is still to be done."""
        if self._is_scheduled:
            self._is_scheduled = False
            self._context.emit(Subscribe())
