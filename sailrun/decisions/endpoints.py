"""What an instance keeps of each backend and of each request. Nothing here decides anything.

The state of a backend is kept by concern: the module that owns a concern writes it, all others read.
"""

from __future__ import annotations

import math
from collections import deque

from sailrun.decisions.events import Backend, BackendState
from sailrun.decisions.placement import server_hash
from sailrun.decisions.settings import RequestClass

# A report of a backend's delay is believed for so long.
DELAY_VALID_US = 2_500_000
# A backend's load limit is cut at most once in this time.
LIMIT_CUT_INTERVAL_US = 900_000

NOT_STARTING = -1  # `SlowStartState.began_us` of a backend that has all of its capacity


class OutlierState:
    """What was observed of a backend's failures; written by `outlier_detection`."""

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
        self.ejections = 0  # in a row
        self.consecutive_timeouts = 0
        self.consecutive_errors = 0
        self.half_open = False  # ejected before, and not yet seen to work again
        self.recent_resets = 0  # that belong together
        self.last_reset_us = -DELAY_VALID_US
        self.last_connect_failure_us = -DELAY_VALID_US


class OverloadState:
    """How long messages and set-ups take at a backend, and the limit learned from it; written by `overload`
    and `migration`.
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
        self.delay_ms = 0.0  # what a message takes
        self.delay_us = -DELAY_VALID_US  # when that was reported
        self.reported_by_peers_until_us = 0  # other instances find it slow, until then
        self.setup_excess_ms = 0.0  # by how much set-ups take longer here than usual
        self.setup_excess_us = 0  # when that was observed
        self.load_limit = math.inf
        self.load_limit_us = -LIMIT_CUT_INTERVAL_US  # when it was cut


class SlowStartState:
    """This instance's part in a backend's slow start; written by `slow_start`."""

    __slots__ = (
        "admission_probability",
        "began_us",
        "is_assumed",
        "is_counted",
        "max_sends",
        "part",
        "sends_us",
        "tokens",
        "tokens_us",
    )

    def __init__(self) -> None:
        self.sends_us: deque[int] = deque()  # the latest attempts of this instance there
        self.reset()

    def reset(self) -> None:
        """Forgets all but the attempts made."""
        self.began_us = NOT_STARTING
        self.tokens = 0.0  # what is left of this instance's part of one window, 0 to 1
        self.tokens_us = 0  # when that was so
        self.part = 0.0  # this instance's part of one window, in requests
        self.max_sends = 1  # that this instance starts there in one window
        self.admission_probability = 0.0  # of the latest request
        self.is_assumed = False  # nobody stated a start: it was ejected and answers again
        self.is_counted = False  # the part is a request or more, so that counting sends bounds the sum


class Endpoint:
    """A backend as this instance knows it."""

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
        "zone",
    )

    def __init__(self, entry: Backend) -> None:
        self.id = entry.id
        self.hash = server_hash(entry.id)
        self.zone = entry.zone
        self.cell = entry.cell
        self.capacity = entry.capacity
        self.started_us = -1  # as listed; -1: not listed yet
        self.start_notified_us = 0  # when this instance was notified of that start
        self.draining_notified_us = 0  # when it was notified that the backend drains or is gone
        self.listed_state = BackendState.GONE
        self.state = BackendState.GONE  # as listed, or draining where an operator has excluded it
        self.connections: dict[str, ClientRequest] = {}  # established, in the order of their set-up
        self.pending_attempts = 0  # under way
        self.own_load = 0.0  # of both
        self.slow_start = SlowStartState()
        self.reset_observations()

    def reset_observations(self) -> None:
        """A new process runs under this id: what was observed of the old one says nothing."""
        self.fleet_load = 0.0  # of the other instances
        self.outlier = OutlierState()
        self.overload = OverloadState()
        self.slow_start.reset()

    def known_load(self) -> float:
        """This instance's load there and, while gossip tells of it, that of the others."""
        return self.own_load + self.fleet_load

    def is_in_slow_start(self) -> bool:
        """Whether it has only a part of its capacity yet."""
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
        self.key_hash = key_hash  # of the key that decides: the group's, or the client's own
        self.deadline_us = deadline_us  # negative: it is over, and the end of its attempt is still to come
        self.client_hash = 0  # of the client's own key where a group's key decides; 0: none
        self.load = 1.0
        self.endpoint: Endpoint | None = None  # of its attempt under way, or its established connection
        self.is_established = False
        self.is_mid_flow = False
        self.is_returning = False  # after a break, a migration or a rejection, as many do at one time
        self.attempts = 0
        self.attempted_us = 0  # when the latest attempt began
        self.tried: tuple[Endpoint, ...] = ()
        self.first_ran_at: Endpoint | None = None  # of the first attempt that may have run
        self.first_ran_us = 0
        self.retry_not_before_us = 0
