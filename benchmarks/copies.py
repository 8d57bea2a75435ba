"""What copies of the fleet's state cost, and how soon they are alike.

`python benchmarks/copies.py [PART...]`, in virtual time but for `memory`.

Parts: `write` (a mark until a majority and until all hold it, by loss), `return` (10,000 records taken over a
link of 1 MB/s, and a hundred nodes at once), `cost` (bytes of a node in a second, at rest and at 100 writes a
second), `memory` (of a thousand records), `known` (a bad form server until all others were told), `explore`
(orders of messages, restarts and owners).
"""

from __future__ import annotations

import sys
import time
import tracemalloc
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

import msgspec

from sailrun.lab.faults.explore_copies import explore_copies
from sailrun.lab.faults.nemesis import PLANS
from sailrun.lab.faults.play import agent_terms, voters_among
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

SECOND = 1_000_000
SETTLED_S = 8.0


def _fleet(nodes: int, seed: int) -> VirtualFleet:
    made = VirtualFleet(
        nodes,
        voters_among(nodes),
        1,
        lambda index, voters, joins: agent_terms(index, voters, joins, PLANS["copies"]),
        seed,
    )
    made.begin()
    made.run(SETTLED_S)
    return made


def _now_s(fleet: VirtualFleet) -> float:
    return (fleet.time.now_us - BEGIN_US) / SECOND


def _part(fleet: VirtualFleet, name: str) -> Replica:
    agent = fleet.nodes[name].agent
    assert agent is not None and agent.replica is not None
    return agent.replica


def _write(asked: tuple[float, int]) -> tuple[list[float], list[float]]:
    """Marks at one node after another: until the answer, and until all nodes hold each."""
    lost, seed = asked
    fleet = _fleet(20, seed)
    fleet.set_network_faults(lost, (1_000, 3_000), 0.0)
    majority: list[float] = []
    everywhere: list[float] = []
    for n in range(20):
        name, began_s = fleet.names[n], _now_s(fleet)
        answers: list[MarkOutcome] = []
        op = MarkRequest("mark", _part(fleet, name).make_request_id(), 0, "out", f"s-{n:08x}", True)
        _part(fleet, name).write_mark(fleet.clock_us(fleet.nodes[name]), op, answers.append)
        fleet._run_soon(fleet.nodes[name])
        told = False
        while _now_s(fleet) - began_s < 20.0:
            fleet.run(_now_s(fleet) + 0.01)
            if answers and not told:
                told = True
                majority.append(_now_s(fleet) - began_s)
            if all(_part(fleet, o).store.get(("out", f"s-{n:08x}", "")) for o in fleet.names):
                everywhere.append(_now_s(fleet) - began_s)
                break
    return majority, everywhere


def _fill(fleet: VirtualFleet, count: int, but: set[str]) -> None:
    for name in fleet.names:
        if name not in but:
            store, now_us = _part(fleet, name).store, fleet.clock_us(fleet.nodes[name])
            for n in range(count):
                store.put(now_us, apply_write(None, ("tides", f"s-{n}", ""), False, "x", (0, n), b"x" * 100))


def _return(nodes: int, back: int, count: int) -> tuple[float, float, int]:
    """Seconds until the first and the last of those that return have a whole copy, and refusals."""
    fleet = _fleet(nodes, 1)
    names = fleet.names[-back:]
    for name in names:
        fleet.kill(name)
    _fill(fleet, count, set(names))
    began_s = _now_s(fleet)
    for name in names:
        fleet.start(name)
    whole: dict[str, float] = {}
    while len(whole) < back and _now_s(fleet) - began_s < 300:
        fleet.run(_now_s(fleet) + 0.1)
        for name in names:
            if fleet.nodes[name].agent is not None and _part(fleet, name).anti_entropy.copy.is_complete:
                whole.setdefault(name, _now_s(fleet) - began_s)
    refused = sum(_part(fleet, n).anti_entropy.sender.rejected_requests for n in fleet.names)
    return min(whole.values(), default=float("inf")), max(whole.values(), default=float("inf")), refused


def _cost(asked: tuple[int, int]) -> tuple[int, int, float, float]:
    nodes, writes = asked
    fleet = _fleet(nodes, 1)
    for_s = 10.0 if nodes <= 200 else 3.0
    fleet.encoded_count = fleet.bytes = 0
    fleet.by_body.clear()
    began = time.process_time()
    end_s = _now_s(fleet) + for_s
    n = 0
    while _now_s(fleet) < end_s:
        if writes:
            name = fleet.names[n % nodes]
            fleet.mark(name, f"s-{n % 500:08x}", n % 1000 < 500)
            n += 1
            fleet.run(_now_s(fleet) + 1.0 / writes)
        else:
            fleet.run(end_s)
    sent = sum(fleet.by_body.values())
    cpu_s = time.process_time() - began
    return (
        nodes,
        writes,
        fleet.bytes / max(1, fleet.encoded_count) * sent / nodes / for_s,
        cpu_s / nodes / for_s,
    )


def _known(nodes: int) -> tuple[int, float, float]:
    """A form server that two nodes found bad: until half of the others and all of them go by it."""
    fleet = _fleet(nodes, 1)
    content = msgspec.msgpack.encode(OutlierReport({"s-00000001": 10_000}))
    for name in fleet.names[:2]:
        _part(fleet, name).publish_outlier_report(fleet.clock_us(fleet.nodes[name]), content)
    began_s = _now_s(fleet)
    knows: list[float] = []
    left = set(fleet.names[2:])
    while left and _now_s(fleet) - began_s < 30:
        fleet.run(_now_s(fleet) + 0.05)
        for name in sorted(left):
            part, now_us = _part(fleet, name), fleet.clock_us(fleet.nodes[name])
            told = ((r, part.store.age_us(now_us, r.key)) for r in part.store.iterate_records(OUTLIER_REPORT))
            if combine_outlier_reports(told, set(fleet.names), name, 2)[0]:
                left.discard(name)
                knows.append(_now_s(fleet) - began_s)
    return nodes, quantile(knows, 0.5), max(knows)


def _memory() -> float:
    """Bytes for each record of a mark's size."""
    tracemalloc.start()
    store = RecordStore(ReplicationSettings(enabled=True), b"fleet")
    before = tracemalloc.get_traced_memory()[0]
    for n in range(5000):
        store.put(0, apply_write(None, ("out", f"s-{n:08x}", ""), False, "x", (0, n), bytes(120)))
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / 5000


def lines(part: str) -> Iterator[str]:
    with ProcessPoolExecutor() as pool:
        if part == "write":
            for lost in (0.0, 0.1, 0.3):
                majority: list[float] = []
                everywhere: list[float] = []
                for one, other in pool.map(_write, [(lost, seed) for seed in range(1, 11)]):
                    majority += one
                    everywhere += other
                for what, took in (("majority", majority), ("all of 20", everywhere)):
                    yield (
                        f"write  {lost:4.0%} lost  {what:10} median {quantile(took, 0.5):6.3f} s  "
                        f"99 in 100 {quantile(took, 0.99):6.3f} s  of {len(took)}"
                    )
        elif part == "return":
            for nodes, back, count in ((5, 1, 10_000), (103, 100, 1_000)):
                first, last, refused = _return(nodes, back, count)
                yield (
                    f"return {back:4} of {nodes}, {count} records: first {first:6.1f} s, "
                    f"last {last:6.1f} s, {refused} times refused"
                )
        elif part == "cost":
            asked = [(n, w) for n in (5, 50, 200) for w in (0, 100)] + [(1000, 0)]
            for nodes, writes, sent, cpu in pool.map(_cost, asked):
                yield (
                    f"cost   {nodes:5} nodes {writes:4} writes/s: {sent:9.0f} bytes "
                    f"and {cpu * 1000:6.2f} ms of a core a node and second"
                )
        elif part == "memory":
            yield f"memory {_memory():6.0f} bytes a record"
        elif part == "known":
            for nodes, median, most in pool.map(_known, (5, 50, 200)):
                yield f"known  {nodes:5} nodes: median {median:5.2f} s, all {most:5.2f} s"
        elif part == "explore":
            began = time.monotonic()
            found = explore_copies(2000, first=100_000)
            yield (
                f"explore {found.schedules} schedules, {found.acknowledged} acknowledged, "
                f"{found.opened} owners opened, {found.restarts} restarts, "
                f"{time.monotonic() - began:.0f} s: {found.fault or 'nothing'}"
            )
        else:
            raise SystemExit(f"copies.py: no part '{part}'")


if __name__ == "__main__":
    for chosen in sys.argv[1:] or ["write", "return", "cost", "memory", "known", "explore"]:
        for line in lines(chosen):
            print(line, flush=True)
