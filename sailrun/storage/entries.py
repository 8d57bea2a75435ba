"""What is written down, entry by entry, and what all entries together come to. Pure.

An entry states how something is from then on, never what is to be added: whoever applies one twice, or a
later one of the same thing alone, comes to the same. Fields are read by place; a newer version of the program
may add some at the end, with a default, and an older file is read with those defaults. Another kind of entry,
or another meaning, is another schema (`frames.SCHEMA`).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from sailrun.replication.records import Key, Record


class ProcessStarted(msgspec.Struct, array_like=True, frozen=True, tag="begun"):
    """A process has taken the folder over. `life` counts them."""

    incarnation: int = msgspec.field(name="life")
    wall_s: float  # for staff to read


class CleanShutdown(msgspec.Struct, array_like=True, frozen=True, tag="ended"):
    """It has ended in good order, and nothing of it was left to write."""

    wall_s: float


class LeaseGrant(msgspec.Struct, array_like=True, frozen=True, tag="slot"):
    """A voter's grant of a task: to whom, under which term, and the highest it ever granted. Renewals change
    nothing of this.
    """

    task: str
    term: int
    holder: str
    incarnation: int = msgspec.field(name="life")
    highest_term: int = msgspec.field(name="highest")
    is_released: bool = msgspec.field(default=False, name="released")


class TermFloor(msgspec.Struct, array_like=True, frozen=True, tag="floor"):
    """A term that is known of a task; of no task: below which none is granted for any."""

    task: str
    term: int


class VoterState(msgspec.Struct, array_like=True, frozen=True, tag="votes"):
    """Whether the voter here knows of all that it may ever have granted. One that is learning it from the
    others does not, however sound its folder.
    """

    is_complete: bool = msgspec.field(name="remembers")


class AcceptorState(msgspec.Struct, array_like=True, frozen=True, tag="keeps"):
    """What a voter has promised of marks, in which of its lives, and the lives of others that it knows."""

    incarnation: int = msgspec.field(name="life")
    promised_term: int = msgspec.field(name="promised")
    peer_incarnations: dict[str, int] = msgspec.field(name="lives")
    is_complete: bool = msgspec.field(name="remembers")


class StoredRecord(msgspec.Struct, array_like=True, frozen=True, tag="held"):
    """A record of the fleet's state, as this copy has it. `mark` is the hash that was taken when it came to
    be so there (0: none is known): a copy whose bytes were spoilt in memory is found out after a restart as
    well.
    """

    record: Record
    digest: int = msgspec.field(default=0, name="mark")


class DeletedRecord(msgspec.Struct, array_like=True, frozen=True, tag="dropped"):
    """A record that the fleet has forgotten."""

    key: Key


class ReplicaStatus(msgspec.Struct, array_like=True, frozen=True, tag="copy"):
    """The copy as a whole: its epoch, and whether it is one. `cleared`: all records were thrown away."""

    epoch: int
    is_complete: bool = msgspec.field(name="whole")
    was_cleared: bool = msgspec.field(default=False, name="cleared")


class PeerFolderVersion(msgspec.Struct, array_like=True, frozen=True, tag="noted"):
    """The newest that another voter has told of its folder. Of a voter without one, `identity` is empty.
    `run` tells two processes apart that both took this life.
    """

    voter: str
    identity: str
    incarnation: int = msgspec.field(name="life")
    position: int
    process_number: int = msgspec.field(default=0, name="run")


class DecisionSnapshot(msgspec.Struct, array_like=True, frozen=True, tag="learned"):
    """What this node's decision module had learned of form servers, packed by `decision_snapshot.py`."""

    wall_s: float
    content: bytes


class OperatorOverrides(msgspec.Struct, array_like=True, frozen=True, tag="hand"):
    """Form servers that staff have taken out at this node alone: there is no fleet that would keep it."""

    out_of_service: list[str] = msgspec.field(name="out")


class DrainCompleted(msgspec.Struct, array_like=True, frozen=True, tag="walked"):
    """The rolling drain `walk` (so called on the disk and by `export`) has drained this node: not again."""

    drain: str = msgspec.field(name="walk")


class DrainPlan(msgspec.Struct, array_like=True, frozen=True, tag="planned"):
    """A rolling drain that was begun here, to be gone on with; over once there are no names."""

    drain: str = msgspec.field(name="walk")
    for_us: int
    nodes: list[str] = msgspec.field(name="names")


Entry = (
    ProcessStarted
    | CleanShutdown
    | LeaseGrant
    | TermFloor
    | VoterState
    | AcceptorState
    | StoredRecord
    | DeletedRecord
    | ReplicaStatus
    | PeerFolderVersion
    | DecisionSnapshot
    | OperatorOverrides
    | DrainCompleted
    | DrainPlan
)
# Rolling drains that are remembered; the oldest make room.
MAX_DRAINS = 256

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Entry] = msgspec.msgpack.Decoder(Entry)
_list_decoder: msgspec.msgpack.Decoder[list[Entry]] = msgspec.msgpack.Decoder(list[Entry])


def encode_entry(entry: Entry) -> bytes:
    return _encoder.encode(entry)


def encode_entries(entries: list[Entry]) -> bytes:
    return _encoder.encode(entries)


def decode_entries(data: bytes) -> list[Entry]:
    """Raises ValueError for what are no entries of this schema."""
    try:
        return _list_decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(f"no entries: {error}") from None


def decode_entry(data: bytes) -> Entry:
    """Raises ValueError for what is no entry of this schema."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(f"no entry: {error}") from None


@dataclass(slots=True)
class PersistedState:
    """What all entries so far come to."""

    incarnation: int = 0  # how many processes have had the folder
    was_clean_shutdown: bool = False  # the last one ended in good order
    started_wall_s: float = 0.0  # by its wall clock
    grants: dict[str, LeaseGrant] = field(default_factory=dict)
    term_floors: dict[str, int] = field(default_factory=dict)
    is_voter_complete: bool = False
    acceptor: AcceptorState | None = None
    records: dict[Key, Record] = field(default_factory=dict)
    record_digests: dict[Key, int] = field(default_factory=dict)  # by record, its hash where that is known
    epoch: int = 0
    is_replica_complete: bool = False
    peer_folders: dict[str, PeerFolderVersion] = field(default_factory=dict)
    decision_snapshot: DecisionSnapshot | None = None
    operator_overrides: OperatorOverrides | None = None
    completed_drains: dict[str, None] = field(default_factory=dict)
    drain_plans: dict[str, DrainPlan] = field(default_factory=dict)

    def apply(self, entry: Entry) -> None:
        if isinstance(entry, StoredRecord):  # most are
            key = entry.record.key
            self.records[key], self.record_digests[key] = entry.record, entry.digest
            return
        match entry:
            case ProcessStarted(life, wall_s):
                self.incarnation, self.was_clean_shutdown, self.started_wall_s = life, False, wall_s
            case CleanShutdown():
                self.was_clean_shutdown = True
            case LeaseGrant(task):
                self.grants[task] = entry
            case TermFloor(task, term):
                self.term_floors[task] = max(term, self.term_floors.get(task, 0))
            case VoterState(remembers):
                self.is_voter_complete = remembers
            case AcceptorState():
                self.acceptor = entry
            case DeletedRecord(key):
                self.records.pop(key, None)
                self.record_digests.pop(key, None)
            case ReplicaStatus(epoch, whole, cleared):
                self.epoch, self.is_replica_complete = epoch, whole
                if cleared:
                    self.records.clear()
                    self.record_digests.clear()
            case PeerFolderVersion(voter):
                self.peer_folders[voter] = entry
            case DecisionSnapshot():
                self.decision_snapshot = entry
            case OperatorOverrides():
                self.operator_overrides = entry
            case DrainCompleted(walk):
                self.completed_drains[walk] = None
                while len(self.completed_drains) > MAX_DRAINS:
                    del self.completed_drains[next(iter(self.completed_drains))]
            case DrainPlan(walk, _, names):
                self.drain_plans.pop(walk, None)
                if names:
                    self.drain_plans[walk] = entry
                while len(self.drain_plans) > MAX_DRAINS:
                    del self.drain_plans[next(iter(self.drain_plans))]

    def iter_entries(self) -> Iterator[Entry]:
        """What makes another memory the same as this."""
        if self.incarnation:
            yield ProcessStarted(self.incarnation, self.started_wall_s)
        if self.was_clean_shutdown:
            yield CleanShutdown(self.started_wall_s)
        yield from self.grants.values()
        yield from (TermFloor(task, term) for task, term in self.term_floors.items())
        yield VoterState(self.is_voter_complete)
        if self.acceptor is not None:
            yield self.acceptor
        yield from (
            StoredRecord(record, self.record_digests.get(key, 0)) for key, record in self.records.items()
        )
        yield ReplicaStatus(self.epoch, self.is_replica_complete)
        yield from self.peer_folders.values()
        if self.decision_snapshot is not None:
            yield self.decision_snapshot
        if self.operator_overrides is not None:
            yield self.operator_overrides
        yield from (DrainCompleted(walk) for walk in self.completed_drains)
        yield from self.drain_plans.values()

    def highest_terms(self) -> dict[str, int]:
        """By task, the highest term that was granted or heard of; of no task: below which none may be
        given.
        """
        terms = dict(self.term_floors)
        for task, slot in self.grants.items():
            terms[task] = max(slot.highest_term, slot.term, terms.get(task, 0))
        return terms
