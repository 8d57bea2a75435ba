"""Clients that send invalid input or nothing get an error or are disconnected in time, and never get a
session.
"""

from __future__ import annotations

import contextlib
import resource
import socket
import struct
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.stand_ins import FormServer, Peer, RegistryStandIn, RunningNode, node

TIME_LIMIT_S = 3.0


@pytest.fixture
def form_server() -> Iterator[FormServer]:
    server = FormServer("s-5be2a07c")
    yield server
    server.stop()


@pytest.fixture
def running(tmp_path: Path, form_server: FormServer) -> Iterator[RunningNode]:
    with node(tmp_path, RegistryStandIn([form_server.entry()])) as running:
        yield running
        assert not any("fault" in line or "Traceback" in line for line in running.lines)


def read_to_end(client: Peer) -> str:
    """Returns everything that the node still sends until the connection ends or breaks."""
    received = b""
    client.sock.settimeout(TIME_LIMIT_S)
    with contextlib.suppress(ConnectionError):
        while data := client.sock.recv(4096):
            received += data
    return received.decode()


OPENING = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 "


@pytest.mark.parametrize(
    "sent",
    [
        OPENING + "c=page-load-old,d=2000\r\n",  # a class that does not exist
        OPENING + "c=page-load,d=-1\r\n",
        OPENING + "c=page-load,d=0\r\n",
        OPENING + "c=page-load,d=999999999999\r\n",
        OPENING + "c=page-load,d=soon\r\n",
        "OPEN  7f3a9c21e0b4d655 c=page-load,d=2000\r\n",  # no id
        (OPENING + "c=page-load,d=2000\r\n") * 300,  # hundreds of commands at once
        "PING\r\n" * 300,
        "\x00\xff" * 2000 + "\r\n",
    ],
    ids=["class", "negative", "zero", "huge", "no-number", "no-id", "hundreds", "checks", "noise"],
)
def test_an_invalid_request_gets_an_error_and_reaches_no_form_server(
    running: RunningNode, form_server: FormServer, sent: str
) -> None:
    # A request of an unknown class was once placed as if it were of the first class. Form servers rejected
    # it, and these rejections counted against them in outlier detection.
    client = running.connect()
    client.sock.sendall(sent.encode("latin-1"))
    assert read_to_end(client).removeprefix("PONG\r\n" * 16) == "ERR\r\n"
    assert form_server.first_lines.empty()
    assert running.request_session().read_line() == "UP r1"


@pytest.mark.parametrize("id_", ["d=2000", "x,d=2000"])
def test_a_field_in_place_of_the_id_is_forwarded_unchanged(
    running: RunningNode, form_server: FormServer, id_: str
) -> None:
    # Guards against rewriting such an id in place of the deadline: a first line that no client sent.
    assert running.request_session(id_).read_line() == "UP r1"
    command, forwarded_id, key, fields = form_server.first_lines.get(timeout=TIME_LIMIT_S).split(" ")
    assert (command, forwarded_id, key) == ("OPEN", id_, "7f3a9c21e0b4d655")
    request_class, wait, group = fields.split(",")
    assert (request_class, group) == ("c=page-load", "g=5c0f6e1a2b3d4c59")
    assert 0 < int(wait.removeprefix("d=")) <= 8000


def test_a_second_command_before_the_answer_is_an_error(
    running: RunningNode, form_server: FormServer
) -> None:
    form_server.answer = None
    client = running.request_session()
    form_server.first_lines.get(timeout=TIME_LIMIT_S)
    client.send_line(OPENING + "c=page-load,d=2000")
    assert read_to_end(client) == "ERR\r\n"
    assert form_server.ends.get(timeout=TIME_LIMIT_S)
    running.logged("ended", "reason=spoke-too-soon")


def test_an_id_in_use_is_not_accepted_twice(running: RunningNode, form_server: FormServer) -> None:
    # If the second request were forwarded, it would duplicate the first client's request.
    first = running.request_session()
    assert first.read_line() == "UP r1"
    assert read_to_end(running.request_session()) == "ERR\r\n"
    assert form_server.first_lines.qsize() == 1
    first.send_line("page 3")
    assert first.read_line() == "page 3"
    first.close()
    running.logged("ended", "reason=household-left")
    assert running.request_session().read_line() == "UP r1"


def test_a_huge_value_is_cut_off_in_bounded_memory(running: RunningNode) -> None:
    client = running.connect()
    chunk = b"7" * 2**20
    began = time.monotonic()
    with contextlib.suppress(ConnectionError):
        client.sock.sendall(OPENING.encode() + b"c=page-load,d=")
        for _ in range(60):
            client.sock.sendall(chunk)
    assert read_to_end(client) in ("ERR\r\n", "")
    assert time.monotonic() - began < 6
    status = Path(f"/proc/{running.process.pid}/status").read_text()
    (peak,) = (int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
    assert peak < 64 * 1024


def test_silent_connections_are_closed_in_time_and_do_not_block_clients(tmp_path: Path) -> None:
    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))

    server = FormServer("s-5be2a07c")
    with node(tmp_path, RegistryStandIn([server.entry()]), prepare=limit_descriptors) as running:
        silent = [running.connect() for _ in range(300)]
        began = time.monotonic()
        late_client = running.request_session()
        assert late_client.read_line() == "UP r1"
        # Their requests may be arriving at that moment, so the answer states that nothing was executed.
        assert [read_to_end(client) for client in silent] == ["BUSY\r\n"] * len(silent)
        assert time.monotonic() - began < TIME_LIMIT_S
        running.logged("ended", "reason=crowded-out")
        late_client.send_line("page 3")
        assert late_client.read_line() == "page 3"


def test_a_client_that_disconnects_at_once_does_not_end_the_node(
    running: RunningNode, form_server: FormServer
) -> None:
    # A client may leave while its request is still in the node's queue. The command to place that request
    # once ended the node.
    def connect_and_break() -> None:
        for n in range(100):
            client = running.request_session(f"{threading.get_ident():x}.{n}")
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.close()

    threads = [threading.Thread(target=connect_and_break) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert running.request_session().read_line() == "UP r1"
    assert running.process.poll() is None
