"""The fleet of the laboratory's fault runs with shards: two regions, each with voters and ordinary nodes,
which own the shards. The voters of a region are its control members.
"""

from __future__ import annotations

from dataclasses import dataclass

from sailrun.leadership.agent import AgentSettings
from sailrun.leadership.settings import LeadershipSettings, ListReaderSettings, PermitSettings
from sailrun.membership.messages import CONTROL
from sailrun.membership.settings import MembershipSettings
from sailrun.replication.settings import ReplicationSettings
from sailrun.sharding.settings import RegionSettings, ShardingSettings

REGIONS = ("r0", "r1")
ZONES_PER_REGION = 3
CONTROL_MEMBERS_PER_REGION = 3
CONTROL_MEMBERS = len(REGIONS) * CONTROL_MEMBERS_PER_REGION
# The number of voters of the fleet, as opposed to those of a region: the first control members of both
# regions.
FLEET_VOTERS = 5
SHARDS_PER_REGION = 48
# A node's lease on its shards, and the time in which requests for sessions are collected for one generation.
SHARD_LEASE_S, GATHER_S = 6.0, 0.3
# The lease of a leader or assigner, and the time limit of a leader's response. Their sum is the largest that
# SHARD_LEASE_S permits (see `shard_faults` in sailrun/sharding/settings.py).
LEASE_S, RESPONSE_TIMEOUT_S = 1.4, 0.7
NODES = 12
# Each region needs two ordinary nodes, so that another node can take over a shard.
MIN_NODES = CONTROL_MEMBERS + 2 * len(REGIONS)


@dataclass(frozen=True, slots=True)
class Place:
    """The region and zone of a member, and its role: `CONTROL` for a voter, empty for an ordinary node."""

    region: str
    zone: str
    role: str


def place_of(index: int) -> Place:
    """Returns the place of a member. Members are assigned to the regions in turn, and within a region to its
    zones in turn; the first ones of each region are its voters.
    """
    region, nth = REGIONS[index % len(REGIONS)], index // len(REGIONS)
    role = CONTROL if nth < CONTROL_MEMBERS_PER_REGION else ""
    return Place(region, f"{region}-z{nth % ZONES_PER_REGION}", role)


def index_of(name: str) -> int:
    """Returns the index of a member from its name, which is `n` followed by the index."""
    return int(name[1:])


def region_of(name: str) -> str:
    return place_of(index_of(name)).region


def voters_of(region: str) -> tuple[str, ...]:
    """Returns the names of a region's voters."""
    return tuple(f"n{n}" for n in range(CONTROL_MEMBERS) if place_of(n).region == region)


def sharding_settings() -> ShardingSettings:
    regions = tuple(
        RegionSettings(name=region, shards=SHARDS_PER_REGION, voters=voters_of(region)) for region in REGIONS
    )
    return ShardingSettings(enabled=True, lease_s=SHARD_LEASE_S, gather_s=GATHER_S, regions=regions)


def shard_agent_settings(index: int, voters: list[str], joins: list[str]) -> AgentSettings:
    """Returns the settings of one member. Permits, the list reader and replication are off, so that sharding
    is the only use of leadership.
    """
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
            enabled=True, voters=tuple(voters), lease_s=LEASE_S, order_s=RESPONSE_TIMEOUT_S, give_back_s=10.0
        ),
        PermitSettings(enabled=False),
        ListReaderSettings(enabled=False),
        replication=ReplicationSettings(enabled=False),
        sharding=sharding_settings(),
    )
