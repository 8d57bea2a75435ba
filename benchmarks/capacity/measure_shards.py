"""Shards of one region by one lease per node: who is in, kept by the region's control machines, and a
placement that every node works out by itself.
"""

from __future__ import annotations

import gc
import resource
import time
import tracemalloc
from collections.abc import Callable
from statistics import median

from benchmarks.capacity.counting_fleet import SHARDS, CountingFleet, terms_of_all
from benchmarks.capacity.record import Measurement
from sailrun.lab.faults.virtual import VirtualNode
from sailrun.leadership.agent import AgentSettings
from sailrun.leadership.leases import best_placed
from sailrun.membership.messages import CONTROL, MemberRecord, MemberState
from sailrun.sharding.messages import GenerationChange, Session
from sailrun.sharding.placement import Placement
from sailrun.sharding.settings import RegionSettings, ShardingSettings

REGION, VOTERS, CONTROL_MACHINES = "r1", 5, 8
# At the target: 125,000 shards among some 640 nodes.
REGION_SHARDS = 125_000
PLACED_SIZES, FLEET_SIZES = (80, 160, 320, 640), (50, 100, 200, 400)
# What is scored one by one, as tasks are, for so many shards only; a change is applied so often.
SCORED, CHANGES = 100, 5
SETTLE_S, LOOK_S, MOST_S, ZONES_OF_REGION = 40.0, 20.0, 120.0, 4


# ---------------------------------------------------------------------- placement, before and now


def _sessions(nodes: int) -> list[Session]:
    return [Session(f"node-{n:05}", n + 1, n) for n in range(nodes)]


def _timed_s(act: Callable[[], object]) -> float:
    began_ns = time.thread_time_ns()
    act()
    return (time.thread_time_ns() - began_ns) / 1e9


def _scored_s(shard: int, names: list[str]) -> float:
    return _timed_s(lambda: best_placed(f"{len(names)}/{shard}", names))


def _placed(nodes: int) -> dict[str, float]:
    """In one run: every shard scored as tasks are, and the table of numpy from nothing and for one change."""
    names = [session.name for session in _sessions(nodes)]
    scored_s = median(_scored_s(shard, names) for shard in range(SCORED))
    gc.collect()
    tracemalloc.start()
    placement = Placement(f"kept-{nodes}", REGION_SHARDS)  # names not hashed before
    placement.place_all(1, _sessions(nodes))
    kept, most = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    begin_s = _timed_s(lambda: Placement(f"timed-{nodes}", REGION_SHARDS).place_all(1, _sessions(nodes)))
    left: list[float] = []
    joined: list[float] = []
    moved: list[int] = []

    def timed(change: GenerationChange) -> float:
        return _timed_s(lambda: moved.append(len(placement.apply_change(change))))

    for n in range(CHANGES):
        left.append(timed(GenerationChange(2 * n + 2, [], [n + 1])))
        joined.append(timed(GenerationChange(2 * n + 3, [Session(f"new-{n}", nodes + n + 1, 1)], [])))
    return {
        "scored_cpu_s": scored_s * REGION_SHARDS,
        "begin_cpu_s": begin_s,
        "left_cpu_s": median(left),
        "joined_cpu_s": median(joined),
        "moved": median(moved) / REGION_SHARDS,
        "memory_mb": kept / 1e6,
        "memory_most_mb": most / 1e6,
    }


def placements() -> list[Measurement]:
    found = [_placed(size) for size in PLACED_SIZES]
    how = f"`Placement` of {REGION_SHARDS:,} shards; scored: `best_placed` for {SCORED} of them, times all"
    units = {"moved": "of the region's shards", "memory_mb": "MB", "memory_most_mb": "MB"}
    return [
        Measurement(
            f"placement.{what}",
            "nodes of a region",
            units.get(what, "s"),
            [float(size) for size in PLACED_SIZES],
            [one[what] for one in found],
            how,
        )
        for what in found[0]
    ]


# ---------------------------------------------------------------------- a region's fleet


class RegionFleet(CountingFleet):
    """One region: control machines first, of which some vote, then nodes that own shards."""

    def __init__(self, nodes: int, shards: int = REGION_SHARDS) -> None:
        super().__init__(CONTROL_MACHINES + nodes, voters=VOTERS)
        self._shards = shards
        self._terms = self._terms_with_shards

    def _terms_with_shards(self, index: int, voters: list[str], joins: list[str]) -> AgentSettings:
        usual = terms_of_all(index, voters, joins)
        region = RegionSettings(name=REGION, shards=self._shards, voters=tuple(voters))
        return AgentSettings(
            usual.membership,
            usual.leadership,
            usual.permits,
            usual.list_reader,
            usual.shares_move_rate,
            usual.replication,
            ShardingSettings(enabled=True, regions=(region,)),
        )

    def _record_of(self, node: VirtualNode, life: int) -> MemberRecord:
        role = CONTROL if node.index < CONTROL_MACHINES else ""
        return MemberRecord(node.name, life, 1, MemberState.ALIVE, node.address, node.zone, REGION, role)

    @property
    def owners(self) -> list[str]:
        """The nodes that own shards."""
        return self.names[CONTROL_MACHINES:]

    def usable(self) -> int:
        """Shards that some node may use now."""
        count = 0
        for name in self.owners:
            node = self.nodes[name]
            part = node.agent.shards if node.agent is not None else None
            if part is not None and part.session is not None:
                count += len(part.session.usable_shards(self.clock_us(node)))
        return count

    def until_usable(self, most_s: float, step_s: float = 0.25) -> float:
        """Seconds until every shard may be used by somebody; infinity if not within `most_s`."""
        began_s = self.now_s()
        while self.usable() < self._shards:
            if self.now_s() - began_s > most_s:
                return float("inf")
            self.run_for(step_s)
        return self.now_s() - began_s

    def assigner(self) -> str:
        """Raises RuntimeError where there is none."""
        for node in self.running():
            part = node.agent.shards if node.agent is not None else None
            if part is not None and part.is_assigner(self.clock_us(node)):
                return node.name
        raise RuntimeError("no assigner")


# Fewer shards in a fleet of many nodes in one process: each node keeps a placement of its own.
FLEET_SHARDS = 12_500
FLEET = (
    f"one region in virtual time: {CONTROL_MACHINES} control machines, {VOTERS} of them voters, "
    f"{FLEET_SHARDS:,} shards, lease {ShardingSettings().lease_s:g} s, all other tables on"
)
STEP_S = 0.25


def _memory_mb() -> float:
    gc.collect()
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize() / 1e6


def _region(nodes: int) -> dict[str, float]:
    """A region at rest; then one of its nodes dies, then a quarter of them at once; both come back."""
    fleet = RegionFleet(nodes, FLEET_SHARDS)
    fleet.begin()
    fleet.run_for(SETTLE_S)
    if fleet.until_usable(MOST_S) == float("inf"):
        raise RuntimeError(f"of {FLEET_SHARDS} shards {fleet.usable()} may be used")
    assigner = fleet.assigner()
    fleet.forget_counts()
    fleet.run_for(LOOK_S)
    counts = fleet.counts
    nodes_of = [counts[name] for name in fleet.owners]
    figures = {
        "bytes_s": median(one.of(SHARDS).bytes for one in nodes_of) / LOOK_S,
        "messages_s": median(one.of(SHARDS).messages for one in nodes_of) / LOOK_S,
        "cpu": median(one.cpu_ns for one in nodes_of) / 1e9 / LOOK_S,
        "assigner_bytes_s": counts[assigner].of(SHARDS).bytes / LOOK_S,
        "assigner_messages_s": counts[assigner].of(SHARDS).messages / LOOK_S,
        "assigner_cpu": counts[assigner].cpu_ns / 1e9 / LOOK_S,
        "voter_bytes_s": median(counts[name].of(SHARDS).bytes for name in fleet.voters if name != assigner)
        / LOOK_S,
    }
    for what, lost in (
        ("node", fleet.owners[-1:]),
        ("zone", fleet.owners[-max(1, nodes // ZONES_OF_REGION) :]),
    ):
        for name in lost:
            fleet.kill(name)
        figures[f"{what}_goes.seconds"] = fleet.until_usable(MOST_S)
        for name in lost:
            fleet.start(name)
        fleet.run_for(SETTLE_S)
        if fleet.until_usable(MOST_S) == float("inf"):
            raise RuntimeError(f"{fleet.usable()} of {FLEET_SHARDS} shards may be used after a return")
    return figures


def _without_assigner(nodes: int) -> dict[str, float]:
    """The assigner dies: the largest part of the shards that nobody may use, and for how long any."""
    fleet = RegionFleet(nodes, FLEET_SHARDS)
    fleet.begin()
    fleet.run_for(SETTLE_S)
    if fleet.until_usable(MOST_S) == float("inf"):
        raise RuntimeError(f"of {FLEET_SHARDS} shards {fleet.usable()} may be used")
    fleet.kill(fleet.assigner())
    unused: list[float] = []
    for _ in range(int(LOOK_S / STEP_S)):
        fleet.run_for(STEP_S)
        unused.append(1 - fleet.usable() / FLEET_SHARDS)
    return {"unused": max(unused), "unused_seconds": STEP_S * sum(share > 0 for share in unused)}


def without_assigner() -> list[Measurement]:
    found = [_without_assigner(size) for size in FLEET_SIZES]
    return [
        Measurement(
            f"region.assigner_goes.{what}",
            "nodes of a region",
            "s" if "seconds" in what else "of the region's shards",
            [float(size) for size in FLEET_SIZES],
            [one[what] for one in found],
            f"{FLEET}; looked at every {STEP_S} s for {LOOK_S:.0f} s",
        )
        for what in found[0]
    ]


def region() -> list[Measurement]:
    found = [_region(size) for size in FLEET_SIZES]
    return [
        Measurement(
            f"region.{what}",
            "nodes of a region",
            "of a core"
            if "cpu" in what
            else "s"
            if "seconds" in what
            else "bytes/s"
            if "bytes" in what
            else "messages/s",
            [float(size) for size in FLEET_SIZES],
            [one[what] for one in found],
            FLEET,
        )
        for what in found[0]
    ]
