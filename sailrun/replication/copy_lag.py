"""The lag of this replica behind the replica of the leader of the marks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from sailrun.membership.membership import Membership
from sailrun.replication.anti_entropy import AntiEntropy
from sailrun.replication.mark_client import LeaderRequest, decode_reply
from sailrun.replication.messages import MarkOperation, MarkRequest, MarkState, OutgoingMessage
from sailrun.replication.range_digests import FIRM_GROUP_COUNT

SECOND_US = 1_000_000
# Each node compares its replica with the leader's at this interval. From twice this many nodes on, the
# interval grows with the fleet, so that the leader's load stays bounded.
COMPARE_INTERVAL_US, COMPARE_NODES = SECOND_US, 200


class ReplicaLag:
    """Compares this replica with the leader's and fetches missing records."""

    def __init__(
        self,
        name: str,
        anti_entropy: AntiEntropy,
        members: Membership,
        send: Callable[[LeaderRequest], None],
        now_us: int,
    ) -> None:
        self._name, self._anti_entropy, self._members, self._send = name, anti_entropy, members, send
        self._in_sync_us = -1  # when this replica was last known to be in sync with the leader's; -1: never
        self.missing_records = 0  # how many records this replica may lack, according to the leader
        self._is_transfer_due = False  # according to the leader, this replica lacks records
        self._compare_at_us = now_us
        self._was_stale = False

    @property
    def is_sync_unknown(self) -> bool:
        """Whether this replica has never been in sync with the leader's since it was begun."""
        return self._in_sync_us < 0

    def reset(self) -> None:
        """Resets the lag to unknown, after the replica was discarded."""
        self._in_sync_us = -1

    def set_in_sync(self, now_us: int) -> None:
        """Sets the lag to 0, because this replica is the leader's own."""
        self._in_sync_us, self.missing_records = now_us, 0

    def get_lag_s(self, now_us: int) -> float | None:
        """Returns the time since this replica was last in sync with the leader's; None if it is not known."""
        return (now_us - self._in_sync_us) / SECOND_US if self._in_sync_us >= 0 else None

    def is_stale(self, now_us: int) -> bool:
        """Whether the lag is unknown or exceeds the settings' bound."""
        lag_s = self.get_lag_s(now_us)
        return lag_s is None or lag_s > self._anti_entropy.settings.stale_after_s

    def due_us(self) -> int:
        """Returns when `tick` has to be called next."""
        return self._compare_at_us

    def tick(self, now_us: int, leader: str, active_marks: int) -> list[OutgoingMessage]:
        """Compares this replica with the leader's; `leader` is empty if no leader is known."""
        if now_us < self._compare_at_us:
            return []
        nodes = len(self._members.living_names)
        self._compare_at_us = now_us + COMPARE_INTERVAL_US * max(1, nodes // COMPARE_NODES)
        copy = self._anti_entropy.copy
        if not copy.is_complete:
            self.missing_records = copy.missing_records
            return []
        digests = self._anti_entropy.store.digests.list_group_digests()[:FIRM_GROUP_COUNT]
        request = MarkRequest(MarkOperation.COMPARE, group_digests=digests)
        self._send(LeaderRequest(request, self._on_reply))
        messages: list[OutgoingMessage] = []
        if self._is_transfer_due and leader and leader != self._name:
            self._is_transfer_due = False
            messages = self._anti_entropy.request_digests(leader)
        self._log_staleness(now_us, active_marks)
        return messages

    def _on_reply(self, now_us: int, sent_us: int, content: Any) -> None:
        reply = decode_reply(content)
        if reply is None:
            return
        if reply.state == MarkState.DONE and self._anti_entropy.copy.is_complete:
            self._in_sync_us, self.missing_records = max(self._in_sync_us, sent_us), 0
        else:
            self.missing_records = reply.missing_records
            self._is_transfer_due = True

    def _log_staleness(self, now_us: int, active_marks: int) -> None:
        is_stale = self.is_stale(now_us)
        if is_stale is not self._was_stale:
            self._was_stale = is_stale
            self._anti_entropy.log_event("marks-stale" if is_stale else "marks-fresh", marks=active_marks)
