"""Where a replica records what has to be known after a restart."""

from __future__ import annotations

from sailrun.replication.records import Key, Record


class ReplicaJournal:
    """Stores nothing: for nodes without a folder. `leadership/member_journal.py` has a durable one. Each call
    states how something is from now on.
    """

    def write_record(self, record: Record, record_hash: int) -> None:
        """This copy has the record so."""

    def write_forgotten(self, key: Key) -> None:
        """The record is forgotten, as the fleet has decided."""

    def write_copy_state(self, epoch: int, is_complete: bool, cleared: bool = False) -> None:
        """The copy is of this epoch, and complete or not. `cleared`: all records were discarded."""

    def write_acceptor_state(
        self, incarnation: int, promised_term: int, crash_vector: dict[str, int], is_recovered: bool
    ) -> None:
        """What the acceptor here has promised, and knows of the voters' incarnations."""
