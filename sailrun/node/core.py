"""The node: its event loop, and the methods through which the surrounding code calls it.

Each part of the node has its own file and runs only in the event loop. Fronts, discovery and the other nodes
call the methods of `Node`, which only post a command to the queue. The node responds through `SessionClient`
and its outgoing ports, none of which blocks.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import anyio

from sailrun.decisions.balancer import Balancer
from sailrun.decisions.events import AttemptOutcome, PeerMessage, ProbeEnded, TimerFired
from sailrun.decisions.settings import Settings
from sailrun.load_gossip.aggregation_rounds import AggregationRounds
from sailrun.node.action_dispatcher import ActionDispatcher
from sailrun.node.backend_list import BackendList
from sailrun.node.clock import Clock, LoopTime, log
from sailrun.node.command_queue import CommandQueue
from sailrun.node.counters import Counters, InputSource, MetricsSnapshot
from sailrun.node.decision_port import DecisionPort
from sailrun.node.draining import ShutdownController
from sailrun.node.fault_barrier import FaultBarrier
from sailrun.node.fleet_load import FleetLoadExchange
from sailrun.node.form_server_monitor import FormServerMonitors
from sailrun.node.form_server_supervisor import FormServerSupervisor
from sailrun.node.operator_commands import MirrorCommand, OperatorCommands
from sailrun.node.outlier_gossip import OutlierGossip, OutlierReport
from sailrun.node.ports import EventLog, HealthChecker, PeerTransport, ServiceDiscovery
from sailrun.node.queries import Reply
from sailrun.node.rebalancer_port import RebalancerPort
from sailrun.node.restart_state import NodeSnapshot, ProcessLoad
from sailrun.node.session import FormServer, FormSession, Placement, ServerListUpdate, server_number
from sailrun.node.session_drainer import SessionDrainer
from sailrun.node.session_transfer import SendTransfer
from sailrun.node.sessions import SessionManager
from sailrun.node.shutdown import ShutdownPlans, ShutdownReason
from sailrun.node.status import StatusReporter
from sailrun.node.successor_transfer import SuccessorTransfer
from sailrun.node.timers import TimerQueue

if TYPE_CHECKING:
    from sailrun.rebalance.rebalancer import Rebalancer

SWEEP_INTERVAL_US = 100_000
# A form server from which anything was received within this time is not ejected because of other nodes'
# reports.
RESPONSIVE_US = 10_000_000


class Node:
    """One node. `run` drives it in real time. A caller that controls the time itself calls `start` once, and
    then `run_once` whenever `due_us` is reached, or one tick after `wake` was called.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        initial_list: ServerListUpdate,
        log: EventLog = log,
        predecessor: NodeSnapshot | None = None,
    ) -> None:
        """`initial_list`: the endpoint list at the start. `predecessor`: the state of the process that this
        one replaces.
        """
        self.settings, self.clock = settings, clock
        self.discovery: ServiceDiscovery | None = None
        self.peer_transport: PeerTransport | None = None
        self.health_checker: HealthChecker | None = None
        self.stopped = False
        self._initial_list, self._predecessor = initial_list, predecessor
        self._loop_time = LoopTime(clock.now_us())
        self._sweep_us = self._loop_time.now_us + SWEEP_INTERVAL_US
        objectives = [c.message_objective_us for c in settings.classes if c.message_objective_us > 0]
        self._latency_threshold_us = min(objectives) / 3 if objectives else 0.0
        # Form servers report their message latency from this value on, in milliseconds; 0: they never do.
        self.reported_delay_threshold_ms = (
            self._latency_threshold_us / 1000 if settings.reports_delay else 0.0
        )
        self.counters = Counters(c.name for c in settings.classes)
        # The reasons for which all clients are currently moved away.
        self.shutdown = ShutdownPlans(max(c.deadline_us for c in settings.classes))
        self.rebalancer_port = RebalancerPort(self._loop_time, log)
        self._queue, self._timers = CommandQueue(), TimerQueue()
        self._balancer = Balancer(settings, seed, self._loop_time.now_us)
        # Each step of the event loop, and each task of the surrounding code, runs behind the barrier.
        self.barrier = FaultBarrier(self.counters, clock.now_us, log)
        self._queue.on_fault = self._on_command_fault
        self._rounds_suspended_until_us = 0
        self._decisions = DecisionPort(self._balancer, self._loop_time, self.barrier)
        self._outlier_gossip = OutlierGossip(self._balancer, log)
        self._connect_parts(seed, log)

    def _connect_parts(self, seed: int, log: EventLog) -> None:
        """Creates the parts that call other parts, each after the parts that it calls."""
        loop_time, decisions, plans, port, barrier = (
            self._loop_time,
            self._decisions,
            self.shutdown,
            self.rebalancer_port,
            self.barrier,
        )
        self._monitors = monitors = FormServerMonitors(self.clock)
        self._backends = backends = BackendList(loop_time, decisions, port, log)
        self._shutdown_controller = shutdown = ShutdownController(loop_time, plans, monitors, port, log)
        self._successor = successor = SuccessorTransfer(backends, monitors, plans, shutdown)
        self._sessions = sessions = SessionManager(
            loop_time,
            self._queue,
            decisions,
            backends,
            monitors,
            successor,
            port,
            self.counters,
            barrier,
            log,
        )
        connect_timeout_us = self.settings.connect_timeout_us
        decisions.connect(
            ActionDispatcher(loop_time, sessions, backends, self._timers, self, connect_timeout_us, log)
        )
        self._supervisor = FormServerSupervisor(
            loop_time, monitors, sessions, backends, decisions, self._latency_threshold_us, barrier, log
        )
        self._drainer = SessionDrainer(loop_time, plans, monitors, sessions, SWEEP_INTERVAL_US, barrier)
        self._operator = OperatorCommands(backends, plans, shutdown, decisions, port, log)
        rounds = self._make_rounds(seed)
        self._fleet_load = FleetLoadExchange(rounds, loop_time, self._balancer, decisions, plans, self)
        self._status = StatusReporter(
            loop_time, sessions, monitors, backends, self._fleet_load, self.counters, log
        )

    def _make_rounds(self, seed: int) -> AggregationRounds | None:
        settings = self.settings
        if settings.peer_messages and settings.instances > 1:
            return AggregationRounds(settings.index, settings.instances, seed, self._loop_time.now_us)
        return None

    # ------------------------------------------------------------------ the event loop

    @property
    def wake(self) -> Callable[[], None]:
        """Called when a command was posted to the empty queue; set by the code that drives the node."""
        return self._queue.wake

    @wake.setter
    def wake(self, wake: Callable[[], None]) -> None:
        self._queue.wake = wake

    async def run(self) -> None:
        """Runs until a shutdown has begun and all clients have been moved away."""
        self.start()
        while not self.stopped:
            woken = anyio.Event()
            self.wake = woken.set
            with anyio.CancelScope(deadline=self.clock.to_deadline(self.due_us())):
                if not self._queue:
                    await woken.wait()
                # Collects the commands of one tick, so that related ones are processed together: for example,
                # when a form server's process dies, all its connections break at once.
                await anyio.sleep_until(self.clock.to_deadline(self.clock.now_us() + self.settings.tick_us))
            self.run_once(self.clock.now_us())

    def start(self) -> None:
        """Applies the initial endpoint list and the state of a predecessor; called once, before the first
        iteration.
        """
        self._backends.update(self._initial_list)
        if self._predecessor is not None:
            self._operator.restore(self._predecessor.excluded, self._predecessor.is_draining)
            if self._predecessor.decisions is not None:
                self._decisions.feed(self._predecessor.decisions)

    def due_us(self) -> int:
        """Returns when the next iteration is due even if no command is posted, in Unix microseconds."""
        due_us = self._timers.due_us()
        round_us = self._fleet_load.due_us() or self._sweep_us
        next_tick_us = self._loop_time.now_us + self.settings.tick_us
        return min(
            next_tick_us if self._successor.has_waiting else self._sweep_us,
            self._sweep_us,
            max(round_us, self._rounds_suspended_until_us),
            due_us if due_us is not None else self._sweep_us,
        )

    def run_once(self, now_us: int) -> None:
        """Runs one iteration: executes all posted commands and everything that is due.

        An exception ends only the step that raised it. `DecisionPort.feed` confines those of timers.
        """
        self._loop_time.now_us = now_us
        self._queue.run()
        self.barrier.run("transfer", self._successor.offer_waiting)
        while (token := self._timers.pop_due(now_us)) is not None:
            self._decisions.feed(TimerFired(token))
        if now_us >= self._rounds_suspended_until_us:
            self._run_round_if_due()
        if now_us >= self._sweep_us:
            self._sweep_us = now_us + SWEEP_INTERVAL_US
            self._sweep()

    def _run_round_if_due(self) -> None:
        if not self.barrier.run("round", self._fleet_load.run_round_if_due):
            # A round that failed may still be due: without a pause the loop would never wait again.
            self._rounds_suspended_until_us = self._loop_time.now_us + SWEEP_INTERVAL_US

    def _sweep(self) -> None:
        self.barrier.run("monitors", self._supervisor.sweep)
        self.barrier.run("rebalance", self.rebalancer_port.run, self._balancer, self._sessions.move, self)
        self.barrier.run("status", self._status.log_if_due)
        if self.shutdown:
            self.barrier.run("drain", self._run_drain_step)

    def _run_drain_step(self) -> None:
        self.stopped = self._drainer.run_step()

    def _on_command_fault(self, arguments: tuple[Any, ...]) -> None:
        """Confines the exception of a command to the session that it concerns."""
        self.barrier.record("command")
        for session in arguments:
            if isinstance(session, FormSession):
                self.barrier.run("abandon", self._sessions.abandon_session, session)

    # ------------------------------------------------------------------ calls of the fronts

    def request_session(self, session: FormSession) -> None:
        """Requests a form session for a client; the node gives exactly one final answer by the deadline."""
        self._queue.post(self._sessions.on_request, session)

    def connection_opened(self, session: FormSession, placement: Placement, latency_us: int) -> None:
        """An attempt has succeeded: its session is established, `latency_us` after it began."""
        self._queue.post(self._sessions.on_established, session, placement, latency_us)

    def request_written(self) -> None:
        """An attempt's request has been written completely to its form server."""
        self._queue.post(self.counters.on_request_written)

    def attempt_ended(self, session: FormSession, placement: Placement, outcome: AttemptOutcome) -> None:
        """An attempt has ended, or the connection that it established."""
        self._queue.post(self._sessions.on_attempt_ended, session, placement, outcome)

    def client_left(self, session: FormSession) -> None:
        """The client has left before its session was established."""
        self._queue.post(self._sessions.on_client_left, session)

    def report_load(self, session: FormSession, load: float) -> None:
        """The form server has reported the session's load, in microseconds of work a second."""
        self._queue.post(self._sessions.on_load_reported, session, load)

    def report_delay(self, session: FormSession, latency_ms: float) -> None:
        """The session's form server has reported its message latency."""
        self._queue.post(self._supervisor.on_latency_reported, session, latency_ms)

    def may_begin(self, session: FormSession, placement: Placement) -> bool:
        """Returns whether an attempt may still begin, checked immediately before its first byte is sent.

        Since the decision, the form server may have begun to drain or have changed its address, or the time
        for a retry may have expired. An attempt to resume a session may always begin.
        """
        if session.resumed_at is not None:
            return True
        if self.clock.now_us() >= placement.begin_by_us:
            return False
        return self._backends.may_receive(placement.form_server)

    def line_forwarded(self, session: FormSession) -> None:
        """A client's line was forwarded to its form server."""
        self._monitors.on_line_forwarded(session)

    def bytes_received(self, session: FormSession) -> None:
        """Some bytes were received from the session's form server, whether a complete line or not."""
        self._monitors.on_bytes_received(session)

    def line_answered(self, session: FormSession) -> None:
        """The form server answered the oldest of a client's unanswered lines."""
        self._monitors.on_line_answered(session)

    # ------------------------------------------------------------------ calls of the outgoing ports

    def server_list_updated(self, update: ServerListUpdate) -> None:
        """Discovery has delivered the endpoint list, or changes to it."""
        self._queue.post(self._backends.update, update)

    def discovery_failed(self, why: str) -> None:
        """Discovery could not get the endpoint list."""
        self._queue.post(self._backends.on_discovery_failed, why)

    def peer_message_received(self, peer: int, content: bytes) -> None:
        """A datagram was received from the node with this index."""
        self._queue.post(self._receive_peer_message, peer, content)

    def probe_ended(self, form_server: FormServer, outcome: AttemptOutcome, latency_us: int) -> None:
        """A health check has ended, `latency_us` after it began."""
        self._queue.post(self._decisions.feed, ProbeEnded(form_server.number, outcome, latency_us))

    # ------------------------------------------------------------------ calls of operators and the service

    def set_rebalancer(self, rebalancer: Rebalancer | None) -> None:
        """Sets the rebalancer that moves clients from now on; None: no client is moved for balance."""
        self._queue.post(self._set_rebalancer, rebalancer)

    def begin_shutdown(self) -> None:
        """Begins a planned restart: requests are still answered, the moves are spread over time, and the
        process exits by its deadline.
        """
        self._queue.post(self._shutdown_controller.begin, ShutdownReason.RESTART)

    def input_rejected(self, source: InputSource) -> None:
        """Input was not valid or out of range; whoever received it has answered or ignored it."""
        self.counters.rejected_inputs[source] += 1

    def configuration_reloaded(self, is_usable: bool) -> None:
        """A new configuration was applied, or was not usable."""
        self._queue.post(self.counters.on_configuration_reloaded, is_usable)

    def read_metrics(self, reply: Reply[MetricsSnapshot]) -> None:
        """Replies with the counters and gauges."""
        self._queue.post(lambda: reply(self._read_metrics()))

    def check_ready(self, reply: Reply[bool]) -> None:
        """Replies whether this node accepts new clients: it is not moving its clients away, and at least one
        form server was ever listed.
        """
        self._queue.post(lambda: reply(not self.shutdown and len(self._backends) > 0))

    def set_operator_override(self, name: str, is_excluded: bool, reply: Reply[bool]) -> None:
        """Excludes a form server or puts it back; replies False if `has_form_server` would."""
        self._queue.post(lambda: reply(self._operator.set_override(name, is_excluded)))

    def list_operator_overrides(self, reply: Reply[frozenset[str]]) -> None:
        """Replies with the names of the form servers that operators have excluded."""
        self._queue.post(lambda: reply(self._backends.excluded))

    def has_form_server(self, name: str, reply: Reply[bool]) -> None:
        """Replies whether a form server of that name was ever listed here or is excluded by an operator."""
        self._queue.post(lambda: reply(self._operator.is_known(name)))

    @property
    def is_accepting(self) -> bool:
        """Whether a load balancer in front of the nodes should send clients to this one."""
        return ShutdownReason.DRAIN not in self.shutdown

    def set_draining(self, is_draining: bool, reply: Reply[bool]) -> None:
        """Begins or ends a drain: all clients are moved away, and `is_accepting` is False until it ends.
        Replies True.
        """
        self._queue.post(lambda: reply(self._operator.set_draining(is_draining)))

    # ------------------------------------------------------------------ calls for the nodes of a fleet

    def set_move_rate_share(self, share: float, reply: Reply[bool]) -> None:
        """Sets this node's share of the fleet's move rate, 0 to 1; replies whether a rebalancer is active."""
        self._queue.post(lambda: reply(self.rebalancer_port.set_rate_share(share)))

    def report_outliers(self, reply: Reply[OutlierReport]) -> None:
        """Replies with the form servers that this node has ejected itself."""
        self._queue.post(lambda: reply(self._report_outliers()))

    def receive_peer_outliers(self, ejected_for_us: dict[str, int], mean_setup_us: int) -> None:
        """Receives the form servers that enough other nodes have ejected, by name with the remaining ejection
        time in microseconds, and the mean set-up time of those nodes.
        """
        self._queue.post(self._receive_peer_outliers, ejected_for_us, mean_setup_us)

    # ------------------------------------------------------------------ calls between two processes

    @property
    def on_operator_command(self) -> MirrorCommand:
        """Called with each operator command that the node's other processes, if there are any, have to
        mirror, in the order of their execution and before they are answered.
        """
        return self._operator.mirror

    @on_operator_command.setter
    def on_operator_command(self, mirror: MirrorCommand) -> None:
        self._operator.mirror = mirror

    def mirror_operator_command(self, command: str, content: object, origin: object) -> None:
        """Executes a command that another process received and passed to its `on_operator_command`. `origin`:
        what it was received from.
        """
        self._queue.post(self._operator.apply_mirrored, command, content, origin)

    def snapshot_state(self, reply: Reply[NodeSnapshot]) -> None:
        """Replies with the state for a successor, and transfers the slow-start allowance to it. No command is
        executed between the snapshot and the reply.
        """
        self._queue.post(lambda: reply(self._snapshot_state()))

    def report_local_load(self, reply: Reply[ProcessLoad]) -> None:
        """Replies with the load of the sessions established here."""
        self._queue.post(lambda: reply(self._fleet_load.local_load()))

    def set_successor(self, send: SendTransfer | None) -> None:
        """Begins the handover to a successor, which accepts the clients from now on; `send` transfers
        established sessions to it. None: the successor is gone, and this process serves the clients again.
        """
        self._queue.post(self._successor.set_successor, send)

    def adopt_session(self, session: FormSession, placement: Placement) -> None:
        """Takes over a session that was established by the predecessor."""
        self._queue.post(self._sessions.adopt, session, placement)

    def update_predecessor_load(self, load: ProcessLoad | None) -> None:
        """Sets the load of the sessions that the predecessor still serves; None: it has ended."""
        self._queue.post(self._fleet_load.set_predecessor_load, load)

    # ------------------------------------------------------------------ handlers that run in the event loop

    def _set_rebalancer(self, rebalancer: Rebalancer | None) -> None:
        backends, sessions = self._backends.effective_backends(), self._monitors.iterate_sessions()
        self.rebalancer_port.replace(rebalancer, backends, sessions, bool(self.shutdown))

    def _receive_peer_message(self, peer: int, content: bytes) -> None:
        if not self._fleet_load.receive(peer, content):
            self.rebalancer_port.on_peer_message(peer, content)
            self._decisions.feed(PeerMessage(peer, content))

    def _read_metrics(self) -> MetricsSnapshot:
        listed, avoided = (
            self._backends.list_present(),
            self._balancer.avoided_backends(self._loop_time.now_us),
        )
        return self.counters.snapshot(len(self._sessions), len(listed), len(avoided))

    def _report_outliers(self) -> OutlierReport:
        return self._outlier_gossip.local_report(self._loop_time.now_us, self._backends.form_servers)

    def _receive_peer_outliers(self, ejected_for_us: dict[str, int], mean_setup_us: int) -> None:
        now_us = self._loop_time.now_us
        responsive = self._monitors.list_responsive(now_us - RESPONSIVE_US)
        by_number = {server_number(name): remaining_us for name, remaining_us in ejected_for_us.items()}
        event = self._outlier_gossip.merge_reports(now_us, by_number, responsive, mean_setup_us)
        if event is not None:
            self._decisions.feed(event)

    def _snapshot_state(self) -> NodeSnapshot:
        observed = self._balancer.snapshot()
        # From now on the successor may also make attempts at form servers in slow start, and neither process
        # counts the attempts of the other.
        self._balancer.forfeit_slow_start_allowance(self._loop_time.now_us)
        is_draining = ShutdownReason.DRAIN in self.shutdown
        return NodeSnapshot(self._backends.snapshot(), self._backends.excluded, is_draining, observed)
