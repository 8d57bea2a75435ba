"""Records, their versions, and the rule by which the states of a record at two replicas are merged.

A record is a set of concurrent versions with their joint causal context: for each actor, the count up to
which the actor's versions of this record have been seen. If one state's context covers a version of the other
state and the first state does not contain that version, the version has been superseded there. This is the
rule of dotted version vectors (Preguiça, Baquero and others 2010) on the optimized set without tombstones
(Bieniusa and others 2012). The merge is commutative, associative and idempotent for all records.

All kinds of records are merged in the same way. The kinds differ in who may write as which actor:

- `STRONG` is a single actor for the whole fleet. Its counts consist of a term and a number within that term.
  Only the leader of the task in that term assigns them, so the strong versions of a record are totally
  ordered.
- A node that writes without the leader uses its name and incarnation as the actor. Its versions stay next to
  concurrent versions.
- A record that only one node can write (its outlier report) is written under the name of that node, and a
  later version replaces an earlier one.
- A server list is written under its source, with the revision as the count, so an older list never replaces a
  newer one.
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
# Bounds on records from peers. Each node of a fleet may have its own version of a record.
MAX_KEY_CHARACTERS = 200  # of each part of a key
MAX_VERSIONS, MAX_ACTORS = 1024, 4096
MAX_CONTENT_BYTES = 2 * 1024 * 1024  # total of all versions of a record
# Approximate sizes on the wire, excluding names and contents.
RECORD_OVERHEAD_BYTES, VERSION_OVERHEAD_BYTES, ACTOR_OVERHEAD_BYTES = 40, 30, 20
# Lower than every valid count.
_LOWEST_COUNT = (-1, -1)


class Version(msgspec.Struct, array_like=True, frozen=True):
    """One version of a record. `content` is opaque bytes, except to the module that defines the kind."""

    actor: str
    count: Count
    content: bytes
    deleted: bool = False  # this version deletes the record

    @property
    def dot(self) -> Dot:
        """Identifies the version in the whole fleet."""
        return self.actor, self.count


class Record(msgspec.Struct, array_like=True, frozen=True):
    """The state of a record at one replica. A `soft` record holds a recent observation: it has an age and
    expires unless its observer reports it again.
    """

    kind: str
    subject: str
    observer: str
    soft: bool
    versions: list[Version]
    context: dict[str, Count]
    age_ms: int = 0  # of a soft record: the time since it was written

    @property
    def key(self) -> Key:
        """Identifies the record."""
        return self.kind, self.subject, self.observer

    @property
    def is_deleted(self) -> bool:
        """Whether every version deletes the record."""
        return all(version.deleted for version in self.versions)


class InvalidRecordError(SailrunError, ValueError):
    """A record exceeds a bound or is inconsistent; the message gives the reason."""


def validate_record(record: Record) -> None:
    """Raises InvalidRecordError for a record that exceeds a bound or is inconsistent."""
    if any(len(part) > MAX_KEY_CHARACTERS for part in record.key):
        raise InvalidRecordError("record key has a part longer than MAX_KEY_CHARACTERS")
    if not 1 <= len(record.versions) <= MAX_VERSIONS or len(record.context) > MAX_ACTORS:
        raise InvalidRecordError(
            f"record has {len(record.versions)} versions and {len(record.context)} actors,"
            f" expected 1 to {MAX_VERSIONS} versions and at most {MAX_ACTORS} actors"
        )
    if sum(len(version.content) for version in record.versions) > MAX_CONTENT_BYTES:
        raise InvalidRecordError("contents of the record's versions exceed MAX_CONTENT_BYTES")
    dots = {version.dot for version in record.versions}
    if len(dots) != len(record.versions) or any(_is_beyond(dot, record.context) for dot in dots):
        raise InvalidRecordError("record has duplicate versions or versions not covered by its context")


def merge_records(one: Record, other: Record) -> Record:
    """Returns the merged state of a record from its states at two replicas."""
    one_by_dot = {version.dot: version for version in one.versions}
    other_by_dot = {version.dot: version for version in other.versions}
    versions = [v for dot, v in one_by_dot.items() if dot in other_by_dot or _is_beyond(dot, other.context)]
    versions += [
        v for dot, v in other_by_dot.items() if dot not in one_by_dot and _is_beyond(dot, one.context)
    ]
    versions.sort(key=lambda version: version.dot)
    context = dict(one.context)
    for actor, count in other.context.items():
        context[actor] = max(count, context.get(actor, count))
    # The merged record is as old as its latest version; if both states contain it, the lower age counts.
    states = ((one, one_by_dot), (other, other_by_dot))
    ages_ms = [r.age_ms for r, by_dot in states if versions and versions[-1].dot in by_dot]
    return Record(*one.key, one.soft, versions, context, min(ages_ms, default=0))


def _is_beyond(dot: Dot, context: dict[str, Count]) -> bool:
    actor, count = dot
    return count > context.get(actor, _LOWEST_COUNT)


def covers(record: Record | None, dots: Iterable[Dot]) -> bool:
    """Whether the record contains each of these versions or has superseded it."""
    return record is not None and not any(_is_beyond(dot, record.context) for dot in dots)


def contradicts(one: Record, other: Record) -> bool:
    """Whether a version has different contents in the two states, so that one of them must be corrupted."""
    one_by_dot = {version.dot: version for version in one.versions}
    return any(v.dot in one_by_dot and one_by_dot[v.dot] != v for v in other.versions)


def apply_write(
    previous: Record | None,
    key: Key,
    soft: bool,
    actor: str,
    count: Count,
    content: bytes,
    deleted: bool = False,
) -> Record:
    """Returns the record after a write by an actor that has seen all versions of `previous`."""
    context = dict(previous.context) if previous is not None else {}
    context[actor] = max(count, context.get(actor, count))
    return Record(*key, soft, [Version(actor, count, content, deleted)], context)


_encoder = msgspec.msgpack.Encoder(order="deterministic")


def hash_record(record: Record, salt: bytes) -> int:
    """Returns a 64-bit hash of the record. Equal records have equal hashes, and different records have
    different ones except for random collisions.
    """
    content = (record.key, record.soft, record.versions, record.context)
    return int.from_bytes(blake2b(_encoder.encode(content), digest_size=8, key=salt).digest(), "big")


def estimate_size_bytes(record: Record) -> int:
    """Returns the approximate size of a record on the wire; in memory it takes about three times as much."""
    size_bytes = RECORD_OVERHEAD_BYTES + sum(len(part) for part in record.key)
    for version in record.versions:
        size_bytes += VERSION_OVERHEAD_BYTES + len(version.actor) + len(version.content)
    for actor in record.context:
        size_bytes += ACTOR_OVERHEAD_BYTES + len(actor)
    return size_bytes
