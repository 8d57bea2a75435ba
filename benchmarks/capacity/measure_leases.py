"""A lease for each shard, as tasks have them today: one node of a small fleet in virtual time owns all."""

from __future__ import annotations

from statistics import median

from benchmarks.capacity.counting_fleet import LEASES, CountingFleet
from benchmarks.capacity.record import Measurement

NODES, VOTERS = 8, 5
SIZES = (50, 100, 200, 400)
SETTLE_S, LOOK_S = 15.0, 10.0


def _own(fleet: CountingFleet, name: str, shards: int) -> None:
    """Has one node try for so many tasks more."""
    agent = fleet.nodes[name].agent
    assert agent is not None
    usual = agent.candidate_tasks
    more = {f"shard/{n:06}": [name] for n in range(shards)}
    agent.candidate_tasks = lambda: {**usual(), **more}  # type: ignore[method-assign]


def _play(shards: int) -> dict[str, float]:
    fleet = CountingFleet(NODES, voters=VOTERS)
    fleet.begin()
    fleet.run_for(SETTLE_S)
    holder = fleet.names[-1]
    fleet.forget_counts()
    fleet.run_for(LOOK_S)
    before = {name: one.cpu_ns for name, one in fleet.counts.items()}
    _own(fleet, holder, shards)
    fleet.run_for(SETTLE_S)
    owned = sum(fleet.owner(f"shard/{n:06}") == holder for n in range(shards))
    if owned < shards:
        raise RuntimeError(f"{owned} of {shards} leases are held")
    fleet.forget_counts()
    fleet.run_for(LOOK_S)
    counts = fleet.counts
    cpu = {name: (one.cpu_ns - before[name]) / 1e9 / LOOK_S for name, one in counts.items()}
    return {
        "messages_s": counts[holder].of(LEASES).messages / LOOK_S,
        "bytes_s": counts[holder].of(LEASES).bytes / LOOK_S,
        "cpu": cpu[holder],
        "voter_messages_s": median(counts[name].of(LEASES).messages for name in fleet.voters) / LOOK_S,
        "voter_bytes_s": median(counts[name].of(LEASES).bytes for name in fleet.voters) / LOOK_S,
        "voter_cpu": median(cpu[name] for name in fleet.voters),
    }


def leases() -> list[Measurement]:
    found = [_play(size) for size in SIZES]
    how = f"{NODES} nodes in virtual time, {VOTERS} voters; one node, no voter, owns all shards; over rest"
    return [
        Measurement(
            f"shard_leases.{what}",
            "shards",
            "of a core" if "cpu" in what else "bytes/s" if "bytes" in what else "messages/s",
            [float(size) for size in SIZES],
            [one[what] for one in found],
            how,
        )
        for what in found[0]
    ]
