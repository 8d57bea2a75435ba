"""Taking a complete copy: a node that has none, or one that is too old, takes every range from the others.

Ranges are shared among several senders; where one fails, another goes on from the last key that came. Where
nobody has a complete copy, as at a fleet's first start, what there is becomes the complete copy.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from sailrun.membership.membership import Membership
from sailrun.membership.messages import MemberState
from sailrun.replication.copy_state import CopyState
from sailrun.replication.epochs import extract_local_writes
from sailrun.replication.messages import DigestReply
from sailrun.replication.range_digests import RANGE_COUNT
from sailrun.replication.records import Key, Record
from sailrun.replication.state_transfer import TransferReceiver, ignore_end
from sailrun.replication.store import RecordStore

SECOND_US = 1_000_000
# How many senders are asked for ranges at once.
MAX_SENDERS = 3
# Voters that have reported to each other for so long that none of them has a complete copy begin with what
# there is; any other node does after so long without a sender. A reply that the copy is incomplete counts for
# so long.
VOTERS_WAIT_US, MEMBERS_WAIT_US, REPLY_VALID_US = SECOND_US, 10 * SECOND_US, 3 * SECOND_US
# A sender that was asked is not asked again before.
ASK_AGAIN_US = SECOND_US // 2


class CopyTransfer:
    """Which ranges of a complete copy are still missing, and from whom each is taken."""

    def __init__(
        self,
        name: str,
        store: RecordStore,
        copy: CopyState,
        members: Membership,
        voters: Callable[[], list[str]],
        receiver: TransferReceiver,
        rng: random.Random,
        on_complete: Callable[[int], None],
    ) -> None:
        """`on_complete` is called with the time when the last range has come."""
        self._name, self._store, self._copy = name, store, copy
        self._members, self._voters, self._receiver = members, voters, receiver
        self._rng, self._on_complete = rng, on_complete
        self._missing = set(range(RANGE_COUNT))
        self._assigned: dict[int, str] = {}  # by missing range, the sender it is being taken from
        self._resume_after: dict[int, Key] = {}  # by missing range, the last key that came of it
        self._incomplete_since_us: dict[str, int] = {}  # members without a complete copy, when they said so
        self._ask_not_before_us: dict[str, int] = {}  # by sender
        self._local_writes: list[Record] = []  # of copies that were discarded

    def restart(self) -> None:
        """Every range is to be taken anew. Local writes of the copy as it is are set aside: the fleet may
        never have received them. To be called before the copy is cleared.
        """
        set_aside = {r.key: r for r in self._local_writes} | {r.key: r for r in self._store.intact_records()}
        extracted = map(extract_local_writes, set_aside.values())
        self._local_writes = [record for record in extracted if record is not None]
        self._missing = set(range(RANGE_COUNT))
        self._assigned, self._resume_after = {}, {}
        self._incomplete_since_us.clear()

    def take_local_writes(self) -> list[Record]:
        """The local writes that were set aside; they are not kept here any more."""
        local_writes, self._local_writes = self._local_writes, []
        return local_writes

    def set_complete(self) -> None:
        """Nothing is missing: a complete copy was found on the disk."""
        self._missing = set()

    def back_off(self, sender: str, until_us: int) -> None:
        """The sender is busy, and is not asked before."""
        self._ask_not_before_us[sender] = until_us

    # ------------------------------------------------------------------ whom to ask

    def choose_senders(self, now_us: int) -> list[str]:
        """Members to request digests from now; what they reply goes to `on_digest_reply`."""
        self._complete_if_nobody_is(now_us)
        if self._copy.is_complete:
            return []
        others = [name for name in self._members.living_names if name != self._name]
        free = [
            name
            for name in others
            if self._ask_not_before_us.get(name, 0) <= now_us
            and self._receiver.find_background_transfer(name) is None
        ]
        wanted = MAX_SENDERS - sum(not t.urgent for t in self._receiver.transfers)
        if wanted <= 0 or not free:
            return []
        # A voter among them: voters are the first to have a complete copy.
        voters = set(self._voters())
        chosen = self._rng.sample(free, min(wanted, len(free)))
        free_voters = [name for name in free if name in voters]
        if free_voters and not voters & set(chosen):
            chosen[0] = self._rng.choice(free_voters)
        for name in chosen:
            self._ask_not_before_us[name] = now_us + ASK_AGAIN_US
        return chosen

    def _complete_if_nobody_is(self, now_us: int) -> None:
        """Where nobody has a complete copy, voters find that out from each other, few as they are. Other
        members wait for one of them, and where none comes go on with what there is.
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
            if now_us - self._incomplete_since_us.get(name, -REPLY_VALID_US) < REPLY_VALID_US
        }
        if present <= incomplete | {self._name}:
            self._on_complete(now_us)

    # ------------------------------------------------------------------ what they have

    def on_digest_reply(self, now_us: int, sender: str, reply: DigestReply, differing: list[int]) -> None:
        """Begins to take ranges from a member whose copy differs in these."""
        if not reply.complete:
            self._incomplete_since_us[sender] = now_us
            if differing and not self._receiver.find_background_transfer(sender):
                # Nobody may have a complete copy: then all that any member has makes one.
                self._receiver.begin(now_us, sender, differing, ignore_end, urgent=True)
            return
        self._incomplete_since_us.pop(sender, None)
        self._copy.missing_records = reply.record_count
        self._missing -= set(range(RANGE_COUNT)) - set(differing) - self._assigned.keys()
        if not self._missing:
            self._on_complete(now_us)
            return
        unassigned = [n for n in differing if n in self._missing and n not in self._assigned]
        share = unassigned[: max(1, len(self._missing) // MAX_SENDERS)]
        if share and self._receiver.find_background_transfer(sender) is None:
            self._assign(now_us, sender, share)

    def _assign(self, now_us: int, sender: str, share: list[int]) -> None:
        share.sort(key=lambda number: number not in self._resume_after)  # first what was broken off
        after = self._resume_after.pop(share[0], None)
        # A page goes on from a key within one range only; the others of the share stay free for now.
        ranges = share[:1] if after is not None else sorted(share)
        for number in ranges:
            self._assigned[number] = sender
        self._take(now_us, sender, ranges, after)

    def _take(self, now_us: int, sender: str, ranges: list[int], after: Key | None) -> None:
        def on_end(now_us: int, complete: bool) -> None:
            if self._copy.is_complete:
                return
            for number in ranges:
                self._assigned.pop(number, None)
            self._missing -= set(ranges) if complete else set(ranges) - set(transfer.ranges)
            if not complete and transfer.after is not None:
                self._resume_after[transfer.ranges[0]] = transfer.after
            if not self._missing:
                self._on_complete(now_us)

        transfer = self._receiver.begin(now_us, sender, ranges, on_end, after=after)
