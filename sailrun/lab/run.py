"""Runs an experiment and writes its records and summary."""

from __future__ import annotations

import math
import resource
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from sailrun.decisions.actions import MoveReason
from sailrun.lab.checks import Check
from sailrun.lab.experiments import EXPERIMENTS, Experiment
from sailrun.lab.figures import figures
from sailrun.lab.records import Records
from sailrun.lab.virtual import VirtualWorld
from sailrun.lab.world import World
from sailrun.rebalance.settings import RebalanceSettings

SUBSYSTEMS = ("rebalance", "fleet", "decisions")
# Delay with which the reference policy sees the true state when it replaces the nodes' decisions.
REFERENCE_DELAY_US = 2_000_000


@dataclass(frozen=True, slots=True)
class Request:
    """The options of a run. None means the experiment's own value."""

    experiment: str
    driver: str = "virtual"
    seed: int = 1
    form_servers: int | None = None
    nodes: int | None = None
    households: int | None = None
    seconds: float | None = None
    utilization: float | None = None
    datagrams_lost: float | None = None
    off: frozenset[str] = frozenset()
    rebalance: RebalanceSettings | None = None  # from the operator's settings file


class Outcome(msgspec.Struct):
    """The result of one rule or bound in `summary.json`."""

    name: str
    value: float | None  # None: no finite value
    limit: float
    holds: bool
    faults: list[str] = []
    occasions: int | None = None  # None: not counted


class Summary(msgspec.Struct):
    experiment: str
    driver: str
    seed: int
    world: dict[str, Any]
    off: list[str]
    figures: dict[str, float | None]
    checks: list[Outcome]
    cost: dict[str, float] = {}  # measured on this machine: varies between runs

    @property
    def holds(self) -> bool:
        return all(check.holds for check in self.checks)


def finite(value: float) -> float | None:
    return value if math.isfinite(value) else None


def run_experiment(
    request: Request, progress: Callable[[float], None] = lambda share: None
) -> tuple[Summary, Records]:
    experiment = EXPERIMENTS[request.experiment]
    began_s, cpu_s = time.monotonic(), time.process_time()
    if request.driver == "virtual":
        values, records, checks = _virtual(experiment, request, progress)
    else:
        values, records, checks = _sockets(experiment, request, progress)
    simulated = max(1.0, values.get("simulated_s", 1.0))
    outcomes = [Outcome(c.name, c.value, c.limit, c.holds, c.faults) for c in checks]
    bounds = dict(experiment.bounds)
    for subsystem, subsystem_bounds in experiment.bounds_of.items():
        if subsystem not in request.off:
            bounds |= subsystem_bounds
    outcomes += [
        Outcome(name, finite(values[name]), limit, values[name] <= limit) for name, limit in bounds.items()
    ]
    summary = Summary(
        experiment.name,
        request.driver,
        request.seed,
        _world(experiment, request),
        sorted(request.off),
        {name: finite(value) for name, value in values.items()},
        outcomes,
        {
            "wall_s": round(time.monotonic() - began_s, 2),
            "cpu_s_per_simulated_s": round((time.process_time() - cpu_s) / simulated, 4),
            "peak_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1),
        },
    )
    return summary, records


def _world(experiment: Experiment, request: Request) -> dict[str, Any]:
    settings = _world_settings(experiment, request)
    names = ("form_servers", "nodes", "households", "seconds", "utilization", "datagrams_lost")
    return {name: getattr(settings, name) for name in names}


def _world_settings(experiment: Experiment, request: Request) -> Any:
    return experiment.world(
        form_servers=request.form_servers,
        nodes=request.nodes,
        households=request.households,
        seconds=request.seconds,
        utilization=request.utilization,
        datagrams_lost=request.datagrams_lost,
        # Without peer messages a node decides by its own sessions only. The rebalancer has its own datagrams.
        peer_messages=False if "fleet" in request.off else None,
        reference_delay_us=REFERENCE_DELAY_US if "decisions" in request.off else None,
    )


def _virtual(
    experiment: Experiment, request: Request, progress: Callable[[float], None]
) -> tuple[dict[str, float], Records, list[Check]]:
    settings, rebalance = _world_settings(experiment, request), _rebalance(request)
    world = VirtualWorld(
        settings, request.seed, rebalance, experiment.script, experiment.select_initial_servers, progress
    )
    checks = world.run()
    values = _figures_of(world)
    values["events"] = float(world.time.done)
    return values, world.records, checks


def _sockets(
    experiment: Experiment, request: Request, progress: Callable[[float], None]
) -> tuple[dict[str, float], Records, list[Check]]:
    import anyio

    from sailrun.lab.sockets import SocketWorld

    settings, rebalance = _world_settings(experiment, request), _rebalance(request)
    world = SocketWorld(
        settings, request.seed, rebalance, experiment.script, experiment.select_initial_servers, progress
    )
    checks = anyio.run(world.run, backend_options={"use_uvloop": True})
    return _figures_of(world), world.records, checks


def _rebalance(request: Request) -> RebalanceSettings:
    settings = request.rebalance or RebalanceSettings(enabled=True)
    return msgspec.structs.replace(settings, enabled="rebalance" not in request.off)


def _figures_of(world: World[Any]) -> dict[str, float]:
    values = figures(
        world.records, world.moves, world.min_moves, world.clients, world.all_warm_s, world.datagram_bytes
    )
    for cause in MoveReason:
        values[f"moves_{cause.value}"] = float(world.moves_by_reason[cause.value])
    values["moved_again_within_10_s"] = float(world.repeated_moves)
    values["datagrams_a_request"] = round(world.datagrams / max(1.0, values["requests"]), 4)
    values["datagram_bytes_a_request"] = round(world.datagram_bytes / max(1.0, values["requests"]), 2)
    values["most_roster_calls_a_second"] = float(max(world.registry.calls.values(), default=0))
    values["roster_calls_given_up"] = float(world.registry.abandoned_calls)
    pressures = [s.peak_pressure for s in world.servers.values()]
    values["most_pressure_on_a_cold_server"] = round(max(pressures, default=0.0), 4)
    return values


def write(folder: Path, summary: Summary, records: Records) -> None:
    """Writes the records and the summary. Raises OSError if the folder cannot be written."""
    folder.mkdir(parents=True, exist_ok=True)
    records.write(folder)
    text = msgspec.json.format(msgspec.json.encode(summary), indent=1)
    (folder / "summary.json").write_bytes(text + b"\n")


def read_summary(folder: Path) -> Summary:
    """Reads a summary. Raises OSError if it cannot be read, or msgspec.DecodeError if it is malformed."""
    return msgspec.json.decode((folder / "summary.json").read_bytes(), type=Summary)
