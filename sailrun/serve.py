"""Puts the node together: the core, the fronts that are switched on, the roster, and the signals."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio
from anyio.abc import TaskStatus

from sailrun.config import EnvoyFiles, EnvoyRest, NodeConfig, ServerRoster
from sailrun.connection import listen, show_address
from sailrun.node.clock import Clock, log
from sailrun.node.core import Node
from sailrun.platform.households import serve_households
from sailrun.platform.neighbours import Datagrams, Probes
from sailrun.roster import RosterClient

if TYPE_CHECKING:
    from sailrun.xds.rosters import EnvoyRoster


async def _leave_when_told(node: Node, *, task_status: TaskStatus[None]) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()  # nothing is served before this: a SIGTERM would kill outright
        async for _ in signals:
            node.leave()


def _roster(node: Node, config: NodeConfig) -> RosterClient | EnvoyRoster:
    match config.roster:
        case ServerRoster(address):
            return RosterClient(node, address, config.known.revision)
        case EnvoyFiles(cluster, clusters, endpoints):
            from sailrun.xds.rosters import FileRoster

            return FileRoster(node, cluster, clusters, endpoints)
        case EnvoyRest(cluster, address):
            from sailrun.xds.rosters import RestRoster

            return RestRoster(node, cluster, address)


async def serve(config: NodeConfig) -> None:
    node = Node(config.settings, config.seed, Clock(), config.known)
    roster = _roster(node, config)
    node.roster = roster
    # Before any task: an address that is not to be had is the caller's fault, and ends in one line.
    households = [listen(config.listen)] if config.listen is not None else []
    amqp_households = [listen(config.amqp.listen)] if config.amqp is not None else []
    async with anyio.create_task_group() as group:
        await group.start(_leave_when_told, node)
        group.start_soon(roster.run)
        group.start_soon(serve_households, node, households, config.groups)
        if config.amqp is not None:
            # Loaded only where it is switched on: the platform's nodes carry neither engine nor codec.
            from sailrun.amqp.engine import AmqpTerms
            from sailrun.amqp.households import serve_amqp

            terms = AmqpTerms(config.name, config.amqp.max_frame_size, config.amqp.idle_time_out_ms)
            group.start_soon(serve_amqp, node, amqp_households, terms)
        if config.settings.probes:
            node.prober = Probes(node, group)
        if config.settings.peer_messages and config.peer_listen is not None:
            datagrams = Datagrams(node, config.peer_listen, config.peers, config.peers_all)
            node.neighbours = datagrams
            group.start_soon(datagrams.run)
        log(
            "serving",
            name=config.name,
            listen=show_address(config.listen) if config.listen else None,
            amqp=show_address(config.amqp.listen) if config.amqp else None,
        )
        await node.run()
        group.cancel_scope.cancel()
    log("stopped", name=config.name)


def run(config: NodeConfig) -> None:
    """Serves until told to stop; an address that cannot be listened on raises OSError."""
    anyio.run(serve, config)
