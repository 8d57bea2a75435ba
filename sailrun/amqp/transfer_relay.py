"""Forwards the transfers of one direction of an established link, with their credit and outcomes."""

from __future__ import annotations

from collections.abc import Callable

import proton

from sailrun.amqp.engine import CHUNK_BYTES, Engine

# How many bytes may wait to be written to the receiving side before no more are read from the sending side.
MAX_PENDING_BYTES = 64 * 1024


class TransferRelay:
    """Forwards transfers from `inbound` to `outbound` frame by frame.

    The sending side gets only the credit that the receiving side has granted, so every transfer that arrives
    can be forwarded. Each transfer gets one terminal outcome. If the receiving side has not set one by the
    end of the session, this node does: `released` if the last frame was not forwarded, because the transfer
    cannot have been processed then, and otherwise `modified` with delivery-failed.
    """

    def __init__(
        self,
        inbound: proton.Receiver,
        outbound: proton.Sender,
        inbound_engine: Engine,
        outbound_engine: Engine,
        on_forwarded: Callable[[], None],
        on_outcome: Callable[[], None],
    ) -> None:
        self.inbound, self.outbound = inbound, outbound
        self._inbound_engine, self._outbound_engine = inbound_engine, outbound_engine
        self._on_forwarded, self._on_outcome = on_forwarded, on_outcome
        self._transfer_count = 0
        self._partial: tuple[proton.Delivery, proton.Delivery] | None = None
        self._unsettled: dict[str, tuple[proton.Delivery, proton.Delivery]] = {}
        self._finished = False

    @property
    def is_idle(self) -> bool:
        """Whether no transfer is incomplete or waits for its outcome."""
        return self._partial is None and not self._unsettled

    def forward_credit(self) -> None:
        """Forwards the credit of the receiving side, and its drain request."""
        if self._finished:
            return
        additional_credit = self.outbound.credit - self.inbound.credit
        if self.outbound.drain_mode:
            if not self.inbound.drain_mode:
                self.inbound.drain(max(0, additional_credit))
            elif not self.inbound.draining():
                # The sending side has sent what it had and has returned the remaining credit.
                self.outbound.drained()
        elif additional_credit > 0 or self.inbound.drain_mode:
            self.inbound.drain_mode = False
            self.inbound.flow(max(0, additional_credit))
        self._inbound_engine.dispatch_events()
        self._outbound_engine.dispatch_events()

    def forward_transfers(self) -> None:
        """Forwards the received frames until too many bytes wait to be written to the receiving side."""
        while not self._finished and (delivery := self.inbound.current) is not None:
            if self.outbound.session.outgoing_bytes > MAX_PENDING_BYTES:
                break  # called again as soon as bytes have been written
            if delivery.partial and not delivery.readable and not delivery.aborted:
                break
            if self._partial is None:
                if delivery.aborted:
                    delivery.settle()
                    continue
                self._transfer_count += 1
                self._partial = (delivery, self.outbound.delivery(str(self._transfer_count)))
            forwarded = self._partial[1]
            if delivery.aborted:
                self._partial = None
                forwarded.abort()
                delivery.settle()
                continue
            while data := self.inbound.recv(CHUNK_BYTES):
                self.outbound.stream(data)
            if delivery.partial:
                break
            self._partial = None
            self.outbound.advance()
            self.inbound.advance()
            if delivery.settled:
                forwarded.settle()
                delivery.settle()
            else:
                self._unsettled[forwarded.tag] = (delivery, forwarded)
                self._on_forwarded()
        self._outbound_engine.dispatch_events()
        self.forward_credit()

    def update_outcome(self, forwarded: proton.Delivery) -> None:
        """Handles a state that the receiving side has set for a transfer, and forwards a terminal outcome."""
        state = forwarded.remote_state
        terminal = state in (
            proton.Delivery.ACCEPTED,
            proton.Delivery.REJECTED,
            proton.Delivery.RELEASED,
            proton.Delivery.MODIFIED,
        )
        if not terminal and not forwarded.settled:
            return  # `received` states the progress; it is not an outcome
        deliveries = self._unsettled.pop(forwarded.tag, None)
        if deliveries is None:
            return
        delivery = deliveries[0]
        self._on_outcome()
        if not terminal:
            # Settled without an outcome: the receiving side has the whole transfer and may have processed it.
            self._mark_possibly_processed(delivery)
        else:
            if state == proton.Delivery.MODIFIED:
                delivery.local.failed = forwarded.remote.failed
                delivery.local.undeliverable = forwarded.remote.undeliverable
            elif state == proton.Delivery.REJECTED and forwarded.remote.condition is not None:
                delivery.local.condition = forwarded.remote.condition
            delivery.update(state)
            delivery.settle()
        forwarded.settle()
        self._inbound_engine.dispatch_events()
        self._outbound_engine.dispatch_events()

    def settled_by_sender(self, delivery: proton.Delivery) -> None:
        """Settles a transfer that the sending side has settled itself, so that it needs no outcome."""
        for tag, (inbound_delivery, forwarded) in list(self._unsettled.items()):
            if inbound_delivery == delivery:
                del self._unsettled[tag]
                forwarded.settle()
                inbound_delivery.settle()
                self._outbound_engine.dispatch_events()

    @staticmethod
    def _mark_possibly_processed(delivery: proton.Delivery) -> None:
        delivery.local.failed = True
        delivery.update(proton.Delivery.MODIFIED)
        delivery.settle()

    def finish(self) -> None:
        """Gives every transfer without an outcome its outcome, because the session ends."""
        if self._finished:
            return
        self._finished = True
        if self._partial is not None:
            delivery, forwarded = self._partial
            forwarded.abort()
            delivery.update(proton.Delivery.RELEASED)
            delivery.settle()
            self._partial = None
        for delivery, forwarded in self._unsettled.values():
            self._mark_possibly_processed(delivery)
            forwarded.settle()
        self._unsettled.clear()
        # Transfers that were received after these and not forwarded cannot have been processed.
        while (unread := self.inbound.current) is not None:
            unread.update(proton.Delivery.RELEASED)
            unread.settle()
