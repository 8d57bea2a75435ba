"""Passes events to the decision module, and the resulting actions to an executor."""

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
from sailrun.node.clock import LoopTime
from sailrun.node.ports import EventLog

# Events that belong to one request, whose id is in their field `request`.
REQUEST_EVENTS = (
    RequestArrived,
    ConnectionResumed,
    ClientLeft,
    ConnectionOpened,
    AttemptNotice,
    AttemptEnded,
)


class ActionExecutor(Protocol):
    """Executes the actions that the decision module returns."""

    def execute(self, action: Action) -> None:
        """Executes one action."""
        ...

    def abandon_request(self, request: str) -> None:
        """Fails a request after an error in handling one of its events, unless its session is established."""
        ...


class DecisionPort:
    """Passes events to the decision module, and has the returned actions executed in order."""

    _executor: ActionExecutor

    def __init__(self, balancer: Balancer, loop_time: LoopTime, log: EventLog) -> None:
        self._balancer, self._loop_time, self._log = balancer, loop_time, log

    def connect(self, executor: ActionExecutor) -> None:
        """Sets the executor of the actions; called once, before the first event."""
        self._executor = executor

    def feed(self, event: Event) -> None:
        """Passes one event with the time of the current iteration, and executes the resulting actions."""
        try:
            actions = self._balancer.handle(self._loop_time.now_us, event)
        except Exception:
            # A fault in the decision module must not end the node and the sessions of all its clients.
            self._log("fault", event=type(event).__name__, trace=traceback.format_exc())
            if isinstance(event, REQUEST_EVENTS):
                self._executor.abandon_request(event.request)
            return
        for action in actions:
            try:
                self._executor.execute(action)
            except Exception:
                # A fault of one front while executing an action must not end the node either.
                self._log("fault", action=type(action).__name__, trace=traceback.format_exc())
