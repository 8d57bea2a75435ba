"""Plays days of the bench over several seeds, beside an earlier commit's program on the same seeds, and says
what can be told apart.

    python -m benchmarks.panel BENCH SITE --days roll+mass,join+mass --seeds 11..14 --against REV

BENCH is the `lbreal` of a panel and SITE its site's file. The two programs are played in turn on each seed,
the earlier one in a worktree of its own with an environment of its own, so that a machine that grows slower
or busier meets both alike. Printed: each day as it ends, with a broken rule or a crash in words; then, for
each kind of day and for all, the least, the mean and the most, and of the differences seed by seed the mean
with its interval, worst day first. Exit status: 0; 1 if the program as it stands broke a rule, crashed or
failed the gate on any day; 2 for words that can't be used.
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

# Share of the t distribution's middle, and its quantile by degrees of freedom; above, that of the normal one.
MIDDLE = 0.95
T_95 = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13, 2.12)
NORMAL_95 = 1.96


@dataclass(frozen=True, slots=True)
class Day:
    """What came of one day; shares of the day's worth, a score as the bench counts it."""

    kind: str
    seed: int
    score: float
    served: float
    wanted: float  # what the gate wants to be served
    late: float  # what a policy serves that sees the true state late
    fault: str  # a broken rule, a crash, or that the day could not be played; empty: none

    @property
    def passes(self) -> bool:
        return not self.fault and self.served >= self.wanted


def read_day(kind: str, seed: int, report: dict[str, Any]) -> Day:
    """A day as the bench's report has it. Raises KeyError for a report that is none."""
    row = report["row"]
    broken = [f"{name} broken {count} times" for name, count in (row.get("rules") or {}).items() if count]
    if row.get("score") is None:
        broken.append("no score: the machine was too busy for it" if not row.get("fair") else "no score")
    fault = "; ".join([*([str(row["fault"])] if row.get("fault") else []), *broken])
    score, served, wanted, late = (
        float(row.get(name) or 0.0) for name in ("score", "served", "served_least", "served_late")
    )
    return Day(kind, seed, score, served, wanted, late, fault)


def play(
    bench: Path, site: Path, root: Path, kind: str, seed: int, nodes: int | None, logs: Path | None
) -> Day:
    """Plays one day with the program at `root`."""
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
        done = subprocess.run(command, cwd=root, capture_output=True, text=True, check=False)
        try:
            return read_day(kind, seed, json.loads(report.read_text()))
        except (OSError, ValueError, KeyError):
            told = (done.stderr.strip() or done.stdout.strip() or "no word").splitlines()[-1]
            return Day(kind, seed, 0.0, 0.0, 0.0, 0.0, f"not played: {told}")


def mean_with_interval(values: list[float]) -> tuple[float, float]:
    """The mean, and half the width of its interval; infinite for a single value."""
    if len(values) < 2:
        return (values[0] if values else math.nan), math.inf
    free = len(values) - 1
    quantile = T_95[free - 1] if free <= len(T_95) else NORMAL_95
    return statistics.fmean(values), quantile * statistics.stdev(values) / math.sqrt(len(values))


def verdict(mean: float, half: float) -> str:
    if math.isinf(half):
        return "one day says nothing"
    return "better" if mean - half > 0 else "worse" if mean + half < 0 else "can't be told apart"


def lines(now: list[Day], before: list[Day]) -> Iterator[str]:
    """The tables: of each kind and of all."""
    kinds = list(dict.fromkeys(d.kind for d in now))
    heads = ("least", "mean", "most", "served", "of late")
    yield f"{'day':12} days {' '.join(f'{head:>7}' for head in heads)}  gate"
    for kind in [*kinds, *(["all"] if len(kinds) > 1 else [])]:
        days = [d for d in now if kind in (d.kind, "all")]
        scores = [d.score for d in days]
        of_late = min((d.served / d.late for d in days if d.late), default=0.0)
        yield (
            f"{kind:12} {len(days):4} {min(scores):7.3f} {statistics.fmean(scores):7.3f} {max(scores):7.3f} "
            f"{min(d.served for d in days):7.3f} {of_late:7.3f}  {sum(d.passes for d in days)} of {len(days)}"
        )
    if not before:
        return
    yield "differences, day by day: mean and interval, from the worst to the best"
    by_day = {(d.kind, d.seed): d for d in before}
    for kind in [*kinds, *(["all"] if len(kinds) > 1 else [])]:
        days = [d for d in now if kind in (d.kind, "all")]
        gains = sorted((d.score - by_day[d.kind, d.seed].score, d.kind, d.seed) for d in days)
        mean, half = mean_with_interval([gain for gain, _, _ in gains])
        each = " ".join(f"{gain:+.2f}({seed})" for gain, _, seed in gains[:6])
        yield f"{kind:12} {mean:+7.3f} +- {half:.3f}  {verdict(mean, half)}: {each}"


def worktree(root: Path, revision: str, folder: Path) -> Path:
    """The program at an earlier commit, with all that its `run` needs. Raises CalledProcessError."""
    at = folder / "earlier"
    subprocess.run(["git", "worktree", "add", "-q", "--detach", str(at), revision], cwd=root, check=True)
    python, environment = root / ".venv" / "bin" / "python", at / ".venv"
    subprocess.run([str(python), "-m", "venv", str(environment)], check=True)
    subprocess.run(
        [str(environment / "bin" / "pip"), "-q", "install", "-r", "requirements.txt"], cwd=at, check=True
    )
    subprocess.run(
        [str(environment / "bin" / "python"), "-m", "compileall", "-q", "sailrun"], cwd=at, check=True
    )
    return at


def seeds_of(text: str) -> list[int]:
    """`3`, `3,8` or `11..14`. Raises ValueError."""
    first, dots, last = text.partition("..")
    return list(range(int(first), int(last) + 1)) if dots else [int(part) for part in text.split(",")]


def main(
    bench: Annotated[Path, typer.Argument(help="The panel's own lbreal.", exists=True, dir_okay=False)],
    site: Annotated[Path, typer.Argument(help="The site's file.", exists=True, dir_okay=False)],
    days: Annotated[str, typer.Option(help="Kinds of day, with commas.")] = "roll+mass",
    seeds: Annotated[str, typer.Option(help="A range as 11..14, or numbers with commas.")] = "1..3",
    nodes: Annotated[int | None, typer.Option(help="Play smaller days, of so many nodes.", min=2)] = None,
    against: Annotated[str | None, typer.Option(help="The earlier commit.")] = None,
    jobs: Annotated[int, typer.Option(help="Days side by side; each needs a core or two.", min=1)] = 2,
    logs: Annotated[Path | None, typer.Option(help="Keep the nodes' logs in this folder.")] = None,
) -> None:
    """Plays days over several seeds, paired with an earlier commit's program."""
    try:
        wanted = [(kind, seed) for seed in seeds_of(seeds) for kind in days.split(",")]
    except ValueError:
        raise typer.BadParameter(f"--seeds: {seeds!r} is neither a range nor numbers with commas") from None
    root = Path(
        subprocess.run(
            ["git", "rev-parse", "--show-toplevel"], capture_output=True, text=True, check=True
        ).stdout.strip()
    )
    bench, site = bench.resolve(), site.resolve()
    folder = Path(tempfile.mkdtemp(prefix="panel-"))
    try:
        if not (root / ".venv").exists():
            raise typer.BadParameter("the program is not built: run the deploy file's build first")
        roots = [root]
        if against is not None:
            try:
                roots.append(worktree(root, against, folder))
            except subprocess.CalledProcessError as error:
                print(f"--against: {against}: {error}", file=sys.stderr)
                raise typer.Exit(2) from None
        found: list[list[Day]] = [[], []]

        def one(order: tuple[int, tuple[str, int]]) -> None:
            n, (kind, seed) = order
            # Which of the two goes first changes from day to day.
            for which in sorted(range(len(roots)), reverse=bool(n % 2)):
                kept = logs / ("now", "earlier")[which] if logs is not None else None
                day = play(bench, site, roots[which], kind, seed, nodes, kept)
                found[which].append(day)
                late = f"{day.served:.3f} of {day.late:.3f}"
                told = f"score {day.score:.3f} served {late}{' ' + day.fault if day.fault else ''}"
                print(f"{('now', 'earlier')[which]:8} {kind:12} {seed:<14} {told}", flush=True)

        with ThreadPoolExecutor(jobs) as pool:
            list(pool.map(one, enumerate(wanted)))
        print(*lines(*found), sep="\n")
    finally:
        if against is not None:
            subprocess.run(
                ["git", "worktree", "remove", "--force", str(folder / "earlier")], cwd=root, check=False
            )
        shutil.rmtree(folder, ignore_errors=True)
    if not all(day.passes for day in found[0]):
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
