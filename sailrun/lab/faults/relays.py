"""The network between real members: every path from one to another goes through a relay that can spoil it.

A member is reached at its relay's address, by datagrams and links. Whom a datagram is from shows by its
source; a
link's first frame names its sender. Each is passed on from a socket that stands for its sender, so that an
answer
to where it came from is on a path of the relay as well.
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
_BROKEN = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    OSError,
)


@dataclass(slots=True)
class Weather:
    """What happens to everything on its way. Times in us."""

    lost: float = 0.0
    delay_us: tuple[int, int] = (0, 1_000)
    doubled: float = 0.0
    torn: float = 0.0  # share of a link's frames that end in their middle, with the link
    bytes_per_s: float = 0.0  # of a link; 0: not throttled


@dataclass(slots=True, eq=False)
class _Member:
    name: str
    real: Address
    relay: Address
    udp: socket.socket
    tcp: anyio.abc.SocketListener | None = None
    stands_for: dict[str, socket.socket] = field(default_factory=dict)  # by sender, towards this member


class Relays:
    """All paths. `cut` and `hold_back` act by pairs and by sender."""

    def __init__(self, group: TaskGroup, seed: int) -> None:
        self._group, self._luck = group, random.Random(f"relays/{seed}")
        self.weather = Weather()
        self._members: dict[str, _Member] = {}
        self._cuts: dict[int, set[tuple[str, str]]] = {}
        self._cut = 0
        self._held: dict[str, tuple[float, float]] = {}  # by sender: held if sent before, until then
        self.passed = self.dropped = self.late = self.torn = 0

    async def add(self, name: str, real: Address) -> Address:
        """Returns where the member is to say that it is reached."""
        while True:
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            udp.setblocking(False)
            udp.bind((HOST, 0))
            port = udp.getsockname()[1]
            try:
                listeners = await anyio.create_tcp_listener(local_host=HOST, local_port=port)
                break
            except OSError:  # the port is another's for connections
                udp.close()
        member = _Member(name, real, (HOST, port), udp)
        self._members[name] = member
        self._group.start_soon(self._read, member, udp, None)
        self._group.start_soon(listeners.serve, lambda stream: self._link(member, stream))
        return member.relay

    def _towards(self, sender: str, to: _Member) -> socket.socket:
        """The socket from which `to` hears that sender; what it answers there goes back to it."""
        sock = to.stands_for.get(sender)
        if sock is None:
            sock = to.stands_for[sender] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind((HOST, 0))
            self._group.start_soon(self._read, self._members[sender], sock, to.name)
        return sock

    # ------------------------------------------------------------------ datagrams

    async def _read(self, to: _Member, sock: socket.socket, sender: str | None) -> None:
        """Datagrams for a member, at its own address or at a socket that stands for it."""
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
                self._pass(name, to, data)

    def _pass(self, sender: str, to: _Member, data: bytes) -> None:
        if self._is_cut(sender, to.name):
            self.dropped += 1
            return
        for _ in range(1 + (self._luck.random() < self.weather.doubled)):
            if self._luck.random() < self.weather.lost:
                self.dropped += 1
                continue
            self._group.start_soon(self._deliver, self._wait_s(sender), sender, to, data)

    def _wait_s(self, sender: str) -> float:
        wait_s = self._luck.uniform(*self.weather.delay_us) / 1e6
        before, until = self._held.get(sender, (0.0, 0.0))
        now = time.monotonic()
        if now < before and self._luck.random() < 0.5:
            wait_s = max(wait_s, until - now)
            self.late += 1
        return wait_s

    async def _deliver(self, wait_s: float, sender: str, to: _Member, data: bytes) -> None:
        await anyio.sleep(wait_s)
        if self._is_cut(sender, to.name):
            self.dropped += 1
            return
        try:
            self._towards(sender, to).sendto(data, to.real)
            self.passed += 1
        except OSError:
            self.dropped += 1

    # ------------------------------------------------------------------ links

    async def _link(self, to: _Member, stream: SocketStream) -> None:
        """Frame by frame, as the sender's path has it; a frame that is lost ends the link."""
        async with stream:
            out: SocketStream | None = None
            try:
                while True:
                    head = await _exactly(stream, 4)
                    size = int.from_bytes(head, "big")
                    if size > MAX_FRAME_BYTES:
                        return
                    data = await _exactly(stream, size)
                    sender = decode_envelope(data).sender
                    if self._is_cut(sender, to.name) or self._luck.random() < self.weather.lost:
                        self.dropped += 1
                        return
                    await anyio.sleep(self._wait_s(sender))
                    if self.weather.bytes_per_s:
                        await anyio.sleep(size / self.weather.bytes_per_s)
                    if out is None:
                        out = await anyio.connect_tcp(*to.real)
                    if self._luck.random() < self.weather.torn:
                        await out.send(head + data[: size // 2])
                        self.torn += 1
                        return
                    await out.send(head + data)
                    self.passed += 1
            except (*_BROKEN, InvalidEnvelopeError):
                return
            finally:
                if out is not None:
                    await out.aclose()

    # ------------------------------------------------------------------ faults

    def _is_cut(self, sender: str, to: str) -> bool:
        return any((sender, to) in pairs for pairs in self._cuts.values())

    def cut(self, one: list[str], other: list[str], both_ways: bool) -> int:
        self._cut += 1
        self._cuts[self._cut] = {(a, b) for a in one for b in other}
        if both_ways:
            self._cuts[self._cut] |= {(b, a) for a in one for b in other}
        return self._cut

    def heal(self, cut: int) -> None:
        self._cuts.pop(cut, None)

    def hold_back(self, name: str, for_us: int) -> None:
        """Half of what it sends in the next half second is kept for so long."""
        now = time.monotonic()
        self._held[name] = (now + min(for_us / 1e6, 0.5), now + for_us / 1e6)

    def close(self) -> None:
        for member in self._members.values():
            for sock in (member.udp, *member.stands_for.values()):
                sock.close()


async def _exactly(stream: SocketStream, count: int) -> bytes:
    data = b""
    while len(data) < count:
        data += await stream.receive(count - len(data))
    return data
