"""Messages between members about replicated state; `leadership/envelope.py` carries them.

The tags and the order of the fields are the wire's, and older than the names here: an array is read by place,
and newer versions add fields at the end. `request_id` is the asker's own, and comes back in the reply.
`epoch` counts how often the fleet has forgotten deleted records (`epochs.py`): copies of different epochs are
never merged. Digests are of ranges of keys, or of groups of ranges (`range_digests.py`).
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import msgspec

from sailrun.replication.records import Count, Key, Record

# ---------------------------------------------------------------------- anti-entropy and state transfer


class Rumor(msgspec.Struct, array_like=True, frozen=True, tag="rumor"):
    """Records that changed of late."""

    epoch: int
    records: list[Record]


class DigestRequest(msgspec.Struct, array_like=True, frozen=True, tag="sum"):
    """Asks how the receiver's copy compares with the sender's, which has these digests."""

    request_id: int
    epoch: int
    group_digests: list[int]
    complete: bool  # the sender's copy is


class DigestReply(msgspec.Struct, array_like=True, frozen=True, tag="differs"):
    """The sender's digests in the groups that differ; none where the copies are alike."""

    request_id: int
    epoch: int
    range_digests: dict[int, list[int]]  # by group
    record_count: int  # in the ranges of those groups
    complete: bool  # the sender's copy is
    epoch_record: Record | None = None  # that of the latest epoch, where the asker's is older


class PageRequest(msgspec.Struct, array_like=True, frozen=True, tag="take"):
    """Asks for the records of these ranges; of the first one, only for what follows the key `after`."""

    request_id: int
    epoch: int
    ranges: list[int]
    after: Key | None
    urgent: bool = False  # a voter's recovery or a leader's beginning: not held to the sender's rate


class RecordPage(msgspec.Struct, array_like=True, frozen=True, tag="given"):
    """Records of the ranges asked for."""

    request_id: int
    epoch: int
    records: list[Record]
    after: Key | None  # the key where the page ends; None: nothing follows


class SenderBusy(msgspec.Struct, array_like=True, frozen=True, tag="busy"):
    """The sender of a state transfer has no capacity now."""

    request_id: int
    retry_after_us: int


class RecordRequest(msgspec.Struct, array_like=True, frozen=True, tag="fetch"):
    """Asks a voter for its copy of a record, where two copies differ without a reason."""

    request_id: int
    key: Key


class RecordReply(msgspec.Struct, array_like=True, frozen=True, tag="fetched"):
    """A voter's copy of a record; None: it has none."""

    request_id: int
    key: Key
    record: Record | None


# ---------------------------------------------------------------------- a leader and the voters


class Prepare(msgspec.Struct, array_like=True, frozen=True, tag="promise"):
    """From a new leader to a voter: to accept nothing of a lower term, and to compare its copy."""

    term: int
    request_id: int
    epoch: int
    group_digests: list[int]


class Promise(msgspec.Struct, array_like=True, frozen=True, tag="promised"):
    """A voter accepts nothing of a lower term from now on."""

    term: int
    request_id: int
    epoch: int
    incarnation: int  # of the voter
    crash_vector: dict[str, int]  # the latest incarnation of each voter that it knows of
    range_digests: dict[int, list[int]]  # of the groups that differ


class Accept(msgspec.Struct, array_like=True, frozen=True, tag="put"):
    """From a leader: to hold these records. Members that do not vote may be asked as well."""

    term: int
    request_id: int
    epoch: int
    records: list[Record]


class CatchUp(msgspec.Struct, array_like=True, frozen=True, tag="level"):
    """From a leader to a voter: to reply once it holds everything that the leader holds."""

    term: int
    request_id: int
    epoch: int
    group_digests: list[int]


class Accepted(msgspec.Struct, array_like=True, frozen=True, tag="kept"):
    """The reply to `Accept` and `CatchUp`."""

    term: int
    request_id: int
    incarnation: int  # of a member that does not vote: 0
    crash_vector: dict[str, int]


class TermSuperseded(msgspec.Struct, array_like=True, frozen=True, tag="higher"):
    """The leader's term is over: the voter has promised a higher one."""

    term: int
    request_id: int
    promised_term: int


class DeletionQuery(msgspec.Struct, array_like=True, frozen=True, tag="have"):
    """From a leader: whether the member knows that all these versions were deleted."""

    term: int
    request_id: int
    epoch: int
    deleted_versions: list[tuple[Key, str, Count]]


class DeletionReply(msgspec.Struct, array_like=True, frozen=True, tag="has"):
    """Whether the member's copy is complete, of the same epoch, and knows all of them."""

    term: int
    request_id: int
    knows_all: bool


# ---------------------------------------------------------------------- recovery of a voter


class IncarnationRequest(msgspec.Struct, array_like=True, frozen=True, tag="knows"):
    """From a voter that lost its memory: which incarnation of it is the latest known."""

    request_id: int


class IncarnationReply(msgspec.Struct, array_like=True, frozen=True, tag="known"):
    """What another voter knows."""

    request_id: int
    recovered: bool  # this voter remembers everything that it promised
    crash_vector: dict[str, int]
    promised_term: int
    verifying_folder: bool = False  # it may remember: its folder is being compared with the others'


class RecoveryRequest(msgspec.Struct, array_like=True, frozen=True, tag="recover"):
    """From a voter in its new incarnation: nothing that it said in former ones counts from now on. Asks what
    the receiver has promised, and how its copy compares.
    """

    request_id: int
    incarnation: int
    epoch: int
    group_digests: list[int]


class RecoveryReply(msgspec.Struct, array_like=True, frozen=True, tag="recovering"):
    """Another voter has noted the incarnation."""

    request_id: int
    epoch: int
    crash_vector: dict[str, int]
    promised_term: int
    range_digests: dict[int, list[int]]  # of the groups that differ


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


# ---------------------------------------------------------------------- requests to the leader


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
