"""What members say to each other about the state they keep copies of; `owners/envelope.py` carries it.

`epoch` counts how often the fleet has forgotten what was taken back: copies of different epochs are never
merged. Digests are of groups or ranges, see `store.py`. Numbers are the asker's own.
"""

from __future__ import annotations

import msgspec

from sailrun.replication.records import Count, Key, Record


class Rumor(msgspec.Struct, array_like=True, frozen=True, tag="rumor"):
    """What has changed of late."""

    epoch: int
    records: list[Record]


class DigestRequest(msgspec.Struct, array_like=True, frozen=True, tag="sum"):
    """How is your copy? Mine has these digests, by group."""

    number: int
    epoch: int
    groups: list[int]
    whole: bool  # the sender has a whole copy


class DigestReply(msgspec.Struct, array_like=True, frozen=True, tag="differs"):
    """Mine has other digests in these groups: those of their ranges. `forgotten` is the record of the latest
    epoch, where the asker's is older.
    """

    number: int
    epoch: int
    leaves: dict[int, list[int]]
    records: int  # in the ranges of those groups
    whole: bool
    forgotten: Record | None = None


class PageRequest(msgspec.Struct, array_like=True, frozen=True, tag="take"):
    """Give me the records of these ranges, from after that key of the first one on."""

    number: int
    epoch: int
    ranges: list[int]
    after: Key | None
    urgent: bool = False  # a voter's memory or an owner's beginning: not held to the givers' rate


class RecordPage(msgspec.Struct, array_like=True, frozen=True, tag="given"):
    number: int
    epoch: int
    records: list[Record]
    after: Key | None  # where the piece ends; None: that was all


class SenderBusy(msgspec.Struct, array_like=True, frozen=True, tag="busy"):
    number: int
    wait_us: int


class RecordRequest(msgspec.Struct, array_like=True, frozen=True, tag="fetch"):
    """What do you have of this record? Asked of all voters where two copies differ without a reason."""

    number: int
    key: Key


class RecordReply(msgspec.Struct, array_like=True, frozen=True, tag="fetched"):
    number: int
    key: Key
    record: Record | None


class Prepare(msgspec.Struct, array_like=True, frozen=True, tag="promise"):
    """To a voter, by a new owner: take nothing of a lower term any more, and say how your copy is."""

    term: int
    number: int
    epoch: int
    groups: list[int]


class Promise(msgspec.Struct, array_like=True, frozen=True, tag="promised"):
    """`life` is which of its lives the voter is in, `lives` the latest of each voter that it knows of."""

    term: int
    number: int
    epoch: int
    life: int
    lives: dict[str, int]
    leaves: dict[int, list[int]]  # of the groups that differ


class Accept(msgspec.Struct, array_like=True, frozen=True, tag="put"):
    """Keep these for me."""

    term: int
    number: int
    epoch: int
    records: list[Record]


class CatchUp(msgspec.Struct, array_like=True, frozen=True, tag="level"):
    """Say so once you hold everything that I hold."""

    term: int
    number: int
    epoch: int
    groups: list[int]


class Accepted(msgspec.Struct, array_like=True, frozen=True, tag="kept"):
    """The answer to `Put` and `Level`. Of a member that does not vote, `life` is 0."""

    term: int
    number: int
    life: int
    lives: dict[str, int]


class TermSuperseded(msgspec.Struct, array_like=True, frozen=True, tag="higher"):
    """Your term is over: a higher one was promised."""

    term: int
    number: int
    promised: int


class DeletionQuery(msgspec.Struct, array_like=True, frozen=True, tag="have"):
    """Do you know that all these were taken back?"""

    term: int
    number: int
    epoch: int
    items: list[tuple[Key, str, Count]]


class DeletionReply(msgspec.Struct, array_like=True, frozen=True, tag="has"):
    term: int
    number: int
    yes: bool


class IncarnationRequest(msgspec.Struct, array_like=True, frozen=True, tag="knows"):
    """A voter that has started: which life am I in?"""

    number: int


class IncarnationReply(msgspec.Struct, array_like=True, frozen=True, tag="known"):
    number: int
    remembers: bool
    lives: dict[str, int]
    promised: int
    may_remember: bool = False  # its folder is being compared: it will know in a moment


class RecoveryRequest(msgspec.Struct, array_like=True, frozen=True, tag="recover"):
    """A voter that has started, in this life of its: from now on nothing it said in former ones counts. Say
    what you have promised, and how your copy is.
    """

    number: int
    life: int
    epoch: int
    groups: list[int]


class RecoveryReply(msgspec.Struct, array_like=True, frozen=True, tag="recovering"):
    number: int
    epoch: int
    lives: dict[str, int]
    promised: int
    leaves: dict[int, list[int]]


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


class MarkRequest(msgspec.Struct, array_like=True, frozen=True):
    """A question to the owner of the marks. `what`: `mark`, `look`, `poll`, `where`."""

    what: str
    id: str = ""
    under: int = 0  # the term it is meant for: an owner of another one does nothing
    kind: str = ""
    subject: str = ""
    on: bool = False
    who: str = ""
    why: str = ""
    at_s: float = 0.0  # what the writer's wall clock showed; it decides nothing
    everybody: bool = False  # also count the copies of members that do not vote
    groups: list[int] = []  # `where`: the asker's digests


class MarkReply(msgspec.Struct, array_like=True, frozen=True):
    """The owner's answer. `state`: `done` and `pending` (with how many copies), `waits` (done, and in force
    once there is room), `refused`, `opening` (nothing was done yet), `other` (nothing was done: `under` is
    the term now), `unknown` (it may have been done under a former term).
    """

    id: str
    state: str
    under: int = 0
    copies: int = 0
    of: int = 0
    everybody: bool = False  # every living member holds it
    why: str = ""
    versions: list[tuple[bytes, bool]] = []  # `look`: contents, and whether each takes the mark back
    records: int = 0  # `where`: how many records the asker may lack
