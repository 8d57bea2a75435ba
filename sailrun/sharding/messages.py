"""The messages between nodes, assigner and voters of a region; `leadership/envelope.py` has their envelope.

Every message contains the name of its region; some contain the digest of the settings that must be the same
on all nodes of the region. On the wire they are MessagePack arrays: the tags and the order and types of the
fields must not change.
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

# The number of sessions that one generation may add or remove, so that a change fits a datagram.
MAX_CHANGED_SESSIONS = 24

# Counters are signed 64-bit integers; a message with a number out of range is invalid. Generations have a
# lower limit, because session numbers are up to MAX_CHANGED_SESSIONS times as high.
Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Generation = Annotated[int, Meta(ge=0, le=2**57)]


class Session(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A node's lease on the shards that are placed on it. Session numbers are unique and increase."""

    name: str
    number: Number
    nonce: int  # chosen by the node, so that it recognises the session that it requested


class GenerationChange(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The change from generation `generation - 1` to `generation`. The sessions in `left` had been released
    or their leases had ended.
    """

    generation: Generation
    joined: list[Session]
    left: list[Number]  # numbers of sessions


class FencingToken(msgspec.Struct, array_like=True, frozen=True, order=True, gc=False):
    """Accompanies every act for a shard; a receiver rejects a token below the highest one it has seen."""

    generation: Generation
    session_number: Number


class TableState(msgspec.Struct, array_like=True, frozen=True):
    """The table of a region that its voters store: all sessions and the latest changes."""

    term: int  # the term of the assigner that wrote the table
    generation: Generation
    sessions: list[Session]
    changes: list[GenerationChange]


# ---------------------------------------------------------------------- nodes and the assigner


class RenewSession(msgspec.Struct, array_like=True, frozen=True, tag="shard-renew"):
    """A node's heartbeat to its region's assigner: renews its session and polls for changes.

    `session_number` 0 requests a session. `applied_generation`: the node applies this generation and has
    stopped using shards that are not placed on it there. `fetched_count` is the number of sessions that the
    node has already fetched of the table of `fetched_generation`.
    """

    region: str
    digest: int
    sequence: Number
    session_number: Number
    nonce: int
    applied_generation: Generation
    fetched_generation: Generation = 0  # the generation of the complete table that is being fetched
    fetched_count: Number = 0
    is_leaving: bool = False  # a planned stop: requests permission to hand over
    is_released: bool = False  # the node owns nothing under this session any more and never will again
    highest_generation: Generation = (
        0  # the highest generation that the node ever applied: a new table must be above it
    )


class SessionRenewed(msgspec.Struct, array_like=True, frozen=True, tag="shard-renewed"):
    """The assigner's answer. All statements in it remain true, however late it arrives."""

    region: str
    sequence: Number
    session_number: Number  # 0: no session yet
    generation: Generation  # the latest one
    settled_generation: Generation  # every session in force applies this generation or a later one
    changes: list[GenerationChange]  # those after `applied_generation`, as many as fit
    page_generation: Generation = 0  # `sessions` are a page of the complete table of this generation
    page_offset: Number = 0
    has_more: bool = False
    sessions: list[Session] = []
    may_hand_over: bool = False


class RenewalRejected(msgspec.Struct, array_like=True, frozen=True, tag="shard-refused"):
    """Rejects a heartbeat. `reason`: `over` (there is no such session), `settings` (the digest differs) or
    `elsewhere` (the sender is not the assigner; `assigner_name` is, if it is not empty).
    """

    region: str
    sequence: Number
    reason: str
    assigner_name: str = ""


# ---------------------------------------------------------------------- the assigner and the voters


class ReadTable(msgspec.Struct, array_like=True, frozen=True, tag="shard-read"):
    """Requests a voter's promise to accept nothing with a lower term, and the table that it stores."""

    region: str
    digest: int
    term: int
    sequence: Number


class TableRead(msgspec.Struct, array_like=True, frozen=True, tag="shard-kept"):
    """Answers a `ReadTable`. `has_memory`: the voter has everything that it ever accepted; False after a
    restart, until an assigner has written to the new process.
    """

    region: str
    term: int
    sequence: Number
    life: int
    has_memory: bool
    state: TableState | None


class WriteTable(msgspec.Struct, array_like=True, frozen=True, tag="shard-write"):
    """Requests the voter's process with the number `life` to store a table, unless it has promised a higher
    term.
    """

    region: str
    digest: int
    sequence: Number
    life: int
    state: TableState


class TableWritten(msgspec.Struct, array_like=True, frozen=True, tag="shard-written"):
    """Answers a `WriteTable`: the voter stores the table."""

    region: str
    term: int
    sequence: Number
    life: int


class TableRejected(msgspec.Struct, array_like=True, frozen=True, tag="shard-no"):
    """Rejects a `ReadTable` or `WriteTable`. `promised_term` is the higher term that the voter has promised;
    0: the write was addressed to another process than `life`.
    """

    region: str
    term: int
    sequence: Number
    life: int
    promised_term: int


# ---------------------------------------------------------------------- acts for a shard


class ShardAct(msgspec.Struct, array_like=True, frozen=True, tag="shard-act"):
    """A request of a shard's owner to another member, with its fencing token."""

    region: str
    shard: Number
    token: FencingToken
    sequence: Number


class ShardActRejected(msgspec.Struct, array_like=True, frozen=True, tag="shard-act-refused"):
    """Rejects an act, because the receiver has seen a higher token for the shard."""

    region: str
    shard: Number
    sequence: Number
    highest_token: FencingToken


# ---------------------------------------------------------------------- the election of the assigner


class ElectionMessage(msgspec.Struct, array_like=True, frozen=True, tag="shard-ballot"):
    """A message between candidates and voters of the region about the assigner's lease."""

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
    """A message and the name of the member that it is addressed to."""

    recipient: str
    body: ShardBody
