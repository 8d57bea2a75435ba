"""Records, their versions, and the one rule by which copies of a record are merged.

A record is a set of versions that do not know of each other, with the context that all of them together know:
by actor, up to which of its counts versions of this record have been seen. A version that the other copy's
context covers, and that the other copy does not hold, was superseded there. This is the dotted version
vector's rule (Preguiça, Baquero and others 2010) on the optimized set without tombstones (Bieniusa and others
2012); it is commutative, associative and idempotent whatever the records are.

Who may write under which actor is what makes kinds different, not how they are merged:

- `STRONG` is one actor for the whole fleet. Its counts are a term and a number within it, given by the owner
  of the task under that term alone, so that strong versions of a record are in one order;
- a node that writes on its own word uses its life, and its versions stay beside others that it had not seen;
- what only one node can say (its beliefs) is written under that node's name, the later over the earlier;
- a list is written under its source, its count is the revision: no older one ever replaces a newer.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

import msgspec

Count = tuple[int, int]
Dot = tuple[str, Count]
Key = tuple[str, str, str]  # kind, subject, observer

STRONG = ""
# Bounds on what is taken from a peer.
# Each node of a fleet may have said its own word of a record.
MAX_KEY_CHARACTERS, MAX_VERSIONS, MAX_ACTORS, MAX_CONTENT_BYTES = 200, 1024, 4096, 2 * 1024 * 1024


class Version(msgspec.Struct, array_like=True, frozen=True):
    """`content` is packed by whoever knows the kind; others carry it as it is."""

    actor: str
    count: Count
    content: bytes
    deleted: bool = False  # the record is taken back by this version

    @property
    def dot(self) -> Dot:
        return self.actor, self.count


class Record(msgspec.Struct, array_like=True, frozen=True):
    """`soft` records age: they are what somebody said of late, and end unless said again."""

    kind: str
    subject: str
    observer: str
    soft: bool
    versions: list[Version]
    context: dict[str, Count]
    age_ms: int = 0  # of a soft record, since its writer wrote it

    @property
    def key(self) -> Key:
        return self.kind, self.subject, self.observer

    @property
    def is_deleted(self) -> bool:
        return all(v.deleted for v in self.versions)


class InvalidRecordError(ValueError):
    """No record of this program; says why."""


def validate_record(record: Record) -> None:
    """Raises BadRecord for one that is out of bounds or contradicts itself."""
    if any(len(word) > MAX_KEY_CHARACTERS for word in record.key):
        raise InvalidRecordError("a key that is too long")
    if not 1 <= len(record.versions) <= MAX_VERSIONS or len(record.context) > MAX_ACTORS:
        raise InvalidRecordError(f"{len(record.versions)} versions of {len(record.context)} actors")
    if sum(len(v.content) for v in record.versions) > MAX_CONTENT_BYTES:
        raise InvalidRecordError("too long")
    dots = {v.dot for v in record.versions}
    if len(dots) != len(record.versions) or any(record.context.get(a, (-1, -1)) < c for a, c in dots):
        raise InvalidRecordError("versions that its own context does not know")


def merge_records(one: Record, other: Record) -> Record:
    """What both copies of a record know together."""
    theirs = {v.dot: v for v in other.versions}
    mine = {v.dot: v for v in one.versions}
    kept = [v for d, v in mine.items() if d in theirs or _beyond(d, other.context)]
    kept += [v for d, v in theirs.items() if d not in mine and _beyond(d, one.context)]
    seen = dict(one.context)
    for actor, count in other.context.items():
        seen[actor] = max(count, seen.get(actor, count))
    kept.sort(key=lambda v: v.dot)
    # As old as its latest version was where that is held.
    ages = [r.age_ms for r, held in ((one, mine), (other, theirs)) if kept and kept[-1].dot in held]
    return Record(*one.key, one.soft, kept, seen, min(ages, default=0))


def _beyond(dot: Dot, seen: dict[str, Count]) -> bool:
    return dot[1] > seen.get(dot[0], (-1, -1))


def covers(record: Record | None, dots: Iterable[Dot]) -> bool:
    """Whether the copy knows these versions: it holds them, or what superseded them."""
    return record is not None and not any(_beyond(dot, record.context) for dot in dots)


def contradicts(one: Record, other: Record) -> bool:
    """Whether the same version has another content: one of the two copies was spoilt."""
    mine = {v.dot: v for v in one.versions}
    return any(v.dot in mine and mine[v.dot] != v for v in other.versions)


def apply_write(
    before: Record | None,
    key: Key,
    soft: bool,
    actor: str,
    count: Count,
    content: bytes,
    gone: bool = False,
) -> Record:
    """The record after a write by who has seen all of what there was."""
    seen = dict(before.context) if before is not None else {}
    seen[actor] = max(count, seen.get(actor, count))
    return Record(*key, soft, [Version(actor, count, content, gone)], seen)


_encoder = msgspec.msgpack.Encoder(order="deterministic")


def hash_record(record: Record, salt: bytes) -> int:
    """64 bits that two copies of a record share if and, but for chance, only if they are the same."""
    told = (record.key, record.soft, record.versions, record.context)
    return int.from_bytes(blake2b(_encoder.encode(told), digest_size=8, key=salt).digest(), "big")


def estimate_size_bytes(record: Record) -> int:
    """What a record takes on the wire, about; in memory, some three times as much."""
    size = 40 + len(record.kind) + len(record.subject) + len(record.observer)
    for version in record.versions:
        size += 30 + len(version.actor) + len(version.content)
    for actor in record.context:
        size += 20 + len(actor)
    return size
