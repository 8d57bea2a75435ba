"""What a process tells the one that succeeds it, so that the two are one node."""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import anyio

from sailrun.interface import Recalled
from sailrun.node.session import RosterNews


@dataclass(frozen=True, slots=True)
class State:
    """Told once, when the successor starts. Times are Unix microseconds of the machine's one clock."""

    roster: RosterNews
    out_by_hand: frozenset[str]
    draining: bool
    learned: Recalled | None  # None: nothing is known


@dataclass(frozen=True, slots=True)
class Held:
    """Told again and again: what the predecessor still holds."""

    loads: Mapping[int, float]  # by the form servers' numbers
    connections: int
    told: bool  # loads are us of work a second, not connections
    descriptors: int = 0


@dataclass(slots=True, eq=False)
class Parcel:
    """A standing session on its way to the successor: its front's words for it, and its two sockets. They are
    this process's too until `settled` is set: then, if it has `gone`, they are the successor's alone.
    """

    content: dict[str, Any]
    sockets: tuple[socket.socket, ...]
    settled: anyio.Event = field(default_factory=anyio.Event)
    gone: bool = False

    def settle(self, gone: bool) -> None:
        if not self.settled.is_set():
            self.gone = gone
            self.settled.set()


Take = Callable[[Parcel], None]  # sends a parcel, and has it settled whatever comes
