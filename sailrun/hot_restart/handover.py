"""The hot restart as seen by one process: as the successor and as the predecessor."""

from __future__ import annotations

import os
import resource
import socket
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

import anyio
from anyio.abc import TaskGroup

from sailrun.connection import OverlongLineError, show_address
from sailrun.hot_restart.channel import Channel, read_line
from sailrun.hot_restart.link import (
    MAX_SOCKETS,
    HandoverListener,
    Link,
    connect_to_predecessor,
    is_same_user,
    receive_with_sockets,
    send_with_sockets,
)
from sailrun.hot_restart.state import (
    InvalidHandoverError,
    pack,
    read_process_load,
    read_request_id,
    read_state,
    unpack,
    write_process_load,
    write_request_id,
    write_state,
)
from sailrun.hot_restart.succession import Succession
from sailrun.node.clock import log
from sailrun.node.core import Node
from sailrun.node.queries import Reply, send_query
from sailrun.node.request_ids import RequestIds
from sailrun.node.restart_state import NodeSnapshot
from sailrun.node.session_transfer import MAX_UNSETTLED_TRANSFERS
from sailrun.node.shutdown import ShutdownReason

SECOND = 1_000_000
# The time that a successor waits for the state of its predecessor, which still serves clients, and the
# interval between its requests if the predecessor closes the connection.
TAKEOVER_TIMEOUT_S, RETRY_INTERVAL_S = 3.0, 0.05
# The interval at which a predecessor reports the load that it still serves.
LOAD_REPORT_INTERVAL_US = SECOND // 4
# A connection without a request is closed after this time.
REQUEST_TIMEOUT_US = 2 * SECOND
# The messages about ids of requests: a change of one, and that the predecessor accepts no more clients.
ID_KIND, ACCEPTING_STOPPED_KIND = "request-id", "accepting-stopped"
# How long an id stays blocked that was in use in a process that has ended without releasing it.
UNSETTLED_ID_US = 10 * SECOND
# The least number of descriptors that a successor may open, however many its predecessor has open.
MIN_DESCRIPTORS = 64


@dataclass(slots=True)
class Inherited:
    """The state and the sockets that a predecessor handed over, and the connection to it."""

    link: Link
    state: NodeSnapshot | None  # None: the received state was not usable
    sockets: dict[str, socket.socket] = field(default_factory=dict)
    # The ids that the predecessor blocks, and until when, in Unix microseconds; infinity: in use.
    request_ids: list[tuple[str, float]] = field(default_factory=list)

    def socket_for(self, key: str, address: tuple[str, int]) -> socket.socket | None:
        """Returns the socket with this key if it is bound to the address; the caller then owns it."""
        sock = self.sockets.pop(key, None)
        if sock is not None and sock.getsockname()[:2] != address:
            sock.close()
            return None
        return sock

    def close(self) -> None:
        """Closes the remaining sockets and the connection."""
        for sock in self.sockets.values():
            sock.close()
        self.link.close()


def inherit(name: str) -> Inherited | None:
    """Requests the state and the sockets of the process that serves under this name; returns None if there is
    none. Blocks: this process has nothing else to do yet.
    """
    deadline = time.monotonic() + TAKEOVER_TIMEOUT_S
    while (sock := connect_to_predecessor(name)) is not None:
        try:
            sock.sendall(pack("succeed", None))
            line, sockets, following = receive_with_sockets(sock, deadline)
        except OSError as error:
            sock.close()
            if time.monotonic() + RETRY_INTERVAL_S < deadline and isinstance(error, ConnectionError):
                # The predecessor is handing over to another successor, or has just ended.
                time.sleep(RETRY_INTERVAL_S)
                continue
            log("predecessor-silent", error=str(error))
            return None
        keys, state, ids = list[str](), None, list[tuple[str, float]]()
        try:
            _, content = unpack(line)
            keys = [str(key) for key in content["sockets"]]
            state = read_state(content["state"])
            ids = [read_request_id(blocked_id) for blocked_id in content.get("ids", [])]
        except (InvalidHandoverError, KeyError, TypeError) as error:
            log("passage-dropped", why=str(error))
        if len(keys) != len(sockets):
            keys = [f"unknown {n}" for n in range(len(sockets))]
        link = Link(sock)
        link.restore(following)
        return Inherited(link, state, dict(zip(keys, sockets, strict=True)), ids)
    return None


class Handover:
    """Listens for a successor, and communicates with the predecessor and the successor if they exist."""

    def __init__(
        self,
        node: Node,
        name: str,
        max_descriptors: int,
        get_sockets: Callable[[], Mapping[str, socket.socket]],
        set_paused: Callable[[bool], None],
        inherited: Inherited | None,
        adopt: Callable[[Any, Sequence[socket.socket]], None],
        request_ids: RequestIds,
    ) -> None:
        """`name`: the identity that the node keeps when its process is replaced. `descriptors`: the node's
        limit of open descriptors. `get_sockets`: returns the sockets that are passed to a successor, by key.
        `set_paused`: True stops accepting at these sockets, so that only the successor accepts; False resumes
        it. `adopt`: takes over an established session, or raises ValueError. `request_ids`: those of the
        front whose sessions are adopted.
        """
        self._node, self._name, self._max_descriptors = node, name, max_descriptors
        self._get_sockets, self._set_paused, self._inherited, self._adopt = (
            get_sockets,
            set_paused,
            inherited,
            adopt,
        )
        self._succession = Succession()
        # The other processes of this node, which mirror its operator commands.
        self._channels: set[Channel] = set()
        self._predecessor_descriptors = 0  # descriptors that the predecessor has open, as last reported
        node.on_operator_command = self._forward_operator_command
        self._request_ids = request_ids
        request_ids.on_change = self._forward_id_change
        self._predecessor_channel: Channel | None = None
        if inherited is not None:
            # Registered before the node executes its first command.
            self._predecessor_channel = Channel(inherited.link)
            self._channels.add(self._predecessor_channel)
            request_ids.restore(inherited.request_ids)

    async def run(self) -> None:
        """Runs until cancelled. A successor first notifies its predecessor, which then stops accepting.

        If the socket for a successor cannot be created, it only runs until the predecessor has ended.
        """
        barrier = self._node.barrier
        async with anyio.create_task_group() as group:
            if self._predecessor_channel is not None:
                channel = self._predecessor_channel
                group.start_soon(barrier.run_task, "predecessor", self._run_as_successor, channel)
            try:
                handover_listener = HandoverListener(self._name)
            except OSError as error:
                log("no-doorstep", error=str(error))
                return
            try:
                while True:
                    await anyio.wait_readable(handover_listener.listener)
                    try:
                        sock = handover_listener.listener.accept()[0]
                    except OSError:  # the successor disconnected and connects again, or no descriptor is free
                        await anyio.sleep_until(anyio.current_time() + 0.05)
                        continue
                    group.start_soon(barrier.run_task, "successor", self._serve_successor, sock)
            finally:
                anyio.notify_closing(handover_listener.listener)
                handover_listener.close()

    # ------------------------------------------------------------------ messages between the two processes

    def _forward_operator_command(self, command: str, content: Any, origin: object | None) -> None:
        for channel in self._channels:
            if channel is not origin:
                channel.send_message(command, content)

    def _forward_id_change(self, id_: str, blocked_until_us: float) -> None:
        for channel in self._channels:
            channel.send_message(ID_KIND, write_request_id(id_, blocked_until_us))

    def _handle_common_message(self, channel: Channel, kind: str, content: Any) -> None:
        """Handles a message that either process may send."""
        if kind == ID_KIND:
            self._request_ids.apply_change(*read_request_id(content))
        else:
            self._node.mirror_operator_command(kind, content, channel)

    async def _run_channel(
        self, channel: Channel, handle_message: Callable[[Channel, str, Any, TaskGroup], None]
    ) -> None:
        """Sends and receives messages until the other process closes the connection."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(channel.write)
                while (line := await read_line(channel.link)) is not None:
                    kind, content = unpack(line)
                    handle_message(channel, kind, content, group)
                group.cancel_scope.cancel()
        except* (OSError, OverlongLineError):
            pass  # the other process has ended
        except* InvalidHandoverError as broken:
            log("passage-dropped", why=str(broken.exceptions[0]))
        finally:
            self._close_channel(channel)

    def _close_channel(self, channel: Channel) -> None:
        self._channels.discard(channel)
        channel.close()

    # ------------------------------------------------------------------ as the successor

    async def _run_as_successor(self, channel: Channel) -> None:
        def handle_message(channel: Channel, kind: str, content: Any, _group: TaskGroup) -> None:
            if kind == "held":
                load = read_process_load(content)
                self._limit_descriptors(load.descriptors)
                self._node.update_predecessor_load(load)
            elif kind == "session":
                self._receive_session(channel, content)
            elif kind == ACCEPTING_STOPPED_KIND:
                self._request_ids.mark_current()
            else:
                self._handle_common_message(channel, kind, content)

        channel.send_message("took", None)
        try:
            await self._run_channel(channel, handle_message)
        finally:
            self._limit_descriptors(0)
            self._node.update_predecessor_load(None)
            self._forget_other_process()
        log("predecessor-ended")

    def _forget_other_process(self) -> None:
        self._request_ids.on_other_process_ended(self._node.clock.now_us() + UNSETTLED_ID_US)

    def _receive_session(self, channel: Channel, content: Any) -> None:
        """Takes over an established session, which this process owns once it has sent `adopted`."""
        sockets = channel.link.take_sockets()
        try:
            self._adopt(content["session"], sockets)
        except (ValueError, KeyError, TypeError) as error:
            for sock in sockets:
                sock.close()
            log("session-not-taken", why=str(error))
            channel.send_message("refused", content["number"])
            return
        self._limit_descriptors(self._predecessor_descriptors - len(sockets))
        channel.send_message("adopted", content["number"])

    def _limit_descriptors(self, predecessor_descriptors: int) -> None:
        """Sets this process's limit of open descriptors, so that both processes together stay within the
        limit of one node. 3 descriptors for each session that may be in transfer are allowed in addition.
        """
        self._predecessor_descriptors = max(0, predecessor_descriptors)
        limit = (
            self._max_descriptors
            - self._predecessor_descriptors
            + (3 * MAX_UNSETTLED_TRANSFERS if self._predecessor_descriptors else 0)
        )
        hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        soft_limit = min(self._max_descriptors, max(MIN_DESCRIPTORS, limit))
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft_limit, hard_limit))

    # ------------------------------------------------------------------ as the predecessor

    async def _serve_successor(self, sock: socket.socket) -> None:
        link, clock = Link(sock), self._node.clock
        is_request = False
        with anyio.CancelScope(deadline=clock.to_deadline(clock.now_us() + REQUEST_TIMEOUT_US)):
            try:
                line = await read_line(link) if is_same_user(sock) else None
                is_request = line is not None and unpack(line)[0] == "succeed"
            except (OSError, OverlongLineError, InvalidHandoverError) as error:
                log("passage-dropped", why=str(error))
        if not is_request or not self._succession.on_request():
            link.close()
            return
        channel = Channel(link)
        try:
            snapshot = await send_query(partial(self._snapshot_for, channel))
            sockets = dict(list(self._get_sockets().items())[:MAX_SOCKETS])
            content = {"sockets": list(sockets), **snapshot}
            await send_with_sockets(link, pack("state", content), list(sockets.values()))
            log("handed-over", sockets=",".join(f"{k}={_format_address(s)}" for k, s in sockets.items()))
            await self._run_channel(channel, self._handle_successor_message)
        except OSError as error:
            log("successor-unreached", error=str(error))
        finally:
            self._close_channel(channel)
            self._forget_other_process()
            if self._succession.on_disconnected(ShutdownReason.RESTART in self._node.shutdown):
                self._node.set_successor(None)
                self._set_paused(False)

    def _snapshot_for(self, channel: Channel, reply: Reply[dict[str, Any]]) -> None:
        """Takes the snapshot for a successor and registers its channel before the next command is executed or
        request id taken: each is in the snapshot or follows it on the channel, and none is both.
        """

        def register(state: NodeSnapshot) -> None:
            ids = [write_request_id(*blocked_id) for blocked_id in self._request_ids.snapshot()]
            self._channels.add(channel)
            reply({"state": write_state(state), "ids": ids})

        self._node.snapshot_state(register)

    def _handle_successor_message(self, channel: Channel, kind: str, content: Any, group: TaskGroup) -> None:
        if kind in ("adopted", "refused"):
            channel.settle(content, kind == "adopted")
        elif kind != "took":
            self._handle_common_message(channel, kind, content)
        elif self._succession.on_accepted():
            self._set_paused(True)
            channel.send_message(ACCEPTING_STOPPED_KIND, None)
            self._node.set_successor(channel.send_session)
            group.start_soon(self._report_load, channel)

    async def _report_load(self, channel: Channel) -> None:
        clock = self._node.clock
        next_us = clock.now_us()
        while True:
            load = await send_query(self._node.report_local_load)
            descriptors = len(os.listdir("/proc/self/fd"))
            channel.send_message("held", write_process_load(replace(load, descriptors=descriptors)))
            next_us += LOAD_REPORT_INTERVAL_US
            await anyio.sleep_until(clock.to_deadline(next_us))


def _format_address(sock: socket.socket) -> str:
    return show_address(sock.getsockname()[:2])
