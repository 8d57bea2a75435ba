"""The state of this node's replica as a whole, one object that `AntiEntropy` creates and its parts share."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class CopyState:
    """`epoch` counts how often the fleet has removed deleted records; replicas of different epochs are never
    merged. Times are in microseconds of this node's clock.
    """

    epoch: int = 0
    is_complete: bool = False  # it has everything that the replicas had from which it was transferred
    begun_us: int = -1  # when the state transfer under way began; -1: the time is not known yet
    discard_count: int = 0  # how often the replica was discarded since the process started
    # Records in ranges not transferred yet, as reported by a sender; 0 once complete.
    missing_records: int = 0
