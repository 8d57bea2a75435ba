"""The check of two versions in one fleet: what it counts as failed, and how it compares and passes on."""

from __future__ import annotations

import socket
from typing import Any

import pytest

from benchmarks.datagram_relay import DatagramRelay, SumsWatch
from benchmarks.mixed_fleet import Report, refused_in, wait_for
from benchmarks.mixed_settings import inlined
from tests.stand_ins import TIMEOUT_S


def test_a_check_that_raises_is_printed_and_sets_the_exit_status(capsys: pytest.CaptureFixture[str]) -> None:
    def fail() -> str:
        raise AssertionError("two leaders")

    report = Report()
    assert report.check("one", lambda: "seen")
    assert report.conclude() == 0
    assert not report.check("other", fail)
    assert report.conclude() == 1
    lines = capsys.readouterr().out.splitlines()
    assert lines[0].split() == ["ok", "one:", "seen"]
    assert lines[2] == "FAILED other: AssertionError: two leaders"
    assert lines[3] == "mixed versions: 2 checks, 1 ok, 1 FAILED"


def test_no_check_at_all_is_no_success() -> None:
    assert Report().conclude() == 1


def test_what_never_comes_is_named() -> None:
    with pytest.raises(AssertionError, match="a leader: not within"):
        wait_for("a leader", lambda: None, 0.1)


def test_lines_of_what_was_not_usable_are_found() -> None:
    lines = ["1.0 serving name=n1", "2.0 datagram-rejected neighbour=1", "3.0 lasting found=doubtful"]
    assert refused_in(lines) == lines[1:]


def schema(title: str, key: str) -> dict[str, Any]:
    table = {"title": title, "type": "object", "properties": {key: {"type": "number", "default": 1.0}}}
    return {"$ref": f"#/$defs/{title}", "$defs": {title: table}}


def test_schemas_differ_by_their_keys_and_not_by_the_names_of_classes() -> None:
    before, renamed, other = schema("Old", "lease_s"), schema("New", "lease_s"), schema("New", "lease")
    one, two, three = (inlined(document, document["$defs"]) for document in (before, renamed, other))
    assert one == two != three


def test_a_datagram_comes_from_where_its_sender_is_reached() -> None:
    nodes = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
    for node in nodes:
        node.bind(("127.0.0.1", 0))
        node.settimeout(TIMEOUT_S)
    relay = DatagramRelay(["{}:{}".format(*node.getsockname()) for node in nodes])

    def send(to: str) -> None:
        host, port = to.split(":")
        nodes[0].sendto(b"load", (host, int(port)))

    def received(index: int) -> None:
        content, (host, port) = nodes[index].recvfrom(64)
        assert (content, f"{host}:{port}") == (b"load", relay.peers_of(index)[0])

    try:
        send(relay.peers_of(0)[2])
        received(2)
        send(relay.everyone_of(0))
        received(1)
        received(2)
    finally:
        relay.close()
        for node in nodes:
            node.close()
    assert relay.passed == {(0, 2): 2, (0, 1): 1}


def test_a_sender_is_taken_where_it_sent_something_and_no_more_was_refused() -> None:
    relay = DatagramRelay([])
    lines: list[str] = []
    watch = SumsWatch(lines, 0, {1, 3}, relay)

    def look(sums: str, *senders: int) -> bool:
        relay.passed.update((sender, 0) for sender in senders)
        lines.append(f"1.0 pulse waiting=0 standing=none fleet={sums}")
        return watch.has_taken_all(4)

    try:
        assert not look("1/0", 1, 3)  # nothing to compare with yet
        assert not look("4/1", 1)
        assert not look("4/1", 3) and watch.taken == {3}
        assert not look("3/1", 1) and watch.taken == {1, 3}
        assert look("4/2", 1)
    finally:
        relay.close()
    assert str(watch) == "4 in the last sum, 2 refused"
