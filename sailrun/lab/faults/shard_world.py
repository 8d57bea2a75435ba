"""The world of the laboratory's days of shards: two regions, each with members that vote and with nodes."""

from __future__ import annotations

from dataclasses import dataclass

from sailrun.leadership.agent import AgentSettings
from sailrun.leadership.settings import LeadershipSettings, ListReaderSettings, PermitSettings
from sailrun.membership.messages import CONTROL
from sailrun.membership.settings import MembershipSettings
from sailrun.replication.settings import ReplicationSettings
from sailrun.sharding.settings import RegionSettings, ShardingSettings

REGIONS = ("r0", "r1")
ZONES_OF_A_REGION = 3
CONTROL_OF_A_REGION = 3
CONTROL_MEMBERS = len(REGIONS) * CONTROL_OF_A_REGION
# Of the control members of both regions, for what is owned fleet-wide.
FLEET_VOTERS = 5
SHARDS_OF_A_REGION = 48
SHARD_LEASE_S, GATHER_S = 6.0, 0.3
# Of owners and assigners: as long as a node's lease on its shards allows (`shard_faults`).
LEASE_S, ORDER_S = 1.4, 0.7
NODES = 12
# Two ordinary nodes for each region: else there is nobody to take a shard over.
FEWEST_NODES = CONTROL_MEMBERS + 2 * len(REGIONS)


@dataclass(frozen=True, slots=True)
class Place:
    """Where a member is, and whether it is set aside for control."""

    region: str
    zone: str
    role: str


def place_of(index: int) -> Place:
    """Members take turns between the regions, then between a region's zones; the first are for control."""
    region, nth = REGIONS[index % len(REGIONS)], index // len(REGIONS)
    role = CONTROL if nth < CONTROL_OF_A_REGION else ""
    return Place(region, f"{region}-z{nth % ZONES_OF_A_REGION}", role)


def index_of(name: str) -> int:
    """Of a member's name, `n` and its index."""
    return int(name[1:])


def region_of(name: str) -> str:
    return place_of(index_of(name)).region


def control_of(region: str) -> tuple[str, ...]:
    """The names of a region's members that vote."""
    return tuple(f"n{n}" for n in range(CONTROL_MEMBERS) if place_of(n).region == region)


def shards_terms() -> ShardingSettings:
    regions = tuple(
        RegionSettings(name=region, shards=SHARDS_OF_A_REGION, voters=control_of(region))
        for region in REGIONS
    )
    return ShardingSettings(enabled=True, lease_s=SHARD_LEASE_S, gather_s=GATHER_S, regions=regions)


def shard_agent_terms(index: int, voters: list[str], joins: list[str]) -> AgentSettings:
    """Of one member: nothing but shards is owned."""
    place = place_of(index)
    return AgentSettings(
        MembershipSettings(
            enabled=True,
            fleet="lab",
            name=f"n{index}",
            join=tuple(joins),
            region=place.region,
            role=place.role,
        ),
        LeadershipSettings(
            enabled=True, voters=tuple(voters), lease_s=LEASE_S, order_s=ORDER_S, give_back_s=10.0
        ),
        PermitSettings(enabled=False),
        ListReaderSettings(enabled=False),
        replication=ReplicationSettings(enabled=False),
        sharding=shards_terms(),
    )
