"""The settings of a node in a scale run: the defaults of the program, with all fleet features enabled."""

from __future__ import annotations

from sailrun.lab.scale.plan import Place, ScalePlan, control_of, region_name, voters_of
from sailrun.leadership.agent import AgentSettings
from sailrun.leadership.settings import LeadershipSettings, ListReaderSettings, PermitSettings
from sailrun.membership.messages import MemberRecord, MemberState
from sailrun.membership.settings import MembershipSettings
from sailrun.replication.settings import ReplicationSettings
from sailrun.sharding.settings import RegionSettings, ShardingSettings

FLEET = "scale"
# The number of nodes through which every node joins: the first ones, which are in different regions.
JOIN_ADDRESS_COUNT = 3


def node_settings(plan: ScalePlan, places: list[Place], place: Place) -> AgentSettings:
    """Returns the settings of one node.

    The move rate has a leader, although no node requests a rate grant.
    """
    joins = tuple(p.address for p in places[:JOIN_ADDRESS_COUNT] if p.name != place.name)
    return AgentSettings(
        MembershipSettings(
            enabled=True,
            fleet=FLEET,
            name=place.name,
            listen=place.address,
            join=joins,
            region=place.region,
            role=place.role,
        ),
        LeadershipSettings(enabled=True, voters=voters_of(places)),
        PermitSettings(enabled=True),
        ListReaderSettings(enabled=True),
        shares_move_rate=True,
        replication=ReplicationSettings(enabled=plan.replica),
        sharding=sharding_settings(plan, places),
    )


def sharding_settings(plan: ScalePlan, places: list[Place]) -> ShardingSettings:
    """Returns the sharding settings: every region has the same number of shards, and its control members
    vote.
    """
    if not plan.shards:
        return ShardingSettings()
    regions = tuple(
        RegionSettings(
            name=region_name(number),
            shards=plan.shards_per_region,
            voters=control_of(places, region_name(number)),
        )
        for number in range(plan.regions)
    )
    return ShardingSettings(enabled=True, regions=regions)


def initial_member_record(place: Place, life: int) -> MemberRecord:
    """Returns the member record with which a node starts."""
    return MemberRecord(
        place.name, life, 1, MemberState.ALIVE, place.address, place.zone, place.region, place.role
    )
