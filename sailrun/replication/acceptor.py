"""The acceptor of replicated marks: a voter's promises, what it accepts, and its recovery after a restart.

An acceptor with a durable folder has forgotten nothing and goes on in its former life. One without a folder
has lost its memory at a restart, and is trusted again only by way of the others, since every majority has
somebody who remembers. It numbers its new life (one more than any voter remembers of it), has a majority of
remembering voters store that number, and then takes over what they hold. What it said in an earlier life is
void from then on: whoever counts the voters' answers finds one that knows of the later life, and does not
count the older one (crash-consistent quorums: Michael, Ports, Sharma, Szekeres 2017).

Pure: messages and the time (microseconds) come in, messages go out.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from sailrun.leadership.quorum import Voters
from sailrun.replication.journal import Journal
from sailrun.replication.messages import (
    Higher,
    Kept,
    Known,
    Knows,
    Level,
    Promise,
    Promised,
    Put,
    Recover,
    Recovering,
)
from sailrun.replication.records import covers
from sailrun.replication.store import GROUP, Store
from sailrun.replication.sync import Sync

SECOND = 1_000_000
ASK_US = 250_000
# Where too many voters have forgotten for a majority to remember, the others are waited for so long.
PATIENCE_US = 8 * SECOND
Post = tuple[str, msgspec.Struct]


@dataclass(slots=True)
class _Recovery:
    """How far a voter's return has come."""

    number: int
    began_us: int
    known: dict[str, Known] = field(default_factory=dict)
    life: int = 0  # the one it has asked to be written down
    told: dict[str, Recovering] = field(default_factory=dict)
    pulling: set[str] = field(default_factory=set)
    taken: set[str] = field(default_factory=set)  # voters whose copy was taken over whole


def consistent(answers: dict[str, tuple[int, dict[str, int]]]) -> set[str]:
    """Of voters' answers, with the life each was given in and the lives it knew of: those that stand. An
    answer from a life that another of these voters knows to have ended says nothing any more.
    """
    return {
        name
        for name, (life, _) in answers.items()
        if all(lives.get(name, 0) <= life for _, lives in answers.values())
    }


class Acceptor:
    """One voter's part in writing marks. `off` names safety rules that the laboratory switches off."""

    def __init__(
        self,
        name: str,
        voters: Callable[[], Voters],
        store: Store,
        sync: Sync,
        now_us: int,
        off: frozenset[str] = frozenset(),
        journal: Journal | None = None,
    ) -> None:
        self._name, self._voters, self._store, self._sync, self._off = name, voters, store, sync, off
        self._journal = journal or Journal()
        self.may_remember = False  # a folder is being compared with what the others know of it
        self.life = 0
        self.lives: dict[str, int] = {}
        self.promised = 0
        self.remembers = "lives" in off
        self._recovery = _Recovery(sync.next_number(), now_us)
        self._ask_us = now_us
        self._levels: dict[tuple[str, int], bool] = {}  # (owner, number): whether it is reached

    def restart(self, now_us: int) -> None:
        """This copy was thrown away: the voter is as one that has just started."""
        self.remembers = "lives" in self._off
        self._recovery = _Recovery(self._sync.next_number(), now_us)
        self._levels.clear()
        self._write()

    # ------------------------------------------------------------------ what outlasts the process

    def take_up(self, life: int, promised: int, lives: dict[str, int], remembers: bool) -> None:
        """What its folder has of the time before this process; `remembers`: it says that this was all, as
        `trust` or `restart` will tell.
        """
        self.life, self.promised = max(life, self.life), max(promised, self.promised)
        self.lives = {**lives, **self.lives}
        self.may_remember = remembers

    def trust(self) -> None:
        """The folder is the newest there is."""
        self.may_remember = False
        self.remembers = self._sync.whole

    def state(self) -> tuple[int, int, dict[str, int], bool]:
        """As the journal has it: life, highest promised term, known lives, whether nothing is forgotten."""
        return self.life, self.promised, dict(self.lives), self.remembers or self.may_remember

    def _write(self) -> None:
        self._journal.keeps(*self.state())

    def _promise(self, term: int) -> None:
        if term > self.promised:
            self.promised = term
            self._write()

    # ------------------------------------------------------------------ what owners ask

    def hear(self, now_us: int, sender: str, body: object) -> list[Post]:
        match body:
            case Promise(term, number, epoch, groups):
                if not self._speaks(epoch):
                    return []
                if term < self.promised and "fence" not in self._off:
                    return [(sender, Higher(term, number, self.promised))]
                self._promise(term)
                leaves = self._store.unlike(groups)
                return [(sender, Promised(term, number, epoch, self.life, dict(self.lives), leaves))]
            case Put(term, number, epoch, records):
                if not self._speaks(epoch):
                    return self._sync.ask(sender) if epoch > self._sync.epoch else []
                if term < self.promised and "fence" not in self._off:
                    return [(sender, Higher(term, number, self.promised))]
                self._promise(term)
                self._sync.take_in(now_us, records, 0)
                if not all(covers(self._store.get(r.key), [v.dot for v in r.versions]) for r in records):
                    return []  # full, or none of this program's
                return [(sender, Kept(term, number, self.life, dict(self.lives)))]
            case Level(term, number, epoch, groups):
                if not self._speaks(epoch):
                    return []
                if term < self.promised and "fence" not in self._off:
                    return [(sender, Higher(term, number, self.promised))]
                self._promise(term)
                return self._level(now_us, sender, body, groups)
            case Knows(number):
                known = Known(number, self.remembers, self._all_lives(), self.promised, self.may_remember)
                return [(sender, known)]
            case Known():
                return self._is_known(now_us, sender, body)
            case Recover(number, life, epoch, groups):
                if not self.remembers or not self._sync.whole:
                    return []
                if life > self.lives.get(sender, 0):
                    self.lives[sender] = life
                    self._write()
                told = Recovering(
                    number, self._sync.epoch, self._all_lives(), self.promised, self._store.unlike(groups)
                )
                return [(sender, told)]
            case Recovering():
                return self._recovering(now_us, sender, body)
        return []

    def _speaks(self, epoch: int) -> bool:
        same = epoch == self._sync.epoch or "forget" in self._off
        return self.remembers and self._sync.whole and same

    def _all_lives(self) -> dict[str, int]:
        return {**self.lives, self._name: max(self.life, self.lives.get(self._name, 0))}

    def _level(self, now_us: int, sender: str, level: Level, groups: list[int]) -> list[Post]:
        """Takes over what the owner holds and this voter does not, and says so then."""
        key = (sender, level.number)
        if self._store.groups()[: len(groups)] == groups:
            self._levels[key] = True
        if self._levels.get(key):
            return [(sender, Kept(level.term, level.number, self.life, dict(self.lives)))]
        if key not in self._levels:
            while len(self._levels) >= 16:
                del self._levels[next(iter(self._levels))]
            self._levels[key] = False
            ranges = [n * GROUP + k for n in self._store.unlike(groups) for k in range(GROUP)]

            def done(now_us: int, whole: bool) -> None:
                if key in self._levels:
                    if whole:
                        self._levels[key] = True
                    else:
                        del self._levels[key]

            self._sync.taker.begin(now_us, sender, ranges, done, urgent=True)
        return []

    # ------------------------------------------------------------------ the voter's own return

    def due_us(self) -> int | None:
        return None if self.remembers or self.may_remember else self._ask_us

    def turn(self, now_us: int) -> list[Post]:
        if self.remembers or self.may_remember or now_us < self._ask_us:
            return []
        self._ask_us = now_us + ASK_US
        if not self._sync.whole:
            self._recovery.began_us = now_us
            return []
        back, voters = self._recovery, [n for n in self._voters().names() if n != self._name]
        if not back.life:
            self._found(now_us)
            return [] if self.remembers else [(n, Knows(back.number)) for n in voters]
        groups = self._store.groups()[: len(self._store.groups()) // 2]
        asked = [n for n in voters if n not in back.taken and n not in back.pulling]
        return [(n, Recover(back.number, back.life, self._sync.epoch, groups)) for n in asked]

    def _is_known(self, now_us: int, sender: str, told: Known) -> list[Post]:
        back = self._recovery
        if (
            self.remembers
            or self.may_remember
            or told.number != back.number
            or back.life
            or sender not in self._voters().names()
        ):
            return []
        back.known[sender] = told
        remembering = {name for name, known in back.known.items() if known.remembers}
        if self._voters().is_majority(remembering):
            lives = [known.lives.get(self._name, 0) for known in back.known.values()]
            back.life = 1 + max(self.life, *lives)
            self._ask_us = now_us
        return []

    def _found(self, now_us: int) -> None:
        """Too few voters can remember, as at the fleet's very beginning: what members' copies hold is all
        there is, and is what this voter begins with.
        """
        back, voters = self._recovery, self._voters()
        forgot = {n for n, known in back.known.items() if not known.remembers and not known.may_remember}
        forgot.add(self._name)
        unheard = set(voters.names()) - back.known.keys() - {self._name}
        if voters.is_majority(set(voters.names()) - forgot):
            return  # a majority may remember yet: what it holds must not be passed over
        if unheard and now_us - back.began_us < PATIENCE_US:
            return
        lives = [known.lives for known in back.known.values()]
        self.life = 1 + max([self.life, *(known.get(self._name, 0) for known in lives)])
        for known in lives:
            for name, life in known.items():
                if name != self._name:
                    self.lives[name] = max(life, self.lives.get(name, 0))
        self.promised = max([self.promised, *(known.promised for known in back.known.values())])
        self.remembers = True
        self._write()
        self._sync.on_founded()
        self._sync.note("marks-founded", life=self.life, records=len(self._store))

    def _recovering(self, now_us: int, sender: str, told: Recovering) -> list[Post]:
        back = self._recovery
        known = sender in self._voters().names() and told.number == back.number
        if self.remembers or not back.life or not known or sender in back.taken | back.pulling:
            return []
        if told.epoch != self._sync.epoch:
            return []
        back.told[sender] = told
        back.pulling.add(sender)

        def done(now_us: int, whole: bool) -> None:
            back.pulling.discard(sender)
            if whole:
                back.taken.add(sender)
                self._end_recovery(now_us, back)

        ranges = self._store.differing(told.leaves)
        if ranges:
            self._sync.taker.begin(now_us, sender, ranges, done, urgent=True)
        else:
            done(now_us, True)
        return []

    def _end_recovery(self, now_us: int, back: _Recovery) -> None:
        if back is not self._recovery or self.remembers or not self._voters().is_majority(back.taken):
            return
        self.life = back.life
        for name in back.taken:
            told = back.told[name]
            self.promised = max(self.promised, told.promised)
            for voter, life in told.lives.items():
                if voter != self._name:
                    self.lives[voter] = max(life, self.lives.get(voter, 0))
        self.remembers = True
        self._write()
        self._sync.on_remembered()
        self._sync.note("marks-remembered", life=self.life, voters=",".join(sorted(back.taken)))
