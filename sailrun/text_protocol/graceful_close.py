"""Closes the connections of a client and its form server so that neither loses the last bytes."""

from __future__ import annotations

import contextlib

import anyio

from sailrun.connection import Connection
from sailrun.front import PendingConnections
from sailrun.node.clock import Clock

# After the last answer, input from the other side is read and discarded for this long: closing a socket with
# unread input would reset the connection, and the other side could lose the answer.
LINGER_US = 250_000


async def close_gracefully(
    clock: Clock,
    waiting: PendingConnections,
    client: Connection | None,
    form_server: Connection | None,
    last_line: bytes = b"",
) -> None:
    """Ends sending on both connections, to the client after a last line, then reads until the other sides
    have ended too, for at most `LINGER_US`. None: there is no such connection, or it broke.
    """
    scope = anyio.CancelScope(deadline=clock.to_deadline(clock.now_us() + LINGER_US))
    waiting.add_closing(scope)  # it still uses file descriptors, and must not keep others out
    try:
        with scope:
            async with anyio.create_task_group() as group:
                if form_server is not None and not form_server.closed:
                    group.start_soon(_finish_and_close, form_server, b"")
                if client is not None:
                    await _finish_and_close(client, last_line)
    finally:
        waiting.remove(scope)


async def _finish_and_close(connection: Connection, last_line: bytes) -> None:
    with contextlib.suppress(OSError):  # the other side did not wait for the answer
        await connection.write(last_line)
        await connection.finish_sending()
    connection.close()
