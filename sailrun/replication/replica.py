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
from sailrun.membership.membership import Membership
from sailrun.replication.acceptor import Acceptor
from sailrun.replication.coordinator import MarksCoordinator
from sailrun.replication.journal import Journal
from sailrun.replication.marks import KINDS, Mark, Standing, in_force, keeps_out, marks, pack, unpack
from sailrun.replication.messages import (
    Fetch,
    Fetched,
    Has,
    Have,
    Higher,
    Kept,
    Known,
    Knows,
    Level,
    Op,
    Promise,
    Promised,
    Put,
    Recover,
    Recovering,
    Said,
)
from sailrun.replication.records import Key, Record, written
from sailrun.replication.settings import ReplicationSettings
from sailrun.replication.store import GROUP, RANGES, Store
from sailrun.replication.sync import Sync

SECOND = 1_000_000
MARKS = "marks"
Post = tuple[str, msgspec.Struct]
# A question about a mark is said again so soon; whether this copy is behind is asked so often, and less often
# in a fleet of more than so many.
ASK_US, WHERE_US, WHERE_NODES = 100_000, SECOND, 200
# How long a mark is tried for where its writer says nothing else.
MARK_US = 6 * SECOND
MOST_WRITES = 1000
# The latest list is written down so often, where anything is.
LISTS_US = 10 * SECOND
BELIEF, LIST = "belief", "list"
_FOR_ACCEPTOR = (Promise, Put, Level, Knows, Known, Recover, Recovering)
_FOR_COORDINATOR = (Promised, Kept, Higher, Has)


@dataclass(frozen=True, slots=True)
class Answer:
    """What became of a mark. `state`: `done`, `waits`, `refused`, or `unknown`: it may come into force
    yet.
    """

    id: str
    state: str
    copies: int
    of: int
    why: str = ""
    term: int = 0


@dataclass(slots=True)
class _Writing:
    op: Op
    reply: Callable[[Answer], None]
    until_us: int
    next_us: int
    heard: Said | None = None


@dataclass(slots=True)
class _Looking:
    op: Op
    reply: Callable[[list[tuple[Mark, bool]] | None], None]
    until_us: int
    next_us: int


class Replica:
    def __init__(
        self,
        name: str,
        life: int,
        terms: ReplicationSettings,
        fleet: str,
        members: Membership,
        voters: Callable[[], Voters],
        limit: Callable[[str], int | None],
        seed: int,
        now_us: int,
        off: frozenset[str] = frozenset(),
        record: Callable[..., None] = lambda kind, **facts: None,
        journal: Journal | None = None,
    ) -> None:
        self._journal = journal or Journal()
        self._lists: set[Key] = set()  # changed lists, which nobody counts on and which change often
        self._lists_us = now_us
        self.terms, self.name, self._members, self._voters, self._off = terms, name, members, voters, off
        self._limit, self._act = limit, record
        self._luck = random.Random(seed)
        self.store = Store(terms, fleet.encode(), off)
        self.store.on_change = self._on_change
        self.sync = Sync(
            name,
            self.store,
            terms,
            members,
            lambda: voters().names(),
            lambda names: voters().is_majority(names),
            self._luck.getrandbits(32),
            now_us,
            off,
            self._journal,
        )
        self.acceptor: Acceptor | None = None
        self.coordinator: MarksCoordinator | None = None
        self.use_voters(now_us)
        self.sync.on_thrown = self._thrown
        self.sync.on_founded = lambda: self._act("founded", what="marks")
        self.sync.on_remembered = lambda: self._act("remembered", what="marks")
        self.sync.on_lost = lambda key: self._touched.add(key) if key[0] in KINDS else None
        self._actor = f"{name}/{life:x}"
        self._count = 0
        self._beliefs = 0
        # Questions to the owner of the marks, each with who is told the answer; emptied by who drives this.
        self.questions: list[tuple[Op, Callable[[int, int, Any], None]]] = []
        # What came into force or is so no longer: kind, subject, whether; emptied by who drives this.
        self.uses: list[tuple[str, str, bool]] = []
        self._used: set[tuple[str, str]] = set()
        self._touched: set[Key] = set()
        self._look_over = True  # all marks are to be looked at, not only those that changed
        self._writing: dict[str, _Writing] = {}
        self._looking: dict[str, _Looking] = {}
        self.level_us = -1  # when this copy was last known to hold what the owner held; -1: never
        self.lacks = 0
        self._behind_owner = False  # as it last said: its copy is asked for what differs
        self._where_us = now_us
        self._stale = False

    # ------------------------------------------------------------------ who votes, who owns

    def use_voters(self, now_us: int) -> None:
        if self.name not in self._voters().names():
            self.acceptor = None
        elif self.acceptor is None:
            self.acceptor = Acceptor(
                self.name, self._voters, self.store, self.sync, now_us, self._off, self._journal
            )

    def take_up(self, now_us: int, records: Iterable[tuple[Record, int]], epoch: int) -> int:
        """A whole copy that outlasted the process, with the records' hashes (0: not known). Its marks are in
        force until others tell more; returns how many records there was no room for.
        """
        left = self.store.load(now_us, records)
        self.sync.take_up(epoch)
        self._look_over = True
        return left

    def _thrown(self, now_us: int, counted: bool) -> None:
        self.level_us = -1
        self._look_over = True
        if counted and self.acceptor is not None:
            self.acceptor.restart(now_us)

    def turned(self, now_us: int, term: int) -> None:
        """This node owns the marks under that term from now on; 0: it does not any more."""
        self.coordinator = None
        if term:
            self.coordinator = MarksCoordinator(
                term,
                self.name,
                self._voters,
                self._members,
                self.sync,
                self._limit,
                now_us,
                self._off,
            )

    # ------------------------------------------------------------------ messages

    def hear(self, now_us: int, sender: str, body: object) -> list[Post]:
        if isinstance(body, _FOR_ACCEPTOR):
            if self.acceptor is not None:
                return self.acceptor.hear(now_us, sender, body)
            if isinstance(body, Put):
                return self._keep_for(now_us, sender, body)
            return []
        if isinstance(body, _FOR_COORDINATOR):
            if self.coordinator is not None:
                self.coordinator.hear(now_us, sender, body)
            return []
        if isinstance(body, Have):
            same = body.epoch == self.sync.epoch
            return [(sender, Has(body.term, body.number, same and self.sync.knows_all(body.items)))]
        if isinstance(body, Fetch | Fetched) and not self.sync.whole:
            return []
        return self.sync.hear(now_us, sender, body)

    def _keep_for(self, now_us: int, sender: str, put: Put) -> list[Post]:
        """As a member that does not vote: a copy more."""
        if not self.sync.whole or put.epoch != self.sync.epoch:
            return []
        self.sync.take_in(now_us, put.records, 0)
        return [(sender, Kept(put.term, put.number, 0, {}))]

    def answer(self, now_us: int, sender: str, content: Any) -> Any:
        """As the owner of the marks."""
        try:
            op = msgspec.convert(content, Op)
        except msgspec.ValidationError:
            return None
        if self.coordinator is None:
            return None
        said = self.coordinator.asked(now_us, sender, op)
        return msgspec.to_builtins(said, builtin_types=(bytes,)) if said is not None else None

    # ------------------------------------------------------------------ what staff want

    def new_id(self) -> str:
        return f"m{self._luck.getrandbits(64):016x}"

    def mark(
        self,
        now_us: int,
        op: Op,
        reply: Callable[[Answer], None],
        for_us: int = MARK_US,
    ) -> None:
        """A mark that a majority is to hold: `reply` is called once, with what became of it."""
        if len(self._writing) >= MOST_WRITES:
            reply(Answer(op.id, "refused", 0, 0, f"{MOST_WRITES} marks are under way here"))
            return
        self._act("call", id=op.id, what="mark", subject=f"{op.kind}/{op.subject}", on=op.on)
        self._writing[op.id] = _Writing(op, reply, now_us + for_us, now_us)

    def mark_here(self, now_us: int, op: Op) -> Answer:
        """A mark on this node's own word: it spreads, and stays beside others that it had not seen."""
        if op.kind not in KINDS:
            return Answer(op.id, "refused", 0, 0, f"no kind {op.kind[:40]}")
        if self._limit(op.kind) is not None and op.on:
            return Answer(op.id, "refused", 0, 0, "with permits, a majority has to know of it")
        key = (op.kind, op.subject, "")
        self._count += 1
        mark = Mark(op.id, op.on, False, op.who, op.why, op.at_s, self.name, [op.id])
        before = self.store.get(key)
        record = written(before, key, False, self._actor, (0, self._count), pack(mark), gone=not op.on)
        saw = [m.id for v in before.versions if (m := unpack(v)) is not None] if before is not None else []
        self._act("weak", id=op.id, subject=f"{op.kind}/{op.subject}", on=op.on, saw=",".join(saw) or None)
        self.store.put(now_us, record)
        self.sync.changed(record)
        return Answer(op.id, "done", 1, len(self._members.living_names))

    def look(
        self,
        now_us: int,
        kind: str,
        subject: str,
        reply: Callable[[list[tuple[Mark, bool]] | None], None],
        for_us: int = MARK_US,
    ) -> str:
        """What the owner knows of a mark: no older than the question. None: it was not heard in time."""
        op = Op("look", self.new_id(), 0, kind, subject)
        self._act("call", id=op.id, what="look", subject=f"{kind}/{subject}")
        self._looking[op.id] = _Looking(op, reply, now_us + for_us, now_us)
        return op.id

    def believe(self, now_us: int, content: bytes) -> None:
        """What this node believes of form servers, for the others."""
        self._beliefs += 1
        count = (self._members.own_record.incarnation, self._beliefs)
        record = written(None, (BELIEF, self.name, ""), True, self.name, count, content)
        self.store.put(now_us, record)
        self.sync.changed(record)

    def keep_list(self, now_us: int, source: str, revision: int, content: bytes) -> None:
        """The list that the source told under this revision; one that is not newer changes nothing."""
        key = (LIST, source, "")
        before = self.store.get(key)
        if before is not None and before.seen.get(source, (0, -1)) >= (0, revision):
            return
        record = written(before, key, False, source, (0, revision), content)
        self.store.put(now_us, record)
        self.sync.changed(record)

    # ------------------------------------------------------------------ time

    def due_us(self, now_us: int) -> int:
        due_us = min(self.sync.due_us(now_us), self._where_us)
        if self.acceptor is not None:
            due_us = min(due_us, self.acceptor.due_us() or due_us)
        if self.coordinator is not None:
            due_us = min(due_us, self.coordinator.due_us())
        for writing in self._writing.values():
            due_us = min(due_us, writing.next_us)
        for looking in self._looking.values():
            due_us = min(due_us, looking.next_us)
        return due_us

    def turn(self, now_us: int, owner: str) -> list[Post]:
        """`owner`: who owns the marks, by hearsay; empty: nobody is known to."""
        posts = self.sync.turn(now_us)
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
        if self.coordinator is not None and self.coordinator.open:
            self.level_us, self.lacks = now_us, 0
        if now_us < self._where_us:
            return []
        self._where_us = now_us + WHERE_US * max(1, len(self._members.living_names) // WHERE_NODES)
        if not self.sync.whole:
            self.lacks = self.sync.missing
            return []
        firm = self.store.groups()[: RANGES // GROUP]

        def told(now_us: int, sent_us: int, content: Any) -> None:
            said = _said(content)
            if said is not None and said.state == "done" and self.sync.whole:
                self.level_us, self.lacks = max(self.level_us, sent_us), 0
            elif said is not None:
                self.lacks = said.records
                self._behind_owner = True

        self.questions.append((Op("where", groups=firm), told))
        posts: list[Post] = []
        if self._behind_owner and owner and owner != self.name:
            self._behind_owner = False
            posts = self.sync.ask(owner)
        stale = self.stale(now_us)
        if stale is not self._stale:
            self._stale = stale
            self.sync.note("marks-stale" if stale else "marks-fresh", marks=len(self._used))
        return posts

    def behind_s(self, now_us: int) -> float | None:
        """How old the newest thing may be that this copy does not hold; None: not known."""
        return (now_us - self.level_us) / SECOND if self.level_us >= 0 else None

    def stale(self, now_us: int) -> bool:
        behind_s = self.behind_s(now_us)
        return behind_s is None or behind_s > self.terms.stale_s

    def _ask(self, now_us: int) -> None:
        for writing in list(self._writing.values()):
            if now_us >= writing.until_us:
                self._end_write(writing, self._late(writing))
            elif now_us >= writing.next_us:
                writing.next_us = now_us + ASK_US
                self.questions.append((writing.op, self._said_of(writing)))
        for looking in list(self._looking.values()):
            if now_us >= looking.until_us:
                self._end_look(looking, None)
            elif now_us >= looking.next_us:
                looking.next_us = now_us + ASK_US
                self.questions.append((looking.op, self._seen_by(looking)))

    @staticmethod
    def _late(writing: _Writing) -> Answer:
        said = writing.heard
        if said is not None and said.state in ("done", "waits"):  # all were waited for, and some are missing
            why = f"{said.copies} of {said.of} hold it"
            return Answer(writing.op.id, said.state, said.copies, said.of, why, said.under)
        copies = said.copies if said is not None else 0
        why = "no majority has answered: it may come into force yet"
        return Answer(writing.op.id, "unknown", copies, said.of if said is not None else 0, why)

    def _said_of(self, writing: _Writing) -> Callable[[int, int, Any], None]:
        def told(now_us: int, sent_us: int, content: Any) -> None:
            said = _said(content)
            if said is None or said.id != writing.op.id or writing.op.id not in self._writing:
                return
            match said.state:
                case "other":
                    writing.op = msgspec.structs.replace(writing.op, under=said.under)
                    writing.next_us = now_us
                case "done" | "waits":
                    writing.heard = said
                    if writing.op.everybody and not said.everybody:
                        return
                    self._end_write(
                        writing, Answer(said.id, said.state, said.copies, said.of, said.why, said.under)
                    )
                case "pending":
                    writing.heard = said
                case "refused" | "unknown":
                    self._end_write(
                        writing, Answer(said.id, said.state, said.copies, said.of, said.why, said.under)
                    )

        return told

    def _end_write(self, writing: _Writing, answer: Answer) -> None:
        if self._writing.pop(writing.op.id, None) is not None:
            self._act("answer", id=answer.id, state=answer.state, copies=answer.copies)
            writing.reply(answer)

    def _seen_by(self, looking: _Looking) -> Callable[[int, int, Any], None]:
        def told(now_us: int, sent_us: int, content: Any) -> None:
            said = _said(content)
            if said is None or looking.op.id not in self._looking:
                return
            if said.state == "other":
                looking.op = msgspec.structs.replace(looking.op, under=said.under)
                looking.next_us = now_us
            elif said.state == "done":
                words = []
                for content_, gone in said.versions:
                    mark = _mark(content_)
                    if mark is not None:
                        words.append((mark, gone))
                self._end_look(looking, words)

        return told

    def _end_look(self, looking: _Looking, words: list[tuple[Mark, bool]] | None) -> None:
        if self._looking.pop(looking.op.id, None) is not None:
            ids = ",".join(sorted(m.id for m, gone in words if not gone)) if words is not None else None
            state = "done" if words is not None else "unknown"
            self._act("answer", id=looking.op.id, state=state, value=ids or "none")
            looking.reply(words)

    # ------------------------------------------------------------------ what is in force here

    def _on_change(self, record: Record) -> None:
        if record.kind in KINDS:
            self._touched.add(record.key)
        if record.kind == LIST:
            self._lists.add(record.key)
        elif not record.soft:
            self._journal.record(record, self.store.mark(record.key))

    def _write_lists(self, now_us: int) -> None:
        """Lists are long, change often, and are told again by the registry: the latest now and then."""
        if now_us < self._lists_us:
            return
        self._lists_us = now_us + LISTS_US
        while self._lists:
            record = self.store.get(self._lists.pop())
            if record is not None:
                self._journal.record(record, self.store.mark(record.key))

    def _apply(self, now_us: int) -> None:
        """Notes what came into force. What a copy held that is taken anew stays so until it is whole."""
        if not self.sync.whole:
            self._look_over = True
            return
        if self._look_over:
            self._look_over = False
            self._touched.clear()
            now_on = set(in_force(self.store))
            now_on |= {k[:2] for k in self.sync.lost if k[:2] in self._used}
            if self.sync.copies and self.level_us < 0:
                # A copy just taken may be of a giver that is behind: what was out stays out until the owner
                # was heard.
                now_on |= self._used
                self._look_over = True
        elif self._touched:
            now_on = set(self._used)
            for key in self._touched:
                if key in self.sync.lost:
                    continue  # its bytes were spoilt: it stays as it is until it is had again
                record = self.store.get(key)
                on = record is not None and keeps_out(record)
                (now_on.add if on else now_on.discard)(key[:2])
            self._touched.clear()
        else:
            return
        for kind, subject in sorted(now_on - self._used):
            self.uses.append((kind, subject, True))
        for kind, subject in sorted(self._used - now_on):
            self.uses.append((kind, subject, False))
        self._used = now_on

    # ------------------------------------------------------------------ what staff see

    def standings(self) -> list[Standing]:
        return list(marks(self.store))


def _said(content: Any) -> Said | None:
    try:
        return msgspec.convert(content, Said)
    except msgspec.ValidationError:
        return None


def _mark(content: bytes) -> Mark | None:
    try:
        return msgspec.msgpack.decode(content, type=Mark)
    except msgspec.MsgspecError:
        return None
