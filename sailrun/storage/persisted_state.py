"""The state that results from applying the entries of a log. Pure."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TypeVar

from sailrun.replication.records import Key, Record
from sailrun.storage.entries import (
    AcceptorState,
    CleanShutdown,
    DecisionSnapshot,
    DeletedRecord,
    DrainCompleted,
    DrainPlan,
    Entry,
    LeaseGrant,
    OperatorOverrides,
    PeerFolderVersion,
    ProcessStarted,
    ReplicaStatus,
    StoredRecord,
    TermFloor,
    VoterState,
)

T = TypeVar("T")

# Limit for completed rolling drains and for drain plans; beyond it the oldest are dropped.
MAX_DRAINS = 256


@dataclass(slots=True)
class PersistedState:
    """The state after applying entries in their order. Each field is taken from the last entry of its kind,
    or from the last one for each key.
    """

    incarnation: int = 0  # the number of processes that have taken over the folder
    was_clean_shutdown: bool = False  # the last process shut down in an orderly way
    started_wall_s: float = 0.0  # when the last process started, by its wall clock
    grants: dict[str, LeaseGrant] = field(default_factory=dict)  # by task
    term_floors: dict[str, int] = field(default_factory=dict)  # by task
    is_voter_complete: bool = False
    acceptor: AcceptorState | None = None
    records: dict[Key, Record] = field(default_factory=dict)
    record_digests: dict[Key, int] = field(default_factory=dict)  # 0 where unknown
    epoch: int = 0
    is_replica_complete: bool = False
    peer_folders: dict[str, PeerFolderVersion] = field(default_factory=dict)  # by voter
    decision_snapshot: DecisionSnapshot | None = None
    operator_overrides: OperatorOverrides | None = None
    completed_drains: dict[str, None] = field(default_factory=dict)  # in order of completion
    drain_plans: dict[str, DrainPlan] = field(default_factory=dict)  # by drain

    def apply(self, entry: Entry) -> None:  # noqa: C901, PLR0912 - a case for each entry
        """Updates the state with the next entry."""
        if isinstance(entry, StoredRecord):  # the most frequent kind
            key = entry.record.key
            self.records[key], self.record_digests[key] = entry.record, entry.digest
            return
        match entry:
            case ProcessStarted(incarnation, wall_s):
                self.incarnation, self.started_wall_s = incarnation, wall_s
                self.was_clean_shutdown = False
            case CleanShutdown():
                self.was_clean_shutdown = True
            case LeaseGrant(task):
                self.grants[task] = entry
            case TermFloor(task, term):
                self.term_floors[task] = max(term, self.term_floors.get(task, 0))
            case VoterState(is_complete):
                self.is_voter_complete = is_complete
            case AcceptorState():
                self.acceptor = entry
            case DeletedRecord(key):
                self.records.pop(key, None)
                self.record_digests.pop(key, None)
            case ReplicaStatus():
                self._apply_replica_status(entry)
            case PeerFolderVersion(voter):
                self.peer_folders[voter] = entry
            case DecisionSnapshot():
                self.decision_snapshot = entry
            case OperatorOverrides():
                self.operator_overrides = entry
            case DrainCompleted(drain):
                self.completed_drains[drain] = None
                _drop_oldest(self.completed_drains)
            case DrainPlan():
                self._apply_drain_plan(entry)

    def _apply_replica_status(self, entry: ReplicaStatus) -> None:
        self.epoch, self.is_replica_complete = entry.epoch, entry.is_complete
        if entry.was_cleared:
            self.records.clear()
            self.record_digests.clear()

    def _apply_drain_plan(self, entry: DrainPlan) -> None:
        self.drain_plans.pop(entry.drain, None)
        if entry.nodes:
            self.drain_plans[entry.drain] = entry
        _drop_oldest(self.drain_plans)

    def iter_entries(self) -> Iterator[Entry]:
        """Yields entries that, applied to an empty state, reproduce this one."""
        if self.incarnation:
            yield ProcessStarted(self.incarnation, self.started_wall_s)
        if self.was_clean_shutdown:
            yield CleanShutdown(self.started_wall_s)
        yield from self.grants.values()
        yield from (TermFloor(task, term) for task, term in self.term_floors.items())
        yield VoterState(self.is_voter_complete)
        if self.acceptor is not None:
            yield self.acceptor
        for key, record in self.records.items():
            yield StoredRecord(record, self.record_digests.get(key, 0))
        yield ReplicaStatus(self.epoch, self.is_replica_complete)
        yield from self.peer_folders.values()
        if self.decision_snapshot is not None:
            yield self.decision_snapshot
        if self.operator_overrides is not None:
            yield self.operator_overrides
        yield from (DrainCompleted(drain) for drain in self.completed_drains)
        yield from self.drain_plans.values()

    def highest_terms(self) -> dict[str, int]:
        """The highest granted or known term by task; for the empty task, the term below which none may be
        granted.
        """
        terms = dict(self.term_floors)
        for task, grant in self.grants.items():
            terms[task] = max(grant.highest_term, grant.term, terms.get(task, 0))
        return terms


def _drop_oldest(by_drain: dict[str, T]) -> None:
    while len(by_drain) > MAX_DRAINS:
        del by_drain[next(iter(by_drain))]
