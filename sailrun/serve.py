"""Builds and runs a node: its core, the enabled fronts, service discovery and signal handling."""

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
from sailrun.front import FrontAcceptor, descriptors_allowed
from sailrun.node.clock import Clock, log
from sailrun.node.core import Node
from sailrun.text_protocol.clients import ClientFront
from sailrun.text_protocol.graceful_close import LINGER_US
from sailrun.text_protocol.peers import PingHealthChecker, UdpPeerTransport

if TYPE_CHECKING:
    from sailrun.hot_restart.handover import Inherited
    from sailrun.leadership.agent import AgentSettings
    from sailrun.leadership.service import FleetService
    from sailrun.leadership.shared_discovery import SharedDiscovery
    from sailrun.storage.service import StorageService
    from sailrun.xds.discovery import EnvoyDiscovery

# Keys whose changes a reload applies to the running node. Changes of the other keys take effect at the
# next start, except for the volatile keys, whose values can differ each time the file is read.
_ACCEPTOR_KEYS = ("listen", "amqp", "control")
_RELOADABLE_KEYS = (*_ACCEPTOR_KEYS, "roster", "operator")
_VOLATILE_KEYS = ("seed", "known")


class Acceptor(Protocol):
    """A listening socket and the connections accepted from it."""

    def close(self) -> None:
        """Closes the socket of an acceptor that was never run."""
        ...

    def shut_down(self) -> None:
        """Stops accepting connections."""
        ...

    async def run(self) -> None:
        """Accepts connections until `shut_down`."""
        ...


def _identity(config: NodeConfig) -> str:
    """Returns the name and address that identify a node in a hot restart; its predecessor has the same."""
    listens = config.listen or (config.amqp.listen if config.amqp else None)
    return f"{config.name} {show_address(listens) if listens else ''}"


class Service:
    """A running node and the configuration in force."""

    group: TaskGroup

    def __init__(
        self, read_config: Callable[[], NodeConfig], config: NodeConfig, inherited: Inherited | None = None
    ) -> None:
        self._read_config = read_config
        self._config = config
        self._inherited = inherited
        self._storage = self._open_storage(config, inherited is not None)
        restored = inherited.state if inherited is not None else None
        clock = Clock()
        if restored is None and self._storage is not None:
            may_drain = config.operator is not None and not config.operator.permits.enabled
            restored = self._storage.restore_state(config.known, clock.now_us(), may_drain)
        # A predecessor's endpoint list is newer than the one in the platform's file, and the watch can
        # continue from its revision.
        initial_list = (
            restored.server_list
            if restored is not None and restored.server_list.form_servers
            else config.known
        )
        self.node = Node(config.settings, config.seed, clock, initial_list, predecessor=restored)
        self._revision = initial_list.revision
        descriptors = descriptors_allowed(config.descriptors)
        self._client_front = ClientFront(self.node, config.groups, descriptors)
        self._descriptors = descriptors
        self._writing_scope = anyio.CancelScope()
        self._fleet = self._join_fleet(config, inherited is not None)
        # Listening starts before any task, so that an address that is not available is reported to the caller
        # in one line.
        self._acceptors = self._open_acceptors(config, _ACCEPTOR_KEYS)
        self._discovery, self._discovery_scope = self._discovery_for(config), anyio.CancelScope()
        self.node.discovery = self._discovery
        self._discovery.watch(True)  # in push mode too: the agent's data counts as announced at once
        self._apply_rebalance(config)
        self._peer_transport: UdpPeerTransport | None = None
        if config.settings.peer_messages and config.peer_listen is not None:
            self._peer_transport = UdpPeerTransport(
                self.node,
                config.peer_listen,
                config.peers,
                config.peers_all,
                config.control is not None,
                self._inherited_socket("peer", config.peer_listen),
            )
            self.node.peer_transport = self._peer_transport

    def _open_storage(self, config: NodeConfig, wait_for_predecessor: bool) -> StorageService | None:
        if config.operator is None or not config.operator.lasting.enabled:
            return None
        # Loaded only where it is enabled: the platform has no persistent disk.
        from sailrun.leadership.clock import boot_us
        from sailrun.storage.service import StorageService

        members, slow_us = config.operator.members, int(config.operator.owners.lease_s * 500_000)
        name, fleet = members.name or config.name, members.fleet if members.enabled else ""
        return StorageService(config.operator.lasting, name, fleet, slow_us, wait_for_predecessor, boot_us)

    def _join_fleet(self, config: NodeConfig, wait_for_predecessor: bool) -> FleetService | None:
        if config.operator is None or not config.operator.members.enabled:
            return None
        # Loaded only where it is enabled: the platform's nodes can reach each other by datagrams only.
        from sailrun.leadership.service import FleetService

        return FleetService(self.node, config, wait_for_predecessor, self._storage)

    def _apply_rebalance(self, config: NodeConfig) -> None:
        """Enables or disables rebalancing according to the operator's file."""
        if config.operator is None or not config.operator.rebalance.enabled:
            self.node.set_rebalancer(None)
            return
        # Loaded only where it is enabled.
        from sailrun.rebalance.rebalancer import Rebalancer

        rebalance, now_us = config.operator.rebalance, self.node.clock.now_us()
        self.node.set_rebalancer(Rebalancer(rebalance, config.settings, now_us))

    def _open_acceptors(self, config: NodeConfig, keys: Iterable[str]) -> dict[str, Acceptor]:
        """Opens the listening sockets that a configuration names under these keys, all or none of them. The
        acceptors returned do not accept connections yet.
        """
        acceptors: dict[str, Acceptor] = {}
        try:
            for key in keys:
                acceptor = self._open_acceptor(config, key)
                if acceptor is not None:
                    acceptors[key] = acceptor
        except BaseException:
            for acceptor in acceptors.values():
                acceptor.close()
            raise
        return acceptors

    def _open_acceptor(self, config: NodeConfig, key: str) -> Acceptor | None:
        # A successor that cannot inherit the listeners may listen at the same address beside this process.
        shared = config.control is not None
        if key == "listen" and config.listen is not None:
            listener = self._inherited_socket(key, config.listen) or listen(config.listen, shared)
            return self._client_front.create_acceptor(listener)
        if key == "amqp" and config.amqp is not None:
            # Loaded only where it is enabled: the platform's nodes have neither proton nor its codec.
            from sailrun.amqp.clients import amqp_acceptor
            from sailrun.amqp.engine import AmqpSettings

            settings = AmqpSettings(config.name, config.amqp.max_frame_size, config.amqp.idle_time_out_ms)
            listener = self._inherited_socket(key, config.amqp.listen) or listen(config.amqp.listen, shared)
            return amqp_acceptor(self.node, listener, settings, self._descriptors)
        if key == "control" and config.control is not None:
            from sailrun.control.server import ControlServer

            return ControlServer(self.node, listen(config.control), lambda: self._fleet)
        return None

    def _inherited_socket(self, key: str, address: Address) -> socket.socket | None:
        """Returns the predecessor's socket for the address; None if it handed none over."""
        return self._inherited.socket_for(key, address) if self._inherited is not None else None

    def _shared_sockets(self) -> dict[str, socket.socket]:
        """Returns the sockets that a successor inherits."""
        sockets = {key: acceptor.listener for key, acceptor in self._front_acceptors()}
        if self._peer_transport is not None:
            sockets["peer"] = self._peer_transport.socket
        return sockets

    def _front_acceptors(self) -> list[tuple[str, FrontAcceptor]]:
        return [
            (key, acceptor)
            for key, acceptor in self._acceptors.items()
            if isinstance(acceptor, FrontAcceptor)
        ]

    def _adopt(self, content: Any, sockets: Sequence[socket.socket]) -> None:
        """Continues a session that was established at the predecessor. Raises ValueError if this process
        cannot continue it.
        """
        acceptor = self._acceptors.get("listen")
        if not isinstance(acceptor, FrontAcceptor):
            raise ValueError("the text protocol is not served by this process")
        acceptor.add_connection(self._client_front.adopt(content, sockets))

    def _set_paused(self, paused: bool) -> None:
        """Stops accepting connections and datagrams, so that the successor that shares the sockets receives
        them, or resumes.
        """
        for _, acceptor in self._front_acceptors():
            acceptor.pause() if paused else acceptor.resume()
        if self._peer_transport is not None:
            self._peer_transport.pause() if paused else self._peer_transport.resume()
        if paused and self._fleet is None:
            self._writing_scope.cancel()  # from now on the successor writes the storage folder
        elif paused and self._fleet is not None:
            # From now on the successor uses the name, the address and the storage folder.
            self._fleet.release_address()
        else:
            self._storage = self._open_storage(self._config, wait_for_predecessor=True)
            self._fleet = self._join_fleet(self._config, wait_for_predecessor=True)
            if self._fleet is None:
                self._write_without_fleet()
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
        """Starts discovery, the fronts and all other configured services in the group."""
        self.group = group
        group.start_soon(self._run_discovery)
        for acceptor in self._acceptors.values():
            group.start_soon(acceptor.run)
        if self._config.settings.probes:
            self.node.health_checker = PingHealthChecker(self.node, group)
        if self._peer_transport is not None:
            group.start_soon(self.node.barrier.keep_running, "peers", self._peer_transport.run)
        if self._fleet is not None:
            group.start_soon(self._fleet.run)
        else:
            self._write_without_fleet()
        if self._config.control is not None:
            from sailrun.hot_restart.handover import Handover

            handover = Handover(
                self.node,
                _identity(self._config),
                self._descriptors,
                self._shared_sockets,
                self._set_paused,
                self._inherited,
                self._adopt,
                self._client_front.request_ids,
            )
            group.start_soon(self.node.barrier.run_task, "handover", handover.run)

    def _write_without_fleet(self) -> None:
        """Starts to write the state of the form servers to the storage folder of a node without a fleet, if
        storage is enabled.
        """
        if self._storage is not None:
            self._writing_scope = anyio.CancelScope()
            run = self._storage.run_without_fleet
            self.group.start_soon(self.node.barrier.run_task, "storage", run, self.node, self._writing_scope)

    async def _run_discovery(self) -> None:
        discovery, scope = self._discovery, self._discovery_scope
        with scope:
            try:
                await discovery.run()
            finally:
                discovery.drop()  # closes the connection to a replaced address

    async def close_pending_connections(self) -> None:
        """Closes the remaining text protocol connections. Called once every request has its final answer.
        Connections without a request are rejected, and all are read to their end for at most `LINGER_US`.
        """
        await self._client_front.waiting.close_all(anyio.current_time() + LINGER_US / 1e6)

    def reload(self) -> None:
        """Reads the configuration again and applies it. An invalid file changes nothing and is logged."""
        try:
            config = self._read_config()
            changed = [
                f.name
                for f in fields(config)
                if f.name not in _VOLATILE_KEYS and getattr(config, f.name) != getattr(self._config, f.name)
            ]
            self._apply(config, changed)
        except Exception as error:  # an error in a file must not stop the node
            problem = str(error) if isinstance(error, ConfigError | OSError | ValueError) else repr(error)
            log("reload-refused", why=problem)
            self.node.configuration_reloaded(False)
            return
        log(
            "reloaded",
            changed=",".join(n for n in changed if n in _RELOADABLE_KEYS) or "nothing",
            at_next_start=",".join(n for n in changed if n not in _RELOADABLE_KEYS) or None,
        )
        self._config = config
        self.node.configuration_reloaded(True)

    def _apply(self, config: NodeConfig, changed: list[str]) -> None:
        fleet_settings = self._fleet_settings(config) if "operator" in changed else None
        # The steps that can fail come first; after them the new file is in force. Only changed addresses are
        # listened on, because the others are already in use by this process.
        acceptors = self._open_acceptors(config, [key for key in _ACCEPTOR_KEYS if key in changed])
        for key in _ACCEPTOR_KEYS:
            if key in changed:
                self._replace_acceptor(key, acceptors.get(key))
        if "operator" in changed:
            self._apply_rebalance(config)
        if fleet_settings is not None and self._fleet is not None:
            self._fleet.update_settings(fleet_settings)
        if "roster" in changed:
            self._discovery_scope.cancel()
            self._discovery, self._discovery_scope = self._discovery_for(config), anyio.CancelScope()
            self.node.discovery = self._discovery
            # Revisions of the new registry are unrelated to the old one's, so the full list is fetched first.
            self._discovery.fetch()
            self._discovery.watch(True)
            self.group.start_soon(self._run_discovery)

    def _fleet_settings(self, config: NodeConfig) -> AgentSettings | None:
        """Returns the fleet's settings after a change of the operator's file; None without a fleet.
        Settings that cannot change in a running node, such as the address for members, keep their values.
        Raises ValueError for an invalid change.
        """
        before, after = self._config.operator, config.operator
        if self._fleet is None or before is None or after is None:
            return None
        import msgspec

        from sailrun.leadership.service import agent_settings
        from sailrun.operator_settings import check_voter_change

        if (problem := check_voter_change(before.owners, after.owners)) is not None:
            raise ValueError(problem)
        # All nodes of a fleet must use the same lease and order times, so these change at the next start.
        leadership = msgspec.structs.replace(
            after.owners, lease_s=before.owners.lease_s, order_s=before.owners.order_s
        )
        if after.shards != before.shards:
            raise ValueError("shards: is taken over at the next start, on every node of the region")
        permits = msgspec.structs.replace(
            after.permits, lease_s=before.permits.lease_s, enabled=before.permits.enabled
        )
        settings = agent_settings(after)
        replication_enabled = before.replica.enabled  # a replica is created or discarded at a start only
        return replace(
            settings,
            membership=before.members,
            leadership=leadership,
            permits=permits,
            list_reader=before.reader,
            replication=msgspec.structs.replace(after.replica, enabled=replication_enabled),
        )

    def _replace_acceptor(self, key: str, new: Acceptor | None) -> None:
        old = self._acceptors.pop(key, None)
        if new is not None:
            self._acceptors[key] = new
            self.group.start_soon(new.run)
        if old is not None:
            old.shut_down()

    async def handle_signals(self, *, task_status: TaskStatus[None]) -> None:
        """Reloads at SIGHUP and begins a graceful shutdown at SIGTERM and SIGINT."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            task_status.started()  # serving begins after this: until then a signal would kill the process
            async for number in signals:
                if number == signal.SIGHUP:
                    self.reload()
                else:
                    self.node.begin_shutdown()
                    if self._fleet is not None:
                        self.node.barrier.run("leave", self._fleet.leave)


async def serve(read_config: Callable[[], NodeConfig]) -> None:
    """Runs a node with the configuration that `read_config` returns, until the node has shut down. Raises
    ConfigError.
    """
    config = read_config()
    inherited = None
    if config.control is not None:
        # The module is loaded, and a predecessor is looked for, only if the control interface is enabled.
        from sailrun.hot_restart.handover import inherit

        inherited = inherit(_identity(config))
    service = Service(read_config, config, inherited)
    async with anyio.create_task_group() as group:
        await group.start(service.handle_signals)
        service.open(group)
        log(
            "serving",
            name=config.name,
            listen=show_address(config.listen) if config.listen else None,
            amqp=show_address(config.amqp.listen) if config.amqp else None,
            control=show_address(config.control) if config.control else None,
        )
        await service.node.run()
        await service.close_pending_connections()
        group.cancel_scope.cancel()
    log("stopped", name=config.name)


def run(read_config: Callable[[], NodeConfig]) -> None:
    """Runs a node until it is signalled to stop. Raises OSError if it cannot listen on an address."""
    anyio.run(serve, read_config)
