"""Placement decisions for long-lived connections. The interface is defined in sailrun/decisions/events.py.

The balancer takes events and returns actions (`sailrun/decisions/actions.py`); its settings are defined in
`sailrun/decisions/settings.py`. A request is sent to the first backend, in descending order of score, that
admits it. A score is the product of two 32-bit MurmurHash3 values, one of the backend's id and one of the
request's key, truncated to 32 bits. The higher score wins; ties go to the lower id. Each rule that overrides
this order has a module of its own.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from sailrun.decisions.actions import (
    Action,
    DenialReason,
    MoveConnection,
    MoveReason,
)
from sailrun.decisions.backend_list import BackendList
from sailrun.decisions.bounded_load import BoundedLoad
from sailrun.decisions.capacity import CapacityEstimator
from sailrun.decisions.context import RETRY_TIMER, SUBSCRIBE_TIMER, DecisionContext
from sailrun.decisions.draining import DrainSchedule
from sailrun.decisions.endpoint_table import EndpointTable
from sailrun.decisions.endpoints import ClientRequest, Endpoint
from sailrun.decisions.events import (
    AttemptEnded,
    AttemptNotice,
    AttemptOutcome,
    Backend,
    BackendListUpdate,
    BackendState,
    ClientLeft,
    ConnectionOpened,
    ConnectionResumed,
    Event,
    FleetLoad,
    ListKind,
    LocalLoad,
    NoticeKind,
    OperatorOverride,
    RequestArrived,
    StateSnapshot,
    TimerFired,
)
from sailrun.decisions.load_accounting import LoadAccounting
from sailrun.decisions.migration import OverloadMigration
from sailrun.decisions.outlier_detection import OutlierDetector
from sailrun.decisions.overload import OVERLOADED, OverloadDetector
from sailrun.decisions.placement import key_hash
from sailrun.decisions.request_lifecycle import RequestLifecycle
from sailrun.decisions.retry import NEVER_RAN, begin_by_us
from sailrun.decisions.selection import EndpointSelector
from sailrun.decisions.settings import Settings
from sailrun.decisions.setup_rate import SetupRateLimiter
from sailrun.decisions.slow_start import SlowStart
from sailrun.decisions.slow_start_admission import SlowStartAdmission
from sailrun.decisions.snapshot import restore_backend, snapshot_backend
from sailrun.decisions.start_times import StartTimes
from sailrun.decisions.subscription import ListSubscription
from sailrun.decisions.validation import check_settings

CLIENT_LEFT_DEADLINE_US = -1  # marks a request whose client left while an attempt was under way


class Balancer:
    """Makes the decisions of one instance.

    It is deterministic: time is passed in with each event, and random numbers are derived from the seed.
    """

    def __init__(self, settings: Settings, seed: int, now_us: int) -> None:
        """Raises ValueError that names the setting if one is invalid."""
        check_settings(settings)
        context = self._context = DecisionContext(settings, seed, now_us)
        self._classes = {request_class.name: request_class for request_class in settings.classes}
        self._requests: dict[str, ClientRequest] = {}
        table = self._table = EndpointTable()
        loads = self._loads = LoadAccounting(context, table.endpoints, self._requests)
        allowances = self._allowances = SlowStart(settings, context.random)
        start_times = StartTimes(settings.slow_start_us)
        overload = self._overload = OverloadDetector(context, loads, _shortest_objective_ms(settings))
        bound = BoundedLoad(context, loads, allowances)
        capacity = self._capacity = CapacityEstimator(context, table, loads, allowances, overload, bound)
        slow_start = self._slow_start = SlowStartAdmission(context, loads, allowances, start_times, capacity)
        setup_rate = self._setup_rate = SetupRateLimiter(context)
        outliers = self._outliers = OutlierDetector(
            context, table, overload, setup_rate, capacity, slow_start
        )
        self._migration = OverloadMigration(context, table, loads, overload, bound, outliers)
        self._draining = DrainSchedule(context)
        self._backend_list = BackendList(context, table, start_times, slow_start, self._draining)
        self._subscription = ListSubscription(context)
        self._selector = EndpointSelector(
            context, table, loads, capacity, overload, bound, slow_start, outliers, setup_rate
        )
        self._lifecycle = RequestLifecycle(
            context, self._requests, table, loads, slow_start, setup_rate, self._selector
        )
        self._handlers = self._event_handlers()

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handles one event and returns the actions to carry out, in order."""
        self._context.begin_event(now_us)
        if (handler := self._handlers.get(type(event))) is not None:
            handler(event)
        return self._context.actions

    def _event_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            RequestArrived: self._on_request_arrived,
            ConnectionOpened: self._on_connection_opened,
            AttemptEnded: self._on_attempt_ended,
            AttemptNotice: self._on_notice,
            BackendListUpdate: self._on_list_update,
            TimerFired: self._on_timer,
            ClientLeft: self._on_client_left,
            ConnectionResumed: self._on_connection_resumed,
            FleetLoad: self._loads.update_fleet_load,
            OperatorOverride: self._on_operator_override,
            StateSnapshot: self._on_snapshot,
        }

    # ------------------------------------------------------------------ queries

    def choose_other_backend(self, now_us: int, request_ids: Sequence[str]) -> int | None:
        """Returns the backend that would get these established connections if they were placed now.

        All of them must have the same key and backend. Returns None if no other backend would get them, or if
        a backend in slow start has a higher score: it may have spare capacity by the time they reconnect.
        """
        self._context.advance_clock(now_us)
        requests = [r for r in map(self._requests.get, request_ids) if r is not None and r.is_established]
        requests = [request for request in requests if request.endpoint is not None]
        if not requests or (current := requests[0].endpoint) is None:
            return None
        first = requests[0]
        combined = ClientRequest("", first.request_class, first.key_hash, 0)
        combined.client_hash = first.client_hash
        combined.load = sum(request.load for request in requests)
        for request in requests:
            self._loads.remove(request, current)
        chosen = self._selector.choose(combined, for_attempt=False)
        for request in requests:
            self._loads.add(request, current)
        higher_ranked = self._selector.ranked_above(combined.key_hash, chosen)
        if chosen is current or any(endpoint.is_in_slow_start() for endpoint in higher_ranked):
            return None
        return chosen.id if chosen is not None and not chosen.is_in_slow_start() else None

    def local_load(self) -> LocalLoad:
        """Returns the load state that this instance shares with the other instances."""
        overloaded = frozenset(
            endpoint.id
            for endpoint in self._table.ready
            if self._outliers.is_ejected(endpoint)
            or self._overload.is_overloaded(endpoint, OVERLOADED)
            or self._outliers.was_reset_lately(endpoint)
        )
        loads = {endpoint.id: endpoint.own_load for endpoint in self._table.ready}
        alert = bool(overloaded) or self._context.now_us < self._backend_list.alert_until_us
        return LocalLoad(loads, self._loads.connections, self._loads.has_reported_loads(), overloaded, alert)

    def avoided_backends(self, now_us: int) -> list[int]:
        """Returns the listed backends that get no requests now: excluded by an operator, or ejected."""
        return [
            endpoint.id
            for endpoint in self._table.endpoints.values()
            if endpoint.listed_state is not BackendState.GONE
            and (endpoint.id in self._table.excluded or endpoint.outlier.ejected_until_us > now_us)
        ]

    def snapshot(self) -> StateSnapshot:
        """Returns the observed state for a successor, without the connections and the backend list."""
        backends = tuple(map(snapshot_backend, self._table.endpoints.values()))
        return StateSnapshot(backends, self._setup_rate.snapshot(), dict(self._loads.class_load))

    def forfeit_slow_start_allowance(self, now_us: int) -> None:
        """Gives up the slow start allowances of this window while two processes of this instance run.

        Each of the two processes must assume that the other has used them up.
        """
        self._allowances.forfeit_allowances(now_us)

    # ------------------------------------------------------------------ the backend list

    def _on_list_update(self, update: BackendListUpdate) -> None:
        self._subscription.record_update(update.kind)
        if update.kind in (ListKind.FAILED, ListKind.CACHED):
            self._subscription.schedule()
        if update.kind is not ListKind.FAILED:
            self._backend_list.apply_update(update)
            self._on_table_changed()

    def _on_operator_override(self, override: OperatorOverride) -> None:
        if self._backend_list.apply_override(override):
            self._on_table_changed()

    def _on_table_changed(self) -> None:
        self._capacity.recount()
        self._lifecycle.retry_waiting()

    def _on_snapshot(self, snapshot: StateSnapshot) -> None:
        for backend in snapshot.backends:
            endpoint = self._table.endpoints.get(backend.id)
            if endpoint is not None and endpoint.started_us == backend.started_us:
                restore_backend(endpoint, backend)
        if snapshot.setup_rate is not None:
            self._setup_rate.restore(snapshot.setup_rate)
        self._loads.class_load = dict(snapshot.class_load)
        self._capacity.recount()
        for endpoint in self._table.endpoints.values():
            if endpoint.is_in_slow_start():
                self._allowances.resume(endpoint)
        self._capacity.recount()
        self.forfeit_slow_start_allowance(self._context.now_us)

    # ------------------------------------------------------------------ requests

    def _track(self, event: RequestArrived | ConnectionResumed, left_us: int) -> ClientRequest:
        request_class = self._classes.get(event.request_class, self._context.settings.classes[0])
        hashed_key = key_hash(event.group_key or event.key or event.request)
        deadline_us = self._context.now_us + left_us
        request = ClientRequest(event.request, request_class, hashed_key, deadline_us)
        if event.group_key:
            request.client_hash = key_hash(event.key or event.request)
        self._requests[request.request_id] = request
        self._loads.set_expected_load(request, event.load_hint)
        return request

    def _on_request_arrived(self, event: RequestArrived) -> None:
        request = self._track(event, event.left_us)
        request.is_mid_flow = event.mid_flow and self._context.settings.pass_through
        request.is_returning = event.returning or event.repeat
        self._lifecycle.place(request)

    def _on_connection_resumed(self, event: ConnectionResumed) -> None:
        request = self._track(event, 0)
        endpoint = self._table.endpoints.get(event.backend)
        if endpoint is None:  # not listed yet: only its id is known, and it gets no requests
            endpoint = Endpoint(Backend(event.backend, BackendState.GONE))
            self._table.endpoints[event.backend] = endpoint
        request.attempts = 1
        request.is_established = True
        request.endpoint = endpoint
        self._loads.add(request, endpoint)
        endpoint.connections[request.request_id] = request

    def _on_client_left(self, event: ClientLeft) -> None:
        request = self._requests.get(event.request)
        if request is None:
            return
        self._lifecycle.withdraw(request)
        if request.endpoint is None:
            del self._requests[request.request_id]
        else:
            request.deadline_us = CLIENT_LEFT_DEADLINE_US

    # ------------------------------------------------------------------ attempts

    def _on_connection_opened(self, event: ConnectionOpened) -> None:
        request = self._requests.get(event.request)
        endpoint = request.endpoint if request is not None else None
        if request is None or endpoint is None or request.is_established or event.backend != endpoint.id:
            return
        request.is_established = True
        self._setup_rate.record_success(event.latency_us)
        endpoint.pending_attempts -= 1
        endpoint.connections[request.request_id] = request
        self._outliers.record_recovery(endpoint)
        self._migration.record_setup(endpoint, event.latency_us)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self._requests.get(event.request)
        endpoint = request.endpoint if request is not None else None
        if request is None or endpoint is None or event.backend != endpoint.id:
            return
        was_established = request.is_established
        self._detach(request, endpoint)
        self._outliers.record_outcome(endpoint, event.outcome, was_established=was_established)
        if event.outcome not in NEVER_RAN and request.first_ran_at is None:
            request.first_ran_at = endpoint
            request.first_ran_us = request.attempted_us
        if event.over or request.deadline_us < 0:
            del self._requests[request.request_id]
        elif was_established or event.outcome is AttemptOutcome.CANCELLED:
            self._lifecycle.finish(request, DenialReason.CANCELLED)
        elif self._context.now_us >= begin_by_us(request, self._context.settings):
            self._lifecycle.finish(request, DenialReason.OUT_OF_ATTEMPTS)
        else:
            self._lifecycle.retry(request, endpoint, event.outcome)

    def _detach(self, request: ClientRequest, endpoint: Endpoint) -> None:
        if request.is_established:
            endpoint.connections.pop(request.request_id, None)
            self._loads.record_ended(request, endpoint)
        else:
            endpoint.pending_attempts -= 1
        self._loads.remove(request, endpoint)
        request.endpoint = None
        request.is_established = False

    def _on_notice(self, notice: AttemptNotice) -> None:
        endpoint = self._table.endpoints.get(notice.backend)
        if notice.kind is NoticeKind.LOAD:
            request = self._requests.get(notice.request)
            if request is not None and request.endpoint is endpoint and notice.value >= 0:
                self._loads.report(request, notice.value)
        elif endpoint is not None:
            self._migration.record_delay(endpoint, notice.value)

    # ------------------------------------------------------------------ timers

    def _on_timer(self, event: TimerFired) -> None:
        if event.token == RETRY_TIMER:
            self._lifecycle.on_retry_timer()
            return
        draining = self._requests.get(self._draining.take_due(event.token) or "")
        if draining is not None and draining.is_established:
            self._context.emit(MoveConnection(draining.request_id, MoveReason.DRAINING))
        elif event.token == SUBSCRIBE_TIMER:
            self._subscription.on_timer()


def _shortest_objective_ms(settings: Settings) -> float:
    """Returns the shortest latency objective of messages; 0 if none is stated."""
    objectives_us = [cls.message_objective_us for cls in settings.classes if cls.message_objective_us > 0]
    return min(objectives_us) / 1_000 if objectives_us else 0.0
