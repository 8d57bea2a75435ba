"""Draining: the connections of a leaving backend are migrated one by one, spread over the drain grace.

If all of them moved at once, they would overload the other backends before a replacement is listed.
"""

from __future__ import annotations

from sailrun.decisions.actions import SetTimer
from sailrun.decisions.context import FIRST_DRAIN_TIMER, DecisionContext
from sailrun.decisions.endpoints import Endpoint

# The share of the drain grace over which connections are migrated.
GRACE_SHARE = 0.9


class DrainSchedule:
    """Schedules migrations; maps the token of each timer to the connection to be migrated."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._last_token = FIRST_DRAIN_TIMER - 1
        self._requests: dict[int, str] = {}

    def schedule(self, endpoint: Endpoint) -> None:
        """Sets a timer for each connection of a backend that is draining or gone."""
        spread_us = GRACE_SHARE * self._context.settings.drain_grace_us
        for request in endpoint.connections:
            self._last_token += 1
            self._requests[self._last_token] = request
            wait_us = spread_us * self._context.random.random()
            self._context.emit(SetTimer(1 + int(wait_us), self._last_token))

    def take_due(self, token: int) -> str | None:
        """Returns the request whose connection this timer migrates; None for other timers."""
        return self._requests.pop(token, None)
