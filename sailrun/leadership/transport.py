"""Drives one agent with real sockets: small messages are sent as datagrams, others over framed TCP links.

One task owns the agent; readers, links and the core only put calls into its queue. A message that was created
under a term is checked against the clock again right before its system call, after any wait in between.
"""

from __future__ import annotations

import contextlib
import errno
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from sailrun.connection import (
    Connection,
    OverlongLineError,
    accept,
    connect,
    listen,
    new_socket,
    show_address,
    split_address,
)
from sailrun.leadership.agent import Agent, OutgoingEnvelope
from sailrun.leadership.clock import boot_us
from sailrun.leadership.envelope import (
    MAX_DATAGRAM_BYTES,
    MAX_FRAME_BYTES,
    Envelope,
    InvalidEnvelopeError,
    decode_envelope,
    encode_envelope,
)
from sailrun.leadership.traffic_counters import TrafficCounters
from sailrun.node.clock import log

SECOND = 1_000_000
# The queued frames per link, and the open links in each direction.
MAX_QUEUED_FRAMES, MAX_LINKS = 4, 64
# The limit for connecting or writing a frame, and the idle time after which a link is closed.
LINK_TIMEOUT_S, LINK_IDLE_TIMEOUT_S = 2.0, 30.0
# Datagrams read in a row before other tasks may run.
MAX_DATAGRAMS_PER_READ = 64
_FRAME_HEADER_BYTES = 4


class Transport:
    """Owns the sockets of one member."""

    def __init__(self, agent: Agent, address: tuple[str, int], waits_for_address: bool) -> None:
        """Raises OSError if the address cannot be bound. With `waits_for_address`, an address that is in use
        is retried in `run` until the predecessor has released it.
        """
        self.agent = agent
        self._address, self._waits_for_address = address, waits_for_address
        self._calls: deque[Callable[[], list[OutgoingEnvelope]]] = deque()
        self._call_posted = anyio.Event()
        self._links: dict[str, _OutgoingLink] = {}
        self._accepted_links = 0
        self.traffic = TrafficCounters()
        self.bad_frames = 0
        self._sockets: tuple[socket.socket, socket.socket] | None = None
        # Whether to close the sockets once the envelopes of the queued calls were sent.
        self.closes_after_send = False
        # Called after each tick of the agent, to act on changes; returns envelopes to send.
        self.after_turn: Callable[[int], list[OutgoingEnvelope]] = lambda now_us: []
        try:
            self._sockets = self._bind()
        except OSError as error:
            if not waits_for_address or error.errno != errno.EADDRINUSE:
                raise

    def _bind(self) -> tuple[socket.socket, socket.socket]:
        datagrams = new_socket(self._address[0], socket.SOCK_DGRAM)
        try:
            datagrams.bind(self._address)
            return datagrams, listen(self._address)
        except BaseException:
            datagrams.close()
            raise

    def post(self, call: Callable[[int], list[OutgoingEnvelope]]) -> None:
        """Schedules `call` on the agent's task, with the time; the envelopes that it returns are sent."""
        self._calls.append(lambda: call(boot_us()))
        self._call_posted.set()

    def close(self) -> None:
        """Closes the sockets; safe to call more than once."""
        for sock in self._sockets or ():
            if sock.fileno() >= 0:
                with contextlib.suppress(RuntimeError):  # no event loop runs yet
                    anyio.notify_closing(sock)
                sock.close()

    async def run(self) -> None:
        """Binds the address and drives the agent, until cancelled or `closes_after_send`."""
        while self._sockets is None:
            await anyio.sleep_until(anyio.current_time() + 0.2)
            with contextlib.suppress(OSError):
                self._sockets = self._bind()
        datagrams, listener = self._sockets
        try:
            async with anyio.create_task_group() as group:
                self._group = group
                group.start_soon(self._read, datagrams)
                group.start_soon(self._accept, listener, group)
                await self._run_agent(datagrams)
                group.cancel_scope.cancel()
        finally:
            self.close()

    # ------------------------------------------------------------------ the task that owns the agent

    async def _run_agent(self, datagrams: socket.socket) -> None:
        while True:
            now_us = boot_us()
            due_us = self.agent.due_us(now_us)
            with anyio.CancelScope(deadline=anyio.current_time() + max(1_000, due_us - now_us) / SECOND):
                await self._call_posted.wait()
            self._call_posted = anyio.Event()
            while self._calls:
                self._send(datagrams, self._calls.popleft()())
            if self.closes_after_send:
                return
            now_us = boot_us()
            self._send(datagrams, self.agent.tick(now_us))
            self._send(datagrams, self.after_turn(now_us))
            for event in self.agent.log_events:
                log(event.name, **event.fields)
            self.agent.log_events.clear()

    def _send(self, datagrams: socket.socket, envelopes: list[OutgoingEnvelope]) -> None:
        for outgoing in envelopes:
            data = encode_envelope(outgoing.envelope)
            if len(data) > MAX_DATAGRAM_BYTES:
                self._queue_frame(outgoing, data)
                continue
            # The guard is checked last, so that no delay follows the reading of the clock.
            if outgoing.guard is not None and not self.agent.may_send(outgoing.guard, boot_us()):
                continue
            self._send_datagram(datagrams, data, outgoing.address)

    def _send_datagram(self, datagrams: socket.socket, data: bytes, address: str) -> None:
        try:
            datagrams.sendto(data, split_address(address))
        except (OSError, ValueError):
            return  # treated like a lost datagram
        self.traffic.sent(len(data))

    # ------------------------------------------------------------------ incoming messages

    async def _read(self, datagrams: socket.socket) -> None:
        while True:
            await anyio.wait_readable(datagrams)
            for _ in range(MAX_DATAGRAMS_PER_READ):
                try:
                    data, sender = datagrams.recvfrom(MAX_DATAGRAM_BYTES + 1)
                except OSError:
                    break
                self._on_data(data, show_address(sender[:2]))
            await anyio.sleep(0)

    def _on_data(self, data: bytes, address: str) -> bool:
        self.traffic.received(len(data))
        try:
            envelope = self._decode(data)
        except InvalidEnvelopeError:
            self.agent.counters.malformed_messages += 1
            return False
        self._on_envelope(address, envelope)
        return True

    def _decode(self, data: bytes) -> Envelope:
        return decode_envelope(data)

    def _on_envelope(self, address: str, envelope: Envelope) -> None:
        self.post(lambda now_us: self.agent.on_envelope(now_us, address, envelope))

    async def _accept(self, listener: socket.socket, group: TaskGroup) -> None:
        while True:
            try:
                sock = await accept(listener)
            except OSError:
                # Probably out of file descriptors: retried after a pause.
                await anyio.sleep_until(anyio.current_time() + 0.1)
                continue
            if self._accepted_links >= MAX_LINKS:
                sock.close()
                continue
            self._accepted_links += 1
            group.start_soon(self._serve_link, Connection(sock, MAX_FRAME_BYTES + _FRAME_HEADER_BYTES))

    async def _serve_link(self, link: Connection) -> None:
        """Reads frames until one is malformed, the peer closes the link, or the link is idle for too long."""
        try:
            with contextlib.suppress(OSError, OverlongLineError):
                while True:
                    with anyio.CancelScope(deadline=anyio.current_time() + LINK_IDLE_TIMEOUT_S) as waiting:
                        data = await _read_frame(link)
                    if waiting.cancelled_caught or data is None:
                        return
                    self.traffic.bytes_in += _FRAME_HEADER_BYTES
                    if not self._on_data(data, show_address(link.sock.getpeername()[:2])):
                        self.bad_frames += 1
                        log("link-ended", reason="bad-frame", peer=show_address(link.sock.getpeername()[:2]))
                        return
        finally:
            link.close()
            self._accepted_links -= 1

    # ------------------------------------------------------------------ links

    def _queue_frame(self, outgoing: OutgoingEnvelope, data: bytes) -> None:
        link = self._links.get(outgoing.address)
        if link is None:
            if len(self._links) >= MAX_LINKS:
                return  # dropped; requests are retried
            link = self._links[outgoing.address] = _OutgoingLink()
            self._group.start_soon(self._run_link, outgoing.address, link)
        if len(link.queue) < MAX_QUEUED_FRAMES:
            link.queue.append((data, outgoing.guard))
            link.frame_queued.set()

    async def _run_link(self, address: str, link: _OutgoingLink) -> None:
        connection: Connection | None = None
        try:
            with anyio.CancelScope(deadline=anyio.current_time() + LINK_TIMEOUT_S):
                connection = await connect(split_address(address))
            while connection is not None:
                with anyio.CancelScope(deadline=anyio.current_time() + LINK_IDLE_TIMEOUT_S) as idle:
                    while not link.queue:
                        link.frame_queued = anyio.Event()
                        await link.frame_queued.wait()
                if idle.cancelled_caught:
                    return
                data, guard = link.queue.popleft()
                if guard is not None and not self.agent.may_send(guard, boot_us()):
                    continue
                with anyio.CancelScope(deadline=anyio.current_time() + LINK_TIMEOUT_S) as writing:
                    await connection.write(len(data).to_bytes(_FRAME_HEADER_BYTES, "big") + data)
                if writing.cancelled_caught:
                    return  # a part of the frame may have been sent
                self.traffic.sent(len(data) + _FRAME_HEADER_BYTES)
        except (OSError, ValueError):
            pass  # queued frames are dropped; requests are retried
        finally:
            self._links.pop(address, None)
            if connection is not None:
                connection.close()


class _OutgoingLink:
    """The frames that are queued for one member."""

    def __init__(self) -> None:
        self.queue: deque[tuple[bytes, tuple[str, int] | None]] = deque()
        self.frame_queued: Any = anyio.Event()


async def _read_frame(link: Connection) -> bytes | None:
    """Returns the content of the next frame; None: the peer closed the link. Raises OverlongLineError for a
    frame that is too large.
    """
    while link.buffered() < _FRAME_HEADER_BYTES:
        if not await link.fill():
            return None
    length = int.from_bytes(link.peek(_FRAME_HEADER_BYTES), "big")
    if length > MAX_FRAME_BYTES:
        raise OverlongLineError(f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")
    while link.buffered() < _FRAME_HEADER_BYTES + length:
        if not await link.fill():
            return None
    link.take(_FRAME_HEADER_BYTES)
    return link.take(length)
