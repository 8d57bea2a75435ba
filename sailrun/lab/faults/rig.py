"""Real `sailrun` processes under faults: the nemesis's `Fleet`, with signals, relays and calls of staff.

Bounded: so many processes, on loopback only, each ended by its pid when the day is over, however it ends.
What
the nodes did is read from their logs, in the time that all processes of a machine share.
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
from sailrun.lab.faults.copies import marks_by_subject
from sailrun.lab.faults.history import Row
from sailrun.lab.faults.relays import HOST, Address, Relays
from sailrun.lab.settings import WorldSettings
from sailrun.leadership.agent import AgentSettings
from sailrun.storage.files import OsFiles
from sailrun.storage.folder_reader import read_folder
from sailrun.storage.settings import StorageSettings

MOST_NODES = 15
FORM_SERVERS = 8
_BROKEN = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.DelimiterNotFound,
    OSError,
)
LONGEST_LINE = 65_536
# A node that takes longer to show its copy was stopped meanwhile: when it was so is not known.
LATE_US = 250_000
# All processes have ended so long after they were killed.
ENDED_S = 5.0
# Log lines of a node that go into the records beside its acts.
KEPT = (
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
    lives: int = 0
    stop: int = 0
    rate: float = 1.0  # of its clock
    owns: dict[str, int] = field(default_factory=dict)  # by task, until when, as it has said
    leaving: bool = False  # its process ends in good order, which takes its time
    again: bool = False  # and is to be started once it has ended


class Rig:
    def __init__(
        self,
        nodes: int,
        voters: int,
        zones: int,
        terms: Callable[[int, list[str], list[str]], AgentSettings],
        seed: int,
        copies_s: float = 0.0,
        lasting: StorageSettings | None = None,
    ) -> None:
        """Copies are looked at every `copies_s`, if they are. With `lasting`, each node has a folder."""
        self._lasting = lasting
        if not 1 <= nodes <= MOST_NODES:
            raise ValueError(f"{nodes} nodes are not from 1 to {MOST_NODES}")
        self.names = [f"n{n}" for n in range(nodes)]
        self.voters = self.names[:voters]
        self._terms, self._seed, self._copies_s = terms, seed, copies_s
        self._luck = random.Random(f"rig/{seed}")
        self.rows: list[Row] = []
        self.begin_us = self.end_us = now_us()
        self.nodes: dict[str, RealNode] = {}
        for n, name in enumerate(self.names):
            members, listen, control = (free_address() for _ in range(3))
            self.nodes[name] = RealNode(name, n, f"z{n % zones}", members, listen, control)
        self.roster = RigRoster()
        self._over = False
        self.cpu_s = 0.0

    # ------------------------------------------------------------------ the day

    async def play(self, seconds: float, plan: Callable[[Rig], object]) -> None:
        """Starts everything, has the nemesis loose, and ends everything."""
        with tempfile.TemporaryDirectory(prefix="sailrun-rig-") as folder:
            self._folder = Path(folder)
            self._finished = anyio.Event()
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
                    if self._copies_s:
                        for name in self.names:
                            group.start_soon(self._look_at_copy, name)
                    with anyio.move_on_after(seconds):
                        await self._finished.wait()
                finally:
                    self._over, self.end_us = True, now_us()
                    with anyio.CancelScope(deadline=anyio.current_time() + ENDED_S, shield=True):
                        await self._end()
                    group.cancel_scope.cancel()
                    self.relays.close()

    async def _end(self) -> None:
        """Ends every process that was started, and waits until each has ended."""
        for name in self.names:
            self._signal(name, signal.SIGKILL)
        while any(node.process is not None for node in self.nodes.values()):
            await anyio.sleep(0.02)

    def finish(self, wait_us: int) -> None:
        """The day ends so long from now, should it not be over before."""
        self.after(wait_us, self._finished.set)

    def after(self, wait_us: int, what: Callable[..., None], *facts: object) -> None:
        self.group.start_soon(self._wait, wait_us / 1e6, what, facts)

    async def _wait(self, wait_s: float, what: Callable[..., None], facts: tuple[object, ...]) -> None:
        await anyio.sleep(wait_s)
        if not self._over:
            what(*facts)

    def row(self, kind: str, node: str, at_us: int | None = None, **facts: Any) -> None:
        self.rows.append({"at_us": now_us() if at_us is None else at_us, "node": node, "kind": kind, **facts})

    def told(self, what: str, **facts: object) -> None:
        self.row("fault", str(facts.get("node", "")), what=what, facts=str(facts))

    # ------------------------------------------------------------------ processes

    def start(self, name: str, clock_s: float = 0.0) -> None:
        node = self.nodes[name]
        if node.process is None:
            node.lives += 1
            node.leaving = node.again = False
            self.group.start_soon(self._run, node, clock_s)
        elif node.leaving:
            node.again = True

    async def _run(self, node: RealNode, clock_s: float) -> None:
        arguments = ["serve", "--config", str(self._config(node)), "--operator", str(self._operator(node))]
        rate = node.rate = 1.0 + 0.01 * self._luck.choice((-1, 0, 1))
        skewed = [sys.executable, "-m", "sailrun.lab.faults.skewed", str(clock_s), str(rate), *arguments]
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "SAILRUN_"))}
        process = await anyio.open_process(
            skewed,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            env={**environment, "TMPDIR": str(self._folder)},
        )
        node.process = process
        self.row("started", node.name, life=node.lives, clock_s=clock_s, rate=rate)
        try:
            assert process.stderr is not None
            lines = BufferedByteReceiveStream(process.stderr)
            with suppress(*_BROKEN):
                while True:
                    self._heard(
                        node, (await lines.receive_until(b"\n", LONGEST_LINE)).decode("utf-8", "replace")
                    )
            await process.aclose()
        finally:
            if node.process is process:
                node.process = None
                node.owns.clear()
                # Only now has it ended for certain.
                self.row("died", node.name, code=process.returncode)
                if node.again and not self._over:
                    self.start(node.name)

    def _heard(self, node: RealNode, line: str) -> None:
        _, _, rest = line.strip().partition(" ")
        what, *words = rest.split(" ")
        facts: dict[str, Any] = {}
        for word in words:
            key, sep, value = word.partition("=")
            if sep:
                facts[key] = int(value) if value.lstrip("-").isdigit() else value
        if what == "act" and "kind" in facts:
            at_us = facts.pop("at_us")
            # Its own clock is wrong by what it was started with.
            if "left_us" in facts:
                facts["until_us"] = at_us + int(facts.pop("left_us") / node.rate)
            if "ago_us" in facts:
                at_us -= int(facts.pop("ago_us") / node.rate)
            self.row(facts.pop("kind"), node.name, at_us, **facts)
            if self.rows[-1]["kind"] == "hold":
                node.owns[facts["task"]] = facts["until_us"]
            elif self.rows[-1]["kind"] == "lost":
                node.owns.pop(facts["task"], None)
        elif what == "lasting":
            self.row("folder", node.name, what="found", sound=facts.get("found"), why=facts.get("why"))
        elif what in KEPT or "Error" in line or "Traceback" in line:
            self.row("log", node.name, text=rest[:300])

    def kill(self, name: str) -> None:
        self._signal(name, signal.SIGKILL)

    def leave(self, name: str) -> None:
        self.told("leave", node=name)
        self.nodes[name].leaving = True
        self._signal(name, signal.SIGTERM)

    def stop(self, name: str, in_send: bool = False) -> int:
        """A real process is stopped wherever it happens to be, also between its look at the clock and a
        send.
        """
        node = self.nodes[name]
        node.stop += 1
        self.told("stop", node=name)
        self._signal(name, signal.SIGSTOP)
        return node.stop

    def go_on(self, name: str, stop: int) -> None:
        if self.nodes[name].stop == stop:
            self.told("go-on", node=name)
            self._signal(name, signal.SIGCONT)

    def _signal(self, name: str, number: signal.Signals) -> None:
        process = self.nodes[name].process
        if process is not None and process.returncode is None:
            with suppress(ProcessLookupError):
                process.send_signal(number)

    # ------------------------------------------------------------------ files

    def _config(self, node: RealNode) -> Path:
        settings = WorldSettings(nodes=len(self.names), form_servers=FORM_SERVERS).node_settings(node.index)
        settings["az"] = node.zone
        document = {
            "name": node.name,
            "listen": _text(node.listen),
            "control": _text(node.control),
            "discovery": _text(self.roster.address),
            "seed": f"{self._seed * 100 + node.index:x}",
            "peers": [],
            "known": self.roster.whole(),
            "settings": settings,
        }
        path = self._folder / f"{node.name}.json"
        path.write_text(json.dumps(document))
        return path

    def _operator(self, node: RealNode) -> Path:
        joins = [_text(n.relay) for n in self.nodes.values() if n.index < 3 and n is not node]
        terms = self._terms(node.index, self.voters, joins)
        tables: dict[str, Any] = {
            "members": {
                **_set(terms.membership),
                "listen": _text(node.members),
                "advertise": _text(node.relay),
            },
            "owners": {**_set(terms.leadership), "record": True},
            "permits": _set(terms.permits),
            "reader": _set(terms.list_reader),
            "replica": _set(terms.replication),
            "shards": _set(terms.sharding),
        }
        if self._lasting is not None:
            tables["lasting"] = {**_set(self._lasting), "folder": str(self._kept(node.name))}
        path = self._folder / f"{node.name}.toml"
        path.write_text(tomli_w.dumps(tables))
        return path

    # ------------------------------------------------------------------ the network

    def cut(self, one: list[str], other: list[str], both_ways: bool = True) -> int:
        self.told("cut", one=",".join(one), other=",".join(other), both_ways=both_ways)
        return self.relays.cut(one, other, both_ways)

    def heal(self, cut: int) -> None:
        self.told("heal")
        self.relays.heal(cut)

    def weather(self, lost: float, delay_us: tuple[int, int], doubled: float) -> None:
        self.told("weather", lost=lost, delay_us=delay_us, doubled=doubled)
        weather = self.relays.weather
        weather.lost, weather.delay_us, weather.doubled = lost, delay_us, doubled
        weather.torn = lost / 2
        weather.bytes_per_s = 1e6 if lost else 0.0

    def hold_back(self, name: str, for_us: int) -> None:
        self.told("hold-back", node=name, for_us=for_us)
        self.relays.hold_back(name, for_us)

    # ------------------------------------------------------------------ what the nemesis asks

    def owner(self, task: str) -> str | None:
        moment_us = now_us()
        return next((n.name for n in self.nodes.values() if n.owns.get(task, 0) > moment_us), None)

    def tasks(self) -> list[str]:
        return sorted({task for node in self.nodes.values() for task in node.owns})

    def want(self, name: str, kind: str, subject: str, for_us: int) -> None:
        number = int(subject.rpartition("-")[2]) % FORM_SERVERS
        server = f"s-{number:08x}"
        self.group.start_soon(self.call, name, f"set-down {server}")
        self.after(for_us, self._ask, name, f"set-up {server}")

    def hand_over(self, name: str) -> None:
        """A real process hands over as it leaves: a planned one is played in virtual time."""

    def begin_rolling_drain(self, name: str, names: list[str], for_us: int) -> None:
        self.told("walk", node=name, names=",".join(names))
        line = f"fleet walk walk-{self._seed} {for_us // 1000} {','.join(names)}"
        self.group.start_soon(self.call, name, line)

    # ------------------------------------------------------------------ staff, and copies

    async def _look_at_copy(self, name: str) -> None:
        """Asks a node for its copy, again and again, on its own time: one that is stopped answers late."""
        node = self.nodes[name]
        while not self._over:
            await anyio.sleep(self._copies_s)
            at_us = now_us()
            if node.process is None:
                continue
            life = node.lives
            text = await self._asked(name, "fleet state")
            if text is None or not text.startswith("ok ") or life != node.lives or self._over:
                continue
            state = json.loads(text.removeprefix("ok "))
            behind_s = state["behind"]["s"]
            # What was answered holds for some time since it was asked: the earliest is what counts.
            if now_us() - at_us > LATE_US:
                continue
            facts = {
                "digest": state["digest"],
                "epoch": state["epoch"],
                "copies": state["copies"],
                "marks": marks_by_subject(state["records"]),
            }
            self.row("copy", name, at_us, whole=state["whole"], behind_s=behind_s, **facts)

    def _mark(self, name: str, subject: str, on: bool, wait: str) -> None:
        line = f"fleet mark out {subject} {'on' if on else 'off'} {wait} staff a%20test"
        self.group.start_soon(self._asked, name, line)

    def mark(self, name: str, subject: str, on: bool) -> None:
        self._mark(name, subject, on, "majority")

    def mark_here(self, name: str, subject: str, on: bool) -> None:
        self._mark(name, subject, on, "none")

    def look(self, name: str, subject: str) -> None:
        self.group.start_soon(self._asked, name, f"fleet look out {subject}")

    def spoil(self, name: str) -> None:
        """A real process's memory is left alone: that is played in virtual time."""

    # ------------------------------------------------------------------ folders

    def _kept(self, name: str) -> Path:
        return self._folder / f"{name}-kept"

    def power_cut(self, names: list[str]) -> None:
        """A real machine keeps its power: the processes are killed, and what they wrote is there."""
        self.told("killed", names=",".join(names))
        for name in names:
            self.kill(name)

    def stall(self, name: str, for_us: int) -> None:
        """A real disk is left alone: that is played in virtual time."""

    def fill(self, names: list[str], for_us: int) -> None:
        """A real disk is left alone: that is played in virtual time."""

    def back_up(self, name: str) -> None:
        if self._kept(name).is_dir():
            self.told("back-up", node=name)
            shutil.copytree(self._kept(name), self._kept(f"{name}-old"), dirs_exist_ok=True)

    def restore(self, name: str) -> None:
        """Puts the folder of then in the place of what there is, each file over its own; the process is not
        running.
        """
        old, kept = self._kept(f"{name}-old"), self._kept(name)
        if self.nodes[name].process is not None or not old.is_dir():
            return
        position = read_folder(OsFiles(old)).position
        self.row("fault", name, what="restore", position=position)
        for path in kept.iterdir():
            if not (old / path.name).exists():
                path.unlink()
        for path in old.iterdir():
            (kept / path.name).write_bytes(path.read_bytes())

    def _ask(self, name: str, line: str) -> None:
        self.group.start_soon(self.call, name, line)

    async def call(self, name: str, line: str) -> str | None:
        """A call of staff at a node's second address; None where it is not answered."""
        text = await self._asked(name, line)
        self.row("call-made", name, line=line, answer=(text or "")[:200])
        return text

    async def _asked(self, name: str, line: str) -> str | None:
        answer = b""
        with anyio.move_on_after(ANSWER_TIMEOUT_S), suppress(*_BROKEN):
            async with await anyio.connect_tcp(*self.nodes[name].control) as stream:
                await stream.send(f"{line}\r\n".encode())
                while True:
                    answer += await stream.receive()
        return answer.decode("utf-8", "replace").strip() or None


class RigRoster:
    """The server roster, as much as nodes ask of it: the list, and watches on it."""

    def __init__(self) -> None:
        self.address: Address = (HOST, 0)
        self.revision = 1
        self.asked = 0
        self.by_s: dict[int, int] = {}

    def whole(self) -> dict[str, Any]:
        members = [
            {
                "id": f"s-{n:08x}",
                "host_port": f"{HOST}:{9}",
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
        group.start_soon(listener.serve, self._serve)
        group.start_soon(self._change)

    async def _change(self) -> None:
        while True:
            await anyio.sleep(1.0)
            self.revision += 1

    async def _serve(self, stream: SocketStream) -> None:
        async with stream:
            lines = BufferedByteReceiveStream(stream)
            with suppress(*_BROKEN):
                while True:
                    first = (await lines.receive_until(b"\r\n\r\n", LONGEST_LINE)).split(b"\r\n")[0].decode()
                    self.asked += 1
                    second = int(time.monotonic())
                    self.by_s[second] = self.by_s.get(second, 0) + 1
                    _, _, query = first.split(" ")[1].partition("?")
                    asked = dict(pair.split("=") for pair in query.split("&") if "=" in pair)
                    until = time.monotonic() + int(asked.get("wait_ms", 0)) / 1000
                    while int(asked.get("after", -1)) >= self.revision and time.monotonic() < until:
                        await anyio.sleep(0.05)
                    body = json.dumps(self.whole()).encode()
                    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                    await stream.send(head.encode() + body)


def now_us() -> int:
    return time.monotonic_ns() // 1000


# Below the ports that the system gives to whoever asks for any, so that nobody is given one meanwhile.
PORTS = (15_000, 31_000)
_given: set[int] = set()


def free_address() -> Address:
    """A port on loopback for datagrams and connections alike, given to nobody else in this process."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
            except OSError:
                continue
        if port not in _given:
            _given.add(port)
            return HOST, port


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def _set(table: Any) -> dict[str, Any]:
    """A table's keys as an operator's file has them."""
    keys: dict[str, Any] = msgspec.to_builtins(table)
    return keys
