"""Determines the candidates for the tasks of the fleet, and whether this node may act for a task now."""

from __future__ import annotations

from sailrun.leadership.agent_settings import AgentSettings
from sailrun.leadership.counters import AgentCounters
from sailrun.leadership.leases import Leases, best_placed
from sailrun.leadership.outgoing import TermGuard
from sailrun.leadership.permits import PERMITS_TASK
from sailrun.leadership.settings import DRIFT
from sailrun.membership.membership import Membership
from sailrun.membership.messages import list_eligible_names
from sailrun.replication.replica import MARKS_TASK

SECOND = 1_000_000
READER_TASK_PREFIX = "roster/"  # followed by the zone
MOVE_RATE_TASK = "pace"


class TaskLeadership:
    """Places tasks on members. Times are microseconds of the clock that leases are measured by."""

    def __init__(
        self, members: Membership, leases: Leases, zone: str, settings: AgentSettings, counters: AgentCounters
    ) -> None:
        self._members, self._leases, self._zone = members, leases, zone
        self._settings, self._counters = settings, counters
        self._initial_wait_us = int(int(settings.leadership.order_s * SECOND) * (1 + 3 * DRIFT))
        self._candidate_tasks: dict[str, list[str]] = {}
        self._members_version = -1  # the version of the members that the placement is based on

    def update_settings(self, settings: AgentSettings) -> None:
        """Applies reloaded operator settings."""
        self._settings = settings
        self._members_version = -1

    def candidate_tasks(self) -> dict[str, list[str]]:
        """Returns the best-placed living candidates by task; of the reader tasks, only that of this zone."""
        if self._members.living_version != self._members_version:
            self._members_version = self._members.living_version
            self._candidate_tasks = self._place_tasks()
        return self._candidate_tasks

    def _place_tasks(self) -> dict[str, list[str]]:
        living = self._members.living_records()
        names = list_eligible_names(living)
        tasks = {}
        if self._settings.permits.enabled:
            tasks[PERMITS_TASK] = best_placed(PERMITS_TASK, names)
        if self._settings.shares_move_rate:
            tasks[MOVE_RATE_TASK] = best_placed(MOVE_RATE_TASK, names)
        if self._settings.replication.enabled:
            tasks[MARKS_TASK] = best_placed(MARKS_TASK, names)
        if self._settings.list_reader.enabled:
            task = READER_TASK_PREFIX + self._zone
            tasks[task] = best_placed(task, list_eligible_names([r for r in living if r.zone == self._zone]))
        return tasks

    def leading_term(self, task: str, now_us: int) -> int:
        """Returns the term under which this node may act for the task now; 0: it may not.

        A new leader waits before it acts, until no response of its predecessor is accepted any more.
        """
        term = self._leases.held_term(task, now_us)
        if not term or now_us - self._leases.lease_of(task).acquired_us < self._initial_wait_us:
            return 0
        return term

    def may_send(self, guard: TermGuard, now_us: int) -> bool:
        """Whether a message that was created under the guard's term may still be sent."""
        task, term = guard
        may_send = self._leases.held_term(task, now_us) == term
        if not may_send:
            self._counters.responses_expired += 1
        return may_send

    def known_leader(self, task: str) -> str:
        """Returns the leader of the task as far as known here; empty if none is known to be alive."""
        holder = self._leases.lease_of(task).holder
        return holder if holder and self._members.is_living(holder) else ""
