"""Merges records that other members sent into the table."""

from __future__ import annotations

from sailrun.membership.identity import OwnIdentity
from sailrun.membership.lifeguard import SuspicionTimers
from sailrun.membership.messages import MemberRecord, MemberState
from sailrun.membership.outputs import ChangeKind, MembershipChange
from sailrun.membership.table import MembershipTable


class RecordMerger:
    """Stores the newer of two records of one member, and updates suspicions and reported changes."""

    def __init__(
        self,
        table: MembershipTable,
        identity: OwnIdentity,
        suspicions: SuspicionTimers,
        changes: list[MembershipChange],
    ) -> None:
        self._table = table
        self._identity = identity
        self._suspicions = suspicions
        self._changes = changes

    def merge(self, now_us: int, record: MemberRecord, sender: str) -> None:
        """Merges one record that the member `sender` has sent."""
        if record.name == self._table.own_name:
            self._identity.merge(now_us, record)
            return
        entry = self._table.find(record.name)
        if entry is None and record.state.has_ended:
            return  # an unknown member that has ended need not be stored
        before = entry.record if entry is not None else None
        if entry is not None and not record.supersedes(entry.record):
            if record == entry.record and record.state is MemberState.SUSPECT:
                self._suspicions.confirm(entry, sender)
            return
        stored = self._table.store(now_us, record)
        if record.state is MemberState.SUSPECT:
            self._suspicions.start(now_us, stored, sender)
        else:
            self._report(before, record, sender)

    def _report(self, before: MemberRecord | None, record: MemberRecord, sender: str) -> None:
        match record.state:
            case MemberState.ALIVE:
                if before is None or before.life != record.life:
                    self._changes.append(MembershipChange(ChangeKind.JOINED, record))
                elif before.state.has_ended:
                    self._changes.append(MembershipChange(ChangeKind.RETURNED, record))
            case MemberState.DEAD:
                self._changes.append(MembershipChange(ChangeKind.DEAD, record, f"reported by {sender}"))
            case MemberState.LEFT:
                self._changes.append(MembershipChange(ChangeKind.LEFT, record))
