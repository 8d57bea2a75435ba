"""What the log says of slow start, failed attempts and refusals: enough to add up what all nodes sent."""

from __future__ import annotations

import time
from pathlib import Path

from tests.stand_ins import TIMEOUT_S, FormServer, Roster, node


def test_sends_to_a_form_server_in_slow_start_are_logged_with_what_was_left(tmp_path: Path) -> None:
    warm, young = FormServer("s-5be2a07c"), FormServer("s-00000002")
    roster = Roster([warm.entry()])
    with node(tmp_path, roster) as running:
        households = [running.request_session(f"{n:016x}", group=f"{n:016x}") for n in range(16)]
        assert all(household.read_line() == "UP r1" for household in households)
        roster.publish()  # from its first answer on, what is listed is news
        running.logged("roster", "form_servers=0")
        roster.publish({**young.entry(), "up_since_ms": int(time.time() * 1000)})
        began = running.logged("slow-start ", "server=s-00000002", "cause=listed")
        assert "age_ms=" in began
        until = time.monotonic() + TIMEOUT_S
        asked = 16
        while not young.first_lines.qsize():
            assert time.monotonic() < until
            households.append(running.request_session(f"{asked:016x}", group=f"{asked:016x}"))
            asked += 1
            assert households[-1].read_line().startswith(("UP", "BUSY"))
        opening = young.first_lines.get().split()[1]
        sent = running.logged("slow-start-send", "server=s-00000002")
        assert f"id={opening}." in sent and "sent=1" in sent and "part=" in sent and "share=0.1" in sent


def test_a_refusal_says_why_and_each_failed_attempt_how(tmp_path: Path) -> None:
    full = FormServer("s-5be2a07c", answer="BUSY")
    with node(tmp_path, Roster([full.entry()])) as running:
        assert running.request_session().read_line().startswith("BUSY")
        failed = running.logged("attempt-failed", "server=s-5be2a07c")
        assert "id=9b1f03aa5c7e2d41." in failed and "attempt=0" in failed and "outcome=rejected" in failed
        assert "why=nowhere" in running.logged("ended", "reason=refused")
