"""Digests by which two replicas are compared.

Keys are assigned to ranges by their hash. The digest of a range is the sum of its records' hashes (modulo
2**64), and 16 ranges form a group. Two replicas are compared by group, then by range, and only the records of
differing ranges are transferred. The lower half of the ranges contains the firm records, the upper half the
soft ones.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from sailrun.replication.records import Key

FIRM_RANGE_COUNT, RANGES_PER_GROUP = 256, 16
RANGE_COUNT = 2 * FIRM_RANGE_COUNT
GROUP_COUNT, FIRM_GROUP_COUNT = RANGE_COUNT // RANGES_PER_GROUP, FIRM_RANGE_COUNT // RANGES_PER_GROUP
_64_BITS = (1 << 64) - 1


def find_range(key: Key, soft: bool) -> int:
    """Returns the number of a key's range, which is the same on every node."""
    number = blake2b("\0".join(key).encode(), digest_size=1).digest()[0]
    return number + (FIRM_RANGE_COUNT if soft else 0)


def list_ranges(groups: Iterable[int]) -> list[int]:
    """Returns the numbers of all ranges of these groups."""
    return [
        number
        for group in groups
        for number in range(group * RANGES_PER_GROUP, (group + 1) * RANGES_PER_GROUP)
    ]


class RangeDigests:
    """The digests of one replica, updated with each added or removed record."""

    def __init__(self) -> None:
        self._digests = [0] * RANGE_COUNT
        self._counts = [0] * RANGE_COUNT

    def add(self, number: int, record_hash: int) -> None:
        """Adds a record to the digest of a range."""
        self._digests[number] = (self._digests[number] + record_hash) & _64_BITS
        self._counts[number] += 1

    def remove(self, number: int, record_hash: int) -> None:
        """Removes a record from the digest of a range."""
        self._digests[number] = (self._digests[number] - record_hash) & _64_BITS
        self._counts[number] -= 1

    def list_group_digests(self) -> list[int]:
        """Returns the digest of each group."""
        return [
            sum(self._digests[first : first + RANGES_PER_GROUP]) & _64_BITS
            for first in range(0, RANGE_COUNT, RANGES_PER_GROUP)
        ]

    def list_range_digests(self, group: int) -> list[int]:
        """Returns the digest of each range of a group."""
        return self._digests[group * RANGES_PER_GROUP : (group + 1) * RANGES_PER_GROUP]

    def find_differing_groups(self, group_digests: list[int]) -> dict[int, list[int]]:
        """Returns the groups in which this replica differs from another one, with this replica's digests of
        their ranges. Compares only as many groups as `group_digests` has.
        """
        pairs = enumerate(zip(self.list_group_digests(), group_digests, strict=False))
        return {group: self.list_range_digests(group) for group, (own, other) in pairs if own != other}

    def find_differing_ranges(self, range_digests: dict[int, list[int]]) -> list[int]:
        """Returns the ranges in which this replica differs from another one with these digests by group."""
        return [
            group * RANGES_PER_GROUP + offset
            for group, digests in range_digests.items()
            if 0 <= group < GROUP_COUNT
            for offset, (own, other) in enumerate(zip(self.list_range_digests(group), digests, strict=False))
            if own != other
        ]

    def count_records(self, ranges: Iterable[int]) -> int:
        """Returns how many records these ranges contain."""
        return sum(self._counts[number] for number in ranges)

    def get_firm_digest(self) -> int:
        """Returns a digest of all firm records, which is equal for replicas with the same firm records."""
        firm = self._digests[:FIRM_RANGE_COUNT]
        return sum((number + 1) * digest for number, digest in enumerate(firm)) & _64_BITS
