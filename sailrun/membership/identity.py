"""Maintains this member's own record: joining, refutation, and names that two processes claim."""

from __future__ import annotations

from msgspec.structs import replace

from sailrun.membership.messages import MemberRecord, MemberState
from sailrun.membership.outputs import ChangeKind, MembershipChange
from sailrun.membership.table import MembershipTable

SECOND = 1_000_000
# A member whose name belongs to another process retries to join after this time.
REJOIN_INTERVAL_US = 5 * SECOND
# A claim of this member's name by another process is reported at most once per interval.
CLAIM_REPORT_INTERVAL_US = 10 * SECOND


class OwnIdentity:
    """The identity of this process in the fleet: its record, and whether the fleet has accepted it."""

    def __init__(
        self,
        record: MemberRecord,
        has_joined: bool,
        table: MembershipTable,
        changes: list[MembershipChange],
        now_us: int,
    ) -> None:
        self.record = record
        self.has_joined = has_joined
        self.is_leaving = False
        self.name_holder_address = ""  # the address of the process that has this name; empty: not rejected
        self.next_join_us = now_us
        self._table = table
        self._changes = changes
        self._claim_reported_us: int | None = None

    def update(self, now_us: int, incarnation: int, state: MemberState = MemberState.ALIVE) -> None:
        """Sets a new incarnation or state, and disseminates the record."""
        self.record = replace(self.record, incarnation=incarnation, state=state)
        self._table.store(now_us, self.record)

    def accept(self, now_us: int, incarnation: int) -> None:
        """Handles that another member accepted this process as a member with `incarnation`."""
        self.name_holder_address = ""
        if incarnation > self.record.incarnation:
            self.update(now_us, incarnation)
        if not self.has_joined:
            self.has_joined = True
            self._changes.append(MembershipChange(ChangeKind.JOINED, self.record))
            self._table.updates.enqueue(self.record.name)

    def reject(self, now_us: int, holder_address: str) -> None:
        """Handles a rejection because the name belongs to the process at `holder_address`: this process is
        not a member, and retries to join later.
        """
        if holder_address == self.record.address:
            return
        if self.name_holder_address != holder_address:
            reason = f"name-claimed-twice by {holder_address}"
            self._changes.append(MembershipChange(ChangeKind.NAME_REFUSED, self.record, reason))
        self.name_holder_address = holder_address
        self.has_joined = False
        self.next_join_us = now_us + REJOIN_INTERVAL_US

    def report_claim(self, now_us: int, claimant: MemberRecord) -> None:
        """Reports that another process claimed this one's name, at most once per interval."""
        reported_us = self._claim_reported_us
        if reported_us is None or now_us - reported_us > CLAIM_REPORT_INTERVAL_US:
            self._claim_reported_us = now_us
            self._changes.append(MembershipChange(ChangeKind.NAME_CLAIMED, claimant, "name-claimed-twice"))

    def merge(self, now_us: int, record: MemberRecord) -> None:
        """Merges another member's record of this one; refutes a suspicion with a higher incarnation."""
        own = self.record
        if record.incarnation < own.incarnation:
            return
        if record.life != own.life:
            if record.state is MemberState.ALIVE and self.has_joined:
                # The name was given to another process while this one was considered dead.
                self.reject(now_us, record.address)
            else:
                self.update(now_us, record.incarnation + 1)
        elif record.state is not own.state:
            if not self.is_leaving:
                self.update(now_us, record.incarnation + 1)
        elif record.incarnation > own.incarnation:
            self.update(now_us, record.incarnation)
