"""The check of fencing tokens: an act is rejected if its token is below the highest seen for its shard."""

from __future__ import annotations

from sailrun.sharding.messages import FencingToken

MAX_REMEMBERED_SHARDS = 1_000_000


class TokenFence:
    """The highest tokens that one receiver has seen. At capacity the least recently used shard is removed."""

    def __init__(
        self, capacity: int = MAX_REMEMBERED_SHARDS, disabled_rules: frozenset[str] = frozenset()
    ) -> None:
        """`capacity` is a number of shards. `disabled_rules` are safety rules that the laboratory switches
        off.
        """
        self._capacity = capacity
        self._disabled_rules = disabled_rules
        self._highest: dict[tuple[str, int], FencingToken] = {}  # by region and shard

    def highest_token(self, region: str, shard: int) -> FencingToken | None:
        """The highest token seen for a shard; None if none is stored."""
        return self._highest.get((region, shard))

    def accept(self, region: str, shard: int, token: FencingToken) -> bool:
        """Whether an act with this token may be performed. Lower tokens are rejected from now on."""
        key = (region, shard)
        highest = self._highest.pop(key, token)
        self._highest[key] = max(highest, token)
        if len(self._highest) > self._capacity:
            del self._highest[next(iter(self._highest))]
        return token >= highest or "token" in self._disabled_rules
