"""Rumor mongering (Demers and others 1987): a change is sent on a few times by each node that learns it."""

from __future__ import annotations

from collections import OrderedDict

from sailrun.replication.records import Key, Record, estimate_size_bytes
from sailrun.replication.store import RecordStore

# How often each node sends a change, and to how many nodes at a time.
MAX_SENDS, FANOUT = 4, 2
# What goes into one rumor; a longer record is left to the comparison of copies.
MAX_RUMOR_BYTES = 900


class GossipQueue:
    """Keys of records that are still to be sent, the newest change first."""

    def __init__(self, store: RecordStore) -> None:
        self._store = store
        self._sends: OrderedDict[Key, int] = OrderedDict()  # by key, how often it was sent

    def __bool__(self) -> bool:
        """Whether anything is to be sent."""
        return bool(self._sends)

    def add(self, record: Record, sends: int = 0) -> None:
        """Queues a change as if it had been sent so often; one that is too long for a rumor stays out."""
        if estimate_size_bytes(record) <= MAX_RUMOR_BYTES:
            self._sends[record.key] = sends
            self._sends.move_to_end(record.key, last=False)

    def discard(self, key: Key) -> None:
        """Sends the record no more."""
        self._sends.pop(key, None)

    def clear(self) -> None:
        """Sends nothing that is queued."""
        self._sends.clear()

    def take_batch(self, now_us: int, receivers: int) -> list[Record]:
        """Records for one rumor to so many receivers, at least one however long it is; soft ones have their
        age at `now_us`.
        """
        records: list[Record] = []
        size_bytes = 0
        for key in list(self._sends):
            record = self._store.get_intact(key)
            if record is None:
                del self._sends[key]
                continue
            size_bytes += estimate_size_bytes(record)
            if size_bytes > MAX_RUMOR_BYTES and records:
                break
            records.append(self._store.with_age(now_us, record))
            sends = self._sends.pop(key) + receivers
            if sends < MAX_SENDS:
                self._sends[key] = sends
        return records
