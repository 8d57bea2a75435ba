"""The assigner of one region: who has a session, and from which generation on.

It extends the sessions of nodes that are heard of, ends those that are not, adds newcomers together, and lets
so many nodes at a time hand over for a planned stop. It sends no table of shards: each node places them by
itself from who is in a generation.

Pure; made anew at each term. Whatever it answers is true for good, so that an answer may arrive at any time.
"""

from __future__ import annotations

from dataclasses import dataclass

from sailrun.sharding.messages import (
    MAX_CHANGED_SESSIONS,
    GenerationChange,
    PeerMessage,
    RenewalRejected,
    RenewSession,
    Session,
    SessionRenewed,
    TableState,
)
from sailrun.sharding.settings import ShardingSettings
from sailrun.sharding.table_replication import TableWriter, next_state

SECOND = 1_000_000
# Sessions in one page of a whole table, so that the page fits a datagram.
PAGE = 24
# Sessions are looked through for those that have ended so often while one lasts.
LOOKS = 32


@dataclass(slots=True)
class _Live:
    """A session in force."""

    session: Session
    heard_us: int
    applied: int = 0  # the generation its node goes by
    wants_leave: bool = False
    may_leave: bool = False
    over: bool = False  # released: its node uses it no more


@dataclass(slots=True)
class _Newcomer:
    nonce: int
    since_us: int
    heard_us: int


class Assigner:
    """Assigns the shards of a region; one node at a time does, under a lease."""

    def __init__(
        self,
        region: str,
        settings: ShardingSettings,
        writer: TableWriter,
        now_us: int,
        off: frozenset[str] = frozenset(),
    ) -> None:
        self._region, self._settings, self.writer, self._off = region, settings, writer, off
        self.term = writer.term
        self._lease_us = int(settings.lease_s * SECOND)
        self._began_us = self._look_us = now_us
        self._state: TableState | None = None  # what nodes are told of
        self._live: dict[int, _Live] = {}
        self._newcomers: dict[str, _Newcomer] = {}
        self.settled_generation = 0
        self.committed_changes: list[
            GenerationChange
        ] = []  # told to the log and emptied by whoever drives this

    @property
    def generation(self) -> int:
        """The latest; 0 before the table was read."""
        return self._state.generation if self._state is not None else 0

    @property
    def sessions(self) -> list[Session]:
        """Those in force."""
        return self._state.sessions if self._state is not None else []

    # ------------------------------------------------------------------ what nodes say

    def answer_heartbeat(
        self, now_us: int, sender: str, asked: RenewSession
    ) -> SessionRenewed | RenewalRejected | None:
        """Answers a heartbeat; None where the table is not known yet."""
        self.writer.observe_generation(max(asked.applied_generation, asked.highest_generation))
        if self._state is None:
            return None
        if not asked.session_number:
            return self._asked_to_join(now_us, sender, asked)
        live = self._live.get(asked.session_number)
        if live is None or (live.session.name, live.session.nonce) != (sender, asked.nonce) or live.over:
            return RenewalRejected(self._region, asked.sequence, "over")
        if asked.is_released:
            live.over = True
            self._look_us = now_us
            return RenewalRejected(self._region, asked.sequence, "over")
        live.heard_us = now_us
        live.wants_leave = asked.is_leaving
        live.may_leave = live.may_leave and asked.is_leaving
        if asked.applied_generation > live.applied:
            live.applied = asked.applied_generation
            self._settle()
        self._let_leave()
        return self._answer(asked, live.session.number, live.may_leave)

    def _asked_to_join(self, now_us: int, sender: str, asked: RenewSession) -> SessionRenewed | None:
        if asked.is_leaving or asked.is_released:
            return None
        for live in self._live.values():
            if (live.session.name, live.session.nonce) == (sender, asked.nonce) and not live.over:
                live.heard_us = now_us
                return self._answer(asked, live.session.number, False)
        known = self._newcomers.get(sender)
        since_us = known.since_us if known is not None else now_us
        self._newcomers[sender] = _Newcomer(asked.nonce, since_us, now_us)
        return self._answer(asked, 0, False)

    def _answer(self, asked: RenewSession, session: int, may_leave: bool) -> SessionRenewed:
        state = self._state
        assert state is not None
        changes = (
            self._changes_after(asked.applied_generation) if session and asked.applied_generation else None
        )
        answer = SessionRenewed(
            self._region,
            asked.sequence,
            session,
            state.generation,
            self.settled_generation,
            changes or [],
            may_hand_over=may_leave,
        )
        if not session or changes is not None:
            return answer
        return self._with_page(answer, asked, state)

    def _changes_after(self, applied: int) -> list[GenerationChange] | None:
        """What follows on that generation, as much as fits; None: it is not known any more."""
        state = self._state
        assert state is not None
        if applied == state.generation:
            return []
        following = [change for change in state.changes if change.generation > applied]
        if applied > state.generation or not following or following[0].generation != applied + 1:
            return None
        return _fitting(following)

    @staticmethod
    def _with_page(answer: SessionRenewed, asked: RenewSession, state: TableState) -> SessionRenewed:
        """One page of the whole table; from the first on where it has changed meanwhile."""
        offset = asked.fetched_count if asked.fetched_generation == state.generation else 0
        page = state.sessions[offset : offset + PAGE]
        return SessionRenewed(
            answer.region,
            answer.sequence,
            answer.session_number,
            answer.generation,
            answer.settled_generation,
            [],
            state.generation,
            offset,
            offset + len(page) < len(state.sessions),
            page,
        )

    # ------------------------------------------------------------------ what follows from it

    def _settle(self) -> None:
        """Every session in force goes by this generation or a later one."""
        applied = [live.applied for live in self._live.values() if not live.over]
        if applied:
            self.settled_generation = max(self.settled_generation, min(applied))

    def _let_leave(self) -> None:
        """A planned stop: so many at a time, and only while nothing else is moving."""
        if self.settled_generation < self.generation:
            return
        leaving = sum(live.may_leave for live in self._live.values())
        for live in self._live.values():
            if leaving >= self._settings.leaving:
                return
            if live.wants_leave and not live.may_leave:
                live.may_leave = True
                leaving += 1

    def _ended(self, now_us: int) -> list[int]:
        """Sessions that nobody uses any more: released, or not heard of for a whole lease.

        A node counts its lease from when it asked, less what two clocks may differ; what an assigner before
        this one extended is counted from this one's beginning.
        """
        return [
            number
            for number, live in self._live.items()
            if live.over or now_us - live.heard_us >= self._lease_us
        ]

    def _ready(self, now_us: int) -> list[str]:
        """Newcomers that have waited long enough for others, and whose former session has ended."""
        for name, newcomer in list(self._newcomers.items()):
            if now_us - newcomer.heard_us >= self._lease_us:
                del self._newcomers[name]
        names = {live.session.name for live in self._live.values()}
        free = [name for name in self._newcomers if name not in names]
        gather_us = int(self._settings.gather_s * SECOND)
        if not any(now_us - self._newcomers[name].since_us >= gather_us for name in free):
            return []
        return sorted(free, key=lambda name: self._newcomers[name].since_us)

    # ------------------------------------------------------------------ time

    def due_us(self, now_us: int) -> int:
        """When `turn` wants to be called next."""
        due_us = self.writer.due_us(now_us)
        return min(due_us, self._look_us) if self.writer.is_idle else due_us

    def tick(self, now_us: int) -> list[PeerMessage]:
        """Writes the next generation where one is due, and tells nodes of one that a majority keeps."""
        posts: list[PeerMessage] = []
        state = self.writer.state
        if state is not None and state is not self._state:
            posts += self._committed(now_us, state)
        if self.writer.is_idle and state is not None and now_us >= self._look_us:
            self._look_us = now_us + self._lease_us // LOOKS
            self._propose(now_us, state)
        return posts + self.writer.tick(now_us)

    def _propose(self, now_us: int, state: TableState) -> None:
        left = self._ended(now_us)[:MAX_CHANGED_SESSIONS]
        room = MAX_CHANGED_SESSIONS - len(left)
        names = self._ready(now_us)[:room] if room else []
        if not left and not names:
            return
        first = (state.generation + 1) * MAX_CHANGED_SESSIONS
        joined = [Session(name, first + n, self._newcomers.pop(name).nonce) for n, name in enumerate(names)]
        self.writer.write(next_state(state, self.term, joined, left))

    def _committed(self, now_us: int, state: TableState) -> list[PeerMessage]:
        """A majority keeps the next table: from now on it is told."""
        before, self._state = self._state, state
        if before is None:
            heard_us = now_us - self._lease_us if "rest" in self._off else self._began_us
            self._live = {session.number: _Live(session, heard_us) for session in state.sessions}
            return []
        change = state.changes[-1]
        for number in change.left:
            self._live.pop(number, None)
        for session in change.joined:
            self._live[session.number] = _Live(session, now_us)
        self.committed_changes.append(change)
        self._look_us = now_us  # for what did not fit
        self._settle()
        told = SessionRenewed(self._region, 0, 0, state.generation, self.settled_generation, [change])
        return [PeerMessage(live.session.name, told) for live in self._live.values()]


def _fitting(changes: list[GenerationChange]) -> list[GenerationChange]:
    """The first ones, as many as fit a datagram; at least one."""
    room = MAX_CHANGED_SESSIONS
    fitting: list[GenerationChange] = []
    for change in changes:
        room -= len(change.joined) + len(change.left)
        if fitting and room < 0:
            break
        fitting.append(change)
    return fitting
