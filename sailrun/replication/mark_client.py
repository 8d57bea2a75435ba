"""A node's requests to the leader of the marks, each repeated until it has an outcome or reaches its
deadline.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec

from sailrun.replication.messages import MarkReply, MarkRequest, MarkState
from sailrun.replication.operator_marks import MarkVersion, decode_mark_content

SECOND_US = 1_000_000
# An unanswered request is repeated after this time.
RETRY_INTERVAL_US = SECOND_US // 10
# How long a request is repeated unless the caller sets a timeout.
DEFAULT_TIMEOUT_US = 6 * SECOND_US
# How many writes of this node may be pending at a time.
MAX_OPEN_WRITES = 1000

# Called with the time, the time when the request was sent, and the undecoded reply.
OnReply = Callable[[int, int, Any], None]
OnVersions = Callable[[list[MarkVersion] | None], None]


class LeaderRequest(NamedTuple):
    """A request to the current leader of the marks, and the callback for the reply."""

    request: MarkRequest
    on_reply: OnReply


@dataclass(frozen=True, slots=True)
class MarkOutcome:
    """The outcome of a write. `state` is `MarkState` DONE, WAITING, REJECTED or UNKNOWN; after UNKNOWN, the
    mark may still become active.

    `copies` out of `replicas` members are known to have the mark; `term` is the leader's term.
    """

    id: str
    state: str
    copies: int
    replicas: int
    reason: str = ""
    term: int = 0


OnOutcome = Callable[[MarkOutcome], None]


@dataclass(slots=True)
class _Write:
    request: MarkRequest
    on_outcome: OnOutcome
    deadline_us: int
    send_at_us: int
    last_reply: MarkReply | None = None


@dataclass(slots=True)
class _Read:
    request: MarkRequest
    on_versions: OnVersions
    deadline_us: int
    send_at_us: int


def decode_reply(content: Any) -> MarkReply | None:
    """Decodes a leader's reply from plain objects; returns None if it is not a valid reply."""
    try:
        return msgspec.convert(content, MarkReply)
    except msgspec.ValidationError:
        return None


def _make_outcome(reply: MarkReply) -> MarkOutcome:
    return MarkOutcome(reply.id, reply.state, reply.copies, reply.replicas, reply.reason, reply.term)


def _make_late_outcome(write: _Write) -> MarkOutcome:
    """Returns the outcome of a write that has reached its deadline."""
    id_, reply = write.request.id, write.last_reply
    if reply is not None and reply.state in (MarkState.DONE, MarkState.WAITING):
        # The request waits for all members, and some do not have the mark yet.
        reason = f"{reply.copies} of {reply.replicas} hold it"
        return MarkOutcome(id_, reply.state, reply.copies, reply.replicas, reason, reply.term)
    reason = "no majority has answered: it may come into force yet"
    copies, replicas = (reply.copies, reply.replicas) if reply is not None else (0, 0)
    return MarkOutcome(id_, MarkState.UNKNOWN, copies, replicas, reason)


class MarkClient:
    """This node's pending writes and reads of marks."""

    def __init__(self, send: Callable[[LeaderRequest], None], record_event: Callable[..., None]) -> None:
        """`record_event` receives every request and outcome, for the laboratory's checks."""
        self._send, self._record_event = send, record_event
        self._writes: dict[str, _Write] = {}
        self._reads: dict[str, _Read] = {}

    def write(self, now_us: int, request: MarkRequest, on_outcome: OnOutcome, timeout_us: int) -> None:
        """Begins to write a mark through the leader; `on_outcome` is called once."""
        if len(self._writes) >= MAX_OPEN_WRITES:
            reason = f"{MAX_OPEN_WRITES} marks are under way here"
            on_outcome(MarkOutcome(request.id, MarkState.REJECTED, 0, 0, reason))
            return
        subject = f"{request.kind}/{request.subject}"
        self._record_event("call", id=request.id, what="mark", subject=subject, on=request.active)
        self._writes[request.id] = _Write(request, on_outcome, now_us + timeout_us, now_us)

    def read(self, now_us: int, request: MarkRequest, on_versions: OnVersions, timeout_us: int) -> None:
        """Begins to read a mark from the leader; `on_versions` is called once, with None after
        the timeout.
        """
        subject = f"{request.kind}/{request.subject}"
        self._record_event("call", id=request.id, what="look", subject=subject)
        self._reads[request.id] = _Read(request, on_versions, now_us + timeout_us, now_us)

    def list_due_us(self) -> list[int]:
        """Returns when each pending request is repeated."""
        open_requests: list[_Write | _Read] = [*self._writes.values(), *self._reads.values()]
        return [request.send_at_us for request in open_requests]

    def tick(self, now_us: int) -> None:
        """Sends due requests and ends those that have reached their deadline."""
        for write in list(self._writes.values()):
            if now_us >= write.deadline_us:
                self._end_write(write, _make_late_outcome(write))
            elif now_us >= write.send_at_us:
                write.send_at_us = now_us + RETRY_INTERVAL_US
                self._send(LeaderRequest(write.request, self._make_on_write_reply(write)))
        for read in list(self._reads.values()):
            if now_us >= read.deadline_us:
                self._end_read(read, None)
            elif now_us >= read.send_at_us:
                read.send_at_us = now_us + RETRY_INTERVAL_US
                self._send(LeaderRequest(read.request, self._make_on_read_reply(read)))

    # ------------------------------------------------------------------ replies

    def _make_on_write_reply(self, write: _Write) -> OnReply:
        def on_reply(now_us: int, _sent_us: int, content: Any) -> None:
            reply = decode_reply(content)
            if reply is not None and reply.id == write.request.id and reply.id in self._writes:
                self._on_write_reply(now_us, write, reply)

        return on_reply

    def _on_write_reply(self, now_us: int, write: _Write, reply: MarkReply) -> None:
        match reply.state:
            case MarkState.OTHER_TERM:
                write.request = msgspec.structs.replace(write.request, term=reply.term)
                write.send_at_us = now_us
            case MarkState.DONE | MarkState.WAITING:
                write.last_reply = reply
                if reply.all_members or not write.request.all_members:
                    self._end_write(write, _make_outcome(reply))
            case MarkState.PENDING:
                write.last_reply = reply
            case MarkState.REJECTED | MarkState.UNKNOWN:
                self._end_write(write, _make_outcome(reply))

    def _end_write(self, write: _Write, outcome: MarkOutcome) -> None:
        if self._writes.pop(write.request.id, None) is not None:
            state = str(outcome.state)
            self._record_event("answer", id=outcome.id, state=state, copies=outcome.copies)
            write.on_outcome(outcome)

    def _make_on_read_reply(self, read: _Read) -> OnReply:
        def on_reply(now_us: int, _sent_us: int, content: Any) -> None:
            reply = decode_reply(content)
            if reply is None or read.request.id not in self._reads:
                return
            if reply.state == MarkState.OTHER_TERM:
                read.request = msgspec.structs.replace(read.request, term=reply.term)
                read.send_at_us = now_us
            elif reply.state == MarkState.DONE:
                decoded = [(decode_mark_content(content), deleted) for content, deleted in reply.versions]
                versions = [MarkVersion(mark, deleted) for mark, deleted in decoded if mark is not None]
                self._end_read(read, versions)

        return on_reply

    def _end_read(self, read: _Read, versions: list[MarkVersion] | None) -> None:
        if self._reads.pop(read.request.id, None) is None:
            return
        ids = ",".join(sorted(v.mark.id for v in versions if not v.deleted)) if versions is not None else ""
        state = "done" if versions is not None else "unknown"
        self._record_event("answer", id=read.request.id, state=state, value=ids or "none")
        read.on_versions(versions)
