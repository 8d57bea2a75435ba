"""The AMQP 1.0 front: the connections of clients and brokers, with their links."""

from __future__ import annotations

import socket
from collections.abc import Callable, Container, Iterable
from typing import Any

import anyio
import proton
from anyio.abc import TaskGroup

from sailrun.amqp.client_link import ClientLink
from sailrun.amqp.engine import AmqpSettings, Engine
from sailrun.amqp.limits import LinkLimits
from sailrun.amqp.request import REFUSED
from sailrun.connection import Connection
from sailrun.front import FrontAcceptor, PendingConnections
from sailrun.node.clock import log
from sailrun.node.core import Node
from sailrun.node.counters import InputSource

SECOND = 1_000_000
# How long a client may take to send its open frame before its connection is closed.
OPEN_TIMEOUT_US = 2 * SECOND


class ClientConnection:
    """One AMQP connection of a client or a broker, with any number of links."""

    group: TaskGroup

    def __init__(
        self,
        node: Node,
        connection: Connection,
        settings: AmqpSettings,
        pending: PendingConnections,
        limits: LinkLimits,
    ) -> None:
        self.node, self.settings, self._pending, self._limits = node, settings, pending, limits
        self.classes: Container[str] = frozenset(c.name for c in node.settings.classes)
        self.engine = Engine(connection, settings, self._handle_event, is_server=True)
        self._links: dict[Any, ClientLink] = {}  # by proton's object, until the client has detached
        self._reason = "connection-lost"
        self._opened = anyio.Event()

    async def run(self) -> None:
        """Serves the connection until it ends."""
        began_us = self.node.clock.now_us()
        async with anyio.create_task_group() as self.group:
            self.group.start_soon(self._expect_open, began_us + OPEN_TIMEOUT_US)
            self._limits.add(self)
            try:
                await self.engine.run()
            finally:
                self._limits.remove(self)
                self._opened.set()
                error = self.engine.error()
                for link in list(self._links.values()):
                    link.client_left(f"household-broke:{error}" if error else "household-left")
            # The group ends once every attempt is closed and reported to the core.
        log(
            "connection-ended",
            front="amqp",
            reason=error or self._reason,
            ms=(self.node.clock.now_us() - began_us) // 1000,
        )

    def session_moves(self) -> Iterable[Callable[[], None]]:
        """Returns one function per established session that is not being moved yet; it moves the session."""
        return [link.move for link in self._links.values() if link.is_established()]

    @property
    def link_count(self) -> int:
        """All links that the client has not detached."""
        return len(self._links)

    def count_ended_links(self) -> int:
        """Counts the links among them that this process has detached."""
        return sum(link.has_ended for link in self._links.values())

    def count_invalid_links(self) -> int:
        """Counts the links among them that stated no valid request."""
        return sum(link.is_invalid for link in self._links.values())

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

    def _handle_event(self, event: Any) -> None:
        kind = event.type
        if kind == proton.Event.CONNECTION_REMOTE_OPEN:
            self._opened.set()
            self.engine.amqp_connection.open()
        elif kind == proton.Event.SESSION_REMOTE_OPEN:
            self.engine.open_session(event.session)
        elif kind == proton.Event.LINK_REMOTE_OPEN:
            self._accept_link(event.link)
        elif kind in (proton.Event.LINK_REMOTE_CLOSE, proton.Event.LINK_REMOTE_DETACH):
            self._remove_link(event.link)
        elif kind == proton.Event.SESSION_REMOTE_CLOSE:
            # The end of an AMQP session ends all its links, also those that are not detached.
            for ended_link in [k for k in self._links.values() if k.belongs_to(event.session)]:
                self._remove_link(ended_link.link)
            event.session.close()
            event.session.free()
        elif kind == proton.Event.CONNECTION_REMOTE_CLOSE:
            self._reason = "closed"
            self.engine.amqp_connection.close()
        elif kind == proton.Event.LINK_FLOW:
            if (credited_link := self._find_link(event.link)) is not None:
                credited_link.forward_credit()
        elif kind == proton.Event.DELIVERY and (delivery_link := self._find_link(event.link)) is not None:
            delivery_link.handle_delivery(event.delivery)

    def _accept_link(self, link: Any) -> None:
        client_link = self._links[link] = ClientLink(self, link)
        if not self.node.barrier.run("amqp-attach", client_link.request_session):
            client_link.fail()
        self._limits.enforce(self)

    def close_for_too_many_links(self) -> None:
        """Closes the connection with the error that the specification has for it, and counts it."""
        self.node.input_rejected(InputSource.CLIENT)
        self._reason = REFUSED
        self.engine.close_with_error(REFUSED, "too many links that were not detached")

    def _find_link(self, link: Any) -> ClientLink | None:
        return self._links.get(link)

    def _remove_link(self, link: Any) -> None:
        ended_link = self._links.pop(link, None)
        if ended_link is not None:
            ended_link.client_left("household-left")
        if not link.state & proton.Endpoint.LOCAL_CLOSED:
            if link.state & proton.Endpoint.LOCAL_UNINIT:
                link.open()
            link.close()
        # A broker's connection has many links one after another; proton must not keep the ended ones.
        link.free()


def amqp_acceptor(
    node: Node, listener: socket.socket, settings: AmqpSettings, descriptors: int
) -> FrontAcceptor:
    """Returns the acceptor of the AMQP front. `descriptors`: how many the process may open."""
    pending, limits = PendingConnections(descriptors), LinkLimits(descriptors)

    def make_connection(sock: socket.socket) -> ClientConnection:
        return ClientConnection(node, Connection(sock), settings, pending, limits)

    return FrontAcceptor(listener, "amqp", make_connection, pending, node.barrier)
