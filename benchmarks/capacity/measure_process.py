"""One real node process between stand-ins on loopback: what a standing connection keeps in memory, what a
set-up and a line cost in processor time. The descriptors that the machine allows are kept to.
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
from tests.stand_ins import Roster, free_port, node, roster_entry

SIZES = (500, 1_000, 2_000, 4_000)
FORM_SERVERS, AT_ONCE = 8, 50
SETTLED_S, QUIET_S = 3.0, 5.0
# Lines for clients, in all, at each size; so many a client before the next ones wait for these.
LINES = 40_000
LINE = b"STATE " + b"x" * 94 + b"\r\n"
# Descriptors beside the two of a connection: listeners, the roster, logs.
SPARE = 200


@dataclass(slots=True)
class _Client:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


@dataclass(slots=True)
class _FormServers:
    """Accept whatever comes, and keep each connection by its session's id."""

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
        with suppress(asyncio.CancelledError, ConnectionError):  # the play is over
            while await reader.readline():
                pass
        writer.close()


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _memory_mb(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * resource.getpagesize() / 1e6


async def _client(host: str, port: int, number: int) -> _Client:
    reader, writer = await asyncio.open_connection(host, port)
    identity = f"{number:016x}"
    writer.write(f"OPEN {identity} {identity} c=page-load,d=8000,g={identity}\r\n".encode())
    answer = await asyncio.wait_for(reader.readline(), 20.0)
    if not answer.startswith(b"UP"):
        raise RuntimeError(f"connection {number} was answered {answer!r}")
    return _Client(reader, writer)


async def _set_up(listen: str, count: int) -> list[_Client]:
    host, port = listen.split(":")
    clients: list[_Client] = []
    for first in range(0, count, AT_ONCE):
        some: list[Awaitable[_Client]] = [
            _client(host, int(port), number) for number in range(first, min(count, first + AT_ONCE))
        ]
        clients += await asyncio.gather(*some)
    return clients


async def _lines(servers: _FormServers, clients: list[_Client]) -> int:
    """Every form server's end sends one line to its client, again and again; all are read."""
    rounds = max(1, LINES // len(clients))
    for _ in range(rounds):
        for writer in servers.writers.values():
            writer.write(LINE)
        for client in clients:
            await client.reader.readexactly(len(LINE))
    return rounds * len(clients)


async def _play(count: int) -> dict[str, float]:
    servers = _FormServers()
    await servers.start()
    entries = [roster_entry(f"s-{n:08x}", address, "SERVING") for n, address in enumerate(servers.addresses)]
    with tempfile.TemporaryDirectory() as folder, node(Path(folder), Roster(entries)) as running:
        pid = running.process.pid
        await asyncio.sleep(SETTLED_S)
        empty_mb, idle_s = _memory_mb(pid), _cpu_s(pid)
        clients = await _set_up(running.listen, count)
        set_up_s = _cpu_s(pid) - idle_s
        await asyncio.sleep(SETTLED_S)
        held_mb, quiet_s, began = _memory_mb(pid), _cpu_s(pid), time.perf_counter()
        await asyncio.sleep(QUIET_S)
        idle = (_cpu_s(pid) - quiet_s) / (time.perf_counter() - began)
        before_s, began = _cpu_s(pid), time.perf_counter()
        passed = await _lines(servers, clients)
        spent_s = _cpu_s(pid) - before_s - idle * (time.perf_counter() - began)
        for client in clients:
            client.writer.close()
    return {
        "memory_mb": held_mb - empty_mb,
        "empty_mb": empty_mb,
        "set_up_cpu_s": set_up_s,
        "idle_cpu": idle,
        "line_cpu_us": spent_s / passed * 1e6,
    }


UNITS = {
    "memory_mb": "MB",
    "empty_mb": "MB",
    "set_up_cpu_s": "s",
    "idle_cpu": "of a core",
    "line_cpu_us": "us",
}


def connections() -> list[Measurement]:
    """Raises RuntimeError where the machine's descriptors do not allow the largest size."""
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if 2 * max(SIZES) + SPARE > allowed:
        raise RuntimeError(f"{max(SIZES)} connections take more descriptors than the {allowed} allowed")
    found = [asyncio.run(_play(size)) for size in SIZES]
    how = (
        f"one real node, {FORM_SERVERS} form servers and all clients in one other process, loopback; "
        f"lines of {len(LINE)} bytes from form server to client"
    )
    return [
        Measurement(
            f"connections.{what}",
            "connections",
            unit,
            [float(s) for s in SIZES],
            [f[what] for f in found],
            how,
        )
        for what, unit in UNITS.items()
    ]
