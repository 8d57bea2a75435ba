"""Slow start: limits how many requests all instances together send to a recently started backend.

Such a backend is overloaded if it gets more requests of mean work within `overload_window_us` than it
tolerates. The limit is N + 3 * sqrt(N) + 3, or N + 2 * sqrt(N) + 2 from N = 30 on, where N is the number of
requests that `overload_multiple` times its present capacity amounts to in that time. An instance does not see
what the others send at the moment, messages may be lost and clocks may differ. Therefore each instance keeps
to an allowance of its own, and the allowances bound the sum:

- If the allowance of one instance is a request or more, the instance counts the requests that it sends and
  stops at the allowance.
- Otherwise the mean for all instances is set 2.5 standard deviations below the limit and divided by the
  number of instances: the configured number, or the known one if that is higher. The allowance of one
  instance is then less than a request and is spent as probabilities. Each request that the instance places
  deducts the probability that it would have gone to this backend, whether it goes there or not, and is
  admitted only with the probability that the allowance covers. At low request rates most such requests are
  admitted; in a burst at all instances at once the sum of the probabilities stays near the mean for all
  instances.
- The unused allowance of an idle time is limited to that of one window.
- Whatever the probabilities are, an instance with an allowance below one request sends at most one request
  per window.

Source: the protocol page's rule on overload of a recovering backend. A backend's capacity is not stated
anywhere. It is estimated from the established connections or their reported loads: a backend can take at
least as many connections as fill it over `slow_start_us`.
"""

from __future__ import annotations

import math
from random import Random

from sailrun.decisions.actions import SlowStartAllowance
from sailrun.decisions.endpoints import NOT_STARTING, Endpoint
from sailrun.decisions.settings import Settings

# From this many requests on, the tolerance for random variation is smaller.
LARGE_COUNT = 30
# The distance between the mean for all instances and a backend's limit, in standard deviations, and the
# lowest mean, which applies if nothing is known about a backend.
SAFETY_DEVIATIONS = 2.5
MIN_MEAN_REQUESTS = 1.0
# The share of one window's allowance that is refilled evenly per window, and the most that can be
# accumulated.
REFILL_SHARE = 0.8
MAX_TOKENS = 1.0
# The share of a backend's limit that is sent if the allowance of each instance is a request or more, so that
# counting is sufficient.
COUNTED_SHARE = 0.85
# More requests than any instance sends to a backend in slow start within one window.
FORFEITED_SENDS = 1_000
# Clients that lost their backend return at the same time and with their whole group, and a whole group is
# placed on the same backend. Such requests hit one backend more often than independent ones would, so each of
# them has a higher weight.
RETURNING_WEIGHT = 2.0
# Lower limit of an allowance where it is a divisor.
MIN_ALLOWANCE = 1e-9


def max_tolerated_requests(expected: float) -> float:
    """Returns how many requests within one window a backend tolerates if it can handle `expected` of them."""
    if expected < LARGE_COUNT:
        return expected + 3 * math.sqrt(expected) + 3
    return expected + 2 * math.sqrt(expected) + 2


def safe_mean_requests(limit: float) -> float:
    """Returns the mean of a count that stays `SAFETY_DEVIATIONS` standard deviations below `limit`."""
    root = (math.sqrt(SAFETY_DEVIATIONS**2 + 4 * limit) - SAFETY_DEVIATIONS) / 2
    return max(MIN_MEAN_REQUESTS, root**2)


class SlowStart:
    """One instance's allowances for backends in slow start. Times are those of the instance's own clock."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._window_us = max(1, settings.overload_window_us)
        self._instances = settings.instances
        # The probability that the latest request would be placed on a given open backend.
        self._placement_probability = 1.0
        self.endpoints: dict[int, Endpoint] = {}  # in slow start, by id

    # ------------------------------------------------------------------ begin and end

    def begin(
        self, endpoint: Endpoint, since_us: int, now_us: int, *, may_have_sent: bool, is_assumed: bool
    ) -> bool:
        """Begins the slow start of a backend that started at `since_us`.

        Returns False if slow start is not configured or would be over by now. `may_have_sent` means that an
        earlier process of this instance may have sent requests to the backend; `is_assumed` that the start is
        inferred and not stated by the backend list or an operator.
        """
        if now_us - since_us >= self._settings.slow_start_us:
            return False
        state = endpoint.slow_start
        state.began_us = since_us
        state.tokens_us = now_us
        state.is_assumed = is_assumed
        has_sent = self._count_recent_sends(endpoint, now_us) > 0
        state.tokens = 0.0 if has_sent else MAX_TOKENS * self._random.random()
        state.allowance = 0.0
        state.max_sends = 1
        state.admission_probability = 0.0
        self.endpoints[endpoint.id] = endpoint
        if may_have_sent:
            self._forfeit(endpoint, now_us)
        return True

    def resume(self, endpoint: Endpoint) -> None:
        """Resumes the slow start of a backend that was restored from a snapshot."""
        self.endpoints[endpoint.id] = endpoint

    def end(self, endpoint: Endpoint) -> None:
        """Ends the slow start of a backend that has its full capacity or was replaced by another process."""
        endpoint.slow_start.began_us = NOT_STARTING
        self.endpoints.pop(endpoint.id, None)

    def list_completed(self, now_us: int) -> list[Endpoint]:
        """Returns the backends whose slow start is over."""
        return [
            endpoint for endpoint in self.endpoints.values() if self.capacity_share(endpoint, now_us) >= 1.0
        ]

    def capacity_share(self, endpoint: Endpoint, now_us: int) -> float:
        """Returns the share of its capacity that a backend has at least: less than 1 in slow start."""
        began_us = endpoint.slow_start.began_us
        if began_us < 0:
            return 1.0
        age = (now_us - began_us) / self._settings.slow_start_us
        initial = self._settings.initial_capacity_share
        return min(1.0, initial + (1 - initial) * age)

    # ------------------------------------------------------------------ allowance

    def update_allowance(
        self, endpoint: Endpoint, connections: float, known_instances: int, now_us: int
    ) -> None:
        """Recomputes this instance's allowance for a backend.

        `connections` is the number of connections, over all instances, that fill the backend at full
        capacity; `known_instances` is the number of instances known to run, including this one.
        """
        self._instances = max(self._settings.instances, known_instances)
        requests_per_window = connections * self._window_us / self._settings.slow_start_us
        share = self.capacity_share(endpoint, now_us)
        limit = max_tolerated_requests(self._settings.overload_multiple * share * requests_per_window)
        mean = safe_mean_requests(limit)
        state = endpoint.slow_start
        state.full_connections = connections
        state.allowance = mean / self._instances
        # A backend whose start is only assumed most likely did not restart, so withholding requests from
        # it would cost more than it gains.
        allowed_sends = mean if state.is_assumed else COUNTED_SHARE * limit / self._instances
        state.max_sends = max(1, int(allowed_sends))
        state.is_counted = allowed_sends >= 1

    def draw_allowance(self, open_at_full_capacity: int, key_load: float, load: float, now_us: int) -> None:
        """Deducts the placement probability of a request from the allowances, before it is placed.

        `open_at_full_capacity` is the number of open backends that are not in slow start. `key_load` is the
        part of this instance's `load` that has the request's key and so is placed on the same backend; both
        are in units of a mean connection.
        """
        starting = self.endpoints.values()
        open_backends = max(
            1.0, open_at_full_capacity + sum(e.slow_start.admission_probability for e in starting)
        )
        probability = max(1.0 / open_backends, (key_load + 1.0) / (load + open_backends))
        self._placement_probability = probability
        for endpoint in starting:
            state = endpoint.slow_start
            self._refill(endpoint, now_us)
            state.admission_probability = min(1.0, state.tokens * state.allowance / probability)
            if state.admission_probability > 0:
                state.tokens -= probability * state.admission_probability / state.allowance

    def _refill(self, endpoint: Endpoint, now_us: int) -> None:
        state = endpoint.slow_start
        gained = REFILL_SHARE * (now_us - state.tokens_us) / self._window_us
        state.tokens = min(MAX_TOKENS, state.tokens + gained)
        state.tokens_us = now_us

    def admits(self, endpoint: Endpoint, weight: float, is_returning: bool, now_us: int) -> bool:
        """Returns whether the request for which the allowance was drawn may be sent to this backend.

        It must be called once per request and backend. `weight` is the request's work as a multiple of the
        mean; `is_returning` means that the client reconnects, possibly together with its whole group.
        """
        state = endpoint.slow_start
        if self._count_recent_sends(endpoint, now_us) >= state.max_sends:
            return False
        weight = max(1.0, weight) * (RETURNING_WEIGHT if is_returning else 1.0)
        return state.is_counted or self._random.random() * weight < state.admission_probability

    def record_attempt(self, endpoint: Endpoint, now_us: int) -> SlowStartAllowance:
        """Records that an attempt begins there; returns the state of the allowance, for the log."""
        state = endpoint.slow_start
        state.sends_us.append(now_us)
        allowance = state.max_sends if state.is_counted else state.allowance
        sent = self._count_recent_sends(endpoint, now_us)
        return SlowStartAllowance(
            self.capacity_share(endpoint, now_us),
            sent,
            allowance,
            endpoint.weight,
            endpoint.capacity,
            state.full_connections,
        )

    def _count_recent_sends(self, endpoint: Endpoint, now_us: int) -> int:
        sends_us = endpoint.slow_start.sends_us
        while sends_us and sends_us[0] <= now_us - self._window_us:
            sends_us.popleft()
        return len(sends_us)

    def next_admission_us(self, endpoint: Endpoint, now_us: int) -> float:
        """Returns the earliest time at which a waiting request may be admitted to this backend."""
        state = endpoint.slow_start
        admission_us: float = now_us
        if (excess := self._count_recent_sends(endpoint, now_us) - state.max_sends) >= 0:
            admission_us = state.sends_us[excess] + self._window_us
        if not state.is_counted:
            missing = max(
                0.0, self._placement_probability / max(MIN_ALLOWANCE, state.allowance) - state.tokens
            )
            admission_us = max(admission_us, now_us + missing * self._window_us / REFILL_SHARE)
        return admission_us

    def forfeit_allowances(self, now_us: int) -> None:
        """Gives up all allowances of this window, which another process of this instance may have used up."""
        for endpoint in self.endpoints.values():
            self._forfeit(endpoint, now_us)

    def _forfeit(self, endpoint: Endpoint, now_us: int) -> None:
        state = endpoint.slow_start
        state.tokens = 0.0
        state.tokens_us = now_us
        state.admission_probability = 0.0
        state.sends_us.extend([now_us] * FORFEITED_SENDS)
