"""One node's copy: records by key, digests over ranges of keys, bounds, and its own check for spoilt bytes.

Pure. Keys fall into ranges by their hash; each range has a digest (the sum of its records' hashes), 16 ranges
make a group. Two copies are compared group by group, then range by range, and only what differs is passed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from sortedcontainers import SortedList

from sailrun.replication.records import (
    InvalidRecordError,
    Key,
    Record,
    contradicts,
    estimate_size_bytes,
    hash_record,
    merge_records,
    validate_record,
)
from sailrun.replication.settings import ReplicationSettings

SECOND = 1_000_000
# Firm records first, then soft ones: so many ranges of each, in groups.
FIRM_RANGE_COUNT, RANGES_PER_GROUP = 256, 16
RANGE_COUNT = 2 * FIRM_RANGE_COUNT
FIRM_GROUP_COUNT = FIRM_RANGE_COUNT // RANGES_PER_GROUP

_64 = (1 << 64) - 1


class PutResult(Enum):
    """What became of a record that came in."""

    NEW = "new"  # this copy knows more than before
    KNOWN = "known"
    CONTRADICTS = "differs"  # the same version with another content: nothing was taken
    EXPIRED = "old"  # a soft record that has ended
    FULL = "full"


@dataclass(slots=True)
class _Entry:
    record: Record
    hash: int
    size_bytes: int
    written_us: int  # when it was written, by this node's clock; of a firm one, when it came to be so here


def find_range(key: Key, soft: bool) -> int:
    """Which range a key falls into, the same on every node."""
    number = blake2b("\0".join(key).encode(), digest_size=1).digest()[0]
    return number + (FIRM_RANGE_COUNT if soft else 0)


class RecordStore:
    def __init__(self, terms: ReplicationSettings, salt: bytes, off: frozenset[str] = frozenset()) -> None:
        """`salt` is the fleet's own, so that copies of two fleets are never alike."""
        self.settings, self._salt, self._off = terms, salt, off
        self._entries: dict[Key, _Entry] = {}
        self._order: SortedList[tuple[int, Key]] = SortedList()
        self._keys: SortedList[Key] = SortedList()
        self._soft: set[Key] = set()
        self._digests = [0] * RANGE_COUNT
        self._counts = [0] * RANGE_COUNT
        self.size_bytes = 0
        self.corrupted: list[Key] = []  # found by `scrub`, for whoever drives this; emptied by him
        self.rejected_full = 0
        self._scrubbed = 0
        self.on_change: Callable[[Record], None] = lambda record: None

    def __len__(self) -> int:
        return len(self._entries)

    # ------------------------------------------------------------------ reading

    def get(self, key: Key) -> Record | None:
        entry = self._entries.get(key)
        return entry.record if entry is not None else None

    def get_intact(self, key: Key) -> Record | None:
        """The record as it goes out: not where its bytes do not fit their hash any more."""
        entry = self._entries.get(key)
        if entry is None:
            return None
        if "mend" not in self._off and hash_record(entry.record, self._salt) != entry.hash:
            if key not in self.corrupted:
                self.corrupted.append(key)
            return None
        return entry.record

    def intact_records(self) -> Iterator[Record]:
        """All records whose bytes are as they came in."""
        return (r for key in list(self._entries) if (r := self.get_intact(key)) is not None)

    def iterate_records(self, kind: str = "") -> Iterator[Record]:
        """By key; of one kind, or all."""
        least, most = ((kind, "", ""), (f"{kind}\0", "", "")) if kind else (None, None)
        for key in list(self._keys.irange(least, most)):
            yield self._entries[key].record

    def age_us(self, now_us: int, key: Key) -> int:
        return now_us - self._entries[key].written_us

    def with_age(self, now_us: int, record: Record) -> Record:
        """As it goes out: a soft one with its age."""
        if not record.soft:
            return record
        age_ms = max(0, self.age_us(now_us, record.key)) // 1000
        return Record(*record.key, True, record.versions, record.context, age_ms)

    def group_digests(self) -> list[int]:
        """One digest for each group of ranges."""
        return [
            sum(self._digests[n : n + RANGES_PER_GROUP]) & _64
            for n in range(0, RANGE_COUNT, RANGES_PER_GROUP)
        ]

    def range_digests(self, group: int) -> list[int]:
        return self._digests[group * RANGES_PER_GROUP : (group + 1) * RANGES_PER_GROUP]

    def find_differing_groups(self, groups: list[int]) -> dict[int, list[int]]:
        """The digests of ranges in those of the first groups that are not as told."""
        pairs = enumerate(zip(self.group_digests(), groups, strict=False))
        return {n: self.range_digests(n) for n, (mine, told) in pairs if mine != told}

    def find_differing_ranges(self, leaves: dict[int, list[int]]) -> list[int]:
        """Ranges in which this copy is another than the one whose digests were told, by group."""
        return [
            n * RANGES_PER_GROUP + k
            for n, told in leaves.items()
            if 0 <= n < RANGE_COUNT // RANGES_PER_GROUP
            for k, (mine, other) in enumerate(zip(self.range_digests(n), told, strict=False))
            if mine != other
        ]

    def count_records(self, ranges: Iterable[int]) -> int:
        return sum(self._counts[n] for n in ranges)

    def digest_firm_records(self) -> int:
        """Of all firm records: equal where two copies hold the same."""
        return sum((n + 1) * d for n, d in enumerate(self._digests[:FIRM_RANGE_COUNT])) & _64

    def read_page(
        self, now_us: int, ranges: list[int], after: Key | None, most_bytes: int
    ) -> tuple[list[Record], Key | None]:
        """Records of these ranges in their order, from after that key on, and where the page ends; None: no
        more. `after` is of the first range.
        """
        page: list[Record] = []
        size = 0
        for place, number in enumerate(ranges):
            least = (number, after) if place == 0 and after is not None else (number, ("", "", ""))
            for _, key in self._order.irange(
                least, (number + 1,), inclusive=(after is None or place > 0, False)
            ):
                if size >= most_bytes:
                    return page, page[-1].key
                record = self.get_intact(key)
                if record is not None:
                    page.append(self.with_age(now_us, record))
                    size += estimate_size_bytes(record)
        return page, None

    # ------------------------------------------------------------------ writing

    def put(self, now_us: int, record: Record) -> PutResult:
        """Merges a record in. Raises BadRecord for one that is none."""
        validate_record(record)
        old = self._entries.get(record.key)
        if old is None:
            if record.soft and record.age_ms * 1000 > self.settings.belief_s * SECOND:
                return PutResult.EXPIRED
            if self._full(record):
                self.rejected_full += 1
                return PutResult.FULL
            self._set(now_us, record)
            return PutResult.NEW
        if old.record.soft is not record.soft:
            raise InvalidRecordError(f"{record.kind}: soft at one node, firm at another")
        if contradicts(old.record, record):
            return PutResult.CONTRADICTS
        merged = merge_records(old.record, record)
        if "causality" in self._off and len(merged.versions) > 1:
            merged = Record(*merged.key, merged.soft, merged.versions[-1:], merged.context, merged.age_ms)
        if merged.versions == old.record.versions and merged.context == old.record.context:
            return PutResult.KNOWN
        self._set(now_us, merged)
        return PutResult.NEW

    def get_hash(self, key: Key) -> int:
        """The hash that was taken of a record when it came; 0: there is none."""
        entry = self._entries.get(key)
        return entry.hash if entry is not None else 0

    def list_firm_records(self) -> list[tuple[Record, int]]:
        """All firm records with their hashes, sound or not."""
        return [(entry.record, entry.hash) for entry in self._entries.values() if not entry.record.soft]

    def load(self, now_us: int, records: Iterable[tuple[Record, int]]) -> int:
        """Takes over many firm records at once that a copy held before, into an empty one, with the hashes
        taken then (0: taken now); returns how many there was no room for.
        """
        left = 0
        places: list[tuple[int, Key]] = []
        room = 2 * self.settings.records, 2 * self.settings.megabytes * 1e6
        for record, known in records:
            size = estimate_size_bytes(record)
            if len(self._entries) >= room[0] or self.size_bytes + size > room[1]:
                left += 1
                continue
            mark = known or hash_record(record, self._salt)
            number = find_range(record.key, False)
            self._entries[record.key] = _Entry(record, mark, size, now_us)
            self._digests[number] = (self._digests[number] + mark) & _64
            self._counts[number] += 1
            self.size_bytes += size
            places.append((number, record.key))
        self._order = SortedList(places)
        self._keys = SortedList(self._entries)
        return left

    def replace(self, now_us: int, record: Record) -> None:
        """Takes this instead of what is held: a spoilt copy is mended."""
        validate_record(record)
        self._set(now_us, record)

    def _full(self, record: Record) -> bool:
        room = 1 if record.soft else 2  # firm records may take as much again
        more = len(self._entries) >= room * self.settings.records
        return more or self.size_bytes + estimate_size_bytes(record) > room * self.settings.megabytes * 1e6

    def _set(self, now_us: int, record: Record) -> None:
        self.remove(record.key)
        mark, size = hash_record(record, self._salt), estimate_size_bytes(record)
        made_us = now_us - record.age_ms * 1000
        number = find_range(record.key, record.soft)
        self._entries[record.key] = _Entry(record, mark, size, made_us)
        self._order.add((number, record.key))
        self._keys.add(record.key)
        if record.soft:
            self._soft.add(record.key)
        self._digests[number] = (self._digests[number] + mark) & _64
        self._counts[number] += 1
        self.size_bytes += size
        self.on_change(record)

    def remove(self, key: Key) -> None:
        """Forgets a record, so that it is as if it had never been."""
        entry = self._entries.pop(key, None)
        if entry is None:
            return
        number = find_range(key, entry.record.soft)
        self._order.remove((number, key))
        self._keys.remove(key)
        self._soft.discard(key)
        self._digests[number] = (self._digests[number] - entry.hash) & _64
        self._counts[number] -= 1
        self.size_bytes -= entry.size_bytes

    def clear(self) -> None:
        for key in list(self._entries):
            self.remove(key)

    # ------------------------------------------------------------------ time

    def expire_records(self, now_us: int) -> None:
        """Drops soft records that nobody has said again."""
        if "forget" in self._off:
            keep_us = self.settings.keep_s * SECOND
            for key in [
                k for k, e in self._entries.items() if e.record.is_deleted and now_us - e.written_us > keep_us
            ]:
                self.remove(key)
        limit_us = self.settings.belief_s * SECOND
        ended = [k for k in self._soft if now_us - self._entries[k].written_us > limit_us]
        for key in ended:
            self.remove(key)

    def scrub(self, share: float) -> None:
        """Checks this share of the records, in turn, against the hash taken when they came in."""
        keys = self._order
        for _ in range(min(len(keys), 1 + int(len(keys) * share))):
            self._scrubbed = (self._scrubbed + 1) % len(keys)
            self.get_intact(keys[self._scrubbed][1])

    def corrupt(self, key: Key) -> None:
        """For the laboratory: flips one bit of a record's content, as bad memory would."""
        entry = self._entries[key]
        first, *others = entry.record.versions
        half = len(first.content) // 2
        content = first.content[:half] + bytes([first.content[half] ^ 1]) + first.content[half + 1 :]
        versions = [type(first)(first.actor, first.count, content, first.deleted), *others]
        entry.record = Record(*key, entry.record.soft, versions, entry.record.context)
