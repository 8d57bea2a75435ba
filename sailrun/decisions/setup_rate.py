"""Congestion control of set-ups: a limit on their rate, and what they take and how many succeed.

Acts after backends answer set-ups with errors, as before a shared store that is overloaded: attempts are then
spaced at a rate that falls by a share and grows back with time, until it is far above what is needed.
"""

from __future__ import annotations

import math
from dataclasses import astuple

from sailrun.decisions.context import SECOND_US, DecisionContext
from sailrun.decisions.endpoints import ClientRequest
from sailrun.decisions.events import AttemptOutcome, SetupRateSnapshot

# The limit is cut at most once in this time, to this share, and to no less than this.
CUT_INTERVAL_US = 250_000
CUT_SHARE = 0.6
MIN_RATE_PER_S = 1.0
GROWTH_PER_S = 0.6  # of the limit, compounded
MAX_GROWTH_S = 60.0  # counted at once: no overflow after a long lull
# Attempts in about this time make up the usual rate; at this multiple of it the limit is lifted.
USUAL_RATE_US = 10 * SECOND_US
UNLIMITED_MULTIPLE = 20.0
# The limit over this, in tokens, may be saved up; one always may.
SAVED_TOKENS_DIVISOR = 10
# Errors mean congestion while set-ups take this share of their latency objective, if less than the first
# share of them succeeds; else if less than the second does.
SLOW_SETUP_SHARE = 0.25
CONGESTED_SUCCESS_SHARE = 0.7
CONGESTED_SUCCESS_SHARE_IF_FAST = 0.3
# Weight of the latest set-up in the moving means.
LATEST_WEIGHT = 0.1
# An attempt is given up after the latency objective, or this multiple of what set-ups take, if longer.
TIMEOUT_MULTIPLE = 8.0

FAILURES = (AttemptOutcome.ERROR, AttemptOutcome.TIMED_OUT, AttemptOutcome.REJECTED)


class SetupRateLimiter:
    """A token bucket whose rate follows errors; 0: not limited."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._rate_per_s = 0.0
        self._tokens = 1.0
        self._unlimited_from_per_s = 0.0
        self._refilled_us: float = context.now_us
        self._cut_us: float = context.now_us
        self._mean_setup_us = 0.0
        self.success_share = 1.0  # of set-ups, failed connections left out
        self._recent_attempts = 0.0  # in about the last USUAL_RATE_US
        self._last_attempt_us: float = context.now_us

    def admits(self) -> bool:
        """Whether another attempt may begin now."""
        if self._rate_per_s <= 0:
            return True
        now_us = self._context.now_us
        seconds = (now_us - self._refilled_us) / SECOND_US
        self._refilled_us = now_us
        gained = self._rate_per_s * seconds
        self._rate_per_s *= (1 + GROWTH_PER_S) ** min(seconds, MAX_GROWTH_S)
        if self._rate_per_s > self._unlimited_from_per_s:
            self._rate_per_s = 0.0
            self._tokens = 1.0
            return True
        self._tokens = min(max(1.0, self._rate_per_s / SAVED_TOKENS_DIVISOR), self._tokens + gained)
        return self._tokens >= 1.0

    def opens_us(self, now_us: float) -> float:
        """When the next token is there."""
        if self._rate_per_s <= 0:
            return now_us
        return now_us + SECOND_US * (1.0 - self._tokens) / self._rate_per_s

    def record_attempt(self) -> None:
        """An attempt begins."""
        now_us = self._context.now_us
        decay = math.exp((self._last_attempt_us - now_us) / USUAL_RATE_US)
        self._recent_attempts = 1.0 + self._recent_attempts * decay
        self._last_attempt_us = now_us
        if self._rate_per_s > 0:
            self._tokens -= 1.0

    def record_success(self, latency_us: int) -> None:
        """A connection is established."""
        self._mean_setup_us += LATEST_WEIGHT * (latency_us - self._mean_setup_us)
        self.success_share += LATEST_WEIGHT * (1.0 - self.success_share)

    def record_failure(self, request: ClientRequest) -> None:
        """A backend has answered an attempt with an error, or not at all."""
        self.success_share *= 1.0 - LATEST_WEIGHT
        is_slow = self._mean_setup_us > SLOW_SETUP_SHARE * request.request_class.objective_us
        expected = CONGESTED_SUCCESS_SHARE if is_slow else CONGESTED_SUCCESS_SHARE_IF_FAST
        if self.success_share < expected:
            self._cut_rate()

    def attempt_timeout_us(self, request: ClientRequest) -> int:
        """How long an attempt may take if another one is to follow."""
        return max(request.request_class.objective_us, int(TIMEOUT_MULTIPLE * self._mean_setup_us))

    def _cut_rate(self) -> None:
        now_us = self._context.now_us
        if now_us - self._cut_us < CUT_INTERVAL_US:
            return
        if self._rate_per_s <= 0:
            decay = math.exp((self._last_attempt_us - now_us) / USUAL_RATE_US)
            self._rate_per_s = self._recent_attempts * decay * SECOND_US / USUAL_RATE_US
            self._unlimited_from_per_s = UNLIMITED_MULTIPLE * max(self._rate_per_s, MIN_RATE_PER_S)
            self._tokens = 0.0
        self._rate_per_s = max(MIN_RATE_PER_S, CUT_SHARE * self._rate_per_s)
        self._refilled_us = self._cut_us = now_us
        self._tokens = min(self._tokens, 0.0)

    # ------------------------------------------------------------------ snapshot

    def snapshot(self) -> SetupRateSnapshot:
        """What a successor is to go on with."""
        return SetupRateSnapshot(
            self._rate_per_s,
            self._tokens,
            self._unlimited_from_per_s,
            self._refilled_us,
            self._cut_us,
            self._mean_setup_us,
            self.success_share,
            self._recent_attempts,
            self._last_attempt_us,
        )

    def restore(self, snapshot: SetupRateSnapshot) -> None:
        """Goes on with what a predecessor has learned."""
        (
            self._rate_per_s,
            self._tokens,
            self._unlimited_from_per_s,
            self._refilled_us,
            self._cut_us,
            self._mean_setup_us,
            self.success_share,
            self._recent_attempts,
            self._last_attempt_us,
        ) = astuple(snapshot)
