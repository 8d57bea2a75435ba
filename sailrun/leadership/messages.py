"""The messages of leases, orders, permits and rolling drains; `envelope.py` has what they travel in.

Tags and the order of fields are the wire format, which nodes of other versions read as well: a name in this
program may change, a tag never (`DrainRequest` is `walk` on the wire, `DrainStatus` is `walking`).
"""

from __future__ import annotations

from typing import Any

import msgspec


class LeaderHint(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Gossip: who led a task, under which term. It decides nothing; it saves requests."""

    task: str
    term: int
    holder: str


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """A candidate's request for a lease of the task, or for its renewal. `number` is the candidate's own: it
    matches answers to requests.
    """

    task: str
    term: int
    number: int
    stage: int  # which voters the asker counts
    is_renewal: bool = False  # the asker has owned it under this term without a gap


class LeaseGrant(msgspec.Struct, array_like=True, frozen=True, tag="grant"):
    """A voter's answer to a request for a lease: granted, or renewed."""

    task: str
    term: int
    number: int


class LeaseDenial(msgspec.Struct, array_like=True, frozen=True, tag="deny"):
    """A voter's refusal. `retry_after_us`: when to request again.

    `reason`: `held`, `term` (too low), `abstains`, `stage`, `disk` (too slow, or failed).
    """

    task: str
    term: int  # the highest the voter knows
    number: int
    reason: str
    retry_after_us: int
    holder: str = ""


class LeaseRelease(msgspec.Struct, array_like=True, frozen=True, tag="release"):
    """To a voter: its holder uses the lease no longer."""

    task: str
    term: int


class LeaseHandover(msgspec.Struct, array_like=True, frozen=True, tag="yield"):
    """To the next leader: the task is free."""

    task: str
    term: int


class TermQuery(msgspec.Struct, array_like=True, frozen=True, tag="recall"):
    """A voter that has started requests the terms that it may have forgotten. `has_durable_state`: its folder
    reports how far it has come; else whatever folder it had is older than what it does from now on.
    """

    number: int
    has_durable_state: bool = False


class TermReport(msgspec.Struct, array_like=True, frozen=True, tag="recalled"):
    """The answer to a `TermQuery`: the highest term of each task; of no task: the least of any."""

    number: int
    remembers: bool  # whether the sender has been a voter without a gap
    terms: dict[str, int]
    may_remember: bool = False  # its folder is being compared: it will know in a moment


class LeaderRequest(msgspec.Struct, array_like=True, frozen=True, tag="question"):
    """A request to the leader of a task.

    `term`: the highest that the sender knows; a leader of a lower one is none any more.
    """

    task: str
    term: int
    number: int
    content: Any = None


class LeaderResponse(msgspec.Struct, array_like=True, frozen=True, tag="order"):
    """The leader's response: what the sender of the request is to do, or may. A leader sends nothing but
    responses, so that the receiver's own clock measures how old they are.
    """

    task: str
    term: int
    number: int
    content: Any = None


class ResponseRejection(msgspec.Struct, array_like=True, frozen=True, tag="refusal"):
    """A response was not accepted: a higher term is known, or it came too late."""

    task: str
    term: int  # the highest known here
    number: int
    is_late: bool


class NotLeader(msgspec.Struct, array_like=True, frozen=True, tag="not-mine"):
    """The request came to a member that does not lead the task."""

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
    """How far a node is with its drain: `asked`, `queued`, `draining`, `empty`, `done` or `refused`."""

    name: str
    state: str
    reason: str = ""


class PermitRequest(msgspec.Struct, array_like=True, frozen=True):
    """The content of a `LeaderRequest` about a permit.

    `state`: `want` (requested), `held` or `back` (released).
    `queue_position` is what a leader gave when it queued this, and `(0, 0)` before that.
    """

    kind: str
    subject: str
    state: str
    queue_position: tuple[int, int] = (0, 0)


class PermitResponse(msgspec.Struct, array_like=True, frozen=True):
    """The response: `is_granted` lasts for a permit's lease from when the request was sent."""

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
