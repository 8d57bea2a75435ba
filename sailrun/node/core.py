"""The node: its event loop, and the calls by which everything around it reaches it.

The parts of the node are one file each, and run in the event loop alone. Fronts, discovery and the other
nodes make the calls of `Node`; each only posts a command to the queue. The node answers through
`SessionClient` and its outgoing ports, none of which waits.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio

from sailrun.decisions.balancer import Balancer
from sailrun.decisions.events import AttemptOutcome, PeerMessage, ProbeEnded, TimerFired
from sailrun.decisions.settings import Settings
from sailrun.load_gossip.aggregation_rounds import AggregationRounds
from sailrun.node.action_dispatcher import ActionDispatcher
from sailrun.node.backend_list import BackendList
from sailrun.node.clock import Clock, TurnTime, log
from sailrun.node.command_queue import CommandQueue
from sailrun.node.counters import Counters, MetricsSnapshot
from sailrun.node.decision_port import DecisionPort
from sailrun.node.draining import ShutdownController
from sailrun.node.fleet_load import FleetLoadExchange
from sailrun.node.form_server_monitor import FormServerMonitors
from sailrun.node.form_server_supervisor import FormServerSupervisor
from sailrun.node.operator_commands import OperatorCommands
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
    from sailrun.rebalance.balance import Rebalancer

SWEEP_INTERVAL_US = 100_000
# A form server that anything was received from so lately is not ejected because of others' reports.
RESPONSIVE_US = 10_000_000


class Node:
    """One node. `run` drives it by the clock; whoever keeps the time himself calls `start`, and then `turn`
    whenever `due_us` has come or a tick after `wake` was called.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        known: ServerListUpdate,
        log: EventLog = log,
        predecessor: NodeSnapshot | None = None,
    ) -> None:
        """`known`: the list of form servers to begin with. `predecessor`: the state of the process
        that this one succeeds.
        """
        self.settings, self.clock = settings, clock
        self.discovery: ServiceDiscovery | None = None
        self.peer_transport: PeerTransport | None = None
        self.health_checker: HealthChecker | None = None
        self.stopped = False
        self._known, self._predecessor = known, predecessor
        self._turn = TurnTime(clock.now_us())
        self._sweep_us = self._turn.now_us + SWEEP_INTERVAL_US
        objectives = [c.message_objective_us for c in settings.classes if c.message_objective_us > 0]
        self._latency_threshold_us = min(objectives) / 3 if objectives else 0.0
        # From what latency on form servers report it, in milliseconds; 0: they never do.
        self.reported_delay_threshold_ms = (
            self._latency_threshold_us / 1000 if settings.reports_delay else 0.0
        )
        self.counters = Counters(c.name for c in settings.classes)
        # The reasons for which all clients are sent away.
        self.shutdown = ShutdownPlans(max(c.deadline_us for c in settings.classes))
        self.rebalancer_port = RebalancerPort(self._turn, log)
        self._queue, self._timers = CommandQueue(), TimerQueue()
        self._balancer = Balancer(settings, seed, self._turn.now_us)
        self._decisions = DecisionPort(self._balancer, self._turn, log)
        self._outlier_gossip = OutlierGossip(self._balancer, log)
        self._connect_parts(seed, log)

    def _connect_parts(self, seed: int, log: EventLog) -> None:
        """Makes the parts that call others, each after those that it calls."""
        turn, decisions, plans, port = self._turn, self._decisions, self.shutdown, self.rebalancer_port
        self._monitors = monitors = FormServerMonitors(self.clock)
        self._backends = backends = BackendList(turn, decisions, port, log)
        self._shutdown_controller = shutdown = ShutdownController(turn, plans, monitors, port, log)
        self._successor = successor = SuccessorTransfer(backends, monitors, plans, shutdown)
        self._sessions = sessions = SessionManager(
            turn, self._queue, decisions, backends, monitors, successor, port, self.counters, log
        )
        connect_timeout_us = self.settings.connect_timeout_us
        decisions.connect(
            ActionDispatcher(turn, sessions, backends, self._timers, self, connect_timeout_us, log)
        )
        self._supervisor = FormServerSupervisor(
            turn, monitors, sessions, backends, decisions, self._latency_threshold_us, log
        )
        self._drainer = SessionDrainer(turn, plans, monitors, sessions, SWEEP_INTERVAL_US)
        self._operator = OperatorCommands(backends, plans, shutdown, decisions, port, log)
        rounds = self._make_rounds(seed)
        self._fleet_load = FleetLoadExchange(rounds, turn, self._balancer, decisions, plans, self)
        self._status = StatusReporter(
            turn, sessions, monitors, backends, self._fleet_load, self.counters, log
        )

    def _make_rounds(self, seed: int) -> AggregationRounds | None:
        settings = self.settings
        if settings.peer_messages and settings.instances > 1:
            return AggregationRounds(settings.index, settings.instances, seed, self._turn.now_us)
        return None

    # ------------------------------------------------------------------ the event loop

    @property
    def wake(self) -> Callable[[], None]:
        """Called when a command was posted to the empty queue; set by whoever drives the node."""
        return self._queue.wake

    @wake.setter
    def wake(self, wake: Callable[[], None]) -> None:
        self._queue.wake = wake

    async def run(self) -> None:
        """Runs until a shutdown was begun and all clients have been sent away."""
        self.start()
        while not self.stopped:
            called = anyio.Event()
            self.wake = called.set
            with anyio.CancelScope(deadline=self.clock.moment(self.due_us())):
                if not self._queue:
                    await called.wait()
                # What comes in within a tick belongs together, as when a form server's process dies and
                # all its connections break at once.
                await anyio.sleep_until(self.clock.moment(self.clock.now_us() + self.settings.tick_us))
            self.turn(self.clock.now_us())

    def start(self) -> None:
        """Takes over the list of form servers and a predecessor's state; called once, before any turn."""
        self._backends.update(self._known)
        if self._predecessor is not None:
            for name in sorted(self._predecessor.excluded):
                self._operator.apply_override(name, True)
            if self._predecessor.decisions is not None:
                self._decisions.feed(self._predecessor.decisions)
            if self._predecessor.is_draining:
                self._operator.set_draining(True)

    def due_us(self) -> int:
        """When a turn is due even if no command is posted, in Unix microseconds."""
        due_us = self._timers.due_us()
        return min(
            self._sweep_us,
            self._fleet_load.due_us() or self._sweep_us,
            due_us if due_us is not None else self._sweep_us,
        )

    def turn(self, now_us: int) -> None:
        """Carries out all commands that were posted, and everything whose time has come."""
        self._turn.now_us = now_us
        self._queue.run()
        while (token := self._timers.pop_due(now_us)) is not None:
            self._decisions.feed(TimerFired(token))
        self._fleet_load.run_round_if_due()
        if now_us >= self._sweep_us:
            self._sweep_us = now_us + SWEEP_INTERVAL_US
            self._sweep()

    def _sweep(self) -> None:
        self._supervisor.sweep()
        self.rebalancer_port.run(self._balancer, self._sessions.move, self)
        self._status.log_if_due()
        if self.shutdown:
            self.stopped = self._drainer.run_step()

    # ------------------------------------------------------------------ calls of the fronts

    def request_session(self, session: FormSession) -> None:
        """A client requests a form session; one final answer is owed by its deadline."""
        self._queue.post(self._sessions.on_request, session)

    def connection_opened(self, session: FormSession, placement: Placement, latency_us: int) -> None:
        """An attempt has succeeded: its session is established, `latency_us` after it began."""
        self._queue.post(self._sessions.on_established, session, placement, latency_us)

    def request_written(self) -> None:
        """An attempt's request has gone out to its form server, to the last byte."""
        self._queue.post(self.counters.on_request_written)

    def attempt_ended(self, session: FormSession, placement: Placement, outcome: AttemptOutcome) -> None:
        """An attempt has ended, or the connection that it established."""
        self._queue.post(self._sessions.on_attempt_ended, session, placement, outcome)

    def client_left(self, session: FormSession) -> None:
        """The client has gone before its session was established."""
        self._queue.post(self._sessions.on_client_left, session)

    def report_load(self, session: FormSession, load: float) -> None:
        """The form server has reported the session's load, in microseconds of work a second."""
        self._queue.post(self._sessions.on_load_reported, session, load)

    def report_delay(self, session: FormSession, latency_ms: float) -> None:
        """The session's form server has reported the latency of messages there."""
        self._queue.post(self._supervisor.on_latency_reported, session, latency_ms)

    def may_begin(self, session: FormSession, placement: Placement) -> bool:
        """Whether an attempt may still begin, checked right before its first byte leaves.

        Since it was decided on, its form server may have begun to drain or have moved to another address, or
        the time for a retry may have run out.
        """
        if session.resumed_at is not None:
            return True
        if self.clock.now_us() >= placement.begin_by_us:
            return False
        return self._backends.may_receive(placement.form_server)

    def line_forwarded(self, session: FormSession) -> None:
        """A client's line went to its form server."""
        self._monitors.on_line_forwarded(session)

    def bytes_received(self, session: FormSession) -> None:
        """Anything at all came from the session's form server."""
        self._monitors.on_bytes_received(session)

    def line_answered(self, session: FormSession) -> None:
        """The form server answered the oldest of a client's unanswered lines."""
        self._monitors.on_line_answered(session)

    # ------------------------------------------------------------------ calls of the outgoing ports

    def server_list_updated(self, update: ServerListUpdate) -> None:
        """Discovery has brought the list of form servers, or changes of it."""
        self._queue.post(self._backends.update, update)

    def discovery_failed(self, why: str) -> None:
        """The list of form servers could not be had."""
        self._queue.post(self._backends.on_discovery_failed, why)

    def peer_message_received(self, peer: int, content: bytes) -> None:
        """A datagram has come from the node of this index."""
        self._queue.post(self._receive_peer_message, peer, content)

    def probe_ended(self, form_server: FormServer, outcome: AttemptOutcome, latency_us: int) -> None:
        """A health check has ended, `latency_us` after it began."""
        self._queue.post(self._decisions.feed, ProbeEnded(form_server.number, outcome, latency_us))

    # ------------------------------------------------------------------ calls of operators and the service

    def set_rebalancer(self, rebalancer: Rebalancer | None) -> None:
        """Sets who moves clients for balance from now on; None: nobody."""
        self._queue.post(self._set_rebalancer, rebalancer)

    def begin_shutdown(self) -> None:
        """A planned restart begins: answers go on, the moves are spread, and the process ends in time."""
        self._queue.post(self._shutdown_controller.begin, ShutdownReason.RESTART)

    def configuration_reloaded(self, is_usable: bool) -> None:
        """A new configuration was taken over, or was not usable."""
        self._queue.post(self.counters.on_configuration_reloaded, is_usable)

    def read_metrics(self, reply: Reply[MetricsSnapshot]) -> None:
        """Replies with the counters and gauges."""
        self._queue.post(lambda: reply(self._read_metrics()))

    def check_ready(self, reply: Reply[bool]) -> None:
        """Replies whether this node accepts clients, and not only answers them."""
        self._queue.post(lambda: reply(not self.shutdown and len(self._backends) > 0))

    def set_operator_override(self, name: str, is_excluded: bool, reply: Reply[bool]) -> None:
        """Excludes a form server, or puts it back; replies False where none of that name is known."""
        self._queue.post(lambda: reply(self._operator.set_override(name, is_excluded)))

    def list_operator_overrides(self, reply: Reply[frozenset[str]]) -> None:
        """Replies with the names of the form servers that operators have excluded."""
        self._queue.post(lambda: reply(self._backends.excluded))

    def has_form_server(self, name: str, reply: Reply[bool]) -> None:
        """Replies whether a form server of that name was listed here, or is excluded by an operator."""
        self._queue.post(lambda: reply(self._operator.is_known(name)))

    @property
    def is_accepting(self) -> bool:
        """Whether whoever spreads the clients over the nodes should count on this one."""
        return ShutdownReason.DRAIN not in self.shutdown

    def set_draining(self, is_draining: bool, reply: Reply[bool]) -> None:
        """Sends all clients away, and accepts none until that is ended; replies True."""
        self._queue.post(lambda: reply(self._operator.set_draining(is_draining)))

    # ------------------------------------------------------------------ calls for the nodes of a fleet

    def set_move_rate_share(self, share: float, reply: Reply[bool]) -> None:
        """Sets this node's share of the fleet's rate of moves, 0 to 1; replies whether it moves clients."""
        self._queue.post(lambda: reply(self.rebalancer_port.set_rate_share(share)))

    def report_outliers(self, reply: Reply[OutlierReport]) -> None:
        """Replies with the form servers that this node has ejected itself."""
        self._queue.post(lambda: reply(self._report_outliers()))

    def receive_peer_outliers(self, ejected_for_us: dict[str, int], mean_setup_us: int) -> None:
        """Takes the form servers by name that enough others have ejected, with for how much longer in
        microseconds, and what a set-up usually takes them.
        """
        self._queue.post(self._receive_peer_outliers, ejected_for_us, mean_setup_us)

    # ------------------------------------------------------------------ calls between two processes

    @property
    def on_operator_command(self) -> Callable[[str, object], None]:
        """Called with each operator command that the other process, if there is one, is to mirror."""
        return self._operator.mirror

    @on_operator_command.setter
    def on_operator_command(self, mirror: Callable[[str, object], None]) -> None:
        self._operator.mirror = mirror

    def mirror_operator_command(self, command: str, content: object) -> None:
        """Carries out what the other process was commanded, as it stated it to `on_operator_command`."""
        self._queue.post(self._operator.apply_mirrored, command, content)

    def snapshot_state(self, reply: Reply[NodeSnapshot]) -> None:
        """Replies with the state for a successor, to which the slow-start allowance then belongs."""
        self._queue.post(lambda: reply(self._snapshot_state()))

    def report_held_load(self, reply: Reply[ProcessLoad]) -> None:
        """Replies with the load of the sessions established here."""
        self._queue.post(lambda: reply(self._fleet_load.local_load()))

    def set_successor(self, send: SendTransfer | None) -> None:
        """A successor serves the clients from now on, and established sessions are sent to it by `send`;
        None: it is gone, and they are this process's again.
        """
        self._queue.post(self._successor.set_successor, send)

    def adopt_session(self, session: FormSession, placement: Placement) -> None:
        """Takes over a session that was established by the predecessor."""
        self._queue.post(self._sessions.adopt, session, placement)

    def update_predecessor_load(self, load: ProcessLoad | None) -> None:
        """The load of the sessions that the predecessor still serves; None: it has ended."""
        self._queue.post(self._fleet_load.set_predecessor_load, load)

    # ------------------------------------------------------------------ what the calls do in the event loop

    def _set_rebalancer(self, rebalancer: Rebalancer | None) -> None:
        backends, sessions = self._backends.effective_backends(), self._monitors.iterate_sessions()
        self.rebalancer_port.replace(rebalancer, backends, sessions, bool(self.shutdown))

    def _receive_peer_message(self, peer: int, content: bytes) -> None:
        if not self._fleet_load.receive(peer, content):
            self.rebalancer_port.on_peer_message(peer, content)
            self._decisions.feed(PeerMessage(peer, content))

    def _read_metrics(self) -> MetricsSnapshot:
        listed, avoided = self._backends.list_present(), self._balancer.avoided_backends(self._turn.now_us)
        return self.counters.snapshot(len(self._sessions), len(listed), len(avoided))

    def _report_outliers(self) -> OutlierReport:
        return self._outlier_gossip.local_report(self._turn.now_us, self._backends.form_servers)

    def _receive_peer_outliers(self, ejected_for_us: dict[str, int], mean_setup_us: int) -> None:
        now_us = self._turn.now_us
        responsive = self._monitors.list_heard_from(now_us - RESPONSIVE_US)
        by_number = {server_number(name): left_us for name, left_us in ejected_for_us.items()}
        event = self._outlier_gossip.merge_reports(now_us, by_number, responsive, mean_setup_us)
        if event is not None:
            self._decisions.feed(event)

    def _snapshot_state(self) -> NodeSnapshot:
        observed = self._balancer.snapshot()
        # From now on the successor may send there as well, and neither sees what the other does.
        self._balancer.forfeit_slow_start_allowance(self._turn.now_us)
        is_draining = ShutdownReason.DRAIN in self.shutdown
        return NodeSnapshot(self._backends.snapshot(), self._backends.excluded, is_draining, observed)
