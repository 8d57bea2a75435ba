"""What receivers of acts for shards check: no token below the highest that was seen for the shard."""

from __future__ import annotations

from sailrun.sharding.messages import FencingToken

MOST_SHARDS_REMEMBERED = 1_000_000


class TokenFence:
    """One receiver's memory. Where it is full, those heard of longest ago are forgotten."""

    def __init__(self, most: int = MOST_SHARDS_REMEMBERED, off: frozenset[str] = frozenset()) -> None:
        self._most, self._off = most, off
        self._highest: dict[tuple[str, int], FencingToken] = {}

    def highest_token(self, region: str, shard: int) -> FencingToken | None:
        """The highest token seen for a shard."""
        return self._highest.get((region, shard))

    def accept(self, region: str, shard: int, token: FencingToken) -> bool:
        """Whether an act with this token may be carried out; from then on lower ones may not."""
        key = (region, shard)
        seen = self._highest.pop(key, token)
        self._highest[key] = max(seen, token)
        if len(self._highest) > self._most:
            del self._highest[next(iter(self._highest))]
        return token >= seen or "token" in self._off
