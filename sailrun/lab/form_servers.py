"""A form server as the public pages describe it. It knows the time only as it is told."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from sailrun.lab.settings import SECOND, WorldSettings

# What a message costs to answer: with the queue before it, this makes it late as a server nears its capacity.
MESSAGE_WORK_US = 4_000.0
# However much stands there, so much of a server is left to set up and to work off what is piled up.
LEAST_SHARE = 0.05


class Phase(Enum):
    UP = "up"
    UNRESPONSIVE = "silent"  # a machine that is cut off: no reset, no answer
    DOWN = "down"  # no process: resets and refusals
    FALLEN = "fallen"  # pushed over while cold; stays down


@dataclass(slots=True, eq=False)
class Held:
    """One connection that it holds."""

    request: str
    group: str
    load: float
    since_us: int


@dataclass(slots=True, eq=False)
class FormServerModel:
    """Work is counted in us of one core; loads and capacities in us of work a second."""

    terms: WorldSettings
    number: int
    name: str
    zone: str
    capacity: float
    initial_capacity_share: float
    slow_start_us: int
    started_us: int = 0  # 0: long ago
    phase: Phase = Phase.UP
    draining: bool = False
    held: dict[str, Held] = field(default_factory=dict)
    groups: dict[str, int] = field(default_factory=dict)
    load: float = 0.0
    backlog: float = 0.0  # work piled up, in us
    at_us: int = 0
    errs: float = 0.0  # share of its set-ups that it answers with an error
    fallen: bool = False  # and this has been seen to
    most_pressure: float = 0.0  # the most sent while cold, over what may be sent
    _sent: deque[tuple[int, float]] = field(default_factory=deque)  # work by the time it came, while cold

    # ------------------------------------------------------------------ looks

    def cold(self, now_us: int) -> bool:
        return self.started_us > 0 and now_us - self.started_us < self.slow_start_us

    def present(self, now_us: int) -> float:
        """Its capacity now: it rises evenly while it warms up."""
        if not self.cold(now_us):
            return self.capacity
        age = (now_us - self.started_us) / self.slow_start_us
        return self.capacity * (
            self.initial_capacity_share + (1.0 - self.initial_capacity_share) * max(0.0, age)
        )

    def places(self) -> float:
        return self.terms.places * self.capacity / self.terms.unit

    def message_us(self, now_us: int) -> float:
        """The mean time that a message takes here now."""
        capacity = self.present(now_us)
        free = max(LEAST_SHARE, 1.0 - self.load / capacity)
        return self.backlog / capacity * SECOND + MESSAGE_WORK_US / free

    def answered_within(self, now_us: int, aim_us: int) -> float:
        """The share of messages answered within an aim: none while the work piled up alone takes longer."""
        capacity = self.present(now_us)
        queue_us = self.backlog / capacity * SECOND
        if queue_us >= aim_us:
            return 0.0
        mean_us = MESSAGE_WORK_US / max(LEAST_SHARE, 1.0 - self.load / capacity)
        return 1.0 - math.exp(-(aim_us - queue_us) / mean_us)

    # ------------------------------------------------------------------ time and work

    def advance(self, now_us: int) -> None:
        """Lets time pass: work is piled up or worked off. It may fall over in this."""
        past_us = now_us - self.at_us
        if past_us <= 0:
            return
        self.at_us = now_us
        capacity = self.present(now_us)
        spare = max(LEAST_SHARE * capacity, capacity - self.load) if self.load < capacity else 0.0
        growth = max(0.0, self.load - capacity)
        self.backlog = max(0.0, self.backlog + (growth - spare) * past_us / SECOND)
        if self.cold(now_us):
            self._press(now_us, self.load * past_us / SECOND)
        elif self._sent:
            self._sent.clear()

    def _press(self, now_us: int, work: float) -> None:
        """Work sent while cold: over the multiple of its present capacity for the stated time, it falls."""
        window_us = self.terms.overload_window_us
        self._sent.append((now_us, work))
        while self._sent[0][0] <= now_us - window_us:
            self._sent.popleft()
        allowed = self.terms.overload_multiple * self.present(now_us) * window_us / SECOND
        pressure = sum(w for _, w in self._sent) / allowed
        self.most_pressure = max(self.most_pressure, pressure)
        if pressure > 1.0 and self.phase is Phase.UP:
            self.phase = Phase.FALLEN

    def set_up_us(self, now_us: int, work_us: float) -> float | None:
        """How long a new connection takes to stand, if it is taken; None: turned away."""
        self.advance(now_us)
        if self.cold(now_us):
            self._press(now_us, work_us)
        if self.draining or len(self.held) >= self.places():
            return None
        capacity = self.present(now_us)
        self.backlog += work_us
        return self.backlog / max(LEAST_SHARE * capacity, capacity - self.load) * SECOND

    def hold(self, now_us: int, one: Held) -> None:
        self.advance(now_us)
        self.held[one.request] = one
        count = self.groups.get(one.group, 0)
        self.groups[one.group] = count + 1
        self.load += one.load + (0.0 if count else self.terms.household_cost * self.terms.unit)

    def release(self, now_us: int, request: str) -> Held | None:
        self.advance(now_us)
        one = self.held.pop(request, None)
        if one is None:
            return None
        count = self.groups[one.group] - 1
        if count:
            self.groups[one.group] = count
        else:
            del self.groups[one.group]
        self.load -= one.load + (0.0 if count else self.terms.household_cost * self.terms.unit)
        if not self.held:
            self.load = 0.0  # free of rounding
        return one

    def reload(self, now_us: int, request: str, load: float) -> None:
        """A connection's load changes."""
        self.advance(now_us)
        one = self.held[request]
        self.load += load - one.load
        one.load = load

    def shed(self) -> list[str]:
        """The newest connections, which it drops while too much is piled up."""
        if self.backlog <= self.terms.buffer_us * self.capacity / SECOND:
            return []
        newest = list(self.held)[-max(1, len(self.held) // 20) :]
        self.backlog *= 0.8
        return newest

    def stop(self, phase: Phase) -> list[str]:
        """The process ends; returns the connections that it held."""
        lost = list(self.held)
        self.phase = phase
        self.held.clear()
        self.groups.clear()
        self.load = self.backlog = 0.0
        return lost

    def start(self, now_us: int) -> None:
        """A new process, cold."""
        self.phase, self.draining = Phase.UP, False
        self.started_us = self.at_us = now_us
        self._sent.clear()
