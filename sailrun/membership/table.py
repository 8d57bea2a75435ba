"""The membership table: one record for each known member, and sets and digests derived from the records."""

from __future__ import annotations

import bisect
import random
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

from sailrun.membership.dissemination import UpdateQueue
from sailrun.membership.messages import MemberRecord, MemberState

# Two tables are compared by the digests of this many ranges of names.
RANGE_COUNT = 16


@dataclass(slots=True)
class Suspicion:
    """The suspicion of a member: the members that suspect it, and when it is declared dead (`ends_us`)."""

    started_us: int
    accusers: set[str]
    ends_us: int = 0


@dataclass(slots=True)
class MemberEntry:
    """A member's record, the time at which it got its state, and the latest suspicion."""

    record: MemberRecord
    since_us: int
    suspicion: Suspicion | None = None

    @property
    def record_to_refute(self) -> MemberRecord | None:
        """The record to send to the member so that it can refute it; None: the member is known as alive."""
        return self.record if self.record.state is not MemberState.ALIVE else None


class MembershipTable:
    """Stores every known member by name. Each stored record is queued for dissemination in `updates`."""

    def __init__(self, own_record: MemberRecord, now_us: int) -> None:
        self.own_name = own_record.name
        self.updates = UpdateQueue()
        # Increases whenever the set of living members changes, or the zone, region or role of one.
        self.living_version = 0
        self._entries = {own_record.name: MemberEntry(own_record, now_us)}
        self._living_names = [own_record.name]  # sorted
        self._suspect_names: set[str] = set()
        self._ended_names: set[str] = set()
        # By range of names: the checksums of the range's records, combined by exclusive or.
        self._range_digests = [0] * RANGE_COUNT
        self._range_digests[range_of(own_record.name)] = _checksum(own_record)

    def __len__(self) -> int:
        return len(self._entries)

    # ------------------------------------------------------------------ queries

    def find(self, name: str) -> MemberEntry | None:
        """Returns the member's entry; None: the name is not known."""
        return self._entries.get(name)

    def find_record(self, name: str) -> MemberRecord | None:
        """Returns the member's record; None: the name is not known."""
        entry = self._entries.get(name)
        return entry.record if entry is not None else None

    def record_of(self, name: str) -> MemberRecord:
        """Returns the record of a known member; raises KeyError for any other name."""
        return self._entries[name].record

    def is_living(self, name: str) -> bool:
        """Whether the member is known, is not dead and has not left."""
        record = self.find_record(name)
        return record is not None and record.state.is_living

    @property
    def names(self) -> list[str]:
        """All known names, sorted."""
        return sorted(self._entries)

    @property
    def living_names(self) -> list[str]:
        """Names of the living members, sorted; the caller must not change the list."""
        return self._living_names

    def entries(self) -> list[MemberEntry]:
        """Returns all entries, sorted by name."""
        return [entry for _, entry in sorted(self._entries.items())]

    def suspects(self) -> list[MemberEntry]:
        """Returns the entries of suspected members, sorted by name."""
        return [self._entries[name] for name in sorted(self._suspect_names)]

    def suspicions(self) -> Iterator[Suspicion]:
        """Yields the current suspicions, in no particular order."""
        for name in self._suspect_names:
            suspicion = self._entries[name].suspicion
            if suspicion is not None:
                yield suspicion

    def ended(self) -> list[MemberEntry]:
        """Returns the entries of members that are dead or have left, sorted by name."""
        return [self._entries[name] for name in sorted(self._ended_names)]

    def addresses(self) -> set[str]:
        """Returns the addresses of all known members."""
        return {entry.record.address for entry in self._entries.values()}

    def sample_peers(self, random_source: random.Random, count: int, *excluded: str) -> list[MemberRecord]:
        """Returns up to `count` random living members, except this one and those excluded."""
        sample_size = min(count + 1 + len(excluded), len(self._living_names))
        sample = random_source.sample(self._living_names, sample_size)
        names = [name for name in sample if name != self.own_name and name not in excluded]
        return [self._entries[name].record for name in names[:count]]

    # ------------------------------------------------------------------ digests

    @property
    def range_digests(self) -> list[int]:
        """A copy of the digests by range of names."""
        return list(self._range_digests)

    def compute_digest(self) -> int:
        """Returns a digest of all records, which is equal for equal tables."""
        return zlib.crc32(repr(self._range_digests).encode())

    # ------------------------------------------------------------------ changes

    def store(self, now_us: int, record: MemberRecord) -> MemberEntry:
        """Replaces the member's record and queues it for dissemination. Another process under the same name
        gets a new entry.
        """
        entry = self._entries.get(record.name)
        before = entry.record if entry is not None else None
        if entry is None or entry.record.life != record.life:
            entry = self._entries[record.name] = MemberEntry(record, now_us)
        elif entry.record.state is not record.state:
            entry.since_us = now_us
        entry.record = record
        self._update_derived(record.name, before, record)
        self.updates.enqueue(record.name)
        return entry

    def remove(self, name: str) -> None:
        """Removes a member; raises KeyError if the name is not known."""
        self._update_derived(name, self._entries.pop(name).record, None)
        self.updates.discard(name)

    def _update_derived(self, name: str, before: MemberRecord | None, after: MemberRecord | None) -> None:
        """Updates the digests, the sets of names and the version for one replaced record."""
        for record in (before, after):
            if record is not None:
                self._range_digests[range_of(name)] ^= _checksum(record)
        self._suspect_names.discard(name)
        self._ended_names.discard(name)
        if after is not None and after.state is MemberState.SUSPECT:
            self._suspect_names.add(name)
        elif after is not None and after.state.has_ended:
            self._ended_names.add(name)
        was_living = before is not None and before.state.is_living
        is_living = after is not None and after.state.is_living
        if is_living and not was_living:
            bisect.insort(self._living_names, name)
        elif was_living and not is_living:
            self._living_names.remove(name)
        placement_changed = (
            before is not None and after is not None and _placement_fields(before) != _placement_fields(after)
        )
        if is_living is not was_living or placement_changed:
            self.living_version += 1


def range_of(name: str) -> int:
    """Returns the range that a name belongs to, from 0 to RANGE_COUNT - 1."""
    return zlib.crc32(name.encode()) % RANGE_COUNT


def _checksum(record: MemberRecord) -> int:
    return zlib.crc32(f"{record.name},{record.life},{record.incarnation},{int(record.state)}".encode())


def _placement_fields(record: MemberRecord) -> tuple[str, str, str]:
    """Returns the fields that determine the tasks and shards a member may be given."""
    return record.zone, record.region, record.role
