"""The control address of a real process: its calls, their effects, and the metrics."""

from __future__ import annotations

import json
import os
import resource
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sailrun.control.calls import InvalidCallError, parse_call
from sailrun.node.shutdown import ShutdownPlans, ShutdownReason
from tests.free_ports import free_port
from tests.stand_ins import TIMEOUT_S, FormServer, Peer, RegistryStandIn, RunningNode, connect, node

SECOND = 1_000_000


@pytest.fixture
def running(tmp_path: Path, servers: list[FormServer]) -> Iterator[RunningNode]:
    roster = RegistryStandIn([s.entry() for s in servers])
    with node(tmp_path, roster, control=f"127.0.0.1:{free_port()}") as running:
        yield running


def establish(running: RunningNode, n: int) -> Peer:
    client = running.request_session(f"{n:016x}", group=f"{n:016x}")
    assert client.read_line() == "UP r1"
    return client


def test_invalid_calls_fail_and_valid_calls_are_answered(running: RunningNode) -> None:
    assert running.call("check") == "ok"
    assert running.call("set-down s-99999999") == "fail no form server 's-99999999'"
    assert running.call("set-up s-99999999").startswith("fail ")
    assert running.call("set-up s-5be2a07c") == "ok"  # it is not excluded, which is no error
    for line in ("", "set-down", "check now", "vars all", "drain", "\u00e4", "x" * 600):
        assert running.call(line).startswith("fail "), line


@given(st.binary(max_size=80))
def test_any_line_is_parsed_or_rejected(line: bytes) -> None:
    try:
        call = parse_call(line)
    except InvalidCallError:
        return
    assert line.split()[0] == call.verb.value.encode()


def test_metrics_match_the_answers_that_clients_received(
    running: RunningNode, servers: list[FormServer]
) -> None:
    assert set(running.read_metrics().values()) == {0, 2}
    clients = [establish(running, n) for n in range(5)]
    for server in servers:
        server.answer = "ERR"
    failed = running.request_session("e" * 16, wait_ms=700)
    assert failed.read_line() == "ERR"
    for server in servers:
        server.answer = "BUSY"
    rejected = running.request_session("f" * 16, wait_ms=700)
    assert rejected.read_line().startswith("BUSY")
    clients.pop().close()
    metrics = running.wait_for_metric("inflight", 4)
    attempts = sum(s.first_lines.qsize() for s in servers)
    assert metrics == {
        "calls.page-load.success": 5,
        "calls.page-load.busy": 1,
        "calls.page-load.failure": 1,
        "calls.answer-save.success": 0,
        "calls.answer-save.busy": 0,
        "calls.answer-save.failure": 0,
        "backend_calls": attempts,
        "reconfig_ok": 0,
        "reconfig_failed": 0,
        "faults": 0,
        "rejected_inputs.client": 0,
        "rejected_inputs.form-server": 0,
        "rejected_inputs.registry": 0,
        "inflight": 4,
        "hosts_listed": 2,
        "hosts_down": metrics["hosts_down"],
    }


def test_excluded_form_server_gets_no_sessions_even_if_it_is_listed_again(
    tmp_path: Path, servers: list[FormServer]
) -> None:
    roster = RegistryStandIn([s.entry() for s in servers])
    with node(tmp_path, roster, control=f"127.0.0.1:{free_port()}") as running:
        clients = [establish(running, n) for n in range(12)]
        excluded = next(s for s in servers if s.first_lines.qsize())
        session_count = excluded.first_lines.qsize()
        assert running.call(f"set-down {excluded.name}") == "ok"
        assert running.call(f"set-down {excluded.name}") == "ok"
        assert running.read_metrics()["hosts_down"] == 1
        # The registry removes it, and lists it again as one that accepts sessions.
        for phase in ("DELETED", "SERVING"):
            roster.publish(excluded.entry(phase))
            running.logged("roster", f"revision={roster.revision}")
        for n in range(12, 24):
            establish(running, n)
        assert excluded.first_lines.qsize() == session_count
        for _ in range(session_count):
            assert excluded.ends.get(timeout=TIMEOUT_S) == "ended"
        moved = [c for c in clients if is_moved(c)]
        assert len(moved) == session_count
        assert running.call(f"set-up {excluded.name}") == "ok"
        assert running.read_metrics()["hosts_down"] == 0
        deadline_s = time.monotonic() + TIMEOUT_S
        n = 24
        while excluded.first_lines.qsize() == session_count:
            assert time.monotonic() < deadline_s
            establish(running, n).close()
            n += 1


def is_moved(client: Peer) -> bool:
    """Returns whether the node has moved the client; if not, its line is echoed."""
    client.send_line("page 3")
    return client.read_line() == "MOVE"


def test_request_is_rejected_at_once_if_all_form_servers_are_excluded(
    running: RunningNode, servers: list[FormServer]
) -> None:
    for server in servers:
        assert running.call(f"set-down {server.name}") == "ok"
    started_s = time.monotonic()
    answer = running.request_session().read_line()
    assert time.monotonic() - started_s < 1
    verdict, _, retry_after = answer.partition(" ")
    assert verdict == "BUSY" and int(retry_after) > 0


def test_draining_node_is_not_ready_and_moves_all_clients_until_the_drain_ends(running: RunningNode) -> None:
    clients = [establish(running, n) for n in range(6)]
    assert running.call("drain-on") == "ok"
    assert running.call("drain-on") == "ok"
    assert ping(running) != "PONG"
    assert running.call("check").startswith("fail")
    clients.append(establish(running, 7))  # a client that still requests a session is answered
    assert [c.read_line() for c in clients] == ["MOVE"] * 7
    running.wait_for_metric("inflight", 0)
    assert running.call("drain-off") == "ok"
    assert running.call("drain-off") == "ok"
    assert ping(running) == "PONG"
    assert running.call("check") == "ok"
    client = establish(running, 8)
    client.send_line("page 3")
    assert client.read_line() == "page 3"


def test_drain_that_is_ended_early_moves_no_more_clients(running: RunningNode) -> None:
    client = establish(running, 1)
    assert running.call("drain-on") == "ok"
    assert running.call("drain-off") == "ok"
    running.logged("drain-over", "sessions=1")
    client.send_line("page 3")
    assert client.read_line() == "page 3"


def ping(running: RunningNode) -> str:
    connection = running.connect()
    connection.send_line("PING")
    answer = connection.read_line()
    connection.close()
    return answer


def test_silent_callers_and_incomplete_calls_do_not_block_others(running: RunningNode) -> None:
    with ExitStack() as stack:
        for n in range(60):
            caller = Peer(connect(running.control))
            stack.callback(caller.close)
            caller.sock.sendall((b"", b"va", b"set-down s-5be")[n % 3])
        started_s = time.monotonic()
        assert running.call("check") == "ok"
        assert time.monotonic() - started_s < 1


def test_call_that_arrives_in_single_bytes_is_answered(running: RunningNode) -> None:
    caller = Peer(connect(running.control))
    for byte in b"check\r\n":
        caller.sock.sendall(bytes([byte]))
    assert caller.read_line() == "ok"


def test_node_without_free_descriptors_still_answers(tmp_path: Path, servers: list[FormServer]) -> None:
    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))

    roster = RegistryStandIn([s.entry() for s in servers])
    control = f"127.0.0.1:{free_port()}"
    with (
        node(tmp_path, roster, limit_descriptors, control=control, limits={"sockets": 64}) as running,
        ExitStack() as stack,
    ):
        for n in range(40):
            stack.callback(running.request_session(f"{n:016x}").close)
        running.logged("out-of-descriptors")
        for _ in range(20):
            started_s = time.monotonic()
            assert running.call("check") == "ok"
            assert time.monotonic() - started_s < 1


@pytest.mark.parametrize("control", ["nowhere", "127.0.0.1:5000"])
def test_invalid_control_address_is_reported_in_one_line_with_exit_2(tmp_path: Path, control: str) -> None:
    roster = RegistryStandIn([])
    with node(tmp_path, roster, listen=f"127.0.0.1:{free_port()}"):
        pass
    config = json.loads((tmp_path / "config.json").read_text())
    path = tmp_path / "bad.json"
    path.write_text(json.dumps({**config, "listen": "127.0.0.1:5000", "control": control}))
    environment = {**os.environ, "RELAY_CONFIG": str(path)}
    done = subprocess.run([sys.executable, "-m", "sailrun"], env=environment, capture_output=True, text=True)
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1 and f"{path}: control: " in done.stderr


@given(
    st.lists(
        st.tuples(
            st.sampled_from(ShutdownReason), st.booleans(), st.integers(0, 900_000), st.integers(0, 40)
        ),
        max_size=30,
    )
)
def test_overlapping_shutdown_plans_move_all_sessions_in_time(
    steps: list[tuple[ShutdownReason, bool, int, int]],
) -> None:
    plans, now_us, sessions = ShutdownPlans(2 * SECOND), 1, 0
    active_since_us: dict[ShutdownReason, int] = {}
    for reason, begins, wait_us, new_sessions in steps:
        now_us, sessions = now_us + wait_us, sessions + new_sessions
        if begins:
            assert plans.begin(reason, now_us) is (reason not in active_since_us)
            active_since_us.setdefault(reason, now_us)
        else:
            assert plans.cancel(reason) is (reason in active_since_us)
            active_since_us.pop(reason, None)
        assert bool(plans) is bool(active_since_us)
        moved = plans.count_moves(now_us, sessions, 100_000)
        assert 0 <= moved <= sessions and (active_since_us or not moved)
        sessions -= moved
        assert not plans.may_exit(now_us, 0, 0) or any(r is not ShutdownReason.DRAIN for r in active_since_us)
    # No more sessions begin, so all are moved within the longest plan, in steps of a tenth of a second.
    for _ in range(60):
        now_us += 100_000
        sessions -= plans.count_moves(now_us, sessions, 100_000)
    assert not active_since_us or sessions == 0
    is_exiting = any(r is not ShutdownReason.DRAIN for r in active_since_us)
    assert plans.may_exit(now_us, sessions, 0) is is_exiting
