"""How clients are sent away: for a planned restart, a drain, or a successor. Pure: time comes in.

Each reason has its plan, and several may hold at once: the hastiest counts, and the end of one leaves the
others as they were.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000
# The platform kills no earlier than the longest deadline, taken as 3 s at most, plus 0.7 s after it has
# asked; a drain is looked at after 4 s. Newcomers come for up to 0.4 s more.
LONGEST_US, NEWCOMERS_US = 3 * SECOND, 1 * SECOND
# The shares of that time in which the moves begin and end. Whoever is moved while newcomers still come here
# comes straight back, and has to be moved once more: so none before that is over.
MOVES_BEGIN, MOVES_END = 0.15, 0.7
# Standing sessions are handed to a successor as they are: whoever is left after a while is moved. The
# platform asks the predecessor to go within 6 s: until then there is time, then the plan for that counts too.
HANDED_US, SUCCEEDED_US = 1 * SECOND, 5 * SECOND
# The last who are waited for before the process ends.
LAST_US = SECOND // 5


class ShutdownReason(Enum):
    RESTART = "restart"
    DRAIN = "drain"
    SUCCEEDED = "succeeded"


@dataclass(frozen=True, slots=True)
class Plan:
    """Times in Unix microseconds."""

    begin_us: int  # moves begin,
    done_us: int  # and all are out by then
    newcomers_us: int  # newcomers may come until then, or a successor fail that has only just begun
    give_up_us: int  # who still waits is given an answer
    stays: bool  # the process goes on afterwards


def plan(reason: ShutdownReason, now_us: int, longest_us: int) -> Plan:
    """`longest_us`: the longest deadline of a class."""
    longest_us = min(LONGEST_US, longest_us)
    if reason is ShutdownReason.SUCCEEDED:
        done_us = now_us + SUCCEEDED_US
        return Plan(now_us + HANDED_US, done_us, now_us + NEWCOMERS_US, done_us + longest_us, False)
    begin_us, done_us = now_us + int(MOVES_BEGIN * longest_us), now_us + int(MOVES_END * longest_us)
    # After a drain's time a straggler is answered at once: it stays for as long as the drain.
    return Plan(begin_us, done_us, now_us + NEWCOMERS_US, now_us + longest_us, reason is ShutdownReason.DRAIN)


class ShutdownPlans:
    """The plans in force."""

    def __init__(self, longest_us: int) -> None:
        self._longest_us = longest_us
        self._plans: dict[ShutdownReason, Plan] = {}

    def __bool__(self) -> bool:
        return bool(self._plans)

    def __contains__(self, reason: ShutdownReason) -> bool:
        return reason in self._plans

    def ends_process(self) -> bool:
        """Whether the process is to end."""
        return any(not p.stays for p in self._plans.values())

    def begin(self, reason: ShutdownReason, now_us: int) -> bool:
        """False if it has begun already: asked twice, it is no hastier."""
        if reason in self._plans:
            return False
        self._plans[reason] = plan(reason, now_us, self._longest_us)
        return True

    def cancel(self, reason: ShutdownReason) -> bool:
        return self._plans.pop(reason, None) is not None

    def count_moves(self, now_us: int, standing: int, step_us: int) -> int:
        """How many of those who stand are moved in this step, looking again every `step_us`."""
        most = 0
        for p in self._plans.values():
            if now_us >= p.begin_us:
                steps = max(1, (p.done_us - now_us) // step_us)
                most = max(most, math.ceil(standing / steps))
        return most

    def must_answer_pending(self, now_us: int) -> bool:
        """Whether those who still wait are given their answer now."""
        return any(now_us >= p.give_up_us for p in self._plans.values())

    def may_exit(self, now_us: int, standing: int, waiting: int) -> bool:
        """Whether the process may end."""
        for p in self._plans.values():
            empty = now_us >= p.newcomers_us and not standing and not waiting
            if not p.stays and (empty or now_us >= p.give_up_us + LAST_US):
                return True
        return False
