"""Datagrams between the nodes of the fleet, and health checks of form servers."""

from __future__ import annotations

import socket

import anyio
from anyio.abc import TaskGroup

from sailrun.connection import connect, new_socket
from sailrun.decisions.events import AttemptOutcome
from sailrun.node.clock import log
from sailrun.node.core import Node
from sailrun.node.session import FormServer

MAX_DATAGRAM_BYTES = 256

Address = tuple[str, int]


class UdpPeerTransport:
    """The node's `PeerTransport`: sends and receives datagrams over UDP."""

    def __init__(
        self,
        node: Node,
        listen: Address,
        peers: list[Address],
        broadcast_address: Address | None,
        shared: bool = False,
        inherited: socket.socket | None = None,
    ) -> None:
        """`peers`: the addresses of the nodes by index. `broadcast_address`: the address that reaches all of
        them. `shared`: a successor to which the socket cannot be passed may listen at the same address.
        """
        self._node = node
        self._peers = peers
        self._broadcast_address = broadcast_address
        self._reading_allowed = anyio.Event()  # set while this process reads the datagrams
        self._reading_allowed.set()
        self._read_scope = anyio.CancelScope()
        if inherited is not None:
            self.socket = inherited
            return
        self.socket = new_socket(listen[0], socket.SOCK_DGRAM)
        if shared:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.socket.bind(listen)

    def pause(self) -> None:
        """Stops receiving until `resume`; the process that shares the socket receives the datagrams
        meanwhile.
        """
        self._reading_allowed = anyio.Event()
        self._read_scope.cancel()

    def resume(self) -> None:
        """Resumes receiving after `pause`."""
        self._reading_allowed.set()

    def send(self, peer: int | None, content: bytes) -> None:
        """Sends a datagram to one node, or to all others if `peer` is None."""
        if len(content) > MAX_DATAGRAM_BYTES:
            log("neighbour-message-too-long", bytes=len(content))
            return
        if peer is None:
            address = self._broadcast_address
        else:
            address = self._peers[peer] if 0 <= peer < len(self._peers) else None
        if address is not None:
            try:
                self.socket.sendto(content, address)
            except OSError as error:
                log("neighbour-unreached", neighbour=peer, error=str(error))

    async def run(self) -> None:
        """Receives datagrams until the task is cancelled."""
        while True:
            await self._reading_allowed.wait()
            with anyio.CancelScope() as self._read_scope:
                await self._receive()

    async def _receive(self) -> None:
        while True:
            await anyio.wait_readable(self.socket)
            try:
                content, sender = self.socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                await anyio.sleep(0)  # an error that persists must not keep the other tasks from running
                continue
            if sender in self._peers:
                self._node.peer_message_received(self._peers.index(sender), content)


class PingHealthChecker:
    """The node's `HealthChecker`: sends PING to a form server on a separate connection, and expects PONG."""

    def __init__(self, node: Node, group: TaskGroup) -> None:
        self._node, self._group = node, group

    def probe(self, form_server: FormServer, until_us: int) -> None:
        """Starts a health check that times out at `until_us`."""
        self._group.start_soon(self._probe, form_server, until_us)

    async def _probe(self, form_server: FormServer, until_us: int) -> None:
        began_us = self._node.clock.now_us()
        outcome, connection = AttemptOutcome.TIMED_OUT, None
        try:
            with anyio.CancelScope(deadline=self._node.clock.to_deadline(until_us)):
                connection = await connect(form_server.address)
                await connection.write(b"PING\r\n")
                line = await connection.line()
                outcome = (
                    AttemptOutcome.OK
                    if line is not None and line.strip() == b"PONG"
                    else AttemptOutcome.ERROR
                )
        except Exception as error:  # an error of one health check must not end the node
            if not isinstance(error, OSError | ValueError):
                self._node.barrier.record("probe")
            outcome = AttemptOutcome.RESET if connection is not None else AttemptOutcome.CONNECT_FAILED
        finally:
            if connection is not None:
                connection.close()
        self._node.probe_ended(form_server, outcome, self._node.clock.now_us() - began_us)
