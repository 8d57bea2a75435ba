"""An established session on its way from one process to the one that succeeds it."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import anyio


class SessionTransfer:
    """An established session on its way to the successor: its front's state of it, and its two sockets.

    The sockets are this process's too until `settled` is set: then, if the transfer `is_accepted`, they are
    the successor's alone.
    """

    __slots__ = ("content", "is_accepted", "settled", "sockets")

    def __init__(self, content: dict[str, Any], sockets: tuple[socket.socket, ...]) -> None:
        """`content`: JSON, of the front alone. `sockets`: the client's and the form server's."""
        self.content, self.sockets = content, sockets
        self.settled = anyio.Event()
        self.is_accepted = False

    def settle(self, is_accepted: bool) -> None:
        """Sets the outcome; a second call changes nothing."""
        if not self.settled.is_set():
            self.is_accepted = is_accepted
            self.settled.set()


SendTransfer = Callable[[SessionTransfer], None]  # sends a transfer, and has it settled whatever comes
