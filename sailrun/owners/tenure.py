"""One node's hold on the tasks of the fleet: asking for them, renewing, handing over, and knowing when it
ends.

An owner's end is counted from when it sent the request that a majority granted, and cut by what two clocks
may
differ: it takes itself for the owner for a shorter time than any of those voters keeps the task for it.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from functools import lru_cache

import mmh3

from sailrun.decide import MASK, key_hash, server_hash
from sailrun.owners.messages import Ask, Claim, Deny, Grant, Release, Yield
from sailrun.owners.quorum import Voters
from sailrun.owners.terms import DRIFT, OwnersTerms

SECOND = 1_000_000
# So many of the best placed members try for a task; each waits so much longer than the one before it.
CANDIDATES, STAGGER_US = 3, 150_000
# A lease is renewed so often while it lasts; an ask is given up after this part of it.
RENEWALS, GIVEN_UP = 8, 0.5
# After a task was yielded to a node, it asks so often for so long.
EAGER_US, EAGER_FOR_US = 40_000, SECOND
# Of the tasks that a better placed node should have, one is given back in so long.
GIVE_BACK_US = 10 * SECOND
Post = tuple[str, Ask | Release | Yield]


def placed_best(task: str, names: list[str]) -> list[str]:
    """The best placed of the names, by the design's own score: those that try for the task."""
    return heapq.nsmallest(CANDIDATES, names, key=lambda name: (-_score(task, name), name))


@lru_cache(maxsize=16_384)
def _score(task: str, name: str) -> int:
    return (server_hash(mmh3.hash(name, signed=False)) * key_hash(task)) & MASK


@dataclass(frozen=True, slots=True)
class Turned:
    """A change in who owns a task, as this node knows it; `why`: granted, lapsed, released, outvoted."""

    task: str
    term: int
    mine: bool
    why: str


@dataclass(slots=True)
class Tenure:
    """Of one task."""

    task: str
    term: int = 0  # asked for or held
    until_us: int = 0  # held until then; 0: not held
    since_us: int = 0
    asking_us: int = 0  # since when the term is asked for; 0: not asking
    sent: dict[int, int] = field(default_factory=dict)  # by number, when it was asked
    granted: dict[str, int] = field(default_factory=dict)  # by voter, when what it granted last was sent
    try_us: int = 0
    eager_until_us: int = 0
    floor: int = 0  # the highest term anybody has asked under, as far as heard
    owned: int = 0  # the highest term that somebody was granted by a majority; orders of less are refused
    holder: str = ""  # hearsay: who owns it
    renewed_us: int = 0
    better_us: int = 0  # since when a better placed member lives
    rank: int = 0  # of this node among those that try for it
    denied: set[str] = field(default_factory=set)  # the voters that denied what is asked for
    refused: int = 0  # orders of ours that were refused for their term


class Tenures:
    """Of all tasks."""

    def __init__(
        self,
        name: str,
        voters: Voters,
        terms: OwnersTerms,
        seed: int,
        now_us: int,
        off: frozenset[str] = frozenset(),
    ) -> None:
        self._name, self.voters, self._terms, self._off = name, voters, terms, off
        self._random = random.Random(seed)
        self._number = self._random.getrandbits(30) << 20
        self.tenures: dict[str, Tenure] = {}
        self.turned: list[Turned] = []  # for whoever drives this; emptied by him
        self.news: dict[str, int] = {}  # tasks whose owner is to be told, and how often that was done
        self.heard_us: dict[str, int] = {}  # by voter, when it last answered
        self._lease_us = int(terms.lease_s * SECOND)
        self._given_back_us = now_us
        self._began_us = now_us
        self.leaving = False

    def use(self, voters: Voters, terms: OwnersTerms) -> None:
        """From now on these voters count, also for what is held: a renewal of before is none any more."""
        self.voters, self._terms, self._lease_us = voters, terms, int(terms.lease_s * SECOND)
        for tenure in self.tenures.values():
            tenure.sent.clear()
            tenure.granted.clear()

    def of(self, task: str) -> Tenure:
        tenure = self.tenures.get(task)
        if tenure is None:
            tenure = self.tenures[task] = Tenure(task)
        return tenure

    # ------------------------------------------------------------------ what holds

    def holds(self, task: str, now_us: int) -> int:
        """The term under which this node owns the task now; 0: it does not."""
        tenure = self.tenures.get(task)
        if tenure is None or not tenure.until_us:
            return 0
        return tenure.term if now_us < tenure.until_us or "clock" in self._off else 0

    def until_us(self, task: str) -> int:
        tenure = self.tenures.get(task)
        return tenure.until_us if tenure is not None else 0

    def in_touch(self, now_us: int) -> bool:
        """Whether a majority of the voters has answered of late, or there was no time for it yet."""
        recent = {n for n, at in self.heard_us.items() if now_us - at < 2 * self._lease_us}
        return self.voters.majority(recent) or now_us - self._began_us < 2 * self._lease_us

    def heard_of(self, task: str, term: int, holder: str, now_us: int) -> None:
        """Hearsay: a term that was granted, and to whom."""
        tenure = self.of(task)
        tenure.floor = max(tenure.floor, term)
        if term > tenure.owned or (term == tenure.owned and not tenure.holder):
            tenure.owned, tenure.holder = term, holder or tenure.holder
            self.news[task] = 0
        if tenure.until_us and term > tenure.term:
            self._lose(tenure, "outvoted", now_us)

    def claims(self, most: int, times: int) -> list[Claim]:
        """Hearsay to ride along: what was told least often; each so many times."""
        told = []
        for task in sorted(self.news, key=self.news.__getitem__)[:most]:
            self.news[task] += 1
            if self.news[task] >= times:
                del self.news[task]
            tenure = self.tenures[task]
            told.append(Claim(task, tenure.owned, tenure.holder))
        return told

    def known(self, most: int) -> list[Claim]:
        """The highest terms heard of, the latest changes of owner first."""
        tenures = sorted(self.tenures.values(), key=lambda t: (-t.owned, t.task))
        return [Claim(t.task, t.owned, t.holder) for t in tenures[:most] if t.owned]

    # ------------------------------------------------------------------ time

    def due_us(self, now_us: int, tasks: dict[str, list[str]]) -> int:
        """When `turn` wants to be called next."""
        due_us = now_us + self._lease_us
        for task, names in tasks.items():
            tenure = self.of(task)
            if tenure.until_us or tenure.asking_us:
                due_us = min(due_us, tenure.renewed_us + self._lease_us // RENEWALS)
                if tenure.until_us:
                    due_us = min(due_us, tenure.until_us)
            elif not self.leaving and self._name in names:
                due_us = min(due_us, tenure.try_us)
        return due_us

    def turn(self, now_us: int, tasks: dict[str, list[str]]) -> list[Post]:
        """`tasks`: by name, the living members that may own it, best placed first."""
        posts: list[Post] = []
        for tenure in list(self.tenures.values()):
            if tenure.until_us and now_us >= tenure.until_us and "clock" not in self._off:
                self._lose(tenure, "lapsed", now_us)
                posts += [(voter, Release(tenure.task, tenure.term)) for voter in self.voters.all()]
        for task, names in tasks.items():
            tenure = self.of(task)
            if tenure.until_us:
                if now_us - tenure.renewed_us >= self._lease_us // RENEWALS:
                    posts += self._ask(now_us, tenure)
                posts += self._give_back(now_us, tenure, names)
            elif tenure.asking_us:
                if now_us - tenure.asking_us >= GIVEN_UP * self._lease_us:
                    posts += self._give_up(now_us, tenure)
                elif now_us - tenure.renewed_us >= self._lease_us // RENEWALS:
                    posts += self._ask(now_us, tenure)
            elif not self.leaving and self._name in names and now_us >= tenure.try_us:
                tenure.term = tenure.floor + (0 if "terms" in self._off and tenure.floor else 1)
                tenure.asking_us, tenure.rank = now_us, names.index(self._name)
                tenure.sent.clear()
                tenure.granted.clear()
                tenure.denied.clear()
                posts += self._ask(now_us, tenure)
        return posts

    def _ask(self, now_us: int, tenure: Tenure) -> list[Post]:
        self._number += 1
        tenure.renewed_us = now_us
        tenure.sent[self._number] = now_us
        while len(tenure.sent) > 4 * RENEWALS:
            del tenure.sent[next(iter(tenure.sent))]
        ask = Ask(tenure.task, tenure.term, self._number, self.voters.stage, bool(tenure.until_us))
        # Its own voter first: where that one denies, nobody else is asked.
        return [(voter, ask) for voter in sorted(self.voters.all(), key=lambda name: name != self._name)]

    def wants(self, ask: Ask) -> bool:
        """Whether that is still asked for: its own voter may have denied it meanwhile."""
        tenure = self.of(ask.task)
        return tenure.term == ask.term and bool(tenure.asking_us or tenure.until_us)

    def _give_up(self, now_us: int, tenure: Tenure) -> list[Post]:
        """No majority in time: those that granted are freed at once, and the next try is at another
        moment.
        """
        posts: list[Post] = [(v, Release(tenure.task, tenure.term)) for v in self.voters.all()]
        tenure.floor = max(tenure.floor, tenure.term)
        tenure.asking_us = 0
        tenure.try_us = now_us + int((0.2 + 0.6 * self._random.random()) * self._lease_us)
        return posts

    def _give_back(self, now_us: int, tenure: Tenure, names: list[str]) -> list[Post]:
        """A better placed member that has been there for long gets the task, one task at a time."""
        if not names or names[0] == self._name:
            tenure.better_us = 0
            return []
        tenure.better_us = tenure.better_us or now_us
        wait_us = int(self._terms.give_back_s * SECOND)
        if now_us - tenure.better_us < wait_us or now_us - self._given_back_us < GIVE_BACK_US:
            return []
        self._given_back_us = now_us
        return self.release(now_us, tenure.task, names[0])

    def release(self, now_us: int, task: str, to: str | None) -> list[Post]:
        """Gives a task up, in good order: the voters are freed, and the next one is told."""
        tenure = self.of(task)
        if not tenure.until_us:
            return []
        term = tenure.term
        self._lose(tenure, "released", now_us)
        posts: list[Post] = [(voter, Release(task, term)) for voter in self.voters.all()]
        if to is not None and to != self._name:
            tenure.try_us = now_us + 2 * self._lease_us
            posts.append((to, Yield(task, term)))
        return posts

    def leave(self, now_us: int, tasks: dict[str, list[str]]) -> list[Post]:
        """This node ends: what it owns goes to the next at once, what it asks for is let go."""
        self.leaving = True
        posts: list[Post] = []
        for task, tenure in self.tenures.items():
            if tenure.until_us:
                others = [n for n in tasks.get(task, ()) if n != self._name]
                posts += self.release(now_us, task, others[0] if others else None)
            elif tenure.asking_us:
                posts += self._give_up(now_us, tenure)
        return posts

    # ------------------------------------------------------------------ what voters say

    def granted(self, now_us: int, voter: str, grant: Grant) -> None:
        self.heard_us[voter] = now_us
        tenure = self.of(grant.task)
        sent_us = tenure.sent.get(grant.number)
        if sent_us is None or grant.term != tenure.term or not (tenure.asking_us or tenure.until_us):
            return
        if tenure.until_us and now_us >= tenure.until_us and "clock" not in self._off:
            # It had ended before this came: what was owned under the term is over.
            self._lose(tenure, "lapsed", now_us)
            return
        tenure.granted[voter] = max(sent_us, tenure.granted.get(voter, 0))
        end_us = self.voters.ends(tenure.granted)
        if not end_us:
            return
        until_us = end_us + int(self._lease_us * (1 - 2 * DRIFT))
        if tenure.asking_us:
            if now_us >= until_us:
                return
            tenure.asking_us, tenure.since_us, tenure.better_us = 0, now_us, 0
            tenure.floor = tenure.owned = tenure.term
            tenure.holder, tenure.until_us = self._name, until_us
            self.news[tenure.task] = 0
            self.turned.append(Turned(tenure.task, tenure.term, True, "granted"))
        tenure.until_us = max(tenure.until_us, until_us)

    def denied(self, now_us: int, voter: str, deny: Deny) -> list[Post]:
        self.heard_us[voter] = now_us
        tenure = self.of(deny.task)
        if deny.number not in tenure.sent:
            return []
        tenure.floor = max(tenure.floor, deny.term)
        if deny.holder and deny.holder != self._name:
            tenure.holder = deny.holder
        if tenure.asking_us:
            tenure.denied.add(voter)
            # One whose lease ends in a moment is waited for. Otherwise nothing that was granted is kept:
            # it would
            # be in the way of whoever owns the task, or of a candidate that has more.
            short = deny.why == "held" and deny.left_us < self._lease_us // RENEWALS
            enough = self.voters.majority(set(self.voters.all()) - tenure.denied)
            if not enough or (not short and deny.why in ("held", "term")):
                posts = self._give_up(now_us, tenure)
                tenure.try_us = now_us + self._wait_us(now_us, tenure, deny)
                return posts
        # A voter that denies a renewal takes away its own grant, no more: the others' may be a majority.
        return []

    def _wait_us(self, now_us: int, tenure: Tenure, deny: Deny) -> int:
        if now_us < tenure.eager_until_us:
            return EAGER_US
        jitter_us = int(STAGGER_US * (tenure.rank + 0.3 * self._random.random()))
        if deny.why == "term":
            return jitter_us
        return min(max(deny.left_us, EAGER_US), 2 * self._lease_us) + jitter_us

    def yielded(self, now_us: int, told: Yield) -> None:
        """Its owner has given the task up, for this node to take."""
        tenure = self.of(told.task)
        tenure.floor = max(tenure.floor, told.term)
        if not self.leaving:
            tenure.try_us, tenure.eager_until_us = now_us, now_us + EAGER_FOR_US

    def _lose(self, tenure: Tenure, why: str, now_us: int) -> None:
        tenure.until_us = tenure.asking_us = 0
        tenure.floor = max(tenure.floor, tenure.term)
        tenure.try_us = now_us + int((0.2 + 0.6 * self._random.random()) * self._lease_us)
        self.turned.append(Turned(tenure.task, tenure.term, False, why))
