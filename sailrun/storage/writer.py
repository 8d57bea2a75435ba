"""Carries out the write-ahead log's work on a folder. Pure but for the files it is given."""

from __future__ import annotations

import errno

from sailrun.storage.folder_writer import FolderWriter
from sailrun.storage.write_ahead_log import WriteBatch, WriteResult


class BatchWriter:
    """Does one piece of work at a time. A running node has a thread for it, see `service.py`."""

    def __init__(self, folder: FolderWriter, node: str, fleet: str) -> None:
        self._folder, self._node, self._fleet = folder, node, fleet
        self._has_failed = False

    @property
    def folder(self) -> FolderWriter:
        return self._folder

    def write(self, work: WriteBatch) -> WriteResult:
        """Everything up to the work's position is on the disk, or it has failed."""
        folder = self._folder
        try:
            if work.new_identity:
                folder.create(self._node, self._fleet, work.new_identity, work.position)
                folder.write_standalone_generation(work.state_entries or (), work.position)
            elif work.is_standalone or self._has_failed:
                if work.state_entries is None:
                    raise OSError(errno.EIO, "waits to be written as a whole")
                folder.write_standalone_generation(work.state_entries, work.position)
            else:
                folder.append(work.entries)
                folder.sync()
                if work.state_entries is not None:
                    self._finish_snapshot()
                    folder.begin_generation(work.state_entries)
        except OSError as error:
            self._has_failed = True
            return WriteResult(0, 0, error.strerror or str(error))
        self._has_failed = False
        return WriteResult(work.position, folder.journal_bytes)

    def continue_snapshot(self) -> bool:
        """Goes on with a snapshot, if one is being written; whether there is more of it. A fault of the disk
        here shows at the next work.
        """
        if not self._folder.is_writing_snapshot:
            return False
        try:
            return not self._folder.write_snapshot_chunk()
        except OSError:
            self._has_failed = True
            self._folder.close()
            return False

    def _finish_snapshot(self) -> None:
        while self._folder.is_writing_snapshot:
            self._folder.write_snapshot_chunk()

    def close(self) -> None:
        self._folder.close()
