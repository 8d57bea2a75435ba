"""The records of one node's replica: bounded, with digests, and with hashes that detect corrupted bytes.

This module does no I/O. Firm records stay until they are deleted and the fleet removes the deletion; soft
records expire unless they are reported again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from sortedcontainers import SortedList

from sailrun.replication.range_digests import RangeDigests, find_range
from sailrun.replication.records import (
    InvalidRecordError,
    Key,
    Record,
    Version,
    contradicts,
    estimate_size_bytes,
    hash_record,
    merge_records,
    validate_record,
)
from sailrun.replication.settings import ReplicationSettings

SECOND_US = 1_000_000
US_PER_MS = 1000
BYTES_PER_MEGABYTE = 1e6
# The bounds for firm records are this many times the settings' bounds, so that marks are still accepted when
# the store rejects soft records.
FIRM_BOUND_FACTOR = 2


class PutResult(Enum):
    """The result of merging a received record."""

    NEW = "new"  # the record changed this replica
    KNOWN = "known"  # the replica already contained it
    CONTRADICTS = "differs"  # a version has a different content here; the record was not merged
    EXPIRED = "old"  # a soft record older than its time to live
    FULL = "full"  # the store has no capacity for it


@dataclass(slots=True)
class _Entry:
    record: Record
    hash: int  # computed when the record was stored
    size_bytes: int
    # By this node's clock: when a soft record was written, or when a firm record was last changed here.
    written_us: int


class RecordStore:
    """The records of one replica."""

    def __init__(
        self, settings: ReplicationSettings, salt: bytes, disabled_rules: frozenset[str] = frozenset()
    ) -> None:
        """`salt` differs between fleets, so that hashes of replicas of two fleets do not match.
        `disabled_rules` are the safety rules that the laboratory switches off.
        """
        self.settings, self._salt = settings, salt
        self._checks_hashes = "mend" not in disabled_rules
        self._keeps_concurrent = "causality" not in disabled_rules
        self._keeps_deletions = "forget" not in disabled_rules
        self._entries: dict[Key, _Entry] = {}
        self._by_range: SortedList[tuple[int, Key]] = SortedList()
        self._by_key: SortedList[Key] = SortedList()
        self._soft: set[Key] = set()
        self.digests = RangeDigests()
        self.size_bytes = 0
        self.corrupted: list[Key] = []  # detected and not handled yet; the caller empties it
        self.rejected_full = 0  # records rejected because the store was full
        self._scrub_index = 0
        self.on_change: Callable[[Record], None] = lambda record: None

    def __len__(self) -> int:
        """The number of records."""
        return len(self._entries)

    # ------------------------------------------------------------------ reading

    def get(self, key: Key) -> Record | None:
        """Returns the record without checking its hash; None if there is none."""
        entry = self._entries.get(key)
        return entry.record if entry is not None else None

    def get_intact(self, key: Key) -> Record | None:
        """Returns the record if its bytes match its hash. Otherwise returns None and adds the key to
        `corrupted`.
        """
        entry = self._entries.get(key)
        if entry is None:
            return None
        if self._checks_hashes and hash_record(entry.record, self._salt) != entry.hash:
            if key not in self.corrupted:
                self.corrupted.append(key)
            return None
        return entry.record

    def intact_records(self) -> Iterator[Record]:
        """Iterates over all records whose bytes match their hashes."""
        return (r for key in list(self._entries) if (r := self.get_intact(key)) is not None)

    def iterate_records(self, kind: str = "") -> Iterator[Record]:
        """Iterates over the records of one kind, or over all records, in the order of their keys."""
        first_key, end_key = ((kind, "", ""), (f"{kind}\0", "", "")) if kind else (None, None)
        for key in list(self._by_key.irange(first_key, end_key)):
            yield self._entries[key].record

    def list_firm_records(self) -> list[tuple[Record, int]]:
        """Returns all firm records with their stored hashes, including corrupted records."""
        return [(entry.record, entry.hash) for entry in self._entries.values() if not entry.record.soft]

    def get_hash(self, key: Key) -> int:
        """Returns the hash computed when the record was stored; 0 if there is no record."""
        entry = self._entries.get(key)
        return entry.hash if entry is not None else 0

    def age_us(self, now_us: int, key: Key) -> int:
        """Returns the time since a soft record was written or a firm record was last changed here. Raises
        KeyError if there is no record.
        """
        return now_us - self._entries[key].written_us

    def with_age(self, now_us: int, record: Record) -> Record:
        """Returns the record for sending; a soft record gets its current age."""
        if not record.soft:
            return record
        age_ms = max(0, self.age_us(now_us, record.key)) // US_PER_MS
        return Record(*record.key, True, record.versions, record.context, age_ms)

    def read_page(
        self, now_us: int, ranges: list[int], after: Key | None, max_bytes: int
    ) -> tuple[list[Record], Key | None]:
        """Returns a page of records of these ranges, in order, and its last key, or None if no records follow
        the page. With `after`, the first range starts after that key. A page is full once it has
        `max_bytes`.
        """
        page: list[Record] = []
        size_bytes = 0
        for index, range_number in enumerate(ranges):
            is_resumed = index == 0 and after is not None
            start = (range_number, after) if is_resumed else (range_number, ("", "", ""))
            for _, key in self._by_range.irange(
                start, (range_number + 1,), inclusive=(not is_resumed, False)
            ):
                if size_bytes >= max_bytes:
                    return page, page[-1].key
                record = self.get_intact(key)
                if record is not None:
                    page.append(self.with_age(now_us, record))
                    size_bytes += estimate_size_bytes(record)
        return page, None

    # ------------------------------------------------------------------ writing

    def put(self, now_us: int, record: Record) -> PutResult:
        """Merges a record. Raises InvalidRecordError if it is invalid."""
        validate_record(record)
        old = self._entries.get(record.key)
        return self._add(now_us, record) if old is None else self._merge(now_us, old.record, record)

    def _add(self, now_us: int, record: Record) -> PutResult:
        if record.soft and record.age_ms * US_PER_MS > self.settings.outlier_report_ttl_s * SECOND_US:
            return PutResult.EXPIRED
        if self._is_full_for(record):
            self.rejected_full += 1
            return PutResult.FULL
        self._set(now_us, record)
        return PutResult.NEW

    def _merge(self, now_us: int, old: Record, record: Record) -> PutResult:
        if old.soft is not record.soft:
            raise InvalidRecordError(
                f"record {'/'.join(record.key)}: expected soft={old.soft}, received soft={record.soft}"
            )
        if contradicts(old, record):
            return PutResult.CONTRADICTS
        merged = merge_records(old, record)
        if not self._keeps_concurrent and len(merged.versions) > 1:
            latest = merged.versions[-1:]
            merged = Record(*merged.key, merged.soft, latest, merged.context, merged.age_ms)
        if merged.versions == old.versions and merged.context == old.context:
            return PutResult.KNOWN
        self._set(now_us, merged)
        return PutResult.NEW

    def load(self, now_us: int, records: Iterable[tuple[Record, int]]) -> int:
        """Bulk-loads firm records of an earlier replica into an empty store, with their stored hashes (0:
        compute the hash now). Returns how many records were left out because the store was full.
        """
        rejected_count = 0
        range_keys: list[tuple[int, Key]] = []
        for record, known_hash in records:
            size_bytes = estimate_size_bytes(record)
            if self._exceeds_bounds(FIRM_BOUND_FACTOR, size_bytes):
                rejected_count += 1
                continue
            hash_ = known_hash or hash_record(record, self._salt)
            range_number = find_range(record.key, False)
            self._entries[record.key] = _Entry(record, hash_, size_bytes, now_us)
            self.digests.add(range_number, hash_)
            self.size_bytes += size_bytes
            range_keys.append((range_number, record.key))
        self._by_range = SortedList(range_keys)
        self._by_key = SortedList(self._entries)
        return rejected_count

    def replace(self, now_us: int, record: Record) -> None:
        """Replaces the stored record without merging. Raises InvalidRecordError if the new one is invalid."""
        validate_record(record)
        self._set(now_us, record)

    def _is_full_for(self, record: Record) -> bool:
        factor = 1 if record.soft else FIRM_BOUND_FACTOR
        return self._exceeds_bounds(factor, estimate_size_bytes(record))

    def _exceeds_bounds(self, factor: int, more_bytes: int) -> bool:
        max_bytes = factor * self.settings.max_megabytes * BYTES_PER_MEGABYTE
        is_full = len(self._entries) >= factor * self.settings.max_records
        return is_full or self.size_bytes + more_bytes > max_bytes

    def _set(self, now_us: int, record: Record) -> None:
        self.remove(record.key)
        hash_, size_bytes = hash_record(record, self._salt), estimate_size_bytes(record)
        written_us = now_us - record.age_ms * US_PER_MS
        range_number = find_range(record.key, record.soft)
        self._entries[record.key] = _Entry(record, hash_, size_bytes, written_us)
        self._by_range.add((range_number, record.key))
        self._by_key.add(record.key)
        if record.soft:
            self._soft.add(record.key)
        self.digests.add(range_number, hash_)
        self.size_bytes += size_bytes
        self.on_change(record)

    def remove(self, key: Key) -> None:
        """Removes a record without a tombstone; does nothing if there is none."""
        entry = self._entries.pop(key, None)
        if entry is None:
            return
        range_number = find_range(key, entry.record.soft)
        self._by_range.remove((range_number, key))
        self._by_key.remove(key)
        self._soft.discard(key)
        self.digests.remove(range_number, entry.hash)
        self.size_bytes -= entry.size_bytes

    def clear(self) -> None:
        """Removes all records."""
        for key in list(self._entries):
            self.remove(key)

    # ------------------------------------------------------------------ time

    def expire_records(self, now_us: int) -> None:
        """Removes soft records that have not been reported again within their time to live."""
        if not self._keeps_deletions:
            self._drop_old_deletions(now_us)
        ttl_us = self.settings.outlier_report_ttl_s * SECOND_US
        for key in [key for key in self._soft if now_us - self._entries[key].written_us > ttl_us]:
            self.remove(key)

    def _drop_old_deletions(self, now_us: int) -> None:
        """Removes old deletions at this node alone, as nodes without epochs would (for the laboratory)."""
        retention_us = self.settings.deletion_retention_s * SECOND_US
        old = [
            key
            for key, entry in self._entries.items()
            if entry.record.is_deleted and now_us - entry.written_us > retention_us
        ]
        for key in old:
            self.remove(key)

    def scrub(self, share: float) -> None:
        """Checks the next records against their stored hashes; `share` is the part of them to check."""
        range_keys = self._by_range
        for _ in range(min(len(range_keys), 1 + int(len(range_keys) * share))):
            self._scrub_index = (self._scrub_index + 1) % len(range_keys)
            self.get_intact(range_keys[self._scrub_index][1])

    def corrupt(self, key: Key) -> None:
        """Flips one bit of a record's content, as faulty memory would (for the laboratory)."""
        entry = self._entries[key]
        first, *others = entry.record.versions
        half = len(first.content) // 2
        content = first.content[:half] + bytes([first.content[half] ^ 1]) + first.content[half + 1 :]
        versions = [Version(first.actor, first.count, content, first.deleted), *others]
        entry.record = Record(*key, entry.record.soft, versions, entry.record.context)
