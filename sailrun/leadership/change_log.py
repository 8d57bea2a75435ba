"""Records changes at one agent: events for the operator's log, and acts for the laboratory's checks."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from sailrun.leadership.counters import AgentCounters
from sailrun.leadership.leases import LeadershipChange, Leases
from sailrun.leadership.permits import PermitChange
from sailrun.membership.outputs import MembershipChange


class LogEvent(NamedTuple):
    """An event for the log."""

    name: str
    fields: dict[str, object]


class ChangeLog:
    """Collects log events, and passes each act with its kind and fields to `record`. The driver logs and
    clears `events`.
    """

    def __init__(self, record: Callable[..., None]) -> None:
        self.record = record
        self.counters = AgentCounters()
        self.events: list[LogEvent] = []
        self._reached_majority = True
        self._recorded_expiry_us: dict[str, int] = {}  # by task, the last recorded expiry of the lease

    def add(self, event: str, /, **fields: object) -> None:
        """Adds an event of that name."""
        self.events.append(LogEvent(event, fields))

    def move_from(self, events: list[tuple[str, dict[str, object]]]) -> None:
        """Moves the events of a part to this log and clears them there."""
        self.events += [LogEvent(*event) for event in events]
        events.clear()

    def log_member(self, change: MembershipChange) -> None:
        """Records a change of a member, such as that it joined, was suspected, left or is dead."""
        record = change.record
        self.add(
            "member",
            what=change.kind,
            name=record.name,
            incarnation=record.incarnation,
            at=record.address,
            why=change.reason or None,
        )
        self.record("member", what=change.kind, name=record.name, life=record.life)

    def log_leadership(self, change: LeadershipChange) -> None:
        """Records that this node became a task's leader, or stopped being its leader."""
        if not change.is_leader:
            self.record("lost", task=change.task, term=change.term, why=change.reason)
        self.counters.leadership_changes[change.reason] = (
            self.counters.leadership_changes.get(change.reason, 0) + 1
        )
        self.add("owner", task=change.task, term=change.term, mine=change.is_leader, why=change.reason)

    def log_permit(self, change: PermitChange) -> None:
        """Records that this node acquired or lost a permit."""
        if not change.is_held:
            self.record("unuse", subject=f"{change.kind}/{change.subject}")
        self.add(
            "permit", kind=change.kind, subject=change.subject, yes=change.is_held, why=change.reason or None
        )

    def record_held_leases(self, leases: Leases) -> None:
        """Records the expiry of each lease that this node holds, if it has changed since the last record."""
        for task, lease in leases.by_task.items():
            if lease.expires_us and self._recorded_expiry_us.get(task) != lease.expires_us:
                self._recorded_expiry_us[task] = lease.expires_us
                self.record("hold", task=task, term=lease.term, until_us=lease.expires_us)

    def forget_recorded_expiry(self, task: str) -> None:
        """Makes the next `record_held_leases` record the lease's expiry even if it has not changed."""
        self._recorded_expiry_us.pop(task, None)

    def log_majority_contact(self, reaches_majority: bool, voters: int) -> None:
        """Logs a change of whether a majority of the voters answers; `voters` is their number."""
        if self._reached_majority is not reaches_majority:
            self._reached_majority = reaches_majority
            self.add("owners-in-touch" if reaches_majority else "owners-rest", voters=voters)
