"""What is known of this node's copy as a whole; its parts share one object, which `AntiEntropy` makes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class CopyState:
    """`epoch` counts how often the fleet has forgotten deleted records; copies of different epochs are never
    merged. Times are in microseconds of this node's clock.
    """

    epoch: int = 0
    is_complete: bool = False  # it has everything that the copy had from which it was taken
    begun_us: int = -1  # when the complete copy under way was begun; -1: the clock was not read yet
    copies_begun: int = 0  # how often the copy was discarded since the start
    missing_records: int = 0  # in ranges still to be copied, as a sender said; 0 once complete
