"""Begins and ends the plans of a graceful shutdown, a drain, or a succession."""

from __future__ import annotations

from sailrun.node.clock import TurnTime
from sailrun.node.form_server_monitor import FormServerMonitors
from sailrun.node.ports import EventLog
from sailrun.node.rebalancer_port import RebalancerPort
from sailrun.node.shutdown import ShutdownPlans, ShutdownReason


class ShutdownController:
    """Begins and ends the plans, with the log lines and what the rebalancer is notified of."""

    def __init__(
        self,
        turn: TurnTime,
        plans: ShutdownPlans,
        monitors: FormServerMonitors,
        rebalancer: RebalancerPort,
        log: EventLog,
    ) -> None:
        self._turn, self._plans, self._monitors = turn, plans, monitors
        self._rebalancer, self._log = rebalancer, log

    def begin(self, reason: ShutdownReason) -> None:
        """Begins to send all clients away, unless that has begun for this reason."""
        if self._plans.begin(reason, self._turn.now_us):
            self._rebalancer.set_draining(True)
            self._log("leaving", reason=reason.value, sessions=self._count_unmoved())

    def end_drain(self) -> None:
        """Accepts clients again, unless there is another reason not to."""
        if self._plans.cancel(ShutdownReason.DRAIN):
            self._log("drain-over", sessions=self._count_unmoved())
            if not self._plans:
                self._rebalancer.set_draining(False)

    def on_successor_lost(self) -> None:
        """The successor is gone, and the clients are this process's again."""
        if self._plans.cancel(ShutdownReason.SUCCEEDED):
            self._log("successor-lost", sessions=self._count_unmoved())

    def _count_unmoved(self) -> int:
        return len(self._monitors.list_unmoved_sessions())
