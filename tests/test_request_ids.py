"""An id that comes again: a request that is running or may have run is not forwarded a second time."""

from __future__ import annotations

import math
import socket
import time
from collections import deque
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path
from types import SimpleNamespace
from typing import cast

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sailrun.connection import Connection
from sailrun.hot_restart.state import read_request_id, write_request_id
from sailrun.node import request_ids as request_ids_module
from sailrun.node.clock import Clock
from sailrun.node.request_ids import MAX_REMEMBERED, RequestIds
from sailrun.text_protocol.clients import ClientConnection, ClientFront
from tests.free_ports import free_port
from tests.stand_ins import DEADLINES_US, SETTINGS, TIMEOUT_S, FormServer, RegistryStandIn, RunningNode, node

ID = "9b1f03aa5c7e2d41"


@pytest.fixture
def form_server() -> Iterator[FormServer]:
    server = FormServer("s-5be2a07c", None)
    yield server
    server.stop()


@pytest.fixture
def running(tmp_path: Path, form_server: FormServer) -> Iterator[RunningNode]:
    control = f"127.0.0.1:{free_port()}"
    with node(tmp_path, RegistryStandIn([form_server.entry()]), control=control) as running:
        yield running


def leave_during_attempt(running: RunningNode, form_server: FormServer, wait_ms: int = 8000) -> None:
    """Has a client leave while a form server that has got its request is at work."""
    client = running.request_session(ID, wait_ms)
    form_server.first_lines.get(timeout=TIMEOUT_S)
    client.close()
    form_server.ends.get(timeout=TIMEOUT_S)
    running.logged("ended", "reason=household-left", f"id={ID}")


def until_served(running: RunningNode, id_: str) -> None:
    """Requests a session under the same id until it is served, which the node may put off with BUSY."""
    deadline = time.monotonic() + TIMEOUT_S
    while (answer := running.request_session(id_).read_line()).startswith("BUSY"):
        assert time.monotonic() < deadline
    assert answer == "UP r1"


def test_an_id_whose_first_attempt_may_be_at_work_is_not_forwarded_again(
    running: RunningNode, form_server: FormServer
) -> None:
    # Guards against a request that runs twice because its client left and came again with its id.
    leave_during_attempt(running, form_server)
    assert running.request_session(ID).read_line() == "ERR"
    running.logged("ended", "reason=id-in-use")
    assert form_server.first_lines.empty()
    assert running.read_metrics()["rejected_inputs.client"] == 1
    form_server.answer = "UP r1"
    assert running.request_session("4c0f03aa5c7e2d41").read_line() == "UP r1"


def test_an_id_is_free_once_the_deadline_of_its_first_attempt_is_over(
    running: RunningNode, form_server: FormServer
) -> None:
    began = time.monotonic()
    leave_during_attempt(running, form_server, 700)
    form_server.answer = "UP r1"
    while (answer := running.request_session(ID).read_line()) == "ERR":
        assert time.monotonic() - began < TIMEOUT_S
    assert answer == "UP r1" and time.monotonic() - began >= 0.7


def test_an_id_that_never_ran_is_free_at_once(running: RunningNode, form_server: FormServer) -> None:
    form_server.answer = "BUSY"
    assert running.request_session(ID).read_line().startswith("BUSY")
    # The node puts it off, because its only form server is full, and does not take it for a repeat.
    assert running.request_session(ID).read_line().startswith("BUSY")
    assert running.read_metrics()["rejected_inputs.client"] == 0


@pytest.mark.parametrize("is_transferred", [False, True])
@pytest.mark.parametrize("effect", ["idempotent", "at_most_once"])
def test_a_request_that_is_not_idempotent_does_not_run_again_after_its_session(
    tmp_path: Path, form_server: FormServer, effect: str, is_transferred: bool
) -> None:
    # Guards also against a process that takes over a session and forgets that its request has run.
    services = [{**service, "effect": effect} for service in SETTINGS["services"]]
    roster, listen = RegistryStandIn([form_server.entry()]), f"127.0.0.1:{free_port()}"
    form_server.answer = "UP r1"
    with ExitStack() as stack:

        def start() -> RunningNode:
            control = f"127.0.0.1:{free_port()}"
            changes = {"settings": {**SETTINGS, "services": services}, "listen": listen, "control": control}
            return stack.enter_context(node(tmp_path, roster, None, None, **changes))

        running = first = start()
        client = first.request_session(ID)
        assert client.read_line() == "UP r1"
        if is_transferred:
            running = start()
            running.logged("adopted", f"id={ID}")
            first.logged("ended", "reason=handed-over")
        client.close()
        running.logged("ended", "reason=household-left")
        assert running.request_session(ID).read_line() == ("UP r1" if effect == "idempotent" else "ERR")


def test_an_id_that_is_pending_in_the_old_process_is_not_forwarded_by_the_new_one(
    tmp_path: Path, form_server: FormServer
) -> None:
    # Guards against a request that runs twice because it comes again at the other process of an upgrade.
    roster, listen = RegistryStandIn([form_server.entry()]), f"127.0.0.1:{free_port()}"
    with ExitStack() as stack:

        def start() -> RunningNode:
            control = f"127.0.0.1:{free_port()}"
            return stack.enter_context(node(tmp_path, roster, listen=listen, control=control))

        first = start()
        leave_during_attempt(first, form_server)  # remembered when the state is handed over
        pending = first.request_session("4c0f03aa5c7e2d41")
        form_server.first_lines.get(timeout=TIMEOUT_S)
        second = start()
        for id_ in (ID, "4c0f03aa5c7e2d41"):
            assert second.request_session(id_).read_line() == "ERR"
        assert form_server.first_lines.empty()
        # One that is rejected after the hand-over never ran, and is free in the new process.
        form_server.answer = "UP r1"
        form_server.peers[-1].send_line("BUSY")
        assert pending.read_line().startswith("BUSY")
        first.logged("ended", "reason=refused", "id=4c0f03aa5c7e2d41")
        until_served(second, "4c0f03aa5c7e2d41")


class Time(Clock):
    def __init__(self) -> None:
        self.us = 1_000_000

    def now_us(self) -> int:
        return self.us


ids = st.sampled_from(["a", "b", "c"])
steps = st.lists(
    st.one_of(
        st.tuples(st.just("reserve"), ids),
        st.tuples(st.just("release"), ids, st.integers(0, 30)),
        st.tuples(st.just("pass"), st.integers(1, 20)),
    ),
    max_size=30,
)


@given(steps, st.integers(0, 30))
def test_two_processes_block_the_same_ids(played: list[tuple[str, object]], handed_over_at: int) -> None:
    clock, blocked_until = Time(), dict[str, float]()
    old, new, messages = RequestIds(clock), RequestIds(clock), deque[tuple[str, float]]()
    for number, (step, *arguments) in enumerate([*played, ("pass", 0)]):
        if number == min(handed_over_at, len(played)):
            new.restore(read_request_id(write_request_id(*blocked)) for blocked in old.snapshot())
            old.on_change = lambda id_, until_us: messages.append((id_, until_us))
        match step, arguments:
            case "reserve", [str(id_)]:
                is_free = blocked_until.get(id_, 0) <= clock.us
                assert old.reserve(id_) is is_free
                blocked_until[id_] = math.inf if is_free else blocked_until[id_]
            case "release", [str(id_), int(after_us)] if math.isinf(blocked_until.get(id_, 0)):
                until_us = clock.us + after_us if after_us else 0
                old.release(id_, until_us)
                blocked_until[id_] = until_us
            case "pass", [int(us)]:
                clock.us += us
    for message in messages:
        new.apply_change(*read_request_id(write_request_id(*message)))
    assert {id_ for id_ in "abc" if not new.reserve(id_)} == {
        id_ for id_, until_us in blocked_until.items() if until_us > clock.us
    }


def test_an_id_stays_blocked_as_long_as_either_process_states() -> None:
    clock = Time()
    ids_here = RequestIds(clock)
    for id_, here_us, elsewhere_us in (("a", 50, 20), ("b", 20, 50)):
        assert ids_here.reserve(id_)
        ids_here.release(id_, clock.us + here_us)
        ids_here.apply_change(id_, clock.us + elsewhere_us)
    ids_here.on_other_process_ended(clock.us + 10)
    clock.us += 40
    assert not ids_here.reserve("a") and not ids_here.reserve("b")
    clock.us += 11
    assert ids_here.reserve("a") and ids_here.reserve("b")


def test_the_memory_for_ids_is_bounded() -> None:
    clock = Time()
    remembered = RequestIds(clock)
    for n in range(3 * MAX_REMEMBERED):
        assert remembered.reserve(str(n))
        remembered.release(str(n), clock.us + DEADLINES_US["page-load"])
    assert len(remembered.snapshot()) == MAX_REMEMBERED
    assert remembered.reserve("0") and not remembered.reserve(str(3 * MAX_REMEMBERED - 1))


async def play_first_line(request_ids: RequestIds) -> list[str]:
    """Has a client send its first line; returns the keys of the requests that are placed before the ids are
    marked as current. The request is placed after that at the latest.
    """
    placed = list[str]()
    client, own = socket.socketpair()
    fake_node = SimpleNamespace(clock=Clock(), request_session=lambda session: placed.append(session.key))
    waiting = SimpleNamespace(add=lambda _scope: None, remove=lambda _scope: None)
    front = SimpleNamespace(
        node=fake_node, groups=False, classes={"page-load"}, waiting=waiting, request_ids=request_ids
    )
    connection = ClientConnection(cast(ClientFront, front), Connection(own))
    client.sendall(f"OPEN {ID} k c=page-load,d=2000\r\n".encode())
    async with anyio.create_task_group() as group:
        group.start_soon(connection._receive_request, Clock().now_us() + 20_000_000)
        while connection._request is None:
            await anyio.sleep(0.001)
        await anyio.wait_all_tasks_blocked()
        placed_before = list(placed)
        request_ids.mark_current()
        while not placed:
            await anyio.sleep(0.001)
    client.close()
    own.close()
    return placed_before


def test_a_new_process_places_nothing_before_it_knows_the_ids_of_its_predecessor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against an id that the old process took while the new one started.
    monkeypatch.setattr(request_ids_module, "PREDECESSOR_TIMEOUT_S", TIMEOUT_S)
    request_ids = RequestIds(Clock())
    request_ids.restore([])
    assert anyio.run(play_first_line, request_ids) == []
    assert anyio.run(play_first_line, RequestIds(Clock())) == ["k"]


def test_a_new_process_does_not_wait_long_for_a_predecessor_of_an_earlier_version() -> None:
    async def wait() -> None:
        request_ids = RequestIds(Clock())
        request_ids.restore([])
        with anyio.fail_after(TIMEOUT_S / 4):
            await request_ids.wait_until_current()

    anyio.run(wait)
