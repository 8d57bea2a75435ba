"""Measures the cost of the replicas of the fleet's state and the time until they agree.

`python benchmarks/copies.py [PART...]`; all parts but `memory` run in virtual time.

Parts:

- `write`: the time until a majority and until all nodes hold an operator mark, by the share of datagrams
  that are lost;
- `return`: the time until a restarted node has fetched 10,000 records at the default limit of 1 MB/s, and
  until a hundred nodes that restart together have fetched 1,000 records each;
- `cost`: the bytes that a node sends per second, and the CPU time that the simulation takes per node and
  second of virtual time, when idle and at 100 writes per second;
- `memory`: the bytes that a record takes, measured over 5,000 records;
- `known`: the time until all other nodes take reports of a bad form server into account;
- `explore`: a search through orders of messages, restarts and changes of leader.
"""

from __future__ import annotations

import sys
import time
import tracemalloc
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

import msgspec

from sailrun.lab.faults.explore_replicas import explore_replicas
from sailrun.lab.faults.nemesis import PLANS
from sailrun.lab.faults.runs import agent_settings, voters_among
from sailrun.lab.faults.virtual import VirtualFleet
from sailrun.lab.figures import quantile
from sailrun.lab.scheduler import BEGIN_US
from sailrun.replication.mark_client import MarkOutcome
from sailrun.replication.messages import MarkRequest
from sailrun.replication.outlier_reports import OutlierReport, combine_outlier_reports
from sailrun.replication.records import apply_write
from sailrun.replication.replica import OUTLIER_REPORT, Replica
from sailrun.replication.settings import ReplicationSettings
from sailrun.replication.store import RecordStore

SECOND_US = 1_000_000
SETTLE_TIME_S = 8.0


def _create_fleet(node_count: int, seed: int) -> VirtualFleet:
    fleet = VirtualFleet(
        node_count,
        voters_among(node_count),
        1,
        lambda index, voters, joins: agent_settings(index, voters, joins, PLANS["copies"]),
        seed,
    )
    fleet.begin()
    fleet.run(SETTLE_TIME_S)
    return fleet


def _now_s(fleet: VirtualFleet) -> float:
    return (fleet.time.now_us - BEGIN_US) / SECOND_US


def _replica_of(fleet: VirtualFleet, name: str) -> Replica:
    agent = fleet.nodes[name].agent
    assert agent is not None and agent.replica is not None
    return agent.replica


def _measure_write(arguments: tuple[float, int]) -> tuple[list[float], list[float]]:
    """Returns, for each mark, the seconds until it was acknowledged and until all nodes held it.

    Writes one mark at each node, one after another. Marks that take longer than 20 s are left out.
    """
    loss_rate, seed = arguments
    fleet = _create_fleet(20, seed)
    fleet.set_network_faults(loss_rate, (1_000, 3_000), 0.0)
    majority_s: list[float] = []
    all_nodes_s: list[float] = []
    for n in range(20):
        name, start_s = fleet.names[n], _now_s(fleet)
        answers: list[MarkOutcome] = []
        request = MarkRequest(
            "mark", _replica_of(fleet, name).make_request_id(), 0, "out", f"s-{n:08x}", True
        )
        _replica_of(fleet, name).write_mark(fleet.clock_us(fleet.nodes[name]), request, answers.append)
        fleet._run_soon(fleet.nodes[name])
        is_answered = False
        while _now_s(fleet) - start_s < 20.0:
            fleet.run(_now_s(fleet) + 0.01)
            if answers and not is_answered:
                is_answered = True
                majority_s.append(_now_s(fleet) - start_s)
            if all(_replica_of(fleet, other).store.get(("out", f"s-{n:08x}", "")) for other in fleet.names):
                all_nodes_s.append(_now_s(fleet) - start_s)
                break
    return majority_s, all_nodes_s


def _fill_replicas(fleet: VirtualFleet, record_count: int, excluded: set[str]) -> None:
    for name in fleet.names:
        if name not in excluded:
            store, now_us = _replica_of(fleet, name).store, fleet.clock_us(fleet.nodes[name])
            for n in range(record_count):
                # Records of a kind that no node reads.
                store.put(now_us, apply_write(None, ("tides", f"s-{n}", ""), False, "x", (0, n), b"x" * 100))


def _measure_return(node_count: int, returning_count: int, record_count: int) -> tuple[float, float, int]:
    """Restarts nodes that have lost their replicas.

    Returns the seconds until the first and until the last of those that complete within 300 s has a complete
    replica, infinite if none does, and how many requests for pages were rejected.
    """
    fleet = _create_fleet(node_count, 1)
    returning = fleet.names[-returning_count:]
    for name in returning:
        fleet.kill(name)
    _fill_replicas(fleet, record_count, set(returning))
    start_s = _now_s(fleet)
    for name in returning:
        fleet.start(name)
    completed_s: dict[str, float] = {}
    while len(completed_s) < returning_count and _now_s(fleet) - start_s < 300:
        fleet.run(_now_s(fleet) + 0.1)
        for name in returning:
            if fleet.nodes[name].agent is not None and _replica_of(fleet, name).anti_entropy.copy.is_complete:
                completed_s.setdefault(name, _now_s(fleet) - start_s)
    rejected_count = sum(_replica_of(fleet, n).anti_entropy.sender.rejected_requests for n in fleet.names)
    return (
        min(completed_s.values(), default=float("inf")),
        max(completed_s.values(), default=float("inf")),
        rejected_count,
    )


def _measure_cost(arguments: tuple[int, int]) -> tuple[int, int, float, float]:
    """Returns the arguments, the bytes that a node sends per second, and the CPU seconds that the simulation
    takes per node and second.
    """
    node_count, writes_per_s = arguments
    fleet = _create_fleet(node_count, 1)
    duration_s = 10.0 if node_count <= 200 else 3.0
    fleet.encoded_count = fleet.bytes = 0
    fleet.message_counts.clear()
    cpu_start_s = time.process_time()
    end_s = _now_s(fleet) + duration_s
    n = 0
    while _now_s(fleet) < end_s:
        if writes_per_s:
            name = fleet.names[n % node_count]
            fleet.mark(name, f"s-{n % 500:08x}", n % 1000 < 500)
            n += 1
            fleet.run(_now_s(fleet) + 1.0 / writes_per_s)
        else:
            fleet.run(end_s)
    message_count = sum(fleet.message_counts.values())
    cpu_s = time.process_time() - cpu_start_s
    return (
        node_count,
        writes_per_s,
        # Only a sample of the messages is encoded: mean size in the sample times the number of messages.
        fleet.bytes / max(1, fleet.encoded_count) * message_count / node_count / duration_s,
        cpu_s / node_count / duration_s,
    )


def _measure_report_spread(node_count: int) -> tuple[int, float, float]:
    """Has two nodes report a form server as bad.

    Returns the number of nodes, and the seconds until half and until all of those other nodes that take the
    reports into account within 30 s have done so.
    """
    fleet = _create_fleet(node_count, 1)
    content = msgspec.msgpack.encode(OutlierReport({"s-00000001": 10_000}))
    for name in fleet.names[:2]:
        _replica_of(fleet, name).publish_outlier_report(fleet.clock_us(fleet.nodes[name]), content)
    start_s = _now_s(fleet)
    informed_s: list[float] = []
    uninformed = set(fleet.names[2:])
    while uninformed and _now_s(fleet) - start_s < 30:
        fleet.run(_now_s(fleet) + 0.05)
        for name in sorted(uninformed):
            replica, now_us = _replica_of(fleet, name), fleet.clock_us(fleet.nodes[name])
            reports = (
                (record, replica.store.age_us(now_us, record.key))
                for record in replica.store.iterate_records(OUTLIER_REPORT)
            )
            if combine_outlier_reports(reports, set(fleet.names), name, 2)[0]:
                uninformed.discard(name)
                informed_s.append(_now_s(fleet) - start_s)
    return node_count, quantile(informed_s, 0.5), max(informed_s)


def _measure_record_bytes() -> float:
    """Returns the bytes of memory that a record of a mark's size takes."""
    tracemalloc.start()
    store = RecordStore(ReplicationSettings(enabled=True), b"fleet")
    initial_bytes = tracemalloc.get_traced_memory()[0]
    for n in range(5000):
        store.put(0, apply_write(None, ("out", f"s-{n:08x}", ""), False, "x", (0, n), bytes(120)))
    final_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (final_bytes - initial_bytes) / 5000


def run_part(part: str) -> Iterator[str]:
    with ProcessPoolExecutor() as pool:
        if part == "write":
            for loss_rate in (0.0, 0.1, 0.3):
                majority_s: list[float] = []
                all_nodes_s: list[float] = []
                for seed_majority_s, seed_all_nodes_s in pool.map(
                    _measure_write, [(loss_rate, seed) for seed in range(1, 11)]
                ):
                    majority_s += seed_majority_s
                    all_nodes_s += seed_all_nodes_s
                for scope, durations_s in (("majority", majority_s), ("all of 20", all_nodes_s)):
                    yield (
                        f"write  {loss_rate:4.0%} lost  {scope:10} "
                        f"median {quantile(durations_s, 0.5):6.3f} s  "
                        f"99th percentile {quantile(durations_s, 0.99):6.3f} s  marks {len(durations_s)}"
                    )
        elif part == "return":
            for node_count, returning_count, record_count in ((5, 1, 10_000), (103, 100, 1_000)):
                first_s, last_s, rejected_count = _measure_return(node_count, returning_count, record_count)
                yield (
                    f"return {returning_count:4} of {node_count}, {record_count} records: "
                    f"first {first_s:6.1f} s, last {last_s:6.1f} s, {rejected_count} page requests rejected"
                )
        elif part == "cost":
            cases = [(size, rate) for size in (5, 50, 200) for rate in (0, 100)] + [(1000, 0)]
            for node_count, writes_per_s, bytes_per_s, cpu_share in pool.map(_measure_cost, cases):
                yield (
                    f"cost   {node_count:5} nodes {writes_per_s:4} writes/s: {bytes_per_s:9.0f} bytes "
                    f"and {cpu_share * 1000:6.2f} ms of CPU time per node and second"
                )
        elif part == "memory":
            yield f"memory {_measure_record_bytes():6.0f} bytes per record"
        elif part == "known":
            for node_count, median_s, max_s in pool.map(_measure_report_spread, (5, 50, 200)):
                yield f"known  {node_count:5} nodes: median {median_s:5.2f} s, all {max_s:5.2f} s"
        elif part == "explore":
            start_s = time.monotonic()
            result = explore_replicas(2000, first=100_000)
            yield (
                f"explore {result.schedules} schedules, {result.acknowledged} writes acknowledged, "
                f"{result.opened} leaders ready for writes, {result.restarts} restarts, "
                f"{time.monotonic() - start_s:.0f} s: {result.violation or 'no fault found'}"
            )
        else:
            raise SystemExit(
                f"copies.py: unknown part '{part}', expected write, return, cost, memory, known or explore"
            )


if __name__ == "__main__":
    for chosen_part in sys.argv[1:] or ["write", "return", "cost", "memory", "known", "explore"]:
        for line in run_part(chosen_part):
            print(line, flush=True)
