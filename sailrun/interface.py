"""What goes into and comes out of the decision module: settings, events and actions.

Times are whole microseconds on the relay's own monotonic clock unless a name says otherwise.
Nothing here decides anything; `sailrun.decide` does.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, fields
from enum import Enum

# --------------------------------------------------------------------------- vocabulary


class Discovery(Enum):
    """How the backend list reaches an instance."""

    PUSH = "push"  # changes come by themselves
    ASK = "ask"  # only after `Subscribe` or `FetchList`


class Effect(Enum):
    """What a second run of a request would do."""

    IDEMPOTENT = "idempotent"  # harmless
    DEDUPLICATED = "deduplicated"  # harmless inside the deduplication scope and window
    AT_MOST_ONCE = "at_most_once"  # must never happen


class DedupScope(Enum):
    """Which backends drop each other's repeats of a deduplicated request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class BackendState(Enum):
    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(Enum):
    FAILED = 0  # a call or the subscription failed; the old list stands
    DELTA = 1  # changed entries only
    CACHED = 2  # the whole list as this instance last had it, perhaps old
    FULL = 3  # the whole list


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    REJECTED = "rejected"  # turned away unseen; never ran
    TIMED_OUT = "timed_out"  # may have run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # withdrawn, or the client left; may have run
    NOT_SENT = "not_sent"  # never ran


class NoticeKind(Enum):
    LOAD = 1  # value: the connection's load now, microseconds of work a second
    DELAY = 2  # value: milliseconds a message takes at the backend now


class Cause(Enum):
    """What an open connection is moved for."""

    CROWDED = "crowded"  # its backend has more than it can do
    DRAINS = "drains"  # its backend is to end
    SILENT = "silent"  # nothing comes back from its backend
    LEAVING = "leaving"  # this instance is to end, or drains
    BALANCE = "balance"  # others have room, and nothing else is the matter


class SlowStartCause(Enum):
    """Why a backend is taken to be in slow start, or no longer; for the log."""

    LISTED = "listed"  # the list tells of its start
    BY_HAND = "by-hand"  # staff put it back
    ANSWERS_AGAIN = "answers-again"  # it did not, and may have restarted before the list tells
    WARM = "warm"  # it is over


class Withheld(Enum):
    """Why a request was given its final answer without being brought up; for the log."""

    OUT_OF_TIME = "out-of-time"  # its deadline is too near for an attempt
    OUT_OF_ATTEMPTS = "out-of-attempts"  # no more are allowed, or no repeat
    NOWHERE = "nowhere"  # no backend will admit it before its deadline
    GIVEN_UP = "given-up"  # its attempt was withdrawn
    LEAVING = "leaving"  # the instance ends


# --------------------------------------------------------------------------- settings


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    objective_us: int  # wanted set-up time
    deadline_us: int  # a client waits this long over all its tries
    worth: float = 1.0
    effect: Effect = Effect.IDEMPOTENT
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_us: int = 0  # from the first attempt that may have run
    message_objective_us: float = 0.0  # wanted message time on the open connection; 0: not stated


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    share: float = 1.0  # of the service
    quota_per_s: float = 0.0  # requests a second inside its share, all instances together; 0: none
    quota_connections: float = 0.0  # open connections inside its share, likewise; 0: none


@dataclass(frozen=True, slots=True)
class Settings:
    """What an operator states at start. The figures of the four rules have no defaults."""

    zone: str
    classes: tuple[RequestClass, ...]
    drain_grace_us: int  # sends to a draining or gone backend stop within this
    cold_from: float  # a backend starts at this share of its capacity or above
    cold_us: int  # and is warm after this at most
    fall_multiple: float  # sent more than this multiple of its present capacity
    fall_us: int  # for this long, a cold backend falls over
    answer_slack_us: int = 0  # a final answer still counts this long after the deadline
    instances: int = 1  # relays in this tier
    index: int = 0  # this one among them
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0  # worth of traffic beyond a tenant's share
    discovery: Discovery = Discovery.PUSH
    must_ask_in_us: int = 0  # ask mode: an unsubscribed instance must have asked within this
    max_attempts: int = 3
    connect_timeout_us: int = 250_000
    retry_after: bool = True  # clients are told how long to stay away
    max_retry_after_us: int = 0  # the longest such time that they honour
    parallel_attempts: bool = False
    cancel: bool = False
    probes: bool = False
    peer_messages: bool = False
    tells_delay: bool = False  # form servers tell what a message takes with them
    pass_through: bool = False  # connections survive a change of relay
    park_us: int = 0  # how long a backend keeps a silent pass-through connection
    capacity_hints: bool = False  # `Backend.capacity` compares backends
    tick_us: int = 1_000  # events are handled at most this often


# --------------------------------------------------------------------------- events


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
class ListUpdate:
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
    load_hint: float | None = None  # microseconds of work a second
    repeat: bool = False  # the client has tried before
    mid_flow: bool = False  # packets of an open connection
    returning: bool = False  # back after a break or a move


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
    request: str


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    request: str
    attempt: int
    backend: int
    latency_us: int = 0


@dataclass(frozen=True, slots=True)
class AttemptNotice:
    request: str
    attempt: int
    backend: int
    kind: NoticeKind
    value: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    request: str
    attempt: int
    backend: int
    outcome: Outcome
    over: bool  # the request is over; no final answer is owed
    latency_us: int = 0
    report: tuple[tuple[str, float], ...] = ()  # the backend's load report, by name


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    backend: int
    outcome: Outcome
    latency_us: int = 0
    report: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    content: bytes


@dataclass(frozen=True, slots=True)
class OthersHold:
    """What the other instances hold together at each backend, in this one's unit or, before the first
    connection's load was told here, in us of work a second. Hearsay: it may warn of a backend and count its
    load, and lists none.
    """

    loads: dict[int, float]
    connections: int
    told: bool  # loads are us of work a second, not connections
    instances: int  # that were heard, this one among them
    warned: frozenset[int]
    until_us: int  # from then on it may be a good deal different


@dataclass(frozen=True, slots=True)
class ByHand:
    """Staff took a backend out, or called it back after it was restarted."""

    backend: int
    out: bool


@dataclass(frozen=True, slots=True)
class Learned:
    """What an instance has seen of one backend, in the words of `sailrun.decide`."""

    id: int
    started_us: int  # of which process of it
    told_us: int
    ejected_until: int
    ejections: int
    strikes: int
    errors: int
    trial: bool
    delay_ms: float
    delay_us: int
    limit: float
    limit_us: int
    cold_from_us: int
    tokens: float
    token_us: int


LEARNED = tuple(f.name for f in fields(Learned))
# What it knows of set-ups in general: the pace they are held to, what they take, how many succeed.
PACE = (
    "pace",
    "pace_tokens",
    "pace_free",
    "pace_us",
    "slowed_us",
    "setup_us",
    "succeeding",
    "sends",
    "sent_us",
)


@dataclass(frozen=True, slots=True)
class Recalled:
    """What a predecessor on the same machine had learned; its times are of the same clock."""

    backends: tuple[Learned, ...]
    pace: tuple[float, ...]  # in the order of PACE
    class_load: dict[str, tuple[float, int]]  # mean load told, and notes it rests on


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


Event = (
    ListUpdate
    | RequestArrived
    | ConnectionResumed
    | ClientLeft
    | ConnectionOpened
    | AttemptNotice
    | AttemptEnded
    | ProbeEnded
    | PeerMessage
    | OthersHold
    | ByHand
    | Recalled
    | TimerFired
)

# --------------------------------------------------------------------------- actions


@dataclass(frozen=True, slots=True)
class SlowStartUse:
    """What an instance knew of a backend in slow start when it sent a request there; for the log."""

    share: float  # of the backend's capacity that it surely has, 0 to 1
    sent: int  # by this instance within the last `fall_us`, this request among them
    part: float  # of what all instances may send within `fall_us`, this one's, in requests


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; given up at `until_us`, and at the client's deadline at the latest. Where its first
    byte has not left by `begin_by_us` it is not sent: as a repeat it might be taken for a new request.
    """

    request: str
    backend: int
    until_us: int = 0
    begin_by_us: float = math.inf
    slow_start: SlowStartUse | None = None  # None: the backend is warm


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: turned away, trying again is harmless."""

    request: str
    retry_after_us: int = 0
    why: Withheld | None = None


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise about its effect."""

    request: str
    why: Withheld | None = None


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class MoveConnection:
    """End an open connection politely; its client comes again as a new request."""

    request: str
    cause: Cause = Cause.CROWDED


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    active: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    pass


@dataclass(frozen=True, slots=True)
class ProbeBackend:
    backend: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    backend: int


@dataclass(frozen=True, slots=True)
class TellPeer:
    """`peer` None tells every peer."""

    peer: int | None
    content: bytes


@dataclass(frozen=True, slots=True)
class SlowStartChanged:
    """For the log: a backend is in slow start from now on, or no longer. `age_us`: since its begin."""

    backend: int
    cause: SlowStartCause
    age_us: int = 0


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = (
    Send
    | Refuse
    | Fail
    | CancelAttempt
    | MoveConnection
    | SetTimer
    | Subscribe
    | FetchList
    | ProbeBackend
    | CloseIdle
    | TellPeer
    | SlowStartChanged
    | Log
)
