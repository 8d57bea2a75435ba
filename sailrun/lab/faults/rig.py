"""Runs real `sailrun` processes; implements the nemesis's `Fleet` with signals, relays and control commands.

The number of processes is limited and they use loopback addresses only. Each is killed by its process id when
the run ends, also after an error. The history is read from the logs of the nodes; its times are those of the
monotonic clock that all processes of a machine share.
"""

from __future__ import annotations

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import msgspec
import tomli_w
from anyio.abc import Process, SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

from sailrun.control.cli import ANSWER_TIMEOUT_S
from sailrun.lab.faults.history import Row
from sailrun.lab.faults.relays import HOST, Address, Relays
from sailrun.lab.faults.replica_checks import marks_by_subject
from sailrun.lab.settings import WorldSettings
from sailrun.leadership.agent import AgentSettings
from sailrun.storage.files import OsFiles
from sailrun.storage.folder_reader import read_folder
from sailrun.storage.settings import StorageSettings

# Each node is a process on this machine.
MAX_NODES = 15
FORM_SERVERS = 8
_CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.DelimiterNotFound,
    OSError,
)
MAX_LINE_BYTES = 65_536
# Time limit for a replica report. A later one is discarded: the node was probably paused meanwhile, and the
# time of the reported state is not known.
MAX_REPORT_US = 250_000
# Time limit for all processes to exit after they were killed.
EXIT_TIMEOUT_S = 5.0
# Log events of a node that are recorded besides `act`.
RECORDED_EVENTS = (
    "owner",
    "owners-rest",
    "owners-in-touch",
    "permit",
    "roster-reader",
    "fault",
    "order-refused",
    "pace",
    "copy-begins",
    "copy-whole",
    "copy-lost",
    "forgotten",
    "marks-open",
    "marks-remembered",
    "marks-founded",
    "lasting-trusted",
    "lasting-old",
    "lasting-slow",
    "lasting-able",
    "lasting-failed",
    "lasting-behind",
)


@dataclass(slots=True, eq=False)
class RealNode:
    name: str
    index: int
    zone: str
    members: Address
    listen: Address
    control: Address
    relay: Address = (HOST, 0)
    process: Process | None = None
    start_count: int = 0
    pause_number: int = 0  # the number of the latest pause
    rate: float = 1.0  # of its lease clock, relative to the machine's clock
    # By task that it leads: the end of its lease, from the node's log.
    lease_end_us: dict[str, int] = field(default_factory=dict)
    leaving: bool = False  # was asked to shut down gracefully and is still running
    restart_on_exit: bool = False  # to be started again once the process has exited


class RealFleet:
    def __init__(
        self,
        nodes: int,
        voters: int,
        zones: int,
        make_settings: Callable[[int, list[str], list[str]], AgentSettings],
        seed: int,
        replica_interval_s: float = 0.0,
        storage: StorageSettings | None = None,
    ) -> None:
        """`make_settings` returns the settings for a node's index, the voters' names and the addresses to
        join through. Records the replicas every `replica_interval_s` seconds, or never if it is 0. With
        `storage`, each node has a storage folder. Raises ValueError for a number of nodes out of range.
        """
        self._storage = storage
        if not 1 <= nodes <= MAX_NODES:
            raise ValueError(f"nodes must be between 1 and {MAX_NODES}, not {nodes}")
        self.names = [f"n{n}" for n in range(nodes)]
        self.voters = self.names[:voters]
        self._make_settings, self._seed, self._replica_interval_s = make_settings, seed, replica_interval_s
        self._random = random.Random(f"rig/{seed}")
        self.rows: list[Row] = []
        self.begin_us = self.end_us = now_us()
        self.nodes: dict[str, RealNode] = {}
        for n, name in enumerate(self.names):
            members, listen, control = (free_address() for _ in range(3))
            self.nodes[name] = RealNode(name, n, f"z{n % zones}", members, listen, control)
        self.roster = RosterStandIn()
        self._has_ended = False
        self.cpu_s = 0.0

    # ------------------------------------------------------------------ the run

    async def run(self, seconds: float, plan: Callable[[RealFleet], object]) -> None:
        """Starts the processes, applies the plan for up to `seconds`, and ends the processes."""
        with tempfile.TemporaryDirectory(prefix="sailrun-rig-") as folder:
            self._folder = Path(folder)
            self._finish_requested = anyio.Event()
            async with anyio.create_task_group() as group:
                self.group = group
                self.relays = Relays(group, self._seed)
                try:
                    for node in self.nodes.values():
                        node.relay = await self.relays.add(node.name, node.members)
                    await self.roster.open(group)
                    self.begin_us = now_us()
                    for name in self.names:
                        self.start(name)
                    plan(self)
                    if self._replica_interval_s:
                        for name in self.names:
                            group.start_soon(self._record_replica, name)
                    with anyio.move_on_after(seconds):
                        await self._finish_requested.wait()
                finally:
                    self._has_ended, self.end_us = True, now_us()
                    with anyio.CancelScope(deadline=anyio.current_time() + EXIT_TIMEOUT_S, shield=True):
                        await self._kill_all()
                    group.cancel_scope.cancel()
                    self.relays.close()

    async def _kill_all(self) -> None:
        """Kills every process that was started, and waits until each has exited."""
        for name in self.names:
            self._signal(name, signal.SIGKILL)
        while any(node.process is not None for node in self.nodes.values()):
            await anyio.sleep(0.02)

    def end_after(self, wait_us: int) -> None:
        """Ends the run `wait_us` from now, unless it has ended before."""
        self.after(wait_us, self._finish_requested.set)

    def after(self, wait_us: int, action: Callable[..., None], *arguments: object) -> None:
        self.group.start_soon(self._run_after, wait_us / 1e6, action, arguments)

    async def _run_after(
        self, wait_s: float, action: Callable[..., None], arguments: tuple[object, ...]
    ) -> None:
        await anyio.sleep(wait_s)
        if not self._has_ended:
            action(*arguments)

    def row(self, kind: str, node: str, at_us: int | None = None, **facts: Any) -> None:
        self.rows.append({"at_us": now_us() if at_us is None else at_us, "node": node, "kind": kind, **facts})

    def record_fault(self, what: str, **facts: object) -> None:
        self.row("fault", str(facts.get("node", "")), what=what, facts=str(facts))

    # ------------------------------------------------------------------ processes

    def start(self, name: str, clock_s: float = 0.0) -> None:
        node = self.nodes[name]
        if node.process is None:
            node.start_count += 1
            node.leaving = node.restart_on_exit = False
            self.group.start_soon(self._run, node, clock_s)
        elif node.leaving:
            node.restart_on_exit = True

    async def _run(self, node: RealNode, clock_s: float) -> None:
        arguments = [
            "serve",
            "--config",
            str(self._write_config_file(node)),
            "--operator",
            str(self._write_operator_file(node)),
        ]
        rate = node.rate = 1.0 + 0.01 * self._random.choice((-1, 0, 1))
        command = [sys.executable, "-m", "sailrun.lab.faults.skewed", str(clock_s), str(rate), *arguments]
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "SAILRUN_"))}
        process = await anyio.open_process(
            command,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            env={**environment, "TMPDIR": str(self._folder)},
        )
        node.process = process
        self.row("started", node.name, life=node.start_count, clock_s=clock_s, rate=rate)
        try:
            assert process.stderr is not None
            lines = BufferedByteReceiveStream(process.stderr)
            with suppress(*_CONNECTION_ERRORS):
                while True:
                    self._on_log_line(
                        node, (await lines.receive_until(b"\n", MAX_LINE_BYTES)).decode("utf-8", "replace")
                    )
            await process.aclose()
        finally:
            if node.process is process:
                node.process = None
                node.lease_end_us.clear()
                # Only now is it certain that the process has exited.
                self.row("died", node.name, code=process.returncode)
                if node.restart_on_exit and not self._has_ended:
                    self.start(node.name)

    def _on_log_line(self, node: RealNode, line: str) -> None:
        _, _, rest = line.strip().partition(" ")
        event, *words = rest.split(" ")
        facts: dict[str, Any] = {}
        for word in words:
            key, sep, value = word.partition("=")
            if sep:
                facts[key] = int(value) if value.lstrip("-").isdigit() else value
        if event == "act" and "kind" in facts:
            at_us = facts.pop("at_us")
            # Durations are in the node's own clock, which runs at `rate`.
            if "left_us" in facts:
                facts["until_us"] = at_us + int(facts.pop("left_us") / node.rate)
            if "ago_us" in facts:
                at_us -= int(facts.pop("ago_us") / node.rate)
            self.row(facts.pop("kind"), node.name, at_us, **facts)
            if self.rows[-1]["kind"] == "hold":
                node.lease_end_us[facts["task"]] = facts["until_us"]
            elif self.rows[-1]["kind"] == "lost":
                node.lease_end_us.pop(facts["task"], None)
        elif event == "lasting":
            self.row("folder", node.name, what="found", sound=facts.get("found"), why=facts.get("why"))
        elif event in RECORDED_EVENTS or "Error" in line or "Traceback" in line:
            self.row("log", node.name, text=rest[:300])

    def kill(self, name: str) -> None:
        self._signal(name, signal.SIGKILL)

    def leave(self, name: str) -> None:
        self.record_fault("leave", node=name)
        self.nodes[name].leaving = True
        self._signal(name, signal.SIGTERM)

    def pause(self, name: str, in_send: bool = False) -> int:
        """Pauses the process at an arbitrary point, which may be between its lease check and the send."""
        node = self.nodes[name]
        node.pause_number += 1
        self.record_fault("stop", node=name)
        self._signal(name, signal.SIGSTOP)
        return node.pause_number

    def resume(self, name: str, pause_number: int) -> None:
        if self.nodes[name].pause_number == pause_number:
            self.record_fault("go-on", node=name)
            self._signal(name, signal.SIGCONT)

    def _signal(self, name: str, number: signal.Signals) -> None:
        process = self.nodes[name].process
        if process is not None and process.returncode is None:
            with suppress(ProcessLookupError):
                process.send_signal(number)

    # ------------------------------------------------------------------ files

    def _write_config_file(self, node: RealNode) -> Path:
        settings = WorldSettings(nodes=len(self.names), form_servers=FORM_SERVERS).node_settings(node.index)
        settings["az"] = node.zone
        document = {
            "name": node.name,
            "listen": _format_address(node.listen),
            "control": _format_address(node.control),
            "discovery": _format_address(self.roster.address),
            "seed": f"{self._seed * 100 + node.index:x}",
            "peers": [],
            "known": self.roster.list_document(),
            "settings": settings,
        }
        path = self._folder / f"{node.name}.json"
        path.write_text(json.dumps(document))
        return path

    def _write_operator_file(self, node: RealNode) -> Path:
        join_addresses = [
            _format_address(n.relay) for n in self.nodes.values() if n.index < 3 and n is not node
        ]
        settings = self._make_settings(node.index, self.voters, join_addresses)
        tables: dict[str, Any] = {
            "members": {
                **_to_builtins(settings.membership),
                "listen": _format_address(node.members),
                "advertise": _format_address(node.relay),
            },
            "owners": {**_to_builtins(settings.leadership), "record": True},
            "permits": _to_builtins(settings.permits),
            "reader": _to_builtins(settings.list_reader),
            "replica": _to_builtins(settings.replication),
            "shards": _to_builtins(settings.sharding),
        }
        if self._storage is not None:
            tables["lasting"] = {
                **_to_builtins(self._storage),
                "folder": str(self._storage_folder(node.name)),
            }
        path = self._folder / f"{node.name}.toml"
        path.write_text(tomli_w.dumps(tables))
        return path

    # ------------------------------------------------------------------ the network

    def cut(self, one: list[str], other: list[str], both_ways: bool = True) -> int:
        self.record_fault("cut", one=",".join(one), other=",".join(other), both_ways=both_ways)
        return self.relays.cut(one, other, both_ways)

    def heal(self, cut: int) -> None:
        self.record_fault("heal")
        self.relays.heal(cut)

    def set_network_faults(
        self, loss_share: float, delay_us: tuple[int, int], duplicate_share: float
    ) -> None:
        """Sets the faults of all paths. With any loss, connections are also throttled to 1 MB/s, and half as
        many frames are truncated.
        """
        self.record_fault("weather", lost=loss_share, delay_us=delay_us, doubled=duplicate_share)
        faults = self.relays.faults
        faults.loss_share, faults.delay_us, faults.duplicate_share = loss_share, delay_us, duplicate_share
        faults.truncation_share = loss_share / 2
        faults.bytes_per_s = 1e6 if loss_share else 0.0

    def delay_messages(self, name: str, for_us: int) -> None:
        self.record_fault("hold-back", node=name, for_us=for_us)
        self.relays.delay_messages(name, for_us)

    # ------------------------------------------------------------------ leaders and permits

    def leader_of(self, task: str) -> str | None:
        at_us = now_us()
        return next((n.name for n in self.nodes.values() if n.lease_end_us.get(task, 0) > at_us), None)

    def tasks(self) -> list[str]:
        return sorted({task for node in self.nodes.values() for task in node.lease_end_us})

    def request_permit(self, name: str, kind: str, subject: str, for_us: int) -> None:
        """Sets a form server down for `for_us`, for which its node needs an `out` permit; ignores `kind`."""
        number = int(subject.rpartition("-")[2]) % FORM_SERVERS
        server = f"s-{number:08x}"
        self.group.start_soon(self.call, name, f"set-down {server}")
        self.after(for_us, self._start_call, name, f"set-up {server}")

    def hand_over(self, name: str) -> None:
        """Does nothing: a real process hands over as it leaves. A planned handover of shards is simulated
        only in virtual time (`ShardFleet`).
        """

    def begin_rolling_drain(self, name: str, names: list[str], for_us: int) -> None:
        self.record_fault("walk", node=name, names=",".join(names))
        line = f"fleet walk walk-{self._seed} {for_us // 1000} {','.join(names)}"
        self.group.start_soon(self.call, name, line)

    # ------------------------------------------------------------------ operator commands, and replicas

    async def _record_replica(self, name: str) -> None:
        """Records the state of a node's replica periodically. Each node has its own asyncio task, because a
        paused node answers late.
        """
        node = self.nodes[name]
        while not self._has_ended:
            await anyio.sleep(self._replica_interval_s)
            at_us = now_us()
            if node.process is None:
                continue
            life = node.start_count
            text = await self._query_control(name, "fleet state")
            if text is None or not text.startswith("ok ") or life != node.start_count or self._has_ended:
                continue
            state = json.loads(text.removeprefix("ok "))
            behind_s = state["behind"]["s"]
            # The answer describes the state at some time since the query; it is recorded at the time of the
            # query, the earliest possible one.
            if now_us() - at_us > MAX_REPORT_US:
                continue
            facts = {
                "digest": state["digest"],
                "epoch": state["epoch"],
                "copies": state["copies"],
                "marks": marks_by_subject(state["records"]),
            }
            self.row("copy", name, at_us, whole=state["whole"], behind_s=behind_s, **facts)

    def _start_mark(self, name: str, subject: str, on: bool, wait: str) -> None:
        line = f"fleet mark out {subject} {'on' if on else 'off'} {wait} staff a%20test"
        self.group.start_soon(self._query_control, name, line)

    def mark(self, name: str, subject: str, on: bool) -> None:
        self._start_mark(name, subject, on, "majority")

    def mark_locally(self, name: str, subject: str, on: bool) -> None:
        self._start_mark(name, subject, on, "none")

    def read_mark(self, name: str, subject: str) -> None:
        self.group.start_soon(self._query_control, name, f"fleet look out {subject}")

    def corrupt_mark(self, name: str) -> None:
        """Does nothing: memory is corrupted in virtual time only."""

    # ------------------------------------------------------------------ storage folders

    def _storage_folder(self, name: str) -> Path:
        return self._folder / f"{name}-kept"

    def power_cut(self, names: list[str]) -> None:
        """Kills the processes; a real machine keeps its power, so everything that they wrote remains."""
        self.record_fault("killed", names=",".join(names))
        for name in names:
            self.kill(name)

    def stall_disk(self, name: str, for_us: int) -> None:
        """Does nothing: disks are stalled in virtual time only."""

    def fill_disks(self, names: list[str], for_us: int) -> None:
        """Does nothing: disks are filled in virtual time only."""

    def back_up_folder(self, name: str) -> None:
        if self._storage_folder(name).is_dir():
            self.record_fault("back-up", node=name)
            shutil.copytree(
                self._storage_folder(name), self._storage_folder(f"{name}-old"), dirs_exist_ok=True
            )

    def restore_folder(self, name: str) -> None:
        """Replaces the node's storage folder by its backup, file by file in place; does nothing while the
        process is running or without a backup.
        """
        backup, folder = self._storage_folder(f"{name}-old"), self._storage_folder(name)
        if self.nodes[name].process is not None or not backup.is_dir():
            return
        position = read_folder(OsFiles(backup)).position
        self.row("fault", name, what="restore", position=position)
        for path in folder.iterdir():
            if not (backup / path.name).exists():
                path.unlink()
        for path in backup.iterdir():
            (folder / path.name).write_bytes(path.read_bytes())

    # ------------------------------------------------------------------ control commands

    def _start_call(self, name: str, line: str) -> None:
        self.group.start_soon(self.call, name, line)

    async def call(self, name: str, line: str) -> str | None:
        """Sends a command to a node's control address and records it with the answer; returns the answer, or
        None if there is none.
        """
        text = await self._query_control(name, line)
        self.row("call-made", name, line=line, answer=(text or "")[:200])
        return text

    async def _query_control(self, name: str, line: str) -> str | None:
        answer = b""
        with anyio.move_on_after(ANSWER_TIMEOUT_S), suppress(*_CONNECTION_ERRORS):
            async with await anyio.connect_tcp(*self.nodes[name].control) as stream:
                await stream.send(f"{line}\r\n".encode())
                while True:
                    answer += await stream.receive()
        return answer.decode("utf-8", "replace").strip() or None


class RosterStandIn:
    """A stand-in for the registry, with what nodes use of it: the list, and long polls for its changes."""

    def __init__(self) -> None:
        self.address: Address = (HOST, 0)
        self.revision = 1
        self.request_count = 0
        self.requests_by_second: dict[int, int] = {}

    def list_document(self) -> dict[str, Any]:
        members = [
            {
                "id": f"s-{n:08x}",
                "host_port": f"{HOST}:{9}",  # port 9 (discard): nothing listens there
                "locality": "z0",
                "flavor": "std-2c",
                "cell": n,
                "phase": "SERVING",
                "size": 1.0,
                "up_since_ms": 0,
            }
            for n in range(FORM_SERVERS)
        ]
        return {"revision": self.revision, "complete": True, "members": members}

    async def open(self, group: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host=HOST)
        self.address = listener.extra(anyio.abc.SocketAttribute.local_address)[:2]  # type: ignore[assignment]
        group.start_soon(listener.serve, self._serve_requests)
        group.start_soon(self._increment_revision)

    async def _increment_revision(self) -> None:
        """Increments the revision every second, so that long polls end; the list itself stays the same."""
        while True:
            await anyio.sleep(1.0)
            self.revision += 1

    async def _serve_requests(self, stream: SocketStream) -> None:
        async with stream:
            lines = BufferedByteReceiveStream(stream)
            with suppress(*_CONNECTION_ERRORS):
                while True:
                    first = (
                        (await lines.receive_until(b"\r\n\r\n", MAX_LINE_BYTES)).split(b"\r\n")[0].decode()
                    )
                    self.request_count += 1
                    second = int(time.monotonic())
                    self.requests_by_second[second] = self.requests_by_second.get(second, 0) + 1
                    _, _, query = first.split(" ")[1].partition("?")
                    parameters = dict(pair.split("=") for pair in query.split("&") if "=" in pair)
                    until = time.monotonic() + int(parameters.get("wait_ms", 0)) / 1000
                    while int(parameters.get("after", -1)) >= self.revision and time.monotonic() < until:
                        await anyio.sleep(0.05)
                    body = json.dumps(self.list_document()).encode()
                    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                    await stream.send(head.encode() + body)


def now_us() -> int:
    return time.monotonic_ns() // 1000


# Below the range from which the system assigns ephemeral ports, so that no outgoing connection is given
# such a port before its node listens there.
PORTS = (15_000, 31_000)
_used_ports: set[int] = set()


def free_address() -> Address:
    """Returns a loopback address whose port is free for UDP and TCP and was not returned before in this
    process.
    """
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
            except OSError:
                continue
        if port not in _used_ports:
            _used_ports.add(port)
            return HOST, port


def _format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def _to_builtins(table: Any) -> dict[str, Any]:
    """Returns a settings table under the keys of the operator file."""
    keys: dict[str, Any] = msgspec.to_builtins(table)
    return keys
