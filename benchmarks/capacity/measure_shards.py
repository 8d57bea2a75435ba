"""Measures the cost of sharding in one region with one lease per node: the region's control machines keep the
sessions of the nodes, and every node computes the placement by itself.
"""

from __future__ import annotations

import gc
import resource
import time
import tracemalloc
from collections.abc import Callable
from statistics import median

from benchmarks.capacity.counting_fleet import SHARDS, CountingFleet, control_settings
from benchmarks.capacity.record import Measurement
from sailrun.lab.faults.virtual import VirtualNode
from sailrun.leadership.agent import AgentSettings
from sailrun.leadership.leases import best_placed
from sailrun.membership.messages import CONTROL, MemberRecord, MemberState
from sailrun.sharding.messages import GenerationChange, Session
from sailrun.sharding.placement import Placement
from sailrun.sharding.settings import RegionSettings, ShardingSettings

REGION, VOTERS, CONTROL_MACHINES = "r1", 5, 8
# A region of the target fleet has 125,000 shards on about 640 nodes.
REGION_SHARDS = 125_000
PLACEMENT_SIZES, FLEET_SIZES = (80, 160, 320, 640), (50, 100, 200, 400)
# Number of shards whose scoring is measured, and number of repetitions of each change.
SCORED_SHARDS, CHANGE_REPETITIONS = 100, 5
SETTLE_S, OBSERVATION_S, TIMEOUT_S, ZONES_PER_REGION = 40.0, 20.0, 120.0, 4


# ---------------------------------------------------------------------- placement by scores and by table


def _sessions(nodes: int) -> list[Session]:
    return [Session(f"node-{n:05}", n + 1, n) for n in range(nodes)]


def _cpu_s(call: Callable[[], object]) -> float:
    began_ns = time.thread_time_ns()
    call()
    return (time.thread_time_ns() - began_ns) / 1e9


def _scoring_cpu_s(shard: int, names: list[str]) -> float:
    return _cpu_s(lambda: best_placed(f"{len(names)}/{shard}", names))


def _run_placement(nodes: int) -> dict[str, float]:
    """Measures two ways to place shards in the same run: the scoring of a sample of shards one by one, as it
    is done for tasks, and the numpy placement table, when built from scratch and when updated after one
    change. The scoring time is extrapolated to all shards.
    """
    names = [session.name for session in _sessions(nodes)]
    scoring_cpu_s = median(_scoring_cpu_s(shard, names) for shard in range(SCORED_SHARDS))
    gc.collect()
    tracemalloc.start()
    placement = Placement(f"kept-{nodes}", REGION_SHARDS)  # a name without cached hashes
    placement.place_all(1, _sessions(nodes))
    kept_bytes, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    build_cpu_s = _cpu_s(lambda: Placement(f"timed-{nodes}", REGION_SHARDS).place_all(1, _sessions(nodes)))
    left_cpu_s: list[float] = []
    joined_cpu_s: list[float] = []
    moved: list[int] = []

    def apply_cpu_s(change: GenerationChange) -> float:
        return _cpu_s(lambda: moved.append(len(placement.apply_change(change))))

    for n in range(CHANGE_REPETITIONS):
        left_cpu_s.append(apply_cpu_s(GenerationChange(2 * n + 2, [], [n + 1])))
        joined_cpu_s.append(
            apply_cpu_s(GenerationChange(2 * n + 3, [Session(f"new-{n}", nodes + n + 1, 1)], []))
        )
    return {
        "scored_cpu_s": scoring_cpu_s * REGION_SHARDS,
        "begin_cpu_s": build_cpu_s,
        "left_cpu_s": median(left_cpu_s),
        "joined_cpu_s": median(joined_cpu_s),
        "moved": median(moved) / REGION_SHARDS,
        "memory_mb": kept_bytes / 1e6,
        "memory_most_mb": peak_bytes / 1e6,
    }


def measure_placement() -> list[Measurement]:
    results = [_run_placement(size) for size in PLACEMENT_SIZES]
    how = (
        f"`Placement` of {REGION_SHARDS:,} shards; "
        f"scored: `best_placed` for {SCORED_SHARDS} of them, times all"
    )
    units = {"moved": "of the region's shards", "memory_mb": "MB", "memory_most_mb": "MB"}
    return [
        Measurement(
            f"placement.{quantity}",
            "nodes of a region",
            units.get(quantity, "s"),
            [float(size) for size in PLACEMENT_SIZES],
            [figures[quantity] for figures in results],
            how,
        )
        for quantity in results[0]
    ]


# ---------------------------------------------------------------------- a region's fleet


class RegionFleet(CountingFleet):
    """One region. The first nodes are control machines, some of them voters; the others own shards."""

    def __init__(self, nodes: int, shards: int = REGION_SHARDS) -> None:
        super().__init__(CONTROL_MACHINES + nodes, voters=VOTERS)
        self._shards = shards
        self._terms = self._settings_with_shards

    def _settings_with_shards(self, index: int, voters: list[str], joins: list[str]) -> AgentSettings:
        defaults = control_settings(index, voters, joins)
        region = RegionSettings(name=REGION, shards=self._shards, voters=tuple(voters))
        return AgentSettings(
            defaults.membership,
            defaults.leadership,
            defaults.permits,
            defaults.list_reader,
            defaults.shares_move_rate,
            defaults.replication,
            ShardingSettings(enabled=True, regions=(region,)),
        )

    def _record_of(self, node: VirtualNode, life: int) -> MemberRecord:
        role = CONTROL if node.index < CONTROL_MACHINES else ""
        return MemberRecord(node.name, life, 1, MemberState.ALIVE, node.address, node.zone, REGION, role)

    @property
    def shard_owners(self) -> list[str]:
        """Returns the names of the nodes that own shards."""
        return self.names[CONTROL_MACHINES:]

    def count_usable_shards(self) -> int:
        """Returns the number of shards that a node may use now."""
        count = 0
        for name in self.shard_owners:
            node = self.nodes[name]
            sharding = node.agent.shards if node.agent is not None else None
            if sharding is not None and sharding.session is not None:
                count += len(sharding.session.usable_shards(self.clock_us(node)))
        return count

    def run_until_usable(self, timeout_s: float, step_s: float = 0.25) -> float:
        """Runs until every shard may be used by a node. Returns the seconds taken, infinity after
        `timeout_s`.
        """
        began_s = self.now_s()
        while self.count_usable_shards() < self._shards:
            if self.now_s() - began_s > timeout_s:
                return float("inf")
            self.run_for(step_s)
        return self.now_s() - began_s

    def assigner(self) -> str:
        """Returns the name of the assigner. Raises RuntimeError if there is none."""
        for node in self.running_nodes():
            sharding = node.agent.shards if node.agent is not None else None
            if sharding is not None and sharding.is_assigner(self.clock_us(node)):
                return node.name
        raise RuntimeError("no running node is the assigner of the region, expected one")


# Fewer shards than in a real region: all nodes run in one process, and the placement of every node takes
# memory.
FLEET_SHARDS = 12_500
FLEET_CONDITIONS = (
    f"one region in virtual time: {CONTROL_MACHINES} control machines, {VOTERS} of them voters, "
    f"{FLEET_SHARDS:,} shards, lease {ShardingSettings().lease_s:g} s, all other tables on"
)
# Interval at which usable shards are counted after the loss of the assigner.
ASSIGNER_LOSS_STEP_S = 0.25


def _memory_mb() -> float:
    gc.collect()
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize() / 1e6


def _run_region(nodes: int) -> dict[str, float]:
    """Measures a region at rest, after one of its nodes dies, and after a quarter of them die at once. The
    nodes are started again after each failure.
    """
    fleet = RegionFleet(nodes, FLEET_SHARDS)
    fleet.begin()
    fleet.run_for(SETTLE_S)
    if fleet.run_until_usable(TIMEOUT_S) == float("inf"):
        raise RuntimeError(
            f"region of {nodes} nodes: {fleet.count_usable_shards()} of {FLEET_SHARDS} shards are usable "
            f"{SETTLE_S + TIMEOUT_S} s after the start, expected all"
        )
    assigner = fleet.assigner()
    fleet.reset_counts()
    fleet.run_for(OBSERVATION_S)
    counts = fleet.counts
    owner_counts = [counts[name] for name in fleet.shard_owners]
    figures = {
        "bytes_s": median(node_counts.group(SHARDS).bytes for node_counts in owner_counts) / OBSERVATION_S,
        "messages_s": median(node_counts.group(SHARDS).messages for node_counts in owner_counts)
        / OBSERVATION_S,
        "cpu": median(node_counts.cpu_ns for node_counts in owner_counts) / 1e9 / OBSERVATION_S,
        "assigner_bytes_s": counts[assigner].group(SHARDS).bytes / OBSERVATION_S,
        "assigner_messages_s": counts[assigner].group(SHARDS).messages / OBSERVATION_S,
        "assigner_cpu": counts[assigner].cpu_ns / 1e9 / OBSERVATION_S,
        "voter_bytes_s": median(counts[name].group(SHARDS).bytes for name in fleet.voters if name != assigner)
        / OBSERVATION_S,
    }
    for event, lost in (
        ("node", fleet.shard_owners[-1:]),
        ("zone", fleet.shard_owners[-max(1, nodes // ZONES_PER_REGION) :]),
    ):
        for name in lost:
            fleet.kill(name)
        figures[f"{event}_goes.seconds"] = fleet.run_until_usable(TIMEOUT_S)
        for name in lost:
            fleet.start(name)
        fleet.run_for(SETTLE_S)
        if fleet.run_until_usable(TIMEOUT_S) == float("inf"):
            raise RuntimeError(
                f"region of {nodes} nodes: {fleet.count_usable_shards()} of {FLEET_SHARDS} shards are usable "
                f"{SETTLE_S + TIMEOUT_S} s after the {event} returned, expected all"
            )
    return figures


def _run_assigner_loss(nodes: int) -> dict[str, float]:
    """After the assigner dies, measures the largest share of shards that no node may use, and for how long
    there are such shards.
    """
    fleet = RegionFleet(nodes, FLEET_SHARDS)
    fleet.begin()
    fleet.run_for(SETTLE_S)
    if fleet.run_until_usable(TIMEOUT_S) == float("inf"):
        raise RuntimeError(
            f"region of {nodes} nodes: {fleet.count_usable_shards()} of {FLEET_SHARDS} shards are usable "
            f"{SETTLE_S + TIMEOUT_S} s after the start, expected all"
        )
    fleet.kill(fleet.assigner())
    unused_shares: list[float] = []
    for _ in range(int(OBSERVATION_S / ASSIGNER_LOSS_STEP_S)):
        fleet.run_for(ASSIGNER_LOSS_STEP_S)
        unused_shares.append(1 - fleet.count_usable_shards() / FLEET_SHARDS)
    return {
        "unused": max(unused_shares),
        "unused_seconds": ASSIGNER_LOSS_STEP_S * sum(share > 0 for share in unused_shares),
    }


def measure_assigner_loss() -> list[Measurement]:
    results = [_run_assigner_loss(size) for size in FLEET_SIZES]
    return [
        Measurement(
            f"region.assigner_goes.{quantity}",
            "nodes of a region",
            "s" if "seconds" in quantity else "of the region's shards",
            [float(size) for size in FLEET_SIZES],
            [figures[quantity] for figures in results],
            f"{FLEET_CONDITIONS}; looked at every {ASSIGNER_LOSS_STEP_S} s for {OBSERVATION_S:.0f} s",
        )
        for quantity in results[0]
    ]


def measure_region() -> list[Measurement]:
    results = [_run_region(size) for size in FLEET_SIZES]
    return [
        Measurement(
            f"region.{quantity}",
            "nodes of a region",
            "of a core"
            if "cpu" in quantity
            else "s"
            if "seconds" in quantity
            else "bytes/s"
            if "bytes" in quantity
            else "messages/s",
            [float(size) for size in FLEET_SIZES],
            [figures[quantity] for figures in results],
            FLEET_CONDITIONS,
        )
        for quantity in results[0]
    ]
