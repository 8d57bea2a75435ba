"""The messages and sessions that one process of a node sends to the other."""

from __future__ import annotations

import contextlib
from collections import deque
from typing import Any

import anyio

from sailrun.hot_restart.link import Link, send_with_sockets
from sailrun.hot_restart.state import pack
from sailrun.node.session_transfer import MAX_UNSETTLED_TRANSFERS, SessionTransfer


class Channel:
    """The connection to the other process, with the messages and the sessions that are queued for it.

    Messages are sent in the order in which they were queued. Nothing is sent before `write` runs.
    """

    def __init__(self, link: Link) -> None:
        self.link = link
        self._queued_lines: list[bytes] = []
        self._queued_transfers: deque[SessionTransfer] = deque()
        self._in_flight: dict[int, SessionTransfer] = {}
        self._last_number = 0
        self._wake_up = anyio.Event()
        self._is_closed = False

    def send_message(self, kind: str, content: Any) -> None:
        """Queues a message."""
        self._queued_lines.append(pack(kind, content))
        self._wake_up.set()

    def send_session(self, transfer: SessionTransfer) -> None:
        """Queues a transfer, which is settled when the other process accepts or refuses it, or has ended."""
        if self._is_closed:
            transfer.settle(False)
            return
        self._queued_transfers.append(transfer)
        self._wake_up.set()

    def settle(self, number: Any, is_accepted: bool) -> None:
        """Settles the transfer with this number, if it is in flight."""
        transfer = self._in_flight.pop(number, None) if isinstance(number, int) else None
        if transfer is not None:
            transfer.settle(is_accepted)
            self._wake_up.set()

    async def write(self) -> None:
        """Sends what is queued, until cancelled or the other process no longer receives."""
        # What the other process has sent before its end must still be read, so this is no error here.
        with contextlib.suppress(OSError):
            await self._write()

    async def _write(self) -> None:
        while True:
            await self._wake_up.wait()
            self._wake_up = anyio.Event()
            lines, self._queued_lines = self._queued_lines, []
            await self.link.write(b"".join(lines))
            while self._queued_transfers and len(self._in_flight) < MAX_UNSETTLED_TRANSFERS:
                transfer = self._queued_transfers.popleft()
                self._last_number += 1
                self._in_flight[self._last_number] = transfer
                line = pack("session", {"number": self._last_number, "session": transfer.content})
                await send_with_sockets(self.link, line, transfer.sockets)

    def close(self) -> None:
        """Closes the connection; transfers that are not settled have failed."""
        self._is_closed = True
        for transfer in (*self._in_flight.values(), *self._queued_transfers):
            transfer.settle(False)
        self.link.close()


async def read_line(link: Link) -> bytes | None:
    """Waits for a line and takes it; returns None once the other process has ended the connection. Raises
    OSError or OverlongLineError.
    """
    while (line := link.take_line()) is None:
        if not await link.fill():
            return None
    return line
