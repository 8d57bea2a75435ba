"""The operator's file: enabling subsystems in a running node with both fronts, and invalid files."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from sailrun.operator_settings import Operator, read_operator, schema
from sailrun.rebalance.settings import RebalanceSettings
from tests.stand_ins import TIMEOUT_S, RegistryStandIn, RunningNode, sidecar
from tests.test_both_fronts import FRONTS, DualProtocolFormServer

# Short times for tests; all other settings have their defaults.
FAST_REBALANCE = "[rebalance]\nenabled = true\npatience_s = 0.2\nfirst_per_s = 20.0\nmost_per_s = 20.0\n"
CLIENT_COUNT = 10


def add_form_servers(running: RunningNode, roster: RegistryStandIn) -> list[DualProtocolFormServer]:
    """Adds form servers beside the one that has all sessions."""
    added = [DualProtocolFormServer(f"s-0000000{n}") for n in range(2, 5)]
    roster.publish(*(server.entry() for server in added))
    running.logged("roster", "revision=43")
    return added


def test_clients_of_both_fronts_are_moved_to_form_servers_with_few_sessions(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(FAST_REBALANCE)
    first_server = DualProtocolFormServer("s-00000001")
    roster = RegistryStandIn([])
    roster.publish(first_server.entry())
    with sidecar(tmp_path, {"source": "http", "address": roster.address}, operator=path) as running:
        running.logged("roster", "form_servers=1")
        clients = {
            name: [front(running, f"{n:015x}{front_index}") for n in range(CLIENT_COUNT)]
            for front_index, (name, front) in enumerate(FRONTS.items())
        }
        assert all(outcome == "served" for results in clients.values() for outcome, _ in results)
        add_form_servers(running, roster)
        running.logged("rebalance", "state=begun")
        running.logged("ended", "reason=moved", " id=")
        running.logged("ended", "reason=moved", " link=")
        running.terminate()
        assert running.process.wait(TIMEOUT_S) == 0
        assert {wait_for_end() for results in clients.values() for _, wait_for_end in results} == {"moved"}
        assert not any("fault" in line for line in running.lines)


def test_sighup_enables_and_disables_rebalancing_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text("")
    first_server = DualProtocolFormServer("s-00000001")
    roster = RegistryStandIn([])
    roster.publish(first_server.entry())
    with sidecar(tmp_path, {"source": "http", "address": roster.address}, operator=path) as running:
        running.logged("roster", "form_servers=1")
        clients = [FRONTS["text"](running, f"{n:016x}")[1] for n in range(CLIENT_COUNT)]
        add_form_servers(running, roster)
        path.write_text("[rebalance]\nenabled = 1\n")
        running.process.send_signal(signal.SIGHUP)
        assert "rebalance.enabled: expected" in running.logged("reload-refused")
        assert not any("rebalance state=" in line for line in running.lines)
        path.write_text(FAST_REBALANCE + "rest_s = 0.1\n")
        running.process.send_signal(signal.SIGHUP)
        running.logged("reloaded", "changed=operator")
        running.logged("ended", "reason=moved")
        path.write_text("")
        running.process.send_signal(signal.SIGHUP)
        running.process.send_signal(signal.SIGTERM)
        assert running.process.wait(TIMEOUT_S) == 0
        assert [wait_for_end() for wait_for_end in clients] == ["moved"] * CLIENT_COUNT


@pytest.mark.parametrize(
    "text, problem",
    [
        ("[rebalance", "not valid TOML"),
        ("[rebalanse]\n", "unknown field `rebalanse`"),
        ("[rebalance]\nstrat_at = 1.2\n", "rebalance: object contains unknown field `strat_at`"),
        ("[rebalance]\nstart_at = 0.5\n", "rebalance.start_at: expected `float` >= 1.0"),
        ('[rebalance]\nenabled = "yes"\n', "rebalance.enabled: expected `bool`, got `str`"),
        ("[rebalance]\nstop_at = 1.6\n", "rebalance.stop_at: is 1.6, above start_at 1.25"),
        ("[rebalance]\nfill_to = 1.2\n", "rebalance.fill_to: is 1.2, above stop_at 1.16"),
    ],
)
def test_an_error_in_a_file_names_file_and_key(tmp_path: Path, text: str, problem: str) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    command = [sys.executable, "-m", "sailrun", "config", "check", "--operator", str(path)]
    process = subprocess.run(command, capture_output=True, text=True)
    assert process.returncode == 2 and process.stderr.count("\n") == 1
    assert f"{path}: " in process.stderr and problem in process.stderr


def test_the_files_under_deploy_match_the_program() -> None:
    deploy = Path(__file__).parent.parent / "deploy"
    assert read_operator(deploy / "operator.toml") == Operator()
    example = tomllib.loads((deploy / "operator.toml").read_text())
    assert set(example["rebalance"]) == set(RebalanceSettings.__struct_fields__)
    assert json.loads((deploy / "operator.schema.json").read_text()) == schema()
