"""Slow start: how much a backend that has just started is sent, by all instances of the tier together.

Such a backend falls over when it gets more requests of mean work within `fall_us` than it bears:
N + 3 * sqrt(N) + 3, or N + 2 * sqrt(N) + 2 from N = 30 on, where N is what `fall_multiple` times its present
capacity comes to in that time. No instance sees what the others send just now, no message need arrive and no
two clocks need agree, so each keeps to a part of its own that bounds the sum:

- Where the part of one instance comes to a request or more, it counts what it sends, and sends no more.
- Else the tier's mean is set 2.5 standard deviations of chance below what the backend bears, and is divided
  by the number of instances, which is stated, not learned. The part of one is less than a request, and is
  spent as chances: each request that the instance places takes from it the chance that it would have gone to
  this backend, whether it does or not, and only by as much may it. In quiet times most such requests may;
  in a rush at all instances at once the sum of their chances stays near the tier's mean.
- What is left over from a quiet time is one window's part at the most.
- Whatever chance says, an instance whose part is less sends one request in a window.

Source: the operators' rule on fail-back. Its capacity is told nowhere; it is reckoned from the connections
that stand or from their told loads, of which a backend can take at least as many as fill it over `cold_us`.
"""

from __future__ import annotations

import math
from random import Random

from sailrun.decisions.actions import SlowStartAllowance
from sailrun.decisions.endpoints import TrackedBackend
from sailrun.decisions.settings import Settings

# From so many calls on, less is allowed for chance.
MANY_CALLS = 30
# Between the tier's mean and what a backend bears; the least mean, where nothing is known of a backend.
DEVIATIONS = 2.5
LEAST_MEAN = 1.0
# Of the tier's mean in one window, what flows in evenly, and the most that may be left over.
FLOW, LEFT_OVER = 0.8, 1.0
# Of what a backend bears, what is sent where each instance's part is a request or more, and a count will do.
MOST = 0.85
# More than any instance sends a backend in slow start within one window.
FORFEITED = 1_000
# Clients that lost their backend come again together, with all of their group, and whole groups go one way:
# more of them than chance would have it. So each weighs as much more.
TOGETHER = 2.0


def bearable(calls: float) -> float:
    """Requests within one window that a backend bears for certain where `calls` are expected of it."""
    if calls < MANY_CALLS:
        return calls + 3 * math.sqrt(calls) + 3
    return calls + 2 * math.sqrt(calls) + 2


def safe_mean(limit: float) -> float:
    """The mean of a count that stays within `limit` by `DEVIATIONS` standard deviations."""
    root = (math.sqrt(DEVIATIONS**2 + 4 * limit) - DEVIATIONS) / 2
    return max(LEAST_MEAN, root**2)


class SlowStart:
    """One instance's part in the slow start of every backend. Times are on the instance's monotonic clock."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self._settings, self._random = settings, random
        self._window_us = max(1, settings.overload_window_us)
        self._instances = settings.instances
        self._expected = 1.0  # the chance that the last request placed would go to any one open backend
        self.backends: dict[int, TrackedBackend] = {}  # in slow start

    def begin(self, server: TrackedBackend, since_us: int, sent: bool, assumed: bool, now_us: int) -> bool:
        """False where the settings know no slow start, or it is over by now. `sent`: a process of this
        instance before this one may have sent the backend something. `assumed`: nobody has said that it
        started.
        """
        if now_us - since_us >= self._settings.slow_start_us:
            return False
        server.slow_start_began_us, server.tokens_us = since_us, now_us
        server.assumed = assumed
        server.tokens = 0.0 if self._sent(server, now_us) else LEFT_OVER * self._random.random()
        server.part, server.most, server.chance = 0.0, 1, 0.0
        self.backends[server.id] = server
        if sent:
            self._forfeit(server, now_us)
        return True

    def forget(self, server: TrackedBackend) -> None:
        """It is warm, or another process has taken its place."""
        server.slow_start_began_us = -1
        self.backends.pop(server.id, None)

    def ended(self, now_us: int) -> list[TrackedBackend]:
        """Those whose slow start is over."""
        return [s for s in self.backends.values() if self.share(s, now_us) >= 1.0]

    def share(self, server: TrackedBackend, now_us: int) -> float:
        """What a backend is sure to have of its capacity: less than 1 while it warms up."""
        if server.slow_start_began_us < 0:
            return 1.0
        age = (now_us - server.slow_start_began_us) / self._settings.slow_start_us
        return min(
            1.0, self._settings.initial_capacity_share + (1 - self._settings.initial_capacity_share) * age
        )

    def divide(self, server: TrackedBackend, connections: float, heard: int, now_us: int) -> None:
        """Works out this instance's part anew. `connections`: those of all instances that fill it once it is
        warm; `heard`: the instances known to run, this one among them.
        """
        self._instances = max(self._settings.instances, heard)
        capacity = connections * self._window_us / self._settings.slow_start_us
        limit = bearable(self._settings.overload_multiple * self.share(server, now_us) * capacity)
        mean = safe_mean(limit)
        server.part = mean / self._instances
        # What is not known to have started most likely has not: to keep away from it as well costs more.
        most = mean if server.assumed else MOST * limit / self._instances
        server.most, server.counts = max(1, int(most)), most >= 1

    def look(self, open_warm: int, key_load: float, load: float, now_us: int) -> None:
        """A request is about to be placed, with so many warm backends open to it. `key_load`, of this
        instance's whole `load`, in mean connections: what has the request's key, and so goes where it goes.
        """
        open_backends = max(1.0, open_warm + sum(server.chance for server in self.backends.values()))
        self._expected = max(1.0 / open_backends, (key_load + 1.0) / (load + open_backends))
        for server in self.backends.values():
            self._refill(server, now_us)
            server.chance = min(1.0, server.tokens * server.part / self._expected)
            if server.chance > 0:
                server.tokens -= self._expected * server.chance / server.part

    def _refill(self, server: TrackedBackend, now_us: int) -> None:
        gained = FLOW * (now_us - server.tokens_us) / self._window_us
        server.tokens = min(LEFT_OVER, server.tokens + gained)
        server.tokens_us = now_us

    def admits(self, server: TrackedBackend, weight: float, comes_again: bool, now_us: int) -> bool:
        """Whether the request that was looked at may go to this backend; asked once. `weight`: its work, as a
        multiple of a mean request's; `comes_again`: as its whole group may.
        """
        if self._sent(server, now_us) >= server.most:
            return False
        weight = max(1.0, weight) * (TOGETHER if comes_again else 1.0)
        return server.counts or self._random.random() * weight < server.chance

    def send(self, server: TrackedBackend, now_us: int) -> SlowStartAllowance:
        """A request goes there."""
        server.sent_us.append(now_us)
        part = server.most if server.counts else server.part
        return SlowStartAllowance(self.share(server, now_us), self._sent(server, now_us), part)

    def _sent(self, server: TrackedBackend, now_us: int) -> int:
        while server.sent_us and server.sent_us[0] <= now_us - self._window_us:
            server.sent_us.popleft()
        return len(server.sent_us)

    def opens_us(self, server: TrackedBackend, now_us: int) -> float:
        """When a request that waits for this backend can expect to be admitted."""
        opens: float = now_us
        if (over := self._sent(server, now_us) - server.most) >= 0:
            opens = server.sent_us[over] + self._window_us
        if not server.counts:
            missing = max(0.0, self._expected / max(1e-9, server.part) - server.tokens)
            opens = max(opens, now_us + missing * self._window_us / FLOW)
        return opens

    def forfeit(self, now_us: int) -> None:
        """Another process of this instance may have used its parts up: none is left in this window."""
        for server in self.backends.values():
            self._forfeit(server, now_us)

    def _forfeit(self, server: TrackedBackend, now_us: int) -> None:
        server.tokens, server.tokens_us, server.chance = 0.0, now_us, 0.0
        server.sent_us.extend([now_us] * FORFEITED)
