"""Begins and ends the shutdown plans for a planned restart, a drain, or a successor."""

from __future__ import annotations

from sailrun.node.clock import LoopTime
from sailrun.node.form_server_monitor import FormServerMonitors
from sailrun.node.ports import EventLog
from sailrun.node.rebalancer_port import RebalancerPort
from sailrun.node.shutdown import ShutdownPlans, ShutdownReason


class ShutdownController:
    """Begins and ends the plans, logs each begin and end, and notifies the rebalancer."""

    def __init__(
        self,
        loop_time: LoopTime,
        plans: ShutdownPlans,
        monitors: FormServerMonitors,
        rebalancer: RebalancerPort,
        log: EventLog,
    ) -> None:
        self._loop_time, self._plans, self._monitors = loop_time, plans, monitors
        self._rebalancer, self._log = rebalancer, log

    def begin(self, reason: ShutdownReason) -> None:
        """Begins to move all clients away, unless this has already begun for this reason."""
        if self._plans.begin(reason, self._loop_time.now_us):
            self._rebalancer.set_draining(True)
            self._log("leaving", reason=reason.value, sessions=self._count_unmoved())

    def end_drain(self) -> None:
        """Ends a drain. For the rebalancer, the node still drains while another plan is in force."""
        if self._plans.cancel(ShutdownReason.DRAIN):
            self._log("drain-over", sessions=self._count_unmoved())
            if not self._plans:
                self._rebalancer.set_draining(False)

    def on_successor_lost(self) -> None:
        """The successor is gone, and this process serves the clients again."""
        if self._plans.cancel(ShutdownReason.SUCCEEDED):
            self._log("successor-lost", sessions=self._count_unmoved())

    def _count_unmoved(self) -> int:
        return len(self._monitors.list_unmoved_sessions())
