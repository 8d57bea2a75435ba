"""Acts on observations of form servers: moves the sessions of unresponsive ones, and reports latencies."""

from __future__ import annotations

from sailrun.decisions.actions import MoveReason
from sailrun.decisions.events import AttemptNotice, AttemptOutcome, NoticeKind
from sailrun.node.backend_list import BackendList
from sailrun.node.clock import LoopTime
from sailrun.node.decision_port import DecisionPort
from sailrun.node.fault_barrier import FaultBarrier
from sailrun.node.form_server_monitor import FormServerMonitor, FormServerMonitors
from sailrun.node.ports import EventLog
from sailrun.node.session import FormSession
from sailrun.node.sessions import SessionManager


class FormServerSupervisor:
    """Checks the monitors in each sweep, and handles the latencies that form servers report."""

    def __init__(
        self,
        loop_time: LoopTime,
        monitors: FormServerMonitors,
        sessions: SessionManager,
        backends: BackendList,
        decisions: DecisionPort,
        latency_threshold_us: float,
        barrier: FaultBarrier,
        log: EventLog,
    ) -> None:
        """`latency_threshold_us`: latencies over this are reported to the decision module; 0: none are."""
        self._loop_time, self._monitors, self._sessions = loop_time, monitors, sessions
        self._backends, self._decisions, self._log = backends, decisions, log
        self._latency_threshold_us, self._barrier = latency_threshold_us, barrier

    def sweep(self) -> None:
        """Checks the active monitors, and deactivates those that are idle."""
        for number, monitor in self._monitors.list_active():
            self._barrier.run("monitor", self._check, number, monitor)

    def _check(self, number: int, monitor: FormServerMonitor) -> None:
        self._end_unresponsive_sessions(number, monitor)
        self._report_latency(number, monitor)
        if monitor.is_idle():
            self._monitors.deactivate(number)

    def _end_unresponsive_sessions(self, number: int, monitor: FormServerMonitor) -> None:
        unresponsive = monitor.find_unresponsive_sessions(self._loop_time.now_us)
        for session in unresponsive:
            # Notifies the decision module of all these sessions at the same time, so that it recognizes that
            # they ended together.
            self._sessions.move_session(session, MoveReason.UNRESPONSIVE)
            if session.placement is not None:
                self._sessions.on_attempt_ended(session, session.placement, AttemptOutcome.RESET)
        if unresponsive:
            self._log("silent", server=self._backends.name_of(number), moved=len(unresponsive))

    def _report_latency(self, number: int, monitor: FormServerMonitor) -> None:
        was_slow = monitor.latency.is_slow
        latency_ms = monitor.poll_latency_report(self._loop_time.now_us, self._latency_threshold_us)
        if latency_ms is None:
            return
        is_slow = monitor.latency.is_slow
        if is_slow is not was_slow:
            self._log_latency(number, is_slow, latency_ms)
        # A notice has to name a session; any session with a placement represents the form server.
        session = next((s for s in monitor.sessions.values() if s.placement is not None), None)
        if session is not None and session.placement is not None:
            attempt = session.placement.attempt
            self._decisions.feed(AttemptNotice(session.id, attempt, number, NoticeKind.DELAY, latency_ms))

    def on_latency_reported(self, session: FormSession, latency_ms: float) -> None:
        """The session's form server has reported its message latency."""
        if session.placement is None or not session.is_established:
            return
        number, attempt = session.placement.form_server.number, session.placement.attempt
        is_slow = latency_ms * 1000 > self._latency_threshold_us
        if self._monitors.monitor_of(number).latency.on_reported(self._loop_time.now_us, is_slow):
            self._log_latency(number, is_slow, latency_ms)
        self._decisions.feed(AttemptNotice(session.id, attempt, number, NoticeKind.DELAY, latency_ms))

    def _log_latency(self, number: int, is_slow: bool, latency_ms: float) -> None:
        event = "slow" if is_slow else "quick-again"
        self._log(event, server=self._backends.name_of(number), ms=round(latency_ms, 1))
