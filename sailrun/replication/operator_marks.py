"""Operator marks: what an operator set of a form server or node, and what it comes to where a copy holds
several versions that did not know of each other.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from sailrun.replication.records import Record, Version
from sailrun.replication.store import RecordStore

OUT, DRAIN = "out", "drain"
# The kinds of marks: where versions differ, the side that keeps something out of service wins.
MARK_KINDS = (OUT, DRAIN)
MAX_REQUEST_IDS = 16  # of the latest writes of a record, so that none is done twice
MAX_KIND_CHARACTERS = 40  # of a kind that is not known, in a reply
MAX_REASON_CHARACTERS = 200


class OperatorMark(msgspec.Struct, array_like=True, frozen=True):
    """The content of one version of a mark."""

    id: str  # of the request that wrote it
    active: bool  # the subject is out of service
    waiting: bool  # it will be once there is capacity
    author: str
    reason: str
    written_at_s: float  # the writer's wall clock, for operators to read; it decides nothing
    node: str  # which wrote it
    request_ids: list[str] = []  # of the latest writes of the mark, the newest last


class _MarkHead(msgspec.Struct, array_like=True, frozen=True):
    """As much of a mark as says whether it keeps anything out of service."""

    id: str
    active: bool
    waiting: bool


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(OperatorMark)
_head_decoder = msgspec.msgpack.Decoder(_MarkHead)


def encode_mark(mark: OperatorMark) -> bytes:
    """The content of a mark's version."""
    return _encoder.encode(mark)


def decode_mark_content(content: bytes) -> OperatorMark | None:
    """None: written by a version of the program whose marks this one cannot read."""
    try:
        return _decoder.decode(content)
    except msgspec.MsgspecError:
        return None


def decode_mark(version: Version) -> OperatorMark | None:
    """The mark in a version; None: this version of the program cannot read it."""
    return decode_mark_content(version.content)


class MarkVersion(NamedTuple):
    """One version of a mark; `deleted`: it takes the mark back."""

    mark: OperatorMark
    deleted: bool


@dataclass(frozen=True, slots=True)
class MarkStatus:
    """What a mark's record comes to."""

    kind: str
    subject: str
    active: bool
    versions: tuple[MarkVersion, ...]

    @property
    def has_conflict(self) -> bool:
        """Whether some versions have the mark in force, or waiting, and others do not."""
        return len({mark.active and not deleted for mark, deleted in self.versions}) > 1


def is_mark_active(record: Record) -> bool:
    """Whether the subject is out of service: it is if any version says so."""
    for version in record.versions:
        if not version.deleted:
            try:
                mark = _head_decoder.decode(version.content)
            except msgspec.MsgspecError:
                continue  # of a version of the program whose marks this one cannot read
            if mark.active and not mark.waiting:
                return True
    return False


def resolve_mark(record: Record) -> MarkStatus:
    """What the record of a mark comes to; versions that cannot be read here are left out."""
    versions = tuple(
        MarkVersion(mark, version.deleted)
        for version in record.versions
        if (mark := decode_mark(version)) is not None
    )
    return MarkStatus(record.kind, record.subject, is_mark_active(record), versions)


def list_request_ids(record: Record | None) -> list[str]:
    """The requests that the record's versions came of, each once."""
    ids: list[str] = []
    for version in record.versions if record is not None else ():
        mark = decode_mark(version)
        ids += [id_ for id_ in (mark.request_ids if mark is not None else ()) if id_ not in ids]
    return ids


def iterate_marks(store: RecordStore) -> Iterator[MarkStatus]:
    """All marks of a copy, by kind and subject."""
    for kind in MARK_KINDS:
        for record in store.iterate_records(kind):
            yield resolve_mark(record)


def list_active_marks(store: RecordStore) -> Iterable[tuple[str, str]]:
    """Kind and subject of all that is out of service by a mark."""
    return (r.key[:2] for kind in MARK_KINDS for r in store.iterate_records(kind) if is_mark_active(r))
