"""Ports that are handed out are given to one process of the tests, and taken by nothing else."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, suppress
from pathlib import Path

import pytest

from sailrun.lab.faults import rig
from tests import free_ports
from tests.free_ports import (
    HOST,
    PORTS_PER_BLOCK,
    PortReservations,
    ephemeral_start,
    limit_rig_ports,
    whole_rig_range,
    worker_slice,
)

# More than one block.
COUNT = PORTS_PER_BLOCK + 10
# Prints its ports and then holds its blocks until its standard input ends. All processes try the blocks in
# the same order, which otherwise depends on the process id.
PROGRAM = f"""
import os
import sys
os.getpid = lambda: 0
from tests.free_ports import free_port
print(*(free_port() for _ in range({COUNT})), flush=True)
sys.stdin.read()
"""


def test_processes_that_reserve_at_once_get_disjoint_ports_below_those_that_others_take() -> None:
    with ExitStack() as stack:
        processes = [
            stack.enter_context(
                subprocess.Popen(
                    [sys.executable, "-c", PROGRAM],
                    cwd=Path(__file__).parent.parent,
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    text=True,
                )
            )
            for _ in range(3)
        ]
        ports: list[int] = []
        for process in processes:
            assert process.stdout is not None
            ports += map(int, process.stdout.readline().split())
        # All processes still hold their blocks.
        assert len(ports) == len(set(ports)) == COUNT * len(processes)
        assert max(ports) < min(ephemeral_start(), whole_rig_range()[0])


def test_threads_of_a_process_get_different_ports() -> None:
    reservations = PortReservations()
    with ThreadPoolExecutor(8) as pool:
        ports = list(pool.map(lambda _: reservations.take(), range(2 * COUNT)))
    assert len(set(ports)) == 2 * COUNT


def test_blocks_end_below_the_ephemeral_range(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(free_ports, "ephemeral_start", lambda: free_ports.FIRST_PORT + PORTS_PER_BLOCK - 1)
    with pytest.raises(RuntimeError, match="no free block of 50 ports among 0 from 10000"):
        PortReservations().take()


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_that_a_socket_is_bound_to_is_passed_over(kind: socket.SocketKind) -> None:
    reservations = PortReservations()
    following = reservations.take() + 1
    with socket.socket(socket.AF_INET, kind) as sock:
        with suppress(OSError):  # another socket is bound to it already
            sock.bind((HOST, following))
        assert reservations.take() != following


@pytest.mark.parametrize("workers", [1, 4, 7])
def test_the_slices_of_the_workers_are_disjoint_and_cover_the_range_of_the_rig(workers: int) -> None:
    whole = whole_rig_range()
    slices = [worker_slice(whole, worker, workers) for worker in range(workers)]
    assert all(start < end for start, end in slices)
    # In order, so that no port is left out and none comes twice.
    assert [port for ports in slices for port in range(*ports)] == list(range(*whole))


def test_this_process_draws_from_its_slice_alone() -> None:
    expected = whole_rig_range()
    if worker := os.environ.get("PYTEST_XDIST_WORKER"):
        workers = int(os.environ["PYTEST_XDIST_WORKER_COUNT"])
        expected = worker_slice(expected, int(worker[2:]) % workers, workers)
    assert expected == rig.PORTS
    assert all(rig.free_address()[1] in range(*expected) for _ in range(COUNT))


@pytest.mark.parametrize(
    ("worker", "count", "ports"),
    [
        ("gw0", "4", (15_000, 19_000)),
        ("gw3", "4", (27_000, 31_000)),
        ("gw4", "4", (15_000, 19_000)),  # has replaced a crashed one
        ("gw0", "1", (15_000, 31_000)),
    ],
)
def test_the_slice_is_that_of_the_worker_named_in_the_environment(
    monkeypatch: pytest.MonkeyPatch, worker: str, count: str, ports: tuple[int, int]
) -> None:
    monkeypatch.setattr(rig, "PORTS", rig.PORTS)  # is set back afterwards
    monkeypatch.setenv("PYTEST_XDIST_WORKER", worker)
    monkeypatch.setenv("PYTEST_XDIST_WORKER_COUNT", count)
    limit_rig_ports()
    assert ports == rig.PORTS
    limit_rig_ports()  # does not narrow what it has narrowed
    assert ports == rig.PORTS


def test_a_process_that_is_no_worker_keeps_the_whole_range(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rig, "PORTS", whole_rig_range())
    monkeypatch.delenv("PYTEST_XDIST_WORKER", raising=False)
    limit_rig_ports()
    assert whole_rig_range() == rig.PORTS
