"""Confines an unforeseen exception to the step, the session or the message that raised it."""

from __future__ import annotations

import traceback
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, TypeVarTuple

import anyio

from sailrun.node.counters import Counters
from sailrun.node.ports import EventLog

SECOND_US = 1_000_000
# Faults of the same step within this time of the last one logged are counted but not logged: a step that
# always fails must not fill the log.
LOG_INTERVAL_US = SECOND_US
# How long a task that has failed waits before it runs again.
RESTART_DELAY_US = SECOND_US // 10

Arguments = TypeVarTuple("Arguments")


class FaultBarrier:
    """Runs the steps of a node. A step that raises ends alone: the exception is counted and logged."""

    def __init__(self, counters: Counters, now_us: Callable[[], int], log: EventLog) -> None:
        self._counters, self._now_us, self._log = counters, now_us, log
        self._logged_us: dict[str, int] = {}  # by step, when its last logged fault occurred

    @contextmanager
    def guard(self, step: str) -> Iterator[None]:
        """Ends the enclosed block at an exception, and continues after it."""
        try:
            yield
        except Exception:
            self.record(step)

    def run(self, step: str, function: Callable[[*Arguments], object], *arguments: *Arguments) -> bool:
        """Calls the function; returns whether it returned without an exception."""
        try:
            function(*arguments)
        except Exception:
            self.record(step)
            return False
        return True

    def record(self, step: str, **fields: object) -> None:
        """Counts and logs the exception that is being handled. `fields` are added to the log line."""
        self._counters.faults[step] += 1
        now_us = self._now_us()
        logged_us = self._logged_us.get(step)
        if logged_us is None or now_us - logged_us >= LOG_INTERVAL_US:
            self._logged_us[step] = now_us
            count = self._counters.faults[step]
            self._log("fault", where=step, **fields, count=count, trace=traceback.format_exc())

    async def run_task(
        self, task: str, function: Callable[[*Arguments], Awaitable[Any]], *arguments: *Arguments
    ) -> None:
        """Awaits a call that handles one connection, call or message; an exception ends this call only."""
        with self.guard(task):
            await function(*arguments)

    async def keep_running(self, task: str, function: Callable[[], Awaitable[Any]]) -> None:
        """Awaits a task that serves the whole node, and calls it again after an exception, until it returns
        or is cancelled. The function must be able to start anew.
        """
        while True:
            with self.guard(task):
                await function()
                return
            await anyio.sleep(RESTART_DELAY_US / SECOND_US)
