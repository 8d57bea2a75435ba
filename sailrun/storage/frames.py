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
_HEADER = struct.Struct("<8sHHQ16sQ")
_FRAME_HEADER = struct.Struct("<IIQQQ")
CHECKSUM_BYTES = 8
HEADER_BYTES = _HEADER.size + CHECKSUM_BYTES
FRAME_HEADER_BYTES = _FRAME_HEADER.size + CHECKSUM_BYTES
# A longer frame is none: the largest record and what goes with it.
MAX_PAYLOAD_BYTES = 4 * 1024 * 1024
# Read at a time; after a bad frame, so much is looked through for good ones.
READ_CHUNK_BYTES, SCAN_BYTES = 1024 * 1024, 256 * 1024

ReadAt = Callable[[int, int], bytes]  # offset and most bytes; empty at the end


class FileKind(IntEnum):
    JOURNAL = 1
    SNAPSHOT = 2
    STANDALONE_JOURNAL = 3


class FrameKind(IntEnum):
    ENTRY = 0
    JOURNAL_CLOSED = 1
    SNAPSHOT_END = 2
    SNAPSHOT_ENTRIES = 3


class CorruptFileError(ValueError):
    """No file of this folder; says why."""


class NewerSchemaError(CorruptFileError):
    """Written by a later version of the program."""


@dataclass(frozen=True, slots=True)
class FileHeader:
    kind: FileKind
    generation: int
    identity: bytes
    position: int


@dataclass(frozen=True, slots=True)
class Frame:
    kind: FrameKind
    position: int
    synced_position: int
    payload: bytes


def _checksum(data: bytes, key: bytes) -> bytes:
    return blake2b(data, digest_size=CHECKSUM_BYTES, key=key).digest()


def encode_header(head: FileHeader) -> bytes:
    data = _HEADER.pack(MAGIC, SCHEMA, head.kind, head.generation, head.identity, head.position)
    return data + _checksum(data, head.identity)


def read_header(read: ReadAt) -> FileHeader:
    """Raises BadFile."""
    data = read(0, HEADER_BYTES)
    if len(data) < HEADER_BYTES:
        raise CorruptFileError("no whole head")
    magic, schema, kind, generation, identity, position = _HEADER.unpack_from(data)
    if magic != MAGIC:
        raise CorruptFileError("not a file of sailrun's")
    if data[_HEADER.size :] != _checksum(data[: _HEADER.size], identity):
        raise CorruptFileError("a damaged head")
    if schema > SCHEMA:
        raise NewerSchemaError(f"of schema {schema}; this version reads up to {SCHEMA}")
    try:
        return FileHeader(FileKind(kind), generation, identity, position)
    except ValueError:
        raise CorruptFileError(f"of kind {kind}") from None


def encode_frame(identity: bytes, generation: int, frame: Frame) -> bytes:
    head = _FRAME_HEADER.pack(
        len(frame.payload), frame.kind, generation, frame.position, frame.synced_position
    )
    return head + _checksum(head + frame.payload, identity) + frame.payload


def _decode_frame_at(data: bytes | bytearray, at: int, head: FileHeader) -> tuple[Frame, int] | int | None:
    """The frame there and where it ends; how many bytes it wants where it may go on; None: there is none."""
    if len(data) - at < FRAME_HEADER_BYTES:
        return at + FRAME_HEADER_BYTES
    length, content, generation, position, firm = _FRAME_HEADER.unpack_from(data, at)
    if (
        length > MAX_PAYLOAD_BYTES
        or generation != head.generation
        or content not in FrameKind._value2member_map_
    ):
        return None
    end: int = at + FRAME_HEADER_BYTES + length
    if len(data) < end:
        return end
    told = bytes(data[at : at + _FRAME_HEADER.size]), bytes(data[at + FRAME_HEADER_BYTES : end])
    if data[at + _FRAME_HEADER.size : at + FRAME_HEADER_BYTES] != _checksum(told[0] + told[1], head.identity):
        return None
    return Frame(FrameKind(content), position, firm, told[1]), end


@dataclass(slots=True)
class FrameReader:
    """Goes through a file's frames up to the first that is none. Memory: a chunk and a frame."""

    read_at: ReadAt
    header: FileHeader
    end_offset: int = HEADER_BYTES  # where the last good frame ended
    has_torn_tail: bool = False  # something comes after it
    synced_after_damage: int = 0  # the highest `firm` of good frames after the first bad one

    def __iter__(self) -> Iterator[Frame]:
        data, at = bytearray(), 0  # `data` is of the file from `end - at`
        while True:
            found = _decode_frame_at(data, at, self.header)
            if isinstance(found, tuple):
                frame, end = found
                self.end_offset += end - at
                at = end
                yield frame
                continue
            more = b"" if found is None else self.read_at(self.end_offset - at + len(data), READ_CHUNK_BYTES)
            if not more:
                break
            del data[:at]
            at = 0
            data += more
        self.has_torn_tail = len(data) > at
        if self.has_torn_tail:
            self._scan_after_damage()

    def _scan_after_damage(self) -> None:
        """Frames after the first bad one are not believed; but one that knew the bad one to be on the disk
        says that it was spoilt there, and not torn while it was written.
        """
        data = self.read_at(self.end_offset + 1, SCAN_BYTES)
        at = 0
        generation = self.header.generation.to_bytes(8, "little")
        while (at := data.find(generation, at)) >= 0:
            found = _decode_frame_at(data, at - 8, self.header) if at >= 8 else None
            if isinstance(found, tuple):
                self.synced_after_damage = max(self.synced_after_damage, found[0].synced_position)
            at += 1
