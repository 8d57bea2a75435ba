"""The few things that are done to a folder's files. The laboratory has a folder of its own that loses what
was not synced; the rest of this package knows neither.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Protocol


class AppendHandle(Protocol):
    """A file that is written to, at its end."""

    def write(self, data: bytes) -> None: ...
    def sync(self) -> None: ...
    def close(self) -> None: ...


class FolderFiles(Protocol):
    """One folder. Names are of files right in it; each call raises OSError where it fails."""

    def names(self) -> list[str]: ...
    def size(self, name: str) -> int: ...
    def read(self, name: str, offset: int, most: int) -> bytes: ...
    def create(self, name: str) -> AppendHandle: ...
    def append(self, name: str) -> AppendHandle: ...
    def truncate(self, name: str, size: int) -> None: ...
    def rename(self, old: str, new: str) -> None: ...
    def remove(self, name: str) -> None: ...
    def sync_folder(self) -> None: ...
    def inode(self, name: str) -> int: ...
    def lock(self) -> bool: ...
    def unlock(self) -> None: ...


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
    """A folder of the operating system's, readable by its owner alone."""

    LOCK = "lock"

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._lock = -1

    def make(self) -> None:
        """Makes the folder where there is none; its parent has to be there."""
        if not self.folder.is_dir():
            self.folder.mkdir(mode=0o700)

    def names(self) -> list[str]:
        return [entry.name for entry in os.scandir(self.folder) if entry.is_file(follow_symlinks=False)]

    def size(self, name: str) -> int:
        return os.stat(self.folder / name).st_size

    def read(self, name: str, offset: int, most: int) -> bytes:
        fd = os.open(self.folder / name, os.O_RDONLY)
        try:
            return os.pread(fd, most, offset)
        finally:
            os.close(fd)

    def create(self, name: str) -> AppendHandle:
        return _OsHandle(os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600))

    def append(self, name: str) -> AppendHandle:
        return _OsHandle(os.open(self.folder / name, os.O_WRONLY | os.O_APPEND))

    def truncate(self, name: str, size: int) -> None:
        fd = os.open(self.folder / name, os.O_WRONLY)
        try:
            os.ftruncate(fd, size)
            os.fsync(fd)
        finally:
            os.close(fd)

    def rename(self, old: str, new: str) -> None:
        os.rename(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        os.remove(self.folder / name)

    def sync_folder(self) -> None:
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def inode(self, name: str) -> int:
        return os.stat(self.folder / name).st_ino

    def lock(self) -> bool:
        """Whether the folder is this process's alone now; it is so until `unlock`, or the process's end."""
        if self._lock >= 0:
            return True
        fd = os.open(self.folder / self.LOCK, os.O_WRONLY | os.O_CREAT, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return False
        except BaseException:
            os.close(fd)
            raise
        self._lock = fd
        return True

    def unlock(self) -> None:
        if self._lock >= 0:
            with contextlib.suppress(OSError):
                os.close(self._lock)
            self._lock = -1
