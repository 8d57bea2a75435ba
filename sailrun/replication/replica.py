"""One node's replica of the fleet's state: its copy, its vote, the leader's work if it leads, and what the
operators and the core do with it here.

Pure: messages and the time (microseconds) come in, messages and requests to the leader go out.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from sailrun.leadership.quorum import Voters
from sailrun.membership.membership import Membership
from sailrun.replication.acceptor import Acceptor
from sailrun.replication.anti_entropy import AntiEntropy
from sailrun.replication.coordinator import MarkCoordinator
from sailrun.replication.copy_lag import CopyLag
from sailrun.replication.journal import ReplicaJournal
from sailrun.replication.mark_client import (
    DEFAULT_TIMEOUT_US,
    LeaderRequest,
    MarkClient,
    MarkOutcome,
    OnOutcome,
    OnVersions,
)
from sailrun.replication.mark_effects import MarkChange, MarkEffects
from sailrun.replication.messages import (
    Accept,
    Accepted,
    CatchUp,
    DeletionQuery,
    DeletionReply,
    IncarnationReply,
    IncarnationRequest,
    MarkOperation,
    MarkRequest,
    MarkState,
    OutgoingMessage,
    Prepare,
    Promise,
    RecordReply,
    RecordRequest,
    RecoveryReply,
    RecoveryRequest,
    TermSuperseded,
)
from sailrun.replication.operator_marks import (
    MARK_KINDS,
    MAX_KIND_CHARACTERS,
    MarkStatus,
    OperatorMark,
    decode_mark,
    encode_mark,
    iterate_marks,
)
from sailrun.replication.records import Key, Record, apply_write
from sailrun.replication.settings import ReplicationSettings
from sailrun.replication.store import RecordStore

SECOND_US = 1_000_000
# The task whose leader writes the marks.
MARKS_TASK = "marks"
# Kinds of records that are no marks.
OUTLIER_REPORT, SERVER_LIST = "belief", "list"
# Server lists that changed are journalled this often.
JOURNAL_LISTS_INTERVAL_US = 10 * SECOND_US
_FOR_ACCEPTOR = (
    Prepare,
    Accept,
    CatchUp,
    IncarnationRequest,
    IncarnationReply,
    RecoveryRequest,
    RecoveryReply,
)
_FOR_COORDINATOR = (Promise, Accepted, TermSuperseded, DeletionReply)


def _ignore_event(kind: str, **facts: object) -> None:
    """For replicas whose events nobody records."""


class Replica:
    """Ties the parts of a node's replica together."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        settings: ReplicationSettings,
        fleet: str,
        members: Membership,
        voters: Callable[[], Voters],
        get_mark_limit: Callable[[str], int | None],
        seed: int,
        now_us: int,
        disabled_rules: frozenset[str] = frozenset(),
        record_event: Callable[..., None] = _ignore_event,
        journal: ReplicaJournal | None = None,
    ) -> None:
        """`incarnation` is this process's own number. `get_mark_limit` gives how many marks of a kind may be
        in force at a time; None: any number. `record_event` is called with every step that the laboratory
        checks.
        """
        self.settings, self.name, self._members, self._voters = settings, name, members, voters
        self._get_mark_limit, self._disabled_rules = get_mark_limit, disabled_rules
        self._record_event, self._journal = record_event, journal or ReplicaJournal()
        self._rng = random.Random(seed)
        self.store = RecordStore(settings, fleet.encode(), disabled_rules)
        self.store.on_change = self._on_change
        self.anti_entropy = self._make_anti_entropy(now_us)
        # Requests to the leader of the marks; emptied by whoever drives this.
        self.leader_requests: list[LeaderRequest] = []
        self._client = MarkClient(self.leader_requests.append, record_event)
        self._effects = MarkEffects(self.anti_entropy)
        self._lag = CopyLag(name, self.anti_entropy, members, self.leader_requests.append, now_us)
        self.anti_entropy.on_discarded = self._on_discarded
        self.anti_entropy.on_lost = self._effects.touch
        self.acceptor: Acceptor | None = None
        self.coordinator: MarkCoordinator | None = None
        self.apply_voters(now_us)
        self._actor = f"{name}/{incarnation:x}"  # of this process's local writes
        self._local_writes = 0
        self._outlier_reports = 0
        self._changed_lists: set[Key] = set()  # not journalled yet
        self._journal_lists_at_us = now_us

    def _make_anti_entropy(self, now_us: int) -> AntiEntropy:
        return AntiEntropy(
            self.name,
            self.store,
            self.settings,
            self._members,
            lambda: self._voters().names(),
            lambda names: self._voters().is_majority(names),
            self._rng.getrandbits(32),
            now_us,
            self._disabled_rules,
            self._journal,
        )

    # ------------------------------------------------------------------ who votes, who leads

    def apply_voters(self, now_us: int) -> None:
        """The fleet's voters may have changed: this node may be one, or be one no longer."""
        if self.name not in self._voters().names():
            self.acceptor = None
        elif self.acceptor is None:
            self.acceptor = Acceptor(
                self.name,
                self._voters,
                self.store,
                self.anti_entropy,
                now_us,
                self._disabled_rules,
                self._journal,
            )
            recovery = self.acceptor.recovery
            recovery.on_bootstrapped = lambda: self._record_event("founded", what=MARKS_TASK)
            recovery.on_recovered = lambda: self._record_event("remembered", what=MARKS_TASK)

    def set_leadership(self, now_us: int, term: int) -> None:
        """This node leads the marks under that term from now on; 0: it does not any more."""
        self.coordinator = None
        if term:
            self.coordinator = MarkCoordinator(
                term,
                self.name,
                self._voters,
                self._members,
                self.anti_entropy,
                self._get_mark_limit,
                now_us,
                self._disabled_rules,
            )

    def restore(self, now_us: int, records: Iterable[tuple[Record, int]], epoch: int) -> int:
        """Takes over a complete copy that outlasted the process, with the records' hashes (0: not known). Its
        marks are in force until others send more; returns how many records there was no room for.
        """
        left_out = self.store.load(now_us, records)
        self.anti_entropy.restore(epoch)
        self._effects.require_full_check()
        return left_out

    def _on_discarded(self, now_us: int, was_counted: bool) -> None:
        self._lag.reset()
        self._effects.require_full_check()
        if was_counted and self.acceptor is not None:
            self.acceptor.restart(now_us)

    # ------------------------------------------------------------------ messages

    def receive(self, now_us: int, sender: str, body: object) -> list[OutgoingMessage]:
        """Handles a message of another member; returns the replies."""
        if isinstance(body, _FOR_ACCEPTOR):
            if self.acceptor is not None:
                return self.acceptor.receive(now_us, sender, body)
            return self._accept_as_observer(now_us, sender, body) if isinstance(body, Accept) else []
        if isinstance(body, _FOR_COORDINATOR):
            if self.coordinator is not None:
                self.coordinator.receive(now_us, sender, body)
            return []
        if isinstance(body, DeletionQuery):
            is_same_epoch = body.epoch == self.anti_entropy.copy.epoch
            knows_all = is_same_epoch and self.anti_entropy.epochs.knows_deletions(body.deleted_versions)
            return [OutgoingMessage(sender, DeletionReply(body.term, body.request_id, knows_all))]
        if isinstance(body, RecordRequest | RecordReply) and not self.anti_entropy.copy.is_complete:
            return []
        return self.anti_entropy.receive(now_us, sender, body)

    def _accept_as_observer(self, now_us: int, sender: str, request: Accept) -> list[OutgoingMessage]:
        """As a member that does not vote: one more copy."""
        copy = self.anti_entropy.copy
        if not copy.is_complete or request.epoch != copy.epoch:
            return []
        self.anti_entropy.merge_received(now_us, request.records)
        return [OutgoingMessage(sender, Accepted(request.term, request.request_id, 0, {}))]

    def answer_request(self, now_us: int, content: Any) -> Any:
        """Answers a `MarkRequest` of plain objects as the leader, with a reply of plain objects. None: this
        node does not lead, the content is no request, or the asker is to ask again.
        """
        try:
            request = msgspec.convert(content, MarkRequest)
        except msgspec.ValidationError:
            return None
        if self.coordinator is None:
            return None
        reply = self.coordinator.answer_request(now_us, request)
        return msgspec.to_builtins(reply, builtin_types=(bytes,)) if reply is not None else None

    # ------------------------------------------------------------------ marks

    def make_request_id(self) -> str:
        """An id for a request about a mark, unlike any other of the fleet."""
        return f"m{self._rng.getrandbits(64):016x}"

    def write_mark(
        self, now_us: int, request: MarkRequest, on_outcome: OnOutcome, timeout_us: int = DEFAULT_TIMEOUT_US
    ) -> None:
        """Writes a mark that a majority is to hold; `on_outcome` is called once."""
        self._client.write(now_us, request, on_outcome, timeout_us)

    def write_mark_locally(self, now_us: int, request: MarkRequest) -> MarkOutcome:
        """Writes a mark here alone: it spreads, and stays beside others that it had not seen."""
        if request.kind not in MARK_KINDS:
            reason = f"no kind {request.kind[:MAX_KIND_CHARACTERS]}"
            return MarkOutcome(request.id, MarkState.REJECTED, 0, 0, reason)
        if self._get_mark_limit(request.kind) is not None and request.active:
            reason = "with permits, a majority has to know of it"
            return MarkOutcome(request.id, MarkState.REJECTED, 0, 0, reason)
        key = (request.kind, request.subject, "")
        before = self.store.get(key)
        seen = [m.id for v in before.versions if (m := decode_mark(v)) is not None] if before else []
        subject = f"{request.kind}/{request.subject}"
        self._record_event(
            "weak", id=request.id, subject=subject, on=request.active, saw=",".join(seen) or None
        )
        self._local_writes += 1
        count, content = (0, self._local_writes), encode_mark(self._make_local_mark(request))
        record = apply_write(before, key, False, self._actor, count, content, not request.active)
        self._put_own(now_us, record)
        return MarkOutcome(request.id, MarkState.DONE, 1, len(self._members.living_names))

    def _make_local_mark(self, request: MarkRequest) -> OperatorMark:
        return OperatorMark(
            request.id,
            request.active,
            False,
            request.author,
            request.reason,
            request.written_at_s,
            self.name,
            [request.id],
        )

    def read_mark(
        self,
        now_us: int,
        kind: str,
        subject: str,
        on_versions: OnVersions,
        timeout_us: int = DEFAULT_TIMEOUT_US,
    ) -> str:
        """Reads a mark from the leader, no older than the call; returns the request's id."""
        request = MarkRequest(MarkOperation.READ, self.make_request_id(), 0, kind, subject)
        self._client.read(now_us, request, on_versions, timeout_us)
        return request.id

    def list_marks(self) -> list[MarkStatus]:
        """All marks of this copy."""
        return list(iterate_marks(self.store))

    @property
    def active_marks(self) -> set[tuple[str, str]]:
        """Kind and subject of all marks in force here."""
        return self._effects.active

    @property
    def mark_changes(self) -> list[MarkChange]:
        """What came into force here, or is in force no longer, and was not taken yet."""
        return self._effects.changes

    def take_mark_changes(self) -> list[MarkChange]:
        """The changes since the last call."""
        changes, self._effects.changes = self._effects.changes, []
        return changes

    # ------------------------------------------------------------------ outlier reports and server lists

    def publish_outlier_report(self, now_us: int, content: bytes) -> None:
        """Replaces this node's report of outliers."""
        self._outlier_reports += 1
        count = (self._members.own_record.incarnation, self._outlier_reports)
        key = (OUTLIER_REPORT, self.name, "")
        self._put_own(now_us, apply_write(None, key, True, self.name, count, content))

    def store_server_list(self, now_us: int, source: str, revision: int, content: bytes) -> None:
        """Stores the list that a source sent under this revision; one that is not newer changes nothing."""
        key = (SERVER_LIST, source, "")
        before = self.store.get(key)
        if before is not None and before.context.get(source, (0, -1)) >= (0, revision):
            return
        self._put_own(now_us, apply_write(before, key, False, source, (0, revision), content))

    def _put_own(self, now_us: int, record: Record) -> None:
        self.store.put(now_us, record)
        self.anti_entropy.queue_gossip(record)

    # ------------------------------------------------------------------ how far behind

    @property
    def missing_records(self) -> int:
        """How many records this copy may lack, by the leader's last reply or while it is being taken."""
        copy = self.anti_entropy.copy
        missing = self._lag.missing_records
        return missing if copy.is_complete else max(missing, copy.missing_records)

    def get_lag_s(self, now_us: int) -> float | None:
        """How old the newest thing may be that this copy does not hold; None: not known."""
        return self._lag.get_lag_s(now_us)

    def is_stale(self, now_us: int) -> bool:
        """Whether the lag is not known, or more than the settings allow."""
        return self._lag.is_stale(now_us)

    # ------------------------------------------------------------------ time

    def due_us(self, now_us: int) -> int:
        """When `turn` has something to do."""
        due_us = min([self.anti_entropy.due_us(), self._lag.due_us()])
        if self.acceptor is not None:
            due_us = min(due_us, self.acceptor.due_us() or due_us)
        if self.coordinator is not None:
            due_us = min(due_us, self.coordinator.due_us())
        return min([due_us, *self._client.list_due_us()])

    def turn(self, now_us: int, leader: str) -> list[OutgoingMessage]:
        """Does what is due; returns the messages to send. `leader`: who leads the marks, as far as is known;
        empty: nobody.
        """
        messages = self.anti_entropy.turn(now_us)
        if self.acceptor is not None:
            messages += self.acceptor.turn(now_us)
        if self.coordinator is not None:
            messages += self.coordinator.turn(now_us)
            if self.coordinator.is_open:
                self._lag.set_level(now_us)
        messages += self._lag.turn(now_us, leader, len(self._effects.active))
        self._client.turn(now_us)
        self._effects.update(self._lag.is_level_unknown)
        self._journal_lists(now_us)
        return messages

    # ------------------------------------------------------------------ the journal

    def _on_change(self, record: Record) -> None:
        self._effects.touch(record.key)
        if record.kind == SERVER_LIST:
            self._changed_lists.add(record.key)
        elif not record.soft:
            self._journal.write_record(record, self.store.get_hash(record.key))

    def _journal_lists(self, now_us: int) -> None:
        """Lists are long, change often, and are sent again by their source: the latest now and then."""
        if now_us < self._journal_lists_at_us:
            return
        self._journal_lists_at_us = now_us + JOURNAL_LISTS_INTERVAL_US
        while self._changed_lists:
            record = self.store.get(self._changed_lists.pop())
            if record is not None:
                self._journal.write_record(record, self.store.get_hash(record.key))
