"""One node's replica of the fleet's state: its records, its acceptor if the node is a voter, its coordinator
if the node leads the marks, and the interface for operators and the core.

This module does no I/O: callers pass in messages and the time (microseconds), and send the messages and the
requests to the leader that result.
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
from sailrun.replication.copy_lag import ReplicaLag
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
# The leader of this task writes the marks.
MARKS_TASK = "marks"
# Kinds of records other than marks.
OUTLIER_REPORT, SERVER_LIST = "belief", "list"
# Changed server lists are written to the journal this often.
JOURNAL_LISTS_INTERVAL_US = 10 * SECOND_US
_ACCEPTOR_MESSAGES = (
    Prepare,
    Accept,
    CatchUp,
    IncarnationRequest,
    IncarnationReply,
    RecoveryRequest,
    RecoveryReply,
)
_COORDINATOR_MESSAGES = (Promise, Accepted, TermSuperseded, DeletionReply)


def _ignore_event(kind: str, **fields: object) -> None:
    """Ignores a recorded event; used outside the laboratory."""


class Replica:
    """Connects the parts of a node's replica."""

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
        """`incarnation` is the number of this process. `get_mark_limit` returns how many marks of a kind may
        be active at a time, or None for no limit. `record_event` receives every event that the laboratory
        checks.
        """
        self.settings, self.name, self._members, self._voters = settings, name, members, voters
        self._get_mark_limit, self._disabled_rules = get_mark_limit, disabled_rules
        self._record_event, self._journal = record_event, journal or ReplicaJournal()
        self._rng = random.Random(seed)
        self.store = RecordStore(settings, fleet.encode(), disabled_rules)
        self.store.on_change = self._on_change
        self.anti_entropy = self._make_anti_entropy(now_us)
        # Requests to the leader of the marks; the caller sends them and empties the list.
        self.leader_requests: list[LeaderRequest] = []
        self._client = MarkClient(self.leader_requests.append, record_event)
        self._effects = MarkEffects(self.anti_entropy)
        self._lag = ReplicaLag(name, self.anti_entropy, members, self.leader_requests.append, now_us)
        self.anti_entropy.on_discarded = self._on_discarded
        self.anti_entropy.on_lost = self._effects.touch
        self.acceptor: Acceptor | None = None
        self.coordinator: MarkCoordinator | None = None
        self.apply_voters(now_us)
        self._actor = f"{name}/{incarnation:x}"  # the actor of this process's local writes
        self._local_writes = 0
        self._outlier_reports = 0
        self._changed_lists: set[Key] = set()  # server lists not written to the journal yet
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

    # ------------------------------------------------------------------ voters and leadership

    def apply_voters(self, now_us: int) -> None:
        """Creates or removes the acceptor according to whether this node is one of the fleet's voters now."""
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
        """Makes this node the leader of the marks in this term; with term 0, ends its leadership."""
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
        """Loads a complete replica that a former process stored, with the records' hashes (0: not known). Its
        marks are active until other members send newer records. Returns how many records were left out
        because the store was full.
        """
        rejected_count = self.store.load(now_us, records)
        self.anti_entropy.restore(epoch)
        self._effects.require_full_check()
        return rejected_count

    def _on_discarded(self, now_us: int, was_counted: bool) -> None:
        self._lag.reset()
        self._effects.require_full_check()
        if was_counted and self.acceptor is not None:
            self.acceptor.restart(now_us)

    # ------------------------------------------------------------------ messages

    def receive(self, now_us: int, sender: str, body: object) -> list[OutgoingMessage]:
        """Handles a message from another member; returns the replies."""
        if isinstance(body, _ACCEPTOR_MESSAGES):
            if self.acceptor is not None:
                return self.acceptor.receive(now_us, sender, body)
            return self._accept_as_observer(now_us, sender, body) if isinstance(body, Accept) else []
        if isinstance(body, _COORDINATOR_MESSAGES):
            if self.coordinator is not None:
                self.coordinator.receive(now_us, sender, body)
            return []
        if isinstance(body, DeletionQuery):
            is_same_epoch = body.epoch == self.anti_entropy.copy.epoch
            knows_all = is_same_epoch and self.anti_entropy.epochs.has_deletions(body.deleted_versions)
            return [OutgoingMessage(sender, DeletionReply(body.term, body.request_id, knows_all))]
        if isinstance(body, RecordRequest | RecordReply) and not self.anti_entropy.copy.is_complete:
            return []
        return self.anti_entropy.receive(now_us, sender, body)

    def _accept_as_observer(self, now_us: int, sender: str, request: Accept) -> list[OutgoingMessage]:
        """Stores the records of an `Accept` at a member that is not a voter, as one more replica."""
        copy = self.anti_entropy.copy
        if not copy.is_complete or request.epoch != copy.epoch:
            return []
        self.anti_entropy.merge_received(now_us, request.records)
        return [OutgoingMessage(sender, Accepted(request.term, request.request_id, 0, {}))]

    def answer_request(self, now_us: int, content: Any) -> Any:
        """Answers a `MarkRequest` as the leader; request and reply consist of plain objects. Returns None if
        this node is not the leader, if the content is not a valid request, or if the client should retry.
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
        """Returns a random id for a mark request, unique in the fleet."""
        return f"m{self._rng.getrandbits(64):016x}"

    def write_mark(
        self, now_us: int, request: MarkRequest, on_outcome: OnOutcome, timeout_us: int = DEFAULT_TIMEOUT_US
    ) -> None:
        """Writes a mark to a majority of the voters; `on_outcome` is called once."""
        self._client.write(now_us, request, on_outcome, timeout_us)

    def write_mark_locally(self, now_us: int, request: MarkRequest) -> MarkOutcome:
        """Writes a mark to this replica only. It spreads by gossip and stays next to concurrent versions."""
        if request.kind not in MARK_KINDS:
            reason = f"no kind {request.kind[:MAX_KIND_CHARACTERS]}"
            return MarkOutcome(request.id, MarkState.REJECTED, 0, 0, reason)
        if self._get_mark_limit(request.kind) is not None and request.active:
            reason = "with permits, a majority has to know of it"
            return MarkOutcome(request.id, MarkState.REJECTED, 0, 0, reason)
        key = (request.kind, request.subject, "")
        previous = self.store.get(key)
        seen_ids = [m.id for v in previous.versions if (m := decode_mark(v)) is not None] if previous else []
        subject = f"{request.kind}/{request.subject}"
        self._record_event(
            "weak", id=request.id, subject=subject, on=request.active, saw=",".join(seen_ids) or None
        )
        self._local_writes += 1
        count, content = (0, self._local_writes), encode_mark(self._make_local_mark(request))
        record = apply_write(previous, key, False, self._actor, count, content, not request.active)
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
        """Requests the state of a mark at the leader as of this call or later; returns the request's id."""
        request = MarkRequest(MarkOperation.READ, self.make_request_id(), 0, kind, subject)
        self._client.read(now_us, request, on_versions, timeout_us)
        return request.id

    def list_marks(self) -> list[MarkStatus]:
        """Returns all marks of this replica."""
        return list(iterate_marks(self.store))

    @property
    def active_marks(self) -> set[tuple[str, str]]:
        """Kind and subject of all marks that are active at this node."""
        return self._effects.active

    @property
    def mark_changes(self) -> list[MarkChange]:
        """Marks that became active or inactive at this node since the last `take_mark_changes`."""
        return self._effects.changes

    def take_mark_changes(self) -> list[MarkChange]:
        """Returns and clears the changes since the last call."""
        changes, self._effects.changes = self._effects.changes, []
        return changes

    # ------------------------------------------------------------------ outlier reports and server lists

    def publish_outlier_report(self, now_us: int, content: bytes) -> None:
        """Replaces this node's outlier report."""
        self._outlier_reports += 1
        count = (self._members.own_record.incarnation, self._outlier_reports)
        key = (OUTLIER_REPORT, self.name, "")
        self._put_own(now_us, apply_write(None, key, True, self.name, count, content))

    def store_server_list(self, now_us: int, source: str, revision: int, content: bytes) -> None:
        """Stores the list of a source if its revision is newer than that of the stored list."""
        key = (SERVER_LIST, source, "")
        previous = self.store.get(key)
        if previous is not None and previous.context.get(source, (0, -1)) >= (0, revision):
            return
        self._put_own(now_us, apply_write(previous, key, False, source, (0, revision), content))

    def _put_own(self, now_us: int, record: Record) -> None:
        self.store.put(now_us, record)
        self.anti_entropy.queue_gossip(record)

    # ------------------------------------------------------------------ replication lag

    @property
    def missing_records(self) -> int:
        """How many records this replica may lack, according to the leader's last reply or to the state
        transfer under way.
        """
        copy = self.anti_entropy.copy
        missing = self._lag.missing_records
        return missing if copy.is_complete else max(missing, copy.missing_records)

    def get_lag_s(self, now_us: int) -> float | None:
        """Returns the replication lag: the time since this replica was last in sync with the leader's; None
        if it is not known.
        """
        return self._lag.get_lag_s(now_us)

    def is_stale(self, now_us: int) -> bool:
        """Whether the lag is unknown or exceeds the settings' bound."""
        return self._lag.is_stale(now_us)

    # ------------------------------------------------------------------ time

    def due_us(self, now_us: int) -> int:
        """Returns when `tick` has to be called next."""
        due_us = min([self.anti_entropy.due_us(), self._lag.due_us()])
        if self.acceptor is not None:
            due_us = min(due_us, self.acceptor.due_us() or due_us)
        if self.coordinator is not None:
            due_us = min(due_us, self.coordinator.due_us())
        return min([due_us, *self._client.list_due_us()])

    def tick(self, now_us: int, leader: str) -> list[OutgoingMessage]:
        """Runs all due work; returns the messages to send. `leader` is the known leader of the marks, empty
        if there is none.
        """
        messages = self.anti_entropy.tick(now_us)
        if self.acceptor is not None:
            messages += self.acceptor.tick(now_us)
        if self.coordinator is not None:
            messages += self.coordinator.tick(now_us)
            if self.coordinator.is_open:
                self._lag.set_in_sync(now_us)
        messages += self._lag.tick(now_us, leader, len(self._effects.active))
        self._client.tick(now_us)
        self._effects.update(self._lag.is_sync_unknown)
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
        """Writes the changed server lists to the journal at intervals only, since lists are long, change
        often and are sent again by their sources.
        """
        if now_us < self._journal_lists_at_us:
            return
        self._journal_lists_at_us = now_us + JOURNAL_LISTS_INTERVAL_US
        while self._changed_lists:
            record = self.store.get(self._changed_lists.pop())
            if record is not None:
                self._journal.write_record(record, self.store.get_hash(record.key))
