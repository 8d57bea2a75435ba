"""Runs one experiment for many seeds in parallel processes."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

import msgspec

from sailrun.lab.figures import quantile
from sailrun.lab.run import Request, Summary, run_experiment


class Sweep(msgspec.Struct):
    experiment: str
    against: str | None  # the subsystem that is off in `without`
    summaries: list[Summary]
    without: list[Summary]  # the same seeds with the subsystem off

    @property
    def broken(self) -> list[str]:
        return [
            f"seed {s.seed}{' without ' + self.against if n and self.against else ''}: {c.name} is "
            f"{'none' if c.value is None else format(c.value, '.4g')}, limit {c.limit:g}"
            + (f" ({c.faults[0]})" if c.faults else " (it had no occasions)" if c.occasions == 0 else "")
            # The runs of the reference policy, which sees the true state, do not have to pass the checks.
            for n, summaries in enumerate(
                (self.summaries, [] if self.against == "decisions" else self.without)
            )
            for s in summaries
            for c in s.checks
            if not c.holds
        ]

    def as_json(self) -> bytes:
        return msgspec.json.format(msgspec.json.encode(self), indent=1) + b"\n"

    def lines(self) -> Iterator[str]:
        """Yields the spread of each figure, the comparison and the broken checks."""
        yield f"{'figure':36} {'least':>12} {'median':>12} {'most':>12} {'none':>5}"
        for figure in self.summaries[0].figures if self.summaries else ():
            yield _row(figure, self.summaries)
            if self.without:
                yield _row("  without", self.without, figure)
        if self.without:
            pairs = list(zip(self.summaries, self.without, strict=True))
            if self.against == "decisions":
                ratios = [
                    (a.figures["service"] or 0.0) / max(1e-9, b.figures["service"] or 0.0) for a, b in pairs
                ]
                yield (
                    f"service over that of the delayed reference policy: least {min(ratios):.3f}, "
                    f"median {quantile(ratios, 0.5):.3f}; under half in {sum(p < 0.5 for p in ratios)}"
                )
            gains = [
                (a.figures["service_after_prices"] or 0.0) - (b.figures["service_after_prices"] or 0.0)
                for a, b in pairs
            ]
            worse = sum(1 for gain in gains if gain < 0)
            yield (
                f"service after prices, gained by {self.against}: least {min(gains):.5f}, median "
                f"{quantile(gains, 0.5):.5f}, most {max(gains):.5f}; worse in {worse} of {len(gains)}"
            )
        yield f"{len(self.broken)} checks broken in {len(self.summaries) + len(self.without)} days"
        yield from self.broken[:40]


def _row(name: str, summaries: list[Summary], figure: str | None = None) -> str:
    values = [s.figures.get(figure or name) for s in summaries]
    known = [v for v in values if v is not None]
    cells = [f"{q:12.5g}" for q in (min(known), quantile(known, 0.5), max(known))] if known else ["-"] * 3
    return f"{name:36} {' '.join(cells)} {len(values) - len(known):5}"


def _run_one(request: Request) -> Summary:
    return run_experiment(request)[0]


def sweep(
    request: Request,
    seeds: range,
    workers: int | None,
    against: str | None,
    progress: Callable[[float], None],
) -> Sweep:
    requests = [replace(request, seed=seed) for seed in seeds]
    if against is not None:
        requests += [replace(r, off=r.off | {against}) for r in requests]
    found: list[Summary] = []
    with ProcessPoolExecutor(workers or os.cpu_count()) as pool:
        for summary in pool.map(_run_one, requests):
            found.append(summary)
            progress(len(found) / len(requests))
    return Sweep(request.experiment, against, found[: len(seeds)], found[len(seeds) :])
