"""Transfer of a complete replica: a node whose replica is missing or too old fetches all ranges from other
members.

Ranges are distributed over several senders. If a sender fails, another one continues after the last key
received. If no member has a complete replica, as at a fleet's first start, the records at hand become the
complete one.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from sailrun.membership.membership import Membership
from sailrun.membership.messages import MemberState
from sailrun.replication.epochs import extract_local_writes
from sailrun.replication.messages import DigestReply
from sailrun.replication.range_digests import RANGE_COUNT
from sailrun.replication.records import Key, Record
from sailrun.replication.replica_state import ReplicaState
from sailrun.replication.state_transfer import TransferReceiver, ignore_end
from sailrun.replication.store import RecordStore

SECOND_US = 1_000_000
# How many senders transfer ranges concurrently.
MAX_SENDERS = 3
# After VOTERS_WAIT_US, a voter declares its replica complete if all present voters have reported incomplete
# ones; such a report is valid for REPLY_VALID_US. Any node does so MEMBERS_WAIT_US after it began its
# replica, even if transfers are still under way.
VOTERS_WAIT_US, MEMBERS_WAIT_US, REPLY_VALID_US = SECOND_US, 10 * SECOND_US, 3 * SECOND_US
# The least interval between two requests for digests to the same sender.
MIN_REQUEST_INTERVAL_US = SECOND_US // 2


class ReplicaTransfer:
    """Tracks the missing ranges of this replica and the sender of each."""

    def __init__(
        self,
        name: str,
        store: RecordStore,
        copy: ReplicaState,
        members: Membership,
        voters: Callable[[], list[str]],
        receiver: TransferReceiver,
        rng: random.Random,
        on_complete: Callable[[int], None],
    ) -> None:
        """`on_complete` is called with the time once no range is missing."""
        self._name, self._store, self._copy = name, store, copy
        self._members, self._voters, self._receiver = members, voters, receiver
        self._rng, self._on_complete = rng, on_complete
        self._missing = set(range(RANGE_COUNT))
        self._assigned: dict[int, str] = {}  # the sender of each range under transfer
        self._resume_after: dict[int, Key] = {}  # the last key received of each interrupted range
        # When each member last reported an incomplete replica.
        self._reported_incomplete_us: dict[str, int] = {}
        self._request_not_before_us: dict[str, int] = {}  # by sender
        self._local_writes: list[Record] = []  # local writes of discarded replicas

    def restart(self) -> None:
        """Marks every range as missing and saves the replica's local writes, which the fleet may not have
        received yet. Must be called before the replica is cleared.
        """
        saved = {r.key: r for r in self._local_writes} | {r.key: r for r in self._store.intact_records()}
        extracted = map(extract_local_writes, saved.values())
        self._local_writes = [record for record in extracted if record is not None]
        self._missing = set(range(RANGE_COUNT))
        self._assigned, self._resume_after = {}, {}
        self._reported_incomplete_us.clear()

    def take_local_writes(self) -> list[Record]:
        """Returns the saved local writes and removes them here."""
        local_writes, self._local_writes = self._local_writes, []
        return local_writes

    def set_complete(self) -> None:
        """Marks no range as missing, because a complete replica was loaded from disk."""
        self._missing = set()

    def back_off(self, sender: str, until_us: int) -> None:
        """Sends no requests to a busy sender before this time."""
        self._request_not_before_us[sender] = until_us

    # ------------------------------------------------------------------ choice of senders

    def choose_senders(self, now_us: int) -> list[str]:
        """Returns the members to request digests from now. Their replies go to `on_digest_reply`."""
        self._complete_if_no_member_is(now_us)
        if self._copy.is_complete:
            return []
        others = [name for name in self._members.living_names if name != self._name]
        free = [
            name
            for name in others
            if self._request_not_before_us.get(name, 0) <= now_us
            and self._receiver.find_background_transfer(name) is None
        ]
        wanted = MAX_SENDERS - sum(not t.urgent for t in self._receiver.transfers)
        if wanted <= 0 or not free:
            return []
        # Include a voter, because voters are the first to have a complete replica.
        voters = set(self._voters())
        chosen = self._rng.sample(free, min(wanted, len(free)))
        free_voters = [name for name in free if name in voters]
        if free_voters and not voters & set(chosen):
            chosen[0] = self._rng.choice(free_voters)
        for name in chosen:
            self._request_not_before_us[name] = now_us + MIN_REQUEST_INTERVAL_US
        return chosen

    def _complete_if_no_member_is(self, now_us: int) -> None:
        """Declares this replica complete if no member seems to have a complete one. Voters determine this
        from each other's replies, since they are few. Other members wait for a voter. Any member continues
        with the records that it has if its replica is not complete within MEMBERS_WAIT_US.
        """
        waited_us = now_us - self._copy.begun_us
        if waited_us >= MEMBERS_WAIT_US:
            self._on_complete(now_us)
            return
        voters = set(self._voters())
        if self._name not in voters or waited_us < VOTERS_WAIT_US:
            return
        present = {
            r.name for r, _ in self._members.records_with_state_time() if r.state is not MemberState.LEFT
        } & voters
        incomplete = {
            name
            for name in present
            if now_us - self._reported_incomplete_us.get(name, -REPLY_VALID_US) < REPLY_VALID_US
        }
        if present <= incomplete | {self._name}:
            self._on_complete(now_us)

    # ------------------------------------------------------------------ transfers

    def on_digest_reply(self, now_us: int, sender: str, reply: DigestReply, differing: list[int]) -> None:
        """Begins to fetch ranges from a member whose replica differs in the ranges `differing`."""
        if not reply.complete:
            self._reported_incomplete_us[sender] = now_us
            if differing and not self._receiver.find_background_transfer(sender):
                # If no member has a complete replica, the records of all members together become the complete
                # one.
                self._receiver.begin(now_us, sender, differing, ignore_end, urgent=True)
            return
        self._reported_incomplete_us.pop(sender, None)
        self._copy.missing_records = reply.record_count
        self._missing -= set(range(RANGE_COUNT)) - set(differing) - self._assigned.keys()
        if not self._missing:
            self._on_complete(now_us)
            return
        unassigned = [
            range_number
            for range_number in differing
            if range_number in self._missing and range_number not in self._assigned
        ]
        share = unassigned[: max(1, len(self._missing) // MAX_SENDERS)]
        if share and self._receiver.find_background_transfer(sender) is None:
            self._assign(now_us, sender, share)

    def _assign(self, now_us: int, sender: str, share: list[int]) -> None:
        # Interrupted ranges come first.
        share.sort(key=lambda range_number: range_number not in self._resume_after)
        after = self._resume_after.pop(share[0], None)
        # A transfer can resume after a key in one range only; the other ranges stay unassigned for now.
        ranges = share[:1] if after is not None else sorted(share)
        for range_number in ranges:
            self._assigned[range_number] = sender
        self._begin_transfer(now_us, sender, ranges, after)

    def _begin_transfer(self, now_us: int, sender: str, ranges: list[int], after: Key | None) -> None:
        def on_end(now_us: int, complete: bool) -> None:
            if self._copy.is_complete:
                return
            for range_number in ranges:
                self._assigned.pop(range_number, None)
            self._missing -= set(ranges) if complete else set(ranges) - set(transfer.ranges)
            if not complete and transfer.after is not None:
                self._resume_after[transfer.ranges[0]] = transfer.after
            if not self._missing:
                self._on_complete(now_us)

        transfer = self._receiver.begin(now_us, sender, ranges, on_end, after=after)
