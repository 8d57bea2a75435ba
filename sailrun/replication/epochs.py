"""Epochs: deleted records are forgotten by the whole fleet together, so that none of them can come back.

The record of the latest epoch lists what was forgotten with it. A copy goes on to an epoch only if it knows
that all of it was deleted; a copy that does not cannot know what else it has missed, and is taken anew.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from sailrun.replication.copy_state import CopyState
from sailrun.replication.journal import ReplicaJournal
from sailrun.replication.records import STRONG, Count, Key, Record, covers
from sailrun.replication.store import RecordStore

EPOCH_RECORD_KEY: Key = ("fleet", "forgotten", "")
DeletedVersions = list[tuple[Key, str, Count]]
# How many local writes that were forgotten are remembered.
MAX_LOCAL_WRITES = 5000


class EpochRecord(msgspec.Struct, array_like=True, frozen=True):
    """The content of the record of the latest epoch: the versions that were forgotten with it.

    `local_writes`: with this epoch and those before, up to which count of a node's local writes of a record
    went with it, so that a node that returns with other local writes can distinguish them from these.
    """

    epoch: int
    deleted_versions: DeletedVersions
    local_writes: DeletedVersions = []


def decode_epoch_record(record: Record | None) -> EpochRecord:
    """The record's content; that of epoch 0 if there is no record, or none that this version can read."""
    try:
        return msgspec.msgpack.decode(record.versions[-1].content if record else b"", type=EpochRecord)
    except msgspec.MsgspecError:
        return EpochRecord(0, [])


def extract_local_writes(record: Record) -> Record | None:
    """The part of a record that no leader wrote and nobody deleted, with the context of its writers; None:
    there is none. What is left out leaves the context as well: else it would count as superseded.
    """
    local = [v for v in record.versions if v.actor != STRONG and not v.deleted]
    if record.soft or not local:
        return None
    context = dict(record.context)
    for version in record.versions:
        if version not in local:
            context[version.actor] = (version.count[0], version.count[1] - 1)
    return Record(*record.key, False, local, context)


class EpochTracker:
    """Takes this copy from one epoch to the next, and answers what it knows of deletions."""

    def __init__(
        self,
        store: RecordStore,
        copy: CopyState,
        journal: ReplicaJournal,
        on_forgotten: Callable[[Key], None],
        log_event: Callable[..., None],
    ) -> None:
        self._store, self._copy, self._journal = store, copy, journal
        self._on_forgotten, self._log_event = on_forgotten, log_event

    def get_record(self) -> Record | None:
        """The record of the latest epoch, decided or not."""
        return self._store.get(EPOCH_RECORD_KEY)

    def advance(self, now_us: int, record: Record) -> bool:
        """Goes on to the next epoch if this copy knows that everything forgotten with it was deleted; returns
        whether the copy is of the record's epoch then. To hold the record is no reason to go on: it has to be
        decided, which a leader knows from a majority, and others from any member that has gone on.
        """
        epoch_record = decode_epoch_record(record)
        if epoch_record.epoch <= self._copy.epoch:
            return epoch_record.epoch == self._copy.epoch
        is_next = epoch_record.epoch == self._copy.epoch + 1
        if not is_next or not self.knows_deletions(epoch_record.deleted_versions):
            return False
        for key, actor, count in epoch_record.deleted_versions:
            self._forget(key, actor, count)
        self._copy.epoch = epoch_record.epoch
        self._journal.write_copy_state(self._copy.epoch, True)
        if self.get_record() != record:
            self._store.put(now_us, record)
        records = len(epoch_record.deleted_versions)
        self._log_event("forgotten", epoch=self._copy.epoch, records=records)
        return True

    def _forget(self, key: Key, actor: str, count: Count) -> None:
        known = self._store.get(key)
        if known is not None and [v.dot for v in known.versions] == [(actor, count)] and known.is_deleted:
            self._store.remove(key)
            self._journal.write_forgotten(key)
            self._on_forgotten(key)

    def knows_deletions(self, deleted_versions: DeletedVersions) -> bool:
        """Whether this copy is complete and knows all these versions, or what superseded them."""
        return self._copy.is_complete and all(
            covers(self._store.get(key), [(actor, count)]) for key, actor, count in deleted_versions
        )

    def collect_local_writes(self, deleted_versions: DeletedVersions) -> DeletedVersions:
        """The local writes that the next epoch has to remember, if these versions go with it."""
        remembered = decode_epoch_record(self.get_record()).local_writes
        latest = {(key, actor): count for key, actor, count in remembered}
        for key, _, _ in deleted_versions:
            record = self._store.get(key)
            for actor, count in record.context.items() if record is not None else ():
                if actor != STRONG:
                    latest.pop((key, actor), None)  # so that the newest stand last
                    latest[key, actor] = count
        return [(key, actor, count) for (key, actor), count in latest.items()][-MAX_LOCAL_WRITES:]

    def drop_forgotten_versions(self, records: list[Record]) -> list[Record]:
        """These records of local writes without the versions that were forgotten with an epoch."""
        remembered = decode_epoch_record(self.get_record()).local_writes
        forgotten = {(key, actor): count for key, actor, count in remembered}
        left: list[Record] = []
        for record in records:
            versions = [
                v for v in record.versions if v.count > forgotten.get((record.key, v.actor), (-1, -1))
            ]
            if versions:
                left.append(Record(*record.key, False, versions, record.context))
        return left
