"""Form sessions, the form servers that hold them, and what a front has to offer the core."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from functools import lru_cache
from typing import TYPE_CHECKING, Protocol

import mmh3

from sailrun.decisions.actions import DenialReason, MoveReason
from sailrun.decisions.events import Backend, BackendState, ListKind

if TYPE_CHECKING:
    from sailrun.node.session_transfer import SendTransfer


@lru_cache(maxsize=8192)
def server_number(name: str) -> int:
    """The number by which the decisions know a form server: the eight hex digits of its id, as every
    other node and the simulator read them; an id of another form is hashed, likewise everywhere alike.
    """
    prefix, _, digits = name.partition("-")
    if prefix == "s" and len(digits) == 8 and all(c in "0123456789abcdef" for c in digits):
        return int(digits, 16)
    return mmh3.hash(name, signed=False)


@dataclass(frozen=True, slots=True)
class FormServer:
    """One entry of the registry."""

    name: str
    address: tuple[str, int]
    state: BackendState
    zone: str = ""
    cell: int = 0
    size: float = 1.0
    started_us: int = 0  # 0: long ago

    @property
    def number(self) -> int:
        return server_number(self.name)

    def as_backend(self) -> Backend:
        return Backend(self.number, self.state, self.zone, self.cell, self.size, self.started_us)


@dataclass(frozen=True, slots=True)
class ServerListUpdate:
    """What a registry told at one time."""

    kind: ListKind
    revision: int
    form_servers: tuple[FormServer, ...]


@dataclass(frozen=True, slots=True)
class Placement:
    """One attempt to have a form server take a form session, given up at an absolute time."""

    form_server: FormServer
    attempt: int
    until_us: int
    begin_by_us: float = math.inf  # its first byte leaves before this, or not at all


class SessionClient(Protocol):
    """The core's hold on the client's connection, kept by the front it came through. No call waits."""

    def start_attempt(self, placement: Placement) -> None: ...
    def cancel_attempt(self, attempt: int) -> None: ...
    def reject(self, retry_after_us: int) -> None: ...
    def fail(self) -> None: ...
    def move(self) -> None: ...
    def transfer(self, send: SendTransfer) -> None:
        """Hands the session over as it stands, once it is at rest; a front that can't leaves it alone."""
        ...


@dataclass(slots=True, eq=False)
class FormSession:
    """One client's connection, from its request to its end."""

    id: str
    request_class: str
    deadline_us: int
    client: SessionClient
    key: str | None = None
    group: str | None = None
    tenant: str | None = None
    load_hint: float | None = None
    is_retry: bool = False
    is_returning: bool = False
    resumed_at: str | None = None  # it stood at this form server before the node started
    # What the core keeps of it.
    placement: Placement | None = None
    attempts: int = 0
    may_have_run: bool = False
    is_established: bool = False
    is_answered: bool = False  # the client has its final answer or has left
    move_reason: MoveReason | None = None  # it is being moved
    denial_reason: DenialReason | None = None  # why it was refused or failed
    unanswered_since_us: deque[int] = field(
        default_factory=deque
    )  # when each line without an answer was sent

    @property
    def move_reason_text(self) -> str | None:
        """For the log."""
        return self.move_reason.value if self.move_reason is not None else None

    @property
    def denial_reason_text(self) -> str | None:
        """For the log."""
        return self.denial_reason.value if self.denial_reason is not None else None
