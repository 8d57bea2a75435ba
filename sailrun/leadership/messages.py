"""The messages of leases, orders, permits and rolling drains; `envelope.py` has what they travel in.

Tags and the order of fields are the wire format, which nodes of other versions read as well: a name in this
program may change, a tag never (`DrainRequest` is `walk` on the wire, `DrainStatus` is `walking`).
"""

from __future__ import annotations

from typing import Any

import msgspec


class LeaderHint(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Hearsay: who owned a task, under which term. It decides nothing; it spares asking."""

    task: str
    term: int
    holder: str


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """Grant me the task, or renew it. `number` is the asker's own, so that answers are not mixed up."""

    task: str
    term: int
    number: int
    stage: int  # which voters the asker counts
    is_renewal: bool = False  # the asker has owned it under this term without a gap


class LeaseGrant(msgspec.Struct, array_like=True, frozen=True, tag="grant"):
    task: str
    term: int
    number: int


class LeaseDenial(msgspec.Struct, array_like=True, frozen=True, tag="deny"):
    """`why`: `held`, `term` (too low), `abstains`, `stage`, `disk` (too slow, or failed). `left_us`: when to
    ask again.
    """

    task: str
    term: int  # the highest the voter knows
    number: int
    reason: str
    retry_after_us: int
    holder: str = ""


class LeaseRelease(msgspec.Struct, array_like=True, frozen=True, tag="release"):
    """To a voter: the lease is not used any more."""

    task: str
    term: int


class LeaseHandover(msgspec.Struct, array_like=True, frozen=True, tag="yield"):
    """To the next owner: the task is free, take it."""

    task: str
    term: int


class TermQuery(msgspec.Struct, array_like=True, frozen=True, tag="recall"):
    """A voter that has started asks the others what it may have forgotten. `lasts`: it has a folder, which
    tells them how far that has come; else whatever folder it had is older than what it does from now on.
    """

    number: int
    has_durable_state: bool = False


class TermReport(msgspec.Struct, array_like=True, frozen=True, tag="recalled"):
    number: int
    remembers: bool  # whether the sender has been a voter without a gap
    terms: dict[str, int]
    may_remember: bool = False  # its folder is being compared: it will know in a moment


class LeaderRequest(msgspec.Struct, array_like=True, frozen=True, tag="question"):
    """To the owner of a task. `term`: the highest the asker knows; an owner of less is none any more."""

    task: str
    term: int
    number: int
    content: Any = None


class LeaderResponse(msgspec.Struct, array_like=True, frozen=True, tag="order"):
    """The owner's answer: what the asker is to do, or may. Nothing of an owner's comes but as an answer, so
    that the asker's own clock tells how old it is.
    """

    task: str
    term: int
    number: int
    content: Any = None


class ResponseRejection(msgspec.Struct, array_like=True, frozen=True, tag="refusal"):
    """An order was not taken: a higher term is known, or it came too late."""

    task: str
    term: int  # the highest known here
    number: int
    is_late: bool


class NotLeader(msgspec.Struct, array_like=True, frozen=True, tag="not-mine"):
    """The question came to one that does not own the task."""

    task: str
    term: int
    holder: str
    number: int


class DrainRequest(msgspec.Struct, array_like=True, frozen=True, tag="walk"):
    """Drain yourself once a permit is yours, and stay empty for so long. `name` is the rolling drain's; the
    same one again is not drained for again.
    """

    name: str
    stay_empty_us: int


class DrainStatus(msgspec.Struct, array_like=True, frozen=True, tag="walking"):
    """How far a node is with it: `asked`, `queued`, `draining`, `empty`, `done` or `refused`."""

    name: str
    state: str
    reason: str = ""


class PermitRequest(msgspec.Struct, array_like=True, frozen=True):
    """A question about a permit: I ask for it, hold it, or give it back (`state`: want, held, back).

    `place` is what an owner gave when it queued this, and `(0, 0)` before that.
    """

    kind: str
    subject: str
    state: str
    queue_position: tuple[int, int] = (0, 0)


class PermitResponse(msgspec.Struct, array_like=True, frozen=True):
    """The answer: `yes` lasts for a permit's lease from when the question was sent."""

    kind: str
    subject: str
    is_granted: bool
    queue_position: tuple[int, int]
    requests_ahead: int  # who waits before it
    reason: str = ""


LeadershipBody = (
    LeaseRequest
    | LeaseGrant
    | LeaseDenial
    | LeaseRelease
    | LeaseHandover
    | TermQuery
    | TermReport
    | LeaderRequest
    | LeaderResponse
    | ResponseRejection
    | NotLeader
    | DrainRequest
    | DrainStatus
)
