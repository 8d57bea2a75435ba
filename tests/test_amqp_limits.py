"""AMQP clients that overload a node or leave early: no late attempts, bounded memory, others are served."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import anyio
import anyio.lowlevel
import anyio.to_thread
import proton
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sailrun.amqp.engine import AmqpSettings, Engine
from sailrun.amqp.limits import MAX_INVALID_LINKS, MAX_LINKS_PER_CONNECTION, LinkLimits, session_window_bytes
from sailrun.connection import Connection
from tests.amqp_stand_ins import REQUEST, AmqpConnection, AmqpFormServer
from tests.stand_ins import TIMEOUT_S, RegistryStandIn, RunningNode, connect, sidecar

Overload = Callable[[AmqpConnection, int], None]  # has a client do something this many times
# An attempt that reaches a form server later than this after its client left counts as a lost request.
LATE_ATTEMPT_S = 0.1


class TimedFormServer(AmqpFormServer):
    """Records when each attach arrived."""

    def __init__(self, name: str) -> None:
        self.attached_at: list[float] = []
        super().__init__(name)

    def _attach(self, event: Any) -> None:
        self.attached_at.append(time.monotonic())
        super()._attach(event)


@pytest.fixture
def form_server() -> Iterator[TimedFormServer]:
    server = TimedFormServer("s-5be2a07c")
    yield server
    server.stop()


@pytest.fixture
def running(tmp_path: Path, form_server: TimedFormServer) -> Iterator[RunningNode]:
    roster = RegistryStandIn([])
    roster.publish(form_server.entry())
    with sidecar(tmp_path, {"source": "http", "address": roster.address}) as running:
        for _ in range(2):  # the second watch shows that the list has arrived
            roster.requests.get(timeout=TIMEOUT_S)
        yield running


def begin_session(client: AmqpConnection) -> Any:
    client.amqp_connection.open()
    session = client.amqp_connection.session()
    session.open()
    return session


def attach(session: Any, name: str) -> Any:
    link = session.sender(name)
    link.target.address = "answers"
    link.properties = {proton.symbol(k): v for k, v in {**REQUEST, "sailrun:key": name}.items()}
    link.open()
    return link


def take_output(client: AmqpConnection) -> bytes:
    """Returns everything that the client would write now."""
    output = b""
    while (pending := client.transport.pending()) > 0:
        data = bytes(client.transport.peek(pending) or b"")
        client.transport.pop(len(data))
        output += data
    return output


def attach_many_links(client: AmqpConnection, count: int) -> None:
    session = begin_session(client)
    for n in range(count):
        attach(session, f"link-{n}")


def connect_with_output(running: RunningNode, overload: Overload, count: int) -> tuple[AmqpConnection, bytes]:
    """Returns a new connection and what its client sends. The output is made first, because the node closes a
    connection that sends nothing for a while.
    """
    with socket.socket() as unconnected:
        client = AmqpConnection(unconnected)
        overload(client, count)
        output = take_output(client)
    client.sock = connect(running.amqp)
    return client, output


def test_an_attach_is_not_forwarded_after_its_client_has_left(
    running: RunningNode, form_server: TimedFormServer
) -> None:
    # Guards against requests being forwarded whose client has closed its connection, because the node still
    # reads the many frames that were sent before.
    client, output = connect_with_output(running, attach_many_links, 1500)
    client.sock.sendall(output)
    client.sock.close()
    left_at = time.monotonic()
    running.logged("connection-ended", "front=amqp")
    other = AmqpConnection(connect(running.amqp))
    link = other.open_link()
    other.wait_until(lambda: link.state & proton.Endpoint.REMOTE_ACTIVE)
    *of_the_first_client, _ = form_server.attached_at
    assert [at - left_at for at in of_the_first_client if at - left_at > LATE_ATTEMPT_S] == []


def test_a_connection_that_ends_before_its_attempts_start_causes_no_fault(running: RunningNode) -> None:
    # Guards against a fault for each attempt that the node starts after the connection of its link has ended.
    # The fixture fails at any line `fault`.
    for _ in range(40):
        client = AmqpConnection(connect(running.amqp))
        session = begin_session(client)
        for n in range(5):
            attach(session, f"link-{n}")
        client.sock.sendall(take_output(client))
        client.sock.shutdown(socket.SHUT_WR)
        client.sock.close()
    running.wait_for_metric("inflight", 0)
    assert running.read_metrics()["faults"] == 0


def test_an_engine_that_was_abandoned_before_it_runs_ends_at_once() -> None:
    # Guards against a fault in an attempt that times out in the step in which it has connected.
    async def run() -> None:
        own, other = socket.socketpair()
        engine = Engine(Connection(own), AmqpSettings(), lambda _event: None, is_server=False)
        engine.amqp_connection.open()
        engine.dispatch_events()
        engine.abandon()
        with anyio.fail_after(TIMEOUT_S):
            await engine.run()
        other.close()

    anyio.run(run)


def resident_bytes(running: RunningNode) -> int:
    status = Path(f"/proc/{running.process.pid}/status").read_text()
    (peak,) = (int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
    return peak * 1024


def send_in_background(client: AmqpConnection, output: bytes) -> threading.Thread:
    def send() -> None:
        with contextlib.suppress(OSError):  # the node has closed the connection
            client.sock.sendall(output)

    thread = threading.Thread(target=send)
    thread.start()
    return thread


def read_to_end(sock: socket.socket) -> bytes:
    """Returns what the node sends until it ends the connection."""
    sock.settimeout(TIMEOUT_S)
    received = b""
    with contextlib.suppress(ConnectionError):
        while data := sock.recv(65536):
            received += data
    return received


def answer_time_s(running: RunningNode, name: str) -> float:
    began = time.monotonic()
    other = AmqpConnection(connect(running.amqp))
    link = other.open_link(name=name)
    other.wait_until(lambda: link.state & proton.Endpoint.REMOTE_ACTIVE)
    other.sock.close()
    return time.monotonic() - began


def begin_many_sessions(client: AmqpConnection, count: int) -> None:
    client.amqp_connection.open()
    for _ in range(count):
        client.amqp_connection.session().open()


def attach_many_invalid_links(client: AmqpConnection, count: int) -> None:
    session = begin_session(client)
    for n in range(count):
        session.sender(f"link-{n}").open()


OVERLOADS = [
    (begin_many_sessions, b"amqp:connection:framing-error"),
    (attach_many_invalid_links, b"amqp:resource-limit-exceeded"),
]


@pytest.mark.parametrize(("overload", "error"), OVERLOADS)
def test_a_client_over_a_limit_is_sent_the_error(
    running: RunningNode, overload: Overload, error: bytes
) -> None:
    client, output = connect_with_output(running, overload, 100)
    client.sock.sendall(output)
    assert error in read_to_end(client.sock)


@pytest.mark.parametrize(("overload", "error"), OVERLOADS)
def test_a_connection_with_too_many_sessions_or_invalid_links_is_closed_with_its_error(
    running: RunningNode, overload: Overload, error: bytes
) -> None:
    # Guards against one connection that takes memory without end: sessions, or invalid links, under ever new
    # names, without reading what it is sent.
    answer_time_s(running, "first")
    before = resident_bytes(running)
    client, output = connect_with_output(running, overload, 20_000)
    thread = send_in_background(client, output)
    assert answer_time_s(running, "other") < 1.0
    read_to_end(client.sock)  # a reset, as the client is still sending, or the error
    thread.join()
    client.sock.close()
    running.logged("connection-ended", f"reason={error.decode()}")
    assert resident_bytes(running) - before < 8 * 2**20
    answer_time_s(running, "last")


def test_a_client_that_detaches_its_invalid_links_is_not_disconnected(running: RunningNode) -> None:
    client = AmqpConnection(connect(running.amqp))
    session = begin_session(client)
    for n in range(4 * MAX_INVALID_LINKS):
        link = session.sender(f"link-{n}")
        link.open()
        assert client.wait_for_detach(link).name == "amqp:invalid-field"
        link.close()
        link.free()
    assert running.read_metrics()["rejected_inputs.client"] == 4 * MAX_INVALID_LINKS
    valid = client.open_link()
    client.wait_until(lambda: valid.state & proton.Endpoint.REMOTE_ACTIVE)


class CountedConnection:
    """A connection of `LinkLimits` with this many links, of which `ended` were detached by the node."""

    def __init__(self, links: int, ended: int) -> None:
        self.link_count, self.ended, self.is_closed = links, ended, False

    def count_invalid_links(self) -> int:
        return 0

    def count_ended_links(self) -> int:
        return self.ended

    def close_for_too_many_links(self) -> None:
        self.is_closed = True


def test_with_too_many_links_in_all_the_connection_that_leaves_most_undetached_is_closed() -> None:
    limits = LinkLimits(descriptors=1024)
    connections = [CountedConnection(900, 3), CountedConnection(200, 200), CountedConnection(948, 0)]
    for connection in connections:
        limits.add(connection)
    limits.enforce(connections[2])
    assert not any(connection.is_closed for connection in connections)
    connections[2].link_count += 1
    limits.enforce(connections[2])
    assert [connection.is_closed for connection in connections] == [False, True, False]
    connections[2].link_count = MAX_LINKS_PER_CONNECTION + 1
    limits.enforce(connections[2])
    assert connections[2].is_closed


@given(st.integers(512, 2**24))
def test_a_sessions_window_holds_a_frame_and_not_much_more(max_frame_size: int) -> None:
    # Guards against a form server that does not read leaving a megabyte of each of its clients in memory.
    assert max_frame_size <= session_window_bytes(max_frame_size) <= max(64 * 1024, 2 * max_frame_size)


def exceed_a_limit(engine: Engine) -> None:
    engine.close_with_error("amqp:resource-limit-exceeded", "too many")


def stay_idle(_engine: Engine) -> None:
    """The other side has sent nothing, so its idle time-out ends the connection."""


@pytest.mark.parametrize("end", [exceed_a_limit, stay_idle])
def test_a_connection_ends_although_its_other_side_reads_nothing(end: Callable[[Engine], None]) -> None:
    # Guards against a connection that stays open because its last frames cannot be written.
    async def run() -> None:
        own, other = socket.socketpair()
        own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        engine = Engine(Connection(own), AmqpSettings(idle_time_out_ms=300), lambda _event: None, False)
        engine.amqp_connection.open()
        session = engine.amqp_connection.session()
        engine.open_session(session)
        for n in range(2_000):
            session.sender(f"link-{n}").open()
        engine.dispatch_events()
        with anyio.fail_after(TIMEOUT_S / 4):
            async with anyio.create_task_group() as group:
                group.start_soon(engine.run)
                await anyio.wait_all_tasks_blocked()
                assert engine.transport.pending() > 0  # the write is blocked
                end(engine)
        other.close()

    anyio.run(run)


def test_a_reset_does_not_overtake_the_close_frame() -> None:
    # Guards against a close with unread input while the other side has not received everything: the system
    # then drops what is left to be sent.
    async def run() -> bytes:
        listener = socket.create_server(("127.0.0.1", 0))
        other = socket.socket()
        other.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        other.connect(listener.getsockname())
        own = listener.accept()[0]
        listener.close()

        def answer(event: Any) -> None:
            if event.type == proton.Event.CONNECTION_REMOTE_OPEN:
                event.connection.open()
            elif event.type == proton.Event.SESSION_REMOTE_OPEN:
                engine.open_session(event.session)
            elif event.type == proton.Event.LINK_REMOTE_OPEN:
                event.link.open()

        engine = Engine(Connection(own), AmqpSettings(), answer, is_server=True)
        client = AmqpConnection(other)
        attach_many_links(client, 1_000)
        async with anyio.create_task_group() as group:
            group.start_soon(engine.run)
            other.sendall(take_output(client))
            await anyio.wait_all_tasks_blocked()
            engine.close_with_error("amqp:resource-limit-exceeded", "too many")
            other.sendall(bytes(10_000))  # the engine reads no frames any more
            await anyio.lowlevel.checkpoint()
            received = await anyio.to_thread.run_sync(read_to_end, other)
        other.close()
        return received

    assert b"amqp:resource-limit-exceeded" in anyio.run(run)


def test_a_session_is_opened_with_its_window() -> None:
    # Guards against the default of the library, which is without a limit.
    async def run() -> int:
        own, other = socket.socketpair()
        engine = Engine(Connection(own), AmqpSettings(max_frame_size=4096), lambda _event: None, True)
        session = engine.amqp_connection.session()
        engine.open_session(session)
        own.close()
        other.close()
        return int(session.incoming_capacity)

    assert anyio.run(run) == session_window_bytes(4096)
