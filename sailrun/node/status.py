"""The periodic status line in the log, which on-call engineers check first."""

from __future__ import annotations

from sailrun.node.backend_list import BackendList
from sailrun.node.clock import LoopTime
from sailrun.node.counters import Counters
from sailrun.node.fleet_load import FleetLoadExchange
from sailrun.node.form_server_monitor import FormServerMonitors
from sailrun.node.ports import EventLog
from sailrun.node.sessions import SessionManager

STATUS_INTERVAL_US = 10_000_000


class StatusReporter:
    """Logs the number of sessions at each form server and its message latency."""

    def __init__(
        self,
        loop_time: LoopTime,
        sessions: SessionManager,
        monitors: FormServerMonitors,
        backends: BackendList,
        fleet_load: FleetLoadExchange,
        counters: Counters,
        log: EventLog,
    ) -> None:
        self._loop_time, self._sessions, self._monitors, self._backends = (
            loop_time,
            sessions,
            monitors,
            backends,
        )
        self._fleet_load, self._counters, self._log = fleet_load, counters, log
        self._due_us = loop_time.now_us + STATUS_INTERVAL_US

    def log_if_due(self) -> None:
        """Logs the status line if `STATUS_INTERVAL_US` has passed since the last one."""
        if self._loop_time.now_us >= self._due_us:
            self._due_us = self._loop_time.now_us + STATUS_INTERVAL_US
            self._log_status()

    def _log_status(self) -> None:
        form_servers = ",".join(self._describe_form_servers())
        moved = ",".join(f"{reason.value}:{count}" for reason, count in self._counters.moves.items())
        self._log(
            "pulse",
            waiting=len(self._sessions.list_pending()),
            standing=form_servers or "none",
            moved=moved or None,
            fleet=self._fleet_load.describe(),
        )

    def _describe_form_servers(self) -> list[str]:
        """NAME:SESSIONS/LATENCY of each form server with sessions; LATENCY is `-` if it is unknown."""
        described = []
        for number, monitor in sorted(self._monitors.list_monitors(), key=lambda item: item[0]):
            if monitor.sessions:
                latency_us = monitor.latency_us(self._loop_time.now_us)
                latency = f"{latency_us / 1000:.1f}ms" if latency_us is not None else "-"
                described.append(f"{self._backends.name_of(number)}:{len(monitor.sessions)}/{latency}")
        return described
