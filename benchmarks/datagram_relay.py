"""Passes load datagrams on between the nodes of a fleet on loopback, and watches whether they are taken."""

from __future__ import annotations

import re
import selectors
import socket
import threading
from collections import Counter
from collections.abc import Sequence

# How soon the relay notices that it is to end.
WAKE_S = 0.2
LONGEST_DATAGRAM_BYTES = 512
# In the status line, which a node logs every ten seconds: nodes in the last sum, and datagrams refused.
SUMS = re.compile(r" pulse .*fleet=(\d+)/(\d+)")


def _datagram_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.setblocking(False)
    return sock


def _shown(sock: socket.socket) -> str:
    host, port = sock.getsockname()
    return f"{host}:{port}"


class DatagramRelay:
    """Passes load datagrams on. A node reaches each other one at an address kept for the two of them, and all
    of them at one more; what it is sent comes from the address at which it reaches the sender.
    """

    def __init__(self, listens: Sequence[str]) -> None:
        """`listens`: where the nodes receive datagrams, by index."""
        self.passed: Counter[tuple[int, int]] = Counter()  # datagrams, by index of sender and recipient
        self._listens = [(host, int(port)) for host, port in (listen.split(":") for listen in listens)]
        self._between = [[_datagram_socket() for _ in listens] for _ in listens]
        self._everyone = [_datagram_socket() for _ in listens]
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def peers_of(self, index: int) -> list[str]:
        """Where this node reaches each of the nodes."""
        return [_shown(sock) for sock in self._between[index]]

    def everyone_of(self, index: int) -> str:
        """Where this node reaches all others."""
        return _shown(self._everyone[index])

    def close(self) -> None:
        """Passes nothing on any more."""
        self._over.set()
        self._thread.join()
        for sock in (*self._everyone, *(sock for row in self._between for sock in row)):
            sock.close()

    def _run(self) -> None:
        with selectors.DefaultSelector() as selector:
            for sender, everyone in enumerate(self._everyone):
                others = [index for index in range(len(self._listens)) if index != sender]
                selector.register(everyone, selectors.EVENT_READ, (sender, others))
                for recipient in others:
                    sock = self._between[sender][recipient]
                    selector.register(sock, selectors.EVENT_READ, (sender, [recipient]))
            while not self._over.is_set():
                for key, _ in selector.select(WAKE_S):
                    self._pass_on(key)

    def _pass_on(self, key: selectors.SelectorKey) -> None:
        assert isinstance(key.fileobj, socket.socket)
        sender, recipients = key.data
        try:
            content = key.fileobj.recv(LONGEST_DATAGRAM_BYTES)
            for recipient in recipients:
                self._between[recipient][sender].sendto(content, self._listens[recipient])
                self.passed[sender, recipient] += 1
        except OSError:
            pass  # the recipient is down: as if it were lost


class SumsWatch:
    """Finds out whether a node takes the datagrams of some others, from its status lines.

    A node counts as refused also what is late, as on a busy machine. So a sender counts as taken where it
    sent something between two status lines with the same count.
    """

    def __init__(self, lines: list[str], index: int, senders: set[int], relay: DatagramRelay) -> None:
        """`lines`: the node's log, which grows; `senders`: whose datagrams it is to take, by index."""
        self._lines, self._index, self._senders, self._relay = lines, index, senders, relay
        self._seen = 0  # status lines
        self._before = self._count()
        self._refused = -1  # by the last status line; -1: there was none
        self.nodes = 0  # in the last sum
        self.taken: set[int] = set()

    def _count(self) -> dict[int, int]:
        return {sender: self._relay.passed[sender, self._index] for sender in self._senders}

    def has_taken_all(self, nodes: int) -> bool:
        """Looks at what is new; whether all senders were taken, and the last sum is of so many nodes."""
        sums = [found for line in list(self._lines) if (found := SUMS.search(line))]
        if len(sums) > self._seen:
            self._seen, counts = len(sums), self._count()
            self.nodes, refused = (int(figure) for figure in sums[-1].groups())
            if refused == self._refused:
                self.taken |= {sender for sender, count in counts.items() if count > self._before[sender]}
            self._refused, self._before = refused, counts
        return self.taken >= self._senders and self.nodes == nodes

    def __str__(self) -> str:
        missing = sorted(self._senders - self.taken)
        of_nobody = f", none taken of nodes {missing}" if missing else ""
        return f"{self.nodes} in the last sum, {max(0, self._refused)} refused{of_nobody}"
