"""The actions that the decision module returns, in the order in which they are to be carried out.

Times are in whole microseconds of the instance's own clock. The values of the enumerations are written to the
log.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class MoveReason(Enum):
    """Why an open connection is migrated."""

    OVERLOADED = "crowded"  # its backend is overloaded
    DRAINING = "drains"  # its backend is draining or gone
    UNRESPONSIVE = "silent"  # its backend does not answer
    SHUTDOWN = "leaving"  # this instance shuts down or is draining
    REBALANCING = "balance"  # other backends have spare capacity; no other reason applies


class SlowStartReason(Enum):
    """Why the slow start of a backend begins or ends."""

    LISTED = "listed"  # the list states a new start
    OPERATOR = "by-hand"  # an operator put the backend back
    RECOVERED = "answers-again"  # the backend was ejected and has recovered; it may have restarted unlisted
    ENDED = "warm"  # the slow start is over


class DenialReason(Enum):
    """Why a request got a final answer without an established connection."""

    OUT_OF_TIME = "out-of-time"  # its deadline is too close for another attempt
    OUT_OF_ATTEMPTS = "out-of-attempts"  # no further attempt or repeat is allowed
    NO_BACKEND = "nowhere"  # no backend can admit it before its deadline
    CANCELLED = "given-up"  # its attempt was withdrawn, or ended after its connection was established
    SHUTDOWN = "leaving"  # the instance shuts down


@dataclass(frozen=True, slots=True)
class SlowStartAllowance:
    """The state of a backend's slow start when this instance sent a request there; it is logged."""

    share: float  # share of its capacity that the backend has at least, 0 to 1
    sent: int  # requests sent by this instance within the last `overload_window_us`, including this one
    part: float  # this instance's allowance for `overload_window_us`, in requests
    weight: float  # as last stated by the backend list
    capacity: float  # the backend's capacity relative to the others', as this instance takes it from the list
    connections: float  # estimated number of connections, of all instances, that fill the backend


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt; it times out at `until_us`, which is the client's deadline at the latest.

    If its first byte has not been sent by `begin_by_us`, the attempt must not be sent: the backend might
    treat the repeat as a new request.
    """

    request: str
    backend: int
    until_us: int = 0
    begin_by_us: float = math.inf
    slow_start: SlowStartAllowance | None = None  # None: the backend is not in slow start


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: rejected; a retry is harmless."""

    request: str
    retry_after_us: int = 0
    reason: DenialReason | None = None


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed, with no promise about its effect."""

    request: str
    reason: DenialReason | None = None


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Withdraw an attempt that is under way."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class MoveConnection:
    """Ask the client of an open connection to reconnect; it sends a new request."""

    request: str
    reason: MoveReason = MoveReason.OVERLOADED


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver `TimerFired` with the token after the delay."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Open or close the subscription to the backend list."""

    active: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Fetch the whole backend list once."""


@dataclass(frozen=True, slots=True)
class ProbeBackend:
    """Start a health check."""

    backend: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close idle connections to a backend."""

    backend: int


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a datagram to a peer, or to every peer if `peer` is None."""

    peer: int | None
    content: bytes


@dataclass(frozen=True, slots=True)
class SlowStartChanged:
    """Log that the slow start of a backend begins or ends. `age_us` is the time since the backend started."""

    backend: int
    reason: SlowStartReason
    age_us: int = 0


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a line to the log."""

    text: str


Action = (
    StartAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | MoveConnection
    | SetTimer
    | Subscribe
    | FetchList
    | ProbeBackend
    | CloseIdle
    | SendToPeer
    | SlowStartChanged
    | LogMessage
)
