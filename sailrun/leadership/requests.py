"""Requests to the leaders of tasks, and their responses.

A leader sends nothing but responses, so that the requester's own clock measures the age of a response. A
response is accepted if it answers a pending request, arrives in time, and its term is not below the highest
granted term that is known here. A leader responds only while it may act under its term.

This module does no I/O: it takes messages and the time (microseconds) and returns messages for members.
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
# When this limit is reached, the oldest requests are dropped.
MAX_PENDING_REQUESTS = 4096
# Called with the time, the time at which the request was sent, and the content of the response.
OnResponse = Callable[[int, int, Any], None]


@dataclass(frozen=True, slots=True)
class AddressedMessage:
    """A message for the member of that name; for `guard` see `OutgoingEnvelope`."""

    name: str
    body: LeaderRequest | NotLeader | LeaderResponse | ResponseRejection
    guard: TermGuard | None = None


@dataclass(frozen=True, slots=True)
class Requester:
    """The sender of a request: a member's name and its process number."""

    name: str
    process_number: int


@dataclass(slots=True)
class _PendingRequest:
    task: str
    content: Any
    sent_us: int
    on_response: OnResponse
    attempts: int = 0


class PendingRequests:
    """Both sides at one node: its requests to leaders, and its responses as a leader.

    `handle_request` returns the content of a response (called with the time, the task, the term, the
    requester and the content of the request); None: there is no response. `observe_term` is called with every
    received term. The numbers of this node's requests follow `initial_number`.
    """

    def __init__(
        self,
        own_identity: Requester,
        leases: Leases,
        leadership: TaskLeadership,
        handle_request: Callable[[int, str, int, Requester, Any], Any],
        observe_term: Callable[[int, str, int, str], None],
        change_log: ChangeLog,
        response_timeout_s: float,
        initial_number: int,
        disabled_rules: frozenset[str],
    ) -> None:
        self._own_identity, self._leases, self._leadership = own_identity, leases, leadership
        self._handle_request, self._observe_term = handle_request, observe_term
        self._change_log, self._counters = change_log, change_log.counters
        self._response_timeout_us, self._last_request_number, self._disabled_rules = (
            int(response_timeout_s * SECOND),
            initial_number,
            disabled_rules,
        )
        self._pending: dict[int, _PendingRequest] = {}

    # ------------------------------------------------------------------ as the requester

    def request(
        self, now_us: int, task: str, content: Any, on_response: OnResponse
    ) -> list[AddressedMessage]:
        """Sends a request to the leader of a task, or to a candidate if the leader is not known.
        `on_response` is called if a response is accepted; otherwise it is never called, and the caller has to
        retry.
        """
        self._last_request_number += 1
        while len(self._pending) >= MAX_PENDING_REQUESTS:
            del self._pending[next(iter(self._pending))]
        pending = self._pending[self._last_request_number] = _PendingRequest(
            task, content, now_us, on_response
        )
        return self._send(now_us, self._last_request_number, pending)

    def _send(self, now_us: int, number: int, pending: _PendingRequest) -> list[AddressedMessage]:
        task = pending.task
        request = LeaderRequest(
            task, self._leases.lease_of(task).highest_granted_term, number, pending.content
        )
        holder = self._leadership.known_leader(task)
        if holder == self._own_identity.name or (not holder and self._leases.held_term(task, now_us)):
            return self.on_request(now_us, self._own_identity, request)
        if not holder:
            living = self._leadership.candidate_tasks().get(task, ())[:MAX_CANDIDATES]
            candidates = [name for name in living if name != self._own_identity.name]
            if not candidates:
                return []
            holder = candidates[(number + pending.attempts) % len(candidates)]
        return [AddressedMessage(holder, request)]

    def on_response(self, now_us: int, sender: str, response: LeaderResponse) -> list[AddressedMessage]:
        """Accepts a response, or returns a rejection for its sender."""
        pending = self._pending.pop(response.number, None)
        highest_term = self._leases.lease_of(response.task).highest_granted_term
        is_late = (
            pending is None
            or pending.task != response.task
            or now_us - pending.sent_us > self._response_timeout_us
        )
        if "fence" in self._disabled_rules:
            is_late, highest_term = False, 0
        if is_late or response.term < highest_term:
            return self._reject(
                sender, response, ResponseRejection(response.task, highest_term, response.number, is_late)
            )
        self._counters.responses_accepted += 1
        self._change_log.record(
            "take", task=response.task, term=response.term, number=response.number, of=sender
        )
        self._observe_term(now_us, response.task, response.term, sender)
        if pending is not None:
            pending.on_response(now_us, pending.sent_us, response.content)
        return []

    def _reject(
        self, sender: str, response: LeaderResponse, rejection: ResponseRejection
    ) -> list[AddressedMessage]:
        if rejection.is_late:
            self._counters.responses_too_late += 1
        else:
            self._counters.responses_of_lower_term += 1
        self._change_log.record(
            "refuse", task=response.task, term=response.term, number=response.number, late=rejection.is_late
        )
        return [AddressedMessage(sender, rejection)] if sender != self._own_identity.name else []

    def on_not_leader(self, now_us: int, sender: str, redirect: NotLeader) -> list[AddressedMessage]:
        """Retries a redirected request at the leader that is named, or at another candidate."""
        pending = self._pending.get(redirect.number)
        lease = self._leases.lease_of(redirect.task)
        self._observe_term(now_us, redirect.task, redirect.term, redirect.holder)
        if lease.holder == sender and redirect.term >= lease.highest_granted_term:
            lease.holder = ""
        if pending is None or pending.attempts >= MAX_CANDIDATES:
            return []
        pending.attempts += 1
        return self._send(now_us, redirect.number, pending)

    def drop_expired(self, now_us: int) -> None:
        """Drops requests for which no response would arrive in time any more."""
        for number, pending in list(self._pending.items()):
            if now_us - pending.sent_us <= self._response_timeout_us:
                break  # the others were sent later
            del self._pending[number]

    # ------------------------------------------------------------------ as the leader

    def on_request(self, now_us: int, requester: Requester, request: LeaderRequest) -> list[AddressedMessage]:
        """Responds to a request under this node's term, or redirects the requester."""
        self._observe_term(now_us, request.task, request.term, "")
        term = self._leadership.leading_term(request.task, now_us)
        if not term:
            return self._redirect(requester, request)
        content = self._handle_request(now_us, request.task, term, requester, request.content)
        if content is None:
            return []
        response = LeaderResponse(request.task, term, request.number, content)
        self._change_log.record(
            "act", task=response.task, term=term, number=response.number, to=requester.name, made_us=now_us
        )
        self._counters.responses_sent += 1
        if requester.name == self._own_identity.name:
            return self.on_response(now_us, self._own_identity.name, response)
        return [AddressedMessage(requester.name, response, (request.task, term))]

    def _redirect(self, requester: Requester, request: LeaderRequest) -> list[AddressedMessage]:
        if requester.name == self._own_identity.name:
            return []
        lease = self._leases.lease_of(request.task)
        return [
            AddressedMessage(
                requester.name,
                NotLeader(request.task, lease.highest_granted_term, lease.holder, request.number),
            )
        ]

    def on_rejection(self, now_us: int, rejection: ResponseRejection) -> None:
        """Handles the rejection of a response of this node."""
        self._leases.lease_of(rejection.task).rejected_responses += 1
        self._change_log.add(
            "order-refused", task=rejection.task, term=rejection.term, late=rejection.is_late
        )
        self._observe_term(now_us, rejection.task, rejection.term, "")
