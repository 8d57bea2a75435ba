"""All nodes together send a form server in slow start no more than it bears.

One had been overloaded by what all nodes sent it together, though each of them kept to its own allowance.
The allowance of a node was worked out from the sessions that stand, as a part of
what the form server may come to hold, and not from the calls that it bears within the window of the rule. It
also piled up while nothing came, and nothing kept all nodes from spending theirs in the same moment. So after
a quiet time, when the clients of a lost form server came back at once, every node spent what it had saved.
Six nodes of 32 sessions each did this to a form server 2.6 s old that bears 5.3 calls a second, within 69 ms:

    1796261394.208 slow-start-send id=0000000000001389... share=0.168 sent=1 allowance=1.754
    1796261394.209 slow-start-send id=0000000000003a98... share=0.168 sent=1 allowance=1.702
    1796261394.211 slow-start-send id=00000000000061b4... share=0.168 sent=1 allowance=2.33
    1796261394.219 slow-start-send id=00000000000061b7... share=0.168 sent=2 allowance=1.338
    1796261394.246 slow-start-send id=00000000000088b8... share=0.168 sent=1 allowance=1.732
    1796261394.260 slow-start-send id=000000000000afcb... share=0.168 sent=1 allowance=1.902
    1796261394.261 slow-start-send id=000000000000d6dd... share=0.168 sent=1 allowance=1.947

A node that was alone sent six, with an allowance of 8.7. Each line is within what its node allowed itself.
"""

from __future__ import annotations

import math
import time
from contextlib import ExitStack
from pathlib import Path

import pytest

from tests.stand_ins import SETTINGS, FormServer, Peer, Roster, RunningNode, node

WARM, SESSIONS_EACH = 4, 48  # form servers that stand, and the sessions that each of them can hold
COLD_S, WINDOW_S, SHARE, MULTIPLE = 60, 1.0, 0.13, 3.0
QUIET_S = 2.5 * WINDOW_S
RUSH_EACH = 30  # requests that come to each node at once


def bearable(age_s: float) -> float:
    """Requests within one window that a form server bears so long after its start, chance included."""
    share = SHARE + (1 - SHARE) * age_s / COLD_S
    most = MULTIPLE * share * SESSIONS_EACH / COLD_S * WINDOW_S
    return most + 3 * math.sqrt(most) + 3


def opened(running: RunningNode, count: int, first: int) -> list[Peer]:
    """So many households that have asked this node, each of a group of its own."""
    return [running.request_session(f"{n:016x}", group=f"{n:016x}") for n in range(first, first + count)]


@pytest.mark.parametrize("nodes", [1, 6])
def test_all_nodes_together_send_no_more_than_a_form_server_in_slow_start_bears(
    tmp_path: Path, nodes: int
) -> None:
    rules: dict[str, float] = {"coldUs": COLD_S * 1_000_000, "fallUs": int(WINDOW_S * 1_000_000)}
    rules |= {"coldFrom": SHARE, "fallMultiple": MULTIPLE}
    warm = [FormServer(f"s-0000000{n}") for n in range(WARM)]
    young = FormServer("s-5be2a07c")
    arrivals: list[float] = []
    with ExitStack() as stack:
        rosters, running = [], []
        for n in range(nodes):
            folder = tmp_path / f"n{n}"
            folder.mkdir()
            settings = {**SETTINGS, "siblings": nodes, "index": n}
            settings["obligations"] = {**SETTINGS["obligations"], **rules}
            rosters.append(Roster([server.entry() for server in warm]))
            running.append(stack.enter_context(node(folder, rosters[-1], name=f"n{n}", settings=settings)))
        households: list[Peer] = []
        for n, one in enumerate(running):
            households += opened(one, WARM * SESSIONS_EACH // nodes, 10_000 * n)
        assert all(household.read_line() == "UP r1" for household in households)
        started = time.time()
        for roster in rosters:
            roster.publish({**young.entry(), "up_since_ms": int(started * 1000)})
        for one in running:
            one.logged("slow-start ", "server=s-5be2a07c")
        time.sleep(QUIET_S)  # the fault needs a quiet time before the rush
        rush = [opened(one, RUSH_EACH, 10_000 * n + 5_000) for n, one in enumerate(running)]
        for household in (one for asked in rush for one in asked):
            assert household.read_line().startswith(("UP", "BUSY"))
        for one in running:
            sends = [line for line in one.lines if "slow-start-send" in line]
            arrivals += [float(line.split()[0]) for line in sends]
        assert len(arrivals) == young.first_lines.qsize()
        for household in (*households, *(one for asked in rush for one in asked)):
            household.close()
    worst = max(sum(at - WINDOW_S < other <= at for other in arrivals) for at in arrivals or [0.0])
    allowed = bearable(max(arrivals or [started]) - started)
    lines = [line for one in running for line in one.lines if "slow-start-send" in line]
    assert worst <= allowed, f"{worst} in {WINDOW_S} s, {allowed:.1f} are borne:\n" + "\n".join(sorted(lines))
