"""Draining: the connections of a backend that leaves are migrated one by one, spread over the drain grace.

All at once they would overload the others, before the backend that takes its place is listed.
"""

from __future__ import annotations

from sailrun.decisions.actions import SetTimer
from sailrun.decisions.context import FIRST_DRAIN_TIMER, DecisionContext
from sailrun.decisions.endpoints import Endpoint

# The share of the drain grace over which connections are migrated.
GRACE_SHARE = 0.9


class DrainSchedule:
    """The connections to be migrated, by the token of their timer."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._last_token = FIRST_DRAIN_TIMER - 1
        self._requests: dict[int, str] = {}

    def schedule(self, endpoint: Endpoint) -> None:
        """Sets a timer for each connection of a backend that drains or is gone."""
        spread_us = GRACE_SHARE * self._context.settings.drain_grace_us
        for request in endpoint.connections:
            self._last_token += 1
            self._requests[self._last_token] = request
            wait_us = spread_us * self._context.random.random()
            self._context.emit(SetTimer(1 + int(wait_us), self._last_token))

    def take_due(self, token: int) -> str | None:
        """The request whose connection is to be migrated as this timer has fired; None: no such timer."""
        return self._requests.pop(token, None)
