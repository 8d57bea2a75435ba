"""Transfers established sessions to the successor of this process."""

from __future__ import annotations

from sailrun.node.backend_list import BackendList
from sailrun.node.draining import ShutdownController
from sailrun.node.form_server_monitor import FormServerMonitors
from sailrun.node.session import FormSession
from sailrun.node.session_transfer import SendTransfer
from sailrun.node.shutdown import ShutdownPlans, ShutdownReason


class SuccessorTransfer:
    """Transfers sessions to the successor while there is one."""

    def __init__(
        self,
        backends: BackendList,
        monitors: FormServerMonitors,
        plans: ShutdownPlans,
        shutdown: ShutdownController,
    ) -> None:
        self._backends, self._monitors = backends, monitors
        self._plans, self._shutdown = plans, shutdown
        self._send: SendTransfer | None = None

    def set_successor(self, send: SendTransfer | None) -> None:
        """Begins the handover to a successor, which accepts the clients from now on; `send` transfers
        established sessions to it. None: the successor is gone, and this process serves the clients again.
        """
        self._send = send
        if send is None:
            self._shutdown.on_successor_lost()
            return
        self._shutdown.begin(ShutdownReason.SUCCEEDED)
        for session in self._monitors.list_unmoved_sessions():
            self.offer(session)

    def offer(self, session: FormSession) -> None:
        """Transfers an established session if there is a successor and the session is not to be moved.

        Sessions that a drain of this node or of their form server moves away are not transferred: this
        process moves them, because the time limit of the drain is already running.
        """
        if (
            self._send is None
            or session.move_reason is not None
            or ShutdownReason.DRAIN in self._plans
            or session.placement is None
        ):
            return
        form_server = self._backends.get(session.placement.form_server.number)
        if form_server is not None and self._backends.accepts_sessions(form_server):
            session.client.transfer(self._send)
