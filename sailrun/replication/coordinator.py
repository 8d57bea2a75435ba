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
from sailrun.membership.membership import Membership
from sailrun.membership.messages import MemberState
from sailrun.replication.acceptor import consistent
from sailrun.replication.marks import KINDS, LONGEST_WHY, MOST_IDS, Mark, pack, standing, unpack
from sailrun.replication.messages import Has, Have, Higher, Kept, Level, Op, Promise, Promised, Put, Said
from sailrun.replication.records import STRONG, Key, Record, written
from sailrun.replication.store import GROUP, RANGES
from sailrun.replication.sync import FORGOTTEN, Forgetting, Items, Sync

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

    number: int
    body: Callable[[], msgspec.Struct]
    done: Callable[[int], None]  # once a majority stands
    begun_us: int
    acks: dict[str, tuple[int, dict[str, int]]] = field(default_factory=dict)
    pulling: set[str] = field(default_factory=set)
    others: set[str] = field(default_factory=set)  # members that do not vote, which are told as well
    kept: set[str] = field(default_factory=set)  # of them, those that hold it
    next_us: int = 0
    wait_us: int = AGAIN_US
    stands: bool = False


@dataclass(slots=True)
class _Write:
    id: str
    key: Key
    round: _Round
    waits: bool


class MarksCoordinator:
    """Writes, promotes and forgets marks for as long as this node owns them. Made anew at each term."""

    def __init__(
        self,
        term: int,
        me: str,
        voters: Callable[[], Voters],
        members: Membership,
        sync: Sync,
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
        self.higher = 0  # a term that a voter has promised above this one
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
        self._items: Items = []

    @property
    def open(self) -> bool:
        return self.state == "open" and self._same_copy

    @property
    def _same_copy(self) -> bool:
        return self._sync.whole and self._copies == self._sync.copies

    def _begin(self, now_us: int) -> None:
        """From the start: promises, what the voters hold, and a majority that holds all of it."""
        self.state, self._epoch, self._copies = "promise", self._sync.epoch, self._sync.copies
        self._forgetting, self._asked = False, None
        self._rounds.clear()
        number = self._sync.next_number()
        self._round(
            now_us,
            number,
            lambda: Promise(self.term, number, self._epoch, self._firm()),
            self._level,
        )

    def _firm(self) -> list[int]:
        return self._store.groups()[: RANGES // GROUP]

    def _round(
        self, now_us: int, number: int, body: Callable[[], msgspec.Struct], done: Callable[[int], None]
    ) -> _Round:
        made = self._rounds[number] = _Round(number, body, done, now_us, next_us=now_us)
        return made

    def _level(self, now_us: int) -> None:
        if "level" in self._off:
            self._opened(now_us)
            return
        self.state = "level"
        number = self._sync.next_number()
        self._round(now_us, number, lambda: Level(self.term, number, self._epoch, self._firm()), self._opened)

    def _advance(self, now_us: int) -> None:
        self._forgetting = False
        record = self._store.get(FORGOTTEN)
        if record is not None:
            self._sync.advance(now_us, record)
            self._epoch = self._sync.epoch

    def _opened(self, now_us: int) -> None:
        self.state = "open"
        self._advance(now_us)  # what the owner before may have decided
        self._sync.note("marks-open", term=self.term, after_ms=(now_us - self._began_us) // 1000)

    # ------------------------------------------------------------------ what voters and members answer

    def hear(self, now_us: int, sender: str, body: object) -> None:
        match body:
            case Promised() if body.term == self.term:
                self._promised(now_us, sender, body)
            case Kept(term, number, life, lives) if term == self.term:
                made = self._rounds.get(number)
                if made is not None:
                    if sender in self._voters().names():
                        self._ack(now_us, made, sender, life, lives)
                    if sender in made.others:
                        made.kept.add(sender)
            case Higher(term, _, promised) if term == self.term:
                self.higher = max(self.higher, promised)
            case Has(term, number, yes) if term == self.term:
                if self._asked is not None and number == self._asked_round and sender in self._asked:
                    self._asked[sender] = self._asked[sender] or yes

    def _promised(self, now_us: int, sender: str, told: Promised) -> None:
        made = self._rounds.get(told.number)
        if made is None or sender not in self._voters().names() or sender in made.pulling | made.acks.keys():
            return
        ranges = self._store.differing(told.leaves)

        def done(now_us: int, whole: bool) -> None:
            made.pulling.discard(sender)
            if whole and self._epoch == self._sync.epoch:
                self._ack(now_us, made, sender, told.life, told.lives)

        if not ranges or sender == self._me:
            done(now_us, True)
            return
        made.pulling.add(sender)
        self._sync.taker.begin(now_us, sender, ranges, done, urgent=True)

    def _ack(self, now_us: int, made: _Round, voter: str, life: int, lives: dict[str, int]) -> None:
        made.acks[voter] = (life, lives)
        standing = consistent(made.acks) if "lives" not in self._off else set(made.acks)
        for name in made.acks.keys() - standing:
            del made.acks[name]  # of a former life: asked again
        if not made.stands and self._voters().is_majority(standing):
            made.stands = True
            made.done(now_us)

    # ------------------------------------------------------------------ what is asked of the owner

    def asked(self, now_us: int, sender: str, op: Op) -> Said | None:
        if op.what == "where":
            if not self.open or self._epoch != self._sync.epoch:
                return None
            groups = list(self._store.unlike(op.groups[: RANGES // GROUP]))
            records = self._store.counts(r for n in groups for r in range(n * GROUP, (n + 1) * GROUP))
            return Said(op.id, "done" if not groups else "behind", self.term, records=records)
        if op.what == "poll" or (op.what == "mark" and op.id in self._writes):
            return self._stands(op)
        if op.under != self.term:
            return Said(op.id, "other", self.term)
        if not self.open or self._forgetting or self._sync.epoch != self._epoch:
            return Said(op.id, "opening", self.term)
        if any(kind == op.kind for kind, _, _ in self._sync.lost):
            return Said(op.id, "opening", self.term)  # a mark was spoilt here, and is had again
        key = (op.kind, op.subject, "")
        if op.what == "look":
            if any(w.key == key and not w.round.stands for w in self._writes.values()):
                return Said(op.id, "pending", self.term)
            record = self._store.get(key)
            versions = [(v.content, v.gone) for v in record.versions] if record is not None else []
            return Said(op.id, "done", self.term, versions=versions)
        if op.what != "mark" or op.kind not in KINDS:
            return Said(op.id, "refused", self.term, why=f"no kind {op.kind[:40]}")
        return self._mark(now_us, op, key)

    def _mark(self, now_us: int, op: Op, key: Key) -> Said:
        record = self._store.get(key)
        ids = self._ids(record)
        if op.id in ids:
            # Done under a former term; a majority held it before this one opened.
            return Said(
                op.id, "done", self.term, len(self._voters().names()) // 2 + 1, len(self._voters().names())
            )
        if len(ids) >= MOST_IDS and not self._long_ago(now_us):
            return Said(op.id, "unknown", self.term, why="too much was written there meanwhile")
        if sum(not w.round.stands for w in self._writes.values()) >= MOST_OPEN:
            return Said(op.id, "refused", self.term, why=f"{MOST_OPEN} marks are under way")
        waits = op.on and not self._room(op.kind, key)
        made = self._write(now_us, op, key, waits, ids)
        if op.everybody:
            made.round.others = {n for n in self._members.living_names if n != self._me}
        return self._stands(op)

    def _long_ago(self, now_us: int) -> bool:
        """Whether nobody can ask again for what was written under a former term: long ago."""
        return now_us - self._began_us > 2 * AFTER_US

    @staticmethod
    def _ids(record: Record | None) -> list[str]:
        ids: list[str] = []
        for version in record.versions if record is not None else ():
            mark = unpack(version)
            ids += [i for i in (mark.ids if mark is not None else ()) if i not in ids]
        return ids

    def _room(self, kind: str, key: Key) -> bool:
        limit = self._limit(kind)
        if limit is None:
            return True
        now_out = {r.key for r in self._store.records(kind) if standing(r).on}
        return key in now_out or len(now_out) < limit

    def _write(self, now_us: int, op: Op, key: Key, waits: bool, ids: list[str]) -> _Write:
        self._count += 1
        ids = [*ids, op.id][-MOST_IDS:]
        mark = Mark(op.id, op.on, waits, op.who[:80], op.why[:LONGEST_WHY], op.at_s, self._me, ids)
        count = (self.term, self._count)
        record = written(self._store.get(key), key, False, STRONG, count, pack(mark), gone=not op.on)
        made = self._put(now_us, record, lambda now_us: None)
        while len(self._writes) >= MOST_DONE:
            del self._writes[next(iter(self._writes))]
        write = self._writes[op.id] = _Write(op.id, key, made, waits)
        return write

    def _put(self, now_us: int, record: Record, done: Callable[[int], None]) -> _Round:
        number, epoch = self._sync.next_number(), self._epoch
        self._sync.take_in(now_us, [record], 0)
        return self._round(now_us, number, lambda: Put(self.term, number, epoch, [record]), done)

    def _stands(self, op: Op) -> Said:
        write = self._writes.get(op.id)
        if write is None:
            return Said(op.id, "unknown", self.term)
        made = write.round
        copies = len({*made.acks, *made.kept, self._me})
        of = len({*self._voters().names(), *made.others, self._me})
        state = ("waits" if write.waits else "done") if made.stands else "pending"
        alive = {n for n in made.others if self._members.is_living(n)}
        everybody = bool(made.others) and alive <= made.kept | made.acks.keys()
        return Said(op.id, state, self.term, copies, of, everybody)

    # ------------------------------------------------------------------ time

    def due_us(self) -> int:
        return min([self._look_us, *(r.next_us for r in self._rounds.values())])

    def turn(self, now_us: int) -> list[Post]:
        if not self._sync.whole:
            return []
        if not self._same_copy or (self._sync.epoch != self._epoch and not self._forgetting):
            self._begin(now_us)  # with another copy, or in an epoch that another owner began
        posts: list[Post] = []
        voters = self._voters().names()
        for made in list(self._rounds.values()):
            if now_us < made.next_us:
                continue
            made.next_us = now_us + made.wait_us
            made.wait_us = min(SLOWEST_US, int(made.wait_us * 1.5))
            left = [n for n in voters if n not in made.acks and n not in made.pulling]
            left += [n for n in made.others if n not in made.kept and n not in voters]
            if made.stands and (not left or now_us - made.begun_us > AFTER_US):
                del self._rounds[made.number]
                continue
            body = made.body()
            posts += [(name, body) for name in left]
        if now_us >= self._look_us:
            self._look_us = now_us + LOOK_US
            if self.open and not self._forgetting:
                self._promote(now_us)
                posts += self._forget(now_us)
        return posts

    def _promote(self, now_us: int) -> None:
        """Marks that wait come into force in their order, as far as there is room."""
        for kind in KINDS:
            waiting = [
                (version.count, record.key, mark)
                for record in self._store.records(kind)
                for version in record.versions
                if (mark := unpack(version)) is not None and mark.waits and not version.gone
            ]
            for _, key, mark in sorted(waiting, key=lambda w: w[0]):
                if not self._room(kind, key):
                    break
                op = Op("mark", f"{mark.id}+", self.term, kind, key[1], True, mark.who, mark.why, mark.at_s)
                if op.id not in self._writes:
                    self._write(now_us, op, key, False, self._ids(self._store.get(key)))

    # ------------------------------------------------------------------ forgetting what was taken back

    def _forget(self, now_us: int) -> list[Post]:
        """Marks taken back are forgotten once all members know that they were, but for those long gone."""
        if self._asked is None:
            self._items = self._old(now_us)
            if not self._items or any(not w.round.stands for w in self._writes.values()):
                return []
            if "forget" in self._off:
                return []  # each forgets for itself
            self._asked, self._asked_round = {}, self._sync.next_number()
        for name in self._waited_for(now_us):
            self._asked.setdefault(name, name == self._me)
        if not self._sync.knows_all(self._items):
            self._asked = None
            return []
        waited = self._waited_for(now_us)
        if all(self._asked.get(name) for name in waited):
            self._end_forgetting(now_us)
            return []
        have = Have(self.term, self._asked_round, self._epoch, self._items)
        return [(name, have) for name, yes in self._asked.items() if not yes and name != self._me]

    def _old(self, now_us: int) -> Items:
        keep_us = int(self._sync.terms.keep_s * SECOND)
        items: Items = []
        for kind in KINDS:
            for record in self._store.records(kind):
                old = self._store.age_us(now_us, record.key) > keep_us
                if record.gone and old and len(record.versions) == 1 and len(items) < MOST_FORGOTTEN:
                    items.append((record.key, *record.versions[0].dot))
        return items

    def _waited_for(self, now_us: int) -> list[str]:
        absent_us = int(self._sync.terms.absent_s * SECOND)
        return [
            r.name
            for r, since_us in self._members.records_with_age()
            if r.state in (MemberState.ALIVE, MemberState.SUSPECT)
            or (r.state is MemberState.DEAD and now_us - since_us < absent_us)
        ]

    def _end_forgetting(self, now_us: int) -> None:
        """First a majority holds all that this owner holds, then the next epoch begins with it."""
        items, epoch = self._items, self._epoch + 1
        number = self._sync.next_number()

        def levelled(now_us: int) -> None:
            self._asked = None
            if self._sync.epoch != self._epoch or not self._sync.knows_all(items):
                self._forgetting = False
                return
            content = msgspec.msgpack.encode(Forgetting(epoch, items, self._sync.weak_of(items)))
            self._count += 1
            record = written(
                self._store.get(FORGOTTEN), FORGOTTEN, False, STRONG, (self.term, self._count), content
            )
            # Decided once a majority holds it: whoever owns the marks next finds it there.
            self._put(now_us, record, self._advance)

        if not any(not r.stands for r in self._rounds.values()):
            self._forgetting = True
            self._round(now_us, number, lambda: Level(self.term, number, self._epoch, self._firm()), levelled)
