"""The range of loads that are accepted from outside, so that sums and quotients of loads stay finite."""

from __future__ import annotations

from sailrun.decisions.events import MAX_LOAD_US_PER_S
from sailrun.errors import SailrunError

# A load below this is indistinguishable from none. As a divisor it would let quotients overflow.
MIN_LOAD_US_PER_S = 1e-3


class LoadOutOfRangeError(SailrunError, ValueError):
    """A stated load is not a number from 0 to `MAX_LOAD_US_PER_S`."""


def check_load(load: float) -> float:
    """Returns a connection's load as it is accounted for, in microseconds of work per second. Raises
    LoadOutOfRangeError, also for a value that is not a number.
    """
    if not 0 <= load <= MAX_LOAD_US_PER_S:
        raise LoadOutOfRangeError(f"is not a number from 0 to {MAX_LOAD_US_PER_S:.0f}")
    return float(load) if load >= MIN_LOAD_US_PER_S else 0.0


def parse_load_value(text: str | bytes) -> float:
    """Parses a connection's load as `check_load` accepts it. Raises LoadOutOfRangeError."""
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    return check_load(value)
