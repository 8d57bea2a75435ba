"""A folder in memory that loses unsynced data as disks do; implements the files of
`sailrun/storage/files.py`.

Written data can be read at once, as from the page cache of the system. A power cut keeps everything that was
synced. Of the rest, each sector of a write may be on the disk or not, independent of later ones, and each
name that was created, renamed or removed since the last sync of the folder may be as before. `truncate`
syncs the file, so a power cut does not undo it.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field

# The unit in which the disk stores writes, each independent of the others.
SECTOR_BYTES = 512


@dataclass(slots=True)
class _File:
    """A file: its readable content, and the content that is certainly on the disk."""

    inode_number: int
    data: bytearray = field(default_factory=bytearray)
    synced: bytes = b""


class SimFiles:
    """The files of a folder. `fault` is called before each operation that changes or syncs the folder, with
    the names of the operation and of the file; it raises OSError to make the operation fail.
    """

    def __init__(self) -> None:
        self._names: dict[str, _File] = {}
        self._synced_names: dict[str, _File] = {}
        self._last_inode = 0
        self.fault: Callable[[str, str], None] = lambda operation, name: None
        self.steps = 0  # operations so far that change or sync the folder

    def _step(self, operation: str, name: str) -> None:
        self.steps += 1
        self.fault(operation, name)

    def _file(self, name: str) -> _File:
        if name not in self._names:
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", name)
        return self._names[name]

    # ------------------------------------------------------------------ file operations

    def names(self) -> list[str]:
        return list(self._names)

    def size(self, name: str) -> int:
        return len(self._file(name).data)

    def read(self, name: str, offset: int, max_bytes: int) -> bytes:
        return bytes(self._file(name).data[offset : offset + max_bytes])

    def create(self, name: str) -> SimHandle:
        self._step("create", name)
        if name in self._names:
            self._names[name].data.clear()
        else:
            self._last_inode += 1
            self._names[name] = _File(self._last_inode)
        return SimHandle(self, name, self._names[name])

    def append(self, name: str) -> SimHandle:
        return SimHandle(self, name, self._file(name))

    def truncate(self, name: str, size: int) -> None:
        self._step("truncate", name)
        file = self._file(name)
        del file.data[size:]
        file.synced = bytes(file.data)

    def rename(self, old: str, new: str) -> None:
        self._step("rename", new)
        self._names[new] = self._file(old)
        del self._names[old]

    def remove(self, name: str) -> None:
        self._step("remove", name)
        self._file(name)
        del self._names[name]

    def sync_folder(self) -> None:
        self._step("sync_folder", "")
        self._synced_names = dict(self._names)

    def inode(self, name: str) -> int:
        return self._file(name).inode_number

    def lock(self) -> bool:
        return True

    def unlock(self) -> None:
        pass

    # ------------------------------------------------------------------ faults

    def power_cut(self, rng: random.Random) -> None:
        """Simulates a power cut: data and names that were not synced are kept or lost at random."""
        names: dict[str, _File] = {}
        for name in {*self._names, *self._synced_names}:
            current, previous = self._names.get(name), self._synced_names.get(name)
            file = current if current is previous or rng.random() < 0.5 else previous
            if file is not None:
                names[name] = file
        for file in {id(n): n for n in names.values()}.values():
            file.data = _after_cut(file, rng)
            file.synced = bytes(file.data)
        self._names = names
        self._synced_names = dict(names)

    def copy(self) -> SimFiles:
        """Returns a copy as a backup has it: the readable content at that time, under other inodes."""
        result = SimFiles()
        for name, file in self._names.items():
            result._last_inode += 1
            # Above the inode numbers that a run uses, so that they differ from those of the original.
            result._names[name] = _File(1000 + result._last_inode, bytearray(file.data), bytes(file.data))
        result._synced_names = dict(result._names)
        return result

    def roll_back(self, to: SimFiles) -> None:
        """Restores a copy as a volume snapshot does: its files, under the inodes of the present files of the
        same names.
        """
        inodes = {name: file.inode_number for name, file in self._names.items()}
        self._names = {
            name: _File(inodes.get(name, file.inode_number), bytearray(file.data), bytes(file.data))
            for name, file in to._names.items()
        }
        self._synced_names = dict(self._names)


def _after_cut(file: _File, rng: random.Random) -> bytearray:
    """Returns the content of a file after a power cut: each sector as synced or as written since, at random,
    and a length between the two.
    """
    current, synced = bytes(file.data), file.synced
    if current == synced:
        return bytearray(current)
    short, long = sorted((len(current), len(synced)))
    length = rng.choice((short, long, rng.randint(short, long)))
    result = bytearray(length)
    for offset in range(0, length, SECTOR_BYTES):
        sector = slice(offset, min(offset + SECTOR_BYTES, length))
        old, new = synced[sector], current[sector]
        chosen = new if old == new or rng.random() < 0.5 else old
        result[sector] = chosen.ljust(sector.stop - sector.start, b"\0")
    return result


class SimHandle:
    def __init__(self, files: SimFiles, name: str, file: _File) -> None:
        self._files, self._name, self._file = files, name, file

    def write(self, data: bytes) -> None:
        self._files._step("write", self._name)
        self._file.data += data

    def sync(self) -> None:
        self._files._step("sync", self._name)
        self._file.synced = bytes(self._file.data)

    def close(self) -> None:
        pass
