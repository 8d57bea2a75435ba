"""Computes the faults of a scale run as timed steps, without I/O. Both drivers use the same steps."""

from __future__ import annotations

import random
from dataclasses import dataclass

from sailrun.lab.scale.plan import Place, ScalePlan, region_name

# How long killed nodes and failed switches stay down, how long regions stay cut off from each other, and how
# long processes stay stopped.
DOWN_S, CUT_S, STOPPED_S = 60.0, 30.0, 6.0
# The time at which nodes are killed. The stopped processes have resumed some time before.
KILL_AT_S = 20.0
# A rolling restart: the number of parts of the fleet, the time from one part to the next, and the time that
# each part is down.
ROLL_PARTS, ROLL_STEP_S, ROLL_DOWN_S = 20, 4.0, 2.0


@dataclass(frozen=True, slots=True)
class KillHost:
    """Sends SIGKILL to a host process, which ends all its nodes."""

    host: int


@dataclass(frozen=True, slots=True)
class StartHost:
    host: int


@dataclass(frozen=True, slots=True)
class StopHost:
    """Sends SIGSTOP to a host process; its nodes neither act nor receive."""

    host: int


@dataclass(frozen=True, slots=True)
class ContinueHost:
    host: int


@dataclass(frozen=True, slots=True)
class KillNodes:
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LeaveNodes:
    """The nodes leave the fleet gracefully and end."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StartNodes:
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StopNodes:
    """Sends SIGSTOP to real processes."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ContinueNodes:
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SilenceNodes:
    """The switch of these nodes fails (`on`), or is repaired."""

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
    """`at_s`: seconds since the start of the fault stretch."""

    at_s: float
    action: Action


def fault_steps(plan: ScalePlan, places: list[Place]) -> list[Step]:
    """Returns the steps of the plan in time order.

    There are none for `rest`, nor for `begin`, whose fault is the simultaneous start itself.
    """
    match plan.faults:
        case "hosts":
            return _hosts(plan, places)
        case "rack":
            rack = _choose_rack(places)
            return [Step(0.0, SilenceNodes(rack, True)), Step(DOWN_S, SilenceNodes(rack, False))]
        case "zone":
            zone = _choose_zone(places)
            return [Step(0.0, KillNodes(zone)), Step(DOWN_S, StartNodes(zone))]
        case "cut":
            other = region_name(min(1, plan.regions - 1))
            return [Step(0.0, CutRegions(region_name(0), other)), Step(CUT_S, HealRegions())]
        case "roll":
            return _rolling(plan, places)
    return []


def _hosts(plan: ScalePlan, places: list[Place]) -> list[Step]:
    """Stops a host and a real process for a short time; later kills others and restarts them.

    All of them at once could leave the voters without a majority, which is another fault.
    """
    real = [place.name for place in places if place.real]
    back_s = KILL_AT_S + DOWN_S
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


def _choose_rack(places: list[Place]) -> tuple[str, ...]:
    """Returns the hollow nodes of one rack that is the first of its zone.

    Of all these racks, it is the one that holds the hollow node with the highest index.

    Real processes are left out, because the run cannot fail their switch.
    """
    hollow = [place for place in places if not place.real]
    rack = next(place.rack for place in reversed(hollow) if place.rack.endswith("-k0"))
    return tuple(place.name for place in hollow if place.rack == rack)


def _choose_zone(places: list[Place]) -> tuple[str, ...]:
    """Returns all nodes of the zone of the last hollow node, including any real processes in it."""
    zone = [place for place in places if not place.real][-1].zone
    return tuple(place.name for place in places if place.zone == zone)


def _rolling(plan: ScalePlan, places: list[Place]) -> list[Step]:
    names = [place.name for place in places]
    random.Random(f"roll/{plan.seed}").shuffle(names)
    steps = []
    for part in range(ROLL_PARTS):
        part_names = tuple(names[part::ROLL_PARTS])
        if part_names:
            begin_s = part * ROLL_STEP_S
            steps += [
                Step(begin_s, LeaveNodes(part_names)),
                Step(begin_s + ROLL_DOWN_S, StartNodes(part_names)),
            ]
    return steps
