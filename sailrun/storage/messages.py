"""The messages by which voters compare the versions of their folders; `leadership/envelope.py` has their
envelope.

On the wire a message is a MessagePack array: its tag, then its fields in the order of declaration.
"""

from __future__ import annotations

import msgspec

# Values of `FreshnessQuery.startup`.
REPORTS_PROGRESS = 0
STARTS_FROM_FOLDER = 1
STARTS_WITHOUT_FOLDER = 2


class FreshnessQuery(msgspec.Struct, array_like=True, frozen=True, tag="stand"):
    """Reports the version of the sender's folder: its identity, its incarnation and the position up to which
    every entry is synced. `process_number` is that of the sender's process, `number` that of the query.

    `startup`: the sender reports its progress (0), has just started and relies on this folder unless the
    receiver knows a newer version (1), or has just started without a reliable folder and begins this one (2).
    """

    number: int
    identity: str
    incarnation: int
    position: int
    process_number: int
    startup: int = REPORTS_PROGRESS


class FreshnessReply(msgspec.Struct, array_like=True, frozen=True, tag="stood"):
    """The newest version of the querying voter's folder that the sender knew before the query with that
    number; `identity` is empty for a voter without a folder.
    """

    number: int
    identity: str
    incarnation: int
    position: int
    process_number: int


StorageMessage = FreshnessQuery | FreshnessReply
