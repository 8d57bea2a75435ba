"""An exception that nobody foresaw ends one step, session or message: the node's loop and its tasks go on.

Guards against a fault in which an exception in the round of load reports ended the process and cut off every
session. Each test makes one step raise.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, NoReturn

import anyio
import pytest

from sailrun.config import read_settings
from sailrun.connection import Connection, connect
from sailrun.control.server import ControlServer
from sailrun.decisions.actions import MoveReason
from sailrun.decisions.events import BackendState, ListKind
from sailrun.discovery import DiscoveryClient
from sailrun.front import FrontAcceptor, PendingConnections
from sailrun.lab.scheduler import BEGIN_US, Scheduler, VirtualClock
from sailrun.node.core import SWEEP_INTERVAL_US, Node
from sailrun.node.counters import Counters
from sailrun.node.fault_barrier import LOG_INTERVAL_US, FaultBarrier
from sailrun.node.session import FormServer, FormSession, Placement, ServerListUpdate
from sailrun.node.session_transfer import SendTransfer
from tests.stand_ins import SETTINGS

SERVERS = tuple(FormServer(f"s-0000000{n}", ("", 0), BackendState.READY) for n in range(3))


class UnforeseenError(Exception):
    """No code expects this error."""


def fail(*_arguments: object, **_fields: object) -> NoReturn:
    raise UnforeseenError


class Front:
    """The front of one client, which records what the node asks of it; `faulty` methods raise."""

    def __init__(self, name: str, faulty: str = "") -> None:
        self.session = FormSession(name, "page-load", BEGIN_US + 60_000_000, self, key=name)
        self.placement: Placement | None = None
        self.calls: list[str] = []
        self._faulty = faulty

    def _record(self, call: str) -> None:
        self.calls.append(call)
        if call == self._faulty:
            fail()

    def start_attempt(self, placement: Placement) -> None:
        self.placement = placement
        self._record("start_attempt")

    def cancel_attempt(self, attempt: int) -> None:
        self._record("cancel_attempt")

    def move(self) -> None:
        self._record("move")

    def reject(self, retry_after_us: int) -> None:
        self._record("reject")

    def fail(self) -> None:
        self._record("fail")

    def transfer(self, send: SendTransfer) -> None: ...


class VirtualNode:
    """A node in virtual time, with the lines that it logged."""

    def __init__(self) -> None:
        self.time = Scheduler()
        self.events: list[tuple[str, dict[str, object]]] = []
        settings = read_settings({**SETTINGS, "siblings": 4})
        initial_list = ServerListUpdate(ListKind.CACHED, 1, SERVERS)
        self.node = Node(settings, 1, VirtualClock(self.time), initial_list, self._log)
        self.node.start()

    def _log(self, event: str, /, **fields: object) -> None:
        self.events.append((event, fields))

    def advance(self, us: int = 10_000) -> None:
        self.time.run(self.time.now_us + us)
        self.node.run_once(self.time.now_us)

    def run(self, us: int) -> int:
        """Runs every iteration that is due within this time; returns their number."""
        until_us, iterations = self.time.now_us + us, 0
        while self.time.now_us < until_us:
            due_us = max(self.node.due_us(), self.time.now_us + self.node.settings.tick_us)
            self.advance(due_us - self.time.now_us)
            iterations += 1
        return iterations

    def establish(self, front: Front) -> Front:
        self.node.request_session(front.session)
        self.advance()
        assert front.placement is not None
        self.node.connection_opened(front.session, front.placement, 1000)
        self.advance()
        assert front.session.is_established
        return front

    def steps_with_faults(self) -> list[object]:
        return [fields["where"] for event, fields in self.events if event == "fault"]


def test_a_command_that_raises_fails_its_own_request_and_no_other(monkeypatch: pytest.MonkeyPatch) -> None:
    virtual = VirtualNode()
    good, bad = Front("good"), Front("bad")
    on_request = virtual.node.rebalancer_port.on_request

    def fail_for_bad(is_returning: bool) -> None:
        if is_returning:
            fail()
        on_request(is_returning)

    monkeypatch.setattr(virtual.node.rebalancer_port, "on_request", fail_for_bad)
    bad.session.is_returning = True
    for front in (bad, good):
        virtual.node.request_session(front.session)
    virtual.advance()
    assert (bad.calls, good.calls) == (["fail"], ["start_attempt"])
    assert virtual.steps_with_faults() == ["command"]


def test_a_request_whose_attempt_cannot_begin_gets_its_final_answer() -> None:
    virtual = VirtualNode()
    bad, good = Front("bad", faulty="start_attempt"), Front("good")
    for front in (bad, good):
        virtual.node.request_session(front.session)
    virtual.advance()
    assert (bad.calls, good.calls) == (["start_attempt", "fail"], ["start_attempt"])
    assert virtual.steps_with_faults() == ["action"]


def test_a_round_that_raises_is_repeated_later_and_the_node_serves_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    virtual = VirtualNode()
    monkeypatch.setattr(virtual.node._fleet_load, "run_round_if_due", fail)
    iterations = virtual.run(10_000_000)
    # Without a pause after the fault, the loop would run every tick: 2,000 times.
    assert iterations <= 2.5 * 10_000_000 / SWEEP_INTERVAL_US
    assert set(virtual.steps_with_faults()) == {"round"}
    monkeypatch.undo()
    virtual.establish(Front("good"))
    faults = virtual.node.counters.faults["round"]
    virtual.run(10_000_000)
    assert virtual.node.counters.faults["round"] == faults


def test_a_report_that_cannot_be_built_does_not_stop_the_following_rounds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    virtual = VirtualNode()
    virtual.establish(Front("good"))
    monkeypatch.setattr("sailrun.load_gossip.aggregation_rounds.build_report", fail)
    virtual.run(20_000_000)
    faults = virtual.node.counters.faults["round"]
    assert 1 <= faults <= 20  # about one in each round
    monkeypatch.undo()
    sent: list[bytes] = []
    virtual.node.peer_transport = SimpleNamespace(send=lambda peer, content: sent.append(content))
    virtual.run(20_000_000)
    assert sent and virtual.node.counters.faults["round"] == faults


@pytest.mark.parametrize("part", ["_supervisor.sweep", "_status.log_if_due", "rebalancer_port.run"])
def test_a_step_of_the_sweep_that_raises_does_not_keep_the_others_from_running(
    monkeypatch: pytest.MonkeyPatch, part: str
) -> None:
    virtual = VirtualNode()
    owner, _, method = part.partition(".")
    monkeypatch.setattr(getattr(virtual.node, owner), method, fail)
    front = virtual.establish(Front("good"))
    virtual.node.begin_shutdown()
    virtual.run(3_000_000)
    assert front.calls[-1] == "move" and virtual.node.counters.faults.total() > 0


def test_one_session_that_cannot_be_moved_does_not_keep_the_others_at_a_shutdown() -> None:
    virtual = VirtualNode()
    fronts = [virtual.establish(Front(f"r{n}", faulty="move" if n == 1 else "")) for n in range(4)]
    pending = [Front(f"p{n}", faulty="fail" if n == 0 else "") for n in range(3)]
    for front in pending:
        virtual.node.request_session(front.session)
    virtual.advance()
    virtual.node.begin_shutdown()
    virtual.run(8_000_000)
    assert all(front.calls.count("move") == 1 for front in fronts)
    assert all(front.calls.count("fail") + front.calls.count("reject") == 1 for front in pending)
    assert virtual.node.counters.moves[MoveReason.SHUTDOWN] == len(fronts)


def test_a_fault_that_repeats_is_counted_each_time_and_logged_once_a_second() -> None:
    now_us, events, counters = [0], list[dict[str, object]](), Counters(["page-load"])
    barrier = FaultBarrier(counters, lambda: now_us[0], lambda event, /, **fields: events.append(fields))
    for step in range(21):
        now_us[0] = step * LOG_INTERVAL_US // 10
        assert not barrier.run("step", fail)
    assert [event["count"] for event in events] == [1, 11, 21]
    assert "UnforeseenError" in str(events[0]["trace"])
    assert counters.snapshot(0, 0, 0).faults == 21


def run_with_node(test: Callable[[Node], Any]) -> None:
    """Runs an asynchronous test with a node whose loop is not running."""

    async def run() -> None:
        with anyio.fail_after(20):
            await test(VirtualNode().node)

    anyio.run(run)


def test_a_task_of_the_whole_node_runs_again_after_an_exception() -> None:
    async def test(node: Node) -> None:
        runs: list[int] = []

        async def serve() -> None:
            runs.append(1)
            if len(runs) < 3:
                fail()

        await node.barrier.keep_running("peers", serve)
        assert len(runs) == 3 and node.counters.faults["peers"] == 2

    run_with_node(test)


def listening_socket() -> socket.socket:
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    return listener


def test_a_call_that_raises_is_answered_and_the_next_one_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(node: Node) -> None:
        listener = listening_socket()
        server = ControlServer(node, listener)
        monkeypatch.setattr(server, "_execute", fail)
        async with anyio.create_task_group() as group:
            group.start_soon(server.run)
            for _ in range(2):
                caller = await connect(listener.getsockname())
                await caller.write(b"check\r\n")
                assert await caller.line() == b"fail internal error, see the log\r\n"
                caller.close()
            group.cancel_scope.cancel()
        assert node.counters.faults["control"] == 2

    run_with_node(test)


def test_a_connection_that_cannot_be_served_does_not_close_the_front() -> None:
    async def test(node: Node) -> None:
        listener, served = listening_socket(), list[Connection]()

        class Echo:
            def __init__(self, connection: Connection) -> None:
                self._connection = connection

            async def run(self) -> None:
                served.append(self._connection)
                if len(served) == 1:
                    fail()
                await self._connection.write(await self._connection.line() or b"")

            def session_moves(self) -> list[Callable[[], None]]:
                return []

        accepted: list[socket.socket] = []

        def make_connection(sock: socket.socket) -> Echo:
            accepted.append(sock)
            return fail() if len(accepted) == 1 else Echo(Connection(sock))

        front = FrontAcceptor(listener, "household", make_connection, PendingConnections(100), node.barrier)
        async with anyio.create_task_group() as group:
            group.start_soon(front.run)
            for n in range(3):
                client = await connect(listener.getsockname())
                if n == 2:
                    await client.write(b"hello\n")
                    assert await client.line() == b"hello\n"
                else:
                    while not node.counters.faults["household-accept" if n == 0 else "household"]:
                        await anyio.sleep(0.01)
                client.close()
            group.cancel_scope.cancel()

    run_with_node(test)


def test_an_answer_of_the_registry_that_raises_is_followed_by_another_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    calls: list[str] = []

    async def call(method: str, target: str, body: bytes, deadline_us: int) -> bytes:
        calls.append(target)
        if len(calls) < 3:
            fail()
        await anyio.sleep_forever()
        return b""

    async def test(node: Node) -> None:
        discovery = DiscoveryClient(node, ("127.0.0.1", 1), 1, 1)
        monkeypatch.setattr(discovery._http, "call", call)
        monkeypatch.setattr(node, "clock", SimpleNamespace(now_us=_real_now_us, to_deadline=_to_deadline))
        monkeypatch.setattr(discovery._http, "_clock", node.clock)
        async with anyio.create_task_group() as group:
            discovery.watch(True)
            group.start_soon(discovery.run)
            while len(calls) < 3:
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        assert node.counters.faults["discovery"] == 2

    run_with_node(test)


def _real_now_us() -> int:
    return int(anyio.current_time() * 1e6)


def _to_deadline(at_us: int) -> float:
    return at_us / 1e6
