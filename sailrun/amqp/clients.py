"""Clients that speak AMQP 1.0, and the links to the form servers that hold their sessions."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from typing import Any

import anyio
import proton
from anyio.abc import TaskGroup

from sailrun.amqp.engine import SESSION_BYTES, AmqpSettings, Engine
from sailrun.amqp.transfer_relay import TransferRelay
from sailrun.connection import Connection, OutOfDescriptorsError, connect
from sailrun.decisions.events import AttemptOutcome
from sailrun.front import FrontAcceptor, PendingConnections
from sailrun.node.clock import log
from sailrun.node.core import Node
from sailrun.node.session import FormSession, Placement
from sailrun.node.session_transfer import SendTransfer

SECOND = 1_000_000
# The properties of an attach that make it a request.
KEY, GROUP, CLASS, TIME_LEFT = "sailrun:key", "sailrun:group", "sailrun:class", "sailrun:time-left-ms"
RETRY_AFTER = "sailrun:retry-after-ms"
# The conditions with which a link is detached; README and docs/on-call.md list them for the offices.
REFUSED = "amqp:resource-limit-exceeded"
FAILED = "amqp:internal-error"
MOVED = "amqp:link:detach-forced"
BAD_REQUEST = "amqp:invalid-field"
# A moved session may finish the transfers under way by then.
LAST_TRANSFERS_US = SECOND // 2
# A form server's connection that was closed in good order is dropped if it does not answer by then.
GOODBYE_US = SECOND
# A client that has not opened its connection by then is ended.
OPEN_BY_US = 2 * SECOND
LONGEST_WAIT_MS = 600_000
_NO_TERMINUS = proton.Terminus.UNSPECIFIED


class FormServerLink:
    """One attempt's own connection and link to a form server."""

    def __init__(self, clock_us: Callable[[], int], terms: AmqpSettings, connection: Connection) -> None:
        self._clock_us = clock_us
        self.engine = Engine(connection, terms, self._handle, accepts=False)
        self.link: Any = None
        self.answered = anyio.Event()  # attached, refused or broken
        self.ended = anyio.Event()
        self.outcome = AttemptOutcome.RESET
        self.relays: list[TransferRelay] = []
        self._turned_away = False

    def attach(self, asked: Any, time_left_ms: int) -> None:
        """Asks for the session: the client's own attach, but for the time left."""
        self.engine.amqp.open()
        session = self.engine.amqp.session()
        session.incoming_capacity = SESSION_BYTES
        session.open()
        # The client's sender is this node's receiver, so towards the form server it sends.
        self.link = (session.sender if asked.is_receiver else session.receiver)(asked.name)
        self.link.source.copy(asked.remote_source)
        self.link.target.copy(asked.remote_target)
        self.link.snd_settle_mode = asked.remote_snd_settle_mode
        self.link.rcv_settle_mode = asked.remote_rcv_settle_mode
        self.link.properties = {**(asked.remote_properties or {}), proton.symbol(TIME_LEFT): time_left_ms}
        self.link.open()
        self.engine.changed()

    async def run(self) -> None:
        """Relays frames until the connection to the form server ends."""
        try:
            await self.engine.run()
        finally:
            self._over(AttemptOutcome.RESET)

    def _over(self, outcome: AttemptOutcome) -> None:
        if not self.ended.is_set():
            self.outcome = outcome
            self.ended.set()
            self.answered.set()

    def _handle(self, event: Any) -> None:
        kind = event.type
        if kind == proton.Event.LINK_REMOTE_OPEN and event.link == self.link:
            terminus = self.link.remote_target if self.link.is_sender else self.link.remote_source
            # An attach without its terminus only opens the way for the detach that says why not.
            self._turned_away = terminus.type == _NO_TERMINUS
            if not self._turned_away:
                self.answered.set()
        elif kind in (proton.Event.LINK_REMOTE_CLOSE, proton.Event.LINK_REMOTE_DETACH):
            condition = event.link.remote_condition
            name = str(condition.name) if condition is not None else ""
            if name == REFUSED and not self.relays:
                self._over(AttemptOutcome.REJECTED)
            elif name == MOVED:
                self._over(AttemptOutcome.CANCELLED)
            elif name or self._turned_away:
                self._over(AttemptOutcome.ERROR)
            else:
                self._over(AttemptOutcome.OK)
        elif kind == proton.Event.CONNECTION_REMOTE_CLOSE:
            self._over(AttemptOutcome.ERROR if not self.relays else AttemptOutcome.RESET)
        elif kind == proton.Event.LINK_FLOW:
            for relay in self.relays:
                relay.grant()
        elif kind == proton.Event.DELIVERY:
            _delivered(event.delivery, self.relays)

    async def say_goodbye(self, clock_moment: Callable[[int], float]) -> None:
        """Detaches in good order; a form server that does not answer is dropped."""
        self.link.close()
        self.engine.amqp.close()
        self.engine.changed()
        with anyio.CancelScope(deadline=clock_moment(self._clock_us() + GOODBYE_US)):
            await self.ended.wait()
        self.engine.abandon()


def _delivered(delivery: proton.Delivery, relays: list[TransferRelay]) -> None:
    for relay in relays:
        if delivery.link == relay.inbound:
            if delivery.updated and delivery.settled and not delivery.partial and not delivery.readable:
                relay.forgotten(delivery)
            relay.transfer()
        elif delivery.link == relay.outbound and delivery.updated:
            relay.settled(delivery)


class ClientLink:
    """A link of a client's connection: the core's `SessionClient` for one form session."""

    def __init__(self, front: ClientConnection, link: Any) -> None:
        self._front = front
        self._node = front.node
        self.link = link
        self._began_us = self._node.clock.now_us()
        self._session: FormSession | None = None
        self._scope: anyio.CancelScope | None = None
        self._form_server: FormServerLink | None = None
        self._at: str | None = None
        self._quiet = anyio.Event()
        self._moving = False
        self._ended = False

    def ask(self) -> None:
        """Reads the request out of the attach; a bad one is detached with the reason."""
        facts = {str(name): value for name, value in (self.link.remote_properties or {}).items()}
        key, group, cls, left = (facts.get(name) for name in (KEY, GROUP, CLASS, TIME_LEFT))
        for name, value, kind in ((KEY, key, str), (CLASS, cls, str), (TIME_LEFT, left, int)):
            if not isinstance(value, kind) or isinstance(value, bool) or not value:
                self._detach("bad-request", BAD_REQUEST, f"property '{name}' is {value!r}")
                return
        if cls not in self._front.classes:
            self._detach("bad-request", BAD_REQUEST, f"property '{CLASS}' is {cls!r}, which does not exist")
            return
        if group is not None and not isinstance(group, str):
            self._detach("bad-request", BAD_REQUEST, f"property '{GROUP}' is {group!r}")
            return
        assert isinstance(left, int)
        self._session = FormSession(
            id=f"{self.link.name}.{self._began_us}.{id(self)}",
            request_class=str(cls),
            deadline_us=self._began_us + max(0, min(left, LONGEST_WAIT_MS)) * 1000,
            client=self,
            key=str(key),
            group=str(group) if group else None,
        )
        self._node.request_session(self._session)

    # ------------------------------------------------------------------ orders of the core

    def start_attempt(self, placement: Placement) -> None:
        """Starts an attempt; returns at once."""
        self._front.group.start_soon(self._try, placement)

    def cancel_attempt(self, attempt: int) -> None:
        """Cancels the attempt that is under way."""
        if self._scope is not None:
            self._scope.cancel()

    def reject(self, retry_after_us: int) -> None:
        """Answers the client that no form server takes the session now; Retry-After in whole milliseconds."""
        info = {proton.symbol(RETRY_AFTER): -(-retry_after_us // 1000)}
        self._detach("refused", REFUSED, "no form server can take the session now", info)

    def fail(self) -> None:
        """Answers the client that the session could not be placed."""
        self._detach("failed", FAILED, "the session could not be placed")

    def move(self) -> None:
        """Moves the client to another node: detaches the link once its transfers have their outcomes."""
        if not self._moving:
            self._moving = True
            self._front.group.start_soon(self._move)

    def transfer(self, send: SendTransfer) -> None:
        """Links can't: the engine's side of the connection is in this process. They are moved."""

    # ------------------------------------------------------------------ the life of the link

    async def _move(self) -> None:
        """Lets the transfers under way finish, then sends the client away."""
        clock = self._node.clock
        with anyio.CancelScope(deadline=clock.to_deadline(clock.now_us() + LAST_TRANSFERS_US)):
            while self._form_server is not None and not all(
                p.between_transfers for p in self._form_server.relays
            ):
                self._quiet = anyio.Event()
                await self._quiet.wait()
        self._detach("moved", MOVED, "moved: attach again")

    def _detach(self, reason: str, condition: str = "", text: str = "", info: Any = None) -> None:
        """Ends the link from this side; every transfer has its outcome before the detach goes out."""
        if self._ended:
            return
        self._finish(reason)
        if self.link.state & proton.Endpoint.LOCAL_UNINIT:
            # An attach with no terminus: the link is not taken, and the detach that follows says why.
            (self.link.target if self.link.is_receiver else self.link.source).type = _NO_TERMINUS
            self.link.open()
        if condition:
            self.link.condition = proton.Condition(condition, text, info)
        self.link.close()
        self._front.engine.changed()

    def _finish(self, reason: str) -> None:
        self._ended = True
        if self._form_server is not None:
            for relay in self._form_server.relays:
                relay.finish()
            self._form_server.ended.set()
        if self._scope is not None:
            self._scope.cancel()
        log(
            "ended",
            reason=reason,
            front="amqp",
            link=self.link.name,
            cls=self._session.request_class if self._session else None,
            server=self._at,
            attempts=self._session.attempts if self._session else None,
            ms=(self._node.clock.now_us() - self._began_us) // 1000,
            moved_for=self._session.move_reason_text if self._session else None,
            why=self._session.denial_reason_text if self._session else None,
        )

    def left(self, reason: str) -> None:
        """The client detached, or its connection is gone."""
        if self._ended:
            return
        self._finish(reason)
        if self._session is not None:
            self._node.client_left(self._session)

    def stands(self) -> bool:
        """Whether the session is established and is not being moved."""
        return self._form_server is not None and not self._moving and not self._ended

    def belongs_to(self, session: Any) -> bool:
        """Whether the link is one of this AMQP session's."""
        return bool(self.link.session == session)

    def flow(self) -> None:
        """Passes credit on that has come from either side."""
        for relay in self._form_server.relays if self._form_server is not None else []:
            relay.grant()

    def delivered(self, delivery: proton.Delivery) -> None:
        """A transfer's outcome has come from the client."""
        if self._form_server is not None:
            _delivered(delivery, self._form_server.relays)

    async def _try(self, placement: Placement) -> None:
        """One attempt, and the session if it stands. Its connection is closed before the core hears of
        its end, so that no two are ever out; and the core hears of it whatever happens.
        """
        assert self._session is not None
        outcome = AttemptOutcome.CANCELLED  # if this task is ended from here, no form server is to blame
        try:
            outcome = await self._attempt_session(placement)
        finally:
            self._node.attempt_ended(self._session, placement, outcome)

    async def _attempt_session(self, placement: Placement) -> AttemptOutcome:
        assert self._session is not None
        clock = self._node.clock
        self._at = placement.form_server.name
        sent_us = clock.now_us()
        server: FormServerLink | None = None
        outcome = AttemptOutcome.TIMED_OUT
        with anyio.CancelScope(deadline=clock.to_deadline(placement.until_us)) as scope:
            self._scope = scope
            try:
                server, outcome = await self._set_up(placement, sent_us)
            finally:
                self._scope = None
        if self._ended or (scope.cancelled_caught and clock.now_us() < placement.until_us):
            outcome = AttemptOutcome.CANCELLED
            if server is not None:
                server.engine.abandon()
                server = None
        if server is not None:
            self._stand(server)
            self._node.connection_opened(self._session, placement, clock.now_us() - sent_us)
            await server.ended.wait()
            outcome = AttemptOutcome.CANCELLED if self._ended else server.outcome
            self._end_with(outcome)
            self._form_server = None
            await server.say_goodbye(clock.to_deadline)
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
            if self._ended or not self._node.may_begin(self._session, placement):
                connection.close()
                return None, AttemptOutcome.CANCELLED if self._ended else AttemptOutcome.NOT_SENT
            server = FormServerLink(clock.now_us, self._front.terms, connection)
            server.attach(self.link, max(1, (placement.until_us - clock.now_us()) // 1000))
            self._front.group.start_soon(server.run)
            self._node.request_written()
            await server.answered.wait()
            if server.ended.is_set():
                return None, server.outcome
            kept, server = server, None
            return kept, AttemptOutcome.OK
        except OutOfDescriptorsError:
            log("out-of-descriptors", doing="connect")
            return None, AttemptOutcome.NOT_SENT
        except OSError:
            return None, AttemptOutcome.CONNECT_FAILED
        finally:
            if server is not None:
                server.engine.abandon()

    def _stand(self, server: FormServerLink) -> None:
        """Answers the client's attach with the form server's, and joins the two links."""
        assert self._session is not None
        session = self._session
        self._form_server = server
        self.link.source.copy(server.link.remote_source)
        self.link.target.copy(server.link.remote_target)
        if server.link.remote_properties:
            self.link.properties = dict(server.link.remote_properties)
        self.link.open()
        near, far = self._front.engine, server.engine

        def passed() -> None:
            self._node.line_forwarded(session)

        def outcome() -> None:
            self._node.bytes_received(session)
            self._node.line_answered(session)
            self._quiet.set()

        def nothing() -> None:
            self._quiet.set()

        if self.link.is_receiver:
            relay = TransferRelay(self.link, server.link, near, far, passed, outcome)
        else:
            relay = TransferRelay(server.link, self.link, far, near, nothing, nothing)
        server.relays.append(relay)
        far.on_sent = relay.transfer
        near.changed()
        relay.transfer()

    def _end_with(self, outcome: AttemptOutcome) -> None:
        """The form server ended the session: the client's link ends the same way."""
        if outcome is AttemptOutcome.OK:
            self._detach("served")
        elif outcome is AttemptOutcome.CANCELLED:
            self._detach("sent-away", MOVED, "moved: attach again")
        else:
            self._detach("form-server-broke", FAILED, "the form server has gone")


class ClientConnection:
    """One AMQP connection of a client or a broker, with any number of links."""

    group: TaskGroup

    def __init__(
        self, node: Node, connection: Connection, terms: AmqpSettings, pending: PendingConnections
    ) -> None:
        self.node, self.terms, self._pending = node, terms, pending
        self.classes = {c.name for c in node.settings.classes}
        self.engine = Engine(connection, terms, self._handle, accepts=True)
        self._links: dict[Any, ClientLink] = {}
        self._reason = "connection-lost"
        self._opened = anyio.Event()

    async def run(self) -> None:
        """Serves the connection until it ends."""
        began_us = self.node.clock.now_us()
        async with anyio.create_task_group() as self.group:
            self.group.start_soon(self._expect_open, began_us + OPEN_BY_US)
            try:
                await self.engine.run()
            finally:
                self._opened.set()
                error = self.engine.error()
                for link in list(self._links.values()):
                    link.left(f"household-broke:{error}" if error else "household-left")
            # The group ends once every attempt is closed and told of.
        log(
            "connection-ended",
            front="amqp",
            reason=error or self._reason,
            ms=(self.node.clock.now_us() - began_us) // 1000,
        )

    def session_moves(self) -> Iterable[Callable[[], None]]:
        """For each link whose session is established, what moves it."""
        return [link.move for link in self._links.values() if link.stands()]

    async def _expect_open(self, deadline_us: int) -> None:
        scope = anyio.CancelScope(deadline=self.node.clock.to_deadline(deadline_us))
        self._pending.add(scope)
        try:
            with scope:
                await self._opened.wait()
                return
        finally:
            self._pending.remove(scope)
        self._reason = "never-opened"
        self.engine.abandon()

    def _handle(self, event: Any) -> None:
        kind = event.type
        if kind == proton.Event.CONNECTION_REMOTE_OPEN:
            self._opened.set()
            self.engine.amqp.open()
        elif kind == proton.Event.SESSION_REMOTE_OPEN:
            event.session.incoming_capacity = SESSION_BYTES
            event.session.open()
        elif kind == proton.Event.LINK_REMOTE_OPEN:
            client_link = ClientLink(self, event.link)
            self._links[event.link.name, event.link.is_sender] = client_link
            client_link.ask()
        elif kind in (proton.Event.LINK_REMOTE_CLOSE, proton.Event.LINK_REMOTE_DETACH):
            self._link_left(event.link)
        elif kind == proton.Event.SESSION_REMOTE_CLOSE:
            # A session takes its links with it, detached or not.
            for known in [k for k in self._links.values() if k.belongs_to(event.session)]:
                self._link_left(known.link)
            event.session.close()
            event.session.free()
        elif kind == proton.Event.CONNECTION_REMOTE_CLOSE:
            self._reason = "closed"
            self.engine.amqp.close()
        elif kind == proton.Event.LINK_FLOW:
            if (flowing := self._of(event.link)) is not None:
                flowing.flow()
        elif kind == proton.Event.DELIVERY and (sending := self._of(event.link)) is not None:
            sending.delivered(event.delivery)

    def _of(self, link: Any) -> ClientLink | None:
        return self._links.get((link.name, link.is_sender))

    def _link_left(self, link: Any) -> None:
        known = self._links.pop((link.name, link.is_sender), None)
        if known is not None:
            known.left("household-left")
        if not link.state & proton.Endpoint.LOCAL_CLOSED:
            if link.state & proton.Endpoint.LOCAL_UNINIT:
                link.open()
            link.close()
        # A broker's connection outlives any number of links: the engine must not keep them all.
        link.free()


def amqp_acceptor(
    node: Node, listener: socket.socket, terms: AmqpSettings, descriptors: int
) -> FrontAcceptor:
    """A front that listens for AMQP clients. `descriptors`: how many the process may hold."""
    pending = PendingConnections(descriptors)

    def make_connection(sock: socket.socket) -> ClientConnection:
        return ClientConnection(node, Connection(sock), terms, pending)

    return FrontAcceptor(listener, "amqp", make_connection, pending)
