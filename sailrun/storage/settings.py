"""Settings of a node's storage folder: the table `[lasting]` of the operator's file."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

MEGABYTE = 1_000_000


class StorageSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Where a node keeps what it has to know after a restart. Off without a folder."""

    folder: Annotated[
        str, Meta(description="This node's own folder, on a disk that lasts; empty: nothing is kept.")
    ] = ""
    generation_mb: Annotated[
        float,
        Meta(ge=0.01, le=4096.0, description="A journal of this size is followed by a snapshot and another."),
    ] = 8.0
    queue_mb: Annotated[
        float,
        Meta(
            ge=0.1,
            le=1024.0,
            description="More than this waits for a slow disk no more: it is written anew as a whole.",
        ),
    ] = 8.0
    slow_s: Annotated[
        float,
        Meta(
            ge=0.0,
            le=60.0,
            description="A voter whose disk takes longer than this steps back; 0: half of owners.lease_s.",
        ),
    ] = 0.0
    idle_sync_s: Annotated[
        float,
        Meta(ge=0.05, le=600.0, description="What nobody waits for is safe on the disk after about this."),
    ] = 2.0
    half_life_s: Annotated[
        float,
        Meta(
            ge=1.0,
            le=604_800.0,
            description="What was learned of form servers counts half after so long without this node.",
        ),
    ] = 120.0

    @property
    def enabled(self) -> bool:
        """Whether a folder is configured."""
        return bool(self.folder)
