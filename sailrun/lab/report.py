"""Writes `report.html`, one self-contained file that can be opened anywhere."""

from __future__ import annotations

import io
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import jinja2
import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot

from sailrun.lab.figures import quantile
from sailrun.lab.records import read_table
from sailrun.lab.run import Summary, read_summary
from sailrun.lab.settings import SECOND

# Maximum number of lines in a load plot (of a large fleet the highest and the lowest peaks are drawn), and of
# events listed.
MAX_LINES, MAX_EVENTS = 60, 400
BEFORE, AFTER = "#c0504d", "#1f5fa8"

Columns = dict[str, list[Any]]


@dataclass(frozen=True, slots=True)
class _Run:
    """The records of one run, as read from its folder."""

    summary: Summary
    servers: Columns
    seconds: Columns
    events: Columns
    requests: Columns

    @classmethod
    def read(cls, folder: Path) -> _Run:
        tables = (read_table(folder, name) for name in ("servers", "seconds", "events", "requests"))
        return cls(read_summary(folder), *tables)


def write_report(folder: Path, before: Path | None = None) -> None:
    """Writes the report. Raises OSError if records are missing or the folder cannot be written."""
    after = _Run.read(folder)
    earlier = _Run.read(before) if before is not None else None
    environment = jinja2.Environment(loader=jinja2.PackageLoader("sailrun.lab"), autoescape=True)
    events = [row for row in _rows(after.events) if row[1] != "move"]
    page = environment.get_template("report.html").render(
        after=after.summary,
        before=earlier.summary if earlier is not None else None,
        plots=list(_plots(after, earlier)),
        events=events[:MAX_EVENTS],
        left_out=max(0, len(events) - MAX_EVENTS),
    )
    (folder / "report.html").write_text(page)


def _rows(events: Columns) -> list[tuple[float, str, int, str, str]]:
    names = ("what", "node", "server", "text")
    at_s = [us / SECOND for us in events.get("at_us", [])]
    return list(zip(at_s, *(events.get(name, []) for name in names), strict=True))


def _plots(after: _Run, before: _Run | None) -> Iterator[tuple[str, str, str]]:
    for run, label in ((before, "before"), (after, "after" if before is not None else "")):
        if run is not None:
            yield (
                f"Load of the form servers{', ' + label if label else ''}",
                "Load over the server's full capacity; dotted while it is in slow start or unavailable.",
                _loads(run),
            )
    yield (
        "The busiest form server",
        "Its load over the mean of the warm form servers. A ratio of 1.25 or less counts as even.",
        _over_time(after, before, {"imbalance": _second("imbalance")}, "times the mean", even=1.25),
    )
    yield (
        "Moves",
        "Connections moved so far for balance.",
        _over_time(after, before, {"moves": _second("moves")}, "connections"),
    )
    yield (
        "Service",
        "The value of the connections served well over the value of those wanted, by second.",
        _over_time(after, before, {"service": _service}, "share"),
    )
    yield (
        "Refused and failed",
        "Answers per second other than `served`.",
        _over_time(after, before, {"refused": _answers("refused"), "failed": _answers("failed")}, "a second"),
    )
    yield (
        "Set-up times",
        "Time from a request to its `served` answer: median and 99th percentile of each second.",
        _over_time(after, before, {"median": _set_ups(0.5), "p99": _set_ups(0.99)}, "ms"),
    )


def _second(name: str) -> Any:
    return lambda run: ([us / SECOND for us in run.seconds["at_us"]], run.seconds[name])


def _service(run: _Run) -> tuple[list[float], list[float]]:
    pairs = zip(run.seconds["served"], run.seconds["asked"], strict=True)
    return [us / SECOND for us in run.seconds["at_us"]], [s / a if a else 1.0 for s, a in pairs]


def _by_second(run: _Run, answer: str) -> dict[int, list[float]]:
    found: dict[int, list[float]] = defaultdict(list)
    columns = (run.requests.get(name, []) for name in ("at_us", "answer", "took_us"))
    for at_us, given, took_us in zip(*columns, strict=True):
        if given == answer:
            found[at_us // SECOND].append(took_us / 1000)
    return found


def _answers(answer: str) -> Any:
    def counted(run: _Run) -> tuple[list[float], list[float]]:
        found = _by_second(run, answer)
        seconds = range(int(run.seconds["at_us"][-1] / SECOND) + 1) if run.seconds else range(0)
        return [float(s) for s in seconds], [float(len(found.get(s, ()))) for s in seconds]

    return counted


def _set_ups(share: float) -> Any:
    def timed(run: _Run) -> tuple[list[float], list[float]]:
        found = sorted(_by_second(run, "served").items())
        return [float(s) for s, _ in found], [quantile(took, share) for _, took in found]

    return timed


def _loads(run: _Run) -> str:
    lines: dict[str, list[tuple[float, float, bool]]] = defaultdict(list)
    full_capacity: dict[str, float] = {}
    names = ("at_us", "server", "load", "capacity", "phase", "cold")
    for at_us, server, load, capacity, phase, cold in zip(*(run.servers[n] for n in names), strict=True):
        full_capacity[server] = max(full_capacity.get(server, 0.0), capacity)
        lines[server].append((at_us / SECOND, load, cold or phase != "up"))
    peak_load = {
        name: max(load for _, load, _ in points) / full_capacity[name] for name, points in lines.items()
    }
    drawn = sorted(lines, key=lambda name: (-peak_load[name], name))
    if len(drawn) > MAX_LINES:
        drawn = drawn[: MAX_LINES // 2] + drawn[-MAX_LINES // 2 :]
    figure, axes = pyplot.subplots(figsize=(10, 3.6))
    for name in drawn:
        points = lines[name]
        at = [second for second, _, _ in points]
        for unavailable, style in ((False, "-"), (True, ":")):
            shown = [
                load / full_capacity[name] if is_unavailable == unavailable else float("nan")
                for _, load, is_unavailable in points
            ]
            axes.plot(at, shown, style, linewidth=0.8, alpha=0.8)
    axes.set_xlabel("s")
    axes.set_ylabel("load over capacity")
    axes.set_ylim(bottom=0)
    return _svg(figure)


def _over_time(
    after: _Run, before: _Run | None, series: dict[str, Any], unit: str, even: float | None = None
) -> str:
    figure, axes = pyplot.subplots(figsize=(10, 2.8))
    for run, colour, label in ((before, BEFORE, "before"), (after, AFTER, "after")):
        if run is None:
            continue
        for n, (name, values) in enumerate(series.items()):
            at, shown = values(run)
            legend_label = f"{label}: {name}" if before is not None else name
            axes.plot(at, shown, "-" if n == 0 else "--", color=colour, linewidth=1.2, label=legend_label)
    if even is not None:
        axes.axhline(even, color="#999", linewidth=0.8)
    axes.set_xlabel("s")
    axes.set_ylabel(unit)
    axes.legend(frameon=False)
    return _svg(figure)


def _svg(figure: Any) -> str:
    """Returns the plot as SVG text for the page. The same figure gives the same text."""
    text = io.StringIO()
    with matplotlib.rc_context({"svg.hashsalt": "sailrun", "svg.fonttype": "none"}):
        figure.tight_layout()
        figure.savefig(text, format="svg", metadata={"Date": None})
    pyplot.close(figure)
    return text.getvalue().partition("?>")[2].partition(">")[2]  # without the XML prologue and doctype
