"""Messages between members about replicated state, sent in the envelopes of `leadership/envelope.py`.

The tags and the order of the fields belong to the wire format and are older than the names here. Arrays are
decoded by position, and newer versions add fields at the end. The requester chooses `request_id`, and the
reply returns it. `epoch` counts how often the fleet has removed deleted records (`epochs.py`); replicas of
different epochs are never merged. Digests cover ranges of keys or groups of ranges (`range_digests.py`).
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import msgspec

from sailrun.replication.records import Count, Key, Record

# ---------------------------------------------------------------------- anti-entropy and state transfer


class Rumor(msgspec.Struct, array_like=True, frozen=True, tag="rumor"):
    """Gossips records that changed recently."""

    epoch: int
    records: list[Record]


class DigestRequest(msgspec.Struct, array_like=True, frozen=True, tag="sum"):
    """Requests the digests in which the receiver's replica differs from the sender's."""

    request_id: int
    epoch: int
    group_digests: list[int]  # of the sender's replica
    complete: bool  # whether the sender's replica is complete


class DigestReply(msgspec.Struct, array_like=True, frozen=True, tag="differs"):
    """Returns the sender's digests of the groups that differ; empty if the replicas are equal."""

    request_id: int
    epoch: int
    range_digests: dict[int, list[int]]  # by group
    record_count: int  # the sender's records in these groups
    complete: bool  # whether the sender's replica is complete
    epoch_record: Record | None = None  # the record of the latest epoch, if the requester's epoch is older


class PageRequest(msgspec.Struct, array_like=True, frozen=True, tag="take"):
    """Requests a page of records of these ranges. With `after`, the first range starts after that key."""

    request_id: int
    epoch: int
    ranges: list[int]
    after: Key | None
    urgent: bool = (
        False  # exempt from the sender's limits: a voter's recovery or the start of a leader's term
    )


class RecordPage(msgspec.Struct, array_like=True, frozen=True, tag="given"):
    """Returns records of the requested ranges."""

    request_id: int
    epoch: int
    records: list[Record]
    after: Key | None  # the last key of the page; None if no records follow


class SenderBusy(msgspec.Struct, array_like=True, frozen=True, tag="busy"):
    """Rejects a page request because the sender has no capacity now."""

    request_id: int
    retry_after_us: int


class RecordRequest(msgspec.Struct, array_like=True, frozen=True, tag="fetch"):
    """Requests a voter's state of a record whose states at two replicas contradict each other."""

    request_id: int
    key: Key


class RecordReply(msgspec.Struct, array_like=True, frozen=True, tag="fetched"):
    """Returns a voter's state of a record; None if the voter does not have it."""

    request_id: int
    key: Key
    record: Record | None


# ---------------------------------------------------------------------- a leader and the voters


class Prepare(msgspec.Struct, array_like=True, frozen=True, tag="promise"):
    """From a new leader: requests a voter's promise to accept nothing of a lower term, and its differing
    digests.
    """

    term: int
    request_id: int
    epoch: int
    group_digests: list[int]


class Promise(msgspec.Struct, array_like=True, frozen=True, tag="promised"):
    """A voter's promise to accept nothing of a lower term."""

    term: int
    request_id: int
    epoch: int
    incarnation: int  # of the voter
    crash_vector: dict[str, int]  # the latest incarnation of each voter that this voter knows
    range_digests: dict[int, list[int]]  # of the groups that differ


class Accept(msgspec.Struct, array_like=True, frozen=True, tag="put"):
    """From a leader: requests to accept these records. Also sent to members that are not voters."""

    term: int
    request_id: int
    epoch: int
    records: list[Record]


class CatchUp(msgspec.Struct, array_like=True, frozen=True, tag="level"):
    """From a leader: requests a voter's reply once the voter has all records of the leader."""

    term: int
    request_id: int
    epoch: int
    group_digests: list[int]


class Accepted(msgspec.Struct, array_like=True, frozen=True, tag="kept"):
    """Replies to `Accept` and `CatchUp`."""

    term: int
    request_id: int
    incarnation: int  # of the voter; 0 from a member that is not a voter
    crash_vector: dict[str, int]


class TermSuperseded(msgspec.Struct, array_like=True, frozen=True, tag="higher"):
    """Rejects a leader's request because the voter has promised a higher term."""

    term: int
    request_id: int
    promised_term: int


class DeletionQuery(msgspec.Struct, array_like=True, frozen=True, tag="have"):
    """From a leader: queries whether the member has the deletions of all these versions."""

    term: int
    request_id: int
    epoch: int
    deleted_versions: list[tuple[Key, str, Count]]


class DeletionReply(msgspec.Struct, array_like=True, frozen=True, tag="has"):
    """Returns whether the member's replica is complete, is of the same epoch and has all these deletions."""

    term: int
    request_id: int
    knows_all: bool


# ---------------------------------------------------------------------- recovery of a voter


class IncarnationRequest(msgspec.Struct, array_like=True, frozen=True, tag="knows"):
    """From a voter that lost its state: requests the latest known incarnation of this voter."""

    request_id: int


class IncarnationReply(msgspec.Struct, array_like=True, frozen=True, tag="known"):
    """Returns the crash vector, the promised term and the recovery status of another voter."""

    request_id: int
    recovered: bool  # the replying voter has all its promises
    crash_vector: dict[str, int]
    promised_term: int
    verifying_folder: bool = False  # the replying voter may have its promises: its folder is being verified


class RecoveryRequest(msgspec.Struct, array_like=True, frozen=True, tag="recover"):
    """From a voter in its new incarnation, which invalidates the replies of earlier ones. Requests the
    receiver's promised term and its differing digests.
    """

    request_id: int
    incarnation: int
    epoch: int
    group_digests: list[int]


class RecoveryReply(msgspec.Struct, array_like=True, frozen=True, tag="recovering"):
    """Confirms that another voter has stored the incarnation, and returns that voter's promised term and
    digests.
    """

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
    """A message and the name of its receiver."""

    receiver: str
    body: ReplicationBody


# ---------------------------------------------------------------------- requests to the leader


class MarkOperation(StrEnum):
    """The operations of the leader of the marks. A leader rejects unknown operations."""

    WRITE = "mark"
    READ = "look"
    POLL = "poll"  # returns the state of a write
    COMPARE = "where"  # returns whether the client's replica is in sync with the leader's


class MarkState(StrEnum):
    """The state of a request."""

    DONE = "done"
    PENDING = "pending"  # written, but not accepted by a majority yet
    WAITING = "waits"  # accepted by a majority; becomes active once there is capacity
    REJECTED = "refused"
    OPENING = "opening"  # not executed: the leader is still preparing its term
    OTHER_TERM = "other"  # not executed: the request names a different term
    UNKNOWN = "unknown"  # the leader cannot tell whether the request was executed in a former term
    BEHIND = "behind"  # the client's replica differs from the leader's


class MarkRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request to the leader of the marks. A leader whose term differs from `term` does not write.

    `operation` is a `MarkOperation` or an operation of a later program version.
    """

    operation: str
    id: str = ""
    term: int = 0
    kind: str = ""
    subject: str = ""
    active: bool = False
    author: str = ""
    reason: str = ""
    written_at_s: float = 0.0  # the writer's wall clock, for display only
    all_members: bool = False  # also send the mark to members that are not voters, and wait for them
    group_digests: list[int] = []  # for COMPARE: the digests of the client's replica


class MarkReply(msgspec.Struct, array_like=True, frozen=True):
    """The leader's reply, with the leader's term.

    `state` is a `MarkState` or a state of a later program version. For a write, `copies` out of `replicas`
    members have the mark, and `all_members` is set if all living members have it.
    """

    id: str
    state: str
    term: int = 0
    copies: int = 0
    replicas: int = 0
    all_members: bool = False
    reason: str = ""
    versions: list[
        tuple[bytes, bool]
    ] = []  # for READ: the contents, and whether each version deletes the mark
    missing_records: int = 0  # for COMPARE: how many records the client may lack
