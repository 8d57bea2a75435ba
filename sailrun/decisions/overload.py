"""Overload detection, and the load limit of a backend that follows from it.

A backend is overloaded while messages there take longer than the shortest latency objective. Delay reports,
set-up latencies and dropped connections are the evidence. Its load limit is then cut and grows back with
time. Without the limit, the same groups of clients would be placed there again as soon as the overload ends.
"""

from __future__ import annotations

import math

from sailrun.decisions.context import SECOND_US, DecisionContext
from sailrun.decisions.endpoints import DELAY_VALID_US, LIMIT_CUT_INTERVAL_US, Endpoint
from sailrun.decisions.load_accounting import LoadAccounting

# Multiples of the latency objective: above BUSY other backends are preferred, above OVERLOADED a backend gets
# no requests.
BUSY = 0.5
OVERLOADED = 1.0
# Delays are compared with the objective times this factor, to tolerate rounding.
ROUNDING_TOLERANCE = 0.999
MIN_OBJECTIVE_MS = 1.0
# The share of the load that a cut leaves as the limit, and the growth of the limit per second, as a
# share of the limit.
LIMIT_CUT_SHARE = 0.85
LIMIT_GROWTH_PER_S = 0.1
# The fair load divided by these is the lowest load that a cut starts from, and the lowest limit.
MIN_CUT_DIVISOR = 2
MIN_LIMIT_DIVISOR = 4


class OverloadDetector:
    """Detects overloaded backends and maintains their load limits."""

    def __init__(self, context: DecisionContext, loads: LoadAccounting, objective_ms: float) -> None:
        """`objective_ms` is the shortest latency objective of messages; 0 if none is stated."""
        self._context = context
        self._loads = loads
        self.objective_ms = objective_ms

    def is_overloaded(self, endpoint: Endpoint, share: float) -> bool:
        """Returns whether messages there take longer than this share of the shortest objective.

        Reports of other instances count only if there is no recent delay observed by this instance, and they
        mark a backend as busy at most.
        """
        state = endpoint.overload
        now_us = self._context.now_us
        if now_us - state.delay_us < DELAY_VALID_US:
            return state.delay_ms > max(self.objective_ms, MIN_OBJECTIVE_MS) * share * ROUNDING_TOLERANCE
        return now_us < state.reported_by_peers_until_us and share < OVERLOADED

    def is_below_limit(self, endpoint: Endpoint, load: float) -> bool:
        """Returns whether the backend stays within its load limit, as grown by now.

        One more connection of this load may exceed the limit by half of its load.
        """
        state = endpoint.overload
        grown = 1.0 + LIMIT_GROWTH_PER_S * (self._context.now_us - state.load_limit_us) / SECOND_US
        limit = max(state.load_limit * grown, self._loads.fair_load(endpoint) / MIN_LIMIT_DIVISOR)
        return endpoint.known_load() + load / 2 <= limit

    def limit_admission_us(self, endpoint: Endpoint, load: float) -> float:
        """Returns when the limit will have grown enough for one more connection of this load."""
        state = endpoint.overload
        if state.load_limit <= 0:
            return math.inf
        missing = (endpoint.known_load() + load / 2) / state.load_limit - 1.0
        return state.load_limit_us + SECOND_US * missing / LIMIT_GROWTH_PER_S

    def cut_limit(self, endpoint: Endpoint) -> None:
        """Cuts the load limit, at most once in `LIMIT_CUT_INTERVAL_US`."""
        state = endpoint.overload
        if self._context.now_us - state.load_limit_us >= LIMIT_CUT_INTERVAL_US:
            load = min(state.load_limit, endpoint.known_load())
            state.load_limit = LIMIT_CUT_SHARE * max(load, self._loads.fair_load(endpoint) / MIN_CUT_DIVISOR)
            state.load_limit_us = self._context.now_us

    def record_delay(self, endpoint: Endpoint, delay_ms: float) -> None:
        """Records how long a message takes there now."""
        endpoint.overload.delay_ms = delay_ms
        endpoint.overload.delay_us = self._context.now_us

    def record_overload(self, endpoint: Endpoint) -> None:
        """Marks a backend as overloaded that drops connections or set-ups, even without a delay report."""
        delay_ms = max(endpoint.overload.delay_ms, self.objective_ms, MIN_OBJECTIVE_MS)
        self.record_delay(endpoint, delay_ms)
        self.cut_limit(endpoint)
