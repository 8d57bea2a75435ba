"""A write-ahead log with group commit: entries not written yet, how far the disk is, and answers that wait.

Entries are numbered as they are added; the number is their position. One piece of work is with the disk at a
time; what is added meanwhile goes with the next, so that many writes share a sync. An answer that promises
something is held until everything it rests on is on the disk. Where the disk fails or takes too long the
answer is never sent, as if the network had lost it.

Pure: entries, the results of the disk and the time (microseconds) come in; work for the disk (see
`writer.py`) and answers come out.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from sailrun.replication.records import size_of
from sailrun.storage.entries import Entry, StoredRecord
from sailrun.storage.settings import MEGABYTE, StorageSettings

SECOND = 1_000_000
# A disk that has failed is tried again after this.
DISK_RETRY_US = SECOND
# Answers that wait; the oldest make room. An entry that is no record takes about this.
MAX_DEFERRED_REPLIES, TYPICAL_ENTRY_BYTES = 10_000, 120


class DiskState(Enum):
    AVAILABLE = "able"
    SLOW = "slow"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class WriteBatch:
    """For the disk: entries to append, up to `position`, and to sync. `whole`: all that holds at `position`,
    for a new generation; with `anew` that is to stand on its own, after a failure; with `identity` as another
    folder.
    """

    position: int
    entries: list[Entry]
    state_entries: Iterable[Entry] | None = None
    is_standalone: bool = False
    new_identity: bytes = b""


@dataclass(frozen=True, slots=True)
class WriteResult:
    """What became of it: up to where all is on the disk. `why`: it failed, and nothing more is known."""

    position: int
    journal_bytes: int = 0
    error: str = ""


class WriteAheadLog:
    """`whole` gives all entries that hold now, for a snapshot. `off` names safety rules that the laboratory
    switches off.
    """

    def __init__(self, terms: StorageSettings, slow_us: int, position: int, off: frozenset[str]) -> None:
        self.settings, self._slow_us, self._disabled_rules = terms, slow_us, off
        self.position = self.synced_position = position
        self.disk_state = DiskState.AVAILABLE
        self.list_state_entries: Callable[[], Iterable[Entry]] = list
        self.log_events: list[
            tuple[str, dict[str, object]]
        ] = []  # for the operator's log; the driver empties it
        self.dropped_replies = 0  # answers that were never sent
        self.on_reply_dropped: Callable[[Any], None] = lambda answer: None
        self._pending: list[Entry] = []
        self._pending_bytes = 0
        self._oldest_pending_us = -1  # when the first of them was made
        self._deferred: dict[Hashable, tuple[int, Any]] = {}  # by what: the position it waits for, the answer
        self._in_flight: WriteBatch | None = None
        self._in_flight_since_us = 0
        self._journal_bytes = 0
        self._needs_standalone = False  # the next work is to stand on its own
        self._retry_us = 0
        self._new_identity = b""
        self._now_us = 0

    # ------------------------------------------------------------------ what is written down

    def append(self, entry: Entry) -> int:
        """Notes the entry for the next work; returns its number."""
        self.position += 1
        if self._needs_standalone:
            return self.position  # all that holds is to be written
        if self._oldest_pending_us < 0:
            self._oldest_pending_us = self._now_us
        self._pending.append(entry)
        self._pending_bytes += (
            size_of(entry.record) if isinstance(entry, StoredRecord) else TYPICAL_ENTRY_BYTES
        )
        if self._pending_bytes > self.settings.queue_mb * MEGABYTE:
            self._drop_pending()
            self.log_events.append(("lasting-behind", {"megabytes": self.settings.queue_mb}))
        return self.position

    def _drop_pending(self) -> None:
        self._pending, self._pending_bytes, self._oldest_pending_us = [], 0, -1
        self._needs_standalone = True

    def begin_new_folder(self, identity: bytes) -> None:
        """The folder is older than what the fleet knows: another one is begun."""
        self._drop_pending()
        self._drop_replies()
        self._new_identity = identity
        self._retry_us = 0

    # ------------------------------------------------------------------ answers that wait

    def is_synced(self, position: int) -> bool:
        """Whether everything up to there is on the disk."""
        return position <= self.synced_position or "sync" in self._disabled_rules

    def defer_reply(self, now_us: int, position: int, key: Hashable, answer: Any) -> None:
        """Keeps an answer until all up to the position is on the disk; a later one of the same key
        instead.
        """
        self._now_us = now_us
        self._deferred.pop(key, None)
        while len(self._deferred) >= MAX_DEFERRED_REPLIES:
            self.dropped_replies += 1
            self.on_reply_dropped(self._deferred.pop(next(iter(self._deferred)))[1])
        self._deferred[key] = (position, answer)

    @property
    def is_disk_available(self) -> bool:
        """Whether the disk is quick enough to promise anything."""
        return self.disk_state is DiskState.AVAILABLE

    # ------------------------------------------------------------------ the disk

    def due_us(self, now_us: int) -> int | None:
        """When `turn` wants to be called; None: not for itself."""
        if self._in_flight is not None:
            return (
                self._in_flight_since_us + self._slow_us
                if self.disk_state is DiskState.AVAILABLE and self._deferred
                else None
            )
        if self._needs_standalone:
            return self._retry_us
        if self._deferred or self._needs_generation:
            return now_us
        return self._oldest_pending_us + int(self.settings.idle_sync_s * SECOND) if self._pending else None

    @property
    def _needs_generation(self) -> bool:
        return self._journal_bytes > self.settings.generation_mb * MEGABYTE

    def turn(self, now_us: int) -> WriteBatch | None:
        """What the disk is to do next, if it has nothing to do."""
        self._now_us = now_us
        if self._in_flight is not None:
            if (
                self.disk_state is DiskState.AVAILABLE
                and self._deferred
                and now_us - self._in_flight_since_us > self._slow_us
            ):
                self._set_disk_state(DiskState.SLOW, ms=(now_us - self._in_flight_since_us) // 1000)
                self._drop_replies()
            return None
        due_us = self.due_us(now_us)
        return self.start_batch(now_us) if due_us is not None and due_us <= now_us else None

    def start_batch(self, now_us: int) -> WriteBatch | None:
        """All that there is to write, whether it is due or not; None: there is nothing, or the disk is at
        work.
        """
        if self._in_flight is not None:
            return None
        if self._needs_standalone:
            work = WriteBatch(self.position, [], self.list_state_entries(), True, self._new_identity)
        elif self._pending or self._deferred or self._needs_generation:
            whole = self.list_state_entries() if self._needs_generation else None
            work = WriteBatch(self.position, self._pending, whole)
            if whole is not None:
                self._journal_bytes = 0
        else:
            return None
        self._pending, self._pending_bytes, self._oldest_pending_us = [], 0, -1
        self._needs_standalone = False
        self._in_flight, self._in_flight_since_us = work, now_us
        return work

    def complete_batch(self, now_us: int, done: WriteResult) -> list[Any]:
        """What became of the work; returns the answers that may go out."""
        self._now_us = now_us
        work, self._in_flight = self._in_flight, None
        if done.error:
            if self.disk_state is not DiskState.FAILED:
                self._set_disk_state(DiskState.FAILED, why=done.error)
            self._drop_replies()
            self._drop_pending()
            self._retry_us = now_us + DISK_RETRY_US
            return []
        if work is not None and work.new_identity and work.new_identity == self._new_identity:
            self._new_identity = b""
        if self.disk_state is not DiskState.AVAILABLE:
            self._set_disk_state(DiskState.AVAILABLE)
        self.synced_position, self._journal_bytes = (
            max(self.synced_position, done.position),
            done.journal_bytes,
        )
        ready = [key for key, (position, _) in self._deferred.items() if position <= self.synced_position]
        return [self._deferred.pop(key)[1] for key in ready]

    def _set_disk_state(self, disk: DiskState, **facts: object) -> None:
        self.disk_state = disk
        self.log_events.append((f"lasting-{disk.value}", facts))

    def _drop_replies(self) -> None:
        held, self._deferred = self._deferred, {}
        self.dropped_replies += len(held)
        for _, answer in held.values():
            self.on_reply_dropped(answer)
