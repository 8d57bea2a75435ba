"""The entries of the write-ahead log and their encoding. Pure.

An entry states an absolute value, never a difference: applying it twice, or applying only the later of two
entries about the same subject, has the same result. On disk an entry is a MessagePack array that begins with
its tag. Fields are read by position; a newer version of the program may append fields that have a default,
and an older file is read with those defaults. A new kind of entry, or a changed meaning, requires a new
schema (`frames.SCHEMA`).

The names given by `tag=` and `name=` are those on disk and in the output of `sailrun lasting export`.
"""

from __future__ import annotations

import msgspec

from sailrun.replication.records import Key, Record
from sailrun.storage.errors import InvalidEntryError


class ProcessStarted(msgspec.Struct, array_like=True, frozen=True, tag="begun"):
    """A process has taken over the folder; `incarnation` counts such processes. `wall_s` is the wall-clock
    time of the start and is only informational.
    """

    incarnation: int = msgspec.field(name="life")
    wall_s: float


class CleanShutdown(msgspec.Struct, array_like=True, frozen=True, tag="ended"):
    """The process has shut down in an orderly way, with no entries left to write. `wall_s` is only
    informational.
    """

    wall_s: float


class LeaseGrant(msgspec.Struct, array_like=True, frozen=True, tag="slot"):
    """A voter's grant of a task's lease: the member and its incarnation, the term, and the highest term that
    the voter ever granted for the task. A renewal changes none of these.
    """

    task: str
    term: int
    holder: str
    incarnation: int = msgspec.field(name="life")
    highest_term: int = msgspec.field(name="highest")
    is_released: bool = msgspec.field(default=False, name="released")


class TermFloor(msgspec.Struct, array_like=True, frozen=True, tag="floor"):
    """A term that is known for a task; if `task` is empty, no lower term is granted for any task."""

    task: str
    term: int


class VoterState(msgspec.Struct, array_like=True, frozen=True, tag="votes"):
    """Whether the voter knows every lease that it may ever have granted. A voter that is still recovering
    them from the other voters does not, even if its folder is intact.
    """

    is_complete: bool = msgspec.field(name="remembers")


class AcceptorState(msgspec.Struct, array_like=True, frozen=True, tag="keeps"):
    """A voter's state as an acceptor of operator marks: its incarnation, the promised term, the incarnations
    of its peers that it knows, and whether it knows all its promises.
    """

    incarnation: int = msgspec.field(name="life")
    promised_term: int = msgspec.field(name="promised")
    peer_incarnations: dict[str, int] = msgspec.field(name="lives")
    is_complete: bool = msgspec.field(name="remembers")


class StoredRecord(msgspec.Struct, array_like=True, frozen=True, tag="held"):
    """A record of the replicated state. `digest` is the hash that was computed when the record was received
    (0: unknown), so that memory corruption is detected after a restart as well.
    """

    record: Record
    digest: int = msgspec.field(default=0, name="mark")


class DeletedRecord(msgspec.Struct, array_like=True, frozen=True, tag="dropped"):
    """A record that is no longer part of the replicated state."""

    key: Key


class ReplicaStatus(msgspec.Struct, array_like=True, frozen=True, tag="copy"):
    """The state of the replica as a whole: its epoch and whether it has every record. If `was_cleared` is
    set, all records were removed.
    """

    epoch: int
    is_complete: bool = msgspec.field(name="whole")
    was_cleared: bool = msgspec.field(default=False, name="cleared")


class PeerFolderVersion(msgspec.Struct, array_like=True, frozen=True, tag="noted"):
    """The newest version of its folder that another voter has reported; `identity` is empty for a voter
    without a folder. `process_number` distinguishes two processes that both use this incarnation.
    """

    voter: str
    identity: str
    incarnation: int = msgspec.field(name="life")
    position: int
    process_number: int = msgspec.field(default=0, name="run")


class DecisionSnapshot(msgspec.Struct, array_like=True, frozen=True, tag="learned"):
    """The state that this node's decisions had learned about form servers, encoded by
    `decision_snapshot.py`. `wall_s` is the wall-clock time of the snapshot.
    """

    wall_s: float
    content: bytes


class OperatorOverrides(msgspec.Struct, array_like=True, frozen=True, tag="hand"):
    """Form servers that operators have taken out of service at this node. Only a node without a fleet, which
    has no replicated state, writes this entry.
    """

    out_of_service: list[str] = msgspec.field(name="out")


class DrainCompleted(msgspec.Struct, array_like=True, frozen=True, tag="walked"):
    """The rolling drain of that name has drained this node and must not drain it again."""

    drain: str = msgspec.field(name="walk")


class DrainPlan(msgspec.Struct, array_like=True, frozen=True, tag="planned"):
    """A rolling drain that was started at this node and is continued after a restart: the remaining nodes,
    each drained for `for_us` microseconds. The drain is complete when `nodes` is empty.
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
    """Encodes one entry."""
    return _encoder.encode(entry)


def encode_entries(entries: list[Entry]) -> bytes:
    """Encodes several entries as one array."""
    return _encoder.encode(entries)


def decode_entries(data: bytes) -> list[Entry]:
    """Decodes an array of entries. Raises InvalidEntryError."""
    try:
        return _list_decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidEntryError(f"invalid array of log entries: {error}") from None


def decode_entry(data: bytes) -> Entry:
    """Decodes one entry. Raises InvalidEntryError."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidEntryError(f"invalid log entry: {error}") from None
