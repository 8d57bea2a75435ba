"""Repair of single records whose copies differ without a reason, or whose bytes were corrupted here.

A version that two copies hold with different contents, each sound by its own hash, is settled by the voters:
the content that a majority of them holds is right. A record whose bytes no longer fit the hash taken when
they came in is dropped and received again from others.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from sailrun.replication.messages import OutgoingMessage, RecordReply, RecordRequest
from sailrun.replication.records import Key, Record, hash_record
from sailrun.replication.store import RecordStore

SECOND_US = 1_000_000
# How often the voters are asked for the right content of a record, and how long each time.
MAX_POLLS, POLL_US = 3, SECOND_US
# With more corrupted records than this at a time, the whole copy is discarded.
MAX_CORRUPTED = 16
# A corrupted record that nobody has sent again within this was nowhere else.
LOST_AFTER_US = 10 * SECOND_US


@dataclass(slots=True)
class _Poll:
    """Which content of a record is right, as the voters have it."""

    key: Key
    request_id: int
    deadline_us: int = 0  # of the replies; 0: not asked yet
    copies: dict[str, Record | None] = field(default_factory=dict)  # by voter
    attempts: int = 1


class RecordRepair:
    """Settles disputed records and has corrupted ones sent again."""

    def __init__(
        self,
        name: str,
        store: RecordStore,
        voters: Callable[[], list[str]],
        is_majority: Callable[[set[str]], bool],
        make_request_id: Callable[[], int],
        discard_copy: Callable[[int, str], None],
        log_event: Callable[..., None],
        is_enabled: bool = True,
    ) -> None:
        """`discard_copy` is called with the time and the reason where single records cannot be repaired."""
        self._name, self._store = name, store
        self._voters, self._is_majority, self._make_request_id = voters, is_majority, make_request_id
        self._discard_copy, self._log_event, self._is_enabled = discard_copy, log_event, is_enabled
        self._polls: dict[Key, _Poll] = {}
        self._lost_at_us: dict[Key, int] = {}  # corrupted records, with when they count as lost
        self.repaired = 0  # records repaired since the start

    @property
    def awaited(self) -> Collection[Key]:
        """Corrupted records that were dropped here and not received again yet."""
        return self._lost_at_us.keys()

    @property
    def is_polling(self) -> bool:
        """Whether voters are asked, or to be asked, for a record."""
        return bool(self._polls)

    def clear(self) -> None:
        """The copy was discarded: nothing of it is to be repaired."""
        self._lost_at_us.clear()
        self._polls.clear()

    # ------------------------------------------------------------------ corrupted here

    def drop_corrupted(self, now_us: int) -> list[Key]:
        """Drops the records found corrupted, and returns them; the whole copy goes where they are many."""
        corrupted, self._store.corrupted = self._store.corrupted, []
        if len(corrupted) > MAX_CORRUPTED:
            self._discard_copy(now_us, f"{len(corrupted)} records are spoilt")
            return []
        for key in corrupted:
            self._log_event("copy-spoilt", kind=key[0], subject=key[1], observer=key[2] or None)
            self._lost_at_us[key] = now_us + LOST_AFTER_US
            self._store.remove(key)
        return corrupted

    def on_received(self, record: Record) -> None:
        """A record is new here; it may be one that was corrupted."""
        if record.key in self._lost_at_us:
            del self._lost_at_us[record.key]
            self.repaired += 1
            self._log_event("copy-mended", kind=record.kind, subject=record.subject)

    def give_up_lost(self, now_us: int) -> list[Key]:
        """The corrupted records that nobody has sent in time; they are not awaited any more."""
        lost = [key for key, lost_at_us in self._lost_at_us.items() if now_us >= lost_at_us]
        for key in lost:
            del self._lost_at_us[key]
            self._log_event("copy-lost", kind=key[0], subject=key[1], observer=key[2] or None)
        return lost

    # ------------------------------------------------------------------ disputed between copies

    def dispute(self, key: Key) -> None:
        """Another copy has the same version with another content: the voters are to be asked."""
        record = self._store.get(key)
        if not self._is_enabled or key in self._polls or record is None:
            return
        self._log_event("copy-differs", kind=key[0], subject=key[1], observer=key[2] or None)
        if record.soft:
            self._store.remove(key)  # its observer reports it again
            return
        self._polls[key] = _Poll(key, self._make_request_id())

    def poll_voters(self, now_us: int) -> list[OutgoingMessage]:
        """Requests for disputed records that are due; discards the copy where no majority agrees."""
        messages: list[OutgoingMessage] = []
        voters = [name for name in self._voters() if name != self._name]
        for poll in list(self._polls.values()):
            if now_us < poll.deadline_us:
                continue
            if poll.deadline_us and poll.attempts >= MAX_POLLS:
                self._discard_copy(now_us, f"{'/'.join(poll.key)} cannot be mended")
                return []
            poll.attempts += poll.deadline_us > 0
            poll.deadline_us = now_us + POLL_US
            poll.copies.clear()
            if self._name in self._voters():
                poll.copies[self._name] = self._store.get(poll.key)
            request = RecordRequest(poll.request_id, poll.key)
            messages += [OutgoingMessage(name, request) for name in voters]
        return messages

    def on_reply(self, now_us: int, sender: str, reply: RecordReply) -> None:
        """Counts a voter's copy, and takes the content that a majority holds."""
        poll = self._polls.get(reply.key)
        if poll is None or poll.request_id != reply.request_id or sender not in self._voters():
            return
        poll.copies[sender] = reply.record
        voters_by_hash: dict[int, list[str]] = {}
        for name, record in poll.copies.items():
            if record is not None:
                voters_by_hash.setdefault(hash_record(record, b""), []).append(name)
        for hash_, names in voters_by_hash.items():
            if self._is_majority(set(names)):
                self._settle(now_us, poll, hash_, names)
                return

    def _settle(self, now_us: int, poll: _Poll, right_hash: int, names: list[str]) -> None:
        right = poll.copies[names[0]]
        mine = self._store.get(poll.key)
        if right is not None and (mine is None or hash_record(mine, b"") != right_hash):
            self._store.replace(now_us, right)
            self.repaired += 1
            kind, subject, _ = poll.key
            self._log_event("copy-mended", kind=kind, subject=subject, voters=",".join(names))
        del self._polls[poll.key]
