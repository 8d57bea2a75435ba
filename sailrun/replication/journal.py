"""Where a replica records what has to be known after a restart. This one is for nodes without a folder."""

from __future__ import annotations

from sailrun.replication.records import Key, Record


class ReplicaJournal:
    """Stores nothing; `owners/lasting.py` has a durable one. Each call states how something is from now."""

    def write_record(self, record: Record, mark: int) -> None:
        """This copy has the record so; `mark` is its hash."""

    def write_forgotten(self, key: Key) -> None:
        """The record is forgotten, as the fleet has decided."""

    def write_copy_state(self, epoch: int, whole: bool, cleared: bool = False) -> None:
        """The copy is of this epoch, and whole or not. `cleared`: all records were thrown away."""

    def write_acceptor_state(self, life: int, promised: int, lives: dict[str, int], remembers: bool) -> None:
        """What the acceptor here has promised, and knows of the voters' lives."""
