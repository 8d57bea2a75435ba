"""SIGHUP: a new configuration file is applied during operation, and an unusable one changes nothing."""

from __future__ import annotations

import contextlib
import json
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.free_ports import free_port
from tests.stand_ins import TIMEOUT_S, FormServer, RegistryStandIn, RunningNode, node, sidecar


@pytest.fixture
def form_server() -> Iterator[FormServer]:
    server = FormServer("s-5be2a07c")
    yield server
    server.stop()


def write_and_send_sighup(running: RunningNode, path: Path, text: str) -> None:
    path.write_text(text)
    running.process.send_signal(signal.SIGHUP)


def test_a_new_roster_address_is_requested_at_once_and_the_old_one_no_longer(
    tmp_path: Path, form_server: FormServer
) -> None:
    old, new = RegistryStandIn([form_server.entry()]), RegistryStandIn([form_server.entry()])
    path = tmp_path / "config.json"
    with node(tmp_path, old) as running:
        old.requests.get(timeout=TIMEOUT_S)
        client = running.request_session()
        assert client.read_line() == "UP r1"
        config = json.loads(path.read_text())
        began = time.monotonic()
        write_and_send_sighup(running, path, json.dumps({**config, "discovery": new.address}))
        # The revisions of two rosters are unrelated, so the complete list is requested first.
        assert new.requests.get(timeout=TIMEOUT_S)[1] == "/registry/instances"
        assert time.monotonic() - began < 2
        running.logged("reloaded", "changed=roster")
        new.answers.put(json.dumps(new.complete_list()).encode())
        assert "after=41&" in new.requests.get(timeout=TIMEOUT_S)[1]
        new.publish(form_server.entry("DRAINING"))
        assert client.read_line() == "MOVE"
        assert old.requests.empty()


def test_an_unusable_file_leaves_the_old_one_in_use(tmp_path: Path, form_server: FormServer) -> None:
    path = tmp_path / "config.json"
    with node(tmp_path, RegistryStandIn([form_server.entry()])) as running:
        good = path.read_text()
        bad = ["{", "[]", "[" * 100_000, good.replace('"discovery": "', '"discovery": "nowhere'), ""]
        bad.append(good.replace('"settings": {', '"settings": [], "x": {'))
        for n, text in enumerate(bad, 1):
            write_and_send_sighup(running, path, text)
            while sum("reload-refused" in line for line in running.lines) < n:
                running.logged("reload-refused")
                time.sleep(0.005)
        path.unlink()
        running.process.send_signal(signal.SIGHUP)
        running.logged("reload-refused", "No such file")
        assert running.request_session().read_line() == "UP r1"
        assert sum("reload-refused" in line for line in running.lines) == len(bad) + 1
        assert not any("Traceback" in line for line in running.lines)


def test_a_new_listening_address_accepts_clients_and_those_of_the_old_one_are_moved(
    tmp_path: Path, form_server: FormServer
) -> None:
    path = tmp_path / "config.json"
    with node(tmp_path, RegistryStandIn([form_server.entry()])) as running:
        established, silent = running.request_session(), running.connect()
        assert established.read_line() == "UP r1"
        form_server.answer = None
        pending = running.request_session("asking")
        form_server.first_lines.get(timeout=TIMEOUT_S)
        form_server.first_lines.get(timeout=TIMEOUT_S)
        form_server.answer = "UP r1"
        address = f"127.0.0.1:{free_port()}"
        config = json.loads(path.read_text())
        began = time.monotonic()
        write_and_send_sighup(running, path, json.dumps({**config, "listen": address}))
        running.logged("reloaded", "changed=listen")
        # The line is logged one event loop iteration before the listener is closed. Closing it resets
        # connections that were not accepted yet; every later connection is refused.
        with pytest.raises(ConnectionRefusedError):
            while time.monotonic() - began < TIMEOUT_S:
                with contextlib.suppress(ConnectionResetError):
                    running.connect().close()
        assert [established.read_line(), established.read_line()] == ["MOVE", ""]
        assert [pending.read_line(), pending.read_line(), silent.read_line()] == ["ERR", "", ""]
        assert time.monotonic() - began < 3
        running.listen = address
        assert running.request_session().read_line() == "UP r1"


def test_a_restart_during_a_reload_moves_all_clients(tmp_path: Path, form_server: FormServer) -> None:
    path = tmp_path / "config.json"
    with node(tmp_path, RegistryStandIn([form_server.entry()])) as running:
        client = running.request_session()
        assert client.read_line() == "UP r1"
        config = json.loads(path.read_text())
        running.terminate()
        write_and_send_sighup(running, path, json.dumps({**config, "discovery": RegistryStandIn([]).address}))
        assert [client.read_line(), client.read_line()] == ["MOVE", ""]
        assert running.process.wait(TIMEOUT_S) == 0


def test_a_sidecar_applies_its_new_file_too(tmp_path: Path, form_server: FormServer) -> None:
    old, new = RegistryStandIn([form_server.entry()]), RegistryStandIn([form_server.entry()])
    path = tmp_path / "sidecar.toml"
    with sidecar(tmp_path, {"source": "http", "address": old.address}) as running:
        text = path.read_text()
        write_and_send_sighup(running, path, text.replace("[roster]", "[rooster]"))
        running.logged("reload-refused", "rooster")
        write_and_send_sighup(running, path, text.replace(old.address, new.address))
        running.logged("reloaded", "changed=roster")
        assert new.requests.get(timeout=TIMEOUT_S)[1] == "/registry/instances"
        new.answers.put(json.dumps(new.complete_list()).encode())
        running.logged("roster", "kind=full")
        assert running.request_session().read_line() == "UP r1"
