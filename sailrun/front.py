"""What every front does alike: accept connections, and keep one connection's fault from the others."""

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

# Clients that have asked hold two descriptors each, and two thirds of all; of the last third so many
# are left to the registry, the listeners, datagrams and probes.
KEPT_BACK = 24
FEWEST_WAITING, MOST_WAITING = 16, 192

# A front door that is shut because a new configuration names another address: its connections have ended
# by then, and what stands is moved in so many steps.
LEAVE_BY_US, LEAVE_STEPS = 1_500_000, 15
PARTING_LOOK_S = 0.02


class WaitingRoom:
    """The connections that have not asked for a form session yet, oldest first, and those that part.

    Only so many may wait. Whoever connects by the hundred and stays silent pushes out its like, not the
    clients, which ask as soon as they are connected, nor the form servers and the registry.
    """

    def __init__(self, descriptors: int) -> None:
        self._most = max(FEWEST_WAITING, min(MOST_WAITING, descriptors // 3 - KEPT_BACK))
        self._waiting: dict[anyio.CancelScope, None] = {}
        self._parting: dict[anyio.CancelScope, None] = {}  # answered, and read from to their end
        self._shut = False

    def enter(self, scope: anyio.CancelScope) -> None:
        """The scope is cancelled if the connection has to go before it has asked."""
        self._waiting[scope] = None
        if self._shut:
            scope.cancel()
        self._bound()

    def part(self, scope: anyio.CancelScope) -> None:
        """The scope is cancelled if the connection has to go before the other side has ended it."""
        self._parting[scope] = None
        self._bound()

    def leave(self, scope: anyio.CancelScope) -> None:
        """The connection waits no longer: it has asked for something, or has ended."""
        self._waiting.pop(scope, None)
        self._parting.pop(scope, None)

    def _bound(self) -> None:
        if len(self._waiting) + len(self._parting) > self._most:
            self.make_room()

    def make_room(self) -> None:
        """Whoever has had its answer goes first, or each that has to go would push out the next."""
        for ones in (self._parting, self._waiting):
            if ones:
                oldest = next(iter(ones))
                del ones[oldest]
                oldest.cancel()
                return

    async def empty(self, deadline: float) -> None:
        """The node ends: sends away whoever has not asked, and waits until all have gone, or the deadline."""
        self._shut = True
        for scope in list(self._waiting):
            scope.cancel()
        with anyio.CancelScope(deadline=deadline):
            while self._waiting or self._parting:
                await anyio.sleep_until(anyio.current_time() + PARTING_LOOK_S)


def descriptors_allowed(stated: int | None) -> int:
    """How many descriptors this process may hold: the system's limit, or the platform's if that is less."""
    soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    known = [n for n in (soft, stated) if n is not None and n != resource.RLIM_INFINITY]
    return min(known, default=1024)


class Guest(Protocol):
    """One accepted connection, with whatever sessions came through it."""

    async def run(self) -> None:
        """Serves the connection until it ends."""
        ...

    def standing(self) -> Iterable[Callable[[], None]]:
        """For each session that stands and is not moving yet, what moves it."""
        ...


class FrontDoor:
    """One listener and the connections that came through it."""

    def __init__(
        self,
        listener: socket.socket,
        who: str,
        greet: Callable[[socket.socket], Guest],
        waiting: WaitingRoom,
    ) -> None:
        self._listener, self._who, self._greet, self._waiting = listener, who, greet, waiting
        self._guests: set[Guest] = set()
        self._accepting = anyio.CancelScope()
        self._open = anyio.CancelScope()
        self._group: TaskGroup | None = None
        self._admitted: list[Guest] = []  # before the door was open
        self._shut = anyio.Event()
        self._resumed: anyio.Event | None = None  # set again once clients are taken, if they are not now

    def close(self) -> None:
        """Gives the listener up before it was ever run."""
        self._listener.close()

    @property
    def listener(self) -> socket.socket:
        """For whoever shares it."""
        return self._listener

    def pause(self) -> None:
        """Leaves new connections in the listener's queue, to the process that shares it, until `resume`."""
        if self._resumed is None:
            self._resumed = anyio.Event()
            self._accepting.cancel()

    def resume(self) -> None:
        """Accepts again after a pause."""
        if self._resumed is not None:
            self._resumed.set()
            self._resumed = None

    def shut(self) -> None:
        """Takes no new connection from now on, and ends those there are within `LEAVE_BY_US`."""
        self._shut.set()
        self._accepting.cancel()

    async def run(self) -> None:
        """Accepts connections until cancelled or shut, and has each served by a task of its own."""
        with self._open:
            async with anyio.create_task_group() as group:
                self._group = group
                for guest in self._admitted:
                    group.start_soon(self._serve, guest)
                try:
                    while not self._shut.is_set():
                        with self._accepting:
                            if self._resumed is not None:
                                await self._resumed.wait()
                            await self._keep_accepting(group)
                        if not self._shut.is_set():
                            self._accepting = anyio.CancelScope()
                finally:
                    anyio.notify_closing(self._listener)
                    self._listener.close()
                await self._see_out()
                self._open.cancel()

    async def _keep_accepting(self, group: TaskGroup) -> None:
        while True:
            try:
                sock = await accept(self._listener)
                group.start_soon(self._serve, self._greet(sock))
            except OutOfDescriptorsError:
                # Those who knock stay in the listener's queue until others have gone.
                log("out-of-descriptors", doing="accept")
                self._waiting.make_room()
                await anyio.sleep_until(anyio.current_time() + 0.05)

    def admit(self, guest: Guest) -> None:
        """Serves a guest who was let in elsewhere, from now on or once the door is open."""
        if self._group is None:
            self._admitted.append(guest)
        else:
            self._group.start_soon(self._serve, guest)

    async def _serve(self, guest: Guest) -> None:
        self._guests.add(guest)
        try:
            await guest.run()
        except Exception as error:
            log("fault", where=self._who, error=repr(error))
        finally:
            self._guests.discard(guest)

    async def _see_out(self) -> None:
        """Moves what stands, spread as at a planned restart; newcomers among them as soon as they stand."""
        began = anyio.current_time()
        for step in range(LEAVE_STEPS):
            moves = [move for guest in self._guests for move in guest.standing()]
            for move in moves[: math.ceil(len(moves) / max(1, LEAVE_STEPS // 2 - step))]:
                move()
            await anyio.sleep_until(began + (step + 1) * LEAVE_BY_US / LEAVE_STEPS / 1e6)
