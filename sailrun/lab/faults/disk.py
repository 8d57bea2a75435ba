"""A folder in memory that forgets as disks do, for `sailrun/storage/files.py`.

What was written is read back at once, as from the system's page cache. A power cut keeps what was synced; of
the rest, each piece of a write may have come to the disk or not, whatever came after it, and each name that
was made, changed or removed since its folder was synced may be as it was before. A file that was cut short at
sync is short.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field

# Writes come to the disk in pieces of this, each by itself.
PIECE = 512


@dataclass(slots=True)
class _Node:
    """A file: what it reads as, and what is on the disk for certain."""

    number: int
    data: bytearray = field(default_factory=bytearray)
    synced: bytes = b""


class SimFiles:
    """`fault` is called before each thing that is done, with its name and the file's; it raises OSError for
    one that is to fail.
    """

    def __init__(self) -> None:
        self._names: dict[str, _Node] = {}
        self._synced: dict[str, _Node] = {}
        self._inodes = 0
        self.fault: Callable[[str, str], None] = lambda what, name: None
        self.steps = 0  # things done so far

    def _step(self, what: str, name: str) -> None:
        self.steps += 1
        self.fault(what, name)

    def _of(self, name: str) -> _Node:
        if name not in self._names:
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", name)
        return self._names[name]

    # ------------------------------------------------------------------ what a folder can do

    def names(self) -> list[str]:
        return list(self._names)

    def size(self, name: str) -> int:
        return len(self._of(name).data)

    def read(self, name: str, offset: int, most: int) -> bytes:
        return bytes(self._of(name).data[offset : offset + most])

    def create(self, name: str) -> SimHandle:
        self._step("create", name)
        if name in self._names:
            self._names[name].data.clear()
        else:
            self._inodes += 1
            self._names[name] = _Node(self._inodes)
        return SimHandle(self, name, self._names[name])

    def append(self, name: str) -> SimHandle:
        return SimHandle(self, name, self._of(name))

    def truncate(self, name: str, size: int) -> None:
        self._step("truncate", name)
        node = self._of(name)
        del node.data[size:]
        node.synced = bytes(node.data)

    def rename(self, old: str, new: str) -> None:
        self._step("rename", new)
        self._names[new] = self._of(old)
        del self._names[old]

    def remove(self, name: str) -> None:
        self._step("remove", name)
        self._of(name)
        del self._names[name]

    def sync_folder(self) -> None:
        self._step("sync_folder", "")
        self._synced = dict(self._names)

    def inode(self, name: str) -> int:
        return self._of(name).number

    def lock(self) -> bool:
        return True

    def unlock(self) -> None:
        pass

    # ------------------------------------------------------------------ what befalls it

    def power_cut(self, luck: random.Random) -> None:
        """The machine is gone: what was not synced is there or not, by chance."""
        names: dict[str, _Node] = {}
        for name in {*self._names, *self._synced}:
            now, before = self._names.get(name), self._synced.get(name)
            node = now if now is before or luck.random() < 0.5 else before
            if node is not None:
                names[name] = node
        for node in {id(n): n for n in names.values()}.values():
            node.data = _after_cut(node, luck)
            node.synced = bytes(node.data)
        self._names = names
        self._synced = dict(names)

    def copy(self) -> SimFiles:
        """As a backup has it: other inodes, whatever was readable just then."""
        made = SimFiles()
        for name, node in self._names.items():
            made._inodes += 1
            made._names[name] = _Node(1000 + made._inodes, bytearray(node.data), bytes(node.data))
        made._synced = dict(made._names)
        return made

    def roll_back(self, to: SimFiles) -> None:
        """As a volume's snapshot put back: the files of then, inodes and all."""
        inodes = {name: node.number for name, node in self._names.items()}
        self._names = {
            name: _Node(inodes.get(name, node.number), bytearray(node.data), bytes(node.data))
            for name, node in to._names.items()
        }
        self._synced = dict(self._names)


def _after_cut(node: _Node, luck: random.Random) -> bytearray:
    """Piece by piece what was synced or what was written since; the length between the two."""
    now, synced = bytes(node.data), node.synced
    if now == synced:
        return bytearray(now)
    short, long = sorted((len(now), len(synced)))
    length = luck.choice((short, long, luck.randint(short, long)))
    made = bytearray(length)
    for at in range(0, length, PIECE):
        piece = slice(at, min(at + PIECE, length))
        was, is_ = synced[piece], now[piece]
        kept = is_ if was == is_ or luck.random() < 0.5 else was
        made[piece] = kept.ljust(piece.stop - piece.start, b"\0")
    return made


class SimHandle:
    def __init__(self, files: SimFiles, name: str, node: _Node) -> None:
        self._files, self._name, self._node = files, name, node

    def write(self, data: bytes) -> None:
        self._files._step("write", self._name)
        self._node.data += data

    def sync(self) -> None:
        self._files._step("sync", self._name)
        self._node.synced = bytes(self._node.data)

    def close(self) -> None:
        pass
