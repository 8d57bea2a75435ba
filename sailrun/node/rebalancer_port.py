"""The interface to the rebalancer: notifies it of events, and executes the moves that it orders.

The rebalancer is optional. It is dropped after a fault of its own, so that the fault does not end the node.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from sailrun.decisions.actions import MoveReason
from sailrun.decisions.balancer import Balancer
from sailrun.decisions.events import AttemptOutcome, Backend, ListKind
from sailrun.node.clock import LoopTime
from sailrun.node.ports import EventLog, OutgoingPorts
from sailrun.node.session import FormSession

if TYPE_CHECKING:
    from sailrun.rebalance.rebalancer import Rebalancer


class RebalancerPort:
    """Calls the rebalancer, if there is one, with the time of the current iteration."""

    def __init__(self, loop_time: LoopTime, log: EventLog) -> None:
        self._loop_time, self._log = loop_time, log
        self.rebalancer: Rebalancer | None = None  # None: switched off, or dropped after a fault

    def _call(self, call: Callable[[Rebalancer], None]) -> None:
        if self.rebalancer is None:
            return
        try:
            call(self.rebalancer)
        except Exception:
            # The node continues without the rebalancer, whatever the fault.
            self._log("fault", where="rebalance", trace=traceback.format_exc())
            self.rebalancer = None

    # ------------------------------------------------------------------ notifications

    def on_request(self, is_returning: bool) -> None:
        """A client has requested a session."""
        if self.rebalancer is not None:
            self._call(lambda rebalancer: rebalancer.on_request(self._loop_time.now_us, is_returning))

    def on_rejected(self) -> None:
        """This node has rejected a request."""
        if self.rebalancer is not None:
            self._call(lambda rebalancer: rebalancer.on_rejected(self._loop_time.now_us))

    def on_attempt_rejected(self, number: int) -> None:
        """A form server has rejected an attempt."""
        if self.rebalancer is not None:
            self._call(lambda rebalancer: rebalancer.on_attempt_rejected(self._loop_time.now_us, number))

    def on_established(
        self, session: FormSession, number: int, has_returned: bool, latency_us: int | None
    ) -> None:
        """A session is established. `latency_us`: the set-up time; None: it was resumed or adopted."""
        if self.rebalancer is not None:
            self._call(
                lambda rebalancer: self._add_session(rebalancer, session, number, has_returned, latency_us)
            )

    def _add_session(
        self,
        rebalancer: Rebalancer,
        session: FormSession,
        number: int,
        has_returned: bool,
        latency_us: int | None,
    ) -> None:
        group = session.group or session.key or session.id
        rebalancer.on_established(
            self._loop_time.now_us, session.id, number, group, session.request_class, has_returned, latency_us
        )
        if session.load_hint:
            rebalancer.on_load_reported(session.id, session.load_hint)

    def on_load_reported(self, session: FormSession, load: float) -> None:
        """A form server has reported an established session's load, in microseconds of work a second."""
        if self.rebalancer is not None:
            self._call(lambda rebalancer: rebalancer.on_load_reported(session.id, load))

    def on_ended(self, session: FormSession, outcome: AttemptOutcome) -> None:
        """An established session has ended."""
        if self.rebalancer is not None:
            self._call(lambda rebalancer: rebalancer.on_ended(self._loop_time.now_us, session.id, outcome))

    def on_list_update(self, kind: ListKind, backends: Iterable[Backend]) -> None:
        """The endpoint list or changes to it have arrived; excluded form servers are shown as draining."""
        if self.rebalancer is not None:
            self._call(lambda rebalancer: rebalancer.on_list_update(self._loop_time.now_us, kind, backends))

    def on_discovery_failed(self) -> None:
        """Discovery could not get the endpoint list."""
        if self.rebalancer is not None:
            self._call(lambda rebalancer: rebalancer.on_discovery_failed(self._loop_time.now_us))

    def on_peer_message(self, peer: int, content: bytes) -> None:
        """A datagram was received from another node that is not part of the load gossip."""
        if self.rebalancer is not None:
            self._call(lambda rebalancer: rebalancer.on_peer_message(self._loop_time.now_us, peer, content))

    def set_draining(self, is_draining: bool) -> None:
        """Sets whether this node moves all its clients away because of a shutdown plan."""
        if self.rebalancer is not None:
            self._call(lambda rebalancer: rebalancer.set_draining(is_draining))

    def set_rate_share(self, share: float) -> bool:
        """Sets this node's share of the fleet's move rate, 0 to 1; returns whether a rebalancer is active."""
        self._call(lambda rebalancer: rebalancer.set_rate_share(share))
        return self.rebalancer is not None and self.rebalancer.is_active

    # ------------------------------------------------------------------ orders of the rebalancer

    def run(self, balancer: Balancer, move: Callable[[str, MoveReason], None], ports: OutgoingPorts) -> None:
        """Runs the rebalancer's check for imbalance if it is due, and executes the resulting orders."""
        self._call(lambda rebalancer: self._carry_out_orders(rebalancer, balancer, move, ports))

    def _carry_out_orders(
        self,
        rebalancer: Rebalancer,
        balancer: Balancer,
        move: Callable[[str, MoveReason], None],
        ports: OutgoingPorts,
    ) -> None:
        now_us = self._loop_time.now_us
        if not rebalancer.is_due(now_us):
            return
        orders = rebalancer.plan_moves(now_us, lambda names: balancer.choose_other_backend(now_us, names))
        for entry in orders.log_entries:
            self._log("rebalance", **entry)
        for request in orders.moves:
            move(request, MoveReason.REBALANCING)
        if orders.datagram is not None and ports.peer_transport is not None:
            ports.peer_transport.send(None, orders.datagram)

    # ------------------------------------------------------------------ switching it on and off

    def replace(
        self,
        rebalancer: Rebalancer | None,
        backends: tuple[Backend, ...],
        sessions: Iterable[tuple[int, FormSession]],
        is_draining: bool,
    ) -> None:
        """Switches to another rebalancer or switches it off, and notifies a new one of the current state.

        `sessions`: the established sessions, each with its form server's number. The new rebalancer has no
        record of which clients the old one has moved, so all of them count as returned.
        """
        old, self.rebalancer = self.rebalancer, rebalancer
        self._call(lambda new: self._transfer_state(new, old, backends, sessions, is_draining))

    def _transfer_state(
        self,
        new: Rebalancer,
        old: Rebalancer | None,
        backends: tuple[Backend, ...],
        sessions: Iterable[tuple[int, FormSession]],
        is_draining: bool,
    ) -> None:
        new.on_list_update(self._loop_time.now_us, ListKind.FULL, backends)
        for number, session in sessions:
            self._add_session(new, session, number, True, None)
            connection = old.connections.by_id.get(session.id) if old is not None else None
            if connection is not None and connection.load is not None:
                new.on_load_reported(session.id, connection.load)
        if is_draining:
            new.set_draining()
