"""The check of fencing tokens: an act is rejected if its token is below the highest seen for the shard."""

from __future__ import annotations

from sailrun.sharding.messages import FencingToken

MAX_REMEMBERED_SHARDS = 1_000_000


class TokenFence:
    """One receiver's memory. At its capacity the shard whose last token is oldest is forgotten."""

    def __init__(self, capacity: int = MAX_REMEMBERED_SHARDS, off: frozenset[str] = frozenset()) -> None:
        """`capacity`: shards; `off` names safety rules that the laboratory switches off."""
        self._capacity = capacity
        self._off = off
        self._highest: dict[tuple[str, int], FencingToken] = {}  # by region and shard

    def highest_token(self, region: str, shard: int) -> FencingToken | None:
        """The highest token seen for a shard; None where none is remembered."""
        return self._highest.get((region, shard))

    def accept(self, region: str, shard: int, token: FencingToken) -> bool:
        """Whether an act with this token may be carried out; from then on lower ones may not."""
        key = (region, shard)
        highest = self._highest.pop(key, token)
        self._highest[key] = max(highest, token)
        if len(self._highest) > self._capacity:
            del self._highest[next(iter(self._highest))]
        return token >= highest or "token" in self._off
