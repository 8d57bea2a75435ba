"""Measures shard ownership with one lease per shard, the scheme used for fleet tasks: one node of a small
fleet in virtual time owns all shards.
"""

from __future__ import annotations

from statistics import median

from benchmarks.capacity.counting_fleet import LEASES, CountingFleet
from benchmarks.capacity.record import Measurement

NODES, VOTERS = 8, 5
SIZES = (50, 100, 200, 400)
SETTLE_S, OBSERVATION_S = 15.0, 10.0


def _claim_shards(fleet: CountingFleet, name: str, shards: int) -> None:
    """Makes a node a candidate for the leases of this number of shards, besides its own tasks."""
    agent = fleet.nodes[name].agent
    assert agent is not None
    default_candidate_tasks = agent.candidate_tasks
    shard_tasks = {f"shard/{n:06}": [name] for n in range(shards)}
    agent.candidate_tasks = lambda: {**default_candidate_tasks(), **shard_tasks}  # type: ignore[method-assign]


def _run_leases(shards: int) -> dict[str, float]:
    fleet = CountingFleet(NODES, voters=VOTERS)
    fleet.begin()
    fleet.run_for(SETTLE_S)
    owner = fleet.names[-1]
    fleet.reset_counts()
    fleet.run_for(OBSERVATION_S)
    rest_cpu_ns = {name: node_counts.cpu_ns for name, node_counts in fleet.counts.items()}
    _claim_shards(fleet, owner, shards)
    fleet.run_for(SETTLE_S)
    owned = sum(fleet.leader_of(f"shard/{n:06}") == owner for n in range(shards))
    if owned < shards:
        raise RuntimeError(f"node {owner} owns {owned} of {shards} shards after {SETTLE_S} s, expected all")
    fleet.reset_counts()
    fleet.run_for(OBSERVATION_S)
    counts = fleet.counts
    cpu = {
        name: (node_counts.cpu_ns - rest_cpu_ns[name]) / 1e9 / OBSERVATION_S
        for name, node_counts in counts.items()
    }
    return {
        "messages_s": counts[owner].group(LEASES).messages / OBSERVATION_S,
        "bytes_s": counts[owner].group(LEASES).bytes / OBSERVATION_S,
        "cpu": cpu[owner],
        "voter_messages_s": median(counts[name].group(LEASES).messages for name in fleet.voters)
        / OBSERVATION_S,
        "voter_bytes_s": median(counts[name].group(LEASES).bytes for name in fleet.voters) / OBSERVATION_S,
        "voter_cpu": median(cpu[name] for name in fleet.voters),
    }


def measure_leases() -> list[Measurement]:
    results = [_run_leases(size) for size in SIZES]
    how = f"{NODES} nodes in virtual time, {VOTERS} voters; one node, no voter, owns all shards; over rest"
    return [
        Measurement(
            f"shard_leases.{quantity}",
            "shards",
            "of a core" if "cpu" in quantity else "bytes/s" if "bytes" in quantity else "messages/s",
            [float(size) for size in SIZES],
            [figures[quantity] for figures in results],
            how,
        )
        for quantity in results[0]
    ]
