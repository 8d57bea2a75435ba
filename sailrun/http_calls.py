"""HTTP/1.1 calls to one address, one after another on one connection."""

from __future__ import annotations

import contextlib
import os
import sys

import anyio
import h11

from sailrun.connection import Connection, OutOfDescriptorsError, OverlongLineError, connect, show_address
from sailrun.errors import SailrunError, name_in_log
from sailrun.node.clock import Clock

MAX_RESPONSE_BYTES = 4 * 1024 * 1024


class CallFailedError(SailrunError):
    """A call got no usable response; the text states the reason."""

    log_name = "CallFailed"


class HttpCalls:
    """Makes HTTP/1.1 calls to one address over one connection, which stays open between calls."""

    def __init__(self, clock: Clock, address: tuple[str, int]) -> None:
        self._clock = clock
        self._address = address
        self._connection: Connection | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._reserved_descriptor: int | None = None

    def drop(self) -> None:
        """Closes the connection; the next call opens a new one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def end(self) -> None:
        """Closes the connection and the reserved descriptor. No calls may follow."""
        self.drop()
        if self._reserved_descriptor is not None:
            os.close(self._reserved_descriptor)
            self._reserved_descriptor = None

    async def call(self, method: str, target: str, body: bytes, deadline_us: int) -> bytes:
        """Makes a call and returns the response body. Raises CallFailedError if the response is not a valid
        one with status 200, or does not arrive by the deadline.
        """
        response: bytes | None = None
        try:
            with anyio.CancelScope(deadline=self._clock.to_deadline(deadline_us)):
                response = await self._call(method, target, body)
        except (OSError, h11.RemoteProtocolError, OverlongLineError) as error:
            self.drop()
            raise CallFailedError(f"{name_in_log(error)}: {error}") from None
        except CallFailedError:
            self.drop()
            raise
        if response is None:
            self.drop()
            raise CallFailedError("no response before the deadline")
        return response

    async def _connect(self) -> Connection:
        """Connects, if necessary with the descriptor reserved for this: clients can use all others."""
        if self._reserved_descriptor is None:
            with contextlib.suppress(OSError):
                self._reserved_descriptor = os.dup(sys.stderr.fileno())
        try:
            return await connect(self._address, MAX_RESPONSE_BYTES)
        except OutOfDescriptorsError:
            if self._reserved_descriptor is None:
                raise
            os.close(self._reserved_descriptor)
            self._reserved_descriptor = None
            return await connect(self._address, MAX_RESPONSE_BYTES)

    async def _call(self, method: str, target: str, body: bytes) -> bytes:
        if self._connection is None:
            self._connection = await self._connect()
            self._http = h11.Connection(h11.CLIENT)
        connection, http = self._connection, self._http
        headers = [("Host", show_address(self._address))]
        if body:
            headers += [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        request = http.send(h11.Request(method=method, target=target, headers=headers)) or b""
        request += (http.send(h11.Data(data=body)) or b"") if body else b""
        await connection.write(request + (http.send(h11.EndOfMessage()) or b""))
        status, response = 0, bytearray()
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(connection.take() if await connection.fill() else b"")
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                response += event.data
                if len(response) > MAX_RESPONSE_BYTES:
                    raise OverlongLineError(f"the response is longer than {MAX_RESPONSE_BYTES} bytes")
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("the connection was closed before the response was complete")
        if status != 200:
            raise CallFailedError(f"status {status}, expected 200")
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
        else:
            self.drop()
        return bytes(response)
