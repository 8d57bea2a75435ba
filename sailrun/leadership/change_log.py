"""What changed at one agent: lines for the operator's log, and acts for the laboratory's checks."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from sailrun.leadership.counters import AgentCounters
from sailrun.leadership.leases import LeadershipChange, Leases
from sailrun.leadership.permits import PermitChange
from sailrun.membership.swim import Change


class LogEvent(NamedTuple):
    """A line for the log: its name, and its fields."""

    what: str
    facts: dict[str, object]


class ChangeLog:
    """`act` is told the kind of every act, and its facts. The driver writes `notes` down and empties them."""

    def __init__(self, act: Callable[..., None]) -> None:
        self.act = act
        self.tallies = AgentCounters()
        self.notes: list[LogEvent] = []
        self._in_touch = True
        self._held_until_us: dict[str, int] = {}  # until when a task was held, as last recorded

    def add(self, what: str, /, **facts: object) -> None:
        self.notes.append(LogEvent(what, facts))

    def move_from(self, notes: list[tuple[str, dict[str, object]]]) -> None:
        """Takes over the lines of a part, which has none then."""
        self.notes += [LogEvent(*note) for note in notes]
        notes.clear()

    def member(self, change: Change) -> None:
        record = change.record
        self.add(
            "member",
            what=change.what,
            name=record.name,
            incarnation=record.incarnation,
            at=record.address,
            why=change.why or None,
        )
        self.act("member", what=change.what, name=record.name, life=record.life)

    def owner(self, change: LeadershipChange) -> None:
        if not change.is_leader:
            self.act("lost", task=change.task, term=change.term, why=change.reason)
        self.tallies.changes[change.reason] = self.tallies.changes.get(change.reason, 0) + 1
        self.add("owner", task=change.task, term=change.term, mine=change.is_leader, why=change.reason)

    def permit(self, use: PermitChange) -> None:
        if not use.yes:
            self.act("unuse", subject=f"{use.kind}/{use.subject}")
        self.add("permit", kind=use.kind, subject=use.subject, yes=use.yes, why=use.why or None)

    def held(self, leases: Leases) -> None:
        """Records until when this node owns its tasks, where that has changed."""
        for task, lease in leases.by_task.items():
            if lease.expires_us and self._held_until_us.get(task) != lease.expires_us:
                self._held_until_us[task] = lease.expires_us
                self.act("hold", task=task, term=lease.term, until_us=lease.expires_us)

    def record_hold_anew(self, task: str) -> None:
        """The next `held` records the task's end, whether it has changed or not."""
        self._held_until_us.pop(task, None)

    def in_touch(self, in_touch: bool, voters: int) -> None:
        """Whether a majority of that many voters answers."""
        if self._in_touch is not in_touch:
            self._in_touch = in_touch
            self.add("owners-in-touch" if in_touch else "owners-rest", voters=voters)
