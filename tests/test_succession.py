"""Replacing the process: two real programs in turn, and what passes between them."""

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
from sailrun.hot_restart.rules import Role, Succession
from sailrun.hot_restart.state import (
    InvalidHandoverError,
    pack,
    read_held,
    read_state,
    unpack,
    write_held,
    write_state,
)
from sailrun.node.restart_state import NodeSnapshot, ProcessLoad
from sailrun.node.session import FormServer as Entry
from sailrun.node.session import ServerListUpdate
from tests.stand_ins import TIMEOUT_S, FormServer, Peer, Roster, RunningNode, free_port, node


class Tier:
    """Processes of one node, one after another, in one folder."""

    def __init__(self, folder: Path, servers: list[FormServer], stack: ExitStack) -> None:
        self.folder, self._stack = folder, stack
        self.roster = Roster([s.entry() for s in servers])
        self.listen = f"127.0.0.1:{free_port()}"

    def start(self, **changes: Any) -> RunningNode:
        told = {"listen": self.listen, "control": f"127.0.0.1:{free_port()}", **changes}
        return self._stack.enter_context(node(self.folder, self.roster, **told))


@pytest.fixture
def tier(tmp_path: Path, servers: list[FormServer]) -> Iterator[Tier]:
    # Longer than the address of a Unix socket may be.
    folder = tmp_path / ("long" * 30)
    folder.mkdir()
    with ExitStack() as stack:
        yield Tier(folder, servers, stack)


def knocks(listen: str, count: int, answers: list[str]) -> None:
    """So many households, one after another as fast as they are answered; what each heard or met."""
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


def test_no_newcomer_meets_a_closed_door(tier: Tier) -> None:
    first = tier.start()
    answers: list[str] = []
    streams = [threading.Thread(target=knocks, args=(tier.listen, 500, answers)) for _ in range(4)]
    for stream in streams:
        stream.start()
    for _ in range(2):
        second = tier.start()
        assert second.call("check") == "ok"
        first.terminate()
        assert first.process.wait(TIMEOUT_S) == 0
        first = second
    for stream in streams:
        stream.join()
    assert answers == ["UP r1"] * 2000
    assert first.read_metrics()["calls.page-load.failure"] == 0


def test_standing_sessions_go_on_as_they_are(tier: Tier, servers: list[FormServer]) -> None:
    first = tier.start()
    households = []
    for n in range(60):
        household = first.request_session(f"{n:016x}", group=f"{n:016x}")
        assert household.read_line() == "UP r1"
        households.append(household)
    households[0].sock.sendall(b"half a ")  # one is in the middle of its line, one of its form server's
    at, peer = next((s, s.peers[0]) for s in servers if s.peers)
    peer.sock.sendall(b"LOAD 81")
    second = tier.start()
    for n in range(60):
        second.logged("adopted", f"id={n:016x}")
    first.terminate()
    assert first.process.wait(TIMEOUT_S) == 0
    peer.sock.sendall(b"2.5\r\n")
    households[0].sock.sendall(b"page\r\n")
    told = 0
    for n, household in enumerate(households):
        if n:
            household.send_line(f"page {n}")
        heard = household.read_line()
        if heard == "LOAD 812.5":
            told, heard = told + 1, household.read_line()
        assert heard == (f"page {n}" if n else "half a page")
    assert told == 1 and at.ends.empty()
    figures = second.read_metrics()
    assert figures["inflight"] == 60 and figures["calls.page-load.success"] == 0
    for household in households:
        household.close()
    second.wait_for_metric("inflight", 0)
    assert "moved" not in "".join(first.lines + second.lines)


def test_a_successor_that_dies_with_sessions_leaves_those_it_has_not(tier: Tier) -> None:
    first = tier.start()
    households = []
    for n in range(30):
        households.append(first.request_session(f"{n:016x}", group=f"{n:016x}"))
        assert households[-1].read_line() == "UP r1"
    second = tier.start()
    second.logged("adopted")
    second.process.kill()
    first.logged("successor-lost")
    alive = 0
    for household in households:
        try:
            household.send_line("page 3")
            alive += household.read_line() == "page 3"
        except OSError:
            pass  # it was the successor's by then
    assert alive == int(first.wait_for_metric("inflight", alive)["inflight"])


def test_what_one_process_knows_the_next_one_knows(tier: Tier, servers: list[FormServer]) -> None:
    first = tier.start()
    assert first.call(f"set-down {servers[0].name}") == "ok"
    tier.roster.publish(FormServer("s-00000003").entry())
    first.wait_for_metric("hosts_listed", 3)
    assert first.call("drain-on") == "ok"
    second = tier.start()
    figures = second.read_metrics()
    assert figures["hosts_listed"] == 3 and figures["hosts_down"] == 1
    assert figures["calls.page-load.success"] == 0
    assert second.call("check").startswith("fail")  # the node still drains
    # Staff may say it to either of the two.
    assert first.call("drain-off") == "ok"
    while second.call("check") != "ok":
        pass
    assert second.call(f"set-up {servers[0].name}") == "ok"
    assert second.read_metrics()["hosts_down"] == 0


def test_a_successor_that_dies_leaves_the_node_to_its_predecessor(tier: Tier) -> None:
    first = tier.start()
    household = first.request_session("1" * 16)
    assert household.read_line() == "UP r1"
    second = tier.start()
    first.logged("leaving", "reason=succeeded")
    second.process.kill()
    first.logged("successor-lost")
    household = first.request_session()
    assert household.read_line() == "UP r1"
    assert first.call("check") == "ok"
    third = tier.start()
    assert third.call("check") == "ok"
    first.terminate()
    assert first.process.wait(TIMEOUT_S) == 0


def test_a_successor_that_cannot_start_changes_nothing(tier: Tier) -> None:
    first = tier.start()
    # The second address is in use: it ends before it takes anything.
    environment = {**os.environ, "RELAY_CONFIG": str(tier.folder / "config.json"), "TMPDIR": str(tier.folder)}
    done = subprocess.run([sys.executable, "-m", "sailrun"], env=environment, capture_output=True, text=True)
    assert done.returncode == 2 and done.stderr.count("\n") == 1
    household = first.request_session()
    assert household.read_line() == "UP r1"
    assert first.call("check") == "ok"


def test_a_socket_file_that_nobody_answers_is_replaced(tier: Tier) -> None:
    first = tier.start()
    first.process.kill()
    first.process.wait(TIMEOUT_S)
    second = tier.start()
    assert second.call("check") == "ok"
    third = tier.start()
    second.logged("handed-over")
    assert third.call("check") == "ok"


def test_without_the_folder_both_listen_and_both_are_answered(tier: Tier, tmp_path: Path) -> None:
    first = tier.start()
    other = tmp_path / "other"
    other.mkdir()
    shutil.copy(tmp_path / ("long" * 30) / "config.json", other)
    with node(other, tier.roster, listen=tier.listen, control=f"127.0.0.1:{free_port()}") as second:
        assert second.call("check") == "ok" and first.call("check") == "ok"
        assert second.request_session().read_line() == "UP r1"


# ---------------------------------------------------------------------- what passes over

SINCE = 1_700_000_000_000_000
ENTRY = Entry("s-5be2a07c", ("127.0.0.1", 5000), BackendState.READY, "daejeon-1", 3, 1.5, SINCE)
LEARNED = BackendSnapshot(ENTRY.number, SINCE, 0, 5, 1, 0, 2, True, 3.5, 7, math.inf, 8, -1, 0.25, SINCE + 1)
STATE = NodeSnapshot(
    ServerListUpdate(ListKind.CACHED, 41, (ENTRY,)),
    frozenset({"s-5be2a07c", "s-gone"}),
    True,
    StateSnapshot(
        (LEARNED,), SetupRateSnapshot(*map(float, range(len(SETUP_RATE_FIELDS)))), {"page-load": (812.5, 17)}
    ),
)


def test_a_state_comes_over_whole() -> None:
    kind, content = unpack(pack("state", write_state(STATE)))
    assert kind == "state" and read_state(content) == STATE
    held = ProcessLoad({ENTRY.number: 812.5}, 3, True, 40)
    assert read_held(unpack(pack("held", write_held(held)))[1]) == held


def test_a_state_torn_or_changed_at_any_byte_is_dropped() -> None:
    line = pack("state", write_state(STATE))
    for n in range(len(line)):
        with pytest.raises(InvalidHandoverError):
            unpack(line[:n])
        if line[n : n + 1] != b"#":
            with pytest.raises(InvalidHandoverError):
                unpack(line[:n] + b"#" + line[n + 1 :])


@given(st.recursive(st.none() | st.booleans() | st.integers() | st.text(), st.lists, max_leaves=5), st.data())
def test_content_of_another_form_is_dropped(other: Any, data: st.DataObject) -> None:
    content = write_state(STATE)
    key = data.draw(st.sampled_from(sorted(content)))
    try:
        read_state({**content, key: other})
        taken = True
    except InvalidHandoverError:
        taken = False
    # What is of the right form is another state, and no fault.
    assert taken is (
        (key == "learned" and other == [])
        or (key == "out_by_hand" and isinstance(other, list) and all(isinstance(o, str) for o in other))
        or (key == "draining" and isinstance(other, bool))
    )
    with pytest.raises(InvalidHandoverError):
        read_state({k: v for k, v in content.items() if k != key})
    with pytest.raises(InvalidHandoverError):
        read_state(other)


@given(st.lists(st.sampled_from(["asked", "took", "lost", "lost-ending"])))
def test_one_of_two_processes_takes_households_whatever_happens(events: list[str]) -> None:
    rules = Succession()
    handed = taken = False  # as the successor sees it
    for event in events:
        match event:
            case "asked":
                granted = rules.asked()
                assert granted is not (handed or (rules.role is Role.SUCCEEDED and not taken))
                handed = handed or granted
            case "took" if handed:
                assert rules.took() is not taken
                taken = True
            case "lost" if handed:
                assert rules.lost(False) is taken
                handed = taken = False
            case "lost-ending" if handed:
                assert rules.lost(True) is False
                return  # it ends without its successor
        assert (rules.role is Role.SUCCEEDED) is taken
