"""Operators' commands while the process is replaced: each is in the state or mirrored, exactly once."""

from __future__ import annotations

import resource
import socket
import threading
from collections import deque
from contextlib import ExitStack
from functools import partial
from pathlib import Path
from typing import Any, cast

import anyio
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from sailrun.config import read_settings
from sailrun.decisions.events import BackendState, ListKind
from sailrun.hot_restart.channel import Channel
from sailrun.hot_restart.handover import Handover, Inherited, inherit
from sailrun.hot_restart.link import HandoverListener, Link, send_with_sockets
from sailrun.hot_restart.state import pack, read_state, unpack, write_state
from sailrun.lab.scheduler import BEGIN_US, Scheduler, VirtualClock
from sailrun.node.core import Node
from sailrun.node.operator_commands import OperatorCommand
from sailrun.node.request_ids import RequestIds
from sailrun.node.restart_state import NodeSnapshot
from sailrun.node.session import FormServer as ListedFormServer
from sailrun.node.session import ServerListUpdate
from sailrun.node.shutdown import ShutdownReason
from tests.free_ports import free_port
from tests.stand_ins import SETTINGS, TIMEOUT_S, RegistryStandIn, node, roster_entry

NAMES = ("s-00000000", "s-00000001", "s-00000002")
LISTED = tuple(ListedFormServer(name, ("127.0.0.1", 1), BackendState.READY) for name in NAMES)
State = tuple[frozenset[str], bool]  # the excluded form servers, and whether the node drains

overrides = st.tuples(st.just(OperatorCommand.OVERRIDE), st.sampled_from(NAMES), st.booleans())
drains = st.tuples(st.just(OperatorCommand.DRAIN), st.just(""), st.booleans())
calls = st.one_of(overrides, drains)
turns = st.lists(st.lists(calls, max_size=6), max_size=3)  # the calls of each turn of the event loop


def make_node(predecessor: NodeSnapshot | None = None) -> Node:
    update = ServerListUpdate(ListKind.CACHED, 1, LISTED)
    clock = VirtualClock(Scheduler())
    made = Node(read_settings(SETTINGS), 1, clock, update, lambda _event, /, **_fields: None, predecessor)
    made.start()
    return made


def make_handover(node_: Node) -> Handover:
    ids = RequestIds(node_.clock)
    return Handover(node_, "n1", 1024, dict, lambda _paused: None, None, lambda _content, _sockets: None, ids)


def make_call(node_: Node, call: tuple[str, str, bool], answers: list[bool]) -> None:
    command, name, is_on = call
    if command == OperatorCommand.OVERRIDE:
        node_.set_operator_override(name, is_on, answers.append)
    else:
        node_.set_draining(is_on, answers.append)


def run_turn(*nodes: Node) -> None:
    for node_ in nodes:
        node_.run_once(BEGIN_US)


def state_of(node_: Node) -> State:
    excluded: list[frozenset[str]] = []
    node_.list_operator_overrides(excluded.append)
    run_turn(node_)
    return excluded[0], ShutdownReason.DRAIN in node_.shutdown


def sent_messages(channel: Channel, other: socket.socket) -> list[tuple[str, Any]]:
    """Returns the messages that were queued on the channel, as the other process receives them."""

    async def write() -> None:
        with anyio.move_on_after(0.01):
            await channel.write()
        channel.close()

    anyio.run(write)
    with other.makefile("rb") as file:
        return [unpack(line) for line in file]


@given(turns, st.lists(calls, max_size=6), st.lists(calls, max_size=6), turns)
@example([], [], [(OperatorCommand.OVERRIDE, NAMES[0], True)], [])
def test_each_command_is_in_the_state_or_follows_it(
    before: list[list[tuple[str, str, bool]]],
    same_turn_before: list[tuple[str, str, bool]],
    same_turn_after: list[tuple[str, str, bool]],
    after: list[list[tuple[str, str, bool]]],
) -> None:
    # Guards against a command being lost that is executed in the turn in which the state is taken.
    predecessor, answers, snapshots = make_node(), list[bool](), list[dict[str, Any]]()
    handover = make_handover(predecessor)
    own, other = socket.socketpair()
    channel = Channel(Link(own))
    for turn in before:
        for call in turn:
            make_call(predecessor, call, answers)
        run_turn(predecessor)
    for call in same_turn_before:
        make_call(predecessor, call, answers)
    handover._snapshot_for(channel, snapshots.append)
    for turn in (same_turn_after, *after):
        for call in turn:
            make_call(predecessor, call, answers)
        run_turn(predecessor)
    assert all(answers)

    successor = make_node(read_state(snapshots[0]["state"]))
    state, changes = state_of(successor), []
    for command, name, is_on in (*same_turn_after, *(call for turn in after for call in turn)):
        excluded, is_draining = state
        next_excluded = excluded | {name} if is_on else excluded - {name}
        next_state = (
            (next_excluded, is_draining) if command == OperatorCommand.OVERRIDE else (excluded, is_on)
        )
        if next_state != state:
            content = [name, is_on] if command == OperatorCommand.OVERRIDE else is_on
            changes.append((command, content))
        state = next_state
    messages = sent_messages(channel, other)
    assert messages == changes  # in their order, each once
    for command, content in messages:
        successor.mirror_operator_command(command, content, channel)
    run_turn(successor)
    assert state_of(successor) == state_of(predecessor) == state
    other.close()


@given(st.lists(st.one_of(calls, st.sampled_from(["deliver", "answer"])), max_size=30))
@example([(OperatorCommand.DRAIN, "", True), "deliver", (OperatorCommand.DRAIN, "", False), "answer"])
def test_a_mirrored_command_does_not_undo_the_next_one(steps: list[Any]) -> None:
    # Guards against a command that comes back from the other process after the next call was executed.
    first, second = make_node(), make_node()
    to_second, to_first = deque[tuple[str, Any]](), deque[tuple[str, Any]]()

    def mirror_to(
        queue: deque[tuple[str, Any]], receiver: Node, command: str, content: Any, origin: Any
    ) -> None:
        if origin is not receiver:
            queue.append((command, content))

    first.on_operator_command = partial(mirror_to, to_second, second)
    second.on_operator_command = partial(mirror_to, to_first, first)

    def deliver(queue: deque[tuple[str, Any]], receiver: Node, sender: Node) -> None:
        if queue:
            receiver.mirror_operator_command(*queue.popleft(), sender)
            run_turn(receiver)

    for step in steps:
        if step == "deliver":
            deliver(to_second, second, first)
        elif step == "answer":
            deliver(to_first, first, second)
        else:
            make_call(first, step, [])
            run_turn(first)
    while to_second or to_first:
        deliver(to_second, second, first)
        deliver(to_first, first, second)
    last = {(command, name): is_on for command, name, is_on in (s for s in steps if isinstance(s, tuple))}
    excluded = frozenset(
        name for (command, name), is_on in last.items() if is_on and command == OperatorCommand.OVERRIDE
    )
    assert state_of(first) == state_of(second) == (excluded, last.get((OperatorCommand.DRAIN, ""), False))


def test_commands_that_arrive_with_the_state_are_not_taken_for_a_part_of_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against the whole state being dropped because a mirrored command is written right behind it.
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    predecessor, snapshots = make_node(), list[NodeSnapshot]()
    make_call(predecessor, (OperatorCommand.OVERRIDE, NAMES[0], True), [])
    make_call(predecessor, (OperatorCommand.DRAIN, "", True), [])
    predecessor.snapshot_state(snapshots.append)
    run_turn(predecessor)
    content = write_state(snapshots[0])
    listener = HandoverListener("n1")
    following = [pack(OperatorCommand.OVERRIDE, [NAMES[1], True]), pack(OperatorCommand.DRAIN, False)]

    def hand_over() -> None:
        listener.listener.setblocking(True)
        accepted = listener.listener.accept()[0]
        assert unpack(accepted.recv(4096)) == ("succeed", None)
        link = Link(accepted)
        message = pack("state", {"sockets": ["listen"], "state": content})
        with socket.socket() as passed:
            anyio.run(send_with_sockets, link, message + b"".join(following), [passed])
        link.sock.close()

    thread = threading.Thread(target=hand_over)
    thread.start()
    inherited = inherit("n1")
    thread.join()
    listener.close()
    assert inherited is not None and inherited.state is not None
    assert inherited.state.excluded == {NAMES[0]} and inherited.state.is_draining
    assert list(inherited.sockets) == ["listen"]

    async def read_following() -> list[bytes]:
        link = inherited.link
        while await link.fill():
            pass
        lines = [cast(bytes, link.take_line()) for _ in following]
        inherited.close()
        return lines

    assert anyio.run(read_following) == following


def test_form_servers_excluded_while_a_successor_starts_are_excluded_there(tmp_path: Path) -> None:
    # Guards against a call answered `ok` that is neither in the state nor mirrored (one of many per turn).
    names = [f"s-{n:08x}" for n in range(240)]
    roster = RegistryStandIn([roster_entry(name, "127.0.0.1:1", "SERVING") for name in names])
    listen = f"127.0.0.1:{free_port()}"
    with ExitStack() as stack:
        first = stack.enter_context(node(tmp_path, roster, listen=listen, control=f"127.0.0.1:{free_port()}"))
        stop, answers = threading.Event(), dict[str, str]()

        def exclude(own_names: list[str]) -> None:
            for name in own_names:
                if stop.is_set():
                    return
                answers[name] = first.call(f"set-down {name}")

        threads = [threading.Thread(target=exclude, args=(names[n::8],)) for n in range(8)]
        for thread in threads:
            thread.start()
        second = stack.enter_context(
            node(tmp_path, roster, listen=listen, control=f"127.0.0.1:{free_port()}")
        )
        stop.set()
        for thread in threads:
            thread.join()
        assert set(answers.values()) == {"ok"} and len(answers) < len(names)
        second.wait_for_metric("hosts_down", len(answers))
        assert first.read_metrics()["hosts_down"] == len(answers)


def successor_of(other: socket.socket) -> tuple[Node, Handover]:
    """Returns a process that has inherited the connection whose other end is given, before its first turn."""
    node_, inherited = make_node(), Inherited(Link(other), None)
    arguments = ("n1", 1024, dict, lambda _paused: None, inherited, lambda _content, _sockets: None)
    return node_, Handover(node_, *arguments, RequestIds(node_.clock))


def test_a_command_that_a_new_process_executes_first_is_mirrored_to_its_predecessor() -> None:
    # Guards against a command at the new address that the old process never gets.
    own, other = socket.socketpair()
    successor, handover = successor_of(other)
    make_call(successor, (OperatorCommand.OVERRIDE, NAMES[0], True), [])
    run_turn(successor)
    (channel,) = handover._channels
    assert sent_messages(channel, own) == [(OperatorCommand.OVERRIDE, [NAMES[0], True])]
    own.close()


def test_what_a_process_has_mirrored_before_its_end_is_executed() -> None:
    # Guards against the last commands of a process being lost because nothing can be written to it any more.
    async def run() -> None:
        own, other = socket.socketpair()
        successor, handover = successor_of(other)
        # More than is read at once.
        own.sendall(b"".join(pack(OperatorCommand.OVERRIDE, [NAMES[0], n % 2 == 0]) for n in range(401)))
        own.close()
        (channel,) = handover._channels
        with anyio.fail_after(TIMEOUT_S):
            await handover._run_as_successor(channel)
        run_turn(successor)
        assert state_of(successor) == (frozenset({NAMES[0]}), False)

    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)
    anyio.run(run)
    resource.setrlimit(resource.RLIMIT_NOFILE, descriptors)  # a successor sets its own limit
