"""Plays a scale run in real time over loopback sockets."""

from __future__ import annotations

import math
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import anyio

from sailrun.lab.scale.checks import KNOWN_S
from sailrun.lab.scale.faults import Step
from sailrun.lab.scale.plan import ScalePlan
from sailrun.lab.scale.results import BEGIN, FAULT, REST, Known, Measured
from sailrun.lab.scale.roles import NodeUse
from sailrun.lab.scale.socket_fleet import Sample, SocketFleet, loopback_block, uses_between
from sailrun.owners.clock import boot_us

# Whether all know all is looked at so often, and no longer than this.
LOOK_S, GIVEN_UP_S = 0.5, 2 * KNOWN_S
# Between the time when all know all and the first measurement: leases have settled.
SETTLE_S = 3.0
Told = Callable[[float], None]


def play_sockets(plan: ScalePlan, steps: list[Step], told: Told) -> Measured:
    """Raises OSError where addresses are not to be had."""
    return anyio.run(_play, plan, steps, told)


async def _play(plan: ScalePlan, steps: list[Step], told: Told) -> Measured:
    with (
        tempfile.TemporaryDirectory(prefix="sailrun-scale-") as folder,
        loopback_block(plan.seed) as block,
    ):
        async with anyio.create_task_group() as group:
            fleet = SocketFleet(plan, block, Path(folder), group)
            try:
                measured = await _measure(fleet, steps, told)
            finally:
                with anyio.CancelScope(shield=True):
                    await fleet.end()
                group.cancel_scope.cancel()
        measured.ended = fleet.ended
        return measured


async def _measure(fleet: SocketFleet, steps: list[Step], told: Told) -> Measured:
    plan = fleet.plan
    await fleet.open()
    fleet.begin_us = boot_us()
    await fleet.start_all(known=plan.faults != "begin")
    begin = await _until_known(fleet)
    first = await fleet.sample()
    uses = {BEGIN: uses_between(fleet.nothing_used(first), first)}
    told(0.2)
    if plan.faults != "begin":
        fleet.late_ms.clear()  # nothing of the begin counts, which is not what is measured
    await anyio.sleep(SETTLE_S)
    before = await fleet.sample()
    await anyio.sleep(plan.seconds)
    rest = await fleet.sample()
    uses[REST] = uses_between(before, rest)
    told(0.6)
    after = await _play_steps(fleet, steps, rest, uses) if steps else None
    end_us = boot_us()
    await fleet.sample()  # the rows of the last moments
    told(1.0)
    return Measured(
        begin,
        after,
        uses,
        fleet.rows,
        fleet.begin_us,
        end_us,
        fleet.late_ms,
        processes=len(fleet.hosts) + len(fleet.real),
        figures={"hosts": float(len(fleet.hosts))},
    )


async def _play_steps(
    fleet: SocketFleet, steps: list[Step], before: Sample, uses: dict[str, list[NodeUse]]
) -> Known:
    began_s = time.monotonic()
    for step in steps:
        await anyio.sleep(max(0.0, began_s + step.at_s - time.monotonic()))
        await fleet.carry_out(step.action)
    known = await _until_known(fleet)
    await anyio.sleep(SETTLE_S)  # whose owner was hit has another one
    uses[FAULT] = uses_between(before, await fleet.sample())
    return known


async def _until_known(fleet: SocketFleet) -> Known:
    began_s = time.monotonic()
    lacking: list[str] = []
    while time.monotonic() - began_s < GIVEN_UP_S:
        lacking = await fleet.lacking()
        if not lacking:
            return Known(time.monotonic() - began_s)
        await anyio.sleep(LOOK_S)
    return Known(math.inf, lacking)
