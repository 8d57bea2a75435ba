"""The events that the decision module handles.

Times are in whole microseconds of the instance's own clock and loads in microseconds of work per second,
unless a name states another unit.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields
from enum import Enum

# The largest load of one connection, in microseconds of work per second: a thousand cores. Sums of loads stay
# finite.
MAX_LOAD_US_PER_S = 1e9


class BackendState(Enum):
    """The state of a backend in the backend list. The values are those of the simulator's protocol."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(Enum):
    """The result of a call for the backend list or of its subscription."""

    FAILED = 0  # the call failed; the old list stays valid
    DELTA = 1  # only the changed entries
    CACHED = 2  # the whole list as last stored by this instance; may be out of date
    FULL = 3  # the whole list


class AttemptOutcome(Enum):
    """The outcome of an attempt or a probe."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    REJECTED = "rejected"  # rejected before it ran
    TIMED_OUT = "timed_out"  # may have run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # withdrawn, or the client left; may have run
    NOT_SENT = "not_sent"  # never ran


class NoticeKind(Enum):
    """The kind of value in an `AttemptNotice`."""

    LOAD = 1  # the connection's present load, in microseconds of work per second
    DELAY = 2  # the present latency of a message at the backend, in milliseconds


@dataclass(frozen=True, slots=True)
class Backend:
    """One entry of the backend list."""

    id: int
    state: BackendState
    zone: str = ""
    cell: int = 0
    weight: float = 1.0  # `Settings.weight_source` states what it means
    started_us: int = 0  # 0: not stated, the start was long ago


@dataclass(frozen=True, slots=True)
class BackendListUpdate:
    """The backend list, changes to it, or a failed call for it."""

    kind: ListKind
    version: int = 0
    backends: tuple[Backend, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client requests a connection; it must get exactly one final answer within `left_us`."""

    request: str
    request_class: str
    left_us: int
    key: str | None = None
    group_key: str | None = None
    tenant: str | None = None
    load_hint: float | None = None
    repeat: bool = False  # the client has tried before
    mid_flow: bool = False  # the request carries packets of an already open connection
    returning: bool = False  # the client reconnects after a broken connection or a migration


@dataclass(frozen=True, slots=True)
class ConnectionResumed:
    """A connection that is already open through this instance when it starts, established by attempt 0."""

    request: str
    request_class: str
    backend: int
    key: str | None = None
    group_key: str | None = None
    tenant: str | None = None
    load_hint: float | None = None


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client of a request has left before its final answer."""

    request: str


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """An attempt has succeeded: its connection is established."""

    request: str
    attempt: int
    backend: int
    latency_us: int = 0


@dataclass(frozen=True, slots=True)
class AttemptNotice:
    """A load or delay report about an open connection or its backend; `kind` determines the unit."""

    request: str
    attempt: int
    backend: int
    kind: NoticeKind
    value: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt, or the connection that it established, has ended."""

    request: str
    attempt: int
    backend: int
    outcome: AttemptOutcome
    over: bool  # the request has ended and needs no final answer
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
    """This instance's own load, to be shared with the other instances."""

    loads: Mapping[int, float]  # by backend, for all ready backends; 0 without connections
    connections: int
    loads_reported: bool  # loads are in microseconds of work per second, not in connections
    overloaded: frozenset[int]  # backends that it ejected, found overloaded or got a reset from
    alert: bool  # load may shift soon: a backend is overloaded, or the list has changed recently


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """The total load of the other instances at each backend, as known from gossip.

    Loads are in this instance's unit: connections until the first load was reported to it. Gossip can mark
    backends as overloaded and add to their load, but cannot add backends to the list.
    """

    loads: dict[int, float]
    connections: int
    loads_reported: bool  # loads are in microseconds of work per second, not in connections
    instances: int  # number of instances that gossip covers, including this one
    overloaded: frozenset[int]  # backends that other instances report as overloaded
    fresh_until_us: int  # from then on the load may have changed considerably


@dataclass(frozen=True, slots=True)
class OperatorOverride:
    """An operator has excluded a backend, or put it back after a restart."""

    backend: int
    excluded: bool


@dataclass(frozen=True, slots=True)
class BackendSnapshot:
    """The state that an instance has observed of one backend.

    Stored data and the state handed over to a successor contain the values without names, in the order of
    these fields.
    """

    id: int
    started_us: int  # start time of the observed process
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
    """The state that an instance has observed of set-ups: their rate limit, latency and success rate.

    Stored data contains the values in the order of these fields, as with `BackendSnapshot`.
    """

    rate_per_s: float  # 0: not limited
    tokens: float
    unlimited_from_per_s: float  # the rate above which the limit is lifted
    refilled_us: float
    cut_us: float
    mean_setup_us: float
    success_share: float
    recent_attempts: float
    last_attempt_us: float


SETUP_RATE_FIELDS = tuple(field.name for field in fields(SetupRateSnapshot))


@dataclass(frozen=True, slots=True)
class StateSnapshot:
    """The observed state of a predecessor on the same machine; its times are from the same clock."""

    backends: tuple[BackendSnapshot, ...]
    setup_rate: SetupRateSnapshot | None
    class_load: dict[str, tuple[float, int]]  # by class: mean reported load and number of reports


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set by `SetTimer` has fired."""

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
