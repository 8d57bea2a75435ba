"""The Unix socket between a predecessor and its successor: finding one another, lines, and sockets.

It lies in the folder that both processes share. Its path may be longer than a Unix address allows: it is
reached through the folder's descriptor.
"""

from __future__ import annotations

import array
import contextlib
import os
import socket
import struct
import tempfile
import time
from collections import deque
from collections.abc import Iterator, Sequence

import anyio
import mmh3

from sailrun.connection import Connection
from sailrun.hot_restart.state import LONGEST

# A listener for clients, one for AMQP, one for datagrams.
MOST_SOCKETS = 8
ROOM = socket.CMSG_SPACE(MOST_SOCKETS * array.array("i").itemsize)


def place(name: str) -> tuple[str, str]:
    """The folder and the file name at which a node of this name is reached."""
    return tempfile.gettempdir(), f"sailrun-{mmh3.hash(name, signed=False):08x}.sock"


@contextlib.contextmanager
def _within(folder: str) -> Iterator[tuple[int, str]]:
    """The folder's descriptor, and a short path to it."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield descriptor, f"/proc/self/fd/{descriptor}"
    finally:
        os.close(descriptor)


class Doorstep:
    """Where a successor knocks."""

    def __init__(self, name: str) -> None:
        """Raises OSError where there can be none."""
        folder, file = place(name)
        self._folder, self._file = folder, file
        self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            with _within(folder) as (descriptor, path):
                # Under a name of its own first: whoever looks finds the old socket or this one, never none.
                fresh = f"{file}.{os.getpid()}"
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(fresh, dir_fd=descriptor)
                self.listener.bind(f"{path}/{fresh}")
                self.listener.listen(4)
                os.chmod(fresh, 0o600, dir_fd=descriptor)
                self._inode = os.stat(fresh, dir_fd=descriptor).st_ino
                os.rename(fresh, file, src_dir_fd=descriptor, dst_dir_fd=descriptor)
        except BaseException:
            self.listener.close()
            raise

    def close(self) -> None:
        """Takes the file away unless it is another process's by now."""
        self.listener.close()
        with contextlib.suppress(OSError), _within(self._folder) as (descriptor, _):
            if os.stat(self._file, dir_fd=descriptor).st_ino == self._inode:
                os.unlink(self._file, dir_fd=descriptor)


def knock(name: str) -> socket.socket | None:
    """A connection to the process that has the name now; None where there is none of this user's."""
    folder, file = place(name)
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        with _within(folder) as (_, path):
            sock.connect(f"{path}/{file}")
        if _user_of(sock) == os.getuid():
            return sock
    except OSError:
        pass
    sock.close()
    return None


def _user_of(sock: socket.socket) -> int:
    told = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    return int(struct.unpack("3i", told)[1])


def is_ours(sock: socket.socket) -> bool:
    """Whether the other process is this user's."""
    return _user_of(sock) == os.getuid()


class Link(Connection):
    """The connection between the two, with the sockets that came along."""

    __slots__ = ("_sets",)

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, LONGEST)
        # One set for each message that brought sockets, in their order; short if there was no room for all.
        self._sets: deque[list[socket.socket]] = deque()

    def _receive(self, room: memoryview) -> int:
        count, rights, flags, _ = self.sock.recvmsg_into([room], ROOM)
        if rights or flags & socket.MSG_CTRUNC:
            self._sets.append(_received(rights))
        return count

    def take_sockets(self) -> list[socket.socket]:
        """Those that came with the oldest line that brought any."""
        return self._sets.popleft() if self._sets else []

    def close(self, abruptly: bool = False) -> None:
        """Ends the line, and closes sockets that were received with it and not taken."""
        while self._sets:
            for sock in self._sets.popleft():
                sock.close()
        super().close(abruptly)


async def hand(link: Link, line: bytes, sockets: Sequence[socket.socket]) -> None:
    """Sends a line, and with its first byte the sockets."""
    rights = array.array("i", [s.fileno() for s in sockets])
    while True:
        try:
            link.sock.sendmsg([line[:1]], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, rights)])
            break
        except BlockingIOError:
            await anyio.wait_writable(link.sock)
    await link.write(line[1:])


def receive(sock: socket.socket, deadline: float) -> tuple[bytes, list[socket.socket]]:
    """The first line and the sockets that came with it; blocks, for there is nothing else to do yet. Nothing
    may follow the line until it is answered.

    `deadline` is of the monotonic clock. Raises OSError where nothing whole came by then; the sockets that
    had come are closed.
    """
    line, sockets = bytearray(), list[socket.socket]()
    try:
        while not line.endswith(b"\n"):
            left = deadline - time.monotonic()
            if left <= 0 or len(line) > LONGEST:
                raise TimeoutError("nothing whole came in time")
            sock.settimeout(left)
            if line:
                data = sock.recv(65536)
            else:
                data, rights, _, _ = sock.recvmsg(1, ROOM)
                sockets = _received(rights)
            if not data:
                raise ConnectionResetError("ended")
            line += data
    except BaseException:
        for received in sockets:
            received.close()
        raise
    return bytes(line), sockets


def _received(rights: Sequence[tuple[int, int, bytes]]) -> list[socket.socket]:
    sockets = []
    for level, kind, data in rights:
        if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
            descriptors = array.array("i")
            descriptors.frombytes(data[: len(data) - len(data) % descriptors.itemsize])
            sockets += [socket.socket(fileno=n) for n in descriptors]
    return sockets
