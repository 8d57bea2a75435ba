"""The owner's side of replicated marks: a single proposer at a time, fenced by its term (as in Multi-Paxos).

Before it writes, a majority of the acceptors has promised to accept nothing of a lower term, the coordinator
has read what each of them held at that moment, and a majority holds all of that (so that what it has seen
cannot be lost again). A write is acknowledged once a majority has accepted it. Safety rests on terms and
majorities alone: a coordinator whose lease has ended without its knowledge gets no majority any more.

Pure: messages and the time (microseconds) come in, messages go out.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from sailrun.leadership.quorum import Voters
from sailrun.membership.messages import State
from sailrun.membership.swim import Members
from sailrun.replication.acceptor import find_consistent_voters
from sailrun.replication.anti_entropy import EPOCH_RECORD_KEY, AntiEntropy, DeletedVersions, EpochRecord
from sailrun.replication.messages import (
    Accept,
    Accepted,
    CatchUp,
    DeletionQuery,
    DeletionReply,
    MarkReply,
    MarkRequest,
    Prepare,
    Promise,
    TermSuperseded,
)
from sailrun.replication.operator_marks import (
    MARK_KINDS,
    MAX_REASON_CHARACTERS,
    MAX_REQUEST_IDS,
    OperatorMark,
    decode_mark,
    encode_mark,
    resolve_mark,
)
from sailrun.replication.records import STRONG, Key, Record, apply_write
from sailrun.replication.store import FIRM_RANGE_COUNT, RANGES_PER_GROUP

SECOND = 1_000_000
Post = tuple[str, msgspec.Struct]
# What was not answered is said again so soon, and later and later up to the second.
AGAIN_US, SLOWEST_US = 100_000, SECOND
# A write that a majority holds goes on being told to the other voters for so long; the rest is comparison.
AFTER_US = 10 * SECOND
# Writes under way, and answers that are remembered.
MOST_OPEN, MOST_DONE = 1000, 10_000
# At one time so many marks taken back are forgotten, and it is looked for them so often.
MOST_FORGOTTEN, LOOK_US = 100, 2 * SECOND


@dataclass(slots=True)
class _Round:
    """Something that voters are asked, again and again, until enough of them have answered."""

    request_id: int
    make_message: Callable[[], msgspec.Struct]
    on_majority: Callable[[int], None]  # once a majority stands
    began_us: int
    votes: dict[str, tuple[int, dict[str, int]]] = field(default_factory=dict)
    transferring: set[str] = field(default_factory=set)
    observers: set[str] = field(default_factory=set)  # members that do not vote, which are told as well
    observer_acks: set[str] = field(default_factory=set)  # of them, those that hold it
    send_at_us: int = 0
    retry_interval_us: int = AGAIN_US
    has_majority: bool = False


@dataclass(slots=True)
class _Write:
    id: str
    key: Key
    round: _Round
    waiting: bool


class MarkCoordinator:
    """Writes, promotes and forgets marks for as long as this node owns them. Made anew at each term."""

    def __init__(
        self,
        term: int,
        me: str,
        voters: Callable[[], Voters],
        members: Members,
        sync: AntiEntropy,
        limit: Callable[[str], int | None],
        now_us: int,
        off: frozenset[str] = frozenset(),
    ) -> None:
        """`limit` gives how many marks of a kind may be in force at a time; None: any number. `off` names
        safety rules that the laboratory switches off.
        """
        self.term, self._me, self._voters, self._members = term, me, voters, members
        self._sync, self._store, self._limit, self._off = sync, sync.store, limit, off
        self.state = "promise"
        self.superseding_term = 0  # a term that a voter has promised above this one
        self._count = 0
        self._epoch = sync.epoch
        self._began_us = now_us
        self._rounds: dict[int, _Round] = {}
        self._writes: dict[str, _Write] = {}  # by id; the latest
        self._look_us = now_us + LOOK_US
        self._copies = -1  # of the copy that was begun with: another one has to be begun with anew
        self._forgetting = False  # nothing is written while an epoch ends
        self._asked: dict[str, bool] | None = None  # members that were asked what they know: whether they do
        self._asked_round = 0
        self._items: DeletedVersions = []

    @property
    def is_open(self) -> bool:
        return self.state == "open" and self._same_copy

    @property
    def _same_copy(self) -> bool:
        return self._sync.complete and self._copies == self._sync.copies_begun

    def _begin(self, now_us: int) -> None:
        """From the start: promises, what the voters hold, and a majority that holds all of it."""
        self.state, self._epoch, self._copies = "promise", self._sync.epoch, self._sync.copies_begun
        self._forgetting, self._asked = False, None
        self._rounds.clear()
        number = self._sync.make_request_id()
        self._round(
            now_us,
            number,
            lambda: Prepare(self.term, number, self._epoch, self._firm()),
            self._level,
        )

    def _firm(self) -> list[int]:
        return self._store.group_digests()[: FIRM_RANGE_COUNT // RANGES_PER_GROUP]

    def _round(
        self, now_us: int, number: int, body: Callable[[], msgspec.Struct], done: Callable[[int], None]
    ) -> _Round:
        made = self._rounds[number] = _Round(number, body, done, now_us, send_at_us=now_us)
        return made

    def _level(self, now_us: int) -> None:
        if "level" in self._off:
            self._opened(now_us)
            return
        self.state = "level"
        number = self._sync.make_request_id()
        self._round(
            now_us, number, lambda: CatchUp(self.term, number, self._epoch, self._firm()), self._opened
        )

    def _advance(self, now_us: int) -> None:
        self._forgetting = False
        record = self._store.get(EPOCH_RECORD_KEY)
        if record is not None:
            self._sync.advance_epoch(now_us, record)
            self._epoch = self._sync.epoch

    def _opened(self, now_us: int) -> None:
        self.state = "open"
        self._advance(now_us)  # what the owner before may have decided
        self._sync.log_event("marks-open", term=self.term, after_ms=(now_us - self._began_us) // 1000)

    # ------------------------------------------------------------------ what voters and members answer

    def receive(self, now_us: int, sender: str, body: object) -> None:
        match body:
            case Promise() if body.term == self.term:
                self._promised(now_us, sender, body)
            case Accepted(term, number, life, lives) if term == self.term:
                made = self._rounds.get(number)
                if made is not None:
                    if sender in self._voters().all():
                        self._ack(now_us, made, sender, life, lives)
                    if sender in made.observers:
                        made.observer_acks.add(sender)
            case TermSuperseded(term, _, promised) if term == self.term:
                self.superseding_term = max(self.superseding_term, promised)
            case DeletionReply(term, number, yes) if term == self.term:
                if self._asked is not None and number == self._asked_round and sender in self._asked:
                    self._asked[sender] = self._asked[sender] or yes

    def _promised(self, now_us: int, sender: str, told: Promise) -> None:
        made = self._rounds.get(told.request_id)
        if (
            made is None
            or sender not in self._voters().all()
            or sender in made.transferring | made.votes.keys()
        ):
            return
        ranges = self._store.find_differing_ranges(told.range_digests)

        def done(now_us: int, whole: bool) -> None:
            made.transferring.discard(sender)
            if whole and self._epoch == self._sync.epoch:
                self._ack(now_us, made, sender, told.incarnation, told.crash_vector)

        if not ranges or sender == self._me:
            done(now_us, True)
            return
        made.transferring.add(sender)
        self._sync.receiver.begin(now_us, sender, ranges, done, urgent=True)

    def _ack(self, now_us: int, made: _Round, voter: str, life: int, lives: dict[str, int]) -> None:
        made.votes[voter] = (life, lives)
        resolve_mark = find_consistent_voters(made.votes) if "lives" not in self._off else set(made.votes)
        for name in made.votes.keys() - resolve_mark:
            del made.votes[name]  # of a former life: asked again
        if not made.has_majority and self._voters().majority(resolve_mark):
            made.has_majority = True
            made.on_majority(now_us)

    # ------------------------------------------------------------------ what is asked of the owner

    def answer_request(self, now_us: int, sender: str, op: MarkRequest) -> MarkReply | None:
        if op.operation == "where":
            if not self.is_open or self._epoch != self._sync.epoch:
                return None
            groups = list(
                self._store.find_differing_groups(op.group_digests[: FIRM_RANGE_COUNT // RANGES_PER_GROUP])
            )
            records = self._store.count_records(
                r for n in groups for r in range(n * RANGES_PER_GROUP, (n + 1) * RANGES_PER_GROUP)
            )
            return MarkReply(op.id, "done" if not groups else "behind", self.term, missing_records=records)
        if op.operation == "poll" or (op.operation == "mark" and op.id in self._writes):
            return self._stands(op)
        if op.term != self.term:
            return MarkReply(op.id, "other", self.term)
        if not self.is_open or self._forgetting or self._sync.epoch != self._epoch:
            return MarkReply(op.id, "opening", self.term)
        if any(kind == op.kind for kind, _, _ in self._sync.lost):
            return MarkReply(op.id, "opening", self.term)  # a mark was spoilt here, and is had again
        key = (op.kind, op.subject, "")
        if op.operation == "look":
            if any(w.key == key and not w.round.has_majority for w in self._writes.values()):
                return MarkReply(op.id, "pending", self.term)
            record = self._store.get(key)
            versions = [(v.content, v.deleted) for v in record.versions] if record is not None else []
            return MarkReply(op.id, "done", self.term, versions=versions)
        if op.operation != "mark" or op.kind not in MARK_KINDS:
            return MarkReply(op.id, "refused", self.term, reason=f"no kind {op.kind[:40]}")
        return self._mark(now_us, op, key)

    def _mark(self, now_us: int, op: MarkRequest, key: Key) -> MarkReply:
        record = self._store.get(key)
        ids = self._ids(record)
        if op.id in ids:
            # Done under a former term; a majority held it before this one opened.
            return MarkReply(
                op.id, "done", self.term, len(self._voters().all()) // 2 + 1, len(self._voters().all())
            )
        if len(ids) >= MAX_REQUEST_IDS and not self._long_ago(now_us):
            return MarkReply(op.id, "unknown", self.term, reason="too much was written there meanwhile")
        if sum(not w.round.has_majority for w in self._writes.values()) >= MOST_OPEN:
            return MarkReply(op.id, "refused", self.term, reason=f"{MOST_OPEN} marks are under way")
        waits = op.active and not self._room(op.kind, key)
        made = self._write(now_us, op, key, waits, ids)
        if op.all_members:
            made.round.observers = {n for n in self._members.names if n != self._me}
        return self._stands(op)

    def _long_ago(self, now_us: int) -> bool:
        """Whether nobody can ask again for what was written under a former term: long ago."""
        return now_us - self._began_us > 2 * AFTER_US

    @staticmethod
    def _ids(record: Record | None) -> list[str]:
        ids: list[str] = []
        for version in record.versions if record is not None else ():
            mark = decode_mark(version)
            ids += [i for i in (mark.request_ids if mark is not None else ()) if i not in ids]
        return ids

    def _room(self, kind: str, key: Key) -> bool:
        limit = self._limit(kind)
        if limit is None:
            return True
        now_out = {r.key for r in self._store.iterate_records(kind) if resolve_mark(r).active}
        return key in now_out or len(now_out) < limit

    def _write(self, now_us: int, op: MarkRequest, key: Key, waits: bool, ids: list[str]) -> _Write:
        self._count += 1
        ids = [*ids, op.id][-MAX_REQUEST_IDS:]
        mark = OperatorMark(
            op.id,
            op.active,
            waits,
            op.author[:80],
            op.reason[:MAX_REASON_CHARACTERS],
            op.written_at_s,
            self._me,
            ids,
        )
        count = (self.term, self._count)
        record = apply_write(
            self._store.get(key), key, False, STRONG, count, encode_mark(mark), gone=not op.active
        )
        made = self._put(now_us, record, lambda now_us: None)
        while len(self._writes) >= MOST_DONE:
            del self._writes[next(iter(self._writes))]
        write = self._writes[op.id] = _Write(op.id, key, made, waits)
        return write

    def _put(self, now_us: int, record: Record, done: Callable[[int], None]) -> _Round:
        number, epoch = self._sync.make_request_id(), self._epoch
        self._sync.merge_received(now_us, [record], 0)
        return self._round(now_us, number, lambda: Accept(self.term, number, epoch, [record]), done)

    def _stands(self, op: MarkRequest) -> MarkReply:
        write = self._writes.get(op.id)
        if write is None:
            return MarkReply(op.id, "unknown", self.term)
        made = write.round
        copies = len({*made.votes, *made.observer_acks, self._me})
        of = len({*self._voters().all(), *made.observers, self._me})
        state = ("waits" if write.waiting else "done") if made.has_majority else "pending"
        alive = {n for n in made.observers if self._members.lives(n)}
        everybody = bool(made.observers) and alive <= made.observer_acks | made.votes.keys()
        return MarkReply(op.id, state, self.term, copies, of, everybody)

    # ------------------------------------------------------------------ time

    def due_us(self) -> int:
        return min([self._look_us, *(r.send_at_us for r in self._rounds.values())])

    def turn(self, now_us: int) -> list[Post]:
        if not self._sync.complete:
            return []
        if not self._same_copy or (self._sync.epoch != self._epoch and not self._forgetting):
            self._begin(now_us)  # with another copy, or in an epoch that another owner began
        posts: list[Post] = []
        voters = self._voters().all()
        for made in list(self._rounds.values()):
            if now_us < made.send_at_us:
                continue
            made.send_at_us = now_us + made.retry_interval_us
            made.retry_interval_us = min(SLOWEST_US, int(made.retry_interval_us * 1.5))
            left = [n for n in voters if n not in made.votes and n not in made.transferring]
            left += [n for n in made.observers if n not in made.observer_acks and n not in voters]
            if made.has_majority and (not left or now_us - made.began_us > AFTER_US):
                del self._rounds[made.request_id]
                continue
            body = made.make_message()
            posts += [(name, body) for name in left]
        if now_us >= self._look_us:
            self._look_us = now_us + LOOK_US
            if self.is_open and not self._forgetting:
                self._promote(now_us)
                posts += self._forget(now_us)
        return posts

    def _promote(self, now_us: int) -> None:
        """Marks that wait come into force in their order, as far as there is room."""
        for kind in MARK_KINDS:
            waiting = [
                (version.count, record.key, mark)
                for record in self._store.iterate_records(kind)
                for version in record.versions
                if (mark := decode_mark(version)) is not None and mark.waiting and not version.deleted
            ]
            for _, key, mark in sorted(waiting, key=lambda w: w[0]):
                if not self._room(kind, key):
                    break
                op = MarkRequest(
                    "mark",
                    f"{mark.id}+",
                    self.term,
                    kind,
                    key[1],
                    True,
                    mark.author,
                    mark.reason,
                    mark.written_at_s,
                )
                if op.id not in self._writes:
                    self._write(now_us, op, key, False, self._ids(self._store.get(key)))

    # ------------------------------------------------------------------ forgetting what was taken back

    def _forget(self, now_us: int) -> list[Post]:
        """Marks taken back are forgotten once all members know that they were, but for those long gone."""
        if self._asked is None:
            self._items = self._old(now_us)
            if not self._items or any(not w.round.has_majority for w in self._writes.values()):
                return []
            if "forget" in self._off:
                return []  # each forgets for itself
            self._asked, self._asked_round = {}, self._sync.make_request_id()
        for name in self._waited_for(now_us):
            self._asked.setdefault(name, name == self._me)
        if not self._sync.knows_deletions(self._items):
            self._asked = None
            return []
        waited = self._waited_for(now_us)
        if all(self._asked.get(name) for name in waited):
            self._end_forgetting(now_us)
            return []
        have = DeletionQuery(self.term, self._asked_round, self._epoch, self._items)
        return [(name, have) for name, yes in self._asked.items() if not yes and name != self._me]

    def _old(self, now_us: int) -> DeletedVersions:
        keep_us = int(self._sync.settings.keep_s * SECOND)
        items: DeletedVersions = []
        for kind in MARK_KINDS:
            for record in self._store.iterate_records(kind):
                old = self._store.age_us(now_us, record.key) > keep_us
                if record.is_deleted and old and len(record.versions) == 1 and len(items) < MOST_FORGOTTEN:
                    items.append((record.key, *record.versions[0].dot))
        return items

    def _waited_for(self, now_us: int) -> list[str]:
        absent_us = int(self._sync.settings.absent_s * SECOND)
        return [
            r.name
            for r, since_us in self._members.known()
            if r.state in (State.ALIVE, State.SUSPECT)
            or (r.state is State.GONE and now_us - since_us < absent_us)
        ]

    def _end_forgetting(self, now_us: int) -> None:
        """First a majority holds all that this owner holds, then the next epoch begins with it."""
        items, epoch = self._items, self._epoch + 1
        number = self._sync.make_request_id()

        def levelled(now_us: int) -> None:
            self._asked = None
            if self._sync.epoch != self._epoch or not self._sync.knows_deletions(items):
                self._forgetting = False
                return
            content = msgspec.msgpack.encode(
                EpochRecord(epoch, items, self._sync.collect_local_writes(items))
            )
            self._count += 1
            record = apply_write(
                self._store.get(EPOCH_RECORD_KEY),
                EPOCH_RECORD_KEY,
                False,
                STRONG,
                (self.term, self._count),
                content,
            )
            # Decided once a majority holds it: whoever owns the marks next finds it there.
            self._put(now_us, record, self._advance)

        if not any(not r.has_majority for r in self._rounds.values()):
            self._forgetting = True
            self._round(
                now_us, number, lambda: CatchUp(self.term, number, self._epoch, self._firm()), levelled
            )
