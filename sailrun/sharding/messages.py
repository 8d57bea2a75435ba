"""What nodes, the assigner and the voters of a region say to each other; `owners/envelope.py` carries it.

Every message names its region and the digest of the settings that have to be the same there.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from sailrun.leadership.messages import Ask, Deny, Grant, Recall, Recalled, Release, Yield

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
    """Goes with every act for a shard; who receives it refuses what is below the highest seen."""

    generation: Generation
    session_number: Number


class TableState(msgspec.Struct, array_like=True, frozen=True):
    """A region's table as its voters keep it: everybody with a session, and the latest changes."""

    term: int  # of the assigner that wrote it
    generation: Generation
    sessions: list[Session]
    changes: list[GenerationChange]


# ---------------------------------------------------------------------- nodes and the assigner


class RenewSession(msgspec.Struct, array_like=True, frozen=True, tag="shard-renew"):
    """A node's heartbeat to its region's assigner: renew my session, and tell me what has changed.

    `session` 0 asks for one. `applied` is the generation the node goes by: it has stopped whatever is not its
    own under it. `offset`: how many sessions of the whole table of generation `table` it has already.
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
    """`why`: `over` (no such session), `settings` (another digest), `elsewhere` (`holder` is asked)."""

    region: str
    sequence: Number
    reason: str
    assigner_name: str = ""


# ---------------------------------------------------------------------- the assigner and the voters


class ReadTable(msgspec.Struct, array_like=True, frozen=True, tag="shard-read"):
    """To a voter: take nothing of a lower term from now on, and tell what you keep."""

    region: str
    digest: int
    term: int
    sequence: Number


class TableRead(msgspec.Struct, array_like=True, frozen=True, tag="shard-kept"):
    """`remembers`: what the voter keeps is all it ever accepted; else its memory began anew."""

    region: str
    term: int
    sequence: Number
    life: int
    has_memory: bool
    state: TableState | None


class WriteTable(msgspec.Struct, array_like=True, frozen=True, tag="shard-write"):
    """To a voter in one of its lives: keep this, unless you promised a higher term."""

    region: str
    digest: int
    sequence: Number
    life: int
    state: TableState


class TableWritten(msgspec.Struct, array_like=True, frozen=True, tag="shard-written"):
    region: str
    term: int
    sequence: Number
    life: int


class TableRejected(msgspec.Struct, array_like=True, frozen=True, tag="shard-no"):
    """`promised`: a higher term the voter has promised; 0: the write was for a life other than `life`."""

    region: str
    term: int
    sequence: Number
    life: int
    promised_term: int


# ---------------------------------------------------------------------- acts for a shard


class ShardAct(msgspec.Struct, array_like=True, frozen=True, tag="shard-act"):
    """Work that a shard's owner asks of another member, with its fencing token."""

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
    """What candidates and voters of a region say about who its assigner is."""

    region: str
    digest: int
    body: Ask | Grant | Deny | Release | Yield | Recall | Recalled


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
PeerMessage = tuple[str, ShardBody]
