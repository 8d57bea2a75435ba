"""The way of a request to its final answer: attempts, retries, and the wait for a backend that admits it."""

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

# Waiting requests are looked at again this often: well under any latency objective, well over a tick.
RETRY_INTERVAL_US = 50_000
# After so many looks in vain the rest wait for the next round: in a full fleet looks cost and find nothing.
MAX_VAIN_LOOKS = 4
# The share of the longest Retry-After that a rejected client is told at least; the rest is chance.
MIN_RETRY_AFTER_SHARE = 0.25


class RequestLifecycle:
    """Attempts, holds back and answers requests; each gets one final answer."""

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
        """`requests`: all that are tracked, by id; the ones that are answered are taken out."""
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
        """Sends the request to the first backend that admits it, else has it wait or ends it."""
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
        elif self._selector.opens_us(request) > self._last_look_us(request):
            # Answered at once, not when its time is nearly over.
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
        self._loads.note_placed(request)
        self._loads.add(request, endpoint)
        endpoint.pending_attempts += 1
        slow_start = self._slow_start.record_attempt(endpoint)
        until_us = request.deadline_us
        if request.attempts < settings.max_attempts:  # a silent backend must leave time for another attempt
            until_us = min(until_us, now_us + self._setup_rate.attempt_timeout_us(request))
        begin_us = begin_by_us(request, settings)
        self._context.emit(StartAttempt(request.request_id, endpoint.id, until_us, begin_us, slow_start))

    def retry(self, request: ClientRequest, endpoint: Endpoint, outcome: AttemptOutcome) -> None:
        """Another attempt follows. What a half-open backend answers says nothing of the others."""
        is_half_open = endpoint.outlier.half_open
        if outcome in FAILURES and not is_half_open:
            self._setup_rate.record_failure(request)
        others_fail = any(e.outlier.consecutive_errors for e in self._table.ready if e is not endpoint)
        if outcome is AttemptOutcome.ERROR and not is_half_open and others_fail:  # of a store that all share?
            jitter = 0.5 + self._context.random.random()
            wait_us = int(backoff_us(request.attempts) * jitter)
            request.retry_not_before_us = self._context.now_us + wait_us
        self.place(request)

    def finish(self, request: ClientRequest, reason: DenialReason) -> None:
        """The one final answer: a rejection only where a retry is known to be harmless."""
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
        """The client has gone: the request waits no longer."""
        self._waiting.pop(request.request_id, None)

    def on_retry_timer(self) -> None:
        """Looks at the waiting requests again, if that is due."""
        if self._is_retry_scheduled:
            self._is_retry_scheduled = False
            self.retry_waiting()

    def _schedule_retry(self) -> None:
        if not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            self._context.emit(SetTimer(RETRY_INTERVAL_US, RETRY_TIMER))

    def _last_look_us(self, request: ClientRequest) -> int:
        """When a waiting request is looked at for the last time: later, an answer would come too late."""
        return request.deadline_us - RETRY_INTERVAL_US - 2 * self._context.settings.tick_us

    def retry_waiting(self) -> None:
        """Looks at the waiting requests again, and answers those that wait in vain while that still counts.
        Those for which there was no look are the first in the next round.
        """
        vain_looks = 0
        ready = self._table.ready
        opens_us = min((self._selector.endpoint_opens_us(e, 0.0) for e in ready), default=math.inf)
        for request in list(self._waiting.values()):
            last_look_us = self._last_look_us(request)
            if self._context.now_us >= last_look_us:
                self.finish(request, DenialReason.OUT_OF_TIME)
            elif opens_us > last_look_us:
                self.finish(request, DenialReason.NO_BACKEND)
            elif vain_looks < MAX_VAIN_LOOKS and request.retry_not_before_us <= self._context.now_us:
                self.place(request)
                if self._waiting.pop(request.request_id, None) is not None:
                    self._waiting[request.request_id] = request
                    vain_looks += 1
        if self._waiting:
            self._schedule_retry()
