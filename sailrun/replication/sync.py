"""Copies that become alike: what changes is told on, what differs is found by digests and taken over, and who
has nothing, or something too old, begins with a whole copy.

Pure. Safety of what a majority keeps is not here (see `acceptor.py` and `coordinator.py`): here nothing is
lost because copies only ever learn, and nothing that was taken back returns because copies of different
epochs are never merged.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from sailrun.membership.membership import Membership
from sailrun.membership.messages import MemberState
from sailrun.replication.journal import Journal
from sailrun.replication.messages import (
    Busy,
    Differs,
    Fetch,
    Fetched,
    Given,
    Rumor,
    Sum,
    Take,
)
from sailrun.replication.pulls import Giver, Pull, Taker
from sailrun.replication.records import STRONG, BadRecord, Count, Key, Record, covers, mark_of, size_of
from sailrun.replication.settings import ReplicationSettings
from sailrun.replication.store import ALL, GROUP, Store, Took

SECOND = 1_000_000
Post = tuple[str, msgspec.Struct]
# A change is told so many times by each who learns of it, to so many at a time, this often.
TELLS, FANOUT, RUMOR_US = 4, 2, 200_000
# What goes into one rumor; a record that is longer is left to the comparison of copies.
RUMOR_BYTES = 900
# Those that take a whole copy ask so many givers at once.
GIVERS = 3
# Nobody has a whole copy, as voters tell each other after so long, or none has come after so long: what there
# is, is the whole. Whom one was asked of is not asked again at once.
FRESH_US, PATIENT_US, ANSWERED_US = SECOND, 10 * SECOND, 3 * SECOND
AGAIN_US = SECOND // 2
# A copy that differs without a reason is asked of the voters so often, for so long each time.
VOTES, VOTE_US = 3, SECOND
# More spoilt records than this at a time: the copy is thrown away.
MOST_SPOILT = 16
# A record that was spoilt here, and that nobody has told again within this, was nowhere else.
LOST_US = 10 * SECOND
SCRUB_US = SECOND
FORGOTTEN: Key = ("fleet", "forgotten", "")
Items = list[tuple[Key, str, Count]]
# So much of what was forgotten is remembered of words that nodes said on their own.
MOST_WEAK = 5000


class Forgetting(msgspec.Struct, array_like=True, frozen=True):
    """The content of the record of the latest epoch: what was forgotten with it. `weak`: with this epoch and
    those before, up to which count of a node's own words of a record went with it, so that who returns with
    other words of its own can tell them from these.
    """

    epoch: int
    items: Items
    weak: Items = []


@dataclass(slots=True)
class _Vote:
    """Which content of a record is right."""

    key: Key
    number: int
    until_us: int
    copies: dict[str, Record | None] = field(default_factory=dict)
    tries: int = 1


class Sync:
    def __init__(
        self,
        name: str,
        store: Store,
        terms: ReplicationSettings,
        members: Membership,
        voters: Callable[[], list[str]],
        majority: Callable[[set[str]], bool],
        seed: int,
        now_us: int,
        off: frozenset[str] = frozenset(),
        journal: Journal | None = None,
    ) -> None:
        self._journal = journal or Journal()
        self._name, self.store, self.terms, self._members = name, store, terms, members
        self._voters, self._majority, self._off = voters, majority, off
        self._luck = random.Random(seed)
        self._number = self._luck.getrandbits(30) << 20
        self.epoch = 0
        self.whole = False
        self.notes: list[tuple[str, dict[str, object]]] = []  # for the log; emptied by whoever drives this
        self.taker = Taker(terms, self.next_number)
        self.giver = Giver(terms)
        # The copy was thrown away; told whether others counted on what it held.
        self.on_thrown: Callable[[int, bool], None] = lambda now_us, counted: None
        self.on_lost: Callable[[Key], None] = lambda key: None  # nobody had the record
        self.on_founded: Callable[[], None] = lambda: None  # too few voters remembered
        self.on_remembered: Callable[[], None] = lambda: None  # this voter knows again what it had promised
        self._hot: OrderedDict[Key, int] = OrderedDict()  # by key, how often told
        self._attic: list[Record] = []  # of a copy thrown away: what nodes said on their own word
        self.lost: dict[Key, int] = {}  # records whose bytes were spoilt, to be had again by a time
        self._sums: dict[int, str] = {}  # sums that were sent, and to whom
        self._answered: dict[str, int] = {}  # who has no whole copy either, as it said at that time
        self._left = set(range(ALL))  # ranges that are still to be copied
        self._assigned: dict[int, str] = {}  # of them, which are being taken from whom
        self._places: dict[int, Key] = {}  # of them, how far one has come
        self._away: dict[str, int] = {}  # givers not to be asked before
        self._votes: dict[Key, _Vote] = {}
        self._next: list[str] = []  # whose copy is known to differ
        self._rumor_us = self._sum_us = self._scrub_us = now_us
        self._begun_us = -1  # when this copy was begun
        self.copies = 0  # whole copies begun
        self.mended = 0
        self.missing = 0  # records said to be in ranges that are to be copied
        self._told_full = False

    def take_up(self, epoch: int) -> None:
        """A whole copy of this epoch was found at the start; how far it is behind, others will tell."""
        self.epoch, self.whole, self._left = epoch, True, set()

    def next_number(self) -> int:
        self._number += 1
        return self._number

    def note(self, what: str, **facts: object) -> None:
        self.notes.append((what, facts))

    # ------------------------------------------------------------------ records that come in

    def changed(self, record: Record, told: int = 0) -> None:
        """A record became known here: it is told on."""
        if size_of(record) <= RUMOR_BYTES:
            self._hot[record.key] = told
            self._hot.move_to_end(record.key, last=False)

    def take_in(self, now_us: int, records: list[Record], tell: int) -> bool:
        """Merges what was told; False where there was something bad among it. `tell`: as if told on so
        often.
        """
        for record in records:
            try:
                took = self.store.put(now_us, record)
            except BadRecord as error:
                self.note("bad-record", why=str(error))
                return False
            if took is Took.NEW:
                if record.key in self.lost:
                    del self.lost[record.key]
                    self.mended += 1
                    self.note("copy-mended", kind=record.kind, subject=record.subject)
                if tell < TELLS:
                    known = self.store.get(record.key)
                    if known is not None:
                        self.changed(known, tell)
            elif took is Took.DIFFERS:
                self.dispute(now_us, record.key)
            elif took is Took.FULL and not self._told_full:
                self._told_full = True
                self.note("replica-full", records=len(self.store), bytes=self.store.bytes)
        return True

    # ------------------------------------------------------------------ messages

    def hear(self, now_us: int, sender: str, body: object) -> list[Post]:
        match body:
            case Rumor(epoch, records):
                if self._same_epoch(epoch) and self.whole:
                    self.take_in(now_us, records, 0)
                elif epoch > self.epoch:
                    return self.ask(sender)
            case Sum():
                return self._summed(now_us, sender, body)
            case Differs():
                return self._compared(now_us, sender, body)
            case Take():
                if not self._same_epoch(body.epoch):
                    return self.ask(sender)
                return [(sender, self.giver.asked(now_us, sender, body, self.store, self.whole))]
            case Given(number):
                pull = self.taker.of(sender, number)
                if pull is not None and self._same_epoch(body.epoch):
                    # What was taken in to catch up others have; what differed may be new to some.
                    tell = TELLS if not self.whole else TELLS - 1
                    if self.take_in(now_us, body.records, tell):
                        self.taker.came(now_us, pull, body)
            case Busy(number, wait_us):
                pull = self.taker.of(sender, number)
                if pull is not None:
                    self._away[sender] = now_us + wait_us
                    if pull.urgent or self.whole:
                        pull.next_us, pull.tries = now_us + wait_us, 0
                    else:
                        self.taker.end(now_us, pull, False)
            case Fetch(number, key):
                return [(sender, Fetched(number, key, self.store.get(key)))]
            case Fetched(number, key, record):
                vote = self._votes.get(key)
                if vote is not None and vote.number == number and sender in self._voters():
                    vote.copies[sender] = record
                    self._count(now_us, vote)
        return []

    def _same_epoch(self, epoch: int) -> bool:
        return epoch == self.epoch or "forget" in self._off

    def ask(self, name: str) -> list[Post]:
        """How does that copy compare with mine?"""
        number = self.next_number()
        self._sums[number] = name
        while len(self._sums) > 64:
            del self._sums[next(iter(self._sums))]
        return [(name, Sum(number, self.epoch, self.store.groups(), self.whole))]

    def _summed(self, now_us: int, sender: str, told: Sum) -> list[Post]:
        leaves = self.store.unlike(told.groups)
        records = self.store.counts(r for n in leaves for r in range(n * GROUP, (n + 1) * GROUP))
        forgotten = self.store.get(FORGOTTEN) if told.epoch < self.epoch else None
        posts: list[Post] = [
            (sender, Differs(told.number, self.epoch, leaves, records, self.whole, forgotten))
        ]
        if told.epoch > self.epoch:
            posts += self.ask(sender)
        elif leaves and told.whole and self.whole and sender not in self._next:
            self._next.append(sender)
        return posts

    def _compared(self, now_us: int, sender: str, told: Differs) -> list[Post]:
        if self._sums.pop(told.number, None) != sender:
            return []
        if "forget" in self._off:
            pass
        elif told.epoch > self.epoch:
            known = told.forgotten
            if known is None and self.whole and not told.whole:
                return []  # it has begun a copy of that epoch, and knows no more of it: others will tell
            if not self.whole or known is None or not self.advance(now_us, known):
                # What was told is how that copy differs from the one that is thrown away: it is asked anew.
                self.begin_copy(now_us, told.epoch, "too far behind")
                return self.ask(sender)
            if self.epoch != told.epoch:
                return []
        elif told.epoch < self.epoch:
            return []
        ranges = self.store.differing(told.leaves)
        if not self.whole:
            self._copy_from(now_us, sender, told, ranges)
        elif ranges and self.taker.from_giver(sender) is None and len(self.taker.pulls) < 2 * GIVERS:
            self.taker.begin(now_us, sender, ranges, lambda now_us, whole: None)
        return []

    # ------------------------------------------------------------------ whole copies

    def begin_copy(self, now_us: int, epoch: int, why: str) -> None:
        """Throws this copy away and takes another. What nodes said on their own word is kept aside: the fleet
        may never have heard it.
        """
        self.note("copy-begins", why=why, epoch=epoch, records=len(self.store))
        spoilt = self.whole and epoch == self.epoch
        self.copies += 1
        self.whole, self.epoch, self._begun_us = False, epoch, now_us
        self.taker.drop(now_us)
        aside = {r.key: r for r in self._attic} | {r.key: r for r in self.store.sound()}
        self._attic = [r for r in map(_own_words, aside.values()) if r is not None]
        self.lost.clear()
        self.store.clear()
        self._hot.clear()
        self._votes.clear()
        self._sums.clear()  # answers under way are about the copy that is no more
        self._left, self._assigned, self._places = set(range(ALL)), {}, {}
        self._answered.clear()
        self._journal.copy(epoch, False, cleared=True)
        self.on_thrown(now_us, spoilt)

    def _copy_from(self, now_us: int, giver: str, told: Differs, ranges: list[int]) -> None:
        if not told.whole:
            self._answered[giver] = now_us
            if ranges and not self.taker.from_giver(giver):
                # Nobody may have a whole copy: then all that any has makes one.
                self.taker.begin(now_us, giver, ranges, lambda now_us, whole: None, urgent=True)
            return
        self._answered.pop(giver, None)
        self.missing = told.records
        self._left -= set(range(ALL)) - set(ranges) - self._assigned.keys()
        if not self._left:
            self._have_copied(now_us)
            return
        free = [n for n in ranges if n in self._left and n not in self._assigned]
        share = free[: max(1, len(self._left) // GIVERS)]
        if not share or self.taker.from_giver(giver) is not None:
            return
        share.sort(key=lambda n: n not in self._places)  # what was broken off first
        for number in share:
            self._assigned[number] = giver
        after = self._places.pop(share[0], None)
        # A piece goes on from a place within one range; the others follow.
        first, rest = share[:1], sorted(share[1:])
        self._take(now_us, giver, first if after is not None else sorted(share), after)
        if after is not None:
            for number in rest:
                self._assigned.pop(number, None)

    def _take(self, now_us: int, giver: str, ranges: list[int], after: Key | None) -> None:
        def done(now_us: int, whole: bool) -> None:
            if self.whole:
                return
            came = set(ranges) if whole else set(ranges) - set(pull.ranges)
            for number in ranges:
                self._assigned.pop(number, None)
            self._left -= came
            if not whole and pull.after is not None:
                self._places[pull.ranges[0]] = pull.after
            if not self._left:
                self._have_copied(now_us)

        self.taker.begin(now_us, giver, ranges, done, after=after)
        pull: Pull = self.taker.pulls[-1]

    def _have_copied(self, now_us: int) -> None:
        self.whole = True
        self._journal.copy(self.epoch, True)
        self.note("copy-whole", records=len(self.store), epoch=self.epoch, pieces=self.taker.pieces)
        self.missing = 0
        attic, self._attic = self._attic, []
        known = self.store.get(FORGOTTEN)
        gone = {(key, actor): count for key, actor, count in _forgetting(known).weak}
        for record in attic:
            words = [v for v in record.versions if v.count > gone.get((record.key, v.actor), (-1, -1))]
            if words:
                self.take_in(now_us, [Record(*record.key, False, words, record.seen)], 0)

    def _fresh(self, now_us: int) -> None:
        """Nobody has a whole copy to give. Voters tell each other so, as few as they are; the rest wait for
        one of them, and where none comes go on with what there is.
        """
        waited_us = now_us - self._begun_us
        if waited_us >= PATIENT_US:
            self._have_copied(now_us)
            return
        voters = set(self._voters())
        if self._name not in voters or waited_us < FRESH_US:
            return
        there = {
            r.name for r, _ in self._members.records_with_age() if r.state is not MemberState.LEFT
        } & voters
        said = {n for n in there if now_us - self._answered.get(n, -ANSWERED_US) < ANSWERED_US}
        if there <= said | {self._name}:
            self._have_copied(now_us)

    def _go_on_copying(self, now_us: int) -> list[Post]:
        self._fresh(now_us)
        if self.whole:
            return []
        others = [n for n in self._members.living_names if n != self._name]
        free = [n for n in others if self._away.get(n, 0) <= now_us and self.taker.from_giver(n) is None]
        asked = GIVERS - sum(1 for p in self.taker.pulls if not p.urgent)
        if asked <= 0 or not free:
            return []
        # A voter among them: those are the first to have one.
        voters = set(self._voters())
        picked = self._luck.sample(free, min(asked, len(free)))
        first = [n for n in free if n in voters]
        if first and not voters & set(picked):
            picked[0] = self._luck.choice(first)
        posts: list[Post] = []
        for name in picked:
            self._away[name] = now_us + AGAIN_US
            posts += self.ask(name)
        return posts

    # ------------------------------------------------------------------ what is forgotten

    def advance(self, now_us: int, record: Record) -> bool:
        """Goes on to the next epoch, if this copy knows of all that is forgotten with it that it was taken
        back; who does not cannot tell what else it has missed. To hold the record is no reason to: it has
        to be decided, as an owner knows from a majority, and others from whoever has gone on.
        """
        told = _forgetting(record)
        if told.epoch <= self.epoch:
            return told.epoch == self.epoch
        if told.epoch != self.epoch + 1 or not self.whole or not self.knows_all(told.items):
            return False
        for key, actor, count in told.items:
            known = self.store.get(key)
            if known is not None and [v.dot for v in known.versions] == [(actor, count)] and known.gone:
                self.store.remove(key)
                self._journal.dropped(key)
                self._hot.pop(key, None)
        self.epoch = told.epoch
        self._journal.copy(self.epoch, True)
        if self.store.get(FORGOTTEN) != record:
            self.store.put(now_us, record)
        self.note("forgotten", epoch=self.epoch, records=len(told.items))
        return True

    def weak_of(self, items: Items) -> Items:
        """What the next epoch has to remember of nodes' own words that went with these."""
        found = {(k, a): c for k, a, c in _forgetting(self.store.get(FORGOTTEN)).weak}
        for key, _, _ in items:
            record = self.store.get(key)
            for actor, count in record.seen.items() if record is not None else ():
                if actor != STRONG:
                    found.pop((key, actor), None)
                    found[key, actor] = count
        return [(k, a, c) for (k, a), c in found.items()][-MOST_WEAK:]

    def knows_all(self, items: Items) -> bool:
        return self.whole and all(covers(self.store.get(key), [(a, c)]) for key, a, c in items)

    # ------------------------------------------------------------------ copies that differ without a reason

    def dispute(self, now_us: int, key: Key) -> None:
        """The same version with two contents, each sound by its own hash: the voters are asked."""
        record = self.store.get(key)
        if "mend" in self._off or key in self._votes or record is None:
            return
        self.note("copy-differs", kind=key[0], subject=key[1], observer=key[2] or None)
        if record.soft:
            self.store.remove(key)  # its observer says it again
            return
        self._votes[key] = _Vote(key, self.next_number(), 0)

    def _drop_spoilt(self, now_us: int) -> None:
        """Bytes that do not fit their hash any more are nobody's word: the record is had again from others,
        and a voter has forgotten what it held.
        """
        spoilt, self.store.spoilt = self.store.spoilt, []
        if len(spoilt) > MOST_SPOILT:
            self.begin_copy(now_us, self.epoch, f"{len(spoilt)} records are spoilt")
            return
        for key in spoilt:
            self.note("copy-spoilt", kind=key[0], subject=key[1], observer=key[2] or None)
            self.lost[key] = now_us + LOST_US
            self.store.remove(key)
            if self.whole:
                self.on_thrown(now_us, True)

    def _vote(self, now_us: int) -> list[Post]:
        posts: list[Post] = []
        voters = [name for name in self._voters() if name != self._name]
        for vote in list(self._votes.values()):
            if now_us < vote.until_us:
                continue
            if vote.until_us and vote.tries >= VOTES:
                self.begin_copy(now_us, self.epoch, f"{'/'.join(vote.key)} cannot be mended")
                return []
            vote.tries += vote.until_us > 0
            vote.until_us = now_us + VOTE_US
            vote.copies.clear()
            if self._name in self._voters():
                vote.copies[self._name] = self.store.get(vote.key)
            posts += [(name, Fetch(vote.number, vote.key)) for name in voters]
        return posts

    def _count(self, now_us: int, vote: _Vote) -> None:
        by_mark: dict[int, list[str]] = {}
        for name, record in vote.copies.items():
            if record is not None:
                by_mark.setdefault(mark_of(record, b""), []).append(name)
        for names in by_mark.values():
            if self._majority(set(names)):
                right = vote.copies[names[0]]
                assert right is not None
                mine = self.store.get(vote.key)
                if mine is None or mark_of(mine, b"") != mark_of(right, b""):
                    self.store.replace(now_us, right)
                    self.mended += 1
                    self.note("copy-mended", kind=vote.key[0], subject=vote.key[1], voters=",".join(names))
                del self._votes[vote.key]
                return

    # ------------------------------------------------------------------ time

    def due_us(self, now_us: int) -> int:
        due_us = min(self._sum_us, self._scrub_us, self.taker.due_us() or self._sum_us)
        if self._hot or self._next or self._votes or not self.whole:
            due_us = min(due_us, self._rumor_us)
        return due_us

    def turn(self, now_us: int) -> list[Post]:
        if self._begun_us < 0:
            self._begun_us = now_us
        posts: list[Post] = []
        if now_us >= self._rumor_us:
            self._rumor_us = now_us + RUMOR_US
            if not self.whole:
                posts += self._go_on_copying(now_us)
            else:
                posts += self._tell()
                while self._next:
                    name = self._next.pop()
                    if self._members.is_living(name) and self.taker.from_giver(name) is None:
                        posts += self.ask(name)
            posts += self._vote(now_us)
        if now_us >= self._sum_us:
            self._sum_us = now_us + int(self.terms.sync_s * SECOND * (0.8 + 0.4 * self._luck.random()))
            if self.whole:
                for name in self._some(1):
                    posts += self.ask(name)
        if now_us >= self._scrub_us:
            self._scrub_us = now_us + SCRUB_US
            self.store.age_out(now_us)
            if "mend" not in self._off:
                self.store.scrub(min(1.0, SCRUB_US / SECOND / self.terms.scrub_s))
            for key in [k for k, until_us in self.lost.items() if now_us >= until_us]:
                del self.lost[key]
                self.note("copy-lost", kind=key[0], subject=key[1], observer=key[2] or None)
                self.on_lost(key)
        if self.store.spoilt:
            self._drop_spoilt(now_us)
        posts += self.taker.turn(now_us, self.epoch)
        return posts

    def _some(self, count: int) -> list[str]:
        names = self._members.living_names
        picked = self._luck.sample(names, min(count + 1, len(names)))
        return [n for n in picked if n != self._name][:count]

    def _tell(self) -> list[Post]:
        """The next rumor, to a few."""
        if not self._hot:
            return []
        records: list[Record] = []
        size = 0
        names = self._some(FANOUT)
        for key in list(self._hot):
            record = self.store.checked(key)
            if record is None:
                del self._hot[key]
                continue
            size += size_of(record)
            if size > RUMOR_BYTES and records:
                break
            records.append(self.store.told(self._rumor_us, record))
            told = self._hot.pop(key) + len(names)
            if told < TELLS:
                self._hot[key] = told
        if not records or not names:
            return []
        rumor = Rumor(self.epoch, records)
        return [(name, rumor) for name in names]


def _forgetting(record: Record | None) -> Forgetting:
    try:
        return msgspec.msgpack.decode(record.versions[-1].content if record else b"", type=Forgetting)
    except msgspec.MsgspecError:
        return Forgetting(0, [])


def _own_words(record: Record) -> Record | None:
    """Of a record, what no owner wrote and nobody took back, with what its writers had seen; None: nothing.
    What is left out is left out of what was seen as well: else it would count as superseded.
    """
    words = [v for v in record.versions if v.actor != STRONG and not v.gone]
    if record.soft or not words:
        return None
    seen = dict(record.seen)
    for version in record.versions:
        if version not in words:
            seen[version.actor] = (version.count[0], version.count[1] - 1)
    return Record(*record.key, False, words, seen)
