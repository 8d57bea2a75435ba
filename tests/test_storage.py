"""A node's own folder: what it is found to hold after whatever befell it, and what is promised by it."""

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
from sailrun.lab.faults.killing import cut_at, entry_of, everything, kill_often, last_of, write
from sailrun.lab.faults.nemesis import PLANS
from sailrun.lab.faults.play import LASTING, FaultDay, agent_terms, play_virtual
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

SECOND = 1_000_000
SETTINGS = StorageSettings(folder="folder")


def create_test_folder(most: int = 60, seed: int = 1) -> SimFiles:
    """A folder with that many entries, in a few generations."""
    files = SimFiles()
    write(files, random.Random(seed), lambda number: None, most, frozenset())
    return files


class Renaming(SimFiles):
    """A folder in which another process just gives a finished snapshot its name: it is listed, then gone."""

    renames = 0

    def names(self) -> list[str]:
        names = super().names()
        if self.renames > 0:
            self.renames -= 1
            names.append("snapshot.9.new")
        return names


@pytest.mark.parametrize("renames", [1, 4])
def test_a_folder_is_read_beside_a_process_that_writes_to_it(renames: int) -> None:
    """A reader beside a running node ended with an error where it met the moment of a rename: `No such file
    or directory: '.../kept/snapshot.2.new'`. The name was listed, and gone when its size was asked for.
    """
    files = Renaming()
    write(files, random.Random(1), lambda number: None, 60, frozenset())
    calm = read_folder(files)
    files.renames = renames
    assert read_folder(files).position == calm.position and files.renames == 0


def test_a_file_that_stays_away_is_an_error() -> None:
    files = Renaming()
    write(files, random.Random(1), lambda number: None, 60, frozenset())
    files.renames = 100
    with pytest.raises(FileNotFoundError):
        read_folder(files)


def test_power_cut_at_every_step_leaves_the_state_before_or_after() -> None:
    for step in range(1, 300):
        for seed in range(4):
            assert cut_at(step, seed) is None


@pytest.mark.parametrize("rule", ["sync", "folder"])
def test_without_a_sync_power_cuts_take_what_was_acknowledged(rule: str) -> None:
    assert any(cut_at(step, seed, frozenset([rule])) for step in range(1, 300) for seed in range(4))


def test_every_subset_of_what_was_not_synced_leaves_the_state_before_or_after(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Pieces of 32 bytes: each of those a write had may be there or not, whatever the others do."""
    monkeypatch.setattr(disk, "PIECE", 32)
    files = create_test_folder(20)
    found = read_folder(files)
    folder = FolderWriter(files, found)
    folder.resume()
    before = last_of(found.state)
    name = f"journal.{found.journal_generation}"
    firm = files.size(name)
    folder.append([entry_of(before + 1 + n) for n in range(4)])
    whole = files.read(name, 0, 1 << 20)
    pieces = range(firm // 32, (len(whole) + 31) // 32)
    assert 8 <= len(pieces) <= 14
    seen = set()
    for there in itertools.product((False, True), repeat=len(pieces)):
        data = bytearray(whole)
        for piece, yes in zip(pieces, there, strict=True):
            begin, end = max(firm, 32 * piece), min(len(whole), 32 * piece + 32)
            if not yes:
                data[begin:end] = bytes(end - begin)
        files._names[name].data = data
        again = read_folder(files)
        assert again.integrity is FolderIntegrity.INTACT, again.reason
        seen.add(last_of(again.state))
    assert seen == set(range(before, before + 5))


def test_a_journal_cut_at_every_byte_is_read_up_to_there() -> None:
    files = create_test_folder(40)
    found = read_folder(files)
    name = f"journal.{found.journal_generation}"
    whole = files.read(name, 0, 1 << 20)
    last = last_of(found.state)
    for size in range(len(whole), HEADER_BYTES - 1, -1):
        files._names[name].data = bytearray(whole[:size])
        again = read_folder(files)
        now = last_of(again.state)
        assert again.integrity is FolderIntegrity.INTACT and 0 <= now <= last
        last = now


def test_a_changed_byte_is_never_accepted() -> None:
    """Whatever byte: what is read is a state that was, and one that was known to be on the disk and is spoilt
    makes the folder doubtful.
    """
    files = SimFiles()
    folder = FolderWriter(files, FolderContents(FolderIntegrity.EMPTY))
    folder.create("n1", "fleet", bytes(16))
    for number in range(1, 13):
        folder.append([entry_of(number)])
        folder.sync()
    found = read_folder(files)
    name = f"journal.{found.journal_generation}"
    whole = files.read(name, 0, 1 << 20)
    doubtful = 0
    for at in range(len(whole)):
        data = bytearray(whole)
        data[at] ^= 1 << (at % 8)
        files._names[name].data = data
        again = read_folder(files)
        assert 0 <= last_of(again.state) <= last_of(found.state)
        doubtful += again.integrity is FolderIntegrity.UNTRUSTED
    # All but those of the last one, after which nothing tells that it was on the disk.
    assert doubtful > len(whole) * 10 / 13


@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    st.dictionaries(
        st.sampled_from(["identity", "journal.1", "journal.2", "snapshot.2"]), st.binary(max_size=400)
    )
)
def test_no_file_at_all_brings_the_reader_down(content: dict[str, bytes]) -> None:
    files = SimFiles()
    for name, data in content.items():
        files.create(name).write(data)
    assert read_folder(files).integrity is (FolderIntegrity.UNTRUSTED if content else FolderIntegrity.EMPTY)


@settings(max_examples=200, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.data())
def test_an_intact_folder_with_anything_in_it_changed_is_an_earlier_state_or_untrusted(
    data: st.DataObject,
) -> None:
    files = create_test_folder(30, seed=data.draw(st.integers(0, 5)))
    last = last_of(read_folder(files).state)
    name = data.draw(st.sampled_from(sorted(n for n in files.names() if n != "lock")))
    content = bytearray(files._names[name].data)
    at = data.draw(st.integers(0, len(content)))
    content[at : at + data.draw(st.integers(0, 60))] = data.draw(st.binary(max_size=60))
    files._names[name].data = content
    found = read_folder(files)
    if found.integrity is FolderIntegrity.INTACT:
        assert 0 <= last_of(found.state) <= last


def test_a_journal_or_a_snapshot_alone() -> None:
    files = create_test_folder(400)
    found = read_folder(files)
    assert found.journal_generation > 2
    for name in (f"journal.{found.journal_generation}", f"journal.{found.journal_generation - 1}"):
        without = files.copy()
        del without._names[name]
        without._names["identity"].number = files.inode("identity")
        gone = read_folder(without)
        # The last journal may be missing only where nothing says that it was begun.
        assert gone.integrity is FolderIntegrity.UNTRUSTED or last_of(gone.state) == last_of(found.state)
    damaged = files.copy()
    damaged.roll_back(files)
    damaged._names["identity"].number = files.inode("identity")
    newest = max(int(n.partition(".")[2]) for n in files.names() if n.startswith("snapshot."))
    damaged._names[f"snapshot.{newest}"].data[80] ^= 1
    again = read_folder(damaged)
    assert again.integrity is FolderIntegrity.INTACT and last_of(again.state) == last_of(found.state)


def test_a_copied_folder_and_another_nodes_are_not_relied_on() -> None:
    files = create_test_folder()
    assert read_folder(files).integrity is FolderIntegrity.INTACT
    copied = read_folder(files.copy())
    assert copied.integrity is FolderIntegrity.UNTRUSTED and "copied" in copied.reason
    files.create("identity.new").write(b"{}")
    assert read_folder(files).integrity is FolderIntegrity.INTACT


def test_a_newer_schema_is_refused_and_older_entries_have_their_defaults() -> None:
    files = create_test_folder()
    name = f"journal.{read_folder(files).journal_generation}"
    head = files._names[name].data
    head[8:10] = (2).to_bytes(2, "little")
    from hashlib import blake2b

    head[44:52] = blake2b(bytes(head[:44]), digest_size=8, key=bytes(head[20:36])).digest()
    with pytest.raises(NewerSchemaError, match="schema 2; this version reads up to 1"):
        read_folder(files)
    import msgspec

    noted = e.decode_entry(
        msgspec.msgpack.encode(["noted", "n1", "f", 1, 2])
    )  # as written before it had `run`
    assert noted == e.PeerFolderVersion("n1", "f", 1, 2, 0)


def test_killed_in_the_middle_of_writes(tmp_path: Path) -> None:
    """300 times in all, by several folders side by side."""
    from concurrent.futures import ThreadPoolExecutor

    with ThreadPoolExecutor(6) as pool:
        told = list(pool.map(lambda n: kill_often(tmp_path / f"f{n}", 50, n), range(6)))
    assert sum(t.kills for t in told) == 300
    assert all(t.acknowledged > 0 and t.generations > 1 for t in told), told


def test_two_writers_never_share_a_folder(tmp_path: Path) -> None:
    one, other = OsFiles(tmp_path / "f"), OsFiles(tmp_path / "f")
    one.make()
    assert one.lock() and not other.lock()
    one.unlock()
    assert other.lock()
    other.unlock()


# ---------------------------------------------------------------------- the write-ahead log


def open_log(storage_settings: StorageSettings = SETTINGS) -> tuple[WriteAheadLog, BatchWriter, SimFiles]:
    files = SimFiles()
    wal = WriteAheadLog(storage_settings, SECOND, 0, frozenset())
    wal.begin_new_folder(bytes(16))
    writer = BatchWriter(FolderWriter(files, FolderContents(FolderIntegrity.EMPTY)), "n1", "fleet")
    return wal, writer, files


def write_next_batch(wal: WriteAheadLog, writer: BatchWriter, now_us: int) -> list[Any]:
    work = wal.turn(now_us)
    return wal.complete_batch(now_us, writer.write(work)) if work is not None else []


def test_replies_wait_for_the_disk_and_share_a_sync() -> None:
    wal, writer, files = open_log()
    write_next_batch(wal, writer, 0)
    for n in range(10):
        wal.defer_reply(0, wal.append(entry_of(n + 1)), n, n)
    syncs = writer.folder.sync_count
    work = wal.turn(0)
    assert work is not None and wal.turn(0) is None
    wal.defer_reply(0, wal.append(entry_of(11)), "late", "late")
    assert wal.complete_batch(1000, writer.write(work)) == list(range(10))
    assert writer.folder.sync_count == syncs + 1
    assert write_next_batch(wal, writer, 2000) == ["late"]
    assert last_of(read_folder(files).state) == 11


def test_a_slow_disk_drops_replies_and_a_failing_one_begins_a_generation() -> None:
    wal, writer, files = open_log()
    write_next_batch(wal, writer, 0)
    wal.list_state_entries = lambda: list(everything(3))
    wal.defer_reply(0, wal.append(entry_of(1)), "a", "a")
    work = wal.turn(0)
    assert work is not None
    assert wal.turn(SECOND + 1) is None and not wal.is_disk_available
    assert wal.complete_batch(2 * SECOND, writer.write(work)) == []  # it was given up
    assert wal.is_disk_available and wal.dropped_replies == 1

    def full(what: str, name: str) -> None:
        if what == "sync":
            raise OSError(5, "Input/output error")

    files.fault = full
    wal.defer_reply(0, wal.append(entry_of(2)), "b", "b")
    assert write_next_batch(wal, writer, 3 * SECOND) == [] and not wal.is_disk_available
    position = wal.append(entry_of(3))
    assert not wal.is_synced(position) and wal.turn(3 * SECOND + 1) is None  # not at once
    write_next_batch(wal, writer, 5 * SECOND)
    assert wal.disk_state is DiskState.FAILED
    files.fault = lambda what, name: None
    write_next_batch(wal, writer, 7 * SECOND)
    assert wal.is_disk_available and wal.is_synced(position)
    found = read_folder(files)
    assert found.integrity is FolderIntegrity.INTACT and last_of(found.state) == 3
    assert [what for what, _ in wal.log_events] == [
        "lasting-slow",
        "lasting-able",
        "lasting-failed",
        "lasting-able",
    ]


def test_more_than_fits_the_queue_is_replaced_by_the_whole_state() -> None:
    wal, writer, files = open_log(StorageSettings(folder="f", queue_mb=0.1))
    write_next_batch(wal, writer, 0)
    wal.list_state_entries = lambda: list(everything(4000))
    for n in range(4000):
        wal.append(entry_of(n + 1))
    assert len(wal._pending) == 0
    write_next_batch(wal, writer, SECOND)
    assert last_of(read_folder(files).state) == 4000


# ---------------------------------------------------------------------- older folders


def create_freshness(name: str, notes: list[e.PeerFolderVersion] | None = None) -> FolderFreshness:
    def majority(names: set[str]) -> bool:
        return len(names & {"n1", "n2", "n3"}) >= 2

    noted = notes.append if notes is not None else (lambda note: None)
    return FolderFreshness(name, lambda: ["n1", "n2", "n3"], majority, noted, 1000, lambda name: True)


def exchange_queries(voter: FolderFreshness, others: dict[str, FolderFreshness], now_us: int) -> None:
    for name, body in voter.turn(now_us):
        if name in others and isinstance(body, FreshnessQuery):
            voter.on_reply(name, others[name].peers.on_query("n1", body))


def test_a_folder_is_relied_on_once_a_majority_knows_of_no_newer() -> None:
    others = {"n2": create_freshness("n2"), "n3": create_freshness("n3")}
    first = create_freshness("n1")
    first.start(OwnFolder("aa", 1, 1, 0, 0), False, {})
    exchange_queries(first, others, 0)
    exchange_queries(first, others, SECOND)
    assert first.state is FreshnessState.REJOINED
    assert first.own is not None
    first.own.synced_position = 50
    exchange_queries(first, others, 2 * SECOND)
    assert first.is_position_noted(50) and not first.is_position_noted(51)

    again = create_freshness("n1")
    again.start(OwnFolder("aa", 2, 2, 50, 50), True, {})
    exchange_queries(again, {"n2": others["n2"]}, 3 * SECOND)
    again.turn(3 * SECOND + 1)
    assert not again.is_established  # n3 lives, and may know more
    again.turn(4 * SECOND)
    again.turn(5 * SECOND + REPLY_GRACE_US)
    assert again.state is FreshnessState.CONFIRMED

    older = create_freshness("n1")
    older.start(OwnFolder("aa", 3, 2, 20, 20), True, {})  # the same life once more, from a backup
    exchange_queries(older, {"n3": others["n3"]}, 9 * SECOND)
    assert older.state is FreshnessState.STALE and older.stale_reason == "a later position is known"


def test_a_repeated_query_does_not_overwrite_what_was_known() -> None:
    """The answer to the first question may be lost; the second is to be told the same."""
    other = create_freshness("n2")
    new = create_freshness("n1")
    new.start(OwnFolder("aa", 1, 5, 0, 0), False, {})
    for at_us in (0, SECOND):
        exchange_queries(new, {"n2": other}, at_us)
    assert new.own is not None
    new.own.synced_position = 80
    exchange_queries(new, {"n2": other}, 2 * SECOND)
    older = create_freshness("n1")
    older.start(OwnFolder("aa", 2, 6, 40, 40), True, {})
    for at_us in (0, SECOND):
        body = older.turn(at_us)[0][1]
        assert isinstance(body, FreshnessQuery)
        answer = other.peers.on_query("n1", body)
        assert answer.position == 80
    older.on_reply("n2", answer)
    assert older.state is FreshnessState.STALE


def test_a_voter_that_ran_without_a_folder_makes_its_old_one_older() -> None:
    other = create_freshness("n2")
    first = create_freshness("n1")
    first.start(OwnFolder("aa", 1, 1, 0, 0), False, {})
    for at_us in (0, SECOND):
        exchange_queries(first, {"n2": other}, at_us)
    other.peers.on_peer_without_folder("n1", 77)
    other.peers.on_peer_without_folder("n1", 77)
    again = create_freshness("n1")
    again.start(OwnFolder("aa", 3, 2, 10, 10), True, {})
    exchange_queries(again, {"n2": other}, 2 * SECOND)
    assert again.state is FreshnessState.STALE


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


def test_what_was_learned_counts_less_the_older_it_is() -> None:
    now_us = 1_800_000_000 * SECOND
    values = {"recent_attempts": 100.0, "success_share": 0.5}
    rate = SetupRateSnapshot(*(values.get(name, 1.0) for name in SETUP_RATE_FIELDS))
    told = StateSnapshot(
        (ejected_backend(1, now_us + 40 * SECOND), ejected_backend(2, 0)), rate, {"page-load": (3.0, 8)}
    )
    content = decision_snapshot.encode_snapshot(now_us, told, {1: "s-1", 2: "s-2"})
    numbers = {"s-1": (1, 5), "s-2": (2, 6)}  # the second is another process by now
    fresh = decision_snapshot.decode_snapshot(content, now_us, 100.0, numbers)
    assert fresh is not None and [b.id for b in fresh.backends] == [1]
    assert fresh.backends[0].ejected_until_us == now_us + 40 * SECOND
    later_us = now_us + 30 * SECOND
    later = decision_snapshot.decode_snapshot(content, later_us, 30.0, numbers)
    assert later is not None
    assert later.backends[0].ejected_until_us == now_us + 40 * SECOND  # never for longer than it was to be
    assert later.backends[0].load_limit == 16.0
    assert later.setup_rate is not None and later.setup_rate.recent_attempts == 50
    assert later.class_load == {"page-load": (3.0, 4)}
    assert decision_snapshot.decode_snapshot(content, now_us + 300 * SECOND, 30.0, numbers) is None
    # A clock that was set back by a year: how old that is, nobody knows.
    assert decision_snapshot.decode_snapshot(content, now_us - 31_536_000 * SECOND, 100.0, numbers) is None
    assert decision_snapshot.decode_snapshot(b"\x93\x01", now_us, 100.0, numbers) is None
    assert decision_snapshot.remaining_ejections_us(content, now_us + SECOND, 100.0)["s-1"] > 38 * SECOND


# ---------------------------------------------------------------------- days, and the command


@pytest.mark.parametrize("rule", ["sync", "generation", "folder"])
def test_each_rule_of_folders_is_missed_when_it_is_off(rule: str) -> None:
    plan = "lasting" if rule == "generation" else "lasting-all"
    for seed in range(1, 20):
        played = play_virtual(FaultDay(plan, seed, off=frozenset([rule])))
        if any(c.value > 0 for c in played.checks):
            return
    pytest.fail(f"nothing is broken without {rule}")


def run_cli(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "sailrun", "lasting", *words], capture_output=True, text=True
    )


def test_a_folder_is_shown_checked_exported_and_forgotten(tmp_path: Path) -> None:
    folder = tmp_path / "kept"
    files = OsFiles(folder)
    files.make()
    write(files, random.Random(1), lambda number: None, 20, frozenset())
    files.unlock()
    shown = json.loads(run_cli("show", str(folder), "--json").stdout)
    assert shown["sound"] == "sound" and shown["node"] == "n1" and shown["terms"]["task"] >= 19
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
    assert run_cli("check", str(folder)).stdout.strip().endswith("nothing was kept there yet")
    missing = run_cli("show", str(tmp_path / "none"))
    assert missing.returncode == 2 and missing.stderr.count("\n") == 1


def test_a_hundred_thousand_records_are_read_whole() -> None:
    files = SimFiles()
    folder = FolderWriter(files, FolderContents(FolderIntegrity.EMPTY))
    folder.create("n1", "fleet", bytes(16))
    records: list[e.Entry] = [
        e.StoredRecord(apply_write(None, ("out", f"s-{n:08x}", ""), False, "", (1, n), b"x" * 60))
        for n in range(100_000)
    ]
    folder.append(records)
    folder.sync()
    found = read_folder(files)
    assert found.integrity is FolderIntegrity.INTACT and len(found.state.records) == 100_000


# ---------------------------------------------------------------------- fleets in virtual time


def start_fleet(seed: int = 1) -> VirtualFleet:
    """Five nodes with folders, three of them voters, that have met."""
    fleet = VirtualFleet(
        5,
        3,
        1,
        lambda index, voters, joins: agent_terms(index, voters, joins, PLANS["lasting"]),
        seed,
        lasting=LASTING,
    )
    fleet.begin()
    fleet.run(8.0)
    return fleet


def now_s(fleet: VirtualFleet) -> float:
    return (fleet.time.now_us - BEGIN_US) / SECOND


def replica_of(fleet: VirtualFleet, name: str) -> Replica:
    agent = fleet.nodes[name].agent
    assert agent is not None and agent.replica is not None
    return agent.replica


def test_copies_of_members_that_do_not_vote_are_counted_once_they_are_on_the_disk() -> None:
    fleet = start_fleet()
    answers: list[MarkOutcome] = []
    op = MarkRequest(
        "mark", replica_of(fleet, "n4").make_request_id(), 0, "out", "s-00000001", True, all_members=True
    )
    replica_of(fleet, "n4").write_mark(fleet.clock_us(fleet.nodes["n4"]), op, answers.append)
    fleet._soon(fleet.nodes["n4"])
    fleet.run(now_s(fleet) + 3.0)
    assert [(a.state, a.copies, a.replicas) for a in answers] == [("done", 5, 5)]
    for name in fleet.names:
        found = read_folder(fleet.nodes[name].files)
        assert ("out", "s-00000001", "") in found.state.records


def test_a_nodes_own_mark_is_reported_once_it_is_on_the_disk_and_reported_where_it_is_not() -> None:
    fleet = start_fleet()
    node = fleet.nodes["n4"]
    agent = node.agent
    assert agent is not None and node.write_ahead_log is not None
    told: list[bool] = []
    fleet.mark_here("n4", "s-00000002", True)
    agent.durable_state.call_when_durable(fleet.clock_us(node), told.append)
    assert not told
    fleet._soon(node)
    fleet.run(now_s(fleet) + 0.1)
    assert told == [True]
    fleet.fill(["n4"], 60 * SECOND)
    fleet.mark_here("n4", "s-00000003", True)
    agent.durable_state.call_when_durable(fleet.clock_us(node), told.append)
    fleet._soon(node)
    fleet.run(now_s(fleet) + 0.1)
    assert told == [True, False]


def test_a_voter_that_restarts_with_its_folder_need_not_abstain() -> None:
    fleet = start_fleet()
    owner = fleet.owner("marks")
    voter = next(name for name in fleet.voters if name != owner)
    fleet.kill(voter)
    fleet.run(now_s(fleet) + 0.5)
    fleet.start(voter)
    fleet.run(now_s(fleet) + 0.5)  # a lease is 2 s
    agent = fleet.nodes[voter].agent
    assert agent is not None and agent.voter is not None and agent.voter.remembers
    assert agent.replica is not None and agent.replica.acceptor is not None
    assert agent.replica.acceptor.state.is_recovered
    assert fleet.owner("marks") == owner


def test_all_restarted_at_once_go_on_without_chance_or_clock() -> None:
    fleet = start_fleet()
    before = {t: max(s.term for s in _slots(fleet, t)) for t in ("marks",)}
    fleet.mark("n3", "s-00000001", True)
    fleet.run(now_s(fleet) + 1.0)
    for name in fleet.names:
        fleet.kill(name)
    for name in fleet.names:
        fleet.start(name, clock_s=-31_536_000.0)
    fleet.run(now_s(fleet) + 4.0)
    assert fleet.owner("marks") is not None
    after = max(s.term for s in _slots(fleet, "marks"))
    assert before["marks"] < after < before["marks"] + 10  # the next ones, not others by the clock
    assert all(("out", "s-00000001") in replica_of(fleet, name).active_marks for name in fleet.names)


def _slots(fleet: VirtualFleet, task: str) -> list[GrantedLease]:
    voters = [
        n.agent.voter for n in fleet.nodes.values() if n.agent is not None and n.agent.voter is not None
    ]
    return [v.granted_leases()[task] for v in voters if task in v.granted_leases()]


def test_nothing_is_promised_twice_before_a_majority_knows_of_it() -> None:
    """A voter that reaches the candidate and no other voter: the second ask finds the grant on its disk."""
    fleet = start_fleet()
    node = fleet.nodes["n0"]
    agent = node.agent
    assert agent is not None
    sent: list[LeaseGrant] = []
    put = fleet._put

    def collect(sender: VirtualNode, out: OutgoingEnvelope) -> None:
        if sender is node and isinstance(out.envelope.body, LeaseGrant) and out.envelope.body.task == "t":
            sent.append(out.envelope.body)
        put(sender, out)

    fleet._put = collect  # type: ignore[method-assign, assignment]
    cut = fleet.cut(["n0"], ["n1", "n2"])
    for number in (1, 2, 3):
        ask = LeaseRequest("t", 2**52, number, agent.voters.stage, number > 1)
        fleet._send(node, agent._dispatch(fleet.clock_us(node), "n4", 1, ask))
        fleet.run(now_s(fleet) + 0.5)
    assert not sent
    fleet.heal(cut)
    fleet.run(now_s(fleet) + 1.0)
    assert sent


def test_a_voter_that_learns_later_of_a_newer_folder_stops_relying_on_its_own() -> None:
    others = {"n2": create_freshness("n2"), "n3": create_freshness("n3")}
    first = create_freshness("n1")
    first.start(OwnFolder("aa", 1, 7, 0, 0), False, {})
    for at_us in (0, SECOND):
        exchange_queries(first, others, at_us)
    others["n2"].peers.versions.clear()  # n2 knows nothing, n3 is out of reach
    older = create_freshness("n1")
    older.start(OwnFolder("aa", 2, 3, 20, 20), True, {})
    exchange_queries(older, {"n2": others["n2"]}, 0)
    older.turn(0)
    older.turn(REPLY_GRACE_US + SECOND)
    assert older.state is FreshnessState.CONFIRMED and older.own is not None
    older.own.synced_position = 25
    exchange_queries(older, others, 9 * SECOND)
    assert not older.is_established and older.stale_reason == "a later life is known"


def test_a_standalone_generation_is_not_passed_over_where_its_snapshot_is_damaged() -> None:
    files = create_test_folder(30)
    folder = FolderWriter(files, read_folder(files))
    folder.resume()
    last = last_of(read_folder(files).state)
    folder.write_standalone_generation(everything(last), folder.position)
    found = read_folder(files)
    assert found.integrity is FolderIntegrity.INTACT and last_of(found.state) == last
    files._names[f"snapshot.{found.journal_generation}"].data[80] ^= 1
    assert read_folder(files).integrity is FolderIntegrity.UNTRUSTED
