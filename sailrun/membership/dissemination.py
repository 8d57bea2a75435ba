"""Selects records to piggyback on messages: SWIM's infection-style dissemination (section 4.1)."""

from __future__ import annotations

import math
from collections import OrderedDict

# A record is transmitted at most this factor times the decimal logarithm of the number of known members.
TRANSMISSIONS_PER_LOG_SIZE = 4


class UpdateQueue:
    """Queues the names whose records still have to be transmitted, those transmitted least often first."""

    def __init__(self) -> None:
        self._transmissions: OrderedDict[str, int] = OrderedDict()

    def enqueue(self, name: str) -> None:
        """Queues the member's record before all others, and resets its transmission count."""
        self._transmissions[name] = 0
        self._transmissions.move_to_end(name, last=False)

    def discard(self, name: str) -> None:
        """Stops transmitting the member's record, if it is queued."""
        self._transmissions.pop(name, None)

    def clear(self) -> None:
        """Stops transmitting everything that is queued."""
        self._transmissions.clear()

    def take(self, limit: int, member_count: int) -> list[str]:
        """Returns up to `limit` names for the next message, and counts one transmission of each."""
        transmission_limit = TRANSMISSIONS_PER_LOG_SIZE * math.ceil(math.log10(member_count + 1))
        names: list[str] = []
        for _ in range(min(limit, len(self._transmissions))):
            name, transmissions = self._transmissions.popitem(last=False)
            names.append(name)
            if transmissions + 1 < transmission_limit:
                self._transmissions[name] = transmissions + 1
        return names
