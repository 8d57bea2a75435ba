"""Several processes of the program that own shards: what staff see and do, and nodes that fail."""

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

from sailrun.lab.faults.rig import free_address
from tests.stand_ins import TIMEOUT_S, FormServer, Roster, RunningNode, node

CONTROL, NODES = ("c1", "c2", "c3"), ("n1", "n2", "n3")
SHARDS = 24


def free() -> str:
    return "{}:{}".format(*free_address())


class Region:
    """Three control members that vote, and three nodes."""

    def __init__(self, folder: Path, roster: Roster, stack: ExitStack) -> None:
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
        made = node(folder, self._roster, operator=operator, name=name, listen=free(), control=free())
        self.running[name] = self._stack.enter_context(made)
        return self.running[name]

    def shown(self, name: str) -> dict[str, Any]:
        shown: dict[str, Any] = json.loads(self.running[name].call("fleet shards").removeprefix("ok "))
        return shown

    def usable(self, name: str) -> list[int]:
        usable: list[int] = self.shown(name)["usable"]
        return usable

    def owned_by(self, *names: str) -> bool:
        """Whether these nodes, each of them, own all shards between them."""
        owned = [self.usable(name) for name in names]
        return all(owned) and sorted(shard for shards in owned for shard in shards) == list(range(SHARDS))

    def assigner(self) -> str | None:
        return next((name for name in CONTROL if self.lives(name) and self.shown(name)["is_assigner"]), None)

    def kill(self, name: str) -> None:
        self.running[name].process.kill()
        self.running[name].process.wait()

    def lives(self, name: str) -> bool:
        return self.running[name].process.poll() is None

    def until(self, true: Callable[[], object]) -> None:
        by = time.monotonic() + TIMEOUT_S
        while not true():
            assert time.monotonic() < by, {name: n.lines[-5:] for name, n in self.running.items()}
            time.sleep(0.05)


@pytest.fixture
def region(tmp_path: Path, servers: list[FormServer]) -> Iterator[Region]:
    roster = Roster([s.entry() for s in servers])
    with ExitStack() as stack:
        yield Region(tmp_path, roster, stack)


def command(region: Region, name: str, *options: str) -> str:
    """What staff read."""
    asked = [sys.executable, "-m", "sailrun", "fleet", "shards", "--at", region.running[name].control]
    done = subprocess.run([*asked, *options], capture_output=True, text=True, check=True)
    return done.stdout


def test_a_dead_nodes_shards_move_and_a_dead_assigner_moves_nothing(region: Region) -> None:
    kept = {name: region.usable(name) for name in NODES}
    shown = command(region, "n1")
    assert f"region east: {SHARDS} shards" in shown and "3 nodes" in shown
    assert f"n1 has {len(kept['n1'])}: {' '.join(map(str, kept['n1']))}" in shown
    assert "0 moving here" in command(region, "n1", "--moving")
    other = json.loads(command(region, "n1", "--node", "n2", "--json"))
    assert other["placed"] == kept["n2"]
    assert "a control member has no shards" in command(region, "c1")

    generation = region.shown("n1")["generation"]
    assigner = region.assigner()
    assert assigner is not None
    region.kill(assigner)
    region.until(lambda: region.assigner() not in (None, assigner))
    # The next one goes on from the same generation: wait until it has answered heartbeats of all nodes.
    region.until(lambda: region.shown(str(region.assigner())).get("settled") == generation)
    assert {name: region.usable(name) for name in NODES} == kept

    region.kill("n2")
    region.until(lambda: region.owned_by("n1", "n3"))
    for name in ("n1", "n3"):
        assert set(kept[name]) < set(region.usable(name))
    assert region.shown("n1")["generation"] == generation + 1

    region.start("n2")
    region.until(lambda: region.owned_by(*NODES))
    assert {name: region.usable(name) for name in NODES} == kept


def test_a_node_hands_over_when_drained_and_when_it_ends(region: Region) -> None:
    kept = {name: region.usable(name) for name in NODES}
    assert region.running["n1"].call("drain-on") == "ok"
    region.until(lambda: region.owned_by("n2", "n3"))
    assert region.usable("n1") == []
    assert region.running["n1"].call("drain-off") == "ok"
    region.until(lambda: region.owned_by(*NODES))
    assert {name: region.usable(name) for name in NODES} == kept
    region.running["n3"].process.send_signal(signal.SIGTERM)
    assert region.running["n3"].process.wait(TIMEOUT_S) == 0
    region.until(lambda: region.owned_by("n1", "n2"))
    # Well before its lease would have ended it was taken out: it had said that it uses it no more.
    assert any("why=released" in line for line in region.running["n3"].lines)


def test_a_node_with_another_table_gets_none_and_sighup_takes_none_over(region: Region) -> None:
    kept = {name: region.usable(name) for name in NODES}
    other = region.start("n4", shards=SHARDS + 1)
    region.until(
        lambda: any("shards-settings-differ name=n4" in x for c in CONTROL for x in region.running[c].lines)
    )
    assert region.shown("n4")["usable"] == []
    assert {name: region.usable(name) for name in NODES} == kept
    region.operators["n4"].write_text(tomli_w.dumps(region.tables("n4", SHARDS)))
    other.process.send_signal(signal.SIGHUP)
    line = other.logged("reload-refused")
    assert "shards: is taken over at the next start" in str(line)
    assert not any("fault" in line for running in region.running.values() for line in running.lines)
