"""The messages between nodes, assigner and voters of a region; `leadership/envelope.py` carries them.

Every message names its region; some have the digest of the settings that must be the same there. On the
wire they are MessagePack arrays: tags, the order of fields and their types are fixed.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

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
MAX_CHANGED_SESSIONS = 24

# What is counted in 64 bits: a message with another number is none. Each generation has so many sessions.
Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Generation = Annotated[int, Meta(ge=0, le=2**57)]


class Session(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A node's lease on whatever shards are placed on it. Numbers are given once, and grow."""

    name: str
    number: Number
    nonce: int  # the node's own, so that it recognises the session it asked for


class GenerationChange(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """From generation `generation - 1` to this one. Who left had released, or its lease had ended."""

    generation: Generation
    joined: list[Session]
    left: list[Number]  # numbers of sessions


class FencingToken(msgspec.Struct, array_like=True, frozen=True, order=True, gc=False):
    """Accompanies every act on a shard's behalf; the receiver rejects one below the highest it has seen."""

    generation: Generation
    session_number: Number


class TableState(msgspec.Struct, array_like=True, frozen=True):
    """A region's table as its voters store it: all sessions, and the latest changes."""

    term: int  # of the assigner that wrote it
    generation: Generation
    sessions: list[Session]
    changes: list[GenerationChange]


# ---------------------------------------------------------------------- nodes and the assigner


class RenewSession(msgspec.Struct, array_like=True, frozen=True, tag="shard-renew"):
    """A node's heartbeat to its region's assigner: renews its session, and polls for changes.

    `session_number` 0 requests one. `applied_generation`: the node has stopped whatever is not its own under
    it. `fetched_count`: how many sessions of the table of `fetched_generation` it has already.
    """

    region: str
    digest: int
    sequence: Number
    session_number: Number
    nonce: int
    applied_generation: Generation
    fetched_generation: Generation = 0  # the generation of which a whole table is being fetched
    fetched_count: Number = 0
    is_leaving: bool = False  # a planned stop: asks for leave to hand over
    is_released: bool = False  # owns nothing any more under this session, and never will
    highest_generation: Generation = (
        0  # the highest generation the node ever went by: a table begun anew has to be above it
    )


class SessionRenewed(msgspec.Struct, array_like=True, frozen=True, tag="shard-renewed"):
    """The assigner's answer. Facts only: each stays true however late it arrives."""

    region: str
    sequence: Number
    session_number: Number  # 0: none yet
    generation: Generation  # the latest
    settled_generation: Generation  # every session in force goes by this generation or a later one
    changes: list[GenerationChange]  # from `applied` on, as many as fit
    page_generation: Generation = 0  # sessions are of the whole table of this generation
    page_offset: Number = 0
    has_more: bool = False
    sessions: list[Session] = []
    may_hand_over: bool = False


class RenewalRejected(msgspec.Struct, array_like=True, frozen=True, tag="shard-refused"):
    """`reason`: `over` (no such session), `settings` (another digest), `elsewhere` (`assigner_name` is to be
    asked).
    """

    region: str
    sequence: Number
    reason: str
    assigner_name: str = ""


# ---------------------------------------------------------------------- the assigner and the voters


class ReadTable(msgspec.Struct, array_like=True, frozen=True, tag="shard-read"):
    """To a voter: promise to accept nothing of a lower term, and return the table that you have."""

    region: str
    digest: int
    term: int
    sequence: Number


class TableRead(msgspec.Struct, array_like=True, frozen=True, tag="shard-kept"):
    """`has_memory`: the voter has all that it ever accepted; False: it was restarted since."""

    region: str
    term: int
    sequence: Number
    life: int
    has_memory: bool
    state: TableState | None


class WriteTable(msgspec.Struct, array_like=True, frozen=True, tag="shard-write"):
    """To one process of a voter: accept this table, unless you promised a higher term."""

    region: str
    digest: int
    sequence: Number
    life: int
    state: TableState


class TableWritten(msgspec.Struct, array_like=True, frozen=True, tag="shard-written"):
    """Answers a `WriteTable`: the voter retains that table."""

    region: str
    term: int
    sequence: Number
    life: int


class TableRejected(msgspec.Struct, array_like=True, frozen=True, tag="shard-no"):
    """`promised_term`: a higher term that the voter has promised; 0: the write was for another process than
    `life`.
    """

    region: str
    term: int
    sequence: Number
    life: int
    promised_term: int


# ---------------------------------------------------------------------- acts for a shard


class ShardAct(msgspec.Struct, array_like=True, frozen=True, tag="shard-act"):
    """Work that a shard's owner requests of another member, with its fencing token."""

    region: str
    shard: Number
    token: FencingToken
    sequence: Number


class ShardActRejected(msgspec.Struct, array_like=True, frozen=True, tag="shard-act-refused"):
    """A higher token was seen for that shard."""

    region: str
    shard: Number
    sequence: Number
    highest_token: FencingToken


# ---------------------------------------------------------------------- the lease on being the assigner


class ElectionMessage(msgspec.Struct, array_like=True, frozen=True, tag="shard-ballot"):
    """A message about the lease on being the assigner, between candidates and voters of the region."""

    region: str
    digest: int
    body: LeaseRequest | LeaseGrant | LeaseDenial | LeaseRelease | LeaseHandover | TermQuery | TermReport


ShardBody = (
    RenewSession
    | SessionRenewed
    | RenewalRejected
    | ReadTable
    | TableRead
    | WriteTable
    | TableWritten
    | TableRejected
    | ShardAct
    | ShardActRejected
    | ElectionMessage
)


class PeerMessage(NamedTuple):
    """A message for a member by name."""

    recipient: str
    body: ShardBody
