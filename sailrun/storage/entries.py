"""The entries of the write-ahead log, and their bytes. Pure.

An entry states how something is from then on, never a difference: applying one twice, or only the later of
two about the same thing, has the same result. On the disk an entry is a MessagePack array that begins with
its tag. Fields are read by position; a newer version of the program may add some at the end, with a default,
and an older file is read with those defaults. Another kind of entry, or another meaning, is another schema
(`frames.SCHEMA`).

The names given by `tag=` and `name=` are those on the disk and in what `sailrun lasting export` prints.
"""

from __future__ import annotations

import msgspec

from sailrun.replication.records import Key, Record
from sailrun.storage.errors import InvalidEntryError


class ProcessStarted(msgspec.Struct, array_like=True, frozen=True, tag="begun"):
    """A process has taken the folder over; `incarnation` counts them. `wall_s` is for people to read."""

    incarnation: int = msgspec.field(name="life")
    wall_s: float


class CleanShutdown(msgspec.Struct, array_like=True, frozen=True, tag="ended"):
    """The process has ended in good order, with nothing left to write."""

    wall_s: float


class LeaseGrant(msgspec.Struct, array_like=True, frozen=True, tag="slot"):
    """A voter's grant of a task's lease: to which member in which of its incarnations, under which term, and
    the highest term it ever granted for the task. Renewals change nothing of this.
    """

    task: str
    term: int
    holder: str
    incarnation: int = msgspec.field(name="life")
    highest_term: int = msgspec.field(name="highest")
    is_released: bool = msgspec.field(default=False, name="released")


class TermFloor(msgspec.Struct, array_like=True, frozen=True, tag="floor"):
    """A term that is known of a task; with an empty task, the term below which none is granted for any."""

    task: str
    term: int


class VoterState(msgspec.Struct, array_like=True, frozen=True, tag="votes"):
    """Whether the voter knows of every lease that it may ever have granted. One that is still recovering
    them from the other voters does not, however intact its folder is.
    """

    is_complete: bool = msgspec.field(name="remembers")


class AcceptorState(msgspec.Struct, array_like=True, frozen=True, tag="keeps"):
    """What a voter has promised as an acceptor of operator marks, in which of its incarnations, the
    incarnations of others that it knows, and whether it knows all its promises.
    """

    incarnation: int = msgspec.field(name="life")
    promised_term: int = msgspec.field(name="promised")
    peer_incarnations: dict[str, int] = msgspec.field(name="lives")
    is_complete: bool = msgspec.field(name="remembers")


class StoredRecord(msgspec.Struct, array_like=True, frozen=True, tag="held"):
    """A record of the replicated state. `digest` is the hash that was taken when the record was received
    (0: unknown), so that bytes spoilt in memory are noticed after a restart as well.
    """

    record: Record
    digest: int = msgspec.field(default=0, name="mark")


class DeletedRecord(msgspec.Struct, array_like=True, frozen=True, tag="dropped"):
    """A record that is no longer part of the replicated state."""

    key: Key


class ReplicaStatus(msgspec.Struct, array_like=True, frozen=True, tag="copy"):
    """The replica as a whole: its epoch, and whether it has every record. `was_cleared`: all records were
    removed.
    """

    epoch: int
    is_complete: bool = msgspec.field(name="whole")
    was_cleared: bool = msgspec.field(default=False, name="cleared")


class PeerFolderVersion(msgspec.Struct, array_like=True, frozen=True, tag="noted"):
    """The newest version of another voter's folder that it has reported; `identity` is empty for a voter
    without a folder. `process_number` distinguishes two processes that both took this incarnation.
    """

    voter: str
    identity: str
    incarnation: int = msgspec.field(name="life")
    position: int
    process_number: int = msgspec.field(default=0, name="run")


class DecisionSnapshot(msgspec.Struct, array_like=True, frozen=True, tag="learned"):
    """What this node's decisions had learned of form servers, encoded by `decision_snapshot.py`."""

    wall_s: float
    content: bytes


class OperatorOverrides(msgspec.Struct, array_like=True, frozen=True, tag="hand"):
    """Form servers that operators have taken out of service at this node, of a node without a fleet: there
    is no replicated state that would have it.
    """

    out_of_service: list[str] = msgspec.field(name="out")


class DrainCompleted(msgspec.Struct, array_like=True, frozen=True, tag="walked"):
    """The rolling drain of that name has drained this node, and is not to drain it again."""

    drain: str = msgspec.field(name="walk")


class DrainPlan(msgspec.Struct, array_like=True, frozen=True, tag="planned"):
    """A rolling drain that was begun at this node and is to be continued after a restart: the nodes that are
    left, each drained for `for_us` microseconds. It is over once there are none.
    """

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
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Entry] = msgspec.msgpack.Decoder(Entry)
_list_decoder: msgspec.msgpack.Decoder[list[Entry]] = msgspec.msgpack.Decoder(list[Entry])


def encode_entry(entry: Entry) -> bytes:
    """The bytes of one entry."""
    return _encoder.encode(entry)


def encode_entries(entries: list[Entry]) -> bytes:
    """The bytes of several entries, as one array."""
    return _encoder.encode(entries)


def decode_entries(data: bytes) -> list[Entry]:
    """Raises InvalidEntryError."""
    try:
        return _list_decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidEntryError(f"no entries: {error}") from None


def decode_entry(data: bytes) -> Entry:
    """Raises InvalidEntryError."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidEntryError(f"no entry: {error}") from None
