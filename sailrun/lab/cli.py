"""`sailrun lab`: experiments from the command line. Large libraries are imported only when a command runs."""

from __future__ import annotations

import sys
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

if TYPE_CHECKING:
    from sailrun.lab.faults.runs import FaultRun
    from sailrun.lab.run import Request, Summary

app = typer.Typer(help="Run real nodes against stand-ins and measure the effect of a change.")

OutOption = Annotated[Path, typer.Option(help="The folder for the records, the summary and the report.")]


DRIVERS = ("virtual", "sockets")
SCALE = "scale"
# Lowest and highest allowed values of the options of `scale`.
SCALE_RANGES = {"nodes": (0, 1_000), "hollow": (0, 100_000), "seconds": (1, 3_600), "shards": (0, 1_000_000)}


def _usage_error(error: object) -> typer.Exit:
    print(f"sailrun: {error}", file=sys.stderr)
    return typer.Exit(2)


def _request(experiment: str, off: list[str] | None, **options: Any) -> Request:
    from sailrun.lab.experiments import EXPERIMENTS
    from sailrun.lab.run import SUBSYSTEMS, Request

    if experiment not in EXPERIMENTS:
        raise _usage_error(f"NAME: '{experiment}' is none of {', '.join(EXPERIMENTS)}")
    for name in off or ():
        if name not in SUBSYSTEMS:
            raise _usage_error(f"--off: '{name}' is none of {', '.join(SUBSYSTEMS)}")
    ranges: dict[str, tuple[float, float]] = {
        "form_servers": (2, 10_000),
        "nodes": (1, 1_000),
        "households": (1, 10_000_000),
    }
    ranges |= {"seconds": (1, 86_400), "utilization": (0, 1), "datagrams_lost": (0, 1)}
    for option, (lowest, highest) in ranges.items():
        value = options.get(option)
        if value is not None and not lowest <= value <= highest:
            raise _usage_error(f"--{option.replace('_', '-')}: {value} is not from {lowest} to {highest}")
    if options.get("utilization") == 0:
        raise _usage_error("--utilization: 0 means no clients; expected a value above 0 and up to 1")
    options["driver"] = options.get("driver") or EXPERIMENTS[experiment].driver
    return Request(experiment, off=frozenset(off or ()), **options)


@app.command("list")
def list_() -> None:
    """List the experiments and what happens in each."""
    from sailrun.lab.experiments import EXPERIMENTS

    for experiment in EXPERIMENTS.values():
        settings = experiment.world()
        size = (
            f"{settings.form_servers} form servers, {settings.nodes} nodes, {settings.households} households"
        )
        print(f"{experiment.name:20} {experiment.about} ({size}, {settings.seconds:g} s)")
    from sailrun.lab.faults.commands import describe_plans

    for line in describe_plans():
        print(line)
    print(f"{SCALE:20} real processes and many hollow nodes: what each role uses (3 nodes, 60 hollow, 30 s)")


def _run_scale(out: Path, driver: str | None, faults: str | None, **sizes: Any) -> None:
    """Runs the scale experiment. A plan that does not fit is rejected before anything is started."""
    from sailrun.lab.run import write
    from sailrun.lab.scale.command import run_scale
    from sailrun.lab.scale.plan import FAULTS, DoesNotFit, ScalePlan

    for option, value, allowed in (("driver", driver, DRIVERS), ("faults", faults, FAULTS)):
        if value is not None and value not in allowed:
            raise _usage_error(f"--{option}: '{value}' is none of {', '.join(allowed)}")
    for option, (lowest, highest) in SCALE_RANGES.items():
        value = sizes[option]
        if value is not None and not lowest <= value <= highest:
            raise _usage_error(f"--{option}: {value:g} is not from {lowest} to {highest}")
    options = {"driver": driver, "faults": faults, **sizes}
    plan = ScalePlan(**{option: value for option, value in options.items() if value is not None})
    try:
        with _progress(SCALE) as report_progress:
            summary, records = run_scale(plan, report_progress)
        write(out, summary, records)
    except DoesNotFit as error:
        raise _usage_error(f"{SCALE}: {error}") from None
    except OSError as error:
        raise _usage_error(f"{out}: {error.strerror or error}") from None
    _show_scale(summary)
    print(f"records: {out / 'history.parquet'}, {out / 'uses.parquet'}")
    raise typer.Exit(0 if summary.holds else 1)


def _fault_run(name: str, off: list[str] | None, nodes: int | None, seconds: float | None) -> FaultRun | None:
    """Returns the fault run of this name, or None if the name is not that of a fault plan."""
    from sailrun.lab.faults.nemesis import PLANS
    from sailrun.lab.faults.runs import NODES, SAFETY_RULES, FaultRun
    from sailrun.lab.faults.shard_plans import SHARD_PLANS
    from sailrun.lab.faults.shard_world import MIN_NODES

    if name not in PLANS and name not in SHARD_PLANS:
        return None
    lowest, default_nodes = (MIN_NODES, SHARD_PLANS[name].nodes) if name in SHARD_PLANS else (3, NODES)
    for rule in off or ():
        if rule not in SAFETY_RULES:
            raise _usage_error(f"--off: '{rule}' is none of {', '.join(SAFETY_RULES)}")
    if nodes is not None and not lowest <= nodes <= 1_000:
        raise _usage_error(f"--nodes: {nodes} is not from {lowest} to 1000")
    if seconds is not None and not 20 <= seconds <= 3_600:
        raise _usage_error(f"--seconds: {seconds:g} is not from 20 to 3600")
    return FaultRun(name, 1, nodes or default_nodes, seconds, frozenset(off or ()))


def _check_driver(fault_run: FaultRun, driver: str) -> None:
    from sailrun.lab.faults.rig import MAX_NODES

    if driver not in DRIVERS:
        raise _usage_error(f"--driver: '{driver}' is none of {', '.join(DRIVERS)}")
    if driver == "sockets" and fault_run.nodes > MAX_NODES:
        raise _usage_error(
            f"--nodes: {fault_run.nodes} is more than {MAX_NODES}, the limit for real processes"
        )
    if driver == "sockets" and fault_run.off:
        raise _usage_error(
            "--off: rules can be switched off only with --driver virtual, not in real processes"
        )


def _run_faults(fault_run: FaultRun, driver: str, out: Path) -> None:
    from sailrun.lab.faults.commands import run_plan
    from sailrun.lab.run import write

    _check_driver(fault_run, driver)
    try:
        with _progress(fault_run.plan) as report_progress:
            summary, history = run_plan(fault_run, driver, report_progress)
        write(out, summary, history)
    except OSError as error:
        raise _usage_error(f"{out}: {error.strerror or error}") from None
    _show(summary)
    print(f"records: {out / 'history.parquet'}")
    raise typer.Exit(0 if summary.holds else 1)


def _sweep_faults(
    fault_run: FaultRun, driver: str, seeds: list[int], out: Path | None, workers: int | None
) -> None:
    from sailrun.lab.faults.commands import describe_occasions, sweep_seeds

    _check_driver(fault_run, driver)
    with _progress(fault_run.plan) as report_progress:
        result = sweep_seeds(fault_run, driver, seeds, workers, report_progress)
    try:
        if out is not None:
            out.mkdir(parents=True, exist_ok=True)
            (out / "sweep.json").write_bytes(result.as_json())
    except OSError as error:
        raise _usage_error(f"{out}: {error.strerror or error}") from None
    for line in (*result.lines(), *describe_occasions(result)):
        print(line)
    raise typer.Exit(0 if not result.broken else 1)


FormServers = Annotated[int | None, typer.Option(help="Number of form servers.")]
Nodes = Annotated[int | None, typer.Option(help="Number of nodes.")]
HouseholdsOption = Annotated[int | None, typer.Option(help="Households connected at any time.")]
Seconds = Annotated[float | None, typer.Option(help="Length of the run in seconds.")]
Utilization = Annotated[float | None, typer.Option(help="Load over the warm fleet's capacity, 0 to 1.")]
Lost = Annotated[float | None, typer.Option(help="Share of the nodes' datagrams that is lost.")]
Off = Annotated[list[str] | None, typer.Option(help="A subsystem to switch off.")]
Driver = Annotated[str | None, typer.Option(help="virtual: simulated time; sockets: real processes.")]
OperatorOption = Annotated[Path | None, typer.Option(help="An operator settings file for the nodes.")]


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
    operator: OperatorOption = None,
    hollow: Annotated[int | None, typer.Option(help="`scale` only: number of hollow nodes.")] = None,
    faults: Annotated[
        str | None, typer.Option(help="`scale` only: rest, hosts, rack, zone, cut, roll or begin.")
    ] = None,
    shards: Annotated[
        int | None, typer.Option(help="`scale` only: number of shards of all regions; 0: no shard is owned.")
    ] = None,
) -> None:
    """Run one experiment. Exit with 0 if every check holds, with 1 if one does not."""
    if name == SCALE:
        sizes = {"nodes": nodes, "hollow": hollow, "seed": seed, "seconds": seconds, "shards": shards}
        _run_scale(out, driver, faults, **sizes)
    for option, value in (("hollow", hollow), ("faults", faults), ("shards", shards)):
        if value is not None:
            raise _usage_error(f"--{option}: only '{SCALE}' takes it")
    if (fault_run := _fault_run(name, off, nodes, seconds)) is not None:
        _run_faults(replace(fault_run, seed=seed), driver or "virtual", out)
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
        rebalance=_rebalance_settings(operator),
    )
    if request.driver not in DRIVERS:
        raise _usage_error(f"--driver: '{driver}' is none of {', '.join(DRIVERS)}")
    from sailrun.lab.experiments import EXPERIMENTS

    if request.driver not in EXPERIMENTS[name].drivers:
        raise _usage_error(f"--driver: '{name}' runs with {', '.join(EXPERIMENTS[name].drivers)} only")
    from sailrun.lab.report import write_report
    from sailrun.lab.run import run_experiment, write

    try:
        with _progress(name) as report_progress:
            summary, records = run_experiment(request, report_progress)
        write(out, summary, records)
        write_report(out)
    except OSError as error:
        raise _usage_error(f"{out}: {error.strerror or error}") from None
    _show(summary)
    print(f"report: {out / 'report.html'}")
    raise typer.Exit(0 if summary.holds else 1)


def _rebalance_settings(path: Path | None) -> Any:
    if path is None:
        return None
    from sailrun.errors import ConfigError
    from sailrun.operator_settings import read_operator

    try:
        return read_operator(path).rebalance
    except ConfigError as error:
        raise _usage_error(error) from None


def _progress(name: str) -> Any:
    """Returns a context whose callback takes the share done. It shows a progress bar on a terminal only."""
    from contextlib import contextmanager

    @contextmanager
    def progress_context() -> Any:
        if not sys.stderr.isatty():
            yield lambda share: None
            return
        from rich.console import Console
        from rich.progress import Progress

        with Progress(console=Console(stderr=True)) as bar:
            task = bar.add_task(name, total=1.0)
            yield lambda share: bar.update(task, completed=share)

    return progress_context()


def _show(summary: Summary) -> None:
    _show_figures(summary.figures)
    _show_checks(summary)


def _show_scale(summary: Summary) -> None:
    """Prints a scale summary, with the figures by role as a table."""
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
        verdict = "holds " if check.holds else "BROKEN"
        print(f"{verdict} {check.name}: {shown} (limit {check.limit:g}{seen})")
        for fault in check.faults[:5]:
            print(f"       {fault}")


@app.command("compare")
def compare(before: Path, after: Path) -> None:
    """Compare the figures of two runs. `report.html` in the second folder then shows both."""
    import msgspec

    from sailrun.lab.report import write_report
    from sailrun.lab.run import read_summary

    try:
        one, two = read_summary(before), read_summary(after)
        write_report(after, before)
    except OSError as error:
        raise _usage_error(f"{error.filename or after}: {error.strerror or error}") from None
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise _usage_error(f"summary.json: {error}") from None
    print(f"{'':36} {before.name:>14} {after.name:>14}")
    for figure in {**one.figures, **two.figures}:
        values = [s.figures.get(figure) for s in (one, two)]
        print(f"{figure:36} " + " ".join(f"{'-' if v is None else format(v, '.6g'):>14}" for v in values))


@app.command("sweep")
def sweep(
    name: str,
    seeds: Annotated[str, typer.Option(help="First and last seed, for example 1..200.")],
    out: Annotated[Path | None, typer.Option(help="A folder for `sweep.json`.")] = None,
    workers: Annotated[int | None, typer.Option(help="Number of parallel processes.")] = None,
    form_servers: FormServers = None,
    nodes: Nodes = None,
    households: HouseholdsOption = None,
    seconds: Seconds = None,
    utilization: Utilization = None,
    datagrams_lost: Lost = None,
    off: Off = None,
    driver: Driver = None,
    against: Annotated[str | None, typer.Option(help="A subsystem: also run every seed without it.")] = None,
    operator: OperatorOption = None,
) -> None:
    """Run an experiment for many seeds. Exit with 0 if every check of every seed holds, with 1 if not."""
    from sailrun.lab.sweep import sweep as run_sweep

    first, dots, last = seeds.partition("..")
    if not dots or not (first.isdigit() and last.isdigit()) or int(first) > int(last):
        raise _usage_error(
            f"--seeds: '{seeds}' is not a range of seeds; expected FIRST..LAST, for example 1..200"
        )
    if (fault_run := _fault_run(name, off, nodes, seconds)) is not None:
        _sweep_faults(fault_run, driver or "virtual", list(range(int(first), int(last) + 1)), out, workers)
    if driver not in (None, "virtual"):
        raise _usage_error(f"--driver: '{name}' is swept in virtual time only")
    request = _request(
        name,
        off,
        form_servers=form_servers,
        nodes=nodes,
        households=households,
        seconds=seconds,
        utilization=utilization,
        datagrams_lost=datagrams_lost,
        rebalance=_rebalance_settings(operator),
    )
    if against is not None:
        _request(name, [against])  # validates the name
    try:
        with _progress(name) as report_progress:
            result = run_sweep(request, range(int(first), int(last) + 1), workers, against, report_progress)
        if out is not None:
            out.mkdir(parents=True, exist_ok=True)
            (out / "sweep.json").write_bytes(result.as_json())
    except OSError as error:
        raise _usage_error(f"{out}: {error.strerror or error}") from None
    for line in result.lines():
        print(line)
    raise typer.Exit(0 if not result.broken else 1)
