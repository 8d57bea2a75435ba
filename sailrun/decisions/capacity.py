"""The present capacity of the fleet, and this instance's part in every slow start that follows from it."""

from __future__ import annotations

from sailrun.decisions.actions import SlowStartChanged, SlowStartReason
from sailrun.decisions.bounded_load import BoundedLoad
from sailrun.decisions.context import DecisionContext
from sailrun.decisions.endpoint_table import EndpointTable
from sailrun.decisions.endpoints import Endpoint
from sailrun.decisions.events import BackendState
from sailrun.decisions.load_accounting import LoadAccounting
from sailrun.decisions.overload import BUSY, OverloadDetector
from sailrun.decisions.slow_start import SlowStart

# Backends in slow start have more capacity after this time.
RECOUNT_INTERVAL_US = 50_000
# What the slowest core does of the work that connections are stated to ask for, in microseconds a second.
CORE_US_PER_S = 800_000.0
# Loads and capacities are divided by; never by less than this.
MIN_DIVISOR = 1e-9


class CapacityEstimator:
    """Keeps the present capacity in `LoadAccounting` and the allowances in `SlowStart` up to date."""

    def __init__(
        self,
        context: DecisionContext,
        table: EndpointTable,
        loads: LoadAccounting,
        slow_start: SlowStart,
        overload: OverloadDetector,
        bound: BoundedLoad,
    ) -> None:
        self._context = context
        self._table = table
        self._loads = loads
        self._slow_start = slow_start
        self._overload = overload
        self._bound = bound
        self._recount_due_us = context.now_us
        self.open_established = 0  # backends out of slow start that are open to any request

    def recount_if_due(self) -> None:
        """Recounts if the last count is out of date."""
        if self._context.now_us >= self._recount_due_us:
            self.recount()

    def request_recount(self) -> None:
        """Has the next `recount_if_due` count."""
        self._recount_due_us = self._context.now_us

    def recount(self) -> None:
        """Counts the present capacity anew, and ends each slow start that is over."""
        now_us = self._context.now_us
        self._recount_due_us = now_us + RECOUNT_INTERVAL_US
        self._end_completed_slow_starts()
        capacities = {
            endpoint: endpoint.capacity * self._slow_start.capacity_share(endpoint, now_us)
            for endpoint in self._table.ready
            if self._works(endpoint)
        }
        self._loads.capacity = sum(capacities.values())
        self._loads.open_capacity = sum(
            capacity for endpoint, capacity in capacities.items() if self._is_open(endpoint)
        )
        self._update_allowances([e for e in capacities if e.slow_start.began_us < 0])

    def _end_completed_slow_starts(self) -> None:
        for endpoint in self._slow_start.list_completed(self._context.now_us):
            self._slow_start.end(endpoint)
            if endpoint.listed_state is not BackendState.GONE:
                self._context.emit(SlowStartChanged(endpoint.id, SlowStartReason.ENDED))

    def _works(self, endpoint: Endpoint) -> bool:
        """One that was ejected for errors is full, but serves its connections."""
        outlier = endpoint.outlier
        serves = bool(outlier.consecutive_errors and endpoint.connections)
        return outlier.ejected_until_us <= self._context.now_us or serves

    def _is_open(self, endpoint: Endpoint) -> bool:
        return not self._overload.is_overloaded(endpoint, BUSY) and self._bound.is_within_bound(endpoint, 0.0)

    def _update_allowances(self, established: list[Endpoint]) -> None:
        """This instance's part in each slow start, by the connections that fill a backend: those that all
        instances hold at a usual one, or what one core bears of the reported loads. Instances that were not
        heard are taken to hold as many each as those that were. `established`: out of slow start.
        """
        if not self._slow_start.endpoints:
            return
        loads = self._loads
        unheard = max(1.0, self._context.settings.instances / max(1, loads.instances))
        connections = (loads.connections + loads.fleet_connections) * unheard
        each = connections / max(self._table.ready_capacity, MIN_DIVISOR)
        responsive = [e for e in established if not self._overload.is_overloaded(e, BUSY)]
        self.open_established = sum(self._bound.is_within_bound(e, 0.0) for e in responsive)
        mean_load = max(loads.mean_load(), MIN_DIVISOR)
        if unheard == 1.0 and responsive:
            borne = sorted(e.known_load() / e.capacity for e in responsive)
            each = max(each, borne[len(borne) // 2] / mean_load)
        core = CORE_US_PER_S / mean_load if loads.is_reported() else 0.0
        for endpoint in self._slow_start.endpoints.values():
            filling = max(core, each * endpoint.capacity)
            self._slow_start.update_allowance(endpoint, filling, loads.instances, self._context.now_us)
