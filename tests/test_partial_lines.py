"""A form server that stops within a line: the client gets complete lines, then `MOVE`, whatever moves it."""

from __future__ import annotations

import contextlib
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sailrun.node.clock import Clock
from sailrun.node.core import Node
from sailrun.node.request_ids import RequestIds
from sailrun.text_protocol import clients as clients_module
from sailrun.text_protocol import graceful_close
from sailrun.text_protocol.clients import ClientConnection, ClientFront
from sailrun.text_protocol.lines import parse_open_request
from sailrun.text_protocol.load_reports import FormServerLoads
from sailrun.text_protocol.transferred_session import TransferredSession
from tests.free_ports import free_port
from tests.stand_ins import SETTINGS, TIMEOUT_S, FormServer, Peer, RegistryStandIn, RunningNode, node

# A complete line, and one that the form server stops at each byte of.
OUTPUT = b"re 1\r\nre answer\r\n"
# Longer than a node waits for a line to be completed.
PIECES_APART_S = 0.8


@pytest.fixture
def form_server() -> Iterator[FormServer]:
    server = FormServer("s-5be2a07c")
    yield server
    server.stop()


class PlayedNode:
    """A node with clients of one form server, each of which got another number of bytes of `OUTPUT`."""

    def __init__(self, folder: Path, form_server: FormServer, stack: ExitStack) -> None:
        self.folder, self.form_server, self.stack = folder, form_server, stack
        self.listen = f"127.0.0.1:{free_port()}"
        self.roster = RegistryStandIn([form_server.entry()])
        self.running = self.start()
        self.clients: list[Peer] = []

    def start(self) -> RunningNode:
        control = f"127.0.0.1:{free_port()}"
        return self.stack.enter_context(node(self.folder, self.roster, listen=self.listen, control=control))

    def establish(self) -> None:
        """Establishes one session for each number of bytes, and has the form server send that many."""
        for count in range(len(OUTPUT) + 1):
            client = self.running.request_session(f"{count:016x}", group=f"{count:016x}")
            assert client.read_line() == "UP r1"
            self.form_server.peers[count].sock.sendall(OUTPUT[:count])
            # An answer that is still under way would be taken for one to a later line of the client.
            complete_lines = OUTPUT[: OUTPUT[:count].rfind(b"\n") + 1]
            assert client.file.read(len(complete_lines)) == complete_lines
            self.clients.append(client)


def fall_silent(played: PlayedNode) -> None:
    played.form_server.answer = None
    for client in played.clients:
        client.send_line("page 3")


def terminate(played: PlayedNode) -> None:
    played.running.terminate()


def drain_node(played: PlayedNode) -> None:
    assert played.running.call("drain-on") == "ok"


def exclude_form_server(played: PlayedNode) -> None:
    assert played.running.call(f"set-down {played.form_server.name}") == "ok"


def drain_form_server(played: PlayedNode) -> None:
    played.roster.publish(played.form_server.entry("DRAINING"))


def replace_process(played: PlayedNode) -> None:
    successor = played.start()
    for count in range(len(OUTPUT) + 1):
        successor.logged("adopted", f"id={count:016x}")
    played.running.terminate()
    assert played.running.process.wait(TIMEOUT_S) == 0
    successor.process.send_signal(signal.SIGTERM)


@pytest.mark.parametrize(
    "move",
    [fall_silent, terminate, drain_node, exclude_form_server, drain_form_server, replace_process],
)
def test_a_client_is_moved_between_two_lines_at_whatever_byte_its_form_server_stops(
    tmp_path: Path, form_server: FormServer, move: Callable[[PlayedNode], None]
) -> None:
    # Guards against `MOVE` being written behind half a line: `re 0000000MOVE`.
    with ExitStack() as stack:
        played = PlayedNode(tmp_path, form_server, stack)
        played.establish()
        move(played)
        for count, client in enumerate(played.clients):
            assert client.file.read() == b"MOVE\r\n", count


class FakeNode:
    """The calls of a `Node` that an established session makes."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.outcomes: list[Any] = []

    def attempt_ended(self, _session: Any, _placement: Any, outcome: Any) -> None:
        self.outcomes.append(outcome)

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_arguments: None


def adopt(content: dict[str, Any], client: socket.socket, server: socket.socket) -> ClientConnection:
    waiting = SimpleNamespace(add_closing=lambda _scope: None, remove=lambda _scope: None)
    fake_node = cast(Node, FakeNode())
    front = SimpleNamespace(
        node=fake_node,
        groups=False,
        classes={"page-load"},
        waiting=waiting,
        request_ids=RequestIds(Clock()),
        blocks_id_until_us=lambda _session, _was_established: 0,
        loads=FormServerLoads(fake_node),
    )
    return ClientConnection.from_transfer(cast(ClientFront, front), content, [client, server])


async def wait_until_read(sock: socket.socket) -> None:
    with contextlib.suppress(BlockingIOError):
        while sock.recv(1, socket.MSG_PEEK):
            await anyio.sleep(0)
    await anyio.sleep(0)


async def play_session(forwarded: bytes, withheld: bytes, chunks: list[bytes]) -> bytes:
    """Has a session adopted, sends the chunks from its form server, and moves it; returns what its client
    gets.
    """
    request = parse_open_request(b"OPEN a b c=page-load,d=2000\r\n", {"page-load"})
    transferred = TransferredSession(request, "a.1", "s-1", 0, (), None, b"", forwarded, withheld)
    (client, node_client), (server, node_server) = socket.socketpair(), socket.socketpair()
    connection = adopt(transferred.to_content(), node_client, node_server)
    async with anyio.create_task_group() as group:
        group.start_soon(connection.run)
        await wait_until_read(node_server)
        for chunk in chunks:
            server.sendall(chunk)
            await wait_until_read(node_server)
        connection.move()
        received = await anyio.to_thread.run_sync(read_to_end, client)
        server.close()
        client.close()
    return received


def read_to_end(sock: socket.socket) -> bytes:
    sock.settimeout(TIMEOUT_S)
    received = b""
    while data := sock.recv(4096):
        received += data
    return received


# What form servers send, cut into pieces at any bytes.
pieces = st.lists(st.lists(st.sampled_from([b"re", b" ", b"\r\n", b"BYE\r\n"])).map(b"".join), max_size=4)
parts = st.sampled_from([b"", b"r", b"re 5", b"\r"])


@pytest.fixture
def short_partial_line_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients_module, "PARTIAL_LINE_TIMEOUT_US", 5_000)
    monkeypatch.setattr(graceful_close, "LINGER_US", 5_000)


@settings(deadline=None, max_examples=60)
@given(parts, parts, pieces)
@pytest.mark.usefixtures("short_partial_line_timeout")
def test_nothing_of_the_nodes_own_follows_half_a_line(
    forwarded: bytes, withheld: bytes, chunks: list[bytes]
) -> None:
    # `forwarded`: a predecessor of an earlier version has sent half a line to the client.
    sent = withheld + b"".join(chunks)
    complete_lines = sent[: sent.rfind(b"\n") + 1]
    received = anyio.run(play_session, forwarded, withheld, chunks)
    if forwarded and not complete_lines:
        assert received == b""
    else:
        assert received == complete_lines + b"MOVE\r\n"


def test_half_a_line_at_the_end_of_a_session_is_forwarded_with_the_end(
    tmp_path: Path, form_server: FormServer
) -> None:
    with node(tmp_path, RegistryStandIn([form_server.entry()])) as running:
        client = running.request_session()
        assert client.read_line() == "UP r1"
        form_server.peers[0].sock.sendall(b"page 6\r\npage ")
        form_server.peers[0].sock.shutdown(socket.SHUT_WR)
        assert client.file.read() == b"page 6\r\npage "


def test_an_earlier_version_refuses_a_session_with_a_withheld_part() -> None:
    # It would take the part for forwarded, and the client would miss it.
    request = parse_open_request(b"OPEN a b c=page-load,d=2000\r\n", {"page-load"})
    for withheld in (b"", b"half"):
        session = TransferredSession(request, "a.1", "s-1", 0, (5,), 2.0, b"x", b"old ", withheld)
        content = session.to_content()
        assert ("half_said" in content) is not bool(withheld)
        assert TransferredSession.from_content(content, {"page-load"}) == session
        with contextlib.suppress(KeyError):
            del content["half_said"]
        content.pop("withheld_part", None)
        with pytest.raises(ValueError, match="half_said"):
            TransferredSession.from_content(content, {"page-load"})


class HesitantFormServer(FormServer):
    """Answers each line in two pieces, and slowly: when a client is moved, it is within a line."""

    def serve(self, peer: Peer) -> None:
        self.first_lines.put(peer.read_line())
        peer.send_line("UP r1")
        while line := peer.read_line():
            peer.sock.sendall(b"re ")
            time.sleep(PIECES_APART_S)
            peer.send_line(line)


def read_until_moved(client: Peer) -> list[str]:
    """Sends lines one after another until the connection ends; returns what the client got."""
    received = []
    with contextlib.suppress(OSError):
        client.send_line("page 3")
        while line := client.read_line():
            received.append(line)
            client.send_line("page 3")
    return received


def test_clients_are_moved_off_a_crowded_form_server_between_two_lines(tmp_path: Path) -> None:
    # Guards against `MOVE` behind half a line where the decisions move a client, not the node.
    server = HesitantFormServer("s-5be2a07c")
    objectives = {"messageAimUs": [50_000.0, 50_000.0]}
    changes = {"settings": {**SETTINGS, "familyInfo": {**SETTINGS["familyInfo"], **objectives}}}
    with node(tmp_path, RegistryStandIn([server.entry()]), None, None, **changes) as running:
        clients = [running.request_session(f"{n:016x}", group=f"{n:016x}") for n in range(6)]
        assert [client.read_line() for client in clients] == ["UP r1"] * 6
        received: list[list[str]] = []
        threads = [
            threading.Thread(target=lambda client=client: received.append(read_until_moved(client)))
            for client in clients
        ]
        for thread in threads:
            thread.start()
        running.logged("ended", "reason=moved", "moved_for=crowded")
        running.terminate()
        for thread in threads:
            thread.join()
    assert [lines[-1] for lines in received] == ["MOVE"] * 6
    assert {line for lines in received for line in lines[:-1]} <= {"re page 3"}
    server.stop()
