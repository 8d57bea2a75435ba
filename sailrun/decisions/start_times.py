"""How old a backend is that has started not long ago, by the clock of this instance.

The list states starts by the clock of another machine, and that one or this one may be set wrong by seconds
or by an hour, either way. So an age is believed only as far as it can't do harm: a backend that is taken to
be older than it is would be sent too much, and one whose start seems to lie ahead would be shut for as long.
"""

from __future__ import annotations

from collections.abc import Iterable

from sailrun.decisions.events import Backend

# A start that is stated is at most so old if it has only just begun to be listed.
NEW_START_US = 2_000_000
# What is stated to be older than this when it is first listed is a clock's fault.
IMPLAUSIBLE_AGE_US = 30_000_000
# An age under this is no clock an hour off, but perhaps one some seconds off.
TRUSTED_AGE_US = 1_800_000_000
CLOCK_UNCERTAINTY_US = 3_000_000


class StartTimes:
    """Ages of backends whose start the list states, in Unix microseconds, by this instance's own clock."""

    def __init__(self, slow_start_us: int) -> None:
        self._slow_start_us = slow_start_us
        self._newest_us = 0  # the newest start listed; 0: none, or most backends started with it
        self.is_synchronized = False  # a list has come that was not the one known when this instance began

    def observe_list(self, known: dict[int, int], entries: Iterable[Backend]) -> None:
        """A list has come. `known`: the starts that were stated before, by backend."""
        starts = known | {entry.id: entry.started_us for entry in entries}
        newest_us = max(starts.values(), default=0)
        together = sum(newest_us - started_us < self._slow_start_us for started_us in starts.values())
        self._newest_us = newest_us if 2 * together <= len(starts) else 0

    def age_us(self, started_us: int, now_us: int) -> int:
        """How old a backend surely is whose start is stated as this for the first time."""
        age_us = max(0, now_us - started_us)
        if self.is_synchronized:
            return min(age_us, NEW_START_US) if age_us < IMPLAUSIBLE_AGE_US else 0
        # It was listed before this instance ran: only the two clocks can tell.
        if age_us < TRUSTED_AGE_US:
            return max(0, age_us - CLOCK_UNCERTAINTY_US)
        # Long ago, or a clock an hour off: beside the newest of all, none is older than the list says.
        return min(age_us, self._newest_us - started_us) if self._newest_us else age_us
