"""Passes events to the decision module, and the resulting actions to an executor."""

from __future__ import annotations

from typing import Protocol

from sailrun.decisions.actions import Action, CancelAttempt, FailRequest, RejectRequest, StartAttempt
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
from sailrun.node.fault_barrier import FaultBarrier

# Events that belong to one request, whose id is in their field `request`.
REQUEST_EVENTS = (
    RequestArrived,
    ConnectionResumed,
    ClientLeft,
    ConnectionOpened,
    AttemptNotice,
    AttemptEnded,
)
# Actions that belong to one request, likewise.
REQUEST_ACTIONS = (StartAttempt, RejectRequest, FailRequest, CancelAttempt)


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

    def __init__(self, balancer: Balancer, loop_time: LoopTime, barrier: FaultBarrier) -> None:
        self._balancer, self._loop_time, self._barrier = balancer, loop_time, barrier

    def connect(self, executor: ActionExecutor) -> None:
        """Sets the executor of the actions; called once, before the first event."""
        self._executor = executor

    def feed(self, event: Event) -> None:
        """Passes one event with the time of the current iteration, and executes the resulting actions."""
        try:
            actions = self._balancer.handle(self._loop_time.now_us, event)
        except Exception:
            # A fault in the decision module must not end the node and the sessions of all its clients.
            self._barrier.record("decision", event=type(event).__name__)
            if isinstance(event, REQUEST_EVENTS):
                self._barrier.run("abandon", self._executor.abandon_request, event.request)
            return
        for action in actions:
            try:
                self._executor.execute(action)
            except Exception:
                # A fault of one front while executing an action must not end the node either. The request
                # would wait for the action's effect without an end, so it gets its final answer.
                self._barrier.record("action", action=type(action).__name__)
                if isinstance(action, REQUEST_ACTIONS):
                    self._barrier.run("abandon", self._executor.abandon_request, action.request)
