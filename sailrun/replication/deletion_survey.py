"""Determines whether all members have certain deletions, so that the fleet may remove them (see
`epochs.py`).
"""

from __future__ import annotations

from sailrun.membership.membership import Membership
from sailrun.membership.messages import MemberState
from sailrun.replication.epochs import DeletedVersions
from sailrun.replication.messages import DeletionQuery, DeletionReply, OutgoingMessage
from sailrun.replication.operator_marks import MARK_KINDS
from sailrun.replication.store import RecordStore

# How many deleted marks one epoch removes at most.
MAX_REMOVED = 100


def find_old_deletions(store: RecordStore, now_us: int, retention_us: int) -> DeletedVersions:
    """Returns marks that were deleted longer ago than `retention_us`, at most as many as one
    epoch removes.
    """
    deletions: DeletedVersions = []
    for kind in MARK_KINDS:
        for record in store.iterate_records(kind):
            is_old = store.age_us(now_us, record.key) > retention_us
            if record.is_deleted and is_old and len(record.versions) == 1 and len(deletions) < MAX_REMOVED:
                deletions.append((record.key, *record.versions[0].dot))
    return deletions


def list_awaited_members(members: Membership, now_us: int, absent_us: int) -> list[str]:
    """Returns the members that must have a deletion before it is removed: members that are alive or suspect,
    and members that have been dead for less than `absent_us`.
    """
    return [
        record.name
        for record, since_us in members.records_with_state_time()
        if record.state in (MemberState.ALIVE, MemberState.SUSPECT)
        or (record.state is MemberState.DEAD and now_us - since_us < absent_us)
    ]


class DeletionSurvey:
    """Queries all members whether they have certain deletions, and collects their replies."""

    def __init__(self, name: str, request_id: int, deleted_versions: DeletedVersions) -> None:
        """`name` is the querying member; it counts as having the deletions."""
        self._name, self._request_id = name, request_id
        self.deleted_versions = deleted_versions
        self._has_deletions: dict[str, bool] = {}

    def add_members(self, names: list[str]) -> None:
        """Adds these members to the survey unless they belong to it already."""
        for name in names:
            self._has_deletions.setdefault(name, name == self._name)

    def on_reply(self, sender: str, reply: DeletionReply) -> None:
        """Counts a member's reply. A positive reply is final."""
        if reply.request_id == self._request_id and sender in self._has_deletions:
            self._has_deletions[sender] = self._has_deletions[sender] or reply.knows_all

    def is_confirmed_by(self, names: list[str]) -> bool:
        """Whether all of these members have replied that they have the deletions."""
        return all(self._has_deletions.get(name) for name in names)

    def make_queries(self, term: int, epoch: int) -> list[OutgoingMessage]:
        """Returns the query to all members without a positive reply."""
        query = DeletionQuery(term, self._request_id, epoch, self.deleted_versions)
        return [
            OutgoingMessage(name, query)
            for name, has_deletions in self._has_deletions.items()
            if not has_deletions and name != self._name
        ]
