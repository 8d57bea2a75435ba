"""Finds out whether all members know of deletions, so that the fleet may forget them (see `epochs.py`)."""

from __future__ import annotations

from sailrun.membership.membership import Membership
from sailrun.membership.messages import MemberState
from sailrun.replication.epochs import DeletedVersions
from sailrun.replication.messages import DeletionQuery, DeletionReply, OutgoingMessage
from sailrun.replication.operator_marks import MARK_KINDS
from sailrun.replication.store import RecordStore

# How many deleted marks are forgotten at a time.
MAX_FORGOTTEN = 100


def find_old_deletions(store: RecordStore, now_us: int, retention_us: int) -> DeletedVersions:
    """Marks that were deleted longer ago than `retention_us`, as far as one survey takes them."""
    found: DeletedVersions = []
    for kind in MARK_KINDS:
        for record in store.iterate_records(kind):
            is_old = store.age_us(now_us, record.key) > retention_us
            if record.is_deleted and is_old and len(record.versions) == 1 and len(found) < MAX_FORGOTTEN:
                found.append((record.key, *record.versions[0].dot))
    return found


def list_awaited_members(members: Membership, now_us: int, absent_us: int) -> list[str]:
    """Members that have to know of a deletion: those that live, and those gone for less than `absent_us`."""
    return [
        record.name
        for record, since_us in members.records_with_state_time()
        if record.state in (MemberState.ALIVE, MemberState.SUSPECT)
        or (record.state is MemberState.DEAD and now_us - since_us < absent_us)
    ]


class DeletionSurvey:
    """One question to all members: whether they know that all these versions were deleted."""

    def __init__(self, name: str, request_id: int, deleted_versions: DeletedVersions) -> None:
        """`name`: the member that asks; it counts as one that knows."""
        self._name, self._request_id = name, request_id
        self.deleted_versions = deleted_versions
        self._knows: dict[str, bool] = {}

    def add_members(self, names: list[str]) -> None:
        """Asks these as well, unless they are asked already."""
        for name in names:
            self._knows.setdefault(name, name == self._name)

    def on_reply(self, sender: str, reply: DeletionReply) -> None:
        """Counts a member's reply; one that knows does not forget it again."""
        if reply.request_id == self._request_id and sender in self._knows:
            self._knows[sender] = self._knows[sender] or reply.knows_all

    def is_known_to(self, names: list[str]) -> bool:
        """Whether all of these members know."""
        return all(self._knows.get(name) for name in names)

    def make_queries(self, term: int, epoch: int) -> list[OutgoingMessage]:
        """The question to all who have not said yes."""
        query = DeletionQuery(term, self._request_id, epoch, self.deleted_versions)
        return [
            OutgoingMessage(name, query)
            for name, knows in self._knows.items()
            if not knows and name != self._name
        ]
