"""Checks of two versions that follow one another: in a kept folder, and as processes that are replaced.

Every function returns what it has seen, or raises.
"""

from __future__ import annotations

import json
import signal
from contextlib import ExitStack
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import tomli_w

from benchmarks.mixed_fleet import (
    NAMES,
    SERVER_NAMES,
    MixedFleet,
    Report,
    Version,
    Versions,
    all_read,
    refused_in,
    see_counts,
    wait_for,
)
from tests.stand_ins import TIMEOUT_S, FormServer, Peer, Roster, RunningNode, node
from tests.test_sharding_processes import free

# Facts of `sailrun lasting show` that depend on when it is asked.
TIME_DEPENDENT = ("learned_age_s", "learned_weight", "kept_away_from_s")
HOUSEHOLDS = 24


# --------------------------------------------------------------------------- folders


def read_by_both(versions: Versions, folder: Path) -> dict[str, Any]:
    """What a folder comes to: a sound one, of which both versions print the same."""
    printed = [
        [version.printed("lasting", *words, str(folder)) for words in (["check"], ["export"])]
        for version in versions.both()
    ]
    assert printed[0] == printed[1], f"{folder.name}: {printed}"
    assert ": sound;" in printed[0][0], printed[0][0]
    shown = [json.loads(v.printed("lasting", "show", "--json", str(folder))) for v in versions.both()]
    steady = [{k: value for k, value in facts.items() if k not in TIME_DEPENDENT} for facts in shown]
    assert steady[0] == steady[1], f"{folder.name}: {steady}"
    return steady[0]


def mark_of(facts: dict[str, Any], server: str) -> list[Any]:
    """Whether a form server is marked out, and the marks' ids, by what a folder comes to."""
    mark = next(mark for mark in facts["marks"] if mark["subject"] == server)
    return [mark["on"], sorted(word["id"] for word in mark["words"] if not word["gone"])]


def stop_all(fleet: MixedFleet) -> None:
    """Ends one node of each version by a planned stop, and kills the others."""
    for name, number in zip(NAMES, (signal.SIGTERM,) * 2 + (signal.SIGKILL,) * 2, strict=True):
        fleet.end(name, number)


def see_folders(fleet: MixedFleet, server: str, kept: dict[str, dict[str, Any]]) -> str:
    """Ends the fleet, with a form server out, and reads its folders, into `kept`, with both versions."""
    writer = fleet.versions.old
    fleet.command(writer, fleet.one_of(writer), "set-down", server, "--wait", "all", "--why", "kept")
    stop_all(fleet)
    for name, member in fleet.members.items():
        kept[name] = read_by_both(fleet.versions, fleet.kept(name))
        # A voter that began without a folder may have counted more lives than processes, never fewer.
        kept[name]["lives_ahead"] = kept[name]["life"] - fleet.lives[name]
        assert kept[name]["lives_ahead"] >= 0, f"{member.shown}: life {kept[name]['life']}"
        assert mark_of(kept[name], server)[0], f"{member.shown}: {kept[name]['marks']}"
    marks = {str(mark_of(facts, server)) for facts in kept.values()}
    assert len(marks) == 1, marks
    entries = ", ".join(f"{m.shown} {kept[m.name]['entries']} entries" for m in fleet.members.values())
    return f"{entries}; read alike by both, {server} out in all"


def see_swapped(fleet: MixedFleet, server: str, kept: dict[str, dict[str, Any]]) -> str:
    """Every node goes on with its folder as the other version, and knows what it knew."""
    for name, member in list(fleet.members.items()):
        fleet.start(name, fleet.versions.other(member.version))
    for name, member in fleet.members.items():
        life = f"life={fleet.lives[name] + kept[name]['lives_ahead']}"
        member.running.logged("lasting ", "found=sound", life)
        member.running.logged("lasting-trusted", life)
        member.running.logged("by-hand", f"server={server}", "out=True")
    fleet.await_members()
    leaders = fleet.leaders()
    for task, (_, term) in leaders.items():
        before = max(facts["terms"].get(task, 0) for facts in kept.values())
        assert term > before, f"{task}: term {term} after {before}"
    wait_for("one digest of all copies", fleet.has_one_digest)
    return f"{fleet.show_leaders()}; {server} out at all; {see_counts(fleet)}"


def see_folders_again(fleet: MixedFleet, server: str, kept: dict[str, dict[str, Any]]) -> str:
    """Folders that both versions have written in turn come to the same state."""
    stop_all(fleet)
    for name, before in kept.items():
        after = read_by_both(fleet.versions, fleet.kept(name))
        lives = fleet.lives[name] + before["lives_ahead"]
        assert after["life"] == lives, f"{name}: life {after['life']}, not {lives}"
        assert after["identity"] == before["identity"], f"{name}: another identity"
        assert mark_of(after, server) == mark_of(before, server), f"{name}: {after['marks']}"
        assert after["promised"] >= before["promised"], f"{name}: {after['promised']}"
    return "read alike by both; the same identities and marks, no promise taken back"


def check_folders(report: Report, fleet: MixedFleet) -> None:
    """Folders that one version has written and the other goes on with."""
    kept: dict[str, dict[str, Any]] = {}
    server = SERVER_NAMES[2]
    report.check("folders", partial(see_folders, fleet, server, kept))
    report.check("folders gone on with by the other version", partial(see_swapped, fleet, server, kept))
    report.check("member with a folder replaced", partial(see_member_replaced, fleet))
    report.check("folders written by both", partial(see_folders_again, fleet, server, kept))


def see_member_replaced(fleet: MixedFleet) -> str:
    """A member's folder passes to a process of the other version that succeeds it, either way."""
    seen = []
    for before in [fleet.one_of(version) for version in fleet.versions.both()]:
        after = fleet.replace(before.name, fleet.versions.other(before.version))
        after.running.logged("lasting-trusted")
        before.running.terminate()
        assert before.running.process.wait(TIMEOUT_S) == 0
        fleet.await_members()
        seen.append(f"{before.shown} by {after.shown}")
    return f"{', '.join(seen)}; {see_counts(fleet)}"


def see_overrides(versions: Versions, folder: Path, writer: Version) -> str:
    """Without a fleet, what an operator has taken out is out for the other version."""
    server, kept = FormServer(SERVER_NAMES[0]), folder / "kept"
    operator = folder / "operator.toml"
    operator.write_text(tomli_w.dumps({"lasting": {"folder": str(kept)}}))
    roster = Roster([server.entry()])
    with node(folder, roster, writer.enter, operator, control=free()) as running:
        assert running.call(f"set-down {server.name}") == "ok"
        wait_for("the override in the folder", lambda: overrides_in(writer, kept) == [server.name])
        running.process.kill()
        running.process.wait()
    assert read_by_both(versions, kept)["out_by_hand_here"] == [server.name]
    reader = versions.other(writer)
    with node(folder, roster, reader.enter, operator, control=free()) as running:
        running.logged("lasting ", "found=sound")
        running.logged("by-hand", f"server={server.name}", "out=True")
    server.stop()
    return f"{server.name} taken out at {writer.label} is out at {reader.label}"


def overrides_in(version: Version, folder: Path) -> list[str]:
    """What a folder says that an operator has taken out at this node; nothing where it is not written yet."""
    shown = version.run("lasting", "show", "--json", str(folder))
    return list(json.loads(shown.stdout)["out_by_hand_here"]) if shown.returncode == 0 else []


# --------------------------------------------------------------------------- replaced processes


@dataclass(slots=True)
class Succession:
    """Processes of one node, one after another, and the sessions that stay."""

    versions: Versions
    folder: Path
    servers: list[FormServer]
    stack: ExitStack
    households: list[Peer] = field(default_factory=list)
    listen: str = field(default_factory=free)

    def start(self, version: Version) -> RunningNode:
        """A process that succeeds the one that runs, if there is one."""
        roster = Roster([server.entry() for server in self.servers])
        started = node(self.folder, roster, version.enter, listen=self.listen, control=free())
        return self.stack.enter_context(started)

    def open_sessions(self, at: RunningNode) -> None:
        """Households whose sessions are to outlast the process."""
        for n in range(HOUSEHOLDS):
            household = at.request_session(f"{n:016x}", group=f"{n:016x}")
            assert household.read_line() == "UP r1"
            self.households.append(household)

    def replace(self, first: RunningNode, version: Version) -> tuple[RunningNode, str]:
        """The process that has taken over all sessions, one of them in the middle of its line, and what was
        seen.
        """
        self.households[0].sock.sendall(b"half a ")
        second = self.start(version)
        for n in range(HOUSEHOLDS):
            second.logged("adopted", f"id={n:016x}")
        first.terminate()
        assert first.process.wait(TIMEOUT_S) == 0
        self.households[0].sock.sendall(b"page\r\n")
        assert self.households[0].read_line() == "half a page"
        for n, household in enumerate(self.households):
            household.send_line(f"page {n}")
            assert household.read_line() == f"page {n}"
        assert all(server.ends.empty() for server in self.servers), "a form server's connection ended"
        figures = second.read_metrics()
        assert figures["inflight"] == HOUSEHOLDS and figures["hosts_down"] == 1, figures
        all_read(refused_in([*first.lines, *second.lines]))
        return second, f"{figures['inflight']} sessions adopted and alive, the operator's exclusion as well"


def check_succession(report: Report, versions: Versions, folder: Path, stack: ExitStack) -> None:
    """An old process is replaced by a new one, and that by an old one."""
    servers = [FormServer(name) for name in SERVER_NAMES]
    succession = Succession(versions, folder, servers, stack)
    old, new = versions.both()
    present = succession.start(old)
    # Taken out before anybody comes: nobody stands there.
    assert present.call(f"set-down {servers[0].name}") == "ok"
    succession.open_sessions(present)

    def replace(version: Version) -> str:
        nonlocal present
        present, seen = succession.replace(present, version)
        return seen

    report.check("replaced: old by new", partial(replace, new))
    report.check("replaced: new by old", partial(replace, old))
