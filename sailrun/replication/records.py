"""Records, their versions, and the one rule by which copies of a record are merged.

A record is a set of versions that do not know of each other, with the causal context that all of them
together know: by actor, up to which count versions of this record have been seen. A version that the other
copy's context covers, and that the other copy does not hold, was superseded there. This is the rule of dotted
version vectors (Preguiça, Baquero and others 2010) on the optimized set without tombstones (Bieniusa and
others 2012); it is commutative, associative and idempotent whatever the records are.

Who may write as which actor is what makes kinds of records different, not how they are merged:

- `STRONG` is one actor for the whole fleet. Its counts are a term and a number within it, given by the leader
  of the task under that term alone, so that strong versions of a record are in one order;
- a node that writes by itself uses its name and incarnation, and its versions stay beside others that it had
  not seen;
- what only one node can say (its outlier report) is written under that node's name, the later over the
  earlier;
- a server list is written under its source, its count is the revision: no older one ever replaces a newer.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

import msgspec

from sailrun.errors import SailrunError

Count = tuple[int, int]
Dot = tuple[str, Count]
Key = tuple[str, str, str]  # kind, subject, observer

STRONG = ""
# Bounds on what is accepted of a peer. Each node of a fleet may have a version of its own of a record.
MAX_KEY_CHARACTERS = 200  # of each part of a key
MAX_VERSIONS, MAX_ACTORS = 1024, 4096
MAX_CONTENT_BYTES = 2 * 1024 * 1024  # of all versions of a record
# Rough sizes on the wire, beside names and contents.
RECORD_OVERHEAD_BYTES, VERSION_OVERHEAD_BYTES, ACTOR_OVERHEAD_BYTES = 40, 30, 20
# A count below all others.
_BEFORE_ALL = (-1, -1)


class Version(msgspec.Struct, array_like=True, frozen=True):
    """One version of a record. `content` is encoded by whoever knows the kind; others carry it as it is."""

    actor: str
    count: Count
    content: bytes
    deleted: bool = False  # the record is deleted by this version

    @property
    def dot(self) -> Dot:
        """What identifies the version in the whole fleet."""
        return self.actor, self.count


class Record(msgspec.Struct, array_like=True, frozen=True):
    """One copy of a record. `soft` records age: they are what somebody observed of late, and expire unless
    they are reported again.
    """

    kind: str
    subject: str
    observer: str
    soft: bool
    versions: list[Version]
    context: dict[str, Count]
    age_ms: int = 0  # of a soft record, since its writer wrote it

    @property
    def key(self) -> Key:
        """What identifies the record."""
        return self.kind, self.subject, self.observer

    @property
    def is_deleted(self) -> bool:
        """Whether every version deletes it."""
        return all(version.deleted for version in self.versions)


class InvalidRecordError(SailrunError, ValueError):
    """A record that is out of bounds or contradicts itself; says why."""


def validate_record(record: Record) -> None:
    """Raises InvalidRecordError for a record that is out of bounds or contradicts itself."""
    if any(len(part) > MAX_KEY_CHARACTERS for part in record.key):
        raise InvalidRecordError("a key that is too long")
    if not 1 <= len(record.versions) <= MAX_VERSIONS or len(record.context) > MAX_ACTORS:
        raise InvalidRecordError(f"{len(record.versions)} versions of {len(record.context)} actors")
    if sum(len(version.content) for version in record.versions) > MAX_CONTENT_BYTES:
        raise InvalidRecordError("too long")
    dots = {version.dot for version in record.versions}
    if len(dots) != len(record.versions) or any(_is_beyond(dot, record.context) for dot in dots):
        raise InvalidRecordError("versions that its own context does not know")


def merge_records(one: Record, other: Record) -> Record:
    """What both copies of a record know together."""
    ones = {version.dot: version for version in one.versions}
    others = {version.dot: version for version in other.versions}
    versions = [v for dot, v in ones.items() if dot in others or _is_beyond(dot, other.context)]
    versions += [v for dot, v in others.items() if dot not in ones and _is_beyond(dot, one.context)]
    versions.sort(key=lambda version: version.dot)
    context = dict(one.context)
    for actor, count in other.context.items():
        context[actor] = max(count, context.get(actor, count))
    # As old as its latest version was where that is held.
    held_by = ((one, ones), (other, others))
    ages_ms = [r.age_ms for r, held in held_by if versions and versions[-1].dot in held]
    return Record(*one.key, one.soft, versions, context, min(ages_ms, default=0))


def _is_beyond(dot: Dot, context: dict[str, Count]) -> bool:
    actor, count = dot
    return count > context.get(actor, _BEFORE_ALL)


def covers(record: Record | None, dots: Iterable[Dot]) -> bool:
    """Whether the copy knows these versions: it holds them, or what superseded them."""
    return record is not None and not any(_is_beyond(dot, record.context) for dot in dots)


def contradicts(one: Record, other: Record) -> bool:
    """Whether the same version has another content: one of the two copies was corrupted."""
    ones = {version.dot: version for version in one.versions}
    return any(v.dot in ones and ones[v.dot] != v for v in other.versions)


def apply_write(
    before: Record | None,
    key: Key,
    soft: bool,
    actor: str,
    count: Count,
    content: bytes,
    deleted: bool = False,
) -> Record:
    """The record after a write by an actor that has seen all of what there was."""
    context = dict(before.context) if before is not None else {}
    context[actor] = max(count, context.get(actor, count))
    return Record(*key, soft, [Version(actor, count, content, deleted)], context)


_encoder = msgspec.msgpack.Encoder(order="deterministic")


def hash_record(record: Record, salt: bytes) -> int:
    """64 bits that two copies of a record share if and, but for chance, only if they are the same."""
    content = (record.key, record.soft, record.versions, record.context)
    return int.from_bytes(blake2b(_encoder.encode(content), digest_size=8, key=salt).digest(), "big")


def estimate_size_bytes(record: Record) -> int:
    """What a record takes on the wire, about; in memory, some three times as much."""
    size_bytes = RECORD_OVERHEAD_BYTES + sum(len(part) for part in record.key)
    for version in record.versions:
        size_bytes += VERSION_OVERHEAD_BYTES + len(version.actor) + len(version.content)
    for actor in record.context:
        size_bytes += ACTOR_OVERHEAD_BYTES + len(actor)
    return size_bytes
