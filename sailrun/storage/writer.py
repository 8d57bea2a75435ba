"""Writes the batches of the write-ahead log to a folder."""

from __future__ import annotations

import errno

from sailrun.storage.folder_writer import FolderWriter
from sailrun.storage.write_ahead_log import WriteBatch, WriteResult


class BatchWriter:
    """Writes one batch at a time. A running node does so in a separate thread, see `writer_thread.py`."""

    def __init__(self, folder: FolderWriter, node: str, fleet: str) -> None:
        """`node` and `fleet` are written to the identity file of a new folder."""
        self._folder, self._node, self._fleet = folder, node, fleet
        # After a failure the state on disk of unsynced entries is unknown: only a standalone generation is
        # reliable then.
        self._has_failed = False

    @property
    def folder(self) -> FolderWriter:
        """The writer of the folder."""
        return self._folder

    def write(self, batch: WriteBatch) -> WriteResult:
        """Writes and syncs the batch. A failure of the disk is returned as a result, not raised."""
        try:
            if batch.new_identity:
                self._write_new_folder(batch)
            elif batch.is_standalone or self._has_failed:
                self._write_standalone(batch)
            else:
                self._append(batch)
        except OSError as error:
            self._has_failed = True
            return WriteResult(0, 0, error.strerror or str(error))
        self._has_failed = False
        return WriteResult(batch.position, self._folder.journal_bytes)

    def _write_new_folder(self, batch: WriteBatch) -> None:
        self._folder.create(self._node, self._fleet, batch.new_identity, batch.position)
        self._folder.write_standalone_generation(batch.state_entries or (), batch.position)

    def _write_standalone(self, batch: WriteBatch) -> None:
        if batch.state_entries is None:
            raise OSError(errno.EIO, "the disk has failed and the batch has no whole state to write")
        self._folder.write_standalone_generation(batch.state_entries, batch.position)

    def _append(self, batch: WriteBatch) -> None:
        self._folder.append(batch.entries)
        self._folder.sync()
        if batch.state_entries is None:
            return
        while self._folder.is_writing_snapshot:
            self._folder.write_snapshot_chunk()
        self._folder.begin_generation(batch.state_entries)

    def continue_snapshot(self) -> bool:
        """Writes the next chunk of the snapshot, if one is being written; returns whether more chunks remain.
        A failure of the disk is reported with the next batch.
        """
        if not self._folder.is_writing_snapshot:
            return False
        try:
            return not self._folder.write_snapshot_chunk()
        except OSError:
            self._has_failed = True
            self._folder.close()
            return False

    def close(self) -> None:
        """Closes the folder's files."""
        self._folder.close()
