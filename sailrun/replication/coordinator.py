"""The leader's side of replicated marks: one proposer at a time, fenced by its term (as in Multi-Paxos).

Before the coordinator writes, three things have happened: a majority of the acceptors has promised to accept
nothing of a lower term, the coordinator has read the records that each of them held at that moment, and a
majority holds all these records, so that they cannot be lost any more. A write is acknowledged once a
majority has accepted it. Safety depends on terms and majorities only: a coordinator that has not noticed the
end of its lease gets no majority any more.

This module does no I/O: callers pass in messages and the time (microseconds), and send the returned messages.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import msgspec

from sailrun.leadership.quorum import Voters
from sailrun.membership.membership import Membership
from sailrun.replication.anti_entropy import AntiEntropy
from sailrun.replication.deletion_survey import DeletionSurvey, find_old_deletions, list_awaited_members
from sailrun.replication.epochs import EPOCH_RECORD_KEY, DeletedVersions, EpochRecord
from sailrun.replication.mark_writes import MAX_OPEN_WRITES, MarkWrites, Write
from sailrun.replication.messages import (
    Accept,
    Accepted,
    CatchUp,
    DeletionReply,
    MarkOperation,
    MarkReply,
    MarkRequest,
    MarkState,
    OutgoingMessage,
    Prepare,
    Promise,
    TermSuperseded,
)
from sailrun.replication.operator_marks import (
    MARK_KINDS,
    MAX_KIND_CHARACTERS,
    MAX_REASON_CHARACTERS,
    MAX_REQUEST_IDS,
    OperatorMark,
    decode_mark,
    encode_mark,
    is_mark_active,
    list_request_ids,
)
from sailrun.replication.range_digests import FIRM_GROUP_COUNT, list_ranges
from sailrun.replication.records import STRONG, Key, Record, apply_write
from sailrun.replication.rounds import STRAGGLER_US, Round, Rounds

SECOND_US = 1_000_000
# Waiting marks and old deletions are processed this often.
HOUSEKEEPING_INTERVAL_US = 2 * SECOND_US
MAX_AUTHOR_CHARACTERS = 80


class Phase(Enum):
    """The phases of a leader's term."""

    PREPARING = "preparing"  # collects promises of a majority and the records that the majority holds
    CATCHING_UP = "catching up"  # brings a majority up to date with the leader's records
    OPEN = "open"  # serves requests


class MarkCoordinator:
    """Writes and activates marks and removes deleted ones while this node is their leader. Each term has a
    new coordinator.
    """

    def __init__(
        self,
        term: int,
        name: str,
        voters: Callable[[], Voters],
        members: Membership,
        anti_entropy: AntiEntropy,
        get_limit: Callable[[str], int | None],
        now_us: int,
        disabled_rules: frozenset[str] = frozenset(),
    ) -> None:
        """`get_limit` returns how many marks of a kind may be active at a time, or None for no limit.
        `disabled_rules` are the safety rules that the laboratory switches off.
        """
        self.term, self._name, self._voters, self._members = term, name, voters, members
        self._anti_entropy, self._store = anti_entropy, anti_entropy.store
        self._get_limit = get_limit
        self._removes_deletions = "forget" not in disabled_rules
        self._catches_up = "level" not in disabled_rules
        self.superseding_term = 0  # a higher term that a voter has promised
        self._phase = Phase.PREPARING
        self._last_count = 0  # the count of the latest version written in this term
        self._epoch = anti_entropy.copy.epoch
        self._began_us = now_us
        self._rounds = Rounds(voters, "lives" not in disabled_rules)
        self._writes = MarkWrites(term, name, voters, members)
        self._housekeeping_at_us = now_us + HOUSEKEEPING_INTERVAL_US
        # `discard_count` when the term was prepared; after a change the coordinator prepares the term again.
        self._discard_count = -1
        self._is_ending_epoch = False  # no marks are written while this is set
        self._survey: DeletionSurvey | None = None

    # ------------------------------------------------------------------ start of a term

    @property
    def is_open(self) -> bool:
        """Whether requests are served: a majority has promised and holds all records of this node."""
        return self._phase is Phase.OPEN and self._is_same_replica

    @property
    def _is_same_replica(self) -> bool:
        copy = self._anti_entropy.copy
        return copy.is_complete and self._discard_count == copy.discard_count

    def _begin(self, now_us: int) -> None:
        copy = self._anti_entropy.copy
        self._phase, self._epoch, self._discard_count = Phase.PREPARING, copy.epoch, copy.discard_count
        self._is_ending_epoch, self._survey = False, None
        self._rounds.clear()
        request_id = self._anti_entropy.make_request_id()
        self._rounds.begin(
            now_us,
            request_id,
            lambda: Prepare(self.term, request_id, self._epoch, self._digest_groups()),
            self._on_prepared,
        )

    def _digest_groups(self) -> list[int]:
        return self._store.digests.list_group_digests()[:FIRM_GROUP_COUNT]

    def _on_prepared(self, now_us: int) -> None:
        if not self._catches_up:
            self._open(now_us)
            return
        self._phase = Phase.CATCHING_UP
        self._begin_catch_up(now_us, self._anti_entropy.make_request_id(), self._open)

    def _begin_catch_up(self, now_us: int, request_id: int, on_majority: Callable[[int], None]) -> None:
        """Starts a round that brings a majority up to date with this node's records."""
        self._rounds.begin(
            now_us,
            request_id,
            lambda: CatchUp(self.term, request_id, self._epoch, self._digest_groups()),
            on_majority,
        )

    def _open(self, now_us: int) -> None:
        self._phase = Phase.OPEN
        self._advance_epoch(now_us)  # the previous leader may have decided the next epoch
        after_ms = (now_us - self._began_us) // 1000
        self._anti_entropy.log_event("marks-open", term=self.term, after_ms=after_ms)

    def _advance_epoch(self, now_us: int) -> None:
        self._is_ending_epoch = False
        record = self._anti_entropy.epochs.get_record()
        if record is not None:
            self._anti_entropy.epochs.advance(now_us, record)
            self._epoch = self._anti_entropy.copy.epoch

    # ------------------------------------------------------------------ replies of voters and members

    def receive(self, now_us: int, sender: str, body: object) -> None:
        """Handles a reply; replies to other terms are ignored."""
        match body:
            case Promise() if body.term == self.term:
                self._on_promise(now_us, sender, body)
            case Accepted() if body.term == self.term:
                self._on_accepted(now_us, sender, body)
            case TermSuperseded() if body.term == self.term:
                self.superseding_term = max(self.superseding_term, body.promised_term)
            case DeletionReply() if body.term == self.term:
                if self._survey is not None:
                    self._survey.on_reply(sender, body)

    def _on_accepted(self, now_us: int, sender: str, accepted: Accepted) -> None:
        round_ = self._rounds.get(accepted.request_id)
        if round_ is None:
            return
        if sender in self._voters().names():
            self._rounds.count_vote(now_us, round_, sender, accepted.incarnation, accepted.crash_vector)
        if sender in round_.observers:
            round_.observer_acks.add(sender)

    def _on_promise(self, now_us: int, sender: str, promise: Promise) -> None:
        """Fetches the records that the voter held when it promised, and counts the promise after that."""
        round_ = self._rounds.get(promise.request_id)
        if round_ is None or sender not in self._voters().names():
            return
        if sender in round_.transferring or sender in round_.votes:
            return
        ranges = self._store.digests.find_differing_ranges(promise.range_digests)

        def on_end(now_us: int, complete: bool) -> None:
            round_.transferring.discard(sender)
            if complete and self._epoch == self._anti_entropy.copy.epoch:
                self._rounds.count_vote(now_us, round_, sender, promise.incarnation, promise.crash_vector)

        if not ranges or sender == self._name:
            on_end(now_us, True)
            return
        round_.transferring.add(sender)
        self._anti_entropy.receiver.begin(now_us, sender, ranges, on_end, urgent=True)

    # ------------------------------------------------------------------ requests

    def answer_request(self, now_us: int, request: MarkRequest) -> MarkReply | None:
        """Answers a member's request; returns None if the member should retry later."""
        operation = request.operation
        if operation == MarkOperation.COMPARE:
            return self._compare_digests(request)
        is_known = operation == MarkOperation.WRITE and request.id in self._writes
        if operation == MarkOperation.POLL or is_known:
            return self._writes.describe(request)
        if request.term != self.term:
            return MarkReply(request.id, MarkState.OTHER_TERM, self.term)
        if not self._is_serving(request.kind):
            return MarkReply(request.id, MarkState.OPENING, self.term)
        key = (request.kind, request.subject, "")
        if operation == MarkOperation.READ:
            return self._read_mark(request, key)
        if operation != MarkOperation.WRITE or request.kind not in MARK_KINDS:
            reason = f"no kind {request.kind[:MAX_KIND_CHARACTERS]}"
            return MarkReply(request.id, MarkState.REJECTED, self.term, reason=reason)
        return self._write_mark(now_us, request, key)

    def _is_serving(self, kind: str) -> bool:
        if not self.is_open or self._is_ending_epoch or self._anti_entropy.copy.epoch != self._epoch:
            return False
        # While a corrupted mark of this kind is being fetched again, the state of the kind's marks is
        # uncertain.
        return not any(awaited_kind == kind for awaited_kind, _, _ in self._anti_entropy.awaiting_repair)

    def _compare_digests(self, request: MarkRequest) -> MarkReply | None:
        """Replies whether the client's replica is in sync with this one, and how many records it may lack."""
        if not self.is_open or self._epoch != self._anti_entropy.copy.epoch:
            return None
        groups = self._store.digests.find_differing_groups(request.group_digests[:FIRM_GROUP_COUNT])
        missing_records = self._store.digests.count_records(list_ranges(groups))
        state = MarkState.BEHIND if groups else MarkState.DONE
        return MarkReply(request.id, state, self.term, missing_records=missing_records)

    def _read_mark(self, request: MarkRequest, key: Key) -> MarkReply:
        if self._writes.is_open(key):
            return MarkReply(request.id, MarkState.PENDING, self.term)
        record = self._store.get(key)
        versions = [(v.content, v.deleted) for v in record.versions] if record is not None else []
        return MarkReply(request.id, MarkState.DONE, self.term, versions=versions)

    def _write_mark(self, now_us: int, request: MarkRequest, key: Key) -> MarkReply:
        written_ids = list_request_ids(self._store.get(key))
        voter_count = len(self._voters().names())
        if request.id in written_ids:
            # The write succeeded in a former term, and a majority held it before this term opened.
            return MarkReply(request.id, MarkState.DONE, self.term, voter_count // 2 + 1, voter_count)
        if len(written_ids) >= MAX_REQUEST_IDS and not self._is_past_retries(now_us):
            reason = "too much was written there meanwhile"
            return MarkReply(request.id, MarkState.UNKNOWN, self.term, reason=reason)
        if self._writes.count_open() >= MAX_OPEN_WRITES:
            reason = f"{MAX_OPEN_WRITES} marks are under way"
            return MarkReply(request.id, MarkState.REJECTED, self.term, reason=reason)
        is_waiting = request.active and not self._has_capacity(request.kind, key)
        round_ = self._write(now_us, request, key, is_waiting, written_ids)
        if request.all_members:
            round_.observers = {name for name in self._members.living_names if name != self._name}
        return self._writes.describe(request)

    def _is_past_retries(self, now_us: int) -> bool:
        """Whether this term is old enough that clients no longer retry writes of former terms."""
        return now_us - self._began_us > 2 * STRAGGLER_US

    def _has_capacity(self, kind: str, key: Key) -> bool:
        limit = self._get_limit(kind)
        if limit is None:
            return True
        active = {record.key for record in self._store.iterate_records(kind) if is_mark_active(record)}
        return key in active or len(active) < limit

    # ------------------------------------------------------------------ writes

    def _write(
        self, now_us: int, request: MarkRequest, key: Key, is_waiting: bool, written_ids: list[str]
    ) -> Round:
        mark = OperatorMark(
            request.id,
            request.active,
            is_waiting,
            request.author[:MAX_AUTHOR_CHARACTERS],
            request.reason[:MAX_REASON_CHARACTERS],
            request.written_at_s,
            self._name,
            [*written_ids, request.id][-MAX_REQUEST_IDS:],
        )
        record = self._make_version(key, encode_mark(mark), deleted=not request.active)
        round_ = self._replicate(now_us, record, lambda now_us: None)
        self._writes.add(request.id, Write(key, round_, is_waiting))
        return round_

    def _make_version(self, key: Key, content: bytes, deleted: bool = False) -> Record:
        self._last_count += 1
        count = (self.term, self._last_count)
        return apply_write(self._store.get(key), key, False, STRONG, count, content, deleted)

    def _replicate(self, now_us: int, record: Record, on_majority: Callable[[int], None]) -> Round:
        request_id, epoch = self._anti_entropy.make_request_id(), self._epoch
        self._anti_entropy.merge_received(now_us, [record])
        return self._rounds.begin(
            now_us, request_id, lambda: Accept(self.term, request_id, epoch, [record]), on_majority
        )

    # ------------------------------------------------------------------ time

    def due_us(self) -> int:
        """Returns when `tick` has to be called next."""
        return min([self._housekeeping_at_us, *self._rounds.list_due_us()])

    def tick(self, now_us: int) -> list[OutgoingMessage]:
        """Runs all due work; returns the messages to send."""
        copy = self._anti_entropy.copy
        if not copy.is_complete:
            return []
        if not self._is_same_replica or (copy.epoch != self._epoch and not self._is_ending_epoch):
            self._begin(now_us)  # the replica was discarded, or another leader began an epoch
        messages = self._rounds.tick(now_us)
        if now_us >= self._housekeeping_at_us:
            self._housekeeping_at_us = now_us + HOUSEKEEPING_INTERVAL_US
            if self.is_open and not self._is_ending_epoch:
                self._activate_waiting(now_us)
                messages += self._remove_deletions(now_us)
        return messages

    def _activate_waiting(self, now_us: int) -> None:
        """Activates waiting marks in the order of their writes until the limit of their kind is reached."""
        for kind in MARK_KINDS:
            waiting = [
                (version.count, record.key, mark)
                for record in self._store.iterate_records(kind)
                for version in record.versions
                if (mark := decode_mark(version)) is not None and mark.waiting and not version.deleted
            ]
            for _, key, mark in sorted(waiting, key=lambda entry: entry[0]):
                if not self._has_capacity(kind, key):
                    break
                self._activate(now_us, key, mark)

    def _activate(self, now_us: int, key: Key, mark: OperatorMark) -> None:
        request = MarkRequest(
            MarkOperation.WRITE,
            f"{mark.id}+",
            self.term,
            key[0],
            key[1],
            True,
            mark.author,
            mark.reason,
            mark.written_at_s,
        )
        if request.id not in self._writes:
            self._write(now_us, request, key, False, list_request_ids(self._store.get(key)))

    # ------------------------------------------------------------------ removal of old deletions

    def _remove_deletions(self, now_us: int) -> list[OutgoingMessage]:
        """Removes old deletions from the whole fleet once all members have them. Members that have been dead
        for longer than the settings allow are not waited for.
        """
        settings = self._anti_entropy.settings
        if self._survey is None:
            old = find_old_deletions(self._store, now_us, int(settings.deletion_retention_s * SECOND_US))
            if not old or self._writes.count_open():
                return []
            if not self._removes_deletions:
                return []  # without this rule, each node removes deletions on its own
            self._survey = DeletionSurvey(self._name, self._anti_entropy.make_request_id(), old)
        survey = self._survey
        awaited = list_awaited_members(self._members, now_us, int(settings.absent_member_wait_s * SECOND_US))
        survey.add_members(awaited)
        if not self._anti_entropy.epochs.has_deletions(survey.deleted_versions):
            self._survey = None
            return []
        if survey.is_confirmed_by(awaited):
            self._end_epoch(now_us, survey.deleted_versions)
            return []
        return survey.make_queries(self.term, self._epoch)

    def _end_epoch(self, now_us: int, deleted_versions: DeletedVersions) -> None:
        """Brings a majority up to date with this leader's records, then begins the next epoch."""
        next_epoch = self._epoch + 1
        request_id = self._anti_entropy.make_request_id()

        def on_caught_up(now_us: int) -> None:
            self._survey = None
            epochs = self._anti_entropy.epochs
            if self._anti_entropy.copy.epoch != self._epoch or not epochs.has_deletions(deleted_versions):
                self._is_ending_epoch = False
                return
            local_writes = epochs.collect_local_writes(deleted_versions)
            content = msgspec.msgpack.encode(EpochRecord(next_epoch, deleted_versions, local_writes))
            record = self._make_version(EPOCH_RECORD_KEY, content)
            # The epoch is decided once a majority holds its record: the next leader finds it there.
            self._replicate(now_us, record, self._advance_epoch)

        if not self._rounds.is_any_open:
            self._is_ending_epoch = True
            self._begin_catch_up(now_us, request_id, on_caught_up)
