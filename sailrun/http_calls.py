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

LONGEST_ANSWER = 4 * 1024 * 1024


class CallFailedError(SailrunError):
    """No usable answer came; the text says why."""

    log_name = "CallFailed"


class HttpCalls:
    """HTTP/1.1 calls to one address over one connection, which is kept between calls."""

    def __init__(self, clock: Clock, address: tuple[str, int]) -> None:
        self._clock = clock
        self._address = address
        self._connection: Connection | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._spare: int | None = None

    def drop(self) -> None:
        """Closes the connection; the next call opens another."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def end(self) -> None:
        """No more calls: nothing is held or kept back any more."""
        self.drop()
        if self._spare is not None:
            os.close(self._spare)
            self._spare = None

    async def call(self, method: str, target: str, body: bytes, deadline_us: int) -> bytes:
        """The answer's body. Whatever else comes back, or nothing by the deadline, is CallFailedError."""
        answer: bytes | None = None
        try:
            with anyio.CancelScope(deadline=self._clock.to_deadline(deadline_us)):
                answer = await self._call(method, target, body)
        except (OSError, h11.RemoteProtocolError, OverlongLineError) as error:
            self.drop()
            raise CallFailedError(f"{name_in_log(error)}: {error}") from None
        except CallFailedError:
            self.drop()
            raise
        if answer is None:
            self.drop()
            raise CallFailedError("no answer in time")
        return answer

    async def _connect(self) -> Connection:
        """One descriptor is kept back for this: clients may hold all others when a list is wanted."""
        if self._spare is None:
            with contextlib.suppress(OSError):
                self._spare = os.dup(sys.stderr.fileno())
        try:
            return await connect(self._address, LONGEST_ANSWER)
        except OutOfDescriptorsError:
            if self._spare is None:
                raise
            os.close(self._spare)
            self._spare = None
            return await connect(self._address, LONGEST_ANSWER)

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
        status, answer = 0, bytearray()
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(connection.take() if await connection.fill() else b"")
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                answer += event.data
                if len(answer) > LONGEST_ANSWER:
                    raise OverlongLineError(f"an answer of over {LONGEST_ANSWER} bytes")
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("ended before the answer")
        if status != 200:
            raise CallFailedError(f"status {status}")
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
        else:
            self.drop()
        return bytes(answer)
