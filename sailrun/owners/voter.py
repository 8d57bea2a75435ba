"""One voter: to whom it has granted which task, until when, and under which term. Its memory is the
process's.

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

from sailrun.owners.messages import Ask, Deny, Grant, Recall, Recalled, Release
from sailrun.owners.quorum import Voters
from sailrun.owners.terms import DRIFT, OwnersTerms

SECOND = 1_000_000
RECALL_US = 250_000
# A voter that cannot hear a majority that remembers waits for so many more leases before it begins anew.
PATIENCE = 2.0


def abstain_us(terms: OwnersTerms) -> int:
    """How long a voter that has started grants nothing, by its own clock: a lease, in whatever clock it
    runs.
    """
    return int(terms.lease_s * SECOND * (1 + 2 * DRIFT))


@dataclass(slots=True)
class Slot:
    """What was granted of one task."""

    term: int
    holder: str
    life: int
    until_us: int
    released: bool = False
    highest: int = 0  # granted of the task at any time


class Voter:
    """`rules`: safety rules that the laboratory switches off, to see that its checks find out."""

    def __init__(
        self,
        name: str,
        voters: Voters,
        terms: OwnersTerms,
        now_us: int,
        founding: Callable[[], int],
        off: frozenset[str] = frozenset(),
    ) -> None:
        """`founding` gives a term above all that were ever given, as far as chance and a clock can."""
        self._name, self.voters, self._terms, self._off = name, voters, terms, off
        self._founding = founding
        self._slots: dict[str, Slot] = {}
        self._floor: dict[str, int] = {}  # terms heard of, not granted here
        self._least = 0  # for tasks never heard of
        self._began_us = now_us
        self._recall_us = now_us
        self._number = 0
        self._recalled: dict[str, Recalled] = {}  # the latest of each
        self.remembers = "abstain" in off
        self.founded = False

    # ------------------------------------------------------------------ leases

    def highest(self, task: str) -> int:
        """The highest term this voter knows of the task."""
        slot = self._slots.get(task)
        return max(slot.highest if slot else 0, self._floor.get(task, 0), self._least)

    def heard_of(self, task: str, term: int) -> None:
        """Hearsay may raise what is granted next, never lower it."""
        if term > self._floor.get(task, 0):
            self._floor[task] = term

    def asked(self, now_us: int, candidate: str, life: int, ask: Ask) -> Grant | Deny:
        task = ask.task

        def deny(why: str, left_us: int = 0, holder: str = "") -> Deny:
            return Deny(task, self.highest(task), ask.number, why, max(0, left_us), holder)

        if not self.voters.allows(ask.stage):
            return deny("stage", SECOND)
        if not self.remembers:
            return deny("abstains", self._began_us + abstain_us(self._terms) - now_us)
        slot = self._slots.get(task)
        until_us = now_us + int(self._terms.lease_s * SECOND)
        if slot is not None:
            if (slot.holder, slot.life, slot.term) == (candidate, life, ask.term):
                if slot.released:
                    return deny("term")
                slot.until_us = until_us
                return Grant(task, ask.term, ask.number)
            if slot.until_us > now_us and not slot.released:
                return deny("held", slot.until_us - now_us, slot.holder)
        highest = self.highest(task)
        # An owner that has been one without a gap may renew where a candidate got this vote alone: had
        # that one
        # had a majority, this one would not be owner any more. What comes late, it does not count itself.
        gone_by = slot is not None and slot.term >= ask.term and (slot.holder, slot.life) == (candidate, life)
        if ask.term < highest + (0 if "terms" in self._off else 1) and (not ask.renews or gone_by):
            return deny("term")
        self._slots[task] = Slot(ask.term, candidate, life, until_us, highest=max(highest, ask.term))
        return Grant(task, ask.term, ask.number)

    def released(self, candidate: str, life: int, release: Release) -> None:
        """The holder uses its lease no more: only it can say so. An ask under that term may still come."""
        self.heard_of(release.task, release.term)
        slot = self._slots.get(release.task)
        if slot is not None and (slot.holder, slot.life, slot.term) == (candidate, life, release.term):
            slot.released = True

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
        return None if self.remembers else self._recall_us

    def turn(self, now_us: int) -> list[tuple[str, Recall]]:
        """Asks the others what this voter may have forgotten, until it may grant."""
        if self.remembers or now_us < self._recall_us:
            return []
        self._recall_us = now_us + RECALL_US
        self._end_abstaining(now_us)
        if self.remembers:
            return []
        self._number += 1
        return [(name, Recall(self._number)) for name in self.voters.all() if name != self._name]

    def recall(self, recall: Recall) -> Recalled:
        terms = {task: self.highest(task) for task in {*self._slots, *self._floor}}
        if self._least:
            terms[""] = self._least
        return Recalled(recall.number, self.remembers, terms)

    def told(self, now_us: int, sender: str, answer: Recalled) -> None:
        if self.remembers or sender not in self.voters.all():
            return
        self._recalled[sender] = answer
        self._end_abstaining(now_us)

    def _end_abstaining(self, now_us: int) -> None:
        waited_us = now_us - self._began_us
        if waited_us < abstain_us(self._terms):
            return
        remembering = {name for name, a in self._recalled.items() if a.remembers}
        everybody = {*self._recalled, self._name} >= set(self.voters.all())
        if not self.voters.majority(remembering):
            # Too few remember: a term may have been forgotten by all who granted it.
            lost = everybody and not remembering
            patient = waited_us >= abstain_us(self._terms) + int(PATIENCE * self._terms.lease_s * SECOND)
            if not self.voters.majority({*self._recalled, self._name}) or not (lost or patient):
                return
            self._least = max(self._founding(), self._least)
            self.founded = True
        for answer in self._recalled.values():
            for task, term in answer.terms.items():
                if task:
                    self.heard_of(task, term)
                else:
                    self._least = max(self._least, term)
        self._recalled.clear()
        self.remembers = True
