"""The connection and link to a form server that run one session."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio
import proton

from sailrun.amqp.engine import AmqpSettings, Engine
from sailrun.amqp.request import MOVED, NO_TERMINUS, REFUSED, TIME_LEFT
from sailrun.amqp.transfer_relay import TransferRelay
from sailrun.connection import Connection
from sailrun.decisions.events import AttemptOutcome

# How long a graceful close waits for the end of the session before it closes the TCP connection.
DETACH_TIMEOUT_US = 1_000_000


class FormServerLink:
    """The connection and link to a form server, used by one attempt only."""

    def __init__(self, now_us: Callable[[], int], settings: AmqpSettings, connection: Connection) -> None:
        self._now_us = now_us
        self.engine = Engine(connection, settings, self._handle_event, is_server=False)
        self.link: Any = None
        self.answered = anyio.Event()  # attached, refused or broken
        self.ended = anyio.Event()
        self.outcome = AttemptOutcome.RESET
        self.relays: list[TransferRelay] = []
        self._is_refused = False

    def attach(self, client_link: Any, time_left_ms: int) -> None:
        """Requests the session with the client's attach, in which only the time left is replaced."""
        self.engine.amqp_connection.open()
        session = self.engine.amqp_connection.session()
        self.engine.open_session(session)
        # If the client sends, this node receives on the client's link and sends on the form server's.
        self.link = (session.sender if client_link.is_receiver else session.receiver)(client_link.name)
        self.link.source.copy(client_link.remote_source)
        self.link.target.copy(client_link.remote_target)
        self.link.snd_settle_mode = client_link.remote_snd_settle_mode
        self.link.rcv_settle_mode = client_link.remote_rcv_settle_mode
        self.link.properties = {
            **(client_link.remote_properties or {}),
            proton.symbol(TIME_LEFT): time_left_ms,
        }
        self.link.open()
        self.engine.dispatch_events()

    async def run(self) -> None:
        """Relays frames until the connection to the form server ends."""
        try:
            await self.engine.run()
        finally:
            self._set_outcome(AttemptOutcome.RESET)

    def _set_outcome(self, outcome: AttemptOutcome) -> None:
        if not self.ended.is_set():
            self.outcome = outcome
            self.ended.set()
            self.answered.set()

    def _handle_event(self, event: Any) -> None:
        kind = event.type
        if kind == proton.Event.LINK_REMOTE_OPEN and event.link == self.link:
            terminus = self.link.remote_target if self.link.is_sender else self.link.remote_source
            # An attach without a terminus refuses the link; the detach that follows states the reason.
            self._is_refused = terminus.type == NO_TERMINUS
            if not self._is_refused:
                self.answered.set()
        elif kind in (proton.Event.LINK_REMOTE_CLOSE, proton.Event.LINK_REMOTE_DETACH):
            condition = event.link.remote_condition
            name = str(condition.name) if condition is not None else ""
            if name == REFUSED and not self.relays:
                self._set_outcome(AttemptOutcome.REJECTED)
            elif name == MOVED:
                self._set_outcome(AttemptOutcome.CANCELLED)
            elif name or self._is_refused:
                self._set_outcome(AttemptOutcome.ERROR)
            else:
                self._set_outcome(AttemptOutcome.OK)
        elif kind == proton.Event.CONNECTION_REMOTE_CLOSE:
            self._set_outcome(AttemptOutcome.ERROR if not self.relays else AttemptOutcome.RESET)
        elif kind == proton.Event.LINK_FLOW:
            for relay in self.relays:
                relay.forward_credit()
        elif kind == proton.Event.DELIVERY:
            dispatch_delivery(event.delivery, self.relays)

    async def close_gracefully(self, to_deadline: Callable[[int], float]) -> None:
        """Detaches the link, then closes the TCP connection once the session has ended, at the latest after
        `DETACH_TIMEOUT_US`.
        """
        self.link.close()
        self.engine.amqp_connection.close()
        self.engine.dispatch_events()
        with anyio.CancelScope(deadline=to_deadline(self._now_us() + DETACH_TIMEOUT_US)):
            await self.ended.wait()
        self.engine.abandon()


def dispatch_delivery(delivery: proton.Delivery, relays: list[TransferRelay]) -> None:
    """Passes a delivery's frames or outcome to the relay of its link."""
    for relay in relays:
        if delivery.link == relay.inbound:
            if delivery.updated and delivery.settled and not delivery.partial and not delivery.readable:
                relay.settled_by_sender(delivery)
            relay.forward_transfers()
        elif delivery.link == relay.outbound and delivery.updated:
            relay.update_outcome(delivery)
