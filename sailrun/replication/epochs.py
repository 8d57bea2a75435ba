"""Epochs: numbered steps in which the whole fleet removes deleted records, so that none of them can return.

The record of the latest epoch lists the versions that were removed with it. A replica advances to an epoch
only if it has the deletions of all these versions. A replica that lacks one of them may have missed other
changes too, so it is discarded and transferred again.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from sailrun.replication.journal import ReplicaJournal
from sailrun.replication.records import STRONG, Count, Key, Record, covers
from sailrun.replication.replica_state import ReplicaState
from sailrun.replication.store import RecordStore

EPOCH_RECORD_KEY: Key = ("fleet", "forgotten", "")
DeletedVersions = list[tuple[Key, str, Count]]  # key, actor and count of each version
# How many removed local writes an epoch record lists at most.
MAX_LOCAL_WRITES = 5000


class EpochRecord(msgspec.Struct, array_like=True, frozen=True):
    """The content of the record of the latest epoch: the versions that were removed with it.

    `local_writes` covers this epoch and earlier ones. For each record and actor, it has the highest count of
    the actor's local writes that were removed, so that a node that returns with local writes can tell new
    ones from removed ones.
    """

    epoch: int
    deleted_versions: DeletedVersions
    local_writes: DeletedVersions = []


def decode_epoch_record(record: Record | None) -> EpochRecord:
    """Decodes the record's content. Returns epoch 0 without a record, or if this program version cannot
    decode it.
    """
    try:
        return msgspec.msgpack.decode(record.versions[-1].content if record else b"", type=EpochRecord)
    except msgspec.MsgspecError:
        return EpochRecord(0, [])


def extract_local_writes(record: Record) -> Record | None:
    """Returns the versions of a record that are local writes and not deletions; None if there are none. The
    other versions are removed from the context too: otherwise they would count as superseded.
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
    """Advances this replica from one epoch to the next, and answers queries about deletions."""

    def __init__(
        self,
        store: RecordStore,
        copy: ReplicaState,
        journal: ReplicaJournal,
        on_removed: Callable[[Key], None],
        log_event: Callable[..., None],
    ) -> None:
        self._store, self._copy, self._journal = store, copy, journal
        self._on_removed, self._log_event = on_removed, log_event

    def get_record(self) -> Record | None:
        """Returns the record of the latest epoch, whether it is decided or not."""
        return self._store.get(EPOCH_RECORD_KEY)

    def advance(self, now_us: int, record: Record) -> bool:
        """Advances to the next epoch if this replica has all deletions that the epoch removes. Returns
        whether the replica then has the record's epoch. The record must be decided: a leader determines that
        from a majority, and other members from any member that has advanced. Holding the record is not
        enough.
        """
        epoch_record = decode_epoch_record(record)
        if epoch_record.epoch <= self._copy.epoch:
            return epoch_record.epoch == self._copy.epoch
        is_next = epoch_record.epoch == self._copy.epoch + 1
        if not is_next or not self.has_deletions(epoch_record.deleted_versions):
            return False
        for key, actor, count in epoch_record.deleted_versions:
            self._remove_deletion(key, actor, count)
        self._copy.epoch = epoch_record.epoch
        self._journal.write_replica_state(self._copy.epoch, True)
        if self.get_record() != record:
            self._store.put(now_us, record)
        records = len(epoch_record.deleted_versions)
        self._log_event("forgotten", epoch=self._copy.epoch, records=records)
        return True

    def _remove_deletion(self, key: Key, actor: str, count: Count) -> None:
        record = self._store.get(key)
        if record is not None and [v.dot for v in record.versions] == [(actor, count)] and record.is_deleted:
            self._store.remove(key)
            self._journal.write_removal(key)
            self._on_removed(key)

    def has_deletions(self, deleted_versions: DeletedVersions) -> bool:
        """Whether this replica is complete and contains each of these versions or has superseded it."""
        return self._copy.is_complete and all(
            covers(self._store.get(key), [(actor, count)]) for key, actor, count in deleted_versions
        )

    def collect_local_writes(self, deleted_versions: DeletedVersions) -> DeletedVersions:
        """Returns the `local_writes` of the next epoch record, for an epoch that removes these versions."""
        recorded = decode_epoch_record(self.get_record()).local_writes
        latest = {(key, actor): count for key, actor, count in recorded}
        for key, _, _ in deleted_versions:
            record = self._store.get(key)
            for actor, count in record.context.items() if record is not None else ():
                if actor != STRONG:
                    latest.pop((key, actor), None)  # moves the newest to the end
                    latest[key, actor] = count
        return [(key, actor, count) for (key, actor), count in latest.items()][-MAX_LOCAL_WRITES:]

    def drop_removed_versions(self, records: list[Record]) -> list[Record]:
        """Returns records of local writes without the versions that were removed with an epoch."""
        recorded = decode_epoch_record(self.get_record()).local_writes
        removed = {(key, actor): count for key, actor, count in recorded}
        remaining: list[Record] = []
        for record in records:
            versions = [v for v in record.versions if v.count > removed.get((record.key, v.actor), (-1, -1))]
            if versions:
                remaining.append(Record(*record.key, False, versions, record.context))
        return remaining
