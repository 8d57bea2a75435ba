"""Settings of a node's storage folder: the table `[lasting]` of the operator's file."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

MEGABYTE = 1_000_000


class StorageSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of a node's persistent state. Storage is disabled if `folder` is empty."""

    folder: Annotated[
        str, Meta(description="This node's own folder, on a persistent disk; empty: nothing is stored.")
    ] = ""
    generation_mb: Annotated[
        float,
        Meta(
            ge=0.01,
            le=4096.0,
            description="Size of a journal, in megabytes, above which a snapshot and a new journal follow.",
        ),
    ] = 8.0
    queue_mb: Annotated[
        float,
        Meta(
            ge=0.1,
            le=1024.0,
            description="Megabytes of entries that may be pending; above it the whole state is written.",
        ),
    ] = 8.0
    slow_s: Annotated[
        float,
        Meta(
            ge=0.0,
            le=60.0,
            description="A voter whose disk takes longer denies lease requests; 0: half of owners.lease_s.",
        ),
    ] = 0.0
    idle_sync_s: Annotated[
        float,
        Meta(
            ge=0.05,
            le=600.0,
            description="Approximate time after which entries that no reply waits for are synced to disk.",
        ),
    ] = 2.0
    half_life_s: Annotated[
        float,
        Meta(
            ge=1.0,
            le=604_800.0,
            description="Age at which stored learned state about form servers has half of its weight.",
        ),
    ] = 120.0

    @property
    def enabled(self) -> bool:
        """Whether a folder is configured."""
        return bool(self.folder)
