"""The load known to this instance: its own, by backend and by key, and that of the rest of the fleet.

Loads are in microseconds of work per second. Until the first load is reported, every connection counts as 1.
"""

from __future__ import annotations

from collections.abc import Mapping

from sailrun.decisions.context import DecisionContext
from sailrun.decisions.endpoints import ClientRequest, Endpoint
from sailrun.decisions.events import MAX_LOAD_US_PER_S, BackendState, FleetLoad

# A class's mean load is averaged over about this many of its latest reports.
CLASS_REPORTS = 200
# A group load below this share of one connection's load consists of rounding errors only.
ROUNDING_SHARE = 1e-6
# Lower limit of the mean load where it is a divisor.
MIN_MEAN_LOAD = 1e-9


class LoadAccounting:
    """Accounts for loads when connections are added or removed, and when loads are reported."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Mapping[int, Endpoint],
        requests: Mapping[str, ClientRequest],
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._requests = requests
        self._group_loads: dict[int, float] = {}  # this instance's load by the hash of the placement key
        self.class_load: dict[str, tuple[float, int]] = {}  # by class: mean load and number of reports
        self.own_load = 0.0
        self.connections = 0
        self.fleet_load = 0.0  # of the other instances
        self.fleet_connections = 0
        self.instances = 1  # number of instances that gossip covers, including this one
        self.fresh_until_us = context.now_us  # from then on the fleet's load may have changed considerably
        self.placed_since_update = 0.0  # net change of this instance's load since the last fleet load update
        # Present capacity of all backends in service, and of the open ones, which are neither busy nor at
        # their bound; updated by `CapacityEstimator`.
        self.capacity = 0.0
        self.open_capacity = 0.0

    # ------------------------------------------------------------------ sums

    def mean_load(self) -> float:
        """Returns the mean load of the known connections; 1 if there are none."""
        count = self.connections + self.fleet_connections
        return max(0.0, self.own_load + self.fleet_load) / count if count else 1.0

    def fair_load(self, endpoint: Endpoint) -> float:
        """Returns a backend's share of the known load, by its capacity, among the backends in service."""
        load = max(0.0, self.own_load + self.fleet_load)
        return load * endpoint.capacity / self.capacity if self.capacity > 0 else 0.0

    def group_load(self, key_hash: int) -> float:
        """Returns this instance's load of a key."""
        return self._group_loads.get(key_hash, 0.0)

    def has_reported_loads(self) -> bool:
        """Returns whether any load was reported, so that loads no longer count connections."""
        return bool(self.class_load)

    def is_fleet_load_fresh(self) -> bool:
        """Returns whether the last known load of the fleet is still accurate."""
        return self._context.now_us < self.fresh_until_us

    # ------------------------------------------------------------------ accounting

    def add(self, request: ClientRequest, endpoint: Endpoint) -> None:
        """Adds a connection's load to its backend."""
        self.connections += 1
        self.own_load = self.own_load + request.load
        endpoint.own_load = max(0.0, endpoint.own_load + request.load)
        self._change_group_load(request, request.load)

    def remove(self, request: ClientRequest, endpoint: Endpoint) -> None:
        """Removes a connection's load from its backend."""
        self.connections -= 1
        self.own_load = self.own_load - request.load if self.connections else 0.0
        is_idle = not endpoint.connections and endpoint.pending_attempts <= 0
        # The load of an idle backend is reset to exactly 0 to discard rounding errors.
        endpoint.own_load = 0.0 if is_idle else max(0.0, endpoint.own_load - request.load)
        self._change_group_load(request, -request.load)

    def _change_group_load(self, request: ClientRequest, change: float) -> None:
        load = self._group_loads.get(request.key_hash, 0.0) + change
        if load < ROUNDING_SHARE * request.load:
            self._group_loads.pop(request.key_hash, None)
        else:
            self._group_loads[request.key_hash] = load

    def set_expected_load(self, request: ClientRequest, hint: float | None) -> None:
        """Sets the expected load of a new connection: its hint, or else the mean load of its class."""
        if hint is not None and hint > 0:
            self.report(request, hint)
        elif self.class_load:
            default = (self.mean_load(), 0)
            request.load = self.class_load.get(request.request_class.name, default)[0]

    def report(self, request: ClientRequest, load: float) -> None:
        """Records a connection's load as stated by a hint or reported by its backend.

        Callers check what they receive. The limit here keeps all sums finite, whatever a caller passes on.
        """
        load = min(load, MAX_LOAD_US_PER_S)
        if not self.class_load:
            self.convert_to_reported_loads(load)
        name = request.request_class.name
        mean, count = self.class_load.get(name, (0.0, 0))
        count = min(count + 1, CLASS_REPORTS)
        self.class_load[name] = (mean + (load - mean) / count, count)
        if request.endpoint is not None:
            change = load - request.load
            request.endpoint.own_load += change
            group_load = self._group_loads.get(request.key_hash, 0.0) + load - request.load
            self._group_loads[request.key_hash] = max(0.0, group_load)
            self.own_load += change
        request.load = load

    def convert_to_reported_loads(self, load_per_connection: float) -> None:
        """Switches from connection counts to loads; each connection so far counts `load_per_connection`."""
        self.class_load[""] = (load_per_connection, 0)
        for endpoint in self._endpoints.values():
            endpoint.own_load *= load_per_connection
        for request in self._requests.values():
            request.load *= load_per_connection
        self._group_loads = {key: load * load_per_connection for key, load in self._group_loads.items()}
        self.own_load *= load_per_connection

    # ------------------------------------------------------------------ the fleet

    def update_fleet_load(self, event: FleetLoad) -> None:
        """Stores the load of the other instances.

        If they report loads and this instance counts connections, it converts its own loads first. An event
        that counts connections is ignored if this instance has reported loads.
        """
        if event.loads_reported and not self.class_load and event.connections:
            self.convert_to_reported_loads(sum(event.loads.values()) / event.connections)
        if event.connections and event.loads_reported is not bool(self.class_load):
            return
        for endpoint in self._endpoints.values():
            endpoint.fleet_load = event.loads.get(endpoint.id, 0.0)
            is_overloaded = endpoint.id in event.overloaded
            endpoint.overload.reported_by_peers_until_us = event.fresh_until_us if is_overloaded else 0
        self.fleet_load = sum(event.loads.values())
        self.fleet_connections = event.connections
        self.instances = event.instances
        if event.fresh_until_us != self.fresh_until_us:
            self.fresh_until_us = event.fresh_until_us
            self.placed_since_update = 0.0

    def record_placed(self, request: ClientRequest) -> None:
        """Records that an attempt of the request begins."""
        self.placed_since_update += request.load

    def record_ended(self, request: ClientRequest, endpoint: Endpoint) -> None:
        """Records the end of an established connection.

        If its backend is not ready, the load is not subtracted: the client reconnects and adds it elsewhere.
        """
        self.placed_since_update -= request.load * (endpoint.state is BackendState.READY)
