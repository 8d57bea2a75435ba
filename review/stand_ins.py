"""Stand-ins of clients, form servers and the registry for the cases of this folder, written from the pages.

Standard library only. Every address is on loopback; every process that a case starts ends with the case.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
# Figures of the settings, as the pages state them for a small deployment.
SETTINGS: dict[str, Any] = {
    "az": "daejeon-1",
    "localities": ["daejeon-1"],
    "siblings": 1,
    "index": 0,
    "discovery": "ask",
    "family": "conn",
    "tickUs": 5000,
    "services": [
        {"name": "page-load", "objectiveUs": 500_000, "deadlineUs": 2_000_000, "gain": 1.0},
        {"name": "answer-save", "objectiveUs": 500_000, "deadlineUs": 2_000_000, "gain": 3.0},
        {"name": "field-check", "objectiveUs": 300_000, "deadlineUs": 1_800_000, "gain": 1.0},
        {"name": "progress-sync", "objectiveUs": 800_000, "deadlineUs": 4_800_000, "gain": 2.0},
    ],
    "familyInfo": {
        "groups": True,
        "messageAimUs": [50000.0, 250000.0, 100000.0, 100000.0],
        "mode": "proxy",
        "parkUs": 0,
        "tellsDelay": False,
        "tellsLoad": True,
    },
    "limits": {
        "cancel": True,
        "connectTimeoutUs": 120_000,
        "maxAttempts": 5,
        "maxRetryAfterUs": 2_000_000,
        "parallelTries": False,
        "peerMessages": True,
        "probes": False,
        "retryAfter": True,
    },
    "obligations": {
        "answerSlackUs": 20_000,
        "coldFrom": 0.13,
        "coldUs": 24_000_000,
        "drainGraceUs": 2_000_000,
        "fallMultiple": 3.0,
        "fallUs": 3_000_000,
        "mustAskInUs": 10_000_000,
    },
    "telemetry": {"fields": [], "how": "silent"},
    "weightSource": "silent",
}
for _service in SETTINGS["services"]:
    _service.update({"effect": "idempotent", "group": "all", "repeatWindowUs": 5_000_000, "streaming": True})
# Clients send one line every 2 s.
LINE_INTERVAL_S = 2.0
# A client that was refused, failed, moved or cut off comes again after a gap of the range in the site file.
REJOIN_S = (0.08, 0.64)
# A request may be answered up to half a second after its time.
LATE_S = 0.5


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("a")
        self._began = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Writes one line, and prints it."""
        self.write(text)
        print(text, flush=True)


def free_ports(count: int) -> list[int]:
    """Returns ports on loopback that nothing is bound to, for TCP and UDP, outside the ephemeral range."""
    ports: list[int] = []
    port = 20_000 + os.getpid() * 37 % 9_000
    while len(ports) < count:
        port += 1
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
    return ports


class Registry:
    """The registry of form servers: the whole list, or a watch on its changes."""

    def __init__(self, record: Record, port: int) -> None:
        self._record, self.address = record, f"{HOST}:{port}"
        self._port = port
        self._revision = 41
        self._entries: dict[str, dict[str, Any]] = {}
        self._changed_at: dict[str, int] = {}
        self._news = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begins to listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self._port)

    def put(self, name: str, address: str, phase: str = "SERVING", up_since_ms: int = 0) -> None:
        """Adds or changes a form server."""
        self._entries[name] = {
            "id": name,
            "host_port": address,
            "locality": "daejeon-1",
            "flavor": "std-2c",
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": up_since_ms,
        }
        self._tell([name])

    def weigh(self, sizes: dict[str, float]) -> None:
        """Changes the weights of form servers."""
        for name, size in sizes.items():
            self._entries[name] = {**self._entries[name], "size": size}
        self._tell(list(sizes))

    def _tell(self, names: list[str]) -> None:
        self._revision += 1
        self._changed_at.update(dict.fromkeys(names, self._revision))
        self._news.set()
        self._news = asyncio.Event()

    def list(self, after: int | None = None) -> dict[str, Any]:
        """Returns the whole list, or what has changed after a revision."""
        names = [n for n in self._entries if after is None or self._changed_at[n] > after]
        members = [self._entries[n] for n in names]
        if after is None:
            members = [m for m in members if m["phase"] != "DELETED"]
        return {"revision": self._revision, "complete": after is None, "members": members}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # A cancelled task would make asyncio print a traceback at the end of the case.
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                body = json.dumps(await self._answer(line.split()[1].decode())).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        writer.close()

    async def _answer(self, target: str) -> dict[str, Any]:
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        if "after" not in query:
            return self.list()
        after = int(query["after"])
        if after >= self._revision:
            with suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._news.wait(), int(query["wait_ms"]) / 1000)
        return self.list(after)


class FormServer:
    """A form server: answers a first line with `UP`, and each later line with the same line at once."""

    def __init__(self, record: Record, name: str, port: int) -> None:
        self._record, self.name, self._port = record, name, port
        self.address = f"{HOST}:{port}"
        self.up_after_s = 0.0
        self.turns_away: Callable[[dict[str, str]], bool] = lambda fields: False
        self.loads: Callable[[], str | None] = lambda: None
        self.attempts: list[tuple[float, str]] = []  # when the last byte of each first line came, and its id
        self.on_attempt: Callable[[], None] = lambda: None
        self.standing: dict[str, asyncio.StreamWriter] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Begins to listen."""
        self._server = await asyncio.start_server(self._accept, HOST, self._port)

    async def stop(self) -> None:
        """Ends the process of the form server: its connections are reset and new ones are refused."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.standing.values()):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        self._record.write(f"{self.name} stops")

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await self._serve(reader, writer)
        writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = await reader.readline()
        words = line.decode("latin-1").split()
        if len(words) != 4 or words[0] != "OPEN":
            writer.write(b"NO\r\n" if words in (["PING"], ["STATS"]) else b"SYNTAX\r\n")
            return
        fields = dict(part.partition("=")[::2] for part in words[3].split(","))
        self.attempts.append((self._record.now(), words[1]))
        self._record.write(f"{self.name} gets {line.decode('latin-1').strip()[:120]}")
        self.on_attempt()
        if self.turns_away(fields):
            writer.write(b"BUSY\r\n")
            return
        if self.up_after_s:
            await asyncio.sleep(self.up_after_s)
        if reader.at_eof():
            self._record.write(f"{self.name} finds {words[1]} given up")
            return
        writer.write(b"UP r-%s\r\n" % words[1].encode())
        self._record.write(f"{self.name} answers UP to {words[1]}")
        self.standing[words[1]] = writer
        if (load := self.loads()) is not None:
            writer.write(f"LOAD {load}\r\n".encode())
        try:
            while line := await reader.readline():
                writer.write(line)
                await writer.drain()
        finally:
            self.standing.pop(words[1], None)
            self._record.write(f"{self.name} ends {words[1]}")


class Client:
    """A client of one household: one connection after another until `done`, each with a fresh id."""

    def __init__(
        self,
        record: Record,
        route: Callable[[], str],
        name: str,
        request_class: str = "page-load",
        wait_ms: int = 2000,
    ) -> None:
        """`route`: the front, which returns the address of a node for each connection."""
        self._record, self._route, self.name = record, route, name
        self._request_class, self._wait_ms = request_class, wait_ms
        self.done = False
        self.answers: list[str] = []  # of each request: up, busy, failed, nothing, no connection
        self.ends: list[tuple[float, str]] = []  # of each session: moved, cut, left
        # Lines that are neither an echo of an own line nor one of the protocol's; the last may be incomplete.
        self.unknown_lines: list[bytes] = []
        self.slowest_s = 0.0  # the longest time that a line took to return
        self.is_up = asyncio.Event()
        self.current = ""
        self._count = 0
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Requests a session again and again until `done`."""
        while not self.done:
            await self.run_once()
            self.is_up.clear()
            if not self.done:
                await asyncio.sleep(random.uniform(*REJOIN_S))

    async def run_once(self) -> None:
        """Requests one session and keeps it until it ends."""
        self._count += 1
        id_ = self.current = f"{self.name}x{self._count}"
        try:
            host, _, port = self._route().partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self.answers.append("no connection")
            return
        self._writer = writer
        again = ",again=1" if self._count > 1 else ""
        line = f"OPEN {id_} k{self.name} c={self._request_class},d={self._wait_ms},g=g{self.name}{again}"
        try:
            writer.write(line.encode() + b"\r\n")
            answer = await self._first_answer(reader)
            self.answers.append(answer)
            self._record.write(f"client {id_} is answered: {answer}")
            if answer == "up":
                self.is_up.set()
                end = await self._hold(id_, reader, writer)
                self.ends.append((self._record.now(), end))
                self._record.write(f"client {id_} is {end}")
        finally:
            writer.close()

    async def _first_answer(self, reader: asyncio.StreamReader) -> str:
        try:
            async with asyncio.timeout(self._wait_ms / 1000 + LATE_S):
                line = await reader.readline()
        except (TimeoutError, OSError):
            return "nothing"
        word = line.split()[0] if line.split() else b""
        return {b"UP": "up", b"BUSY": "busy", b"": "nothing"}.get(word, "failed")

    async def _hold(self, id_: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str:
        sent: dict[str, float] = {}
        sender = asyncio.create_task(self._send_lines(writer, sent))
        try:
            while line := await reader.readline():
                text = line.strip().decode("latin-1")
                if text == "MOVE":
                    return "moved"
                if text in sent:
                    self.slowest_s = max(self.slowest_s, time.monotonic() - sent.pop(text))
                elif re.fullmatch(rb"LOAD [0-9.]+\r\n", line) is None:
                    self.unknown_lines.append(line)
                    self._record.write(f"client {id_} gets {line!r}, which its form server has not sent")
        except OSError:
            pass
        finally:
            sender.cancel()
        return "left" if self.done else "cut off"

    async def _send_lines(self, writer: asyncio.StreamWriter, sent: dict[str, float]) -> None:
        n = 0
        # Clients do not all send at the same moment.
        await asyncio.sleep(random.random() * LINE_INTERVAL_S)
        with suppress(OSError):
            while True:
                n += 1
                line = f"say {self.name} {n}"
                sent[line] = time.monotonic()
                writer.write(line.encode() + b"\r\n")
                await writer.drain()
                await asyncio.sleep(LINE_INTERVAL_S)

    def leave(self) -> None:
        """Ends the client."""
        self.done = True
        if self._writer is not None:
            self._writer.close()


class Node:
    """One node, started with the `run` of the deploy file."""

    def __init__(self, case: Case, name: str, config: dict[str, Any], folder: Path) -> None:
        self._case, self.name, self.config, self._folder = case, name, config, folder
        self.listen = str(config["listen"])
        self.process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None
        self.log: list[str] = []
        self._serving = asyncio.Event()

    async def start(self) -> None:
        """Starts the process and waits until it serves."""
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config))
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "SAILRUN_"))}
        environment |= {
            "RELAY_NAME": self.config["name"],
            "RELAY_LISTEN": self.listen,
            "RELAY_DISCOVERY": self.config["discovery"],
            "RELAY_CONFIG": str(path),
            "TMPDIR": str(self._folder),
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE
        )
        self._reader = asyncio.create_task(self._read())
        async with asyncio.timeout(20):
            await self._serving.wait()

    async def _read(self) -> None:
        assert self.process is not None and self.process.stderr is not None
        while line := await self.process.stderr.readline():
            text = line.decode(errors="replace").rstrip()
            self.log.append(text)
            self._case.record.write(f"log of {self.name}: {text[:300]}")
            if " serving " in text:
                self._serving.set()

    async def call(self, line: str) -> str:
        """Makes a call at the second address and returns the answer."""
        host, _, port = str(self.config["control"]).partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(line.encode() + b"\r\n")
        answer = (await reader.read()).decode().strip()
        writer.close()
        self._case.record.write(f"{self.name} answers '{line}' with '{answer[:60]}'")
        return answer

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self._case.record.write(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def route(self) -> str:
        """Returns the address where clients connect, for a front that knows this node only."""
        return self.listen

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is not None and self.process.returncode is not None

    async def kill(self) -> None:
        """Ends the process at once."""
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
        if self._reader is not None:
            await self._reader


class PeerNetwork:
    """Carries the datagrams between the nodes, as the platform does: to `peers[n]`, or to `peers_all`."""

    def __init__(self, listens: list[int], ports: list[int], all_port: int) -> None:
        self._listens, self._ports, self._all_port = listens, ports, all_port
        self.peers = [f"{HOST}:{port}" for port in ports]
        self.peers_all = f"{HOST}:{all_port}"
        self._transports: list[asyncio.DatagramTransport] = []

    async def start(self) -> None:
        """Opens the sockets."""
        loop = asyncio.get_running_loop()
        for recipient, port in enumerate([*self._ports, self._all_port]):

            def make(recipient: int = recipient) -> asyncio.DatagramProtocol:
                return _Forwarder(lambda data, sender: self._forward(recipient, data, sender))

            transport, _ = await loop.create_datagram_endpoint(make, local_addr=(HOST, port))
            self._transports.append(transport)

    def _forward(self, recipient: int, data: bytes, sender: int) -> None:
        if sender not in self._listens:
            return
        source = self._listens.index(sender)
        recipients = range(len(self._ports)) if recipient == len(self._ports) else [recipient]
        for n in recipients:
            if n != source or recipient < len(self._ports):
                self._transports[source].sendto(data, (HOST, self._listens[n]))

    def close(self) -> None:
        """Closes the sockets."""
        for transport in self._transports:
            transport.close()


class _Forwarder(asyncio.DatagramProtocol):
    def __init__(self, forward: Callable[[bytes, int], None]) -> None:
        self._forward = forward

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Passes a datagram on."""
        self._forward(data, addr[1])


class Case:
    """What one run of a case needs: the record, a temporary folder, and all that has to end with it."""

    def __init__(self, record: Path) -> None:
        self.record = Record(record)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.nodes: list[Node] = []
        self.servers: list[FormServer] = []
        self.clients: list[Client] = []
        self.network: PeerNetwork | None = None
        self.registry: Registry
        self._tasks: list[asyncio.Task[None]] = []

    async def set_up(self, nodes: int, servers: int, **settings: Any) -> None:
        """Starts the registry, the form servers and the nodes."""
        ports = iter(free_ports(4 * nodes + servers + 3))
        self.spare_port = next(ports)
        self.registry = Registry(self.record, next(ports))
        await self.registry.start()
        for n in range(servers):
            server = FormServer(self.record, f"s-{0x5BE2A07C + 0x1F3D5 * n:08x}", next(ports))
            await server.start()
            self.servers.append(server)
            self.registry.put(server.name, server.address)
        listens, relays = [next(ports) for _ in range(nodes)], [next(ports) for _ in range(nodes)]
        self.network = PeerNetwork(listens, relays, next(ports))
        await self.network.start()
        for n in range(nodes):
            config = {
                "name": f"n{n}",
                "listen": f"{HOST}:{next(ports)}",
                "control": f"{HOST}:{next(ports)}",
                "discovery": self.registry.address,
                "seed": f"8c1f30d27a5be9{n:02x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "peer_listen": f"{HOST}:{listens[n]}",
                "peers": self.network.peers,
                "peers_all": self.network.peers_all,
                "known": self.registry.list(),
                "settings": {**SETTINGS, "siblings": nodes, "index": n, **settings},
            }
            folder = self.folder / f"n{n}"
            folder.mkdir()
            self.nodes.append(Node(self, f"n{n}", config, folder))
        for node in self.nodes:
            await node.start()

    async def add_server(self, server: FormServer) -> None:
        """Starts one more form server, which has just been installed, and lists it."""
        await server.start()
        self.servers.append(server)
        self.registry.put(server.name, server.address, up_since_ms=int(time.time() * 1000))

    def begin(self, work: Awaitable[None]) -> asyncio.Task[None]:
        """Runs some work beside the case."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    def add_client(
        self, route: Callable[[], str], name: str, request_class: str = "page-load", wait_ms: int = 2000
    ) -> Client:
        """Adds a client, which begins at once."""
        client = Client(self.record, route, name, request_class, wait_ms)
        self.clients.append(client)
        self.begin(client.run())
        return client

    async def clean_up(self) -> None:
        """Ends everything that the case has started."""
        for client in self.clients:
            client.leave()
        for node in self.nodes:
            await node.kill()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in self.servers:
            await server.stop()
        if self.network is not None:
            self.network.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(play: Callable[[Case], Awaitable[bool]], record: Path) -> None:
    """Plays a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""

    async def main() -> int:
        case = Case(record)
        task, loop = asyncio.current_task(), asyncio.get_running_loop()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(110):
                held = await play(case)
            case.record.say("the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except (Exception, asyncio.CancelledError) as error:
            case.record.say(f"the case could not run: {error!r}")
            return 2
        finally:
            await case.clean_up()

    sys.exit(asyncio.run(main()))
