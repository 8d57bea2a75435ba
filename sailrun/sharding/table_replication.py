"""The replication of a region's table of sessions in the memory of a majority of its voters. Pure.

There is one writer at a time: the assigner, which holds the region's lease. It reads a majority of voters
with memory, writes the newest table found there under its own term, and then one generation after another, as
in Paxos. A voter that was restarted has no memory; it counts again once an assigner has written to its new
process. `docs/design/shards.md` explains why no table that a majority stores is lost.
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

SECOND_US = 1_000_000
# The first delay before an unanswered request is repeated, and the limit to which the delay doubles.
MIN_RETRY_US = 100_000
MAX_RETRY_US = 5 * SECOND_US
# Number of the latest changes that the table contains, for nodes that lag behind.
STORED_CHANGES = 64


def next_state(state: TableState, term: int, joined: list[Session], left: list[int]) -> TableState:
    """The table after one more change; `left` are numbers of sessions to remove."""
    generation = state.generation + 1
    change = GenerationChange(generation, joined, left)
    removed = set(left)
    sessions = [session for session in state.sessions if session.number not in removed] + joined
    return TableState(term, generation, sessions, [*state.changes, change][-STORED_CHANGES:])


class TableAcceptor:
    """One voter's replica of the table. Writes that are addressed to another process are rejected."""

    def __init__(
        self, region: str, process_number: int, disabled_rules: frozenset[str] = frozenset()
    ) -> None:
        """`disabled_rules` are safety rules that the laboratory switches off."""
        self.promised_term = 0
        self.state: TableState | None = None
        self.has_memory = "remember" in disabled_rules
        self._region = region
        self._process_number = process_number

    def promise(self, request: ReadTable) -> TableRead | TableRejected:
        """Promises to accept nothing with a lower term, and returns the table."""
        if request.term < self.promised_term:
            return self._reject(request.term, request.sequence)
        self.promised_term = request.term
        return TableRead(
            self._region, request.term, request.sequence, self._process_number, self.has_memory, self.state
        )

    def accept(self, request: WriteTable) -> TableWritten | TableRejected:
        """Stores the table, unless a higher term was promised or the write is for another process."""
        term = request.state.term
        if request.life != self._process_number:
            return TableRejected(self._region, term, request.sequence, self._process_number, 0)
        if term < self.promised_term:
            return self._reject(term, request.sequence)
        self.promised_term = term
        self.has_memory = True
        if self.state is None or _version(request.state) > _version(self.state):
            self.state = request.state
        return TableWritten(self._region, term, request.sequence, self._process_number)

    def _reject(self, term: int, sequence: int) -> TableRejected:
        return TableRejected(self._region, term, sequence, self._process_number, self.promised_term)


def _version(state: TableState) -> tuple[int, int]:
    return state.term, state.generation


@dataclass(slots=True)
class _Retry:
    """When the present request is sent again to a voter."""

    next_us: int = 0
    wait_us: int = MIN_RETRY_US


@dataclass(slots=True)
class _Reading:
    sequence: int
    answers: dict[str, TableRead] = field(default_factory=dict)  # by voter


@dataclass(slots=True)
class _Writing:
    sequence: int
    state: TableState
    acknowledged_by: dict[str, int] = field(default_factory=dict)  # the process, by voter


class TableWriter:
    """The assigner's side of the replication, created for each term and used only while the lease is held."""

    def __init__(
        self,
        region: str,
        digest: int,
        term: int,
        voters: Voters,
        process_number_of: Callable[[str], int | None],
        new_initial_term: Callable[[], int],
        recovery_timeout_us: int,
        now_us: int,
        disabled_rules: frozenset[str] = frozenset(),
    ) -> None:
        """`process_number_of` returns the process number of a living voter, None if it is unknown. If no
        majority with memory is found within `recovery_timeout_us`, an empty table is created whose generation
        is above the result of `new_initial_term`: by then the lease of every node has ended. `disabled_rules`
        are safety rules that the laboratory switches off.
        """
        self.term = term
        self.state: TableState | None = None  # the latest table that a majority stores
        self.is_new_table = False  # no majority had memory, so an empty table was created
        self.higher_term = 0  # a term above this one that a voter has promised; 0: none
        self._region = region
        self._settings_digest = digest
        self._voters = voters
        self._process_number_of = process_number_of
        self._new_initial_term = new_initial_term
        self._disabled_rules = disabled_rules
        self._new_table_us = now_us + recovery_timeout_us
        self._sequence = 0
        self._retries: dict[str, _Retry] = {}  # of the present request, by voter
        self._reading: _Reading | None = _Reading(self._next_sequence())
        self._writing: _Writing | None = None
        self._observed_generation = 0

    def _next_sequence(self) -> int:
        """Returns the number of a new request and ends the retries of the previous one."""
        self._sequence += 1
        self._retries = {}
        return self._sequence

    @property
    def is_idle(self) -> bool:
        """Whether the next table may be written."""
        is_written = self._writing is None or self._writing.state is self.state
        return self._reading is None and self.state is not None and is_written

    def observe_generation(self, generation: int) -> None:
        """Records a generation that a node applies or a voter stores: a new table has to be above it."""
        self._observed_generation = max(self._observed_generation, generation)

    def write(self, state: TableState) -> None:
        """Has the voters store the next table; it becomes `state` once a majority has stored it."""
        self._writing = _Writing(self._next_sequence(), state)

    # ------------------------------------------------------------------ answers

    def receive(self, now_us: int, sender: str, body: TableRead | TableWritten | TableRejected) -> None:
        """Processes a voter's answer. Must be called only while the lease is held; it is invalid later."""
        if body.term != self.term or sender not in self._voters.names():
            return
        match body:
            case TableRead():
                self._on_read(now_us, sender, body)
            case TableWritten():
                self._on_written(sender, body)
            case TableRejected():
                self.higher_term = max(self.higher_term, body.promised_term)

    def _on_read(self, now_us: int, sender: str, answer: TableRead) -> None:
        reading = self._reading
        if reading is None or answer.sequence != reading.sequence:
            return
        reading.answers[sender] = answer
        if answer.state is not None:
            self.observe_generation(answer.state.generation)
        self._complete_reading(now_us, reading)

    def _complete_reading(self, now_us: int, reading: _Reading) -> None:
        """Writes the newest table found, or an empty one, as soon as the answers allow it."""
        with_memory = {name for name, answer in reading.answers.items() if answer.has_memory}
        newest: TableState | None = None
        if self._voters.is_majority(with_memory) or (with_memory and "register" in self._disabled_rules):
            states = [reading.answers[name].state for name in with_memory]
            newest = max((state for state in states if state is not None), key=_version, default=None)
        elif now_us < self._new_table_us or not self._voters.is_majority(reading.answers.keys()):
            return
        if newest is None:
            self.is_new_table = True
            generation = max(self._new_initial_term(), self._observed_generation) + 1
            newest = TableState(self.term, generation, [], [])
        self._reading = None
        # A majority has to store the table under this term before any node receives it.
        self.write(msgspec.structs.replace(newest, term=self.term))

    def _on_written(self, sender: str, answer: TableWritten) -> None:
        writing = self._writing
        if writing is None or answer.sequence != writing.sequence:
            return
        writing.acknowledged_by[sender] = answer.life
        if self._voters.is_majority(writing.acknowledged_by.keys()):
            self.state = writing.state

    # ------------------------------------------------------------------ time

    def due_us(self, now_us: int) -> int:
        """The time at which `tick` has to be called next."""
        due = [self._retries.get(name, _Retry()).next_us for name in self._pending_voters()]
        return min(due, default=now_us + MAX_RETRY_US)

    def _pending_voters(self) -> list[str]:
        """The voters that have not answered the present request."""
        if self._reading is not None:
            return [name for name in self._voters.names() if name not in self._reading.answers]
        if self._writing is None:
            return []
        acknowledged_by = self._writing.acknowledged_by
        process_numbers = {name: self._process_number_of(name) for name in self._voters.names()}
        return [
            name
            for name, process_number in process_numbers.items()
            if process_number is not None and acknowledged_by.get(name) != process_number
        ]

    def tick(self, now_us: int) -> list[PeerMessage]:
        """Returns the requests to voters that are due."""
        if self._reading is not None and now_us >= self._new_table_us:
            self._complete_reading(now_us, self._reading)
        messages: list[PeerMessage] = []
        for name in self._pending_voters():
            retry = self._retries.setdefault(name, _Retry())
            if now_us < retry.next_us:
                continue
            retry.next_us = now_us + retry.wait_us
            retry.wait_us = min(MAX_RETRY_US, 2 * retry.wait_us)
            request = self._build_request(name)
            if request is not None:
                messages.append(PeerMessage(name, request))
        return messages

    def _build_request(self, name: str) -> ReadTable | WriteTable | None:
        if self._reading is not None:
            return ReadTable(self._region, self._settings_digest, self.term, self._reading.sequence)
        process_number = self._process_number_of(name)
        if self._writing is None or process_number is None:
            return None
        writing = self._writing
        return WriteTable(
            self._region, self._settings_digest, writing.sequence, process_number, writing.state
        )
