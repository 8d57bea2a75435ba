"""Real processes with folders of their own: restarts of one and of all, and a process that is replaced."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import pytest
import tomli_w

from sailrun.lab.faults.play import FaultDay, Played, play_real
from sailrun.storage.files import OsFiles
from sailrun.storage.folder_reader import FolderIntegrity, read_folder
from tests.stand_ins import PATIENCE_S, FormServer, Roster, free_port, node
from tests.test_fleet_processes import Fleet, free_host_port, run_fleet_command


@pytest.fixture(scope="module", autouse=True)
def days() -> Iterator[list[Future[Played]]]:
    """Days on real processes, played beside the other tests of this module, most of which wait."""
    with ThreadPoolExecutor(2) as pool:
        yield [pool.submit(play_real, FaultDay(kind, 5, seconds=36.0)) for kind in ("lasting", "lasting-all")]


@pytest.fixture
def fleet(tmp_path: Path, servers: list[FormServer]) -> Iterator[Fleet]:
    with ExitStack() as stack:
        yield Fleet(
            tmp_path, Roster([s.entry() for s in servers]), stack, has_replica=True, has_storage_folder=True
        )


def term_of(fleet: Fleet, task: str) -> int:
    owner = fleet.leader_of(task)
    return int(next(row["term"] for row in fleet.show(str(owner), "owners") if row["task"] == task))


def test_what_was_marked_is_out_again_before_anybody_is_placed_after_all_were_killed(
    fleet: Fleet, servers: list[FormServer]
) -> None:
    one, other = (s.name for s in servers[:2])
    assert run_fleet_command(fleet, "n1", "set-down", one, "--why", "a new disk").returncode == 0
    assert run_fleet_command(fleet, "n2", "set-down", other).returncode == 0
    assert run_fleet_command(fleet, "n2", "set-up", other).returncode == 0
    term = term_of(fleet, "marks")
    for running in fleet.nodes.values():
        running.process.send_signal(signal.SIGKILL)
    for running in fleet.nodes.values():
        running.process.wait(PATIENCE_S)
    for name in fleet.listens:
        fleet.start(name)
    fleet.until(lambda: fleet.leader_of("marks"))
    for running in fleet.nodes.values():
        running.logged("serving")
        running.logged("by-hand", f"server={one}", "out=True")
        running.logged("lasting-trusted", "life=2")
        assert not [x for x in running.lines if "marks-founded" in x or f"server={other}" in x], running.lines
    assert term_of(fleet, "marks") > term
    fleet.until(lambda: run_fleet_command(fleet, "n3", "state", "--behind").returncode == 0)
    assert run_fleet_command(fleet, "n3", "set-up", one).stdout.startswith("done")
    for running in fleet.nodes.values():
        running.logged("by-hand", f"server={one}", "out=False")


def test_a_planned_restart_leaves_a_folder_with_a_clean_shutdown(
    fleet: Fleet, servers: list[FormServer]
) -> None:
    assert run_fleet_command(fleet, "n1", "set-down", servers[0].name).returncode == 0
    process = fleet.nodes["n3"].process
    process.send_signal(signal.SIGTERM)
    began = time.monotonic()
    assert process.wait(PATIENCE_S) == 0 and time.monotonic() - began < 5.0
    found = read_folder(OsFiles(fleet.storage_folder_of("n3")))
    assert (
        found.integrity is FolderIntegrity.INTACT and found.state.was_clean_shutdown and found.torn_bytes == 0
    )
    fleet.start("n3")
    fleet.nodes["n3"].logged("lasting", "clean=True")
    fleet.nodes["n3"].logged("lasting-trusted")


def operator_of(folder: Path, kept: Path, **more: Any) -> Path:
    path = folder / "operator.toml"
    path.write_text(tomli_w.dumps({"lasting": {"folder": str(kept)}, **more}))
    return path


def test_a_node_without_a_fleet_restores_operator_overrides(
    tmp_path: Path, servers: list[FormServer]
) -> None:
    roster = Roster([s.entry() for s in servers])
    operator = operator_of(tmp_path, tmp_path / "kept")
    control = free_host_port()
    name = servers[0].name
    with node(tmp_path, roster, operator=operator, control=control) as running:
        assert running.call(f"set-down {name}") == "ok"
        running.logged("by-hand", f"server={name}")

        def written() -> bool:
            hand = read_folder(OsFiles(tmp_path / "kept")).state.operator_overrides
            return hand is not None and hand.out_of_service == [name]

        until(written)
        running.process.send_signal(signal.SIGKILL)
        running.process.wait(PATIENCE_S)
    with node(tmp_path, roster, operator=operator, control=free_host_port()) as running:
        running.logged("by-hand", f"server={name}", "out=True")
        household = running.ask()
        household.hear()
        assert servers[0].openings.empty()


def until(true: Any) -> None:
    by = time.monotonic() + PATIENCE_S
    while not true():
        assert time.monotonic() < by
        time.sleep(0.05)


def refused(tmp_path: Path, roster: Roster, kept: Path) -> str:
    config = tmp_path / "config.json"
    with node(tmp_path, roster) as running:  # writes the file
        listen = running.listen
    document = json.loads(config.read_text()) | {"listen": f"127.0.0.1:{free_port()}"}
    assert listen
    config.write_text(json.dumps(document))
    operator = operator_of(tmp_path, kept)
    command = [sys.executable, "-m", "sailrun", "serve", "--config", str(config), "--operator", str(operator)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=PATIENCE_S)
    assert done.returncode == 2, done
    return done.stderr.strip().splitlines()[-1]


def test_a_folder_that_is_not_to_be_used_is_one_line(tmp_path: Path, servers: list[FormServer]) -> None:
    roster = Roster([s.entry() for s in servers])
    missing = refused(tmp_path, roster, tmp_path / "none" / "kept")
    assert missing.endswith("lasting.folder: No such file or directory")
    kept = tmp_path / "kept"
    files = OsFiles(kept)
    files.make()
    assert files.lock()
    assert refused(tmp_path, roster, kept).endswith("lasting.folder: is in use by another process")
    files.unlock()
    told = {"schema": 2, "node": "n1", "fleet": "", "identity": "00" * 16, "inode": 1}
    (kept / "identity").write_text(json.dumps(told))
    assert refused(tmp_path, roster, kept).endswith("lasting.folder: of schema 2; this version reads up to 1")


def test_a_folder_that_cannot_be_written_costs_nothing_but_what_it_would_retain(
    tmp_path: Path, servers: list[FormServer]
) -> None:
    (tmp_path / "kept" / "lock").mkdir(parents=True)  # the lock cannot be had, whoever the user is
    operator = operator_of(tmp_path, tmp_path / "kept")
    with node(tmp_path, Roster([s.entry() for s in servers]), operator=operator) as running:
        running.logged("lasting-failed", "Is a directory")
        assert running.ask().hear()
        running.process.send_signal(signal.SIGTERM)
        assert running.process.wait(PATIENCE_S) == 0


def test_a_process_that_is_replaced_transfers_its_folder(fleet: Fleet, servers: list[FormServer]) -> None:
    one = servers[0].name
    assert run_fleet_command(fleet, "n2", "set-down", one, "--wait", "all").returncode == 0
    old = fleet.nodes["n1"]
    fleet.replace("n1")
    new = fleet.nodes["n1"]
    new.logged("lasting-trusted", "life=2")
    old.process.send_signal(signal.SIGTERM)
    old.process.wait(PATIENCE_S)
    fleet.until(lambda: run_fleet_command(fleet, "n1", "state", "--behind").returncode == 0)
    assert run_fleet_command(fleet, "n1", "set-up", one, "--wait", "all").stdout.startswith("done 3 of 3")


def test_days_of_restarts_on_real_processes(days: list[Future[Played]]) -> None:
    for day in days:
        played = day.result()
        broken = [(c.name, c.faults) for c in played.checks if c.value > c.limit]
        assert not broken
        found = [r for r in played.rows if r["kind"] == "folder" and r["what"] == "trusted"]
        assert found
        assert not [r for r in played.rows if r["kind"] == "log" and "fault" in r["text"]]
