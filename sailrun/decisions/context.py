"""The state shared by all decisions of one instance: settings, time, random numbers and pending actions."""

from __future__ import annotations

from random import Random

from sailrun.decisions.actions import Action, LogMessage
from sailrun.decisions.settings import Settings

SECOND_US = 1_000_000
# A fault of many backends has one cause, so at most one line is logged per this interval.
LOG_INTERVAL_US = SECOND_US

# Tokens of the instance's timers; those from `FIRST_DRAIN_TIMER` on belong to individual connections.
RETRY_TIMER = 1
SUBSCRIBE_TIMER = 2
FIRST_DRAIN_TIMER = 3


class DecisionContext:
    """Settings, clock, random numbers and pending actions of one instance.

    The time is passed in with each event and never goes back; `random` is the only source of randomness.
    """

    __slots__ = ("_last_log_us", "actions", "now_us", "random", "settings")

    def __init__(self, settings: Settings, seed: int, now_us: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.now_us = now_us
        self.actions: list[Action] = []
        self._last_log_us = now_us - LOG_INTERVAL_US

    def advance_clock(self, now_us: int) -> None:
        """Sets the time, unless it is before the time that was set last."""
        self.now_us = max(self.now_us, now_us)

    def begin_event(self, now_us: int) -> None:
        """Sets the time of an event and starts an empty list for its actions."""
        self.advance_clock(now_us)
        self.actions = []

    def emit(self, action: Action) -> None:
        """Adds an action to those of the present event."""
        self.actions.append(action)

    def log(self, text: str) -> None:
        """Emits a log line, unless one was emitted within the last `LOG_INTERVAL_US`."""
        if self.now_us - self._last_log_us >= LOG_INTERVAL_US:
            self.emit(LogMessage(text))
            self._last_log_us = self.now_us
