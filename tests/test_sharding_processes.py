"""Real processes that own shards: the operators' commands, and nodes that fail."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import pytest
import tomli_w

from tests.free_ports import free_host_port
from tests.stand_ins import TIMEOUT_S, FormServer, RegistryStandIn, RunningNode, node

CONTROL, NODES = ("c1", "c2", "c3"), ("n1", "n2", "n3")
SHARDS = 24


def free() -> str:
    return free_host_port()


class Region:
    """Three control members, which are the voters, and three nodes."""

    def __init__(self, folder: Path, roster: RegistryStandIn, stack: ExitStack) -> None:
        self._folder, self._roster, self._stack = folder, roster, stack
        self.listens = {name: free() for name in (*CONTROL, *NODES, "n4")}
        self.running: dict[str, RunningNode] = {}
        self.operators: dict[str, Path] = {}
        for name in (*CONTROL, *NODES):
            self.start(name)
        self.until(lambda: self.owned_by(*NODES))

    def tables(self, name: str, shards: int) -> dict[str, Any]:
        region = {"name": "east", "shards": shards, "voters": list(CONTROL)}
        return {
            "members": {
                "enabled": True,
                "name": name,
                "listen": self.listens[name],
                "join": [self.listens[control] for control in CONTROL if control != name],
                "region": "east",
                "role": "control" if name in CONTROL else "",
                "probe_s": 0.3,
            },
            "owners": {"enabled": True, "voters": list(CONTROL), "lease_s": 0.5, "order_s": 0.2},
            "shards": {"enabled": True, "lease_s": 2.0, "gather_s": 0.1, "leaving": 1, "regions": [region]},
        }

    def start(self, name: str, shards: int = SHARDS) -> RunningNode:
        folder = self._folder / f"{name}-{time.monotonic_ns()}"
        folder.mkdir()
        operator = self.operators[name] = folder / "operator.toml"
        operator.write_text(tomli_w.dumps(self.tables(name, shards)))
        started_node = node(folder, self._roster, operator=operator, name=name, listen=free(), control=free())
        self.running[name] = self._stack.enter_context(started_node)
        return self.running[name]

    def status(self, name: str) -> dict[str, Any]:
        status: dict[str, Any] = json.loads(self.running[name].call("fleet shards").removeprefix("ok "))
        return status

    def usable(self, name: str) -> list[int]:
        usable: list[int] = self.status(name)["usable"]
        return usable

    def owned_by(self, *names: str) -> bool:
        """Whether each of these nodes owns shards and together they own every shard exactly once."""
        owned = [self.usable(name) for name in names]
        return all(owned) and sorted(shard for shards in owned for shard in shards) == list(range(SHARDS))

    def assigner(self) -> str | None:
        return next(
            (name for name in CONTROL if self.is_running(name) and self.status(name)["is_assigner"]), None
        )

    def kill(self, name: str) -> None:
        self.running[name].process.kill()
        self.running[name].process.wait()

    def is_running(self, name: str) -> bool:
        return self.running[name].process.poll() is None

    def until(self, condition: Callable[[], object]) -> None:
        deadline_s = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < deadline_s, {name: n.lines[-5:] for name, n in self.running.items()}
            time.sleep(0.05)


@pytest.fixture
def region(tmp_path: Path, servers: list[FormServer]) -> Iterator[Region]:
    roster = RegistryStandIn([s.entry() for s in servers])
    with ExitStack() as stack:
        yield Region(tmp_path, roster, stack)


def run_shards_command(region: Region, name: str, *options: str) -> str:
    """Runs `sailrun fleet shards` at a node; returns its output."""
    arguments = [sys.executable, "-m", "sailrun", "fleet", "shards", "--at", region.running[name].control]
    completed = subprocess.run([*arguments, *options], capture_output=True, text=True, check=True)
    return completed.stdout


def test_a_dead_nodes_shards_move_and_a_failed_assigner_moves_nothing(region: Region) -> None:
    shards_before = {name: region.usable(name) for name in NODES}
    status = run_shards_command(region, "n1")
    assert f"region east: {SHARDS} shards" in status and "3 nodes" in status
    assert f"n1 has {len(shards_before['n1'])}: {' '.join(map(str, shards_before['n1']))}" in status
    assert "0 moving here" in run_shards_command(region, "n1", "--moving")
    other_status = json.loads(run_shards_command(region, "n1", "--node", "n2", "--json"))
    assert other_status["placed"] == shards_before["n2"]
    assert "a control member has no shards" in run_shards_command(region, "c1")

    generation = region.status("n1")["generation"]
    assigner = region.assigner()
    assert assigner is not None
    region.kill(assigner)
    region.until(lambda: region.assigner() not in (None, assigner))
    # The next assigner continues from the same generation: wait until it has answered all nodes' heartbeats.
    region.until(lambda: region.status(str(region.assigner())).get("settled") == generation)
    assert {name: region.usable(name) for name in NODES} == shards_before

    region.kill("n2")
    region.until(lambda: region.owned_by("n1", "n3"))
    for name in ("n1", "n3"):
        assert set(shards_before[name]) < set(region.usable(name))
    assert region.status("n1")["generation"] == generation + 1

    region.start("n2")
    region.until(lambda: region.owned_by(*NODES))
    assert {name: region.usable(name) for name in NODES} == shards_before


def test_a_node_hands_over_when_it_is_drained_and_when_it_shuts_down(region: Region) -> None:
    shards_before = {name: region.usable(name) for name in NODES}
    assert region.running["n1"].call("drain-on") == "ok"
    region.until(lambda: region.owned_by("n2", "n3"))
    assert region.usable("n1") == []
    assert region.running["n1"].call("drain-off") == "ok"
    region.until(lambda: region.owned_by(*NODES))
    assert {name: region.usable(name) for name in NODES} == shards_before
    region.running["n3"].process.send_signal(signal.SIGTERM)
    assert region.running["n3"].process.wait(TIMEOUT_S) == 0
    region.until(lambda: region.owned_by("n1", "n2"))
    # The node released its session at the end of the process instead of letting the lease expire.
    assert any("why=released" in line for line in region.running["n3"].lines)


def test_a_node_with_a_different_table_gets_no_shards_and_sighup_does_not_change_it(region: Region) -> None:
    shards_before = {name: region.usable(name) for name in NODES}
    different_node = region.start("n4", shards=SHARDS + 1)
    region.until(
        lambda: any(
            "shards-settings-differ name=n4" in text for c in CONTROL for text in region.running[c].lines
        )
    )
    assert region.status("n4")["usable"] == []
    assert {name: region.usable(name) for name in NODES} == shards_before
    region.operators["n4"].write_text(tomli_w.dumps(region.tables("n4", SHARDS)))
    different_node.process.send_signal(signal.SIGHUP)
    line = different_node.logged("reload-refused")
    assert "shards: is taken over at the next start" in str(line)
    assert not any("fault" in line for running in region.running.values() for line in running.lines)
