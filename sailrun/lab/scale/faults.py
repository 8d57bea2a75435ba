"""What goes wrong in a scale run, as steps with their times: pure, the same for both drivers."""

from __future__ import annotations

import random
from dataclasses import dataclass

from sailrun.lab.scale.plan import Place, ScalePlan, region_name

# Killed nodes and silent switches are away for so long, regions cut apart, processes stopped.
AWAY_S, CUT_S, STOPPED_S = 60.0, 30.0, 6.0
# What was stopped has gone on for some time when others are killed.
KILL_AT_S = 20.0
# A rolling restart: so many parts of the fleet one after the other, each away for a moment.
ROLL_PARTS, ROLL_STEP_S, ROLL_AWAY_S = 20, 4.0, 2.0


@dataclass(frozen=True, slots=True)
class KillHost:
    """SIGKILL for a host process, with all its nodes."""

    host: int


@dataclass(frozen=True, slots=True)
class StartHost:
    host: int


@dataclass(frozen=True, slots=True)
class StopHost:
    """SIGSTOP for a host process; its nodes neither act nor hear."""

    host: int


@dataclass(frozen=True, slots=True)
class ContinueHost:
    host: int


@dataclass(frozen=True, slots=True)
class KillNodes:
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LeaveNodes:
    """They leave in good order and end."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StartNodes:
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StopNodes:
    """SIGSTOP for real processes."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ContinueNodes:
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SilenceNodes:
    """Their switch fails, or is mended."""

    names: tuple[str, ...]
    on: bool


@dataclass(frozen=True, slots=True)
class CutRegions:
    one: str
    other: str


@dataclass(frozen=True, slots=True)
class HealRegions:
    pass


Action = (
    KillHost
    | StartHost
    | StopHost
    | ContinueHost
    | KillNodes
    | LeaveNodes
    | StartNodes
    | StopNodes
    | ContinueNodes
    | SilenceNodes
    | CutRegions
    | HealRegions
)


@dataclass(frozen=True, slots=True)
class Step:
    """`at_s`: seconds since the first step could come."""

    at_s: float
    action: Action


def fault_steps(plan: ScalePlan, places: list[Place]) -> list[Step]:
    """In the order of their time. Nothing for `rest`, and for `begin`, which is a fault from the start."""
    match plan.faults:
        case "hosts":
            return _hosts(plan, places)
        case "rack":
            rack = _some_rack(places)
            return [Step(0.0, SilenceNodes(rack, True)), Step(AWAY_S, SilenceNodes(rack, False))]
        case "zone":
            zone = _some_zone(places)
            return [Step(0.0, KillNodes(zone)), Step(AWAY_S, StartNodes(zone))]
        case "cut":
            other = region_name(min(1, plan.regions - 1))
            return [Step(0.0, CutRegions(region_name(0), other)), Step(CUT_S, HealRegions())]
        case "roll":
            return _rolling(plan, places)
    return []


def _hosts(plan: ScalePlan, places: list[Place]) -> list[Step]:
    """A host and a real process are stopped for a moment; later others are killed, and start again. All at
    once could leave no majority of voters, which is another fault.
    """
    real = [place.name for place in places if place.real]
    back_s = KILL_AT_S + AWAY_S
    steps = []
    if plan.hosts > 1:
        steps += [Step(0.0, StopHost(1)), Step(STOPPED_S, ContinueHost(1))]
    if len(real) > 1:
        steps += [Step(0.0, StopNodes((real[-2],))), Step(STOPPED_S, ContinueNodes((real[-2],)))]
    if plan.hosts:
        steps += [Step(KILL_AT_S, KillHost(0)), Step(back_s, StartHost(0))]
    if real:
        steps += [Step(KILL_AT_S, KillNodes((real[-1],))), Step(back_s, StartNodes((real[-1],)))]
    return sorted(steps, key=lambda step: step.at_s)


def _some_rack(places: list[Place]) -> tuple[str, ...]:
    """The hollow nodes of the last zone's first rack: a switch of a real process cannot fail."""
    hollow = [place for place in places if not place.real]
    rack = next(place.rack for place in reversed(hollow) if place.rack.endswith("-k0"))
    return tuple(place.name for place in hollow if place.rack == rack)


def _some_zone(places: list[Place]) -> tuple[str, ...]:
    """The nodes of the last zone, which has no real processes."""
    zone = [place for place in places if not place.real][-1].zone
    return tuple(place.name for place in places if place.zone == zone)


def _rolling(plan: ScalePlan, places: list[Place]) -> list[Step]:
    names = [place.name for place in places]
    random.Random(f"roll/{plan.seed}").shuffle(names)
    steps = []
    for part in range(ROLL_PARTS):
        its = tuple(names[part::ROLL_PARTS])
        if its:
            begin_s = part * ROLL_STEP_S
            steps += [Step(begin_s, LeaveNodes(its)), Step(begin_s + ROLL_AWAY_S, StartNodes(its))]
    return steps
