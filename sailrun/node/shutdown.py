"""When and how fast clients are moved away: for a planned restart, a drain, or a successor.

Free of I/O: callers pass the time in. Each reason has its own plan, and several plans may be in force at
once: the fastest one applies, and ending one plan does not change the others.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import NamedTuple

# After the termination signal the process is killed no earlier than the longest request deadline (counted as
# at most 3 s) plus 0.7 s. A drain is checked after 4 s. New clients arrive for up to 0.4 s after the signal,
# for which `ACCEPT_US` leaves a margin.
LONGEST_DEADLINE_US = 3_000_000
ACCEPT_US = 1_000_000
# The moves begin and end after these shares of the longest deadline. While new clients still arrive here, a
# moved client would come straight back and would have to be moved again. With the longest deadline of 3 s the
# moves therefore begin after that time.
MOVES_BEGIN_SHARE = 0.15
MOVES_END_SHARE = 0.7
# Established sessions are transferred to a successor without interruption. Clients whose sessions were not
# transferred after `TRANSFER_US` are moved. The predecessor receives its termination signal within 6 s; from
# then on the plan for a restart applies as well.
TRANSFER_US = 1_000_000
SUCCEEDED_US = 5_000_000
# The time for sending the last answers before the process exits.
LAST_ANSWERS_US = 200_000


class ShutdownReason(Enum):
    """Why clients are moved away; the values are written to the log."""

    RESTART = "restart"
    DRAIN = "drain"
    SUCCEEDED = "succeeded"


class ShutdownPlan(NamedTuple):
    """The schedule for one reason, in Unix microseconds."""

    moves_begin_us: int
    moves_end_us: int  # all clients are moved by then
    accept_until_us: int  # until then new clients may arrive, or a successor that has just started may fail
    answer_by_us: int  # from then on every pending request is answered at once
    keeps_running: bool  # the process continues to run afterwards


def plan_shutdown(reason: ShutdownReason, now_us: int, longest_deadline_us: int) -> ShutdownPlan:
    """Returns the plan for a reason that applies from now on; `longest_deadline_us`: the longest of all
    request classes.
    """
    longest_us = min(LONGEST_DEADLINE_US, longest_deadline_us)
    accept_until_us = now_us + ACCEPT_US
    if reason is ShutdownReason.SUCCEEDED:
        end_us = now_us + SUCCEEDED_US
        return ShutdownPlan(now_us + TRANSFER_US, end_us, accept_until_us, end_us + longest_us, False)
    return ShutdownPlan(
        now_us + int(MOVES_BEGIN_SHARE * longest_us),
        now_us + int(MOVES_END_SHARE * longest_us),
        accept_until_us,
        # After this time a late request is answered at once, for as long as a drain lasts.
        now_us + longest_us,
        reason is ShutdownReason.DRAIN,
    )


class ShutdownPlans:
    """The plans in force, by reason; true while any plan is in force."""

    def __init__(self, longest_deadline_us: int) -> None:
        """`longest_deadline_us`: the longest deadline of all request classes."""
        self._longest_deadline_us = longest_deadline_us
        self._plans: dict[ShutdownReason, ShutdownPlan] = {}

    def __bool__(self) -> bool:
        return bool(self._plans)

    def __contains__(self, reason: ShutdownReason) -> bool:
        return reason in self._plans

    def begin(self, reason: ShutdownReason, now_us: int) -> bool:
        """Puts a plan in force. Returns False if it already is in force; its times then do not change."""
        if reason in self._plans:
            return False
        self._plans[reason] = plan_shutdown(reason, now_us, self._longest_deadline_us)
        return True

    def cancel(self, reason: ShutdownReason) -> bool:
        """Ends a plan; returns False if it was not in force."""
        return self._plans.pop(reason, None) is not None

    def count_moves(self, now_us: int, sessions: int, step_us: int) -> int:
        """Returns how many of `sessions` sessions to move in this step, with one step every `step_us`."""
        most = 0
        for plan in self._plans.values():
            if now_us >= plan.moves_begin_us:
                steps_left = max(1, (plan.moves_end_us - now_us) // step_us)
                most = max(most, math.ceil(sessions / steps_left))
        return most

    def must_answer_pending(self, now_us: int) -> bool:
        """Returns whether all pending requests have to be answered now."""
        return any(now_us >= plan.answer_by_us for plan in self._plans.values())

    def may_exit(self, now_us: int, sessions: int, pending: int) -> bool:
        """Returns whether the process may exit with this many established sessions and pending requests."""
        for plan in self._plans.values():
            is_empty = now_us >= plan.accept_until_us and not sessions and not pending
            if not plan.keeps_running and (is_empty or now_us >= plan.answer_by_us + LAST_ANSWERS_US):
                return True
        return False
