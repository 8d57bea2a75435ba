"""File operations on a storage folder. The laboratory has its own implementation, which loses unsynced data;
the rest of this package depends only on the protocols.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Protocol


class AppendHandle(Protocol):
    """A file that is open for appending. Each call except `close` raises OSError on failure."""

    def write(self, data: bytes) -> None:
        """Appends all bytes; they are durable only after `sync`."""

    def sync(self) -> None:
        """Syncs all written bytes to disk."""

    def close(self) -> None:
        """Closes the file without a sync. Closing it again does nothing."""


class FolderFiles(Protocol):
    """The files of one folder by name, without subfolders. Each call raises OSError on failure."""

    def names(self) -> list[str]:
        """The names of all files."""

    def size(self, name: str) -> int:
        """The file's size in bytes."""

    def read(self, name: str, offset: int, max_bytes: int) -> bytes:
        """Reads at most `max_bytes` bytes from `offset` on; empty at the end of the file."""

    def create(self, name: str) -> AppendHandle:
        """Creates a file, or truncates an existing one of that name, and opens it."""

    def append(self, name: str) -> AppendHandle:
        """Opens an existing file at its end."""

    def truncate(self, name: str, size: int) -> None:
        """Truncates the file to that size and syncs it."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file; an existing file with the new name is replaced."""

    def remove(self, name: str) -> None:
        """Removes a file."""

    def sync_folder(self) -> None:
        """Syncs the folder: created, renamed and removed file names are durable when this returns."""

    def inode(self, name: str) -> int:
        """The inode number of the file: a rename preserves it, a copy has a different one."""

    def lock(self) -> bool:
        """Locks the folder until `unlock` or the end of the process; False if another process has locked
        it.
        """

    def unlock(self) -> None:
        """Releases the lock, if this process has it."""


class _OsHandle:
    def __init__(self, fd: int) -> None:
        self._fd = fd

    def write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self._fd, view) :]

    def sync(self) -> None:
        os.fdatasync(self._fd)  # fdatasync also writes a changed file size

    def close(self) -> None:
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1


class OsFiles:
    """A folder in the file system, readable by its owner only. Implements FolderFiles."""

    LOCK_FILE = "lock"

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._lock_fd = -1

    def make(self) -> None:
        """Creates the folder if it does not exist; its parent must exist."""
        if not self.folder.is_dir():
            self.folder.mkdir(mode=0o700)

    def names(self) -> list[str]:
        """The names of all regular files."""
        return [entry.name for entry in os.scandir(self.folder) if entry.is_file(follow_symlinks=False)]

    def size(self, name: str) -> int:
        """The file's size in bytes."""
        return os.stat(self.folder / name).st_size

    def read(self, name: str, offset: int, max_bytes: int) -> bytes:
        """Reads at most `max_bytes` bytes from `offset` on."""
        fd = os.open(self.folder / name, os.O_RDONLY)
        try:
            return os.pread(fd, max_bytes, offset)
        finally:
            os.close(fd)

    def create(self, name: str) -> AppendHandle:
        """Creates a file, or truncates an existing one of that name, and opens it."""
        return _OsHandle(os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600))

    def append(self, name: str) -> AppendHandle:
        """Opens an existing file at its end."""
        return _OsHandle(os.open(self.folder / name, os.O_WRONLY | os.O_APPEND))

    def truncate(self, name: str, size: int) -> None:
        """Truncates the file to that size and syncs it."""
        fd = os.open(self.folder / name, os.O_WRONLY)
        try:
            os.ftruncate(fd, size)
            os.fsync(fd)
        finally:
            os.close(fd)

    def rename(self, old: str, new: str) -> None:
        """Renames a file; an existing file with the new name is replaced."""
        os.rename(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        """Removes a file."""
        os.remove(self.folder / name)

    def sync_folder(self) -> None:
        """Syncs the folder, and with it the names of its files."""
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def inode(self, name: str) -> int:
        """The inode number of the file."""
        return os.stat(self.folder / name).st_ino

    def lock(self) -> bool:
        """Locks the folder until `unlock` or the end of the process; False if another process has locked
        it.
        """
        if self._lock_fd >= 0:
            return True
        fd = os.open(self.folder / self.LOCK_FILE, os.O_WRONLY | os.O_CREAT, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return False
        except BaseException:  # the file must not stay open after any other exception
            os.close(fd)
            raise
        self._lock_fd = fd
        return True

    def unlock(self) -> None:
        """Releases the lock, if this process has it."""
        if self._lock_fd >= 0:
            with contextlib.suppress(OSError):
                os.close(self._lock_fd)
            self._lock_fd = -1
