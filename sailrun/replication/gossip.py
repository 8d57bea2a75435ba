"""Rumor mongering (Demers and others 1987): each node that receives a change forwards it a few times."""

from __future__ import annotations

from collections import OrderedDict

from sailrun.replication.records import Key, Record, estimate_size_bytes
from sailrun.replication.store import RecordStore

# How often each node sends a change in total, and to how many nodes at a time.
MAX_SENDS, FANOUT = 4, 2
# The maximum size of the records of one rumor; longer records spread by comparison of replicas only.
MAX_RUMOR_BYTES = 900


class GossipQueue:
    """The keys of records to send, the newest change first."""

    def __init__(self, store: RecordStore) -> None:
        self._store = store
        self._sends: OrderedDict[Key, int] = OrderedDict()  # how often each record was sent, by key

    def __bool__(self) -> bool:
        """Whether records are queued."""
        return bool(self._sends)

    def add(self, record: Record, sends: int = 0) -> None:
        """Queues a change as if it had been sent `sends` times; ignores records that are too long for a
        rumor.
        """
        if estimate_size_bytes(record) <= MAX_RUMOR_BYTES:
            self._sends[record.key] = sends
            self._sends.move_to_end(record.key, last=False)

    def discard(self, key: Key) -> None:
        """Removes the record from the queue."""
        self._sends.pop(key, None)

    def clear(self) -> None:
        """Empties the queue."""
        self._sends.clear()

    def take_batch(self, now_us: int, receivers: int) -> list[Record]:
        """Returns the records of one rumor to `receivers` members. The first record is included regardless of
        its size. Soft records have their age at `now_us`.
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
