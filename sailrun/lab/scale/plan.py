"""The parameters of a scale run, the placement of its nodes, and the check that it fits this machine."""

from __future__ import annotations

import math
import resource
from dataclasses import dataclass

from sailrun.membership.messages import CONTROL

HOLLOW_HOST, REAL_PROCESS = "hollow", "real"
DRIVERS = ("sockets", "virtual")
FAULTS = ("rest", "hosts", "rack", "zone", "cut", "roll", "begin")

# The largest sizes of a run.
MAX_VIRTUAL_NODES = 3_800
MAX_PROCESSES = 300
MAX_MEMORY_MB = 12_000.0
# Memory, rounded up: what one node stores about another, a hollow node that knows no members, a host without
# nodes, and a real process.
PAIR_KB, HOLLOW_MB, HOST_MB, REAL_MB = 0.8, 0.15, 30.0, 50.0
# In virtual time, where all nodes share one record of each member: what one node stores about another, and
# the process without nodes.
VIRTUAL_PAIR_KB, VIRTUAL_MB = 0.4, 60.0
# Hollow nodes per host, and the minimum and maximum number of hosts. The maximum leaves a core for the real
# processes and the run.
HOLLOW_PER_HOST, MIN_HOSTS, MAX_HOSTS = 100, 2, 7
# File descriptors: of a hollow node for its sockets and links, and of a host for everything else.
DESCRIPTORS_PER_NODE, DESCRIPTORS_PER_HOST = 4, 64
# Members of a region that are set aside for control if the run has shards.
CONTROL_PER_REGION = 3
# Memory of a node's shard placement for each shard of its region.
SHARD_BYTES = 16
# Nodes that are connected to one switch.
RACK_NODES = 20
# The port of every hollow node on its own loopback address; below the range of ephemeral ports.
PORT = 14_000
# Nodes whose loopback addresses share the third octet.
NODES_PER_OCTET = 250


class DoesNotFit(ValueError):
    """The run is larger than this machine or the laboratory allows."""


@dataclass(frozen=True, slots=True)
class ScalePlan:
    """One run. `nodes`: the number of real processes. `hollow`: the number of hollow nodes. In virtual time
    both are simulated in the same way.

    `seconds`: how long the resource use of the nodes is measured at rest, before any fault.
    """

    nodes: int = 3
    hollow: int = 60
    seed: int = 1
    seconds: float = 30.0
    faults: str = "rest"
    regions: int = 6
    zones: int = 23
    driver: str = "sockets"
    shards: int = 0
    replica: bool = True

    @property
    def shards_per_region(self) -> int:
        return math.ceil(self.shards / self.regions)

    @property
    def total(self) -> int:
        return self.nodes + self.hollow

    @property
    def control(self) -> int:
        """The number of members set aside for control: the first nodes, which are spread over all regions."""
        return CONTROL_PER_REGION * self.regions if self.shards else 0

    @property
    def hosts(self) -> int:
        """The number of host processes for the hollow nodes."""
        if not self.hollow:
            return 0
        return max(MIN_HOSTS, min(MAX_HOSTS, math.ceil(self.hollow / HOLLOW_PER_HOST)))

    @property
    def processes(self) -> int:
        return self.nodes + self.hosts + 1 if self.driver == "sockets" else 1


@dataclass(frozen=True, slots=True)
class Place:
    """The placement of a node. `host`: the number of its host process; -1 for a real process."""

    index: int
    name: str
    region: str
    zone: str
    rack: str
    address: str
    host: int
    role: str = ""

    @property
    def real(self) -> bool:
        return self.host < 0


def place_nodes(plan: ScalePlan, block: int = 0) -> list[Place]:
    """Places all nodes: the hollow ones first, round-robin over all zones; then the real ones, all in the
    first region.

    `block`: the second octet of the loopback addresses that belong to this run.
    """
    first_zones = range(0, plan.zones, plan.regions)
    places = []
    for index in range(plan.total):
        is_hollow = index < plan.hollow or plan.driver == "virtual"
        real = index - plan.hollow
        zone = index % plan.zones if is_hollow else first_zones[real % len(first_zones)]
        in_zone = index // plan.zones
        places.append(
            Place(
                index,
                f"n{index}",
                region_name(zone % plan.regions),
                zone_name(zone, plan.regions),
                f"{zone_name(zone, plan.regions)}-k{in_zone // RACK_NODES}",
                f"127.{block}.{index // NODES_PER_OCTET}.{index % NODES_PER_OCTET + 1}:{PORT}",
                index % max(1, plan.hosts) if is_hollow else -1,
                CONTROL if plan.shards and is_hollow and index < plan.control else "",
            )
        )
    return places


def region_name(region: int) -> str:
    return f"r{region}"


def zone_name(zone: int, regions: int) -> str:
    """Returns the name of a zone. Zones are assigned to the regions round-robin."""
    return f"r{zone % regions}-z{zone}"


def voters_of(places: list[Place]) -> tuple[str, ...]:
    """Returns the names of the voters: the first seven nodes; five or three in smaller fleets.

    Each is in another region as far as there are enough regions. The last one is replaced by a real process
    if there is one and no members are set aside for control.
    """
    count = 3 if len(places) < 7 else 5 if len(places) < 50 else 7
    names = [place.name for place in places[:count]]
    real = next((place.name for place in places if place.real), None)
    if real is not None and real not in names and not places[0].role:
        names[-1] = real
    return tuple(names)


def control_of(places: list[Place], region: str) -> tuple[str, ...]:
    """Returns the names of a region's control members."""
    return tuple(place.name for place in places if place.role == CONTROL and place.region == region)


def memory_mb(plan: ScalePlan) -> float:
    """Returns the memory that the run is expected to need."""
    pairs = plan.total * plan.total
    shards_mb = plan.hollow * plan.shards_per_region * SHARD_BYTES / 1024**2
    if plan.driver == "virtual":
        return VIRTUAL_MB + plan.total * HOLLOW_MB + pairs * VIRTUAL_PAIR_KB / 1024 + shards_mb
    processes_mb = plan.hosts * HOST_MB + plan.nodes * REAL_MB
    return processes_mb + plan.hollow * HOLLOW_MB + pairs * PAIR_KB / 1024 + shards_mb


def check_fit(plan: ScalePlan) -> None:
    """Raises DoesNotFit with a one-line message if the run is too small or too large."""
    if plan.total < 3:
        raise DoesNotFit(f"{plan.total} nodes are fewer than 3")
    if plan.driver == "virtual" and plan.total > MAX_VIRTUAL_NODES:
        raise DoesNotFit(f"{plan.total} nodes are more than {MAX_VIRTUAL_NODES}, the limit of virtual time")
    if plan.processes > MAX_PROCESSES:
        raise DoesNotFit(f"{plan.processes} processes are more than {MAX_PROCESSES}")
    if (needed_mb := memory_mb(plan)) > MAX_MEMORY_MB:
        raise DoesNotFit(f"{needed_mb:.0f} MB are expected, more than {MAX_MEMORY_MB:.0f}")
    if plan.shards and plan.hollow < plan.control + plan.regions:
        raise DoesNotFit(
            f"{plan.hollow} hollow nodes are fewer than {plan.control + plan.regions}, the minimum for shards"
        )
    if plan.driver == "sockets":
        _check_descriptors(plan)


def _check_descriptors(plan: ScalePlan) -> None:
    if not plan.hosts:
        return
    needed = math.ceil(plan.hollow / plan.hosts) * DESCRIPTORS_PER_NODE + DESCRIPTORS_PER_HOST
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if allowed != resource.RLIM_INFINITY and needed > allowed:
        raise DoesNotFit(f"{needed} file descriptors per host are needed, {allowed} are allowed")
