"""Forwards load datagrams between the nodes of a fleet on loopback, and watches whether they are accepted."""

from __future__ import annotations

import re
import selectors
import socket
import threading
from collections import Counter
from collections.abc import Sequence

# How long the relay takes at most to notice that it was closed.
POLL_S = 0.2
MAX_DATAGRAM_BYTES = 512
# Matches a node's status line, which is logged every ten seconds: the number of nodes whose load is in the
# last fleet-wide sum, and the number of datagrams that the node refused.
STATUS_SUMS = re.compile(r" pulse .*fleet=(\d+)/(\d+)")


def _datagram_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.setblocking(False)
    return sock


def _address_of(sock: socket.socket) -> str:
    host, port = sock.getsockname()
    return f"{host}:{port}"


class DatagramRelay:
    """Forwards load datagrams. A node reaches each other node at a separate address of the relay. A datagram
    to one further address is forwarded to all other nodes. A node receives a datagram from the address at
    which it reaches the sender.
    """

    def __init__(self, listen_addresses: Sequence[str]) -> None:
        """`listen_addresses`: the addresses at which the nodes receive datagrams, by index."""
        # The number of datagrams, by index of sender and recipient.
        self.forwarded: Counter[tuple[int, int]] = Counter()
        self._listen_addresses = [
            (host, int(port)) for host, port in (address.split(":") for address in listen_addresses)
        ]
        self._pair_sockets = [[_datagram_socket() for _ in listen_addresses] for _ in listen_addresses]
        self._broadcast_sockets = [_datagram_socket() for _ in listen_addresses]
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def peer_addresses_of(self, index: int) -> list[str]:
        """Returns the addresses at which this node reaches each node, by index."""
        return [_address_of(sock) for sock in self._pair_sockets[index]]

    def broadcast_address_of(self, index: int) -> str:
        """Returns the address at which this node reaches all others."""
        return _address_of(self._broadcast_sockets[index])

    def close(self) -> None:
        """Stops forwarding and closes all sockets."""
        self._closing.set()
        self._thread.join()
        for sock in (*self._broadcast_sockets, *(sock for row in self._pair_sockets for sock in row)):
            sock.close()

    def _run(self) -> None:
        with selectors.DefaultSelector() as selector:
            for sender, broadcast_socket in enumerate(self._broadcast_sockets):
                others = [index for index in range(len(self._listen_addresses)) if index != sender]
                selector.register(broadcast_socket, selectors.EVENT_READ, (sender, others))
                for recipient in others:
                    sock = self._pair_sockets[sender][recipient]
                    selector.register(sock, selectors.EVENT_READ, (sender, [recipient]))
            while not self._closing.is_set():
                for key, _ in selector.select(POLL_S):
                    self._forward(key)

    def _forward(self, key: selectors.SelectorKey) -> None:
        assert isinstance(key.fileobj, socket.socket)
        sender, recipients = key.data
        try:
            content = key.fileobj.recv(MAX_DATAGRAM_BYTES)
            for recipient in recipients:
                self._pair_sockets[recipient][sender].sendto(content, self._listen_addresses[recipient])
                self.forwarded[sender, recipient] += 1
        except OSError:
            pass  # as on a network, a datagram that cannot be forwarded is lost


class LoadSumWatch:
    """Determines from a node's status lines whether the node accepts the datagrams of some other nodes.

    A node also counts late datagrams as refused, and datagrams do come late on a busy machine. Therefore a
    sender counts as accepted if it sent a datagram between two status lines with the same count of refused
    datagrams.
    """

    def __init__(self, lines: list[str], index: int, senders: set[int], relay: DatagramRelay) -> None:
        """`lines`: the growing list of the node's log lines; `index`: the node's index; `senders`: the
        indexes of the nodes whose datagrams it must accept.
        """
        self._lines, self._index, self._senders, self._relay = lines, index, senders, relay
        self._lines_read = 0  # number of status lines read
        self._counts_before = self._sent_counts()
        self._refused_before = -1  # count in the last status line; -1 before the first one
        self.node_count = 0  # number of nodes in the last sum
        self.accepted: set[int] = set()

    def _sent_counts(self) -> dict[int, int]:
        return {sender: self._relay.forwarded[sender, self._index] for sender in self._senders}

    def has_accepted_all(self, node_count: int) -> bool:
        """Reads new status lines; returns whether all senders were accepted and the last sum is of this
        number of nodes.
        """
        sums = [found for line in list(self._lines) if (found := STATUS_SUMS.search(line))]
        if len(sums) > self._lines_read:
            self._lines_read, counts = len(sums), self._sent_counts()
            self.node_count, refused = (int(number) for number in sums[-1].groups())
            if refused == self._refused_before:
                self.accepted |= {
                    sender for sender, count in counts.items() if count > self._counts_before[sender]
                }
            self._refused_before, self._counts_before = refused, counts
        return self.accepted >= self._senders and self.node_count == node_count

    def __str__(self) -> str:
        missing = sorted(self._senders - self.accepted)
        not_accepted = f", no datagram accepted from nodes {missing}" if missing else ""
        return (
            f"{self.node_count} nodes in the last sum, "
            f"{max(0, self._refused_before)} datagrams refused{not_accepted}"
        )
