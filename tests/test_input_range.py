"""Values from outside that are huge, tiny or not numbers: each gets the protocol's error or is ignored, is
counted and logged, and no node ends.

Guards against a fault in which two clients that stated a load of 1e308 ended every node: the sum of both was
infinite, and the next load report to the other nodes could not be encoded.
"""

from __future__ import annotations

import json
import math
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sailrun.config import read_node_config
from sailrun.decisions.events import MAX_LOAD_US_PER_S, LocalLoad
from sailrun.decisions.load_range import LoadOutOfRangeError, parse_load_value
from sailrun.discovery import MAX_NUMBER, InvalidServerListError, read_server_list
from sailrun.errors import ConfigError
from sailrun.hot_restart.state import InvalidHandoverError, read_state, write_state
from sailrun.load_gossip.aggregation_rounds import AggregationRounds
from sailrun.load_gossip.datagram import LoadDatagram, decode_datagram, encode_datagram
from sailrun.node.restart_state import NodeSnapshot
from sailrun.text_protocol.lines import InvalidLineError, parse_load, parse_open_request
from tests.free_ports import free_port
from tests.stand_ins import SETTINGS, FormServer, RegistryStandIn, node, roster_entry

UNUSABLE_LOADS = ["1e308", "1e10", "-1", "-0.5", "nan", "inf", "-inf", "much", "", "9" * 100]
# Integers that have more digits than Python converts by default are rejected by the JSON parser itself.
HUGE_INTEGER, MANY_DIGITS = 10**400, "9" * 5_000


@pytest.mark.parametrize("text", UNUSABLE_LOADS)
def test_a_load_out_of_range_is_rejected_at_both_ends_of_the_text_protocol(text: str) -> None:
    with pytest.raises(InvalidLineError, match="'h' is not a number from 0 to 1000000000"):
        parse_open_request(f"OPEN a b c=page-load,d=2000,h={text}\r\n".encode(), {"page-load"})
    if text:
        with pytest.raises(LoadOutOfRangeError):
            parse_load(f"LOAD {text}\r\n".encode())


@pytest.mark.parametrize("text", ["0", "1e-320", "812.5", "1e9"])
def test_a_load_within_the_range_is_accepted(text: str) -> None:
    request = parse_open_request(f"OPEN a b c=page-load,d=2000,h={text}\r\n".encode(), {"page-load"})
    assert request.load_hint == parse_load(f"LOAD {text}\r\n".encode()) == parse_load_value(text)
    assert request.load_hint in (0.0, 812.5, MAX_LOAD_US_PER_S)  # the smallest ones count as none


@given(st.dictionaries(st.integers(0, 0xFFFF), st.floats(), max_size=20), st.integers(), st.booleans())
def test_any_load_can_be_encoded_for_the_other_nodes(
    loads: dict[int, float], connections: int, loads_reported: bool
) -> None:
    content = encode_datagram(LoadDatagram(5, loads, connections, loads_reported), 4)
    assert all(math.isfinite(load) for load in decode_datagram(content, 4).loads.values())


@given(st.lists(st.floats(), min_size=1, max_size=6), st.integers(0, 3))
def test_a_round_reports_any_load_of_this_node(loads: list[float], index: int) -> None:
    rounds = AggregationRounds(index, 4, 1, 0)
    local = LocalLoad(dict(enumerate(loads)), len(loads), True, frozenset(), True)
    now_us = 0
    for _ in range(40):
        now_us = max(now_us + 1, rounds.due_us())
        rounds.tick(now_us, local)
    assert now_us > 8_000_000


@given(st.lists(st.binary(max_size=300), max_size=8))
def test_any_datagram_is_received_or_counted_as_rejected(datagrams: list[bytes]) -> None:
    rounds = AggregationRounds(0, 4, 1, 0)
    local = LocalLoad({1: 5.0}, 1, True, frozenset(), False)
    for content in datagrams:
        rounds.receive(2_000_000, 1, bytes((0xF2,)) + content, local)


def entry(**changes: Any) -> dict[str, Any]:
    return {**roster_entry("s-5be2a07c", "127.0.0.1:5000", "SERVING"), **changes}


UNUSABLE_ENTRIES: list[dict[str, Any]] = [
    {"size": HUGE_INTEGER},
    {"size": 1e308},
    {"size": 1e-300},
    {"size": math.inf},
    {"size": math.nan},
    {"up_since_ms": HUGE_INTEGER},
    {"up_since_ms": MAX_NUMBER + 1},
    {"cell": -HUGE_INTEGER},
    {"id": "\ud800"},
    {"id": "s-1\nfault"},
    {"id": "s" * 129},
    {"locality": "\x00"},
    {"host_port": "\ud800:5000"},
    {"host_port": "127.0.0.1:²"},
    {"phase": "\ud800"},
]


@pytest.mark.parametrize("changes", UNUSABLE_ENTRIES, ids=lambda changes: f"{changes!a:.40}")
def test_a_list_with_a_value_out_of_range_is_rejected_as_a_whole(changes: dict[str, Any]) -> None:
    with pytest.raises(InvalidServerListError) as raised:
        read_server_list({"complete": True, "revision": 1, "members": [entry(), entry(**changes)]})
    assert len(str(raised.value).encode()) < 400  # one plain line, whatever the value


@pytest.mark.parametrize("size", [0, -1, 1e-9, 0.0004, 1e9])
def test_a_size_within_the_range_or_not_stated_is_accepted(size: float) -> None:
    document = {"complete": True, "revision": MAX_NUMBER, "members": [entry(size=size)]}
    assert read_server_list(document).form_servers[0].size == size


def test_a_node_serves_on_after_clients_form_servers_and_the_registry_sent_values_out_of_range(
    tmp_path: Path,
) -> None:
    # Before the values were bounded, the loads ended the node at the next round, and the lists ended it at
    # once: they raised OverflowError, ValueError and UnicodeEncodeError in the tasks of the whole node.
    form_server = FormServer("s-5be2a07c")
    roster = RegistryStandIn([form_server.entry()])
    settings = {**SETTINGS, "siblings": 4, "discovery": "push"}  # calls follow each other quickly
    with node(tmp_path, roster, settings=settings, control=f"127.0.0.1:{free_port()}") as running:
        client = running.request_session()
        assert client.read_line() == "UP r1"
        for n in range(3):
            bad_client = running.request_session(f"bad{n}", more=",h=1e308")
            assert (bad_client.read_line(), bad_client.read_line()) == ("ERR", "")
        for line in ("LOAD 1e308", "LOAD 1e308", "LOAD nan"):
            form_server.peers[0].send_line(line)
            assert client.read_line() == line  # lines are forwarded unchanged
        running.logged("load-rejected", "server=s-5be2a07c", "is not a number from 0 to")
        lists = [{"revision": 42, "complete": False, "members": [entry(**c)]} for c in UNUSABLE_ENTRIES]
        bodies = [json.dumps(document) for document in lists]
        for number in (MANY_DIGITS, str(HUGE_INTEGER)):
            bodies.append(f'{{"revision":{number},"complete":true,"members":[]}}')
        for count, body in enumerate(bodies, 1):
            roster.answers.put(body.encode())
            running.wait_for_metric("rejected_inputs.registry", count)
        roster.publish(form_server.entry())
        running.logged("roster ", "revision=42")
        metrics = running.read_metrics()
        assert (metrics["rejected_inputs.client"], metrics["rejected_inputs.form-server"]) == (3, 3)
        assert metrics["faults"] == 0
        client.send_line("page 4")
        assert client.read_line() == "page 4"


SETTINGS_OUT_OF_RANGE: list[tuple[str, dict[str, Any]]] = [
    ("connect_timeout_us", {"limits": {**SETTINGS["limits"], "connectTimeoutUs": HUGE_INTEGER}}),
    ("fall_multiple", {"obligations": {**SETTINGS["obligations"], "fallMultiple": 1e308}}),
    ("cold_us", {"obligations": {**SETTINGS["obligations"], "coldUs": 10**300}}),
    ("instances", {"siblings": 10**12}),
]


@pytest.mark.parametrize(
    ("name", "changes"), SETTINGS_OUT_OF_RANGE, ids=[n for n, _ in SETTINGS_OUT_OF_RANGE]
)
def test_a_setting_out_of_range_is_one_plain_error(
    tmp_path: Path, name: str, changes: dict[str, Any]
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"seed": "1", "settings": {**SETTINGS, **changes}, "known": {}}))
    with pytest.raises(ConfigError, match=name) as raised:
        read_node_config(path)
    assert "\n" not in str(raised.value) and len(str(raised.value)) < 400


@pytest.mark.parametrize(
    "text", ['{"seed":' + MANY_DIGITS + "}", '{"seed":"1","settings":' + "[" * 900 + "]" * 900 + "}"]
)
def test_a_file_that_python_cannot_convert_is_one_plain_error(tmp_path: Path, text: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    with pytest.raises(ConfigError) as raised:
        read_node_config(path)
    assert "\n" not in str(raised.value)


@pytest.mark.parametrize("mean", [HUGE_INTEGER, 1e308, -1.0])
def test_a_predecessors_state_with_a_load_out_of_range_is_not_used(mean: float) -> None:
    server_list = read_server_list({"complete": True, "revision": 1, "members": [entry()]}, cached=True)
    state = write_state(NodeSnapshot(server_list, frozenset(), False, None))
    state["pace"] = [0.0] * 9
    read_state({**state, "class_load": {"page-load": [5.0, 3]}})
    with pytest.raises(InvalidHandoverError):
        read_state({**state, "class_load": {"page-load": [mean, 3]}})
