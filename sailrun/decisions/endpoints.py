"""What the decisions keep of each backend and each request: hashes, counts and when things were last seen.

Nothing here decides anything; `sailrun/decisions/balancer.py` does.
"""

from __future__ import annotations

import math
from collections import deque

from sailrun.decisions.events import Backend, BackendState
from sailrun.decisions.placement import server_hash
from sailrun.decisions.settings import RequestClass

# A delay note older than this says nothing any more.
NOTE_US = 2_500_000
# A crowded backend's limit is cut at most once in so long.
LIMIT_US = 900_000


class TrackedBackend:
    """What this instance knows of one backend."""

    def __init__(self, entry: Backend) -> None:
        self.id, self.hash = entry.id, server_hash(entry.id)
        self.zone, self.cell, self.capacity = entry.zone, entry.cell, entry.capacity
        self.open: dict[str, TrackedRequest] = {}  # connections that stand, in the order they came
        self.pending, self.load = 0, 0.0  # attempts out that do not stand yet; of these and what is open
        self.draining_notified_us, self.started_us = (
            0,
            -1,
        )  # when this instance was told that it drains or is gone
        self.start_told_us = 0  # when it was told of the present start
        self.state = self.listed = BackendState.GONE  # as listed it may be ready, and out by hand
        self.sent_us: deque[int] = deque()  # this instance's latest sends to it in slow start
        self.forget()

    def held(self) -> float:
        """The load known of: this relay's and, while it hears of them, the others'."""
        return self.load + self.others

    def forget(self) -> None:
        """A new process under this id: what was seen of the old one says nothing."""
        self.ejected_until_us = self.ejections = self.consecutive_timeouts = self.consecutive_errors = (
            self.resets
        ) = 0
        self.others, self.warned_us = 0.0, 0  # what other relays hold there; they find it late, until then
        self.half_open = False  # ejected before; not yet seen to work again
        self.delay_ms = 0.0
        self.delay_us = self.resets_us = self.missed_us = -NOTE_US
        self.late_ms, self.late_us = 0.0, 0  # how much longer than usual set-ups take here
        self.load_limit, self.load_limit_us = (
            math.inf,
            -LIMIT_US,
        )  # on the load known of, learned from crowding
        # In slow start: its begin, -1: warm; what is left of this instance's part, 0 to 1, and since when.
        self.slow_start_began_us, self.tokens, self.tokens_us = -1, 0.0, 0
        # This instance's part of one window; the most it sends in one; the chance of the latest request.
        self.part, self.most, self.chance = 0.0, 1, 0.0
        self.assumed = False  # nobody has said that it started; it was away and answers again
        self.counts = False  # its part is at least one request, so that a count bounds the sum


class TrackedRequest:
    def __init__(self, name: str, cls: RequestClass, hashed: int, deadline_us: int) -> None:
        self.id, self.cls, self.hash, self.deadline_us = name, cls, hashed, deadline_us
        self.at: TrackedBackend | None = None  # where its attempt is out, or its connection stands
        self.tried: tuple[TrackedBackend, ...] = ()
        self.ran_at: TrackedBackend | None = None  # the first attempt that may have run
        self.attempts = self.sent_us = self.ran_us = 0
        self.opened = self.mid_flow = False
        self.comes_again = False  # after a break, a move or a refusal, as many do at one time
        self.client = 0  # hash of the client's own key where a group key decides; 0: none
        self.load, self.not_before_us = 1.0, 0  # after an error it is not sent again before this
