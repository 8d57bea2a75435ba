"""A form server falls silent in the middle of a line; clients may see only whole lines and MOVE."""

from __future__ import annotations

import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness_2 as h

SERVERS, CLIENTS = 5, 30
LINE_EVERY_S = 2.0
PIECES_APART_S = 0.02
SILENT_S = 12.0


class PiecemealServer(h.FormServer):
    """A form server whose lines come in two pieces, and which can fall silent between them."""

    def __init__(self, name: str, record: h.Record) -> None:
        self.is_to_fall_silent = False
        self.silent_until = 0.0
        super().__init__(name, record)

    def wait_while_silent(self) -> None:
        """Returns once the form server is not silent."""
        while (left := self.silent_until - time.monotonic()) > 0:
            time.sleep(left)

    def answer(self, peer: h.Peer, id_: str) -> None:
        """Answers a first line, and serves the session to its end."""
        self.wait_while_silent()
        super().answer(peer, id_)

    def answer_line(self, peer: h.Peer, id_: str, line: bytes) -> None:
        """Answers a line in two pieces."""
        self.wait_while_silent()
        answer = b"re " + line + b"\r\n"
        peer.send(answer[:10])
        if self.is_to_fall_silent:
            self.is_to_fall_silent = False
            self.silent_until = time.monotonic() + SILENT_S
            self.record(f"{self.name} falls silent; of its answer to {id_} it has sent {answer[:10]!r}")
        time.sleep(PIECES_APART_S)
        self.wait_while_silent()
        peer.send(answer[10:])


class Client:
    """A client that sends a line every 2 s, and checks each line that it gets."""

    def __init__(self, n: int, node: h.Node, record: h.Record) -> None:
        self.record, self.id, self.end = record, f"{n:016x}", "is open"
        self.wrong: list[bytes] = []
        self._stop_at = float("inf")
        self._peer = h.connect(node.listen)
        self._peer.send(h.open_line(self.id, f"{random.getrandbits(64):016x}"))
        answer = self._peer.receive_line(time.monotonic() + 3)
        if answer is None or not answer.startswith(b"UP "):
            raise h.CannotRunError(f"client {self.id} got {answer!r}")
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Ends the client."""
        self._stop_at = 0.0
        self._thread.join()

    def _run(self) -> None:
        next_at = time.monotonic() + random.random() * LINE_EVERY_S
        sent: list[bytes] = []
        try:
            while time.monotonic() < self._stop_at:
                try:
                    line = self._peer.receive_line(min(next_at, time.monotonic() + 0.5))
                except TimeoutError:
                    if time.monotonic() >= next_at:
                        next_at += LINE_EVERY_S
                        sent.append(f"{self.id} saves answer {len(sent) + 1}".encode())
                        self._peer.send(sent[-1] + b"\r\n")
                    continue
                if line is None or line == b"MOVE":
                    self.end = "ended" if line is None else "was moved"
                    rest = f", after {self._peer.rest!r}" if self._peer.rest else ""
                    self.record(f"client {self.id} {self.end}{rest}")
                    break
                if line not in [b"re " + text for text in sent]:
                    self.record(f"client {self.id} got a line that no form server made: {line!r}")
                    self.wrong.append(line)
        except OSError as error:
            self.end = f"broke: {error}"
            self.record(f"client {self.id} {self.end}")
        self._peer.close()


def play(record: h.Record, scratch: Path, nodes: list[h.Node]) -> bool:
    """Lets a form server fall silent, and checks what its clients get."""
    servers = [PiecemealServer(f"s-{n:08x}", record) for n in range(SERVERS)]
    registry = h.Registry(record, [server.entry() for server in servers])
    node = h.Node(scratch / "node", record, h.node_config(registry), "node")
    nodes.append(node)
    node.wait_ready()
    clients = [Client(n, node, record) for n in range(CLIENTS)]
    time.sleep(5)
    if h.TROUBLE:
        max(servers, key=lambda server: server.attempts).is_to_fall_silent = True
    time.sleep(10)
    for client in clients:
        client.stop()
    wrong = [line for client in clients for line in client.wrong]
    record(f"lines that no form server made: {wrong}")
    return not wrong


h.main(play)
