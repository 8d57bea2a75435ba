"""`sailrun lab`: experiments from the command line. Libraries are loaded only once one is run."""

from __future__ import annotations

import sys
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

if TYPE_CHECKING:
    from sailrun.lab.faults.play import FaultDay
    from sailrun.lab.run import Request, Summary

app = typer.Typer(help="Try real nodes in a world of stand-ins, and see what a change does.")

OutOption = Annotated[Path, typer.Option(help="The folder for the records, the summary and the report.")]


DRIVERS = ("virtual", "sockets")
SCALE = "scale"
SCALE_RANGES = {"nodes": (0, 1_000), "hollow": (0, 100_000), "seconds": (1, 3_600), "shards": (0, 1_000_000)}


def _complain(error: object) -> typer.Exit:
    print(f"sailrun: {error}", file=sys.stderr)
    return typer.Exit(2)


def _request(experiment: str, off: list[str] | None, **asked: Any) -> Request:
    from sailrun.lab.experiments import EXPERIMENTS
    from sailrun.lab.run import SUBSYSTEMS, Request

    if experiment not in EXPERIMENTS:
        raise _complain(f"NAME: '{experiment}' is none of {', '.join(EXPERIMENTS)}")
    for name in off or ():
        if name not in SUBSYSTEMS:
            raise _complain(f"--off: '{name}' is none of {', '.join(SUBSYSTEMS)}")
    ranges: dict[str, tuple[float, float]] = {
        "form_servers": (2, 10_000),
        "nodes": (1, 1_000),
        "households": (1, 10_000_000),
    }
    ranges |= {"seconds": (1, 86_400), "utilization": (0, 1), "datagrams_lost": (0, 1)}
    for option, (least, most) in ranges.items():
        value = asked.get(option)
        if value is not None and not least <= value <= most:
            raise _complain(f"--{option.replace('_', '-')}: {value} is not from {least} to {most}")
    if asked.get("utilization") == 0:
        raise _complain("--utilization: 0 would be nobody at all")
    asked["driver"] = asked.get("driver") or EXPERIMENTS[experiment].driver
    return Request(experiment, off=frozenset(off or ()), **asked)


@app.command("list")
def list_() -> None:
    """The experiments, and what happens in each."""
    from sailrun.lab.experiments import EXPERIMENTS

    for experiment in EXPERIMENTS.values():
        terms = experiment.world()
        size = f"{terms.form_servers} form servers, {terms.nodes} nodes, {terms.households} households"
        print(f"{experiment.name:20} {experiment.about} ({size}, {terms.seconds:g} s)")
    from sailrun.lab.faults.days import about

    for line in about():
        print(line)
    print(f"{SCALE:20} real processes and many hollow nodes: what each role uses (3 nodes, 60 hollow, 30 s)")


def _run_scale(out: Path, driver: str | None, faults: str | None, **sizes: Any) -> None:
    """Refuses a run that does not fit before anything is started."""
    from sailrun.lab.run import write
    from sailrun.lab.scale.command import play_scale
    from sailrun.lab.scale.plan import FAULTS, DoesNotFit, ScalePlan

    for option, value, known in (("driver", driver, DRIVERS), ("faults", faults, FAULTS)):
        if value is not None and value not in known:
            raise _complain(f"--{option}: '{value}' is none of {', '.join(known)}")
    for option, (least, most) in SCALE_RANGES.items():
        value = sizes[option]
        if value is not None and not least <= value <= most:
            raise _complain(f"--{option}: {value:g} is not from {least} to {most}")
    asked = {"driver": driver, "faults": faults, **sizes}
    plan = ScalePlan(**{option: value for option, value in asked.items() if value is not None})
    try:
        with _progress(SCALE) as told:
            summary, records = play_scale(plan, told)
        write(out, summary, records)
    except DoesNotFit as error:
        raise _complain(f"{SCALE}: {error}") from None
    except OSError as error:
        raise _complain(f"{out}: {error.strerror or error}") from None
    _show_scale(summary)
    print(f"records: {out / 'history.parquet'}, {out / 'uses.parquet'}")
    raise typer.Exit(0 if summary.holds else 1)


def _fault_day(name: str, off: list[str] | None, nodes: int | None, seconds: float | None) -> FaultDay | None:
    """A day of faults among owners, where that is what was asked for."""
    from sailrun.lab.faults.nemesis import PLANS
    from sailrun.lab.faults.play import NODES, RULES, FaultDay
    from sailrun.lab.faults.shard_plans import SHARD_PLANS
    from sailrun.lab.faults.shard_world import FEWEST_NODES

    if name not in PLANS and name not in SHARD_PLANS:
        return None
    least, usual = (FEWEST_NODES, SHARD_PLANS[name].nodes) if name in SHARD_PLANS else (3, NODES)
    for rule in off or ():
        if rule not in RULES:
            raise _complain(f"--off: '{rule}' is none of {', '.join(RULES)}")
    if nodes is not None and not least <= nodes <= 1_000:
        raise _complain(f"--nodes: {nodes} is not from {least} to 1000")
    if seconds is not None and not 20 <= seconds <= 3_600:
        raise _complain(f"--seconds: {seconds:g} is not from 20 to 3600")
    return FaultDay(name, 1, nodes or usual, seconds, frozenset(off or ()))


def _check_driver(day: FaultDay, driver: str) -> None:
    from sailrun.lab.faults.rig import MOST_NODES

    if driver not in DRIVERS:
        raise _complain(f"--driver: '{driver}' is none of {', '.join(DRIVERS)}")
    if driver == "sockets" and day.nodes > MOST_NODES:
        raise _complain(f"--nodes: {day.nodes} are more than {MOST_NODES}, as many as real processes can be")
    if driver == "sockets" and day.off:
        raise _complain("--off: a real process keeps all its rules; they are switched off in virtual time")


def _run_faults(day: FaultDay, driver: str, out: Path) -> None:
    from sailrun.lab.faults.days import play_day
    from sailrun.lab.run import write

    _check_driver(day, driver)
    try:
        with _progress(day.plan) as told:
            summary, history = play_day(day, driver, told)
        write(out, summary, history)
    except OSError as error:
        raise _complain(f"{out}: {error.strerror or error}") from None
    _show(summary)
    print(f"records: {out / 'history.parquet'}")
    raise typer.Exit(0 if summary.holds else 1)


def _sweep_faults(
    day: FaultDay, driver: str, seeds: list[int], out: Path | None, workers: int | None
) -> None:
    from sailrun.lab.faults.days import occasions, sweep_days

    _check_driver(day, driver)
    with _progress(day.plan) as told:
        result = sweep_days(day, driver, seeds, workers, told)
    try:
        if out is not None:
            out.mkdir(parents=True, exist_ok=True)
            (out / "sweep.json").write_bytes(result.as_json())
    except OSError as error:
        raise _complain(f"{out}: {error.strerror or error}") from None
    for line in (*result.lines(), *occasions(result)):
        print(line)
    raise typer.Exit(0 if not result.broken else 1)


FormServers = Annotated[int | None, typer.Option(help="How many form servers there are.")]
Nodes = Annotated[int | None, typer.Option(help="How many nodes there are.")]
HouseholdsOption = Annotated[int | None, typer.Option(help="Households standing at any time.")]
Seconds = Annotated[float | None, typer.Option(help="How long the day is.")]
Utilization = Annotated[float | None, typer.Option(help="The warm fleet's, by what stands; 0 to 1.")]
Lost = Annotated[float | None, typer.Option(help="Share of the nodes' datagrams that is lost.")]
Off = Annotated[list[str] | None, typer.Option(help="A subsystem that is left switched off.")]
Driver = Annotated[str | None, typer.Option(help="virtual: simulated time; sockets: real processes.")]
Terms = Annotated[Path | None, typer.Option(help="An operator's file whose terms the nodes get.")]


@app.command("run")
def run(
    name: str,
    out: OutOption,
    driver: Driver = None,
    seed: Annotated[int, typer.Option(help="The same seed gives the same records.")] = 1,
    form_servers: FormServers = None,
    nodes: Nodes = None,
    households: HouseholdsOption = None,
    seconds: Seconds = None,
    utilization: Utilization = None,
    datagrams_lost: Lost = None,
    off: Off = None,
    operator: Terms = None,
    hollow: Annotated[int | None, typer.Option(help="Of `scale`: how many hollow nodes there are.")] = None,
    faults: Annotated[
        str | None, typer.Option(help="Of `scale`: rest, hosts, rack, zone, cut, roll or begin.")
    ] = None,
    shards: Annotated[
        int | None, typer.Option(help="Of `scale`: how many shards all regions have; 0: none are owned.")
    ] = None,
) -> None:
    """Play one experiment. Exit 0 if every check holds, 1 if one does not."""
    if name == SCALE:
        sizes = {"nodes": nodes, "hollow": hollow, "seed": seed, "seconds": seconds, "shards": shards}
        _run_scale(out, driver, faults, **sizes)
    for option, value in (("hollow", hollow), ("faults", faults), ("shards", shards)):
        if value is not None:
            raise _complain(f"--{option}: only '{SCALE}' takes it")
    if (day := _fault_day(name, off, nodes, seconds)) is not None:
        _run_faults(replace(day, seed=seed), driver or "virtual", out)
    request = _request(
        name,
        off,
        driver=driver,
        seed=seed,
        form_servers=form_servers,
        nodes=nodes,
        households=households,
        seconds=seconds,
        utilization=utilization,
        datagrams_lost=datagrams_lost,
        rebalance=_operators(operator),
    )
    if request.driver not in DRIVERS:
        raise _complain(f"--driver: '{driver}' is none of {', '.join(DRIVERS)}")
    from sailrun.lab.experiments import EXPERIMENTS

    if request.driver not in EXPERIMENTS[name].drivers:
        raise _complain(f"--driver: '{name}' is played by {', '.join(EXPERIMENTS[name].drivers)} only")
    from sailrun.lab.report import write_report
    from sailrun.lab.run import play, write

    try:
        with _progress(name) as told:
            summary, records = play(request, told)
        write(out, summary, records)
        write_report(out)
    except OSError as error:
        raise _complain(f"{out}: {error.strerror or error}") from None
    _show(summary)
    print(f"report: {out / 'report.html'}")
    raise typer.Exit(0 if summary.holds else 1)


def _operators(path: Path | None) -> Any:
    if path is None:
        return None
    from sailrun.errors import ConfigError
    from sailrun.operator_settings import read_operator

    try:
        return read_operator(path).rebalance
    except ConfigError as error:
        raise _complain(error) from None


def _progress(name: str) -> Any:
    """A context that takes the share done; a bar where there is a terminal, nothing elsewhere."""
    from contextlib import contextmanager

    @contextmanager
    def shown() -> Any:
        if not sys.stderr.isatty():
            yield lambda share: None
            return
        from rich.console import Console
        from rich.progress import Progress

        with Progress(console=Console(stderr=True)) as bar:
            task = bar.add_task(name, total=1.0)
            yield lambda share: bar.update(task, completed=share)

    return shown()


def _show(summary: Summary) -> None:
    _show_figures(summary.figures)
    _show_checks(summary)


def _show_scale(summary: Summary) -> None:
    """Figures by role as a table."""
    from sailrun.lab.scale.role_table import is_role_figure, role_lines

    _show_figures({name: value for name, value in summary.figures.items() if not is_role_figure(name)})
    for line in role_lines(summary.figures):
        print(line)
    _show_checks(summary)


def _show_figures(figures: dict[str, float | None]) -> None:
    for figure, value in figures.items():
        print(f"{figure:36} {'-' if value is None else format(value, '.6g')}")


def _show_checks(summary: Summary) -> None:
    for figure, cost in summary.cost.items():
        print(f"{figure:36} {cost:g}")
    for check in summary.checks:
        shown = "none" if check.value is None else format(check.value, ".6g")
        seen = "" if check.occasions is None else f", {check.occasions} occasions"
        word = "holds " if check.holds else "BROKEN"
        print(f"{word} {check.name}: {shown} (limit {check.limit:g}{seen})")
        for fault in check.faults[:5]:
            print(f"       {fault}")


@app.command("compare")
def compare(before: Path, after: Path) -> None:
    """Two runs side by side, figure by figure; `report.html` of the second shows both."""
    import msgspec

    from sailrun.lab.report import write_report
    from sailrun.lab.run import read_summary

    try:
        one, two = read_summary(before), read_summary(after)
        write_report(after, before)
    except OSError as error:
        raise _complain(f"{error.filename or after}: {error.strerror or error}") from None
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise _complain(f"summary.json: {error}") from None
    print(f"{'':36} {before.name:>14} {after.name:>14}")
    for figure in {**one.figures, **two.figures}:
        values = [s.figures.get(figure) for s in (one, two)]
        print(f"{figure:36} " + " ".join(f"{'-' if v is None else format(v, '.6g'):>14}" for v in values))


@app.command("sweep")
def sweep(
    name: str,
    seeds: Annotated[str, typer.Option(help="The first and the last seed, as 1..200.")],
    out: Annotated[Path | None, typer.Option(help="A folder for `sweep.json`.")] = None,
    workers: Annotated[int | None, typer.Option(help="Processes side by side.")] = None,
    form_servers: FormServers = None,
    nodes: Nodes = None,
    households: HouseholdsOption = None,
    seconds: Seconds = None,
    utilization: Utilization = None,
    datagrams_lost: Lost = None,
    off: Off = None,
    driver: Driver = None,
    against: Annotated[str | None, typer.Option(help="A subsystem: every seed also without it.")] = None,
    operator: Terms = None,
) -> None:
    """Play an experiment for many seeds. Exit 0 if every check of every seed holds."""
    from sailrun.lab.sweep import sweep as play_all

    first, dots, last = seeds.partition("..")
    if not dots or not (first.isdigit() and last.isdigit()) or int(first) > int(last):
        raise _complain(f"--seeds: '{seeds}' is no range such as 1..200")
    if (day := _fault_day(name, off, nodes, seconds)) is not None:
        _sweep_faults(day, driver or "virtual", list(range(int(first), int(last) + 1)), out, workers)
    if driver not in (None, "virtual"):
        raise _complain(f"--driver: '{name}' is swept in virtual time only")
    request = _request(
        name,
        off,
        form_servers=form_servers,
        nodes=nodes,
        households=households,
        seconds=seconds,
        utilization=utilization,
        datagrams_lost=datagrams_lost,
        rebalance=_operators(operator),
    )
    if against is not None:
        _request(name, [against])  # is it one?
    try:
        with _progress(name) as told:
            result = play_all(request, range(int(first), int(last) + 1), workers, against, told)
        if out is not None:
            out.mkdir(parents=True, exist_ok=True)
            (out / "sweep.json").write_bytes(result.as_json())
    except OSError as error:
        raise _complain(f"{out}: {error.strerror or error}") from None
    for line in result.lines():
        print(line)
    raise typer.Exit(0 if not result.broken else 1)
