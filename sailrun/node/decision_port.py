"""The way of an event to the decision module, and of its actions to whoever executes them."""

from __future__ import annotations

import traceback
from typing import Protocol

from sailrun.decisions.actions import Action
from sailrun.decisions.balancer import Balancer
from sailrun.decisions.events import (
    AttemptEnded,
    AttemptNotice,
    ClientLeft,
    ConnectionOpened,
    ConnectionResumed,
    Event,
    RequestArrived,
)
from sailrun.node.clock import TurnTime
from sailrun.node.ports import EventLog

# Events that belong to one request, by whose id they name it.
REQUEST_EVENTS = (
    RequestArrived,
    ConnectionResumed,
    ClientLeft,
    ConnectionOpened,
    AttemptNotice,
    AttemptEnded,
)


class ActionExecutor(Protocol):
    """Executes what the decision module asks for."""

    def execute(self, action: Action) -> None:
        """Executes one action."""
        ...

    def abandon_request(self, request: str) -> None:
        """Fails a request of which an event could not be handled, unless its session is established."""
        ...


class DecisionPort:
    """Passes events to the decision module, and has the actions it returns executed in their order."""

    _executor: ActionExecutor

    def __init__(self, balancer: Balancer, turn: TurnTime, log: EventLog) -> None:
        self._balancer, self._turn, self._log = balancer, turn, log

    def connect(self, executor: ActionExecutor) -> None:
        """Sets who executes the actions; called once, before the first event."""
        self._executor = executor

    def feed(self, event: Event) -> None:
        """Passes one event at the turn's time, and executes what the module decides."""
        try:
            actions = self._balancer.handle(self._turn.now_us, event)
        except Exception:
            # A fault of the decisions must not take every other client down with the node.
            self._log("fault", event=type(event).__name__, trace=traceback.format_exc())
            if isinstance(event, REQUEST_EVENTS):
                self._executor.abandon_request(event.request)
            return
        for action in actions:
            try:
                self._executor.execute(action)
            except Exception:
                # Nor must a fault of one front in executing an action.
                self._log("fault", action=type(action).__name__, trace=traceback.format_exc())
