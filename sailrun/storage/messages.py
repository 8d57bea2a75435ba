"""What voters tell each other of their folders; `owners/envelope.py` carries it."""

from __future__ import annotations

import msgspec


class FreshnessQuery(msgspec.Struct, array_like=True, frozen=True, tag="stand"):
    """My folder is this one, in this life of its, and everything up to there is on the disk. `run` is this
    process's own number. `begins`: I have just started, and go by this folder unless you know better (1), or
    have none to go by and begin this one (2).
    """

    number: int
    identity: str
    incarnation: int
    position: int
    process_number: int
    startup: int = 0


class FreshnessReply(msgspec.Struct, array_like=True, frozen=True, tag="stood"):
    """The newest that I knew of your folder before you told; of a voter that has none, `identity` is
    empty.
    """

    number: int
    identity: str
    incarnation: int
    position: int
    process_number: int


StorageMessage = FreshnessQuery | FreshnessReply
