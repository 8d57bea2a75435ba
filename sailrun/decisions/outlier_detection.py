"""Outlier detection: a failing backend is ejected for a while, and then gets one attempt at a time.

A backend is ejected after failed connects, repeated time-outs, consecutive errors while few backends return
errors, or the loss of all its connections. At most `MAX_EJECTED_SHARE` of the ready backends are ejected: if
more of them fail, the cause is this instance's own network.
"""

from __future__ import annotations

import math
from enum import Enum

from sailrun.decisions.actions import SlowStartReason
from sailrun.decisions.capacity import CapacityEstimator
from sailrun.decisions.context import SECOND_US, DecisionContext
from sailrun.decisions.endpoint_table import EndpointTable
from sailrun.decisions.endpoints import Endpoint
from sailrun.decisions.events import AttemptOutcome
from sailrun.decisions.overload import OverloadDetector
from sailrun.decisions.setup_rate import SetupRateLimiter
from sailrun.decisions.slow_start_admission import SlowStartAdmission

# Duration of the first ejection; each consecutive one takes twice as long, up to the maximum.
EJECTION_US = 1 * SECOND_US
MAX_EJECTION_US = 8 * SECOND_US
MAX_DOUBLINGS = 10
MAX_EJECTED_SHARE = 0.7
# This many consecutive errors are attributed to the backend if no more than half of the backends have errors.
MAX_CONSECUTIVE_ERRORS = 3
# This many consecutive time-outs eject a backend.
MAX_CONSECUTIVE_TIMEOUTS = 2
# Time-outs are attributed to the backend only while the share of successful set-ups is above this.
MIN_SUCCESS_SHARE = 0.5
# Connections that break within this time have a common cause; a single one may be coincidence.
BURST_US = 1 * SECOND_US
MIN_BURST_RESETS = 2


class EjectionReason(Enum):
    """Why a backend is ejected; the values are written to the log."""

    CONNECT_FAILED = "does not accept connections"
    TIMED_OUT = "does not answer"
    ERRORS = "answers with errors"
    RESET = "broke all its connections"


class OutlierDetector:
    """Ejects failing backends and readmits them."""

    def __init__(
        self,
        context: DecisionContext,
        table: EndpointTable,
        overload: OverloadDetector,
        setup_rate: SetupRateLimiter,
        capacity: CapacityEstimator,
        slow_start: SlowStartAdmission,
    ) -> None:
        self._context = context
        self._table = table
        self._overload = overload
        self._setup_rate = setup_rate
        self._capacity = capacity
        self._slow_start = slow_start

    def is_available(self, endpoint: Endpoint) -> bool:
        """Returns whether the backend is not ejected and, if half-open, has no attempt under way."""
        outlier = endpoint.outlier
        is_trial_pending = outlier.half_open and endpoint.pending_attempts > 0
        return outlier.ejected_until_us <= self._context.now_us and not is_trial_pending

    def is_ejected(self, endpoint: Endpoint) -> bool:
        """Returns whether the backend is ejected now."""
        return endpoint.outlier.ejected_until_us > self._context.now_us

    def was_reset_lately(self, endpoint: Endpoint) -> bool:
        """Returns whether a connection there broke within the last `BURST_US`."""
        return self._context.now_us - endpoint.outlier.last_reset_us < BURST_US

    # ------------------------------------------------------------------ observations

    def record_outcome(self, endpoint: Endpoint, outcome: AttemptOutcome, *, was_established: bool) -> None:
        """Records how an attempt there, or the connection that it established, ended."""
        match outcome:
            case AttemptOutcome.OK:
                self.record_recovery(endpoint)
            case AttemptOutcome.CONNECT_FAILED:
                self._record_connect_failure(endpoint)
            case AttemptOutcome.TIMED_OUT if not was_established:
                self._record_timeout(endpoint)
            case AttemptOutcome.ERROR:
                self._record_error(endpoint)
            case AttemptOutcome.REJECTED:
                self._overload.record_overload(endpoint)
            case AttemptOutcome.RESET:
                self._record_reset(endpoint)

    def record_recovery(self, endpoint: Endpoint) -> None:
        """Records that the backend works, and readmits it if it is half-open."""
        outlier = endpoint.outlier
        outlier.consecutive_timeouts = outlier.consecutive_errors = 0
        if not outlier.half_open:
            return
        self._context.log(f"backend {endpoint.id} readmitted")
        outlier.half_open = False
        outlier.ejections = outlier.ejected_until_us = 0
        self._capacity.recount()
        if len(endpoint.connections) <= 1:  # it may have restarted, with the list not updated yet
            self._slow_start.begin(endpoint, self._context.now_us, SlowStartReason.RECOVERED)

    def _record_connect_failure(self, endpoint: Endpoint) -> None:
        outlier = endpoint.outlier
        now_us = self._context.now_us
        # A single failed connect beside established connections may be coincidence.
        if not endpoint.connections or now_us - outlier.last_connect_failure_us < SECOND_US:
            self._eject(endpoint, EjectionReason.CONNECT_FAILED)
        outlier.last_connect_failure_us = now_us

    def _record_timeout(self, endpoint: Endpoint) -> None:
        outlier = endpoint.outlier
        outlier.consecutive_timeouts += 1
        self._overload.record_overload(endpoint)
        is_repeated = outlier.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS or outlier.half_open
        if is_repeated and self._setup_rate.success_share > MIN_SUCCESS_SHARE:
            self._eject(endpoint, EjectionReason.TIMED_OUT)

    def _record_error(self, endpoint: Endpoint) -> None:
        outlier = endpoint.outlier
        outlier.consecutive_errors += 1
        ready = self._table.ready
        failing = sum(1 for other in ready if other.outlier.consecutive_errors)
        # Errors at most backends come from a store that they share.
        if outlier.consecutive_errors >= MAX_CONSECUTIVE_ERRORS and 2 * failing <= len(ready):
            self._eject(endpoint, EjectionReason.ERRORS)

    def _record_reset(self, endpoint: Endpoint) -> None:
        outlier = endpoint.outlier
        if self._context.now_us - outlier.last_reset_us > BURST_US:
            outlier.recent_resets = 0
        outlier.recent_resets += 1
        outlier.last_reset_us = self._context.now_us
        is_burst = outlier.recent_resets >= MIN_BURST_RESETS
        if is_burst and not endpoint.connections:  # the process has ended, even if it is still listed
            self._eject(endpoint, EjectionReason.RESET)
            endpoint.overload.load_limit = math.inf  # the load that overloaded it has gone with it
            endpoint.overload.delay_ms = 0.0
        elif is_burst or self._overload.is_overloaded(endpoint, 0.0):
            # A single reset counts only if a delay or an overload was reported recently.
            self._overload.record_overload(endpoint)

    def _eject(self, endpoint: Endpoint, reason: EjectionReason) -> None:
        ready = self._table.ready
        ejected = [other for other in ready if self.is_ejected(other)]
        if endpoint in ejected or endpoint not in ready or len(ejected) >= MAX_EJECTED_SHARE * len(ready):
            return
        outlier = endpoint.outlier
        duration_us = min(MAX_EJECTION_US, EJECTION_US << min(outlier.ejections, MAX_DOUBLINGS))
        jitter = 0.75 + 0.5 * self._context.random.random()
        outlier.ejected_until_us = self._context.now_us + int(duration_us * jitter)
        outlier.ejections += 1
        self._context.log(f"backend {endpoint.id} ejected: it {reason.value}")
        outlier.half_open = True
        self._capacity.recount()
