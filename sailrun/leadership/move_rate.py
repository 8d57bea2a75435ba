"""Distributes the fleet's rate of moving clients for balance among the nodes; one leader grants the shares.

Shares are granted for a short time and never add up to more than 1. A grant counts until it expires, and a
new leader grants nothing until every grant that its predecessor may have made has expired.
"""

from __future__ import annotations

from typing import Any

import msgspec

from sailrun.leadership.settings import DRIFT

SECOND = 1_000_000
# How long a grant is valid, counted from its request; and the interval of requests while clients are being
# moved.
RATE_GRANT_US, REQUEST_INTERVAL_US = 2 * SECOND, 500_000


class RateGrant(msgspec.Struct, array_like=True, frozen=True):
    """The response: the granted share of the fleet's move rate, from 0 to 1."""

    share: float


class MoveRateCoordinator:
    """The leader's side: grants shares. Each term has a new instance, which grants none until `_opens_us`."""

    def __init__(self, term: int, now_us: int) -> None:
        self.term = term
        self._opens_us = now_us + int(RATE_GRANT_US * (1 + 3 * DRIFT))
        self._grants: dict[str, list[tuple[float, int]]] = {}  # by node: shares and their expiry

    def grant_share(self, now_us: int, sender: str) -> Any:
        """Grants an even share, limited to the part that is not granted to other nodes."""
        for name, grants in list(self._grants.items()):
            self._grants[name] = [
                share_and_expiry for share_and_expiry in grants if share_and_expiry[1] > now_us
            ]
            if not self._grants[name] and name != sender:
                del self._grants[name]
        if now_us < self._opens_us:
            return msgspec.to_builtins(RateGrant(0.0))
        # The response may be lost, and the node may then use an earlier grant until it expires. Therefore
        # each other node counts with the largest of its unexpired grants.
        others = sum(
            max(share for share, _ in grants) for name, grants in self._grants.items() if name != sender
        )
        share = max(0.0, min(1.0 / len(self._grants.keys() | {sender}), 1.0 - others))
        self._grants.setdefault(sender, []).append((share, now_us + RATE_GRANT_US))
        return msgspec.to_builtins(RateGrant(share))


class MoveRateShare:
    """The client's side: the share that was granted to this node, and its expiry."""

    def __init__(self) -> None:
        self._share, self._expires_us, self._next_request_us = 0.0, 0, 0

    def take_due_request(self, now_us: int) -> bool:
        """Returns whether a request is due now; if so, the next one is due an interval later."""
        if now_us < self._next_request_us:
            return False
        self._next_request_us = now_us + REQUEST_INTERVAL_US
        return True

    def on_grant(self, sent_us: int, content: Any) -> None:
        """Handles the leader's response to a request sent at `sent_us`; ignores a malformed one."""
        try:
            grant = msgspec.convert(content, RateGrant)
        except msgspec.ValidationError:
            return
        self._share, self._expires_us = grant.share, sent_us + int(RATE_GRANT_US * (1 - 2 * DRIFT))

    def current_share(self, now_us: int) -> float:
        """Returns this node's share, from 0 to 1; 0 if none was granted or the grant has expired."""
        return self._share if now_us < self._expires_us else 0.0
