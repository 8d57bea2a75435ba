"""A write-ahead log with group commit: pending entries, the synced position and deferred replies.

Entries are numbered as they are appended; the number is their position. One batch is in flight at a time;
entries that are appended meanwhile go into the next batch, so that many writes share a sync. A reply that
makes a promise is deferred until every entry that it depends on is synced to disk. If the disk fails or takes
too long, the reply is dropped, as if the network had lost it.

Pure: the input is entries, write results and the time (microseconds); the output is batches to write (see
`writer.py`) and replies to send.
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
# Delay before writing is retried after a failure of the disk.
DISK_RETRY_US = SECOND_US
# Beyond this the oldest deferred replies are dropped.
MAX_DEFERRED_REPLIES = 10_000
# Size that is assumed for an entry that is not a record.
TYPICAL_ENTRY_BYTES = 120

# Opaque to this module; the caller sends it once it is released.
Reply = Any


class DiskState(Enum):
    """The state of the disk. The values are part of the names of log events."""

    AVAILABLE = "able"
    SLOW = "slow"  # the batch in flight takes longer than allowed
    FAILED = "failed"  # the last batch failed


class LogEvent(NamedTuple):
    """The name and the fields of an event for the operators' log."""

    name: str
    fields: dict[str, object]


@dataclass(frozen=True, slots=True)
class WriteBatch:
    """Entries to append and sync, after which every entry up to `position` is durable.

    `state_entries` is the whole state at `position`, for a new generation. If `is_standalone` is set, that
    generation must not depend on anything written before; if `new_identity` is set, the batch begins a new
    folder.
    """

    position: int
    entries: list[Entry]
    state_entries: Iterable[Entry] | None = None
    is_standalone: bool = False
    new_identity: bytes = b""


@dataclass(frozen=True, slots=True)
class WriteResult:
    """The result of a batch: either every entry up to `position` is synced, or `error` is the reason of the
    failure and the state on disk of all entries that were not synced before is unknown.
    """

    position: int
    journal_bytes: int = 0
    error: str = ""


@dataclass(frozen=True, slots=True)
class _DeferredReply:
    position: int  # every entry up to this one has to be synced first
    reply: Reply


class WriteAheadLog:
    """The log of one folder. `position` is that of the last entry, `synced_position` that of the last entry
    known to be synced.

    The caller may set `list_state_entries`, which lists the whole state for a new generation, and
    `on_reply_dropped`. The caller has to empty `log_events`.
    """

    def __init__(
        self, settings: StorageSettings, slow_us: int, position: int, disabled_rules: frozenset[str]
    ) -> None:
        """If a batch takes longer than `slow_us`, the deferred replies are dropped. `disabled_rules` are
        safety rules that the laboratory switches off.
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
        self._oldest_pending_us = -1  # when the first pending entry was appended; -1: there is none
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
            return self.position  # the next batch contains the whole state, with this entry
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
        """Drops the pending entries: the next batch contains the whole state instead."""
        self._clear_pending()
        self._needs_standalone = True

    def begin_new_folder(self, identity: bytes) -> None:
        """Makes the next batch begin a new folder of this identity, because the present one cannot be
        relied on.
        """
        self._require_standalone()
        self._drop_replies()
        self._new_identity = identity
        self._retry_us = 0

    # ------------------------------------------------------------------ replies

    def is_synced(self, position: int) -> bool:
        """Whether every entry up to `position` is synced."""
        return position <= self.synced_position or "sync" in self._disabled_rules

    def defer_reply(self, now_us: int, position: int, key: Hashable, reply: Reply) -> None:
        """Defers the reply until every entry up to `position` is synced. A later reply with the same key
        replaces it.
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
        for item in deferred.values():
            self.on_reply_dropped(item.reply)

    # ------------------------------------------------------------------ batches

    @property
    def is_disk_available(self) -> bool:
        """Whether the disk has neither failed nor become slow, so that promises can be made."""
        return self.disk_state is DiskState.AVAILABLE

    def due_us(self, now_us: int) -> int | None:
        """The time at which `tick` has to be called next; None: only after another call changes the state."""
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

    def tick(self, now_us: int) -> WriteBatch | None:
        """Returns the next batch to write, if one is due and none is in flight."""
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
        """Returns a batch of everything that is pending, due or not; None if nothing is pending or a batch
        is in flight.
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
        """Processes the result of the batch in flight; returns the replies that may be sent now."""
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
        ready = [key for key, item in self._deferred.items() if item.position <= self.synced_position]
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
