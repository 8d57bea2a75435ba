"""Members, probed in turn; suspects, who may refute; and what is known of them, told along with every
message.

The protocol is SWIM's (Das, Gupta, Motivala 2002) with what Lifeguard adds (Dadgar, Phillips, Currey 2018): a
member that finds itself slow probes slower and suspects later, a suspect is told so first, and a suspicion
that
several share ends sooner. Pure: messages and the time go in, letters come out; times are microseconds of one
clock that only this process reads.
"""

from __future__ import annotations

import bisect
import math
import random
import zlib
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from msgspec.structs import replace

from sailrun.membership.messages import (
    Ack,
    Join,
    JoinAccepted,
    MemberBody,
    MemberRecord,
    MemberState,
    Nack,
    Ping,
    PingRequest,
    PullRequest,
    Rejected,
    TablePage,
)
from sailrun.membership.settings import MembershipSettings

SECOND = 1_000_000
MISSED_MOST = 8  # how slow a member may take itself to be: its times are stretched by 1 to 9
HELPERS = 3
# Within one period: direct probes at these parts of it, others are asked to probe at these.
DIRECT, INDIRECT = (0.0, 0.3, 0.6), (0.35, 0.65)
# A suspicion held by one alone lasts so much longer than one that three others share.
ALONE, SHARED = 6.0, 3
# No turn for so long, in periods: this process was stopped or starved, and what it missed says nothing.
AWAY = 0.5
PAGE = 10
# A record is told so many times, by the logarithm of the fleet's size.
TELLS = 4
# Copies are compared in so many ranges of names, after so many answers in a row that differ, and at most
# so often.
RANGES, DIFFER, COMPARE_US = 16, 2, 2 * SECOND
# A turn is asked for at least so often.
STEP_US = 250_000


_LIVING = (MemberState.ALIVE, MemberState.SUSPECT)


def _place(record: MemberRecord) -> tuple[str, str, str]:
    """What decides which work a member may be given."""
    return record.zone, record.region, record.role


def _mark(record: MemberRecord) -> int:
    return zlib.crc32(f"{record.name},{record.life},{record.incarnation},{int(record.state)}".encode())


def _range(name: str) -> int:
    return zlib.crc32(name.encode()) % RANGES


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A body on its way to an address; `record` rides along first, so that the accused may refute."""

    address: str
    body: MemberBody
    first_update: MemberRecord | None = None


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """What became of a member, for the log."""

    kind: str  # joined, suspect, gone, left, back, refused, claimed
    record: MemberRecord
    reason: str = ""


@dataclass(slots=True)
class _Known:
    record: MemberRecord
    since_us: int
    until_us: int = 0  # a suspect is gone at this time
    accused_us: int = 0
    accusers: set[str] = field(default_factory=set)
    named_twice_us: int = -1  # when a claim to its name was last checked for


@dataclass(slots=True)
class _Probe:
    name: str
    number: int
    began_us: int
    period_us: int
    done: int = 0  # of DIRECT
    asked: int = 0  # of INDIRECT
    nacks: int = 0
    helpers: int = 0


class Membership:
    """One member's view of its fleet."""

    def __init__(self, me: MemberRecord, terms: MembershipSettings, seed: int, now_us: int) -> None:
        """`me`: incarnation 1, alive. With nobody to join by, this member is the first of its fleet."""
        self.own_record = me
        self.settings = terms
        self.changes: list[MembershipChange] = []  # for whoever drives this; emptied by him
        self.unknown_sender_count = 0  # messages of senders that are no members
        self.name_holder_address = ""  # who has our name, if we were refused
        self._random = random.Random(seed)
        self._known: dict[str, _Known] = {me.name: _Known(me, now_us)}
        self._seeds = [a for a in terms.join if a != me.address]
        self.has_joined = not self._seeds
        self._join_us = now_us
        self._news: OrderedDict[str, int] = OrderedDict()  # by name, how often told; what is new first
        self._round: list[str] = []
        self._probe: _Probe | None = None
        self._next_us = now_us
        self._number = 0
        self._for: dict[
            int, tuple[str, int, str, int]
        ] = {}  # probes for others: whose, his number, target, until
        self._missed = 0
        self._expected_us = now_us  # when the next turn was due, as the last one had it
        self._suspects: set[str] = set()
        self._ended: set[str] = set()  # gone or left
        self._pulled_us = now_us
        self._knocked_us = now_us
        # Of the records in each range, all exclusive-ored: it changes with one of them.
        self._digests = [0] * RANGES
        self._digests[_range(me.name)] = _mark(me)
        self._differ = 0  # answers in a row that told of another copy
        self.is_leaving = False
        self._living: list[str] = [me.name]  # names, in their order
        self.living_version = 0  # grows whenever who lives changes

    # ------------------------------------------------------------------ what is known

    def find_record(self, name: str) -> MemberRecord | None:
        known = self._known.get(name)
        return known.record if known is not None else None

    def records_with_age(self) -> Iterator[tuple[MemberRecord, int]]:
        """Every record with the time since which it is so."""
        return ((k.record, k.since_us) for _, k in sorted(self._known.items()))

    def living_records(self) -> list[MemberRecord]:
        """Who is not gone and has not left, this member among them, by name."""
        return [self._known[name].record for name in self._living]

    @property
    def living_names(self) -> list[str]:
        """The names of the living, in their order; not to be changed."""
        return self._living

    def is_living(self, name: str) -> bool:
        record = self.find_record(name)
        return record is not None and record.state in _LIVING

    def compute_digest(self) -> int:
        """Of this copy: equal where two members know the same."""
        return zlib.crc32(repr(self._digests).encode())

    @property
    def local_health_multiplier(self) -> int:
        """1: this member keeps up; up to 9: its own times are stretched by so much."""
        return 1 + self._missed

    def take_updates(self, most: int, first: MemberRecord | None = None) -> list[MemberRecord]:
        """What rides along with the next message: what was told least often, and the accused's record
        first.
        """
        told = [first] if first is not None else []
        limit = TELLS * math.ceil(math.log10(len(self._known) + 1))
        for _ in range(min(most - len(told), len(self._news))):
            name, times = self._news.popitem(last=False)
            if first is None or name != first.name:
                told.append(self._known[name].record)
            if times + 1 < limit:
                self._news[name] = times + 1
        return told

    # ------------------------------------------------------------------ what comes in

    def accept_sender(self, name: str, life: int) -> bool:
        """Whether a message of this sender's counts; one that does not is counted here."""
        if self.is_current_process(name, life):
            return True
        self.unknown_sender_count += 1
        return False

    def is_current_process(self, name: str, life: int) -> bool:
        """Whether the other member of that name is, as far as known here, this process."""
        known = self._known.get(name)
        return known is not None and known.record.life == life and name != self.own_record.name

    def observe_contact(self, now_us: int, name: str, life: int, incarnation: int) -> None:
        """A message of its own says better than any hearsay that a member lives in that incarnation."""
        known = self._known.get(name)
        if known is not None and known.record.life == life and incarnation > known.record.incarnation:
            r = known.record
            self._learn(now_us, replace(r, incarnation=incarnation, state=MemberState.ALIVE), name)

    def merge_records(self, now_us: int, records: list[MemberRecord], teller: str) -> None:
        for record in records:
            self._learn(now_us, record, teller)

    def receive(self, now_us: int, sender: MemberRecord, body: MemberBody) -> list[OutgoingMessage]:
        """`sender`: its name, life and incarnation as the message states them, and where it came from."""
        match body:
            case Join(record):
                return self._asked_to_join(now_us, record, sender.address)
            case JoinAccepted(incarnation, by):
                self._learn(now_us, by, by.name)
                self._admitted(now_us, incarnation)
                return [self._pull(now_us, sender.address)]
            case Rejected("unknown"):
                # New there, or forgotten: it says who it is.
                return (
                    [OutgoingMessage(sender.address, Join(self.own_record))]
                    if self.has_joined and not self.is_leaving
                    else []
                )
            case Rejected(_, by):
                self._turned_away(now_us, by)
                return []
        if not self.accept_sender(sender.name, sender.life):
            # It may have been forgotten, or speak under a name that is another's.
            return [OutgoingMessage(sender.address, Rejected("unknown"))] if isinstance(body, Ping) else []
        at = self._known[sender.name].record
        match body:
            case Ping(number):
                told = at if at.state is not MemberState.ALIVE else None
                return [OutgoingMessage(at.address, Ack(number, self.compute_digest()), told)]
            case Ack(number, digest):
                return self._acked(now_us, sender.name, number, digest)
            case PingRequest(number, target):
                known = self._known.get(target)
                if known is None:
                    return []
                self._number += 1
                until_us = now_us + int(self._period_us() * 0.3)
                self._for[self._number] = (sender.name, number, target, until_us)
                return [OutgoingMessage(known.record.address, Ping(self._number), self._accused(known))]
            case Nack(number):
                if self._probe is not None and self._probe.number == number:
                    self._probe.nacks += 1
                return []
            case PullRequest(after, theirs):
                pairs = zip(theirs, self._digests, strict=False)
                same = {n for n, (one, other) in enumerate(pairs) if one == other}
                names = [n for n in sorted(self._known) if n > after and _range(n) not in same]
                page = [self._known[n].record for n in names[:PAGE]]
                return [OutgoingMessage(at.address, TablePage(page, len(names) > PAGE))]
            case TablePage(records, more):
                self.merge_records(now_us, records, sender.name)
                return [self._pull(now_us, at.address, records[-1].name)] if more and records else []
        return []

    def _asked_to_join(self, now_us: int, record: MemberRecord, address: str) -> list[OutgoingMessage]:
        if record.name == self.own_record.name:
            if record.life != self.own_record.life:
                self._claimed_twice(now_us, record)
                return [OutgoingMessage(address, Rejected("name", self.own_record.address))]
            return []
        known = self._known.get(record.name)
        if known is None or known.record.life == record.life:
            incarnation = 1 if known is None else known.record.incarnation
            if known is not None and known.record.state in (MemberState.GONE, MemberState.LEFT):
                incarnation += 1
        elif (
            known.record.state in (MemberState.GONE, MemberState.LEFT)
            or known.record.address == record.address
        ):
            # Its process is gone for certain where another one now holds the address.
            incarnation = known.record.incarnation + 1
        else:
            # Another life has the name and was not found gone. It is told, and asked whether it lives.
            known.named_twice_us = now_us
            return [
                OutgoingMessage(address, Rejected("name", known.record.address)),
                OutgoingMessage(known.record.address, Join(record)),
            ]
        newer = replace(record, incarnation=incarnation, state=MemberState.ALIVE)
        self._learn(now_us, newer, record.name)
        return [OutgoingMessage(address, JoinAccepted(incarnation, self.own_record))]

    def _claimed_twice(self, now_us: int, other: MemberRecord) -> None:
        own = self._known[self.own_record.name]
        if now_us - own.named_twice_us > 10 * SECOND or own.named_twice_us < 0:
            own.named_twice_us = now_us
            self.changes.append(MembershipChange("claimed", other, "name-claimed-twice"))

    def _admitted(self, now_us: int, incarnation: int) -> None:
        self.name_holder_address = ""
        if incarnation > self.own_record.incarnation:
            self._be(now_us, incarnation)
        if not self.has_joined:
            self.has_joined = True
            self.changes.append(MembershipChange("joined", self.own_record))
            self._tell(self.own_record.name)

    def _turned_away(self, now_us: int, by: str) -> None:
        """The name is another's, at that address: this process is no member, and asks again now and then."""
        if by == self.own_record.address:
            return
        if self.name_holder_address != by:
            self.changes.append(MembershipChange("refused", self.own_record, f"name-claimed-twice by {by}"))
        self.name_holder_address = by
        self.has_joined, self._join_us = False, now_us + 5 * SECOND

    def _be(self, now_us: int, incarnation: int, state: MemberState = MemberState.ALIVE) -> None:
        self.own_record = replace(self.own_record, incarnation=incarnation, state=state)
        self._set(now_us, self.own_record)

    def _set(self, now_us: int, record: MemberRecord) -> _Known:
        known = self._known.get(record.name)
        before = known.record if known is not None else None
        if known is None or known.record.life != record.life:
            known = self._known[record.name] = _Known(record, now_us)
        elif known.record.state is not record.state:
            known.since_us = now_us
        known.record = record
        self._sort_in(record.name, before, record)
        self._tell(record.name)
        return known

    def _sort_in(self, name: str, before: MemberRecord | None, after: MemberRecord | None) -> None:
        """Keeps what is derived from the records: who lives, suspects, those ended, the digest."""
        for record in (before, after):
            self._digests[_range(name)] ^= _mark(record) if record is not None else 0
        state = after.state if after is not None else None
        for names, states in (
            (self._suspects, (MemberState.SUSPECT,)),
            (self._ended, (MemberState.GONE, MemberState.LEFT)),
        ):
            (names.add if state in states else names.discard)(name)
        lived, lives = (r is not None and r.state in _LIVING for r in (before, after))
        if lives and not lived:
            bisect.insort(self._living, name)
        elif lived and not lives:
            self._living.remove(name)
        if lives is not lived or (
            before is not None and after is not None and _place(before) != _place(after)
        ):
            self.living_version += 1

    def _tell(self, name: str) -> None:
        self._news[name] = 0
        self._news.move_to_end(name, last=False)

    def _learn(self, now_us: int, record: MemberRecord, teller: str) -> None:
        if record.name == self.own_record.name:
            self._learn_of_myself(now_us, record)
            return
        known = self._known.get(record.name)
        if known is not None and not record.supersedes(known.record):
            if record == known.record and record.state is MemberState.SUSPECT:
                self._shared(now_us, known, teller)
            return
        before = known.record if known is not None else None
        if known is None and record.state in (MemberState.GONE, MemberState.LEFT):
            return  # nobody we knew; remembered by those who did
        now_known = self._set(now_us, record)
        match record.state:
            case MemberState.SUSPECT:
                self._accuse(now_us, now_known, teller)
            case MemberState.ALIVE if before is None or before.life != record.life:
                self.changes.append(MembershipChange("joined", record))
            case MemberState.ALIVE if before is not None and before.state in (
                MemberState.GONE,
                MemberState.LEFT,
            ):
                self.changes.append(MembershipChange("back", record))
            case MemberState.GONE if before is not None:
                self.changes.append(MembershipChange("gone", record, f"told by {teller}"))
            case MemberState.LEFT:
                self.changes.append(MembershipChange("left", record))

    def _learn_of_myself(self, now_us: int, record: MemberRecord) -> None:
        if record.life != self.own_record.life:
            if (
                record.incarnation >= self.own_record.incarnation
                and record.state is MemberState.ALIVE
                and self.has_joined
            ):
                # Somebody was given this name while we were taken for gone.
                self._turned_away(now_us, record.address)
            elif record.incarnation >= self.own_record.incarnation:
                self._be(now_us, record.incarnation + 1)
        elif record.incarnation >= self.own_record.incarnation and record.state is not self.own_record.state:
            if not self.is_leaving:
                self._be(now_us, record.incarnation + 1)  # refuted
        elif record.incarnation > self.own_record.incarnation:
            self._be(now_us, record.incarnation)

    # ------------------------------------------------------------------ suspicion

    def _least_us(self) -> int:
        size = max(1.0, math.log10(max(1, len(self._living))))
        return int(self.settings.suspect_s * SECOND * size)

    def _accuse(self, now_us: int, known: _Known, accuser: str) -> None:
        known.accused_us, known.accusers = now_us, {accuser}
        self._set_end(known)
        self.changes.append(MembershipChange("suspect", known.record, f"told by {accuser}"))

    def _shared(self, now_us: int, known: _Known, accuser: str) -> None:
        if accuser not in known.accusers and len(known.accusers) <= SHARED:
            known.accusers.add(accuser)
            self._set_end(known)
            self._tell(known.record.name)

    def _set_end(self, known: _Known) -> None:
        least = self._least_us()
        others = len(known.accusers) - 1
        # Where the fleet has fewer who could confirm, fewer are waited for.
        wanted = max(1, min(SHARED, len(self._living) - 3))
        part = min(1.0, math.log(others + 1) / math.log(wanted + 1))
        known.until_us = (
            known.accused_us + int(least * (ALONE - (ALONE - 1.0) * part)) * self.local_health_multiplier
        )

    def _accused(self, known: _Known) -> MemberRecord | None:
        return known.record if known.record.state is not MemberState.ALIVE else None

    # ------------------------------------------------------------------ time

    def due_us(self, now_us: int) -> int:
        """When `turn` wants to be called next."""
        due_us = now_us + STEP_US
        if not self.has_joined:
            return min(due_us, self._join_us)
        for name in self._suspects:
            due_us = min(due_us, self._known[name].until_us)
        for _, _, _, until_us in self._for.values():
            due_us = min(due_us, until_us)
        probe = self._probe
        if probe is None:
            return min(due_us, self._next_us)
        parts = [*DIRECT[probe.done : probe.done + 1], *INDIRECT[probe.asked : probe.asked + 1], 1.0]
        return min(due_us, probe.began_us + math.ceil(min(parts) * probe.period_us))

    def tick(self, now_us: int) -> list[OutgoingMessage]:
        late_us = now_us - self._expected_us
        if late_us > self._period_us() * AWAY:
            self._was_away(now_us, late_us)
        letters = self._turn(now_us)
        self._expected_us = max(now_us, self.due_us(now_us))
        return letters

    def _turn(self, now_us: int) -> list[OutgoingMessage]:
        if not self.has_joined and not self.is_leaving:
            return self._ask_to_join(now_us)
        letters: list[OutgoingMessage] = []
        for number, (whose, his, _target, until_us) in list(self._for.items()):
            if now_us >= until_us:
                del self._for[number]
                asker = self.find_record(whose)
                if asker is not None:
                    letters.append(OutgoingMessage(asker.address, Nack(his)))
        for known in [self._known[name] for name in sorted(self._suspects)]:
            if known.until_us and now_us >= known.until_us:
                self._give_up(now_us, known)
        for name in sorted(self._ended):
            if self._forgotten(now_us, self._known[name]):
                self._sort_in(name, self._known.pop(name).record, None)
                self._news.pop(name, None)
        if not self.is_leaving:
            letters += self._go_on_probing(now_us)
            letters += self._knock(now_us)
        return letters

    def _forgotten(self, now_us: int, known: _Known) -> bool:
        silent = now_us - known.since_us > self.settings.forget_s * SECOND
        return silent and known.record.name != self.own_record.name

    def _was_away(self, now_us: int, gap: int) -> None:
        """Nothing was heard since nobody listened: no suspicion grows in that time, and no probe has
        failed.
        """
        self._missed = min(MISSED_MOST, self._missed + max(1, min(4, gap // self._period_us())))
        self._probe, self._next_us = None, now_us
        self._for.clear()
        for known in self._known.values():
            if known.record.state is MemberState.SUSPECT:
                known.accused_us += gap
                known.until_us += gap

    def _ask_to_join(self, now_us: int) -> list[OutgoingMessage]:
        if now_us < self._join_us:
            return []
        self._join_us = now_us + SECOND // 2
        return [OutgoingMessage(address, Join(self.own_record)) for address in self._seeds]

    def _period_us(self) -> int:
        return int(self.settings.probe_s * SECOND) * self.local_health_multiplier

    def _go_on_probing(self, now_us: int) -> list[OutgoingMessage]:
        letters: list[OutgoingMessage] = []
        if self._probe is not None:
            probe, known = self._probe, self._known.get(self._probe.name)
            if known is None or known.record.state in (MemberState.GONE, MemberState.LEFT):
                self._probe = None
            else:
                part = (now_us - probe.began_us) / probe.period_us
                while probe.done < len(DIRECT) and part >= DIRECT[probe.done]:
                    probe.done += 1
                    letters.append(
                        OutgoingMessage(known.record.address, Ping(probe.number), self._accused(known))
                    )
                while probe.asked < len(INDIRECT) and part >= INDIRECT[probe.asked]:
                    probe.asked += 1
                    for helper in self._some(HELPERS, probe.name):
                        probe.helpers += 1
                        letters.append(OutgoingMessage(helper.address, PingRequest(probe.number, probe.name)))
                if part >= 1.0:
                    self._unanswered(now_us, probe, known)
        if self._probe is None and now_us >= self._next_us:
            name = self._next_name()
            if name is not None:
                self._number += 1
                self._next_us = now_us + self._period_us()
                self._probe = _Probe(name, self._number, now_us, self._period_us(), 1)
                known = self._known[name]
                letters.append(
                    OutgoingMessage(known.record.address, Ping(self._number), self._accused(known))
                )
        return letters

    def _next_name(self) -> str | None:
        while self._round:
            name = self._round.pop()
            if name != self.own_record.name and self.is_living(name):
                return name
        self._round = [name for name in self._living if name != self.own_record.name]
        self._random.shuffle(self._round)
        return self._round.pop() if self._round else None

    def _some(self, count: int, *but: str) -> list[MemberRecord]:
        """Others that live, by chance; fewer where there are no more."""
        picked = self._random.sample(self._living, min(count + 1 + len(but), len(self._living)))
        names = [name for name in picked if name != self.own_record.name and name not in but]
        return [self._known[name].record for name in names[:count]]

    def _acked(self, now_us: int, sender: str, number: int, digest: int) -> list[OutgoingMessage]:
        if (asked := self._for.pop(number, None)) is not None and asked[2] == sender:
            asker = self.find_record(asked[0])
            return [OutgoingMessage(asker.address, Ack(asked[1], 0))] if asker is not None else []
        letters: list[OutgoingMessage] = []
        if self._probe is not None and self._probe.number == number:
            if sender == self._probe.name and digest:
                self._differ = self._differ + 1 if digest != self.compute_digest() else 0
            if self._differ >= DIFFER and now_us - self._pulled_us > COMPARE_US:
                # Others go on knowing something else: this one takes what differs.
                letters.append(self._pull(now_us, self._known[sender].record.address))
            self._probe = None
            self._missed = max(0, self._missed - 1)
        return letters

    def _pull(self, now_us: int, address: str, after: str = "") -> OutgoingMessage:
        self._pulled_us, self._differ = now_us, 0
        return OutgoingMessage(address, PullRequest(after, list(self._digests)))

    def _unanswered(self, now_us: int, probe: _Probe, known: _Known) -> None:
        self._probe = None
        # Helpers that answered nothing at all: it may be this member that is not heard.
        if probe.helpers and probe.nacks < probe.helpers:
            self._missed = min(MISSED_MOST, self._missed + 1)
        if known.record.state is MemberState.ALIVE:
            r = known.record
            self._accuse(
                now_us, self._set(now_us, replace(r, state=MemberState.SUSPECT)), self.own_record.name
            )
        elif known.record.state is MemberState.SUSPECT:
            self._shared(now_us, known, self.own_record.name)

    def _give_up(self, now_us: int, known: _Known) -> None:
        r = known.record
        self._set(now_us, replace(r, state=MemberState.GONE))
        self.changes.append(MembershipChange("gone", r, f"silent, {len(known.accusers)} said so"))

    def _knock(self, now_us: int) -> list[OutgoingMessage]:
        """Asks one of those taken for gone, and an address to join by: two sides of a cut find each other."""
        if now_us - self._knocked_us < 2 * SECOND:
            return []
        self._knocked_us = now_us
        letters = []
        gone = [
            r for r in (self._known[n].record for n in sorted(self._ended)) if r.state is MemberState.GONE
        ]
        if gone:
            one = self._random.choice(gone)
            letters.append(OutgoingMessage(one.address, Ping(0), one))
        known = {k.record.address for k in self._known.values()}
        unknown = [a for a in self._seeds if a not in known]
        if unknown:
            letters.append(OutgoingMessage(self._random.choice(unknown), Join(self.own_record)))
        return letters

    def leave(self, now_us: int) -> list[OutgoingMessage]:
        """In good order: some are told at once, who tell the others."""
        if self.is_leaving:
            return []
        self.is_leaving = True
        self._be(now_us, self.own_record.incarnation, MemberState.LEFT)
        return [OutgoingMessage(r.address, Ping(0), self.own_record) for r in self._some(8)]
