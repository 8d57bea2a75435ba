"""What an operator sets of the replicated state: the table `[replica]` of the operator's file, whose keys are
the names in `msgspec.field`.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

Seconds = Annotated[float, Meta(gt=0.0, le=604_800.0)]


class ReplicationSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How copies are kept alike, and how much of everything there may be."""

    enabled: Annotated[bool, Meta(description="Whether this node keeps a copy of the fleet's state.")] = False
    max_records: Annotated[
        int, Meta(ge=100, le=1_000_000, description="Records in a copy; marks of staff get in beyond it.")
    ] = field(default=20_000, name="records")
    max_megabytes: Annotated[
        float, Meta(ge=0.1, le=4096.0, description="What the records of a copy may take.")
    ] = field(default=32.0, name="megabytes")
    compare_interval_s: Annotated[
        Annotated[float, Meta(ge=0.05, le=600.0)],
        Meta(description="This copy is compared with another node's so often."),
    ] = field(default=1.0, name="sync_s")
    stale_after_s: Annotated[
        Seconds,
        Meta(description="Marks and lists that were not compared with their owner's for so long are stale."),
    ] = field(default=30.0, name="stale_s")
    deletion_retention_s: Annotated[
        Seconds, Meta(description="A mark taken back is remembered as such for at least so long.")
    ] = field(default=60.0, name="keep_s")
    absent_member_wait_s: Annotated[
        Seconds,
        Meta(
            description="Members gone for so long are not waited for when marks taken back are forgotten; "
            "who returns after that begins with a whole copy."
        ),
    ] = field(default=3600.0, name="absent_s")
    outlier_report_ttl_s: Annotated[
        Seconds, Meta(description="What one node believes of a form server counts at others for so long.")
    ] = field(default=30.0, name="belief_s")
    min_reporters: Annotated[
        int,
        Meta(ge=2, le=1000, description="So many nodes must believe it before others act on it."),
    ] = field(default=2, name="voices")
    page_kb: Annotated[
        int, Meta(ge=1, le=1024, description="Copies are passed on in pieces of about this.")
    ] = 32
    receive_kb_per_s: Annotated[
        float, Meta(ge=1.0, le=1_000_000.0, description="A node that catches up takes no more than this.")
    ] = field(default=1000.0, name="take_kb_s")
    send_kb_per_s: Annotated[
        float,
        Meta(ge=1.0, le=1_000_000.0, description="To all who catch up, a node gives no more than this."),
    ] = field(default=2000.0, name="give_kb_s")
    max_receivers: Annotated[
        int,
        Meta(
            ge=1,
            le=1000,
            description="So many nodes are given pieces at a time; others wait or ask elsewhere.",
        ),
    ] = field(default=8, name="takers")
    scrub_interval_s: Annotated[
        Seconds, Meta(description="Every record's bytes are checked against their hash within this.")
    ] = field(default=30.0, name="scrub_s")
