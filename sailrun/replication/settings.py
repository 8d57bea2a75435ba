"""What an operator sets of the fleet's common state: the table `[replica]` of the operator's file."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Seconds = Annotated[float, Meta(gt=0.0, le=604_800.0)]


class ReplicationSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How copies are kept alike, and how much of everything there may be."""

    enabled: Annotated[bool, Meta(description="Whether this node keeps a copy of the fleet's state.")] = False
    records: Annotated[
        int, Meta(ge=100, le=1_000_000, description="Records in a copy; marks of staff get in beyond it.")
    ] = 20_000
    megabytes: Annotated[
        float, Meta(ge=0.1, le=4096.0, description="What the records of a copy may take.")
    ] = 32.0
    sync_s: Annotated[
        Annotated[float, Meta(ge=0.05, le=600.0)],
        Meta(description="This copy is compared with another node's so often."),
    ] = 1.0
    stale_s: Annotated[
        Seconds,
        Meta(description="Marks and lists that were not compared with their owner's for so long are stale."),
    ] = 30.0
    keep_s: Annotated[
        Seconds, Meta(description="A mark taken back is remembered as such for at least so long.")
    ] = 60.0
    absent_s: Annotated[
        Seconds,
        Meta(
            description="Members gone for so long are not waited for when marks taken back are forgotten; "
            "who returns after that begins with a whole copy."
        ),
    ] = 3600.0
    belief_s: Annotated[
        Seconds, Meta(description="What one node believes of a form server counts at others for so long.")
    ] = 30.0
    voices: Annotated[
        int,
        Meta(ge=2, le=1000, description="So many nodes must believe it before others act on it."),
    ] = 2
    page_kb: Annotated[
        int, Meta(ge=1, le=1024, description="Copies are passed on in pieces of about this.")
    ] = 32
    take_kb_s: Annotated[
        float, Meta(ge=1.0, le=1_000_000.0, description="A node that catches up takes no more than this.")
    ] = 1000.0
    give_kb_s: Annotated[
        float,
        Meta(ge=1.0, le=1_000_000.0, description="To all who catch up, a node gives no more than this."),
    ] = 2000.0
    takers: Annotated[
        int,
        Meta(
            ge=1,
            le=1000,
            description="So many nodes are given pieces at a time; others wait or ask elsewhere.",
        ),
    ] = 8
    scrub_s: Annotated[
        Seconds, Meta(description="Every record's bytes are checked against their hash within this.")
    ] = 30.0
