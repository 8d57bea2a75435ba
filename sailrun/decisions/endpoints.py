"""The state that an instance keeps for each backend and each request. The module makes no decisions.

The state of a backend is split by concern: the module that owns a concern writes its state, and all other
modules only read it. The docstrings of the classes name the exceptions; `snapshot` restores all of it.
"""

from __future__ import annotations

import math
from collections import deque

from sailrun.decisions.events import Backend, BackendState
from sailrun.decisions.placement import backend_hash
from sailrun.decisions.settings import RequestClass

# A delay report of a backend is valid for this long.
DELAY_VALID_US = 2_500_000
# A backend's load limit is cut at most once per this interval.
LIMIT_CUT_INTERVAL_US = 900_000

NOT_STARTING = -1  # `SlowStartState.began_us` of a backend that is not in slow start


class OutlierState:
    """The observed failures of a backend; written by `outlier_detection`."""

    __slots__ = (
        "consecutive_errors",
        "consecutive_timeouts",
        "ejected_until_us",
        "ejections",
        "half_open",
        "last_connect_failure_us",
        "last_reset_us",
        "recent_resets",
    )

    def __init__(self) -> None:
        self.ejected_until_us = 0
        self.ejections = 0  # consecutive ones
        self.consecutive_timeouts = 0
        self.consecutive_errors = 0
        self.half_open = False  # was ejected and has not been observed to work since
        self.recent_resets = 0  # resets of the same burst
        self.last_reset_us = -DELAY_VALID_US
        self.last_connect_failure_us = -DELAY_VALID_US


class OverloadState:
    """The latency of messages and set-ups at a backend, and the load limit derived from it.

    Written by `overload` and `migration`. In addition, `load_accounting` writes `reported_by_peers_until_us`
    and `outlier_detection` resets the delay and the limit.
    """

    __slots__ = (
        "delay_ms",
        "delay_us",
        "load_limit",
        "load_limit_us",
        "reported_by_peers_until_us",
        "setup_excess_ms",
        "setup_excess_us",
    )

    def __init__(self) -> None:
        self.delay_ms = 0.0  # latency of a message
        self.delay_us = -DELAY_VALID_US  # when that was reported
        self.reported_by_peers_until_us = 0  # other instances report it as overloaded until then
        self.setup_excess_ms = 0.0  # how much longer set-ups take here than usual
        self.setup_excess_us = 0  # when that was observed
        self.load_limit = math.inf  # infinite: not limited
        self.load_limit_us = -LIMIT_CUT_INTERVAL_US  # when it was cut


class SlowStartState:
    """This instance's allowance for a backend in slow start; written by `slow_start`."""

    __slots__ = (
        "admission_probability",
        "allowance",
        "began_us",
        "full_connections",
        "is_assumed",
        "is_counted",
        "max_sends",
        "sends_us",
        "tokens",
        "tokens_us",
    )

    def __init__(self) -> None:
        self.sends_us: deque[int] = deque()  # start times of this instance's latest attempts there
        self.reset()

    def reset(self) -> None:
        """Resets everything except the recorded attempts."""
        self.began_us = NOT_STARTING
        self.tokens = 0.0  # unused share of this instance's allowance per window, 0 to 1
        self.tokens_us = 0  # when `tokens` was updated
        self.allowance = 0.0  # of this instance for one window, in requests
        self.full_connections = 0.0  # estimated connections of all instances that fill the backend
        self.max_sends = 1  # maximum number of attempts of this instance there within one window
        self.admission_probability = 0.0  # of the latest request
        self.is_assumed = False  # no start was stated: the backend was ejected and has recovered
        self.is_counted = False  # the allowance is a request or more, so that counting attempts is sufficient


class Endpoint:
    """A backend and the state that this instance keeps for it."""

    __slots__ = (
        "capacity",
        "cell",
        "connections",
        "draining_notified_us",
        "fleet_load",
        "hash",
        "id",
        "listed_state",
        "outlier",
        "overload",
        "own_load",
        "pending_attempts",
        "slow_start",
        "start_notified_us",
        "started_us",
        "state",
        "weight",
        "zone",
    )

    def __init__(self, entry: Backend) -> None:
        self.id = entry.id
        self.hash = backend_hash(entry.id)
        self.zone = entry.zone
        self.cell = entry.cell
        self.weight = entry.weight  # as listed
        self.capacity = 1.0  # relative to that of the other backends
        self.started_us = -1  # as listed; -1: not listed yet
        self.start_notified_us = 0  # when this instance was notified of that start
        self.draining_notified_us = 0  # when it was notified that the backend drains or is gone
        self.listed_state = BackendState.GONE
        self.state = BackendState.GONE  # as listed, or draining where an operator has excluded it
        self.connections: dict[str, ClientRequest] = {}  # established ones, in the order of their set-up
        self.pending_attempts = 0  # attempts under way
        self.own_load = 0.0  # of this instance's connections and pending attempts
        self.slow_start = SlowStartState()
        self.reset_observations()

    def reset_observations(self) -> None:
        """Discards the observations of a backend's old process when a new one runs under its id."""
        self.fleet_load = 0.0  # of the other instances
        self.outlier = OutlierState()
        self.overload = OverloadState()
        self.slow_start.reset()

    def known_load(self) -> float:
        """Returns this instance's load there plus that of the other instances, if known from gossip."""
        return self.own_load + self.fleet_load

    def is_in_slow_start(self) -> bool:
        """Returns whether the backend is in slow start."""
        return self.slow_start.began_us >= 0


class ClientRequest:
    """A request from its arrival to the end of its connection."""

    __slots__ = (
        "attempted_us",
        "attempts",
        "client_hash",
        "deadline_us",
        "endpoint",
        "first_ran_at",
        "first_ran_us",
        "is_established",
        "is_mid_flow",
        "is_returning",
        "key_hash",
        "load",
        "request_class",
        "request_id",
        "retry_not_before_us",
        "tried",
    )

    def __init__(self, request_id: str, request_class: RequestClass, key_hash: int, deadline_us: int) -> None:
        self.request_id = request_id
        self.request_class = request_class
        self.key_hash = key_hash  # of the key that determines the placement: the group's or the client's own
        self.deadline_us = deadline_us  # negative: the client has left, but the attempt has not ended yet
        self.client_hash = 0  # of the client's own key if a group's key determines the placement; 0: none
        self.load = 1.0
        self.endpoint: Endpoint | None = None  # of the attempt under way or the established connection
        self.is_established = False
        self.is_mid_flow = False
        self.is_returning = False  # after a reset, migration or rejection; many clients may return at once
        self.attempts = 0
        self.attempted_us = 0  # when the latest attempt began
        self.tried: tuple[Endpoint, ...] = ()
        self.first_ran_at: Endpoint | None = None  # of the first attempt that may have run
        self.first_ran_us = 0
        self.retry_not_before_us = 0
