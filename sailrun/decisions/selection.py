"""Selects a backend for a request: the first one, in descending order of score, that admits it.

The rules that can make a backend not admit a request are the retry rules, outlier detection, overload,
bounded loads and slow start.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from itertools import islice

from sailrun.decisions.bounded_load import BoundedLoad
from sailrun.decisions.capacity import CapacityEstimator
from sailrun.decisions.context import DecisionContext
from sailrun.decisions.endpoint_table import EndpointTable
from sailrun.decisions.endpoints import DELAY_VALID_US, ClientRequest, Endpoint
from sailrun.decisions.events import BackendState
from sailrun.decisions.load_accounting import LoadAccounting
from sailrun.decisions.outlier_detection import OutlierDetector
from sailrun.decisions.overload import BUSY, OVERLOADED, OverloadDetector
from sailrun.decisions.placement import MASK
from sailrun.decisions.retry import may_attempt_at
from sailrun.decisions.setup_rate import SetupRateLimiter
from sailrun.decisions.slow_start_admission import SlowStartAdmission

# The maximum number of backends that are considered for a request, in descending order of score.
MAX_CANDIDATES = 24
# A heavy group is spread so that each of its backends gets about this multiple of a fair load.
GROUP_SPREAD = 0.7


class EndpointSelector:
    """Chooses backends, and estimates when a waiting request can be admitted."""

    def __init__(
        self,
        context: DecisionContext,
        table: EndpointTable,
        loads: LoadAccounting,
        capacity: CapacityEstimator,
        overload: OverloadDetector,
        bound: BoundedLoad,
        slow_start: SlowStartAdmission,
        outliers: OutlierDetector,
        setup_rate: SetupRateLimiter,
    ) -> None:
        self._context = context
        self._table = table
        self._loads = loads
        self._capacity = capacity
        self._overload = overload
        self._bound = bound
        self._slow_start = slow_start
        self._outliers = outliers
        self._setup_rate = setup_rate

    def choose(self, request: ClientRequest, *, for_attempt: bool = True) -> Endpoint | None:
        """Returns the highest-scoring backend that admits the request.

        If there is none, it returns the highest-scoring backend that is only busy or over its bound, or else
        None. Without any capacity in service it returns the highest-scoring ejected backend. If `for_attempt`
        is False, no attempt follows, and no backend in slow start admits the request.
        """
        self._capacity.recount_if_due()
        if for_attempt:
            self._slow_start.draw_allowance(request)
        if request.is_mid_flow and request.attempts == 0:
            mid_flow_backend = self._find_mid_flow_backend(request)
            if mid_flow_backend is None or self._slow_start.admits(
                mid_flow_backend, request, for_attempt=for_attempt
            ):
                return mid_flow_backend
        is_overloaded = self._overload.is_overloaded
        admits = self._slow_start.admits
        over_bound = ejected = None
        for endpoint in self._candidates(request):
            if not may_attempt_at(request, endpoint):
                continue
            if not self._outliers.is_available(endpoint):
                if ejected is None and admits(endpoint, request, for_attempt=for_attempt):
                    ejected = endpoint
            elif not is_overloaded(endpoint, OVERLOADED) and self._overload.is_below_limit(
                endpoint, request.load
            ):
                is_open = not is_overloaded(endpoint, BUSY) and self._bound.is_within_bound(
                    endpoint, request.load
                )
                if is_open and admits(endpoint, request, for_attempt=for_attempt):
                    return endpoint
                if over_bound is None and endpoint.slow_start.began_us < 0:
                    over_bound = endpoint
        if over_bound is not None:
            return over_bound
        # Without any capacity in service, the highest-scoring ejected backend is tried.
        return ejected if self._loads.capacity <= 0 else None

    def _candidates(self, request: ClientRequest) -> Iterator[Endpoint]:
        """Yields the backends with the highest scores, highest first.

        A group whose load at this instance amounts to several fair loads is too heavy for one backend. Its
        connections are spread over that many of its highest-scoring backends, ordered by the client's own
        key.
        """
        loads = self._loads
        spread = 1
        if request.client_hash and loads.own_load > 0 and not loads.fleet_load:
            fair = GROUP_SPREAD * loads.own_load / max(1, len(self._table.ready))
            group_load = loads.group_load(request.key_hash) - loads.mean_load() / 2
            spread = 1 + int(max(0.0, group_load) / fair)
        ranked = islice(self._table.ranking.highest_first(request.key_hash), MAX_CANDIDATES)
        client_hash = request.client_hash
        yield from sorted(islice(ranked, spread), key=lambda e: (-((e.hash * client_hash) & MASK), e.id))
        yield from ranked

    def _find_mid_flow_backend(self, request: ClientRequest) -> Endpoint | None:
        """Returns the backend to which the open connection of a mid-flow request belongs.

        It is the one with the highest score among ready backends and those still within their drain grace.
        """
        now_us = self._context.now_us
        grace_us = self._context.settings.drain_grace_us - self._context.settings.tick_us
        possible_backends = list(self._table.ready)
        for endpoint in self._table.endpoints.values():
            is_draining = endpoint.state is BackendState.DRAINING
            if is_draining and now_us - endpoint.draining_notified_us < grace_us:
                possible_backends.append(endpoint)
        return max(possible_backends, key=lambda e: ((e.hash * request.key_hash) & MASK, -e.id), default=None)

    def ranked_above(self, key_hash: int, chosen: Endpoint | None) -> Iterator[Endpoint]:
        """Yields the backends that score higher for a key than the chosen one; all if it is None."""
        for endpoint in self._table.ranking.highest_first(key_hash):
            if endpoint is chosen:
                return
            yield endpoint

    # ------------------------------------------------------------------ waiting

    def next_admission_us(self, request: ClientRequest) -> float:
        """Returns the earliest time at which a backend not tried yet may admit the request.

        It counts only limits that are known to last until then. If it is too late for the request, waiting is
        pointless.
        """
        now_us = self._context.now_us
        if request.is_mid_flow and request.attempts == 0:
            return now_us  # the backend that has the connection may still be added to the list
        allowed = (e for e in self._table.ready if may_attempt_at(request, e))
        next_admission_us = min(
            (self.endpoint_admission_us(e, request.load) for e in allowed), default=math.inf
        )
        return max(next_admission_us, self._setup_rate.next_admission_us(now_us), request.retry_not_before_us)

    def endpoint_admission_us(self, endpoint: Endpoint, load: float) -> float:
        """Returns when the time-dependent rules would admit a connection of this load."""
        next_admission_us: float = max(self._context.now_us, endpoint.outlier.ejected_until_us)
        if self._overload.is_overloaded(endpoint, OVERLOADED):
            next_admission_us = max(next_admission_us, endpoint.overload.delay_us + DELAY_VALID_US)
        if not self._overload.is_below_limit(endpoint, load):
            next_admission_us = max(next_admission_us, self._overload.limit_admission_us(endpoint, load))
        if endpoint.is_in_slow_start():
            next_admission_us = self._slow_start.next_admission_us(endpoint, next_admission_us)
        return next_admission_us
