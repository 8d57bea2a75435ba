"""Bounded loads: no backend gets far more than its fair share of the load known of.

Source: "Consistent Hashing with Bounded Loads" (Mirrokni, Thorup, Zadimoghaddam), applied to loads by
capacity, with room for chance where an instance sees only a few of a backend's connections.
"""

from __future__ import annotations

import math

from sailrun.decisions.context import DecisionContext
from sailrun.decisions.endpoints import Endpoint
from sailrun.decisions.load_accounting import LoadAccounting
from sailrun.decisions.slow_start import SlowStart

# A backend's bound: a multiple of the fair load, of its square root in mean loads, and mean loads.
FAIR_MULTIPLE = 1.15
ROOT_MULTIPLE = 1.0
MORE_CONNECTIONS = 1.0
# Open capacity is divided by; never by less than this.
MIN_CAPACITY = 1e-9


class BoundedLoad:
    """Compares each backend's load with its fair share."""

    def __init__(self, context: DecisionContext, loads: LoadAccounting, slow_start: SlowStart) -> None:
        self._context = context
        self._loads = loads
        self._slow_start = slow_start

    def is_within_bound(self, endpoint: Endpoint, load: float) -> bool:
        """Whether a connection of this load keeps the backend within its bound."""
        loads = self._loads
        fair = loads.fair_load(endpoint)
        mean = loads.mean_load()
        bound = FAIR_MULTIPLE * fair + ROOT_MULTIPLE * math.sqrt(fair * mean) + MORE_CONNECTIONS * mean
        return endpoint.known_load() + self._estimate_peer_load(endpoint) + load / 2 <= bound

    def _estimate_peer_load(self, endpoint: Endpoint) -> float:
        """What other instances have placed there since the fleet's load was last known, if each has placed
        as much as this one on those that are open: or all would fill the same few until the next update.
        """
        loads = self._loads
        present = endpoint.capacity * self._slow_start.capacity_share(endpoint, self._context.now_us)
        part = present / max(loads.open_capacity, MIN_CAPACITY)
        return (loads.instances - 1) * max(0.0, loads.placed_since_update) * part
