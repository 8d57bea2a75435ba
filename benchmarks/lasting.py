"""Measures the cost of a node's storage folder, and checks its contents after crashes and power cuts.

`python -m benchmarks.lasting [PART...]`; writes to a temporary folder in the current directory, which it
removes at the end.

Parts:

- `kill`: kills a writer thousands of times;
- `cut`: writes to a simulated disk that loses its power after 1, 2, ... 599 file operations, with 40 seeds;
- `write`: the acknowledged writes per second of 1, 10 and 100 writers, with syncs that they share and with a
  sync for each write, beside the number of syncs per second that the disk itself reaches;
- `start`: the time until a node serves, with 100,000 records and with none, with a storage folder and without
  one, and the CPU time to read the folder;
- `cost`: the share of a core at 0, 10 and 1,000 changes per second, the bytes on the disk and the bytes
  written per hour;
- `attempts`: the attempts at a form server at which every attempt times out, in the first 10 s after a
  restart, with the decision snapshot of the previous process and without it;
- `days`: runs the laboratory's fault plans for storage folders in virtual time and prints the violated
  checks.
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

from benchmarks.startup import make_config
from sailrun.decisions.events import StateSnapshot
from sailrun.lab.faults.commands import describe_occasions, sweep_seeds
from sailrun.lab.faults.killing import find_power_cut_fault, kill_repeatedly
from sailrun.lab.faults.rig import free_address
from sailrun.lab.faults.runs import FaultRun
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

SECOND_US = 1_000_000
KILL_COUNT, MEASURE_TIME_S = 3000, 5.0
RECORD_COUNT = 100_000


def make_mark_entry(number: int) -> e.Entry:
    mark = OperatorMark(f"m{number:016x}", True, False, "staff", "a new disk, back tonight", 1.8e9, "n1", [])
    record = apply_write(None, ("out", f"s-{number:08x}", ""), False, "", (1, number), encode_mark(mark))
    return e.StoredRecord(record, hash_record(record, b"census"))


def _open_storage(path: Path, generation_mb: float = 64.0) -> tuple[WriteAheadLog, BatchWriter]:
    files = OsFiles(path)
    files.make()
    wal = WriteAheadLog(
        StorageSettings(folder=str(path), generation_mb=generation_mb), SECOND_US, 0, frozenset()
    )
    wal.begin_new_folder(os.urandom(16))
    writer = BatchWriter(FolderWriter(files, FolderContents(FolderIntegrity.EMPTY)), "n1", "fleet")
    work = wal.tick(0)
    assert work is not None
    wal.complete_batch(0, writer.write(work))
    return wal, writer


def _measure_shared_syncs(path: Path, writer_count: int) -> tuple[float, float]:
    """Returns the acknowledged writes and the syncs per second.

    Each writer waits for the reply before its next write.
    """
    wal, writer = _open_storage(path)
    entry_number = acknowledged_count = 0
    waiting_ids = list(range(writer_count))
    initial_sync_count = writer.folder.sync_count
    start_s = time.monotonic()
    while time.monotonic() - start_s < MEASURE_TIME_S:
        for writer_id in waiting_ids:
            entry_number += 1
            wal.defer_reply(0, wal.append(make_mark_entry(entry_number)), writer_id, writer_id)
        work = wal.tick(0)
        assert work is not None
        waiting_ids = wal.complete_batch(0, writer.write(work))
        acknowledged_count += len(waiting_ids)
    duration_s = time.monotonic() - start_s
    return acknowledged_count / duration_s, (writer.folder.sync_count - initial_sync_count) / duration_s


def _measure_individual_syncs(path: Path) -> float:
    """Returns the writes per second with a sync for each write."""
    _, writer = _open_storage(path)
    entry_number = 0
    start_s = time.monotonic()
    while time.monotonic() - start_s < MEASURE_TIME_S:
        entry_number += 1
        writer.folder.append([make_mark_entry(entry_number)])
        writer.folder.sync()
    return entry_number / (time.monotonic() - start_s)


def _measure_disk_syncs(path: Path) -> float:
    """Returns the syncs per second that the disk reaches, with 200 bytes appended before each."""
    fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    count = 0
    start_s = time.monotonic()
    while time.monotonic() - start_s < MEASURE_TIME_S:
        os.write(fd, bytes(200))
        os.fdatasync(fd)
        count += 1
    os.close(fd)
    return count / (time.monotonic() - start_s)


def _measure_start_s(path: Path, has_folder: bool, record_count: int) -> float:
    """Returns the seconds from `exec` until the node logs that it is serving."""
    (path / "config.json").write_text(json.dumps(make_config()))
    member_address = f"127.0.0.1:{free_address()[1]}"
    tables: dict[str, dict[str, object]] = {
        "members": {"enabled": True, "name": "n1", "listen": member_address},
        "owners": {"enabled": True, "voters": ["n1", "n2", "n3"]},
        "replica": {"enabled": True, "records": max(100, 2 * record_count)},
    }
    if has_folder:
        tables["lasting"] = {"folder": str(path / "kept")}
    (path / "operator.toml").write_text(tomli_w.dumps(tables))
    command = [sys.executable, "-m", "sailrun", "serve", "--config", str(path / "config.json")]
    command += ["--operator", str(path / "operator.toml")]
    start_s = time.monotonic()
    with subprocess.Popen(command, stderr=subprocess.PIPE, text=True) as process:
        assert process.stderr is not None
        for line in process.stderr:
            if " serving " in line:
                duration_s = time.monotonic() - start_s
                process.kill()
                return duration_s
    raise SystemExit("lasting.py: the node ended before it logged that it is serving")


def _fill_folder(path: Path, record_count: int) -> None:
    files = OsFiles(path / "kept")
    files.make()
    folder = FolderWriter(files, FolderContents(FolderIntegrity.EMPTY))
    folder.create("n1", "census", os.urandom(16))
    entries = [e.ReplicaStatus(0, True), *(make_mark_entry(n) for n in range(record_count))]
    folder.append(entries)
    folder.begin_generation(iter(entries))
    while not folder.write_snapshot_chunk():
        pass
    folder.close()
    files.unlock()


def _measure_cost(path: Path, changes_per_s: int, duration_s: float) -> tuple[float, float, float, int]:
    """Returns the share of a core, the changes per second, the bytes written per hour, and the bytes on the
    disk at the end.
    """
    wal, writer = _open_storage(path, 8.0)
    marks = [make_mark_entry(n) for n in range(5000)]
    wal.list_state_entries = lambda: marks
    initial_bytes, change_count = writer.folder.written_bytes, 0
    cpu_start_s, start_s = time.process_time(), time.monotonic()
    while (now_s := time.monotonic()) - start_s < duration_s:
        due_count = int((now_s - start_s) * changes_per_s)
        while change_count < due_count:
            wal.append(marks[change_count % len(marks)])
            change_count += 1
        work = wal.tick(int(now_s * SECOND_US))
        if work is not None:
            wal.complete_batch(int(now_s * SECOND_US), writer.write(work))
            while writer.continue_snapshot():
                pass
        time.sleep(0.05)
    elapsed_s = time.monotonic() - start_s
    cpu_share = (time.process_time() - cpu_start_s) / elapsed_s
    disk_bytes = sum(file.stat().st_size for file in path.iterdir())
    return (
        cpu_share,
        change_count / elapsed_s,
        (writer.folder.written_bytes - initial_bytes) / elapsed_s * 3600,
        disk_bytes,
    )


def _measure_attempts(has_snapshot: bool, downtime_s: float) -> tuple[int, int, int]:
    """Measures the attempts at one of twenty form servers, at which every attempt times out.

    Runs a node for 10 s, in which it finds out that the server fails, restarts it after `downtime_s`, with
    its decision snapshot or without, and runs it for 10 s more. Returns, for the second 10 s, the attempts at
    that server, the requests that were established within the interval of 0.2 s in which they arrived, and
    the attempts at that server of a node that was not restarted.
    """
    from tests.support import InstanceHarness, full, run_ten_seconds

    unresponsive = 7
    original = InstanceHarness(seed=3)
    original.feed(full(*range(1, 21)))
    run_ten_seconds(original, unresponsive)
    server_names = {n: f"s-{n}" for n in range(1, 21)}
    content = decision_snapshot.encode_snapshot(original.now, original.balancer.snapshot(), server_names)
    restarted = InstanceHarness(seed=4)
    restarted.advance(original.now + int(downtime_s * SECOND_US) - restarted.now)
    restarted.feed(full(*range(1, 21)))
    if has_snapshot:
        snapshot = decision_snapshot.decode_snapshot(
            content, restarted.now, 120.0, {f"s-{n}": (n, 0) for n in range(1, 21)}
        )
        assert isinstance(snapshot, StateSnapshot)
        restarted.feed(snapshot)
    established_count = run_ten_seconds(restarted, unresponsive)
    restarted.finish()
    attempted_backends = [
        backend for expected in restarted.expected_answers.values() for backend, _ in expected.sends
    ]
    initial_attempts = sum(
        backend == unresponsive
        for answer in original.expected_answers.values()
        for backend, _ in answer.sends
    )
    run_ten_seconds(original, unresponsive)
    total_attempts = sum(
        backend == unresponsive
        for answer in original.expected_answers.values()
        for backend, _ in answer.sends
    )
    return attempted_backends.count(unresponsive), established_count, total_attempts - initial_attempts


def _run_power_cuts(seed: int) -> tuple[int, list[str]]:
    results = [find_power_cut_fault(step, seed) for step in range(1, 600)]
    return len(results), [fault for fault in results if fault]


def _report_kills(base_folder: Path) -> Iterator[str]:
    process_count = os.cpu_count() or 1
    folders = [base_folder / f"kill-{n}" for n in range(process_count)]
    with ProcessPoolExecutor(process_count) as pool:
        results = list(
            pool.map(
                kill_repeatedly,
                folders,
                [KILL_COUNT // process_count] * process_count,
                range(100, 100 + process_count),
            )
        )
    kills, acknowledged = (
        sum(result.kills for result in results),
        sum(result.acknowledged for result in results),
    )
    torn, generations = sum(result.torn for result in results), sum(result.generations for result in results)
    yield (
        f"kill   {kills} times, {acknowledged} entries acknowledged, {torn} incomplete last entries; "
        "no acknowledged entry lost"
    )
    yield f"kill   {generations} generations of the storage folders"


def _report_power_cuts(base_folder: Path) -> Iterator[str]:
    with ProcessPoolExecutor() as pool:
        results = list(pool.map(_run_power_cuts, range(1000, 1040)))
    faults = [fault for _, seed_faults in results for fault in seed_faults]
    # Each run of cut_at cuts the power twice.
    yield f"cut    {2 * sum(count for count, _ in results)} power cuts: {faults[:3] or 'nothing lost'}"


def _report_write_rates(base_folder: Path) -> Iterator[str]:
    yield (
        "write  the disk alone:             "
        f"{_measure_disk_syncs(base_folder / 'syncs'):8.0f} syncs per second"
    )
    for writer_count in (1, 10, 100):
        writes_per_s, syncs_per_s = _measure_shared_syncs(
            base_folder / f"shared-{writer_count}", writer_count
        )
        yield (
            f"write  {writer_count:4} writers, shared syncs: {writes_per_s:8.0f} writes per second, "
            f"{syncs_per_s:6.0f} syncs per second"
        )
    yield (
        "write  any number of writers, one sync per write: "
        f"{_measure_individual_syncs(base_folder / 'each'):8.0f} writes per second"
    )


def _report_start_times(base_folder: Path) -> Iterator[str]:
    for record_count in (0, RECORD_COUNT):
        folder = base_folder / f"start-{record_count}"
        folder.mkdir()
        _fill_folder(folder, record_count)
        with_folder_s, without_folder_s = (
            [_measure_start_s(folder, has_folder, record_count) for _ in range(5)]
            for has_folder in (True, False)
        )
        yield (
            f"start  {record_count:6} records: {quantile(with_folder_s, 0.5):.2f} s, without a folder "
            f"{quantile(without_folder_s, 0.5):.2f} s (medians of 5)"
        )
    cpu_start_s = time.process_time()
    contents = read_folder(OsFiles(base_folder / f"start-{RECORD_COUNT}" / "kept"))
    yield (
        f"start  {len(contents.state.records)} records read in "
        f"{time.process_time() - cpu_start_s:.2f} s of CPU time"
    )


def _report_cost(base_folder: Path) -> Iterator[str]:
    for changes_per_s in (0, 10, 1000):
        cpu_share, achieved_per_s, bytes_per_hour, disk_bytes = _measure_cost(
            base_folder / f"cost-{changes_per_s}", changes_per_s, 20.0
        )
        yield (
            f"cost   {achieved_per_s:6.0f} changes per second: {100 * cpu_share:5.2f}% of a core, "
            f"{bytes_per_hour / 1e6:8.1f} MB written per hour, {disk_bytes / 1e6:6.2f} MB on the disk"
        )


def _report_attempts(base_folder: Path) -> Iterator[str]:
    for downtime_s in (0.5, 5.0, 20.0):
        attempts_without, established_without, attempts_uninterrupted = _measure_attempts(False, downtime_s)
        attempts_with, established_with, _ = _measure_attempts(True, downtime_s)
        yield (
            f"attempts down for {downtime_s:4.1f} s: {attempts_without} without and {attempts_with} "
            f"with the decision snapshot, {attempts_uninterrupted} without a restart; "
            f"requests established within 0.2 s: {established_without} and {established_with} of 600"
        )


def _report_days(base_folder: Path) -> Iterator[str]:
    for plan in ("lasting", "lasting-all", "lasting-walk"):
        for nodes, seeds in ((5, range(5000, 5200)), (17, range(5000, 5020))):
            fault_run = FaultRun(plan, nodes=nodes)
            sweep = sweep_seeds(fault_run, "virtual", list(seeds), None, lambda progress: None)
            checks = [(summary.seed, check) for summary in sweep.summaries for check in summary.checks]
            violations = [
                (seed, check.name, check.faults[:1])
                for seed, check in checks
                if check.value is not None and check.limit is not None and check.value > check.limit
            ]
            yield f"days   {plan} at {nodes} nodes, {len(seeds)} seeds: {violations or 'no check violated'}"
            yield from (f"days     {line}" for line in describe_occasions(sweep))


PARTS = {
    "kill": _report_kills,
    "cut": _report_power_cuts,
    "write": _report_write_rates,
    "start": _report_start_times,
    "cost": _report_cost,
    "attempts": _report_attempts,
    "days": _report_days,
}

if __name__ == "__main__":
    unknown = [part for part in sys.argv[1:] if part not in PARTS]
    if unknown:
        raise SystemExit(
            f"lasting.py: unknown part '{unknown[0]}', "
            "expected kill, cut, write, start, cost, attempts or days"
        )
    with tempfile.TemporaryDirectory(prefix="lasting-", dir=".") as temporary_name:
        for chosen_part in sys.argv[1:] or PARTS:
            for report_line in PARTS[chosen_part](Path(temporary_name).resolve()):
                print(report_line, flush=True)
