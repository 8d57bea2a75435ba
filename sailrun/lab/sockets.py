"""The world on sockets: real `sailrun` processes on loopback, surrounded by the world's form servers,
registry, inter-node network and clients. It uses the scripts and rules of virtual time with a real clock.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Sequence
from pathlib import Path
from typing import Any

import anyio
import h11
import msgspec
import tomli_w
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

from sailrun.decisions.events import BackendState
from sailrun.lab.checks import Check
from sailrun.lab.clients import Client
from sailrun.lab.figures import quantile
from sailrun.lab.form_servers import FormServerModel, HeldConnection, Phase
from sailrun.lab.settings import SECOND, WorldSettings
from sailrun.lab.world import MOVE_DELAY_US, NODE_RESTART_US, RegistryModel, Slot, World
from sailrun.node.session import FormServer
from sailrun.rebalance.settings import RebalanceSettings

# Interval between a client's lines, and the maximum length of a line in bytes.
LINE_INTERVAL_S, MAX_LINE_BYTES = 2.0, 4096
# Time limits for a node to become ready and to exit.
READY_TIMEOUT_S, EXIT_TIMEOUT_S = 20.0, 6.0
# Rate at which the initial sessions are requested. They should all be established before the run begins.
RESUMES_PER_SECOND = 200
RECORDED_LOG_EVENTS = (
    "rebalance",
    "silent",
    "decision",
    "fault",
    "leaving",
    "roster-failed",
    "out-of-descriptors",
)

_BROKEN = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)


class RealTime:
    """The scheduler's interface on the event loop's clock."""

    def __init__(self, group: TaskGroup) -> None:
        self._group = group
        self._offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    @property
    def now_us(self) -> int:
        return time.monotonic_ns() // 1000 + self._offset_us

    def at(self, when_us: int, callback: Callable[..., None], *arguments: Any) -> None:
        self._group.start_soon(self._wait, when_us, callback, arguments)

    def after(self, wait_us: int, callback: Callable[..., None], *arguments: Any) -> None:
        self.at(self.now_us + wait_us, callback, *arguments)

    async def _wait(self, when_us: int, callback: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        await anyio.sleep_until(anyio.current_time() + (when_us - self.now_us) / SECOND)
        callback(*arguments)


class LineConnection:
    """A connection that is read and written line by line."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self._in = BufferedByteReceiveStream(stream)
        self._writing = anyio.Lock()

    async def send_line(self, text: str) -> None:
        async with self._writing:
            await self.stream.send(text.encode() + b"\r\n")

    async def receive_line(self) -> str | None:
        """Returns the next line, or None if the connection has ended or broken, or the line is too long."""
        try:
            return (
                (await self._in.receive_until(b"\n", MAX_LINE_BYTES)).decode("ascii", "replace").rstrip("\r")
            )
        except (*_BROKEN, anyio.IncompleteRead, anyio.DelimiterNotFound):
            return None

    async def close(self, abruptly: bool = False) -> None:
        with contextlib.suppress(*_BROKEN):
            if abruptly:
                raw = self.stream.extra(SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
            await self.stream.aclose()


class SocketSlot(Slot):
    def __init__(self, index: int, zone: str) -> None:
        super().__init__(index, zone)
        self.process: subprocess.Popen[bytes] | None = None
        self.address = ("127.0.0.1", 0)
        self.registry_address = ("127.0.0.1", 0)
        self.peer_listen = ("127.0.0.1", 0)
        self.peers: list[tuple[str, int]] = []
        self.broadcast = ("127.0.0.1", 0)
        self.folder = Path()


class SocketRegistry(RegistryModel):
    """A registry whose watches wait for an event that is set on every change."""

    def __init__(self, world: World[Any]) -> None:
        super().__init__(world)
        self.update_event = anyio.Event()

    def notify_watches(self) -> None:
        self.update_event.set()
        self.update_event = anyio.Event()

    def fail(self) -> None:
        super().fail()
        self.notify_watches()

    def as_json(self, entry: FormServer) -> dict[str, Any]:
        phases = {
            BackendState.READY: "SERVING",
            BackendState.DRAINING: "DRAINING",
            BackendState.GONE: "DELETED",
        }
        return {
            "id": entry.name,
            "host_port": f"{entry.address[0]}:{entry.address[1]}",
            "locality": entry.zone,
            "flavor": "std-2c",
            "cell": entry.cell,
            "phase": phases[entry.state],
            "size": entry.size,
            "up_since_ms": entry.started_us // 1000,
        }

    def full_list(self) -> dict[str, Any]:
        members = [self.as_json(e) for e in self.entries.values() if e.state is not BackendState.GONE]
        return {"revision": self.revision, "complete": True, "members": members}


class SocketWorld(World[SocketSlot]):
    """One run on sockets. Form servers, registry and clients are in this process, each node in its own."""

    registry: SocketRegistry

    def __init__(
        self,
        settings: WorldSettings,
        seed: int,
        rebalance: RebalanceSettings,
        script: Callable[[World[Any]], None],
        select_initial_servers: Callable[[Sequence[FormServerModel]], Sequence[FormServerModel]],
        progress: Callable[[float], None],
    ) -> None:
        super().__init__(settings, seed, time.time_ns() // 1000, select_initial_servers)
        self._rebalance, self._script, self._progress = rebalance, script, progress
        self.slots = [SocketSlot(n, settings.zones[n % len(settings.zones)]) for n in range(settings.nodes)]
        self._addresses: dict[int, tuple[str, int]] = {}
        self._listeners: dict[int, socket.socket] = {}
        self._server_connections: dict[
            str, tuple[LineConnection, Client]
        ] = {}  # by request: connections at the form servers
        self._clients: dict[
            str, tuple[Client, LineConnection, SocketSlot]
        ] = {}  # by request: established sessions
        self._closed_by_world: set[str] = set()  # requests whose connection the world itself closes
        self._open_requests: dict[str, Client] = {}  # by request, until its connection has ended
        self._requests = self._resumed = 0
        self._lags_ms: list[float] = []
        self._lag_check = Check("laboratory-kept-up-ms", limit=25.0)
        self._is_over = False

    async def run(self) -> list[Check]:
        """Runs the world and returns the checks with their results."""
        with tempfile.TemporaryDirectory(prefix="sailrun-lab-") as folder:
            async with anyio.create_task_group() as group:
                self._group = group
                self.time = RealTime(group)
                self.begin_us = self.time.now_us
                self.registry = SocketRegistry(self)
                await self._build_environment(Path(folder))
                try:
                    await self._run_nodes()
                finally:
                    self._is_over = True
                    for slot in self.slots:
                        if slot.process is not None:
                            slot.process.kill()
                            slot.process.wait()
                    group.cancel_scope.cancel()
        return self.checks()

    def checks(self) -> list[Check]:
        """Returns the checks with their results, without the checks of moves for balance, because sockets do
        not show the reason of a move.
        """
        unseen = (self.rules.twice, self.rules.move_onto_slow_start)
        self._lag_check.value = round(quantile(self._lags_ms, 0.99), 1)
        return [*(check for check in super().checks() if check not in unseen), self._lag_check]

    async def _measure_lag(self) -> None:
        """Measures how late this process runs. If it runs late, the results say nothing about the nodes."""
        while True:
            due = anyio.current_time() + 0.1
            await anyio.sleep_until(due)
            self._lags_ms.append(1000 * (anyio.current_time() - due))

    async def _run_nodes(self) -> None:
        for slot in self.slots:
            self._launch(slot)
        with anyio.fail_after(READY_TIMEOUT_S):
            for slot in self.slots:
                await self._until_ready(slot)
        self.populate()
        deadline = anyio.current_time() + self.settings.households / RESUMES_PER_SECOND * 2 + READY_TIMEOUT_S
        while self._resumed < self.clients and anyio.current_time() < deadline:
            await anyio.sleep(0.05)
        if self._resumed < self.clients:
            self.faults.broken(0, f"{self.clients - self._resumed} initial connections were not established")
        self.begin_us = self.time.now_us
        self.rules.begin(self.begin_us)
        self.begin(self._script)
        self._group.start_soon(self._measure_lag)
        end_us = self.begin_us + int(self.settings.seconds * SECOND)
        while self.time.now_us < end_us:
            await anyio.sleep(min(1.0, max(0.0, (end_us - self.time.now_us) / SECOND)))
            self._progress((self.time.now_us - self.begin_us) / (end_us - self.begin_us))
        self.rules.end(self.time.now_us)

    # ------------------------------------------------------------------ environment of the nodes

    async def _build_environment(self, folder: Path) -> None:
        self.build()
        for server in self.servers.values():
            self._group.start_soon(self._listen, self._listeners[server.number], self._serve, server)
        for slot in self.slots:
            listener = _listener()
            slot.registry_address = listener.getsockname()
            self._group.start_soon(self._listen, listener, self._answer_registry, slot)
            slot.address, slot.peer_listen = (
                _free_address(socket.SOCK_STREAM),
                _free_address(socket.SOCK_DGRAM),
            )
            slot.folder = folder / f"n{slot.index}"
            slot.folder.mkdir()
        await self._connect_peers()

    def address_of(self, server: FormServerModel) -> tuple[str, int]:
        if server.number not in self._listeners:
            self._listeners[server.number] = _listener()
        address: tuple[str, int] = self._listeners[server.number].getsockname()
        return address

    async def _listen(self, listener: socket.socket, serve: Callable[..., Any], *arguments: Any) -> None:
        """Accepts connections until the run ends."""

        async def serve_connection(sock: socket.socket) -> None:
            with contextlib.suppress(*_BROKEN):
                line = LineConnection(await SocketStream.from_socket(sock))
                try:
                    await serve(line, *arguments)
                finally:
                    with anyio.CancelScope(shield=True):
                        await line.close()

        while True:
            await anyio.wait_readable(listener)
            with contextlib.suppress(OSError):
                sock, _ = listener.accept()
                sock.setblocking(False)
                self._group.start_soon(serve_connection, sock)

    async def _connect_peers(self) -> None:
        """Gives each ordered pair of nodes and each node's broadcasts a socket of its own, where datagrams
        are counted, delayed or lost.
        """
        count = len(self.slots)
        pair_sockets = [[_datagram_socket() for _ in range(count)] for _ in range(count)]
        for slot in self.slots:
            broadcast = _datagram_socket()
            slot.peers = [sock.getsockname() for sock in pair_sockets[slot.index]]
            slot.broadcast = broadcast.getsockname()
            self._group.start_soon(self._forward_datagrams, broadcast, slot, None, pair_sockets)
            for other in self.slots:
                self._group.start_soon(
                    self._forward_datagrams, pair_sockets[slot.index][other.index], slot, other, pair_sockets
                )

    async def _forward_datagrams(
        self,
        sock: socket.socket,
        sender: SocketSlot,
        to: SocketSlot | None,
        pair_sockets: list[list[socket.socket]],
    ) -> None:
        while True:
            await anyio.wait_readable(sock)
            try:
                content = sock.recv(512)
            except OSError:
                continue
            for slot in self.slots if to is None else (to,):
                if slot is sender:
                    continue
                self.datagrams += 1
                self.datagram_bytes += len(content)
                if self.network_random.random() >= self.settings.datagrams_lost:
                    return_socket = pair_sockets[slot.index][sender.index]
                    delay_us = self.network_random.integer(self.settings.datagram_us)
                    self.time.after(delay_us, _send_datagram, return_socket, content, slot.peer_listen)

    async def _answer_registry(self, line: LineConnection, slot: SocketSlot) -> None:
        """Serves one node over HTTP/1.1: the full endpoint list, and a watch on changes."""
        connection = h11.Connection(h11.SERVER)
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await line.stream.receive(4096))
            elif isinstance(event, h11.Request):
                status, body, delivered = await self._registry_body(event.target.decode())
                headers = [("Content-Length", str(len(body))), ("Content-Type", "application/json")]
                out = [
                    connection.send(h11.Response(status_code=status, headers=headers)),
                    connection.send(h11.Data(data=body)),
                    connection.send(h11.EndOfMessage()),
                ]
                await line.stream.send(b"".join(part for part in out if part is not None))
                self.registry.record_delivery(slot.index, delivered)
            elif isinstance(event, h11.ConnectionClosed):
                return
            elif connection.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
                connection.start_next_cycle()

    async def _registry_body(self, target: str) -> tuple[int, bytes, list[FormServer]]:
        registry = self.registry
        await anyio.sleep(registry.random_stream.integer(self.settings.call_us) / SECOND)
        path, _, query = target.partition("?")
        query_parameters = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        if path != "/registry/instances" or not registry.reachable:
            return 503, b"{}", []
        if "after" not in query_parameters:
            gone = [e for e in registry.entries.values() if e.state is not BackendState.READY]
            return 200, json.dumps(registry.full_list()).encode(), gone
        after = int(query_parameters["after"])
        with anyio.move_on_after(int(query_parameters.get("wait_ms", "0")) / 1000):
            while registry.revision <= after and registry.reachable:
                await registry.update_event.wait()
        if not registry.reachable:
            return 503, b"{}", []
        changed = registry.since(after)
        members = [registry.as_json(entry) for entry in changed]
        body = {"revision": registry.revision, "complete": False, "members": members}
        return 200, json.dumps(body).encode(), changed

    # ------------------------------------------------------------------ form servers

    async def _serve(self, line: LineConnection, server: FormServerModel) -> None:
        """Serves one connection to a form server."""
        if server.phase in (Phase.DOWN, Phase.FALLEN):
            await line.close(abruptly=True)
            return
        await self._wait_while_unresponsive(server)
        first = await line.receive_line()
        if first is None:
            return
        parts = first.split(" ")
        fields = dict(part.partition("=")[::2] for part in parts[-1].split(","))
        if len(parts) != 4 or parts[0] != "OPEN" or parts[1] not in self._open_requests:
            await line.send_line("SYNTAX")
            return
        request, now_us = parts[1], self.time.now_us
        if "at" not in fields:
            self.rules.attempt_began(now_us, request, server.name)
        try:
            await self._set_up_session(line, server, request, fields)
        finally:
            if request in server.held and self._server_connections[request][0] is line:
                self._release(server, request)

    async def _set_up_session(
        self, line: LineConnection, server: FormServerModel, request: str, fields: dict[str, str]
    ) -> None:
        client = self._open_requests[request]
        started_us = server.started_us
        if "at" not in fields:
            took_us = server.set_up_us(self.time.now_us, client.setup_us)
            self.apply_overload(server)
            if took_us is None:
                self.rules.attempt_ended(request)
                await line.send_line("BUSY")
                return
            # A node that gives up meanwhile closes the connection, which ends the attempt.
            if not await self._wait_connected(line, took_us / SECOND):
                self.rules.attempt_ended(request)
                return
        await self._wait_while_unresponsive(server)
        self.rules.attempt_ended(request)
        if server.phase is not Phase.UP or server.started_us != started_us:
            await line.close(abruptly=True)
            return
        self._server_connections[request] = (line, client)
        server.hold(self.time.now_us, HeldConnection(request, client.group, client.load, self.time.now_us))
        self.count_session(client, server, 1)
        await line.send_line(f"UP {server.name}.{request}")
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_load_reports, line, server, request, client)
            while (received := await line.receive_line()) is not None:
                await self._wait_while_unresponsive(server)
                await anyio.sleep(server.message_us(self.time.now_us) / SECOND)
                with contextlib.suppress(*_BROKEN):
                    await line.send_line(received)
            group.cancel_scope.cancel()

    async def _wait_connected(self, line: LineConnection, seconds: float) -> bool:
        """Waits, and returns False if the node closes the connection meanwhile."""
        ended = False
        with anyio.move_on_after(seconds):
            ended = await line.receive_line() is None
        return not ended

    async def _send_load_reports(
        self, line: LineConnection, server: FormServerModel, request: str, client: Client
    ) -> None:
        load = client.load
        with contextlib.suppress(*_BROKEN):
            while request in server.held:
                await line.send_line(f"LOAD {load:.1f}")
                await anyio.sleep(self.population.next_load_change_us() / SECOND)
                await self._wait_while_unresponsive(server)
                if request in server.held:
                    load = self.population.draw_load(client)
                    server.change_load(self.time.now_us, request, load)

    async def _wait_while_unresponsive(self, server: FormServerModel) -> None:
        """Waits while the form server's machine is cut off."""
        while server.phase is Phase.UNRESPONSIVE:
            await anyio.sleep(0.05)

    def _release(self, server: FormServerModel, request: str) -> LineConnection:
        line, client = self._server_connections.pop(request)
        if server.release(self.time.now_us, request) is not None:
            self.count_session(client, server, -1)
        return line

    def break_sessions(self, server: FormServerModel, phase: Phase) -> None:
        self._end_all(server, list(server.held), "", abruptly=True)
        server.stop(phase)

    def disconnect_clients(self, server: FormServerModel) -> None:
        self._end_all(server, list(server.held), "MOVE", abruptly=False)

    def shed(self, server: FormServerModel, requests: Sequence[str]) -> None:
        self._end_all(server, requests, "", abruptly=True)

    def _end_all(
        self, server: FormServerModel, requests: Sequence[str], message: str, abruptly: bool
    ) -> None:
        for request in requests:
            self._closed_by_world.add(request)
            self._group.start_soon(self._end_one, self._release(server, request), message, abruptly)

    async def _end_one(self, line: LineConnection, message: str, abruptly: bool) -> None:
        with contextlib.suppress(*_BROKEN):
            if message:
                await line.send_line(message)
        await line.close(abruptly)

    # ------------------------------------------------------------------ clients

    def resume(self, client: Client, server: FormServerModel) -> None:
        wait_us = len(self._open_requests) * SECOND // RESUMES_PER_SECOND
        self._open_requests[self._new_request_id(client)] = client
        self.time.after(wait_us, self._start_connection, client, client.request, server)

    def connect_client(self, client: Client) -> None:
        if self.time.now_us < client.until_us and not self._is_over:
            self._open_requests[self._new_request_id(client)] = client
            self._start_connection(client, client.request, None)

    def _new_request_id(self, client: Client) -> str:
        self._requests += 1
        client.request = f"{self.seed & 0xFFFF:04x}{self._requests:012x}"
        return client.request

    def _start_connection(self, client: Client, request: str, at: FormServerModel | None) -> None:
        self._group.start_soon(self._run_connection, client, request, at)

    async def _run_connection(self, client: Client, request: str, at: FormServerModel | None) -> None:
        """Runs one connection of a client from its request to its end."""
        slot = self.pick_slot(client)
        line: LineConnection | None = None
        try:
            if slot is not None:
                line = LineConnection(await anyio.connect_tcp(*slot.address))
                await self._request_session(line, slot, client, request, at)
                return
        except _BROKEN:
            pass  # the node is not running or has closed the connection
        finally:
            self._open_requests.pop(request, None)
            self._closed_by_world.discard(request)
            if line is not None:
                with anyio.CancelScope(shield=True):
                    await line.close()
        self.rules.request_abandoned(request)
        client.failures += 1
        self._reconnect_later(
            client, client.reconnect_delay_us(self.client_random, self.settings.reconnect_us)
        )

    async def _request_session(
        self, line: LineConnection, slot: SocketSlot, client: Client, request: str, at: FormServerModel | None
    ) -> None:
        wait_us = client.request_class.deadline_us if at is None else 40 * SECOND
        fields = [f"c={client.request_class.name}", f"d={wait_us // 1000}", f"g={client.group}"]
        fields += [f"at={at.name}"] if at is not None else []
        fields += ["r=1"] if client.failures else []
        fields += ["again=1"] if client.returning else []
        asked_us = self.time.now_us
        if at is None:
            self.rules.request_opened(asked_us, request, slot.index, asked_us + wait_us)
        await line.send_line(f"OPEN {request} {client.key} {','.join(fields)}")
        answer: str | None = None
        with anyio.move_on_after(wait_us / SECOND + 1.0):
            answer = await line.receive_line()
        if answer is None:
            self.rules.request_cut_off(self.time.now_us, request, slot.process is not None)
            client.failures += 1
            self._reconnect_later(
                client, client.reconnect_delay_us(self.client_random, self.settings.reconnect_us)
            )
            return
        message = answer.split(" ")[0]
        outcome = {"UP": "served", "BYE": "served", "BUSY": "refused"}.get(message, "failed")
        if at is None:
            self._answered(client, slot, request, outcome, asked_us)
        if message != "UP":
            client.failures += 1
            advice = answer.split(" ")[1:]
            advice_us = int(advice[0]) * 1000 if outcome == "refused" and advice else 0
            reconnect_delay_us = client.reconnect_delay_us(
                self.client_random, self.settings.reconnect_us, advice_us
            )
            self._reconnect_later(client, reconnect_delay_us, client.returning)
            return
        client.failures = 0
        self._resumed += at is not None
        self._clients[request] = (client, line, slot)
        try:
            await self._hold_session(line, client, request)
        finally:
            self._clients.pop(request, None)

    async def _hold_session(self, line: LineConnection, client: Client, request: str) -> None:
        moved, deadline = False, anyio.current_time() + (client.until_us - self.time.now_us) / SECOND
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_lines, line)
            with anyio.CancelScope(deadline=deadline):
                while (received := await line.receive_line()) is not None:
                    moved = moved or received == "MOVE"
                if not moved and request not in self._closed_by_world and request in self._server_connections:
                    held_at = next((s for s in self.servers.values() if request in s.held), None)
                    if held_at is not None and held_at.phase is Phase.UP and not self._is_over:
                        self.rules.cut_off(self.time.now_us, request, held_at.name)
                group.cancel_scope.cancel()
                if moved:
                    self.record_event("move")
                    self._reconnect_later(client, self.client_random.integer(MOVE_DELAY_US))
                else:
                    client.failures += 1
                    self._reconnect_later(
                        client, client.reconnect_delay_us(self.client_random, self.settings.reconnect_us)
                    )
                return
            group.cancel_scope.cancel()  # the session reached its intended end

    async def _send_lines(self, line: LineConnection) -> None:
        with contextlib.suppress(*_BROKEN):
            await anyio.sleep(LINE_INTERVAL_S * self.fault_random.random())
            while True:
                await line.send_line("page")
                await anyio.sleep(LINE_INTERVAL_S)

    def _reconnect_later(self, client: Client, after_us: int, returning: bool = True) -> None:
        client.returning = returning
        if not self._is_over:
            self.time.after(after_us, self.connect_client, client)

    def _answered(self, client: Client, slot: SocketSlot, request: str, outcome: str, asked_us: int) -> None:
        now_us = self.time.now_us
        self.rules.answered(now_us, request, outcome)
        self.records.requests.add(
            at_us=now_us - self.begin_us,
            cls=client.request_class.name,
            answer=outcome,
            took_us=now_us - asked_us,
            attempts=0,
            node=slot.index,
            server="",
            returning=client.returning,
        )

    def drop(self, share: float, within_us: int) -> None:
        """Disconnects a share of the clients. They reconnect after their usual delay, not `within_us`."""
        self.record_event("drop", text=f"share={share}")
        for request, (client, line, _) in list(self._clients.items()):
            if self.fault_random.random() < share:
                self._closed_by_world.add(request)
                client.failures = 0
                self._group.start_soon(self._end_one, line, "", True)

    # ------------------------------------------------------------------ nodes

    def _launch(self, slot: SocketSlot) -> None:
        config = {
            "name": f"n{slot.index}",
            "listen": _address_text(slot.address),
            "discovery": _address_text(slot.registry_address),
            "seed": f"{(self.seed * 7919 + slot.index * 31 + self.time.now_us) & (1 << 63) - 1:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 16_384},
            "peer_listen": _address_text(slot.peer_listen),
            "peers": [_address_text(peer) for peer in slot.peers],
            "peers_all": _address_text(slot.broadcast),
            "known": self.registry.full_list(),
            "settings": self.settings.node_settings(slot.index),
        }
        self.rules.node_starts(slot.index)
        (slot.folder / "config.json").write_text(json.dumps(config))
        operator = slot.folder / "operator.toml"
        operator.write_text(tomli_w.dumps({"rebalance": msgspec.to_builtins(self._rebalance)}))
        arguments = ["serve", "--config", str(slot.folder / "config.json"), "--operator", str(operator)]
        inherited = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "SAILRUN_"))}
        slot.process = subprocess.Popen(
            [sys.executable, "-m", "sailrun", *arguments], env=inherited, stderr=subprocess.PIPE
        )
        self._group.start_soon(self._read_log, slot, slot.process)

    async def _until_ready(self, slot: SocketSlot) -> None:
        process = slot.process
        while slot.process is process and not slot.admitted:
            with contextlib.suppress(*_BROKEN):
                line = LineConnection(await anyio.connect_tcp(*slot.address))
                await line.send_line("PING")
                slot.admitted = await line.receive_line() == "PONG"
                await line.close()
            if process is not None and process.poll() is not None:
                raise OSError(f"node {slot.index} exited with code {process.returncode} before it was ready")
            await anyio.sleep(0.05)

    async def _read_log(self, slot: SocketSlot, process: subprocess.Popen[bytes]) -> None:
        """Reads a node's log until the process ends, and then starts the node again."""
        assert process.stderr is not None
        async for text in _lines_of(process.stderr.fileno()):
            _, event, *rest = [*text.split(" ", 2), "", ""][:3]
            if event in RECORDED_LOG_EVENTS:
                self.record_event(event, node=slot.index, text=rest[0])
            if event == "rebalance" and " moved=" in f" {rest[0]}" and "state=held" not in rest[0]:
                self.moves += int(rest[0].partition("moved=")[2].split(" ")[0])
            if event == "fault":
                self.faults.broken(self.time.now_us - self.begin_us, rest[0][:2000])
        with anyio.move_on_after(EXIT_TIMEOUT_S):
            while process.poll() is None:
                await anyio.sleep(0.02)
        if self._is_over or slot.process is not process:
            return
        slot.process, slot.admitted = None, False
        self.rules.node_gone(slot.index)
        await anyio.sleep(NODE_RESTART_US / SECOND)
        self._launch(slot)
        await self._until_ready(slot)

    def kill(self, slot: SocketSlot) -> None:
        self.record_event("kill", node=slot.index)
        if slot.process is not None:
            self._exempt_sessions(slot)
            slot.process.send_signal(signal.SIGKILL)

    def terminate(self, slot: SocketSlot) -> None:
        self.record_event("terminate", node=slot.index)
        if slot.process is not None:
            slot.process.send_signal(signal.SIGTERM)
            self.time.after(self.fault_random.integer((200_000, 400_000)), self._stop_admitting, slot)

    def _stop_admitting(self, slot: SocketSlot) -> None:
        slot.admitted = False

    def _exempt_sessions(self, slot: SocketSlot) -> None:
        """Stops admitting clients to a killed node and exempts its sessions from the rule against cut-off
        sessions.
        """
        slot.admitted = False
        self._closed_by_world.update(r for r, (_, _, at) in self._clients.items() if at is slot)
        self.rules.node_gone(slot.index)


def _listener() -> socket.socket:
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    listener.setblocking(False)
    return listener


def _datagram_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.setblocking(False)
    return sock


def _send_datagram(sock: socket.socket, content: bytes, to: tuple[str, int]) -> None:
    with contextlib.suppress(OSError):
        sock.sendto(content, to)


def _free_address(kind: socket.SocketKind) -> tuple[str, int]:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        address: tuple[str, int] = sock.getsockname()
        return address


def _address_text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


async def _lines_of(descriptor: int) -> AsyncIterator[str]:
    """Yields the lines of a pipe until it ends, without a thread."""
    os.set_blocking(descriptor, False)
    partial = b""
    while True:
        await anyio.wait_readable(descriptor)
        try:
            data = os.read(descriptor, 65536)
        except BlockingIOError:
            continue
        if not data:
            return
        *lines, partial = (partial + data).split(b"\n")
        for line in lines:
            yield line.decode(errors="replace")
