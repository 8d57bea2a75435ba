"""Tests the parts of the mixed-version check: its report, schema comparison and datagram relay."""

from __future__ import annotations

import socket
from typing import Any

import pytest

from benchmarks.datagram_relay import DatagramRelay, LoadSumWatch
from benchmarks.mixed_fleet import Report, rejection_lines, wait_for
from benchmarks.mixed_settings import resolve_references
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


def test_a_report_without_checks_is_a_failure() -> None:
    assert Report().conclude() == 1


def test_a_timeout_names_the_awaited_condition() -> None:
    with pytest.raises(AssertionError, match="a leader: not within"):
        wait_for("a leader", lambda: None, 0.1)


def test_log_lines_about_unusable_data_are_found() -> None:
    lines = ["1.0 serving name=n1", "2.0 datagram-rejected neighbour=1", "3.0 lasting found=doubtful"]
    assert rejection_lines(lines) == lines[1:]


def schema(title: str, key: str) -> dict[str, Any]:
    table = {"title": title, "type": "object", "properties": {key: {"type": "number", "default": 1.0}}}
    return {"$ref": f"#/$defs/{title}", "$defs": {title: table}}


def test_schemas_differ_by_their_keys_and_not_by_the_names_of_classes() -> None:
    before, renamed, other = schema("Old", "lease_s"), schema("New", "lease_s"), schema("New", "lease")
    one, two, three = (
        resolve_references(document, document["$defs"]) for document in (before, renamed, other)
    )
    assert one == two != three


def test_a_datagram_comes_from_the_address_of_its_sender() -> None:
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
        assert (content, f"{host}:{port}") == (b"load", relay.peer_addresses_of(index)[0])

    try:
        send(relay.peer_addresses_of(0)[2])
        received(2)
        send(relay.broadcast_address_of(0))
        received(1)
        received(2)
    finally:
        relay.close()
        for node in nodes:
            node.close()
    assert relay.forwarded == {(0, 2): 2, (0, 1): 1}


def test_a_sender_is_accepted_if_it_sent_a_datagram_and_no_more_were_refused() -> None:
    relay = DatagramRelay([])
    lines: list[str] = []
    watch = LoadSumWatch(lines, 0, {1, 3}, relay)

    def accepts_all(sums: str, *senders: int) -> bool:
        """Forwards one datagram from each sender to node 0, logs a status line, and reads it."""
        relay.forwarded.update((sender, 0) for sender in senders)
        lines.append(f"1.0 pulse waiting=0 standing=none fleet={sums}")
        return watch.has_accepted_all(4)

    try:
        assert not accepts_all("1/0", 1, 3)  # no earlier status line to compare with
        assert not accepts_all("4/1", 1)
        assert not accepts_all("4/1", 3) and watch.accepted == {3}
        assert not accepts_all("3/1", 1) and watch.accepted == {1, 3}
        assert accepts_all("4/2", 1)
    finally:
        relay.close()
    assert str(watch) == "4 nodes in the last sum, 2 datagrams refused"
