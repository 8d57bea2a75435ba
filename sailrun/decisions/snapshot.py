"""Copies the observed state of backends into a snapshot for a successor, and back."""

from __future__ import annotations

from sailrun.decisions.endpoints import Endpoint
from sailrun.decisions.events import BackendSnapshot


def snapshot_backend(endpoint: Endpoint) -> BackendSnapshot:
    """Returns the observed state of a backend, without its connections and its list entry."""
    outlier = endpoint.outlier
    overload = endpoint.overload
    slow_start = endpoint.slow_start
    return BackendSnapshot(
        id=endpoint.id,
        started_us=endpoint.started_us,
        draining_notified_us=endpoint.draining_notified_us,
        ejected_until_us=outlier.ejected_until_us,
        ejections=outlier.ejections,
        consecutive_timeouts=outlier.consecutive_timeouts,
        consecutive_errors=outlier.consecutive_errors,
        half_open=outlier.half_open,
        delay_ms=overload.delay_ms,
        delay_us=overload.delay_us,
        load_limit=overload.load_limit,
        load_limit_us=overload.load_limit_us,
        slow_start_began_us=slow_start.began_us,
        tokens=slow_start.tokens,
        tokens_us=slow_start.tokens_us,
    )


def restore_backend(endpoint: Endpoint, snapshot: BackendSnapshot) -> None:
    """Restores the observed state of a backend, which must still be the same process."""
    outlier = endpoint.outlier
    outlier.ejected_until_us = snapshot.ejected_until_us
    outlier.ejections = snapshot.ejections
    outlier.consecutive_timeouts = snapshot.consecutive_timeouts
    outlier.consecutive_errors = snapshot.consecutive_errors
    outlier.half_open = snapshot.half_open
    overload = endpoint.overload
    overload.delay_ms = snapshot.delay_ms
    overload.delay_us = snapshot.delay_us
    overload.load_limit = snapshot.load_limit
    overload.load_limit_us = snapshot.load_limit_us
    slow_start = endpoint.slow_start
    slow_start.began_us = snapshot.slow_start_began_us
    slow_start.tokens = snapshot.tokens
    slow_start.tokens_us = snapshot.tokens_us
    endpoint.draining_notified_us = snapshot.draining_notified_us
