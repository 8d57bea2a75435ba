"""The bytes of a folder's files. Pure.

A file is a head and frames; numbers are little-endian. The head, 52 bytes:

    0   8  magic, "sailrun" and a zero byte
    8   2  schema
    10  2  kind: 1 a journal that goes on from the one before, 2 a snapshot, 3 a journal that stands on its
           own snapshot alone
    12  8  generation
    20  16 identity of the folder
    36  8  position: the last one before this journal, or that of the snapshot's state
    44  8  checksum of the 44 bytes before

A frame, 40 bytes and its content:

    0   4  length of the content
    4   4  of the content: 0 an entry, 1 "the next generation goes on", 2 the end of a snapshot, 3 entries of
           a snapshot, as an array
    8   8  generation
    16  8  position; in a snapshot, how many entries there were up to the frame's end
    24  8  firm: up to which position everything was known to be on the disk when this was written
    32  8  checksum of the 32 bytes before and the content
    40  -  content

Checksums are BLAKE2b of 64 bits with the folder's identity as key: a frame of another folder is none here.
The generation is in each, so that what an older file left in the same blocks is none either.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from hashlib import blake2b

MAGIC, SCHEMA = b"sailrun\0", 1
_HEAD = struct.Struct("<8sHHQ16sQ")
_FRAME = struct.Struct("<IIQQQ")
CHECK = 8
HEAD_BYTES = _HEAD.size + CHECK
FRAME_BYTES = _FRAME.size + CHECK
# A longer frame is none: the largest record and what goes with it.
LONGEST = 4 * 1024 * 1024
# Read at a time; after a bad frame, so much is looked through for good ones.
CHUNK, LOOK = 1024 * 1024, 256 * 1024

Read = Callable[[int, int], bytes]  # offset and most bytes; empty at the end


class Kind(IntEnum):
    JOURNAL = 1
    SNAPSHOT = 2
    ALONE = 3


class Content(IntEnum):
    ENTRY = 0
    NEXT = 1
    END = 2
    MANY = 3


class BadFile(ValueError):
    """No file of this folder; says why."""


class NewerSchema(BadFile):
    """Written by a later version of the program."""


@dataclass(frozen=True, slots=True)
class Head:
    kind: Kind
    generation: int
    identity: bytes
    position: int


@dataclass(frozen=True, slots=True)
class Frame:
    content: Content
    position: int
    firm: int
    data: bytes


def _check(data: bytes, key: bytes) -> bytes:
    return blake2b(data, digest_size=CHECK, key=key).digest()


def pack_head(head: Head) -> bytes:
    data = _HEAD.pack(MAGIC, SCHEMA, head.kind, head.generation, head.identity, head.position)
    return data + _check(data, head.identity)


def read_head(read: Read) -> Head:
    """Raises BadFile."""
    data = read(0, HEAD_BYTES)
    if len(data) < HEAD_BYTES:
        raise BadFile("no whole head")
    magic, schema, kind, generation, identity, position = _HEAD.unpack_from(data)
    if magic != MAGIC:
        raise BadFile("not a file of sailrun's")
    if data[_HEAD.size :] != _check(data[: _HEAD.size], identity):
        raise BadFile("a damaged head")
    if schema > SCHEMA:
        raise NewerSchema(f"of schema {schema}; this version reads up to {SCHEMA}")
    try:
        return Head(Kind(kind), generation, identity, position)
    except ValueError:
        raise BadFile(f"of kind {kind}") from None


def pack_frame(identity: bytes, generation: int, frame: Frame) -> bytes:
    head = _FRAME.pack(len(frame.data), frame.content, generation, frame.position, frame.firm)
    return head + _check(head + frame.data, identity) + frame.data


def _frame_at(data: bytes | bytearray, at: int, head: Head) -> tuple[Frame, int] | int | None:
    """The frame there and where it ends; how many bytes it wants where it may go on; None: there is none."""
    if len(data) - at < FRAME_BYTES:
        return at + FRAME_BYTES
    length, content, generation, position, firm = _FRAME.unpack_from(data, at)
    if length > LONGEST or generation != head.generation or content not in Content._value2member_map_:
        return None
    end: int = at + FRAME_BYTES + length
    if len(data) < end:
        return end
    told = bytes(data[at : at + _FRAME.size]), bytes(data[at + FRAME_BYTES : end])
    if data[at + _FRAME.size : at + FRAME_BYTES] != _check(told[0] + told[1], head.identity):
        return None
    return Frame(Content(content), position, firm, told[1]), end


@dataclass(slots=True)
class Frames:
    """Goes through a file's frames up to the first that is none. Memory: a chunk and a frame."""

    read: Read
    head: Head
    end: int = HEAD_BYTES  # where the last good frame ended
    torn: bool = False  # something comes after it
    firm_after: int = 0  # the highest `firm` of good frames after the first bad one

    def __iter__(self) -> Iterator[Frame]:
        data, at = bytearray(), 0  # `data` is of the file from `end - at`
        while True:
            found = _frame_at(data, at, self.head)
            if isinstance(found, tuple):
                frame, end = found
                self.end += end - at
                at = end
                yield frame
                continue
            more = b"" if found is None else self.read(self.end - at + len(data), CHUNK)
            if not more:
                break
            del data[:at]
            at = 0
            data += more
        self.torn = len(data) > at
        if self.torn:
            self._look_after()

    def _look_after(self) -> None:
        """Frames after the first bad one are not believed; but one that knew the bad one to be on the disk
        says that it was spoilt there, and not torn while it was written.
        """
        data = self.read(self.end + 1, LOOK)
        at = 0
        generation = self.head.generation.to_bytes(8, "little")
        while (at := data.find(generation, at)) >= 0:
            found = _frame_at(data, at - 8, self.head) if at >= 8 else None
            if isinstance(found, tuple):
                self.firm_after = max(self.firm_after, found[0].firm)
            at += 1
