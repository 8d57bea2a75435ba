"""Datagrams between the nodes of the tier, and probes of form servers."""

from __future__ import annotations

import socket

import anyio
from anyio.abc import TaskGroup

from sailrun.connection import connect, new_socket
from sailrun.decisions.events import AttemptOutcome
from sailrun.node.clock import log
from sailrun.node.core import Node
from sailrun.node.session import FormServer

LONGEST_DATAGRAM = 256

Address = tuple[str, int]


class Datagrams:
    """The core's `PeerTransport`."""

    def __init__(
        self,
        node: Node,
        listen: Address,
        peers: list[Address],
        everyone: Address | None,
        shared: bool = False,
        inherited: socket.socket | None = None,
    ) -> None:
        """Shared: a successor that cannot be handed the socket may listen beside this process."""
        self._node = node
        self._peers = peers
        self._everyone = everyone
        self._reads = anyio.Event()  # set while datagrams are this process's to read
        self._reads.set()
        self._reading = anyio.CancelScope()
        if inherited is not None:
            self.socket = inherited
            return
        self.socket = new_socket(listen[0], socket.SOCK_DGRAM)
        if shared:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.socket.bind(listen)

    def pause(self) -> None:
        """Leaves datagrams to the process that shares the socket, until `resume`."""
        self._reads = anyio.Event()
        self._reading.cancel()

    def resume(self) -> None:
        """Receives again after a pause."""
        self._reads.set()

    def send(self, neighbour: int | None, content: bytes) -> None:
        """Sends a datagram to one node, or to all (`neighbour` None)."""
        if len(content) > LONGEST_DATAGRAM:
            log("neighbour-message-too-long", bytes=len(content))
            return
        if neighbour is None:
            to = self._everyone
        else:
            to = self._peers[neighbour] if 0 <= neighbour < len(self._peers) else None
        if to is not None:
            try:
                self.socket.sendto(content, to)
            except OSError as error:
                log("neighbour-unreached", neighbour=neighbour, error=str(error))

    async def run(self) -> None:
        """Receives datagrams until the task is cancelled."""
        while True:
            await self._reads.wait()
            with anyio.CancelScope() as self._reading:
                await self._read()

    async def _read(self) -> None:
        while True:
            await anyio.wait_readable(self.socket)
            try:
                content, sender = self.socket.recvfrom(LONGEST_DATAGRAM + 1)
            except OSError:
                continue
            if sender in self._peers:
                self._node.peer_message_received(self._peers.index(sender), content)


class Probes:
    """The core's `HealthChecker`: asks a form server PING on a connection of its own."""

    def __init__(self, node: Node, group: TaskGroup) -> None:
        self._node, self._group = node, group

    def probe(self, form_server: FormServer, until_us: int) -> None:
        """Starts a health check, given up at `until_us`."""
        self._group.start_soon(self._probe, form_server, until_us)

    async def _probe(self, form_server: FormServer, until_us: int) -> None:
        began_us = self._node.clock.now_us()
        outcome, connection = AttemptOutcome.TIMED_OUT, None
        try:
            with anyio.CancelScope(deadline=self._node.clock.moment(until_us)):
                connection = await connect(form_server.address)
                await connection.write(b"PING\r\n")
                line = await connection.line()
                outcome = (
                    AttemptOutcome.OK
                    if line is not None and line.strip() == b"PONG"
                    else AttemptOutcome.ERROR
                )
        except (OSError, ValueError):
            outcome = AttemptOutcome.RESET if connection is not None else AttemptOutcome.CONNECT_FAILED
        finally:
            if connection is not None:
                connection.close()
        self._node.probe_ended(form_server, outcome, self._node.clock.now_us() - began_us)
