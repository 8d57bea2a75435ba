"""Writes a storage folder so that a reader finds the state either before or after each step.

A new generation begins with its journal; its snapshot is written to a temporary file, synced and renamed.
Until then, the previous snapshot and both journals contain the same state. The last two generations are
retained.

Not thread-safe: one thread owns the writer.
"""

from __future__ import annotations

import errno
from collections.abc import Iterable

from sailrun.storage.entries import Entry, encode_entry
from sailrun.storage.files import AppendHandle, FolderFiles
from sailrun.storage.folder_identity import FolderIdentity, write_identity
from sailrun.storage.folder_layout import (
    SET_ASIDE_PREFIX,
    is_data_file,
    list_journals,
    list_snapshots,
    name_journal,
    name_snapshot,
)
from sailrun.storage.folder_reader import FolderContents, FolderIntegrity, read_folder
from sailrun.storage.frames import FileHeader, FileKind, Frame, FrameKind, encode_frame, encode_header
from sailrun.storage.snapshot_writer import SnapshotWriter


class FolderWriter:
    """Appends entries to a folder that was read, or replaces it by a new one. Every method that writes raises
    OSError if the disk fails; the state on disk is unknown after that.

    `position` is that of the last entry written, `synced_position` that of the last entry known to be synced;
    `written_bytes` and `sync_count` count since the start.
    """

    def __init__(
        self, files: FolderFiles, contents: FolderContents, disabled_rules: frozenset[str] = frozenset()
    ) -> None:
        """`disabled_rules` are safety rules that the laboratory switches off to verify that its checks detect
        the resulting faults.
        """
        self._files, self._disabled_rules = files, disabled_rules
        self._contents = contents
        self.identity = contents.identity
        self.position = self.synced_position = contents.position
        self.generation = contents.journal_generation
        self._highest_generation = contents.highest_generation
        self._journal: AppendHandle | None = None
        self._journal_bytes = 0
        self._snapshot: SnapshotWriter | None = None
        self.written_bytes = 0
        self.sync_count = 0

    # ------------------------------------------------------------------ opening

    def resume(self) -> None:
        """Continues the journal of an intact folder; truncates a torn write at its end."""
        contents = self._contents
        if not contents.journal_generation:
            self._begin_journal(1, FileKind.JOURNAL)
            return
        if contents.is_journal_closed:
            self._begin_journal(contents.journal_generation + 1, FileKind.JOURNAL)
            return
        name = name_journal(contents.journal_generation)
        if contents.torn_bytes:
            self._files.truncate(name, contents.journal_end)
        self._journal, self._journal_bytes = self._files.append(name), contents.journal_end
        for generation in list_journals(self._files.names()):
            if generation > contents.journal_generation:  # begun but never used
                self._files.remove(name_journal(generation))
        # The entries that were read may be only in the page cache, and promises will depend on them.
        self._sync_journal()

    def create(self, node: str, fleet: str, identity: bytes, position: int = 0) -> None:
        """Creates a folder of this identity whose first entry follows `position`. Existing files are set
        aside as `old-…`; files that were set aside earlier are removed.
        """
        self._acquire_lock()
        names = self._files.names()
        for name in names:
            if name.startswith(SET_ASIDE_PREFIX):
                self._files.remove(name)
        for name in names:
            if is_data_file(name):
                self._files.rename(name, SET_ASIDE_PREFIX + name)
        write_identity(self._files, FolderIdentity(node, fleet, identity))
        self._sync_folder()
        self.identity, self.generation, self._highest_generation = identity, 0, 0
        self.position = self.synced_position = position
        self._begin_journal(1, FileKind.JOURNAL)

    def _begin_journal(self, generation: int, kind: FileKind) -> None:
        if self._journal is not None:
            self._journal.close()
            self._journal = None
        handle = self._files.create(name_journal(generation))
        try:
            header = encode_header(FileHeader(kind, generation, self.identity, self.position))
            handle.write(header)
            handle.sync()
            self._sync_folder()
        except BaseException:  # the laboratory's power cut is not derived from Exception
            handle.close()
            raise
        self._journal, self._journal_bytes = handle, len(header)
        self.generation = self._highest_generation = generation
        self.written_bytes += len(header)

    def _acquire_lock(self) -> None:
        """Acquires the folder's lock. If locking failed at the start, another process may have locked the
        folder since.
        """
        self.close()
        if not self._files.lock():
            raise OSError(errno.EBUSY, "the folder is in use by another process")

    # ------------------------------------------------------------------ the journal

    @property
    def journal_bytes(self) -> int:
        """The size of the current journal in bytes."""
        return self._journal_bytes

    def append(self, entries: list[Entry]) -> None:
        """Appends entries to the journal, to be synced later."""
        journal = self._open_journal()
        frames = []
        for entry in entries:
            self.position += 1
            frames.append(self._encode_frame(FrameKind.ENTRY, encode_entry(entry)))
        data = b"".join(frames)
        journal.write(data)
        self._journal_bytes += len(data)
        self.written_bytes += len(data)

    def sync(self) -> None:
        """Syncs all appended entries to disk."""
        self._sync_journal()
        self.synced_position = self.position

    def _open_journal(self) -> AppendHandle:
        if self._journal is None:
            raise RuntimeError("the folder has no open journal: it was neither resumed nor created")
        return self._journal

    def _encode_frame(self, kind: FrameKind, payload: bytes = b"") -> bytes:
        frame = Frame(kind, self.position, self.synced_position, payload)
        return encode_frame(self.identity, self.generation, frame)

    def _sync_journal(self) -> None:
        self._open_journal().sync()
        self.sync_count += 1

    def _sync_folder(self) -> None:
        if "folder" not in self._disabled_rules:
            self._files.sync_folder()
            self.sync_count += 1

    # ------------------------------------------------------------------ generations

    @property
    def is_writing_snapshot(self) -> bool:
        """Whether a snapshot was begun and is not finished."""
        return self._snapshot is not None

    def begin_generation(self, entries: Iterable[Entry]) -> None:
        """Closes the journal and begins the next one. `entries` are the whole state at this position; calls
        of `write_snapshot_chunk` write them as its snapshot.
        """
        journal = self._open_journal()
        if self._snapshot is not None:
            raise RuntimeError("the snapshot of the previous generation is not finished")
        journal.write(self._encode_frame(FrameKind.JOURNAL_CLOSED))
        self.sync()
        self._begin_journal(self._highest_generation + 1, FileKind.JOURNAL)
        self._begin_snapshot(entries)

    def _begin_snapshot(self, entries: Iterable[Entry]) -> None:
        header = FileHeader(FileKind.SNAPSHOT, self.generation, self.identity, self.position)
        self._snapshot = SnapshotWriter(self._files, header, entries)
        self.written_bytes += self._snapshot.header_bytes

    def write_snapshot_chunk(self) -> bool:
        """Writes the next chunk of the snapshot; returns whether the snapshot is finished."""
        snapshot = self._snapshot
        if snapshot is None:
            raise RuntimeError("no snapshot is being written")
        self.written_bytes += snapshot.write_chunk(self.synced_position)
        if not snapshot.has_all_entries:
            return False
        snapshot.sync()
        self.sync_count += 1
        snapshot.publish()
        self._sync_folder()
        self._snapshot = None
        self._remove_older_generations(snapshot.generation)
        return True

    def _remove_older_generations(self, generation: int) -> None:
        """Removes all generations older than the one that precedes `generation`."""
        names = self._files.names()
        snapshots, journals = list_snapshots(names), list_journals(names)
        previous = max([n for n in snapshots if n < generation], default=1)
        outdated = [name_journal(n) for n in journals if n < previous]
        outdated += [name_snapshot(n) for n in snapshots if n < previous]
        for name in outdated:
            self._files.remove(name)

    def write_standalone_generation(self, entries: Iterable[Entry], position: int) -> None:
        """Writes the whole state as a generation that depends on no older file, and reads it back to verify
        it. Needed after a failed sync, when the state on disk of entries not synced before is unknown.
        """
        self._acquire_lock()
        self.position = position
        highest = max([self._highest_generation, *list_journals(self._files.names())])
        self._begin_journal(highest + 1, FileKind.STANDALONE_JOURNAL)
        self._begin_snapshot(entries)
        while not self.write_snapshot_chunk():
            pass
        self.sync()
        self._verify(position)

    def _verify(self, position: int) -> None:
        read_back = read_folder(self._files)
        if (
            read_back.integrity is not FolderIntegrity.INTACT
            or read_back.position != position
            or read_back.journal_generation != self.generation
        ):
            raise OSError(
                None,
                f"verification failed: wrote generation {self.generation} up to position {position}, "
                f"read back generation {read_back.journal_generation} up to position {read_back.position}, "
                f"integrity {read_back.integrity.value}, reason '{read_back.reason}'",
            )

    def close(self) -> None:
        """Closes the files; a snapshot that is not finished is abandoned."""
        snapshot, self._snapshot = self._snapshot, None
        journal, self._journal = self._journal, None
        if snapshot is not None:
            snapshot.close()
        if journal is not None:
            journal.close()
