"""Clients of both fronts on one node get the same decisions and the same results under the same rules."""

from __future__ import annotations

import secrets
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import proton
import pytest

from tests.amqp_stand_ins import AmqpConnection, AmqpFormServer, send
from tests.stand_ins import TIMEOUT_S, Peer, RegistryStandIn, RunningNode, connect, sidecar

CLIENT_COUNT = 24


class DualProtocolFormServer(AmqpFormServer):
    """Uses the protocol of the connecting node, and records the time and the key of each request."""

    def __init__(self, name: str, full: bool = False) -> None:
        super().__init__(name, refuse="amqp:resource-limit-exceeded" if full else None)
        self.full = full
        self.requests: list[tuple[float, str]] = []  # when, and for which key

    def serve(self, peer: Peer) -> None:
        peer.sock.settimeout(TIMEOUT_S)
        if peer.sock.recv(4, 2) == b"AMQP":  # MSG_PEEK
            super().serve(peer)
            return
        key = peer.read_line().split()[2]
        self.requests.append((time.monotonic(), key))
        peer.send_line("BUSY" if self.full else "UP r1")
        while not self.full and (line := peer.read_line()):
            peer.send_line(line)
        peer.close()

    def _attach(self, event: Any) -> None:
        self.requests.append((time.monotonic(), dict(event.link.remote_properties)["sailrun:key"]))
        super()._attach(event)


def run_text_client(running: RunningNode, key: str) -> tuple[str, Callable[[], str]]:
    """Requests a session and sends one line; returns the outcome and a function that waits for the end."""
    client = running.connect()
    client.send_line(f"OPEN {secrets.token_hex(8)} {key} c=page-load,d=8000")
    answer = client.read_line()
    if not answer.startswith("UP"):
        return ("refused" if answer.startswith("BUSY ") else "failed"), lambda: ""
    client.send_line("answer")
    assert client.read_line() == "answer"
    return "served", lambda: {"MOVE": "moved"}.get(client.read_line(), "ended")


def run_amqp_client(running: RunningNode, key: str) -> tuple[str, Callable[[], str]]:
    client = AmqpConnection(connect(running.amqp))
    properties = {"sailrun:key": key, "sailrun:class": "page-load", "sailrun:time-left-ms": 8000}
    link = client.open_link(properties)

    def condition() -> str:
        name = client.wait_for_detach(link).name
        return {"amqp:link:detach-forced": "moved", "amqp:resource-limit-exceeded": "refused"}.get(
            name, "failed"
        )

    closed = proton.Endpoint.REMOTE_CLOSED
    client.wait_until(lambda: link.credit or link.state & closed)
    if link.state & closed:
        return condition(), lambda: ""
    delivery = send(link, b"answer")
    client.wait_until(lambda: delivery.remote_state)
    assert delivery.remote_state == proton.Delivery.ACCEPTED
    return "served", condition


FRONTS = {"text": run_text_client, "amqp": run_amqp_client}


@pytest.mark.parametrize("full", [False, True], ids=["all with capacity", "one without capacity"])
def test_both_fronts_give_the_same_results_and_follow_the_same_rules(tmp_path: Path, full: bool) -> None:
    servers = [DualProtocolFormServer(f"s-0000000{n}", full and n == 1) for n in range(1, 5)]
    roster = RegistryStandIn([])
    roster.publish(*(s.entry() for s in servers))
    keys = [f"{n:016x}" for n in range(CLIENT_COUNT)]
    results: dict[str, list[Any]] = {name: [None] * CLIENT_COUNT for name in FRONTS}
    with sidecar(tmp_path, {"source": "http", "address": roster.address}) as running:
        running.logged("roster", "form_servers=4")
        # Both fronts at the same time: each key is requested once through each front.
        threads = [
            threading.Thread(target=lambda f=f, n=n, k=k: results[f].__setitem__(n, FRONTS[f](running, k)))
            for n, k in enumerate(keys)
            for f in FRONTS
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(TIMEOUT_S)
        success_rates = {
            front: [outcome for outcome, _ in outcomes].count("served") / CLIENT_COUNT
            for front, outcomes in results.items()
        }
        assert success_rates == {"text": 1.0, "amqp": 1.0}
        attempts = [key for s in servers for _, key in s.requests]
        # Each request takes one attempt, and one more after each rejection, which had no effect.
        assert len(attempts) == 2 * CLIENT_COUNT + (len(servers[0].requests) if full else 0)
        roster.requests.get(timeout=TIMEOUT_S)
        roster.requests.get(timeout=TIMEOUT_S)
        draining = servers[1]
        roster.publish(draining.entry("DRAINING"))
        running.logged("roster", "revision=43")
        before = len(draining.requests)
        for key in keys:
            for front in FRONTS.values():
                assert front(running, key)[0] == "served"
        assert len(draining.requests) == before, "a new session was placed on a draining form server"
        running.terminate()
        endings = {
            front: {wait_for_end() for _, wait_for_end in outcomes} for front, outcomes in results.items()
        }
        assert endings == {"text": {"moved"}, "amqp": {"moved"}}
        assert running.process.wait(TIMEOUT_S) == 0
        # The log has exactly one final line for each connection or link.
        assert sum(" ended " in line for line in running.lines) == 4 * CLIENT_COUNT
