"""The binary format of the files in a storage folder. Pure.

A file is a header and frames; numbers are little-endian. The header, 52 bytes:

    0   8  magic, "sailrun" and a zero byte
    8   2  schema
    10  2  kind: 1 a journal that continues the previous one, 2 a snapshot, 3 a standalone journal, which
           depends on its own snapshot only
    12  8  generation
    20  16 identity of the folder
    36  8  position: of the last entry before this journal, or of the snapshot's state
    44  8  checksum of the preceding 44 bytes

A frame, 40 bytes and its payload:

    0   4  length of the payload
    4   4  kind: 0 an entry, 1 the journal is closed and the next generation follows, 2 the end of a
           snapshot, 3 entries of a snapshot, as an array
    8   8  generation
    16  8  position; in a snapshot, the count of entries up to the frame's end
    24  8  synced position: every entry up to it was known to be synced when the frame was written
    32  8  checksum of the preceding 32 bytes and the payload
    40  -  payload

Checksums are BLAKE2b of 64 bits with the folder's identity as key, so that a frame of another folder is
rejected. Each frame contains the generation, so that remains of an older file in the same disk blocks are
rejected as well.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from hashlib import blake2b

from sailrun.storage.errors import CorruptFileError, NewerSchemaError

MAGIC, SCHEMA = b"sailrun\0", 1
_HEADER = struct.Struct("<8sHHQ16sQ")
_FRAME_HEADER = struct.Struct("<IIQQQ")
CHECKSUM_BYTES = 8
HEADER_BYTES = _HEADER.size + CHECKSUM_BYTES
FRAME_HEADER_BYTES = _FRAME_HEADER.size + CHECKSUM_BYTES
# Enough for the largest record with its metadata: a frame with a longer payload is damaged.
MAX_PAYLOAD_BYTES = 4 * 1024 * 1024
READ_CHUNK_BYTES = 1024 * 1024
# Number of bytes after a damaged frame that are scanned for valid frames.
SCAN_BYTES = 256 * 1024

# Reads from a file; the arguments are the offset and the maximum length. Empty at the end of the file.
ReadAt = Callable[[int, int], bytes]


class FileKind(IntEnum):
    """The kind in a file's header. A standalone journal was begun after a failure of the disk: it does not
    continue the previous journal and cannot be used without its own snapshot.
    """

    JOURNAL = 1
    SNAPSHOT = 2
    STANDALONE_JOURNAL = 3


class FrameKind(IntEnum):
    """The kind of a frame's payload."""

    ENTRY = 0  # one entry of a journal
    JOURNAL_CLOSED = 1  # the end of a journal: the next generation follows
    SNAPSHOT_END = 2
    SNAPSHOT_ENTRIES = 3


_FRAME_KINDS = frozenset(FrameKind)


@dataclass(frozen=True, slots=True)
class FileHeader:
    """The header of a file. `position`: of the last entry before a journal, or of a snapshot's state."""

    kind: FileKind
    generation: int
    identity: bytes
    position: int


@dataclass(frozen=True, slots=True)
class Frame:
    """A frame. `position` is that of its entry; in a snapshot, the count of entries up to the frame's end.
    `synced_position` is that of the last entry known to be synced when the frame was written.
    """

    kind: FrameKind
    position: int
    synced_position: int
    payload: bytes


@dataclass(slots=True)
class _LocatedFrame:
    """A frame in a buffer and the offset at which it ends. If `frame` is None, the buffer has to be filled up
    to that offset before the frame can be decoded.
    """

    frame: Frame | None
    end: int


def _checksum(data: bytes, key: bytes) -> bytes:
    return blake2b(data, digest_size=CHECKSUM_BYTES, key=key).digest()


def encode_header(header: FileHeader) -> bytes:
    """Encodes the header as HEADER_BYTES bytes."""
    data = _HEADER.pack(MAGIC, SCHEMA, header.kind, header.generation, header.identity, header.position)
    return data + _checksum(data, header.identity)


def read_header(read_at: ReadAt) -> FileHeader:
    """Reads and checks the header. Raises CorruptFileError or NewerSchemaError."""
    data = read_at(0, HEADER_BYTES)
    if len(data) < HEADER_BYTES:
        raise CorruptFileError("the header is truncated: the file is shorter than its header")
    magic, schema, kind, generation, identity, position = _HEADER.unpack_from(data)
    if magic != MAGIC:
        raise CorruptFileError("not a sailrun file: the header has unexpected magic bytes")
    if data[_HEADER.size :] != _checksum(data[: _HEADER.size], identity):
        raise CorruptFileError("the header is damaged: its checksum does not match")
    if schema > SCHEMA:
        raise NewerSchemaError(schema, SCHEMA)
    try:
        return FileHeader(FileKind(kind), generation, identity, position)
    except ValueError:
        raise CorruptFileError(f"unknown file kind {kind} in the header: expected 1 to 3") from None


def encode_frame(identity: bytes, generation: int, frame: Frame) -> bytes:
    """Encodes a frame for a file of that folder and generation."""
    header = _FRAME_HEADER.pack(
        len(frame.payload), frame.kind, generation, frame.position, frame.synced_position
    )
    return header + _checksum(header + frame.payload, identity) + frame.payload


def _decode_frame_at(data: bytes | bytearray, offset: int, file: FileHeader) -> _LocatedFrame | None:
    """Decodes the frame at that offset of the buffer; None if the bytes are not a valid frame, regardless of
    what follows.
    """
    payload_offset = offset + FRAME_HEADER_BYTES
    if len(data) < payload_offset:
        return _LocatedFrame(None, payload_offset)
    length, kind, generation, position, synced_position = _FRAME_HEADER.unpack_from(data, offset)
    if length > MAX_PAYLOAD_BYTES or generation != file.generation or kind not in _FRAME_KINDS:
        return None
    end = payload_offset + length
    if len(data) < end:
        return _LocatedFrame(None, end)
    checksum_offset = offset + _FRAME_HEADER.size
    header, payload = bytes(data[offset:checksum_offset]), bytes(data[payload_offset:end])
    if data[checksum_offset:payload_offset] != _checksum(header + payload, file.identity):
        return None
    return _LocatedFrame(Frame(FrameKind(kind), position, synced_position, payload), end)


@dataclass(slots=True)
class FrameReader:
    """Iterates over a file's frames up to the first damaged one. The fields after `header` are final once the
    iteration has ended. Uses the memory of one chunk and one frame.
    """

    read_at: ReadAt
    header: FileHeader
    end_offset: int = HEADER_BYTES  # the end of the last valid frame
    has_torn_tail: bool = False  # there are bytes after `end_offset`
    synced_after_damage: int = 0  # the highest `synced_position` of valid frames after the first damaged one

    def __iter__(self) -> Iterator[Frame]:
        """Yields the frames in file order."""
        data, offset = bytearray(), 0  # `data` begins at `end_offset - offset` of the file
        while True:
            located = _decode_frame_at(data, offset, self.header)
            if located is not None and located.frame is not None:
                self.end_offset += located.end - offset
                offset = located.end
                yield located.frame
                continue
            if located is None:
                break
            more = self.read_at(self.end_offset - offset + len(data), READ_CHUNK_BYTES)
            if not more:
                break
            del data[:offset]
            offset = 0
            data += more
        self.has_torn_tail = len(data) > offset
        if self.has_torn_tail:
            self._scan_after_damage()

    def _scan_after_damage(self) -> None:
        """Sets `synced_after_damage`. Frames after the first damaged one are not used, but a frame that was
        written when the damaged one was known to be synced proves that the damage happened on disk and is
        not a torn write.
        """
        data = self.read_at(self.end_offset + 1, SCAN_BYTES)
        generation = self.header.generation.to_bytes(8, "little")
        found_at = 0
        while (found_at := data.find(generation, found_at)) >= 0:
            # The generation is 8 bytes into a frame.
            located = _decode_frame_at(data, found_at - 8, self.header) if found_at >= 8 else None
            if located is not None and located.frame is not None:
                self.synced_after_damage = max(self.synced_after_damage, located.frame.synced_position)
            found_at += 1
