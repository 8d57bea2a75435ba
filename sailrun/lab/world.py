"""The part of a world that both drivers share: form servers, client population, registry and records."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, Generic, Protocol, TypeVar

from sailrun.decisions.events import BackendState
from sailrun.decisions.placement import backend_hash, key_hash
from sailrun.lab.checks import Check, RuleBook
from sailrun.lab.clients import Client, Population
from sailrun.lab.figures import fewest_moves
from sailrun.lab.form_servers import FormServerModel, Phase
from sailrun.lab.random_streams import Stream
from sailrun.lab.records import Records
from sailrun.lab.settings import SECOND, WorldSettings
from sailrun.node.session import FormServer

MASK = 0xFFFFFFFF
# The other clients of a group connect within this time after the first one.
GROUP_SPREAD_US = 5 * SECOND
# A draining form server disconnects its remaining clients after this time and exits.
DRAIN_DURATION_US = 8 * SECOND
# Bounds of the delay between the move of a client and its next connection to a node.
MOVE_DELAY_US = (20_000, 200_000)
# Delay before a node that ended is started again.
NODE_RESTART_US = SECOND
# A form server counts as slow if its mean message time reaches this value.
SLOW_MESSAGE_US = 10_000
# A client that is moved again within this time gained nothing from the first move.
REPEATED_MOVE_US = 10 * SECOND


class Time(Protocol):
    """Schedules callbacks in virtual or real time. All times are in us."""

    @property
    def now_us(self) -> int: ...
    def at(self, when_us: int, callback: Callable[..., None], *arguments: Any) -> None: ...
    def after(self, wait_us: int, callback: Callable[..., None], *arguments: Any) -> None: ...


class Slot:
    """A position in the fleet. Its name and address outlive the node process that runs in it."""

    def __init__(self, index: int, zone: str) -> None:
        self.index, self.zone = index, zone
        self.admitted = False  # whether clients are routed to this node


S = TypeVar("S", bound=Slot)


class RegistryModel:
    """The registry's endpoint list, which can be late, stale or unreachable. The driver delivers it."""

    def __init__(self, world: World[Any]) -> None:
        self._world = world
        self.random_stream = Stream(world.seed, "roster")
        self.revision = 1
        self.entries: dict[str, FormServer] = {}
        self._changes: list[tuple[int, FormServer]] = []
        self.reachable = True
        self.late_us = 0  # added to the delay of each update
        self.calls: Counter[int] = Counter()  # calls that start a new watch, by second
        self.abandoned_calls = 0  # calls that timed out in the queue

    def change(self, server: FormServerModel, state: BackendState, delay_us: tuple[int, int]) -> None:
        """Schedules the registry's delayed update about a server whose state changes now."""
        entry = self.entry(server, state)
        self._world.time.after(self.random_stream.integer(delay_us) + self.late_us, self._publish, entry)

    def entry(self, server: FormServerModel, state: BackendState) -> FormServer:
        address = self._world.address_of(server)
        return FormServer(server.name, address, state, server.zone, 0, 1.0, server.started_us)

    def _publish(self, entry: FormServer) -> None:
        self.revision += 1
        self.entries[entry.name] = entry
        self._changes.append((self.revision, entry))
        if self.reachable:
            self.notify_watches()

    def since(self, revision: int) -> list[FormServer]:
        """Returns the newest entry of each server that changed after a revision."""
        changed: dict[str, FormServer] = {}
        for changed_at, entry in reversed(self._changes):
            if changed_at <= revision:
                break
            changed.setdefault(entry.name, entry)
        return list(changed.values())

    def record_delivery(self, node: int, entries: Sequence[FormServer]) -> None:
        """Records that a node received these entries. The rules apply to the node from now on."""
        for entry in entries:
            if entry.state is BackendState.READY:
                self._world.rules.notified_serving(node, entry.name)
            else:
                self._world.rules.notified_leaving(self._world.time.now_us, node, entry.name)

    def notify_watches(self) -> None:
        """Notifies the watches that the list has changed."""

    def fail(self) -> None:
        """Makes the registry unreachable until `reachable` is set again, and ends all watches."""
        self.reachable = False


class World(ABC, Generic[S]):
    """A world for one seed. The driver provides the time, the nodes and the clients' connections."""

    time: Time
    registry: RegistryModel

    def __init__(
        self,
        settings: WorldSettings,
        seed: int,
        begin_us: int,
        select_initial_servers: Callable[[Sequence[FormServerModel]], Sequence[FormServerModel]],
    ) -> None:
        self.settings, self.seed, self.begin_us = settings, seed, begin_us
        self._select_initial_servers = select_initial_servers
        self.client_random = Stream(seed, "clients")
        self.network_random = Stream(seed, "network")
        self.fault_random = Stream(seed, "troubles")
        self.population = Population(settings, seed)
        self._server_random = Stream(seed, "form-servers")
        self.arrival_factor = 1.0  # factor on the usual rate of new groups
        self.rules = RuleBook(begin_us, settings.drain_grace_us)
        self.faults = Check("no-fault-in-a-node")
        self.records = Records()
        self.servers: dict[int, FormServerModel] = {}
        self.slots: list[S] = []
        self.moves = self.datagrams = self.datagram_bytes = self.clients = self.min_moves = 0
        self.moves_by_reason = Counter[str]()
        self.repeated_moves = 0  # moves within REPEATED_MOVE_US of the client's previous move
        self.all_warm_s = 0  # second at which the last form server has finished its slow start
        self._wanted_by_class = [0] * len(settings.classes)
        self._index = {c.name: n for n, c in enumerate(settings.classes)}
        self._sessions_by_server: dict[int, list[int]] = {}  # established sessions by form server and class

    @property
    def second(self) -> float:
        """Returns the seconds since the run began."""
        return (self.time.now_us - self.begin_us) / SECOND

    def record_event(self, what: str, node: int = -1, server: str = "", text: str = "") -> None:
        at_us = self.time.now_us - self.begin_us
        self.records.events.add(at_us=at_us, what=what, node=node, server=server, text=text)

    def checks(self) -> list[Check]:
        return [*self.rules.all(), self.faults]

    def address_of(self, server: FormServerModel) -> tuple[str, int]:
        return ("127.0.0.1", 1)

    def build(self) -> None:
        for n in range(self.settings.form_servers):
            server = self._new_server(self.settings.zones[n % len(self.settings.zones)])
            self.registry.entries[server.name] = self.registry.entry(server, BackendState.READY)

    def _new_server(self, zone: str) -> FormServerModel:
        server_random, n = self._server_random, len(self.servers)
        number = (n * 0x9E3779B1 + self.seed * 0x85EBCA6B + 0x51ED270B) & MASK
        while number in self.servers:
            number = (number + 1) & MASK
        server = FormServerModel(
            self.settings,
            number,
            f"s-{number:08x}",
            zone,
            self.settings.cores * server_random.between(self.settings.speed) * SECOND,
            server_random.between(self.settings.initial_capacity_share),
            server_random.integer(self.settings.slow_start_us),
            at_us=self.time.now_us,
        )
        self.servers[number] = server
        self._sessions_by_server[number] = [0] * len(self.settings.classes)
        return server

    def populate(self) -> None:
        """Creates the sessions that exist when the run begins. Each goes to the form server with the highest
        score for its group, unless that server is more than 10% above its share of the load.
        """
        initial_servers = list(self._select_initial_servers(list(self.servers.values())))
        hashes = [backend_hash(s.number) for s in initial_servers]
        total = sum(s.capacity for s in initial_servers)
        cost = self.settings.household_cost * self.settings.connection_load
        expected = self.settings.households * cost + self.settings.connections * self.settings.connection_load
        loads = dict.fromkeys(initial_servers, 0.0)
        for _ in range(self.settings.households):
            clients = self.population.new_group(self.time.now_us, 0)
            key = key_hash(clients[0].group)
            scores = [(h * key) & MASK for h in hashes]
            server = initial_servers[max(range(len(initial_servers)), key=scores.__getitem__)]
            if loads[server] > 1.1 * expected * server.capacity / total:
                ranked = sorted(zip(scores, initial_servers, strict=True), key=lambda pair: -pair[0])
                below_limit = (s for _, s in ranked if loads[s] <= 1.1 * expected * s.capacity / total)
                server = next(below_limit, server)
            loads[server] += sum(c.load for c in clients) + cost
            for client in clients:
                self.count_wanted(client)
                self.resume(client, server)

    def begin(self, script: Callable[[World[Any]], None]) -> None:
        """Starts the script, the samples and the arrivals once the initial sessions are established."""
        cost = self.settings.household_cost * self.settings.connection_load
        groups_by_server = [
            [
                (sum(one.load for one in members) + cost, len(members))
                for members in _connections_by_group(s).values()
            ]
            for s in self.servers.values()
        ]
        self.min_moves = fewest_moves(groups_by_server)
        script(self)
        self.time.after(0, self._sample)
        self.time.after(0, self._add_group)

    def _add_group(self) -> None:
        for client in self.population.new_group(self.time.now_us, GROUP_SPREAD_US):
            self.time.at(client.from_us, self._connect_first, client)
        mean_us = SECOND / (self.arrival_factor * self.population.arrivals_per_s)
        self.time.after(int(self.client_random.exponential(mean_us)), self._add_group)

    def _connect_first(self, client: Client) -> None:
        self.count_wanted(client)
        self.connect_client(client)

    # ------------------------------------------------------------------ implemented by the driver

    @abstractmethod
    def resume(self, client: Client, server: FormServerModel) -> None:
        """Opens an initial session at this form server. A node takes it over from before the run."""

    @abstractmethod
    def connect_client(self, client: Client) -> None:
        """Connects a client to one of the nodes."""

    @abstractmethod
    def break_sessions(self, server: FormServerModel, phase: Phase) -> None:
        """Ends the form server's process and breaks all its sessions."""

    @abstractmethod
    def disconnect_clients(self, server: FormServerModel) -> None:
        """Disconnects the clients that remain at the end of the form server's drain."""

    @abstractmethod
    def shed(self, server: FormServerModel, requests: Sequence[str]) -> None:
        """Breaks these sessions of an overloaded form server."""

    @abstractmethod
    def drop(self, share: float, within_us: int) -> None:
        """Disconnects a share of the clients, which reconnect within the given time."""

    @abstractmethod
    def kill(self, slot: S) -> None:
        """Kills a node without warning. It starts again without state."""

    @abstractmethod
    def terminate(self, slot: S) -> None:
        """Restarts a node as planned. It still receives new clients for up to 0.4 s."""

    def on_unresponsive(self, server: FormServerModel) -> None:
        """Handles a form server whose machine is cut off."""

    def on_slow_server(self, server: FormServerModel) -> None:
        """Handles a form server whose messages are slow in this second."""

    def record_move(self, client: Client, cause: str) -> None:
        """Counts a move of the client by its node."""
        now_us = self.time.now_us
        self.moves_by_reason[cause] += 1
        self.repeated_moves += now_us - client.last_move_us < REPEATED_MOVE_US
        client.last_move_us = now_us

    def count_wanted(self, client: Client) -> None:
        self.clients += 1
        self._wanted_by_class[self._index[client.request_class.name]] += 1
        self.time.at(client.until_us, self._uncount_wanted, client)

    def _uncount_wanted(self, client: Client) -> None:
        self._wanted_by_class[self._index[client.request_class.name]] -= 1

    def pick_slot(self, client: Client) -> S | None:
        near = [s for s in self.slots if s.admitted and s.zone == client.zone]
        slots = near or [s for s in self.slots if s.admitted]
        return slots[self.client_random.below(len(slots))] if slots else None

    # ------------------------------------------------------------------ faults

    def crash(self, server: FormServerModel, back_after_us: int) -> None:
        self.record_event("crash", server=server.name)
        self.break_sessions(server, Phase.DOWN)
        self.registry.change(server, BackendState.GONE, self.settings.notice_us)
        self.time.after(back_after_us, self._restart_server, server)

    def cut_off_server(self, server: FormServerModel, back_after_us: int) -> None:
        """Cuts the machine off: it sends no reset and no answer until it returns as a new process."""
        self.record_event("vanish", server=server.name)
        server.advance(self.time.now_us)
        server.phase = Phase.UNRESPONSIVE
        self.on_unresponsive(server)
        self.registry.change(server, BackendState.GONE, self.settings.unresponsive_notice_us)
        self.time.after(back_after_us, self._restart_server, server)

    def _restart_server(self, server: FormServerModel) -> None:
        if server.phase is Phase.FALLEN:
            return
        self.break_sessions(server, Phase.DOWN)
        server.start(self.time.now_us)
        self.all_warm_s = max(self.all_warm_s, int(self.second + server.slow_start_us / SECOND) + 1)
        self.record_event("start", server=server.name)
        self.registry.change(server, BackendState.READY, self.settings.notice_us)

    def drain(self, server: FormServerModel, back_after_us: int) -> None:
        self.record_event("drain", server=server.name)
        server.draining = True
        self.registry.change(server, BackendState.DRAINING, self.settings.notice_us)
        self.time.after(DRAIN_DURATION_US, self._drained, server, back_after_us)

    def _drained(self, server: FormServerModel, back_after_us: int | None) -> None:
        self.disconnect_clients(server)
        self.record_event("drained", server=server.name)
        server.stop(Phase.DOWN)
        self.registry.change(server, BackendState.GONE, self.settings.notice_us)
        if back_after_us is not None:
            self.time.after(back_after_us, self._restart_server, server)

    def replace_server(self, server: FormServerModel) -> None:
        """Replaces a form server in a release: another one starts in slow start under a new id, and this one
        drains and does not return.
        """
        other = self._new_server(server.zone)
        other.start(self.time.now_us)
        self.all_warm_s = max(self.all_warm_s, int(self.second + other.slow_start_us / SECOND) + 1)
        self.record_event("start", server=other.name, text=f"in place of {server.name}")
        self.registry.change(other, BackendState.READY, self.settings.notice_us)
        self.record_event("drain", server=server.name)
        server.draining = True
        self.registry.change(server, BackendState.DRAINING, self.settings.notice_us)
        self.time.after(DRAIN_DURATION_US, self._drained, server, None)

    def apply_overload(self, server: FormServerModel) -> None:
        """Applies the effects of overload: the form server falls over, or drops its newest connections."""
        if server.phase is Phase.FALLEN and not server.fallen:
            server.fallen = True
            self.rules.server_fell_over(self.time.now_us, server.name)
            self.record_event("fallen", server=server.name)
            self.break_sessions(server, Phase.FALLEN)
            self.registry.change(server, BackendState.GONE, self.settings.notice_us)
        elif server.phase is Phase.UP and (newest := server.shed()):
            self.shed(server, newest)

    # ------------------------------------------------------------------ samples

    def count_session(self, client: Client, server: FormServerModel, change: int) -> None:
        self._sessions_by_server[server.number][self._index[client.request_class.name]] += change

    def _sample(self) -> None:
        """Records the state of the world for the second that begins now."""
        now_us, settings = self.time.now_us, self.settings
        at_us = now_us - self.begin_us
        served = 0.0
        warm_load = warm_capacity = 0.0
        ratios: list[tuple[float, float]] = []
        for server in self.servers.values():
            server.advance(now_us)
            self.apply_overload(server)
            sessions_by_class = self._sessions_by_server[server.number]
            if server.phase is Phase.UP:
                for n, cls in enumerate(settings.classes):
                    if sessions_by_class[n]:
                        served += (
                            sessions_by_class[n]
                            * cls.priority_weight
                            * server.answered_within(now_us, cls.message_us)
                        )
                if server.message_us(now_us) >= SLOW_MESSAGE_US:
                    self.on_slow_server(server)
                if not server.in_slow_start(now_us) and not server.draining:
                    warm_load += server.load
                    warm_capacity += server.capacity
                    ratios.append((server.load, server.capacity))
            self.records.servers.add(
                at_us=at_us,
                server=server.name,
                load=server.load,
                capacity=server.current_capacity(now_us),
                backlog_us=server.backlog,
                standing=sum(sessions_by_class),
                phase=server.phase.value,
                draining=server.draining,
                cold=server.in_slow_start(now_us),
            )
        mean = warm_load / len(ratios) if ratios else 0.0
        imbalance = max(load for load, _ in ratios) / mean if mean else 0.0
        self.records.seconds.add(
            at_us=at_us,
            imbalance=imbalance,
            utilization=warm_load / warm_capacity if warm_capacity else 0.0,
            busiest=max((load / capacity for load, capacity in ratios), default=0.0),
            wanting=sum(self._wanted_by_class),
            standing=sum(map(sum, self._sessions_by_server.values())),
            asked=sum(
                n * c.priority_weight for n, c in zip(self._wanted_by_class, settings.classes, strict=True)
            ),
            served=served,
            moves=self.moves,
            datagrams=self.datagrams,
        )
        self.time.after(SECOND, self._sample)


def _connections_by_group(server: FormServerModel) -> dict[str, list[Any]]:
    groups: dict[str, list[Any]] = {}
    for one in server.held.values():
        groups.setdefault(one.group, []).append(one)
    return groups
