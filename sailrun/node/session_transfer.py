"""A standing session on its way from one process to the one that succeeds it."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio


@dataclass(slots=True, eq=False)
class SessionTransfer:
    """A standing session on its way to the successor: its front's words for it, and its two sockets. They are
    this process's too until `settled` is set: then, if it has `gone`, they are the successor's alone.
    """

    content: dict[str, Any]
    sockets: tuple[socket.socket, ...]
    settled: anyio.Event = field(default_factory=anyio.Event)
    is_accepted: bool = False

    def settle(self, gone: bool) -> None:
        if not self.settled.is_set():
            self.is_accepted = gone
            self.settled.set()


SendTransfer = Callable[[SessionTransfer], None]  # sends a transfer, and has it settled whatever comes
