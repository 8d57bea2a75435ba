"""Measures one real node process between stand-ins on loopback: the memory of an established connection, and
the processor time of a connection set-up and of passing one line from a form server to a client. The
machine's limit of open file descriptors bounds the sizes.
"""

from __future__ import annotations

import asyncio
import os
import resource
import tempfile
import time
from collections.abc import Awaitable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.capacity.record import Measurement
from tests.free_ports import free_port
from tests.stand_ins import RegistryStandIn, node, roster_entry

SIZES = (500, 1_000, 2_000, 4_000)
FORM_SERVERS, CONCURRENT_SETUPS = 8, 50
SETTLE_S, IDLE_S = 3.0, 5.0
# Total number of lines sent to clients at each size, in rounds of one line per client; a round starts when
# all lines of the previous one have been read.
TOTAL_LINES = 40_000
LINE = b"STATE " + b"x" * 94 + b"\r\n"
# File descriptors besides the two of each connection: listeners, the registry, logs.
SPARE_DESCRIPTORS = 200


@dataclass(slots=True)
class _Client:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


@dataclass(slots=True)
class _FormServers:
    """Form servers that accept every session and keep its connection by session id."""

    writers: dict[str, asyncio.StreamWriter] = field(default_factory=dict)
    addresses: list[str] = field(default_factory=list)

    async def start(self) -> None:
        for _ in range(FORM_SERVERS):
            port = free_port()
            await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=1_000)
            self.addresses.append(f"127.0.0.1:{port}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first = await reader.readline()
        self.writers[first.split()[1].decode()] = writer
        writer.write(b"UP r1\r\n")
        with suppress(asyncio.CancelledError, ConnectionError):  # the measurement has ended
            while await reader.readline():
                pass
        writer.close()


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _memory_mb(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * resource.getpagesize() / 1e6


async def _open_session(host: str, port: int, number: int) -> _Client:
    reader, writer = await asyncio.open_connection(host, port)
    identity = f"{number:016x}"
    writer.write(f"OPEN {identity} {identity} c=page-load,d=8000,g={identity}\r\n".encode())
    response = await asyncio.wait_for(reader.readline(), 20.0)
    if not response.startswith(b"UP"):
        raise RuntimeError(f"connection {number} received {response!r}, expected a line that starts with UP")
    return _Client(reader, writer)


async def _open_sessions(listen: str, count: int) -> list[_Client]:
    host, port = listen.split(":")
    clients: list[_Client] = []
    for first in range(0, count, CONCURRENT_SETUPS):
        batch: list[Awaitable[_Client]] = [
            _open_session(host, int(port), number)
            for number in range(first, min(count, first + CONCURRENT_SETUPS))
        ]
        clients += await asyncio.gather(*batch)
    return clients


async def _send_lines(servers: _FormServers, clients: list[_Client]) -> int:
    """Sends lines from the form servers to all clients and reads them. Returns the number of lines."""
    rounds = max(1, TOTAL_LINES // len(clients))
    for _ in range(rounds):
        for writer in servers.writers.values():
            writer.write(LINE)
        for client in clients:
            await client.reader.readexactly(len(LINE))
    return rounds * len(clients)


async def _measure_size(count: int) -> dict[str, float]:
    servers = _FormServers()
    await servers.start()
    entries = [roster_entry(f"s-{n:08x}", address, "SERVING") for n, address in enumerate(servers.addresses)]
    with (
        tempfile.TemporaryDirectory() as folder,
        node(Path(folder), RegistryStandIn(entries)) as running_node,
    ):
        pid = running_node.process.pid
        await asyncio.sleep(SETTLE_S)
        empty_mb, empty_cpu_s = _memory_mb(pid), _cpu_s(pid)
        clients = await _open_sessions(running_node.listen, count)
        set_up_s = _cpu_s(pid) - empty_cpu_s
        await asyncio.sleep(SETTLE_S)
        held_mb, idle_start_cpu_s, start = _memory_mb(pid), _cpu_s(pid), time.perf_counter()
        await asyncio.sleep(IDLE_S)
        idle_cpu = (_cpu_s(pid) - idle_start_cpu_s) / (time.perf_counter() - start)
        lines_start_cpu_s, start = _cpu_s(pid), time.perf_counter()
        line_count = await _send_lines(servers, clients)
        lines_cpu_s = _cpu_s(pid) - lines_start_cpu_s - idle_cpu * (time.perf_counter() - start)
        for client in clients:
            client.writer.close()
    return {
        "memory_mb": held_mb - empty_mb,
        "empty_mb": empty_mb,
        "set_up_cpu_s": set_up_s,
        "idle_cpu": idle_cpu,
        "line_cpu_us": lines_cpu_s / line_count * 1e6,
    }


UNITS = {
    "memory_mb": "MB",
    "empty_mb": "MB",
    "set_up_cpu_s": "s",
    "idle_cpu": "of a core",
    "line_cpu_us": "us",
}


def measure_connections() -> list[Measurement]:
    """Raises RuntimeError if the limit of open file descriptors is too low for the largest size."""
    descriptor_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if 2 * max(SIZES) + SPARE_DESCRIPTORS > descriptor_limit:
        raise RuntimeError(
            f"{max(SIZES)} connections need {2 * max(SIZES) + SPARE_DESCRIPTORS} open file descriptors, "
            f"the limit (RLIMIT_NOFILE) is {descriptor_limit}"
        )
    results = [asyncio.run(_measure_size(size)) for size in SIZES]
    how = (
        f"one real node, {FORM_SERVERS} form servers and all clients in one other process, loopback; "
        f"lines of {len(LINE)} bytes from form server to client"
    )
    return [
        Measurement(
            f"connections.{quantity}",
            "connections",
            unit,
            [float(count) for count in SIZES],
            [figures[quantity] for figures in results],
            how,
        )
        for quantity, unit in UNITS.items()
    ]
