"""Hot restart: real processes that replace each other, and the messages between them."""

from __future__ import annotations

import math
import os
import shutil
import socket
import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sailrun.decisions.events import (
    SETUP_RATE_FIELDS,
    BackendSnapshot,
    BackendState,
    ListKind,
    SetupRateSnapshot,
    StateSnapshot,
)
from sailrun.hot_restart.state import (
    InvalidHandoverError,
    pack,
    read_process_load,
    read_state,
    unpack,
    write_process_load,
    write_state,
)
from sailrun.hot_restart.succession import Role, Succession
from sailrun.node.restart_state import NodeSnapshot, ProcessLoad
from sailrun.node.session import FormServer as ListedFormServer
from sailrun.node.session import ServerListUpdate
from tests.free_ports import free_port
from tests.stand_ins import TIMEOUT_S, FormServer, Peer, RegistryStandIn, RunningNode, node


class SuccessiveProcesses:
    """Starts processes of one node, one after another, in one folder."""

    def __init__(self, folder: Path, servers: list[FormServer], stack: ExitStack) -> None:
        self.folder, self._stack = folder, stack
        self.roster = RegistryStandIn([s.entry() for s in servers])
        self.listen = f"127.0.0.1:{free_port()}"

    def start(self, **changes: Any) -> RunningNode:
        settings = {"listen": self.listen, "control": f"127.0.0.1:{free_port()}", **changes}
        return self._stack.enter_context(node(self.folder, self.roster, **settings))


@pytest.fixture
def processes(tmp_path: Path, servers: list[FormServer]) -> Iterator[SuccessiveProcesses]:
    # The path of the folder is longer than the address of a Unix socket is allowed to be.
    folder = tmp_path / ("long" * 30)
    folder.mkdir()
    with ExitStack() as stack:
        yield SuccessiveProcesses(folder, servers, stack)


def request_sessions(listen: str, count: int, answers: list[str]) -> None:
    """Requests `count` sessions one after another, and appends each answer or error to `answers`."""
    host, port = listen.split(":")
    for n in range(count):
        try:
            peer = Peer(socket.create_connection((host, int(port)), TIMEOUT_S))
            peer.send_line(
                f"OPEN {n:08x}{threading.get_ident() % 2**32:08x} 7f3a9c21e0b4d655 c=page-load,d=8000,g=1"
            )
            answers.append(peer.read_line())
            peer.close()
        except OSError as error:
            answers.append(repr(error))


def test_hot_restart_refuses_no_new_client(processes: SuccessiveProcesses) -> None:
    first = processes.start()
    answers: list[str] = []
    threads = [
        threading.Thread(target=request_sessions, args=(processes.listen, 500, answers)) for _ in range(4)
    ]
    for thread in threads:
        thread.start()
    for _ in range(2):
        second = processes.start()
        assert second.call("check") == "ok"
        first.terminate()
        assert first.process.wait(TIMEOUT_S) == 0
        first = second
    for thread in threads:
        thread.join()
    assert answers == ["UP r1"] * 2000
    assert first.read_metrics()["calls.page-load.failure"] == 0


def test_established_sessions_are_transferred_with_partial_lines(
    processes: SuccessiveProcesses, servers: list[FormServer]
) -> None:
    first = processes.start()
    clients = []
    for n in range(60):
        client = first.request_session(f"{n:016x}", group=f"{n:016x}")
        assert client.read_line() == "UP r1"
        clients.append(client)
    clients[0].sock.sendall(b"half a ")  # one client and one form server have each sent half a line
    form_server, peer = next((s, s.peers[0]) for s in servers if s.peers)
    peer.sock.sendall(b"LOAD 81")
    second = processes.start()
    for n in range(60):
        second.logged("adopted", f"id={n:016x}")
    first.terminate()
    assert first.process.wait(TIMEOUT_S) == 0
    peer.sock.sendall(b"2.5\r\n")
    clients[0].sock.sendall(b"page\r\n")
    load_reports = 0
    for n, client in enumerate(clients):
        if n:
            client.send_line(f"page {n}")
        line = client.read_line()
        if line == "LOAD 812.5":
            load_reports, line = load_reports + 1, client.read_line()
        assert line == (f"page {n}" if n else "half a page")
    assert load_reports == 1 and form_server.ends.empty()
    metrics = second.read_metrics()
    assert metrics["inflight"] == 60 and metrics["calls.page-load.success"] == 0
    for client in clients:
        client.close()
    second.wait_for_metric("inflight", 0)
    assert "moved" not in "".join(first.lines + second.lines)


def test_predecessor_keeps_sessions_that_a_killed_successor_had_not_accepted(
    processes: SuccessiveProcesses,
) -> None:
    first = processes.start()
    clients = []
    for n in range(30):
        clients.append(first.request_session(f"{n:016x}", group=f"{n:016x}"))
        assert clients[-1].read_line() == "UP r1"
    second = processes.start()
    second.logged("adopted")
    second.process.kill()
    first.logged("successor-lost")
    surviving_sessions = 0
    for client in clients:
        try:
            client.send_line("page 3")
            surviving_sessions += client.read_line() == "page 3"
        except OSError:
            pass  # the successor owned it when it was killed
    assert surviving_sessions == int(first.wait_for_metric("inflight", surviving_sessions)["inflight"])


def test_successor_has_the_state_of_its_predecessor(
    processes: SuccessiveProcesses, servers: list[FormServer]
) -> None:
    first = processes.start()
    assert first.call(f"set-down {servers[0].name}") == "ok"
    processes.roster.publish(FormServer("s-00000003").entry())
    first.wait_for_metric("hosts_listed", 3)
    assert first.call("drain-on") == "ok"
    second = processes.start()
    metrics = second.read_metrics()
    assert metrics["hosts_listed"] == 3 and metrics["hosts_down"] == 1
    assert metrics["calls.page-load.success"] == 0
    assert second.call("check").startswith("fail")  # the node is still draining
    # An operator may send a command to either of the two processes.
    assert first.call("drain-off") == "ok"
    while second.call("check") != "ok":
        pass
    assert second.call(f"set-up {servers[0].name}") == "ok"
    assert second.read_metrics()["hosts_down"] == 0


def test_predecessor_accepts_clients_again_after_its_successor_was_killed(
    processes: SuccessiveProcesses,
) -> None:
    first = processes.start()
    client = first.request_session("1" * 16)
    assert client.read_line() == "UP r1"
    second = processes.start()
    first.logged("leaving", "reason=succeeded")
    second.process.kill()
    first.logged("successor-lost")
    client = first.request_session()
    assert client.read_line() == "UP r1"
    assert first.call("check") == "ok"
    third = processes.start()
    assert third.call("check") == "ok"
    first.terminate()
    assert first.process.wait(TIMEOUT_S) == 0


def test_successor_that_fails_to_start_has_no_effect(processes: SuccessiveProcesses) -> None:
    first = processes.start()
    # The control address is in use, so the process exits before it takes over any socket or session.
    environment = {
        **os.environ,
        "RELAY_CONFIG": str(processes.folder / "config.json"),
        "TMPDIR": str(processes.folder),
    }
    finished = subprocess.run(
        [sys.executable, "-m", "sailrun"], env=environment, capture_output=True, text=True
    )
    assert finished.returncode == 2 and finished.stderr.count("\n") == 1
    client = first.request_session()
    assert client.read_line() == "UP r1"
    assert first.call("check") == "ok"


def test_stale_socket_file_is_replaced(processes: SuccessiveProcesses) -> None:
    first = processes.start()
    first.process.kill()
    first.process.wait(TIMEOUT_S)
    second = processes.start()
    assert second.call("check") == "ok"
    third = processes.start()
    second.logged("handed-over")
    assert third.call("check") == "ok"


def test_two_processes_without_a_shared_folder_both_listen(
    processes: SuccessiveProcesses, tmp_path: Path
) -> None:
    first = processes.start()
    other = tmp_path / "other"
    other.mkdir()
    shutil.copy(tmp_path / ("long" * 30) / "config.json", other)
    with node(other, processes.roster, listen=processes.listen, control=f"127.0.0.1:{free_port()}") as second:
        assert second.call("check") == "ok" and first.call("check") == "ok"
        assert second.request_session().read_line() == "UP r1"


# ---------------------------------------------------------------------- messages between the two

STARTED_US = 1_700_000_000_000_000
FORM_SERVER = ListedFormServer(
    "s-5be2a07c", ("127.0.0.1", 5000), BackendState.READY, "daejeon-1", 3, 1.5, STARTED_US
)
BACKEND_SNAPSHOT = BackendSnapshot(
    FORM_SERVER.number, STARTED_US, 0, 5, 1, 0, 2, True, 3.5, 7, math.inf, 8, -1, 0.25, STARTED_US + 1
)
STATE = NodeSnapshot(
    ServerListUpdate(ListKind.CACHED, 41, (FORM_SERVER,)),
    frozenset({"s-5be2a07c", "s-gone"}),
    True,
    StateSnapshot(
        (BACKEND_SNAPSHOT,),
        SetupRateSnapshot(*map(float, range(len(SETUP_RATE_FIELDS)))),
        {"page-load": (812.5, 17)},
    ),
)


def test_state_and_load_survive_encoding() -> None:
    kind, content = unpack(pack("state", write_state(STATE)))
    assert kind == "state" and read_state(content) == STATE
    load = ProcessLoad({FORM_SERVER.number: 812.5}, 3, True, 40)
    assert read_process_load(unpack(pack("held", write_process_load(load)))[1]) == load


def test_truncated_or_corrupted_line_is_rejected() -> None:
    line = pack("state", write_state(STATE))
    for n in range(len(line)):
        with pytest.raises(InvalidHandoverError):
            unpack(line[:n])
        if line[n : n + 1] != b"#":
            with pytest.raises(InvalidHandoverError):
                unpack(line[:n] + b"#" + line[n + 1 :])


@given(st.recursive(st.none() | st.booleans() | st.integers() | st.text(), st.lists, max_leaves=5), st.data())
def test_malformed_state_is_rejected(other: Any, data: st.DataObject) -> None:
    content = write_state(STATE)
    key = data.draw(st.sampled_from(sorted(content)))
    try:
        read_state({**content, key: other})
        is_accepted = True
    except InvalidHandoverError:
        is_accepted = False
    # Well-formed content is accepted: it is another state.
    assert is_accepted is (
        (key == "learned" and other == [])
        or (key == "out_by_hand" and isinstance(other, list) and all(isinstance(o, str) for o in other))
        or (key == "draining" and isinstance(other, bool))
    )
    with pytest.raises(InvalidHandoverError):
        read_state({k: v for k, v in content.items() if k != key})
    with pytest.raises(InvalidHandoverError):
        read_state(other)


@given(st.lists(st.sampled_from(["request", "accepted", "disconnected", "disconnected-in-shutdown"])))
def test_one_of_two_processes_accepts_clients_after_any_events(events: list[str]) -> None:
    succession = Succession()
    is_handed_over = is_accepted = False  # from the successor's point of view
    for event in events:
        match event:
            case "request":
                is_granted = succession.on_request()
                assert is_granted is not (
                    is_handed_over or (succession.role is Role.SUCCEEDED and not is_accepted)
                )
                is_handed_over = is_handed_over or is_granted
            case "accepted" if is_handed_over:
                assert succession.on_accepted() is not is_accepted
                is_accepted = True
            case "disconnected" if is_handed_over:
                assert succession.on_disconnected(False) is is_accepted
                is_handed_over = is_accepted = False
            case "disconnected-in-shutdown" if is_handed_over:
                assert succession.on_disconnected(True) is False
                return  # the predecessor shuts down without a successor
        assert (succession.role is Role.SUCCEEDED) is is_accepted
