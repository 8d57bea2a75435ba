"""A TCP connection with a receive buffer, and functions to connect, listen and accept."""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import struct

import anyio

from sailrun.errors import SailrunError

INITIAL_BUFFER_BYTES = 512
# Maximum length in bytes of a line of the platform's protocol; other users of the buffer pass their own
# limit.
MAX_LINE_LENGTH = 4096
# How many bytes are read and discarded after this side has ended its sending. The limit is needed because the
# other side may never stop sending.
MAX_DISCARDED_BYTES = 64 * 1024
_EXHAUSTION_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class OutOfDescriptorsError(SailrunError, OSError):
    """This process or the system has no resources for another socket; the other side did not cause this."""

    log_name = "OutOfDescriptors"


class OverlongLineError(SailrunError, ValueError):
    """The other side sent a line or message that is longer than its limit."""


def split_address(address: str) -> tuple[str, int]:
    """Splits an address such as '127.0.0.1:5000' into host and port. Raises ValueError with the reason."""
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
    """Returns an address as HOST:PORT, with brackets around an IPv6 host."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class Connection:
    """A non-blocking socket and a buffer of the received bytes that have not been taken yet.

    When the buffer is full, it is compacted in place if bytes at its start have been taken, else doubled.
    """

    __slots__ = ("_buffer", "_end", "_max_buffered", "_start", "ended", "sock")

    def __init__(self, sock: socket.socket, max_buffered: int = 2 * MAX_LINE_LENGTH) -> None:
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self._buffer = bytearray(INITIAL_BUFFER_BYTES)
        self._start = self._end = 0
        self._max_buffered = max_buffered
        self.ended = False  # the other side has ended its sending

    async def fill(self) -> bool:
        """Waits for more bytes and buffers them; returns False once the other side has ended its sending.
        Raises OSError if the connection breaks, OverlongLineError if the buffer is full.
        """
        if self._start == self._end:
            self._start = self._end = 0
        if self._end == len(self._buffer):
            if self._start:
                buffered = self._end - self._start
                self._buffer[:buffered] = self._buffer[self._start : self._end]
                self._start, self._end = 0, buffered
            elif len(self._buffer) >= self._max_buffered:
                raise OverlongLineError(
                    f"received more than {self._max_buffered} bytes without a complete message"
                )
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

    def _receive(self, free_space: memoryview) -> int:
        return self.sock.recv_into(free_space)

    def restore(self, data: bytes) -> None:
        """Fills the buffer with bytes that another process has read and not taken."""
        while len(self._buffer) < len(data):
            self._buffer.extend(bytes(len(self._buffer)))
        self._buffer[: len(data)] = data
        self._start, self._end = 0, len(data)

    def peek(self, count: int | None = None) -> bytes:
        """Returns the first `count` buffered bytes, or all of them, without taking them."""
        stop = self._end if count is None else min(self._end, self._start + count)
        return bytes(self._buffer[self._start : stop])

    def buffered(self) -> int:
        """Returns the number of bytes that were received and not taken yet."""
        return self._end - self._start

    def take(self, count: int | None = None) -> bytes:
        """Takes the first `count` buffered bytes, or all of them if no count is given."""
        stop = self._end if count is None else min(self._end, self._start + count)
        data = bytes(self._buffer[self._start : stop])
        self._start = stop
        return data

    def take_line(self) -> bytes | None:
        """Takes the next complete line with its newline; returns None if none is buffered."""
        newline = self._buffer.find(b"\n", self._start, self._end)
        return None if newline < 0 else self.take(newline + 1 - self._start)

    def take_lines(self) -> bytes:
        """Takes all complete lines; returns no bytes if none is buffered."""
        last_newline = self._buffer.rfind(b"\n", self._start, self._end)
        return b"" if last_newline < 0 else self.take(last_newline + 1 - self._start)

    async def line(self) -> bytes | None:
        """Waits for a complete line and takes it; returns None if the other side ends its sending first.
        Raises OverlongLineError if the line is longer than `MAX_LINE_LENGTH`.
        """
        while (line := self.take_line()) is None:
            if self.buffered() > MAX_LINE_LENGTH:
                raise OverlongLineError(f"received a line of more than {MAX_LINE_LENGTH} bytes")
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

    def is_readable(self) -> bool:
        """Whether a read of the socket would return at once: with bytes, the other side's end, or an error.
        Bytes that are already in the buffer do not count.
        """
        if self.ended:
            return True
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    def other_side_has_ended(self) -> bool:
        """Whether the other side has ended its sending or the connection broke, even if bytes that it sent
        before are still unread.
        """
        if self.ended or self.closed:
            return True
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        return bool(poll.poll(0))

    def stop_sending(self) -> None:
        """Ends this side's sending; the other side first receives everything that was sent before."""
        with contextlib.suppress(OSError):  # the connection is already broken
            self.sock.shutdown(socket.SHUT_WR)

    async def finish_sending(self) -> None:
        """Ends this side's sending, then reads and discards until the other side has ended too. Closing at
        once while bytes are still arriving would reset the connection, and the other side could lose the last
        bytes sent to it. The caller's cancel scope limits the time and `MAX_DISCARDED_BYTES` the amount.
        """
        self.stop_sending()
        discarded = len(self.take())
        while discarded < MAX_DISCARDED_BYTES and await self.fill():
            discarded += len(self.take())

    @property
    def closed(self) -> bool:
        """Whether the socket is closed."""
        return self.sock.fileno() < 0

    def close(self, abruptly: bool = False) -> None:
        """Closes the connection; `abruptly`: with a reset, so that the other side sees an error."""
        if self.closed:
            return
        anyio.notify_closing(self.sock)
        if abruptly:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


def new_socket(host: str, kind: socket.SocketKind) -> socket.socket:
    """Creates a non-blocking socket of the host's address family. Raises OutOfDescriptorsError."""
    try:
        return socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, kind | socket.SOCK_NONBLOCK)
    except OSError as error:
        if error.errno in _EXHAUSTION_ERRNOS:
            raise OutOfDescriptorsError(error.errno, os.strerror(error.errno)) from error
        raise


async def connect(address: tuple[str, int], max_buffered: int = 2 * MAX_LINE_LENGTH) -> Connection:
    """Connects to the address; the caller's cancel scope limits the time. Raises OSError if it fails."""
    sock = new_socket(address[0], socket.SOCK_STREAM)
    try:
        code = sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            await anyio.wait_writable(sock)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))
        return Connection(sock, max_buffered)
    except BaseException:
        anyio.notify_closing(sock)
        sock.close()
        raise


def listen(address: tuple[str, int], shared: bool = False) -> socket.socket:
    """Listens at the address; `shared`: other processes of the same user may listen there as well."""
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
    """Waits for the next connection and accepts it. Raises OutOfDescriptorsError if resources for another
    socket are exhausted.
    """
    while True:
        await anyio.wait_readable(listener)
        try:
            return listener.accept()[0]
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            continue
        except OSError as error:
            if error.errno in _EXHAUSTION_ERRNOS:
                raise OutOfDescriptorsError(error.errno, os.strerror(error.errno)) from error
            raise
