"""Repair of single records that contradict each other at two replicas or whose bytes were corrupted here.

If two replicas have the same version with different contents, and each content matches its own hash, the
content that a majority of the voters has is the correct one. A record whose bytes no longer match the hash
computed when it was stored is dropped and received again from other members.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from sailrun.replication.messages import OutgoingMessage, RecordReply, RecordRequest
from sailrun.replication.records import Key, Record, hash_record
from sailrun.replication.store import RecordStore

SECOND_US = 1_000_000
# How often the voters are polled for the correct content of a record, and how long each poll waits for
# replies.
MAX_POLLS, POLL_US = 3, SECOND_US
# With more corrupted records than this at a time, the whole replica is discarded.
MAX_CORRUPTED = 16
# A corrupted record that no member has sent again within this time counts as lost, since no other member has
# it.
LOST_AFTER_US = 10 * SECOND_US


@dataclass(slots=True)
class _Poll:
    """A poll of the voters for the correct content of a record."""

    key: Key
    request_id: int
    deadline_us: int = 0  # for the replies; 0: no request sent yet
    records_by_voter: dict[str, Record | None] = field(default_factory=dict)
    attempts: int = 1


class RecordRepair:
    """Resolves contradicting records by majority, and tracks corrupted ones until they are received again."""

    def __init__(
        self,
        name: str,
        store: RecordStore,
        voters: Callable[[], list[str]],
        is_majority: Callable[[set[str]], bool],
        make_request_id: Callable[[], int],
        discard_replica: Callable[[int, str], None],
        log_event: Callable[..., None],
        is_enabled: bool = True,
    ) -> None:
        """`discard_replica` is called with the time and the reason if repairing single records is
        not possible.
        """
        self._name, self._store = name, store
        self._voters, self._is_majority, self._make_request_id = voters, is_majority, make_request_id
        self._discard_replica, self._log_event, self._is_enabled = discard_replica, log_event, is_enabled
        self._polls: dict[Key, _Poll] = {}
        self._lost_at_us: dict[Key, int] = {}  # when each corrupted record counts as lost
        self.repaired = 0  # records repaired since the process started

    @property
    def awaited(self) -> Collection[Key]:
        """Keys of corrupted records that were dropped here and have not been received again."""
        return self._lost_at_us.keys()

    @property
    def is_polling(self) -> bool:
        """Whether any poll of the voters is under way or about to start."""
        return bool(self._polls)

    def clear(self) -> None:
        """Stops all repairs, after the replica was discarded."""
        self._lost_at_us.clear()
        self._polls.clear()

    # ------------------------------------------------------------------ corrupted records

    def drop_corrupted(self, now_us: int) -> list[Key]:
        """Drops the detected corrupted records and returns their keys. If there are more than MAX_CORRUPTED,
        discards the whole replica instead.
        """
        corrupted, self._store.corrupted = self._store.corrupted, []
        if len(corrupted) > MAX_CORRUPTED:
            self._discard_replica(now_us, f"{len(corrupted)} records are corrupted")
            return []
        for key in corrupted:
            self._log_event("copy-spoilt", kind=key[0], subject=key[1], observer=key[2] or None)
            self._lost_at_us[key] = now_us + LOST_AFTER_US
            self._store.remove(key)
        return corrupted

    def on_received(self, record: Record) -> None:
        """Counts a received record as repaired if it was dropped as corrupted."""
        if record.key in self._lost_at_us:
            del self._lost_at_us[record.key]
            self.repaired += 1
            self._log_event("copy-mended", kind=record.kind, subject=record.subject)

    def pop_lost(self, now_us: int) -> list[Key]:
        """Returns the corrupted records that no member has sent in time, and stops waiting for them."""
        lost = [key for key, lost_at_us in self._lost_at_us.items() if now_us >= lost_at_us]
        for key in lost:
            del self._lost_at_us[key]
            self._log_event("copy-lost", kind=key[0], subject=key[1], observer=key[2] or None)
        return lost

    # ------------------------------------------------------------------ contradicting records

    def resolve_contradiction(self, key: Key) -> None:
        """Begins a poll of the voters, after another replica sent the same version with a different content.
        A soft record is removed instead.
        """
        record = self._store.get(key)
        if not self._is_enabled or key in self._polls or record is None:
            return
        self._log_event("copy-differs", kind=key[0], subject=key[1], observer=key[2] or None)
        if record.soft:
            self._store.remove(key)  # its observer will report it again
            return
        self._polls[key] = _Poll(key, self._make_request_id())

    def poll_voters(self, now_us: int) -> list[OutgoingMessage]:
        """Returns the due requests to the voters; discards the replica after MAX_POLLS polls without a
        majority.
        """
        messages: list[OutgoingMessage] = []
        voters = [name for name in self._voters() if name != self._name]
        for poll in list(self._polls.values()):
            if now_us < poll.deadline_us:
                continue
            if poll.deadline_us and poll.attempts >= MAX_POLLS:
                self._discard_replica(now_us, f"{'/'.join(poll.key)} cannot be mended")
                return []
            poll.attempts += poll.deadline_us > 0
            poll.deadline_us = now_us + POLL_US
            poll.records_by_voter.clear()
            if self._name in self._voters():
                poll.records_by_voter[self._name] = self._store.get(poll.key)
            request = RecordRequest(poll.request_id, poll.key)
            messages += [OutgoingMessage(name, request) for name in voters]
        return messages

    def on_reply(self, now_us: int, sender: str, reply: RecordReply) -> None:
        """Counts a voter's reply, and adopts the content once a majority of the voters agrees."""
        poll = self._polls.get(reply.key)
        if poll is None or poll.request_id != reply.request_id or sender not in self._voters():
            return
        poll.records_by_voter[sender] = reply.record
        voters_by_hash: dict[int, list[str]] = {}
        for name, record in poll.records_by_voter.items():
            if record is not None:
                voters_by_hash.setdefault(hash_record(record, b""), []).append(name)
        for hash_, names in voters_by_hash.items():
            if self._is_majority(set(names)):
                self._finish_poll(now_us, poll, hash_, names)
                return

    def _finish_poll(self, now_us: int, poll: _Poll, correct_hash: int, names: list[str]) -> None:
        correct = poll.records_by_voter[names[0]]
        own = self._store.get(poll.key)
        if correct is not None and (own is None or hash_record(own, b"") != correct_hash):
            self._store.replace(now_us, correct)
            self.repaired += 1
            kind, subject, _ = poll.key
            self._log_event("copy-mended", kind=kind, subject=subject, voters=",".join(names))
        del self._polls[poll.key]
