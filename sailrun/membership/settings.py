"""Settings of the membership protocol: the table `[members]` of the operator settings."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Seconds = Annotated[float, Meta(gt=0.0, le=3600.0)]
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]


class MembershipSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The addresses of membership, and the times of failure detection."""

    enabled: Annotated[bool, Meta(description="Whether this node joins a fleet.")] = False
    fleet: Annotated[Name, Meta(description="The fleet's name; nodes ignore messages of other fleets.")] = (
        "census"
    )
    name: Annotated[
        str,
        Meta(max_length=64, description="This node's own name, the same after a restart; required."),
    ] = ""
    listen: Annotated[
        str, Meta(description="HOST:PORT for datagrams and links of the other members; required.")
    ] = ""
    advertise: Annotated[
        str,
        Meta(
            description="HOST:PORT at which the other members reach this node; empty: the same as `listen`."
        ),
    ] = ""
    join: Annotated[
        tuple[str, ...],
        Meta(description="HOST:PORT of members to join through; one that is alive is enough."),
    ] = ()
    region: Annotated[
        str, Meta(max_length=32, description="The region of this node; `[shards]` places shards by it.")
    ] = ""
    role: Annotated[
        str,
        Meta(
            pattern="^(|node|control)$",
            description="`control`: for tasks of the fleet; if there are such members, the others get none.",
        ),
    ] = ""
    probe_s: Annotated[
        Seconds,
        Meta(
            description="The period in which one other member is probed; without an answer it is suspected."
        ),
    ] = 1.0
    suspect_s: Annotated[
        Seconds,
        Meta(description="The minimum time to refute a suspicion; six times as long with a single accuser."),
    ] = 2.0
    forget_s: Annotated[
        Annotated[float, Meta(ge=1.0, le=604_800.0)],
        Meta(
            description="For this time, dead members and those that left are shown; dead ones are contacted."
        ),
    ] = 3600.0
