"""The journal in which a replica stores the state that must survive a restart."""

from __future__ import annotations

from sailrun.replication.records import Key, Record


class ReplicaJournal:
    """A journal that stores nothing, for nodes without a folder; `leadership/member_journal.py` has the
    durable one. Each call reports the new state.
    """

    def write_record(self, record: Record, record_hash: int) -> None:
        """Stores the current state of a record."""

    def write_removal(self, key: Key) -> None:
        """Stores that the record was removed by a decision of the fleet."""

    def write_replica_state(self, epoch: int, is_complete: bool, cleared: bool = False) -> None:
        """Stores the replica's epoch and whether it is complete. `cleared`: all records were discarded."""

    def write_acceptor_state(
        self, incarnation: int, promised_term: int, crash_vector: dict[str, int], is_recovered: bool
    ) -> None:
        """Stores the acceptor's state; see `DurableAcceptorState`."""
