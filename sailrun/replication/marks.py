"""Marks: what staff said of a form server or node, and what it comes to where copies hold several words."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

from sailrun.replication.records import Record, Version
from sailrun.replication.store import Store

OUT, DRAIN = "out", "drain"
# Kinds that a mark may be of: what they keep out of service is on the safe side wherever copies differ.
KINDS = (OUT, DRAIN)
# Ids of the latest writes of a record, so that none is done twice.
MOST_IDS = 16
LONGEST_WHY = 200


class Mark(msgspec.Struct, array_like=True, frozen=True):
    """`on`: the subject is out. `waits`: it will be once there is room. `at_s` is the writer's wall clock,
    for staff to read; it decides nothing.
    """

    id: str
    on: bool
    waits: bool
    who: str
    why: str
    at_s: float
    node: str
    ids: list[str] = []


class _Begins(msgspec.Struct, array_like=True, frozen=True):
    """As much of a mark as says whether it keeps anything out."""

    id: str
    on: bool
    waits: bool


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Mark)
_begins = msgspec.msgpack.Decoder(_Begins)


def pack(mark: Mark) -> bytes:
    return _encoder.encode(mark)


def unpack(version: Version) -> Mark | None:
    """None: written by a version of the program whose marks this one cannot read."""
    try:
        return _decoder.decode(version.content)
    except msgspec.MsgspecError:
        return None


@dataclass(frozen=True, slots=True)
class Standing:
    """What a mark's record comes to."""

    kind: str
    subject: str
    on: bool
    words: tuple[tuple[Mark, bool], ...]  # each with whether it takes the mark back

    @property
    def conflict(self) -> bool:
        return len({mark.on and not gone for mark, gone in self.words}) > 1


def keeps_out(record: Record) -> bool:
    """Whether its subject is out: out on one side and in on the other stays out."""
    for version in record.versions:
        if not version.gone:
            try:
                mark = _begins.decode(version.content)
            except msgspec.MsgspecError:
                continue  # of a version of the program whose marks this one cannot read
            if mark.on and not mark.waits:
                return True
    return False


def standing(record: Record) -> Standing:
    words = tuple((m, v.gone) for v in record.versions if (m := unpack(v)) is not None)
    return Standing(record.kind, record.subject, keeps_out(record), words)


def marks(store: Store) -> Iterator[Standing]:
    for kind in KINDS:
        for record in store.records(kind):
            yield standing(record)


def in_force(store: Store) -> Iterable[tuple[str, str]]:
    """Kind and subject of all that is out of service by a mark."""
    return (r.key[:2] for kind in KINDS for r in store.records(kind) if keeps_out(r))
