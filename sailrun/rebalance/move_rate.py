"""The move rate: this node's share of the connections that the fleet may move in a second.

The rate is proportional to the number of form servers with free capacity, because each of them can set up a
limited number of sessions a second. It grows while the balance improves. A sign of trouble suspends moves at
once, and resets the rate to the initial one.
"""

from __future__ import annotations

SECOND = 1_000_000
# At most the budget of this time is saved while it is not used, which limits bursts.
MAX_SAVED_US = SECOND


class MoveRate:
    """A token bucket for the connections that this node moves.

    Rates are in connections a second to each form server with free capacity.
    """

    def __init__(
        self, initial_per_s: float, max_per_s: float, growth: float, suspension_us: int, now_us: int
    ) -> None:
        self._initial_per_s, self._max_per_s, self._growth, self._suspension_us = (
            initial_per_s,
            max_per_s,
            growth,
            suspension_us,
        )
        self.per_s = initial_per_s
        self._tokens = 0.0
        self._refilled_us = self._grown_us = now_us
        self._suspended_until_us = now_us
        self._best_imbalance = 0.0  # the lowest imbalance since the rate was last reset; 0: none yet
        # This node's share of the fleet's rate, as a multiple of the equal share; 1: the equal share.
        self.node_shares = 1.0

    def suspend(self, now_us: int) -> bool:
        """Suspends moves after a sign of trouble. Returns True if they were allowed until now."""
        was_allowed = now_us >= self._suspended_until_us
        self._suspended_until_us = now_us + self._suspension_us
        self.per_s, self._tokens, self._best_imbalance = self._initial_per_s, 0.0, 0.0
        return was_allowed

    def is_suspended(self, now_us: int) -> bool:
        """Returns whether moves are suspended."""
        return now_us < self._suspended_until_us

    def restart(self, now_us: int) -> None:
        """Resets the rate to the initial one when moving begins."""
        self.per_s, self._tokens, self._best_imbalance = self._initial_per_s, 1.0, 0.0
        self._refilled_us = self._grown_us = now_us

    def allowance(self, now_us: int, imbalance: float, target_count: int) -> int:
        """Returns how many connections may be moved now.

        `target_count`: the number of form servers with free capacity.
        """
        if self.is_suspended(now_us) or not target_count or not self.node_shares:
            self._refilled_us = now_us
            return 0
        if now_us - self._grown_us >= SECOND:
            self._grown_us = now_us
            if not self._best_imbalance or imbalance < self._best_imbalance:
                self.per_s = min(self.per_s * self._growth, max(self._max_per_s, self._initial_per_s))
                self._best_imbalance = imbalance
        seconds = min(now_us - self._refilled_us, MAX_SAVED_US) / SECOND
        self._refilled_us = now_us
        per_s = self.per_s * self.node_shares
        max_tokens = max(1.0, per_s * target_count * MAX_SAVED_US / SECOND)
        self._tokens = min(self._tokens + per_s * target_count * seconds, max_tokens)
        return int(self._tokens)

    def spend(self, connection_count: int) -> None:
        """Subtracts the number of moved connections from the budget.

        A group larger than the rest of the budget makes it negative, which delays the next moves.
        """
        self._tokens -= connection_count
