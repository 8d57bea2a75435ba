"""One AMQP 1.0 connection: proton's engine fed from, and drained into, a connection of the node's own."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
import proton

from sailrun.connection import Connection

# What may lie unread on one session before its sender has to wait.
SESSION_BYTES = 1024 * 1024
CHUNK = 64 * 1024


@dataclass(frozen=True, slots=True)
class AmqpSettings:
    """What this node states when a connection opens."""

    container: str = "sailrun"
    max_frame_size: int = 64 * 1024
    idle_time_out_ms: int = 30_000


class Engine:
    """Bytes in, events out to `handler`; whoever changes something calls `changed`.

    The engine knows the protocol: wrong headers, malformed frames, frames over the stated size and an
    idle other side end the connection with the error that the specification names.
    """

    def __init__(
        self,
        connection: Connection,
        terms: AmqpSettings,
        handler: Callable[[Any], None],
        accepts: bool,
    ) -> None:
        self._connection = connection
        self._handler = handler
        self.transport = proton.Transport(proton.Transport.SERVER if accepts else proton.Transport.CLIENT)
        self.transport.max_frame_size = terms.max_frame_size
        self.transport.idle_timeout = terms.idle_time_out_ms / 1000
        if accepts:
            self.transport.sasl().allowed_mechs("ANONYMOUS")
        self.amqp = proton.Connection()
        self.amqp.container = terms.container
        self._events = proton.Collector()
        self.amqp.collect(self._events)
        self.transport.bind(self.amqp)
        self._changed = anyio.Event()
        self._dispatching = False
        self.on_sent: Callable[[], None] | None = None  # called whenever output has gone out
        self.over = False  # nothing more will be read
        self.broke = False  # the other side broke the connection off

    def changed(self) -> None:
        """Handles what the last change brought about and has its frames written."""
        if not self._dispatching:
            self._dispatching = True
            try:
                while (event := self._events.peek()) is not None:
                    self._handler(event)
                    self._events.pop()
            finally:
                self._dispatching = False
        self._changed.set()

    def error(self) -> str | None:
        """The condition for which this connection ended, if it did for one."""
        condition = self.transport.condition or self.amqp.remote_condition
        return str(condition.name) if condition is not None else None

    async def run(self) -> None:
        """Until both sides have said all, or the other side is gone."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._read)
                group.start_soon(self._keep_time)
                await self._write()
                group.cancel_scope.cancel()
        except* (OSError, anyio.ClosedResourceError):
            self.broke = True
        finally:
            self._connection.close(abruptly=self.broke)

    def abandon(self) -> None:
        """Ends the connection at once, with no word of AMQP."""
        self._connection.close()

    async def _read(self) -> None:
        while await self._connection.fill():
            data = self._connection.take()
            while data:
                room = self.transport.capacity()
                if room <= 0:
                    break
                try:
                    self.transport.push(data[:room])
                except proton.TransportException:
                    break  # malformed: the engine's own close says why
                data = data[room:]
                self.changed()
            if self.transport.capacity() < 0 and self.transport.condition is None:
                # A frame that does not decode makes the engine stop reading without a word: named here,
                # or the other side would wait for an answer that never comes.
                if not self.amqp.state & proton.Endpoint.REMOTE_CLOSED:
                    self.transport.condition = proton.Condition(
                        "amqp:decode-error", "a frame does not decode"
                    )
                break
        self.transport.close_tail()
        self.over = True
        self.changed()

    async def _write(self) -> None:
        while (pending := self.transport.pending()) >= 0:
            if pending == 0 and self.over:
                return  # all is said, and nothing more will come
            if pending == 0:
                self._changed = anyio.Event()
                await self._changed.wait()
                continue
            data = bytes(self.transport.peek(min(pending, CHUNK)) or b"")
            self.transport.pop(len(data))
            await self._connection.write(data)
            self.changed()
            if self.on_sent is not None:
                self.on_sent()

    async def _keep_time(self) -> None:
        """Sends empty frames before the other side's idle time-out and minds this node's own."""
        while True:
            next_at = self.transport.tick(time.monotonic())
            self.changed()
            now = time.monotonic()
            wake_at = min(next_at, now + 1.0) if next_at else now + 1.0
            await anyio.sleep_until(anyio.current_time() + max(0.01, wake_at - now))
