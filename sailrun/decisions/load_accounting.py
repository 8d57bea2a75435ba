"""The load that this instance knows of: its own, by backend and by key, and the rest of the fleet's.

Loads are microseconds of work a second. Until the first one is reported, every connection counts 1.
"""

from __future__ import annotations

from collections.abc import Mapping

from sailrun.decisions.context import DecisionContext
from sailrun.decisions.endpoints import ClientRequest, Endpoint
from sailrun.decisions.events import BackendState, FleetLoad

# A class's mean load rests on about so many of its latest reports.
CLASS_REPORTS = 200
# A group whose load is less than this share of one connection's holds nothing but rounding.
ROUNDING_SHARE = 1e-6
# Loads are divided by the mean load; never by less than this.
MIN_MEAN_LOAD = 1e-9


class LoadAccounting:
    """Books loads as connections come and go, and as they are reported."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Mapping[int, Endpoint],
        requests: Mapping[str, ClientRequest],
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._requests = requests
        self._groups: dict[int, float] = {}  # this instance's load by the hash of the key that decides
        self.class_load: dict[str, tuple[float, int]] = {}  # by class: mean and the reports it rests on
        self.own_load = 0.0
        self.connections = 0
        self.fleet_load = 0.0  # of the other instances
        self.fleet_connections = 0
        self.instances = 1  # that the gossip speaks for, this one among them
        self.fresh_until_us = context.now_us  # the fleet's load is a good deal different from then on
        self.placed_since_update = 0.0  # this instance's load, net, since the fleet's was last known
        # Present capacity of all backends that work, and of those that are open to any request; kept up to
        # date by `CapacityEstimator`.
        self.capacity = 0.0
        self.open_capacity = 0.0

    # ------------------------------------------------------------------ sums

    def mean_load(self) -> float:
        """Of one of the connections known of."""
        count = self.connections + self.fleet_connections
        return max(0.0, self.own_load + self.fleet_load) / count if count else 1.0

    def fair_load(self, endpoint: Endpoint) -> float:
        """What a backend's share of the load known of is, by capacity, among those that work."""
        load = max(0.0, self.own_load + self.fleet_load)
        return load * endpoint.capacity / self.capacity if self.capacity > 0 else 0.0

    def group_load(self, key_hash: int) -> float:
        """This instance's load by a key."""
        return self._groups.get(key_hash, 0.0)

    def is_reported(self) -> bool:
        """Whether any load was reported, so that loads are no longer counts of connections."""
        return bool(self.class_load)

    def is_fleet_load_fresh(self) -> bool:
        """Whether the fleet's load is about what was last known."""
        return self._context.now_us < self.fresh_until_us

    # ------------------------------------------------------------------ booking

    def add(self, request: ClientRequest, endpoint: Endpoint) -> None:
        """Books a connection's load at its backend."""
        self.connections += 1
        self.own_load = self.own_load + request.load
        endpoint.own_load = max(0.0, endpoint.own_load + request.load)
        self._change_group(request, request.load)

    def remove(self, request: ClientRequest, endpoint: Endpoint) -> None:
        """Takes a connection's load off its backend."""
        self.connections -= 1
        self.own_load = self.own_load - request.load if self.connections else 0.0
        is_idle = not endpoint.connections and endpoint.pending_attempts <= 0
        # An idle backend starts from exactly 0, free of rounding.
        endpoint.own_load = 0.0 if is_idle else max(0.0, endpoint.own_load - request.load)
        self._change_group(request, -request.load)

    def _change_group(self, request: ClientRequest, change: float) -> None:
        load = self._groups.get(request.key_hash, 0.0) + change
        if load < ROUNDING_SHARE * request.load:
            self._groups.pop(request.key_hash, None)
        else:
            self._groups[request.key_hash] = load

    def expect(self, request: ClientRequest, hint: float | None) -> None:
        """Sets the load to count for a new connection: its hint, else the mean of its class."""
        if hint is not None and hint > 0:
            self.report(request, hint)
        elif self.class_load:
            default = (self.mean_load(), 0)
            request.load = self.class_load.get(request.request_class.name, default)[0]

    def report(self, request: ClientRequest, load: float) -> None:
        """A connection's load has been stated, by hint or by its backend."""
        if not self.class_load:
            self.scale(load)
        name = request.request_class.name
        mean, count = self.class_load.get(name, (0.0, 0))
        count = min(count + 1, CLASS_REPORTS)
        self.class_load[name] = (mean + (load - mean) / count, count)
        if request.endpoint is not None:
            change = load - request.load
            request.endpoint.own_load += change
            group_load = self._groups.get(request.key_hash, 0.0) + load - request.load
            self._groups[request.key_hash] = max(0.0, group_load)
            self.own_load += change
        request.load = load

    def scale(self, unit: float) -> None:
        """From now on loads are work, not connections: each connection counted so far is worth `unit`."""
        self.class_load[""] = (unit, 0)
        for endpoint in self._endpoints.values():
            endpoint.own_load *= unit
        for request in self._requests.values():
            request.load *= unit
        self._groups = {key: load * unit for key, load in self._groups.items()}
        self.own_load *= unit

    # ------------------------------------------------------------------ the fleet

    def update_fleet_load(self, event: FleetLoad) -> None:
        """Takes over what the other instances hold, unless it is in another unit than the loads here."""
        if event.loads_reported and not self.class_load and event.connections:
            self.scale(sum(event.loads.values()) / event.connections)
        if event.connections and event.loads_reported is not bool(self.class_load):
            return
        for endpoint in self._endpoints.values():
            endpoint.fleet_load = event.loads.get(endpoint.id, 0.0)
            is_reported = endpoint.id in event.overloaded
            endpoint.overload.reported_by_peers_until_us = event.fresh_until_us if is_reported else 0
        self.fleet_load = sum(event.loads.values())
        self.fleet_connections = event.connections
        self.instances = event.instances
        if event.fresh_until_us != self.fresh_until_us:
            self.fresh_until_us = event.fresh_until_us
            self.placed_since_update = 0.0

    def note_placed(self, request: ClientRequest) -> None:
        """An attempt of the request begins."""
        self.placed_since_update += request.load

    def note_ended(self, request: ClientRequest, endpoint: Endpoint) -> None:
        """An established connection has ended; at a backend that leaves, its load comes back elsewhere."""
        self.placed_since_update -= request.load * (endpoint.state is BackendState.READY)
