"""A form server serves a request to its end at once: BYE, then the end of the connection."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness_2 as h

SERVERS, CLIENTS = 3, 6
# A connection that its form server has ended must be ended or moved within a second; 50 ms are added to each
# limit, and half a second for the machine.
LIMIT_S = 1.55
WATCHED_S = 20.0


class ByeServer(h.FormServer):
    """A form server that has served each request to its end after its first line, or after one more."""

    def answer(self, peer: h.Peer, id_: str) -> None:
        """Answers BYE and ends the connection; without the disruption it sends UP before that."""
        if not h.TROUBLE:
            peer.send(f"UP r-{id_}\r\n".encode())
        peer.send(b"BYE\r\n")


def play(record: h.Record, scratch: Path, nodes: list[h.Node]) -> bool:
    """Measures how long each client's connection stays open after its form server has ended it."""
    servers = [ByeServer(f"s-{n:08x}", record) for n in range(SERVERS)]
    registry = h.Registry(record, [server.entry() for server in servers])
    node = h.Node(scratch / "node", record, h.node_config(registry), "node")
    nodes.append(node)
    node.wait_ready()
    clients = []
    for n in range(CLIENTS):
        client = h.connect(node.listen)
        client.send(h.open_line(f"{n:016x}", f"{n * 7919 * 65537:016x}"))
        clients.append((client, time.monotonic()))
    held = True
    for n, (client, sent_at) in enumerate(clients):
        lines: list[bytes] = []
        try:
            while (line := client.receive_line(sent_at + WATCHED_S)) is not None:
                lines.append(line)
            seconds = time.monotonic() - sent_at
            record(f"client {n} got {lines}; its connection was ended after {seconds:.3f} s")
        except TimeoutError:
            record(f"client {n} got {lines}; its connection is still open after {WATCHED_S} s")
            seconds = WATCHED_S
        except ConnectionError as error:
            seconds = time.monotonic() - sent_at
            record(f"client {n} got {lines}; {error} after {seconds:.3f} s")
        held = held and (not lines or seconds <= LIMIT_S)
        client.close()
    return held


h.main(play)
