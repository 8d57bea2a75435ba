"""One AMQP 1.0 connection: connects proton's protocol engine to a TCP connection of the node."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
import proton

from sailrun.amqp.limits import CHANNEL_MAX, session_window_bytes
from sailrun.connection import Connection

# How many bytes are written to a socket or read from a transfer at once.
CHUNK_BYTES = 64 * 1024
# After an error, the other side's input is discarded for this long, so that it gets the close frame.
ERROR_LINGER_S = 0.25


@dataclass(frozen=True, slots=True)
class AmqpSettings:
    """The values that this node states when it opens a connection."""

    container: str = "sailrun"
    max_frame_size: int = 64 * 1024  # bytes
    idle_time_out_ms: int = 30_000


class Engine:
    """Feeds received bytes to proton and passes its events to `handler`. Code that changes a proton object
    has to call `dispatch_events` afterwards.

    Proton implements the protocol: wrong headers, malformed frames, frames over the stated size and an idle
    other side end the connection with the error that the specification defines.
    """

    def __init__(
        self,
        connection: Connection,
        settings: AmqpSettings,
        handler: Callable[[Any], None],
        is_server: bool,
    ) -> None:
        self._connection = connection
        self._handler = handler
        self.transport = proton.Transport(proton.Transport.SERVER if is_server else proton.Transport.CLIENT)
        self.transport.max_frame_size = settings.max_frame_size
        self.transport.channel_max = CHANNEL_MAX
        self.transport.idle_timeout = settings.idle_time_out_ms / 1000
        if is_server:
            self.transport.sasl().allowed_mechs("ANONYMOUS")
        self.amqp_connection = proton.Connection()
        self.amqp_connection.container = settings.container
        self._events = proton.Collector()
        self.amqp_connection.collect(self._events)
        self.transport.bind(self.amqp_connection)
        self._output_event = anyio.Event()
        self._dispatching = False
        self.on_sent: Callable[[], None] | None = None  # called whenever output has gone out
        self._session_window_bytes = session_window_bytes(settings.max_frame_size)
        self._read_scope = anyio.CancelScope()
        self.input_ended = False  # no more bytes will be read
        self.broken = False  # the connection broke, or the other side reset it

    def dispatch_events(self) -> None:
        """Passes the pending events to the handler and wakes the task that writes frames."""
        if not self._dispatching:
            self._dispatching = True
            try:
                while (event := self._events.peek()) is not None:
                    self._handler(event)
                    self._events.pop()
            finally:
                self._dispatching = False
        self._output_event.set()

    def error(self) -> str | None:
        """Returns the name of the error condition that ended this connection, if there is one."""
        connection = self.amqp_connection
        condition = self.transport.condition or connection.remote_condition or connection.condition
        return str(condition.name) if condition is not None else None

    async def run(self) -> None:
        """Reads and writes until both sides have closed or the connection breaks."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._read)
                group.start_soon(self._run_idle_timer)
                await self._write()
                group.cancel_scope.cancel()
            if self.error() is not None:
                await self._linger()
        except* (OSError, anyio.ClosedResourceError):
            self.broken = True
        finally:
            self._connection.close(abruptly=self.broken)

    def other_side_has_ended(self) -> bool:
        """Whether the other side has closed the TCP connection, even if frames before that are unread."""
        return self._connection.other_side_has_ended()

    def open_session(self, session: Any) -> None:
        """Opens a session of this connection with its window."""
        session.incoming_capacity = self._session_window_bytes
        session.open()

    def close_with_error(self, condition: str, description: str) -> None:
        """Ends the connection with an error; nothing more is read."""
        self.amqp_connection.condition = proton.Condition(condition, description)
        self.amqp_connection.close()
        self._read_scope.cancel()
        self._output_event.set()

    def abandon(self) -> None:
        """Closes the TCP connection at once, without AMQP's close."""
        self._connection.close()

    async def _read(self) -> None:
        with self._read_scope:
            await self._read_frames()
        if not self._read_scope.cancel_called:
            self.transport.close_tail()
        self.input_ended = True
        self.dispatch_events()
        if self._read_scope.cancel_called:
            await self._abandon_after_linger()

    async def _linger(self) -> None:
        """Discards input for a while: a connection that is closed with unread input is reset, and the other
        side could lose the close frame.
        """
        self._connection.stop_sending()
        with anyio.move_on_after(ERROR_LINGER_S):
            while not self._connection.closed and await self._connection.fill():
                self._connection.take()

    async def _abandon_after_linger(self) -> None:
        """Ends the connection even if the other side does not read the close frame."""
        await anyio.sleep(ERROR_LINGER_S)
        self.abandon()

    async def _read_frames(self) -> None:
        while not self._connection.closed and await self._connection.fill():
            data = self._connection.take()
            while data and not self._read_scope.cancel_called:
                capacity = self.transport.capacity()
                if capacity <= 0:
                    break
                try:
                    self.transport.push(data[:capacity])
                except proton.TransportException:
                    break  # malformed: the close frame that proton writes states the error
                data = data[capacity:]
                self.dispatch_events()
            if self.transport.capacity() < 0 and self.transport.condition is None:
                # After a frame that does not decode, proton stops reading without setting an error. It is set
                # here, because the other side would otherwise wait forever for an answer.
                if not self.amqp_connection.state & proton.Endpoint.REMOTE_CLOSED:
                    self.transport.condition = proton.Condition(
                        "amqp:decode-error", "a frame does not decode"
                    )
                break

    async def _write(self) -> None:
        while (pending := self.transport.pending()) >= 0:
            if pending == 0 and self.input_ended:
                return  # everything is written, and no more input can arrive
            if pending == 0:
                self._output_event = anyio.Event()
                await self._output_event.wait()
                continue
            data = bytes(self.transport.peek(min(pending, CHUNK_BYTES)) or b"")
            self.transport.pop(len(data))
            await self._connection.write(data)
            self.dispatch_events()
            if self.on_sent is not None:
                self.on_sent()

    async def _run_idle_timer(self) -> None:
        """Sends empty frames before the other side's idle time-out ends, and enforces this node's own."""
        while True:
            next_tick_at = self.transport.tick(time.monotonic())
            self.dispatch_events()
            if self.transport.condition is not None:
                await self._abandon_after_linger()
                return
            now = time.monotonic()
            wake_at = min(next_tick_at, now + 1.0) if next_tick_at else now + 1.0
            await anyio.sleep_until(anyio.current_time() + max(0.01, wake_at - now))
