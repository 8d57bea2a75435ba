"""Where terms begin when all who knew them are gone."""

from __future__ import annotations

# 2026-01-01 00:00:00 UTC, in Unix seconds.
EPOCH_UNIX_S = 1_767_225_600
_CHANCE_BITS, _COUNT_BITS = 12, 12


def new_initial_term(wall_s: float, chance: int) -> int:
    """A term to begin above: the seconds since 2026 by the wall clock, some chance, and room to count; below
    2**53 until 2043. Terms are told apart by the chance and grow by the clock, but no promise rests on
    either:
    see "All memory lost" in docs/design/owners.md.
    """
    seconds = max(0, int(wall_s) - EPOCH_UNIX_S)
    return (seconds << (_CHANCE_BITS + _COUNT_BITS)) | ((chance & 0xFFF) << _COUNT_BITS)
