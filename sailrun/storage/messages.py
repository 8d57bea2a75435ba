"""The messages by which voters compare the versions of their folders; `leadership/envelope.py` carries them.

On the wire a message is a MessagePack array that begins with its tag, its fields in the order given here.
"""

from __future__ import annotations

import msgspec

# What `FreshnessQuery.startup` says.
REPORTS_PROGRESS = 0
STARTS_FROM_FOLDER = 1
STARTS_WITHOUT_FOLDER = 2


class FreshnessQuery(msgspec.Struct, array_like=True, frozen=True, tag="stand"):
    """The sender's folder has this identity and is in this incarnation, and everything up to `position` is
    on its disk. `process_number` is that of the sender's process, `number` that of the query.

    `startup`: the sender reports its progress (0), has just started and relies on this folder unless the
    receiver knows of a newer one (1), or has just started without a folder to rely on and begins this one
    (2).
    """

    number: int
    identity: str
    incarnation: int
    position: int
    process_number: int
    startup: int = REPORTS_PROGRESS


class FreshnessReply(msgspec.Struct, array_like=True, frozen=True, tag="stood"):
    """The newest version of the querying voter's folder that the sender knew before the query of that number;
    `identity` is empty for a voter without a folder.
    """

    number: int
    identity: str
    incarnation: int
    position: int
    process_number: int


StorageMessage = FreshnessQuery | FreshnessReply
