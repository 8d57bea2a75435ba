"""The log of slow start, failed attempts and rejections suffices to add up the requests of all nodes."""

from __future__ import annotations

import time
from pathlib import Path

from tests.stand_ins import TIMEOUT_S, FormServer, RegistryStandIn, node


def test_sends_to_a_form_server_in_slow_start_are_logged_with_the_allowance(tmp_path: Path) -> None:
    established, starting = FormServer("s-5be2a07c"), FormServer("s-00000002")
    registry = RegistryStandIn([established.entry()])
    with node(tmp_path, registry) as running:
        clients = [running.request_session(f"{n:016x}", group=f"{n:016x}") for n in range(16)]
        assert all(client.read_line() == "UP r1" for client in clients)
        registry.publish()  # form servers listed after the first answer are new ones
        running.logged("roster", "form_servers=0")
        registry.publish({**starting.entry(), "up_since_ms": int(time.time() * 1000)})
        slow_start_line = running.logged("slow-start ", "server=s-00000002", "cause=listed")
        assert "age_ms=" in slow_start_line
        deadline = time.monotonic() + TIMEOUT_S
        client_count = 16
        while not starting.first_lines.qsize():
            assert time.monotonic() < deadline
            clients.append(running.request_session(f"{client_count:016x}", group=f"{client_count:016x}"))
            client_count += 1
            assert clients[-1].read_line().startswith(("UP", "BUSY"))
        opening = starting.first_lines.get().split()[1]
        send_line = running.logged("slow-start-send", "server=s-00000002")
        assert (
            f"id={opening}." in send_line
            and "sent=1" in send_line
            and "part=" in send_line
            and "share=0.1" in send_line
            and "weight=1.0 capacity=1.0 fills=" in send_line
        )


def test_rejections_log_the_reason_and_failed_attempts_the_outcome(tmp_path: Path) -> None:
    full = FormServer("s-5be2a07c", answer="BUSY")
    with node(tmp_path, RegistryStandIn([full.entry()])) as running:
        assert running.request_session().read_line().startswith("BUSY")
        failed_line = running.logged("attempt-failed", "server=s-5be2a07c")
        assert (
            "id=9b1f03aa5c7e2d41." in failed_line
            and "attempt=0" in failed_line
            and "outcome=rejected" in failed_line
        )
        assert "why=nowhere" in running.logged("ended", "reason=refused")
