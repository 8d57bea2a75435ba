"""Rules for retries: whether, where and until when a request may be attempted again.

They depend on the effect that a repeated request would have.
"""

from __future__ import annotations

import math

from sailrun.decisions.endpoints import ClientRequest, Endpoint
from sailrun.decisions.events import AttemptOutcome
from sailrun.decisions.settings import DedupScope, Effect, Settings

# Outcomes after which an attempt had no effect.
NEVER_RAN = (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)
# The first backoff after an error that all backends may share; it doubles with each further error.
BACKOFF_US = 200_000
MAX_DOUBLINGS = 3


def begin_by_us(request: ClientRequest, settings: Settings) -> float:
    """Returns the latest time at which the effect of a repeat allows another attempt to begin.

    Infinity means at any time, and minus infinity never.
    """
    request_class = request.request_class
    if request.first_ran_at is None or request_class.effect is Effect.IDEMPOTENT:
        return math.inf
    if request_class.effect is not Effect.DEDUPLICATED:
        return -math.inf
    return request.first_ran_us + (request_class.dedup_window_us - settings.tick_us)


def may_attempt_at(request: ClientRequest, endpoint: Endpoint) -> bool:
    """Returns whether the request may be sent to this backend.

    No backend gets the same request twice, and a repeat stays within its deduplication scope.
    """
    if endpoint in request.tried:
        return False
    first = request.first_ran_at
    if first is None or request.request_class.effect is Effect.IDEMPOTENT:
        return True
    scope = request.request_class.dedup_scope
    if scope is DedupScope.ZONE:
        return endpoint.zone == first.zone
    if scope is DedupScope.CELL:
        return endpoint.cell == first.cell
    return True


def backoff_us(attempts: int) -> int:
    """Returns the mean backoff after this number of attempts that were answered with errors."""
    return BACKOFF_US << min(attempts - 1, MAX_DOUBLINGS)
