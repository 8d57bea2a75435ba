"""Fault runs for the commands of the laboratory: summaries, records and sweeps over seeds."""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from dataclasses import replace

from sailrun.lab.faults.history import Row
from sailrun.lab.faults.nemesis import PLANS
from sailrun.lab.faults.runs import FaultRun, RunResult, run_real, run_virtual
from sailrun.lab.faults.shard_plans import SHARD_PLANS
from sailrun.lab.faults.shard_runs import run_shards_real, run_shards_virtual
from sailrun.lab.records import Records, Table
from sailrun.lab.run import Outcome, Summary, finite
from sailrun.lab.sweep import Sweep

Driver = Callable[[FaultRun, Callable[[float], None]], RunResult]
DRIVERS: dict[str, Driver] = {"virtual": run_virtual, "sockets": run_real}
SHARD_DRIVERS: dict[str, Driver] = {"virtual": run_shards_virtual, "sockets": run_shards_real}
# Limit of parallel runs on real processes, each of which starts up to MAX_NODES processes (`rig.py`).
MAX_PARALLEL_REAL_RUNS = 4


class History(Records):
    """One table: the recorded events of all processes and the injected faults, by time."""

    def __init__(self, rows: list[Row], begin_us: int) -> None:
        super().__init__()
        self.history = Table("history")
        for row in sorted(rows, key=lambda r: r["at_us"]):
            facts = {k: v for k, v in row.items() if k not in ("at_us", "node", "kind")}
            self.history.add(
                at_us=row["at_us"] - begin_us,
                node=row["node"],
                kind=row["kind"],
                facts=json.dumps(facts, sort_keys=True, default=str),
            )

    def tables(self) -> tuple[Table, ...]:
        return (self.history,)


def run_plan(
    run: FaultRun, driver: str, on_progress: Callable[[float], None] = lambda share: None
) -> tuple[Summary, History]:
    start_s = time.monotonic()
    drivers = SHARD_DRIVERS if run.plan in SHARD_PLANS else DRIVERS
    result = drivers[driver](run, on_progress)
    begin_us = min((row["at_us"] for row in result.rows), default=0)
    summary = Summary(
        run.plan,
        driver,
        run.seed,
        {"nodes": run.nodes, "seconds": result.seconds},
        sorted(run.off),
        {name: finite(value) for name, value in result.figures.items()},
        [Outcome(c.name, c.value, c.limit, c.holds, c.faults, c.occasions) for c in result.checks],
        {"wall_s": round(time.monotonic() - start_s, 2)},
    )
    return summary, History(result.rows, begin_us)


def _run_job(job: tuple[FaultRun, str]) -> Summary:
    return run_plan(*job)[0]


def sweep_seeds(
    run: FaultRun, driver: str, seeds: list[int], workers: int | None, on_progress: Callable[[float], None]
) -> Sweep:
    """Runs the same plan with many seeds: in threads with real processes, as these runs mostly wait, else in
    worker processes.
    """
    jobs = [(replace(run, seed=seed), driver) for seed in seeds]
    real = driver == "sockets"
    pool = (
        ThreadPoolExecutor(workers or MAX_PARALLEL_REAL_RUNS)
        if real
        else ProcessPoolExecutor(workers or os.cpu_count())
    )
    summaries: list[Summary] = []
    with pool:
        for summary in pool.map(_run_job, jobs):
            summaries.append(summary)
            on_progress(len(summaries) / len(jobs))
    return Sweep(run.plan, None, summaries, [])


def describe_occasions(sweep: Sweep) -> Iterator[str]:
    """Yields a line for each check of a sweep: its name, and how often it had something to examine."""
    totals: dict[str, int] = {}
    for summary in sweep.summaries:
        for check in summary.checks:
            totals[check.name] = totals.get(check.name, 0) + (check.occasions or 0)
    for name, count in totals.items():
        yield f"{name:36} {count} occasions"


def describe_plans() -> Iterator[str]:
    for plan in PLANS.values():
        yield f"{plan.name:20} {plan.about} (5 nodes, {plan.seconds:g} s)"
    for plan in SHARD_PLANS.values():
        yield f"{plan.name:20} {plan.about} ({plan.nodes} nodes, {plan.seconds:g} s)"
