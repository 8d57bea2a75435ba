"""The events that the decisions take.

Times are whole microseconds of the instance's own clock, loads are microseconds of work a second, unless a
name says otherwise.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields
from enum import Enum


class BackendState(Enum):
    """What the backend list says of a backend. The values are those of the simulator's wire."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(Enum):
    """What a call for the backend list, or its subscription, has brought."""

    FAILED = 0  # nothing: it failed, and the old list stands
    DELTA = 1  # changed entries only
    CACHED = 2  # the whole list as this instance last had it, perhaps old
    FULL = 3  # the whole list


class AttemptOutcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    REJECTED = "rejected"  # rejected before it ran
    TIMED_OUT = "timed_out"  # may have run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # withdrawn, or the client left; may have run
    NOT_SENT = "not_sent"  # never ran


class NoticeKind(Enum):
    """What an `AttemptNotice` states."""

    LOAD = 1  # the connection's load now, microseconds of work a second
    DELAY = 2  # milliseconds a message takes at the backend now


@dataclass(frozen=True, slots=True)
class Backend:
    """One entry of the backend list."""

    id: int
    state: BackendState
    zone: str = ""
    cell: int = 0
    capacity: float = 1.0
    started_us: int = 0  # 0: long ago


@dataclass(frozen=True, slots=True)
class BackendListUpdate:
    """The backend list, or changes of it, or the news that it could not be had."""

    kind: ListKind
    version: int = 0
    backends: tuple[Backend, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client asks for a connection; exactly one final answer is owed within `left_us`."""

    request: str
    request_class: str
    left_us: int
    key: str | None = None
    group_key: str | None = None
    tenant: str | None = None
    load_hint: float | None = None
    repeat: bool = False  # the client has tried before
    mid_flow: bool = False  # packets of an open connection
    returning: bool = False  # back after a break or a migration


@dataclass(frozen=True, slots=True)
class ConnectionResumed:
    """A connection already open through this instance when it starts; attempt 0 counts as made."""

    request: str
    request_class: str
    backend: int
    key: str | None = None
    group_key: str | None = None
    tenant: str | None = None
    load_hint: float | None = None


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client of a request has gone before its final answer."""

    request: str


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """An attempt has succeeded: its connection stands."""

    request: str
    attempt: int
    backend: int
    latency_us: int = 0


@dataclass(frozen=True, slots=True)
class AttemptNotice:
    """What became known of an open connection or of its backend; units by `kind`."""

    request: str
    attempt: int
    backend: int
    kind: NoticeKind
    value: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt, or the connection that it opened, has ended."""

    request: str
    attempt: int
    backend: int
    outcome: AttemptOutcome
    over: bool  # the request is over; no final answer is owed
    latency_us: int = 0
    report: tuple[tuple[str, float], ...] = ()  # the backend's load report, by name


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A health check has ended."""

    backend: int
    outcome: AttemptOutcome
    latency_us: int = 0
    report: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A datagram from another instance."""

    sender: int
    content: bytes


@dataclass(frozen=True, slots=True)
class LocalLoad:
    """What this instance holds itself, for the other instances to know."""

    loads: Mapping[int, float]  # by backend, of all that are ready; 0 where nothing is open
    connections: int
    loads_reported: bool  # loads are microseconds of work a second, not connections
    overloaded: frozenset[int]  # backends that it finds slow or was cut off by
    alert: bool  # something is going on: a slow start, a drain, an overload


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """What the other instances hold together at each backend, as gossip has it. Loads are in this instance's
    unit: connections until the first load was reported here. It may warn of a backend and count its load; it
    lists none.
    """

    loads: dict[int, float]
    connections: int
    loads_reported: bool  # loads are microseconds of work a second, not connections
    instances: int  # that the gossip speaks for, this one among them
    overloaded: frozenset[int]  # backends that others find slow
    fresh_until_us: int  # from then on it may be a good deal different


@dataclass(frozen=True, slots=True)
class OperatorOverride:
    """An operator has excluded a backend, or put it back after it was restarted."""

    backend: int
    excluded: bool


@dataclass(frozen=True, slots=True)
class BackendSnapshot:
    """What an instance has observed of one backend. The order of the fields is that of stored data and of the
    state handed to a successor, where they stand without names.
    """

    id: int
    started_us: int  # of which process of it
    draining_notified_us: int
    ejected_until_us: int
    ejections: int
    consecutive_timeouts: int
    consecutive_errors: int
    half_open: bool
    delay_ms: float
    delay_us: int
    load_limit: float
    load_limit_us: int
    slow_start_began_us: int
    tokens: float
    tokens_us: int


BACKEND_SNAPSHOT_FIELDS = tuple(field.name for field in fields(BackendSnapshot))


@dataclass(frozen=True, slots=True)
class SetupRateSnapshot:
    """What an instance has observed of set-ups in general: the rate they are limited to, what they take and
    how many succeed. The order of the fields is that of stored data, as with `BackendSnapshot`.
    """

    rate_per_s: float  # 0: not limited
    tokens: float
    unlimited_from_per_s: float  # the rate from which on it is no longer limited
    refilled_us: float
    cut_us: float
    mean_setup_us: float
    success_share: float
    recent_attempts: float
    last_attempt_us: float


SETUP_RATE_FIELDS = tuple(field.name for field in fields(SetupRateSnapshot))


@dataclass(frozen=True, slots=True)
class StateSnapshot:
    """What a predecessor on the same machine had learned; its times are of the same clock."""

    backends: tuple[BackendSnapshot, ...]
    setup_rate: SetupRateSnapshot | None
    class_load: dict[str, tuple[float, int]]  # by class: mean reported load, and the reports it rests on


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that `SetTimer` asked for."""

    token: int


Event = (
    BackendListUpdate
    | RequestArrived
    | ConnectionResumed
    | ClientLeft
    | ConnectionOpened
    | AttemptNotice
    | AttemptEnded
    | ProbeEnded
    | PeerMessage
    | FleetLoad
    | OperatorOverride
    | StateSnapshot
    | TimerFired
)
