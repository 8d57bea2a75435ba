"""Checks that an earlier version of this program and this tree work together as one fleet.

    python -m benchmarks.mixed_versions BASE

BASE is a revision, for which a temporary worktree is created, or the path of a worktree. It is called "old"
here, and this tree "new". Real processes of both run on loopback with the same interpreter. Checked are:

- a fleet with two nodes of each version, in which no lease is granted without votes of both versions:
  members, leaders and their successors, marks and drains of operators, load datagrams; and a region of shards
  (processes: `mixed_fleet.py`);
- storage folders written by one version, which the other reads and continues (`mixed_restarts.py`);
- nodes whose process is replaced by one of the other version while sessions are established
  (`mixed_restarts.py`);
- form servers that an operator excluded at a node without a fleet, which stay excluded in the other version
  (`mixed_restarts.py`);
- settings files that one version ships or writes, which the other reads (`mixed_settings.py`).

The program prints one line for each check, `ok` or `FAILED` with the observed result or the failure, then a
line of totals. Exit status: 0 if all checks succeeded, 1 if not.
"""

from __future__ import annotations

import json
import signal
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from functools import partial
from pathlib import Path
from typing import Annotated, Any

import tomli_w
import typer

from benchmarks.datagram_relay import LoadSumWatch
from benchmarks.mixed_fleet import (
    NAMES,
    SERVER_NAMES,
    Member,
    MixedFleet,
    Report,
    Version,
    Versions,
    check_counts,
    check_no_rejections,
    rejection_lines,
    wait_for,
)
from benchmarks.mixed_restarts import check_overrides, run_folder_checks, run_replacement_checks
from benchmarks.mixed_settings import run_settings_checks
from benchmarks.same_behaviour import THIS_TREE, base_tree
from tests.stand_ins import FormServer, RegistryStandIn, RunningNode, node
from tests.test_sharding_processes import CONTROL, SHARDS, Region, free
from tests.test_sharding_processes import NODES as REGION_NODES

# The status line is logged every ten seconds, and a node hears from each other node in only some of the
# rounds: in a round of load gossip, all nodes send to one collector, which sends the sum to all. A node
# receives a datagram of another node only if one of the two is the collector.
STATUS_TIMEOUT_S = 120.0

# --------------------------------------------------------------------------- a mixed fleet


def check_trees(versions: Versions) -> str:
    """Checks that each version runs from its own tree."""
    for version in versions.both():
        assert version.package_folder() == version.tree / "sailrun", (
            f"{version.label}: expected to run from its own tree, runs from {version.package_folder()}"
        )
    return ", ".join(f"{version.label} {version.package_folder()}" for version in versions.both())


def check_members(fleet: MixedFleet) -> str:
    """Checks that all nodes see each other alive."""
    fleet.await_members()
    return f"each of {', '.join(member.label for member in fleet.running_members())} sees all alive"


def check_load(fleet: MixedFleet) -> str:
    """Checks that each node's sums contain the load of all, and that it accepts the datagrams of the other
    version.
    """
    nodes = [fleet.members[name].running for name in NAMES]
    clients = [running.request_session(f"{n:016x}", group=f"{n:016x}") for n, running in enumerate(nodes)]
    for client in clients:
        assert client.read_line() == "UP r1"
        client.send_line("LOAD 812.5")  # the form server echoes every line
        assert client.read_line() == "LOAD 812.5"
    watches = {member.label: watch_load_sums(fleet, member) for member in fleet.running_members()}
    for label, watch in watches.items():
        try:
            wait_for(label, partial(watch.has_accepted_all, len(NAMES)), STATUS_TIMEOUT_S)
        except AssertionError as error:
            raise AssertionError(f"{error}: {watch}") from None
    for client in clients:
        client.close()
    forwarded = fleet.relay.forwarded
    cross_version_count = sum(count for (sender, to), count in forwarded.items() if (sender - to) % 2)
    assert cross_version_count, "no datagram was sent across versions"
    sums = "; ".join(f"{label} {watch}" for label, watch in watches.items())
    return f"{cross_version_count} datagrams across versions: {sums}; {check_counts(fleet)}"


def watch_load_sums(fleet: MixedFleet, member: Member) -> LoadSumWatch:
    """Watches whether a node accepts the datagrams of the nodes of the other version."""
    others = {NAMES.index(m.name) for m in fleet.running_members() if m.version is not member.version}
    return LoadSumWatch(member.running.lines, NAMES.index(member.name), others, fleet.relay)


def check_marks(fleet: MixedFleet, writer: Version, server: str) -> str:
    """Checks that a mark set by one version takes effect at all nodes, and that the other version can revoke
    it.
    """
    other = fleet.versions.other(writer)
    at = fleet.first_of(writer)
    marked = fleet.command(writer, at, "set-down", server, "--wait", "all", "--why", "mixed")
    assert marked.startswith(f"done {len(NAMES)} of "), marked
    for member in fleet.running_members():
        member.running.logged("by-hand", f"server={server}", "out=True")
    wait_for("the same digest of all replicas", fleet.has_one_digest)
    pair = (at.running.control, fleet.first_of(other).running.control)
    for version in fleet.versions.both():
        wait_for(
            "no difference between the replicas of two nodes", partial(prints_no_difference, version, *pair)
        )
    unmarked = fleet.command(other, fleet.first_of(other), "set-up", server, "--wait", "all")
    for member in fleet.running_members():
        member.running.logged("by-hand", f"server={server}", "out=False")
    return (
        f"marked out at {at.label}: {marked}, same digest at all nodes; "
        f"mark revoked at {fleet.first_of(other).label}: {unmarked}"
    )


def prints_no_difference(version: Version, one: str, other: str) -> bool:
    """Whether a version's command finds no difference between the replicas of two nodes."""
    return version.run("fleet", "diff", one, other).returncode == 0


def check_drain(fleet: MixedFleet, writer: Version) -> str:
    """Checks that marks written at a node of `writer` drain a node of the other version and end its drain."""
    at, drained = fleet.first_of(writer), fleet.first_of(fleet.versions.other(writer))
    fleet.command(writer, at, "drain-on", drained.name)
    drained.running.logged("leaving", "reason=drain")
    fleet.command(writer, at, "drain-off", drained.name)
    drained.running.logged("drain-over")
    return f"{drained.label} drained and resumed by marks at {at.label}"


def check_rolling_drain(fleet: MixedFleet, writer: Version) -> str:
    """Checks that a rolling drain drains nodes of both versions one after another, each with a permit of the
    fleet.
    """
    at = fleet.first_of(writer)
    names = [fleet.first_of(fleet.versions.other(writer)).name, at.name]
    printed = fleet.command(writer, at, "drain", *names).splitlines()
    assert [f"{name} done" in printed for name in names] == [True, True], printed
    # The first line is the name of the rolling drain.
    return f"asked at {at.label}: {', '.join(printed[1:])}"


def check_leader_killed(fleet: MixedFleet, killed: Version) -> str:
    """Checks that a killed leader of a version is succeeded under a higher term. While no task is led by a
    node of this version, kills the leader of the marks, until one is; at most one kill for each node.
    """
    for _ in NAMES:
        leaders = fleet.leaders()
        leaders_of_version = [name for name, _ in leaders.values() if fleet.members[name].version is killed]
        result = kill_and_restart(fleet, leaders_of_version[0] if leaders_of_version else leaders["marks"][0])
        if leaders_of_version:
            return result
    raise AssertionError(
        f"no node of {killed.label} led a task, after {len(NAMES)} leaders of the other version were killed"
    )


def kill_and_restart(fleet: MixedFleet, name: str) -> str:
    """Kills a node, waits for new leaders of its tasks, and starts it again."""
    member = fleet.members[name]
    led_tasks = {task: term for task, (leader, term) in fleet.leaders().items() if leader == name}
    fleet.end(name, signal.SIGKILL)
    after = fleet.leaders()
    for task, term in led_tasks.items():
        assert after[task][1] > term, f"{task}: term {after[task][1]}, expected above {term}"
    successors = ", ".join(
        f"{task} term {term} -> {fleet.members[after[task][0]].label} term {after[task][1]}"
        for task, term in led_tasks.items()
    )
    fleet.start(name, member.version).running.logged("lasting-trusted")
    fleet.await_members()
    return f"killed {member.label}: {successors}"


def run_fleet_checks(report: Report, fleet: MixedFleet) -> None:
    """Runs the checks of a fleet of both versions."""
    old, new = fleet.versions.both()
    report.check("members", partial(check_members, fleet))
    report.check("leaders, each by votes of both versions", fleet.format_leaders)
    report.check("load datagrams", partial(check_load, fleet))
    for version, server in ((old, SERVER_NAMES[0]), (new, SERVER_NAMES[1])):
        report.check(f"marks at {version.label}", partial(check_marks, fleet, version, server))
        report.check(f"drain at {version.label}", partial(check_drain, fleet, version))
        report.check(f"rolling drain at {version.label}", partial(check_rolling_drain, fleet, version))
    report.check("messages before a node is killed", partial(check_counts, fleet))
    for version in (old, new):
        report.check(f"leader of {version.label} killed", partial(check_leader_killed, fleet, version))
    report.check("messages after nodes were killed", partial(check_counts, fleet))


class MixedRegion(Region):
    """A region of three control members and three nodes, whose versions alternate."""

    def __init__(self, versions: Versions, folder: Path, roster: RegistryStandIn, stack: ExitStack) -> None:
        self.versions = versions
        super().__init__(folder, roster, stack)

    def version_of(self, name: str) -> Version:
        """Returns the version of a process: `c1` is old, `c2` new, and so on, so that each version has a
        control member and a node.
        """
        return self.versions.both()[(*CONTROL, *REGION_NODES).index(name) % 2]

    def start(self, name: str, shards: int = SHARDS) -> RunningNode:
        """Starts a process of the region in the tree of its version."""
        folder = self._folder / f"{name}-{time.monotonic_ns()}"
        folder.mkdir()
        operator = self.operators[name] = folder / "operator.toml"
        operator.write_text(tomli_w.dumps(self.tables(name, shards)))
        prepare = self.version_of(name).change_to_tree
        started_node = node(folder, self._roster, prepare, operator, name=name, listen=free(), control=free())
        self.running[name] = self._stack.enter_context(started_node)
        return self.running[name]

    def label_of(self, name: str) -> str:
        """Returns the name of a process with its version."""
        return f"{name} ({self.version_of(name).label})"


def check_shards(region: MixedRegion) -> str:
    """Checks that each shard has exactly one owner, and that both versions' commands print the same."""
    region.until(lambda: region.owned_by(*REGION_NODES))
    control = region.running[REGION_NODES[0]].control
    old, new = (shards_by(version, control) for version in region.versions.both())
    assert old == new, f"old {old}, new {new}"
    return ", ".join(f"{region.label_of(name)} {len(region.usable(name))}" for name in REGION_NODES)


def shards_by(version: Version, control: str) -> dict[str, Any]:
    """Returns a node's shards as a version's command prints them, without the remaining lease time."""
    shards: dict[str, Any] = json.loads(version.output_of("fleet", "shards", "--at", control, "--json"))
    del shards["ends_in_s"]
    return shards


def check_assigner_killed(region: MixedRegion) -> str:
    """Checks that after the assigner is killed, another control member continues from the same generation."""
    generation = region.status(REGION_NODES[0])["generation"]
    killed = str(wait_for("an assigner", region.assigner))
    region.kill(killed)
    after = str(wait_for("another assigner", region.assigner))
    wait_for("the same generation", lambda: region.status(after).get("settled") == generation)
    region.start(killed)
    return f"killed {region.label_of(killed)}: {region.label_of(after)} at generation {generation}"


def check_node_killed(region: MixedRegion, name: str) -> str:
    """Checks that a killed node's shards move to the other nodes, and return when it is started again."""
    shards = region.usable(name)
    region.kill(name)
    rest = [other for other in REGION_NODES if other != name]
    region.until(lambda: region.owned_by(*rest))
    region.start(name)
    region.until(lambda: region.owned_by(*REGION_NODES))
    assert region.usable(name) == shards, (
        f"{region.usable(name)} are the shards owned after the restart, expected {shards}"
    )
    return (
        f"{len(shards)} shards of {region.label_of(name)} moved to "
        f"{', '.join(map(region.label_of, rest))} and back"
    )


def check_region_counts(region: MixedRegion) -> str:
    """Checks that no process of the region received a message that it could not read."""
    for name in filter(region.is_running, region.running):
        counts = json.loads(region.running[name].call("fleet counts").removeprefix("ok "))
        assert not counts["bad_messages"] and not counts["wrong_fleet"], f"{name}: {counts}"
    return check_no_rejections(
        rejection_lines([line for running in region.running.values() for line in running.lines])
    )


def run_region_checks(report: Report, region: MixedRegion) -> None:
    """Runs the checks of shards, their assigner and their nodes, of both versions."""
    report.check("shards", partial(check_shards, region))
    report.check("shards: assigner killed", partial(check_assigner_killed, region))
    for name in REGION_NODES[:2]:
        report.check(f"shards: {region.label_of(name)} killed", partial(check_node_killed, region, name))
    report.check("shards: messages", partial(check_region_counts, region))


# --------------------------------------------------------------------------- the command


def run_check_group(
    report: Report, name: str, scratch: Path, run_checks: Callable[[Path, ExitStack], None]
) -> None:
    """Runs checks that share processes, and ends the processes afterwards. The group counts as a check of its
    own: all of its processes must start, and none may log a fault.
    """

    def run() -> str:
        folder = scratch / name.replace(" ", "-")
        folder.mkdir()
        with ExitStack() as stack:
            run_checks(folder, stack)
        return "all processes started, and none logged a fault"

    report.check(f"processes of {name}", run)


def run_all_checks(report: Report, versions: Versions, scratch: Path) -> None:
    """Runs every check, those of the fleet first."""

    def fleet_and_folders(folder: Path, stack: ExitStack) -> None:
        servers = [FormServer(name) for name in SERVER_NAMES]
        fleet = MixedFleet(versions, folder, servers, stack)
        run_fleet_checks(report, fleet)
        run_folder_checks(report, fleet)

    def region(folder: Path, stack: ExitStack) -> None:
        roster = RegistryStandIn([FormServer(name).entry() for name in SERVER_NAMES])
        run_region_checks(report, MixedRegion(versions, folder, roster, stack))

    def overrides(folder: Path, _stack: ExitStack) -> None:
        for version in versions.both():
            (version_folder := folder / version.label).mkdir()
            name = f"operator overrides of {version.label}"
            report.check(name, partial(check_overrides, versions, version_folder, version))

    report.check("trees", partial(check_trees, versions))
    run_check_group(report, "a mixed fleet", scratch, fleet_and_folders)
    run_check_group(report, "a mixed region", scratch, region)
    run_check_group(report, "a node without a fleet", scratch, overrides)
    run_check_group(report, "a replaced node", scratch, partial(run_replacement_checks, report, versions))
    run_settings_checks(report, versions, scratch)


def main(
    base: Annotated[str, typer.Argument(help="A revision, or the path of an earlier version's worktree.")],
) -> None:
    """Run this tree and an earlier version in one fleet. Exit status: 0 if all checks succeeded, 1 if not."""
    report = Report()
    with tempfile.TemporaryDirectory(prefix="mixed-versions-") as folder, ExitStack() as stack:
        scratch = Path(folder)
        tree = stack.enter_context(base_tree(base, scratch))
        run_all_checks(report, Versions(Version("old", tree), Version("new", THIS_TREE)), scratch)
    raise typer.Exit(report.conclude())


if __name__ == "__main__":
    typer.run(main)
