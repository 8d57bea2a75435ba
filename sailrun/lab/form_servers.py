"""A model of a form server as the public documentation describes it. Callers pass the current time."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from sailrun.lab.settings import SECOND, WorldSettings

# Work in us to answer one message. With the queue before it, answers become late as the load nears capacity.
MESSAGE_WORK_US = 4_000.0
# Share of the capacity that always remains for set-ups and for the backlog, whatever the load.
MIN_FREE_SHARE = 0.05


class Phase(Enum):
    UP = "up"
    UNRESPONSIVE = "silent"  # the machine is cut off: no reset, no answer
    DOWN = "down"  # no process: resets and refusals
    FALLEN = "fallen"  # overloaded during slow start; stays down


@dataclass(slots=True, eq=False)
class HeldConnection:
    """One connection on a form server."""

    request: str
    group: str
    load: float
    since_us: int


@dataclass(slots=True, eq=False)
class FormServerModel:
    """Work is in us of one core; loads and capacities are in us of work per second."""

    settings: WorldSettings
    number: int
    name: str
    zone: str
    capacity: float
    initial_capacity_share: float
    slow_start_us: int
    started_us: int = 0  # 0: started long ago, no slow start
    phase: Phase = Phase.UP
    draining: bool = False
    held: dict[str, HeldConnection] = field(default_factory=dict)
    groups: dict[str, int] = field(default_factory=dict)
    load: float = 0.0
    backlog: float = 0.0  # unfinished work in us
    at_us: int = 0  # time up to which the state has been advanced
    error_share: float = 0.0  # share of set-ups that are answered with an error
    fallen: bool = False  # the world has already applied the effects of the overload
    peak_pressure: float = 0.0  # peak of the work received in slow start over the allowed work
    _recent_work: deque[tuple[int, float]] = field(
        default_factory=deque
    )  # (time, work) received in slow start

    # ------------------------------------------------------------------ state

    def in_slow_start(self, now_us: int) -> bool:
        return self.started_us > 0 and now_us - self.started_us < self.slow_start_us

    def current_capacity(self, now_us: int) -> float:
        """Returns the current capacity, which rises linearly during slow start."""
        if not self.in_slow_start(now_us):
            return self.capacity
        age = (now_us - self.started_us) / self.slow_start_us
        return self.capacity * (
            self.initial_capacity_share + (1.0 - self.initial_capacity_share) * max(0.0, age)
        )

    def max_connections(self) -> float:
        return self.settings.max_connections_ratio * self.capacity / self.settings.connection_load

    def message_us(self, now_us: int) -> float:
        """Returns the current mean time to answer a message."""
        capacity = self.current_capacity(now_us)
        free = max(MIN_FREE_SHARE, 1.0 - self.load / capacity)
        return self.backlog / capacity * SECOND + MESSAGE_WORK_US / free

    def answered_within(self, now_us: int, aim_us: int) -> float:
        """Returns the share of messages answered within a time; 0 while the backlog alone takes longer."""
        capacity = self.current_capacity(now_us)
        queue_us = self.backlog / capacity * SECOND
        if queue_us >= aim_us:
            return 0.0
        mean_us = MESSAGE_WORK_US / max(MIN_FREE_SHARE, 1.0 - self.load / capacity)
        return 1.0 - math.exp(-(aim_us - queue_us) / mean_us)

    # ------------------------------------------------------------------ time and work

    def advance(self, now_us: int) -> None:
        """Advances the time: the backlog grows or shrinks, and the form server may fall over."""
        elapsed_us = now_us - self.at_us
        if elapsed_us <= 0:
            return
        self.at_us = now_us
        capacity = self.current_capacity(now_us)
        spare = max(MIN_FREE_SHARE * capacity, capacity - self.load) if self.load < capacity else 0.0
        growth = max(0.0, self.load - capacity)
        self.backlog = max(0.0, self.backlog + (growth - spare) * elapsed_us / SECOND)
        if self.in_slow_start(now_us):
            self._add_pressure(now_us, self.load * elapsed_us / SECOND)
        elif self._recent_work:
            self._recent_work.clear()

    def _add_pressure(self, now_us: int, work: float) -> None:
        """Adds work received in slow start. The form server falls over when the work in the overload window
        exceeds the overload multiple of its current capacity.
        """
        window_us = self.settings.overload_window_us
        self._recent_work.append((now_us, work))
        while self._recent_work[0][0] <= now_us - window_us:
            self._recent_work.popleft()
        allowed = self.settings.overload_multiple * self.current_capacity(now_us) * window_us / SECOND
        pressure = sum(w for _, w in self._recent_work) / allowed
        self.peak_pressure = max(self.peak_pressure, pressure)
        if pressure > 1.0 and self.phase is Phase.UP:
            self.phase = Phase.FALLEN

    def set_up_us(self, now_us: int, work_us: float) -> float | None:
        """Returns the set-up time of a new connection, or None if the connection is rejected."""
        self.advance(now_us)
        if self.in_slow_start(now_us):
            self._add_pressure(now_us, work_us)
        if self.draining or len(self.held) >= self.max_connections():
            return None
        capacity = self.current_capacity(now_us)
        self.backlog += work_us
        return self.backlog / max(MIN_FREE_SHARE * capacity, capacity - self.load) * SECOND

    def hold(self, now_us: int, connection: HeldConnection) -> None:
        self.advance(now_us)
        self.held[connection.request] = connection
        count = self.groups.get(connection.group, 0)
        self.groups[connection.group] = count + 1
        self.load += connection.load + (
            0.0 if count else self.settings.household_cost * self.settings.connection_load
        )

    def release(self, now_us: int, request: str) -> HeldConnection | None:
        self.advance(now_us)
        connection = self.held.pop(request, None)
        if connection is None:
            return None
        count = self.groups[connection.group] - 1
        if count:
            self.groups[connection.group] = count
        else:
            del self.groups[connection.group]
        self.load -= connection.load + (
            0.0 if count else self.settings.household_cost * self.settings.connection_load
        )
        if not self.held:
            self.load = 0.0  # free of rounding
        return connection

    def change_load(self, now_us: int, request: str, load: float) -> None:
        """Sets the load of a connection, which changes the form server's load by the same amount."""
        self.advance(now_us)
        connection = self.held[request]
        self.load += load - connection.load
        connection.load = load

    def shed(self) -> list[str]:
        """Returns the newest 5% of the connections (at least one) to drop if the backlog exceeds the buffer,
        and reduces the backlog by 20%.
        """
        if self.backlog <= self.settings.buffer_us * self.capacity / SECOND:
            return []
        newest = list(self.held)[-max(1, len(self.held) // 20) :]
        self.backlog *= 0.8
        return newest

    def stop(self, phase: Phase) -> list[str]:
        """Ends the process and returns the connections that it held."""
        lost = list(self.held)
        self.phase = phase
        self.held.clear()
        self.groups.clear()
        self.load = self.backlog = 0.0
        return lost

    def start(self, now_us: int) -> None:
        """Starts a new process in slow start."""
        self.phase, self.draining = Phase.UP, False
        self.started_us = self.at_us = now_us
        self._recent_work.clear()
