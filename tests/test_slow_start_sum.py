"""All nodes together do not overload a form server in slow start.

Guards against a fault in which the nodes together overloaded a form server although each of them kept to its
own allowance. The allowance was computed as a share of the sessions that the form server may have in the end,
not from the requests that it tolerates within the window of the rule. It also accumulated during idle times,
and all nodes could spend theirs at the same moment. When the clients of a lost form server returned at once
after an idle time, every node spent what it had accumulated. In this way six nodes with 32 sessions each
overloaded a form server within 69 ms, which was 2.6 s old and tolerates 5.3 requests per second. The log
field `allowance` is named `part` now:

    1796261394.208 slow-start-send id=0000000000001389... share=0.168 sent=1 allowance=1.754
    1796261394.209 slow-start-send id=0000000000003a98... share=0.168 sent=1 allowance=1.702
    1796261394.211 slow-start-send id=00000000000061b4... share=0.168 sent=1 allowance=2.33
    1796261394.219 slow-start-send id=00000000000061b7... share=0.168 sent=2 allowance=1.338
    1796261394.246 slow-start-send id=00000000000088b8... share=0.168 sent=1 allowance=1.732
    1796261394.260 slow-start-send id=000000000000afcb... share=0.168 sent=1 allowance=1.902
    1796261394.261 slow-start-send id=000000000000d6dd... share=0.168 sent=1 allowance=1.947

A node without others sent six, with an allowance of 8.7. Each line is within the allowance of its node.
"""

from __future__ import annotations

import math
import time
from contextlib import ExitStack
from pathlib import Path

import pytest

from tests.stand_ins import SETTINGS, FormServer, Peer, RegistryStandIn, RunningNode, node

SERVERS, SESSIONS_PER_SERVER = 4, 48  # established form servers, and their sessions each
SLOW_START_S, WINDOW_S, INITIAL_SHARE, OVERLOAD_MULTIPLE = 60, 1.0, 0.13, 3.0
IDLE_S = 2.5 * WINDOW_S
REQUESTS_PER_NODE = 30  # simultaneous requests to each node


def max_requests(age_s: float) -> float:
    """Returns how many requests per window a form server tolerates at this age, with random variation."""
    share = INITIAL_SHARE + (1 - INITIAL_SHARE) * age_s / SLOW_START_S
    expected = OVERLOAD_MULTIPLE * share * SESSIONS_PER_SERVER / SLOW_START_S * WINDOW_S
    return expected + 3 * math.sqrt(expected) + 3


def connect_clients(running_node: RunningNode, count: int, first: int) -> list[Peer]:
    """Connects `count` clients to this node, each with a group of its own."""
    return [running_node.request_session(f"{n:016x}", group=f"{n:016x}") for n in range(first, first + count)]


@pytest.mark.parametrize("nodes", [1, 6])
def test_all_nodes_together_do_not_overload_a_form_server_in_slow_start(tmp_path: Path, nodes: int) -> None:
    obligations: dict[str, float] = {"coldUs": SLOW_START_S * 1_000_000, "fallUs": int(WINDOW_S * 1_000_000)}
    obligations |= {"coldFrom": INITIAL_SHARE, "fallMultiple": OVERLOAD_MULTIPLE}
    established = [FormServer(f"s-0000000{n}") for n in range(SERVERS)]
    starting = FormServer("s-5be2a07c")
    send_times: list[float] = []
    with ExitStack() as stack:
        registries, nodes_running = [], []
        for n in range(nodes):
            folder = tmp_path / f"n{n}"
            folder.mkdir()
            settings = {**SETTINGS, "siblings": nodes, "index": n}
            settings["obligations"] = {**SETTINGS["obligations"], **obligations}
            registries.append(RegistryStandIn([server.entry() for server in established]))
            nodes_running.append(
                stack.enter_context(node(folder, registries[-1], name=f"n{n}", settings=settings))
            )
        clients: list[Peer] = []
        for n, running_node in enumerate(nodes_running):
            clients += connect_clients(running_node, SERVERS * SESSIONS_PER_SERVER // nodes, 10_000 * n)
        assert all(client.read_line() == "UP r1" for client in clients)
        started = time.time()
        for registry in registries:
            registry.publish({**starting.entry(), "up_since_ms": int(started * 1000)})
        for running_node in nodes_running:
            running_node.logged("slow-start ", "server=s-5be2a07c")
        time.sleep(IDLE_S)  # the fault needs an idle time before the burst
        burst = [
            connect_clients(running_node, REQUESTS_PER_NODE, 10_000 * n + 5_000)
            for n, running_node in enumerate(nodes_running)
        ]
        for client in (peer for node_clients in burst for peer in node_clients):
            assert client.read_line().startswith(("UP", "BUSY"))
        for running_node in nodes_running:
            sends = [line for line in running_node.lines if "slow-start-send" in line]
            send_times += [float(line.split()[0]) for line in sends]
        assert len(send_times) == starting.first_lines.qsize()
        for client in (*clients, *(peer for node_clients in burst for peer in node_clients)):
            client.close()
    max_sent = max(sum(at - WINDOW_S < other <= at for other in send_times) for at in send_times or [0.0])
    allowed = max_requests(max(send_times or [started]) - started)
    lines = [
        line for running_node in nodes_running for line in running_node.lines if "slow-start-send" in line
    ]
    assert max_sent <= allowed, f"{max_sent} in {WINDOW_S} s, {allowed:.1f} are tolerated:\n" + "\n".join(
        sorted(lines)
    )
