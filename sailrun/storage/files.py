"""File operations on a node's folder. The laboratory has a folder of its own that loses what was not synced;
the rest of this package knows neither.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Protocol


class AppendHandle(Protocol):
    """A file that is open for writing at its end. Each call but `close` raises OSError where it fails."""

    def write(self, data: bytes) -> None:
        """Appends the bytes, all of them; they are not on the disk before `sync`."""

    def sync(self) -> None:
        """Everything that was written is on the disk when this returns."""

    def close(self) -> None:
        """Closes the file, without a sync. Closing it again does nothing."""


class FolderFiles(Protocol):
    """The files of one folder, by name and without folders below it. Each call raises OSError where it
    fails.
    """

    def names(self) -> list[str]:
        """The names of all files."""

    def size(self, name: str) -> int:
        """The file's size in bytes."""

    def read(self, name: str, offset: int, most: int) -> bytes:
        """At most `most` bytes from `offset` on; empty at the end of the file."""

    def create(self, name: str) -> AppendHandle:
        """Opens a new file; one of that name is emptied."""

    def append(self, name: str) -> AppendHandle:
        """Opens an existing file at its end."""

    def truncate(self, name: str, size: int) -> None:
        """Cuts the file to that size, and syncs it."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file, in place of one that has the new name."""

    def remove(self, name: str) -> None:
        """Removes a file."""

    def sync_folder(self) -> None:
        """Names that were made, changed or removed are so on the disk when this returns."""

    def inode(self, name: str) -> int:
        """The number of the file that has this name: a rename keeps it, a copy has another."""

    def lock(self) -> bool:
        """Whether the folder is this process's alone now; it is so until `unlock`, or the process's end."""

    def unlock(self) -> None:
        """Releases the folder, if this process had it."""


class _OsHandle:
    def __init__(self, fd: int) -> None:
        self._fd = fd

    def write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self._fd, view) :]

    def sync(self) -> None:
        os.fdatasync(self._fd)  # a longer file's length is data

    def close(self) -> None:
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1


class OsFiles:
    """A folder of the operating system, readable by its owner alone; the methods are those of FolderFiles."""

    LOCK_FILE = "lock"

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._lock_fd = -1

    def make(self) -> None:
        """Makes the folder where there is none; its parent has to be there."""
        if not self.folder.is_dir():
            self.folder.mkdir(mode=0o700)

    def names(self) -> list[str]:
        """The names of all regular files."""
        return [entry.name for entry in os.scandir(self.folder) if entry.is_file(follow_symlinks=False)]

    def size(self, name: str) -> int:
        """The file's size in bytes."""
        return os.stat(self.folder / name).st_size

    def read(self, name: str, offset: int, most: int) -> bytes:
        """At most `most` bytes from `offset` on."""
        fd = os.open(self.folder / name, os.O_RDONLY)
        try:
            return os.pread(fd, most, offset)
        finally:
            os.close(fd)

    def create(self, name: str) -> AppendHandle:
        """Opens a new file; one of that name is emptied."""
        return _OsHandle(os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600))

    def append(self, name: str) -> AppendHandle:
        """Opens an existing file at its end."""
        return _OsHandle(os.open(self.folder / name, os.O_WRONLY | os.O_APPEND))

    def truncate(self, name: str, size: int) -> None:
        """Cuts the file to that size, and syncs it."""
        fd = os.open(self.folder / name, os.O_WRONLY)
        try:
            os.ftruncate(fd, size)
            os.fsync(fd)
        finally:
            os.close(fd)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, in place of one that has the new name."""
        os.rename(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        """Removes a file."""
        os.remove(self.folder / name)

    def sync_folder(self) -> None:
        """Syncs the names of the files."""
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def inode(self, name: str) -> int:
        """The number of the file that has this name."""
        return os.stat(self.folder / name).st_ino

    def lock(self) -> bool:
        """Whether the folder is this process's alone now; it is so until `unlock`, or the process's end."""
        if self._lock_fd >= 0:
            return True
        fd = os.open(self.folder / self.LOCK_FILE, os.O_WRONLY | os.O_CREAT, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return False
        except BaseException:  # whatever it was, the file is not left open
            os.close(fd)
            raise
        self._lock_fd = fd
        return True

    def unlock(self) -> None:
        """Releases the folder, if this process had it."""
        if self._lock_fd >= 0:
            with contextlib.suppress(OSError):
                os.close(self._lock_fd)
            self._lock_fd = -1
