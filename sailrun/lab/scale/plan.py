"""What a scale run is asked for, where its nodes stand, and whether it fits this machine."""

from __future__ import annotations

import math
import resource
from dataclasses import dataclass

from sailrun.membership.messages import CONTROL

HOLLOW_HOST, REAL_PROCESS = "hollow", "real"
DRIVERS = ("sockets", "virtual")
FAULTS = ("rest", "hosts", "rack", "zone", "cut", "roll", "begin")

# The sizes that a run may have.
MOST_VIRTUAL = 3_800
MOST_PROCESSES = 300
MOST_MB = 12_000.0
# Memory, as measured and rounded up: one node's knowledge of another, a hollow node that knows nobody, a host
# without nodes, a real process, and in virtual time, where all nodes share one record of a member.
PAIR_KB, HOLLOW_MB, HOST_MB, REAL_MB = 0.8, 0.15, 30.0, 50.0
VIRTUAL_PAIR_KB, VIRTUAL_MB = 0.4, 60.0
# Hollow nodes of one host, the fewest and the most hosts: leave a core for the real processes and the run.
HOLLOW_A_HOST, FEWEST_HOSTS, MOST_HOSTS = 100, 2, 7
# A hollow node's own sockets and the links that it may have open, and what else a host holds open.
DESCRIPTORS_A_NODE, DESCRIPTORS_A_HOST = 4, 64
# Members of a region that are set aside for control where shards are owned.
CONTROL_OF_A_REGION = 3
# Of a node's placement, for each shard of its region.
SHARD_BYTES = 16
# Nodes that hang on one switch.
RACK_NODES = 20
# Of a hollow node on its own loopback address; below the ports that the system gives to whoever asks.
PORT = 14_000
NODES_A_BLOCK = 250


class DoesNotFit(ValueError):
    """The run is larger than this machine or the laboratory allows."""


@dataclass(frozen=True, slots=True)
class ScalePlan:
    """One run. `nodes` are real processes, `hollow` the hollow nodes; in virtual time all are played alike.

    `seconds`: how long the nodes' use is measured at rest, before any fault.
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
    def shards_of_a_region(self) -> int:
        return math.ceil(self.shards / self.regions)

    @property
    def total(self) -> int:
        return self.nodes + self.hollow

    @property
    def control(self) -> int:
        """Members set aside for control: the first ones, which stand in all regions in turn."""
        return CONTROL_OF_A_REGION * self.regions if self.shards else 0

    @property
    def hosts(self) -> int:
        """Host processes for the hollow nodes."""
        if not self.hollow:
            return 0
        return max(FEWEST_HOSTS, min(MOST_HOSTS, math.ceil(self.hollow / HOLLOW_A_HOST)))

    @property
    def processes(self) -> int:
        return self.nodes + self.hosts + 1 if self.driver == "sockets" else 1


@dataclass(frozen=True, slots=True)
class Place:
    """Where a node stands. `host`: the number of its host process; -1 for a real process."""

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
    """All nodes: the hollow ones first, over all zones in turn; then the real ones, all in the first region.

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
                f"127.{block}.{index // NODES_A_BLOCK}.{index % NODES_A_BLOCK + 1}:{PORT}",
                index % max(1, plan.hosts) if is_hollow else -1,
                CONTROL if plan.shards and is_hollow and index < plan.control else "",
            )
        )
    return places


def region_name(region: int) -> str:
    return f"r{region}"


def zone_name(zone: int, regions: int) -> str:
    """Zones are dealt out to the regions in turn."""
    return f"r{zone % regions}-z{zone}"


def voters_of(places: list[Place]) -> tuple[str, ...]:
    """Seven of the first nodes, each in another region as far as there are so many; the last one is a real
    process where there is any and no member is set aside for control. Smaller fleets have five or three.
    """
    count = 3 if len(places) < 7 else 5 if len(places) < 50 else 7
    names = [place.name for place in places[:count]]
    real = next((place.name for place in places if place.real), None)
    if real is not None and real not in names and not places[0].role:
        names[-1] = real
    return tuple(names)


def control_of(places: list[Place], region: str) -> tuple[str, ...]:
    """The names of a region's control members."""
    return tuple(place.name for place in places if place.role == CONTROL and place.region == region)


def memory_mb(plan: ScalePlan) -> float:
    """What the run is expected to take."""
    pairs = plan.total * plan.total
    shards_mb = plan.hollow * plan.shards_of_a_region * SHARD_BYTES / 1024**2
    if plan.driver == "virtual":
        return VIRTUAL_MB + plan.total * HOLLOW_MB + pairs * VIRTUAL_PAIR_KB / 1024 + shards_mb
    processes_mb = plan.hosts * HOST_MB + plan.nodes * REAL_MB
    return processes_mb + plan.hollow * HOLLOW_MB + pairs * PAIR_KB / 1024 + shards_mb


def check_fit(plan: ScalePlan) -> None:
    """Raises DoesNotFit with one line that says what does not fit."""
    if plan.total < 3:
        raise DoesNotFit(f"{plan.total} nodes are fewer than 3")
    if plan.driver == "virtual" and plan.total > MOST_VIRTUAL:
        raise DoesNotFit(f"{plan.total} nodes are more than {MOST_VIRTUAL}, as many as virtual time plays")
    if plan.processes > MOST_PROCESSES:
        raise DoesNotFit(f"{plan.processes} processes are more than {MOST_PROCESSES}")
    if (needed_mb := memory_mb(plan)) > MOST_MB:
        raise DoesNotFit(f"{needed_mb:.0f} MB are expected, more than {MOST_MB:.0f}")
    if plan.shards and plan.hollow < plan.control + plan.regions:
        raise DoesNotFit(
            f"{plan.hollow} hollow nodes are fewer than {plan.control + plan.regions}, as many as shards need"
        )
    if plan.driver == "sockets":
        _check_descriptors(plan)


def _check_descriptors(plan: ScalePlan) -> None:
    if not plan.hosts:
        return
    needed = math.ceil(plan.hollow / plan.hosts) * DESCRIPTORS_A_NODE + DESCRIPTORS_A_HOST
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if allowed != resource.RLIM_INFINITY and needed > allowed:
        raise DoesNotFit(f"{needed} descriptors a host are needed, {allowed} are allowed")
