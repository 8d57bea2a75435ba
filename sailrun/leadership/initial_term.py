"""Chooses the initial term when no voter remembers the terms of the fleet."""

from __future__ import annotations

# 2026-01-01 00:00:00 UTC, in Unix seconds.
EPOCH_UNIX_S = 1_767_225_600
_RANDOM_BITS, _COUNT_BITS = 12, 12


def new_initial_term(wall_s: float, random_bits: int) -> int:
    """Returns a lower bound for new terms: the seconds since 2026 by the wall clock, 12 random bits, and 12
    zero bits for counting up. It stays below 2**53 until 2043. The random bits make terms distinct and the
    clock makes them grow, but no guarantee depends on either; see "All memory lost" in
    docs/design/owners.md.
    """
    seconds = max(0, int(wall_s) - EPOCH_UNIX_S)
    return (seconds << (_RANDOM_BITS + _COUNT_BITS)) | ((random_bits & 0xFFF) << _COUNT_BITS)
