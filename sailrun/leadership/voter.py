"""One voter: to whom it has granted which task, until when, and under which term. Its memory is the
process's, or outlasts it in a folder of its own (`take_up`).

Safety rests on three promises, each kept by this clock alone:
- while a lease that it granted may be in use, nobody else is granted the task;
- it grants no term twice, and none below one it has granted;
- after a start it grants nothing until every lease that its former life may have granted has ended, and it
has
  learned from a majority of voters that remember what terms there were. Where there is no such majority any
  more, it begins above all it can learn of (`FOUNDING`).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from sailrun.leadership.messages import (
    LeaseDenial,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    TermQuery,
    TermReport,
)
from sailrun.leadership.quorum import Voters
from sailrun.leadership.settings import DRIFT, LeadershipSettings

SECOND = 1_000_000
TERM_QUERY_INTERVAL_US = 250_000
# A voter that cannot hear a majority that remembers waits for so many more leases before it begins anew.
EXTRA_WAIT_LEASES = 2.0


def abstention_us(terms: LeadershipSettings) -> int:
    """How long a voter that has started grants nothing, by its own clock: a lease, in whatever clock it
    runs.
    """
    return int(terms.lease_s * SECOND * (1 + 2 * DRIFT))


@dataclass(slots=True)
class GrantedLease:
    """What was granted of one task."""

    term: int
    holder: str
    life: int
    until_us: int
    released: bool = False
    highest: int = 0  # granted of the task at any time
    position: int = 0  # the entry that says so, where this is written down


class Voter:
    """`rules`: safety rules that the laboratory switches off, to see that its checks find out."""

    def __init__(
        self,
        name: str,
        voters: Voters,
        terms: LeadershipSettings,
        now_us: int,
        founding: Callable[[], int],
        off: frozenset[str] = frozenset(),
    ) -> None:
        """`founding` gives a term above all that were ever given, as far as chance and a clock can."""
        self._name, self.voters, self._terms, self._off = name, voters, terms, off
        self._founding = founding
        self._slots: dict[str, GrantedLease] = {}
        self._floor: dict[str, int] = {}  # terms heard of, not granted here
        self._least = 0  # for tasks never heard of
        self._began_us = now_us
        self._recall_us = now_us
        self._number = 0
        self._recalled: dict[str, TermReport] = {}  # the latest of each
        self.remembers = "abstain" in off
        self.founded = False
        # With a folder: whether what it holds may turn out to be all that this voter ever granted; that there
        # is one; whether it may vote as one that has learned anew; whether its disk keeps up; who writes
        # down.
        self.may_remember = False
        self.lasts = False
        self.registered: Callable[[], bool] = lambda: True
        self.able: Callable[[], bool] = lambda: True
        self.write_slot: Callable[[str, GrantedLease], int] = lambda task, slot: 0
        self.write_floor: Callable[[str, int], int] = lambda task, term: 0
        self.write_votes: Callable[[bool], int] = lambda remembers: 0
        self.on_founded: Callable[[], None] = lambda: None
        self.on_remembered: Callable[[], None] = lambda: None

    # ------------------------------------------------------------------ what outlasts the process

    def take_up(self, now_us: int, slots: dict[str, GrantedLease], floors: dict[str, int]) -> None:
        """What was granted before this process, as its folder tells. Every lease may have been renewed right
        before the end: it may be in use for as long as a voter without a memory abstains. Nothing is granted
        until `trust` says that this was all.
        """
        until_us = now_us + abstention_us(self._terms)
        for task, slot in slots.items():
            slot.until_us = until_us
            self._slots[task] = slot
        for task, term in floors.items():
            self.heard_of(task, term)
        self._least = max(self._least, floors.get("", 0))
        self.may_remember = True

    def trust(self) -> None:
        """The folder is the newest there is: this voter remembers, and need not abstain."""
        self.may_remember = False
        self._remember(True)

    def _remember(self, yes: bool) -> None:
        self.remembers = yes
        self.write_votes(yes)
        if yes:
            self.on_remembered()

    def forget(self, now_us: int) -> None:
        """The folder is older than what the fleet knows: as if there had been none. Terms only rise by it."""
        for task in self._slots:
            self.heard_of(task, self.highest(task))
        self._slots.clear()
        self.may_remember = False
        self._remember(False)
        self._began_us = self._recall_us = now_us
        self._recalled.clear()

    def slots(self) -> dict[str, GrantedLease]:
        return self._slots

    def floors(self) -> dict[str, int]:
        """Terms heard of; of no task: below which none is granted for any."""
        return {**self._floor, "": self._least} if self._least else self._floor

    def position(self, task: str) -> int:
        """The entry that a grant of the task rests on."""
        slot = self._slots.get(task)
        return slot.position if slot is not None else 0

    # ------------------------------------------------------------------ leases

    def highest(self, task: str) -> int:
        """The highest term this voter knows of the task."""
        slot = self._slots.get(task)
        return max(slot.highest if slot else 0, self._floor.get(task, 0), self._least)

    def heard_of(self, task: str, term: int) -> None:
        """Hearsay may raise what is granted next, never lower it."""
        if term > self._floor.get(task, 0):
            self._floor[task] = term

    def asked(self, now_us: int, candidate: str, life: int, ask: LeaseRequest) -> LeaseGrant | LeaseDenial:
        task = ask.task

        def deny(why: str, left_us: int = 0, holder: str = "") -> LeaseDenial:
            return LeaseDenial(task, self.highest(task), ask.number, why, max(0, left_us), holder)

        if not self.voters.allows(ask.stage):
            return deny("stage", SECOND)
        if not self.remembers:
            wait_us = (
                TERM_QUERY_INTERVAL_US
                if self.may_remember
                else self._began_us + abstention_us(self._terms) - now_us
            )
            return deny("abstains", wait_us)
        slot = self._slots.get(task)
        until_us = now_us + int(self._terms.lease_s * SECOND)
        if slot is not None:
            if (slot.holder, slot.life, slot.term) == (candidate, life, ask.term):
                if slot.released:
                    return deny("term")
                slot.until_us = until_us
                return LeaseGrant(task, ask.term, ask.number)
            if slot.until_us > now_us and not slot.released:
                return deny("held", slot.until_us - now_us, slot.holder)
        highest = self.highest(task)
        # An owner that has been one without a gap may renew where a candidate got this vote alone: had
        # that one
        # had a majority, this one would not be owner any more. What comes late, it does not count itself.
        gone_by = slot is not None and slot.term >= ask.term and (slot.holder, slot.life) == (candidate, life)
        if ask.term < highest + (0 if "terms" in self._off else 1) and (not ask.renews or gone_by):
            return deny("term")
        if not self.able():
            return deny("disk", TERM_QUERY_INTERVAL_US)  # it would be promised only once it is too late
        slot = self._slots[task] = GrantedLease(
            ask.term, candidate, life, until_us, highest=max(highest, ask.term)
        )
        slot.position = self.write_slot(task, slot)
        return LeaseGrant(task, ask.term, ask.number)

    def released(self, candidate: str, life: int, release: LeaseRelease) -> None:
        """The holder uses its lease no more: only it can say so. An ask under that term may still come."""
        self.heard_of(release.task, release.term)
        slot = self._slots.get(release.task)
        if slot is not None and (slot.holder, slot.life, slot.term) == (candidate, life, release.term):
            slot.released = True
            self.write_slot(release.task, slot)  # nobody waits for it: what is not known to be free is held

    def holders(self, now_us: int) -> dict[str, tuple[str, int, int]]:
        """By task: holder, term, and how long its lease has left here, in microseconds."""
        return {
            task: (slot.holder, slot.term, slot.until_us - now_us)
            for task, slot in self._slots.items()
            if slot.until_us > now_us and not slot.released
        }

    # ------------------------------------------------------------------ what a former life may have granted

    def due_us(self) -> int | None:
        """When `turn` wants to be called; None: not for itself."""
        waits = self.remembers or self.may_remember or not self.registered()
        return None if waits else self._recall_us

    def turn(self, now_us: int) -> list[tuple[str, TermQuery]]:
        """Asks the others what this voter may have forgotten, until it may grant."""
        # Who asks says that it has no memory, which makes a folder of its older: first others know of this
        # one.
        if self.remembers or self.may_remember or now_us < self._recall_us or not self.registered():
            return []
        self._recall_us = now_us + TERM_QUERY_INTERVAL_US
        self._end_abstaining(now_us)
        if self.remembers:
            return []
        self._number += 1
        return [
            (name, TermQuery(self._number, self.lasts)) for name in self.voters.all() if name != self._name
        ]

    def recall(self, recall: TermQuery) -> TermReport:
        terms = {task: self.highest(task) for task in {*self._slots, *self._floor}}
        if self._least:
            terms[""] = self._least
        return TermReport(recall.number, self.remembers, terms, self.may_remember)

    def told(self, now_us: int, sender: str, answer: TermReport) -> None:
        if self.remembers or self.may_remember or sender not in self.voters.all():
            return
        self._recalled[sender] = answer
        self._end_abstaining(now_us)

    def _end_abstaining(self, now_us: int) -> None:
        waited_us = now_us - self._began_us
        if waited_us < abstention_us(self._terms) or not self.registered():
            return
        remembering = {name for name, a in self._recalled.items() if a.remembers}
        everybody = {*self._recalled, self._name} >= set(self.voters.all())
        if not self.voters.majority(remembering):
            # Too few remember: a term may have been forgotten by all who granted it.
            if any(a.may_remember for a in self._recalled.values()):
                return  # they will tell in a moment
            forgot = {name for name, a in self._recalled.items() if not a.remembers} | {self._name}
            if self.lasts and self.voters.majority(set(self.voters.all()) - forgot):
                return  # a majority has folders that may remember: no clock and no chance is needed
            lost = everybody and not remembering
            patient = waited_us >= abstention_us(self._terms) + int(
                EXTRA_WAIT_LEASES * self._terms.lease_s * SECOND
            )
            if not self.voters.majority({*self._recalled, self._name}) or not (lost or patient):
                return
            self._least = max(self._founding(), self._least)
            self.write_floor("", self._least)
            self.founded = True
            self.on_founded()
        for answer in self._recalled.values():
            for task, term in answer.terms.items():
                if task:
                    self.heard_of(task, term)
                else:
                    self._least = max(self._least, term)
        self._recalled.clear()
        self._remember(True)
