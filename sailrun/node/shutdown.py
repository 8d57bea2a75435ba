"""When and how fast clients are sent away: for a planned restart, a drain, or a successor.

Pure: time comes in. Each reason has its plan, and several may be in force at once: the fastest counts, and
the end of one leaves the others as they were.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import NamedTuple

# The process is killed no earlier than the longest deadline, taken as 3 s at most, plus 0.7 s after the
# signal; a drain is checked after 4 s. New clients come for up to 0.4 s more.
LONGEST_DEADLINE_US = 3_000_000
ACCEPT_US = 1_000_000
# The shares of that time in which the moves begin and end. Whoever is moved while new clients still come here
# comes straight back, and has to be moved once more: so none before that is over.
MOVES_BEGIN_SHARE = 0.15
MOVES_END_SHARE = 0.7
# Established sessions are transferred to a successor as they are: whoever is left after a while is moved. The
# predecessor is signalled within 6 s: until then there is time, then the plan for that counts too.
TRANSFER_US = 1_000_000
SUCCEEDED_US = 5_000_000
# How long the last answers are waited for before the process ends.
LAST_ANSWERS_US = 200_000


class ShutdownReason(Enum):
    """Why clients are sent away; the values are those of the log."""

    RESTART = "restart"
    DRAIN = "drain"
    SUCCEEDED = "succeeded"


class ShutdownPlan(NamedTuple):
    """The times of one reason, in Unix microseconds."""

    moves_begin_us: int
    moves_end_us: int  # all are moved by then
    accept_until_us: int  # new clients may come until then, or a successor fail that has only just begun
    answer_by_us: int  # whoever still awaits an answer is given one
    keeps_running: bool  # the process goes on afterwards


def plan_shutdown(reason: ShutdownReason, now_us: int, longest_deadline_us: int) -> ShutdownPlan:
    """The plan for a reason that arises now; `longest_deadline_us` is that of any request class."""
    longest_us = min(LONGEST_DEADLINE_US, longest_deadline_us)
    accept_until_us = now_us + ACCEPT_US
    if reason is ShutdownReason.SUCCEEDED:
        end_us = now_us + SUCCEEDED_US
        return ShutdownPlan(now_us + TRANSFER_US, end_us, accept_until_us, end_us + longest_us, False)
    return ShutdownPlan(
        now_us + int(MOVES_BEGIN_SHARE * longest_us),
        now_us + int(MOVES_END_SHARE * longest_us),
        accept_until_us,
        # After a drain's time a straggler is answered at once, for as long as the drain lasts.
        now_us + longest_us,
        reason is ShutdownReason.DRAIN,
    )


class ShutdownPlans:
    """The plans in force, by reason; true while there is any."""

    def __init__(self, longest_deadline_us: int) -> None:
        """`longest_deadline_us`: of all request classes."""
        self._longest_deadline_us = longest_deadline_us
        self._plans: dict[ShutdownReason, ShutdownPlan] = {}

    def __bool__(self) -> bool:
        return bool(self._plans)

    def __contains__(self, reason: ShutdownReason) -> bool:
        return reason in self._plans

    def begin(self, reason: ShutdownReason, now_us: int) -> bool:
        """Puts a plan in force; False if it is already, whose times then stay as they are."""
        if reason in self._plans:
            return False
        self._plans[reason] = plan_shutdown(reason, now_us, self._longest_deadline_us)
        return True

    def cancel(self, reason: ShutdownReason) -> bool:
        """Ends a plan; False if it was not in force."""
        return self._plans.pop(reason, None) is not None

    def count_moves(self, now_us: int, sessions: int, step_us: int) -> int:
        """How many of so many sessions are moved in this step, with a step every `step_us`."""
        most = 0
        for plan in self._plans.values():
            if now_us >= plan.moves_begin_us:
                steps_left = max(1, (plan.moves_end_us - now_us) // step_us)
                most = max(most, math.ceil(sessions / steps_left))
        return most

    def must_answer_pending(self, now_us: int) -> bool:
        """Whether those who still await an answer are given it now."""
        return any(now_us >= plan.answer_by_us for plan in self._plans.values())

    def may_exit(self, now_us: int, sessions: int, pending: int) -> bool:
        """Whether the process may end, with so many established sessions and pending requests."""
        for plan in self._plans.values():
            is_empty = now_us >= plan.accept_until_us and not sessions and not pending
            if not plan.keeps_running and (is_empty or now_us >= plan.answer_by_us + LAST_ANSWERS_US):
                return True
        return False
