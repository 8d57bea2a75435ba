"""Runs days of the bench over several seeds with this program and with that of an earlier commit, and reports
which differences exceed the random variation.

    python -m benchmarks.panel BENCH SITE --days roll+mass,join+mass --seeds 11..14 --against REV

BENCH is the bench, the external test program `lbreal` of a panel; SITE is the settings file of the panel's
site. A day is one scenario of the bench, and its gate is the lowest share of the requests, by value, that
must be served. The two programs run one after the other on each seed, so that a change in the machine's speed
or load affects both; the earlier one has a worktree and a Python environment of its own. The program prints
each day as it ends, with any broken rule or crash; then, for each kind of day and for all days, the lowest,
mean and highest score, and the mean of the differences by seed with its confidence interval and the six worst
days. The exit status is 0 on success, 1 if the current program broke a rule, crashed, failed the gate, did
not run or has no score on any day, and 2 for invalid arguments or if the programs could not be prepared.
"""

from __future__ import annotations

import json
import math
import shutil
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import typer

# Two-sided intervals at this confidence level: the 97.5% quantiles of the t distribution by degrees of
# freedom, from 1, and that of the normal distribution for more.
CONFIDENCE_LEVEL = 0.95
T_QUANTILES_975 = (
    12.71,
    4.30,
    3.18,
    2.78,
    2.57,
    2.45,
    2.36,
    2.31,
    2.26,
    2.23,
    2.20,
    2.18,
    2.16,
    2.14,
    2.13,
    2.12,
)
NORMAL_QUANTILE_975 = 1.96


@dataclass(frozen=True, slots=True)
class DayResult:
    """The result of one day: its score as the bench counts it, and shares of the total value of the day's
    requests.
    """

    kind: str
    seed: int
    score: float
    served: float
    required_served: float  # lowest served share that passes the gate
    delayed_policy_served: float  # share served by a policy that sees the true state with a delay
    fault: str  # a broken rule, a crash, or why the day did not run; empty if there is none

    @property
    def passed(self) -> bool:
        return not self.fault and self.served >= self.required_served


def parse_report(kind: str, seed: int, report: dict[str, Any]) -> DayResult:
    """Returns the result in a report of the bench. Raises KeyError if the report has no `row`."""
    row = report["row"]
    faults = [
        f"{name}: rule broken {count} times" for name, count in (row.get("rules") or {}).items() if count
    ]
    if row.get("score") is None:
        faults.append(
            "the bench's report has no score: the machine was too busy for it"
            if not row.get("fair")
            else "the bench's report has no score"
        )
    fault = "; ".join([*([str(row["fault"])] if row.get("fault") else []), *faults])
    score, served, required_served, delayed_policy_served = (
        float(row.get(name) or 0.0) for name in ("score", "served", "served_least", "served_late")
    )
    return DayResult(kind, seed, score, served, required_served, delayed_policy_served, fault)


def run_day(
    bench: Path, site: Path, root: Path, kind: str, seed: int, nodes: int | None, logs: Path | None
) -> DayResult:
    """Runs one day with the program at `root`."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [
            str(bench),
            str(site),
            "--rough",
            kind,
            "--seed",
            str(seed),
            "--no-build",
            "--json",
            str(report),
        ]
        command += ["--nodes", str(nodes)] if nodes is not None else []
        command += ["--logs", str(logs / f"{kind}-{seed}")] if logs is not None else []
        process = subprocess.run(command, cwd=root, capture_output=True, text=True, check=False)
        try:
            return parse_report(kind, seed, json.loads(report.read_text()))
        except (OSError, ValueError, KeyError):
            message = (process.stderr.strip() or process.stdout.strip() or "no output").splitlines()[-1]
            return DayResult(kind, seed, 0.0, 0.0, 0.0, 0.0, f"did not run, no valid report: {message}")


def mean_with_interval(values: list[float]) -> tuple[float, float]:
    """Returns the mean and half the width of its confidence interval, infinite for a single value."""
    if len(values) < 2:
        return (values[0] if values else math.nan), math.inf
    degrees_of_freedom = len(values) - 1
    quantile = (
        T_QUANTILES_975[degrees_of_freedom - 1]
        if degrees_of_freedom <= len(T_QUANTILES_975)
        else NORMAL_QUANTILE_975
    )
    return statistics.fmean(values), quantile * statistics.stdev(values) / math.sqrt(len(values))


def classify_difference(mean: float, half_width: float) -> str:
    if math.isinf(half_width):
        return "a single day gives no interval"
    return (
        "better"
        if mean - half_width > 0
        else "worse"
        if mean + half_width < 0
        else "no significant difference"
    )


def format_tables(current: list[DayResult], earlier: list[DayResult]) -> Iterator[str]:
    """Yields the lines of the tables, with a row for each kind of day and one for all kinds."""
    kinds = list(dict.fromkeys(day.kind for day in current))
    headings = ("lowest", "mean", "highest", "served", "ratio")
    yield f"{'day':12} days {' '.join(f'{heading:>7}' for heading in headings)}  gate"
    for kind in [*kinds, *(["all"] if len(kinds) > 1 else [])]:
        days = [day for day in current if kind in (day.kind, "all")]
        scores = [day.score for day in days]
        lowest_ratio = min(
            (day.served / day.delayed_policy_served for day in days if day.delayed_policy_served), default=0.0
        )
        yield (
            f"{kind:12} {len(days):4} {min(scores):7.3f} {statistics.fmean(scores):7.3f} {max(scores):7.3f} "
            f"{min(day.served for day in days):7.3f} {lowest_ratio:7.3f}  "
            f"{sum(day.passed for day in days)} of {len(days)}"
        )
    if not earlier:
        return
    yield "differences by seed: mean, confidence interval and the six worst days"
    by_day = {(day.kind, day.seed): day for day in earlier}
    for kind in [*kinds, *(["all"] if len(kinds) > 1 else [])]:
        days = [day for day in current if kind in (day.kind, "all")]
        differences = sorted(
            (day.score - by_day[day.kind, day.seed].score, day.kind, day.seed) for day in days
        )
        mean, half_width = mean_with_interval([difference for difference, _, _ in differences])
        worst_days = " ".join(f"{difference:+.2f}({seed})" for difference, _, seed in differences[:6])
        yield (
            f"{kind:12} {mean:+7.3f} +- {half_width:.3f}  "
            f"{classify_difference(mean, half_width)}: {worst_days}"
        )


def create_worktree(root: Path, revision: str, folder: Path) -> Path:
    """Checks out an earlier commit and installs the requirements of the `run` command in
    deploy/balancer.toml.

    Raises CalledProcessError.
    """
    target = folder / "earlier"
    subprocess.run(["git", "worktree", "add", "-q", "--detach", str(target), revision], cwd=root, check=True)
    python, environment = root / ".venv" / "bin" / "python", target / ".venv"
    subprocess.run([str(python), "-m", "venv", str(environment)], check=True)
    subprocess.run(
        [str(environment / "bin" / "pip"), "-q", "install", "-r", "requirements.txt"], cwd=target, check=True
    )
    subprocess.run(
        [str(environment / "bin" / "python"), "-m", "compileall", "-q", "sailrun"], cwd=target, check=True
    )
    return target


def parse_seeds(text: str) -> list[int]:
    """Parses `3`, `3,8` or `11..14`. Raises ValueError."""
    first, dots, last = text.partition("..")
    return list(range(int(first), int(last) + 1)) if dots else [int(part) for part in text.split(",")]


def main(
    bench: Annotated[Path, typer.Argument(help="The panel's lbreal program.", exists=True, dir_okay=False)],
    site: Annotated[Path, typer.Argument(help="The file of the site.", exists=True, dir_okay=False)],
    days: Annotated[str, typer.Option(help="Kinds of day, separated by commas.")] = "roll+mass",
    seeds: Annotated[
        str, typer.Option(help="A range such as 11..14, or numbers separated by commas.")
    ] = "1..3",
    nodes: Annotated[
        int | None, typer.Option(help="Run smaller days, with this number of nodes.", min=2)
    ] = None,
    against: Annotated[str | None, typer.Option(help="The earlier commit to compare with.")] = None,
    jobs: Annotated[
        int, typer.Option(help="Days to run in parallel; each needs one or two cores.", min=1)
    ] = 2,
    logs: Annotated[Path | None, typer.Option(help="Folder for the nodes' logs.")] = None,
) -> None:
    """Runs days over several seeds and, with --against, the same days with an earlier commit's program."""
    try:
        cases = [(kind, seed) for seed in parse_seeds(seeds) for kind in days.split(",")]
    except ValueError:
        raise typer.BadParameter(
            f"--seeds: {seeds!r} is neither a range such as 11..14 nor numbers separated by commas"
        ) from None
    root = Path(
        subprocess.run(
            ["git", "rev-parse", "--show-toplevel"], capture_output=True, text=True, check=True
        ).stdout.strip()
    )
    bench, site = bench.resolve(), site.resolve()
    folder = Path(tempfile.mkdtemp(prefix="panel-"))
    try:
        if not (root / ".venv").exists():
            raise typer.BadParameter(
                "the working tree has no .venv folder: run the `build` command of deploy/balancer.toml first"
            )
        roots = [root]
        if against is not None:
            try:
                roots.append(create_worktree(root, against, folder))
            except subprocess.CalledProcessError as error:
                print(
                    f"--against: cannot create a worktree and environment for {against}: {error}",
                    file=sys.stderr,
                )
                raise typer.Exit(2) from None
        results: list[list[DayResult]] = [[], []]

        def run_pair(numbered_case: tuple[int, tuple[str, int]]) -> None:
            n, (kind, seed) = numbered_case
            # The two programs take turns in running first, so that neither has an advantage from it.
            for version in sorted(range(len(roots)), reverse=bool(n % 2)):
                log_folder = logs / ("now", "earlier")[version] if logs is not None else None
                day = run_day(bench, site, roots[version], kind, seed, nodes, log_folder)
                results[version].append(day)
                served_text = f"{day.served:.3f}, delayed policy {day.delayed_policy_served:.3f}"
                result_text = (
                    f"score {day.score:.3f} served {served_text}{' ' + day.fault if day.fault else ''}"
                )
                print(f"{('now', 'earlier')[version]:8} {kind:12} {seed:<14} {result_text}", flush=True)

        with ThreadPoolExecutor(jobs) as pool:
            list(pool.map(run_pair, enumerate(cases)))
        print(*format_tables(*results), sep="\n")
    finally:
        if against is not None:
            subprocess.run(
                ["git", "worktree", "remove", "--force", str(folder / "earlier")], cwd=root, check=False
            )
        shutil.rmtree(folder, ignore_errors=True)
    if not all(day.passed for day in results[0]):
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
