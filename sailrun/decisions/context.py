"""What all decisions of one instance share: settings, time, chance and the actions of the present event."""

from __future__ import annotations

from random import Random

from sailrun.decisions.actions import Action, LogMessage
from sailrun.decisions.settings import Settings

SECOND_US = 1_000_000
# A fault of many backends has one reason: one line in this time.
LOG_INTERVAL_US = SECOND_US

# Tokens of the instance's timers; those from `FIRST_DRAIN_TIMER` on belong to single connections.
RETRY_TIMER = 1
SUBSCRIBE_TIMER = 2
FIRST_DRAIN_TIMER = 3


class DecisionContext:
    """Settings, clock, random numbers and pending actions of one instance.

    Time comes with each event and never goes back; `random` is the only source of chance.
    """

    __slots__ = ("_logged_us", "actions", "now_us", "random", "settings")

    def __init__(self, settings: Settings, seed: int, now_us: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.now_us = now_us
        self.actions: list[Action] = []
        self._logged_us = now_us - LOG_INTERVAL_US

    def advance_clock(self, now_us: int) -> None:
        """Sets the time, unless it lies behind what was set before."""
        self.now_us = max(self.now_us, now_us)

    def begin_event(self, now_us: int) -> None:
        """Sets the time of an event; its actions are gathered in a list of their own."""
        self.advance_clock(now_us)
        self.actions = []

    def emit(self, action: Action) -> None:
        """Adds an action to those of the present event."""
        self.actions.append(action)

    def log(self, text: str) -> None:
        """Asks for a log line, unless there was one within `LOG_INTERVAL_US`."""
        if self.now_us - self._logged_us >= LOG_INTERVAL_US:
            self.emit(LogMessage(text))
            self._logged_us = self.now_us
