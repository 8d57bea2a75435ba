"""The parts that all fronts share: accepting connections and isolating a fault of one from the others."""

from __future__ import annotations

import math
import resource
import socket
from collections.abc import Callable, Iterable
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from sailrun.connection import OutOfDescriptorsError, accept
from sailrun.node.clock import log
from sailrun.node.fault_barrier import FaultBarrier

# Connections with a request use two descriptors each and may use two thirds of all descriptors. Of the
# remaining third, this many are reserved for the registry, the listeners, datagrams and probes.
RESERVED_DESCRIPTORS = 24
# Bounds of the number of pending and closing connections, whatever the number of descriptors.
MIN_PENDING, MAX_PENDING = 16, 192

# When a new configuration changes the address of a front, the old acceptor ends all its connections within
# `CLOSE_WITHIN_US`, which is divided into `MOVE_STEPS` equal steps for moving its sessions.
CLOSE_WITHIN_US, MOVE_STEPS = 1_500_000, 15
CLOSE_POLL_S = 0.02
# After a connection could not be accepted, the next one is accepted after this time.
ACCEPT_RETRY_S = 0.05


class PendingConnections:
    """The connections that have not requested a form session yet and those that are closing, oldest first.

    Their number is limited. A peer that opens hundreds of connections without sending a request evicts other
    idle connections. It does not take descriptors from clients, which send their request as soon as they are
    connected, from form servers or from the registry.
    """

    def __init__(self, descriptors: int) -> None:
        self._limit = max(MIN_PENDING, min(MAX_PENDING, descriptors // 3 - RESERVED_DESCRIPTORS))
        self._pending: dict[anyio.CancelScope, None] = {}
        self._closing: dict[anyio.CancelScope, None] = {}  # answered; read until the other side ends
        self._closing_all = False

    def add(self, scope: anyio.CancelScope) -> None:
        """Adds a connection without a request; its scope is cancelled if it is evicted."""
        self._pending[scope] = None
        if self._closing_all:
            scope.cancel()
        self._enforce_limit()

    def add_closing(self, scope: anyio.CancelScope) -> None:
        """Adds a connection that waits for the other side's end; its scope is cancelled if it is evicted."""
        self._closing[scope] = None
        self._enforce_limit()

    def remove(self, scope: anyio.CancelScope) -> None:
        """Removes a connection that has sent its request or has ended."""
        self._pending.pop(scope, None)
        self._closing.pop(scope, None)

    def _enforce_limit(self) -> None:
        if len(self._pending) + len(self._closing) > self._limit:
            self.evict_oldest()

    def evict_oldest(self) -> None:
        """Evicts the oldest closing connection, or the oldest pending one if none is closing.

        An evicted pending connection can become a closing one, so evicting pending connections first would
        make each eviction cause the next.
        """
        for scopes in (self._closing, self._pending):
            if scopes:
                oldest = next(iter(scopes))
                del scopes[oldest]
                oldest.cancel()
                return

    async def close_all(self, deadline: float) -> None:
        """Cancels all connections without a request and waits until they and the closing ones have
        ended, at most until the deadline. Called when the node shuts down.
        """
        self._closing_all = True
        for scope in list(self._pending):
            scope.cancel()
        with anyio.CancelScope(deadline=deadline):
            while self._pending or self._closing:
                await anyio.sleep_until(anyio.current_time() + CLOSE_POLL_S)


def descriptors_allowed(platform_limit: int | None) -> int:
    """Returns how many descriptors this process may open: the lower of the system's and the platform's limit,
    or 1024 if neither is set.
    """
    soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    limits = [n for n in (soft_limit, platform_limit) if n is not None and n != resource.RLIM_INFINITY]
    return min(limits, default=1024)


class AcceptedConnection(Protocol):
    """One accepted connection with its sessions."""

    async def run(self) -> None:
        """Serves the connection until it ends."""
        ...

    def session_moves(self) -> Iterable[Callable[[], None]]:
        """Returns one function per established session that is not being moved yet; it moves the session."""
        ...


class FrontAcceptor:
    """One listening socket of a front and the connections accepted from it."""

    def __init__(
        self,
        listener: socket.socket,
        front: str,
        make_connection: Callable[[socket.socket], AcceptedConnection],
        pending: PendingConnections,
        barrier: FaultBarrier,
    ) -> None:
        self._listener, self._front, self._make_connection, self._pending, self._barrier = (
            listener,
            front,
            make_connection,
            pending,
            barrier,
        )
        self._connections: set[AcceptedConnection] = set()
        self._accept_scope = anyio.CancelScope()
        self._running_scope = anyio.CancelScope()
        self._group: TaskGroup | None = None
        self._early_connections: list[AcceptedConnection] = []  # added before `run`
        self._shutdown_event = anyio.Event()
        self._resume_event: anyio.Event | None = None  # set by `resume`; None: not paused

    def close(self) -> None:
        """Closes the listener of an acceptor that was never run."""
        self._listener.close()

    @property
    def listener(self) -> socket.socket:
        """The listening socket, to be shared with a successor."""
        return self._listener

    def pause(self) -> None:
        """Stops accepting connections until `resume`; new ones stay in the listener's queue for the process
        that shares the listener.
        """
        if self._resume_event is None:
            self._resume_event = anyio.Event()
            self._accept_scope.cancel()

    def resume(self) -> None:
        """Accepts again after a pause."""
        if self._resume_event is not None:
            self._resume_event.set()
            self._resume_event = None

    def shut_down(self) -> None:
        """Stops accepting connections and ends the existing ones within `CLOSE_WITHIN_US`."""
        self._shutdown_event.set()
        self._accept_scope.cancel()

    async def run(self) -> None:
        """Accepts connections until cancelled or shut down, and serves each in a task of its own."""
        with self._running_scope:
            async with anyio.create_task_group() as group:
                self._group = group
                for connection in self._early_connections:
                    group.start_soon(self._serve, connection)
                try:
                    while not self._shutdown_event.is_set():
                        with self._accept_scope:
                            if self._resume_event is not None:
                                await self._resume_event.wait()
                            await self._accept_connections(group)
                        if not self._shutdown_event.is_set():
                            self._accept_scope = anyio.CancelScope()
                finally:
                    anyio.notify_closing(self._listener)
                    self._listener.close()
                await self._move_sessions()
                self._running_scope.cancel()

    async def _accept_connections(self, group: TaskGroup) -> None:
        while True:
            try:
                await self._accept_connection(group)
            except OutOfDescriptorsError:
                # New connections stay in the listener's queue until descriptors are free.
                log("out-of-descriptors", doing="accept")
                self._pending.evict_oldest()
            except Exception:  # an error of one connection must not end the front
                self._barrier.record(f"{self._front}-accept")
            else:
                continue
            await anyio.sleep_until(anyio.current_time() + ACCEPT_RETRY_S)

    async def _accept_connection(self, group: TaskGroup) -> None:
        sock = await accept(self._listener)
        try:
            connection = self._make_connection(sock)
        except BaseException:
            sock.close()
            raise
        group.start_soon(self._serve, connection)

    def add_connection(self, connection: AcceptedConnection) -> None:
        """Serves a connection that another process accepted, at once or as soon as `run` starts."""
        if self._group is None:
            self._early_connections.append(connection)
        else:
            self._group.start_soon(self._serve, connection)

    async def _serve(self, connection: AcceptedConnection) -> None:
        self._connections.add(connection)
        try:
            await self._barrier.run_task(self._front, connection.run)
        finally:
            self._connections.discard(connection)

    async def _move_sessions(self) -> None:
        """Moves established sessions, spread over the first half of the steps as in a planned restart. A
        session that is established after these steps is moved in the next step.
        """
        began = anyio.current_time()
        for step in range(MOVE_STEPS):
            moves = [move for connection in self._connections for move in connection.session_moves()]
            for move in moves[: math.ceil(len(moves) / max(1, MOVE_STEPS // 2 - step))]:
                self._barrier.run("move", move)
            await anyio.sleep_until(began + (step + 1) * CLOSE_WITHIN_US / MOVE_STEPS / 1e6)
