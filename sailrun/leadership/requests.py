"""Questions to the owners of tasks, and the orders that answer them.

Nothing of an owner's comes but as an answer, so that the asker's own clock tells how old an order is. An
order is taken if it answers a question that waits here, came in time, and is of no lower term than was heard
of. An owner answers only while it may act under its term.

Pure: messages and the time (microseconds) come in, messages for members go out.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from sailrun.leadership.change_log import ChangeLog
from sailrun.leadership.leases import MAX_CANDIDATES, Leases
from sailrun.leadership.messages import LeaderRequest, LeaderResponse, NotLeader, ResponseRejection
from sailrun.leadership.outgoing import TermGuard
from sailrun.leadership.task_leadership import TaskLeadership

SECOND = 1_000_000
# So many questions wait for answers at a time; the oldest make room.
MAX_PENDING_REQUESTS = 4096
# Told the time, when the question was sent, and what was answered.
OnResponse = Callable[[int, int, Any], None]


@dataclass(frozen=True, slots=True)
class AddressedMessage:
    """A message for a member by name; for `guard` see `Out`."""

    name: str
    body: LeaderRequest | NotLeader | LeaderResponse | ResponseRejection
    guard: TermGuard | None = None


@dataclass(frozen=True, slots=True)
class Requester:
    """Who asked a question: a member's name, and the number of its process."""

    name: str
    life: int


@dataclass(slots=True)
class _PendingRequest:
    task: str
    content: Any
    sent_us: int
    on_response: OnResponse
    attempts: int = 0


class PendingRequests:
    """Both sides at one node: what it asks of owners, and what it answers as the owner.

    `answer` gives the owner's answer to a question (now, its task, its term, who asked, the content); None:
    there is none. `heard_of` is told of every term that is heard of. `number` is where the numbers of this
    node's questions begin.
    """

    def __init__(
        self,
        me: Requester,
        leases: Leases,
        ownership: TaskLeadership,
        answer: Callable[[int, str, int, Requester, Any], Any],
        heard_of: Callable[[int, str, int, str], None],
        change_log: ChangeLog,
        order_s: float,
        number: int,
        off: frozenset[str],
    ) -> None:
        self._me, self._leases, self._leadership = me, leases, ownership
        self._handle_request, self._observe_term = answer, heard_of
        self._change_log, self._counters = change_log, change_log.counters
        self._response_timeout_us, self._number, self._disabled_rules = int(order_s * SECOND), number, off
        self._pending: dict[int, _PendingRequest] = {}

    # ------------------------------------------------------------------ as the one that asks

    def request(self, now_us: int, task: str, content: Any, done: OnResponse) -> list[AddressedMessage]:
        """A question to a task's owner, whoever that is. `done` is called with its answer, if one comes in
        time and of no lower term than was heard of; else nothing is, and the question is to be asked again.
        """
        self._number += 1
        while len(self._pending) >= MAX_PENDING_REQUESTS:
            del self._pending[next(iter(self._pending))]
        asked = self._pending[self._number] = _PendingRequest(task, content, now_us, done)
        return self._send(now_us, self._number, asked)

    def _send(self, now_us: int, number: int, asked: _PendingRequest) -> list[AddressedMessage]:
        task = asked.task
        question = LeaderRequest(
            task, self._leases.lease_of(task).highest_granted_term, number, asked.content
        )
        holder = self._leadership.known_leader(task)
        if holder == self._me.name or (not holder and self._leases.held_term(task, now_us)):
            return self.on_request(now_us, self._me, question)
        if not holder:
            others = self._leadership.candidate_tasks().get(task, ())[:MAX_CANDIDATES]
            names = [name for name in others if name != self._me.name]
            if not names:
                return []
            holder = names[(number + asked.attempts) % len(names)]
        return [AddressedMessage(holder, question)]

    def on_response(self, now_us: int, sender: str, order: LeaderResponse) -> list[AddressedMessage]:
        """An answer has come: it is taken, or its sender is told that it is not."""
        asked = self._pending.pop(order.number, None)
        owned = self._leases.lease_of(order.task).highest_granted_term
        late = asked is None or asked.task != order.task or now_us - asked.sent_us > self._response_timeout_us
        if "fence" in self._disabled_rules:
            late, owned = False, 0
        if late or order.term < owned:
            return self._reject(sender, order, ResponseRejection(order.task, owned, order.number, late))
        self._counters.responses_accepted += 1
        self._change_log.record("take", task=order.task, term=order.term, number=order.number, of=sender)
        self._observe_term(now_us, order.task, order.term, sender)
        if asked is not None:
            asked.on_response(now_us, asked.sent_us, order.content)
        return []

    def _reject(
        self, sender: str, order: LeaderResponse, refusal: ResponseRejection
    ) -> list[AddressedMessage]:
        if refusal.is_late:
            self._counters.responses_too_late += 1
        else:
            self._counters.responses_of_lower_term += 1
        self._change_log.record(
            "refuse", task=order.task, term=order.term, number=order.number, late=refusal.is_late
        )
        return [AddressedMessage(sender, refusal)] if sender != self._me.name else []

    def on_not_leader(self, now_us: int, sender: str, told: NotLeader) -> list[AddressedMessage]:
        """Whom we asked does not own it: asked once more, of whom it names or of another candidate."""
        asked = self._pending.get(told.number)
        lease = self._leases.lease_of(told.task)
        self._observe_term(now_us, told.task, told.term, told.holder)
        if lease.holder == sender and told.term >= lease.highest_granted_term:
            lease.holder = ""
        if asked is None or asked.attempts >= MAX_CANDIDATES:
            return []
        asked.attempts += 1
        return self._send(now_us, told.number, asked)

    def drop_expired(self, now_us: int) -> None:
        """Questions that no order would be in time for wait no longer."""
        for number, asked in list(self._pending.items()):
            if now_us - asked.sent_us <= self._response_timeout_us:
                break  # the others were sent later
            del self._pending[number]

    # ------------------------------------------------------------------ as the owner

    def on_request(self, now_us: int, asker: Requester, question: LeaderRequest) -> list[AddressedMessage]:
        """A question has come: answered under this node's term, or sent on."""
        self._observe_term(now_us, question.task, question.term, "")
        term = self._leadership.leading_term(question.task, now_us)
        if not term:
            return self._redirect(asker, question)
        content = self._handle_request(now_us, question.task, term, asker, question.content)
        if content is None:
            return []
        order = LeaderResponse(question.task, term, question.number, content)
        self._change_log.record(
            "act", task=order.task, term=term, number=order.number, to=asker.name, made_us=now_us
        )
        self._counters.responses_sent += 1
        if asker.name == self._me.name:
            return self.on_response(now_us, self._me.name, order)
        return [AddressedMessage(asker.name, order, (question.task, term))]

    def _redirect(self, asker: Requester, question: LeaderRequest) -> list[AddressedMessage]:
        if asker.name == self._me.name:
            return []
        lease = self._leases.lease_of(question.task)
        return [
            AddressedMessage(
                asker.name,
                NotLeader(question.task, lease.highest_granted_term, lease.holder, question.number),
            )
        ]

    def on_rejection(self, now_us: int, refusal: ResponseRejection) -> None:
        """An order of this node was not taken."""
        self._leases.lease_of(refusal.task).rejected_responses += 1
        self._change_log.add("order-refused", task=refusal.task, term=refusal.term, late=refusal.is_late)
        self._observe_term(now_us, refusal.task, refusal.term, "")
