"""Writes a snapshot to a temporary file, one chunk at a time, and renames it once it is synced."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain, islice

from sailrun.replication.records import estimate_size_bytes
from sailrun.storage.entries import Entry, StoredRecord, encode_entries
from sailrun.storage.files import FolderFiles
from sailrun.storage.folder_layout import TEMPORARY_SUFFIX, name_snapshot
from sailrun.storage.frames import FileHeader, Frame, FrameKind, encode_frame, encode_header

# Limits of a frame: the number of entries and the estimated bytes of their records. Above the limit of bytes,
# each frame has one entry. The writer can do other work between two frames.
SNAPSHOT_FRAME_ENTRIES = 500
SNAPSHOT_FRAME_BYTES = 256 * 1024


class SnapshotWriter:
    """One snapshot that is being written. Every method raises OSError if the disk fails."""

    def __init__(self, files: FolderFiles, header: FileHeader, entries: Iterable[Entry]) -> None:
        self.generation = header.generation
        self.has_all_entries = False
        self._files, self._identity = files, header.identity
        self._entries = iter(entries)
        self._entry_count = 0
        self._name = name_snapshot(header.generation)
        self._handle = files.create(self._name + TEMPORARY_SUFFIX)
        data = encode_header(header)
        self._handle.write(data)
        self.header_bytes = len(data)

    def write_chunk(self, synced_position: int) -> int:
        """Writes the next frame: some entries, or the end mark after the last entry. Returns the number of
        bytes written.
        """
        entries = list(islice(self._entries, SNAPSHOT_FRAME_ENTRIES))
        if not entries:
            written = self._write_frame(FrameKind.SNAPSHOT_END, [], synced_position)
            self.has_all_entries = True
            return written
        if _count_record_bytes(entries) > SNAPSHOT_FRAME_BYTES:
            self._entries = chain(entries[1:], self._entries)
            entries = entries[:1]
        return self._write_frame(FrameKind.SNAPSHOT_ENTRIES, entries, synced_position)

    def _write_frame(self, kind: FrameKind, entries: list[Entry], synced_position: int) -> int:
        self._entry_count += len(entries)
        payload = encode_entries(entries) if entries else b""
        frame = Frame(kind, self._entry_count, synced_position, payload)
        data = encode_frame(self._identity, self.generation, frame)
        self._handle.write(data)
        return len(data)

    def sync(self) -> None:
        """Syncs the file to disk and closes it; nothing more can be written."""
        self._handle.sync()
        self._handle.close()

    def publish(self) -> None:
        """Renames the file to its final name; the caller syncs the folder."""
        self._files.rename(self._name + TEMPORARY_SUFFIX, self._name)

    def close(self) -> None:
        """Closes the file without renaming it."""
        self._handle.close()


def _count_record_bytes(entries: list[Entry]) -> int:
    return sum(estimate_size_bytes(entry.record) for entry in entries if isinstance(entry, StoredRecord))
