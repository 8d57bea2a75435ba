"""A link of a client's connection, which is one form session."""

from __future__ import annotations

from collections.abc import Container
from typing import Any, Protocol

import anyio
import proton
from anyio.abc import TaskGroup

from sailrun.amqp.engine import AmqpSettings, Engine
from sailrun.amqp.form_server_link import FormServerLink, dispatch_delivery
from sailrun.amqp.request import (
    BAD_REQUEST,
    CLASS,
    FAILED,
    GROUP,
    KEY,
    MOVED,
    NO_TERMINUS,
    REFUSED,
    RETRY_AFTER,
    TIME_LEFT,
)
from sailrun.amqp.transfer_relay import TransferRelay
from sailrun.connection import Connection, OutOfDescriptorsError, connect
from sailrun.decisions.events import AttemptOutcome
from sailrun.node.clock import log
from sailrun.node.core import Node
from sailrun.node.counters import InputSource
from sailrun.node.session import FormSession, Placement
from sailrun.node.session_transfer import SendTransfer

SECOND = 1_000_000
# How long a session that is being moved may take to finish the transfers under way.
MOVE_GRACE_US = SECOND // 2
MAX_TIME_LEFT_MS = 600_000
# A longer description of an invalid property is cut off.
MAX_PROBLEM_CHARACTERS = 200


class LinkOwner(Protocol):
    """What a link uses of its client's connection."""

    node: Node
    settings: AmqpSettings
    engine: Engine
    classes: Container[str]
    group: TaskGroup


class ClientLink:
    """A link of a client's connection: the core's `SessionClient` for one form session."""

    def __init__(self, client_connection: LinkOwner, link: Any) -> None:
        self._client_connection = client_connection
        self._node = client_connection.node
        self.link = link
        self._began_us = self._node.clock.now_us()
        self._session: FormSession | None = None
        self._attempt_scope: anyio.CancelScope | None = None
        self._form_server: FormServerLink | None = None
        self._server_name: str | None = None
        self._progress_event = anyio.Event()
        self._moving = False
        self._ended = False
        self.is_invalid = False  # it stated no valid request

    def request_session(self) -> None:
        """Reads the request from the attach and places it; an invalid one is detached with the reason."""
        properties = {str(name): value for name, value in (self.link.remote_properties or {}).items()}
        key, group, cls, time_left_ms = (properties.get(name) for name in (KEY, GROUP, CLASS, TIME_LEFT))
        for name, value, kind in ((KEY, key, str), (CLASS, cls, str), (TIME_LEFT, time_left_ms, int)):
            if not isinstance(value, kind) or isinstance(value, bool) or not value:
                self._reject_request(f"property '{name}' is {value!r}")
                return
        if cls not in self._client_connection.classes:
            self._reject_request(f"property '{CLASS}' is {cls!r}, which does not exist")
            return
        if group is not None and not isinstance(group, str):
            self._reject_request(f"property '{GROUP}' is {group!r}")
            return
        assert isinstance(time_left_ms, int)
        self._session = FormSession(
            id=f"{self.link.name}.{self._began_us}.{id(self)}",
            request_class=str(cls),
            deadline_us=self._began_us + max(0, min(time_left_ms, MAX_TIME_LEFT_MS)) * 1000,
            client=self,
            key=str(key),
            group=str(group) if group else None,
        )
        self._node.request_session(self._session)

    def _reject_request(self, problem: str) -> None:
        self._node.input_rejected(InputSource.CLIENT)
        self.is_invalid = True
        self._detach("bad-request", BAD_REQUEST, problem[:MAX_PROBLEM_CHARACTERS])

    # ------------------------------------------------------------------ commands of the core

    def start_attempt(self, placement: Placement) -> None:
        """Starts an attempt; returns at once."""
        assert self._session is not None
        if self._ended:  # the client left while its request was in the node's queue
            self._node.attempt_ended(self._session, placement, AttemptOutcome.NOT_SENT)
            return
        self._client_connection.group.start_soon(
            self._node.barrier.run_task, "amqp-attempt", self._run_attempt, placement
        )

    def cancel_attempt(self, attempt: int) -> None:
        """Cancels the attempt that is under way."""
        if self._attempt_scope is not None:
            self._attempt_scope.cancel()

    def reject(self, retry_after_us: int) -> None:
        """Rejects the request; the client may retry after a time stated in whole milliseconds, rounded up."""
        info = {proton.symbol(RETRY_AFTER): -(-retry_after_us // 1000)}
        self._detach("refused", REFUSED, "no form server can take the session now", info)

    def fail(self) -> None:
        """Fails the request, because the session could not be placed."""
        self._detach("failed", FAILED, "the session could not be placed")

    def move(self) -> None:
        """Moves the client to another node: detaches the link once its transfers have their outcomes."""
        if not self._moving and not self._ended:
            self._moving = True
            self._client_connection.group.start_soon(self._node.barrier.run_task, "amqp-move", self._move)

    def transfer(self, send: SendTransfer) -> None:
        """Does nothing: a link cannot be transferred, because proton's state of its connection is in this
        process. Links are moved instead.
        """

    # ------------------------------------------------------------------ life cycle of the link

    async def _move(self) -> None:
        """Waits for the transfers under way, at most `MOVE_GRACE_US`, then asks the client to reconnect."""
        clock = self._node.clock
        with anyio.CancelScope(deadline=clock.to_deadline(clock.now_us() + MOVE_GRACE_US)):
            while self._form_server is not None and not all(
                relay.is_idle for relay in self._form_server.relays
            ):
                self._progress_event = anyio.Event()
                await self._progress_event.wait()
        self._detach("moved", MOVED, "moved: attach again")

    def _detach(self, reason: str, condition: str = "", text: str = "", info: Any = None) -> None:
        """Detaches the link from this side, after every transfer has got its outcome."""
        if self._ended:
            return
        self._finish(reason)
        if self.link.state & proton.Endpoint.LOCAL_UNINIT:
            # An attach without a terminus refuses the link; the detach that follows states the reason.
            (self.link.target if self.link.is_receiver else self.link.source).type = NO_TERMINUS
            self.link.open()
        if condition:
            self.link.condition = proton.Condition(condition, text, info)
        self.link.close()
        self._client_connection.engine.dispatch_events()

    def _finish(self, reason: str) -> None:
        self._ended = True
        if self._form_server is not None:
            for relay in self._form_server.relays:
                relay.finish()
            self._form_server.ended.set()
        if self._attempt_scope is not None:
            self._attempt_scope.cancel()
        log(
            "ended",
            reason=reason,
            front="amqp",
            link=self.link.name,
            cls=self._session.request_class if self._session else None,
            server=self._server_name,
            attempts=self._session.attempts if self._session else None,
            ms=(self._node.clock.now_us() - self._began_us) // 1000,
            moved_for=self._session.move_reason_text if self._session else None,
            why=self._session.denial_reason_text if self._session else None,
        )

    def client_left(self, reason: str) -> None:
        """Ends the link because the client has detached it or its connection has ended."""
        if self._ended:
            return
        self._finish(reason)
        if self._session is not None:
            self._node.client_left(self._session)

    @property
    def has_ended(self) -> bool:
        """Whether this process has detached the link, or its client has left."""
        return self._ended

    def is_established(self) -> bool:
        """Whether the session is established and is not being moved."""
        return self._form_server is not None and not self._moving and not self._ended

    def belongs_to(self, session: Any) -> bool:
        """Whether the link belongs to this AMQP session."""
        return bool(self.link.session == session)

    def forward_credit(self) -> None:
        """Forwards the credit that either side has granted."""
        for relay in self._form_server.relays if self._form_server is not None else []:
            relay.forward_credit()

    def handle_delivery(self, delivery: proton.Delivery) -> None:
        """Handles frames or an outcome of a transfer from the client."""
        if self._form_server is not None:
            dispatch_delivery(delivery, self._form_server.relays)

    async def _run_attempt(self, placement: Placement) -> None:
        """Runs one attempt and, if it succeeds, the session. Its end is always reported to the core, and only
        after its connection is closed, so that a request never has two attempts at once.
        """
        assert self._session is not None
        outcome = AttemptOutcome.CANCELLED  # if this node cancels the task, the form server is not at fault
        try:
            outcome = await self._attempt_session(placement)
        finally:
            self._node.attempt_ended(self._session, placement, outcome)

    async def _attempt_session(self, placement: Placement) -> AttemptOutcome:
        assert self._session is not None
        clock = self._node.clock
        self._server_name = placement.form_server.name
        sent_us = clock.now_us()
        server: FormServerLink | None = None
        outcome = AttemptOutcome.TIMED_OUT
        with anyio.CancelScope(deadline=clock.to_deadline(placement.until_us)) as scope:
            self._attempt_scope = scope
            try:
                server, outcome = await self._set_up(placement, sent_us)
            finally:
                self._attempt_scope = None
        if self._ended or (scope.cancelled_caught and clock.now_us() < placement.until_us):
            outcome = AttemptOutcome.CANCELLED
            if server is not None:
                server.engine.abandon()
                server = None
        if server is not None:
            self._establish(server)
            self._node.connection_opened(self._session, placement, clock.now_us() - sent_us)
            await server.ended.wait()
            outcome = AttemptOutcome.CANCELLED if self._ended else server.outcome
            self._detach_with(outcome)
            self._form_server = None
            await server.close_gracefully(clock.to_deadline)
        return outcome

    async def _set_up(
        self, placement: Placement, sent_us: int
    ) -> tuple[FormServerLink | None, AttemptOutcome]:
        assert self._session is not None
        clock = self._node.clock
        connect_by_us = min(placement.until_us, sent_us + self._node.settings.connect_timeout_us)
        connection: Connection | None = None
        server: FormServerLink | None = None
        try:
            with anyio.CancelScope(deadline=clock.to_deadline(connect_by_us)):
                connection = await connect(placement.form_server.address)
            if connection is None:
                return None, AttemptOutcome.CONNECT_FAILED
            # The client may have left with many frames unread, among them its detach.
            has_left = self._ended or self._client_connection.engine.other_side_has_ended()
            if has_left or not self._node.may_begin(self._session, placement):
                connection.close()
                return None, AttemptOutcome.CANCELLED if has_left else AttemptOutcome.NOT_SENT
            server = FormServerLink(clock.now_us, self._client_connection.settings, connection)
            server.attach(self.link, max(1, (placement.until_us - clock.now_us()) // 1000))
            self._client_connection.group.start_soon(server.run)
            self._node.request_written()
            await server.answered.wait()
            if server.ended.is_set():
                return None, server.outcome
            established, server = server, None
            return established, AttemptOutcome.OK
        except OutOfDescriptorsError:
            log("out-of-descriptors", doing="connect")
            return None, AttemptOutcome.NOT_SENT
        except OSError:
            return None, AttemptOutcome.CONNECT_FAILED
        finally:
            if server is not None:
                server.engine.abandon()

    def _establish(self, server: FormServerLink) -> None:
        """Answers the client's attach with that of the form server and connects the two links."""
        assert self._session is not None
        session = self._session
        self._form_server = server
        self.link.source.copy(server.link.remote_source)
        self.link.target.copy(server.link.remote_target)
        if server.link.remote_properties:
            self.link.properties = dict(server.link.remote_properties)
        self.link.open()
        client_engine, server_engine = self._client_connection.engine, server.engine

        def on_forwarded() -> None:
            self._node.line_forwarded(session)

        def on_outcome() -> None:
            self._node.bytes_received(session)
            self._node.line_answered(session)
            self._progress_event.set()

        def on_delivery() -> None:
            self._progress_event.set()

        if self.link.is_receiver:
            relay = TransferRelay(
                self.link, server.link, client_engine, server_engine, on_forwarded, on_outcome
            )
        else:
            relay = TransferRelay(
                server.link, self.link, server_engine, client_engine, on_delivery, on_delivery
            )
        server.relays.append(relay)
        server_engine.on_sent = relay.forward_transfers
        client_engine.dispatch_events()
        relay.forward_transfers()

    def _detach_with(self, outcome: AttemptOutcome) -> None:
        """Ends the client's link after the form server has ended the session."""
        if outcome is AttemptOutcome.OK:
            self._detach("served")
        elif outcome is AttemptOutcome.CANCELLED:
            self._detach("sent-away", MOVED, "moved: attach again")
        else:
            self._detach("form-server-broke", FAILED, "the form server has gone")
