"""Overload of backends: how it shows, and the load limit that is learned from it.

A backend is overloaded while messages there take longer than the shortest latency objective, as its reports,
the times of set-ups or dropped connections tell. Its load limit is cut then and grows back with time: without
it the same groups of clients would come back as soon as it is no longer overloaded.
"""

from __future__ import annotations

import math

from sailrun.decisions.context import SECOND_US, DecisionContext
from sailrun.decisions.endpoints import DELAY_VALID_US, LIMIT_CUT_INTERVAL_US, Endpoint
from sailrun.decisions.load_accounting import LoadAccounting

# Multiples of the latency objective: from half on others come first, from all of it on nothing is sent.
BUSY = 0.5
OVERLOADED = 1.0
# Delays are compared with the objective less rounding.
ROUNDING = 0.999
MIN_OBJECTIVE_MS = 1.0
# The share of its limit that one cut leaves a backend, and the growth of the limit a second.
LIMIT_CUT = 0.85
LIMIT_GROWTH_PER_S = 0.1
# The least load that a cut starts from, and the least limit: the fair load over these.
MIN_CUT_DIVISOR = 2
MIN_LIMIT_DIVISOR = 4


class OverloadDetector:
    """Tells which backends are overloaded, and keeps their load limits."""

    def __init__(self, context: DecisionContext, loads: LoadAccounting, objective_ms: float) -> None:
        """`objective_ms`: the shortest latency objective of messages; 0: none is stated."""
        self._context = context
        self._loads = loads
        self.objective_ms = objective_ms

    def is_overloaded(self, endpoint: Endpoint, share: float) -> bool:
        """Whether messages there take over this share of the shortest objective. Reports of other instances
        make a backend no worse than busy, and count only without one of its own.
        """
        state = endpoint.overload
        now_us = self._context.now_us
        if now_us - state.delay_us < DELAY_VALID_US:
            return state.delay_ms > max(self.objective_ms, MIN_OBJECTIVE_MS) * share * ROUNDING
        return now_us < state.reported_by_peers_until_us and share < OVERLOADED

    def is_below_limit(self, endpoint: Endpoint, load: float) -> bool:
        """Whether a connection of this load keeps the backend within its load limit, as grown by now."""
        state = endpoint.overload
        grown = 1.0 + LIMIT_GROWTH_PER_S * (self._context.now_us - state.load_limit_us) / SECOND_US
        limit = max(state.load_limit * grown, self._loads.fair_load(endpoint) / MIN_LIMIT_DIVISOR)
        return endpoint.known_load() + load / 2 <= limit

    def limit_opens_us(self, endpoint: Endpoint, load: float) -> float:
        """When the limit will have grown past a connection of this load."""
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
            state.load_limit = LIMIT_CUT * max(load, self._loads.fair_load(endpoint) / MIN_CUT_DIVISOR)
            state.load_limit_us = self._context.now_us

    def record_delay(self, endpoint: Endpoint, delay_ms: float) -> None:
        """A message takes so long there now."""
        endpoint.overload.delay_ms = delay_ms
        endpoint.overload.delay_us = self._context.now_us

    def record_strain(self, endpoint: Endpoint) -> None:
        """A backend that drops connections or set-ups is overloaded, though it may never report a delay."""
        delay_ms = max(endpoint.overload.delay_ms, self.objective_ms, MIN_OBJECTIVE_MS)
        self.record_delay(endpoint, delay_ms)
        self.cut_limit(endpoint)
