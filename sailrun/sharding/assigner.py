"""The assigner of one region: manages the sessions of nodes by generation. Pure; created anew for each term.

It renews the sessions of nodes whose heartbeats arrive, ends the others, adds newcomers in groups, and lets a
limited number of nodes hand over at a time for a planned stop. It sends no table of shards: each node
computes the placement from the sessions of a generation. Its answers remain valid, so that they may arrive
arbitrarily late.
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

SECOND_US = 1_000_000
# Sessions in one page of a complete table, so that the page fits a datagram.
SESSIONS_PER_PAGE = 24
# Number of checks for ended sessions during one lease.
CHECKS_PER_LEASE = 32


@dataclass(slots=True)
class ActiveSession:
    """The assigner's state of a session in force."""

    session: Session
    last_contact_us: int
    applied_generation: int = 0  # the generation that the node applies
    wants_handover: bool = False
    may_hand_over: bool = False
    is_released: bool = False  # the node no longer uses the session

    def belongs_to(self, name: str, nonce: int) -> bool:
        """Whether the session was requested by this node with this nonce."""
        return (self.session.name, self.session.nonce) == (name, nonce)


@dataclass(slots=True)
class Newcomer:
    """A node that has requested a session and has none yet."""

    nonce: int
    since_us: int
    last_contact_us: int


class Assigner:
    """Answers heartbeats and changes the table of sessions. `writer` has the voters store each table before
    any node receives it. `committed_changes` are for the log; the driver has to empty them.
    """

    def __init__(
        self,
        region: str,
        settings: ShardingSettings,
        writer: TableWriter,
        now_us: int,
        disabled_rules: frozenset[str] = frozenset(),
    ) -> None:
        """`disabled_rules` are safety rules that the laboratory switches off."""
        self.writer = writer
        self.term = writer.term
        self.settled_generation = 0  # every session in force applies this generation or a later one
        self.committed_changes: list[GenerationChange] = []
        self._region = region
        self._settings = settings
        self._disabled_rules = disabled_rules
        self._lease_us = int(settings.lease_s * SECOND_US)
        self._start_us = now_us
        self._next_check_us = now_us
        self._state: TableState | None = None  # the table that nodes receive
        self._active: dict[int, ActiveSession] = {}  # by number
        self._newcomers: dict[str, Newcomer] = {}

    @property
    def generation(self) -> int:
        """The latest generation; 0 until the table has been read."""
        return self._state.generation if self._state is not None else 0

    @property
    def sessions(self) -> list[Session]:
        """The sessions in force."""
        return self._state.sessions if self._state is not None else []

    # ------------------------------------------------------------------ heartbeats

    def answer_heartbeat(
        self, now_us: int, sender: str, heartbeat: RenewSession
    ) -> SessionRenewed | RenewalRejected | None:
        """Renews the sender's session or records its request for one; None if no answer is to be sent."""
        self.writer.observe_generation(max(heartbeat.applied_generation, heartbeat.highest_generation))
        state = self._state
        if state is None:
            return None
        if not heartbeat.session_number:
            return self._answer_newcomer(now_us, sender, heartbeat, state)
        active = self._active.get(heartbeat.session_number)
        if active is None or not active.belongs_to(sender, heartbeat.nonce) or active.is_released:
            return RenewalRejected(self._region, heartbeat.sequence, "over")
        if heartbeat.is_released:
            active.is_released = True
            self._next_check_us = now_us
            return RenewalRejected(self._region, heartbeat.sequence, "over")
        active.last_contact_us = now_us
        active.wants_handover = heartbeat.is_leaving
        active.may_hand_over = active.may_hand_over and heartbeat.is_leaving
        if heartbeat.applied_generation > active.applied_generation:
            active.applied_generation = heartbeat.applied_generation
            self._update_settled()
        self._permit_handovers()
        return self._build_answer(heartbeat, state, active.session.number, active.may_hand_over)

    def _answer_newcomer(
        self, now_us: int, sender: str, heartbeat: RenewSession, state: TableState
    ) -> SessionRenewed | None:
        if heartbeat.is_leaving or heartbeat.is_released:
            return None
        for active in self._active.values():
            if active.belongs_to(sender, heartbeat.nonce) and not active.is_released:
                active.last_contact_us = now_us
                return self._build_answer(heartbeat, state, active.session.number, False)
        previous = self._newcomers.get(sender)
        since_us = previous.since_us if previous is not None else now_us
        self._newcomers[sender] = Newcomer(heartbeat.nonce, since_us, now_us)
        return self._build_answer(heartbeat, state, 0, False)

    def _build_answer(
        self, heartbeat: RenewSession, state: TableState, session_number: int, may_hand_over: bool
    ) -> SessionRenewed:
        changes: list[GenerationChange] | None = None
        if session_number and heartbeat.applied_generation:
            changes = _changes_after(state, heartbeat.applied_generation)
        if session_number and changes is None:
            return self._build_page(heartbeat, state, session_number)
        return SessionRenewed(
            self._region,
            heartbeat.sequence,
            session_number,
            state.generation,
            self.settled_generation,
            changes or [],
            may_hand_over=may_hand_over,
        )

    def _build_page(self, heartbeat: RenewSession, state: TableState, session_number: int) -> SessionRenewed:
        """Returns the next page of the complete table, or the first one if the table has changed since."""
        is_same_table = heartbeat.fetched_generation == state.generation
        offset = heartbeat.fetched_count if is_same_table else 0
        page = state.sessions[offset : offset + SESSIONS_PER_PAGE]
        return SessionRenewed(
            self._region,
            heartbeat.sequence,
            session_number,
            state.generation,
            self.settled_generation,
            [],
            page_generation=state.generation,
            page_offset=offset,
            has_more=offset + len(page) < len(state.sessions),
            sessions=page,
        )

    # ------------------------------------------------------------------ sessions

    def _update_settled(self) -> None:
        applied = [active.applied_generation for active in self._active.values() if not active.is_released]
        if applied:
            self.settled_generation = max(self.settled_generation, min(applied))

    def _permit_handovers(self) -> None:
        """Permits a limited number of planned stops, and only while the latest generation is settled."""
        if self.settled_generation < self.generation:
            return
        permitted = sum(active.may_hand_over for active in self._active.values())
        for active in self._active.values():
            if permitted >= self._settings.leaving:
                return
            if active.wants_handover and not active.may_hand_over:
                active.may_hand_over = True
                permitted += 1

    def _ended_sessions(self, now_us: int) -> list[int]:
        """The numbers of sessions that no node uses any more: released, or without contact for a whole lease.

        A node measures its lease from the sending of the heartbeat and subtracts the maximum drift of two
        clocks, so its lease has ended by then. The contact with sessions that an earlier assigner renewed
        is counted from the start of this one.
        """
        return [
            number
            for number, active in self._active.items()
            if active.is_released or now_us - active.last_contact_us >= self._lease_us
        ]

    def _ready_newcomers(self, now_us: int) -> list[str]:
        """The newcomers whose former session has ended, once one of them has waited for `gather_s`. Removes
        newcomers without contact for a whole lease.
        """
        for name, newcomer in list(self._newcomers.items()):
            if now_us - newcomer.last_contact_us >= self._lease_us:
                del self._newcomers[name]
        active_names = {active.session.name for active in self._active.values()}
        eligible = [name for name in self._newcomers if name not in active_names]
        gather_us = int(self._settings.gather_s * SECOND_US)
        if not any(now_us - self._newcomers[name].since_us >= gather_us for name in eligible):
            return []
        return sorted(eligible, key=lambda name: self._newcomers[name].since_us)

    # ------------------------------------------------------------------ time

    def due_us(self, now_us: int) -> int:
        """The time at which `tick` has to be called next."""
        due_us = self.writer.due_us(now_us)
        return min(due_us, self._next_check_us) if self.writer.is_idle else due_us

    def tick(self, now_us: int) -> list[PeerMessage]:
        """Writes the next generation if one is due; notifies nodes of a generation that a majority stores."""
        messages: list[PeerMessage] = []
        state = self.writer.state
        if state is not None and state is not self._state:
            messages += self._commit(now_us, state)
        if self.writer.is_idle and state is not None and now_us >= self._next_check_us:
            self._next_check_us = now_us + self._lease_us // CHECKS_PER_LEASE
            self._propose(now_us, state)
        return messages + self.writer.tick(now_us)

    def _propose(self, now_us: int, state: TableState) -> None:
        """Writes the next table if any session has to be added or removed."""
        left = self._ended_sessions(now_us)[:MAX_CHANGED_SESSIONS]
        capacity = MAX_CHANGED_SESSIONS - len(left)
        names = self._ready_newcomers(now_us)[:capacity] if capacity else []
        if not left and not names:
            return
        first_number = (state.generation + 1) * MAX_CHANGED_SESSIONS
        joined = [
            Session(name, number, self._newcomers.pop(name).nonce)
            for number, name in enumerate(names, first_number)
        ]
        self.writer.write(next_state(state, self.term, joined, left))

    def _commit(self, now_us: int, state: TableState) -> list[PeerMessage]:
        """Publishes a table that a majority stores; returns notices of its change for the nodes."""
        before, self._state = self._state, state
        if before is None:
            contact_us = now_us - self._lease_us if "rest" in self._disabled_rules else self._start_us
            self._active = {s.number: ActiveSession(s, contact_us) for s in state.sessions}
            return []
        change = state.changes[-1]
        for number in change.left:
            self._active.pop(number, None)
        for session in change.joined:
            self._active[session.number] = ActiveSession(session, now_us)
        self.committed_changes.append(change)
        self._next_check_us = now_us  # sessions that did not fit in this change are due at once
        self._update_settled()
        notice = SessionRenewed(self._region, 0, 0, state.generation, self.settled_generation, [change])
        return [PeerMessage(active.session.name, notice) for active in self._active.values()]


def _changes_after(state: TableState, generation: int) -> list[GenerationChange] | None:
    """The changes after that generation, as many as fit a datagram; None if they are not all stored."""
    if generation == state.generation:
        return []
    following = [change for change in state.changes if change.generation > generation]
    if generation > state.generation or not following or following[0].generation != generation + 1:
        return None
    return _take_fitting(following)


def _take_fitting(changes: list[GenerationChange]) -> list[GenerationChange]:
    """The first changes, as many as fit a datagram, but at least one."""
    capacity = MAX_CHANGED_SESSIONS
    fitting: list[GenerationChange] = []
    for change in changes:
        capacity -= len(change.joined) + len(change.left)
        if fitting and capacity < 0:
            break
        fitting.append(change)
    return fitting
