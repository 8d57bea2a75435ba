"""Bounded loads: no backend gets far more than its fair share of the known load.

Source: "Consistent Hashing with Bounded Loads" (Mirrokni, Thorup, Zadimoghaddam), applied to loads in
proportion to capacity, with a tolerance for random variation where an instance has only a few connections to
a backend.
"""

from __future__ import annotations

import math

from sailrun.decisions.context import DecisionContext
from sailrun.decisions.endpoints import Endpoint
from sailrun.decisions.load_accounting import LoadAccounting
from sailrun.decisions.slow_start import SlowStart

# A backend's bound is the sum of three terms: a multiple of the fair load, a multiple of its square root (in
# units of the mean load), and a number of mean loads.
FAIR_MULTIPLE = 1.15
ROOT_MULTIPLE = 1.0
EXTRA_CONNECTIONS = 1.0
# Lower limit of the open capacity where it is a divisor.
MIN_CAPACITY = 1e-9


class BoundedLoad:
    """Compares a backend's load with its bound."""

    def __init__(self, context: DecisionContext, loads: LoadAccounting, slow_start: SlowStart) -> None:
        self._context = context
        self._loads = loads
        self._slow_start = slow_start

    def is_within_bound(self, endpoint: Endpoint, load: float) -> bool:
        """Returns whether one more connection of this load exceeds the bound by at most half of that load."""
        loads = self._loads
        fair = loads.fair_load(endpoint)
        mean = loads.mean_load()
        bound = FAIR_MULTIPLE * fair + ROOT_MULTIPLE * math.sqrt(fair * mean) + EXTRA_CONNECTIONS * mean
        return endpoint.known_load() + self._estimate_peer_load(endpoint) + load / 2 <= bound

    def _estimate_peer_load(self, endpoint: Endpoint) -> float:
        """Estimates the load that other instances have placed there since the last fleet load update.

        It assumes that each instance has placed as much load on the open backends as this one. Without the
        estimate, all instances would fill the same few backends until the next update.
        """
        loads = self._loads
        present_capacity = endpoint.capacity * self._slow_start.capacity_share(endpoint, self._context.now_us)
        capacity_fraction = present_capacity / max(loads.open_capacity, MIN_CAPACITY)
        return (loads.instances - 1) * max(0.0, loads.placed_since_update) * capacity_fraction
