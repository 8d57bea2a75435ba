"""What nodes, the assigner and the voters of a region say to each other; `owners/envelope.py` carries it.

Every message names its region and the digest of the settings that have to be the same there.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from sailrun.leadership.messages import (
    LeaseDenial,
    LeaseGrant,
    LeaseHandover,
    LeaseRelease,
    LeaseRequest,
    TermQuery,
    TermReport,
)

# Sessions that one generation may add or remove, so that a change fits a datagram.
MOST_CHANGED = 24

# What is counted in 64 bits: a message with another number is none. Each generation has so many sessions.
Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Generation = Annotated[int, Meta(ge=0, le=2**57)]


class Session(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A node's lease on whatever shards are placed on it. Numbers are given once, and grow."""

    name: str
    number: Number
    nonce: int  # the node's own, so that it recognises the session it asked for


class Change(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """From generation `generation - 1` to this one. Who left had released, or its lease had ended."""

    generation: Generation
    joined: list[Session]
    left: list[Number]  # numbers of sessions


class Token(msgspec.Struct, array_like=True, frozen=True, order=True, gc=False):
    """Goes with every act for a shard; who receives it refuses what is below the highest seen."""

    generation: Generation
    session: Number


class TableState(msgspec.Struct, array_like=True, frozen=True):
    """A region's table as its voters keep it: everybody with a session, and the latest changes."""

    term: int  # of the assigner that wrote it
    generation: Generation
    sessions: list[Session]
    changes: list[Change]


# ---------------------------------------------------------------------- nodes and the assigner


class Renew(msgspec.Struct, array_like=True, frozen=True, tag="shard-renew"):
    """A node's heartbeat to its region's assigner: renew my session, and tell me what has changed.

    `session` 0 asks for one. `applied` is the generation the node goes by: it has stopped whatever is not its
    own under it. `offset`: how many sessions of the whole table of generation `table` it has already.
    """

    region: str
    digest: int
    number: Number
    session: Number
    nonce: int
    applied: Generation
    table: Generation = 0  # the generation of which a whole table is being fetched
    offset: Number = 0
    leaving: bool = False  # a planned stop: asks for leave to hand over
    released: bool = False  # owns nothing any more under this session, and never will
    seen: Generation = (
        0  # the highest generation the node ever went by: a table begun anew has to be above it
    )


class Renewed(msgspec.Struct, array_like=True, frozen=True, tag="shard-renewed"):
    """The assigner's answer. Facts only: each stays true however late it arrives."""

    region: str
    number: Number
    session: Number  # 0: none yet
    generation: Generation  # the latest
    settled: Generation  # every session in force goes by this generation or a later one
    changes: list[Change]  # from `applied` on, as many as fit
    table: Generation = 0  # sessions are of the whole table of this generation
    offset: Number = 0
    more: bool = False
    sessions: list[Session] = []
    may_leave: bool = False


class RenewRefused(msgspec.Struct, array_like=True, frozen=True, tag="shard-refused"):
    """`why`: `over` (no such session), `settings` (another digest), `elsewhere` (`holder` is asked)."""

    region: str
    number: Number
    why: str
    holder: str = ""


# ---------------------------------------------------------------------- the assigner and the voters


class ReadTable(msgspec.Struct, array_like=True, frozen=True, tag="shard-read"):
    """To a voter: take nothing of a lower term from now on, and tell what you keep."""

    region: str
    digest: int
    term: int
    number: Number


class TableRead(msgspec.Struct, array_like=True, frozen=True, tag="shard-kept"):
    """`remembers`: what the voter keeps is all it ever accepted; else its memory began anew."""

    region: str
    term: int
    number: Number
    life: int
    remembers: bool
    state: TableState | None


class WriteTable(msgspec.Struct, array_like=True, frozen=True, tag="shard-write"):
    """To a voter in one of its lives: keep this, unless you promised a higher term."""

    region: str
    digest: int
    number: Number
    life: int
    state: TableState


class TableWritten(msgspec.Struct, array_like=True, frozen=True, tag="shard-written"):
    region: str
    term: int
    number: Number
    life: int


class TableRefused(msgspec.Struct, array_like=True, frozen=True, tag="shard-no"):
    """`promised`: a higher term the voter has promised; 0: the write was for a life other than `life`."""

    region: str
    term: int
    number: Number
    life: int
    promised: int


# ---------------------------------------------------------------------- acts for a shard


class ShardAct(msgspec.Struct, array_like=True, frozen=True, tag="shard-act"):
    """Work that a shard's owner asks of another member, with its fencing token."""

    region: str
    shard: Number
    token: Token
    number: Number


class ShardActRefused(msgspec.Struct, array_like=True, frozen=True, tag="shard-act-refused"):
    """A higher token was seen for that shard."""

    region: str
    shard: Number
    number: Number
    highest: Token


# ---------------------------------------------------------------------- the lease on being the assigner


class Ballot(msgspec.Struct, array_like=True, frozen=True, tag="shard-ballot"):
    """What candidates and voters of a region say about who its assigner is."""

    region: str
    digest: int
    body: LeaseRequest | LeaseGrant | LeaseDenial | LeaseRelease | LeaseHandover | TermQuery | TermReport


ShardBody = (
    Renew
    | Renewed
    | RenewRefused
    | ReadTable
    | TableRead
    | WriteTable
    | TableWritten
    | TableRefused
    | ShardAct
    | ShardActRefused
    | Ballot
)
Post = tuple[str, ShardBody]
