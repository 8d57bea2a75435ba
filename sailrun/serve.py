"""Puts the node together: the core, the fronts that are switched on, the registry, and the signals."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable, Iterable, Sequence
from dataclasses import fields, replace
from typing import TYPE_CHECKING, Any, Protocol

import anyio
from anyio.abc import TaskGroup, TaskStatus

from sailrun.config import Address, EnvoyFiles, EnvoyRest, NodeConfig, RegistryService
from sailrun.connection import listen, show_address
from sailrun.discovery import DiscoveryClient
from sailrun.errors import ConfigError
from sailrun.front import FrontDoor, descriptors_allowed
from sailrun.node.clock import Clock, log
from sailrun.node.core import Node
from sailrun.text_protocol.clients import LINGER_US, ClientFront
from sailrun.text_protocol.neighbours import Datagrams, Probes

if TYPE_CHECKING:
    from sailrun.hot_restart.handover import Inherited
    from sailrun.leadership.agent import AgentSettings
    from sailrun.leadership.service import FleetService
    from sailrun.leadership.shared_discovery import SharedDiscovery
    from sailrun.storage.service import StorageService
    from sailrun.xds.discovery import EnvoyDiscovery

# What a new file changes in a running node; the rest waits for its next start, but for what every
# reading draws or finds anew.
_DOORS = ("listen", "amqp", "control")
_TAKEN_OVER = (*_DOORS, "roster", "operator")
_ANEW = ("seed", "known")


class Door(Protocol):
    """An address that is listened on, and whoever came to it."""

    def close(self) -> None:
        """Closes the socket."""
        ...

    def shut(self) -> None:
        """Accepts no more connections."""
        ...

    async def run(self) -> None:
        """Accepts connections until `shut`."""
        ...


def _identity(config: NodeConfig) -> str:
    """What a node keeps when its process is replaced."""
    listens = config.listen or (config.amqp.listen if config.amqp else None)
    return f"{config.name} {show_address(listens) if listens else ''}"


class Service:
    """A running node and the configuration in force."""

    group: TaskGroup

    def __init__(
        self, read: Callable[[], NodeConfig], config: NodeConfig, inherited: Inherited | None = None
    ) -> None:
        self._read = read
        self._config = config
        self._inherited = inherited
        self._lasting = self._open_lasting(config, inherited is not None)
        passed = inherited.state if inherited is not None else None
        clock = Clock()
        if passed is None and self._lasting is not None:
            drains = config.operator is not None and not config.operator.permits.enabled
            passed = self._lasting.restore_state(config.known, clock.now_us(), drains)
        # A predecessor's list is newer than the platform's, and its watch can be gone on with.
        known = passed.server_list if passed is not None and passed.server_list.form_servers else config.known
        self.node = Node(config.settings, config.seed, clock, known, predecessor=passed)
        self._revision = known.revision
        descriptors = descriptors_allowed(config.descriptors)
        self._client_front = ClientFront(self.node, config.groups, descriptors)
        self._descriptors = descriptors
        self._writing = anyio.CancelScope()
        self._fleet = self._join_fleet(config, inherited is not None)
        # Before any task: an address that is not to be had is the caller's fault, and ends in one line.
        self._open_doors = self._doors(config, _DOORS)
        self._discovery, self._asking = self._discovery_for(config), anyio.CancelScope()
        self.node.discovery = self._discovery
        self._discovery.watch(True)  # whether lists are asked for or pushed: what can be read counts as told
        self._switch(config)
        self._datagrams: Datagrams | None = None
        if config.settings.peer_messages and config.peer_listen is not None:
            self._datagrams = Datagrams(
                self.node,
                config.peer_listen,
                config.peers,
                config.peers_all,
                config.control is not None,
                self._handed("peer", config.peer_listen),
            )
            self.node.peer_transport = self._datagrams

    def _open_lasting(self, config: NodeConfig, patient: bool) -> StorageService | None:
        if config.operator is None or not config.operator.lasting.enabled:
            return None
        # Loaded only where it is switched on: the platform has no disk that lasts.
        from sailrun.leadership.clock import boot_us
        from sailrun.storage.service import StorageService

        members, slow_us = config.operator.members, int(config.operator.owners.lease_s * 500_000)
        name, fleet = members.name or config.name, members.fleet if members.enabled else ""
        return StorageService(config.operator.lasting, name, fleet, slow_us, patient, boot_us)

    def _join_fleet(self, config: NodeConfig, patient: bool) -> FleetService | None:
        if config.operator is None or not config.operator.members.enabled:
            return None
        # Loaded only where it is switched on: the platform's nodes have no path to each other but datagrams.
        from sailrun.leadership.service import FleetService

        return FleetService(self.node, config, patient, self._lasting)

    def _switch(self, config: NodeConfig) -> None:
        """Switches subsystems on or off, as the operator's file has them."""
        if config.operator is None or not config.operator.rebalance.enabled:
            self.node.set_rebalancer(None)
            return
        # Loaded only where it is switched on.
        from sailrun.rebalance.balance import Rebalancer

        terms, now_us = config.operator.rebalance, self.node.clock.now_us()
        self.node.set_rebalancer(Rebalancer(terms, config.settings, now_us))

    def _doors(self, config: NodeConfig, keys: Iterable[str]) -> dict[str, Door]:
        """The doors that a configuration names under these keys, listening but not open yet: all or none."""
        doors: dict[str, Door] = {}
        try:
            for key in keys:
                door = self._door(config, key)
                if door is not None:
                    doors[key] = door
        except BaseException:
            for door in doors.values():
                door.close()
            raise
        return doors

    def _door(self, config: NodeConfig, key: str) -> Door | None:
        # A successor that cannot be handed the listeners may listen beside this process.
        shared = config.control is not None
        if key == "listen" and config.listen is not None:
            listener = self._handed(key, config.listen) or listen(config.listen, shared)
            return self._client_front.door(listener)
        if key == "amqp" and config.amqp is not None:
            # Loaded only where it is switched on: the platform's nodes carry neither engine nor codec.
            from sailrun.amqp.clients import amqp_door
            from sailrun.amqp.engine import AmqpSettings

            terms = AmqpSettings(config.name, config.amqp.max_frame_size, config.amqp.idle_time_out_ms)
            listener = self._handed(key, config.amqp.listen) or listen(config.amqp.listen, shared)
            return amqp_door(self.node, listener, terms, self._descriptors)
        if key == "control" and config.control is not None:
            from sailrun.control.server import ControlServer

            return ControlServer(self.node, listen(config.control), lambda: self._fleet)
        return None

    def _handed(self, key: str, address: Address) -> socket.socket | None:
        """The predecessor's socket at the address, if it handed one over."""
        return self._inherited.socket_for(key, address) if self._inherited is not None else None

    def _shared(self) -> dict[str, socket.socket]:
        """What a successor is handed."""
        sockets = {key: door.listener for key, door in self._fronts()}
        if self._datagrams is not None:
            sockets["peer"] = self._datagrams.socket
        return sockets

    def _fronts(self) -> list[tuple[str, FrontDoor]]:
        return [(key, door) for key, door in self._open_doors.items() if isinstance(door, FrontDoor)]

    def _adopt(self, content: Any, sockets: Sequence[socket.socket]) -> None:
        """Goes on with a session that stood with the predecessor; raises ValueError where that can't be."""
        door = self._open_doors.get("listen")
        if not isinstance(door, FrontDoor):
            raise ValueError("households are not served here any more")
        door.admit(self._client_front.adopt(content, sockets))

    def _pause(self, yes: bool) -> None:
        """Leaves newcomers and datagrams to the successor, which shares the sockets; or takes them again."""
        for _, door in self._fronts():
            door.pause() if yes else door.resume()
        if self._datagrams is not None:
            self._datagrams.pause() if yes else self._datagrams.resume()
        if yes and self._fleet is None:
            self._writing.cancel()  # the folder is the successor's now
        elif yes and self._fleet is not None:
            # The name and the address are the successor's now, and the folder.
            self._fleet.release_address()
        else:
            self._lasting = self._open_lasting(self._config, patient=True)
            self._fleet = self._join_fleet(self._config, patient=True)
            if self._fleet is None:
                self._write_alone()
            if self._fleet is not None:
                self.group.start_soon(self._fleet.run)

    def _discovery_for(self, config: NodeConfig) -> DiscoveryClient | SharedDiscovery | EnvoyDiscovery:
        match config.roster:
            case RegistryService(address):
                shared = (
                    self._fleet.new_discovery(config.roster, self._revision)
                    if self._fleet is not None
                    else None
                )
                return shared or DiscoveryClient(self.node, address, self._revision, config.seed)
            case EnvoyFiles(cluster, clusters, endpoints):
                from sailrun.xds.discovery import FileDiscovery

                return FileDiscovery(self.node, cluster, clusters, endpoints)
            case EnvoyRest(cluster, address):
                from sailrun.xds.discovery import RestDiscovery

                return RestDiscovery(self.node, cluster, address)

    def open(self, group: TaskGroup) -> None:
        """Starts discovery, the fronts and, if configured, the prober in the group."""
        self.group = group
        group.start_soon(self._run_discovery)
        for door in self._open_doors.values():
            group.start_soon(door.run)
        if self._config.settings.probes:
            self.node.health_checker = Probes(self.node, group)
        if self._datagrams is not None:
            group.start_soon(self._datagrams.run)
        if self._fleet is not None:
            group.start_soon(self._fleet.run)
        else:
            self._write_alone()
        if self._config.control is not None:
            from sailrun.hot_restart.handover import Handover

            handover = Handover(
                self.node,
                _identity(self._config),
                self._descriptors,
                self._shared,
                self._pause,
                self._inherited,
                self._adopt,
            )
            group.start_soon(handover.run)

    def _write_alone(self) -> None:
        """A node without a fleet writes down what it has learned of form servers."""
        if self._lasting is not None:
            self._writing = anyio.CancelScope()
            self.group.start_soon(self._lasting.run_without_fleet, self.node, self._writing)

    async def _run_discovery(self) -> None:
        discovery, scope = self._discovery, self._asking
        with scope:
            try:
                await discovery.run()
            finally:
                discovery.drop()  # an old address keeps no connection

    async def see_out(self) -> None:
        """Everybody who asked has been answered: whoever only rests here is told so, and read to the end."""
        await self._client_front.waiting.empty(anyio.current_time() + LINGER_US / 1e6)

    def reload(self) -> None:
        """Takes over the file as it is now. One that is not usable changes nothing and is logged once."""
        try:
            config = self._read()
            changed = [
                f.name
                for f in fields(config)
                if f.name not in _ANEW and getattr(config, f.name) != getattr(self._config, f.name)
            ]
            self._take_over(config, changed)
        except Exception as error:  # whatever is wrong with a file, the node goes on without it
            why = str(error) if isinstance(error, ConfigError | OSError | ValueError) else repr(error)
            log("reload-refused", why=why)
            self.node.configuration_reloaded(False)
            return
        log(
            "reloaded",
            changed=",".join(n for n in changed if n in _TAKEN_OVER) or "nothing",
            at_next_start=",".join(n for n in changed if n not in _TAKEN_OVER) or None,
        )
        self._config = config
        self.node.configuration_reloaded(True)

    def _take_over(self, config: NodeConfig, changed: list[str]) -> None:
        fleet_terms = self._fleet_terms(config) if "operator" in changed else None
        # First what can fail; from then on the new file is in force. The addresses that stay are not
        # listened on twice.
        doors = self._doors(config, [key for key in _DOORS if key in changed])
        for key in _DOORS:
            if key in changed:
                self._exchange(key, doors.get(key))
        if "operator" in changed:
            self._switch(config)
        if fleet_terms is not None and self._fleet is not None:
            self._fleet.update_settings(fleet_terms)
        if "roster" in changed:
            self._asking.cancel()
            self._discovery, self._asking = self._discovery_for(config), anyio.CancelScope()
            self.node.discovery = self._discovery
            # Nothing ties the new registry's versions to the old one's: the whole list first.
            self._discovery.fetch()
            self._discovery.watch(True)
            self.group.start_soon(self._run_discovery)

    def _fleet_terms(self, config: NodeConfig) -> AgentSettings | None:
        """What a new operator's file changes of the fleet; where this node listens waits for its next
        start.
        """
        before, after = self._config.operator, config.operator
        if self._fleet is None or before is None or after is None:
            return None
        import msgspec

        from sailrun.leadership.service import agent_settings
        from sailrun.operator_settings import voters_follow

        if (why := voters_follow(before.owners, after.owners)) is not None:
            raise ValueError(why)
        # Times that nodes promise each other by are of the whole fleet: they wait for its next start.
        kept = msgspec.structs.replace(
            after.owners, lease_s=before.owners.lease_s, order_s=before.owners.order_s
        )
        if after.shards != before.shards:
            raise ValueError("shards: is taken over at the next start, on every node of the region")
        permits = msgspec.structs.replace(
            after.permits, lease_s=before.permits.lease_s, enabled=before.permits.enabled
        )
        terms = agent_settings(after)
        kept_on = before.replica.enabled  # a copy is begun, or given up, at a start
        return replace(
            terms,
            membership=before.members,
            leadership=kept,
            permits=permits,
            list_reader=before.reader,
            replication=msgspec.structs.replace(after.replica, enabled=kept_on),
        )

    def _exchange(self, key: str, new: Door | None) -> None:
        old = self._open_doors.pop(key, None)
        if new is not None:
            self._open_doors[key] = new
            self.group.start_soon(new.run)
        if old is not None:
            old.shut()

    async def heed_signals(self, *, task_status: TaskStatus[None]) -> None:
        """Reloads at SIGHUP and begins a graceful shutdown at SIGTERM and SIGINT."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            task_status.started()  # nothing is served before this: a signal would kill outright
            async for number in signals:
                if number == signal.SIGHUP:
                    self.reload()
                else:
                    self.node.begin_shutdown()
                    if self._fleet is not None:
                        self._fleet.leave()


async def serve(read: Callable[[], NodeConfig]) -> None:
    """Serves by the configuration that `read` returns, until the node has shut down. Raises ConfigError."""
    config = read()
    inherited = None
    if config.control is not None:
        # Loaded, and a predecessor asked for, only where staff run the node day by day.
        from sailrun.hot_restart.handover import inherit

        inherited = inherit(_identity(config))
    service = Service(read, config, inherited)
    async with anyio.create_task_group() as group:
        await group.start(service.heed_signals)
        service.open(group)
        log(
            "serving",
            name=config.name,
            listen=show_address(config.listen) if config.listen else None,
            amqp=show_address(config.amqp.listen) if config.amqp else None,
            control=show_address(config.control) if config.control else None,
        )
        await service.node.run()
        await service.see_out()
        group.cancel_scope.cancel()
    log("stopped", name=config.name)


def run(read: Callable[[], NodeConfig]) -> None:
    """Serves until told to stop; an address that cannot be listened on raises OSError."""
    anyio.run(serve, read)
