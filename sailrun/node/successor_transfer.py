"""Transfers established sessions to the successor of this process, some at a time."""

from __future__ import annotations

from collections import deque

from sailrun.node.backend_list import BackendList
from sailrun.node.draining import ShutdownController
from sailrun.node.form_server_monitor import FormServerMonitors
from sailrun.node.session import FormSession
from sailrun.node.session_transfer import MAX_UNSETTLED_TRANSFERS, SendTransfer, SessionTransfer
from sailrun.node.shutdown import ShutdownPlans, ShutdownReason


class SuccessorTransfer:
    """Transfers sessions to the successor while there is one. The others are served meanwhile."""

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
        self._waiting: deque[FormSession] = deque()
        self._sent: list[SessionTransfer] = []

    @property
    def has_waiting(self) -> bool:
        """Whether a session waits to be offered a transfer."""
        return bool(self._waiting)

    def set_successor(self, send: SendTransfer | None) -> None:
        """Begins the handover to a successor, which accepts the clients from now on; `send` transfers
        established sessions to it. None: the successor is gone, and this process serves the clients again.
        """
        self._send = send
        self._waiting.clear()
        if send is None:
            self._shutdown.on_successor_lost()
            return
        self._shutdown.begin(ShutdownReason.SUCCEEDED)
        self._waiting.extend(self._monitors.list_unmoved_sessions())

    def add(self, session: FormSession) -> None:
        """A session was established: it is transferred in its turn if there is a successor."""
        if self._send is not None:
            self._waiting.append(session)

    def offer_waiting(self) -> None:
        """Offers transfers to the next sessions while few are unsettled; called in each turn of the event
        loop. A session reads nothing from its offer on, so the others must not wait in that state.
        """
        if not self._waiting:
            return
        self._sent = [transfer for transfer in self._sent if not transfer.settled.is_set()]
        for _ in range(MAX_UNSETTLED_TRANSFERS - len(self._sent)):
            if not self._waiting:
                return
            self._offer(self._waiting.popleft())

    def _offer(self, session: FormSession) -> None:
        """Transfers an established session unless it has ended or is to be moved.

        Sessions that a drain of this node or of their form server moves away are not transferred: this
        process moves them, because the time limit of the drain is already running.
        """
        if (
            not session.is_established
            or session.move_reason is not None
            or ShutdownReason.DRAIN in self._plans
            or session.placement is None
        ):
            return
        form_server = self._backends.get(session.placement.form_server.number)
        if form_server is not None and self._backends.accepts_sessions(form_server):
            session.client.transfer(self._send_and_count)

    def _send_and_count(self, transfer: SessionTransfer) -> None:
        if self._send is None:
            transfer.settle(False)
            return
        self._sent.append(transfer)
        self._send(transfer)
