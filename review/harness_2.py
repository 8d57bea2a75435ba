"""Stand-ins and helpers that the cases of the second review share. Standard library only.

The stand-ins follow the operators' protocol page: clients and form servers exchange lines over TCP, the
registry answers over HTTP/1.1. All addresses are loopback addresses with free ports.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# A case that has not ended by then ends its processes and counts as one that could not run.
MAX_SECONDS = 112.0
CLASSES = {
    "page-load": (500_000, 2_000_000, 50_000.0),
    "answer-save": (500_000, 2_000_000, 250_000.0),
    "field-check": (300_000, 1_800_000, 100_000.0),
    "progress-sync": (800_000, 4_800_000, 100_000.0),
}


class CannotRunError(Exception):
    """The case cannot run, for example because the node does not start."""


class Record:
    """Writes `record.txt`: what was sent, answered and run, each line with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._began = time.monotonic()
        self._file = path.open("w")
        self._lock = threading.Lock()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._began

    def __call__(self, text: str) -> None:
        """Writes one line."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()


class Peer:
    """One end of a TCP connection, read line by line."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.first_line = b""  # of an attempt, without its line end
        self._buffer = b""

    def send(self, data: bytes) -> None:
        """Sends all of the data."""
        self.sock.sendall(data)

    def receive_line(self, until: float) -> bytes | None:
        """Returns the next line without its end, or None if the other side ends first.

        Raises TimeoutError at the monotonic time `until`; a partial line stays in `rest`.
        """
        while b"\n" not in self._buffer:
            left = until - time.monotonic()
            if left <= 0:
                raise TimeoutError
            self.sock.settimeout(left)
            data = self.sock.recv(65536)
            if not data:
                return None
            self._buffer += data
        line, _, self._buffer = self._buffer.partition(b"\n")
        return line.rstrip(b"\r")

    @property
    def rest(self) -> bytes:
        """The received bytes that are no complete line."""
        return self._buffer

    def close(self) -> None:
        """Closes the connection."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


def connect(address: str, timeout_s: float = 5.0) -> Peer:
    """Connects to HOST:PORT."""
    host, port = address.rsplit(":", 1)
    sock = socket.create_connection((host, int(port)), timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Peer(sock)


def free_address() -> str:
    """Returns a loopback address with a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class Listener:
    """Accepts connections and serves each on a thread."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.sock.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._serve, args=(Peer(sock),), daemon=True).start()

    def _serve(self, peer: Peer) -> None:
        with contextlib.suppress(OSError, ValueError):
            self.serve(peer)

    def serve(self, peer: Peer) -> None:
        """Serves one connection."""
        raise NotImplementedError


class FormServer(Listener):
    """A sound form server: answers UP, then returns each line of the client at once."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.attempts = 0
        super().__init__()

    def entry(self, phase: str = "SERVING") -> dict[str, Any]:
        """Returns its entry in the registry."""
        return {
            "id": self.name,
            "host_port": self.address,
            "locality": "daejeon-1",
            "flavor": "std-2c",
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
        }

    def serve(self, peer: Peer) -> None:
        """Serves the attempts and probes of one connection."""
        until = time.monotonic() + 600
        first = peer.receive_line(until)
        while first == b"PING":
            peer.send(b"PONG\r\n")
            first = peer.receive_line(until)
        if first is None or not first.startswith(b"OPEN "):
            peer.close()
            return
        self.attempts += 1
        peer.first_line = first
        id_ = first.split()[1].decode()
        self.record(f"{self.name} runs {id_}: {first.decode()}")
        self.answer(peer, id_)
        peer.close()
        self.record(f"{self.name} ended {id_}")

    def answer(self, peer: Peer, id_: str) -> None:
        """Answers a first line, and serves the session to its end."""
        peer.send(f"UP r-{id_}\r\n".encode())
        while (line := peer.receive_line(time.monotonic() + 600)) is not None:
            self.answer_line(peer, id_, line)

    def answer_line(self, peer: Peer, _id: str, line: bytes) -> None:
        """Answers one line of an established session."""
        peer.send(b"re " + line + b"\r\n")


class Registry(Listener):
    """The registry: the whole list, or a watch on its changes."""

    def __init__(self, record: Record, members: list[dict[str, Any]], revision: int = 41) -> None:
        self.record, self.revision = record, revision
        self.members = {m["id"]: m for m in members}
        self._changed_at = {m["id"]: revision for m in members}
        self._condition = threading.Condition()
        super().__init__()

    def whole_list(self) -> dict[str, Any]:
        """Returns the whole list."""
        members = [m for m in self.members.values() if m["phase"] != "DELETED"]
        return {"revision": self.revision, "complete": True, "members": members}

    def change(self, entry: dict[str, Any]) -> None:
        """Adds or changes an entry."""
        with self._condition:
            self.revision += 1
            self.members[entry["id"]] = entry
            self._changed_at[entry["id"]] = self.revision
            self.record(f"registry: revision {self.revision}: {entry['id']} is {entry['phase']}")
            self._condition.notify_all()

    def _answer(self, target: str) -> dict[str, Any]:
        query = dict(p.split("=") for p in target.partition("?")[2].split("&") if "=" in p)
        with self._condition:
            if "after" not in query:
                return self.whole_list()
            after = int(query["after"])
            self._condition.wait_for(lambda: self.revision > after, int(query["wait_ms"]) / 1000)
            changed = [m for n, m in self.members.items() if self._changed_at[n] > after]
            return {"revision": self.revision, "complete": False, "members": changed}

    def serve(self, peer: Peer) -> None:
        """Answers the calls of one connection."""
        while (head := peer.receive_line(time.monotonic() + 600)) is not None:
            while peer.receive_line(time.monotonic() + 600):
                pass
            body = json.dumps(self._answer(head.split()[1].decode())).encode()
            headers = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            peer.send(headers + b"Content-Length: %d\r\n\r\n" % len(body) + body)


def settings(**obligations: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment; `obligations` replaces figures of the rules."""
    return {
        "az": "daejeon-1",
        "localities": ["daejeon-1"],
        "siblings": 1,
        "index": 0,
        "discovery": "ask",
        "tickUs": 5000,
        "family": "conn",
        "weightSource": "silent",
        "services": [
            {
                "name": name,
                "objectiveUs": objective_us,
                "deadlineUs": deadline_us,
                "effect": "idempotent",
                "group": "all",
                "gain": 1.0,
                "streaming": True,
                "repeatWindowUs": 5_000_000,
            }
            for name, (objective_us, deadline_us, _) in CLASSES.items()
        ],
        "familyInfo": {
            "messageAimUs": [aim for _, _, aim in CLASSES.values()],
            "groups": True,
            "mode": "proxy",
            "tellsLoad": False,
            "tellsDelay": False,
        },
        "limits": {
            "maxAttempts": 5,
            "connectTimeoutUs": 120_000,
            "retryAfter": True,
            "maxRetryAfterUs": 2_000_000,
            "peerMessages": False,
            "parallelTries": False,
            "cancel": True,
            "probes": True,
        },
        "obligations": {
            "drainGraceUs": 2_000_000,
            "coldFrom": 0.13,
            "coldUs": 24_000_000,
            "fallMultiple": 3.0,
            "fallUs": 3_000_000,
            "answerSlackUs": 20_000,
            "mustAskInUs": 10_000_000,
            **obligations,
        },
    }


class Node:
    """One process of the program, started with `run` of the deploy file."""

    def __init__(self, folder: Path, record: Record, config: dict[str, Any], label: str = "node") -> None:
        self.record, self.label, self.config = record, label, config
        self.listen, self.control = config["listen"], config.get("control", "")
        folder.mkdir(exist_ok=True)
        path = folder / f"{label}.json"
        path.write_text(json.dumps(config))
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "SAILRUN_"))}
        environment |= {"RELAY_CONFIG": str(path), "TMPDIR": str(folder), "RELAY_NAME": config["name"]}
        self.log_path = folder / f"{label}.log"
        with self.log_path.open("w") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def wait_ready(self, timeout_s: float = 30.0) -> None:
        """Waits until the node answers PING with PONG, or `check` with ok where it has a second address."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRunError(f"{self.label} ended: {self.log_path.read_text()[-500:]}")
            with contextlib.suppress(OSError):
                if self.control:
                    if self.call("check").startswith("ok"):
                        self.record(f"{self.label} is ready")
                        return
                else:
                    peer = connect(self.listen)
                    peer.send(b"PING\r\n")
                    answer = peer.receive_line(time.monotonic() + 1)
                    peer.close()
                    if answer == b"PONG":
                        self.record(f"{self.label} is ready")
                        return
            time.sleep(0.05)
        raise CannotRunError(f"{self.label} is not ready: {self.log_path.read_text()[-500:]}")

    def call(self, line: str) -> str:
        """Makes a call at the second address and returns the first line of the answer."""
        peer = connect(self.control)
        peer.send(line.encode() + b"\r\n")
        answer = peer.receive_line(time.monotonic() + 3)
        peer.close()
        return (answer or b"").decode()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.record(f"{number.name} to {self.label}")
        self.process.send_signal(number)

    def stop(self) -> None:
        """Kills the process."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def node_config(registry: Registry, **changes: Any) -> dict[str, Any]:
    """Returns the configuration of a node."""
    return {
        "name": "n1",
        "listen": free_address(),
        "discovery": registry.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": 4096},
        "peers": [],
        "known": registry.whole_list(),
        "settings": settings(),
        **changes,
    }


def open_line(id_: str, key: str = "7f3a9c21e0b4d655", cls: str = "page-load", **fields: object) -> bytes:
    """Returns the first line of a client."""
    deadline_ms = CLASSES[cls][1] // 1000
    values = {"c": cls, "d": deadline_ms, "g": key[::-1], **fields}
    return f"OPEN {id_} {key} {','.join(f'{n}={v}' for n, v in values.items())}\r\n".encode()


def main(play: Callable[[Record, Path, list[Node]], bool]) -> None:
    """Plays a case: `play` returns whether the rule held, and appends each node that it starts.

    The first argument of the command names the file of the record.
    """
    record, nodes = Record(Path(sys.argv[1])), list[Node]()
    code = COULD_NOT_RUN

    def give_up(reason: str) -> None:
        record(f"the case could not run: {reason}")
        for node in nodes:
            node.stop()
        os._exit(COULD_NOT_RUN)

    watchdog = threading.Timer(MAX_SECONDS, give_up, ["it took too long"])
    watchdog.daemon = True
    watchdog.start()
    signal.signal(signal.SIGTERM, lambda *_: give_up("it was told to end"))
    with tempfile.TemporaryDirectory() as scratch:
        try:
            code = HELD if play(record, Path(scratch), nodes) else BROKEN
        except Exception as error:  # whatever keeps the case from running is no broken rule
            record(f"the case could not run: {error!r}")
        finally:
            for node in nodes:
                node.stop()
                record(f"{node.label} exited with {node.process.returncode}; the end of its log:")
                for line in node.log_path.read_text().splitlines()[-12:]:
                    record(f"  {line[:300]}")
    record(f"{'with' if TROUBLE else 'without'} the disruption: exit code {code}")
    os._exit(code)
