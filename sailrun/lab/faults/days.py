"""Days of faults as the laboratory's commands have them: summaries, records, sweeps over processes."""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from dataclasses import replace

from sailrun.lab.faults.history import Row
from sailrun.lab.faults.nemesis import PLANS
from sailrun.lab.faults.play import FaultDay, Played, play_real, play_virtual
from sailrun.lab.faults.shard_days import play_shards_real, play_shards_virtual
from sailrun.lab.faults.shard_plans import SHARD_PLANS
from sailrun.lab.records import Records, Table
from sailrun.lab.run import Outcome, Summary, finite
from sailrun.lab.sweep import Sweep

Driver = Callable[[FaultDay, Callable[[float], None]], Played]
DRIVERS: dict[str, Driver] = {"virtual": play_virtual, "sockets": play_real}
SHARD_DRIVERS: dict[str, Driver] = {"virtual": play_shards_virtual, "sockets": play_shards_real}
# Days on real processes side by side: each has up to fifteen of them.
REAL_AT_ONCE = 4


class History(Records):
    """One table: what every process did and what the nemesis did, in the order of its time."""

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


def play_day(
    day: FaultDay, driver: str, told: Callable[[float], None] = lambda share: None
) -> tuple[Summary, History]:
    began_s = time.monotonic()
    drivers = SHARD_DRIVERS if day.plan in SHARD_PLANS else DRIVERS
    played = drivers[driver](day, told)
    begin_us = min((row["at_us"] for row in played.rows), default=0)
    summary = Summary(
        day.plan,
        driver,
        day.seed,
        {"nodes": day.nodes, "seconds": played.seconds},
        sorted(day.off),
        {name: finite(value) for name, value in played.figures.items()},
        [Outcome(c.name, c.value, c.limit, c.holds, c.faults, c.occasions) for c in played.checks],
        {"wall_s": round(time.monotonic() - began_s, 2)},
    )
    return summary, History(played.rows, begin_us)


def _summary(asked: tuple[FaultDay, str]) -> Summary:
    return play_day(*asked)[0]


def sweep_days(
    day: FaultDay, driver: str, seeds: list[int], workers: int | None, told: Callable[[float], None]
) -> Sweep:
    """The same day with many seeds. Real ones wait most of the time: they are played by threads."""
    asked = [(replace(day, seed=seed), driver) for seed in seeds]
    real = driver == "sockets"
    pool = (
        ThreadPoolExecutor(workers or REAL_AT_ONCE)
        if real
        else ProcessPoolExecutor(workers or os.cpu_count())
    )
    found: list[Summary] = []
    with pool:
        for summary in pool.map(_summary, asked):
            found.append(summary)
            told(len(found) / len(asked))
    return Sweep(day.plan, None, found, [])


def occasions(sweep: Sweep) -> Iterator[str]:
    """How often each check of a sweep had something to look at."""
    totals: dict[str, int] = {}
    for summary in sweep.summaries:
        for check in summary.checks:
            totals[check.name] = totals.get(check.name, 0) + (check.occasions or 0)
    for name, count in totals.items():
        yield f"{name:36} {count} occasions"


def about() -> Iterator[str]:
    for plan in PLANS.values():
        yield f"{plan.name:20} {plan.about} (5 nodes, {plan.seconds:g} s)"
    for plan in SHARD_PLANS.values():
        yield f"{plan.name:20} {plan.about} ({plan.nodes} nodes, {plan.seconds:g} s)"
