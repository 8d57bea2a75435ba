"""The established connections of this node: their form servers, loads and groups, and which may be moved."""

from __future__ import annotations

from dataclasses import dataclass, field

# Connections with the same group key form one group. A connection without a key is a group of its own.
GroupKey = str

# A mean load is a moving average over about this many of the latest load reports.
MEAN_REPORTS = 200
# The load of a group on a form server beside that of its connections, in mean connection loads: each form
# server with connections of a group keeps the group's account.
GROUP_COST = 1.5


@dataclass(slots=True)
class TrackedConnection:
    """An established connection. `load`: microseconds of work a second; None: not reported yet."""

    id: str
    group: GroupKey
    request_class: str
    server: int
    established_us: int
    has_returned: bool  # reconnected after a failure or a move, and is not moved for a while
    load: float | None = None
    is_moving: bool = False  # a move was ordered


@dataclass(slots=True)
class ServerConnections:
    """The connections of this node to one form server."""

    load: float = 0.0
    groups: dict[GroupKey, dict[str, TrackedConnection]] = field(default_factory=dict)
    count: int = 0


class ConnectionTable:
    """The connections and their loads by form server.

    A connection without a reported load counts as the mean of its class, or of all connections, or as 1
    before any report.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, TrackedConnection] = {}
        self.by_server: dict[int, ServerConnections] = {}
        self._counts_by_group: dict[GroupKey, dict[int, int]] = {}  # by form server
        self._means: dict[str, tuple[float, int]] = {}
        self._mean, self._report_count = 0.0, 0
        self._mean_group_weight = 0.0
        self.loads_reported = False  # whether loads are microseconds of work a second, not connections

    # ------------------------------------------------------------------ events

    def add(self, connection: TrackedConnection) -> None:
        """Adds an established connection."""
        self.by_id[connection.id] = connection
        server_connections = self.by_server.setdefault(connection.server, ServerConnections())
        connections = server_connections.groups.setdefault(connection.group, {})
        if not connections:
            server_connections.load += self.group_cost()
        connections[connection.id] = connection
        server_connections.load += self.load_of(connection)
        server_connections.count += 1
        counts = self._counts_by_group.setdefault(connection.group, {})
        counts[connection.server] = counts.get(connection.server, 0) + 1

    def remove(self, connection_id: str) -> TrackedConnection | None:
        """Removes a connection that has ended; returns it, or None if it is unknown."""
        connection = self.by_id.pop(connection_id, None)
        if connection is None:
            return None
        server_connections = self.by_server[connection.server]
        connections = server_connections.groups[connection.group]
        del connections[connection_id]
        server_connections.load -= self.load_of(connection)
        server_connections.count -= 1
        if not connections:
            del server_connections.groups[connection.group]
            server_connections.load -= self.group_cost()
        if not server_connections.count:
            del self.by_server[connection.server]  # discards accumulated rounding errors
        counts = self._counts_by_group[connection.group]
        counts[connection.server] -= 1
        if not counts[connection.server]:
            del counts[connection.server]
            if not counts:
                del self._counts_by_group[connection.group]
        return connection

    def set_load(self, connection_id: str, load: float) -> None:
        """Sets a connection's load as reported by its form server, in microseconds of work a second."""
        connection = self.by_id.get(connection_id)
        if connection is None:
            return
        mean, count = self._means.get(connection.request_class, (0.0, 0))
        count = min(count + 1, MEAN_REPORTS)
        self._means[connection.request_class] = (mean + (load - mean) / count, count)
        self._report_count = min(self._report_count + 1, MEAN_REPORTS)
        self._mean += (load - self._mean) / self._report_count
        if not self.loads_reported:
            self.loads_reported = True
            connection.load = load
            self.recount()
            return
        self.by_server[connection.server].load += load - self.load_of(connection)
        connection.load = load

    def recount(self) -> None:
        """Recalculates the sums, because the class means that replace unreported loads have changed."""
        weights: list[float] = []
        for server_connections in self.by_server.values():
            group_weights = [self.weight(connections) for connections in server_connections.groups.values()]
            server_connections.load = sum(group_weights)
            weights += group_weights
        total = sum(weights)
        self._mean_group_weight = sum(weight * weight for weight in weights) / total if total > 0 else 0.0

    # ------------------------------------------------------------------ queries

    def load_of(self, connection: TrackedConnection) -> float:
        """Returns a connection's load: the reported one, or the mean of its class or of all connections."""
        if connection.load is not None:
            return connection.load
        class_mean = self._means.get(connection.request_class)
        return class_mean[0] if class_mean is not None else self.mean_load()

    def mean_load(self) -> float:
        """Returns the mean load of a connection; 1 before any report."""
        return self._mean if self._report_count else 1.0

    def mean_group_weight(self) -> float:
        """Returns the weighted mean of the groups' weights, in which each group counts by its own weight.

        Before the first recount it is twice the weight of a group with one connection of mean load. The
        higher it is, the larger is the random error of an estimate from a sample of the groups.
        """
        return self._mean_group_weight or 2.0 * (self.mean_load() + self.group_cost())

    def group_cost(self) -> float:
        """Returns the load of a group on a form server beside that of its connections."""
        return GROUP_COST * self.mean_load()

    def weight(self, connections: dict[str, TrackedConnection]) -> float:
        """Returns the load that a form server loses with these connections, with the group's own cost."""
        return sum(map(self.load_of, connections.values())) + self.group_cost()

    def is_on_one_server(self, group: GroupKey) -> bool:
        """Returns whether the group's connections of this node are all on one form server."""
        return len(self._counts_by_group.get(group, ())) <= 1

    def servers_of(self, group: GroupKey) -> list[int]:
        """Returns the form servers with connections of the group."""
        return list(self._counts_by_group.get(group, ()))

    def movable_connections(
        self, server: int, group: GroupKey, returned_before_us: int
    ) -> dict[str, TrackedConnection]:
        """Returns the group's connections on a form server if all of them may be moved, else an empty dict.

        None may be moving, or have reconnected after a failure or a move later than `returned_before_us`.
        """
        connections = self.by_server[server].groups[group]
        for connection in connections.values():
            if connection.is_moving or (
                connection.has_returned and connection.established_us > returned_before_us
            ):
                return {}
        return connections
