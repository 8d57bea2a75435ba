"""The operator's file: what it switches on in a running node, of either front, and what it refuses."""

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
from tests.stand_ins import TIMEOUT_S, Roster, RunningNode, sidecar
from tests.test_both_fronts import FRONTS, DualProtocolFormServer

# Quick enough for a test: nothing else changes.
QUICK = "[rebalance]\nenabled = true\npatience_s = 0.2\nfirst_per_s = 20.0\nmost_per_s = 20.0\n"
HOUSEHOLDS = 10


def skew(running: RunningNode, roster: Roster) -> list[DualProtocolFormServer]:
    """More form servers turn up beside the one that holds everybody."""
    others = [DualProtocolFormServer(f"s-0000000{n}") for n in range(2, 5)]
    roster.publish(*(server.entry() for server in others))
    running.logged("roster", "revision=43")
    return others


def test_households_of_both_fronts_are_moved_to_form_servers_that_hold_few(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(QUICK)
    only = DualProtocolFormServer("s-00000001")
    roster = Roster([])
    roster.publish(only.entry())
    with sidecar(tmp_path, {"source": "http", "address": roster.address}, operator=path) as running:
        running.logged("roster", "form_servers=1")
        ends = {
            name: [front(running, f"{n:015x}{at}") for n in range(HOUSEHOLDS)]
            for at, (name, front) in enumerate(FRONTS.items())
        }
        assert all(how == "served" for done in ends.values() for how, _ in done)
        skew(running, roster)
        running.logged("rebalance", "state=begun")
        running.logged("ended", "reason=moved", " id=")
        running.logged("ended", "reason=moved", " link=")
        running.terminate()
        assert running.process.wait(TIMEOUT_S) == 0
        assert {end() for done in ends.values() for _, end in done} == {"moved"}
        assert not any("fault" in line for line in running.lines)


def test_it_is_switched_on_and_off_by_sighup_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text("")
    only = DualProtocolFormServer("s-00000001")
    roster = Roster([])
    roster.publish(only.entry())
    with sidecar(tmp_path, {"source": "http", "address": roster.address}, operator=path) as running:
        running.logged("roster", "form_servers=1")
        ends = [FRONTS["text"](running, f"{n:016x}")[1] for n in range(HOUSEHOLDS)]
        skew(running, roster)
        path.write_text("[rebalance]\nenabled = 1\n")
        running.process.send_signal(signal.SIGHUP)
        assert "rebalance.enabled: expected" in running.logged("reload-refused")
        assert not any("rebalance state=" in line for line in running.lines)
        path.write_text(QUICK + "rest_s = 0.1\n")
        running.process.send_signal(signal.SIGHUP)
        running.logged("reloaded", "changed=operator")
        running.logged("ended", "reason=moved")
        path.write_text("")
        running.process.send_signal(signal.SIGHUP)
        running.process.send_signal(signal.SIGTERM)
        assert running.process.wait(TIMEOUT_S) == 0
        assert [end() for end in ends] == ["moved"] * HOUSEHOLDS


@pytest.mark.parametrize(
    "text, fault",
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
def test_a_faulty_file_is_named_with_its_key_before_anything_starts(
    tmp_path: Path, text: str, fault: str
) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    command = [sys.executable, "-m", "sailrun", "config", "check", "--operator", str(path)]
    done = subprocess.run(command, capture_output=True, text=True)
    assert done.returncode == 2 and done.stderr.count("\n") == 1
    assert f"{path}: " in done.stderr and fault in done.stderr


def test_the_files_under_deploy_say_what_the_program_does() -> None:
    deploy = Path(__file__).parent.parent / "deploy"
    assert read_operator(deploy / "operator.toml") == Operator()
    shown = tomllib.loads((deploy / "operator.toml").read_text())
    assert set(shown["rebalance"]) == set(RebalanceSettings.__struct_fields__)
    assert json.loads((deploy / "operator.schema.json").read_text()) == schema()
