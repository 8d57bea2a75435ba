"""The leader's side of replicated marks: a single proposer at a time, fenced by its term (as in Multi-Paxos).

Before it writes, a majority of the acceptors has promised to accept nothing of a lower term, the coordinator
has read what each of them held at that moment, and a majority holds all of that (so that what it has seen
cannot be lost again). A write is acknowledged once a majority has accepted it. Safety rests on terms and
majorities alone: a coordinator whose lease has ended without its knowledge gets no majority any more.

Pure: messages and the time (microseconds) come in, messages go out.
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
# Waiting marks and old deletions are looked for this often.
HOUSEKEEPING_INTERVAL_US = 2 * SECOND_US
MAX_AUTHOR_CHARACTERS = 80


class Phase(Enum):
    """How far a leader's beginning has come."""

    PREPARING = "preparing"  # a majority is to promise, and the leader takes over what it holds
    CATCHING_UP = "catching up"  # a majority is to hold what the leader holds
    OPEN = "open"  # requests are served


class MarkCoordinator:
    """Writes, activates and forgets marks for as long as this node leads them. Made anew at each term."""

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
        """`get_limit` gives how many marks of a kind may be in force at a time; None: any number.
        `disabled_rules` are safety rules that the laboratory switches off.
        """
        self.term, self._name, self._voters, self._members = term, name, voters, members
        self._anti_entropy, self._store = anti_entropy, anti_entropy.store
        self._get_limit = get_limit
        self._forgets = "forget" not in disabled_rules
        self._catches_up = "level" not in disabled_rules
        self.superseding_term = 0  # a term that a voter has promised above this one
        self._phase = Phase.PREPARING
        self._last_count = 0  # of the versions written under this term
        self._epoch = anti_entropy.copy.epoch
        self._began_us = now_us
        self._rounds = Rounds(voters, "lives" not in disabled_rules)
        self._writes = MarkWrites(term, name, voters, members)
        self._housekeeping_at_us = now_us + HOUSEKEEPING_INTERVAL_US
        self._copies_begun = -1  # of the copy that this began with; with another one it begins anew
        self._is_ending_epoch = False  # nothing is written meanwhile
        self._survey: DeletionSurvey | None = None

    # ------------------------------------------------------------------ the beginning of a term

    @property
    def is_open(self) -> bool:
        """Whether requests are served: a majority has promised, and holds all that this node holds."""
        return self._phase is Phase.OPEN and self._is_same_copy

    @property
    def _is_same_copy(self) -> bool:
        copy = self._anti_entropy.copy
        return copy.is_complete and self._copies_begun == copy.copies_begun

    def _begin(self, now_us: int) -> None:
        copy = self._anti_entropy.copy
        self._phase, self._epoch, self._copies_begun = Phase.PREPARING, copy.epoch, copy.copies_begun
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
        return self._store.digests.list_groups()[:FIRM_GROUP_COUNT]

    def _on_prepared(self, now_us: int) -> None:
        if not self._catches_up:
            self._open(now_us)
            return
        self._phase = Phase.CATCHING_UP
        self._begin_catch_up(now_us, self._anti_entropy.make_request_id(), self._open)

    def _begin_catch_up(self, now_us: int, request_id: int, on_majority: Callable[[int], None]) -> None:
        """Has a majority hold everything that this node holds."""
        self._rounds.begin(
            now_us,
            request_id,
            lambda: CatchUp(self.term, request_id, self._epoch, self._digest_groups()),
            on_majority,
        )

    def _open(self, now_us: int) -> None:
        self._phase = Phase.OPEN
        self._advance_epoch(now_us)  # the leader before may have decided one
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
        """Handles a reply; those of other terms are ignored."""
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
        made = self._rounds.get(accepted.request_id)
        if made is None:
            return
        if sender in self._voters().names():
            self._rounds.count_vote(now_us, made, sender, accepted.incarnation, accepted.crash_vector)
        if sender in made.observers:
            made.observer_acks.add(sender)

    def _on_promise(self, now_us: int, sender: str, promise: Promise) -> None:
        """Takes over what the voter held when it promised; only then its promise counts."""
        made = self._rounds.get(promise.request_id)
        if made is None or sender not in self._voters().names():
            return
        if sender in made.transferring or sender in made.votes:
            return
        ranges = self._store.digests.find_differing_ranges(promise.range_digests)

        def on_end(now_us: int, complete: bool) -> None:
            made.transferring.discard(sender)
            if complete and self._epoch == self._anti_entropy.copy.epoch:
                self._rounds.count_vote(now_us, made, sender, promise.incarnation, promise.crash_vector)

        if not ranges or sender == self._name:
            on_end(now_us, True)
            return
        made.transferring.add(sender)
        self._anti_entropy.receiver.begin(now_us, sender, ranges, on_end, urgent=True)

    # ------------------------------------------------------------------ requests

    def answer_request(self, now_us: int, request: MarkRequest) -> MarkReply | None:
        """Answers a member's request; None: it is to ask again later."""
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
        # A mark of the kind that was corrupted here is being received again: until then nothing is certain.
        return not any(awaited == kind for awaited, _, _ in self._anti_entropy.awaiting_repair)

    def _compare_digests(self, request: MarkRequest) -> MarkReply | None:
        """Whether the asker's copy is level with this one, and how many records it may lack."""
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
        voters = len(self._voters().names())
        if request.id in written_ids:
            # Done under a former term; a majority held it before this one opened.
            return MarkReply(request.id, MarkState.DONE, self.term, voters // 2 + 1, voters)
        if len(written_ids) >= MAX_REQUEST_IDS and not self._is_past_retries(now_us):
            reason = "too much was written there meanwhile"
            return MarkReply(request.id, MarkState.UNKNOWN, self.term, reason=reason)
        if self._writes.count_open() >= MAX_OPEN_WRITES:
            reason = f"{MAX_OPEN_WRITES} marks are under way"
            return MarkReply(request.id, MarkState.REJECTED, self.term, reason=reason)
        is_waiting = request.active and not self._has_capacity(request.kind, key)
        made = self._write(now_us, request, key, is_waiting, written_ids)
        if request.all_members:
            made.observers = {name for name in self._members.living_names if name != self._name}
        return self._writes.describe(request)

    def _is_past_retries(self, now_us: int) -> bool:
        """Whether nobody can ask again for what was written under a former term: that is too long ago."""
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
        made = self._replicate(now_us, record, lambda now_us: None)
        self._writes.add(request.id, Write(key, made, is_waiting))
        return made

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
        """When `turn` has something to do."""
        return min([self._housekeeping_at_us, *self._rounds.list_due_us()])

    def turn(self, now_us: int) -> list[OutgoingMessage]:
        """Does what is due; returns the messages to send."""
        copy = self._anti_entropy.copy
        if not copy.is_complete:
            return []
        if not self._is_same_copy or (copy.epoch != self._epoch and not self._is_ending_epoch):
            self._begin(now_us)  # with another copy, or in an epoch that another leader began
        messages = self._rounds.turn(now_us)
        if now_us >= self._housekeeping_at_us:
            self._housekeeping_at_us = now_us + HOUSEKEEPING_INTERVAL_US
            if self.is_open and not self._is_ending_epoch:
                self._activate_waiting(now_us)
                messages += self._forget_deletions(now_us)
        return messages

    def _activate_waiting(self, now_us: int) -> None:
        """Marks that wait come into force in the order of their writes, as far as there is capacity."""
        for kind in MARK_KINDS:
            waiting = [
                (version.count, record.key, mark)
                for record in self._store.iterate_records(kind)
                for version in record.versions
                if (mark := decode_mark(version)) is not None and mark.waiting and not version.deleted
            ]
            for _, key, mark in sorted(waiting, key=lambda one: one[0]):
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

    # ------------------------------------------------------------------ forgetting what was deleted

    def _forget_deletions(self, now_us: int) -> list[OutgoingMessage]:
        """Has the fleet forget old deletions once all members know of them, but for those long gone."""
        settings = self._anti_entropy.settings
        if self._survey is None:
            old = find_old_deletions(self._store, now_us, int(settings.deletion_retention_s * SECOND_US))
            if not old or self._writes.count_open():
                return []
            if not self._forgets:
                return []  # each node forgets for itself
            self._survey = DeletionSurvey(self._name, self._anti_entropy.make_request_id(), old)
        survey = self._survey
        awaited = list_awaited_members(self._members, now_us, int(settings.absent_member_wait_s * SECOND_US))
        survey.add_members(awaited)
        if not self._anti_entropy.epochs.knows_deletions(survey.deleted_versions):
            self._survey = None
            return []
        if survey.is_known_to(awaited):
            self._end_epoch(now_us, survey.deleted_versions)
            return []
        return survey.make_queries(self.term, self._epoch)

    def _end_epoch(self, now_us: int, deleted_versions: DeletedVersions) -> None:
        """First a majority holds all that this leader holds, then the next epoch begins with it."""
        next_epoch = self._epoch + 1
        request_id = self._anti_entropy.make_request_id()

        def on_caught_up(now_us: int) -> None:
            self._survey = None
            epochs = self._anti_entropy.epochs
            if self._anti_entropy.copy.epoch != self._epoch or not epochs.knows_deletions(deleted_versions):
                self._is_ending_epoch = False
                return
            local_writes = epochs.collect_local_writes(deleted_versions)
            content = msgspec.msgpack.encode(EpochRecord(next_epoch, deleted_versions, local_writes))
            record = self._make_version(EPOCH_RECORD_KEY, content)
            # Decided once a majority holds it: whoever leads next finds it there.
            self._replicate(now_us, record, self._advance_epoch)

        if not self._rounds.is_any_open:
            self._is_ending_epoch = True
            self._begin_catch_up(now_us, request_id, on_caught_up)
