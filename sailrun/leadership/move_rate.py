"""The fleet's rate of moving clients for balance, shared out among the nodes by one leader.

Shares are granted for a short time and never add up to more than the whole. A grant counts until it has
ended, and a new leader grants nothing until all that its predecessor may have granted has ended.
"""

from __future__ import annotations

from typing import Any

import msgspec

from sailrun.leadership.settings import DRIFT

SECOND = 1_000_000
# A share lasts for so long from when it was asked for; it is asked for this often while clients are moved.
RATE_GRANT_US, REQUEST_INTERVAL_US = 2 * SECOND, 500_000


class RateGrant(msgspec.Struct, array_like=True, frozen=True):
    """The answer: this part of the whole pace, 0 to 1."""

    share: float


class MoveRateCoordinator:
    """The leader's side: grants shares. Made anew at each term."""

    def __init__(self, term: int, now_us: int) -> None:
        self.term = term
        self._opens_us = now_us + int(RATE_GRANT_US * (1 + 3 * DRIFT))
        self._grants: dict[str, list[tuple[float, int]]] = {}  # by node: shares it may use, and until when

    def grant_share(self, now_us: int, sender: str) -> Any:
        """Grants an even share, as far as there is any left."""
        for name, grant in list(self._grants.items()):
            self._grants[name] = [one for one in grant if one[1] > now_us]
            if not self._grants[name] and name != sender:
                del self._grants[name]
        if now_us < self._opens_us:
            return msgspec.to_builtins(RateGrant(0.0))
        # The answer may be lost, and what was lent before used to its end: the largest counts.
        others = sum(
            max(share for share, _ in grant) for name, grant in self._grants.items() if name != sender
        )
        share = max(0.0, min(1.0 / len(self._grants.keys() | {sender}), 1.0 - others))
        self._grants.setdefault(sender, []).append((share, now_us + RATE_GRANT_US))
        return msgspec.to_builtins(RateGrant(share))


class MoveRateShare:
    """The client's side: what this node was granted, and until when."""

    def __init__(self) -> None:
        self._share, self._expires_us, self._next_request_us = 0.0, 0, 0

    def take_due_request(self, now_us: int) -> bool:
        """Whether a request is due now; the next one is due an interval later."""
        if now_us < self._next_request_us:
            return False
        self._next_request_us = now_us + REQUEST_INTERVAL_US
        return True

    def on_grant(self, sent_us: int, content: Any) -> None:
        """The leader's answer to a request sent at `sent_us`; one that is malformed is ignored."""
        try:
            grant = msgspec.convert(content, RateGrant)
        except msgspec.ValidationError:
            return
        self._share, self._expires_us = grant.share, sent_us + int(RATE_GRANT_US * (1 - 2 * DRIFT))

    def current_share(self, now_us: int) -> float:
        """This node's share, 0 to 1; 0 where none was granted, or the grant has ended."""
        return self._share if now_us < self._expires_us else 0.0
