"""Race conditions in the real program: each test forces one order of two events that may occur in either."""

from __future__ import annotations

import os
import resource
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import anyio
import pytest

from sailrun.connection import Connection
from sailrun.decisions.actions import MoveReason
from sailrun.decisions.placement import MASK, backend_hash, key_hash
from sailrun.http_calls import HttpCalls
from sailrun.node.clock import Clock
from sailrun.node.form_server_monitor import FormServerMonitor
from sailrun.node.session import FormSession, server_number
from tests.stand_ins import (
    SETTINGS,
    TIMEOUT_S,
    FormServer,
    Peer,
    RegistryStandIn,
    RunningNode,
    node,
    roster_entry,
)

TCP_CLOSE_WAIT = 8
SYN_SENT = "02"
LONG_TIMEOUT_SETTINGS = {**SETTINGS, "limits": {**SETTINGS["limits"], "connectTimeoutUs": 8_000_000}}
LONG_TIMEOUT_SETTINGS["services"] = [
    {**service, "objectiveUs": 8_000_000} for service in SETTINGS["services"]
]


class UnreachableFormServer:
    """A form server to which connections stay in progress until `accept_connections` is called."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self.port = int(self._listener.getsockname()[1])
        # These connections fill the accept queue, so that the first packet of the next one is dropped and has
        # to be sent again.
        self._fill = [socket.socket() for _ in range(3)]
        for sock in self._fill:
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", self.port))

    def entry(self, phase: str = "SERVING") -> dict[str, Any]:
        return roster_entry(self.name, f"127.0.0.1:{self.port}", phase)

    def wait_for_connection_attempt(self, process: int) -> None:
        """Waits until a connection from this process to here is in progress."""
        until = time.monotonic() + TIMEOUT_S
        pending_entry = f"0100007F:{self.port:04X} {SYN_SENT}"
        own_ports = {sock.getsockname()[1] for sock in self._fill}
        while True:
            assert time.monotonic() < until, "no connection from the process is in progress"
            for line in Path(f"/proc/{process}/net/tcp").read_text().splitlines():
                local, remote = line.split()[1:2], " ".join(line.split()[2:4])
                if remote == pending_entry and int(local[0].rpartition(":")[2], 16) not in own_ports:
                    return
            time.sleep(0.01)

    def accept_connections(self) -> Iterator[Peer]:
        """Accepts all connections except those that filled the accept queue."""
        own_ports = {sock.getsockname() for sock in self._fill}
        for sock in self._fill:
            sock.close()
        self._listener.listen(16)
        self._listener.settimeout(TIMEOUT_S)
        while True:
            sock, address = self._listener.accept()
            if address in own_ports:
                sock.close()
            else:
                yield Peer(sock)

    def stop(self) -> None:
        self._listener.close()


@contextmanager
def process_stopped(running: RunningNode) -> Iterator[None]:
    """Stops the process. Everything that arrives meanwhile is ready to be read when the process continues."""
    os.kill(running.process.pid, signal.SIGSTOP)
    state = Path(f"/proc/{running.process.pid}/stat")
    try:
        while state.read_text().rpartition(") ")[2][0] != "T":
            time.sleep(0.001)
        yield
    finally:
        os.kill(running.process.pid, signal.SIGCONT)


def find_group_that_prefers(first: str, second: str) -> str:
    one, other = (backend_hash(server_number(name)) for name in (first, second))
    groups = (f"{n:016x}" for n in range(1000))
    return next(g for g in groups if (one * key_hash(g)) & MASK > (other * key_hash(g)) & MASK)


@pytest.fixture
def unreachable() -> Iterator[UnreachableFormServer]:
    server = UnreachableFormServer("s-5be2a07c")
    yield server
    server.stop()


@pytest.fixture
def form_server() -> Iterator[FormServer]:
    server = FormServer("s-00000002")
    yield server
    server.stop()


@pytest.mark.parametrize("phase", ["DRAINING", "DELETED"])
def test_a_form_server_that_drains_or_is_removed_while_connecting_receives_no_request(
    tmp_path: Path, unreachable: UnreachableFormServer, form_server: FormServer, phase: str
) -> None:
    roster = RegistryStandIn([unreachable.entry(), form_server.entry()])
    with node(tmp_path, roster, settings=LONG_TIMEOUT_SETTINGS) as running:
        client = running.request_session(group=find_group_that_prefers(unreachable.name, form_server.name))
        unreachable.wait_for_connection_attempt(running.process.pid)
        roster.publish(unreachable.entry(phase))
        running.logged("roster", "kind=delta")
        assert (
            next(unreachable.accept_connections()).read_line() == ""
        )  # connected, and closed without sending a byte
        assert client.read_line() == "UP r1"
        assert form_server.first_lines.qsize() == 1
    roster.stop()


def test_a_retry_that_connects_for_longer_than_the_idempotency_window_is_not_sent(
    tmp_path: Path, unreachable: UnreachableFormServer, form_server: FormServer
) -> None:
    form_server.answer = "ERR"  # the request may have had an effect there
    effect = {"effect": "deduplicated", "group": "all", "repeatWindowUs": 900_000}
    services = [{**service, **effect} for service in LONG_TIMEOUT_SETTINGS["services"]]
    roster = RegistryStandIn([unreachable.entry(), form_server.entry()])
    with node(tmp_path, roster, settings={**LONG_TIMEOUT_SETTINGS, "services": services}) as running:
        client = running.request_session(group=find_group_that_prefers(form_server.name, unreachable.name))
        form_server.first_lines.get(timeout=TIMEOUT_S)
        unreachable.wait_for_connection_attempt(running.process.pid)
        # The dropped packet is sent again after a second, which is after the idempotency window of 0.9 s.
        assert next(unreachable.accept_connections()).read_line() == ""
        assert client.read_line() == "ERR"
    roster.stop()


def test_a_request_whose_client_leaves_as_the_connection_opens_is_not_forwarded(
    tmp_path: Path, unreachable: UnreachableFormServer, form_server: FormServer
) -> None:
    roster = RegistryStandIn([unreachable.entry(), form_server.entry()])
    with node(tmp_path, roster, settings=LONG_TIMEOUT_SETTINGS) as running:
        client = running.request_session(group=find_group_that_prefers(unreachable.name, form_server.name))
        unreachable.wait_for_connection_attempt(running.process.pid)
        with process_stopped(running):
            peer = next(unreachable.accept_connections())
            client.end()
        assert peer.read_line() == ""
        running.logged("ended", "id=9b1f03aa5c7e2d41")  # logged as left, or as failed if the node was faster
        assert form_server.first_lines.empty()
    roster.stop()


def test_a_line_that_crosses_a_move_does_not_reset_the_connection(
    tmp_path: Path, form_server: FormServer
) -> None:
    roster = RegistryStandIn([form_server.entry()])
    with node(tmp_path, roster) as running:
        client = running.request_session()
        assert client.read_line() == "UP r1"
        roster.publish(form_server.entry("DRAINING"))
        assert client.read_line() == "MOVE"
        assert client.read_line() == ""
        client.send_line("page 3")
        # Over loopback a reset would have arrived by now; a client with unread input would lose that input.
        assert client.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE_WAIT
        client.end()
        assert form_server.ends.get(timeout=TIMEOUT_S) == "ended"
    roster.stop()


def test_nothing_is_read_from_a_form_server_after_its_end(tmp_path: Path, form_server: FormServer) -> None:
    roster = RegistryStandIn([form_server.entry()])
    with node(tmp_path, roster) as running:
        client = running.request_session()
        assert client.read_line() == "UP r1"
        form_server.peers[0].send_line("BYE")
        form_server.peers[0].end()
        assert client.read_line() == "BYE"
        assert client.read_line() == ""
        client.send_line("page 3")
        assert client.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE_WAIT
        client.close()
        running.logged("ended", "reason=served")
        running.terminate()  # a fault of the client's task would be logged by the time the process has exited
        assert running.process.wait(TIMEOUT_S) == 0
    roster.stop()


def test_idle_connections_are_answered_busy_when_the_node_exits(
    tmp_path: Path, form_server: FormServer
) -> None:
    roster = RegistryStandIn([form_server.entry()])
    services = [{**service, "deadlineUs": 1_200_000} for service in SETTINGS["services"]]
    with node(tmp_path, roster, settings={**SETTINGS, "services": services}) as running:
        running.terminate()
        running.logged("leaving")
        idle_clients = [running.connect() for _ in range(3)]
        for client in idle_clients:
            client.send_line("PING")
            assert client.read_line() == "PONG"
        assert [client.read_line() for client in idle_clients] == ["BUSY"] * 3
        idle_clients[0].send_line("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=page-load,d=800")
        assert [client.read_line() for client in idle_clients] == [""] * 3
        assert form_server.first_lines.empty()
        assert running.process.wait(TIMEOUT_S) == 0
    roster.stop()


def connect_without_free_descriptors() -> None:
    """Checks that `HttpCalls` releases its reserved descriptor when it ends, and can connect while no other
    descriptor is free. Runs in a separate process, where nothing else opens or closes descriptors.
    """
    listener = socket.create_server(("127.0.0.1", 0))

    async def connect_twice() -> None:
        before = os.listdir("/proc/self/fd")
        ended = HttpCalls(Clock(), listener.getsockname())
        (await ended._connect()).close()
        ended.end()
        assert os.listdir("/proc/self/fd") == before
        calls = HttpCalls(Clock(), listener.getsockname())
        (await calls._connect()).close()
        resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))
        descriptors = []
        with suppress(OSError):
            while True:
                descriptors.append(os.dup(listener.fileno()))
        assert descriptors
        (await calls._connect()).close()

    anyio.run(connect_twice)


def test_a_descriptor_is_reserved_for_discovery() -> None:
    run = "from tests.test_race_conditions import connect_without_free_descriptors as run; run()"
    subprocess.run([sys.executable, "-c", run], cwd=Path(__file__).parent.parent, check=True)


def test_an_unresponsive_connection_is_ended_in_time_whenever_it_stopped_responding() -> None:
    # The connection returned its last line at 0. The next line is sent up to 2 s later, and the connection
    # has to be ended within 7 s from 0.
    monitor = FormServerMonitor()
    silent, responsive = (FormSession(n, "page-load", 0, None) for n in ("silent", "responsive"))  # type: ignore[arg-type]
    monitor.sessions = {"silent": silent, "responsive": responsive}
    silent.unanswered_since_us.append(2_000_000)
    monitor.failure_detector.last_received_us = 6_800_000  # from the responsive connection
    assert list(monitor.find_unresponsive_sessions(6_900_000)) == [silent]
    assert list(monitor.find_unresponsive_sessions(3_000_000)) == []
    silent.move_reason = MoveReason.UNRESPONSIVE
    assert list(monitor.find_unresponsive_sessions(6_900_000)) == []


def test_unread_input_is_detected_and_not_consumed() -> None:
    local, remote = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
    connection = Connection(local)
    assert not connection.is_readable()
    remote.sendall(b"more")
    assert connection.is_readable() and local.recv(10) == b"more"
    assert not connection.is_readable()
    remote.close()
    assert connection.is_readable()
    local.close()
