"""Runs a plan of the `scale` run in real time over loopback sockets."""

from __future__ import annotations

import math
import signal
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

import anyio

from sailrun.lab.scale.checks import CONVERGENCE_LIMIT_S, MAX_NAMED_FAULTS, worst_late_ms
from sailrun.lab.scale.fault_watch import FaultWatch
from sailrun.lab.scale.faults import Step
from sailrun.lab.scale.plan import ScalePlan, memory_mb
from sailrun.lab.scale.results import Convergence, Measured
from sailrun.lab.scale.roles import NodeUse
from sailrun.lab.scale.socket_fleet import Sample, SocketFleet, loopback_block, uses_between
from sailrun.lab.scale.stretches import BEGIN, FAULT, REST
from sailrun.leadership.clock import boot_us

# How often the run checks that every node knows every other, and for how long at most.
CHECK_INTERVAL_S, CONVERGENCE_TIMEOUT_S = 0.5, 2 * CONVERGENCE_LIMIT_S
# The wait after every node knows every other, before the next measurement, so that leases settle.
SETTLE_S = 3.0
OnProgress = Callable[[float], None]


def run_sockets(plan: ScalePlan, steps: list[Step], on_progress: OnProgress) -> Measured:
    """Runs the plan. Raises OSError if addresses are not available."""
    return anyio.run(_run, plan, steps, on_progress)


async def _run(plan: ScalePlan, steps: list[Step], on_progress: OnProgress) -> Measured:
    with (
        tempfile.TemporaryDirectory(prefix="sailrun-scale-") as folder,
        loopback_block(plan.seed) as block,
    ):
        measured: Measured | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(_end_on_signal, group.cancel_scope)
            fleet = SocketFleet(plan, block, Path(folder), group)
            try:
                measured = await _RealRun(fleet, steps, on_progress).measure()
            finally:
                with anyio.CancelScope(shield=True):
                    await fleet.end()
                group.cancel_scope.cancel()
        if measured is None:
            raise KeyboardInterrupt
        measured.ended = fleet.ended
        return measured


async def _end_on_signal(run: anyio.CancelScope) -> None:
    """Cancels the run on SIGTERM or SIGINT, so that it leaves no process behind."""
    if threading.current_thread() is not threading.main_thread():
        return  # signals are delivered to the main thread only
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            run.cancel()


class _RealRun:
    """Runs the stretches of a run and measures each."""

    def __init__(self, fleet: SocketFleet, steps: list[Step], on_progress: OnProgress) -> None:
        self._fleet, self._steps, self._on_progress = fleet, steps, on_progress
        self._watch = FaultWatch()
        self._uses: dict[str, list[NodeUse]] = {}
        self._figures = {"hosts": float(len(fleet.hosts)), "memory_expected_mb": memory_mb(fleet.plan)}

    async def measure(self) -> Measured:
        fleet = self._fleet
        await fleet.open()
        begin = await self._begin()
        rest = await self._rest()
        after = await self._faults(rest) if self._steps else None
        end_us = boot_us()
        last = await fleet.sample()
        self._figures["memory_mb"] = last.memory_mb()
        self._on_progress(1.0)
        return Measured(
            begin,
            after,
            self._uses,
            fleet.rows,
            fleet.begin_us,
            end_us,
            fleet.late_ms if fleet.hosts else None,
            reports=last.reports(),
            processes=len(fleet.hosts) + len(fleet.real),
            figures=self._figures,
        )

    async def _begin(self) -> Convergence:
        fleet = self._fleet
        all_at_once = fleet.plan.faults == "begin"
        fleet.begin_us = boot_us()
        await fleet.start_all(known=not all_at_once)
        convergence = await self._until_converged()
        sample = await fleet.sample()
        self._uses[BEGIN] = uses_between(fleet.zero_sample(sample), sample)
        self._figures["hosts_late_in_begin_ms"] = worst_late_ms(fleet.late_ms)
        if not all_at_once:
            fleet.late_ms.clear()  # the lateness of a start with preloaded members is not checked
        self._on_progress(0.2)
        return convergence

    async def _rest(self) -> Sample:
        await anyio.sleep(SETTLE_S)
        before = await self._fleet.sample()
        await anyio.sleep(self._fleet.plan.seconds)
        after = await self._fleet.sample()
        self._uses[REST] = uses_between(before, after)
        self._on_progress(0.6)
        return after

    async def _faults(self, before: Sample) -> Convergence:
        began_s = time.monotonic()
        for step in self._steps:
            await self._watch_until(began_s + step.at_s)
            await self._fleet.carry_out(step.action)
            self._watch.on_action(time.monotonic(), step.action)
        convergence = await self._until_converged()
        await anyio.sleep(SETTLE_S)  # tasks that lost their owner get another one
        after = await self._fleet.sample()
        self._uses[FAULT] = uses_between(before, after)
        convergence.occasions = self._watch.occasions(after.blocked_messages())
        self._figures |= self._watch.figures()
        self._figures["messages_stopped"] = float(after.blocked_messages())
        return convergence

    async def _watch_until(self, due_s: float) -> None:
        while (left_s := due_s - time.monotonic()) > 0:
            if self._watch.actions:
                self._record_poll(await self._fleet.lacking())
                left_s = due_s - time.monotonic()
            await anyio.sleep(max(0.0, min(CHECK_INTERVAL_S, left_s)))

    def _record_poll(self, lacking: list[str]) -> None:
        self._watch.on_poll(time.monotonic(), len(lacking))
        self._fleet.record(
            "look", "", boot_us(), lacking=len(lacking), some=",".join(lacking[:MAX_NAMED_FAULTS])
        )

    async def _until_converged(self) -> Convergence:
        began_s = time.monotonic()
        lacking: list[str] = []
        while time.monotonic() - began_s < CONVERGENCE_TIMEOUT_S:
            lacking = await self._fleet.lacking()
            if not lacking:
                return Convergence(time.monotonic() - began_s)
            if self._fleet.ended_by_itself():
                break  # the fleet will never be complete
            await anyio.sleep(CHECK_INTERVAL_S)
        return Convergence(math.inf, lacking)
