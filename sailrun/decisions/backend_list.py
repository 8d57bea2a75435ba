"""Applies the backend list and operator overrides: which backends exist, and in which state."""

from __future__ import annotations

from sailrun.decisions.actions import SlowStartReason
from sailrun.decisions.context import DecisionContext
from sailrun.decisions.draining import DrainSchedule
from sailrun.decisions.endpoint_table import EndpointTable
from sailrun.decisions.endpoints import Endpoint
from sailrun.decisions.events import Backend, BackendListUpdate, BackendState, ListKind, OperatorOverride
from sailrun.decisions.slow_start_admission import SlowStartAdmission
from sailrun.decisions.start_times import StartTimes


class BackendList:
    """Applies list updates and operator overrides to the endpoint table."""

    def __init__(
        self,
        context: DecisionContext,
        table: EndpointTable,
        start_times: StartTimes,
        slow_start: SlowStartAdmission,
        draining: DrainSchedule,
    ) -> None:
        self._context = context
        self._table = table
        self._start_times = start_times
        self._slow_start = slow_start
        self._draining = draining
        self.alert_until_us = context.now_us  # until then a list change may shift load

    def apply_update(self, update: BackendListUpdate) -> None:
        """Applies a full list or changes to it; the update must not be of kind FAILED."""
        listed = {entry.id for entry in update.backends}
        is_cached = update.kind is ListKind.CACHED
        if listed and not is_cached:
            self.alert_until_us = self._context.now_us + self._context.settings.slow_start_us
        if not self._start_times.is_synchronized:
            previous_starts = {e.id: max(0, e.started_us) for e in self._table.endpoints.values()}
            self._start_times.observe_list(previous_starts, update.backends)
        for entry in update.backends:
            self.apply_entry(entry)
        self._start_times.is_synchronized = self._start_times.is_synchronized or not is_cached
        if update.kind is not ListKind.DELTA:
            for endpoint in self._table.endpoints.values():
                if endpoint.id not in listed:
                    self._set_state(endpoint, BackendState.GONE)
        self._table.refresh()

    def apply_entry(self, entry: Backend) -> None:
        """Applies one entry; a new start time means a new process without observations."""
        endpoint = self._table.endpoints.get(entry.id)
        if endpoint is None:
            endpoint = self._table.endpoints[entry.id] = Endpoint(entry)
        endpoint.zone = entry.zone
        endpoint.cell = entry.cell
        endpoint.weight = entry.weight
        endpoint.capacity = self._context.settings.weight_source.capacity(entry.weight)
        if entry.started_us != endpoint.started_us:
            self._slow_start.record_restart(endpoint)
            endpoint.started_us = entry.started_us
            endpoint.start_notified_us = self._context.now_us
            if entry.started_us > 0:
                age_us = self._start_times.age_us(entry.started_us, self._context.now_us)
                began_us = self._context.now_us - age_us
                self._slow_start.begin(endpoint, began_us, SlowStartReason.LISTED)
        self._set_state(endpoint, entry.state)

    def apply_override(self, override: OperatorOverride) -> bool:
        """Excludes a backend or puts it back; returns whether the backend is known.

        A backend that is put back has restarted. Unless the list has stated its new start time, it counts as
        started at the time of the override.
        """
        table = self._table
        backend = frozenset({override.backend})
        table.excluded = table.excluded | backend if override.excluded else table.excluded - backend
        endpoint = table.endpoints.get(override.backend)
        if endpoint is None:
            return False
        if not override.excluded:
            self._slow_start.record_restart(endpoint)
            is_start_stated = endpoint.start_notified_us > endpoint.draining_notified_us
            since_us = endpoint.start_notified_us if is_start_stated else self._context.now_us
            self._slow_start.begin(endpoint, since_us, SlowStartReason.OPERATOR)
        self._set_state(endpoint, endpoint.listed_state)
        table.refresh()
        return True

    def _set_state(self, endpoint: Endpoint, listed_state: BackendState) -> None:
        endpoint.listed_state = listed_state
        state = listed_state
        if state is BackendState.READY and endpoint.id in self._table.excluded:
            state = BackendState.DRAINING
        if endpoint.state is BackendState.READY and state is not BackendState.READY:
            endpoint.draining_notified_us = self._context.now_us
            self._draining.schedule(endpoint)
        endpoint.state = state
