"""The failure detector of one form server: finds the sessions that it no longer responds to."""

from __future__ import annotations

from collections.abc import Collection

from sailrun.node.session import FormSession

# A form server is unresponsive if for so long nothing at all came back while a line awaited its answer;
# with several clients waiting, chance is ruled out sooner.
UNRESPONSIVE_US = 2_500_000
SEVERAL_UNRESPONSIVE_US = 1_500_000
SEVERAL_SESSIONS = 3
# One connection that returns nothing while others at the same form server do. It has to be ended within 7 s
# of its last line; a client's next line comes up to 2 s after that one, and finds out.
CONNECTION_UNRESPONSIVE_US = 7_000_000 - 2_000_000 - 500_000


class FailureDetector:
    """When the form server was last heard from; all times in Unix microseconds."""

    __slots__ = ("last_received_us",)

    def __init__(self) -> None:
        self.last_received_us = 0

    def find_unresponsive(self, now_us: int, sessions: Collection[FormSession]) -> list[FormSession]:
        """Of the form server's sessions, those that it no longer responds to.

        They are all of them once the form server as a whole is unresponsive. Sessions that are being moved
        are left out.
        """
        oldest = {
            session: session.unanswered_since_us[0]
            for session in sessions
            if session.unanswered_since_us and session.move_reason is None
        }
        unheard = [sent_us for sent_us in oldest.values() if sent_us > self.last_received_us]
        if unheard and _is_unresponsive([now_us - sent_us for sent_us in unheard]):
            return [session for session in sessions if session.move_reason is None]
        return [s for s, sent_us in oldest.items() if now_us - sent_us >= CONNECTION_UNRESPONSIVE_US]


def _is_unresponsive(waited_us: list[int]) -> bool:
    """Whether sessions that have waited so long, with nothing received since, rule chance out."""
    waited_us.sort(reverse=True)
    if waited_us[0] >= UNRESPONSIVE_US:
        return True
    return len(waited_us) >= SEVERAL_SESSIONS and waited_us[SEVERAL_SESSIONS - 1] >= SEVERAL_UNRESPONSIVE_US
