"""One TCP connection with its one buffer. Every party spoken to over TCP is reached through this."""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import struct

import anyio

from sailrun.errors import SailrunError

FIRST_SIZE = 512
# A line of the platform's protocol is at most so long; other users of the buffer state their own bound.
LONGEST_LINE = 4096
# So much of what comes after the last words is read and dropped.
LAST_WORDS = 64 * 1024
_NO_ROOM = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class OutOfDescriptorsError(SailrunError, OSError):
    """This process may open no further socket: the other side had no part in the failure."""

    log_name = "OutOfDescriptors"


class OverlongLineError(SailrunError, ValueError):
    """The other side sent more than the buffer may hold without anything being taken from it."""


def split_address(address: str) -> tuple[str, int]:
    """'127.0.0.1:5000' as host and port; raises ValueError naming what is wrong."""
    host, sep, port = address.rpartition(":")
    if not sep or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"'{address}' is no HOST:PORT address")
    host = host.strip("[]")
    try:
        socket.getaddrinfo(host, None, flags=socket.AI_NUMERICHOST)
    except OSError:
        raise ValueError(f"'{address}' has no numeric host") from None
    return host, int(port)


def show_address(address: tuple[str, int]) -> str:
    """The text form of an address, brackets around an IPv6 host."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class Connection:
    """A non-blocking socket and the bytes that came in and are not taken yet.

    The buffer doubles when what is held fills it and is compacted in place when there is room in front.
    """

    __slots__ = ("_buffer", "_end", "_most", "_passed", "_start", "ended", "sock")

    def __init__(self, sock: socket.socket, most: int = 2 * LONGEST_LINE) -> None:
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self._buffer = bytearray(FIRST_SIZE)
        self._start = self._end = 0
        self._passed = 0  # up to here `fresh` has shown what is held
        self._most = most
        self.ended = False  # the other side sends no more

    async def fill(self) -> bool:
        """Waits for more bytes; False once the other side has ended. A broken connection raises."""
        if self._start == self._end:
            self._start = self._end = self._passed = 0
        if self._end == len(self._buffer):
            if self._start:
                held = self._end - self._start
                self._buffer[:held] = self._buffer[self._start : self._end]
                self._passed = max(0, self._passed - self._start)
                self._start, self._end = 0, held
            elif len(self._buffer) >= self._most:
                raise OverlongLineError(f"over {self._most} bytes held")
            else:
                self._buffer.extend(bytes(len(self._buffer)))
        while True:
            await anyio.wait_readable(self.sock)
            try:
                with memoryview(self._buffer) as view:
                    count = self._receive(view[self._end :])
            except (BlockingIOError, InterruptedError):
                continue
            self._end += count
            self.ended = count == 0
            return count > 0

    def _receive(self, room: memoryview) -> int:
        return self.sock.recv_into(room)

    def restore(self, data: bytes, shown: bool) -> None:
        """Holds these bytes again, which another process had read; `shown`: `fresh` has given them out."""
        while len(self._buffer) < len(data):
            self._buffer.extend(bytes(len(self._buffer)))
        self._buffer[: len(data)] = data
        self._start, self._end = 0, len(data)
        self._passed = self._end if shown else 0

    def peek(self, count: int | None = None) -> bytes:
        """What is held, or its first bytes, left as it is."""
        stop = self._end if count is None else min(self._end, self._start + count)
        return bytes(self._buffer[self._start : stop])

    def held(self) -> int:
        """Bytes that have come in and were not taken yet."""
        return self._end - self._start

    def fresh(self) -> bytes:
        """What has come in since the last call; it stays held, so that its lines can still be taken."""
        data = bytes(self._buffer[max(self._start, self._passed) : self._end])
        self._passed = self._end
        return data

    def take(self, count: int | None = None) -> bytes:
        """Takes the first bytes held, all of them if no count is given."""
        stop = self._end if count is None else min(self._end, self._start + count)
        data = bytes(self._buffer[self._start : stop])
        self._start = stop
        return data

    def take_line(self) -> bytes | None:
        """The next whole line with its end, if one is held."""
        at = self._buffer.find(b"\n", self._start, self._end)
        return None if at < 0 else self.take(at + 1 - self._start)

    async def line(self) -> bytes | None:
        """Waits for a whole line; None if the other side ends first."""
        while (line := self.take_line()) is None:
            if self.held() > LONGEST_LINE:
                raise OverlongLineError(f"a line of over {LONGEST_LINE} bytes")
            if not await self.fill():
                return None
        return line

    async def write(self, data: bytes) -> None:
        """Writes all of the data, waiting as needed. Raises OSError if the connection breaks."""
        view = memoryview(data)
        while view:
            try:
                view = view[self.sock.send(view) :]
            except (BlockingIOError, InterruptedError):
                await anyio.wait_writable(self.sock)

    def stirs(self) -> bool:
        """Whether anything has come in that nobody has read yet: bytes, the other side's end, or a break."""
        if self.ended:
            return True
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    def stop_sending(self) -> None:
        """The other side reads what it was sent, and then the end."""
        with contextlib.suppress(OSError):  # it is gone already
            self.sock.shutdown(socket.SHUT_WR)

    async def finish_sending(self) -> None:
        """Ends this side's sending and reads the other side to its end, so that bytes still under way do
        not break the connection before the last words are read. The caller's cancel scope bounds it, and
        so does the amount: one that sends without end is not read for long.
        """
        self.stop_sending()
        dropped = len(self.take())
        while dropped < LAST_WORDS and await self.fill():
            dropped += len(self.take())

    @property
    def closed(self) -> bool:
        """Whether the socket is closed."""
        return self.sock.fileno() < 0

    def close(self, abruptly: bool = False) -> None:
        """Ends the connection; abruptly, the other side sees it broken."""
        if self.closed:
            return
        anyio.notify_closing(self.sock)
        if abruptly:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


def new_socket(host: str, kind: socket.SocketKind) -> socket.socket:
    """A non-blocking socket of the host's address family. Raises OutOfDescriptorsError."""
    try:
        return socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, kind | socket.SOCK_NONBLOCK)
    except OSError as error:
        if error.errno in _NO_ROOM:
            raise OutOfDescriptorsError(error.errno, os.strerror(error.errno)) from error
        raise


async def connect(address: tuple[str, int], most: int = 2 * LONGEST_LINE) -> Connection:
    """A connection to the address; the caller's cancel scope carries the deadline."""
    sock = new_socket(address[0], socket.SOCK_STREAM)
    try:
        code = sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            await anyio.wait_writable(sock)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))
        return Connection(sock, most)
    except BaseException:
        anyio.notify_closing(sock)
        sock.close()
        raise


def listen(address: tuple[str, int], shared: bool = False) -> socket.socket:
    """A listener at the address; shared, other processes of this user may listen there as well."""
    sock = new_socket(address[0], socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.listen(4096)
    except BaseException:
        sock.close()
        raise
    return sock


async def accept(listener: socket.socket) -> socket.socket:
    """The next connection. Raises OutOfDescriptorsError where this process may hold no more."""
    while True:
        await anyio.wait_readable(listener)
        try:
            return listener.accept()[0]
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            continue
        except OSError as error:
            if error.errno in _NO_ROOM:
                raise OutOfDescriptorsError(error.errno, os.strerror(error.errno)) from error
            raise
