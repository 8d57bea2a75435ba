"""Converts a member's durable state to journal entries, and back at a start.

This module does no I/O. The write-ahead log tracks which entries are on the disk; `storage/freshness.py`
determines whether the folder is the newest version.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import chain

from sailrun.leadership.voter import GrantedLease, Voter
from sailrun.replication.journal import ReplicaJournal
from sailrun.replication.records import Key, Record
from sailrun.replication.replica import Replica
from sailrun.storage import entries as e
from sailrun.storage.persisted_state import PersistedState
from sailrun.storage.write_ahead_log import WriteAheadLog


@dataclass(slots=True)
class MemberFolder:
    """An opened storage folder: the state that was read, and the log that is written from now on.
    `is_intact`: as far as the folder itself can tell, it has everything that was ever synced to it.
    """

    write_ahead_log: WriteAheadLog
    identity: str
    state: PersistedState
    is_intact: bool
    found_position: int  # the journal position up to which the folder was read
    wall_s: float  # when the folder was restored, in Unix seconds
    generate_identity: Callable[[], str]


class MemberJournal(ReplicaJournal):
    """Journals the changes of all parts of a member; discards them until a write-ahead log is set."""

    def __init__(self) -> None:
        self.write_ahead_log: WriteAheadLog | None = None

    def _add(self, entry: e.Entry) -> int:
        return self.write_ahead_log.append(entry) if self.write_ahead_log is not None else 0

    def write_record(self, record: Record, record_hash: int) -> None:
        """Journals a stored record of the replica with its hash."""
        self._add(e.StoredRecord(record, record_hash))

    def write_removal(self, key: Key) -> None:
        """Journals the deletion of a record of the replica."""
        self._add(e.DeletedRecord(key))

    def write_replica_state(self, epoch: int, is_complete: bool, cleared: bool = False) -> None:
        """Journals the replica's epoch, whether it is complete, and whether it was cleared."""
        self._add(e.ReplicaStatus(epoch, is_complete, cleared))

    def write_acceptor_state(
        self, incarnation: int, promised_term: int, crash_vector: dict[str, int], is_recovered: bool
    ) -> None:
        """Journals the state of the replica's acceptor."""
        self._add(e.AcceptorState(incarnation, promised_term, crash_vector, is_recovered))

    def record_grant(self, task: str, grant: GrantedLease) -> int:
        """Journals a lease that this voter granted; returns the entry's position."""
        return self._add(granted_lease_entry(task, grant))

    def record_observed_term(self, task: str, term: int) -> int:
        """Journals a term of a task that this voter observed; returns the entry's position."""
        return self._add(e.TermFloor(task, term))

    def record_voter_state(self, remembers: bool) -> int:
        """Journals whether the folder has every grant of this voter; returns the entry's position."""
        return self._add(e.VoterState(remembers))

    def record_peer_version(self, version: e.PeerFolderVersion) -> None:
        """Journals the position that another voter's folder has reached."""
        self._add(version)

    def record_process_start(self, incarnation: int, wall_s: float) -> int:
        """Journals the start of a process at a Unix time in seconds; returns the entry's position."""
        return self._add(e.ProcessStarted(incarnation, wall_s))

    def record_drain_completed(self, name: str) -> int:
        """Journals that this node completed its part in a rolling drain; returns the entry's position."""
        return self._add(e.DrainCompleted(name))

    def record_drain_plan(self, name: str, stay_empty_us: int, nodes: list[str]) -> None:
        """Journals a rolling drain that was started here; an empty `nodes` states that it is over."""
        self._add(e.DrainPlan(name, stay_empty_us, nodes))


def granted_lease_entry(task: str, grant: GrantedLease) -> e.LeaseGrant:
    """Returns a voter's grant as a journal entry."""
    return e.LeaseGrant(
        task, grant.term, grant.holder, grant.process_number, grant.highest_term, grant.is_released
    )


def restore_granted_leases(state: PersistedState) -> dict[str, GrantedLease]:
    """Returns the voter's grants from the persisted state, with their expiry unset."""
    return {
        task: GrantedLease(
            grant.term,
            grant.holder,
            grant.incarnation,
            0,
            grant.is_released,
            max(grant.highest_term, grant.term),
        )
        for task, grant in state.grants.items()
    }


def voter_entries(voter: Voter) -> Iterator[e.Entry]:
    """Yields the entries that a voter needs after a restart."""
    yield e.VoterState(voter.remembers or voter.may_remember)
    yield from (granted_lease_entry(task, grant) for task, grant in voter.granted_leases().items())
    yield from (e.TermFloor(task, term) for task, term in voter.observed_terms().items())


def replica_entries(replica: Replica) -> Iterable[e.Entry]:
    """Returns the entries of the replica's current state; they may be iterated later on another thread."""
    status = [e.ReplicaStatus(replica.anti_entropy.copy.epoch, replica.anti_entropy.copy.is_complete)]
    acceptor_state = (
        [e.AcceptorState(*replica.acceptor.get_durable_state())] if replica.acceptor is not None else []
    )
    records = replica.store.list_firm_records()
    return chain(
        status, acceptor_state, (e.StoredRecord(record, record_hash) for record, record_hash in records)
    )
