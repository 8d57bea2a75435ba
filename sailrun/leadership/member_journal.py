"""A member's durable state: what of it is journalled, and what is taken up again at a start.

Pure. The write-ahead log knows what is on the disk; the standing, whether the folder is the newest there is.
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
    """A folder that was opened: what it held, and what is written to it from now on. `sound`: as far as the
    folder itself can tell, it holds all that was ever promised from it.
    """

    write_ahead_log: WriteAheadLog
    identity: str
    memory: PersistedState
    is_sound: bool
    found_position: int  # the position that was found
    wall_s: float
    generate_identity: Callable[[], str]


class MemberJournal(ReplicaJournal):
    """Records the changes of all parts of a member; nothing is recorded until there is a log."""

    def __init__(self) -> None:
        self.write_ahead_log: WriteAheadLog | None = None

    def _add(self, entry: e.Entry) -> int:
        return self.write_ahead_log.append(entry) if self.write_ahead_log is not None else 0

    def write_record(self, record: Record, record_hash: int) -> None:
        """A record of the replica was stored, with its digest."""
        self._add(e.StoredRecord(record, record_hash))

    def write_removal(self, key: Key) -> None:
        """A record of the replica was deleted."""
        self._add(e.DeletedRecord(key))

    def write_copy_state(self, epoch: int, is_complete: bool, cleared: bool = False) -> None:
        """The replica's epoch, whether it is complete, and whether it was cleared."""
        self._add(e.ReplicaStatus(epoch, is_complete, cleared))

    def write_acceptor_state(
        self, incarnation: int, promised_term: int, crash_vector: dict[str, int], is_recovered: bool
    ) -> None:
        """The state of the replica's acceptor."""
        self._add(e.AcceptorState(incarnation, promised_term, crash_vector, is_recovered))

    def slot(self, task: str, slot: GrantedLease) -> int:
        """A lease this voter granted; returns the entry's position."""
        return self._add(granted_lease_entry(task, slot))

    def floor(self, task: str, term: int) -> int:
        """A term below which this voter grants none; returns the entry's position."""
        return self._add(e.TermFloor(task, term))

    def votes(self, remembers: bool) -> int:
        """Whether the folder has all that this voter ever granted; returns the entry's position."""
        return self._add(e.VoterState(remembers))

    def noted(self, noted: e.PeerFolderVersion) -> None:
        """How far the folder of another voter has come."""
        self._add(noted)

    def begun(self, life: int, wall_s: float) -> int:
        """A process began with this folder, at that Unix time in seconds; returns the entry's position."""
        return self._add(e.ProcessStarted(life, wall_s))

    def drained(self, name: str) -> int:
        """This node's part in a rolling drain is complete; returns the entry's position."""
        return self._add(e.DrainCompleted(name))

    def planned(self, name: str, for_us: int, nodes: list[str]) -> None:
        """A rolling drain was begun here; without nodes: it is over."""
        self._add(e.DrainPlan(name, for_us, nodes))


def granted_lease_entry(task: str, slot: GrantedLease) -> e.LeaseGrant:
    """A voter's grant as an entry of the folder."""
    return e.LeaseGrant(task, slot.term, slot.holder, slot.life, slot.highest_term, slot.is_released)


def restore_granted_leases(memory: PersistedState) -> dict[str, GrantedLease]:
    """A voter's grants, as its memory has them."""
    return {
        task: GrantedLease(s.term, s.holder, s.incarnation, 0, s.is_released, max(s.highest_term, s.term))
        for task, s in memory.grants.items()
    }


def voter_entries(voter: Voter) -> Iterator[e.Entry]:
    """Everything a voter must know after a restart."""
    yield e.VoterState(voter.remembers or voter.may_remember)
    yield from (granted_lease_entry(task, slot) for task, slot in voter.granted_leases().items())
    yield from (e.TermFloor(task, term) for task, term in voter.observed_terms().items())


def replica_entries(replica: Replica) -> Iterable[e.Entry]:
    """As they are now; gone through later, and by another thread."""
    state = [e.ReplicaStatus(replica.anti_entropy.copy.epoch, replica.anti_entropy.copy.is_complete)]
    keeps = [e.AcceptorState(*replica.acceptor.get_durable_state())] if replica.acceptor is not None else []
    held = replica.store.list_firm_records()
    return chain(state, keeps, (e.StoredRecord(record, mark) for record, mark in held))
