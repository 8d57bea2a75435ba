"""The fleet size that the program is designed for, the cost limits of control there, and other sizes."""

from __future__ import annotations

from dataclasses import dataclass

DAY_S = 86_400.0
HOUR_S = 3_600.0


@dataclass(frozen=True, slots=True)
class Target:
    """Sizes and rates of a fleet."""

    name: str
    nodes: float
    connections: float
    shards: float
    largest_topic: float  # in listeners
    deliveries_per_s: float
    config_changes_per_day: float
    control_machines: float  # machines reserved for voters, assigners and task leaders
    failures_per_day: float  # machines that fail on a typical day
    restarts_per_day: float  # machines that are restarted or replaced
    regions: int = 6
    zones: int = 23
    nodes_per_rack: int = 20  # assumed; the operators do not state the size of a rack

    @property
    def connections_per_node(self) -> float:
        return self.connections / self.nodes

    @property
    def shards_per_node(self) -> float:
        return self.shards / self.nodes

    @property
    def nodes_per_zone(self) -> float:
        return self.nodes / self.zones

    @property
    def nodes_per_region(self) -> float:
        return self.nodes / self.regions

    @property
    def deliveries_per_node_per_s(self) -> float:
        return self.deliveries_per_s / self.nodes

    @property
    def config_changes_per_s(self) -> float:
        return self.config_changes_per_day / DAY_S

    @property
    def member_changes_per_day(self) -> float:
        """Returns the departures and arrivals of members per day; each failure and each restart is one
        departure and one arrival.
        """
        return 2.0 * (self.failures_per_day + self.restarts_per_day)

    def scaled(self, factor: float, name: str) -> Target:
        """Returns the fleet with every count multiplied; regions, zones and connections per node stay the
        same.
        """
        return Target(
            name,
            self.nodes * factor,
            self.connections * factor,
            self.shards * factor,
            self.largest_topic * factor,
            self.deliveries_per_s * factor,
            self.config_changes_per_day * factor,
            self.control_machines * factor,
            self.failures_per_day * factor,
            self.restarts_per_day * factor,
        )


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits that the operators state for the cost of control: what a node does besides serving clients, such
    as membership, leases, replication, load gossip and sharding.
    """

    core: float = 0.024  # fraction of one core, for control, at a node
    memory_mb: float = 32.0  # for control, at a node
    bytes_per_s: float = 8_000.0  # for control, in and out together, at a node
    delivery_s: float = 0.390  # 99th percentile of the time from publishing to delivery
    config_propagation_s: float = 8.0  # until a change of configuration is effective at every node


# Nodes, connections, shards, listeners of the largest topic, deliveries per second, changes of configuration
# per day, control machines, failures and restarts per day.
DESIGNED = Target("target", 3_800, 190e6, 750_000, 100_000, 100e6, 13_000, 47, 33, 520)
TENTH_SIZE = DESIGNED.scaled(0.1, "a tenth")
TRIPLE_SIZE = DESIGNED.scaled(3.0, "three times")
# The fleet at index 1 is the one that the program is designed for; rows are ranked and judged by it.
TARGETS = (TENTH_SIZE, DESIGNED, TRIPLE_SIZE)
LIMITS = Limits()
