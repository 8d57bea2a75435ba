"""The one task that owns the decision module, the timers and the form sessions.

Fronts, the registry and the neighbours call the methods under "what others tell"; each only puts a call
into the queue. Orders go back through `SessionClient` and `ServiceDiscovery`, none of which waits.
"""

from __future__ import annotations

import heapq
import math
import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import anyio

from sailrun.decisions.actions import (
    Action,
    CancelAttempt,
    CloseIdle,
    DenialReason,
    FailRequest,
    FetchList,
    LogMessage,
    MoveConnection,
    MoveReason,
    ProbeBackend,
    RejectRequest,
    SendToPeer,
    SetTimer,
    SlowStartAllowance,
    SlowStartChanged,
    StartAttempt,
    Subscribe,
)
from sailrun.decisions.balancer import Balancer
from sailrun.decisions.events import (
    AttemptEnded,
    AttemptNotice,
    AttemptOutcome,
    Backend,
    BackendListUpdate,
    BackendState,
    ClientLeft,
    ConnectionOpened,
    ConnectionResumed,
    Event,
    ListKind,
    LocalLoad,
    NoticeKind,
    OperatorOverride,
    PeerMessage,
    ProbeEnded,
    RequestArrived,
    TimerFired,
)
from sailrun.decisions.settings import Settings
from sailrun.load_gossip.aggregation_rounds import AggregationRounds, OutgoingDatagram
from sailrun.node.clock import Clock, log
from sailrun.node.counters import Counters, MetricsSnapshot
from sailrun.node.failure_detector import ServerWatch
from sailrun.node.fleet_load import FleetLoadExchange
from sailrun.node.outlier_gossip import OutlierGossip, OutlierReport
from sailrun.node.ports import HealthChecker, PeerTransport, ServiceDiscovery
from sailrun.node.queries import Reply
from sailrun.node.rebalancer_port import RebalancerPort
from sailrun.node.restart_state import NodeSnapshot, ProcessLoad
from sailrun.node.session import FormServer, FormSession, Placement, ServerListUpdate, server_number
from sailrun.node.session_transfer import SendTransfer
from sailrun.node.shutdown import ShutdownPlans, ShutdownReason

if TYPE_CHECKING:
    from sailrun.rebalance.balance import Rebalancer

SECOND = 1_000_000
SWEEP_US = 100_000
PULSE_US = 10 * SECOND


class Node:
    """The core. `run` drives it by the clock; whoever keeps the time himself calls `start`, and `turn`
    whenever `due_us` has come or a tick after `wake` was called.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        known: ServerListUpdate,
        log: Callable[..., None] = log,
        passed: NodeSnapshot | None = None,
    ) -> None:
        """`passed`: what a predecessor has told this process, which succeeds it."""
        self.clock = clock
        self.wake: Callable[[], None] = lambda: None  # the queue is no longer empty
        self._log = log
        self.settings = settings
        self.discovery: ServiceDiscovery | None = None
        self.peer_transport: PeerTransport | None = None
        self.health_checker: HealthChecker | None = None
        self.rebalancer_port = RebalancerPort(log)
        self.counters = Counters(c.name for c in settings.classes)
        # Everybody is being sent away: to stop, for a drain, or to a successor.
        self.shutdown = ShutdownPlans(max(c.deadline_us for c in settings.classes))
        self._out_by_hand: set[str] = set()  # form servers that staff took out, by name
        self._now = clock.now_us()
        self._module = Balancer(settings, seed, self._now)
        self._peer_beliefs = OutlierGossip(self._module, log)
        rounds = None
        if settings.peer_messages and settings.instances > 1:
            rounds = AggregationRounds(settings.index, settings.instances, seed, self._now)
        # What the tier holds together, where its nodes may talk.
        self._tier = FleetLoadExchange(rounds, self._now)
        self._calls: deque[Callable[[], None]] = deque()
        self._sessions: dict[str, FormSession] = {}
        self._form_servers: dict[int, FormServer] = {}
        self._watches: dict[int, ServerWatch] = {}
        self._talking: dict[int, ServerWatch] = {}  # those with anything to look at in a sweep
        self._timers: list[tuple[int, int]] = []
        self._sweep_us = self._now + SWEEP_US
        self._pulse_us = self._now + PULSE_US
        aims = [c.message_objective_us for c in settings.classes if c.message_objective_us > 0]
        self._slow_us = min(aims) / 3 if aims else 0.0
        # From what on form servers say what a message takes, in ms; 0: they never do.
        self.reported_delay_threshold_ms = self._slow_us / 1000 if settings.reports_delay else 0.0
        self._known, self._passed = known, passed
        self._revision = known.revision
        self._send_transfer: SendTransfer | None = None  # hands a standing session to the successor
        # Told of what staff ask of this process, where another one is to hear of it.
        self.on_operator_command: Callable[[str, Any], None] = lambda kind, content: None
        self.stopped = False

    # ------------------------------------------------------------------ what others tell

    def _post(self, handler: Callable[..., None], *facts: Any) -> None:
        self._calls.append(lambda: handler(*facts))
        if len(self._calls) == 1:
            self.wake()

    def request_session(self, session: FormSession) -> None:
        """A client asks for a form session; one final answer is owed by its deadline."""
        self._post(self._asked, session)

    def connection_opened(self, session: FormSession, placement: Placement, took_us: int) -> None:
        self._post(self._placed, session, placement, took_us)

    def request_written(self) -> None:
        """An attempt's request has gone out to its form server, to the last byte."""
        self._post(self._written)

    def attempt_ended(self, session: FormSession, placement: Placement, outcome: AttemptOutcome) -> None:
        self._post(self._attempt_over, session, placement, outcome)

    def client_left(self, session: FormSession) -> None:
        """The client has gone before its session stood."""
        self._post(self._left, session)

    def report_load(self, session: FormSession, load: float) -> None:
        self._post(self._told_load, session, load)

    def may_begin(self, session: FormSession, placement: Placement) -> bool:
        """Asked right before an attempt's first byte leaves: whether it still may. While it was on its way
        the list may have told that the form server leaves, or has moved, or a repeat's time may have run out.
        """
        if session.resumed_at is not None:
            return True
        if self.clock.now_us() >= placement.begin_by_us:
            return False
        known = self._form_servers.get(placement.form_server.number)
        return (
            known is not None
            and known.address == placement.form_server.address
            and self._as_it_takes(known).state is BackendState.READY
        )

    def line_forwarded(self, session: FormSession) -> None:
        """A client's line went to its form server."""
        session.unanswered_since_us.append(self.clock.now_us())
        if session.placement is not None:
            number = session.placement.form_server.number
            self._talking[number] = self._watches.setdefault(number, ServerWatch())

    def bytes_received(self, session: FormSession) -> None:
        """Anything at all came from the session's form server."""
        if session.placement is not None:
            watch = self._watches.get(session.placement.form_server.number)
            if watch is not None:
                watch.heard_us = self.clock.now_us()

    def line_answered(self, session: FormSession) -> None:
        """The form server returned a client's line."""
        if not session.unanswered_since_us or session.placement is None:
            return
        now_us = self.clock.now_us()
        took_us = now_us - session.unanswered_since_us.popleft()
        watch = self._watches.get(session.placement.form_server.number)
        if watch is not None:
            watch.answered(now_us, took_us)

    def report_delay(self, session: FormSession, value_ms: float) -> None:
        """The session's form server has said what a message takes there."""
        self._post(self._told_delay, session, value_ms)

    def server_list_updated(self, update: ServerListUpdate) -> None:
        self._post(self._server_list_updated, update)

    def discovery_failed(self, why: str) -> None:
        self._post(self._discovery_failed, why)

    def peer_message_received(self, neighbour: int, content: bytes) -> None:
        self._post(self._neighbour_said, neighbour, content)

    def probe_ended(self, form_server: FormServer, outcome: AttemptOutcome, took_us: int) -> None:
        self._post(lambda: self._feed(ProbeEnded(form_server.number, outcome, took_us)))

    def set_rebalancer(self, rebalancer: Rebalancer | None) -> None:
        """From now on; None: nobody is moved for balance any more."""
        self._post(self._rebalance_with, rebalancer)

    def begin_shutdown(self) -> None:
        """A planned restart begins: keep answering, spread the moves, be gone before the kill."""
        self._post(self._leave, ShutdownReason.RESTART)

    # What staff ask, each answered by a call of `reply` in the core's next turn.

    def read_metrics(self, reply: Reply[MetricsSnapshot]) -> None:
        self._post(lambda: reply(self._figures()))

    def check_ready(self, reply: Reply[bool]) -> None:
        """Whether this node takes clients, and not only answers them."""
        self._post(lambda: reply(not self.shutdown and bool(self._form_servers)))

    def set_operator_override(self, name: str, out: bool, reply: Reply[bool]) -> None:
        """Takes a form server out, or puts it back; False where none of that name is listed or out."""
        self._post(lambda: reply(self._by_hand(name, out)))

    def list_operator_overrides(self, reply: Reply[frozenset[str]]) -> None:
        self._post(lambda: reply(frozenset(self._out_by_hand)))

    def has_form_server(self, name: str, reply: Reply[bool]) -> None:
        """Whether a form server of that name is listed here, or out by hand."""
        self._post(lambda: reply(self._lists(name)))

    @property
    def is_accepting(self) -> bool:
        """Whether whoever spreads the clients over the nodes should count on this one."""
        return ShutdownReason.DRAIN not in self.shutdown

    def set_draining(self, on: bool, reply: Reply[bool]) -> None:
        """Sends all clients away, and takes none until it is over."""
        self._post(lambda: reply(self._drain(on)))

    def set_move_rate_share(self, share: float, reply: Reply[bool]) -> None:
        """This node's part of the fleet's pace of moves, 0 to 1; answers whether it moves any clients."""
        self._post(lambda: reply(self.rebalancer_port.set_rate_share(share)))

    # What nodes of a fleet tell each other.

    def report_outliers(self, reply: Reply[OutlierReport]) -> None:
        self._post(lambda: reply(self._peer_beliefs.local_report(self._now, self._form_servers)))

    def receive_peer_outliers(self, out: dict[str, int], setup_us: int) -> None:
        """Form servers by name that others keep away from, with for how much longer (us)."""
        self._post(self._hear_beliefs, out, setup_us)

    # What passes between two processes that are one node.

    def snapshot_state(self, reply: Reply[NodeSnapshot]) -> None:
        self._post(lambda: reply(self._state()))

    def report_held_load(self, reply: Reply[ProcessLoad]) -> None:
        self._post(lambda: reply(self._held()))

    def set_successor(self, send: SendTransfer | None) -> None:
        """A successor takes the clients from now on, and standing sessions by `send`; None: it is gone,
        and they are this process's again.
        """
        self._post(self._succeeded, send)

    def adopt_session(self, session: FormSession, placement: Placement) -> None:
        """A session that stood with the predecessor stands here now."""
        self._post(self._adopted, session, placement)

    def update_predecessor_load(self, held: ProcessLoad | None) -> None:
        """None: it has ended."""
        self._post(self._predecessor_holds, held)

    def mirror_operator_command(self, kind: str, content: Any) -> None:
        """What staff asked of the other process: `hand` with a name and whether it is out, or `drain`."""
        self._post(self._staff_said_elsewhere, kind, content)

    def configuration_reloaded(self, taken: bool) -> None:
        """A new configuration was taken over, or was not usable."""
        self._post(self._reloaded, taken)

    # ------------------------------------------------------------------ the task

    async def run(self) -> None:
        """Runs until `leave` was called and everybody has been sent away."""
        self.start()
        while not self.stopped:
            called = anyio.Event()
            self.wake = called.set
            with anyio.CancelScope(deadline=self.clock.moment(self.due_us())):
                if not self._calls:
                    await called.wait()
                # What comes in within a tick belongs together, as when a form server's process dies and
                # all its connections break at once.
                await anyio.sleep_until(self.clock.moment(self.clock.now_us() + self.settings.tick_us))
            self.turn(self.clock.now_us())

    def start(self) -> None:
        self._server_list_updated(self._known)
        if self._passed is not None:
            for name in sorted(self._passed.excluded):
                self._hand(name, True)
            if self._passed.decisions is not None:
                self._feed(self._passed.decisions)
            if self._passed.is_draining:
                self._drain(True)

    def due_us(self) -> int:
        """When a turn is due even if nobody calls."""
        tier_us = self._tier.due_us() if self._tells else None
        return min(
            self._sweep_us, tier_us or self._sweep_us, self._timers[0][0] if self._timers else self._sweep_us
        )

    def turn(self, now_us: int) -> None:
        """Does all that has come in, and what the time has come for."""
        self._now = now_us
        while self._calls:
            self._calls.popleft()()
        while self._timers and self._timers[0][0] <= self._now:
            self._feed(TimerFired(heapq.heappop(self._timers)[1]))
        tier_us = self._tier.due_us() if self._tells else None
        if tier_us is not None and self._now >= tier_us:
            self._tier_says(self._tier.turn(self._now, self._own_holding()))
        if self._now >= self._sweep_us:
            self._sweep_us = self._now + SWEEP_US
            self._sweep()

    def _feed(self, event: Event) -> None:
        """Hands the module one event and carries out what it decides."""
        try:
            actions = self._module.handle(self._now, event)
        except Exception:
            # A fault of the decisions must not take every other client down with the node.
            self._log("fault", event=type(event).__name__, trace=traceback.format_exc())
            session = self._sessions.get(getattr(event, "request", ""))
            if session is not None and not session.is_established:
                self._end(session)
                self._fail(session)
            return
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:
                # Nor must a fault of one front in taking an order.
                self._log("fault", action=type(action).__name__, trace=traceback.format_exc())

    def _carry_out(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._send_to(action)
            case RejectRequest():
                if (session := self._answerable(action.request)) is not None:
                    session.denial_reason = action.reason
                    self._refuse(session, action.retry_after_us)
                    self.rebalancer_port(lambda rebalancer: rebalancer.refused(self._now))
            case FailRequest():
                if (session := self._answerable(action.request)) is not None:
                    session.denial_reason = action.reason
                    self._fail(session)
            case MoveConnection():
                self._move(action.request, action.reason)
            case CancelAttempt():
                if (session := self._sessions.get(action.request)) is not None and not session.is_established:
                    session.client.cancel_attempt(action.attempt)
            case SetTimer():
                heapq.heappush(self._timers, (self._now + action.delay_us, action.token))
            case Subscribe():
                if self.discovery is not None:
                    self.discovery.watch(action.active)
            case FetchList():
                if self.discovery is not None:
                    self.discovery.fetch()
            case SendToPeer():
                if self.peer_transport is not None:
                    self.peer_transport.send(action.peer, action.content)
            case ProbeBackend():
                form_server = self._form_servers.get(action.backend)
                if self.health_checker is not None and form_server is not None:
                    self.health_checker.probe(form_server, self._now + self.settings.connect_timeout_us)
            case CloseIdle():
                pass  # no connection here is ever idle: each belongs to one form session
            case SlowStartChanged():
                name, age_ms = self._name(action.backend), action.age_us // 1000
                self._log("slow-start", server=name, cause=action.reason.value, age_ms=age_ms)
            case LogMessage():
                self._log("decision", text=action.text)

    def _send_to(self, action: StartAttempt) -> None:
        session = self._sessions.get(action.request)
        form_server = self._form_servers.get(action.backend)
        if session is None or session.is_answered:
            return
        if form_server is None:
            gone = FormServer("unlisted", ("", 0), BackendState.GONE)
            session.placement = Placement(gone, session.attempts, action.until_us)
            session.attempts += 1
            self._post(self._attempt_over, session, session.placement, AttemptOutcome.NOT_SENT)
            return
        if action.slow_start is not None:
            self._log_slow_start(session, form_server, action.slow_start)
        until_us = min(action.until_us or session.deadline_us, session.deadline_us)
        self._order(session, form_server, until_us, action.begin_by_us)

    def _log_slow_start(self, session: FormSession, form_server: FormServer, use: SlowStartAllowance) -> None:
        """What all nodes send to a form server in slow start can be added up from these lines alone."""
        self._log(
            "slow-start-send",
            id=session.id,
            server=form_server.name,
            share=round(use.share, 3),
            sent=use.sent,
            part=round(use.part, 3),
        )

    def _order(
        self, session: FormSession, form_server: FormServer, until_us: int, begin_by_us: float = math.inf
    ) -> None:
        session.placement = Placement(form_server, session.attempts, until_us, begin_by_us)
        session.attempts += 1
        session.client.start_attempt(session.placement)

    def _move(self, name: str, cause: MoveReason) -> None:
        session = self._sessions.get(name)
        if session is not None and session.is_established and session.move_reason is None:
            self._send_off(session, cause)

    def _send_off(self, session: FormSession, cause: MoveReason) -> None:
        session.move_reason = cause
        self.counters.moves[cause] += 1
        session.client.move()

    def _answerable(self, name: str) -> FormSession | None:
        session = self._sessions.get(name)
        if session is None or session.is_answered:
            return None
        self._end(session)
        return session

    def _end(self, session: FormSession) -> None:
        session.is_answered = True
        self._sessions.pop(session.id, None)

    def _refuse(self, session: FormSession, retry_after_us: int) -> None:
        self.counters.classes[session.request_class].busy += 1
        session.client.reject(retry_after_us)

    def _fail(self, session: FormSession) -> None:
        self.counters.classes[session.request_class].failure += 1
        session.client.fail()

    # ------------------------------------------------------------------ what has happened

    def _asked(self, session: FormSession) -> None:
        self._sessions[session.id] = session
        if session.resumed_at is None:
            self.rebalancer_port(lambda rebalancer: rebalancer.arrived(self._now, session.is_returning))
        if session.resumed_at is not None:
            named = self._form_servers.get(server_number(session.resumed_at))
            if named is not None and named.name == session.resumed_at:
                self._order(session, named, session.deadline_us)
            else:
                self._end(session)
                self._fail(session)
            return
        self._feed(
            RequestArrived(
                session.id,
                session.request_class,
                max(0, session.deadline_us - self._now),
                session.key,
                session.group,
                session.tenant,
                session.load_hint,
                session.is_retry,
                returning=session.is_returning,
            )
        )

    def _placed(self, session: FormSession, placement: Placement, took_us: int) -> None:
        number = placement.form_server.number
        session.is_established = session.is_answered = True
        self.counters.classes[session.request_class].success += 1
        watch = self._watches.setdefault(number, ServerWatch())
        watch.sessions[session.id] = session
        if session.unanswered_since_us:
            self._talking[number] = watch
        if session.resumed_at is not None:
            self._resume(session, number)
        else:
            self._feed(ConnectionOpened(session.id, placement.attempt, number, took_us))
        self._hand_over(session)
        resumed = session.resumed_at is not None
        returned, took = session.is_returning and not resumed, None if resumed else took_us
        self.rebalancer_port(lambda rebalancer: self._stands_for(rebalancer, session, number, returned, took))

    def _written(self) -> None:
        self.counters.backend_calls += 1

    def _attempt_over(self, session: FormSession, placement: Placement, outcome: AttemptOutcome) -> None:
        if session.placement is not placement:
            return  # already taken for over, as where its form server fell silent
        number = placement.form_server.number
        stood = session.is_established
        if stood:
            self._watches[number].sessions.pop(session.id, None)
            session.is_established = False
            self.rebalancer_port(lambda rebalancer: rebalancer.ended(self._now, session.id, outcome))
        elif outcome is AttemptOutcome.REJECTED:
            self.rebalancer_port(lambda rebalancer: rebalancer.turned_away(self._now, number))
        session.placement = None
        if outcome not in (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT):
            session.may_have_run = True
        over = session.is_answered or outcome is AttemptOutcome.OK
        if not over:
            self._log(
                "attempt-failed",
                id=session.id,
                server=placement.form_server.name,
                attempt=placement.attempt,
                outcome=outcome.value,
            )
        if outcome is AttemptOutcome.OK and not session.is_answered:  # served to its end in one answer
            self.counters.classes[session.request_class].success += 1
        if over:
            self._end(session)
        elif session.resumed_at is not None:
            self._end(session)
            self._fail(session)
            return
        if session.resumed_at is None or stood:
            self._feed(AttemptEnded(session.id, placement.attempt, number, outcome, over))

    def _left(self, session: FormSession) -> None:
        if session.is_answered:
            return
        self._end(session)
        if session.resumed_at is None:
            self._feed(ClientLeft(session.id))

    def _told_load(self, session: FormSession, load: float) -> None:
        if session.placement is not None and session.is_established:
            number = session.placement.form_server.number
            self._feed(AttemptNotice(session.id, session.placement.attempt, number, NoticeKind.LOAD, load))
            self.rebalancer_port(lambda rebalancer: rebalancer.loaded(session.id, load))

    def _told_delay(self, session: FormSession, value_ms: float) -> None:
        if session.placement is None or not session.is_established:
            return
        number, attempt = session.placement.form_server.number, session.placement.attempt
        watch = self._watches[number]
        if watch.told(self._now, value_ms * 1000 > self._slow_us):
            self._log_slow(number, watch.slow, value_ms)
        self._feed(AttemptNotice(session.id, attempt, number, NoticeKind.DELAY, value_ms))

    def _server_list_updated(self, update: ServerListUpdate) -> None:
        self._revision = update.revision
        if update.kind is not ListKind.CACHED:
            self._log(
                "roster",
                kind=update.kind.name.lower(),
                revision=update.revision,
                form_servers=len(update.form_servers),
            )
        if update.kind is not ListKind.DELTA:
            named = {form_server.number for form_server in update.form_servers}
            for number, known in self._form_servers.items():
                if number not in named:
                    self._form_servers[number] = replace(known, state=BackendState.GONE)
        for form_server in update.form_servers:
            self._form_servers[form_server.number] = form_server
        entries = tuple(s.as_backend() for s in update.form_servers)
        takes = tuple(self._as_it_takes(s) for s in update.form_servers)
        self.rebalancer_port(lambda rebalancer: rebalancer.listed(self._now, update.kind, takes))
        self._feed(BackendListUpdate(update.kind, update.revision, entries))

    def _as_it_takes(self, form_server: FormServer) -> Backend:
        """The entry for whoever only looks on: one that is out by hand takes no more than one that drains."""
        out = form_server.name in self._out_by_hand and form_server.state is BackendState.READY
        return replace(form_server, state=BackendState.DRAINING if out else form_server.state).as_backend()

    def _discovery_failed(self, why: str) -> None:
        self._log("roster-failed", why=why)
        self.rebalancer_port(lambda rebalancer: rebalancer.discovery_lost(self._now))
        self._feed(BackendListUpdate(ListKind.FAILED))

    @property
    def _tells(self) -> bool:
        """Whether it is this process that speaks for the node: of two, the successor."""
        return ShutdownReason.SUCCEEDED not in self.shutdown

    def _own_holding(self) -> LocalLoad:
        return self._module.local_load()

    def _tier_says(self, outgoing: list[OutgoingDatagram]) -> None:
        """Sends what the rounds have to send, and tells the module what is known of the others by now."""
        for neighbour, content in outgoing:
            if self.peer_transport is not None:
                self.peer_transport.send(neighbour, content)
        if self._tier.news:
            self._feed(self._tier.others_hold(self._now))

    def _neighbour_said(self, neighbour: int, content: bytes) -> None:
        outgoing = self._tier.heard(self._now, neighbour, content, self._own_holding)
        if outgoing is not None:
            self._tier_says(outgoing)
            return
        self.rebalancer_port(lambda rebalancer: rebalancer.heard(self._now, neighbour, content))
        self._feed(PeerMessage(neighbour, content))

    # ------------------------------------------------------------------ by the clock

    def _sweep(self) -> None:
        for number, watch in list(self._talking.items()):
            silent = list(watch.silent(self._now))
            for session in silent:
                # Told to the module here, all at one time: it then sees that they broke together.
                self._send_off(session, MoveReason.UNRESPONSIVE)
                if session.placement is not None:
                    self._attempt_over(session, session.placement, AttemptOutcome.RESET)
            if silent:
                self._log("silent", server=self._name(number), moved=len(silent))
            was_slow = watch.slow
            value = watch.notice(self._now, self._slow_us)
            if value is not None and watch.slow is not was_slow:
                self._log_slow(number, watch.slow, value)
            told = next((s for s in watch.sessions.values() if s.placement is not None), None)
            if value is not None and told is not None and told.placement is not None:
                attempt = told.placement.attempt
                self._feed(AttemptNotice(told.id, attempt, number, NoticeKind.DELAY, value))
            if watch.at_rest():
                del self._talking[number]
        self.rebalancer_port(self._rebalance)
        if self._now >= self._pulse_us:
            self._pulse_us = self._now + PULSE_US
            self._pulse()
        if self.shutdown:
            self._send_away()

    def _log_slow(self, number: int, slow: bool, value_ms: float) -> None:
        self._log("slow" if slow else "quick-again", server=self._name(number), ms=round(value_ms, 1))

    def _rebalance_with(self, rebalancer: Rebalancer | None) -> None:
        """A new one is told what stands. Whom an old one has moved it can't know: all may be among them."""
        old, self.rebalancer_port.rebalancer = self.rebalancer_port.rebalancer, rebalancer
        self.rebalancer_port(lambda one: self._tell_what_stands(one, old))

    def _tell_what_stands(self, rebalancer: Rebalancer, old: Rebalancer | None) -> None:
        entries = tuple(map(self._as_it_takes, self._form_servers.values()))
        rebalancer.listed(self._now, ListKind.FULL, entries)
        for number, watch in self._watches.items():
            for session in watch.sessions.values():
                self._stands_for(rebalancer, session, number, True, None)
                known = old.connections.standing.get(session.id) if old is not None else None
                if known is not None and known.load is not None:
                    rebalancer.loaded(session.id, known.load)
        if self.shutdown:
            rebalancer.leave()

    def _stands_for(
        self,
        rebalancer: Rebalancer,
        session: FormSession,
        number: int,
        returned: bool,
        took_us: int | None,
    ) -> None:
        group = session.group or session.key or session.id
        rebalancer.stands(self._now, session.id, number, group, session.request_class, returned, took_us)
        if session.load_hint:
            rebalancer.loaded(session.id, session.load_hint)

    def _rebalance(self, rebalancer: Rebalancer) -> None:
        if not rebalancer.due(self._now):
            return
        orders = rebalancer.look(self._now, lambda names: self._module.choose_elsewhere(self._now, names))
        for note in orders.notes:
            self._log("rebalance", **note)
        for name in orders.moves:
            self._move(name, MoveReason.REBALANCING)
        if orders.tell is not None and self.peer_transport is not None:
            self.peer_transport.send(None, orders.tell)

    def _pulse(self) -> None:
        """What on-call staff look at first: how many sessions stand where, and what a message takes there."""
        shown = []
        for number, watch in sorted(self._watches.items()):
            if watch.sessions:
                delay_us = watch.delay_us(self._now)
                took = f"{delay_us / 1000:.1f}ms" if delay_us is not None else "-"
                shown.append(f"{self._name(number)}:{len(watch.sessions)}/{took}")
        waiting = sum(1 for s in self._sessions.values() if not s.is_answered)
        fleet = self._tier.pulse()
        moved = ",".join(f"{cause.value}:{count}" for cause, count in self.counters.moves.items())
        self._log(
            "pulse", waiting=waiting, standing=",".join(shown) or "none", moved=moved or None, fleet=fleet
        )

    def _name(self, number: int) -> str:
        known = self._form_servers.get(number)
        return known.name if known is not None else str(number)

    # ------------------------------------------------------------------ staff's calls, and leaving

    def _figures(self) -> MetricsSnapshot:
        listed = [n for n, s in self._form_servers.items() if s.state is not BackendState.GONE]
        return self.counters.figures(
            len(self._sessions), len(listed), len(self._module.avoided_backends(self._now))
        )

    def _reloaded(self, taken: bool) -> None:
        if taken:
            self.counters.reconfig_ok += 1
        else:
            self.counters.reconfig_failed += 1

    def _by_hand(self, name: str, out: bool) -> bool:
        return self._lists(name) and self._hand(name, out)

    def _lists(self, name: str) -> bool:
        known = self._form_servers.get(server_number(name))
        return name in self._out_by_hand or (known is not None and known.name == name)

    def _hand(self, name: str, out: bool) -> bool:
        if out is not (name in self._out_by_hand):
            (self._out_by_hand.add if out else self._out_by_hand.discard)(name)
            self._log("by-hand", server=name, out=out)
            self._feed(OperatorOverride(server_number(name), out))
            self.on_operator_command("hand", [name, out])
            if (known := self._form_servers.get(server_number(name))) is not None:
                entries = (self._as_it_takes(known),)
                self.rebalancer_port(lambda rebalancer: rebalancer.listed(self._now, ListKind.DELTA, entries))
        return True

    def _hear_beliefs(self, out: dict[str, int], setup_us: int) -> None:
        sound = [n for n, watch in self._watches.items() if self._now - watch.heard_us < 10 * SECOND]
        event = self._peer_beliefs.merge_reports(
            self._now, {server_number(n): left for n, left in out.items()}, sound, setup_us
        )
        if event is not None:
            self._feed(event)

    def _drain(self, on: bool) -> bool:
        if on is not (ShutdownReason.DRAIN in self.shutdown):
            self.on_operator_command("drain", on)
        if on:
            self._leave(ShutdownReason.DRAIN)
        elif self.shutdown.cancel(ShutdownReason.DRAIN):
            self._log("drain-over", sessions=len(self._standing()))
            if not self.shutdown:
                self.rebalancer_port(lambda rebalancer: rebalancer.leave(False))
        return True

    def _state(self) -> NodeSnapshot:
        listed = tuple(s for s in self._form_servers.values() if s.state is not BackendState.GONE)
        server_list = ServerListUpdate(ListKind.CACHED, self._revision, listed)
        draining = ShutdownReason.DRAIN in self.shutdown
        learned = self._module.snapshot()
        # From now on the successor may send there as well, and neither sees what the other does.
        self._module.forfeit_slow_start_allowance(self._now)
        return NodeSnapshot(server_list, frozenset(self._out_by_hand), draining, learned)

    def _held(self) -> ProcessLoad:
        holding = self._module.local_load()
        return ProcessLoad(holding.loads, holding.connections, holding.loads_reported)

    def _adopted(self, session: FormSession, placement: Placement) -> None:
        number = placement.form_server.number
        self._sessions[session.id] = session
        session.placement, session.attempts = placement, placement.attempt + 1
        session.is_established = session.is_answered = session.may_have_run = True
        watch = self._watches.setdefault(number, ServerWatch())
        watch.sessions[session.id] = session
        watch.heard_us = self._now
        if session.unanswered_since_us:
            self._talking[number] = watch
        self._resume(session, number)
        self.rebalancer_port(lambda rebalancer: self._stands_for(rebalancer, session, number, True, None))
        known = self._form_servers.get(number)
        if known is None or self._as_it_takes(known).state is not BackendState.READY:
            self._move(session.id, MoveReason.DRAINING)

    def _resume(self, session: FormSession, number: int) -> None:
        self._feed(
            ConnectionResumed(
                session.id,
                session.request_class,
                number,
                session.key,
                session.group,
                session.tenant,
                session.load_hint,
            )
        )

    def _hand_over(self, session: FormSession) -> None:
        """Hands a standing session to the successor, if there is one. Whom a drain sends away, the node's or
        its form server's, is moved from here: its time is under way.
        """
        if (
            self._send_transfer is None
            or session.move_reason
            or ShutdownReason.DRAIN in self.shutdown
            or session.placement is None
        ):
            return
        known = self._form_servers.get(session.placement.form_server.number)
        if known is not None and self._as_it_takes(known).state is BackendState.READY:
            session.client.transfer(self._send_transfer)

    def _succeeded(self, send: SendTransfer | None) -> None:
        self._send_transfer = send
        if send is not None:
            self._leave(ShutdownReason.SUCCEEDED)
            for session in self._standing():
                self._hand_over(session)
        elif self.shutdown.cancel(ShutdownReason.SUCCEEDED):
            self._log("successor-lost", sessions=len(self._standing()))

    def _predecessor_holds(self, held: ProcessLoad | None) -> None:
        self._tier.predecessor = held
        self._feed(self._tier.others_hold(self._now))

    def _staff_said_elsewhere(self, kind: str, content: Any) -> None:
        match kind, content:
            case "hand", [str(name), bool(out)]:
                self._hand(name, out)
            case "drain", bool(on):
                self._drain(on)

    def _leave(self, reason: ShutdownReason) -> None:
        if self.shutdown.begin(reason, self._now):
            self.rebalancer_port(lambda rebalancer: rebalancer.leave())
            self._log("leaving", reason=reason.value, sessions=len(self._standing()))

    def _standing(self) -> list[FormSession]:
        return [s for w in self._watches.values() for s in w.sessions.values() if s.move_reason is None]

    def _send_away(self) -> None:
        """The moves are spread, so that the clients do not all knock at the neighbours at once."""
        standing = self._standing()
        for session in standing[: self.shutdown.count_moves(self._now, len(standing), SWEEP_US)]:
            self._send_off(session, MoveReason.SHUTDOWN)
        waiting = [s for s in self._sessions.values() if not s.is_answered]
        if self.shutdown.must_answer_pending(self._now):
            for session in waiting:
                self._end(session)
                self._feed(ClientLeft(session.id))
                session.denial_reason = DenialReason.SHUTDOWN
                if session.may_have_run or session.placement is not None:
                    self._fail(session)
                else:
                    self._refuse(session, 0)
        held = sum(len(w.sessions) for w in self._watches.values())
        self.stopped = self.shutdown.may_exit(self._now, held, len(waiting))
