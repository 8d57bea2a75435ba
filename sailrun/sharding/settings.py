"""Settings of the ownership of shards: the table `[shards]` of the operator's file."""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from sailrun.leadership.quorum import check_voters
from sailrun.leadership.settings import DRIFT, LeadershipSettings

MAX_SHARDS = 1_000_000
# Number of renewals during one lease.
RENEWALS_PER_LEASE = 4
# The share of a lease that remains, by the node's own clock, when its next heartbeat is due.
REMAINING_LEASE_SHARE = 1 - 2 * DRIFT - 1 / RENEWALS_PER_LEASE


class RegionSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One region: its shards and its voters."""

    name: Annotated[str, Meta(min_length=1, max_length=32, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
    shards: Annotated[
        int,
        Meta(ge=1, le=MAX_SHARDS, description="Number of shards of this region; they are numbered from 0."),
    ]
    voters: Annotated[
        tuple[str, ...],
        Meta(
            description="Names of the 3, 5 or 7 members of the region that grant leases and store its table."
        ),
    ]


class ShardingSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of sharding. All nodes of a region need the same `lease_s` and the same entry of `regions`."""

    enabled: Annotated[bool, Meta(description="Whether sharding is enabled at this node.")] = False
    lease_s: Annotated[
        float,
        Meta(
            ge=1.0,
            le=120.0,
            description="How long a node may use its shards without a renewal of its session.",
        ),
    ] = 10.0
    gather_s: Annotated[
        float,
        Meta(
            ge=0.05, le=60.0, description="Nodes that request a session within this time are added together."
        ),
    ] = 1.0
    leaving: Annotated[
        int,
        Meta(
            ge=1,
            le=1000,
            description="How many nodes of a region may hand over for a planned stop at the same time.",
        ),
    ] = 2
    regions: Annotated[tuple[RegionSettings, ...], Meta(description="All regions with their shards.")] = ()

    def region(self, name: str) -> RegionSettings | None:
        """The region of that name; None if it is not in the settings."""
        return next((region for region in self.regions if region.name == name), None)

    def digest(self, region: str) -> int:
        """A digest of the settings that must be the same at all nodes of a region."""
        region_settings = self.region(region)
        return zlib.crc32(msgspec.msgpack.encode([self.lease_s, region_settings]))


def region_leadership_settings(
    region: RegionSettings, fleet_leadership: LeadershipSettings
) -> LeadershipSettings:
    """The settings of the region's election of an assigner: those of the fleet, with the region's voters."""
    return LeadershipSettings(
        enabled=True,
        voters=region.voters,
        lease_s=fleet_leadership.lease_s,
        order_s=fleet_leadership.order_s,
        give_back_s=fleet_leadership.give_back_s,
    )


def shard_faults(
    shards: ShardingSettings, members_region: str, fleet_leadership: LeadershipSettings
) -> Iterator[tuple[str, str]]:
    """Yields the faults of the table as pairs of key and fault; `members_region` is the node's own region."""
    if not shards.regions:
        yield "shards.regions", "is missing: at least one region is needed"
    names = [region.name for region in shards.regions]
    for n, region in enumerate(shards.regions):
        if names.index(region.name) != n:
            yield f"shards.regions[{n}].name", f"'{region.name}' is the name of an earlier region"
        fault = check_voters(region.voters)
        if fault is not None:
            yield f"shards.regions[{n}].voters", fault
    if names and members_region not in names:
        yield (
            "members.region",
            f"'{members_region}' is not a configured region: expected one of {', '.join(names)}",
        )
    assigner_change_s = 2 * (fleet_leadership.lease_s + fleet_leadership.order_s)
    minimum_s = assigner_change_s / REMAINING_LEASE_SHARE
    if shards.lease_s < minimum_s:
        # With a shorter lease, a change of the assigner ends leases of nodes whose heartbeat was just due.
        detail = (
            f"{assigner_change_s:g} s for a change of the assigner plus the time since the last heartbeat"
        )
        yield "shards.lease_s", f"is {shards.lease_s:g}, expected at least {minimum_s:.2f}: {detail}"
