"""What an operator sets of leadership: the tables `[owners]`, `[permits]` and `[reader]` of the operator's
file.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Count = Annotated[int, Meta(ge=1, le=1000)]
# How far a second of one node's clock may be from another's, either way. Every promise of one node to another
# is cut or stretched by it, see docs/design/owners.md.
DRIFT = 0.01


class LeadershipSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Who grants leases, and how long they last. The same on every node of a fleet."""

    enabled: Annotated[bool, Meta(description="Whether work on behalf of the fleet has owners.")] = False
    voters: Annotated[
        tuple[str, ...], Meta(description="Names of the 3, 5 or 7 members that grant leases.")
    ] = ()
    voters_before: Annotated[
        tuple[str, ...],
        Meta(
            description="While one voter is exchanged: the voters before. Majorities of both are asked for."
        ),
    ] = ()
    revision: Annotated[
        int, Meta(ge=1, le=1_000_000, description="Of the voters: one more at each change of them.")
    ] = 1
    lease_s: Annotated[
        float, Meta(ge=0.2, le=60.0, description="How long an owner stays one without word from a majority.")
    ] = 2.0
    order_s: Annotated[
        float,
        Meta(
            ge=0.05,
            le=30.0,
            description="An answer of an owner is taken no later than this after the question.",
        ),
    ] = 1.0
    give_back_s: Annotated[
        float,
        Meta(
            ge=1.0,
            le=86_400.0,
            description="A better placed member has been back for so long before it is given a task.",
        ),
    ] = 60.0
    record: Annotated[
        bool,
        Meta(description="For the laboratory's checks: a log line for every act, and acts for owned shards."),
    ] = False

    @property
    def stage(self) -> int:
        """Which voters are counted: odd while two sets of them are."""
        return 2 * self.revision - (1 if self.voters_before else 0)


class PermitSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How much may be out of service at a time, over the whole fleet."""

    enabled: Annotated[
        bool, Meta(description="Whether draining a node and taking a form server out by hand need a permit.")
    ] = False
    drains: Annotated[Count, Meta(description="Nodes drained at a time.")] = 1
    out: Annotated[Count, Meta(description="Form servers out by hand at a time.")] = 1
    lease_s: Annotated[
        float,
        Meta(
            ge=0.5,
            le=3600.0,
            description="A permit whose holder is not heard of ends after so long, at the holder too.",
        ),
    ] = 30.0


class ListReaderSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One node of each data centre reads the roster for the others there."""

    enabled: Annotated[bool, Meta(description="Whether the roster's list is passed on.")] = False
    ask_s: Annotated[float, Meta(ge=0.05, le=60.0, description="The reader is asked for news so often.")] = (
        0.5
    )
    silence_s: Annotated[
        float,
        Meta(ge=0.2, le=600.0, description="Who hears nothing of the reader for so long reads for itself."),
    ] = 3.0
