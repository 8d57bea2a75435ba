"""A process that writes to a folder and is killed in the middle of it, over and over; and the same on a disk
that loses its power at every step.

`python -m sailrun.lab.faults.killing FOLDER` writes until it is killed: it prints the number of an entry once
that is on the disk. Whoever reads the folder then has to find every one that was printed, and of the others
the first ones or none.
"""

from __future__ import annotations

import random
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from sailrun.replication.records import apply_write
from sailrun.storage import entries as e
from sailrun.storage.files import FolderFiles, OsFiles
from sailrun.storage.folder_identity import generate_identity
from sailrun.storage.folder_reader import FolderIntegrity, read_folder
from sailrun.storage.folder_writer import FolderWriter
from sailrun.storage.persisted_state import PersistedState

if TYPE_CHECKING:
    from sailrun.lab.faults.disk import SimFiles

# Entries that one sync may take with it, and how often a generation ends.
MOST_AT_ONCE, TURNS = 5, 40
# A writer that has not begun within this has failed.
BEGINS_S = 30.0


def entry_of(number: int) -> e.Entry:
    """The entry of that number: records and grants by turns, so that both have to be whole."""
    if number % 2:
        return e.LeaseGrant("task", number, "n1", 1, number)
    return e.StoredRecord(
        apply_write(None, ("out", f"s-{number:08x}", ""), False, "x", (0, number), b"x" * (number % 50))
    )


def last_of(memory: PersistedState) -> int:
    """Up to which entry a memory has them all; -1: it has some that it cannot have."""
    records = {int(key[1][2:], 16) for key in memory.records}
    term = memory.grants["task"].term if "task" in memory.grants else 0
    last = max([term, *records])
    whole = records == set(range(2, last + 1, 2)) and term == last - (1 - last % 2) * (last > 0)
    return last if whole else -1


def everything(last: int) -> Iterator[e.Entry]:
    """What a generation begins with."""
    if last:
        yield entry_of(last - (1 - last % 2))
    for number in range(2, last + 1, 2):
        yield entry_of(number)


def write(
    files: FolderFiles, luck: random.Random, synced: Callable[[int], None], most: int, off: frozenset[str]
) -> None:
    """Opens a folder and writes up to entry `most`; `synced` is told the last one on the disk."""
    found = read_folder(files)
    if found.integrity is FolderIntegrity.UNTRUSTED:
        raise ValueError(found.reason)
    folder = FolderWriter(files, found, off)
    if found.integrity is FolderIntegrity.EMPTY:
        folder.create("n1", "fleet", bytes.fromhex(generate_identity()))
    else:
        folder.resume()
    number = last_of(found.state)
    while number < most:
        many = [entry_of(number + 1 + n) for n in range(luck.randint(1, MOST_AT_ONCE))]
        folder.append(many)
        if "sync" not in off:
            folder.sync()
        number += len(many)
        synced(number)
        if folder.is_writing_snapshot:
            folder.write_snapshot_chunk()
        elif luck.random() < 1 / TURNS:
            folder.begin_generation(everything(number))


@dataclass(slots=True)
class Killed:
    """What came of many kills."""

    kills: int = 0
    acknowledged: int = 0  # the last number that was printed
    torn: int = 0  # times that something was torn at the end
    generations: int = 0


def kill_often(folder: Path, kills: int, seed: int) -> Killed:
    """Kills the writer again and again; raises ValueError where a folder held anything but it should."""
    luck = random.Random(seed)
    told = Killed()
    files = OsFiles(folder)
    files.make()
    for n in range(kills):
        command = [sys.executable, "-m", "sailrun.lab.faults.killing", str(folder), str(luck.random())]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
            assert process.stdout is not None
            first = process.stdout.readline()
            if not first:
                raise ValueError(f"kill {n}: the writer ended")
            time.sleep(luck.uniform(0.0, 0.02))
            process.kill()
            acked = int((first + process.stdout.read()).split("\n")[-2])
        found = read_folder(files)
        last = last_of(found.state)
        if found.integrity is not FolderIntegrity.INTACT or last < acked:
            raise ValueError(
                f"kill {n}: {found.integrity.value} {found.reason}: {last} after {acked} were acknowledged"
            )
        told = Killed(n + 1, acked, told.torn + (found.torn_bytes > 0), found.highest_generation)
    return told


class _PowerCut(BaseException):
    pass


def cut_at(step: int, seed: int, off: frozenset[str] = frozenset()) -> str | None:
    """Writes on a disk in memory that loses its power at its step of that number; twice, the second time over
    what the first left. Returns what is wrong then; None: nothing.
    """
    from sailrun.lab.faults.disk import SimFiles

    luck = random.Random(f"{step}/{seed}")
    files = SimFiles()
    acked = 0
    for cut in (step, step // 2 + 1):
        acked = _until(files, cut, luck, acked, off)
        files.power_cut(luck)
        found = read_folder(files)
        last = last_of(found.state)
        if found.integrity is FolderIntegrity.UNTRUSTED or last < acked:
            return f"step {step}, cut {cut}: {found.integrity.value} {found.reason}: {last} after {acked}"
        acked = last
    return None


def _until(files: SimFiles, steps: int, luck: random.Random, acked: int, off: frozenset[str]) -> int:
    """Writes until that many things were done to the files; returns what was acknowledged by then."""
    left, last = steps, acked

    def fault(what: str, name: str) -> None:
        nonlocal left
        left -= 1
        if left <= 0:
            raise _PowerCut

    def synced(number: int) -> None:
        nonlocal last
        last = number

    files.fault = fault
    with suppress(_PowerCut):
        write(files, luck, synced, sys.maxsize, off)
    files.fault = lambda what, name: None
    return last


def main() -> None:
    folder, seed = sys.argv[1:]

    def synced(number: int) -> None:
        sys.stdout.write(f"{number}\n")
        sys.stdout.flush()

    write(OsFiles(Path(folder)), random.Random(seed), synced, 10**9, frozenset())


if __name__ == "__main__":
    main()
