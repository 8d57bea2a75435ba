"""One node's copy: records by key, within bounds, with digests and a check of its own for corrupted bytes.

Pure. Firm records stay until they are deleted and forgotten; soft ones expire unless they are reported again.
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
# Firm records may take the settings' bounds this many times over: marks get in where reports no longer do.
FIRM_BOUND_FACTOR = 2


class PutResult(Enum):
    """What became of a record that came in."""

    NEW = "new"  # this copy knows more than before
    KNOWN = "known"
    CONTRADICTS = "differs"  # the same version with another content: nothing was taken
    EXPIRED = "old"  # a soft record past its time
    FULL = "full"


@dataclass(slots=True)
class _Entry:
    record: Record
    hash: int  # taken when the record came in
    size_bytes: int
    written_us: int  # when it was written, by this node's clock; of a firm one, when it came to be so here


class RecordStore:
    """The records of one copy."""

    def __init__(
        self, settings: ReplicationSettings, salt: bytes, disabled_rules: frozenset[str] = frozenset()
    ) -> None:
        """`salt` is the fleet's own, so that copies of two fleets never look alike. `disabled_rules` are
        safety rules that the laboratory switches off.
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
        self.corrupted: list[Key] = []  # found so far; emptied by whoever drives this
        self.rejected_full = 0  # records there was no room for
        self._scrub_place = 0
        self.on_change: Callable[[Record], None] = lambda record: None

    def __len__(self) -> int:
        """How many records there are."""
        return len(self._entries)

    # ------------------------------------------------------------------ reading

    def get(self, key: Key) -> Record | None:
        """The record as it is held."""
        entry = self._entries.get(key)
        return entry.record if entry is not None else None

    def get_intact(self, key: Key) -> Record | None:
        """The record as it may go out; None, and noted: its bytes do not fit its hash any more."""
        entry = self._entries.get(key)
        if entry is None:
            return None
        if self._checks_hashes and hash_record(entry.record, self._salt) != entry.hash:
            if key not in self.corrupted:
                self.corrupted.append(key)
            return None
        return entry.record

    def intact_records(self) -> Iterator[Record]:
        """All records whose bytes are as they came in."""
        return (r for key in list(self._entries) if (r := self.get_intact(key)) is not None)

    def iterate_records(self, kind: str = "") -> Iterator[Record]:
        """Records in the order of their keys; of one kind, or all."""
        least, most = ((kind, "", ""), (f"{kind}\0", "", "")) if kind else (None, None)
        for key in list(self._by_key.irange(least, most)):
            yield self._entries[key].record

    def list_firm_records(self) -> list[tuple[Record, int]]:
        """All firm records with their hashes, corrupted or not."""
        return [(entry.record, entry.hash) for entry in self._entries.values() if not entry.record.soft]

    def get_hash(self, key: Key) -> int:
        """The hash that was taken of a record when it came in; 0: there is none."""
        entry = self._entries.get(key)
        return entry.hash if entry is not None else 0

    def age_us(self, now_us: int, key: Key) -> int:
        """How long ago the record was written, or came to be so here. Raises KeyError if there is none."""
        return now_us - self._entries[key].written_us

    def with_age(self, now_us: int, record: Record) -> Record:
        """The record as it goes out: a soft one with its age."""
        if not record.soft:
            return record
        age_ms = max(0, self.age_us(now_us, record.key)) // US_PER_MS
        return Record(*record.key, True, record.versions, record.context, age_ms)

    def read_page(
        self, now_us: int, ranges: list[int], after: Key | None, max_bytes: int
    ) -> tuple[list[Record], Key | None]:
        """Records of these ranges in their order, and the key where the page ends; None: nothing follows.
        `after`: of the first range, only what follows that key. A page is full once it has `max_bytes`.
        """
        page: list[Record] = []
        size_bytes = 0
        for place, number in enumerate(ranges):
            is_resumed = place == 0 and after is not None
            least = (number, after) if is_resumed else (number, ("", "", ""))
            for _, key in self._by_range.irange(least, (number + 1,), inclusive=(not is_resumed, False)):
                if size_bytes >= max_bytes:
                    return page, page[-1].key
                record = self.get_intact(key)
                if record is not None:
                    page.append(self.with_age(now_us, record))
                    size_bytes += estimate_size_bytes(record)
        return page, None

    # ------------------------------------------------------------------ writing

    def put(self, now_us: int, record: Record) -> PutResult:
        """Merges a record. Raises InvalidRecordError for one that is none."""
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
            raise InvalidRecordError(f"{record.kind}: soft at one node, firm at another")
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
        """Fills an empty copy with many firm records at once that a copy held before, with the hashes taken
        then (0: taken now); returns how many there was no room for.
        """
        left_out = 0
        places: list[tuple[int, Key]] = []
        for record, known_hash in records:
            size_bytes = estimate_size_bytes(record)
            if self._exceeds_bounds(FIRM_BOUND_FACTOR, size_bytes):
                left_out += 1
                continue
            hash_ = known_hash or hash_record(record, self._salt)
            number = find_range(record.key, False)
            self._entries[record.key] = _Entry(record, hash_, size_bytes, now_us)
            self.digests.add(number, hash_)
            self.size_bytes += size_bytes
            places.append((number, record.key))
        self._by_range = SortedList(places)
        self._by_key = SortedList(self._entries)
        return left_out

    def replace(self, now_us: int, record: Record) -> None:
        """Takes this record instead of what is held. Raises InvalidRecordError for one that is none."""
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
        number = find_range(record.key, record.soft)
        self._entries[record.key] = _Entry(record, hash_, size_bytes, written_us)
        self._by_range.add((number, record.key))
        self._by_key.add(record.key)
        if record.soft:
            self._soft.add(record.key)
        self.digests.add(number, hash_)
        self.size_bytes += size_bytes
        self.on_change(record)

    def remove(self, key: Key) -> None:
        """Forgets a record, so that it is as if it had never been; nothing if there is none."""
        entry = self._entries.pop(key, None)
        if entry is None:
            return
        number = find_range(key, entry.record.soft)
        self._by_range.remove((number, key))
        self._by_key.remove(key)
        self._soft.discard(key)
        self.digests.remove(number, entry.hash)
        self.size_bytes -= entry.size_bytes

    def clear(self) -> None:
        """Forgets all records."""
        for key in list(self._entries):
            self.remove(key)

    # ------------------------------------------------------------------ time

    def expire_records(self, now_us: int) -> None:
        """Drops soft records that nobody has reported again."""
        if not self._keeps_deletions:
            self._drop_old_deletions(now_us)
        ttl_us = self.settings.outlier_report_ttl_s * SECOND_US
        for key in [key for key in self._soft if now_us - self._entries[key].written_us > ttl_us]:
            self.remove(key)

    def _drop_old_deletions(self, now_us: int) -> None:
        """What a node without epochs would do: each forgets deletions for itself."""
        retention_us = self.settings.deletion_retention_s * SECOND_US
        old = [
            key
            for key, entry in self._entries.items()
            if entry.record.is_deleted and now_us - entry.written_us > retention_us
        ]
        for key in old:
            self.remove(key)

    def scrub(self, share: float) -> None:
        """Checks this share of the records, in turn, against the hashes taken when they came in."""
        places = self._by_range
        for _ in range(min(len(places), 1 + int(len(places) * share))):
            self._scrub_place = (self._scrub_place + 1) % len(places)
            self.get_intact(places[self._scrub_place][1])

    def corrupt(self, key: Key) -> None:
        """For the laboratory: flips one bit of a record's content, as bad memory would."""
        entry = self._entries[key]
        first, *others = entry.record.versions
        half = len(first.content) // 2
        content = first.content[:half] + bytes([first.content[half] ^ 1]) + first.content[half + 1 :]
        versions = [Version(first.actor, first.count, content, first.deleted), *others]
        entry.record = Record(*key, entry.record.soft, versions, entry.record.context)
