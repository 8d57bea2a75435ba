"""Form sessions, the form servers that serve them, and the interface that a front implements for the node."""

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
    """Returns the number that identifies a form server in the decision module: the eight hex digits of its
    name. A name of another form is hashed. All nodes and the simulator compute the same number.
    """
    prefix, _, digits = name.partition("-")
    if prefix == "s" and len(digits) == 8 and all(c in "0123456789abcdef" for c in digits):
        return int(digits, 16)
    return mmh3.hash(name, signed=False)


@dataclass(frozen=True, slots=True)
class FormServer:
    """One entry of the endpoint list."""

    name: str
    address: tuple[str, int]
    state: BackendState
    zone: str = ""
    cell: int = 0
    size: float = 1.0  # its weight as listed; `Settings.weight_source` states what it means
    started_us: int = 0  # Unix microseconds; 0: it started long ago

    @property
    def number(self) -> int:
        """The number that identifies the form server in the decision module."""
        return server_number(self.name)

    def as_backend(self) -> Backend:
        """Returns the entry as the decision module expects it."""
        return Backend(self.number, self.state, self.zone, self.cell, self.size, self.started_us)


@dataclass(frozen=True, slots=True)
class ServerListUpdate:
    """One update from discovery: the complete endpoint list or changes to it, depending on `kind`."""

    kind: ListKind
    revision: int
    form_servers: tuple[FormServer, ...]


@dataclass(frozen=True, slots=True)
class Placement:
    """One attempt to establish a form session at a form server. Times are Unix microseconds."""

    form_server: FormServer
    attempt: int  # counted from 0 within the session
    until_us: int  # the attempt times out at this time
    begin_by_us: float = math.inf  # the attempt is not made if its first byte has not been sent by then


class SessionClient(Protocol):
    """The node's interface to a client's connection, implemented by the front that accepted it.

    No method blocks. The front reports the outcome of an attempt through `Node.connection_opened` and
    `Node.attempt_ended`.
    """

    def start_attempt(self, placement: Placement) -> None:
        """Begins an attempt at the placement's form server."""
        ...

    def cancel_attempt(self, attempt: int) -> None:
        """Cancels the attempt of this number, if it is still under way."""
        ...

    def reject(self, retry_after_us: int) -> None:
        """Answers that the request had no effect and the client may retry after `retry_after_us`; 0: the
        answer states no time.
        """
        ...

    def fail(self) -> None:
        """Answers that the request failed, and that it may have had an effect."""
        ...

    def move(self) -> None:
        """Asks the client to reconnect elsewhere, and ends its session."""
        ...

    def transfer(self, send: SendTransfer) -> None:
        """Transfers the session without interrupting it, once it is idle; a front that does not support this
        does nothing.
        """
        ...


@dataclass(slots=True, eq=False)
class FormSession:
    """One client's connection, from its request to its end.

    The front sets the fields before `placement`. Only the node writes the others, with one exception: a front
    copies `unanswered_since_us` into a session that it transfers.
    """

    id: str
    request_class: str
    deadline_us: int  # of the final answer, in Unix microseconds
    client: SessionClient
    key: str | None = None
    group: str | None = None
    tenant: str | None = None
    load_hint: float | None = None  # microseconds of work a second
    is_retry: bool = False
    is_returning: bool = False  # the client returns after a broken connection or a move
    resumed_at: str | None = None  # name of the form server where it was established before this node started
    placement: Placement | None = None  # the attempt under way, or the one that established the session
    attempts: int = 0
    may_have_run: bool = False  # an attempt may have had an effect
    is_established: bool = False
    is_answered: bool = False  # the client has its final answer or has left
    move_reason: MoveReason | None = None  # None: the session is not being moved
    denial_reason: DenialReason | None = None  # the reason for the rejection or failure
    unanswered_since_us: deque[int] = field(default_factory=deque)  # send times of the unanswered lines

    @property
    def move_reason_text(self) -> str | None:
        """The reason for the session's move, as text for the log."""
        return self.move_reason.value if self.move_reason is not None else None

    @property
    def denial_reason_text(self) -> str | None:
        """The reason for the request's rejection or failure, as text for the log."""
        return self.denial_reason.value if self.denial_reason is not None else None
