"""Migration of connections off overloaded backends.

Set-ups queue behind the same work as messages, so the extra latency of a set-up is also the extra latency of
a message. Connections that would now be placed on another backend are moved first.
"""

from __future__ import annotations

from collections import deque

from sailrun.decisions.actions import MoveConnection
from sailrun.decisions.bounded_load import BoundedLoad
from sailrun.decisions.context import SECOND_US, DecisionContext
from sailrun.decisions.endpoint_table import EndpointTable
from sailrun.decisions.endpoints import DELAY_VALID_US, ClientRequest, Endpoint
from sailrun.decisions.load_accounting import MIN_MEAN_LOAD, LoadAccounting
from sailrun.decisions.outlier_detection import OutlierDetector
from sailrun.decisions.overload import BUSY, OVERLOADED, OverloadDetector
from sailrun.decisions.placement import MASK

# The usual set-up latency is the lower quartile of the latest SETUP_SAMPLES set-ups, once there are at least
# MIN_SETUP_SAMPLES.
SETUP_SAMPLES = 64
MIN_SETUP_SAMPLES = 8
# If no other backend has spare capacity, a slow set-up counts as a delay of this share of the objective at
# most.
MAX_SHARE_WITHOUT_ALTERNATIVE = 0.9
# The minimum share of this instance's load at a backend that each delay report moves.
MIN_MOVED_SHARE = 0.2


class OverloadMigration:
    """Detects overloaded backends by their delays and moves connections off them."""

    def __init__(
        self,
        context: DecisionContext,
        table: EndpointTable,
        loads: LoadAccounting,
        overload: OverloadDetector,
        bound: BoundedLoad,
        outliers: OutlierDetector,
    ) -> None:
        self._context = context
        self._table = table
        self._loads = loads
        self._overload = overload
        self._bound = bound
        self._outliers = outliers
        self._latest_setups_us: deque[int] = deque(maxlen=SETUP_SAMPLES)

    def record_delay(self, endpoint: Endpoint, delay_ms: float) -> None:
        """Records how long the backend's messages take now; moves connections if it is overloaded."""
        self._overload.record_delay(endpoint, delay_ms)
        if self._overload.is_overloaded(endpoint, BUSY):
            self._overload.cut_limit(endpoint)
        has_alternative = self._loads.instances > 1 and self._has_alternative(endpoint)
        self._move_excess(endpoint, has_alternative=has_alternative)

    def record_setup(self, endpoint: Endpoint, latency_us: int) -> None:
        """Records how long a set-up took there; moves connections if the backend is overloaded.

        The set-up is not evidence of overload within a second of a delay report, or if the excess is no more
        than half of the objective.
        """
        excess_ms = self._average_excess_ms(endpoint, latency_us)
        now_us = self._context.now_us
        state = endpoint.overload
        has_few_samples = len(self._latest_setups_us) < MIN_SETUP_SAMPLES
        if now_us - state.delay_us < SECOND_US or has_few_samples:
            return
        objective_ms = self._overload.objective_ms
        if excess_ms <= objective_ms / 2:
            return
        has_alternative = self._has_alternative(endpoint)
        bounded_ms = min(excess_ms, MAX_SHARE_WITHOUT_ALTERNATIVE * objective_ms)
        self._overload.record_delay(endpoint, excess_ms if has_alternative else bounded_ms)
        # With no spare capacity elsewhere, a limit set for a short burst would make all new requests wait.
        if has_alternative and self._overload.is_overloaded(endpoint, OVERLOADED):
            self._overload.cut_limit(endpoint)
            self._move_excess(endpoint, has_alternative=True)

    def _average_excess_ms(self, endpoint: Endpoint, latency_us: int) -> float:
        """Returns by how much set-ups there take longer than usual, as a moving average."""
        samples = self._latest_setups_us
        samples.append(latency_us)
        usual_us = sorted(samples)[len(samples) // 4]
        excess_ms = max(0, latency_us - usual_us) / 1000
        state = endpoint.overload
        now_us = self._context.now_us
        known_ms = state.setup_excess_ms if now_us - state.setup_excess_us < DELAY_VALID_US else 0.0
        state.setup_excess_ms = (known_ms + excess_ms) / 2
        state.setup_excess_us = now_us
        return state.setup_excess_ms

    def _has_alternative(self, endpoint: Endpoint) -> bool:
        others = (e for e in self._table.ready if e is not endpoint and self._outliers.is_available(e))
        return any(
            not self._overload.is_overloaded(other, BUSY) and self._bound.is_within_bound(other, 0.0)
            for other in others
        )

    def _move_excess(self, endpoint: Endpoint, *, has_alternative: bool) -> None:
        """Moves connections off a backend whose messages miss the latency objective.

        Each instance moves the share `MIN_MOVED_SHARE` of its own load there. If other backends have spare
        capacity, it moves more where necessary: the share of the known load that exceeds the fair load, or
        half of this share among several instances. In that case connections that now score higher on another
        backend are moved before the others; of both kinds the heaviest are moved first. In a full fleet the
        clients are rejected until there is spare capacity.
        """
        if not self._overload.is_overloaded(endpoint, OVERLOADED):
            return
        load = max(endpoint.known_load(), MIN_MEAN_LOAD)
        instances = 2 if self._loads.instances > 1 else 1
        over_share = (1.0 - self._loads.fair_load(endpoint) / load) / instances
        excess = endpoint.own_load * max(MIN_MOVED_SHARE, over_share if has_alternative else 0.0)
        hashes = [e.hash for e in self._table.ready if not self._outliers.is_ejected(e)]

        def move_order(request: ClientRequest) -> tuple[bool, float]:
            own_score = (endpoint.hash * request.key_hash) & MASK
            belongs_here = has_alternative and own_score >= max((h * request.key_hash) & MASK for h in hashes)
            return belongs_here, -request.load

        for request in sorted(endpoint.connections.values(), key=move_order):
            if excess <= request.load * self._context.random.random():
                break
            excess -= request.load
            self._context.emit(MoveConnection(request.request_id))
