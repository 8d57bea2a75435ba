"""The messages of leases, leader requests, permits and rolling drains; `envelope.py` has their envelope.

Tags and the order of fields are the wire format, which nodes of other versions read as well: names in the
code may change, but tags must not (`DrainRequest` is `walk` on the wire, `DrainStatus` is `walking`).
"""

from __future__ import annotations

from typing import Any

import msgspec


class LeaderHint(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Gossip about the leader of a task and its term. It only saves requests; no decision depends on it."""

    task: str
    term: int
    holder: str


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """A candidate's request for a task's lease, or for its renewal. The candidate chooses `number` to match
    answers to requests.
    """

    task: str
    term: int
    number: int
    stage: int  # identifies the set of voters that the requester uses
    is_renewal: bool = False  # the requester has held the lease under this term without a gap


class LeaseGrant(msgspec.Struct, array_like=True, frozen=True, tag="grant"):
    """A voter's answer to a lease request: granted or renewed."""

    task: str
    term: int
    number: int


class LeaseDenial(msgspec.Struct, array_like=True, frozen=True, tag="deny"):
    """A voter's denial. `retry_after_us`: the time after which to request again.

    `reason`: `held` (by `holder`), `term` (too low), `abstains`, `stage` (not accepted), or `disk` (too slow
    or failed).
    """

    task: str
    term: int  # the highest term that the voter knows
    number: int
    reason: str
    retry_after_us: int
    holder: str = ""


class LeaseRelease(msgspec.Struct, array_like=True, frozen=True, tag="release"):
    """Notifies a voter that the holder no longer uses the lease."""

    task: str
    term: int


class LeaseHandover(msgspec.Struct, array_like=True, frozen=True, tag="yield"):
    """Notifies the next leader that the task was released for it to take over."""

    task: str
    term: int


class TermQuery(msgspec.Struct, array_like=True, frozen=True, tag="recall"):
    """Sent by a voter after its start: requests the terms that the voter may have forgotten.

    `has_durable_state`: the voter has a storage folder, which reports its own position. Otherwise any folder
    that the voter had before is outdated.
    """

    number: int
    has_durable_state: bool = False


class TermReport(msgspec.Struct, array_like=True, frozen=True, tag="recalled"):
    """Answers a `TermQuery` with the highest term of each task; the key "" has a lower bound for all."""

    number: int
    remembers: bool  # whether the sender knows all terms that it has granted
    terms: dict[str, int]
    may_remember: bool = False  # `remembers` may become true once the sender's folder has been compared


class LeaderRequest(msgspec.Struct, array_like=True, frozen=True, tag="question"):
    """A request to the leader of a task.

    `term`: the highest term that the sender knows; a node that leads under a lower term is no longer the
    leader.
    """

    task: str
    term: int
    number: int
    content: Any = None


class LeaderResponse(msgspec.Struct, array_like=True, frozen=True, tag="order"):
    """The leader's response: an instruction or a permission for the requester. A leader sends nothing but
    responses, so that the requester's own clock measures their age.
    """

    task: str
    term: int
    number: int
    content: Any = None


class ResponseRejection(msgspec.Struct, array_like=True, frozen=True, tag="refusal"):
    """Notifies a leader that its response was rejected: a higher term is known, or it arrived too late."""

    task: str
    term: int  # the highest term known to the sender
    number: int
    is_late: bool


class NotLeader(msgspec.Struct, array_like=True, frozen=True, tag="not-mine"):
    """The receiver of a request does not lead the task; `holder` is the leader that it knows."""

    task: str
    term: int
    holder: str
    number: int


class DrainRequest(msgspec.Struct, array_like=True, frozen=True, tag="walk"):
    """Asks a node to drain once it has a permit, and to stay empty for `stay_empty_us`. `name` is the name of
    the rolling drain; a node drains only once per name.
    """

    name: str
    stay_empty_us: int


class DrainStatus(msgspec.Struct, array_like=True, frozen=True, tag="walking"):
    """The state of a node's drain: `asked`, `queued`, `draining`, `empty`, `done` or `refused`."""

    name: str
    state: str
    reason: str = ""


class PermitRequest(msgspec.Struct, array_like=True, frozen=True):
    """The content of a `LeaderRequest` about a permit.

    `state`: `want` (requested), `held` or `back` (released).
    `queue_position` is the position that a leader assigned when it queued the request, `(0, 0)` before that.
    """

    kind: str
    subject: str
    state: str
    queue_position: tuple[int, int] = (0, 0)


class PermitResponse(msgspec.Struct, array_like=True, frozen=True):
    """The response to a `PermitRequest`. A grant is valid for `lease_s` of `[permits]`, counted from the time
    at which the request was sent.
    """

    kind: str
    subject: str
    is_granted: bool
    queue_position: tuple[int, int]
    requests_ahead: int  # the number of permits that wait before this one
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
