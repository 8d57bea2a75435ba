"""Settings of leadership: the tables `[owners]`, `[permits]` and `[reader]` of the operator settings."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Count = Annotated[int, Meta(ge=1, le=1000)]
# The maximum relative drift between the clocks of two nodes, in either direction. Every duration that one
# node guarantees to another is shortened or extended by it, see docs/design/owners.md.
DRIFT = 0.01


class LeadershipSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The voters that grant leases, and the times of leases. All nodes of a fleet need the same values."""

    enabled: Annotated[bool, Meta(description="Whether tasks on behalf of the fleet have leaders.")] = False
    voters: Annotated[
        tuple[str, ...], Meta(description="Names of the 3, 5 or 7 members that grant leases.")
    ] = ()
    voters_before: Annotated[
        tuple[str, ...],
        Meta(
            description="The previous voters while one voter is being replaced; both majorities are needed."
        ),
    ] = ()
    revision: Annotated[
        int, Meta(ge=1, le=1_000_000, description="The revision of the voters; add 1 at each change of them.")
    ] = 1
    lease_s: Annotated[
        float,
        Meta(ge=0.2, le=60.0, description="How long a leader keeps its lease without renewal by a majority."),
    ] = 2.0
    order_s: Annotated[
        float,
        Meta(
            ge=0.05,
            le=30.0,
            description="A leader's response is accepted up to this time after the request.",
        ),
    ] = 1.0
    give_back_s: Annotated[
        float,
        Meta(
            ge=1.0,
            le=86_400.0,
            description="A better-placed member has to be alive for this time before it is given a task.",
        ),
    ] = 60.0
    record: Annotated[
        bool,
        Meta(description="For the laboratory's checks: logs every act, and performs acts for owned shards."),
    ] = False

    @property
    def stage(self) -> int:
        """Identifies the set of voters: odd while both the new and the previous voters count, else even."""
        return 2 * self.revision - (1 if self.voters_before else 0)


class PermitSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Limits how much may be out of service at a time in the whole fleet."""

    enabled: Annotated[
        bool,
        Meta(description="Whether draining a node and taking a form server out of service need a permit."),
    ] = False
    drains: Annotated[Count, Meta(description="The number of nodes that may be drained at a time.")] = 1
    out: Annotated[
        Count,
        Meta(description="The number of form servers that operators may take out of service at a time."),
    ] = 1
    lease_s: Annotated[
        float,
        Meta(
            ge=0.5,
            le=3600.0,
            description="A permit expires if it is not renewed for this time, also at its holder.",
        ),
    ] = 30.0


class ListReaderSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One node of each zone reads the registry on behalf of the other nodes of the zone."""

    enabled: Annotated[
        bool, Meta(description="Whether one node of each zone passes the registry's list on to the others.")
    ] = False
    ask_s: Annotated[
        float,
        Meta(ge=0.05, le=60.0, description="The interval at which the reader is asked for a newer list."),
    ] = 0.5
    silence_s: Annotated[
        float,
        Meta(
            ge=0.2,
            le=600.0,
            description="A node that gets no answer from the reader for this time reads the registry itself.",
        ),
    ] = 3.0
