"""Slow start: how much a backend that has just started is sent, by all instances of the tier together.

Such a backend is overloaded when it gets more requests of mean work within `overload_window_us` than it
bears: N + 3 * sqrt(N) + 3, or N + 2 * sqrt(N) + 2 from N = 30 on, where N is what `overload_multiple` times
its present capacity comes to in that time. No instance sees what the others send just now, no message need
arrive and no two clocks need agree, so each keeps to a part of its own that bounds the sum:

- Where the part of one instance comes to a request or more, it counts what it sends, and sends no more.
- Else the tier's mean is set 2.5 standard deviations below what the backend bears, and is divided by the
  number of instances, which is configured, not learned. The part of one is less than a request, and is spent
  as probabilities: each request that the instance places takes from it the probability that it would have
  gone to this backend, whether it does or not, and is admitted only with as much. In quiet times most such
  requests are; in a rush at all instances at once the sum of their probabilities stays near the tier's mean.
- What is left over from a quiet time is one window's part at the most.
- Whatever the probabilities are, an instance with a smaller part sends no more than one request in a window.

Source: the protocol page's rule on overload of a recovering backend. A backend's capacity is stated nowhere;
it is estimated from the established connections or their reported loads, of which a backend can take at
least as many as fill it over `slow_start_us`.
"""

from __future__ import annotations

import math
from random import Random

from sailrun.decisions.actions import SlowStartAllowance
from sailrun.decisions.endpoints import NOT_STARTING, Endpoint
from sailrun.decisions.settings import Settings

# From so many requests on, less is allowed for chance.
LARGE_COUNT = 30
# Between the tier's mean and what a backend bears; the least mean, where nothing is known of a backend.
SAFETY_DEVIATIONS = 2.5
MIN_MEAN_REQUESTS = 1.0
# Of the tier's mean in one window, what is refilled evenly, and the most that may be left over.
REFILL_SHARE = 0.8
MAX_TOKENS = 1.0
# Of what a backend bears, what is sent where each instance's part is a request or more, and a count will do.
COUNTED_SHARE = 0.85
# More than any instance sends a backend in slow start within one window.
FORFEITED_SENDS = 1_000
# Clients that lost their backend come again together, with all of their group, and whole groups go one way:
# more of them than chance would have it. So each weighs as much more.
RETURNING_WEIGHT = 2.0
# Parts are divided by; never by less than this.
MIN_PART = 1e-9


def max_bearable_requests(expected: float) -> float:
    """Requests within one window that a backend bears for certain where so many are expected of it."""
    if expected < LARGE_COUNT:
        return expected + 3 * math.sqrt(expected) + 3
    return expected + 2 * math.sqrt(expected) + 2


def safe_mean_requests(limit: float) -> float:
    """The mean of a count that stays within `limit` by `SAFETY_DEVIATIONS` standard deviations."""
    root = (math.sqrt(SAFETY_DEVIATIONS**2 + 4 * limit) - SAFETY_DEVIATIONS) / 2
    return max(MIN_MEAN_REQUESTS, root**2)


class SlowStart:
    """One instance's part in the slow start of every backend. Times are of the instance's own clock."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._window_us = max(1, settings.overload_window_us)
        self._instances = settings.instances
        # The probability that the latest request would go to any one open backend.
        self._placement_probability = 1.0
        self.endpoints: dict[int, Endpoint] = {}  # in slow start, by id

    # ------------------------------------------------------------------ begin and end

    def begin(
        self, endpoint: Endpoint, since_us: int, now_us: int, *, may_have_sent: bool, is_assumed: bool
    ) -> bool:
        """False where the settings know no slow start, or it is over by now.

        `may_have_sent`: a process of this instance before this one may have sent the backend something.
        `is_assumed`: nobody has stated that it started.
        """
        if now_us - since_us >= self._settings.slow_start_us:
            return False
        state = endpoint.slow_start
        state.began_us = since_us
        state.tokens_us = now_us
        state.is_assumed = is_assumed
        has_sent = self._count_recent_sends(endpoint, now_us) > 0
        state.tokens = 0.0 if has_sent else MAX_TOKENS * self._random.random()
        state.part = 0.0
        state.max_sends = 1
        state.admission_probability = 0.0
        self.endpoints[endpoint.id] = endpoint
        if may_have_sent:
            self._forfeit(endpoint, now_us)
        return True

    def resume(self, endpoint: Endpoint) -> None:
        """The slow start of a backend was restored from a snapshot."""
        self.endpoints[endpoint.id] = endpoint

    def end(self, endpoint: Endpoint) -> None:
        """It has all of its capacity, or another process has taken its place."""
        endpoint.slow_start.began_us = NOT_STARTING
        self.endpoints.pop(endpoint.id, None)

    def list_completed(self, now_us: int) -> list[Endpoint]:
        """Those whose slow start is over."""
        return [one for one in self.endpoints.values() if self.capacity_share(one, now_us) >= 1.0]

    def capacity_share(self, endpoint: Endpoint, now_us: int) -> float:
        """What a backend is sure to have of its capacity: less than 1 in slow start."""
        began_us = endpoint.slow_start.began_us
        if began_us < 0:
            return 1.0
        age = (now_us - began_us) / self._settings.slow_start_us
        initial = self._settings.initial_capacity_share
        return min(1.0, initial + (1 - initial) * age)

    # ------------------------------------------------------------------ allowance

    def update_allowance(
        self, endpoint: Endpoint, connections: float, instances_heard: int, now_us: int
    ) -> None:
        """Works out this instance's part anew. `connections`: those of all instances that fill the backend
        once it has all of its capacity; `instances_heard`: those known to run, this one among them.
        """
        self._instances = max(self._settings.instances, instances_heard)
        in_window = connections * self._window_us / self._settings.slow_start_us
        share = self.capacity_share(endpoint, now_us)
        limit = max_bearable_requests(self._settings.overload_multiple * share * in_window)
        mean = safe_mean_requests(limit)
        state = endpoint.slow_start
        state.part = mean / self._instances
        # What is not known to have started most likely has not: to keep away from it as well costs more.
        most = mean if state.is_assumed else COUNTED_SHARE * limit / self._instances
        state.max_sends = max(1, int(most))
        state.is_counted = most >= 1

    def draw_allowance(self, open_established: int, key_load: float, load: float, now_us: int) -> None:
        """A request is about to be placed, with so many backends out of slow start open to it. `key_load`,
        of this instance's whole `load`, in mean connections: what has the request's key, and so goes where
        it goes.
        """
        starting = self.endpoints.values()
        open_backends = max(1.0, open_established + sum(e.slow_start.admission_probability for e in starting))
        probability = max(1.0 / open_backends, (key_load + 1.0) / (load + open_backends))
        self._placement_probability = probability
        for endpoint in starting:
            state = endpoint.slow_start
            self._refill(endpoint, now_us)
            state.admission_probability = min(1.0, state.tokens * state.part / probability)
            if state.admission_probability > 0:
                state.tokens -= probability * state.admission_probability / state.part

    def _refill(self, endpoint: Endpoint, now_us: int) -> None:
        state = endpoint.slow_start
        gained = REFILL_SHARE * (now_us - state.tokens_us) / self._window_us
        state.tokens = min(MAX_TOKENS, state.tokens + gained)
        state.tokens_us = now_us

    def admits(self, endpoint: Endpoint, weight: float, is_returning: bool, now_us: int) -> bool:
        """Whether the request for which the allowance was drawn may go to this backend; asked once.
        `weight`: its work, as a multiple of a mean request's; `is_returning`: as its whole group may be.
        """
        state = endpoint.slow_start
        if self._count_recent_sends(endpoint, now_us) >= state.max_sends:
            return False
        weight = max(1.0, weight) * (RETURNING_WEIGHT if is_returning else 1.0)
        return state.is_counted or self._random.random() * weight < state.admission_probability

    def record_attempt(self, endpoint: Endpoint, now_us: int) -> SlowStartAllowance:
        """An attempt begins there; returns what was known of the backend, for the log."""
        state = endpoint.slow_start
        state.sends_us.append(now_us)
        part = state.max_sends if state.is_counted else state.part
        sent = self._count_recent_sends(endpoint, now_us)
        return SlowStartAllowance(self.capacity_share(endpoint, now_us), sent, part)

    def _count_recent_sends(self, endpoint: Endpoint, now_us: int) -> int:
        sends_us = endpoint.slow_start.sends_us
        while sends_us and sends_us[0] <= now_us - self._window_us:
            sends_us.popleft()
        return len(sends_us)

    def next_admission_us(self, endpoint: Endpoint, now_us: int) -> float:
        """When a request that waits for this backend can expect to be admitted."""
        state = endpoint.slow_start
        opens_us: float = now_us
        if (excess := self._count_recent_sends(endpoint, now_us) - state.max_sends) >= 0:
            opens_us = state.sends_us[excess] + self._window_us
        if not state.is_counted:
            missing = max(0.0, self._placement_probability / max(MIN_PART, state.part) - state.tokens)
            opens_us = max(opens_us, now_us + missing * self._window_us / REFILL_SHARE)
        return opens_us

    def forfeit_allowances(self, now_us: int) -> None:
        """Another process of this instance may have used its parts up: none is left in this window."""
        for endpoint in self.endpoints.values():
            self._forfeit(endpoint, now_us)

    def _forfeit(self, endpoint: Endpoint, now_us: int) -> None:
        state = endpoint.slow_start
        state.tokens = 0.0
        state.tokens_us = now_us
        state.admission_probability = 0.0
        state.sends_us.extend([now_us] * FORFEITED_SENDS)
