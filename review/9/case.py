"""A form server serves a request to its end at once: BYE, then the end of the connection."""

from __future__ import annotations

import sys
import threading
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


class Client:
    """A client that waits for the end of its connection."""

    def __init__(self, n: int, node: h.Node, record: h.Record) -> None:
        self.n, self.record = n, record
        self.lines: list[bytes] = []
        self.open_s = WATCHED_S
        self._peer = h.connect(node.listen)
        self._peer.send(h.open_line(f"{n:016x}", f"{n * 7919 * 65537:016x}"))
        self._sent_at = time.monotonic()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        end = "was ended"
        try:
            while (line := self._peer.receive_line(self._sent_at + WATCHED_S)) is not None:
                self.lines.append(line)
            self.open_s = time.monotonic() - self._sent_at
        except TimeoutError:
            end = "is still open"
        except ConnectionError as error:
            end, self.open_s = f"broke ({error})", time.monotonic() - self._sent_at
        self.record(f"client {self.n} got {self.lines}; its connection {end} after {self.open_s:.3f} s")
        self._peer.close()


def play(record: h.Record, scratch: Path, nodes: list[h.Node]) -> bool:
    """Measures how long each client's connection stays open after its form server has ended it."""
    servers = [ByeServer(f"s-{n:08x}", record) for n in range(SERVERS)]
    registry = h.Registry(record, [server.entry() for server in servers])
    node = h.Node(scratch / "node", record, h.node_config(registry), "node")
    nodes.append(node)
    node.wait_ready()
    clients = [Client(n, node, record) for n in range(CLIENTS)]
    for client in clients:
        client.thread.join()
    return all(client.open_s <= LIMIT_S for client in clients if client.lines)


h.main(play)
