"""The freshness of a node's endpoint list: a fresh answer arrives within 6 s, even if the roster fails."""

from __future__ import annotations

import json
import queue
import signal
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from sailrun import discovery as discovery_module
from sailrun.decisions.settings import DiscoveryMode
from sailrun.discovery import (
    CALL_SPACING_US,
    CALL_TIMEOUT_US,
    MAX_CALL_SPACING_US,
    RETRY_WITHIN_US,
    WATCH_GRACE_US,
    WATCH_WAIT_US,
    DiscoveryClient,
)
from sailrun.node.clock import Clock
from tests.stand_ins import SETTINGS, TIMEOUT_S, FormServer, Listener, Peer, node
from tests.support import settings

Step = Callable[[Peer], None]
FRESHNESS_LIMIT_US = 6_000_000
GROUPS = [f"{n:016x}" for n in range(8)]


class ScriptedRoster(Listener):
    """Handles each call with the next queued step; while there is none, the call stays unanswered."""

    def __init__(self, *members: dict[str, Any]) -> None:
        self.members, self.revision = list(members), 41
        self.requests: queue.Queue[tuple[float, str]] = queue.Queue()
        self.steps: queue.Queue[Step] = queue.Queue()
        super().__init__()

    def complete_list(self) -> dict[str, Any]:
        return {"revision": self.revision, "complete": True, "members": self.members}

    def serve(self, peer: Peer) -> None:
        while request := peer.read_line():
            while peer.read_line():
                pass
            self.requests.put((time.monotonic(), request.split()[1]))
            self.steps.get()(peer)

    def next_call(self) -> tuple[float, str]:
        return self.requests.get(timeout=TIMEOUT_S)


def respond(document: dict[str, Any], indent: int | None = None) -> Step:
    body = json.dumps(document, indent=indent).encode()
    return lambda peer: peer.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


def complete_list(revision: int, *members: dict[str, Any]) -> dict[str, Any]:
    return {"revision": revision, "complete": True, "members": members}


def list_changes(revision: int, *members: dict[str, Any]) -> dict[str, Any]:
    return {"revision": revision, "complete": False, "members": members}


def reset_connection(peer: Peer) -> None:
    # SOL_SOCKET and SO_LINGER with a time of 0 s: closing the socket resets the connection.
    peer.sock.setsockopt(1, 13, b"\1\0\0\0\0\0\0\0")
    peer.close()


def respond_unavailable(peer: Peer) -> None:
    peer.sock.sendall(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")


def respond_endlessly(peer: Peer) -> None:
    """Sends an answer in small chunks without end, as long as the other side reads it."""
    peer.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    while True:
        peer.sock.sendall(b"1\r\n \r\n")
        time.sleep(0.05)


def never_respond(peer: Peer) -> None:
    """Does not answer; the connection stays open."""
    threading.Event().wait(TIMEOUT_S)


@pytest.fixture
def two_servers() -> Iterator[tuple[FormServer, FormServer]]:
    servers = FormServer("s-5be2a07c"), FormServer("s-00000002")
    yield servers
    for server in servers:
        server.stop()


@pytest.mark.parametrize("discovery", ["ask", "push"])
@pytest.mark.parametrize("fault", [never_respond, reset_connection, respond_unavailable, respond_endlessly])
def test_whatever_happens_to_a_watch_a_fresh_answer_arrives_in_time(
    tmp_path: Path, two_servers: tuple[FormServer, FormServer], fault: Step, discovery: str
) -> None:
    serving, draining = two_servers
    roster = ScriptedRoster(serving.entry(), draining.entry())
    with node(tmp_path, roster, settings={**SETTINGS, "discovery": discovery}) as running:  # type: ignore[arg-type]
        requested_at, target = roster.next_call()
        assert target.startswith("/registry/instances?after=41&wait_ms=")
        roster.steps.put(fault)
        next_requested_at, _ = roster.next_call()
        # A change right after the beginning of the watch arrives with the next answer, for which the time of
        # one call has to remain.
        assert next_requested_at - requested_at <= (FRESHNESS_LIMIT_US - CALL_TIMEOUT_US) / 1e6
        roster.steps.put(respond(list_changes(42, draining.entry("DRAINING")), indent=1))
        running.logged("roster", "kind=delta", "revision=42")
        for n, group in enumerate(GROUPS):
            assert running.request_session(id_=f"{n:016x}", group=group).read_line() == "UP r1"
        assert serving.first_lines.qsize() == len(GROUPS) and draining.first_lines.empty()
    roster.stop()


def test_an_answer_older_than_the_previous_one_changes_nothing(
    tmp_path: Path, two_servers: tuple[FormServer, FormServer]
) -> None:
    serving, draining = two_servers
    roster = ScriptedRoster(serving.entry(), draining.entry())
    with node(tmp_path, roster) as running:  # type: ignore[arg-type]
        roster.next_call()
        roster.steps.put(respond(list_changes(44, draining.entry("DRAINING"))))
        assert "after=44" in roster.next_call()[1]
        roster.steps.put(respond(list_changes(43, draining.entry())))  # an answer that was delayed for long
        assert roster.next_call()[1] == "/registry/instances"
        running.logged("roster-failed", "BadRoster: revision 43 is older than 44")
        roster.steps.put(respond(complete_list(43, serving.entry(), draining.entry())))
        assert roster.next_call()[1] == "/registry/instances"
        for n, group in enumerate(GROUPS):
            assert running.request_session(id_=f"{n:016x}", group=group).read_line() == "UP r1"
        assert draining.first_lines.empty()
        # A second complete list with the lower revision proves that the roster has restarted its numbering.
        roster.steps.put(respond(complete_list(43, draining.entry())))
        assert "after=43" in roster.next_call()[1]
        assert running.request_session(id_="f" * 16).read_line() == "UP r1"
        assert draining.first_lines.qsize() == 1
    roster.stop()


def test_after_a_new_address_the_complete_list_is_requested_until_it_arrives(
    tmp_path: Path, two_servers: tuple[FormServer, FormServer]
) -> None:
    serving, draining = two_servers
    old, new = ScriptedRoster(serving.entry(), draining.entry()), ScriptedRoster()
    with node(tmp_path, old) as running:  # type: ignore[arg-type]
        old.next_call()
        path = tmp_path / "config.json"
        path.write_text(json.dumps({**json.loads(path.read_text()), "discovery": new.address}))
        running.process.send_signal(signal.SIGHUP)
        assert new.next_call()[1] == "/registry/instances"
        new.steps.put(respond_unavailable)
        # Its revisions are unrelated to the old roster's: a watch from an old revision would return nothing,
        # or too little.
        assert new.next_call()[1] == "/registry/instances"
        new.steps.put(respond(complete_list(7, serving.entry())))
        assert "after=7" in new.next_call()[1]
        running.logged("roster", "kind=full", "revision=7")
        # The old roster's answer, delayed until now, is not applied: its connection has been closed.
        old.steps.put(respond(list_changes(99, serving.entry("DRAINING"), draining.entry())))
        for n, group in enumerate(GROUPS):
            assert running.request_session(id_=f"{n:016x}", group=group).read_line() == "UP r1"
        assert serving.first_lines.qsize() == len(GROUPS) and not any(
            "revision=99" in x for x in running.lines
        )
    old.stop()
    new.stop()


def test_an_answer_of_the_old_roster_is_dropped_when_the_address_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The task of the old call receives its answer and is cancelled in the same event loop iteration."""
    reported: list[Any] = []

    class Answered:
        """A call that gets its answer at the same moment at which the client stops using the roster."""

        def __init__(self, *_: Any) -> None: ...

        def end(self) -> None: ...

        async def call(self, *_: Any) -> bytes:
            client.drop()
            return json.dumps(list_changes(99)).encode()

    monkeypatch.setattr(discovery_module, "HttpCalls", Answered)
    node_stub = SimpleNamespace(
        clock=Clock(),
        settings=settings(),
        server_list_updated=reported.append,
        discovery_failed=reported.append,
    )
    client = DiscoveryClient(node_stub, ("127.0.0.1", 1), 41, 1)  # type: ignore[arg-type]
    client.fetch()
    anyio.run(client.run)
    assert reported == []


@pytest.mark.parametrize("nodes", [1, 4, 30, 200])
def test_spreading_the_calls_never_exceeds_its_share_of_the_freshness_limit(nodes: int) -> None:
    now = 1_000_000_000
    clock = SimpleNamespace(now_us=lambda: now)
    node_stub = SimpleNamespace(clock=clock, settings=settings(instances=nodes, poll_interval_us=10_000_000))
    latest = 0
    for seed in range(200):
        client = DiscoveryClient(node_stub, ("127.0.0.1", 1), 41, seed)  # type: ignore[arg-type]
        node_stub.discovery_failed = lambda why: None
        client.watch(True)
        assert client._call_at_us - now <= MAX_CALL_SPACING_US
        for failures in range(12):
            client._failures = failures
            began = now
            for took_us in (0, 1_000, CALL_TIMEOUT_US, WATCH_WAIT_US + WATCH_GRACE_US):
                now = began + took_us
                client._schedule_call(began)
                # A call that began before the roster was reachable again may be refused or time out.
                next_us = client._call_at_us - began
                latest = max(latest, next_us)
                if took_us <= CALL_TIMEOUT_US:
                    assert next_us + CALL_TIMEOUT_US <= FRESHNESS_LIMIT_US - 200_000
                else:
                    assert next_us + CALL_TIMEOUT_US <= FRESHNESS_LIMIT_US
            now = began + 10_000_000
    assert nodes < 200 or latest > MAX_CALL_SPACING_US / 2, "nothing was spread"
    assert WATCH_WAIT_US + WATCH_GRACE_US + RETRY_WITHIN_US + CALL_TIMEOUT_US <= FRESHNESS_LIMIT_US


def test_calls_to_a_local_agent_are_not_spread() -> None:
    # The freshness of an agent's list is measured from the time at which the agent received it, so after any
    # failure the next call begins at once.
    clock = SimpleNamespace(now_us=lambda: 1_000_000_000)
    pushed = settings(instances=200, discovery=DiscoveryMode.PUSH)
    node_stub = SimpleNamespace(clock=clock, settings=pushed, discovery_failed=lambda why: None)
    for seed in range(200):
        client = DiscoveryClient(node_stub, ("127.0.0.1", 1), 41, seed)  # type: ignore[arg-type]
        for _ in range(12):
            client._record_failure(clock.now_us(), "refused")
            assert client._call_at_us - clock.now_us() <= CALL_SPACING_US
