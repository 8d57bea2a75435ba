"""The established sessions of each form server, and observations of their traffic."""

from __future__ import annotations

from collections.abc import Iterator

from sailrun.node.clock import Clock
from sailrun.node.failure_detector import FailureDetector
from sailrun.node.message_latency import MessageLatency
from sailrun.node.session import FormSession


class FormServerMonitor:
    """One form server: its established sessions by id, its message latency, and its failure detector."""

    __slots__ = ("failure_detector", "latency", "sessions")

    def __init__(self) -> None:
        self.sessions: dict[str, FormSession] = {}
        self.latency = MessageLatency()
        self.failure_detector = FailureDetector()

    def pending_since_us(self) -> list[int]:
        """Returns the send time of the oldest unanswered line of each session that awaits an answer."""
        return [s.unanswered_since_us[0] for s in self.sessions.values() if s.unanswered_since_us]

    def latency_us(self, now_us: int) -> int | None:
        """Returns the current median message latency in microseconds; None if there are no observations."""
        return self.latency.median_us(now_us, self.pending_since_us())

    def poll_latency_report(self, now_us: int, threshold_us: float) -> float | None:
        """Returns the latency to report in milliseconds; None if there is nothing to report now."""
        if not self.latency.is_report_due(now_us, threshold_us):
            return None
        return self.latency.poll_report(now_us, threshold_us, self.pending_since_us())

    def find_unresponsive_sessions(self, now_us: int) -> list[FormSession]:
        """Returns the sessions to which the form server no longer responds."""
        return self.failure_detector.find_unresponsive(now_us, self.sessions.values())

    def is_idle(self) -> bool:
        """Returns whether there is nothing to observe until a client sends another line."""
        return self.latency.is_idle and not any(s.unanswered_since_us for s in self.sessions.values())


class FormServerMonitors:
    """The monitors of all form servers that have or had a session here, by number."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._monitors: dict[int, FormServerMonitor] = {}
        self._active: dict[int, FormServerMonitor] = {}  # the monitors that a sweep has to check

    # ------------------------------------------------------------------ traffic, reported by the fronts

    def on_line_forwarded(self, session: FormSession) -> None:
        """A client's line was forwarded to its form server."""
        session.unanswered_since_us.append(self._clock.now_us())
        if session.placement is not None:
            number = session.placement.form_server.number
            self._active[number] = self._get_or_create(number)

    def on_bytes_received(self, session: FormSession) -> None:
        """Some bytes were received from the session's form server, whether a complete line or not."""
        if session.placement is not None:
            monitor = self._monitors.get(session.placement.form_server.number)
            if monitor is not None:
                monitor.failure_detector.last_received_us = self._clock.now_us()

    def on_line_answered(self, session: FormSession) -> None:
        """The form server answered the oldest of a client's unanswered lines."""
        if not session.unanswered_since_us or session.placement is None:
            return
        now_us = self._clock.now_us()
        latency_us = now_us - session.unanswered_since_us.popleft()
        monitor = self._monitors.get(session.placement.form_server.number)
        if monitor is not None:
            monitor.latency.record(now_us, latency_us)

    # ------------------------------------------------------------------ sessions

    def add_session(self, session: FormSession, number: int) -> FormServerMonitor:
        """Adds a session that is established at a form server; returns that form server's monitor."""
        monitor = self._get_or_create(number)
        monitor.sessions[session.id] = session
        if session.unanswered_since_us:
            self._active[number] = monitor
        return monitor

    def _get_or_create(self, number: int) -> FormServerMonitor:
        monitor = self._monitors.get(number)
        if monitor is None:
            monitor = self._monitors[number] = FormServerMonitor()
        return monitor

    def remove_session(self, session: FormSession, number: int) -> None:
        """Removes an established session that has ended."""
        self._monitors[number].sessions.pop(session.id, None)

    def count_sessions(self) -> int:
        """Returns the number of established sessions, including those that are being moved."""
        return sum(len(monitor.sessions) for monitor in self._monitors.values())

    def iterate_sessions(self) -> Iterator[tuple[int, FormSession]]:
        """Yields all established sessions, each with its form server's number."""
        for number, monitor in self._monitors.items():
            for session in monitor.sessions.values():
                yield number, session

    def list_unmoved_sessions(self) -> list[FormSession]:
        """Returns the established sessions that are not being moved."""
        return [session for _, session in self.iterate_sessions() if session.move_reason is None]

    # ------------------------------------------------------------------ monitors

    def monitor_of(self, number: int) -> FormServerMonitor:
        """Returns the monitor of a form server that has or had a session here; KeyError for any other."""
        return self._monitors[number]

    def list_monitors(self) -> list[tuple[int, FormServerMonitor]]:
        """Returns all monitors with their form servers' numbers, in the order in which the monitors were
        created.
        """
        return list(self._monitors.items())

    def list_active(self) -> list[tuple[int, FormServerMonitor]]:
        """Returns the monitors that a sweep has to check, with their form servers' numbers."""
        return list(self._active.items())

    def deactivate(self, number: int) -> None:
        """Excludes a monitor from the sweeps until a client sends another line."""
        del self._active[number]

    def list_responsive(self, since_us: int) -> list[int]:
        """Returns the numbers of the form servers from which anything was received after `since_us`."""
        return [n for n, m in self._monitors.items() if m.failure_detector.last_received_us > since_us]
