"""What members say to each other about the state they keep copies of; `owners/envelope.py` carries it.

`epoch` counts how often the fleet has forgotten what was taken back: copies of different epochs are never
merged. Digests are of groups or ranges, see `store.py`. Numbers are the asker's own.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import msgspec

from sailrun.replication.records import Count, Key, Record


class Rumor(msgspec.Struct, array_like=True, frozen=True, tag="rumor"):
    """What has changed of late."""

    epoch: int
    records: list[Record]


class DigestRequest(msgspec.Struct, array_like=True, frozen=True, tag="sum"):
    """How is your copy? Mine has these digests, by group."""

    request_id: int
    epoch: int
    group_digests: list[int]
    complete: bool  # the sender has a whole copy


class DigestReply(msgspec.Struct, array_like=True, frozen=True, tag="differs"):
    """Mine has other digests in these groups: those of their ranges. `forgotten` is the record of the latest
    epoch, where the asker's is older.
    """

    request_id: int
    epoch: int
    range_digests: dict[int, list[int]]
    record_count: int  # in the ranges of those groups
    complete: bool
    epoch_record: Record | None = None


class PageRequest(msgspec.Struct, array_like=True, frozen=True, tag="take"):
    """Give me the records of these ranges, from after that key of the first one on."""

    request_id: int
    epoch: int
    ranges: list[int]
    after: Key | None
    urgent: bool = False  # a voter's memory or an owner's beginning: not held to the givers' rate


class RecordPage(msgspec.Struct, array_like=True, frozen=True, tag="given"):
    request_id: int
    epoch: int
    records: list[Record]
    after: Key | None  # where the piece ends; None: that was all


class SenderBusy(msgspec.Struct, array_like=True, frozen=True, tag="busy"):
    request_id: int
    retry_after_us: int


class RecordRequest(msgspec.Struct, array_like=True, frozen=True, tag="fetch"):
    """What do you have of this record? Asked of all voters where two copies differ without a reason."""

    request_id: int
    key: Key


class RecordReply(msgspec.Struct, array_like=True, frozen=True, tag="fetched"):
    request_id: int
    key: Key
    record: Record | None


class Prepare(msgspec.Struct, array_like=True, frozen=True, tag="promise"):
    """To a voter, by a new owner: take nothing of a lower term any more, and say how your copy is."""

    term: int
    request_id: int
    epoch: int
    group_digests: list[int]


class Promise(msgspec.Struct, array_like=True, frozen=True, tag="promised"):
    """`life` is which of its lives the voter is in, `lives` the latest of each voter that it knows of."""

    term: int
    request_id: int
    epoch: int
    incarnation: int
    crash_vector: dict[str, int]
    range_digests: dict[int, list[int]]  # of the groups that differ


class Accept(msgspec.Struct, array_like=True, frozen=True, tag="put"):
    """Keep these for me."""

    term: int
    request_id: int
    epoch: int
    records: list[Record]


class CatchUp(msgspec.Struct, array_like=True, frozen=True, tag="level"):
    """Say so once you hold everything that I hold."""

    term: int
    request_id: int
    epoch: int
    group_digests: list[int]


class Accepted(msgspec.Struct, array_like=True, frozen=True, tag="kept"):
    """The answer to `Put` and `Level`. Of a member that does not vote, `life` is 0."""

    term: int
    request_id: int
    incarnation: int
    crash_vector: dict[str, int]


class TermSuperseded(msgspec.Struct, array_like=True, frozen=True, tag="higher"):
    """Your term is over: a higher one was promised."""

    term: int
    request_id: int
    promised_term: int


class DeletionQuery(msgspec.Struct, array_like=True, frozen=True, tag="have"):
    """Do you know that all these were taken back?"""

    term: int
    request_id: int
    epoch: int
    deleted_versions: list[tuple[Key, str, Count]]


class DeletionReply(msgspec.Struct, array_like=True, frozen=True, tag="has"):
    term: int
    request_id: int
    knows_all: bool


class IncarnationRequest(msgspec.Struct, array_like=True, frozen=True, tag="knows"):
    """A voter that has started: which life am I in?"""

    request_id: int


class IncarnationReply(msgspec.Struct, array_like=True, frozen=True, tag="known"):
    request_id: int
    recovered: bool
    crash_vector: dict[str, int]
    promised_term: int
    verifying_folder: bool = False  # its folder is being compared: it will know in a moment


class RecoveryRequest(msgspec.Struct, array_like=True, frozen=True, tag="recover"):
    """A voter that has started, in this life of its: from now on nothing it said in former ones counts. Say
    what you have promised, and how your copy is.
    """

    request_id: int
    incarnation: int
    epoch: int
    group_digests: list[int]


class RecoveryReply(msgspec.Struct, array_like=True, frozen=True, tag="recovering"):
    request_id: int
    epoch: int
    crash_vector: dict[str, int]
    promised_term: int
    range_digests: dict[int, list[int]]


ReplicationBody = (
    Rumor
    | DigestRequest
    | DigestReply
    | PageRequest
    | RecordPage
    | SenderBusy
    | RecordRequest
    | RecordReply
    | Prepare
    | Promise
    | Accept
    | CatchUp
    | Accepted
    | TermSuperseded
    | DeletionQuery
    | DeletionReply
    | IncarnationRequest
    | IncarnationReply
    | RecoveryRequest
    | RecoveryReply
)


class OutgoingMessage(NamedTuple):
    """A message, and the name of the member it is for."""

    receiver: str
    body: ReplicationBody


class MarkOperation(StrEnum):
    """What is asked of the leader of the marks. A leader rejects an operation that it does not know."""

    WRITE = "mark"
    READ = "look"
    POLL = "poll"  # what became of a write
    COMPARE = "where"  # whether the asker's copy is level with the leader's


class MarkState(StrEnum):
    """What became of a request."""

    DONE = "done"
    PENDING = "pending"  # written, and without a majority yet
    WAITING = "waits"  # done, and in force once there is capacity
    REJECTED = "refused"
    OPENING = "opening"  # nothing was done: the leader's term has just begun
    OTHER_TERM = "other"  # nothing was done: the request is meant for another term
    UNKNOWN = "unknown"  # it may have been done under a former term
    BEHIND = "behind"  # the asker's copy lacks something


class MarkRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request to the leader of the marks; a leader of another term than `term` does not write.

    `operation` is a `MarkOperation`, or one of a later version of the program.
    """

    operation: str
    id: str = ""
    term: int = 0
    kind: str = ""
    subject: str = ""
    active: bool = False
    author: str = ""
    reason: str = ""
    written_at_s: float = 0.0  # what the writer's wall clock showed; it decides nothing
    all_members: bool = False  # also count the copies of members that do not vote
    group_digests: list[int] = []  # of a comparison: the asker's


class MarkReply(msgspec.Struct, array_like=True, frozen=True):
    """The leader's reply, with the leader's term.

    `state` is a `MarkState`, or one of a later version of the program. Of a write, `copies` of `replicas`
    members have it, and `all_members` says whether every living member does.
    """

    id: str
    state: str
    term: int = 0
    copies: int = 0
    replicas: int = 0
    all_members: bool = False
    reason: str = ""
    versions: list[tuple[bytes, bool]] = []  # of a read: contents, and whether each deletes the mark
    missing_records: int = 0  # of a comparison: how many records the asker may lack
