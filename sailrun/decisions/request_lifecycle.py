"""The lifecycle of a request up to its final answer: attempts, retries, and waiting for a backend."""

from __future__ import annotations

import math

from sailrun.decisions.actions import DenialReason, FailRequest, RejectRequest, SetTimer, StartAttempt
from sailrun.decisions.context import RETRY_TIMER, DecisionContext
from sailrun.decisions.endpoint_table import EndpointTable
from sailrun.decisions.endpoints import ClientRequest, Endpoint
from sailrun.decisions.events import AttemptOutcome
from sailrun.decisions.load_accounting import LoadAccounting
from sailrun.decisions.retry import backoff_us, begin_by_us
from sailrun.decisions.selection import EndpointSelector
from sailrun.decisions.setup_rate import FAILURES, SetupRateLimiter
from sailrun.decisions.slow_start_admission import SlowStartAdmission

# Interval at which waiting requests are retried: well below any latency objective, well above a tick.
RETRY_INTERVAL_US = 50_000
# After this many failed placements the other requests wait for the next round: in a full fleet, further tries
# cost time and fail as well.
MAX_FAILED_PLACEMENTS = 4
# The minimum Retry-After, as a share of the maximum; the rest is random.
MIN_RETRY_AFTER_SHARE = 0.25


class RequestLifecycle:
    """Starts attempts, queues waiting requests and answers requests; each gets exactly one final answer."""

    def __init__(
        self,
        context: DecisionContext,
        requests: dict[str, ClientRequest],
        table: EndpointTable,
        loads: LoadAccounting,
        slow_start: SlowStartAdmission,
        setup_rate: SetupRateLimiter,
        selector: EndpointSelector,
    ) -> None:
        """`requests` contains all tracked requests by id; answered requests are removed."""
        self._context = context
        self._requests = requests
        self._table = table
        self._loads = loads
        self._slow_start = slow_start
        self._setup_rate = setup_rate
        self._selector = selector
        self._waiting: dict[str, ClientRequest] = {}  # for a backend that admits them
        self._is_retry_scheduled = False

    def place(self, request: ClientRequest) -> None:
        """Starts an attempt at the first backend that admits the request; otherwise queues or answers it."""
        settings = self._context.settings
        now_us = self._context.now_us
        if request.deadline_us - now_us <= settings.tick_us:
            self.finish(request, DenialReason.OUT_OF_TIME)
            return
        if request.attempts >= settings.max_attempts or now_us >= begin_by_us(request, settings):
            self.finish(request, DenialReason.OUT_OF_ATTEMPTS)
            return
        may_begin = request.retry_not_before_us <= now_us and self._setup_rate.admits()
        endpoint = self._selector.choose(request) if may_begin else None
        if endpoint is not None:
            self._waiting.pop(request.request_id, None)
            self._start_attempt(request, endpoint)
        elif self._selector.next_admission_us(request) > self._last_retry_us(request):
            # Answers immediately instead of shortly before the deadline.
            self.finish(request, DenialReason.NO_BACKEND)
        elif request.request_id not in self._waiting:
            self._waiting[request.request_id] = request
            self._schedule_retry()

    def _start_attempt(self, request: ClientRequest, endpoint: Endpoint) -> None:
        settings = self._context.settings
        now_us = self._context.now_us
        request.attempts += 1
        request.endpoint = endpoint
        request.attempted_us = now_us
        request.tried += (endpoint,)
        self._setup_rate.record_attempt()
        self._loads.record_placed(request)
        self._loads.add(request, endpoint)
        endpoint.pending_attempts += 1
        slow_start = self._slow_start.record_attempt(endpoint)
        until_us = request.deadline_us
        if request.attempts < settings.max_attempts:  # leaves time for another attempt after a time-out
            until_us = min(until_us, now_us + self._setup_rate.attempt_timeout_us(request))
        begin_us = begin_by_us(request, settings)
        self._context.emit(StartAttempt(request.request_id, endpoint.id, until_us, begin_us, slow_start))

    def retry(self, request: ClientRequest, endpoint: Endpoint, outcome: AttemptOutcome) -> None:
        """Retries a request after a failed attempt.

        The outcome at a half-open backend says nothing about the other backends: it is not counted as a
        failed set-up and causes no backoff.
        """
        is_half_open = endpoint.outlier.half_open
        if outcome in FAILURES and not is_half_open:
            self._setup_rate.record_failure(request)
        others_fail = any(e.outlier.consecutive_errors for e in self._table.ready if e is not endpoint)
        # Errors at several backends may come from a store that they share.
        if outcome is AttemptOutcome.ERROR and not is_half_open and others_fail:
            jitter = 0.5 + self._context.random.random()
            wait_us = int(backoff_us(request.attempts) * jitter)
            request.retry_not_before_us = self._context.now_us + wait_us
        self.place(request)

    def finish(self, request: ClientRequest, reason: DenialReason) -> None:
        """Gives the final answer.

        It is a rejection if no attempt can have run, so that a retry is harmless, and a failure otherwise.
        """
        self._waiting.pop(request.request_id, None)
        del self._requests[request.request_id]
        settings = self._context.settings
        longest_us = settings.max_retry_after_us if settings.retry_after else 0
        share = MIN_RETRY_AFTER_SHARE + (1 - MIN_RETRY_AFTER_SHARE) * self._context.random.random()
        if request.first_ran_at is not None:
            self._context.emit(FailRequest(request.request_id, reason))
        else:
            self._context.emit(RejectRequest(request.request_id, int(longest_us * share), reason))

    # ------------------------------------------------------------------ waiting

    def withdraw(self, request: ClientRequest) -> None:
        """Removes a request from the waiting ones because its client has left."""
        self._waiting.pop(request.request_id, None)

    def on_retry_timer(self) -> None:
        """Retries the waiting requests if a retry is scheduled."""
        if self._is_retry_scheduled:
            self._is_retry_scheduled = False
            self.retry_waiting()

    def _schedule_retry(self) -> None:
        if not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            self._context.emit(SetTimer(RETRY_INTERVAL_US, RETRY_TIMER))

    def _last_retry_us(self, request: ClientRequest) -> int:
        """Returns when a waiting request is retried last; after that, an answer would be too late."""
        return request.deadline_us - RETRY_INTERVAL_US - 2 * self._context.settings.tick_us

    def retry_waiting(self) -> None:
        """Retries the waiting requests, and answers those that cannot be placed before their deadline.

        Requests that were not tried come first in the next round.
        """
        failed_placements = 0
        ready = self._table.ready
        next_admission_us = min(
            (self._selector.endpoint_admission_us(e, 0.0) for e in ready), default=math.inf
        )
        for request in list(self._waiting.values()):
            last_retry_us = self._last_retry_us(request)
            if self._context.now_us >= last_retry_us:
                self.finish(request, DenialReason.OUT_OF_TIME)
            elif next_admission_us > last_retry_us:
                self.finish(request, DenialReason.NO_BACKEND)
            elif (
                failed_placements < MAX_FAILED_PLACEMENTS
                and request.retry_not_before_us <= self._context.now_us
            ):
                self.place(request)
                if self._waiting.pop(request.request_id, None) is not None:
                    self._waiting[request.request_id] = request
                    failed_placements += 1
        if self._waiting:
            self._schedule_retry()
