"""The operator's settings for the replicated state: the table `[replica]` of the operator's file. Its keys
are the names in `msgspec.field`.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

Seconds = Annotated[float, Meta(gt=0.0, le=604_800.0)]


class ReplicationSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings for synchronization of replicas and for their bounds."""

    enabled: Annotated[bool, Meta(description="Whether this node keeps a replica of the fleet's state.")] = (
        False
    )
    max_records: Annotated[
        int,
        Meta(
            ge=100,
            le=1_000_000,
            description="Maximum number of records in a replica; operator marks may exceed it.",
        ),
    ] = field(default=20_000, name="records")
    max_megabytes: Annotated[
        float, Meta(ge=0.1, le=4096.0, description="Maximum size of the records of a replica, in megabytes.")
    ] = field(default=32.0, name="megabytes")
    compare_interval_s: Annotated[
        Annotated[float, Meta(ge=0.05, le=600.0)],
        Meta(description="Interval between comparisons of this replica with another node's."),
    ] = field(default=1.0, name="sync_s")
    stale_after_s: Annotated[
        Seconds,
        Meta(description="Time without sync with the leader after which marks and lists count as stale."),
    ] = field(default=30.0, name="stale_s")
    deletion_retention_s: Annotated[
        Seconds, Meta(description="Minimum time for which a deleted mark is retained as deleted.")
    ] = field(default=60.0, name="keep_s")
    absent_member_wait_s: Annotated[
        Seconds,
        Meta(
            description="Removal of deleted marks does not wait for members that have been dead this long; "
            "a member that returns later fetches a complete replica."
        ),
    ] = field(default=3600.0, name="absent_s")
    outlier_report_ttl_s: Annotated[
        Seconds, Meta(description="Time after which a node's outlier report expires at other nodes.")
    ] = field(default=30.0, name="belief_s")
    min_reporters: Annotated[
        int,
        Meta(
            ge=2, le=1000, description="Number of nodes that must report an outlier before others act on it."
        ),
    ] = field(default=2, name="voices")
    page_kb: Annotated[
        int, Meta(ge=1, le=1024, description="Approximate size of a page in a state transfer, in kilobytes.")
    ] = 32
    receive_kb_per_s: Annotated[
        float,
        Meta(
            ge=1.0,
            le=1_000_000.0,
            description="Maximum rate at which a node receives state transfers, in kB/s.",
        ),
    ] = field(default=1000.0, name="take_kb_s")
    send_kb_per_s: Annotated[
        float,
        Meta(
            ge=1.0, le=1_000_000.0, description="Maximum rate at which a node sends state transfers, in kB/s."
        ),
    ] = field(default=2000.0, name="give_kb_s")
    max_receivers: Annotated[
        int,
        Meta(
            ge=1,
            le=1000,
            description="Maximum number of concurrent receivers of state transfers; "
            "others retry or use another node.",
        ),
    ] = field(default=8, name="takers")
    scrub_interval_s: Annotated[
        Seconds, Meta(description="Time within which the bytes of every record are checked against its hash.")
    ] = field(default=30.0, name="scrub_s")
