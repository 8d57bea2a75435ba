"""A bad client states no id: a field stands in its place. The line must go on unchanged, but for d."""

from __future__ import annotations

import re
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness_2 as h

SERVERS, USUAL_CLIENTS = 3, 12
KEY = "7f3a9c21e0b4d655"


def form(line: bytes) -> bytes:
    """Returns a first line without the value of `d` in its list of names and values, which a node may set."""
    words, _, fields = line.strip().rpartition(b" ")
    return words + b" " + re.sub(rb"(^|,)d=\d+", rb"\1d=", fields)


class StrictServer(h.FormServer):
    """A form server that answers SYNTAX to a first line that no client sent in this form."""

    def __init__(self, name: str, record: h.Record, sent: set[bytes]) -> None:
        self.sent, self.unsent = sent, list[bytes]()
        super().__init__(name, record)

    def answer(self, peer: h.Peer, id_: str) -> None:
        """Answers a first line, and serves the session to its end."""
        if form(peer.first_line) in self.sent:
            super().answer(peer, id_)
            return
        self.unsent.append(peer.first_line)
        self.record(f"{self.name} answers SYNTAX: no client sent {peer.first_line!r}")
        peer.send(b"SYNTAX\r\n")


def play(record: h.Record, scratch: Path, nodes: list[h.Node]) -> bool:
    """Lets usual clients and one bad client connect, and checks which first lines form servers get."""
    sent: set[bytes] = set()
    servers = [StrictServer(f"s-{n:08x}", record, sent) for n in range(SERVERS)]
    registry = h.Registry(record, [server.entry() for server in servers])
    node = h.Node(scratch / "node", record, h.node_config(registry), "node")
    nodes.append(node)
    node.wait_ready()
    lines = [h.open_line(f"{n:016x}", f"{n * 7919 * 65537:016x}") for n in range(USUAL_CLIENTS)]
    if h.TROUBLE:
        lines.insert(USUAL_CLIENTS // 2, h.open_line("d=2000", KEY))
    for line in lines:
        sent.add(form(line))
        client = h.connect(node.listen)
        client.send(line)
        answer = client.receive_line(time.monotonic() + 4)
        record(f"a client sent {line!r} and got {answer!r}")
        client.close()
    unsent = [line for server in servers for line in server.unsent]
    record(f"first lines at form servers that no client sent: {unsent}")
    return not unsent


h.main(play)
