"""The actions that the decisions ask for, in the order in which they are to be carried out.

Times are whole microseconds of the instance's own clock. The values of the enumerations stand in the log.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class MoveReason(Enum):
    """What an open connection is migrated for."""

    OVERLOADED = "crowded"  # its backend has more than it can do
    DRAINING = "drains"  # its backend is to end
    UNRESPONSIVE = "silent"  # nothing comes back from its backend
    SHUTDOWN = "leaving"  # this instance is to end, or drains
    REBALANCING = "balance"  # others have room, and nothing else is the matter


class SlowStartReason(Enum):
    """Why a backend is taken to be in slow start, or no longer."""

    LISTED = "listed"  # the list states its start
    OPERATOR = "by-hand"  # an operator put it back
    RECOVERED = "answers-again"  # it did not answer, and may have restarted before the list says so
    ENDED = "warm"  # it is over


class DenialReason(Enum):
    """Why a request was given its final answer without being brought up."""

    OUT_OF_TIME = "out-of-time"  # its deadline is too near for an attempt
    OUT_OF_ATTEMPTS = "out-of-attempts"  # no more are allowed, or no repeat
    NO_BACKEND = "nowhere"  # no backend will admit it before its deadline
    CANCELLED = "given-up"  # its attempt was withdrawn
    SHUTDOWN = "leaving"  # the instance ends


@dataclass(frozen=True, slots=True)
class SlowStartAllowance:
    """What an instance knew of a backend in slow start when it sent a request there; for the log."""

    share: float  # of the backend's capacity that it surely has, 0 to 1
    sent: int  # by this instance within the last `overload_window_us`, this request among them
    part: float  # of what all instances may send within that time, this one's, in requests


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt; given up at `until_us`, and at the client's deadline at the latest. Where its first
    byte has not left by `begin_by_us` it is not sent: as a repeat it might be taken for a new request.
    """

    request: str
    backend: int
    until_us: int = 0
    begin_by_us: float = math.inf
    slow_start: SlowStartAllowance | None = None  # None: the backend is not in slow start


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: rejected, a retry is harmless."""

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
    """End an open connection politely; its client comes again as a new request."""

    request: str
    reason: MoveReason = MoveReason.OVERLOADED


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Feed `TimerFired` with the token after the delay."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Open, or close, the subscription to the backend list."""

    active: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask for the whole backend list once."""


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
    """Send a datagram; `peer` None sends it to every peer."""

    peer: int | None
    content: bytes


@dataclass(frozen=True, slots=True)
class SlowStartChanged:
    """For the log: a backend is in slow start from now on, or no longer. `age_us`: since its begin."""

    backend: int
    reason: SlowStartReason
    age_us: int = 0


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the log."""

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
