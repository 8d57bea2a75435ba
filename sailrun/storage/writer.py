"""Carries out the write-ahead log's work on a folder. Pure but for the files it is given."""

from __future__ import annotations

import errno

from sailrun.storage.folder import Folder
from sailrun.storage.write_ahead_log import Done, Work


class Writer:
    """Does one piece of work at a time. A running node has a thread for it, see `service.py`."""

    def __init__(self, folder: Folder, node: str, fleet: str) -> None:
        self._folder, self._node, self._fleet = folder, node, fleet
        self._failed = False

    @property
    def folder(self) -> Folder:
        return self._folder

    def do(self, work: Work) -> Done:
        """Everything up to the work's position is on the disk, or it has failed."""
        folder = self._folder
        try:
            if work.identity:
                folder.begin(self._node, self._fleet, work.identity, work.position)
                folder.stand_anew(work.whole or (), work.position)
            elif work.anew or self._failed:
                if work.whole is None:
                    raise OSError(errno.EIO, "waits to be written as a whole")
                folder.stand_anew(work.whole, work.position)
            else:
                folder.write(work.entries)
                folder.sync()
                if work.whole is not None:
                    self._finish()
                    folder.turn_over(work.whole)
        except OSError as error:
            self._failed = True
            return Done(0, 0, error.strerror or str(error))
        self._failed = False
        return Done(work.position, folder.journal_bytes)

    def idle(self) -> bool:
        """Goes on with a snapshot, if one is being written; whether there is more of it. A fault of the disk
        here shows at the next work.
        """
        if not self._folder.busy:
            return False
        try:
            return not self._folder.go_on_with_snapshot()
        except OSError:
            self._failed = True
            self._folder.close()
            return False

    def _finish(self) -> None:
        while self._folder.busy:
            self._folder.go_on_with_snapshot()

    def close(self) -> None:
        self._folder.close()
