"""What an instance keeps of each backend and of each request. Nothing here decides anything.

The state of a backend is kept by concern: the module that owns a concern writes it, all others read.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from sailrun.decisions.events import Backend, BackendState
from sailrun.decisions.placement import server_hash
from sailrun.decisions.settings import RequestClass

# A report of a backend's delay is believed for so long.
DELAY_VALID_US = 2_500_000
# A backend's load limit is cut at most once in this time.
LIMIT_CUT_INTERVAL_US = 900_000

NOT_STARTING = -1  # `SlowStartState.began_us` of a backend that has all of its capacity


@dataclass(slots=True, eq=False)
class OutlierState:
    """What was observed of a backend's failures; written by `outlier_detection`."""

    ejected_until_us: int = 0
    ejections: int = 0  # in a row
    consecutive_timeouts: int = 0
    consecutive_errors: int = 0
    half_open: bool = False  # ejected before, and not yet seen to work again
    recent_resets: int = 0  # that belong together
    last_reset_us: int = -DELAY_VALID_US
    last_connect_failure_us: int = -DELAY_VALID_US


@dataclass(slots=True, eq=False)
class OverloadState:
    """How long messages and set-ups take at a backend, and the limit learned from it; written by `overload`
    and `migration`.
    """

    delay_ms: float = 0.0  # what a message takes
    delay_us: int = -DELAY_VALID_US  # when that was reported
    reported_by_peers_until_us: int = 0  # other instances find it slow, until then
    setup_excess_ms: float = 0.0  # by how much set-ups take longer here than usual
    setup_excess_us: int = 0  # when that was observed
    load_limit: float = math.inf
    load_limit_us: int = -LIMIT_CUT_INTERVAL_US  # when it was cut


@dataclass(slots=True, eq=False)
class SlowStartState:
    """This instance's part in a backend's slow start; written by `slow_start`."""

    began_us: int = NOT_STARTING
    tokens: float = 0.0  # what is left of this instance's part of one window, 0 to 1
    tokens_us: int = 0  # when that was so
    part: float = 0.0  # this instance's part of one window, in requests
    max_sends: int = 1  # that this instance starts there in one window
    admission_probability: float = 0.0  # of the latest request
    is_assumed: bool = False  # nobody stated a start: it was ejected and answers again
    is_counted: bool = False  # the part is a request or more, so that counting sends bounds the sum
    sends_us: deque[int] = field(default_factory=deque)  # the latest attempts of this instance there

    def reset(self) -> None:
        """Forgets all but the attempts made."""
        self.began_us, self.tokens, self.tokens_us = NOT_STARTING, 0.0, 0
        self.part, self.max_sends, self.admission_probability = 0.0, 1, 0.0
        self.is_assumed = self.is_counted = False


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


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request from its arrival to the end of its connection."""

    request_id: str
    request_class: RequestClass
    key_hash: int  # of the key that decides: the group's, or the client's own
    deadline_us: int  # negative: it is over, and the end of its attempt is still to come
    client_hash: int = 0  # of the client's own key where a group's key decides; 0: none
    load: float = 1.0
    endpoint: Endpoint | None = None  # where its attempt is under way, or its connection is established
    is_established: bool = False
    is_mid_flow: bool = False
    is_returning: bool = False  # after a break, a migration or a rejection, as many do at one time
    attempts: int = 0
    attempted_us: int = 0  # when the latest attempt began
    tried: tuple[Endpoint, ...] = ()
    first_ran_at: Endpoint | None = None  # of the first attempt that may have run
    first_ran_us: int = 0
    retry_not_before_us: int = 0
