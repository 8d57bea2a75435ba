"""An established session on its way from one process to the one that succeeds it."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio


@dataclass(slots=True, eq=False)
class SessionTransfer:
    """An established session on its way to the successor: its front's state of it, and its two sockets.

    The sockets are this process's too until `settled` is set: then, if the transfer `is_accepted`, they are
    the successor's alone.
    """

    content: dict[str, Any]  # JSON, written and read by the front alone
    sockets: tuple[socket.socket, ...]  # the client's, and the form server's
    settled: anyio.Event = field(default_factory=anyio.Event)
    is_accepted: bool = False

    def settle(self, is_accepted: bool) -> None:
        """Sets the outcome; a second call changes nothing."""
        if not self.settled.is_set():
            self.is_accepted = is_accepted
            self.settled.set()


SendTransfer = Callable[[SessionTransfer], None]  # sends a transfer, and has it settled whatever comes
