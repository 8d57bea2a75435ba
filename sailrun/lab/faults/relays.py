"""The network between real members: every path goes through a relay that can inject faults.

Other members reach a member at the address of its relay, by datagrams and by connections. The sender of a
datagram is known from its source address, that of a frame on a connection from its envelope. Each datagram is
forwarded from a socket that the relay keeps for its sender, so that an answer to its source address goes
through the relay too.
"""

from __future__ import annotations

import random
import socket
import time
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream, TaskGroup

from sailrun.leadership.envelope import (
    MAX_DATAGRAM_BYTES,
    MAX_FRAME_BYTES,
    InvalidEnvelopeError,
    decode_envelope,
)

Address = tuple[str, int]
HOST = "127.0.0.1"
_CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    OSError,
)


@dataclass(slots=True)
class NetworkFaults:
    """The faults that apply to all paths alike: loss and delay to all messages, duplicates to datagrams,
    truncation and throttling to connections. Times are in us.
    """

    loss_share: float = 0.0
    delay_us: tuple[int, int] = (0, 1_000)
    duplicate_share: float = 0.0
    # Share of the frames that are truncated; the connection is then closed.
    truncation_share: float = 0.0
    bytes_per_s: float = 0.0  # of a connection; 0: not throttled


@dataclass(slots=True, eq=False)
class _Member:
    name: str
    real: Address
    relay: Address
    udp: socket.socket
    tcp: anyio.abc.SocketListener | None = None  # unused
    # By sender: the socket that forwards to this member.
    forwarding_sockets: dict[str, socket.socket] = field(default_factory=dict)


class Relays:
    """The relays of all members. `cut` acts on pairs of sender and receiver, `delay_messages` on a sender."""

    def __init__(self, group: TaskGroup, seed: int) -> None:
        self._group, self._random = group, random.Random(f"relays/{seed}")
        self.faults = NetworkFaults()
        self._members: dict[str, _Member] = {}
        self._blocked_pairs: dict[int, set[tuple[str, str]]] = {}
        self._last_cut = 0
        # By sender: half of the messages sent before the first time are delayed until the second (monotonic
        # clock, in s).
        self._delay_windows: dict[str, tuple[float, float]] = {}
        self.delivered = self.dropped = self.delayed = self.truncated = 0

    async def add(self, name: str, real: Address) -> Address:
        """Adds a member; returns the address that it has to advertise."""
        while True:
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            udp.setblocking(False)
            udp.bind((HOST, 0))
            port = udp.getsockname()[1]
            try:
                listeners = await anyio.create_tcp_listener(local_host=HOST, local_port=port)
                break
            except OSError:  # the TCP port of that number is in use
                udp.close()
        member = _Member(name, real, (HOST, port), udp)
        self._members[name] = member
        self._group.start_soon(self._read_datagrams, member, udp, None)
        self._group.start_soon(listeners.serve, lambda stream: self._relay_connection(member, stream))
        return member.relay

    def _forwarding_socket(self, sender: str, to: _Member) -> socket.socket:
        """Returns the socket that forwards from the sender to `to`; answers to it go to the sender."""
        sock = to.forwarding_sockets.get(sender)
        if sock is None:
            sock = to.forwarding_sockets[sender] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind((HOST, 0))
            self._group.start_soon(self._read_datagrams, self._members[sender], sock, to.name)
        return sock

    # ------------------------------------------------------------------ datagrams

    async def _read_datagrams(self, to: _Member, sock: socket.socket, sender: str | None) -> None:
        """Relays datagrams for a member that arrive at its relay or, as answers, at a socket that forwards
        for it.
        """
        by_source = {m.real: m.name for m in self._members.values()}
        while True:
            await anyio.wait_readable(sock)
            try:
                data, source = sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                continue
            if source not in by_source:
                by_source = {m.real: m.name for m in self._members.values()}
            name = by_source.get(source, sender)
            if name is not None:
                self._relay_datagram(name, to, data)

    def _relay_datagram(self, sender: str, to: _Member, data: bytes) -> None:
        if self._is_cut(sender, to.name):
            self.dropped += 1
            return
        for _ in range(1 + (self._random.random() < self.faults.duplicate_share)):
            if self._random.random() < self.faults.loss_share:
                self.dropped += 1
                continue
            self._group.start_soon(self._deliver, self._draw_delay_s(sender), sender, to, data)

    def _draw_delay_s(self, sender: str) -> float:
        wait_s = self._random.uniform(*self.faults.delay_us) / 1e6
        before, until = self._delay_windows.get(sender, (0.0, 0.0))
        now = time.monotonic()
        if now < before and self._random.random() < 0.5:
            wait_s = max(wait_s, until - now)
            self.delayed += 1
        return wait_s

    async def _deliver(self, wait_s: float, sender: str, to: _Member, data: bytes) -> None:
        await anyio.sleep(wait_s)
        if self._is_cut(sender, to.name):
            self.dropped += 1
            return
        try:
            self._forwarding_socket(sender, to).sendto(data, to.real)
            self.delivered += 1
        except OSError:
            self.dropped += 1

    # ------------------------------------------------------------------ connections

    async def _relay_connection(self, to: _Member, stream: SocketStream) -> None:
        """Relays the frames of a connection to the member, with the injected faults; a lost frame closes it.
        Nothing is relayed back, as members do not answer on a connection.
        """
        async with stream:
            out: SocketStream | None = None
            try:
                while True:
                    head = await _receive_exactly(stream, 4)
                    size = int.from_bytes(head, "big")
                    if size > MAX_FRAME_BYTES:
                        return
                    data = await _receive_exactly(stream, size)
                    sender = decode_envelope(data).sender
                    if self._is_cut(sender, to.name) or self._random.random() < self.faults.loss_share:
                        self.dropped += 1
                        return
                    await anyio.sleep(self._draw_delay_s(sender))
                    if self.faults.bytes_per_s:
                        await anyio.sleep(size / self.faults.bytes_per_s)
                    if out is None:
                        out = await anyio.connect_tcp(*to.real)
                    if self._random.random() < self.faults.truncation_share:
                        await out.send(head + data[: size // 2])
                        self.truncated += 1
                        return
                    await out.send(head + data)
                    self.delivered += 1
            except (*_CONNECTION_ERRORS, InvalidEnvelopeError):
                return
            finally:
                if out is not None:
                    await out.aclose()

    # ------------------------------------------------------------------ faults

    def _is_cut(self, sender: str, to: str) -> bool:
        return any((sender, to) in pairs for pairs in self._blocked_pairs.values())

    def cut(self, one: list[str], other: list[str], both_ways: bool) -> int:
        self._last_cut += 1
        self._blocked_pairs[self._last_cut] = {(a, b) for a in one for b in other}
        if both_ways:
            self._blocked_pairs[self._last_cut] |= {(b, a) for a in one for b in other}
        return self._last_cut

    def heal(self, cut: int) -> None:
        self._blocked_pairs.pop(cut, None)

    def delay_messages(self, name: str, for_us: int) -> None:
        """Delays half of what the member sends in the next half second until `for_us` from now."""
        now = time.monotonic()
        self._delay_windows[name] = (now + min(for_us / 1e6, 0.5), now + for_us / 1e6)

    def close(self) -> None:
        for member in self._members.values():
            for sock in (member.udp, *member.forwarding_sockets.values()):
                sock.close()


async def _receive_exactly(stream: SocketStream, count: int) -> bytes:
    data = b""
    while len(data) < count:
        data += await stream.receive(count - len(data))
    return data
