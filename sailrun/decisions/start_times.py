"""Estimates the age of recently started backends by the clock of this instance.

The list states start times by the clock of another machine, and either clock may be wrong by seconds or by an
hour, in either direction. An age is therefore trusted only as far as it can do no harm: a backend that is
assumed to be older than it is would get too many requests, and one whose start seems to be in the future
would get none until then.
"""

from __future__ import annotations

from collections.abc import Iterable

from sailrun.decisions.events import Backend

# The maximum age that is assumed for a start that has just been listed for the first time.
NEW_START_US = 2_000_000
# A stated age above this, when a start is first listed, is attributed to a wrong clock.
IMPLAUSIBLE_AGE_US = 30_000_000
# An age below this cannot result from a clock that is wrong by an hour, but it can from one that is wrong by
# seconds.
TRUSTED_AGE_US = 1_800_000_000
CLOCK_UNCERTAINTY_US = 3_000_000


class StartTimes:
    """Estimates the ages of backends whose start the list states, by this instance's own clock.

    Start times are Unix time in microseconds.
    """

    def __init__(self, slow_start_us: int) -> None:
        self._slow_start_us = slow_start_us
        self._newest_us = 0  # newest listed start; 0: none, or most backends started around then
        self.is_synchronized = False  # whether a list other than the cached one has arrived

    def observe_list(self, previous_starts: dict[int, int], entries: Iterable[Backend]) -> None:
        """Records the start times of a list. `previous_starts` are those stated before, by backend."""
        starts = previous_starts | {entry.id: entry.started_us for entry in entries}
        newest_us = max(starts.values(), default=0)
        recent_starts = sum(newest_us - started_us < self._slow_start_us for started_us in starts.values())
        self._newest_us = newest_us if 2 * recent_starts <= len(starts) else 0

    def age_us(self, started_us: int, now_us: int) -> int:
        """Returns the minimum age of a backend whose start is stated as `started_us` for the first time."""
        age_us = max(0, now_us - started_us)
        if self.is_synchronized:
            return min(age_us, NEW_START_US) if age_us < IMPLAUSIBLE_AGE_US else 0
        # It was listed before this instance ran, so its age is known only by comparing the two clocks.
        if age_us < TRUSTED_AGE_US:
            return max(0, age_us - CLOCK_UNCERTAINTY_US)
        # The start is long ago or a clock is wrong by an hour. The time from this start to the newest one
        # does not depend on this instance's clock, and the backend is at least that old.
        return min(age_us, self._newest_us - started_us) if self._newest_us else age_us
