"""Transfers of one direction of a placed link, with their credit and their outcomes."""

from __future__ import annotations

from collections.abc import Callable

import proton

from sailrun.amqp.engine import CHUNK, Engine

# Bytes that may wait to be written to the far side before the near side has to wait.
HELD_BYTES = 256 * 1024


class TransferRelay:
    """Passes transfers from `inbound` to `outbound` frame by frame.

    Credit is only what the far side granted, so nothing waits here that the far side has no room for.
    Each transfer gets one terminal outcome: the far side's, or at the end of the session `released` if
    its last frame never went out, so that it cannot have run, and else `modified` with delivery-failed.
    """

    def __init__(
        self,
        inbound: proton.Receiver,
        outbound: proton.Sender,
        near: Engine,
        far: Engine,
        on_passed: Callable[[], None],
        on_outcome: Callable[[], None],
    ) -> None:
        self.inbound, self.outbound = inbound, outbound
        self._near, self._far = near, far
        self._on_passed, self._on_outcome = on_passed, on_outcome
        self._count = 0
        self._partial: tuple[proton.Delivery, proton.Delivery] | None = None
        self._waiting: dict[str, tuple[proton.Delivery, proton.Delivery]] = {}
        self._over = False

    @property
    def between_transfers(self) -> bool:
        """Whether no transfer is partway or waits for credit."""
        return self._partial is None and not self._waiting

    def grant(self) -> None:
        """Hands the far side's credit on, and a drain with it."""
        if self._over:
            return
        more = self.outbound.credit - self.inbound.credit
        if self.outbound.drain_mode:
            if not self.inbound.drain_mode:
                self.inbound.drain(max(0, more))
            elif not self.inbound.draining():
                # The near side has sent what it had and given back the rest.
                self.outbound.drained()
        elif more > 0 or self.inbound.drain_mode:
            self.inbound.drain_mode = False
            self.inbound.flow(max(0, more))
        self._near.changed()
        self._far.changed()

    def transfer(self) -> None:
        """Passes on what has come in, as far as the far side keeps up."""
        while not self._over and (delivery := self.inbound.current) is not None:
            if self.outbound.session.outgoing_bytes > HELD_BYTES:
                break  # looked at again once the far side has taken some
            if delivery.partial and not delivery.readable and not delivery.aborted:
                break
            if self._partial is None:
                if delivery.aborted:
                    delivery.settle()
                    continue
                self._count += 1
                self._partial = (delivery, self.outbound.delivery(str(self._count)))
            out = self._partial[1]
            if delivery.aborted:
                self._partial = None
                out.abort()
                delivery.settle()
                continue
            while data := self.inbound.recv(CHUNK):
                self.outbound.stream(data)
            if delivery.partial:
                break
            self._partial = None
            self.outbound.advance()
            self.inbound.advance()
            if delivery.settled:
                out.settle()
                delivery.settle()
            else:
                self._waiting[out.tag] = (delivery, out)
                self._on_passed()
        self._far.changed()
        self.grant()

    def settled(self, out: proton.Delivery) -> None:
        """The far side has said something of a transfer."""
        state = out.remote_state
        terminal = state in (
            proton.Delivery.ACCEPTED,
            proton.Delivery.REJECTED,
            proton.Delivery.RELEASED,
            proton.Delivery.MODIFIED,
        )
        if not terminal and not out.settled:
            return  # `received`: how far it has come, no outcome
        known = self._waiting.pop(out.tag, None)
        if known is None:
            return
        delivery = known[0]
        self._on_outcome()
        if not terminal:
            # Settled without an outcome: the far side had it whole, so it may have run.
            self._give_up(delivery)
        else:
            if state == proton.Delivery.MODIFIED:
                delivery.local.failed = out.remote.failed
                delivery.local.undeliverable = out.remote.undeliverable
            elif state == proton.Delivery.REJECTED and out.remote.condition is not None:
                delivery.local.condition = out.remote.condition
            delivery.update(state)
            delivery.settle()
        out.settle()
        self._near.changed()
        self._far.changed()

    def forgotten(self, delivery: proton.Delivery) -> None:
        """The near side has settled on its own: it wants no outcome any more."""
        for tag, (known, out) in list(self._waiting.items()):
            if known == delivery:
                del self._waiting[tag]
                out.settle()
                known.settle()
                self._far.changed()

    @staticmethod
    def _give_up(delivery: proton.Delivery) -> None:
        delivery.local.failed = True
        delivery.update(proton.Delivery.MODIFIED)
        delivery.settle()

    def finish(self) -> None:
        """The session ends: every transfer without an outcome gets its one now."""
        if self._over:
            return
        self._over = True
        if self._partial is not None:
            delivery, out = self._partial
            out.abort()
            delivery.update(proton.Delivery.RELEASED)
            delivery.settle()
            self._partial = None
        for delivery, out in self._waiting.values():
            self._give_up(delivery)
            out.settle()
        self._waiting.clear()
        # What came in behind and was never passed on cannot have run.
        while (unread := self.inbound.current) is not None:
            unread.update(proton.Delivery.RELEASED)
            unread.settle()
