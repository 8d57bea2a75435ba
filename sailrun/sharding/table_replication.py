"""A region's table of sessions, kept by a majority of its voters in memory.

There is one writer at a time: the assigner, who holds the region's lease. It reads a majority of voters that
remember, writes the newest table it found there under its own term, and then one generation after another. A
voter that was restarted has forgotten; it counts again once an assigner has written to that very life of it.
Why nothing that a majority held is lost by this: `docs/design/shards.md`.

Pure.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from sailrun.leadership.quorum import Voters
from sailrun.sharding.messages import (
    GenerationChange,
    PeerMessage,
    ReadTable,
    Session,
    TableRead,
    TableRejected,
    TableState,
    TableWritten,
    WriteTable,
)

SECOND = 1_000_000
# What was not answered is said again so soon, and later and later up to the second figure.
AGAIN_US, SLOWEST_US = 100_000, 5 * SECOND
# So many of the latest changes are kept, for nodes that are behind.
MOST_CHANGES = 64


def next_state(state: TableState, term: int, joined: list[Session], left: list[int]) -> TableState:
    """The table after one more change."""
    generation = state.generation + 1
    change = GenerationChange(generation, joined, left)
    gone = set(left)
    sessions = [session for session in state.sessions if session.number not in gone] + joined
    return TableState(term, generation, sessions, [*state.changes, change][-MOST_CHANGES:])


class TableAcceptor:
    """One voter's copy. `life`: this process's own number; a write for another life is refused."""

    def __init__(self, region: str, life: int, off: frozenset[str] = frozenset()) -> None:
        self._region, self._life = region, life
        self.promised_term = 0
        self.state: TableState | None = None
        self.has_memory = "remember" in off

    def promise(self, asked: ReadTable) -> TableRead | TableRejected:
        """Promises to take nothing of a lower term."""
        if asked.term < self.promised_term:
            return self._refused(asked.term, asked.sequence)
        self.promised_term = asked.term
        return TableRead(self._region, asked.term, asked.sequence, self._life, self.has_memory, self.state)

    def accept(self, told: WriteTable) -> TableWritten | TableRejected:
        """Keeps the table, unless a higher term was promised or another life is meant."""
        term = told.state.term
        if told.life != self._life:
            return TableRejected(self._region, term, told.sequence, self._life, 0)
        if term < self.promised_term:
            return self._refused(term, told.sequence)
        self.promised_term = term
        self.has_memory = True
        if self.state is None or _order(told.state) > _order(self.state):
            self.state = told.state
        return TableWritten(self._region, term, told.sequence, self._life)

    def _refused(self, term: int, number: int) -> TableRejected:
        return TableRejected(self._region, term, number, self._life, self.promised_term)


def _order(state: TableState) -> tuple[int, int]:
    return state.term, state.generation


@dataclass(slots=True)
class _Told:
    """What one voter was sent last."""

    next_us: int = 0
    wait_us: int = AGAIN_US


@dataclass(slots=True)
class _Reading:
    number: int
    answers: dict[str, TableRead] = field(default_factory=dict)


@dataclass(slots=True)
class _Writing:
    number: int
    state: TableState
    acknowledged: dict[str, int] = field(default_factory=dict)  # by voter, in which life


class TableWriter:
    """The assigner's side, made anew at each term. Driven only while the lease is held."""

    def __init__(
        self,
        region: str,
        digest: int,
        term: int,
        voters: Voters,
        life_of: Callable[[str], int | None],
        founding: Callable[[], int],
        patience_us: int,
        now_us: int,
        off: frozenset[str] = frozenset(),
    ) -> None:
        """`life_of` gives a living voter's life, as far as known. After `patience_us` without a majority that
        remembers a table is begun anew, above `founding`: by then the lease of every node has ended.
        """
        self._region, self._digest, self.term, self._voters = region, digest, term, voters
        self._life_of, self._founding, self._off = life_of, founding, off
        self._anew_us = now_us + patience_us
        self._numbers = 0
        self._told: dict[str, _Told] = {}
        self._reading: _Reading | None = _Reading(self._next_number())
        self._writing: _Writing | None = None
        self._least_generation = 0
        self.state: TableState | None = None  # the latest that a majority keeps
        self.is_new_table = False
        self.higher_term = 0  # one that a voter has promised above this one

    def _next_number(self) -> int:
        self._numbers += 1
        self._told = {}
        return self._numbers

    @property
    def is_idle(self) -> bool:
        """Whether a next table may be written."""
        return self._reading is None and self.state is not None and self._pending is None

    @property
    def _pending(self) -> _Writing | None:
        writing = self._writing
        return writing if writing is not None and writing.state is not self.state else None

    def observe_generation(self, generation: int) -> None:
        """A node goes by that generation: a table begun anew has to be above it."""
        self._least_generation = max(self._least_generation, generation)

    def write(self, state: TableState) -> None:
        """Has the voters keep the next table; `state` shows it once a majority does."""
        self._writing = _Writing(self._next_number(), state)

    # ------------------------------------------------------------------ what voters say

    def receive(self, now_us: int, sender: str, body: TableRead | TableWritten | TableRejected) -> None:
        """Takes a voter's answer. To be called only while the lease is held: later it counts no more."""
        if body.term != self.term or sender not in self._voters.names():
            return
        match body:
            case TableRead():
                self._read(now_us, sender, body)
            case TableWritten():
                self._written(sender, body)
            case TableRejected():
                self.higher_term = max(self.higher_term, body.promised_term)

    def _read(self, now_us: int, sender: str, answer: TableRead) -> None:
        reading = self._reading
        if reading is None or answer.sequence != reading.number:
            return
        reading.answers[sender] = answer
        if answer.state is not None:
            self.observe_generation(answer.state.generation)
        self._end_reading(now_us, reading)

    def _end_reading(self, now_us: int, reading: _Reading) -> None:
        remembering = {name for name, answer in reading.answers.items() if answer.has_memory}
        if self._voters.is_majority(remembering) or (remembering and "register" in self._off):
            states = [reading.answers[name].state for name in remembering]
            found = max((s for s in states if s is not None), key=_order, default=None)
        elif now_us >= self._anew_us and self._voters.is_majority(reading.answers.keys()):
            found = None
        else:
            return
        if found is None:
            self.is_new_table = True
            generation = max(self._founding(), self._least_generation) + 1
            found = TableState(self.term, generation, [], [])
        self._reading = None
        # A majority has to keep it under this term before anybody is told.
        self.write(msgspec.structs.replace(found, term=self.term))

    def _written(self, sender: str, told: TableWritten) -> None:
        writing = self._writing
        if writing is None or told.sequence != writing.number:
            return
        writing.acknowledged[sender] = told.life
        if self._voters.is_majority(writing.acknowledged.keys()):
            self.state = writing.state

    # ------------------------------------------------------------------ time

    def due_us(self, now_us: int) -> int:
        """When `turn` wants to be called next."""
        due = [self._told.get(name, _Told()).next_us for name in self._left()]
        return min(due, default=now_us + SLOWEST_US)

    def _left(self) -> list[str]:
        """The voters that have not answered what is asked now."""
        if self._reading is not None:
            return [name for name in self._voters.names() if name not in self._reading.answers]
        if self._writing is None:
            return []
        acknowledged = self._writing.acknowledged
        lives = {name: self._life_of(name) for name in self._voters.names()}
        return [name for name, life in lives.items() if life is not None and acknowledged.get(name) != life]

    def tick(self, now_us: int) -> list[PeerMessage]:
        """What is to be said to voters now."""
        if self._reading is not None and now_us >= self._anew_us:
            self._end_reading(now_us, self._reading)
        posts: list[PeerMessage] = []
        for name in self._left():
            told = self._told.setdefault(name, _Told())
            if now_us < told.next_us:
                continue
            told.next_us = now_us + told.wait_us
            told.wait_us = min(SLOWEST_US, 2 * told.wait_us)
            body = self._ask(name)
            if body is not None:
                posts.append(PeerMessage(name, body))
        return posts

    def _ask(self, name: str) -> ReadTable | WriteTable | None:
        if self._reading is not None:
            return ReadTable(self._region, self._digest, self.term, self._reading.number)
        life = self._life_of(name)
        if self._writing is None or life is None:
            return None
        return WriteTable(self._region, self._digest, self._writing.number, life, self._writing.state)
