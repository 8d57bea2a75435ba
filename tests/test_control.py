"""The second address of the real program: its calls, what they do, and its figures."""

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
from tests.stand_ins import TIMEOUT_S, FormServer, Peer, Roster, RunningNode, connect, free_port, node

SECOND = 1_000_000


@pytest.fixture
def running(tmp_path: Path, servers: list[FormServer]) -> Iterator[RunningNode]:
    roster = Roster([s.entry() for s in servers])
    with node(tmp_path, roster, control=f"127.0.0.1:{free_port()}") as running:
        yield running


def placed(running: RunningNode, n: int) -> Peer:
    household = running.request_session(f"{n:016x}", group=f"{n:016x}")
    assert household.read_line() == "UP r1"
    return household


def test_each_call_is_answered_and_what_is_none_says_why(running: RunningNode) -> None:
    assert running.call("check") == "ok"
    assert running.call("set-down s-99999999") == "fail no form server 's-99999999'"
    assert running.call("set-up s-99999999").startswith("fail ")
    assert running.call("set-up s-5be2a07c") == "ok"  # it is not out: answered calmly
    for line in ("", "set-down", "check now", "vars all", "drain", "\u00e4", "x" * 600):
        assert running.call(line).startswith("fail "), line


@given(st.binary(max_size=80))
def test_whatever_comes_is_a_call_or_a_bad_call(line: bytes) -> None:
    try:
        call = parse_call(line)
    except InvalidCallError:
        return
    assert line.split()[0] == call.verb.value.encode()


def test_figures_are_what_the_households_saw(running: RunningNode, servers: list[FormServer]) -> None:
    assert set(running.read_metrics().values()) == {0, 2}
    households = [placed(running, n) for n in range(5)]
    for server in servers:
        server.answer = "ERR"
    failed = running.request_session("e" * 16, wait_ms=700)
    assert failed.read_line() == "ERR"
    for server in servers:
        server.answer = "BUSY"
    refused = running.request_session("f" * 16, wait_ms=700)
    assert refused.read_line().startswith("BUSY")
    households.pop().close()
    figures = running.wait_for_metric("inflight", 4)
    attempts = sum(s.first_lines.qsize() for s in servers)
    assert figures == {
        "calls.page-load.success": 5,
        "calls.page-load.busy": 1,
        "calls.page-load.failure": 1,
        "calls.answer-save.success": 0,
        "calls.answer-save.busy": 0,
        "calls.answer-save.failure": 0,
        "backend_calls": attempts,
        "reconfig_ok": 0,
        "reconfig_failed": 0,
        "inflight": 4,
        "hosts_listed": 2,
        "hosts_down": figures["hosts_down"],
    }


def test_a_form_server_out_by_hand_gets_nothing_whatever_the_roster_says(
    tmp_path: Path, servers: list[FormServer]
) -> None:
    roster = Roster([s.entry() for s in servers])
    with node(tmp_path, roster, control=f"127.0.0.1:{free_port()}") as running:
        households = [placed(running, n) for n in range(12)]
        out = next(s for s in servers if s.first_lines.qsize())
        held = out.first_lines.qsize()
        assert running.call(f"set-down {out.name}") == "ok"
        assert running.call(f"set-down {out.name}") == "ok"
        assert running.read_metrics()["hosts_down"] == 1
        # The roster drops it, and lists it again as a form server that takes sessions.
        for phase in ("DELETED", "SERVING"):
            roster.publish(out.entry(phase))
            running.logged("roster", f"revision={roster.revision}")
        for n in range(12, 24):
            placed(running, n)
        assert out.first_lines.qsize() == held
        for _ in range(held):
            assert out.ends.get(timeout=TIMEOUT_S) == "ended"
        moved = [h for h in households if running_moved(h)]
        assert len(moved) == held
        assert running.call(f"set-up {out.name}") == "ok"
        assert running.read_metrics()["hosts_down"] == 0
        until = time.monotonic() + TIMEOUT_S
        n = 24
        while out.first_lines.qsize() == held:
            assert time.monotonic() < until
            placed(running, n).close()
            n += 1


def running_moved(household: Peer) -> bool:
    """Whether the node has sent it away; one that was not still has its line returned."""
    household.send_line("page 3")
    return household.read_line() == "MOVE"


def test_all_out_by_hand_is_refused_at_once(running: RunningNode, servers: list[FormServer]) -> None:
    for server in servers:
        assert running.call(f"set-down {server.name}") == "ok"
    began = time.monotonic()
    refusal = running.request_session().read_line()
    assert time.monotonic() - began < 1
    word, _, when = refusal.partition(" ")
    assert word == "BUSY" and int(when) > 0


def test_a_node_that_drains_says_no_moves_all_and_comes_back(running: RunningNode) -> None:
    households = [placed(running, n) for n in range(6)]
    assert running.call("drain-on") == "ok"
    assert running.call("drain-on") == "ok"
    assert pinged(running) != "PONG"
    assert running.call("check").startswith("fail")
    households.append(placed(running, 7))  # whoever still comes has an honest answer
    assert [h.read_line() for h in households] == ["MOVE"] * 7
    running.wait_for_metric("inflight", 0)
    assert running.call("drain-off") == "ok"
    assert running.call("drain-off") == "ok"
    assert pinged(running) == "PONG"
    assert running.call("check") == "ok"
    stays = placed(running, 8)
    stays.send_line("page 3")
    assert stays.read_line() == "page 3"


def test_a_drain_called_off_early_moves_nobody_more(running: RunningNode) -> None:
    household = placed(running, 1)
    assert running.call("drain-on") == "ok"
    assert running.call("drain-off") == "ok"
    running.logged("drain-over", "sessions=1")
    household.send_line("page 3")
    assert household.read_line() == "page 3"


def pinged(running: RunningNode) -> str:
    check = running.connect()
    check.send_line("PING")
    answer = check.read_line()
    check.close()
    return answer


def test_silent_and_half_said_calls_keep_nobody_out(running: RunningNode) -> None:
    with ExitStack() as stack:
        for n in range(60):
            caller = Peer(connect(running.control))
            stack.callback(caller.close)
            caller.sock.sendall((b"", b"va", b"set-down s-5be")[n % 3])
        began = time.monotonic()
        assert running.call("check") == "ok"
        assert time.monotonic() - began < 1


def test_a_call_in_single_bytes_is_read(running: RunningNode) -> None:
    caller = Peer(connect(running.control))
    for byte in b"check\r\n":
        caller.sock.sendall(bytes([byte]))
    assert caller.read_line() == "ok"


def test_a_node_that_may_open_no_more_still_answers(tmp_path: Path, servers: list[FormServer]) -> None:
    def few() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))

    roster = Roster([s.entry() for s in servers])
    control = f"127.0.0.1:{free_port()}"
    with (
        node(tmp_path, roster, few, control=control, limits={"sockets": 64}) as running,
        ExitStack() as stack,
    ):
        for n in range(40):
            stack.callback(running.request_session(f"{n:016x}").close)
        running.logged("out-of-descriptors")
        for _ in range(20):
            began = time.monotonic()
            assert running.call("check") == "ok"
            assert time.monotonic() - began < 1


@pytest.mark.parametrize("control", ["nowhere", "127.0.0.1:5000"])
def test_an_address_that_is_no_second_one_is_one_line_and_exit_2(tmp_path: Path, control: str) -> None:
    roster = Roster([])
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
def test_whatever_overlaps_all_are_moved_in_time_and_none_after_the_end(
    steps: list[tuple[ShutdownReason, bool, int, int]],
) -> None:
    leaving, now_us, standing = ShutdownPlans(2 * SECOND), 1, 0
    begun: dict[ShutdownReason, int] = {}
    for reason, on, later_us, come in steps:
        now_us, standing = now_us + later_us, standing + come
        if on:
            assert leaving.begin(reason, now_us) is (reason not in begun)
            begun.setdefault(reason, now_us)
        else:
            assert leaving.cancel(reason) is (reason in begun)
            begun.pop(reason, None)
        assert bool(leaving) is bool(begun)
        moved = leaving.count_moves(now_us, standing, 100_000)
        assert 0 <= moved <= standing and (begun or not moved)
        standing -= moved
        assert not leaving.may_exit(now_us, 0, 0) or any(r is not ShutdownReason.DRAIN for r in begun)
    # From now on nobody comes: within the longest plan all are out, in steps of a tenth of a second.
    for _ in range(60):
        now_us += 100_000
        standing -= leaving.count_moves(now_us, standing, 100_000)
    assert not begun or standing == 0
    ends = any(r is not ShutdownReason.DRAIN for r in begun)
    assert leaving.may_exit(now_us, standing, 0) is ends
