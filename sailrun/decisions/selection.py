"""Selection of a backend for a request: the first one in the order of its scores that admits it.

Each gate on the way is a named exception to that order: retry rules, outlier detection, overload, bounded
loads and slow start.
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

# How far down a key's order of scores is looked.
MAX_CANDIDATES = 24
# A heavy group spreads so that each of its backends gets about so many fair loads of it.
GROUP_SPREAD = 0.7


class EndpointSelector:
    """Chooses backends, and tells when a waiting request may find one."""

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
        """The best backend that admits the request; None: none does now.

        If no attempt is to begin there (`for_attempt`), no backend in slow start admits it.
        """
        self._capacity.recount_if_due()
        if for_attempt:
            self._slow_start.draw_allowance(request)
        if request.is_mid_flow and request.attempts == 0:
            holder = self._find_holder(request)
            if holder is None or self._slow_start.admits(holder, request, for_attempt=for_attempt):
                return holder
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
                has_room = not is_overloaded(endpoint, BUSY) and self._bound.is_within_bound(
                    endpoint, request.load
                )
                if has_room and admits(endpoint, request, for_attempt=for_attempt):
                    return endpoint
                if over_bound is None and endpoint.slow_start.began_us < 0:
                    over_bound = endpoint
        if over_bound is not None:
            return over_bound
        # None works in reach: the best ejected one, after all.
        return ejected if self._loads.capacity <= 0 else None

    def _candidates(self, request: ClientRequest) -> Iterator[Endpoint]:
        """The best scores, highest first. A group whose load here makes up several fair loads is heavier
        than a backend: its connections spread over as many of its best scores, each by its own client key.
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

    def _find_holder(self, request: ClientRequest) -> Endpoint | None:
        """Who holds a connection in mid-flow: the highest score over ready backends and those that drain
        within the grace.
        """
        now_us = self._context.now_us
        grace_us = self._context.settings.drain_grace_us - self._context.settings.tick_us
        holders = list(self._table.ready)
        for endpoint in self._table.endpoints.values():
            is_draining = endpoint.state is BackendState.DRAINING
            if is_draining and now_us - endpoint.draining_notified_us < grace_us:
                holders.append(endpoint)
        return max(holders, key=lambda e: ((e.hash * request.key_hash) & MASK, -e.id), default=None)

    def find_next_in_rank(self, key_hash: int, chosen: Endpoint | None) -> Iterator[Endpoint]:
        """The backends that score higher for a key than the one chosen; all, if none was."""
        for endpoint in self._table.ranking.highest_first(key_hash):
            if endpoint is chosen:
                return
            yield endpoint

    # ------------------------------------------------------------------ waiting

    def opens_us(self, request: ClientRequest) -> float:
        """The earliest time at which a backend not tried yet may take the request, as things stand: what is
        sure to keep every one shut for longer leaves nothing to wait for.
        """
        now_us = self._context.now_us
        if request.is_mid_flow and request.attempts == 0:
            return now_us  # its holder may be listed yet
        allowed = (e for e in self._table.ready if may_attempt_at(request, e))
        opens_us = min((self.endpoint_opens_us(e, request.load) for e in allowed), default=math.inf)
        return max(opens_us, self._setup_rate.opens_us(now_us), request.retry_not_before_us)

    def endpoint_opens_us(self, endpoint: Endpoint, load: float) -> float:
        """When the gates that time alone opens would let a connection of this load through."""
        opens_us: float = max(self._context.now_us, endpoint.outlier.ejected_until_us)
        if self._overload.is_overloaded(endpoint, OVERLOADED):
            opens_us = max(opens_us, endpoint.overload.delay_us + DELAY_VALID_US)
        if not self._overload.is_below_limit(endpoint, load):
            opens_us = max(opens_us, self._overload.limit_opens_us(endpoint, load))
        if endpoint.is_in_slow_start():
            opens_us = self._slow_start.opens_us(endpoint, opens_us)
        return opens_us
