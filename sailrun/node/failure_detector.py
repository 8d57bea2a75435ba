"""The failure detector of one form server: finds the sessions to which it no longer responds."""

from __future__ import annotations

from collections.abc import Collection

from sailrun.node.session import FormSession

# A form server is unresponsive if nothing at all was received from it for this long while a line awaited its
# answer. If several sessions wait, a shorter time suffices, because a coincidence is less likely.
UNRESPONSIVE_US = 2_500_000
SEVERAL_UNRESPONSIVE_US = 1_500_000
SEVERAL_SESSIONS = 3
# Applies to one connection that returns nothing while others to the same form server do. It has to be ended
# within 7 s of the last line that it returned. The client's next line, which reveals the failure, comes up to
# 2 s after that line; the last 0.5 s are a margin.
CONNECTION_UNRESPONSIVE_US = 7_000_000 - 2_000_000 - 500_000


class FailureDetector:
    """Records when the form server last sent anything; all times in Unix microseconds."""

    __slots__ = ("last_received_us",)

    def __init__(self) -> None:
        self.last_received_us = 0

    def find_unresponsive(self, now_us: int, sessions: Collection[FormSession]) -> list[FormSession]:
        """Returns those of the form server's sessions to which it no longer responds.

        If the form server as a whole is unresponsive, these are all its sessions. Sessions that are being
        moved are excluded.
        """
        oldest = {
            session: session.unanswered_since_us[0]
            for session in sessions
            if session.unanswered_since_us and session.move_reason is None
        }
        sent_since_received = [sent_us for sent_us in oldest.values() if sent_us > self.last_received_us]
        if sent_since_received and _is_unresponsive([now_us - sent_us for sent_us in sent_since_received]):
            return [session for session in sessions if session.move_reason is None]
        return [s for s, sent_us in oldest.items() if now_us - sent_us >= CONNECTION_UNRESPONSIVE_US]


def _is_unresponsive(waited_us: list[int]) -> bool:
    """Returns whether the waiting times of the sessions, during which nothing was received, show that the
    form server is unresponsive.
    """
    waited_us.sort(reverse=True)
    if waited_us[0] >= UNRESPONSIVE_US:
        return True
    return len(waited_us) >= SEVERAL_SESSIONS and waited_us[SEVERAL_SESSIONS - 1] >= SEVERAL_UNRESPONSIVE_US
