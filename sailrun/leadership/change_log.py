"""What changed at one agent: events for the operator's log, and acts for the laboratory's checks."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from sailrun.leadership.counters import AgentCounters
from sailrun.leadership.leases import LeadershipChange, Leases
from sailrun.leadership.permits import PermitChange
from sailrun.membership.outputs import MembershipChange


class LogEvent(NamedTuple):
    """An event for the log: its name, and its fields."""

    name: str
    fields: dict[str, object]


class ChangeLog:
    """`record` is called with the kind of every act and its facts. The driver logs and empties `events`."""

    def __init__(self, act: Callable[..., None]) -> None:
        self.record = act
        self.counters = AgentCounters()
        self.events: list[LogEvent] = []
        self._reached_majority = True
        self._recorded_expiry_us: dict[str, int] = {}  # until when a task was held, as last recorded

    def add(self, what: str, /, **facts: object) -> None:
        """Adds an event; `what` is its name in the log."""
        self.events.append(LogEvent(what, facts))

    def move_from(self, notes: list[tuple[str, dict[str, object]]]) -> None:
        """Takes over the lines of a part, which has none then."""
        self.events += [LogEvent(*note) for note in notes]
        notes.clear()

    def log_member(self, change: MembershipChange) -> None:
        """Records that a member joined, was suspected, left or is gone."""
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
        """Records that this node became a task's leader, or is none any more."""
        if not change.is_leader:
            self.record("lost", task=change.task, term=change.term, why=change.reason)
        self.counters.leadership_changes[change.reason] = (
            self.counters.leadership_changes.get(change.reason, 0) + 1
        )
        self.add("owner", task=change.task, term=change.term, mine=change.is_leader, why=change.reason)

    def log_permit(self, use: PermitChange) -> None:
        """Records that a permit was granted to this node, or has ended."""
        if not use.is_held:
            self.record("unuse", subject=f"{use.kind}/{use.subject}")
        self.add("permit", kind=use.kind, subject=use.subject, yes=use.is_held, why=use.reason or None)

    def record_held_leases(self, leases: Leases) -> None:
        """Records until when this node owns its tasks, where that has changed."""
        for task, lease in leases.by_task.items():
            if lease.expires_us and self._recorded_expiry_us.get(task) != lease.expires_us:
                self._recorded_expiry_us[task] = lease.expires_us
                self.record("hold", task=task, term=lease.term, until_us=lease.expires_us)

    def forget_recorded_expiry(self, task: str) -> None:
        """The next `record_held_leases` records when the lease ends, whether that has changed or not."""
        self._recorded_expiry_us.pop(task, None)

    def log_majority_contact(self, in_touch: bool, voters: int) -> None:
        """Whether a majority of that many voters answers."""
        if self._reached_majority is not in_touch:
            self._reached_majority = in_touch
            self.add("owners-in-touch" if in_touch else "owners-rest", voters=voters)
