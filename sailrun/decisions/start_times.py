"""How old a backend is that has started not long ago, by the clock of this instance.

The list states starts by the clock of another machine, and that one or this one may be set wrong by seconds
or by an hour, either way. So an age is believed only as far as it can't do harm: a backend that is taken to
be older than it is would be sent too much, and one whose start seems to lie ahead would be shut for as long.
"""

from __future__ import annotations

from collections.abc import Iterable

from sailrun.decisions.events import Backend

# A start is news after about so long; what is stated to be older than this by then is a clock's fault.
NEWS_US, OUTDATED_US = 2_000_000, 30_000_000
# An age under this is no clock an hour off, but perhaps one some seconds off.
SANE_US, DOUBT_US = 1_800_000_000, 3_000_000


class StartDates:
    """Dates the starts that the list states, in Unix us. Times are of this instance's own clock."""

    def __init__(self, cold_us: int) -> None:
        self._cold_us = cold_us
        self._newest_us = 0  # the newest start listed; 0: none, or most backends started with it
        self.running = False  # a list has come that was not the one known at the start of this instance

    def listed(self, known: dict[int, int], entries: Iterable[Backend]) -> None:
        """A list has come. `known`: the starts that were stated before, by backend."""
        starts = known | {entry.id: entry.started_us for entry in entries}
        newest_us = max(starts.values(), default=0)
        together = sum(newest_us - started_us < self._cold_us for started_us in starts.values())
        self._newest_us = newest_us if 2 * together <= len(starts) else 0

    def age_us(self, started_us: int, now_us: int) -> int:
        """How old a backend surely is whose start is stated as this for the first time."""
        age_us = max(0, now_us - started_us)
        if self.running:
            return min(age_us, NEWS_US) if age_us < OUTDATED_US else 0
        # It was listed before this instance ran: only the two clocks can tell.
        if age_us < SANE_US:
            return max(0, age_us - DOUBT_US)
        # Long ago, or a clock an hour off: beside the newest of all, none is older than the list says.
        return min(age_us, self._newest_us - started_us) if self._newest_us else age_us
