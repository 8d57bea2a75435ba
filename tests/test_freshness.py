"""How fresh a node's list is: whatever fails at the roster, a fresh answer is here within 6 s."""

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
from sailrun.discovery import APART_US, ASK_US, CALL_US, LATE_US, SOON_US, WAIT_US, DiscoveryClient
from sailrun.node.clock import Clock
from tests.stand_ins import PATIENCE_S, SETTINGS, FormServer, Listener, Peer, node
from tests.support import settings

Step = Callable[[Peer], None]
BUDGET_US = 6_000_000
GROUPS = [f"{n:016x}" for n in range(8)]


class ScriptedRoster(Listener):
    """Meets each call with the next step it was told; without one, a call stays unanswered."""

    def __init__(self, *members: dict[str, Any]) -> None:
        self.members, self.revision = list(members), 41
        self.asked: queue.Queue[tuple[float, str]] = queue.Queue()
        self.steps: queue.Queue[Step] = queue.Queue()
        super().__init__()

    def known(self) -> dict[str, Any]:
        return {"revision": self.revision, "complete": True, "members": self.members}

    def serve(self, peer: Peer) -> None:
        while request := peer.hear():
            while peer.hear():
                pass
            self.asked.put((time.monotonic(), request.split()[1]))
            self.steps.get()(peer)

    def next_call(self) -> tuple[float, str]:
        return self.asked.get(timeout=PATIENCE_S)


def answers(document: dict[str, Any], indent: int | None = None) -> Step:
    body = json.dumps(document, indent=indent).encode()
    return lambda peer: peer.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


def whole(revision: int, *members: dict[str, Any]) -> dict[str, Any]:
    return {"revision": revision, "complete": True, "members": members}


def changes(revision: int, *members: dict[str, Any]) -> dict[str, Any]:
    return {"revision": revision, "complete": False, "members": members}


def is_reset(peer: Peer) -> None:
    peer.sock.setsockopt(1, 13, b"\1\0\0\0\0\0\0\0")  # SOL_SOCKET, SO_LINGER: close breaks it
    peer.close()


def is_unavailable(peer: Peer) -> None:
    peer.sock.sendall(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")


def never_ends(peer: Peer) -> None:
    """An answer that goes on, a little at a time, for as long as somebody reads it."""
    peer.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    while True:
        peer.sock.sendall(b"1\r\n \r\n")
        time.sleep(0.05)


def is_silent(peer: Peer) -> None:
    """Not answered; the connection stays."""
    threading.Event().wait(PATIENCE_S)


@pytest.fixture
def two() -> Iterator[tuple[FormServer, FormServer]]:
    servers = FormServer("s-5be2a07c"), FormServer("s-00000002")
    yield servers
    for server in servers:
        server.stop()


@pytest.mark.parametrize("discovery", ["ask", "push"])
@pytest.mark.parametrize("trouble", [is_silent, is_reset, is_unavailable, never_ends])
def test_whatever_becomes_of_a_watch_a_fresh_answer_is_here_within_its_time(
    tmp_path: Path, two: tuple[FormServer, FormServer], trouble: Step, discovery: str
) -> None:
    stays, drains = two
    roster = ScriptedRoster(stays.entry(), drains.entry())
    with node(tmp_path, roster, settings={**SETTINGS, "discovery": discovery}) as running:  # type: ignore[arg-type]
        asked, target = roster.next_call()
        assert target.startswith("/registry/instances?after=41&wait_ms=")
        roster.steps.put(trouble)
        again, _ = roster.next_call()
        # What changed right after the watch had begun may take the answer's own time from here.
        assert again - asked <= (BUDGET_US - CALL_US) / 1e6
        roster.steps.put(answers(changes(42, drains.entry("DRAINING")), indent=1))
        running.logged("roster", "kind=delta", "revision=42")
        for n, group in enumerate(GROUPS):
            assert running.ask(id_=f"{n:016x}", group=group).hear() == "UP r1"
        assert stays.openings.qsize() == len(GROUPS) and drains.openings.empty()
    roster.stop()


def test_an_answer_older_than_one_before_changes_nothing(
    tmp_path: Path, two: tuple[FormServer, FormServer]
) -> None:
    stays, drains = two
    roster = ScriptedRoster(stays.entry(), drains.entry())
    with node(tmp_path, roster) as running:  # type: ignore[arg-type]
        roster.next_call()
        roster.steps.put(answers(changes(44, drains.entry("DRAINING"))))
        assert "after=44" in roster.next_call()[1]
        roster.steps.put(answers(changes(43, drains.entry())))  # on its way for long
        assert roster.next_call()[1] == "/registry/instances"
        running.logged("roster-failed", "BadRoster: revision 43 is older than 44")
        roster.steps.put(answers(whole(43, stays.entry(), drains.entry())))
        assert roster.next_call()[1] == "/registry/instances"
        for n, group in enumerate(GROUPS):
            assert running.ask(id_=f"{n:016x}", group=group).hear() == "UP r1"
        assert drains.openings.empty()
        # It says so again, with its whole list: it has begun to count anew.
        roster.steps.put(answers(whole(43, drains.entry())))
        assert "after=43" in roster.next_call()[1]
        assert running.ask(id_="f" * 16).hear() == "UP r1"
        assert drains.openings.qsize() == 1
    roster.stop()


def test_after_a_new_address_the_whole_list_is_asked_for_until_it_has_come(
    tmp_path: Path, two: tuple[FormServer, FormServer]
) -> None:
    stays, drains = two
    old, new = ScriptedRoster(stays.entry(), drains.entry()), ScriptedRoster()
    with node(tmp_path, old) as running:  # type: ignore[arg-type]
        old.next_call()
        path = tmp_path / "config.json"
        path.write_text(json.dumps({**json.loads(path.read_text()), "discovery": new.address}))
        running.process.send_signal(signal.SIGHUP)
        assert new.next_call()[1] == "/registry/instances"
        new.steps.put(is_unavailable)
        # Its versions are none of the old one's: a watch from there would bring nothing, or too little.
        assert new.next_call()[1] == "/registry/instances"
        new.steps.put(answers(whole(7, stays.entry())))
        assert "after=7" in new.next_call()[1]
        running.logged("roster", "kind=full", "revision=7")
        # The old one's answer, held until now, counts no more: its connection has ended.
        old.steps.put(answers(changes(99, stays.entry("DRAINING"), drains.entry())))
        for n, group in enumerate(GROUPS):
            assert running.ask(id_=f"{n:016x}", group=group).hear() == "UP r1"
        assert stays.openings.qsize() == len(GROUPS) and not any("revision=99" in x for x in running.lines)
    old.stop()
    new.stop()


def test_an_answer_in_hand_when_another_roster_counts_is_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    """The old call's task is woken with its answer and told to end in one turn of the loop."""
    told: list[Any] = []

    class Answered:
        """A call that has its answer just as the roster is dropped."""

        def __init__(self, *_: Any) -> None: ...

        def end(self) -> None: ...

        async def call(self, *_: Any) -> bytes:
            client.drop()
            return json.dumps(changes(99)).encode()

    monkeypatch.setattr(discovery_module, "HttpCalls", Answered)
    core = SimpleNamespace(
        clock=Clock(), settings=settings(), server_list_updated=told.append, discovery_failed=told.append
    )
    client = DiscoveryClient(core, ("127.0.0.1", 1), 41, 1)  # type: ignore[arg-type]
    client.fetch()
    anyio.run(client.run)
    assert told == []


@pytest.mark.parametrize("nodes", [1, 4, 30, 200])
def test_no_spread_of_calls_takes_more_of_the_time_than_is_its_own(nodes: int) -> None:
    now = 1_000_000_000
    clock = SimpleNamespace(now_us=lambda: now)
    core = SimpleNamespace(clock=clock, settings=settings(instances=nodes, poll_interval_us=10_000_000))
    latest = 0
    for seed in range(200):
        client = DiscoveryClient(core, ("127.0.0.1", 1), 41, seed)  # type: ignore[arg-type]
        core.discovery_failed = lambda why: None
        client.watch(True)
        assert client._call_at_us - now <= APART_US
        for failures in range(12):
            client._failures = failures
            began = now
            for took_us in (0, 1_000, CALL_US, WAIT_US + LATE_US):
                now = began + took_us
                client._spread(began)
                # A call that began before the roster could be reached again, refused or given up.
                next_us = client._call_at_us - began
                latest = max(latest, next_us)
                if took_us <= CALL_US:
                    assert next_us + CALL_US <= BUDGET_US - 200_000
                else:
                    assert next_us + CALL_US <= BUDGET_US
            now = began + 10_000_000
    assert nodes < 200 or latest > APART_US / 2, "nothing was spread"
    assert WAIT_US + LATE_US + SOON_US + CALL_US <= BUDGET_US


def test_calls_to_an_agent_of_the_nodes_own_are_not_spread() -> None:
    # What an agent has counts as told at once: whatever failed there, the next call begins right away.
    clock = SimpleNamespace(now_us=lambda: 1_000_000_000)
    pushed = settings(instances=200, discovery=DiscoveryMode.PUSH)
    core = SimpleNamespace(clock=clock, settings=pushed, discovery_failed=lambda why: None)
    for seed in range(200):
        client = DiscoveryClient(core, ("127.0.0.1", 1), 41, seed)  # type: ignore[arg-type]
        for _ in range(12):
            client._failed(clock.now_us(), "refused")
            assert client._call_at_us - clock.now_us() <= ASK_US
