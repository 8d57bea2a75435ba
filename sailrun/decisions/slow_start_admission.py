"""Slow start of backends: when it begins, and which requests a backend in slow start admits."""

from __future__ import annotations

import math

from sailrun.decisions.actions import SlowStartAllowance, SlowStartChanged, SlowStartReason
from sailrun.decisions.capacity import CapacityEstimator
from sailrun.decisions.context import DecisionContext
from sailrun.decisions.endpoints import ClientRequest, Endpoint
from sailrun.decisions.load_accounting import MIN_MEAN_LOAD, LoadAccounting
from sailrun.decisions.slow_start import SlowStart
from sailrun.decisions.start_times import StartTimes

# The computed capacity share is a lower bound. With at least MANY_INSTANCES instances, each of which sends
# little, and with recent gossip, the load of a backend may be higher by the factor MANY_INSTANCES_MULTIPLE.
MANY_INSTANCES = 16
MANY_INSTANCES_MULTIPLE = 1.6


class SlowStartAdmission:
    """Begins slow starts, and admits requests to backends in slow start."""

    def __init__(
        self,
        context: DecisionContext,
        loads: LoadAccounting,
        slow_start: SlowStart,
        start_times: StartTimes,
        capacity: CapacityEstimator,
    ) -> None:
        self._context = context
        self._loads = loads
        self._slow_start = slow_start
        self._start_times = start_times
        self._capacity = capacity

    def begin(self, endpoint: Endpoint, since_us: int, reason: SlowStartReason) -> None:
        """Begins the slow start of a backend that started at `since_us`, unless that is too long ago."""
        may_have_sent = reason is SlowStartReason.LISTED and not self._start_times.is_synchronized
        is_assumed = reason is SlowStartReason.RECOVERED and (
            endpoint.slow_start.is_assumed or not endpoint.is_in_slow_start()
        )
        now_us = self._context.now_us
        if self._slow_start.begin(
            endpoint, since_us, now_us, may_have_sent=may_have_sent, is_assumed=is_assumed
        ):
            self._context.emit(SlowStartChanged(endpoint.id, reason, now_us - since_us))
            self._capacity.request_recount()  # computes the allowance before any request is sent there

    def record_restart(self, endpoint: Endpoint) -> None:
        """Resets the observations of a backend whose process was replaced by another one."""
        self._slow_start.end(endpoint)
        endpoint.reset_observations()

    def draw_allowance(self, request: ClientRequest) -> None:
        """Draws the slow start allowance of a request that is about to be placed."""
        loads = self._loads
        mean_load = max(loads.mean_load(), MIN_MEAN_LOAD)
        key_load = loads.group_load(request.key_hash) / mean_load
        own_load = loads.own_load / mean_load
        self._slow_start.draw_allowance(
            self._capacity.open_at_full_capacity, key_load, own_load, self._context.now_us
        )

    def admits(self, endpoint: Endpoint, request: ClientRequest, *, for_attempt: bool) -> bool:
        """Returns whether the slow start rules let the backend admit the request.

        The load of a backend in slow start must not exceed the fair load times its capacity share (higher by
        `MANY_INSTANCES_MULTIPLE` among many instances), and the requests sent there must stay within the
        allowance of `SlowStart`. Without `for_attempt`, a backend in slow start admits nothing.
        """
        if endpoint.slow_start.began_us < 0:
            return True
        if not for_attempt:
            return False
        now_us = self._context.now_us
        share = self._load_multiple() * self._slow_start.capacity_share(endpoint, now_us)
        if endpoint.known_load() > share * self._loads.fair_load(endpoint):
            return False
        weight = request.load / max(self._loads.mean_load(), MIN_MEAN_LOAD)
        return self._slow_start.admits(endpoint, weight, request.is_returning, now_us)

    def record_attempt(self, endpoint: Endpoint) -> SlowStartAllowance | None:
        """Records that an attempt begins there; returns None if the backend is not in slow start."""
        if endpoint.slow_start.began_us < 0:
            return None
        return self._slow_start.record_attempt(endpoint, self._context.now_us)

    def next_admission_us(self, endpoint: Endpoint, other_rules_admission_us: float) -> float:
        """Estimates when a backend in slow start will admit a waiting request.

        `other_rules_admission_us` is the time at which all other rules admit it. The result is no later than
        the end of the slow start.
        """
        settings = self._context.settings
        now_us = self._context.now_us
        known_load = endpoint.known_load()
        fair = self._loads.fair_load(endpoint)
        share = self._load_multiple() * self._slow_start.capacity_share(endpoint, now_us)
        missing = math.inf
        if fair > 0:
            missing = (known_load / fair - share) / (1 - settings.initial_capacity_share)
        wait_us = max(0.0, missing) * settings.slow_start_us if known_load > 0 else 0.0
        next_us = self._slow_start.next_admission_us(endpoint, now_us)
        ends_us = max(now_us, endpoint.slow_start.began_us + settings.slow_start_us)
        return min(max(other_rules_admission_us, now_us + wait_us, next_us), ends_us)

    def _load_multiple(self) -> float:
        is_among_many = self._loads.instances >= MANY_INSTANCES and self._loads.is_fleet_load_fresh()
        return MANY_INSTANCES_MULTIPLE if is_among_many else 1.0
