"""How fast may be moved: a budget of connections a second, this node's share of the fleet's, that grows with
the number of form servers that can take them.

It widens while the balance becomes better, and closes at once at a sign of trouble; after that it begins
anew, at the first pace. Bounded by what the form servers that are to take the moved can set up.
"""

from __future__ import annotations

SECOND = 1_000_000
# What was not used of the budget lapses after so long: no burst is saved up.
SAVED_US = SECOND


class Pace:
    """Rates are in connections a second to each form server that has room, of this node alone."""

    def __init__(self, first: float, most: float, widening: float, hold_us: int, now_us: int) -> None:
        self._first, self._most, self._widening, self._hold_us = first, most, widening, hold_us
        self.rate = first
        self._tokens = 0.0
        self._at_us = self._widened_us = now_us
        self._shut_until_us = now_us
        self._best = 0.0  # the least imbalance since the pace was last set
        # Of what all nodes may move, in even parts of the fleet: 1 is the share of one node among all.
        self.parts = 1.0

    def close(self, now_us: int) -> bool:
        """Trouble; True if the pace was open until now."""
        was_open = now_us >= self._shut_until_us
        self._shut_until_us = now_us + self._hold_us
        self.rate, self._tokens, self._best = self._first, 0.0, 0.0
        return was_open

    def shut(self, now_us: int) -> bool:
        """Whether moving is suspended."""
        return now_us < self._shut_until_us

    def begin(self, now_us: int) -> None:
        """Moving begins: slowly, whatever it had come to the last time."""
        self.rate, self._tokens, self._best = self._first, 1.0, 0.0
        self._at_us = self._widened_us = now_us

    def allowance(self, now_us: int, imbalance: float, targets: int) -> int:
        """How many connections may be moved now, with so many form servers to take them."""
        if self.shut(now_us) or not targets or not self.parts:
            self._at_us = now_us
            return 0
        if now_us - self._widened_us >= SECOND:
            self._widened_us = now_us
            if not self._best or imbalance < self._best:
                self.rate = min(self.rate * self._widening, max(self._most, self._first))
                self._best = imbalance
        seconds = min(now_us - self._at_us, SAVED_US) / SECOND
        self._at_us = now_us
        rate = self.rate * self.parts
        saved = max(1.0, rate * targets * SAVED_US / SECOND)
        self._tokens = min(self._tokens + rate * targets * seconds, saved)
        return int(self._tokens)

    def spend(self, connections: int) -> None:
        """Below 0 for a group larger than what was left: the next ones wait for longer."""
        self._tokens -= connections
