"""The world in virtual time: real cores, decision modules and rebalancers, with many nodes in one process.

Everything happens in callbacks of the scheduler, and all randomness comes from the seed. The same seed gives
the same records byte for byte, so a failing seed can be run again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any, cast

from sailrun.config import read_settings
from sailrun.decisions.events import AttemptOutcome, ListKind
from sailrun.decisions.settings import Settings
from sailrun.hot_restart.handover import LOAD_REPORT_INTERVAL_US
from sailrun.lab.checks import Check
from sailrun.lab.clients import Client
from sailrun.lab.form_servers import FormServerModel, HeldConnection, Phase
from sailrun.lab.reference_policy import DelayedView, ReferenceNode
from sailrun.lab.scheduler import BEGIN_US, Scheduler, VirtualClock
from sailrun.lab.settings import SECOND, WorldSettings
from sailrun.lab.world import MOVE_DELAY_US, NODE_RESTART_US, RegistryModel, Slot, World
from sailrun.node.core import Node
from sailrun.node.restart_state import NodeSnapshot
from sailrun.node.session import FormSession, Placement, ServerListUpdate
from sailrun.node.session_transfer import SendTransfer
from sailrun.rebalance.rebalancer import ChooseElsewhere, Orders, Rebalancer
from sailrun.rebalance.settings import RebalanceSettings

# Bounds of the delay until a restarted node receives clients again.
ADMISSION_DELAY_US = (300_000, 900_000)
# Interval between a client's lines. On slow form servers each node times one line per second instead.
LINE_INTERVAL_US = 2 * SECOND
# Deadline for establishing a session from before the run.
RESUME_DEADLINE_US = 40 * SECOND
RECORDED_LOG_EVENTS = ("rebalance", "silent", "decision", "fault", "leaving")


class WatchedRebalancer(Rebalancer):
    """The node's rebalancer, which also records the sessions that it moves."""

    moved_sessions: dict[str, int]

    def plan_moves(self, now_us: int, choose_elsewhere: ChooseElsewhere) -> Orders:
        orders = super().plan_moves(now_us, choose_elsewhere)
        for name in orders.moves:
            self.moved_sessions[name] = now_us
        return orders


class ClientConnection:
    """A client's connection to a node. It replaces the socket front as the core's `SessionClient`."""

    def __init__(self, world: VirtualWorld, slot: VirtualSlot, client: Client, session: FormSession) -> None:
        self.world, self.slot, self.client, self.session = world, slot, client, session
        session.client = self
        self.asked_us = world.time.now_us
        self.placement: Placement | None = None
        self.server: FormServerModel | None = None  # the form server of the established session
        self.attempt_number = 0  # number of the current attempt; late events of earlier attempts are ignored
        self.is_finished = self.is_cut_off = False  # is_cut_off: established, but no data passes

    # ------------------------------------------------------------------ SessionClient

    def start_attempt(self, placement: Placement) -> None:
        world = self.world
        now_us = world.time.now_us
        self.attempt_number += 1
        self.placement = placement
        number = placement.form_server.number
        server = world.servers.get(number)
        if self.is_finished:
            self._end_attempt(AttemptOutcome.NOT_SENT)
            return
        if self.session.resumed_at is not None:
            assert server is not None
            self._establish(server, now_us)
            return
        world.rules.attempt_began(now_us, self.session.id, placement.form_server.name)
        net_us = world.net_us(self.slot.zone, server.zone if server else "")
        connect_us = min(world.settings.connect_timeout_us, placement.until_us - now_us)
        if server is not None and not world.can_reach(self.slot, server):
            world.time.after(connect_us, self._failed, self.attempt_number, AttemptOutcome.CONNECT_FAILED)
        elif server is None or server.phase in (Phase.DOWN, Phase.FALLEN):
            world.time.after(
                min(2 * net_us, connect_us), self._failed, self.attempt_number, AttemptOutcome.CONNECT_FAILED
            )
        elif server.phase is Phase.UNRESPONSIVE:
            world.time.after(connect_us, self._failed, self.attempt_number, AttemptOutcome.CONNECT_FAILED)
        elif world.fault_random.random() < world.attempts_reset:
            world.time.after(3 * net_us, self._failed, self.attempt_number, AttemptOutcome.RESET)
        else:
            world.time.after(3 * net_us, self._request_arrived, self.attempt_number, server, now_us, net_us)
            world.time.at(placement.until_us, self._failed, self.attempt_number, AttemptOutcome.TIMED_OUT)

    def cancel_attempt(self, attempt: int) -> None:
        if self.placement is not None and self.placement.attempt == attempt and self.server is None:
            self._end_attempt(AttemptOutcome.CANCELLED)

    def reject(self, retry_after_us: int) -> None:
        self._answer("refused", retry_after_us)

    def fail(self) -> None:
        self._answer("failed", 0)

    def transfer(self, send: SendTransfer) -> None:
        if self.server is not None:
            self.world.transfer(self)

    def move(self) -> None:
        if self.server is None:
            return
        world, client = self.world, self.client
        at = self.server.name
        rebalanced = self.slot.moved_sessions.pop(self.session.id, None) is not None
        cause = self.session.move_reason_text or ""
        world.record_event("move", node=self.slot.index, server=at, text=cause)
        world.record_move(client, cause)
        if rebalanced:
            world.moves += 1
            world.rules.rebalanced(world.time.now_us, client.number, client.last_balance_move_us)
            client.last_balance_move_us = world.time.now_us
            world.moving[client.number] = world.time.now_us
        self.end(AttemptOutcome.CANCELLED)
        world.reconnect_later(client, world.client_random.integer(MOVE_DELAY_US))

    # ------------------------------------------------------------------ an attempt

    def _request_arrived(
        self, attempt_number: int, server: FormServerModel, sent_us: int, net_us: int
    ) -> None:
        """Handles the arrival of the request line at the form server."""
        world = self.world
        if attempt_number != self.attempt_number or not world.can_reach(self.slot, server):
            return
        if server.phase is not Phase.UP:
            self._failed(attempt_number, AttemptOutcome.CONNECT_FAILED)
            return
        if world.fault_random.random() < server.error_share:
            world.time.after(2 * net_us, self._failed, attempt_number, AttemptOutcome.ERROR)
            return
        if world.fault_random.random() < world.answers_lost:
            return
        took_us = server.set_up_us(world.time.now_us, self.client.setup_us)
        world.apply_overload(server)
        if took_us is None:
            world.time.after(net_us, self._failed, attempt_number, AttemptOutcome.REJECTED)
        else:
            world.time.after(
                int(took_us) + net_us,
                self._session_accepted,
                attempt_number,
                server,
                sent_us,
                server.started_us,
            )

    def _session_accepted(
        self, attempt_number: int, server: FormServerModel, sent_us: int, started_us: int
    ) -> None:
        if attempt_number != self.attempt_number or not self.world.can_reach(self.slot, server):
            return
        if server.phase is not Phase.UP or server.started_us != started_us:
            self._failed(attempt_number, AttemptOutcome.RESET)
            return
        self.world.rules.attempt_ended(self.session.id)
        self._establish(server, sent_us)

    def _failed(self, attempt_number: int, outcome: AttemptOutcome) -> None:
        if attempt_number == self.attempt_number and self.server is None:
            self._end_attempt(outcome)

    def _end_attempt(self, outcome: AttemptOutcome) -> None:
        placement, self.placement = self.placement, None
        self.attempt_number += 1
        self.world.rules.attempt_ended(self.session.id)
        if placement is not None and self.slot.node is not None:
            self.slot.node.attempt_ended(self.session, placement, outcome)

    def _establish(self, server: FormServerModel, sent_us: int) -> None:
        assert self.placement is not None and self.slot.node is not None
        world, client, request = self.world, self.client, self.session.id
        now_us = world.time.now_us
        self.attempt_number += 1
        self.server = server
        server.hold(now_us, HeldConnection(request, client.group, client.load, now_us))
        world.count_session(client, server, 1)
        self.slot.node.connection_opened(self.session, self.placement, now_us - sent_us)
        if self.session.resumed_at is None:
            world.answered(self, "served")
            since_us = world.moving.pop(client.number, None)
            if since_us is not None and now_us - since_us < 2 * SECOND and server.in_slow_start(now_us):
                world.rules.arrived_in_slow_start(now_us, client.number, server.name)
        client.is_connected, client.failures = True, 0
        client.request = request
        if client.until_us <= now_us:
            self.end(AttemptOutcome.OK)
            return
        self.slot.node.report_load(self.session, client.load)
        world.time.at(client.until_us, self._session_expired, server)
        world.time.after(world.population.next_load_change_us(), self._change_load, server)

    def _session_expired(self, server: FormServerModel) -> None:
        if self.server is server and server.phase is Phase.UP:
            self.end(AttemptOutcome.OK)
        elif self.server is server:
            self.end(AttemptOutcome.CANCELLED)  # the client leaves a form server that no longer answers

    def _change_load(self, server: FormServerModel) -> None:
        if self.server is not server or server.phase is not Phase.UP or self.slot.node is None:
            return
        load = self.world.population.draw_load(self.client)
        server.change_load(self.world.time.now_us, self.session.id, load)
        self.slot.node.report_load(self.session, load)
        self.world.time.after(self.world.population.next_load_change_us(), self._change_load, server)

    # ------------------------------------------------------------------ end of the session

    def end(self, outcome: AttemptOutcome) -> None:
        """Ends an established session and reports the outcome to its node."""
        if self.server is None:
            return
        if not self.is_cut_off:
            self.world.count_session(self.client, self.server, -1)
        self.server.release(self.world.time.now_us, self.session.id)
        self.server = None
        self.is_finished = True
        self.client.is_connected = False
        self.world.connections.pop(self.session.id, None)
        self.slot.connections.pop(self.session.id, None)
        if self.slot.node is not None and self.placement is not None:
            placement, self.placement = self.placement, None
            self.slot.node.attempt_ended(self.session, placement, outcome)
            self.slot.node.client_left(self.session)

    def send_line(self) -> None:
        """Sends a client's line if the form server is unreachable, so that the line remains unanswered."""
        if self.server is None or self.slot.node is None or self.world.can_reach(self.slot, self.server):
            return
        self.slot.node.line_forwarded(self.session)

    def _answer(self, answer: str, retry_after_us: int) -> None:
        if self.placement is not None:
            self._end_attempt(AttemptOutcome.CANCELLED)
        self.is_finished = True
        self.world.connections.pop(self.session.id, None)
        self.slot.connections.pop(self.session.id, None)
        self.world.answered(self, answer)
        client = self.client
        client.failures += 1
        reconnect_delay_us = client.reconnect_delay_us(
            self.world.client_random, self.world.settings.reconnect_us, retry_after_us
        )
        self.world.reconnect_later(client, reconnect_delay_us, returning=client.returning)


class VirtualSlot(Slot):
    def __init__(self, index: int, zone: str) -> None:
        super().__init__(index, zone)
        self.node: Node | None = None
        self.connections: dict[str, ClientConnection] = {}
        self.moved_sessions: dict[str, int] = {}  # times of the moves by its rebalancer, by session
        self.next_run_us: int | None = None
        self.run_number = 0  # number of the latest scheduled run; earlier ones are ignored
        self.registry_revision = 0
        self.watching = False
        self.successor: VirtualSlot | None = (
            None  # of a process that is being replaced: the slot of its successor
        )


class NodeDiscovery:
    """The core's `ServiceDiscovery` for one slot."""

    def __init__(self, world: VirtualWorld, slot: VirtualSlot) -> None:
        self._virtual_world, self._slot = world, slot

    def watch(self, active: bool) -> None:
        self._slot.watching = active
        if active:
            self._virtual_world.registry.request_list(self._slot)

    def fetch(self) -> None:
        self._virtual_world.registry.request_list(self._slot)


class VirtualRegistry(RegistryModel):
    def __init__(self, world: VirtualWorld) -> None:
        super().__init__(world)
        self._virtual_world = world
        self._queue_free_us = 0  # when the last queued call will have been answered

    def request_list(self, slot: VirtualSlot) -> None:
        """Handles a call that starts a watch or fetches the list. Only these calls use the registry's limited
        rate; calls of an established watch do not.
        """
        time, settings = self._virtual_world.time, self._virtual_world.settings
        self.calls[int(self._virtual_world.second)] += 1
        if not settings.roster_per_s:
            self.call(slot)
            return
        self._queue_free_us = max(self._queue_free_us, time.now_us) + int(SECOND / settings.roster_per_s)
        if self._queue_free_us - time.now_us > settings.registry_call_timeout_us:
            self.abandoned_calls += 1
            time.after(settings.registry_call_timeout_us, self._call_timed_out, slot, slot.node)
        else:
            time.at(self._queue_free_us, self._answer, slot, slot.node)

    def _call_timed_out(self, slot: VirtualSlot, node: Node | None) -> None:
        if node is not None and slot.node is node:
            slot.watching = False
            node.discovery_failed("registry call timed out in the queue")

    def notify_watches(self) -> None:
        for slot in (*self._virtual_world.slots, *self._virtual_world.predecessors):
            if slot.watching:
                self.call(slot)

    def fail(self) -> None:
        super().fail()
        for slot in self._virtual_world.slots:
            if slot.watching and slot.node is not None:
                slot.watching = False
                slot.node.discovery_failed("registry is unreachable")

    def call(self, slot: VirtualSlot) -> None:
        self._virtual_world.time.after(
            self.random_stream.integer(self._virtual_world.settings.call_us), self._answer, slot, slot.node
        )

    def _answer(self, slot: VirtualSlot, node: Node | None) -> None:
        if node is None or slot.node is not node:
            return
        if not self.reachable:
            slot.watching = False
            node.discovery_failed("registry is unreachable")
            return
        changed = self.since(slot.registry_revision)
        slot.registry_revision = self.revision
        self.record_delivery(slot.index, changed)
        node.server_list_updated(ServerListUpdate(ListKind.DELTA, self.revision, tuple(changed)))


class Datagrams:
    """The core's `PeerTransport` for one slot. It delays datagrams or loses them."""

    def __init__(self, world: VirtualWorld, slot: VirtualSlot) -> None:
        self._virtual_world, self._slot = world, slot

    def send(self, peer: int | None, content: bytes) -> None:
        world = self._virtual_world
        for slot in world.slots:
            if slot is self._slot or (peer is not None and slot.index != peer):
                continue
            world.datagrams += 1
            world.datagram_bytes += len(content)
            if not world.same_partition(slot.zone, self._slot.zone) or world.datagrams_blocked:
                continue
            if world.network_random.random() >= world.settings.datagrams_lost:
                world.time.after(
                    world.network_random.integer(world.settings.datagram_us), self._arrive, slot, content
                )

    def _arrive(self, slot: VirtualSlot, content: bytes) -> None:
        if slot.node is not None:
            slot.node.peer_message_received(self._slot.index, content)


class VirtualWorld(World[VirtualSlot]):
    """One virtual run. `script` schedules the faults, once the initial sessions are established."""

    registry: VirtualRegistry

    def __init__(
        self,
        settings: WorldSettings,
        seed: int,
        rebalance: RebalanceSettings,
        script: Callable[[World[Any]], None],
        select_initial_servers: Callable[
            [Sequence[FormServerModel]], Sequence[FormServerModel]
        ] = lambda servers: servers,
        progress: Callable[[float], None] = lambda share: None,
    ) -> None:
        super().__init__(settings, seed, BEGIN_US, select_initial_servers)
        self._rebalance, self._script, self._progress = rebalance, script, progress
        self.time: Scheduler = Scheduler()
        self.registry = VirtualRegistry(self)
        self.slots = [VirtualSlot(n, settings.zones[n % len(settings.zones)]) for n in range(settings.nodes)]
        self.predecessors: list[VirtualSlot] = []  # old processes that run beside their successors
        self.connections: dict[str, ClientConnection] = {}  # by request: unanswered and established
        self.moving: dict[int, int] = {}  # clients moved for balance and not yet back: time of the move
        self._node_settings: dict[int, Settings] = {}
        self._requests = 0
        self.cut_off_zones: frozenset[str] = frozenset()  # zones that are cut off from the other zones
        self._view: DelayedView | None = None
        self.datagrams_blocked = False  # no datagram between nodes arrives
        self.answers_lost = self.attempts_reset = 0.0  # shares of the attempts

    def run(self) -> list[Check]:
        """Runs the world and returns the checks with their results."""
        self.build()
        for slot in self.slots:
            self._start(slot)
        self.populate()
        self.time.run(BEGIN_US + SECOND // 2)
        self.begin(self._script)
        end_us = BEGIN_US + SECOND // 2 + int(self.settings.seconds * SECOND)
        while self.time.now_us < end_us:
            self.time.run(min(end_us, self.time.now_us + SECOND))
            self._progress((self.time.now_us - BEGIN_US) / (end_us - BEGIN_US))
        self.rules.end(self.time.now_us)
        return self.checks()

    def _start(self, slot: VirtualSlot, snapshot: NodeSnapshot | None = None) -> None:
        if slot.index not in self._node_settings:
            self._node_settings[slot.index] = read_settings(self.settings.node_settings(slot.index))
        node_settings = self._node_settings[slot.index]
        initial_list = ServerListUpdate(
            ListKind.CACHED, self.registry.revision, tuple(self.registry.entries.values())
        )
        if snapshot is None:
            slot.registry_revision = self.registry.revision
            self.rules.node_starts(slot.index)
            self.registry.record_delivery(slot.index, initial_list.form_servers)

        def log(event: str, /, **fields: object) -> None:
            if event in RECORDED_LOG_EVENTS:
                text = " ".join(f"{name}={value}" for name, value in fields.items() if value is not None)
                self.record_event(event, node=slot.index, text=text)
            if event == "fault":
                self.faults.broken(self.time.now_us - BEGIN_US, str(fields)[:2000])

        if self.settings.reference_delay_us >= 0:
            if self._view is None:
                self._view = DelayedView(self, self.settings.reference_delay_us)
            # The reference policy implements the calls of runs without operator commands.
            self._run_node(slot, cast("Node", ReferenceNode(self, self._view, slot.index)), snapshot)
            return
        seed = self.seed * 1_000_003 + slot.index * 101 + self.time.now_us
        if snapshot is not None:
            initial_list = snapshot.server_list
        node = Node(node_settings, seed, VirtualClock(self.time), initial_list, log, snapshot)
        node.discovery, node.peer_transport = NodeDiscovery(self, slot), Datagrams(self, slot)
        if self._rebalance.enabled:
            watched = WatchedRebalancer(self._rebalance, node_settings, self.time.now_us)
            node.rebalancer_port.rebalancer = watched
            watched.moved_sessions = slot.moved_sessions = {}
        self._run_node(slot, node, snapshot)

    def _run_node(self, slot: VirtualSlot, node: Node, snapshot: NodeSnapshot | None) -> None:
        slot.node, slot.next_run_us = node, None
        slot.admitted = slot.admitted or snapshot is None
        node.wake = lambda: self._arm(slot, self.time.now_us + self.settings.tick_us)
        node.start()
        self._arm(slot, node.due_us())

    def _arm(self, slot: VirtualSlot, when_us: int) -> None:
        if slot.next_run_us is None or when_us < slot.next_run_us:
            slot.next_run_us = when_us
            slot.run_number += 1
            self.time.at(when_us, self._run_slot, slot, slot.run_number)

    def _run_slot(self, slot: VirtualSlot, run_number: int) -> None:
        node = slot.node
        if node is None or run_number != slot.run_number:
            return
        slot.next_run_us = None
        node.run_once(self.time.now_us)
        if node.stopped:
            self.process_ended(slot)
        else:
            self._arm(slot, node.due_us())

    # ------------------------------------------------------------------ clients

    def connect_client(self, client: Client) -> None:
        if self.time.now_us >= client.until_us:
            return
        slot = self.pick_slot(client)
        if slot is None or slot.node is None:
            client.failures += 1
            self.time.after(
                client.reconnect_delay_us(self.client_random, self.settings.reconnect_us),
                self.connect_client,
                client,
            )
            return
        self._request_session(slot, client)

    def resume(self, client: Client, server: FormServerModel) -> None:
        slot = self.pick_slot(client)
        if slot is not None:
            self._request_session(slot, client, resumed_at=server)

    def _request_session(
        self, slot: VirtualSlot, client: Client, resumed_at: FormServerModel | None = None
    ) -> None:
        assert slot.node is not None
        self._requests += 1
        client.connection_attempts += 1
        now_us = self.time.now_us
        deadline_us = now_us + (
            RESUME_DEADLINE_US if resumed_at is not None else client.request_class.deadline_us
        )
        session = FormSession(
            id=f"r{self._requests}",
            request_class=client.request_class.name,
            deadline_us=deadline_us,
            client=None,  # type: ignore[arg-type]  # set by the ClientConnection below
            key=client.key,
            group=client.group,
            is_retry=client.failures > 0,
            is_returning=client.returning,
            resumed_at=resumed_at.name if resumed_at is not None else None,
        )
        connection = ClientConnection(self, slot, client, session)
        self.connections[session.id] = slot.connections[session.id] = connection
        if resumed_at is None:
            self.rules.request_opened(now_us, session.id, slot.index, deadline_us)
        slot.node.request_session(session)

    def reconnect_later(self, client: Client, after_us: int, returning: bool = True) -> None:
        client.returning = returning
        self.time.after(after_us, self.connect_client, client)

    def answered(self, connection: ClientConnection, answer: str) -> None:
        now_us = self.time.now_us
        self.rules.answered(now_us, connection.session.id, answer)
        self.records.requests.add(
            at_us=now_us - BEGIN_US,
            cls=connection.client.request_class.name,
            answer=answer,
            took_us=now_us - connection.asked_us,
            attempts=connection.session.attempts,
            node=connection.slot.index,
            server=connection.server.name if connection.server is not None else "",
            returning=connection.client.returning,
        )

    # ------------------------------------------------------------------ faults

    def break_sessions(self, server: FormServerModel, phase: Phase) -> None:
        """Ends the form server's process and breaks all its sessions."""
        for request in server.stop(phase):
            connection = self.connections.get(request)
            if connection is not None:
                self._break_session(connection, AttemptOutcome.RESET)

    def _break_session(self, connection: ClientConnection, outcome: AttemptOutcome) -> None:
        client = connection.client
        connection.end(outcome)
        client.failures += 1
        self.reconnect_later(
            client, client.reconnect_delay_us(self.client_random, self.settings.reconnect_us)
        )

    def on_unresponsive(self, server: FormServerModel) -> None:
        for request in server.held:
            self.time.after(self.fault_random.below(LINE_INTERVAL_US), self.connections[request].send_line)

    def disconnect_clients(self, server: FormServerModel) -> None:
        for request in list(server.held):
            self._break_session(self.connections[request], AttemptOutcome.CANCELLED)

    def shed(self, server: FormServerModel, requests: Sequence[str]) -> None:
        for request in requests:
            self._break_session(self.connections[request], AttemptOutcome.RESET)

    def drop(self, share: float, within_us: int) -> None:
        """Disconnects a share of the clients, which reconnect within the given time."""
        self.record_event("drop", text=f"share={share}")
        for connection in list(self.connections.values()):
            if connection.server is not None and self.fault_random.random() < share:
                connection.end(AttemptOutcome.CANCELLED)
                self.reconnect_later(connection.client, self.fault_random.below(within_us))

    def kill(self, slot: VirtualSlot) -> None:
        """Kills a node without warning. It starts again without state."""
        self.record_event("kill", node=slot.index)
        slot.node = None
        self.rules.node_gone(slot.index)
        self.process_ended(slot)

    def terminate(self, slot: VirtualSlot) -> None:
        """Restarts a node as planned. It still receives new clients for up to 0.4 s."""
        self.record_event("terminate", node=slot.index)
        if slot.node is not None:
            slot.node.begin_shutdown()
            self.time.after(
                self.fault_random.integer((200_000, 400_000)), self._stop_admitting, slot, slot.node
            )

    def _stop_admitting(self, slot: VirtualSlot, node: Node) -> None:
        if slot.node is node:
            slot.admitted = False

    def override_server(self, server: FormServerModel, excluded: bool) -> None:
        """Excludes a form server by operator override at every node, or puts it back."""
        self.record_event("by-hand", server=server.name, text="out" if excluded else "back")
        for slot in self.slots:
            if slot.node is not None:
                slot.node.set_operator_override(server.name, excluded, lambda is_known: None)
                self.rules.operator_override_set(self.time.now_us, slot.index, server.name, excluded)

    def drain_node(self, slot: VirtualSlot, on: bool) -> None:
        """Drains a node by operator command, or ends the drain. A draining node receives new clients for
        0.2 s and must have no established session left after 4 s.
        """
        self.record_event("drain-node", node=slot.index, text="on" if on else "off")
        if slot.node is not None:
            slot.node.set_draining(on, lambda done: None)
            later_us = 200_000 if on else 2 * SECOND
            self.time.after(later_us, self._update_admission, slot)
            if on:
                self.time.after(4 * SECOND, self._check_drained, slot)

    def _update_admission(self, slot: VirtualSlot) -> None:
        """Admits clients if the node's current process accepts them."""
        slot.admitted = slot.node is not None and slot.node.is_accepting

    def _check_drained(self, slot: VirtualSlot) -> None:
        if slot.node is not None and not slot.node.is_accepting:
            for connection in slot.connections.values():
                if connection.server is not None:
                    self.rules.cut_off(self.time.now_us, connection.session.id, connection.server.name)

    def replace(self, slot: VirtualSlot) -> None:
        """Starts a second process that takes over from the node's process, which gets SIGTERM within 6 s."""
        if slot.node is None or slot.successor is not None:
            return
        self.record_event("replace", node=slot.index)
        old = slot.node

        def start_successor(state: NodeSnapshot) -> None:
            if slot.node is old:
                self._start_successor(slot, state)

        old.snapshot_state(start_successor)

    def _start_successor(self, slot: VirtualSlot, state: NodeSnapshot) -> None:
        old = slot.node
        assert old is not None
        predecessor = VirtualSlot(slot.index, slot.zone)
        predecessor.node, predecessor.successor, predecessor.watching = old, slot, True
        predecessor.registry_revision, predecessor.moved_sessions = (
            slot.registry_revision,
            slot.moved_sessions,
        )
        predecessor.connections, slot.connections = slot.connections, {}
        for connection in predecessor.connections.values():
            connection.slot = predecessor
        self.predecessors.append(predecessor)
        old.discovery, old.peer_transport = NodeDiscovery(self, predecessor), Datagrams(self, predecessor)
        old.wake = lambda: self._arm(predecessor, self.time.now_us + self.settings.tick_us)
        self._start(slot, state)
        old.set_successor(lambda transfer: None)  # `transfer` hands the sessions over
        self._arm(predecessor, self.time.now_us + self.settings.tick_us)
        self.time.after(self.fault_random.below(6 * SECOND), old.begin_shutdown)
        self._report_predecessor_load(predecessor)

    def transfer(self, connection: ClientConnection) -> None:
        """Hands an established session over to the successor unchanged."""
        predecessor, slot, session = connection.slot, connection.slot.successor, connection.session
        if slot is None or slot.node is None or predecessor.node is None or connection.placement is None:
            return
        connection.session = replace(
            session,
            placement=None,
            is_established=False,
            unanswered_since_us=deque(session.unanswered_since_us),
        )
        connection.slot = slot
        slot.connections[session.id] = predecessor.connections.pop(session.id)
        predecessor.node.attempt_ended(session, connection.placement, AttemptOutcome.CANCELLED)
        slot.node.adopt_session(connection.session, connection.placement)
        slot.node.report_load(connection.session, connection.client.load)

    def _report_predecessor_load(self, predecessor: VirtualSlot) -> None:
        old, slot = predecessor.node, predecessor.successor
        if slot is None or slot.node is None:
            return
        if old is None:
            slot.node.update_predecessor_load(None)
            return
        new = slot.node
        old.report_local_load(new.update_predecessor_load)
        self.time.after(LOAD_REPORT_INTERVAL_US, self._report_predecessor_load, predecessor)

    def _predecessor_ended(self, predecessor: VirtualSlot) -> None:
        predecessor.node, predecessor.watching = None, False
        self.predecessors.remove(predecessor)
        for connection in list(predecessor.connections.values()):
            if connection.server is not None:
                self.rules.cut_off(self.time.now_us, connection.session.id, connection.server.name)

    def process_ended(self, slot: VirtualSlot) -> None:
        """Handles the end of a node's process and of all connections through it."""
        if slot.successor is not None:
            self._predecessor_ended(slot)
            return
        planned, slot.node = slot.node is not None, None
        slot.admitted, slot.watching = False, False
        for connection in list(slot.connections.values()):
            if planned and connection.server is not None:
                self.rules.cut_off(self.time.now_us, connection.session.id, connection.server.name)
            connection.is_finished = True
            if connection.server is not None:
                connection.end(AttemptOutcome.CANCELLED)
            else:
                connection.attempt_number += 1  # later events of its attempt are ignored
                self.connections.pop(connection.session.id, None)
            self.reconnect_later(
                connection.client,
                connection.client.reconnect_delay_us(self.client_random, self.settings.reconnect_us),
            )
        slot.connections.clear()
        self.time.after(NODE_RESTART_US, self._start_again, slot)

    def _start_again(self, slot: VirtualSlot) -> None:
        self._start(slot)
        slot.admitted = False
        self.time.after(self.fault_random.integer(ADMISSION_DELAY_US), self._admit, slot)

    def _admit(self, slot: VirtualSlot) -> None:
        slot.admitted = slot.node is not None

    def on_slow_server(self, server: FormServerModel) -> None:
        """Sends one line from each node to a slow form server, which answers after its mean message time."""
        seen: dict[int, None] = {}
        took_us = int(server.message_us(self.time.now_us))
        for request in server.held:
            connection = self.connections[request]
            if connection.slot.index not in seen and connection.slot.node is not None:
                seen[connection.slot.index] = None
                connection.slot.node.line_forwarded(connection.session)
                self.time.after(took_us, self._answer_line, connection, connection.slot.node)
                if len(seen) == len(self.slots):
                    break

    def _answer_line(self, connection: ClientConnection, node: Node) -> None:
        if connection.server is not None and connection.slot.node is node:
            node.bytes_received(connection.session)
            node.line_answered(connection.session)

    # ------------------------------------------------------------------ the network

    def same_partition(self, here: str, there: str) -> bool:
        return (here in self.cut_off_zones) is (there in self.cut_off_zones)

    def can_reach(self, slot: VirtualSlot, server: FormServerModel) -> bool:
        return server.phase is not Phase.UNRESPONSIVE and self.same_partition(slot.zone, server.zone)

    def cut(self, zones: frozenset[str], datagrams_blocked: bool = False) -> None:
        """Cuts these zones off from the others until the next call. An empty set ends the cut."""
        self.record_event("cut", text=",".join(sorted(zones)) or "over")
        self.cut_off_zones, self.datagrams_blocked = zones, datagrams_blocked
        for connection in list(self.connections.values()):
            if connection.server is None:
                continue
            off = not self.same_partition(connection.slot.zone, connection.server.zone)
            if off is not connection.is_cut_off:
                connection.is_cut_off = off
                self.count_session(connection.client, connection.server, -1 if off else 1)
                if off:
                    self.time.after(self.fault_random.below(LINE_INTERVAL_US), connection.send_line)

    def set_attempt_faults(self, answers_lost: float, attempts_reset: float) -> None:
        self.answers_lost, self.attempts_reset = answers_lost, attempts_reset

    def move_registry(self) -> None:
        """Simulates SIGHUP with a new registry address: every watch ends and has to be started again."""
        self.record_event("roster-moved")
        self.registry.fail()
        self.registry.reachable = True

    def net_us(self, here: str, there: str) -> int:
        return self.network_random.integer(self.settings.near_us if here == there else self.settings.far_us)
