"""Settings of the membership protocol: the table `[members]` of the deploy file."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Seconds = Annotated[float, Meta(gt=0.0, le=3600.0)]
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]


class MembershipSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Where this node meets the others, and how soon one that is silent is taken for gone."""

    enabled: Annotated[bool, Meta(description="Whether this node joins a fleet.")] = False
    fleet: Annotated[Name, Meta(description="The fleet's name: nodes of two fleets never mix.")] = "census"
    name: Annotated[
        str,
        Meta(
            max_length=64, description="This node's own name, the same after a restart; empty: it is missing."
        ),
    ] = ""
    listen: Annotated[
        str, Meta(description="HOST:PORT for datagrams and links of the other members; empty: it is missing.")
    ] = ""
    advertise: Annotated[
        str, Meta(description="HOST:PORT at which the others reach this node; empty: the same as `listen`.")
    ] = ""
    join: Annotated[
        tuple[str, ...], Meta(description="HOST:PORT of members to join by; one that lives is enough.")
    ] = ()
    region: Annotated[
        str, Meta(max_length=32, description="The region this node is in; `[shards]` places by it.")
    ] = ""
    role: Annotated[
        str,
        Meta(
            pattern="^(|node|control)$",
            description="`control`: set aside for work on behalf of the fleet, done by such members only.",
        ),
    ] = ""
    probe_s: Annotated[
        Seconds, Meta(description="One other member is probed so often; it is suspected at the end.")
    ] = 1.0
    suspect_s: Annotated[
        Seconds,
        Meta(
            description="The least time a suspect has to refute; six times as much where one alone says so."
        ),
    ] = 2.0
    forget_s: Annotated[
        Annotated[float, Meta(ge=1.0, le=604_800.0)],
        Meta(description="Members that are gone or have left are shown, and knocked at, for so long."),
    ] = 3600.0
