"""Times the messages that pass between clients and one form server, and notices its silence."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from sailrun.node.session import FormSession

SECOND = 1_000_000
# What was timed longer ago says nothing of now.
SAMPLE_US = SECOND
# A form server is silent if for so long nothing at all came back while a line waited for its answer;
# with several clients waiting, chance is ruled out sooner.
SILENT_US, SILENT_MANY_US, MANY = 2_500_000, 1_500_000, 3
# One connection that returns nothing while others at the same form server do. It has to be ended within 7 s
# of its last line; a client's next line comes up to 2 s after that one, and finds out.
DEAF_US = 7 * SECOND - 2 * SECOND - SECOND // 2
# What a form server has said itself of its delay holds so much longer than what was timed here.
TOLD_US = 1_500_000


class ServerWatch:
    """What the lines passing through tell of one form server."""

    def __init__(self) -> None:
        self.sessions: dict[str, FormSession] = {}
        self.heard_us = 0
        self._took: deque[tuple[int, int]] = deque()  # (when, how long)
        self._noticed_us = 0
        self.slow = False

    def answered(self, now_us: int, took_us: int) -> None:
        self._took.append((now_us, took_us))

    def delay_us(self, now_us: int) -> int | None:
        """What a message takes here now: the median of those timed lately, with the waiting ones that
        already took longer than that. One late turn of this node's own loop does not sway it.
        """
        while self._took and self._took[0][0] < now_us - SAMPLE_US:
            self._took.popleft()
        timed = sorted(took for _, took in self._took)
        middle = timed[len(timed) // 2] if timed else 0
        waiting = [now_us - s.unanswered_since_us[0] for s in self.sessions.values() if s.unanswered_since_us]
        timed = sorted([*timed, *(w for w in waiting if w > middle)])
        return timed[len(timed) // 2] if timed else None

    def told(self, now_us: int, slow: bool) -> bool:
        """The form server has said itself what a message takes. That goes before what is timed here, until
        it should have been said again. Whether this is news.
        """
        self._noticed_us = now_us + (TOLD_US if slow else 0)
        was_slow, self.slow = self.slow, slow
        return slow is not was_slow

    def notice(self, now_us: int, least_us: float) -> float | None:
        """Milliseconds to tell of, if it is time: once a second while messages take over `least_us`,
        and once more when they are back under.
        """
        if now_us - self._noticed_us < SECOND or least_us <= 0:
            return None
        delay_us = self.delay_us(now_us)
        if delay_us is None or (delay_us <= least_us and not self.slow):
            return None
        self._noticed_us = now_us
        self.slow = delay_us > least_us
        return delay_us / 1000

    def at_rest(self) -> bool:
        """Whether there is nothing to look at until a client speaks again."""
        return not (self.slow or self._took or any(s.unanswered_since_us for s in self.sessions.values()))

    def silent(self, now_us: int) -> Iterable[FormSession]:
        """The form sessions here that hear nothing any more."""
        oldest = {
            s: s.unanswered_since_us[0]
            for s in self.sessions.values()
            if s.unanswered_since_us and s.move_reason is None
        }
        unheard = [sent for sent in oldest.values() if sent > self.heard_us]
        if unheard:
            waited = sorted((now_us - sent for sent in unheard), reverse=True)
            if waited[0] >= SILENT_US or (len(waited) >= MANY and waited[MANY - 1] >= SILENT_MANY_US):
                return [s for s in self.sessions.values() if s.move_reason is None]
        return [s for s, sent in oldest.items() if now_us - sent >= DEAF_US]
