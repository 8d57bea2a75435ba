"""Connects a predecessor and its successor through a Unix socket, which passes lines and sockets.

The socket file is in the folder for temporary files, which both processes share. Its path may be longer than
a Unix socket address allows, so it is addressed through the folder's descriptor.
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
from sailrun.hot_restart.state import MAX_LINE_BYTES

# The maximum number of sockets in a message. Up to 3 are sent at present: the listeners for clients and for
# AMQP, and the datagram socket.
MAX_SOCKETS = 8
ANCILLARY_BYTES = socket.CMSG_SPACE(MAX_SOCKETS * array.array("i").itemsize)


def socket_location(name: str) -> tuple[str, str]:
    """Returns the folder and the name of the socket file of a node."""
    return tempfile.gettempdir(), f"sailrun-{mmh3.hash(name, signed=False):08x}.sock"


@contextlib.contextmanager
def _open_folder(folder: str) -> Iterator[tuple[int, str]]:
    """Opens a folder; yields its descriptor and a short path to it."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield descriptor, f"/proc/self/fd/{descriptor}"
    finally:
        os.close(descriptor)


class HandoverListener:
    """Listens for a successor."""

    def __init__(self, name: str) -> None:
        """Raises OSError if the socket cannot be created."""
        folder, file = socket_location(name)
        self._folder, self._file = folder, file
        self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            with _open_folder(folder) as (descriptor, path):
                # Binds a temporary file and renames it, so that a successor always finds the old socket or
                # this one.
                temporary_file = f"{file}.{os.getpid()}"
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(temporary_file, dir_fd=descriptor)
                self.listener.bind(f"{path}/{temporary_file}")
                self.listener.listen(4)
                os.chmod(temporary_file, 0o600, dir_fd=descriptor)
                self._inode = os.stat(temporary_file, dir_fd=descriptor).st_ino
                os.rename(temporary_file, file, src_dir_fd=descriptor, dst_dir_fd=descriptor)
        except BaseException:
            self.listener.close()
            raise

    def close(self) -> None:
        """Stops listening, and removes the socket file unless another process has replaced it."""
        self.listener.close()
        with contextlib.suppress(OSError), _open_folder(self._folder) as (descriptor, _):
            if os.stat(self._file, dir_fd=descriptor).st_ino == self._inode:
                os.unlink(self._file, dir_fd=descriptor)


def connect_to_predecessor(name: str) -> socket.socket | None:
    """Connects to the process that serves under this name; returns None if there is none of the same user."""
    folder, file = socket_location(name)
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        with _open_folder(folder) as (_, path):
            sock.connect(f"{path}/{file}")
        if _peer_user(sock) == os.getuid():
            return sock
    except OSError:
        pass
    sock.close()
    return None


def _peer_user(sock: socket.socket) -> int:
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    return int(struct.unpack("3i", credentials)[1])


def is_same_user(sock: socket.socket) -> bool:
    """Returns whether the other process belongs to the same user."""
    return _peer_user(sock) == os.getuid()


class Link(Connection):
    """The connection between the two processes, with the sockets that were received on it."""

    __slots__ = ("_socket_sets",)

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, MAX_LINE_BYTES)
        # One list for each message with sockets, oldest first. A list is incomplete if the buffer for
        # descriptors was too small for the message.
        self._socket_sets: deque[list[socket.socket]] = deque()

    def _receive(self, buffer: memoryview) -> int:
        count, rights, flags, _ = self.sock.recvmsg_into([buffer], ANCILLARY_BYTES)
        if rights or flags & socket.MSG_CTRUNC:
            self._socket_sets.append(_received_sockets(rights))
        return count

    def take_sockets(self) -> list[socket.socket]:
        """Removes and returns the sockets of the oldest message that had any."""
        return self._socket_sets.popleft() if self._socket_sets else []

    def close(self, abruptly: bool = False) -> None:
        """Closes the connection and the received sockets that were not taken."""
        while self._socket_sets:
            for sock in self._socket_sets.popleft():
                sock.close()
        super().close(abruptly)


async def send_with_sockets(link: Link, line: bytes, sockets: Sequence[socket.socket]) -> None:
    """Sends a line, with the sockets attached to its first byte."""
    rights = array.array("i", [s.fileno() for s in sockets])
    while True:
        try:
            link.sock.sendmsg([line[:1]], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, rights)])
            break
        except BlockingIOError:
            await anyio.wait_writable(link.sock)
    await link.write(line[1:])


def receive_with_sockets(sock: socket.socket, deadline: float) -> tuple[bytes, list[socket.socket], bytes]:
    """Receives the first line and its sockets; returns them and the start of the lines that follow, if any of
    it was received. Those must have no sockets until the other process has an answer.

    Blocks: the process has nothing else to do yet. `deadline` is a time of the monotonic clock. Raises
    OSError if no complete line has arrived by then, and closes the sockets that were received.
    """
    line, sockets = bytearray(), list[socket.socket]()
    try:
        while b"\n" not in line:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0 or len(line) > MAX_LINE_BYTES:
                raise TimeoutError("no complete line before the deadline, or the line is too long")
            sock.settimeout(remaining_s)
            if line:
                data = sock.recv(65536)
            else:
                data, rights, _, _ = sock.recvmsg(1, ANCILLARY_BYTES)
                sockets = _received_sockets(rights)
            if not data:
                raise ConnectionResetError("connection closed before the end of the line")
            line += data
    except BaseException:
        for received in sockets:
            received.close()
        raise
    end = line.index(b"\n") + 1
    return bytes(line[:end]), sockets, bytes(line[end:])


def _received_sockets(rights: Sequence[tuple[int, int, bytes]]) -> list[socket.socket]:
    sockets = []
    for level, kind, data in rights:
        if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
            descriptors = array.array("i")
            descriptors.frombytes(data[: len(data) - len(data) % descriptors.itemsize])
            sockets += [socket.socket(fileno=n) for n in descriptors]
    return sockets
