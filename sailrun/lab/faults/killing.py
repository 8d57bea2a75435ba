"""Durability checks: a writer of a storage folder is killed at random times, or its simulated disk loses
power at a given file operation.

`python -m sailrun.lab.faults.killing FOLDER SEED` writes numbered entries until it is killed, and prints the
number of the last entry after each sync. A reader of the folder must then find every entry up to
the last printed number, and of the later ones a prefix or none.
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

# The highest number of entries for one sync, and the mean number of syncs between two generations.
MAX_ENTRIES_PER_SYNC, SYNCS_PER_GENERATION = 5, 40
# Time limit for a writer to begin; not applied: `kill_repeatedly` waits without a limit.
START_TIMEOUT_S = 30.0


def entry_of(number: int) -> e.Entry:
    """Returns the entry of that number: a lease grant for an odd number and a record for an even one, so that
    both kinds are checked.
    """
    if number % 2:
        return e.LeaseGrant("task", number, "n1", 1, number)
    return e.StoredRecord(
        apply_write(None, ("out", f"s-{number:08x}", ""), False, "x", (0, number), b"x" * (number % 50))
    )


def last_entry_number(state: PersistedState) -> int:
    """Returns the number of the last entry in the state; -1 if an earlier entry is missing."""
    records = {int(key[1][2:], 16) for key in state.records}
    term = state.grants["task"].term if "task" in state.grants else 0
    last = max([term, *records])
    # The state must contain all even records up to `last`, and the grant of the highest odd number up to it.
    complete = records == set(range(2, last + 1, 2)) and term == last - (1 - last % 2) * (last > 0)
    return last if complete else -1


def snapshot_entries(last: int) -> Iterator[e.Entry]:
    """Yields the entries of a snapshot at the start of a generation."""
    if last:  # the grant of the highest odd number up to `last`
        yield entry_of(last - (1 - last % 2))
    for number in range(2, last + 1, 2):
        yield entry_of(number)


def write_entries(
    files: FolderFiles,
    rng: random.Random,
    synced: Callable[[int], None],
    last_entry: int,
    disabled_rules: frozenset[str],
) -> None:
    """Opens a folder and writes up to entry `last_entry`; calls `synced` with the last entry after each sync.

    `rng` determines the sizes of the batches and the times of new generations; `disabled_rules` are safety
    rules that are switched off. Raises ValueError for a folder that cannot be trusted.
    """
    found = read_folder(files)
    if found.integrity is FolderIntegrity.UNTRUSTED:
        raise ValueError(found.reason)
    folder = FolderWriter(files, found, disabled_rules)
    if found.integrity is FolderIntegrity.EMPTY:
        folder.create("n1", "fleet", bytes.fromhex(generate_identity()))
    else:
        folder.resume()
    number = last_entry_number(found.state)
    while number < last_entry:
        batch = [entry_of(number + 1 + n) for n in range(rng.randint(1, MAX_ENTRIES_PER_SYNC))]
        folder.append(batch)
        if "sync" not in disabled_rules:
            folder.sync()
        number += len(batch)
        synced(number)
        if folder.is_writing_snapshot:
            folder.write_snapshot_chunk()
        elif rng.random() < 1 / SYNCS_PER_GENERATION:
            folder.begin_generation(snapshot_entries(number))


@dataclass(slots=True)
class KillCounts:
    """The counts of a series of kills."""

    kills: int = 0
    acknowledged: int = 0  # the last entry whose number was printed
    torn: int = 0  # kills after which the folder ended in a torn entry
    generations: int = 0


def kill_repeatedly(folder: Path, kills: int, seed: int) -> KillCounts:
    """Kills the writer repeatedly.

    Raises ValueError if an acknowledged entry is missing, the folder is damaged or the writer ends by itself.
    """
    rng = random.Random(seed)
    counts = KillCounts()
    files = OsFiles(folder)
    files.make()
    for n in range(kills):
        command = [sys.executable, "-m", "sailrun.lab.faults.killing", str(folder), str(rng.random())]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
            assert process.stdout is not None
            first_line = process.stdout.readline()
            if not first_line:
                raise ValueError(f"kill {n}: the writer exited before its first sync")
            time.sleep(rng.uniform(0.0, 0.02))
            process.kill()
            acked = int((first_line + process.stdout.read()).split("\n")[-2])
        found = read_folder(files)
        last = last_entry_number(found.state)
        if found.integrity is not FolderIntegrity.INTACT or last < acked:
            raise ValueError(
                f"kill {n}: folder is {found.integrity.value} ({found.reason}): "
                f"it contains entries up to {last} (-1: one is missing), expected are those up to {acked}"
            )
        counts = KillCounts(n + 1, acked, counts.torn + (found.torn_bytes > 0), found.highest_generation)
    return counts


class _PowerCut(BaseException):
    pass


def find_power_cut_fault(step: int, seed: int, disabled_rules: frozenset[str] = frozenset()) -> str | None:
    """Writes to a simulated disk that loses power at the given file operation, then resumes on what is left
    and loses power again after about half as many operations. Returns the fault that was found, or None.
    """
    from sailrun.lab.faults.disk import SimFiles

    rng = random.Random(f"{step}/{seed}")
    files = SimFiles()
    acked = 0
    for cut in (step, step // 2 + 1):
        acked = _write_until(files, cut, rng, acked, disabled_rules)
        files.power_cut(rng)
        found = read_folder(files)
        last = last_entry_number(found.state)
        if found.integrity is FolderIntegrity.UNTRUSTED or last < acked:
            return (
                f"step {step}, power cut at operation {cut}: folder is {found.integrity.value} "
                f"({found.reason}): last entry {last}, last acknowledged entry {acked}"
            )
        acked = last
    return None


def _write_until(
    files: SimFiles, steps: int, rng: random.Random, acked: int, disabled_rules: frozenset[str]
) -> int:
    """Writes until the disk loses power at the given file operation; returns the last entry acknowledged
    before.
    """
    steps_left, last = steps, acked

    def fault(operation: str, name: str) -> None:
        nonlocal steps_left
        steps_left -= 1
        if steps_left <= 0:
            raise _PowerCut

    def synced(number: int) -> None:
        nonlocal last
        last = number

    files.fault = fault
    with suppress(_PowerCut):
        write_entries(files, rng, synced, sys.maxsize, disabled_rules)
    files.fault = lambda operation, name: None
    return last


def main() -> None:
    folder, seed = sys.argv[1:]

    def synced(number: int) -> None:
        sys.stdout.write(f"{number}\n")
        sys.stdout.flush()

    write_entries(OsFiles(Path(folder)), random.Random(seed), synced, 10**9, frozenset())


if __name__ == "__main__":
    main()
