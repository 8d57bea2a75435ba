"""Anti-entropy of membership tables: compares digests at each probe, and pulls the ranges that differ."""

from __future__ import annotations

from sailrun.membership.messages import PullRequest, TablePage
from sailrun.membership.outputs import OutgoingMessage
from sailrun.membership.table import MembershipTable, range_of

SECOND = 1_000_000
# A table is pulled after this many consecutive acks with a different digest, and at most once per interval.
MISMATCHES_BEFORE_PULL = 2
MIN_PULL_INTERVAL_US = 2 * SECOND
# Records in one page, so that it fits into a datagram.
RECORDS_PER_PAGE = 10


class TableSync:
    """Brings this member's table up to date with those of the members that it probes."""

    def __init__(self, table: MembershipTable, now_us: int) -> None:
        self._table = table
        self._pulled_us = now_us
        self._consecutive_mismatches = 0

    def observe_digest(self, digest: int) -> None:
        """Compares the digest of another member's table with that of this one."""
        if digest == self._table.compute_digest():
            self._consecutive_mismatches = 0
        else:
            self._consecutive_mismatches += 1

    def is_pull_due(self, now_us: int) -> bool:
        """Whether the tables have differed long enough for a pull; dissemination is usually faster."""
        interval_passed = now_us - self._pulled_us > MIN_PULL_INTERVAL_US
        return self._consecutive_mismatches >= MISMATCHES_BEFORE_PULL and interval_passed

    def request_pull(self, now_us: int, address: str, after_name: str = "") -> OutgoingMessage:
        """Returns a request to a member for the first page, or for the page that follows a name."""
        self._pulled_us = now_us
        self._consecutive_mismatches = 0
        return OutgoingMessage(address, PullRequest(after_name, self._table.range_digests))

    def build_page(self, request: PullRequest) -> TablePage:
        """Returns the page that another member requested."""
        digests = zip(request.range_digests, self._table.range_digests, strict=False)
        equal_ranges = {
            number
            for number, (requester_digest, own_digest) in enumerate(digests)
            if requester_digest == own_digest
        }
        names = [
            name
            for name in self._table.names
            if name > request.after_name and range_of(name) not in equal_ranges
        ]
        records = [self._table.record_of(name) for name in names[:RECORDS_PER_PAGE]]
        return TablePage(records, len(names) > RECORDS_PER_PAGE)
