"""Operator marks, which take a form server or a node out of service: their content, and how concurrent
versions of a mark are resolved.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from sailrun.replication.records import Record, Version
from sailrun.replication.store import RecordStore

OUT, DRAIN = "out", "drain"
# The kinds of marks: `OUT` ejects a form server, `DRAIN` drains a node. If versions differ, one that takes
# the subject out of service wins.
MARK_KINDS = (OUT, DRAIN)
MAX_REQUEST_IDS = 16  # ids of the latest writes that a mark lists, so that no write is executed twice
MAX_KIND_CHARACTERS = 40  # of an unknown kind that is quoted in a reply
MAX_REASON_CHARACTERS = 200


class OperatorMark(msgspec.Struct, array_like=True, frozen=True):
    """The content of one version of a mark."""

    id: str  # of the request that wrote it
    active: bool  # the subject is out of service, or will be if `waiting` is set
    waiting: bool  # the mark becomes active once there is capacity
    author: str
    reason: str
    written_at_s: float  # the writer's wall clock, for display only
    node: str  # the node that wrote the version
    request_ids: list[str] = []  # of the latest writes of the mark, newest last


class _MarkHead(msgspec.Struct, array_like=True, frozen=True):
    """The leading fields of a mark, which determine whether it takes the subject out of service."""

    id: str
    active: bool
    waiting: bool


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(OperatorMark)
_head_decoder = msgspec.msgpack.Decoder(_MarkHead)


def encode_mark(mark: OperatorMark) -> bytes:
    """Encodes a mark as the content of a version."""
    return _encoder.encode(mark)


def decode_mark_content(content: bytes) -> OperatorMark | None:
    """Decodes a mark; returns None if this program version cannot decode it."""
    try:
        return _decoder.decode(content)
    except msgspec.MsgspecError:
        return None


def decode_mark(version: Version) -> OperatorMark | None:
    """Decodes the mark of a version; returns None if this program version cannot decode it."""
    return decode_mark_content(version.content)


class MarkVersion(NamedTuple):
    """One version of a mark; `deleted`: the version deletes the mark."""

    mark: OperatorMark
    deleted: bool


@dataclass(frozen=True, slots=True)
class MarkStatus:
    """The resolved state of a mark's record."""

    kind: str
    subject: str
    active: bool
    versions: tuple[MarkVersion, ...]

    @property
    def has_conflict(self) -> bool:
        """Whether some versions set the mark, active or waiting, and others do not."""
        return len({mark.active and not deleted for mark, deleted in self.versions}) > 1


def is_mark_active(record: Record) -> bool:
    """Whether any version takes the subject out of service."""
    for version in record.versions:
        if not version.deleted:
            try:
                mark = _head_decoder.decode(version.content)
            except msgspec.MsgspecError:
                continue  # written by a program version whose marks this one cannot decode
            if mark.active and not mark.waiting:
                return True
    return False


def resolve_mark(record: Record) -> MarkStatus:
    """Resolves the record of a mark. Versions that this program version cannot decode are left out."""
    versions = tuple(
        MarkVersion(mark, version.deleted)
        for version in record.versions
        if (mark := decode_mark(version)) is not None
    )
    return MarkStatus(record.kind, record.subject, is_mark_active(record), versions)


def list_request_ids(record: Record | None) -> list[str]:
    """Returns the request ids of the latest writes that the record's versions list, without duplicates."""
    ids: list[str] = []
    for version in record.versions if record is not None else ():
        mark = decode_mark(version)
        ids += [id_ for id_ in (mark.request_ids if mark is not None else ()) if id_ not in ids]
    return ids


def iterate_marks(store: RecordStore) -> Iterator[MarkStatus]:
    """Iterates over all marks of a replica, by kind and subject."""
    for kind in MARK_KINDS:
        for record in store.iterate_records(kind):
            yield resolve_mark(record)


def list_active_marks(store: RecordStore) -> Iterable[tuple[str, str]]:
    """Iterates over kind and subject of all active marks."""
    return (r.key[:2] for kind in MARK_KINDS for r in store.iterate_records(kind) if is_mark_active(r))
