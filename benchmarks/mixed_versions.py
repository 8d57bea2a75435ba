"""Says whether an earlier version of this program and the tree at hand work together as one fleet.

    python -m benchmarks.mixed_versions BASE

BASE is a revision, for which a worktree is made and removed again, or the path of a worktree. It is called
"old" here, the tree at hand "new". Real processes of both run on loopback with one interpreter. Checked are:

- a fleet of two nodes of either version, in which no lease is granted without both: members, leaders and
  their succession, marks and drains of operators, load datagrams; and a region of shards (`mixed_fleet.py`);
- folders written by either version, read and gone on with by the other (`mixed_restarts.py`);
- nodes whose process is replaced by one of the other version, with established sessions;
- settings files that either version ships or writes, read by the other (`mixed_settings.py`).

Printed: one line for each check, `ok` or `FAILED`, with what was seen, then a line of totals. Exit status: 0
if all held, 1 if not.
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

from benchmarks.datagram_relay import SumsWatch
from benchmarks.mixed_fleet import (
    NAMES,
    SERVER_NAMES,
    Member,
    MixedFleet,
    Report,
    Version,
    Versions,
    all_read,
    refused_in,
    see_counts,
    wait_for,
)
from benchmarks.mixed_restarts import check_folders, check_succession, see_overrides
from benchmarks.mixed_settings import check_settings_files
from benchmarks.same_behaviour import HERE, base_tree
from tests.stand_ins import FormServer, Roster, RunningNode, node
from tests.test_sharding_processes import CONTROL, SHARDS, Region, free
from tests.test_sharding_processes import NODES as REGION_NODES

# The status line comes every ten seconds, and a node hears of each other one in some of the rounds only.
STATUS_PATIENCE_S = 120.0

# --------------------------------------------------------------------------- a mixed fleet


def check_trees(versions: Versions) -> str:
    """Each version runs from its own tree."""
    for version in versions.both():
        assert version.package() == version.tree / "sailrun", f"{version.label}: {version.package()}"
    return ", ".join(f"{version.label} {version.package()}" for version in versions.both())


def see_members(fleet: MixedFleet) -> str:
    """All see each other alive."""
    fleet.await_members()
    return f"each of {', '.join(member.shown for member in fleet.living())} sees all alive"


def see_load(fleet: MixedFleet) -> str:
    """Each node has the load of all in its sums, and takes the other version's datagrams."""
    nodes = [fleet.members[name].running for name in NAMES]
    households = [running.request_session(f"{n:016x}", group=f"{n:016x}") for n, running in enumerate(nodes)]
    for household in households:
        assert household.read_line() == "UP r1"
        household.send_line("LOAD 812.5")  # its form server says every line back
        assert household.read_line() == "LOAD 812.5"
    watches = {member.shown: watch_sums(fleet, member) for member in fleet.living()}
    for shown, watch in watches.items():
        try:
            wait_for(shown, partial(watch.has_taken_all, len(NAMES)), STATUS_PATIENCE_S)
        except AssertionError as error:
            raise AssertionError(f"{error}: {watch}") from None
    for household in households:
        household.close()
    passed = fleet.relay.passed
    across = sum(count for (sender, to), count in passed.items() if (sender - to) % 2)
    assert across, "no datagram was sent across versions"
    sums = "; ".join(f"{shown} {watch}" for shown, watch in watches.items())
    return f"{across} datagrams across versions: {sums}; {see_counts(fleet)}"


def watch_sums(fleet: MixedFleet, member: Member) -> SumsWatch:
    """Watches what a node makes of the datagrams of the other version's nodes."""
    others = {NAMES.index(m.name) for m in fleet.living() if m.version is not member.version}
    return SumsWatch(member.running.lines, NAMES.index(member.name), others, fleet.relay)


def see_marks(fleet: MixedFleet, writer: Version, server: str) -> str:
    """A mark of one version is in force at all, and is taken back by the other."""
    other = fleet.versions.other(writer)
    at = fleet.one_of(writer)
    done = fleet.command(writer, at, "set-down", server, "--wait", "all", "--why", "mixed")
    assert done.startswith(f"done {len(NAMES)} of "), done
    for member in fleet.living():
        member.running.logged("by-hand", f"server={server}", "out=True")
    wait_for("one digest of all copies", fleet.has_one_digest)
    pair = (at.running.control, fleet.one_of(other).running.control)
    for version in fleet.versions.both():
        wait_for("no difference of two copies", partial(prints_no_difference, version, *pair))
    back = fleet.command(other, fleet.one_of(other), "set-up", server, "--wait", "all")
    for member in fleet.living():
        member.running.logged("by-hand", f"server={server}", "out=False")
    return f"out at {at.shown}: {done}, one digest; back at {fleet.one_of(other).shown}: {back}"


def prints_no_difference(version: Version, one: str, other: str) -> bool:
    """Whether a version's command finds the copies of two nodes the same."""
    return version.run("fleet", "diff", one, other).returncode == 0


def see_drain(fleet: MixedFleet, asked: Version) -> str:
    """A node is drained and given back by a mark written at one of the other version."""
    at, drained = fleet.one_of(asked), fleet.one_of(fleet.versions.other(asked))
    fleet.command(asked, at, "drain-on", drained.name)
    drained.running.logged("leaving", "reason=drain")
    fleet.command(asked, at, "drain-off", drained.name)
    drained.running.logged("drain-over")
    return f"{drained.shown} drained and back by {at.shown}"


def see_rolling_drain(fleet: MixedFleet, asked: Version) -> str:
    """Nodes of both versions are drained one after another, each with a permit of the fleet."""
    at = fleet.one_of(asked)
    names = [fleet.one_of(fleet.versions.other(asked)).name, at.name]
    printed = fleet.command(asked, at, "drain", *names).splitlines()
    assert [f"{name} done" in printed for name in names] == [True, True], printed
    return f"asked at {at.shown}: {', '.join(printed[1:])}"


def see_succession(fleet: MixedFleet, killed: Version) -> str:
    """A leader of that version is killed, and succeeded under a higher term."""
    for _ in NAMES:
        leaders = fleet.leaders()
        of_version = [name for name, _ in leaders.values() if fleet.members[name].version is killed]
        seen = succeed(fleet, of_version[0] if of_version else leaders["marks"][0])
        if of_version:
            return seen
    raise AssertionError(f"nothing was ever led by a node of {killed.label}")


def succeed(fleet: MixedFleet, name: str) -> str:
    """Kills a node, waits for the leaders after it, and starts it again."""
    member = fleet.members[name]
    led = {task: term for task, (leader, term) in fleet.leaders().items() if leader == name}
    fleet.end(name, signal.SIGKILL)
    after = fleet.leaders()
    for task, term in led.items():
        assert after[task][1] > term, f"{task}: term {after[task][1]} after {term}"
    seen = ", ".join(
        f"{task} term {term} -> {fleet.members[after[task][0]].shown} term {after[task][1]}"
        for task, term in led.items()
    )
    fleet.start(name, member.version).running.logged("lasting-trusted")
    fleet.await_members()
    return f"killed {member.shown}: {seen}"


def check_fleet(report: Report, fleet: MixedFleet) -> None:
    """A fleet of both versions, in all that its nodes do together."""
    old, new = fleet.versions.both()
    report.check("members", partial(see_members, fleet))
    report.check("leaders, each by votes of both versions", fleet.show_leaders)
    report.check("load datagrams", partial(see_load, fleet))
    for version, server in ((old, SERVER_NAMES[0]), (new, SERVER_NAMES[1])):
        report.check(f"marks at {version.label}", partial(see_marks, fleet, version, server))
        report.check(f"drain at {version.label}", partial(see_drain, fleet, version))
        report.check(f"rolling drain at {version.label}", partial(see_rolling_drain, fleet, version))
    report.check("messages before a node is killed", partial(see_counts, fleet))
    for version in (old, new):
        report.check(f"leader of {version.label} killed", partial(see_succession, fleet, version))
    report.check("messages after nodes were killed", partial(see_counts, fleet))


class MixedRegion(Region):
    """Three control members and three nodes, whose versions alternate."""

    def __init__(self, versions: Versions, folder: Path, roster: Roster, stack: ExitStack) -> None:
        self.versions = versions
        super().__init__(folder, roster, stack)

    def version_of(self, name: str) -> Version:
        """`c1` is old, `c2` new, and so on: either version has a control member and a node."""
        return self.versions.both()[(*CONTROL, *REGION_NODES).index(name) % 2]

    def start(self, name: str, shards: int = SHARDS) -> RunningNode:
        """As the region's other processes are started, in a version's tree."""
        folder = self._folder / f"{name}-{time.monotonic_ns()}"
        folder.mkdir()
        operator = self.operators[name] = folder / "operator.toml"
        operator.write_text(tomli_w.dumps(self.tables(name, shards)))
        prepare = self.version_of(name).enter
        made = node(folder, self._roster, prepare, operator, name=name, listen=free(), control=free())
        self.running[name] = self._stack.enter_context(made)
        return self.running[name]

    def shown_name(self, name: str) -> str:
        """A process with its version."""
        return f"{name} ({self.version_of(name).label})"


def see_shards(region: MixedRegion) -> str:
    """All shards are owned once, as both versions' commands show."""
    region.until(lambda: region.owned_by(*REGION_NODES))
    control = region.running[REGION_NODES[0]].control
    old, new = (shards_by(version, control) for version in region.versions.both())
    assert old == new, f"old {old}, new {new}"
    return ", ".join(f"{region.shown_name(name)} {len(region.usable(name))}" for name in REGION_NODES)


def shards_by(version: Version, control: str) -> dict[str, Any]:
    """What a version's command shows of a node's shards, without the time that is left of its lease."""
    shown: dict[str, Any] = json.loads(version.printed("fleet", "shards", "--at", control, "--json"))
    del shown["ends_in_s"]
    return shown


def see_assigner_killed(region: MixedRegion) -> str:
    """Another control member goes on assigning from the same generation."""
    generation = region.status(REGION_NODES[0])["generation"]
    killed = str(wait_for("an assigner", region.assigner))
    region.kill(killed)
    after = str(wait_for("another assigner", region.assigner))
    wait_for("the same generation", lambda: region.status(after).get("settled") == generation)
    region.start(killed)
    return f"killed {region.shown_name(killed)}: {region.shown_name(after)} at generation {generation}"


def see_node_killed(region: MixedRegion, name: str) -> str:
    """A killed node's shards go to the others, and come back with it."""
    had = region.usable(name)
    region.kill(name)
    rest = [other for other in REGION_NODES if other != name]
    region.until(lambda: region.owned_by(*rest))
    region.start(name)
    region.until(lambda: region.owned_by(*REGION_NODES))
    assert region.usable(name) == had, f"{region.usable(name)} after {had}"
    return f"{len(had)} of {region.shown_name(name)} to {', '.join(map(region.shown_name, rest))} and back"


def see_region_counts(region: MixedRegion) -> str:
    """No process of the region has met a message that it could not read."""
    for name in filter(region.is_running, region.running):
        counts = json.loads(region.running[name].call("fleet counts").removeprefix("ok "))
        assert not counts["bad_messages"] and not counts["wrong_fleet"], f"{name}: {counts}"
    return all_read(refused_in([line for running in region.running.values() for line in running.lines]))


def check_region(report: Report, region: MixedRegion) -> None:
    """Shards, their assigner and their nodes, of both versions."""
    report.check("shards", partial(see_shards, region))
    report.check("shards: assigner killed", partial(see_assigner_killed, region))
    for name in REGION_NODES[:2]:
        report.check(f"shards: {region.shown_name(name)} killed", partial(see_node_killed, region, name))
    report.check("shards: messages", partial(see_region_counts, region))


# --------------------------------------------------------------------------- the command


def check_group(report: Report, name: str, scratch: Path, look: Callable[[Path, ExitStack], None]) -> None:
    """Checks that share processes, which are ended after them: a check of its own, as they must start, and
    must log no fault.
    """

    def run() -> str:
        folder = scratch / name.replace(" ", "-")
        folder.mkdir()
        with ExitStack() as stack:
            look(folder, stack)
        return "all processes started, and none logged a fault"

    report.check(f"processes of {name}", run)


def check_all(report: Report, versions: Versions, scratch: Path) -> None:
    """Every check, the fleet first."""

    def fleet_and_folders(folder: Path, stack: ExitStack) -> None:
        servers = [FormServer(name) for name in SERVER_NAMES]
        fleet = MixedFleet(versions, folder, servers, stack)
        check_fleet(report, fleet)
        check_folders(report, fleet)

    def region(folder: Path, stack: ExitStack) -> None:
        roster = Roster([FormServer(name).entry() for name in SERVER_NAMES])
        check_region(report, MixedRegion(versions, folder, roster, stack))

    def overrides(folder: Path, _stack: ExitStack) -> None:
        for version in versions.both():
            (place := folder / version.label).mkdir()
            name = f"operator overrides of {version.label}"
            report.check(name, partial(see_overrides, versions, place, version))

    report.check("trees", partial(check_trees, versions))
    check_group(report, "a mixed fleet", scratch, fleet_and_folders)
    check_group(report, "a mixed region", scratch, region)
    check_group(report, "a node without a fleet", scratch, overrides)
    check_group(report, "a succession", scratch, partial(check_succession, report, versions))
    check_settings_files(report, versions, scratch)


def main(
    base: Annotated[str, typer.Argument(help="A revision, or the path of an earlier version's worktree.")],
) -> None:
    """Run the tree at hand together with an earlier version. Exit 0: every check held; 1: not."""
    report = Report()
    with tempfile.TemporaryDirectory(prefix="mixed-versions-") as folder, ExitStack() as stack:
        scratch = Path(folder)
        tree = stack.enter_context(base_tree(base, scratch))
        check_all(report, Versions(Version("old", tree), Version("new", HERE)), scratch)
    raise typer.Exit(report.conclude())


if __name__ == "__main__":
    typer.run(main)
