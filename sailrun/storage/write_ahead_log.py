"""A write-ahead log with group commit: entries not yet written, how far the disk is, and deferred replies.

Entries are numbered as they are appended; the number is their position. One batch is with the disk at a time;
what is appended meanwhile goes with the next, so that many writes share a sync. A reply that promises
something is deferred until everything it rests on is on the disk. Where the disk fails or takes too long the
reply is dropped, as if the network had lost it.

Pure: entries, results of the disk and the time (microseconds) come in; batches for the disk (see `writer.py`)
and replies come out.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from sailrun.replication.records import estimate_size_bytes
from sailrun.storage.entries import Entry, StoredRecord
from sailrun.storage.settings import MEGABYTE, StorageSettings

SECOND_US = 1_000_000
# A disk that has failed is tried again after this.
DISK_RETRY_US = SECOND_US
# The oldest make room for further ones.
MAX_DEFERRED_REPLIES = 10_000
# What an entry other than a record is counted as.
TYPICAL_ENTRY_BYTES = 120

# Whatever the caller sends once it is safe to: this module never looks into it.
Reply = Any


class DiskState(Enum):
    """How the disk does. The values are part of the names of log events."""

    AVAILABLE = "able"
    SLOW = "slow"  # the batch in flight takes longer than it may
    FAILED = "failed"  # the last batch failed


class LogEvent(NamedTuple):
    """An event for the operators' log, and its fields."""

    name: str
    fields: dict[str, object]


@dataclass(frozen=True, slots=True)
class WriteBatch:
    """Work for the disk: append `entries` and sync, so that all up to `position` is on the disk.

    `state_entries`: the whole state at `position`, for a new generation. With `is_standalone` that generation
    must not rest on anything written before; with `new_identity` it belongs to a new folder.
    """

    position: int
    entries: list[Entry]
    state_entries: Iterable[Entry] | None = None
    is_standalone: bool = False
    new_identity: bytes = b""


@dataclass(frozen=True, slots=True)
class WriteResult:
    """The result of a batch: everything up to `position` is on the disk, or `error` says why it failed and
    nothing is known of what was not synced before.
    """

    position: int
    journal_bytes: int = 0
    error: str = ""


@dataclass(frozen=True, slots=True)
class _DeferredReply:
    position: int  # what has to be on the disk before
    reply: Reply


class WriteAheadLog:
    """The log of one folder. `position` is that of the last entry, `synced_position` that of the last one
    known to be on the disk.

    The caller may set `list_state_entries`, which lists the whole state for a new generation, and
    `on_reply_dropped`, and empties `log_events`.
    """

    def __init__(
        self, settings: StorageSettings, slow_us: int, position: int, disabled_rules: frozenset[str]
    ) -> None:
        """`slow_us`: a batch that takes longer costs the deferred replies. `disabled_rules`: safety rules
        that the laboratory switches off.
        """
        self.settings, self._slow_us, self._disabled_rules = settings, slow_us, disabled_rules
        self.position = self.synced_position = position
        self.disk_state = DiskState.AVAILABLE
        self.list_state_entries: Callable[[], Iterable[Entry]] = list
        self.log_events: list[LogEvent] = []
        self.dropped_replies = 0
        self.on_reply_dropped: Callable[[Reply], None] = lambda reply: None
        self._pending: list[Entry] = []
        self._pending_bytes = 0
        self._oldest_pending_us = -1  # when the first of them was appended; -1: there is none
        self._deferred: dict[Hashable, _DeferredReply] = {}
        self._in_flight: WriteBatch | None = None
        self._in_flight_since_us = 0
        self._journal_bytes = 0
        self._needs_standalone = False  # the next batch has to be a standalone generation
        self._retry_us = 0
        self._new_identity = b""
        self._now_us = 0

    # ------------------------------------------------------------------ entries

    def append(self, entry: Entry) -> int:
        """Adds the entry to the next batch; returns its position."""
        self.position += 1
        if self._needs_standalone:
            return self.position  # the next batch has the whole state
        if self._oldest_pending_us < 0:
            self._oldest_pending_us = self._now_us
        self._pending.append(entry)
        if isinstance(entry, StoredRecord):
            self._pending_bytes += estimate_size_bytes(entry.record)
        else:
            self._pending_bytes += TYPICAL_ENTRY_BYTES
        if self._pending_bytes > self.settings.queue_mb * MEGABYTE:
            self._require_standalone()
            self.log_events.append(LogEvent("lasting-behind", {"megabytes": self.settings.queue_mb}))
        return self.position

    def _clear_pending(self) -> None:
        self._pending, self._pending_bytes, self._oldest_pending_us = [], 0, -1

    def _require_standalone(self) -> None:
        """Drops the pending entries: the next batch has the whole state instead."""
        self._clear_pending()
        self._needs_standalone = True

    def begin_new_folder(self, identity: bytes) -> None:
        """The folder cannot be relied on: the next batch begins another one, of this identity."""
        self._require_standalone()
        self._drop_replies()
        self._new_identity = identity
        self._retry_us = 0

    # ------------------------------------------------------------------ replies

    def is_synced(self, position: int) -> bool:
        """Whether everything up to `position` is on the disk."""
        return position <= self.synced_position or "sync" in self._disabled_rules

    def defer_reply(self, now_us: int, position: int, key: Hashable, reply: Reply) -> None:
        """Holds the reply back until everything up to `position` is on the disk. A later reply of the same
        key takes its place.
        """
        self._now_us = now_us
        self._deferred.pop(key, None)
        while len(self._deferred) >= MAX_DEFERRED_REPLIES:
            self.dropped_replies += 1
            self.on_reply_dropped(self._deferred.pop(next(iter(self._deferred))).reply)
        self._deferred[key] = _DeferredReply(position, reply)

    def _drop_replies(self) -> None:
        deferred, self._deferred = self._deferred, {}
        self.dropped_replies += len(deferred)
        for one in deferred.values():
            self.on_reply_dropped(one.reply)

    # ------------------------------------------------------------------ the disk

    @property
    def is_disk_available(self) -> bool:
        """Whether the disk is quick enough to promise anything."""
        return self.disk_state is DiskState.AVAILABLE

    def due_us(self, now_us: int) -> int | None:
        """When `turn` is to be called next; None: not before something happens."""
        if self._in_flight is not None:
            is_watched = self.is_disk_available and self._deferred
            return self._in_flight_since_us + self._slow_us if is_watched else None
        if self._needs_standalone:
            return self._retry_us
        if self._deferred or self._needs_generation:
            return now_us
        if self._pending:
            return self._oldest_pending_us + int(self.settings.idle_sync_s * SECOND_US)
        return None

    @property
    def _needs_generation(self) -> bool:
        return self._journal_bytes > self.settings.generation_mb * MEGABYTE

    def turn(self, now_us: int) -> WriteBatch | None:
        """The next batch for the disk, if one is due and none is in flight."""
        self._now_us = now_us
        if self._in_flight is not None:
            self._check_latency(now_us)
            return None
        due_us = self.due_us(now_us)
        return self.start_batch(now_us) if due_us is not None and due_us <= now_us else None

    def _check_latency(self, now_us: int) -> None:
        taken_us = now_us - self._in_flight_since_us
        if self.is_disk_available and self._deferred and taken_us > self._slow_us:
            self._set_disk_state(DiskState.SLOW, ms=taken_us // 1000)
            self._drop_replies()

    def start_batch(self, now_us: int) -> WriteBatch | None:
        """Everything that there is to write, whether it is due or not; None: there is nothing, or a batch is
        in flight.
        """
        if self._in_flight is not None:
            return None
        batch = self._build_batch()
        if batch is not None:
            self._clear_pending()
            self._needs_standalone = False
            self._in_flight, self._in_flight_since_us = batch, now_us
        return batch

    def _build_batch(self) -> WriteBatch | None:
        if self._needs_standalone:
            return WriteBatch(self.position, [], self.list_state_entries(), True, self._new_identity)
        if self._needs_generation:
            state_entries = self.list_state_entries()
            self._journal_bytes = 0
            return WriteBatch(self.position, self._pending, state_entries)
        if self._pending or self._deferred:
            return WriteBatch(self.position, self._pending)
        return None

    def complete_batch(self, now_us: int, result: WriteResult) -> list[Reply]:
        """Takes the result of the batch in flight; returns the replies that may be sent."""
        self._now_us = now_us
        batch, self._in_flight = self._in_flight, None
        if result.error:
            self._on_failure(now_us, result.error)
            return []
        if batch is not None and batch.new_identity and batch.new_identity == self._new_identity:
            self._new_identity = b""
        if not self.is_disk_available:
            self._set_disk_state(DiskState.AVAILABLE)
        self.synced_position = max(self.synced_position, result.position)
        self._journal_bytes = result.journal_bytes
        ready = [key for key, one in self._deferred.items() if one.position <= self.synced_position]
        return [self._deferred.pop(key).reply for key in ready]

    def _on_failure(self, now_us: int, error: str) -> None:
        if self.disk_state is not DiskState.FAILED:
            self._set_disk_state(DiskState.FAILED, why=error)
        self._drop_replies()
        self._require_standalone()
        self._retry_us = now_us + DISK_RETRY_US

    def _set_disk_state(self, state: DiskState, **fields: object) -> None:
        self.disk_state = state
        self.log_events.append(LogEvent(f"lasting-{state.value}", fields))
