"""The settings of the decisions: what an operator states before an instance starts.

Times are whole microseconds, loads are microseconds of work a second. The names of the platform's settings
files are mapped to these fields in `sailrun/wire.py`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class DiscoveryMode(Enum):
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


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with its latency objective, its deadline and the effect of a repeat."""

    name: str
    objective_us: int  # latency objective of a set-up
    deadline_us: int  # a client waits this long over all its attempts
    priority_weight: float = 1.0
    effect: Effect = Effect.IDEMPOTENT
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_us: int = 0  # from the first attempt that may have run
    message_objective_us: float = 0.0  # latency objective of a message on the open connection; 0: not stated


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant of the service with its quota."""

    name: str
    share: float = 1.0  # of the service
    quota_per_s: float = 0.0  # requests a second inside its share, all instances together; 0: none
    quota_connections: float = 0.0  # open connections inside its share, likewise; 0: none


@dataclass(frozen=True, slots=True)
class Settings:
    """What an operator states at start. Drain grace and the figures of slow start have no defaults."""

    zone: str
    classes: tuple[RequestClass, ...]
    drain_grace_us: int  # sends to a draining or gone backend stop within this
    initial_capacity_share: float  # a backend starts at this share of its capacity or above
    slow_start_us: int  # and has all of it after this at most
    overload_multiple: float  # sent more than this multiple of its present capacity
    overload_window_us: int  # for this long, a backend in slow start is overloaded
    answer_slack_us: int = 0  # a final answer still counts this long after the deadline
    instances: int = 1  # of this tier
    index: int = 0  # this one among them
    tenants: tuple[Tenant, ...] = ()
    over_quota_priority_weight: float = 1.0  # of traffic beyond a tenant's share
    discovery: DiscoveryMode = DiscoveryMode.PUSH
    poll_interval_us: int = 0  # ask mode: an unsubscribed instance must have asked within this
    max_attempts: int = 3
    connect_timeout_us: int = 250_000
    retry_after: bool = True  # clients are told how long to stay away
    max_retry_after_us: int = 0  # the longest such time that they honour
    parallel_attempts: bool = False
    cancel: bool = False
    probes: bool = False
    peer_messages: bool = False
    reports_delay: bool = False  # backends report what a message takes there
    pass_through: bool = False  # connections survive a change of instance
    park_us: int = 0  # how long a backend keeps a silent pass-through connection
    capacity_hints: bool = False  # `Backend.capacity` compares backends
    tick_us: int = 1_000  # events are handled at most this often
