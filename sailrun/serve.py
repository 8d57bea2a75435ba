"""Puts the node together: the core, the fronts that are switched on, the roster, and the signals."""

from __future__ import annotations

import signal

import anyio

from sailrun.config import NodeConfig
from sailrun.connection import listen, show_address
from sailrun.node.clock import Clock, log
from sailrun.node.core import Node
from sailrun.platform.households import serve_households
from sailrun.platform.neighbours import Datagrams, Probes
from sailrun.roster import RosterClient


async def _leave_when_told(node: Node) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            node.leave()


async def serve(config: NodeConfig) -> None:
    node = Node(config.settings, config.seed, Clock(), config.known)
    listener = listen(config.listen)
    roster = RosterClient(node, config.discovery, config.known.revision)
    node.roster = roster
    async with anyio.create_task_group() as group:
        group.start_soon(_leave_when_told, node)
        group.start_soon(roster.run)
        group.start_soon(serve_households, node, [listener], config.groups)
        if config.settings.probes:
            node.prober = Probes(node, group)
        if config.settings.peer_messages and config.peer_listen is not None:
            datagrams = Datagrams(node, config.peer_listen, config.peers, config.peers_all)
            node.neighbours = datagrams
            group.start_soon(datagrams.run)
        log("serving", name=config.name, listen=show_address(config.listen))
        await node.run()
        group.cancel_scope.cancel()
    log("stopped", name=config.name)


def run(config: NodeConfig) -> None:
    anyio.run(serve, config)
