"""The fleet that is designed for, what control may cost there, and the same fleet at other sizes."""

from __future__ import annotations

from dataclasses import dataclass

DAY_S = 86_400.0
HOUR_S = 3_600.0


@dataclass(frozen=True, slots=True)
class Target:
    """Sizes of a fleet. Rates are per second unless a field says otherwise."""

    name: str
    nodes: float
    connections: float
    shards: float
    largest_topic: float  # listeners
    deliveries_s: float
    changes_day: float  # of configuration
    control_machines: float
    failures_day: float  # machines that fail on an ordinary day
    restarts_day: float  # machines that are restarted or replaced
    regions: int = 6
    zones: int = 23
    rack_nodes: int = 20  # assumed; the operators state no size of a rack

    @property
    def connections_node(self) -> float:
        return self.connections / self.nodes

    @property
    def shards_node(self) -> float:
        return self.shards / self.nodes

    @property
    def zone_nodes(self) -> float:
        return self.nodes / self.zones

    @property
    def region_nodes(self) -> float:
        return self.nodes / self.regions

    @property
    def deliveries_node_s(self) -> float:
        return self.deliveries_s / self.nodes

    @property
    def changes_s(self) -> float:
        return self.changes_day / DAY_S

    @property
    def member_changes_day(self) -> float:
        """Times a day that a member goes or comes: each failure and each restart is both."""
        return 2.0 * (self.failures_day + self.restarts_day)

    def scaled(self, factor: float, name: str) -> Target:
        """The same fleet with every count multiplied; regions, zones and connections per node stay."""
        return Target(
            name,
            self.nodes * factor,
            self.connections * factor,
            self.shards * factor,
            self.largest_topic * factor,
            self.deliveries_s * factor,
            self.changes_day * factor,
            self.control_machines * factor,
            self.failures_day * factor,
            self.restarts_day * factor,
        )


@dataclass(frozen=True, slots=True)
class Limits:
    """What is allowed."""

    core: float = 0.024  # of one core, for control, at a node
    memory_mb: float = 32.0  # for control, at a node
    bytes_s: float = 8_000.0  # for control, in and out together, at a node
    delivery_s: float = 0.390  # 99 in 100 deliveries
    in_force_s: float = 8.0  # a change of configuration, everywhere


DESIGNED = Target("target", 3_800, 190e6, 750_000, 100_000, 100e6, 13_000, 47, 33, 520)
TENTH = DESIGNED.scaled(0.1, "a tenth")
THREE = DESIGNED.scaled(3.0, "three times")
TARGETS = (TENTH, DESIGNED, THREE)
LIMITS = Limits()
