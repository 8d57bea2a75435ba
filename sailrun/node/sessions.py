"""The form sessions of this node: their requests, attempts, answers, moves and ends."""

from __future__ import annotations

import math

from sailrun.decisions.actions import DenialReason, MoveReason, SlowStartAllowance, StartAttempt
from sailrun.decisions.events import (
    AttemptEnded,
    AttemptNotice,
    AttemptOutcome,
    BackendState,
    ClientLeft,
    ConnectionOpened,
    ConnectionResumed,
    NoticeKind,
    RequestArrived,
)
from sailrun.node.backend_list import BackendList
from sailrun.node.clock import LoopTime
from sailrun.node.command_queue import CommandQueue
from sailrun.node.counters import Counters
from sailrun.node.decision_port import DecisionPort
from sailrun.node.fault_barrier import FaultBarrier
from sailrun.node.form_server_monitor import FormServerMonitors
from sailrun.node.ports import EventLog
from sailrun.node.rebalancer_port import RebalancerPort
from sailrun.node.session import FormServer, FormSession, Placement
from sailrun.node.successor_transfer import SuccessorTransfer

# Outcomes of an attempt that had no effect at its form server.
NEVER_RAN = (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)


class SessionManager:
    """All sessions from their request to their end, by id.

    A session that was established before this node started is resumed at the same form server without a
    decision of the decision module, which is notified only once the session is established again.
    """

    def __init__(
        self,
        loop_time: LoopTime,
        queue: CommandQueue,
        decisions: DecisionPort,
        backends: BackendList,
        monitors: FormServerMonitors,
        successor: SuccessorTransfer,
        rebalancer: RebalancerPort,
        counters: Counters,
        barrier: FaultBarrier,
        log: EventLog,
    ) -> None:
        self._loop_time, self._queue, self._decisions, self._backends = loop_time, queue, decisions, backends
        self._monitors, self._successor, self._rebalancer = monitors, successor, rebalancer
        self._counters, self._barrier, self._log = counters, barrier, log
        self._sessions: dict[str, FormSession] = {}

    def __len__(self) -> int:
        return len(self._sessions)

    def list_pending(self) -> list[FormSession]:
        """Returns the sessions whose request has no final answer yet."""
        return [session for session in self._sessions.values() if not session.is_answered]

    # ------------------------------------------------------------------ requests

    def on_request(self, session: FormSession) -> None:
        """A client requests a form session."""
        self._sessions[session.id] = session
        if session.resumed_at is not None:
            self._resume_at(session, session.resumed_at)
            return
        self._rebalancer.on_request(session.is_returning)
        self._decisions.feed(
            RequestArrived(
                session.id,
                session.request_class,
                max(0, session.deadline_us - self._loop_time.now_us),
                session.key,
                session.group,
                session.tenant,
                session.load_hint,
                session.is_retry,
                returning=session.is_returning,
            )
        )

    def _resume_at(self, session: FormSession, name: str) -> None:
        form_server = self._backends.find(name)
        if form_server is None:
            self._end(session)
            self._fail(session)
        else:
            self._place(session, form_server, session.deadline_us)

    def on_client_left(self, session: FormSession) -> None:
        """The client has left before its session was established."""
        if session.is_answered:
            return
        self._end(session)
        if session.resumed_at is None:
            self._decisions.feed(ClientLeft(session.id))

    # ------------------------------------------------------------------ attempts

    def start_attempt(self, action: StartAttempt) -> None:
        """Begins an attempt through the session's front, unless the request was answered meanwhile."""
        session = self._sessions.get(action.request)
        if session is None or session.is_answered:
            return
        form_server = self._backends.get(action.backend)
        if form_server is None:
            self._end_unlisted_attempt(session, action.until_us)
            return
        if action.slow_start is not None:
            self._log_slow_start(session, form_server, action.slow_start)
        until_us = min(action.until_us or session.deadline_us, session.deadline_us)
        self._place(session, form_server, until_us, action.begin_by_us)

    def _end_unlisted_attempt(self, session: FormSession, until_us: int) -> None:
        unlisted = FormServer("unlisted", ("", 0), BackendState.GONE)
        session.placement = Placement(unlisted, session.attempts, until_us)
        session.attempts += 1
        self._queue.post(self.on_attempt_ended, session, session.placement, AttemptOutcome.NOT_SENT)

    def _place(
        self, session: FormSession, form_server: FormServer, until_us: int, begin_by_us: float = math.inf
    ) -> None:
        session.placement = Placement(form_server, session.attempts, until_us, begin_by_us)
        session.attempts += 1
        session.client.start_attempt(session.placement)

    def _log_slow_start(
        self, session: FormSession, form_server: FormServer, allowance: SlowStartAllowance
    ) -> None:
        """Logs each attempt at a form server in slow start, so that the attempts of all nodes there can be
        summed from these lines alone.
        """
        self._log(
            "slow-start-send",
            id=session.id,
            server=form_server.name,
            share=round(allowance.share, 3),
            sent=allowance.sent,
            part=round(allowance.part, 3),
            weight=round(allowance.weight, 4),
            capacity=round(allowance.capacity, 4),
            fills=round(allowance.connections, 1),
        )

    def cancel_attempt(self, request: str, attempt: int) -> None:
        """Cancels an attempt through the session's front, unless the session is established."""
        session = self._sessions.get(request)
        if session is not None and not session.is_established:
            session.client.cancel_attempt(attempt)

    def on_established(self, session: FormSession, placement: Placement, latency_us: int) -> None:
        """An attempt has succeeded, `latency_us` after it began."""
        number = placement.form_server.number
        session.is_established = session.is_answered = True
        self._counters.classes[session.request_class].success += 1
        self._monitors.add_session(session, number)
        is_resumed = session.resumed_at is not None
        if is_resumed:
            self._feed_resumed(session, number)
        else:
            self._decisions.feed(ConnectionOpened(session.id, placement.attempt, number, latency_us))
        self._successor.add(session)
        has_returned = session.is_returning and not is_resumed
        self._rebalancer.on_established(session, number, has_returned, None if is_resumed else latency_us)

    def on_attempt_ended(self, session: FormSession, placement: Placement, outcome: AttemptOutcome) -> None:
        """An attempt has ended, or the connection that it established."""
        if session.placement is not placement:
            return  # already treated as ended, for example because its form server became unresponsive
        number = placement.form_server.number
        was_established = session.is_established
        if was_established:
            self._monitors.remove_session(session, number)
            session.is_established = False
            self._rebalancer.on_ended(session, outcome)
        elif outcome is AttemptOutcome.REJECTED:
            self._rebalancer.on_attempt_rejected(number)
        session.placement = None
        if outcome not in NEVER_RAN:
            session.may_have_run = True
        is_over = session.is_answered or outcome is AttemptOutcome.OK
        if is_over:
            self._finish(session)
        else:
            self._log_failed_attempt(session, placement, outcome)
            if session.resumed_at is not None:
                self._end(session)
                self._fail(session)
                return
        if session.resumed_at is None or was_established:
            self._decisions.feed(AttemptEnded(session.id, placement.attempt, number, outcome, is_over))

    def _finish(self, session: FormSession) -> None:
        """Ends a request. One without a final answer so far counts as a success: the form server served it
        and ended it with its first answer.
        """
        if not session.is_answered:
            self._counters.classes[session.request_class].success += 1
        self._end(session)

    def _log_failed_attempt(
        self, session: FormSession, placement: Placement, outcome: AttemptOutcome
    ) -> None:
        self._log(
            "attempt-failed",
            id=session.id,
            server=placement.form_server.name,
            attempt=placement.attempt,
            outcome=outcome.value,
        )

    # ------------------------------------------------------------------ established sessions

    def on_load_reported(self, session: FormSession, load: float) -> None:
        """The form server has reported the session's load, in microseconds of work a second."""
        if session.placement is not None and session.is_established:
            number = session.placement.form_server.number
            self._decisions.feed(
                AttemptNotice(session.id, session.placement.attempt, number, NoticeKind.LOAD, load)
            )
            self._rebalancer.on_load_reported(session, load)

    def adopt(self, session: FormSession, placement: Placement) -> None:
        """Takes over a session that was established by the predecessor."""
        number = placement.form_server.number
        self._sessions[session.id] = session
        session.placement, session.attempts = placement, placement.attempt + 1
        session.is_established = session.is_answered = session.may_have_run = True
        monitor = self._monitors.add_session(session, number)
        monitor.failure_detector.last_received_us = self._loop_time.now_us
        self._feed_resumed(session, number)
        self._rebalancer.on_established(session, number, True, None)
        form_server = self._backends.get(number)
        if form_server is None or not self._backends.accepts_sessions(form_server):
            self.move(session.id, MoveReason.DRAINING)

    def _feed_resumed(self, session: FormSession, number: int) -> None:
        self._decisions.feed(
            ConnectionResumed(
                session.id,
                session.request_class,
                number,
                session.key,
                session.group,
                session.tenant,
                session.load_hint,
            )
        )

    def move(self, request: str, reason: MoveReason) -> None:
        """Asks the client of an established session to reconnect elsewhere, unless it was asked before."""
        session = self._sessions.get(request)
        if session is not None and session.is_established and session.move_reason is None:
            self.move_session(session, reason)

    def move_session(self, session: FormSession, reason: MoveReason) -> None:
        """Asks the client of an established session to reconnect elsewhere, and counts the move."""
        session.move_reason = reason
        self._counters.moves[reason] += 1
        self._barrier.run("move", session.client.move)

    # ------------------------------------------------------------------ final answers

    def reject_request(self, request: str, reason: DenialReason | None, retry_after_us: int) -> None:
        """Rejects a request, which had no effect, unless it already has its final answer."""
        session = self._end_unanswered(request)
        if session is not None:
            session.denial_reason = reason
            self._reject(session, retry_after_us)
            self._rebalancer.on_rejected()

    def fail_request(self, request: str, reason: DenialReason | None) -> None:
        """Fails a request, unless it already has its final answer."""
        session = self._end_unanswered(request)
        if session is not None:
            session.denial_reason = reason
            self._fail(session)

    def abandon_request(self, request: str) -> None:
        """Fails a request after an error in handling one of its events, unless its session is established."""
        session = self._sessions.get(request)
        if session is not None:
            self.abandon_session(session)

    def abandon_session(self, session: FormSession) -> None:
        """Ends a session after an error in handling one of its commands: a request that waits for its answer
        fails. An established session continues, because its lines do not pass through the node's loop.
        """
        if session.is_established or session.is_answered:
            return
        self._end(session)
        self._decisions.feed(ClientLeft(session.id))
        self._fail(session)

    def deny_for_shutdown(self, session: FormSession) -> None:
        """Gives a pending request its final answer because a shutdown plan requires it."""
        self._end(session)
        self._decisions.feed(ClientLeft(session.id))
        session.denial_reason = DenialReason.SHUTDOWN
        if session.may_have_run or session.placement is not None:
            self._fail(session)
        else:
            self._reject(session, 0)

    def _end_unanswered(self, request: str) -> FormSession | None:
        session = self._sessions.get(request)
        if session is None or session.is_answered:
            return None
        self._end(session)
        return session

    def _end(self, session: FormSession) -> None:
        session.is_answered = True
        self._sessions.pop(session.id, None)

    def _reject(self, session: FormSession, retry_after_us: int) -> None:
        self._counters.classes[session.request_class].busy += 1
        session.client.reject(retry_after_us)

    def _fail(self, session: FormSession) -> None:
        self._counters.classes[session.request_class].failure += 1
        session.client.fail()
