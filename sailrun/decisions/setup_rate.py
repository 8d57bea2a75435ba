"""Congestion control of set-ups: limits their rate, and tracks their latency and success rate.

The limit applies after set-ups fail with errors, time-outs or rejections, for instance because a store that
all backends share is overloaded. Attempts are then limited to a rate that each cut multiplies by `CUT_SHARE`
and that grows back with time.
The limit is lifted once it is far above the usual rate.
"""

from __future__ import annotations

import math
from dataclasses import astuple

from sailrun.decisions.context import SECOND_US, DecisionContext
from sailrun.decisions.endpoints import ClientRequest
from sailrun.decisions.events import AttemptOutcome, SetupRateSnapshot

# The limit is cut at most once per interval, to this share of itself, and never below the minimum rate.
CUT_INTERVAL_US = 250_000
CUT_SHARE = 0.6
MIN_RATE_PER_S = 1.0
GROWTH_PER_S = 0.6  # compound growth of the limit
MAX_GROWTH_S = 60.0  # maximum growth period applied at once; prevents overflow after a long idle time
# The usual rate is averaged over about this time; the limit is lifted once it exceeds this multiple of the
# usual rate.
USUAL_RATE_US = 10 * SECOND_US
UNLIMITED_MULTIPLE = 20.0
# The token bucket holds the limit (per second) divided by this, and at least one token.
SAVED_TOKENS_DIVISOR = 10
# Set-ups are slow if their mean latency exceeds SLOW_SETUP_SHARE of the latency objective. Failures indicate
# congestion if the share of successful set-ups is below CONGESTED_SUCCESS_SHARE while set-ups are slow, or
# below CONGESTED_SUCCESS_SHARE_IF_FAST otherwise.
SLOW_SETUP_SHARE = 0.25
CONGESTED_SUCCESS_SHARE = 0.7
CONGESTED_SUCCESS_SHARE_IF_FAST = 0.3
# Weight of the latest set-up in the moving averages.
LATEST_WEIGHT = 0.1
# An attempt times out after the latency objective or this multiple of the mean set-up time, if that is
# longer.
TIMEOUT_MULTIPLE = 8.0

FAILURES = (AttemptOutcome.ERROR, AttemptOutcome.TIMED_OUT, AttemptOutcome.REJECTED)


class SetupRateLimiter:
    """A token bucket whose rate is cut on failures and grows with time; a rate of 0 means no limit."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._rate_per_s = 0.0
        self._tokens = 1.0
        self._unlimited_from_per_s = 0.0
        self._refilled_us: float = context.now_us
        self._cut_us: float = context.now_us
        self._mean_setup_us = 0.0
        self.success_share = 1.0  # of set-ups, without failed connects
        self._recent_attempts = 0.0  # exponentially decaying count, over about USUAL_RATE_US
        self._last_attempt_us: float = context.now_us

    def admits(self) -> bool:
        """Returns whether another attempt may begin now."""
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

    def next_admission_us(self, now_us: float) -> float:
        """Returns when the next token is available."""
        if self._rate_per_s <= 0:
            return now_us
        return now_us + SECOND_US * (1.0 - self._tokens) / self._rate_per_s

    def record_attempt(self) -> None:
        """Records that an attempt begins."""
        now_us = self._context.now_us
        decay = math.exp((self._last_attempt_us - now_us) / USUAL_RATE_US)
        self._recent_attempts = 1.0 + self._recent_attempts * decay
        self._last_attempt_us = now_us
        if self._rate_per_s > 0:
            self._tokens -= 1.0

    def record_success(self, latency_us: int) -> None:
        """Records that a connection was established."""
        self._mean_setup_us += LATEST_WEIGHT * (latency_us - self._mean_setup_us)
        self.success_share += LATEST_WEIGHT * (1.0 - self.success_share)

    def record_failure(self, request: ClientRequest) -> None:
        """Records that a backend answered an attempt with an error or a rejection, or did not answer."""
        self.success_share *= 1.0 - LATEST_WEIGHT
        is_slow = self._mean_setup_us > SLOW_SETUP_SHARE * request.request_class.objective_us
        expected = CONGESTED_SUCCESS_SHARE if is_slow else CONGESTED_SUCCESS_SHARE_IF_FAST
        if self.success_share < expected:
            self._cut_rate()

    def attempt_timeout_us(self, request: ClientRequest) -> int:
        """Returns how long an attempt may take if time must remain for another one."""
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
        """Returns the state for a successor."""
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
        """Restores the state of a predecessor."""
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
