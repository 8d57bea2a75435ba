"""Computes the present capacity of the fleet and, from it, this instance's slow start allowances."""

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

# The capacity of backends in slow start grows, so it is recomputed at this interval.
RECOUNT_INTERVAL_US = 50_000
# The load that the slowest core can handle, in microseconds of stated work per second.
CORE_US_PER_S = 800_000.0
# Lower limit of loads and capacities where they are divisors.
MIN_DIVISOR = 1e-9


class CapacityEstimator:
    """Updates the present capacity in `LoadAccounting` and the allowances in `SlowStart`."""

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
        self.open_at_full_capacity = 0  # number of open backends that are not in slow start

    def recount_if_due(self) -> None:
        """Recomputes the capacity if the last result is out of date."""
        if self._context.now_us >= self._recount_due_us:
            self.recount()

    def request_recount(self) -> None:
        """Makes the next `recount_if_due` recompute the capacity."""
        self._recount_due_us = self._context.now_us

    def recount(self) -> None:
        """Recomputes the present capacity, and ends each slow start that is over."""
        now_us = self._context.now_us
        self._recount_due_us = now_us + RECOUNT_INTERVAL_US
        self._end_completed_slow_starts()
        capacities = {
            endpoint: endpoint.capacity * self._slow_start.capacity_share(endpoint, now_us)
            for endpoint in self._table.ready
            if self._is_in_service(endpoint)
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

    def _is_in_service(self, endpoint: Endpoint) -> bool:
        """Returns whether the backend is not ejected, or was ejected for errors and still has connections.

        A backend that was ejected for errors is full, but serves its connections.
        """
        outlier = endpoint.outlier
        keeps_connections = bool(outlier.consecutive_errors and endpoint.connections)
        return outlier.ejected_until_us <= self._context.now_us or keeps_connections

    def _is_open(self, endpoint: Endpoint) -> bool:
        return not self._overload.is_overloaded(endpoint, BUSY) and self._bound.is_within_bound(endpoint, 0.0)

    def _update_allowances(self, at_full_capacity: list[Endpoint]) -> None:
        """Updates this instance's allowance for each backend in slow start.

        The allowance depends on the number of connections that fill a backend: the number that all instances
        have at a typical backend, or the number that one core can handle according to the reported loads.
        Instances from which no gossip arrived are assumed to have as many connections each as the known ones.
        `at_full_capacity` are the backends in service that are not in slow start.
        """
        if not self._slow_start.endpoints:
            return
        loads = self._loads
        unknown_instances_factor = max(1.0, self._context.settings.instances / max(1, loads.instances))
        connections = (loads.connections + loads.fleet_connections) * unknown_instances_factor
        connections_per_capacity = connections / max(self._table.ready_capacity, MIN_DIVISOR)
        responsive = [e for e in at_full_capacity if not self._overload.is_overloaded(e, BUSY)]
        self.open_at_full_capacity = sum(self._bound.is_within_bound(e, 0.0) for e in responsive)
        mean_load = max(loads.mean_load(), MIN_DIVISOR)
        if unknown_instances_factor == 1.0 and responsive:
            loads_per_capacity = sorted(e.known_load() / e.capacity for e in responsive)
            connections_per_capacity = max(
                connections_per_capacity, loads_per_capacity[len(loads_per_capacity) // 2] / mean_load
            )
        core_connections = CORE_US_PER_S / mean_load if loads.has_reported_loads() else 0.0
        for endpoint in self._slow_start.endpoints.values():
            full_connections = max(core_connections, connections_per_capacity * endpoint.capacity)
            self._slow_start.update_allowance(
                endpoint, full_connections, loads.instances, self._context.now_us
            )
