"""Checks that a process can take over from one of the other version: by its storage folder, or as its
successor.

Every check function returns the text of its result, or raises an exception.
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
    check_counts,
    check_no_rejections,
    rejection_lines,
    wait_for,
)
from tests.stand_ins import TIMEOUT_S, FormServer, Peer, RegistryStandIn, RunningNode, node
from tests.test_sharding_processes import free

# Facts in the output of `sailrun lasting show` that depend on the time of the call.
TIME_DEPENDENT = ("learned_age_s", "learned_weight", "kept_away_from_s")
CLIENTS = 24


# --------------------------------------------------------------------------- folders


def read_by_both(versions: Versions, folder: Path) -> dict[str, Any]:
    """Checks that both versions find a storage folder sound and print the same for it; returns the facts that
    do not depend on the time.
    """
    printed = [
        [version.output_of("lasting", *arguments, str(folder)) for arguments in (["check"], ["export"])]
        for version in versions.both()
    ]
    assert printed[0] == printed[1], (
        f"{folder.name}: the versions print differently, the old one first: {printed}"
    )
    assert ": sound;" in printed[0][0], printed[0][0]
    facts_shown = [json.loads(v.output_of("lasting", "show", "--json", str(folder))) for v in versions.both()]
    stable_facts = [
        {k: value for k, value in facts.items() if k not in TIME_DEPENDENT} for facts in facts_shown
    ]
    assert stable_facts[0] == stable_facts[1], (
        f"{folder.name}: the versions show different facts, the old one first: {stable_facts}"
    )
    return stable_facts[0]


def mark_of(facts: dict[str, Any], server: str) -> list[Any]:
    """Returns whether a form server is marked out in the facts of a folder, and the ids of its marks that are
    not deleted.
    """
    mark = next(mark for mark in facts["marks"] if mark["subject"] == server)
    return [mark["on"], sorted(word["id"] for word in mark["words"] if not word["gone"])]


def stop_all(fleet: MixedFleet) -> None:
    """Shuts down one node of each version gracefully and kills the others."""
    for name, signal_number in zip(NAMES, (signal.SIGTERM,) * 2 + (signal.SIGKILL,) * 2, strict=True):
        fleet.end(name, signal_number)


def check_folders(fleet: MixedFleet, server: str, facts_by_name: dict[str, dict[str, Any]]) -> str:
    """Marks a form server as out, ends the fleet, and reads its storage folders with both versions into
    `facts_by_name`.
    """
    writer = fleet.versions.old
    fleet.command(writer, fleet.first_of(writer), "set-down", server, "--wait", "all", "--why", "kept")
    stop_all(fleet)
    for name, member in fleet.members.items():
        facts_by_name[name] = read_by_both(fleet.versions, fleet.storage_folder(name))
        # A voter that starts without a reliable folder chooses an incarnation above all that a majority of
        # the voters knows (`freshness.py`). So its incarnation may be above the number of processes started,
        # but never below.
        facts_by_name[name]["incarnation_offset"] = facts_by_name[name]["life"] - fleet.started_count[name]
        assert facts_by_name[name]["incarnation_offset"] >= 0, (
            f"{member.label}: incarnation below the number of processes: {facts_by_name[name]['life']}"
        )
        assert mark_of(facts_by_name[name], server)[0], (
            f"{member.label}: the server is not marked out: {facts_by_name[name]['marks']}"
        )
    marks = {str(mark_of(facts, server)) for facts in facts_by_name.values()}
    assert len(marks) == 1, marks
    entries = ", ".join(
        f"{m.label} {facts_by_name[m.name]['entries']} entries" for m in fleet.members.values()
    )
    return f"{entries}; both versions print the same for each folder, {server} marked out in all"


def check_folders_swapped(fleet: MixedFleet, server: str, facts_by_name: dict[str, dict[str, Any]]) -> str:
    """Checks that every node, started as the other version, continues with its storage folder and the state
    in it.
    """
    for name, member in list(fleet.members.items()):
        fleet.start(name, fleet.versions.other(member.version))
    for name, member in fleet.members.items():
        incarnation = f"life={fleet.started_count[name] + facts_by_name[name]['incarnation_offset']}"
        member.running.logged("lasting ", "found=sound", incarnation)
        member.running.logged("lasting-trusted", incarnation)
        member.running.logged("by-hand", f"server={server}", "out=True")
    fleet.await_members()
    leaders = fleet.leaders()
    for task, (_, term) in leaders.items():
        before = max(facts["terms"].get(task, 0) for facts in facts_by_name.values())
        assert term > before, f"{task}: term {term}, expected above {before}"
    wait_for("the same digest of all replicas", fleet.has_one_digest)
    return f"{fleet.format_leaders()}; {server} marked out at all nodes; {check_counts(fleet)}"


def check_folders_of_both(fleet: MixedFleet, server: str, facts_by_name: dict[str, dict[str, Any]]) -> str:
    """Checks that folders that both versions have written in turn still contain the same state."""
    stop_all(fleet)
    for name, before in facts_by_name.items():
        after = read_by_both(fleet.versions, fleet.storage_folder(name))
        incarnation = fleet.started_count[name] + before["incarnation_offset"]
        assert after["life"] == incarnation, f"{name}: incarnation {after['life']}, expected {incarnation}"
        assert after["identity"] == before["identity"], f"{name}: the identity of the folder has changed"
        assert mark_of(after, server) == mark_of(before, server), (
            f"{name}: the marks have changed: {after['marks']}"
        )
        assert after["promised"] >= before["promised"], (
            f"{name}: promised term below the earlier one: {after['promised']}"
        )
    return "both versions print the same; identities and marks unchanged, no promised term lower"


def run_folder_checks(report: Report, fleet: MixedFleet) -> None:
    """Runs the checks of storage folders that one version has written and the other continues with."""
    facts_by_name: dict[str, dict[str, Any]] = {}
    server = SERVER_NAMES[2]
    report.check("folders", partial(check_folders, fleet, server, facts_by_name))
    report.check(
        "folders continued by the other version",
        partial(check_folders_swapped, fleet, server, facts_by_name),
    )
    report.check("member with a storage folder, process replaced", partial(check_member_replaced, fleet))
    report.check("folders written by both", partial(check_folders_of_both, fleet, server, facts_by_name))


def check_member_replaced(fleet: MixedFleet) -> str:
    """Checks that a member's storage folder passes to a successor of the other version, both ways."""
    results = []
    for before in [fleet.first_of(version) for version in fleet.versions.both()]:
        after = fleet.replace(before.name, fleet.versions.other(before.version))
        after.running.logged("lasting-trusted")
        before.running.terminate()
        assert before.running.process.wait(TIMEOUT_S) == 0
        fleet.await_members()
        results.append(f"{before.label} by {after.label}")
    return f"{', '.join(results)}; {check_counts(fleet)}"


def check_overrides(versions: Versions, folder: Path, writer: Version) -> str:
    """Checks that, without a fleet, a form server that an operator excluded stays excluded in the other
    version.
    """
    server, storage_folder = FormServer(SERVER_NAMES[0]), folder / "kept"
    operator = folder / "operator.toml"
    operator.write_text(tomli_w.dumps({"lasting": {"folder": str(storage_folder)}}))
    roster = RegistryStandIn([server.entry()])
    with node(folder, roster, writer.change_to_tree, operator, control=free()) as running:
        assert running.call(f"set-down {server.name}") == "ok"
        wait_for("the override in the folder", lambda: overrides_in(writer, storage_folder) == [server.name])
        running.process.kill()
        running.process.wait()
    assert read_by_both(versions, storage_folder)["out_by_hand_here"] == [server.name]
    reader = versions.other(writer)
    with node(folder, roster, reader.change_to_tree, operator, control=free()) as running:
        running.logged("lasting ", "found=sound")
        running.logged("by-hand", f"server={server.name}", "out=True")
    server.stop()
    return f"{server.name}, excluded at {writer.label}, is still excluded at {reader.label}"


def overrides_in(version: Version, folder: Path) -> list[str]:
    """Returns the form servers that an operator excluded at this node, from its folder; empty if the
    folder cannot be read yet.
    """
    completed = version.run("lasting", "show", "--json", str(folder))
    return list(json.loads(completed.stdout)["out_by_hand_here"]) if completed.returncode == 0 else []


# --------------------------------------------------------------------------- replaced processes


@dataclass(slots=True)
class ReplacedNode:
    """A node whose processes replace one another, with the client sessions that continue."""

    versions: Versions
    folder: Path
    servers: list[FormServer]
    stack: ExitStack
    clients: list[Peer] = field(default_factory=list)
    listen: str = field(default_factory=free)

    def start(self, version: Version) -> RunningNode:
        """Starts a process, which succeeds the running one if there is one."""
        roster = RegistryStandIn([server.entry() for server in self.servers])
        started = node(self.folder, roster, version.change_to_tree, listen=self.listen, control=free())
        return self.stack.enter_context(started)

    def open_sessions(self, at: RunningNode) -> None:
        """Opens the client sessions that must survive the replacement of the process."""
        for n in range(CLIENTS):
            client = at.request_session(f"{n:016x}", group=f"{n:016x}")
            assert client.read_line() == "UP r1"
            self.clients.append(client)

    def replace(self, first: RunningNode, version: Version) -> tuple[RunningNode, str]:
        """Replaces a process, and returns its successor and the text of the result. The successor must adopt
        all sessions, one of them in the middle of a line.
        """
        self.clients[0].sock.sendall(b"half a ")
        second = self.start(version)
        for n in range(CLIENTS):
            second.logged("adopted", f"id={n:016x}")
        first.terminate()
        assert first.process.wait(TIMEOUT_S) == 0
        self.clients[0].sock.sendall(b"page\r\n")
        assert self.clients[0].read_line() == "half a page"
        for n, client in enumerate(self.clients):
            client.send_line(f"page {n}")
            assert client.read_line() == f"page {n}"
        assert all(server.ends.empty() for server in self.servers), "a form server's connection ended"
        figures = second.read_metrics()
        # The one that is down is the form server that the operator excluded.
        assert figures["inflight"] == CLIENTS and figures["hosts_down"] == 1, figures
        check_no_rejections(rejection_lines([*first.lines, *second.lines]))
        return second, f"{figures['inflight']} sessions adopted, and the operator's exclusion still in effect"


def run_replacement_checks(report: Report, versions: Versions, folder: Path, stack: ExitStack) -> None:
    """Runs the checks in which an old process is replaced by a new one, and that by an old one."""
    servers = [FormServer(name) for name in SERVER_NAMES]
    replaced_node = ReplacedNode(versions, folder, servers, stack)
    old, new = versions.both()
    running_process = replaced_node.start(old)
    # The form server is excluded before any client connects, so that it has no sessions.
    assert running_process.call(f"set-down {servers[0].name}") == "ok"
    replaced_node.open_sessions(running_process)

    def replace(version: Version) -> str:
        nonlocal running_process
        running_process, result = replaced_node.replace(running_process, version)
        return result

    report.check("replaced: old by new", partial(replace, new))
    report.check("replaced: new by old", partial(replace, old))
