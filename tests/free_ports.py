"""Ports on loopback that a test hands out before a node binds them.

Each process of the tests hands out ports from blocks that it alone has reserved. All blocks lie below the
ephemeral range, from which the system takes ports for binds to port 0 and for outgoing connections, and below
the range of `sailrun.lab.faults.rig.free_address`, which draws at random without a reservation. Each worker
of pytest-xdist draws from a slice of that range that no other worker draws from.
"""

from __future__ import annotations

import os
import socket
import threading
from collections.abc import Iterator
from contextlib import suppress
from functools import cache
from pathlib import Path

HOST = "127.0.0.1"
# The first port of the first block, and the end of the last one where the ephemeral range permits it.
FIRST_PORT, END_PORT = 10_000, 15_000
PORTS_PER_BLOCK = 50
# As on Linux without settings of its own; for systems without the file in /proc.
DEFAULT_EPHEMERAL_START = 32_768


def ephemeral_start() -> int:
    """Returns the first port of the system's ephemeral range."""
    with suppress(FileNotFoundError):
        return int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    return DEFAULT_EPHEMERAL_START


class PortReservations:
    """Hands out the ports of the blocks that it has reserved; safe to use from several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # Each is bound to the first port of a reserved block, and stays open until the process ends.
        self._guards: list[socket.socket] = []
        self._unused: Iterator[int] = iter(())

    def take(self) -> int:
        """Returns a port that this object has not returned before and that no socket is bound to."""
        with self._lock:
            while True:
                for port in self._unused:
                    if _is_bindable(port):
                        return port
                self._unused = iter(self._reserve_block())

    def _reserve_block(self) -> range:
        """Reserves a block and returns its ports apart from the first, which the guard is bound to."""
        starts = range(FIRST_PORT, min(END_PORT, ephemeral_start()) - PORTS_PER_BLOCK + 1, PORTS_PER_BLOCK)
        for n in range(len(starts)):
            # Processes begin at different blocks, so that a run seldom reuses the ports of the one before.
            start = starts[(os.getpid() + n) % len(starts)]
            # Neither SO_REUSEADDR nor SO_REUSEPORT is set: the bind fails while another guard is bound.
            guard = socket.socket()
            try:
                guard.bind((HOST, start))
                guard.listen()
            except OSError:
                guard.close()
                continue
            self._guards.append(guard)
            return range(start + 1, start + PORTS_PER_BLOCK)
        raise RuntimeError(
            f"no free block of {PORTS_PER_BLOCK} ports among {len(starts)} from {FIRST_PORT}, below"
            f" {END_PORT} and the ephemeral range, which starts at {ephemeral_start()}"
        )


def _is_bindable(port: int) -> bool:
    """Tells whether the port is free for TCP and for UDP."""
    with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind((HOST, port))
            udp.bind((HOST, port))
        except OSError:
            return False
    return True


_reservations = PortReservations()


def free_port() -> int:
    """Returns a port on loopback for TCP and UDP that no process of the tests is given meanwhile."""
    return _reservations.take()


def free_host_port() -> str:
    """Returns the address, `host:port`, of a free port."""
    return f"{HOST}:{free_port()}"


@cache
def whole_rig_range() -> tuple[int, int]:
    """Returns the range of `rig.free_address` as it was before `limit_rig_ports` narrowed it."""
    from sailrun.lab.faults import rig

    return rig.PORTS


def worker_slice(ports: tuple[int, int], worker: int, workers: int) -> tuple[int, int]:
    """Returns the slice of the range that belongs to the worker, counted from 0. The end is exclusive."""
    start, end = ports
    size = end - start
    return start + size * worker // workers, start + size * (worker + 1) // workers


def limit_rig_ports() -> None:
    """Makes `rig.free_address` draw from the slice of this worker of pytest-xdist, if this process is one.

    It knows only the ports that its own process has drawn. Two workers that draw from the same range can be
    given the same port before a node of either binds it, and the later node then ends with EADDRINUSE.
    """
    worker = os.environ.get("PYTEST_XDIST_WORKER")
    if worker is None:
        return
    # Imported here because it takes long: only workers need it.
    from sailrun.lab.faults import rig

    workers = int(os.environ["PYTEST_XDIST_WORKER_COUNT"])
    # A worker that replaces a crashed one has a number beyond the count, and shares the slice of another.
    rig.PORTS = worker_slice(whole_rig_range(), int(worker.removeprefix("gw")) % workers, workers)
