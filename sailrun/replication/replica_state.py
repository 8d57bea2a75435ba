"""The state of this node's replica as a whole. `AntiEntropy` creates the object and shares it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ReplicaState:
    """`epoch` counts how often the fleet has removed deleted records; replicas of different epochs are never
    merged. Times are in microseconds of this node's clock.
    """

    epoch: int = 0
    is_complete: bool = False  # it has all records of the replicas from which it was transferred
    # When this replica was begun, at the start or after a discard; -1: before the first `tick`.
    begun_us: int = -1
    discard_count: int = 0  # how often the replica was discarded since the process started
    # Records in ranges not transferred yet, as reported by a sender; 0 once complete.
    missing_records: int = 0
