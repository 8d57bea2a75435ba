"""The transfer of an established session from one process to its successor."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import anyio

# The number of sessions that are transferred to the successor at once. Until it has accepted a session, both
# processes hold the session's descriptors, and nothing is read from its client or form server.
MAX_UNSETTLED_TRANSFERS = 8


class SessionTransfer:
    """An established session that is being transferred: the front's state of the session and its two sockets.

    This process still owns the sockets until `settled` is set. If the transfer `is_accepted`, only the
    successor owns them from then on.
    """

    __slots__ = ("content", "is_accepted", "settled", "sockets")

    def __init__(self, content: dict[str, Any], sockets: tuple[socket.socket, ...]) -> None:
        """`content`: the front's state, as JSON that only the front interprets. `sockets`: the client's and
        the form server's.
        """
        self.content, self.sockets = content, sockets
        self.settled = anyio.Event()
        self.is_accepted = False

    def settle(self, is_accepted: bool) -> None:
        """Sets the outcome; any further call has no effect."""
        if not self.settled.is_set():
            self.is_accepted = is_accepted
            self.settled.set()


SendTransfer = Callable[[SessionTransfer], None]  # sends a transfer, and settles it in every case
