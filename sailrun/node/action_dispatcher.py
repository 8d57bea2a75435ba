"""Dispatches the actions that the decision module returns to the parts of the node that execute them."""

from __future__ import annotations

from sailrun.decisions.actions import (
    Action,
    CancelAttempt,
    CloseIdle,
    FailRequest,
    FetchList,
    LogMessage,
    MoveConnection,
    ProbeBackend,
    RejectRequest,
    SendToPeer,
    SetTimer,
    SlowStartChanged,
    StartAttempt,
    Subscribe,
)
from sailrun.node.backend_list import BackendList
from sailrun.node.clock import LoopTime
from sailrun.node.ports import EventLog, OutgoingPorts
from sailrun.node.sessions import SessionManager
from sailrun.node.timers import TimerQueue


class ActionDispatcher:
    """The node's `ActionExecutor`."""

    def __init__(
        self,
        loop_time: LoopTime,
        sessions: SessionManager,
        backends: BackendList,
        timers: TimerQueue,
        ports: OutgoingPorts,
        connect_timeout_us: int,
        log: EventLog,
    ) -> None:
        """`connect_timeout_us`: how long a health check may take."""
        self._loop_time, self._sessions, self._backends, self._timers = loop_time, sessions, backends, timers
        self._ports, self._connect_timeout_us, self._log = ports, connect_timeout_us, log

    def abandon_request(self, request: str) -> None:
        """Fails a request after an error in handling one of its events, unless its session is established."""
        self._sessions.abandon_request(request)

    def execute(self, action: Action) -> None:
        """Executes one action; an action for a port that is not connected is ignored."""
        match action:
            case StartAttempt():
                self._sessions.start_attempt(action)
            case RejectRequest():
                self._sessions.reject_request(action.request, action.reason, action.retry_after_us)
            case FailRequest():
                self._sessions.fail_request(action.request, action.reason)
            case MoveConnection():
                self._sessions.move(action.request, action.reason)
            case CancelAttempt():
                self._sessions.cancel_attempt(action.request, action.attempt)
            case SetTimer():
                self._timers.set(self._loop_time.now_us + action.delay_us, action.token)
            case Subscribe() | FetchList() | SendToPeer() | ProbeBackend():
                self._call_port(action)
            case CloseIdle():
                pass  # no connection here is ever idle: each belongs to one form session
            case SlowStartChanged():
                self._log_slow_start(action)
            case LogMessage():
                self._log("decision", text=action.text)

    def _call_port(self, action: Subscribe | FetchList | SendToPeer | ProbeBackend) -> None:
        ports = self._ports
        match action:
            case Subscribe():
                if ports.discovery is not None:
                    ports.discovery.watch(action.active)
            case FetchList():
                if ports.discovery is not None:
                    ports.discovery.fetch()
            case SendToPeer():
                if ports.peer_transport is not None:
                    ports.peer_transport.send(action.peer, action.content)
            case ProbeBackend():
                form_server = self._backends.get(action.backend)
                if ports.health_checker is not None and form_server is not None:
                    until_us = self._loop_time.now_us + self._connect_timeout_us
                    ports.health_checker.probe(form_server, until_us)

    def _log_slow_start(self, action: SlowStartChanged) -> None:
        self._log(
            "slow-start",
            server=self._backends.name_of(action.backend),
            cause=action.reason.value,
            age_ms=action.age_us // 1000,
        )
