"""One node's part in the state that the fleet keeps copies of: its copy, its vote, the owner's work if it is
the owner, and what staff and the core do with it here.

Pure: messages and the time go in, posts and questions come out.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from sailrun.leadership.quorum import Voters
from sailrun.membership.swim import Members
from sailrun.replication.acceptor import Acceptor
from sailrun.replication.anti_entropy import AntiEntropy
from sailrun.replication.coordinator import MarkCoordinator
from sailrun.replication.journal import ReplicaJournal
from sailrun.replication.messages import (
    Accept,
    Accepted,
    CatchUp,
    DeletionQuery,
    DeletionReply,
    IncarnationReply,
    IncarnationRequest,
    MarkReply,
    MarkRequest,
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
    MarkStatus,
    OperatorMark,
    decode_mark,
    encode_mark,
    is_mark_active,
    iterate_marks,
    list_active_marks,
)
from sailrun.replication.records import Key, Record, apply_write
from sailrun.replication.settings import ReplicationSettings
from sailrun.replication.store import FIRM_RANGE_COUNT, RANGES_PER_GROUP, RecordStore

SECOND = 1_000_000
MARKS_TASK = "marks"
Post = tuple[str, msgspec.Struct]
# A question about a mark is said again so soon; whether this copy is behind is asked so often, and less often
# in a fleet of more than so many.
ASK_US, WHERE_US, WHERE_NODES = 100_000, SECOND, 200
# How long a mark is tried for where its writer says nothing else.
MARK_US = 6 * SECOND
MOST_WRITES = 1000
# The latest list is written down so often, where anything is.
LISTS_US = 10 * SECOND
OUTLIER_REPORT, SERVER_LIST = "belief", "list"
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


@dataclass(frozen=True, slots=True)
class MarkOutcome:
    """What became of a mark. `state`: `done`, `waits`, `refused`, or `unknown`: it may come into force
    yet.
    """

    id: str
    state: str
    copies: int
    replicas: int
    reason: str = ""
    term: int = 0


@dataclass(slots=True)
class _Writing:
    request: MarkRequest
    on_outcome: Callable[[MarkOutcome], None]
    deadline_us: int
    retry_at_us: int
    last_reply: MarkReply | None = None


@dataclass(slots=True)
class _Looking:
    request: MarkRequest
    on_versions: Callable[[list[tuple[OperatorMark, bool]] | None], None]
    deadline_us: int
    retry_at_us: int


class Replica:
    def __init__(
        self,
        name: str,
        life: int,
        terms: ReplicationSettings,
        fleet: str,
        members: Members,
        voters: Callable[[], Voters],
        limit: Callable[[str], int | None],
        seed: int,
        now_us: int,
        off: frozenset[str] = frozenset(),
        record: Callable[..., None] = lambda kind, **facts: None,
        journal: ReplicaJournal | None = None,
    ) -> None:
        self._journal = journal or ReplicaJournal()
        self._lists: set[Key] = set()  # changed lists, which nobody counts on and which change often
        self._lists_us = now_us
        self.settings, self.name, self._members, self._voters, self._off = terms, name, members, voters, off
        self._limit, self._act = limit, record
        self._luck = random.Random(seed)
        self.store = RecordStore(terms, fleet.encode(), off)
        self.store.on_change = self._on_change
        self.anti_entropy = AntiEntropy(
            name,
            self.store,
            terms,
            members,
            lambda: voters().all(),
            lambda names: voters().majority(names),
            self._luck.getrandbits(32),
            now_us,
            off,
            self._journal,
        )
        self.acceptor: Acceptor | None = None
        self.coordinator: MarkCoordinator | None = None
        self.apply_voters(now_us)
        self.anti_entropy.on_discarded = self._thrown
        self.anti_entropy.on_bootstrapped = lambda: self._act("founded", what="marks")
        self.anti_entropy.on_recovered = lambda: self._act("remembered", what="marks")
        self.anti_entropy.on_lost = lambda key: self._touched.add(key) if key[0] in MARK_KINDS else None
        self._actor = f"{name}/{life:x}"
        self._count = 0
        self._beliefs = 0
        # Questions to the owner of the marks, each with who is told the answer; emptied by who drives this.
        self.leader_requests: list[tuple[MarkRequest, Callable[[int, int, Any], None]]] = []
        # What came into force or is so no longer: kind, subject, whether; emptied by who drives this.
        self.mark_changes: list[tuple[str, str, bool]] = []
        self._used: set[tuple[str, str]] = set()
        self._touched: set[Key] = set()
        self._look_over = True  # all marks are to be looked at, not only those that changed
        self._writing: dict[str, _Writing] = {}
        self._looking: dict[str, _Looking] = {}
        self.in_sync_us = -1  # when this copy was last known to hold what the owner held; -1: never
        self.missing_records = 0
        self._behind_owner = False  # as it last said: its copy is asked for what differs
        self._where_us = now_us
        self._stale = False

    # ------------------------------------------------------------------ who votes, who owns

    def apply_voters(self, now_us: int) -> None:
        if self.name not in self._voters().all():
            self.acceptor = None
        elif self.acceptor is None:
            self.acceptor = Acceptor(
                self.name, self._voters, self.store, self.anti_entropy, now_us, self._off, self._journal
            )

    def restore(self, now_us: int, records: Iterable[tuple[Record, int]], epoch: int) -> int:
        """A whole copy that outlasted the process, with the records' hashes (0: not known). Its marks are in
        force until others tell more; returns how many records there was no room for.
        """
        left = self.store.load(now_us, records)
        self.anti_entropy.restore(epoch)
        self._look_over = True
        return left

    def _thrown(self, now_us: int, counted: bool) -> None:
        self.in_sync_us = -1
        self._look_over = True
        if counted and self.acceptor is not None:
            self.acceptor.restart(now_us)

    def set_leadership(self, now_us: int, term: int) -> None:
        """This node owns the marks under that term from now on; 0: it does not any more."""
        self.coordinator = None
        if term:
            self.coordinator = MarkCoordinator(
                term,
                self.name,
                self._voters,
                self._members,
                self.anti_entropy,
                self._limit,
                now_us,
                self._off,
            )

    # ------------------------------------------------------------------ messages

    def receive(self, now_us: int, sender: str, body: object) -> list[Post]:
        if isinstance(body, _FOR_ACCEPTOR):
            if self.acceptor is not None:
                return self.acceptor.receive(now_us, sender, body)
            if isinstance(body, Accept):
                return self._keep_for(now_us, sender, body)
            return []
        if isinstance(body, _FOR_COORDINATOR):
            if self.coordinator is not None:
                self.coordinator.receive(now_us, sender, body)
            return []
        if isinstance(body, DeletionQuery):
            same = body.epoch == self.anti_entropy.epoch
            return [
                (
                    sender,
                    DeletionReply(
                        body.term,
                        body.request_id,
                        same and self.anti_entropy.knows_deletions(body.deleted_versions),
                    ),
                )
            ]
        if isinstance(body, RecordRequest | RecordReply) and not self.anti_entropy.complete:
            return []
        return self.anti_entropy.receive(now_us, sender, body)

    def _keep_for(self, now_us: int, sender: str, put: Accept) -> list[Post]:
        """As a member that does not vote: a copy more."""
        if not self.anti_entropy.complete or put.epoch != self.anti_entropy.epoch:
            return []
        self.anti_entropy.merge_received(now_us, put.records, 0)
        return [(sender, Accepted(put.term, put.request_id, 0, {}))]

    def answer_request(self, now_us: int, sender: str, content: Any) -> Any:
        """As the owner of the marks."""
        try:
            op = msgspec.convert(content, MarkRequest)
        except msgspec.ValidationError:
            return None
        if self.coordinator is None:
            return None
        said = self.coordinator.answer_request(now_us, sender, op)
        return msgspec.to_builtins(said, builtin_types=(bytes,)) if said is not None else None

    # ------------------------------------------------------------------ what staff want

    def make_request_id(self) -> str:
        return f"m{self._luck.getrandbits(64):016x}"

    def write_mark(
        self,
        now_us: int,
        op: MarkRequest,
        reply: Callable[[MarkOutcome], None],
        for_us: int = MARK_US,
    ) -> None:
        """A mark that a majority is to hold: `reply` is called once, with what became of it."""
        if len(self._writing) >= MOST_WRITES:
            reply(MarkOutcome(op.id, "refused", 0, 0, f"{MOST_WRITES} marks are under way here"))
            return
        self._act("call", id=op.id, what="mark", subject=f"{op.kind}/{op.subject}", on=op.active)
        self._writing[op.id] = _Writing(op, reply, now_us + for_us, now_us)

    def write_mark_locally(self, now_us: int, op: MarkRequest) -> MarkOutcome:
        """A mark on this node's own word: it spreads, and stays beside others that it had not seen."""
        if op.kind not in MARK_KINDS:
            return MarkOutcome(op.id, "refused", 0, 0, f"no kind {op.kind[:40]}")
        if self._limit(op.kind) is not None and op.active:
            return MarkOutcome(op.id, "refused", 0, 0, "with permits, a majority has to know of it")
        key = (op.kind, op.subject, "")
        self._count += 1
        mark = OperatorMark(
            op.id, op.active, False, op.author, op.reason, op.written_at_s, self.name, [op.id]
        )
        before = self.store.get(key)
        record = apply_write(
            before, key, False, self._actor, (0, self._count), encode_mark(mark), gone=not op.active
        )
        saw = (
            [m.id for v in before.versions if (m := decode_mark(v)) is not None] if before is not None else []
        )
        self._act(
            "weak", id=op.id, subject=f"{op.kind}/{op.subject}", on=op.active, saw=",".join(saw) or None
        )
        self.store.put(now_us, record)
        self.anti_entropy.queue_gossip(record)
        return MarkOutcome(op.id, "done", 1, len(self._members.names))

    def read_mark(
        self,
        now_us: int,
        kind: str,
        subject: str,
        reply: Callable[[list[tuple[OperatorMark, bool]] | None], None],
        for_us: int = MARK_US,
    ) -> str:
        """What the owner knows of a mark: no older than the question. None: it was not heard in time."""
        op = MarkRequest("look", self.make_request_id(), 0, kind, subject)
        self._act("call", id=op.id, what="look", subject=f"{kind}/{subject}")
        self._looking[op.id] = _Looking(op, reply, now_us + for_us, now_us)
        return op.id

    def publish_outlier_report(self, now_us: int, content: bytes) -> None:
        """What this node believes of form servers, for the others."""
        self._beliefs += 1
        count = (self._members.me.incarnation, self._beliefs)
        record = apply_write(None, (OUTLIER_REPORT, self.name, ""), True, self.name, count, content)
        self.store.put(now_us, record)
        self.anti_entropy.queue_gossip(record)

    def store_server_list(self, now_us: int, source: str, revision: int, content: bytes) -> None:
        """The list that the source told under this revision; one that is not newer changes nothing."""
        key = (SERVER_LIST, source, "")
        before = self.store.get(key)
        if before is not None and before.context.get(source, (0, -1)) >= (0, revision):
            return
        record = apply_write(before, key, False, source, (0, revision), content)
        self.store.put(now_us, record)
        self.anti_entropy.queue_gossip(record)

    # ------------------------------------------------------------------ time

    def due_us(self, now_us: int) -> int:
        due_us = min(self.anti_entropy.due_us(now_us), self._where_us)
        if self.acceptor is not None:
            due_us = min(due_us, self.acceptor.due_us() or due_us)
        if self.coordinator is not None:
            due_us = min(due_us, self.coordinator.due_us())
        for writing in self._writing.values():
            due_us = min(due_us, writing.retry_at_us)
        for looking in self._looking.values():
            due_us = min(due_us, looking.retry_at_us)
        return due_us

    def turn(self, now_us: int, owner: str) -> list[Post]:
        """`owner`: who owns the marks, by hearsay; empty: nobody is known to."""
        posts = self.anti_entropy.turn(now_us)
        if self.acceptor is not None:
            posts += self.acceptor.turn(now_us)
        if self.coordinator is not None:
            posts += self.coordinator.turn(now_us)
        posts += self._compare(now_us, owner)
        self._ask(now_us)
        self._apply(now_us)
        self._write_lists(now_us)
        return posts

    def _compare(self, now_us: int, owner: str) -> list[Post]:
        """Asks the owner whether this copy is behind."""
        if self.coordinator is not None and self.coordinator.is_open:
            self.in_sync_us, self.missing_records = now_us, 0
        if now_us < self._where_us:
            return []
        self._where_us = now_us + WHERE_US * max(1, len(self._members.names) // WHERE_NODES)
        if not self.anti_entropy.complete:
            self.missing_records = self.anti_entropy.missing_records
            return []
        firm = self.store.group_digests()[: FIRM_RANGE_COUNT // RANGES_PER_GROUP]

        def told(now_us: int, sent_us: int, content: Any) -> None:
            said = _said(content)
            if said is not None and said.state == "done" and self.anti_entropy.complete:
                self.in_sync_us, self.missing_records = max(self.in_sync_us, sent_us), 0
            elif said is not None:
                self.missing_records = said.missing_records
                self._behind_owner = True

        self.leader_requests.append((MarkRequest("where", group_digests=firm), told))
        posts: list[Post] = []
        if self._behind_owner and owner and owner != self.name:
            self._behind_owner = False
            posts = self.anti_entropy.request_digests(owner)
        stale = self.is_stale(now_us)
        if stale is not self._stale:
            self._stale = stale
            self.anti_entropy.log_event("marks-stale" if stale else "marks-fresh", marks=len(self._used))
        return posts

    def lag_s(self, now_us: int) -> float | None:
        """How old the newest thing may be that this copy does not hold; None: not known."""
        return (now_us - self.in_sync_us) / SECOND if self.in_sync_us >= 0 else None

    def is_stale(self, now_us: int) -> bool:
        behind_s = self.lag_s(now_us)
        return behind_s is None or behind_s > self.settings.stale_s

    def _ask(self, now_us: int) -> None:
        for writing in list(self._writing.values()):
            if now_us >= writing.deadline_us:
                self._end_write(writing, self._late(writing))
            elif now_us >= writing.retry_at_us:
                writing.retry_at_us = now_us + ASK_US
                self.leader_requests.append((writing.request, self._said_of(writing)))
        for looking in list(self._looking.values()):
            if now_us >= looking.deadline_us:
                self._end_look(looking, None)
            elif now_us >= looking.retry_at_us:
                looking.retry_at_us = now_us + ASK_US
                self.leader_requests.append((looking.request, self._seen_by(looking)))

    @staticmethod
    def _late(writing: _Writing) -> MarkOutcome:
        said = writing.last_reply
        if said is not None and said.state in ("done", "waits"):  # all were waited for, and some are missing
            why = f"{said.copies} of {said.replicas} hold it"
            return MarkOutcome(writing.request.id, said.state, said.copies, said.replicas, why, said.term)
        copies = said.copies if said is not None else 0
        why = "no majority has answered: it may come into force yet"
        return MarkOutcome(
            writing.request.id, "unknown", copies, said.replicas if said is not None else 0, why
        )

    def _said_of(self, writing: _Writing) -> Callable[[int, int, Any], None]:
        def told(now_us: int, sent_us: int, content: Any) -> None:
            said = _said(content)
            if said is None or said.id != writing.request.id or writing.request.id not in self._writing:
                return
            match said.state:
                case "other":
                    writing.request = msgspec.structs.replace(writing.request, term=said.term)
                    writing.retry_at_us = now_us
                case "done" | "waits":
                    writing.last_reply = said
                    if writing.request.all_members and not said.all_members:
                        return
                    self._end_write(
                        writing,
                        MarkOutcome(said.id, said.state, said.copies, said.replicas, said.reason, said.term),
                    )
                case "pending":
                    writing.last_reply = said
                case "refused" | "unknown":
                    self._end_write(
                        writing,
                        MarkOutcome(said.id, said.state, said.copies, said.replicas, said.reason, said.term),
                    )

        return told

    def _end_write(self, writing: _Writing, answer: MarkOutcome) -> None:
        if self._writing.pop(writing.request.id, None) is not None:
            self._act("answer", id=answer.id, state=answer.state, copies=answer.copies)
            writing.on_outcome(answer)

    def _seen_by(self, looking: _Looking) -> Callable[[int, int, Any], None]:
        def told(now_us: int, sent_us: int, content: Any) -> None:
            said = _said(content)
            if said is None or looking.request.id not in self._looking:
                return
            if said.state == "other":
                looking.request = msgspec.structs.replace(looking.request, term=said.term)
                looking.retry_at_us = now_us
            elif said.state == "done":
                words = []
                for content_, gone in said.versions:
                    mark = _mark(content_)
                    if mark is not None:
                        words.append((mark, gone))
                self._end_look(looking, words)

        return told

    def _end_look(self, looking: _Looking, words: list[tuple[OperatorMark, bool]] | None) -> None:
        if self._looking.pop(looking.request.id, None) is not None:
            ids = ",".join(sorted(m.id for m, gone in words if not gone)) if words is not None else None
            state = "done" if words is not None else "unknown"
            self._act("answer", id=looking.request.id, state=state, value=ids or "none")
            looking.on_versions(words)

    # ------------------------------------------------------------------ what is in force here

    def _on_change(self, record: Record) -> None:
        if record.kind in MARK_KINDS:
            self._touched.add(record.key)
        if record.kind == SERVER_LIST:
            self._lists.add(record.key)
        elif not record.soft:
            self._journal.write_record(record, self.store.get_hash(record.key))

    def _write_lists(self, now_us: int) -> None:
        """Lists are long, change often, and are told again by the registry: the latest now and then."""
        if now_us < self._lists_us:
            return
        self._lists_us = now_us + LISTS_US
        while self._lists:
            record = self.store.get(self._lists.pop())
            if record is not None:
                self._journal.write_record(record, self.store.get_hash(record.key))

    def _apply(self, now_us: int) -> None:
        """Notes what came into force. What a copy held that is taken anew stays so until it is whole."""
        if not self.anti_entropy.complete:
            self._look_over = True
            return
        if self._look_over:
            self._look_over = False
            self._touched.clear()
            now_on = set(list_active_marks(self.store))
            now_on |= {k[:2] for k in self.anti_entropy.lost if k[:2] in self._used}
            if self.anti_entropy.copies_begun and self.in_sync_us < 0:
                # A copy just taken may be of a giver that is behind: what was out stays out until the owner
                # was heard.
                now_on |= self._used
                self._look_over = True
        elif self._touched:
            now_on = set(self._used)
            for key in self._touched:
                if key in self.anti_entropy.lost:
                    continue  # its bytes were spoilt: it stays as it is until it is had again
                record = self.store.get(key)
                on = record is not None and is_mark_active(record)
                (now_on.add if on else now_on.discard)(key[:2])
            self._touched.clear()
        else:
            return
        for kind, subject in sorted(now_on - self._used):
            self.mark_changes.append((kind, subject, True))
        for kind, subject in sorted(self._used - now_on):
            self.mark_changes.append((kind, subject, False))
        self._used = now_on

    # ------------------------------------------------------------------ what staff see

    def list_marks(self) -> list[MarkStatus]:
        return list(iterate_marks(self.store))


def _said(content: Any) -> MarkReply | None:
    try:
        return msgspec.convert(content, MarkReply)
    except msgspec.ValidationError:
        return None


def _mark(content: bytes) -> OperatorMark | None:
    try:
        return msgspec.msgpack.decode(content, type=OperatorMark)
    except msgspec.MsgspecError:
        return None
