"""Form sessions, the form servers that hold them, and what a front has to offer the node."""

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
    """One entry of the list of form servers."""

    name: str
    address: tuple[str, int]
    state: BackendState
    zone: str = ""
    cell: int = 0
    size: float = 1.0  # its capacity, relative to the others'
    started_us: int = 0  # Unix microseconds; 0: long ago

    @property
    def number(self) -> int:
        """The number by which the decisions know it."""
        return server_number(self.name)

    def as_backend(self) -> Backend:
        """The entry in the form that the decisions take."""
        return Backend(self.number, self.state, self.zone, self.cell, self.size, self.started_us)


@dataclass(frozen=True, slots=True)
class ServerListUpdate:
    """What discovery reported at one time: the whole list or changes of it, by `kind`."""

    kind: ListKind
    revision: int
    form_servers: tuple[FormServer, ...]


@dataclass(frozen=True, slots=True)
class Placement:
    """One attempt to establish a form session at a form server. Times are Unix microseconds."""

    form_server: FormServer
    attempt: int  # counted from 0 within the session
    until_us: int  # given up then
    begin_by_us: float = math.inf  # its first byte leaves before this, or not at all


class SessionClient(Protocol):
    """The client's connection as the node sees it, implemented by the front it came through.

    No call waits. What becomes of an attempt is reported to the node by `connection_opened` and
    `attempt_ended`.
    """

    def start_attempt(self, placement: Placement) -> None:
        """Begins an attempt at the placement's form server."""
        ...

    def cancel_attempt(self, attempt: int) -> None:
        """Cancels the attempt of this number, if it is still under way."""
        ...

    def reject(self, retry_after_us: int) -> None:
        """Answers that nothing ran and the client may retry; 0: it is not stated after what time."""
        ...

    def fail(self) -> None:
        """Answers that the request failed and may have run."""
        ...

    def move(self) -> None:
        """Has the client reconnect elsewhere, and ends its session."""
        ...

    def transfer(self, send: SendTransfer) -> None:
        """Transfers the session as it is, once it is idle; a front that can't leaves it alone."""
        ...


@dataclass(slots=True, eq=False)
class FormSession:
    """One client's connection, from its request to its end.

    The front fills in the first fields; those from `placement` on are the node's, and only read elsewhere,
    except that a front passes `unanswered_since_us` on with a session that it transfers.
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
    is_returning: bool = False  # back after a break or a move
    resumed_at: str | None = None  # name of the form server where it was established before this node started
    placement: Placement | None = None  # the attempt under way, or the one that established it
    attempts: int = 0
    may_have_run: bool = False  # an attempt may have had an effect
    is_established: bool = False
    is_answered: bool = False  # the client has its final answer or has left
    move_reason: MoveReason | None = None  # None: it is not being moved
    denial_reason: DenialReason | None = None  # why it was rejected or failed
    unanswered_since_us: deque[int] = field(default_factory=deque)  # when each unanswered line was sent

    @property
    def move_reason_text(self) -> str | None:
        """The reason of its move as the log states it."""
        return self.move_reason.value if self.move_reason is not None else None

    @property
    def denial_reason_text(self) -> str | None:
        """The reason of its rejection or failure as the log states it."""
        return self.denial_reason.value if self.denial_reason is not None else None
