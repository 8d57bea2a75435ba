"""The settings of the decision module, which an operator sets before an instance starts.

Times are in whole microseconds and loads in microseconds of work per second. The names in the platform's
settings files are mapped to these fields in `sailrun/settings_codec.py`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class DiscoveryMode(Enum):
    """How the backend list reaches an instance."""

    PUSH = "push"  # changes are delivered without a call
    ASK = "ask"  # only after `Subscribe` or `FetchList`


class Effect(Enum):
    """The effect of running a request a second time."""

    IDEMPOTENT = "idempotent"  # harmless
    DEDUPLICATED = "deduplicated"  # harmless inside the deduplication scope and window
    AT_MOST_ONCE = "at_most_once"  # must never happen


class DedupScope(Enum):
    """Which backends recognize repeats of a deduplicated request that ran at another one of them."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class WeightSource(Enum):
    """The meaning of the weights in the backend list."""

    SILENT = "silent"  # all weights are equal
    NOMINAL = "nominal"  # the registered capacity
    ROUGH = "rough"  # approximately the capacity
    LIVE = "live"  # the capacity divided by 1 and the requests in flight per core, at some earlier time

    def capacity(self, weight: float) -> float:
        """Returns a backend's capacity, relative to the others', as far as its weight states it; else 1.

        A live weight states none: a backend without requests has many times the weight of its equals that
        serve some, and the number of cores, by which the capacity could be computed, is not known.
        """
        return weight if weight > 0 and self is not WeightSource.LIVE else 1.0


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with its latency objective, its deadline and the effect of a repeat."""

    name: str
    objective_us: int  # latency objective of a set-up
    deadline_us: int  # a client waits this long in total, over all attempts
    priority_weight: float = 1.0
    effect: Effect = Effect.IDEMPOTENT
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_us: int = 0  # from the first attempt that may have run
    message_objective_us: float = 0.0  # latency objective of a message on the open connection; 0: not stated


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant of the service with its quota."""

    name: str
    share: float = 1.0  # of the service, 0 to 1
    quota_per_s: float = 0.0  # requests per second within its share, over all instances; 0: no quota
    quota_connections: float = 0.0  # open connections within its share, over all instances; 0: no quota


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of an instance. Drain grace and the slow start settings have no defaults."""

    zone: str
    classes: tuple[RequestClass, ...]
    drain_grace_us: int  # no request is sent to a backend later than this after it drains or is gone
    initial_capacity_share: float  # the minimum share of its capacity that a backend has at its start
    slow_start_us: int  # a backend has its full capacity after this time at the latest
    overload_multiple: float  # this multiple of its present capacity, in requests, overloads a backend
    overload_window_us: int  # the time over which these requests are counted; slow start only
    answer_slack_us: int = 0  # a final answer still counts until this long after the deadline
    instances: int = 1  # number of instances of this tier
    index: int = 0  # of this instance within the tier
    tenants: tuple[Tenant, ...] = ()
    over_quota_priority_weight: float = 1.0  # weight of traffic that exceeds a tenant's share
    discovery: DiscoveryMode = DiscoveryMode.PUSH
    poll_interval_us: int = 0  # mode ASK: an unsubscribed instance must call at least once per this interval
    max_attempts: int = 3
    connect_timeout_us: int = 250_000
    retry_after: bool = True  # rejections state how long the client must wait before a retry
    max_retry_after_us: int = 0  # the longest such time that clients respect
    parallel_attempts: bool = False
    cancel: bool = False
    probes: bool = False
    peer_messages: bool = False
    reports_delay: bool = False  # backends report the latency of messages
    pass_through: bool = False  # connections continue when the client switches to another instance
    park_us: int = 0  # how long a backend keeps an idle pass-through connection
    weight_source: WeightSource = WeightSource.SILENT  # what `Backend.weight` means
    tick_us: int = 1_000  # the minimum interval at which events are handled
