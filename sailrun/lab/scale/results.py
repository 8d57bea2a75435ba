"""The results of a scale run: its summary and its records, the same for both drivers."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field

from sailrun.lab.faults.history import Row
from sailrun.lab.records import Records, Table
from sailrun.lab.run import Outcome, Summary, finite
from sailrun.lab.scale.checks import (
    ended_check,
    late_check,
    longest_gap_s,
    members_known_check,
    owner_checks,
    shards_check,
)
from sailrun.lab.scale.host_messages import NodeReport
from sailrun.lab.scale.plan import ScalePlan
from sailrun.lab.scale.roles import NodeUse, role_figures
from sailrun.lab.scale.stretches import PREFIXES

EXPERIMENT = "scale"


@dataclass(slots=True)
class Convergence:
    """`seconds`: the time until every node knew every other; infinite if it never happened. `lacking`: the
    nodes that still did not when the run stopped waiting. `occasions`: the number of events that they had to
    recover from.
    """

    seconds: float
    lacking: list[str] = field(default_factory=list)
    occasions: int = 1


@dataclass(slots=True)
class Measured:
    """The measurements of a run. `late_ms`: by host, None without hosts. `processes`: 0 in virtual time.

    The times of the rows are microseconds of one clock.
    """

    begin: Convergence
    after: Convergence | None
    uses: dict[str, list[NodeUse]]
    rows: list[Row]
    begin_us: int
    end_us: int
    late_ms: dict[str, list[float]] | None = None
    ended: list[str] = field(default_factory=list)
    processes: int = 0
    figures: dict[str, float] = field(default_factory=dict)
    reports: list[NodeReport] = field(default_factory=list)  # at the end


class ScaleRecords(Records):
    """Two tables: the events (`history`), and the resource use of each node in each stretch (`uses`)."""

    def __init__(self, measured: Measured) -> None:
        super().__init__()
        self.history, self.uses = Table("history"), Table("uses")
        for row in sorted(measured.rows, key=lambda r: r["at_us"]):
            facts = {k: v for k, v in row.items() if k not in ("at_us", "node", "kind")}
            self.history.add(
                at_us=row["at_us"] - measured.begin_us,
                node=row["node"],
                kind=row["kind"],
                facts=json.dumps(facts, sort_keys=True, default=str),
            )
        for stretch, uses in measured.uses.items():
            for use in uses:
                self.uses.add(stretch=stretch, **{**asdict(use), "roles": ",".join(use.roles)})

    def tables(self) -> tuple[Table, ...]:
        return self.history, self.uses


def summary_of(plan: ScalePlan, measured: Measured, cost: dict[str, float]) -> Summary:
    figures: dict[str, float] = {"known_after_begin_s": measured.begin.seconds}
    if measured.after is not None:
        figures["known_after_fault_s"] = measured.after.seconds
    figures["longest_without_owner_s"] = longest_gap_s(measured.rows, measured.begin_us, measured.end_us)
    figures |= measured.figures
    for stretch, prefix in PREFIXES.items():
        figures |= role_figures(measured.uses.get(stretch, ()), prefix)
    return Summary(
        EXPERIMENT,
        plan.driver,
        plan.seed,
        asdict(plan),
        [],
        {name: finite(value) for name, value in figures.items()},
        _checks(plan, measured),
        cost,
    )


def _checks(plan: ScalePlan, measured: Measured) -> list[Outcome]:
    begin, after = measured.begin, measured.after
    checks = [members_known_check("all-known-after-begin-s", begin.seconds, begin.lacking, begin.occasions)]
    if after is not None:
        checks.append(
            members_known_check("all-known-after-fault-s", after.seconds, after.lacking, after.occasions)
        )
    checks += owner_checks(measured.rows, measured.begin_us, measured.end_us)
    if measured.late_ms is not None:
        checks.append(late_check(measured.late_ms))
    if plan.shards:
        checks.append(shards_check(measured.reports, plan.shards_per_region * plan.regions))
    if measured.processes:
        checks.append(ended_check(measured.ended, measured.processes))
    return checks
