"""Storage folders: contents after crashes, damage and restarts, and the promises that depend on them."""

from __future__ import annotations

import itertools
import json
import random
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from sailrun.decisions.events import (
    BACKEND_SNAPSHOT_FIELDS,
    SETUP_RATE_FIELDS,
    BackendSnapshot,
    SetupRateSnapshot,
    StateSnapshot,
)
from sailrun.lab.faults import disk
from sailrun.lab.faults.disk import SimFiles
from sailrun.lab.faults.killing import (
    entry_of,
    find_power_cut_fault,
    kill_repeatedly,
    last_entry_number,
    snapshot_entries,
    write_entries,
)
from sailrun.lab.faults.nemesis import PLANS
from sailrun.lab.faults.runs import STORAGE_SETTINGS, FaultRun, agent_settings, run_virtual
from sailrun.lab.faults.virtual import VirtualFleet, VirtualNode
from sailrun.lab.scheduler import BEGIN_US
from sailrun.leadership.agent import OutgoingEnvelope
from sailrun.leadership.messages import LeaseGrant, LeaseRequest
from sailrun.leadership.voter import GrantedLease
from sailrun.replication.mark_client import MarkOutcome
from sailrun.replication.messages import MarkRequest
from sailrun.replication.records import apply_write
from sailrun.replication.replica import Replica
from sailrun.storage import decision_snapshot
from sailrun.storage import entries as e
from sailrun.storage.errors import NewerSchemaError
from sailrun.storage.files import OsFiles
from sailrun.storage.folder_reader import FolderContents, FolderIntegrity, read_folder
from sailrun.storage.folder_writer import FolderWriter
from sailrun.storage.frames import FRAME_HEADER_BYTES, HEADER_BYTES
from sailrun.storage.freshness import REPLY_GRACE_US, FolderFreshness, FreshnessState, OwnFolder
from sailrun.storage.messages import FreshnessQuery
from sailrun.storage.settings import StorageSettings
from sailrun.storage.write_ahead_log import DiskState, WriteAheadLog
from sailrun.storage.writer import BatchWriter

SECOND_US = 1_000_000
SETTINGS = StorageSettings(folder="folder")


def create_test_folder(entry_count: int = 60, seed: int = 1) -> SimFiles:
    """A folder with `entry_count` entries in a few generations."""
    files = SimFiles()
    write_entries(files, random.Random(seed), lambda number: None, entry_count, frozenset())
    return files


class RenamingFiles(SimFiles):
    """A folder in which another process renames a finished snapshot: the temporary name is listed although
    the file no longer exists.
    """

    renames = 0

    def names(self) -> list[str]:
        names = super().names()
        if self.renames > 0:
            self.renames -= 1
            names.append("snapshot.9.new")
        return names


@pytest.mark.parametrize("renames", [1, 4])
def test_a_folder_is_read_while_another_process_writes_to_it(renames: int) -> None:
    """A reader failed with `No such file or directory: '.../kept/snapshot.2.new'` when a running node renamed
    the file: it was listed, but no longer existed when its size was read.
    """
    files = RenamingFiles()
    write_entries(files, random.Random(1), lambda number: None, 60, frozenset())
    expected = read_folder(files)
    files.renames = renames
    assert read_folder(files).position == expected.position and files.renames == 0


def test_a_file_that_stays_missing_is_an_error() -> None:
    files = RenamingFiles()
    write_entries(files, random.Random(1), lambda number: None, 60, frozenset())
    files.renames = 100
    with pytest.raises(FileNotFoundError):
        read_folder(files)


def test_power_cut_at_every_step_leaves_the_state_before_or_after() -> None:
    for step in range(1, 300):
        for seed in range(4):
            assert find_power_cut_fault(step, seed) is None


@pytest.mark.parametrize("rule", ["sync", "folder"])
def test_without_syncs_power_cuts_lose_acknowledged_entries(rule: str) -> None:
    assert any(
        find_power_cut_fault(step, seed, frozenset([rule])) for step in range(1, 300) for seed in range(4)
    )


def test_every_subset_of_unsynced_writes_leaves_the_state_before_or_after(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each piece of 32 bytes of a write may or may not be on disk, independently of the others."""
    monkeypatch.setattr(disk, "SECTOR_BYTES", 32)
    files = create_test_folder(20)
    contents = read_folder(files)
    folder = FolderWriter(files, contents)
    folder.resume()
    last_synced = last_entry_number(contents.state)
    name = f"journal.{contents.journal_generation}"
    synced_size = files.size(name)
    folder.append([entry_of(last_synced + 1 + n) for n in range(4)])
    original = files.read(name, 0, 1 << 20)
    pieces = range(synced_size // 32, (len(original) + 31) // 32)
    assert 8 <= len(pieces) <= 14
    seen = set()
    for is_written in itertools.product((False, True), repeat=len(pieces)):
        data = bytearray(original)
        for piece, is_present in zip(pieces, is_written, strict=True):
            begin, end = max(synced_size, 32 * piece), min(len(original), 32 * piece + 32)
            if not is_present:
                data[begin:end] = bytes(end - begin)
        files._names[name].data = data
        reread = read_folder(files)
        assert reread.integrity is FolderIntegrity.INTACT, reread.reason
        seen.add(last_entry_number(reread.state))
    assert seen == set(range(last_synced, last_synced + 5))


def test_a_journal_truncated_at_any_byte_is_read_up_to_there() -> None:
    files = create_test_folder(40)
    contents = read_folder(files)
    name = f"journal.{contents.journal_generation}"
    original = files.read(name, 0, 1 << 20)
    last = last_entry_number(contents.state)
    for size in range(len(original), HEADER_BYTES - 1, -1):
        files._names[name].data = bytearray(original[:size])
        reread = read_folder(files)
        current = last_entry_number(reread.state)
        assert reread.integrity is FolderIntegrity.INTACT and 0 <= current <= last
        last = current


def test_a_changed_byte_is_never_accepted() -> None:
    """Whichever byte is changed, the state that is read is an earlier one, and damage to an entry that was
    known to be synced makes the folder untrusted.
    """
    files = SimFiles()
    folder = FolderWriter(files, FolderContents(FolderIntegrity.EMPTY))
    folder.create("n1", "fleet", bytes(16))
    for number in range(1, 13):
        folder.append([entry_of(number)])
        folder.sync()
    contents = read_folder(files)
    name = f"journal.{contents.journal_generation}"
    original = files.read(name, 0, 1 << 20)
    untrusted_count = 0
    for offset in range(len(original)):
        data = bytearray(original)
        data[offset] ^= 1 << (offset % 8)
        files._names[name].data = data
        reread = read_folder(files)
        assert 0 <= last_entry_number(reread.state) <= last_entry_number(contents.state)
        untrusted_count += reread.integrity is FolderIntegrity.UNTRUSTED
    # All bytes except those of the last entry: no later frame shows that it was synced.
    assert untrusted_count > len(original) * 10 / 13


@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    st.dictionaries(
        st.sampled_from(["identity", "journal.1", "journal.2", "snapshot.2"]), st.binary(max_size=400)
    )
)
def test_arbitrary_file_contents_raise_nothing(content: dict[str, bytes]) -> None:
    files = SimFiles()
    for name, data in content.items():
        files.create(name).write(data)
    assert read_folder(files).integrity is (FolderIntegrity.UNTRUSTED if content else FolderIntegrity.EMPTY)


@settings(max_examples=200, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.data())
def test_an_intact_folder_after_any_change_is_an_earlier_state_or_untrusted(
    data: st.DataObject,
) -> None:
    files = create_test_folder(30, seed=data.draw(st.integers(0, 5)))
    last = last_entry_number(read_folder(files).state)
    name = data.draw(st.sampled_from(sorted(n for n in files.names() if n != "lock")))
    content = bytearray(files._names[name].data)
    offset = data.draw(st.integers(0, len(content)))
    content[offset : offset + data.draw(st.integers(0, 60))] = data.draw(st.binary(max_size=60))
    files._names[name].data = content
    contents = read_folder(files)
    if contents.integrity is FolderIntegrity.INTACT:
        assert 0 <= last_entry_number(contents.state) <= last


def test_a_missing_journal_is_detected_and_a_damaged_snapshot_costs_no_entry() -> None:
    files = create_test_folder(400)
    contents = read_folder(files)
    assert contents.journal_generation > 2
    for name in (f"journal.{contents.journal_generation}", f"journal.{contents.journal_generation - 1}"):
        incomplete = files.copy()
        del incomplete._names[name]
        incomplete._names["identity"].inode_number = files.inode("identity")
        incomplete_contents = read_folder(incomplete)
        # The last journal may be missing only if no other file shows that it was begun.
        assert incomplete_contents.integrity is FolderIntegrity.UNTRUSTED or last_entry_number(
            incomplete_contents.state
        ) == last_entry_number(contents.state)
    damaged = files.copy()
    damaged.roll_back(files)
    damaged._names["identity"].inode_number = files.inode("identity")
    newest = max(int(n.partition(".")[2]) for n in files.names() if n.startswith("snapshot."))
    damaged._names[f"snapshot.{newest}"].data[80] ^= 1
    reread = read_folder(damaged)
    assert reread.integrity is FolderIntegrity.INTACT and last_entry_number(
        reread.state
    ) == last_entry_number(contents.state)


def test_a_copied_folder_is_untrusted() -> None:
    files = create_test_folder()
    assert read_folder(files).integrity is FolderIntegrity.INTACT
    copied = read_folder(files.copy())
    assert copied.integrity is FolderIntegrity.UNTRUSTED and "copied" in copied.reason
    files.create("identity.new").write(b"{}")
    assert read_folder(files).integrity is FolderIntegrity.INTACT


def test_a_newer_schema_is_rejected_and_older_entries_get_defaults() -> None:
    files = create_test_folder()
    name = f"journal.{read_folder(files).journal_generation}"
    journal = files._names[name].data
    journal[8:10] = (2).to_bytes(2, "little")
    from hashlib import blake2b

    journal[44:52] = blake2b(bytes(journal[:44]), digest_size=8, key=bytes(journal[20:36])).digest()
    with pytest.raises(NewerSchemaError, match="schema 2; this version reads up to 1"):
        read_folder(files)
    import msgspec

    version = e.decode_entry(
        msgspec.msgpack.encode(["noted", "n1", "f", 1, 2])
    )  # written by a version without the field `run`
    assert version == e.PeerFolderVersion("n1", "f", 1, 2, 0)


def test_kills_during_writes_lose_no_acknowledged_entry(tmp_path: Path) -> None:
    """300 kills in total, of writers to several folders in parallel."""
    from concurrent.futures import ThreadPoolExecutor

    with ThreadPoolExecutor(6) as pool:
        results = list(pool.map(lambda n: kill_repeatedly(tmp_path / f"f{n}", 50, n), range(6)))
    assert sum(result.kills for result in results) == 300
    assert all(result.acknowledged > 0 and result.generations > 1 for result in results), results


def test_two_writers_cannot_lock_one_folder(tmp_path: Path) -> None:
    first, second = OsFiles(tmp_path / "f"), OsFiles(tmp_path / "f")
    first.make()
    assert first.lock() and not second.lock()
    first.unlock()
    assert second.lock()
    second.unlock()


# ---------------------------------------------------------------------- the write-ahead log


def open_log(storage_settings: StorageSettings = SETTINGS) -> tuple[WriteAheadLog, BatchWriter, SimFiles]:
    files = SimFiles()
    wal = WriteAheadLog(storage_settings, SECOND_US, 0, frozenset())
    wal.begin_new_folder(bytes(16))
    writer = BatchWriter(FolderWriter(files, FolderContents(FolderIntegrity.EMPTY)), "n1", "fleet")
    return wal, writer, files


def write_next_batch(wal: WriteAheadLog, writer: BatchWriter, now_us: int) -> list[Any]:
    batch = wal.tick(now_us)
    return wal.complete_batch(now_us, writer.write(batch)) if batch is not None else []


def test_deferred_replies_wait_for_and_share_a_sync() -> None:
    wal, writer, files = open_log()
    write_next_batch(wal, writer, 0)
    for n in range(10):
        wal.defer_reply(0, wal.append(entry_of(n + 1)), n, n)
    sync_count_before = writer.folder.sync_count
    batch = wal.tick(0)
    assert batch is not None and wal.tick(0) is None
    wal.defer_reply(0, wal.append(entry_of(11)), "late", "late")
    assert wal.complete_batch(1000, writer.write(batch)) == list(range(10))
    assert writer.folder.sync_count == sync_count_before + 1
    assert write_next_batch(wal, writer, 2000) == ["late"]
    assert last_entry_number(read_folder(files).state) == 11


def test_a_slow_disk_drops_replies_and_a_failing_one_requires_a_new_generation() -> None:
    wal, writer, files = open_log()
    write_next_batch(wal, writer, 0)
    wal.list_state_entries = lambda: list(snapshot_entries(3))
    wal.defer_reply(0, wal.append(entry_of(1)), "a", "a")
    batch = wal.tick(0)
    assert batch is not None
    assert wal.tick(SECOND_US + 1) is None and not wal.is_disk_available
    assert wal.complete_batch(2 * SECOND_US, writer.write(batch)) == []  # the reply was dropped
    assert wal.is_disk_available and wal.dropped_replies == 1

    def fail_sync(operation: str, name: str) -> None:
        if operation == "sync":
            raise OSError(5, "Input/output error")

    files.fault = fail_sync
    wal.defer_reply(0, wal.append(entry_of(2)), "b", "b")
    assert write_next_batch(wal, writer, 3 * SECOND_US) == [] and not wal.is_disk_available
    position = wal.append(entry_of(3))
    assert not wal.is_synced(position) and wal.tick(3 * SECOND_US + 1) is None  # not retried at once
    write_next_batch(wal, writer, 5 * SECOND_US)
    assert wal.disk_state is DiskState.FAILED
    files.fault = lambda operation, name: None
    write_next_batch(wal, writer, 7 * SECOND_US)
    assert wal.is_disk_available and wal.is_synced(position)
    contents = read_folder(files)
    assert contents.integrity is FolderIntegrity.INTACT and last_entry_number(contents.state) == 3
    assert [event_name for event_name, _ in wal.log_events] == [
        "lasting-slow",
        "lasting-able",
        "lasting-failed",
        "lasting-able",
    ]


def test_a_full_queue_is_replaced_by_the_whole_state() -> None:
    wal, writer, files = open_log(StorageSettings(folder="f", queue_mb=0.1))
    write_next_batch(wal, writer, 0)
    wal.list_state_entries = lambda: list(snapshot_entries(4000))
    for n in range(4000):
        wal.append(entry_of(n + 1))
    assert len(wal._pending) == 0
    write_next_batch(wal, writer, SECOND_US)
    assert last_entry_number(read_folder(files).state) == 4000


# ---------------------------------------------------------------------- older folders


def create_freshness(name: str, persisted: list[e.PeerFolderVersion] | None = None) -> FolderFreshness:
    def is_majority(names: set[str]) -> bool:
        return len(names & {"n1", "n2", "n3"}) >= 2

    persist = persisted.append if persisted is not None else (lambda version: None)
    return FolderFreshness(name, lambda: ["n1", "n2", "n3"], is_majority, persist, 1000, lambda name: True)


def exchange_queries(voter: FolderFreshness, others: dict[str, FolderFreshness], now_us: int) -> None:
    for name, body in voter.tick(now_us):
        if name in others and isinstance(body, FreshnessQuery):
            voter.on_reply(name, others[name].peers.on_query("n1", body))


def test_a_folder_is_confirmed_once_a_majority_knows_no_newer_version() -> None:
    others = {"n2": create_freshness("n2"), "n3": create_freshness("n3")}
    first = create_freshness("n1")
    first.start(OwnFolder("aa", 1, 1, 0, 0), False, {})
    exchange_queries(first, others, 0)
    exchange_queries(first, others, SECOND_US)
    assert first.state is FreshnessState.REJOINED
    assert first.own is not None
    first.own.synced_position = 50
    exchange_queries(first, others, 2 * SECOND_US)
    assert first.is_position_acknowledged(50) and not first.is_position_acknowledged(51)

    restarted = create_freshness("n1")
    restarted.start(OwnFolder("aa", 2, 2, 50, 50), True, {})
    exchange_queries(restarted, {"n2": others["n2"]}, 3 * SECOND_US)
    restarted.tick(3 * SECOND_US + 1)
    assert not restarted.is_established  # n3 is alive and may know a newer version
    restarted.tick(4 * SECOND_US)
    restarted.tick(5 * SECOND_US + REPLY_GRACE_US)
    assert restarted.state is FreshnessState.CONFIRMED

    older = create_freshness("n1")
    older.start(OwnFolder("aa", 3, 2, 20, 20), True, {})  # the same incarnation again, from a backup
    exchange_queries(older, {"n3": others["n3"]}, 9 * SECOND_US)
    assert older.state is FreshnessState.STALE and older.stale_reason == "a later position is known"


def test_a_repeated_query_does_not_overwrite_the_known_version() -> None:
    """The reply to the first query may be lost; the reply to the second query must be the same."""
    other = create_freshness("n2")
    newer = create_freshness("n1")
    newer.start(OwnFolder("aa", 1, 5, 0, 0), False, {})
    for now_us in (0, SECOND_US):
        exchange_queries(newer, {"n2": other}, now_us)
    assert newer.own is not None
    newer.own.synced_position = 80
    exchange_queries(newer, {"n2": other}, 2 * SECOND_US)
    older = create_freshness("n1")
    older.start(OwnFolder("aa", 2, 6, 40, 40), True, {})
    for now_us in (0, SECOND_US):
        query = older.tick(now_us)[0][1]
        assert isinstance(query, FreshnessQuery)
        reply = other.peers.on_query("n1", query)
        assert reply.position == 80
    older.on_reply("n2", reply)
    assert older.state is FreshnessState.STALE


def test_a_voter_that_ran_without_a_folder_has_a_stale_folder() -> None:
    other = create_freshness("n2")
    first = create_freshness("n1")
    first.start(OwnFolder("aa", 1, 1, 0, 0), False, {})
    for now_us in (0, SECOND_US):
        exchange_queries(first, {"n2": other}, now_us)
    other.peers.on_peer_without_folder("n1", 77)
    other.peers.on_peer_without_folder("n1", 77)
    restarted = create_freshness("n1")
    restarted.start(OwnFolder("aa", 3, 2, 10, 10), True, {})
    exchange_queries(restarted, {"n2": other}, 2 * SECOND_US)
    assert restarted.state is FreshnessState.STALE


# ---------------------------------------------------------------------- decision snapshots


def ejected_backend(number: int, ejected_until_us: int) -> BackendSnapshot:
    values: dict[str, Any] = dict.fromkeys(BACKEND_SNAPSHOT_FIELDS, 0) | {
        "id": number,
        "started_us": 5,
        "load_limit": 8.0,
    }
    return BackendSnapshot(
        **{**values, "ejected_until_us": ejected_until_us, "ejections": 2, "half_open": True}
    )


def test_the_weight_of_learned_state_decreases_with_age() -> None:
    now_us = 1_800_000_000 * SECOND_US
    values = {"recent_attempts": 100.0, "success_share": 0.5}
    rate = SetupRateSnapshot(*(values.get(name, 1.0) for name in SETUP_RATE_FIELDS))
    snapshot = StateSnapshot(
        (ejected_backend(1, now_us + 40 * SECOND_US), ejected_backend(2, 0)), rate, {"page-load": (3.0, 8)}
    )
    content = decision_snapshot.encode_snapshot(now_us, snapshot, {1: "s-1", 2: "s-2"})
    numbers = {"s-1": (1, 5), "s-2": (2, 6)}  # the second has been restarted since
    fresh = decision_snapshot.decode_snapshot(content, now_us, 100.0, numbers)
    assert fresh is not None and [b.id for b in fresh.backends] == [1]
    assert fresh.backends[0].ejected_until_us == now_us + 40 * SECOND_US
    later_us = now_us + 30 * SECOND_US
    later = decision_snapshot.decode_snapshot(content, later_us, 30.0, numbers)
    assert later is not None
    # An ejection is never extended beyond its original end.
    assert later.backends[0].ejected_until_us == now_us + 40 * SECOND_US
    assert later.backends[0].load_limit == 16.0
    assert later.setup_rate is not None and later.setup_rate.recent_attempts == 50
    assert later.class_load == {"page-load": (3.0, 4)}
    assert decision_snapshot.decode_snapshot(content, now_us + 300 * SECOND_US, 30.0, numbers) is None
    # The clock was set back by a year, so the age is unknown.
    assert decision_snapshot.decode_snapshot(content, now_us - 31_536_000 * SECOND_US, 100.0, numbers) is None
    assert decision_snapshot.decode_snapshot(b"\x93\x01", now_us, 100.0, numbers) is None
    assert (
        decision_snapshot.remaining_ejections_us(content, now_us + SECOND_US, 100.0)["s-1"] > 38 * SECOND_US
    )


# ---------------------------------------------------------------------- laboratory runs and the command


@pytest.mark.parametrize("rule", ["sync", "generation", "folder"])
def test_the_checks_detect_each_disabled_folder_rule(rule: str) -> None:
    plan = "lasting" if rule == "generation" else "lasting-all"
    for seed in range(1, 20):
        result = run_virtual(FaultRun(plan, seed, off=frozenset([rule])))
        if any(check.value > 0 for check in result.checks):
            return
    pytest.fail(f"no check detected a fault without the rule {rule}")


def run_cli(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "sailrun", "lasting", *arguments], capture_output=True, text=True
    )


def test_a_folder_is_shown_checked_exported_and_forgotten(tmp_path: Path) -> None:
    folder = tmp_path / "kept"
    files = OsFiles(folder)
    files.make()
    write_entries(files, random.Random(1), lambda number: None, 20, frozenset())
    files.unlock()
    status = json.loads(run_cli("show", str(folder), "--json").stdout)
    assert status["sound"] == "sound" and status["node"] == "n1" and status["terms"]["task"] >= 19
    assert "task" in run_cli("show", str(folder)).stdout
    assert run_cli("check", str(folder)).returncode == 0
    lines = [json.loads(line) for line in run_cli("export", str(folder)).stdout.splitlines()]
    assert {"slot", "held", "copy"} <= {line["entry"] for line in lines}
    journal = max(folder.glob("journal.*"))
    data = bytearray(journal.read_bytes())
    data[HEADER_BYTES + FRAME_HEADER_BYTES] ^= 1
    journal.write_bytes(data)
    damaged = run_cli("check", str(folder))
    assert damaged.returncode == 1 and "doubtful" in damaged.stdout, damaged
    assert run_cli("forget", str(folder)).returncode == 2
    assert run_cli("forget", str(folder), "--yes").returncode == 0
    assert run_cli("check", str(folder)).stdout.strip().endswith("the folder is empty")
    missing = run_cli("show", str(tmp_path / "none"))
    assert missing.returncode == 2 and missing.stderr.count("\n") == 1


def test_a_hundred_thousand_records_are_read_completely() -> None:
    files = SimFiles()
    folder = FolderWriter(files, FolderContents(FolderIntegrity.EMPTY))
    folder.create("n1", "fleet", bytes(16))
    records: list[e.Entry] = [
        e.StoredRecord(apply_write(None, ("out", f"s-{n:08x}", ""), False, "", (1, n), b"x" * 60))
        for n in range(100_000)
    ]
    folder.append(records)
    folder.sync()
    contents = read_folder(files)
    assert contents.integrity is FolderIntegrity.INTACT and len(contents.state.records) == 100_000


# ---------------------------------------------------------------------- fleets in virtual time


def start_fleet(seed: int = 1) -> VirtualFleet:
    """Five nodes with folders, three of them voters, that have joined the membership."""
    fleet = VirtualFleet(
        5,
        3,
        1,
        lambda index, voters, joins: agent_settings(index, voters, joins, PLANS["lasting"]),
        seed,
        storage=STORAGE_SETTINGS,
    )
    fleet.begin()
    fleet.run(8.0)
    return fleet


def elapsed_s(fleet: VirtualFleet) -> float:
    return (fleet.time.now_us - BEGIN_US) / SECOND_US


def replica_of(fleet: VirtualFleet, name: str) -> Replica:
    agent = fleet.nodes[name].agent
    assert agent is not None and agent.replica is not None
    return agent.replica


def test_replicas_of_members_that_do_not_vote_are_counted_once_they_are_synced() -> None:
    fleet = start_fleet()
    outcomes: list[MarkOutcome] = []
    request = MarkRequest(
        "mark", replica_of(fleet, "n4").make_request_id(), 0, "out", "s-00000001", True, all_members=True
    )
    replica_of(fleet, "n4").write_mark(fleet.clock_us(fleet.nodes["n4"]), request, outcomes.append)
    fleet._run_soon(fleet.nodes["n4"])
    fleet.run(elapsed_s(fleet) + 3.0)
    assert [(a.state, a.copies, a.replicas) for a in outcomes] == [("done", 5, 5)]
    for name in fleet.names:
        contents = read_folder(fleet.nodes[name].files)
        assert ("out", "s-00000001", "") in contents.state.records


def test_a_nodes_own_mark_is_reported_as_synced_or_as_not_synced() -> None:
    fleet = start_fleet()
    node = fleet.nodes["n4"]
    agent = node.agent
    assert agent is not None and node.write_ahead_log is not None
    reports: list[bool] = []
    fleet.mark_locally("n4", "s-00000002", True)
    agent.durable_state.call_when_durable(fleet.clock_us(node), reports.append)
    assert not reports
    fleet._run_soon(node)
    fleet.run(elapsed_s(fleet) + 0.1)
    assert reports == [True]
    fleet.fill_disks(["n4"], 60 * SECOND_US)
    fleet.mark_locally("n4", "s-00000003", True)
    agent.durable_state.call_when_durable(fleet.clock_us(node), reports.append)
    fleet._run_soon(node)
    fleet.run(elapsed_s(fleet) + 0.1)
    assert reports == [True, False]


def test_a_voter_that_restarts_with_its_folder_need_not_abstain() -> None:
    fleet = start_fleet()
    owner = fleet.leader_of("marks")
    voter = next(name for name in fleet.voters if name != owner)
    fleet.kill(voter)
    fleet.run(elapsed_s(fleet) + 0.5)
    fleet.start(voter)
    fleet.run(elapsed_s(fleet) + 0.5)  # shorter than a lease, which is 2 s
    agent = fleet.nodes[voter].agent
    assert agent is not None and agent.voter is not None and agent.voter.remembers
    assert agent.replica is not None and agent.replica.acceptor is not None
    assert agent.replica.acceptor.state.is_recovered
    assert fleet.leader_of("marks") == owner


def test_a_restart_of_all_nodes_continues_their_terms_without_a_clock() -> None:
    fleet = start_fleet()
    before = {t: max(s.term for s in _granted_leases(fleet, t)) for t in ("marks",)}
    fleet.mark("n3", "s-00000001", True)
    fleet.run(elapsed_s(fleet) + 1.0)
    for name in fleet.names:
        fleet.kill(name)
    for name in fleet.names:
        fleet.start(name, clock_s=-31_536_000.0)
    fleet.run(elapsed_s(fleet) + 4.0)
    assert fleet.leader_of("marks") is not None
    after = max(s.term for s in _granted_leases(fleet, "marks"))
    assert before["marks"] < after < before["marks"] + 10  # consecutive terms, not new ones from the clock
    assert all(("out", "s-00000001") in replica_of(fleet, name).active_marks for name in fleet.names)


def _granted_leases(fleet: VirtualFleet, task: str) -> list[GrantedLease]:
    voters = [
        n.agent.voter for n in fleet.nodes.values() if n.agent is not None and n.agent.voter is not None
    ]
    return [v.granted_leases()[task] for v in voters if task in v.granted_leases()]


def test_nothing_is_promised_before_a_majority_has_acknowledged_the_position() -> None:
    """A voter reaches the candidate but no other voter: the second request finds the grant on its disk."""
    fleet = start_fleet()
    node = fleet.nodes["n0"]
    agent = node.agent
    assert agent is not None
    sent: list[LeaseGrant] = []
    original_put = fleet._transmit

    def collect(sender: VirtualNode, out: OutgoingEnvelope) -> None:
        if sender is node and isinstance(out.envelope.body, LeaseGrant) and out.envelope.body.task == "t":
            sent.append(out.envelope.body)
        original_put(sender, out)

    fleet._transmit = collect  # type: ignore[method-assign, assignment]
    cut = fleet.cut(["n0"], ["n1", "n2"])
    for number in (1, 2, 3):
        request = LeaseRequest("t", 2**52, number, agent.voters.stage, number > 1)
        fleet._send(node, agent._dispatch(fleet.clock_us(node), "n4", 1, request))
        fleet.run(elapsed_s(fleet) + 0.5)
    assert not sent
    fleet.heal(cut)
    fleet.run(elapsed_s(fleet) + 1.0)
    assert sent


def test_a_voter_that_learns_later_of_a_newer_folder_becomes_stale() -> None:
    others = {"n2": create_freshness("n2"), "n3": create_freshness("n3")}
    first = create_freshness("n1")
    first.start(OwnFolder("aa", 1, 7, 0, 0), False, {})
    for now_us in (0, SECOND_US):
        exchange_queries(first, others, now_us)
    others["n2"].peers.versions.clear()  # n2 knows no version, n3 cannot be reached
    older = create_freshness("n1")
    older.start(OwnFolder("aa", 2, 3, 20, 20), True, {})
    exchange_queries(older, {"n2": others["n2"]}, 0)
    older.tick(0)
    older.tick(REPLY_GRACE_US + SECOND_US)
    assert older.state is FreshnessState.CONFIRMED and older.own is not None
    older.own.synced_position = 25
    exchange_queries(older, others, 9 * SECOND_US)
    assert not older.is_established and older.stale_reason == "a newer incarnation is known"


def test_a_standalone_generation_with_a_damaged_snapshot_is_not_skipped() -> None:
    files = create_test_folder(30)
    folder = FolderWriter(files, read_folder(files))
    folder.resume()
    last = last_entry_number(read_folder(files).state)
    folder.write_standalone_generation(snapshot_entries(last), folder.position)
    contents = read_folder(files)
    assert contents.integrity is FolderIntegrity.INTACT and last_entry_number(contents.state) == last
    files._names[f"snapshot.{contents.journal_generation}"].data[80] ^= 1
    assert read_folder(files).integrity is FolderIntegrity.UNTRUSTED
