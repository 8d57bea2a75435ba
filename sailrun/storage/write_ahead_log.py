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

from sailrun.replication.records import estimate_size_bytes
from sailrun.storage.entries import Entry, Held
from sailrun.storage.settings import MEGA, StorageSettings

SECOND = 1_000_000
# A disk that has failed is tried again after this.
AGAIN_US = SECOND
# Answers that wait; the oldest make room. An entry that is no record takes about this.
MOST_HELD, ENTRY_BYTES = 10_000, 120


class Disk(Enum):
    ABLE = "able"
    SLOW = "slow"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Work:
    """For the disk: entries to append, up to `position`, and to sync. `whole`: all that holds at `position`,
    for a new generation; with `anew` that is to stand on its own, after a failure; with `identity` as another
    folder.
    """

    position: int
    entries: list[Entry]
    whole: Iterable[Entry] | None = None
    anew: bool = False
    identity: bytes = b""


@dataclass(frozen=True, slots=True)
class Done:
    """What became of it: up to where all is on the disk. `why`: it failed, and nothing more is known."""

    position: int
    journal_bytes: int = 0
    why: str = ""


class WriteAheadLog:
    """`whole` gives all entries that hold now, for a snapshot. `off` names safety rules that the laboratory
    switches off.
    """

    def __init__(self, terms: StorageSettings, slow_us: int, position: int, off: frozenset[str]) -> None:
        self.terms, self._slow_us, self._off = terms, slow_us, off
        self.position = self.synced = position
        self.disk = Disk.ABLE
        self.whole: Callable[[], Iterable[Entry]] = list
        self.notes: list[tuple[str, dict[str, object]]] = []  # for the operator's log; the driver empties it
        self.dropped = 0  # answers that were never sent
        self.on_dropped: Callable[[Any], None] = lambda answer: None
        self._entries: list[Entry] = []
        self._bytes = 0
        self._since_us = -1  # when the first of them was made
        self._held: dict[Hashable, tuple[int, Any]] = {}  # by what: the position it waits for, the answer
        self._out: Work | None = None
        self._out_us = 0
        self._journal_bytes = 0
        self._anew = False  # the next work is to stand on its own
        self._again_us = 0
        self._identity = b""
        self._now_us = 0

    # ------------------------------------------------------------------ what is written down

    def add(self, entry: Entry) -> int:
        """Notes the entry for the next work; returns its number."""
        self.position += 1
        if self._anew:
            return self.position  # all that holds is to be written
        if self._since_us < 0:
            self._since_us = self._now_us
        self._entries.append(entry)
        self._bytes += estimate_size_bytes(entry.record) if isinstance(entry, Held) else ENTRY_BYTES
        if self._bytes > self.terms.queue_mb * MEGA:
            self._drop_entries()
            self.notes.append(("lasting-behind", {"megabytes": self.terms.queue_mb}))
        return self.position

    def _drop_entries(self) -> None:
        self._entries, self._bytes, self._since_us = [], 0, -1
        self._anew = True

    def renew(self, identity: bytes) -> None:
        """The folder is older than what the fleet knows: another one is begun."""
        self._drop_entries()
        self._drop_held()
        self._identity = identity
        self._again_us = 0

    # ------------------------------------------------------------------ answers that wait

    def ready(self, position: int) -> bool:
        """Whether everything up to there is on the disk."""
        return position <= self.synced or "sync" in self._off

    def hold(self, now_us: int, position: int, key: Hashable, answer: Any) -> None:
        """Keeps an answer until all up to the position is on the disk; a later one of the same key
        instead.
        """
        self._now_us = now_us
        self._held.pop(key, None)
        while len(self._held) >= MOST_HELD:
            self.dropped += 1
            self.on_dropped(self._held.pop(next(iter(self._held)))[1])
        self._held[key] = (position, answer)

    @property
    def able(self) -> bool:
        """Whether the disk is quick enough to promise anything."""
        return self.disk is Disk.ABLE

    # ------------------------------------------------------------------ the disk

    def due_us(self, now_us: int) -> int | None:
        """When `turn` wants to be called; None: not for itself."""
        if self._out is not None:
            return self._out_us + self._slow_us if self.disk is Disk.ABLE and self._held else None
        if self._anew:
            return self._again_us
        if self._held or self._wants_turn:
            return now_us
        return self._since_us + int(self.terms.idle_sync_s * SECOND) if self._entries else None

    @property
    def _wants_turn(self) -> bool:
        return self._journal_bytes > self.terms.generation_mb * MEGA

    def turn(self, now_us: int) -> Work | None:
        """What the disk is to do next, if it has nothing to do."""
        self._now_us = now_us
        if self._out is not None:
            if self.disk is Disk.ABLE and self._held and now_us - self._out_us > self._slow_us:
                self._turn_to(Disk.SLOW, ms=(now_us - self._out_us) // 1000)
                self._drop_held()
            return None
        due_us = self.due_us(now_us)
        return self.take(now_us) if due_us is not None and due_us <= now_us else None

    def take(self, now_us: int) -> Work | None:
        """All that there is to write, whether it is due or not; None: there is nothing, or the disk is at
        work.
        """
        if self._out is not None:
            return None
        if self._anew:
            work = Work(self.position, [], self.whole(), True, self._identity)
        elif self._entries or self._held or self._wants_turn:
            whole = self.whole() if self._wants_turn else None
            work = Work(self.position, self._entries, whole)
            if whole is not None:
                self._journal_bytes = 0
        else:
            return None
        self._entries, self._bytes, self._since_us = [], 0, -1
        self._anew = False
        self._out, self._out_us = work, now_us
        return work

    def done(self, now_us: int, done: Done) -> list[Any]:
        """What became of the work; returns the answers that may go out."""
        self._now_us = now_us
        work, self._out = self._out, None
        if done.why:
            if self.disk is not Disk.FAILED:
                self._turn_to(Disk.FAILED, why=done.why)
            self._drop_held()
            self._drop_entries()
            self._again_us = now_us + AGAIN_US
            return []
        if work is not None and work.identity and work.identity == self._identity:
            self._identity = b""
        if self.disk is not Disk.ABLE:
            self._turn_to(Disk.ABLE)
        self.synced, self._journal_bytes = max(self.synced, done.position), done.journal_bytes
        ready = [key for key, (position, _) in self._held.items() if position <= self.synced]
        return [self._held.pop(key)[1] for key in ready]

    def _turn_to(self, disk: Disk, **facts: object) -> None:
        self.disk = disk
        self.notes.append((f"lasting-{disk.value}", facts))

    def _drop_held(self) -> None:
        held, self._held = self._held, {}
        self.dropped += len(held)
        for _, answer in held.values():
            self.on_dropped(answer)
