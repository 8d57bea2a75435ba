"""A reference policy that sees the true state of every form server with a delay.

It replaces a node behind the same calls and bases its decisions only on the state of the world some time
ago. No real node has this information. The share of its service that real nodes reach shows how much
improvement is left.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from itertools import accumulate, count
from typing import Any, Protocol

from sailrun.decisions.actions import MoveReason
from sailrun.decisions.events import AttemptOutcome, BackendState
from sailrun.lab.form_servers import FormServerModel, Phase
from sailrun.lab.random_streams import Stream
from sailrun.lab.scheduler import Scheduler
from sailrun.lab.settings import SECOND
from sailrun.node.session import FormServer, FormSession, Placement

# Sampling interval of the world in us, and the share of its capacity up to which a form server is filled.
SAMPLE_INTERVAL_US, MAX_FILL_SHARE = SECOND // 4, 0.92
MAX_ATTEMPTS = 5
# Sessions of a draining form server or a leaving node are moved within this time.
MOVE_SPREAD_US = 3 * SECOND // 2


class ObservedWorld(Protocol):
    """The part of a virtual run (`virtual.py`) that the reference policy reads."""

    @property
    def time(self) -> Scheduler: ...

    @property
    def seed(self) -> int: ...

    @property
    def servers(self) -> Mapping[int, FormServerModel]:
        """The true state of the form servers, by number."""


@dataclass(frozen=True, slots=True)
class ServerView:
    """One form server at sampling time. Loads and capacities are in us of work per second."""

    free: float  # unused current capacity, less a margin
    accepts_new: bool


class DelayedView:
    """Samples of the true state, which become visible after the delay. The first sample is visible at once.
    One instance serves the whole world.
    """

    def __init__(self, world: ObservedWorld, late_us: int) -> None:
        self._world, self._late_us = world, late_us
        self._samples: deque[tuple[int, dict[int, ServerView]]] = deque()
        self.servers: dict[int, ServerView] = {}
        self._sample()

    def _sample(self) -> None:
        world, now_us = self._world, self._world.time.now_us
        state = dict[int, ServerView]()
        for number, server in world.servers.items():
            server.advance(now_us)
            up = server.phase is Phase.UP and not server.draining
            state[number] = ServerView(
                MAX_FILL_SHARE * server.current_capacity(now_us) - server.load,
                up and server.error_share < 0.2,
            )
        self._samples.append((now_us, state))
        while self._samples and self._samples[0][0] <= now_us - self._late_us:
            self.servers = self._samples.popleft()[1]
        if not self.servers:
            self.servers = state
        world.time.after(SAMPLE_INTERVAL_US, self._sample)


class ReferenceNode:
    """Replaces a node. It implements only those calls of the core that the world makes in runs without
    operator commands and without replaced processes.
    """

    def __init__(self, world: ObservedWorld, view: DelayedView, index: int) -> None:
        self._world, self._view = world, view
        self._random = Stream(world.seed, f"seeing-{index}-{world.time.now_us}")
        self._unanswered: dict[str, tuple[FormSession, set[int]]] = {}  # by id, with the servers tried
        self._established: dict[str, FormSession] = {}
        self._moves: list[tuple[int, int, FormSession]] = []  # (time, order, session)
        self._order = count()
        self._leaving_us = 0  # time at which the shutdown began; 0: not shutting down
        self.wake: Callable[[], None] = lambda: None
        self.admits, self.stopped = True, False
        self.discovery: Any = None
        self.peer_transport: Any = None
        self.rebalancer_port: Any = None

    def start(self) -> None:
        pass

    def due_us(self) -> int:
        return self._world.time.now_us + SECOND // 10

    def run_once(self, now_us: int) -> None:
        servers = self._view.servers
        for session in self._established.values():
            number = session.placement.form_server.number if session.placement is not None else -1
            if session.move_reason is None and number in servers and not servers[number].accepts_new:
                self._plan_move(session, now_us)
        while self._moves and self._moves[0][0] <= now_us:
            session = heapq.heappop(self._moves)[2]
            if session.id in self._established:
                session.client.move()
        if (
            self._leaving_us
            and not self._established
            and not self._unanswered
            and now_us > self._leaving_us + SECOND
        ):
            self.stopped = True

    def _plan_move(self, session: FormSession, now_us: int) -> None:
        session.move_reason = MoveReason.DRAINING
        at_us = now_us + self._random.below(MOVE_SPREAD_US)
        heapq.heappush(self._moves, (at_us, next(self._order), session))

    def request_session(self, session: FormSession) -> None:
        self._unanswered[session.id] = (session, set())
        if session.resumed_at is not None:
            named = next((s for s in self._world.servers.values() if s.name == session.resumed_at), None)
            assert named is not None
            self._send(session, named.number)
        else:
            self._start_attempt(session.id)

    def _start_attempt(self, session_id: str) -> None:
        """Draws one of the form servers with free capacity, weighted by it, or else any that runs."""
        session, tried = self._unanswered[session_id]
        candidates = {n: s for n, s in self._view.servers.items() if s.accepts_new and n not in tried}
        if not candidates or session.attempts >= MAX_ATTEMPTS:
            del self._unanswered[session_id]
            session.client.reject(SECOND // 2)
            return
        free_capacity = {n: s.free for n, s in candidates.items() if s.free > 0} or dict.fromkeys(
            candidates, 1.0
        )
        threshold = self._random.random() * sum(free_capacity.values())
        number = next(
            (
                n
                for n, reached in zip(free_capacity, accumulate(free_capacity.values()), strict=True)
                if reached > threshold
            ),
            -1,
        )
        number = number if number >= 0 else next(iter(free_capacity))
        tried.add(number)
        self._send(session, number)

    def _send(self, session: FormSession, number: int) -> None:
        server = self._world.servers[number]
        entry = FormServer(server.name, ("127.0.0.1", 1), BackendState.READY, server.zone)
        until_us = min(session.deadline_us, self._world.time.now_us + SECOND // 2)
        if session.resumed_at is not None or session.attempts + 1 >= MAX_ATTEMPTS:
            until_us = session.deadline_us
        session.placement = Placement(entry, session.attempts, until_us)
        session.attempts += 1
        session.client.start_attempt(session.placement)

    def connection_opened(self, session: FormSession, placement: Placement, took_us: int) -> None:
        self._unanswered.pop(session.id, None)
        session.is_established = True
        self._established[session.id] = session
        if self._leaving_us:
            self._plan_move(session, self._world.time.now_us)

    def attempt_ended(self, session: FormSession, placement: Placement, outcome: AttemptOutcome) -> None:
        session.placement = None
        if self._established.pop(session.id, None) is None and session.id in self._unanswered:
            if self._world.time.now_us < session.deadline_us - SECOND // 10:
                self._start_attempt(session.id)
            else:
                del self._unanswered[session.id]
                session.client.fail()

    def client_left(self, session: FormSession) -> None:
        self._unanswered.pop(session.id, None)

    def begin_shutdown(self) -> None:
        now_us = self._world.time.now_us
        self._leaving_us = now_us
        for session in self._established.values():
            if session.move_reason is None:
                self._plan_move(session, now_us + SECOND // 2)

    def line_forwarded(self, session: FormSession) -> None:
        """Does nothing: the policy detects an unresponsive form server only through the delayed view."""

    def bytes_received(self, session: FormSession) -> None:
        pass

    def line_answered(self, session: FormSession) -> None:
        pass

    def report_load(self, session: FormSession, load: float) -> None:
        pass

    def server_list_updated(self, update: Any) -> None:
        pass

    def discovery_failed(self, reason: str) -> None:
        pass

    def peer_message_received(self, peer: int, content: bytes) -> None:
        pass
