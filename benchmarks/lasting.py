"""What a node's own folder costs, and what it holds after whatever befell it.

`python -m benchmarks.lasting [PART...]`, on this machine's disk, below the working folder.

Parts: `kill` (a writer killed over and over, thousands of times), `cut` (a disk in memory that loses its
power at every step, by many seeds), `write` (acknowledged writes a second by 1, 10 and 100 writers, with
shared syncs and with one each, beside what the disk syncs), `start` (a node's start with 100,000 records and
without), `cost` (a core's part at 1,000 changes a second; bytes on the disk and written in an hour),
`attempts` (at a form server known to be bad, in the first 10 s after a restart, with what was learned and
without), `days` (virtual days).
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import tomli_w

from benchmarks.startup import a_config
from sailrun.decisions.events import StateSnapshot
from sailrun.lab.faults.days import occasions, sweep_days
from sailrun.lab.faults.killing import find_power_cut_fault, kill_repeatedly
from sailrun.lab.faults.play import FaultDay
from sailrun.lab.faults.rig import free_address
from sailrun.lab.figures import quantile
from sailrun.replication.operator_marks import OperatorMark, encode_mark
from sailrun.replication.records import apply_write, hash_record
from sailrun.storage import decision_snapshot
from sailrun.storage import entries as e
from sailrun.storage.files import OsFiles
from sailrun.storage.folder_reader import FolderContents, FolderIntegrity, read_folder
from sailrun.storage.folder_writer import FolderWriter
from sailrun.storage.settings import StorageSettings
from sailrun.storage.write_ahead_log import WriteAheadLog
from sailrun.storage.writer import BatchWriter

SECOND = 1_000_000
KILLS, FOR_S = 3000, 5.0
RECORDS = 100_000


def a_mark(number: int) -> e.Entry:
    mark = OperatorMark(f"m{number:016x}", True, False, "staff", "a new disk, back tonight", 1.8e9, "n1", [])
    record = apply_write(None, ("out", f"s-{number:08x}", ""), False, "", (1, number), encode_mark(mark))
    return e.StoredRecord(record, hash_record(record, b"census"))


def _folder(path: Path, generation_mb: float = 64.0) -> tuple[WriteAheadLog, BatchWriter]:
    files = OsFiles(path)
    files.make()
    wal = WriteAheadLog(
        StorageSettings(folder=str(path), generation_mb=generation_mb), SECOND, 0, frozenset()
    )
    wal.begin_new_folder(os.urandom(16))
    writer = BatchWriter(FolderWriter(files, FolderContents(FolderIntegrity.EMPTY)), "n1", "fleet")
    work = wal.tick(0)
    assert work is not None
    wal.complete_batch(0, writer.write(work))
    return wal, writer


def _shared(path: Path, writers: int) -> tuple[float, float]:
    """Writers that each wait for the answer before the next write: acknowledged writes and syncs a second."""
    wal, writer = _folder(path)
    number = done = 0
    waiting = list(range(writers))
    syncs = writer.folder.sync_count
    began = time.monotonic()
    while time.monotonic() - began < FOR_S:
        for client in waiting:
            number += 1
            wal.defer_reply(0, wal.append(a_mark(number)), client, client)
        work = wal.tick(0)
        assert work is not None
        waiting = wal.complete_batch(0, writer.write(work))
        done += len(waiting)
    took = time.monotonic() - began
    return done / took, (writer.folder.sync_count - syncs) / took


def _each(path: Path) -> float:
    """One sync for each write."""
    _, writer = _folder(path)
    number = 0
    began = time.monotonic()
    while time.monotonic() - began < FOR_S:
        number += 1
        writer.folder.append([a_mark(number)])
        writer.folder.sync()
    return number / (time.monotonic() - began)


def _syncs(path: Path) -> float:
    """What the disk syncs in a second: 200 bytes appended each time."""
    fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    count = 0
    began = time.monotonic()
    while time.monotonic() - began < FOR_S:
        os.write(fd, bytes(200))
        os.fdatasync(fd)
        count += 1
    os.close(fd)
    return count / (time.monotonic() - began)


def _start_s(path: Path, kept: bool, records: int) -> float:
    """From `exec` until the node says that it serves."""
    (path / "config.json").write_text(json.dumps(a_config()))
    members = f"127.0.0.1:{free_address()[1]}"
    tables: dict[str, dict[str, object]] = {
        "members": {"enabled": True, "name": "n1", "listen": members},
        "owners": {"enabled": True, "voters": ["n1", "n2", "n3"]},
        "replica": {"enabled": True, "records": max(100, 2 * records)},
    }
    if kept:
        tables["lasting"] = {"folder": str(path / "kept")}
    (path / "operator.toml").write_text(tomli_w.dumps(tables))
    command = [sys.executable, "-m", "sailrun", "serve", "--config", str(path / "config.json")]
    command += ["--operator", str(path / "operator.toml")]
    began = time.monotonic()
    with subprocess.Popen(command, stderr=subprocess.PIPE, text=True) as process:
        assert process.stderr is not None
        for line in process.stderr:
            if " serving " in line:
                took = time.monotonic() - began
                process.kill()
                return took
    raise SystemExit("lasting.py: the node did not start")


def _filled(path: Path, records: int) -> None:
    files = OsFiles(path / "kept")
    files.make()
    folder = FolderWriter(files, FolderContents(FolderIntegrity.EMPTY))
    folder.create("n1", "census", os.urandom(16))
    held = [e.ReplicaStatus(0, True), *(a_mark(n) for n in range(records))]
    folder.append(held)
    folder.begin_generation(iter(held))
    while not folder.write_snapshot_chunk():
        pass
    folder.close()
    files.unlock()


def _cost(path: Path, per_s: int, for_s: float) -> tuple[float, float, float, int]:
    """A core's part, changes a second, bytes written in an hour, and bytes on the disk at the end."""
    wal, writer = _folder(path, 8.0)
    marks = [a_mark(n) for n in range(5000)]
    wal.list_state_entries = lambda: marks
    before, count = writer.folder.written_bytes, 0
    cpu, began = time.process_time(), time.monotonic()
    while (now := time.monotonic()) - began < for_s:
        due = int((now - began) * per_s)
        while count < due:
            wal.append(marks[count % len(marks)])
            count += 1
        work = wal.tick(int(now * SECOND))
        if work is not None:
            wal.complete_batch(int(now * SECOND), writer.write(work))
            while writer.continue_snapshot():
                pass
        time.sleep(0.05)
    took = time.monotonic() - began
    share = (time.process_time() - cpu) / took
    on_disk = sum(f.stat().st_size for f in path.iterdir())
    return share, count / took, (writer.folder.written_bytes - before) / took * 3600, on_disk


def _attempts(kept: bool, away_s: float) -> tuple[int, int, int]:
    """One of twenty form servers times every attempt out. A node finds out, restarts, and goes on for 10 s:
    its attempts there, households brought up at once, and attempts there had it not been restarted.
    """
    from tests.support import InstanceHarness, full, run_ten_seconds

    bad = 7
    first = InstanceHarness(seed=3)
    first.feed(full(*range(1, 21)))
    run_ten_seconds(first, bad)
    names = {n: f"s-{n}" for n in range(1, 21)}
    content = decision_snapshot.encode_snapshot(first.now, first.balancer.snapshot(), names)
    second = InstanceHarness(seed=4)
    second.advance(first.now + int(away_s * SECOND) - second.now)
    second.feed(full(*range(1, 21)))
    if kept:
        learned = decision_snapshot.decode_snapshot(
            content, second.now, 120.0, {f"s-{n}": (n, 0) for n in range(1, 21)}
        )
        assert isinstance(learned, StateSnapshot)
        second.feed(learned)
    up = run_ten_seconds(second, bad)
    second.finish()
    sends = [backend for promise in second.expected_answers.values() for backend, _ in promise.sends]
    before = sum(backend == bad for p in first.expected_answers.values() for backend, _ in p.sends)
    run_ten_seconds(first, bad)
    after = sum(backend == bad for p in first.expected_answers.values() for backend, _ in p.sends)
    return sends.count(bad), up, after - before


def _cuts(seed: int) -> tuple[int, list[str]]:
    found = [find_power_cut_fault(step, seed) for step in range(1, 600)]
    return len(found), [f for f in found if f]


def _of_kills(place: Path) -> Iterator[str]:
    jobs = os.cpu_count() or 1
    folders = [place / f"kill-{n}" for n in range(jobs)]
    with ProcessPoolExecutor(jobs) as pool:
        told = list(pool.map(kill_repeatedly, folders, [KILLS // jobs] * jobs, range(100, 100 + jobs)))
    kills, acknowledged = sum(t.kills for t in told), sum(t.acknowledged for t in told)
    torn, generations = sum(t.torn for t in told), sum(t.generations for t in told)
    yield f"kill   {kills} times, {acknowledged} entries acknowledged, {torn} torn ends: none lost"
    yield f"kill   {generations} generations"


def _of_cuts(place: Path) -> Iterator[str]:
    with ProcessPoolExecutor() as pool:
        cuts = list(pool.map(_cuts, range(1000, 1040)))
    faults = [fault for _, found in cuts for fault in found]
    yield f"cut    {2 * sum(n for n, _ in cuts)} power cuts: {faults[:3] or 'nothing lost'}"


def _of_writes(place: Path) -> Iterator[str]:
    yield f"write  the disk alone:             {_syncs(place / 'syncs'):8.0f} syncs a second"
    for writers in (1, 10, 100):
        rate, syncs = _shared(place / f"shared-{writers}", writers)
        yield f"write  {writers:4} writers, shared syncs: {rate:8.0f} a second with {syncs:6.0f} syncs"
    yield f"write  any writers, a sync each:   {_each(place / 'each'):8.0f} a second"


def _of_starts(place: Path) -> Iterator[str]:
    for records in (0, RECORDS):
        folder = place / f"start-{records}"
        folder.mkdir()
        _filled(folder, records)
        took, without = ([_start_s(folder, kept, records) for _ in range(5)] for kept in (True, False))
        yield (
            f"start  {records:6} records: {quantile(took, 0.5):.2f} s, without a folder "
            f"{quantile(without, 0.5):.2f} s (medians of 5)"
        )
    began = time.process_time()
    found = read_folder(OsFiles(place / f"start-{RECORDS}" / "kept"))
    yield f"start  {len(found.state.records)} records read in {time.process_time() - began:.2f} s of a core"


def _of_cost(place: Path) -> Iterator[str]:
    for per_s in (0, 10, 1000):
        share, rate, hour, held = _cost(place / f"cost-{per_s}", per_s, 20.0)
        yield (
            f"cost   {rate:6.0f} changes a second: {100 * share:5.2f}% of a core, "
            f"{hour / 1e6:8.1f} MB written an hour, {held / 1e6:6.2f} MB on the disk"
        )


def _of_attempts(place: Path) -> Iterator[str]:
    for away_s in (0.5, 5.0, 20.0):
        without, up_without, never = _attempts(False, away_s)
        with_, up_with, _ = _attempts(True, away_s)
        yield (
            f"attempts away for {away_s:4.1f} s: {without} without and {with_} with what was learned, "
            f"{never} had it not restarted; brought up at once {up_without} and {up_with} of 600"
        )


def _of_days(place: Path) -> Iterator[str]:
    for plan in ("lasting", "lasting-all", "lasting-walk"):
        for nodes, seeds in ((5, range(5000, 5200)), (17, range(5000, 5020))):
            day = FaultDay(plan, nodes=nodes)
            sweep = sweep_days(day, "virtual", list(seeds), None, lambda share: None)
            checks = [(summary.seed, check) for summary in sweep.summaries for check in summary.checks]
            broken = [
                (seed, check.name, check.faults[:1])
                for seed, check in checks
                if check.value is not None and check.limit is not None and check.value > check.limit
            ]
            yield f"days   {plan} at {nodes} nodes, {len(seeds)} seeds: {broken or 'nothing broken'}"
            yield from (f"days     {line}" for line in occasions(sweep))


PARTS = {
    "kill": _of_kills,
    "cut": _of_cuts,
    "write": _of_writes,
    "start": _of_starts,
    "cost": _of_cost,
    "attempts": _of_attempts,
    "days": _of_days,
}

if __name__ == "__main__":
    unknown = [part for part in sys.argv[1:] if part not in PARTS]
    if unknown:
        raise SystemExit(f"lasting.py: no part '{unknown[0]}'")
    with tempfile.TemporaryDirectory(prefix="lasting-", dir=".") as made:
        for chosen in sys.argv[1:] or PARTS:
            for told_line in PARTS[chosen](Path(made).resolve()):
                print(told_line, flush=True)
