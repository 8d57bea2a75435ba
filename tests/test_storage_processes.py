"""Real processes with storage folders: restarts of one node and of all nodes, and a hot restart."""

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

from sailrun.lab.faults.runs import FaultRun, RunResult, run_real
from sailrun.storage.files import OsFiles
from sailrun.storage.folder_reader import FolderIntegrity, read_folder
from tests.free_ports import free_host_port, free_port
from tests.stand_ins import TIMEOUT_S, FormServer, RegistryStandIn, node
from tests.test_fleet_processes import Fleet, run_fleet_command


@pytest.fixture(scope="module", autouse=True)
def fault_runs() -> Iterator[list[Future[RunResult]]]:
    """Fault runs on real processes, in parallel to the other tests of this module, which mostly wait."""
    with ThreadPoolExecutor(2) as pool:
        yield [pool.submit(run_real, FaultRun(kind, 5, seconds=36.0)) for kind in ("lasting", "lasting-all")]


@pytest.fixture
def fleet(tmp_path: Path, servers: list[FormServer]) -> Iterator[Fleet]:
    with ExitStack() as stack:
        yield Fleet(
            tmp_path,
            RegistryStandIn([s.entry() for s in servers]),
            stack,
            has_replica=True,
            has_storage_folder=True,
        )


def term_of(fleet: Fleet, task: str) -> int:
    leader = fleet.leader_of(task)
    return int(next(row["term"] for row in fleet.show(str(leader), "owners") if row["task"] == task))


def test_operator_marks_are_restored_before_clients_are_placed_after_all_nodes_were_killed(
    fleet: Fleet, servers: list[FormServer]
) -> None:
    down_server, restored_server = (s.name for s in servers[:2])
    assert run_fleet_command(fleet, "n1", "set-down", down_server, "--why", "a new disk").returncode == 0
    assert run_fleet_command(fleet, "n2", "set-down", restored_server).returncode == 0
    assert run_fleet_command(fleet, "n2", "set-up", restored_server).returncode == 0
    term = term_of(fleet, "marks")
    for running in fleet.nodes.values():
        running.process.send_signal(signal.SIGKILL)
    for running in fleet.nodes.values():
        running.process.wait(TIMEOUT_S)
    for name in fleet.listens:
        fleet.start(name)
    fleet.until(lambda: fleet.leader_of("marks"))
    for running in fleet.nodes.values():
        running.logged("serving")
        running.logged("by-hand", f"server={down_server}", "out=True")
        running.logged("lasting-trusted", "life=2")
        assert not [
            line for line in running.lines if "marks-founded" in line or f"server={restored_server}" in line
        ], running.lines
    assert term_of(fleet, "marks") > term
    fleet.until(lambda: run_fleet_command(fleet, "n3", "state", "--behind").returncode == 0)
    assert run_fleet_command(fleet, "n3", "set-up", down_server).stdout.startswith("done")
    for running in fleet.nodes.values():
        running.logged("by-hand", f"server={down_server}", "out=False")


def test_a_planned_restart_leaves_a_folder_with_a_clean_shutdown(
    fleet: Fleet, servers: list[FormServer]
) -> None:
    assert run_fleet_command(fleet, "n1", "set-down", servers[0].name).returncode == 0
    process = fleet.nodes["n3"].process
    process.send_signal(signal.SIGTERM)
    start_s = time.monotonic()
    assert process.wait(TIMEOUT_S) == 0 and time.monotonic() - start_s < 5.0
    contents = read_folder(OsFiles(fleet.storage_folder_of("n3")))
    assert (
        contents.integrity is FolderIntegrity.INTACT
        and contents.state.was_clean_shutdown
        and contents.torn_bytes == 0
    )
    fleet.start("n3")
    fleet.nodes["n3"].logged("lasting", "clean=True")
    fleet.nodes["n3"].logged("lasting-trusted")


def write_operator_file(folder: Path, storage_folder: Path, **other_tables: Any) -> Path:
    path = folder / "operator.toml"
    path.write_text(tomli_w.dumps({"lasting": {"folder": str(storage_folder)}, **other_tables}))
    return path


def test_a_node_without_a_fleet_restores_operator_overrides(
    tmp_path: Path, servers: list[FormServer]
) -> None:
    roster = RegistryStandIn([s.entry() for s in servers])
    operator = write_operator_file(tmp_path, tmp_path / "kept")
    control = free_host_port()
    name = servers[0].name
    with node(tmp_path, roster, operator=operator, control=control) as running:
        assert running.call(f"set-down {name}") == "ok"
        running.logged("by-hand", f"server={name}")

        def is_written() -> bool:
            overrides = read_folder(OsFiles(tmp_path / "kept")).state.operator_overrides
            return overrides is not None and overrides.out_of_service == [name]

        until(is_written)
        running.process.send_signal(signal.SIGKILL)
        running.process.wait(TIMEOUT_S)
    with node(tmp_path, roster, operator=operator, control=free_host_port()) as running:
        running.logged("by-hand", f"server={name}", "out=True")
        client = running.request_session()
        client.read_line()
        assert servers[0].first_lines.empty()


def until(condition: Any) -> None:
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.05)


def serve_error(tmp_path: Path, roster: RegistryStandIn, storage_folder: Path) -> str:
    """Runs `sailrun serve` with an unusable folder; returns the last line of its error output."""
    config = tmp_path / "config.json"
    with node(tmp_path, roster) as running:  # writes the config file
        listen = running.listen
    document = json.loads(config.read_text()) | {"listen": f"127.0.0.1:{free_port()}"}
    assert listen
    config.write_text(json.dumps(document))
    operator = write_operator_file(tmp_path, storage_folder)
    command = [sys.executable, "-m", "sailrun", "serve", "--config", str(config), "--operator", str(operator)]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S)
    assert completed.returncode == 2, completed
    return completed.stderr.strip().splitlines()[-1]


def test_an_unusable_folder_is_reported_in_one_line(tmp_path: Path, servers: list[FormServer]) -> None:
    roster = RegistryStandIn([s.entry() for s in servers])
    error = serve_error(tmp_path, roster, tmp_path / "none" / "kept")
    assert error.endswith("lasting.folder: No such file or directory")
    storage_folder = tmp_path / "kept"
    files = OsFiles(storage_folder)
    files.make()
    assert files.lock()
    assert serve_error(tmp_path, roster, storage_folder).endswith(
        "lasting.folder: is in use by another process"
    )
    files.unlock()
    identity = {"schema": 2, "node": "n1", "fleet": "", "identity": "00" * 16, "inode": 1}
    (storage_folder / "identity").write_text(json.dumps(identity))
    assert serve_error(tmp_path, roster, storage_folder).endswith(
        "lasting.folder: written with schema 2; this version reads up to 1"
    )


def test_a_node_serves_without_a_folder_that_cannot_be_written(
    tmp_path: Path, servers: list[FormServer]
) -> None:
    (tmp_path / "kept" / "lock").mkdir(parents=True)  # locking fails for every user, including root
    operator = write_operator_file(tmp_path, tmp_path / "kept")
    with node(tmp_path, RegistryStandIn([s.entry() for s in servers]), operator=operator) as running:
        running.logged("lasting-failed", "Is a directory")
        assert running.request_session().read_line()
        running.process.send_signal(signal.SIGTERM)
        assert running.process.wait(TIMEOUT_S) == 0


def test_a_hot_restart_transfers_the_folder(fleet: Fleet, servers: list[FormServer]) -> None:
    down_server = servers[0].name
    assert run_fleet_command(fleet, "n2", "set-down", down_server, "--wait", "all").returncode == 0
    predecessor = fleet.nodes["n1"]
    fleet.replace("n1")
    successor = fleet.nodes["n1"]
    successor.logged("lasting-trusted", "life=2")
    predecessor.process.send_signal(signal.SIGTERM)
    predecessor.process.wait(TIMEOUT_S)
    fleet.until(lambda: run_fleet_command(fleet, "n1", "state", "--behind").returncode == 0)
    assert run_fleet_command(fleet, "n1", "set-up", down_server, "--wait", "all").stdout.startswith(
        "done 3 of 3"
    )


def test_fault_runs_with_restarts_on_real_processes(fault_runs: list[Future[RunResult]]) -> None:
    for fault_run in fault_runs:
        result = fault_run.result()
        failed_checks = [(c.name, c.faults) for c in result.checks if c.value > c.limit]
        assert not failed_checks
        trusted_folders = [r for r in result.rows if r["kind"] == "folder" and r["what"] == "trusted"]
        assert trusted_folders
        assert not [r for r in result.rows if r["kind"] == "log" and "fault" in r["text"]]
