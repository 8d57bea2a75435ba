"""Runs processes of two versions of this program in one fleet on loopback.

The working directory of a process decides its version. Processes are controlled only through the command
line, the control address and the platform's line protocol, and are observed through these and their logs.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterable
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import tomli_w

from benchmarks.datagram_relay import DatagramRelay
from benchmarks.same_behaviour import environment_of
from tests.stand_ins import SETTINGS, FormServer, RegistryStandIn, RunningNode, node
from tests.test_sharding_processes import free

COMMAND_TIMEOUT_S = 40.0
# Conditions are expected within a few seconds; only a failing check waits this long.
WAIT_TIMEOUT_S = 30.0
POLL_S = 0.05
MAX_RESULT_CHARACTERS = 900
# Words in the log events that a node writes when it cannot use data that another version has written or sent.
REJECTION_WORDS = (
    "bad-frame",
    "datagram-rejected",
    "passage-dropped",
    "predecessor-silent",
    "session-not-taken",
    "reader-list-refused",
    "shards-settings-differ",
    "untrusted",
    "doubtful",
    "lasting-failed",
)
SERVER_NAMES = ("s-5be2a07c", "s-00000002", "s-00000003")
NAMES = ("n1", "n2", "n3", "n4")
# The fifth voter runs only until the fleet has its first leaders. A majority of the five voters is three, so
# that afterwards the two nodes of one version alone cannot grant a lease.
FIFTH_VOTER = "n5"
# The tasks for which this fleet elects leaders. The one that reads the server lists is named after the zone
# in `SETTINGS`.
TASKS = ("marks", "pace", "permits", "roster/daejeon-1")

Value = TypeVar("Value")


def wait_for(
    description: str, condition: Callable[[], Value | None], timeout_s: float = WAIT_TIMEOUT_S
) -> Value:
    """Polls a condition and returns its first true value. Raises AssertionError with the description on
    timeout.
    """
    deadline_s = time.monotonic() + timeout_s
    while not (value := condition()):
        assert time.monotonic() < deadline_s, f"{description}: not within {timeout_s:g} s"
        time.sleep(POLL_S)
    return value


@dataclass(frozen=True, slots=True)
class Version:
    """One of the two versions, with the tree that it runs from."""

    label: str
    tree: Path

    def change_to_tree(self) -> None:
        """Changes the working directory of the calling process, which is about to run a node, to this
        version's tree.
        """
        os.chdir(self.tree)

    def run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Runs a command of this version."""
        return subprocess.run(
            [sys.executable, "-m", "sailrun", *arguments],
            cwd=self.tree,
            env=environment_of(self.tree),
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )

    def output_of(self, *arguments: str) -> str:
        """Runs a command that must succeed, and returns its output."""
        completed = self.run(*arguments)
        assert completed.returncode == 0, (
            f"{self.label}: {' '.join(arguments)}: {completed.stdout}{completed.stderr}"
        )
        return completed.stdout

    def package_folder(self) -> Path:
        """Returns the folder that this version's package is loaded from."""
        code = "import sailrun; print(sailrun.__file__)"
        completed = subprocess.run(
            [sys.executable, "-c", code],
            cwd=self.tree,
            env=environment_of(self.tree),
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            check=True,
        )
        return Path(completed.stdout.strip()).parent


@dataclass(frozen=True, slots=True)
class Versions:
    """The two versions that run together."""

    old: Version
    new: Version

    def both(self) -> tuple[Version, Version]:
        """Returns both versions, the earlier one first."""
        return self.old, self.new

    def other(self, version: Version) -> Version:
        """Returns the other one of the two versions."""
        return self.new if version is self.old else self.old


class Report:
    """Runs checks, and prints and counts their results."""

    def __init__(self) -> None:
        self.outcomes: Counter[bool] = Counter()

    def check(self, name: str, run_check: Callable[[], str]) -> bool:
        """Runs one check, which returns the text of its result, or fails by raising any exception; prints
        either.
        """
        try:
            is_ok, result = True, run_check()
        except Exception as error:  # the remaining checks run in any case
            is_ok, result = False, f"{type(error).__name__}: {error}"[:MAX_RESULT_CHARACTERS]
        self.outcomes[is_ok] += 1
        print(f"{'ok    ' if is_ok else 'FAILED'} {name}: {' '.join(result.split())}", flush=True)
        return is_ok

    def conclude(self) -> int:
        """Prints the totals; returns the exit status."""
        succeeded, failed = self.outcomes[True], self.outcomes[False]
        print(f"mixed versions: {succeeded + failed} checks, {succeeded} ok, {failed} FAILED")
        return 1 if failed or not succeeded else 0


# --------------------------------------------------------------------------- the fleet


def _format_views(task: str, views: dict[str, dict[str, dict[str, Any]]]) -> str:
    """Formats the leader and term of a task as each node knows them, and which node leads the task."""
    rows = {name: view.get(task, {}) for name, view in views.items()}
    parts = [
        f"{name} reports leader {row.get('holder')} in term {row.get('term')}"
        f"{', and leads' if row.get('held') else ''}"
        for name, row in rows.items()
    ]
    return ", ".join(parts)


@dataclass(slots=True)
class Member:
    """A running node, with the folder and address that another process of the same name needs."""

    name: str
    version: Version
    folder: Path
    listen: str
    running: RunningNode

    @property
    def label(self) -> str:
        """The name of the node in the output of the checks."""
        return f"{self.name} ({self.version.label})"


class MixedFleet:
    """Four nodes, two of each version. Each has its own storage folder, and all tables of the operator's
    settings that do not need a region are enabled.
    """

    def __init__(
        self, versions: Versions, folder: Path, servers: Iterable[FormServer], stack: ExitStack
    ) -> None:
        self.versions = versions
        self.roster = RegistryStandIn([server.entry() for server in servers])
        self.members: dict[str, Member] = {}
        self.started_count: Counter[str] = Counter()  # number of processes started so far, by node name
        self._folder, self._stack = folder, stack
        self._listen_addresses = {name: free() for name in (*NAMES, FIFTH_VOTER)}
        self._peer_addresses = {name: free() for name in NAMES}
        self.relay = DatagramRelay(list(self._peer_addresses.values()))
        stack.callback(self.relay.close)
        for index, name in enumerate(NAMES):
            self.start(name, versions.both()[index % 2])
        self._elect_first_leaders()

    def _elect_first_leaders(self) -> None:
        """Waits for the first leaders, and ends the fifth voter. While no voter remembers any grant, a voter
        grants the first lease only after all voters have reported their terms, or after a longer wait.
        """
        self.start(FIFTH_VOTER, self.versions.new)
        self.leaders()
        self.end(FIFTH_VOTER, signal.SIGKILL)
        del self.members[FIFTH_VOTER]

    # ------------------------------------------------------------------ processes

    def storage_folder(self, name: str) -> Path:
        """Returns the storage folder of a node, which successive processes of the node share."""
        return self._folder / f"{name}-kept"

    def start(self, name: str, version: Version) -> Member:
        """Starts a process with a new configuration folder and a new client address, so that it is no
        successor of an earlier process of this node. It has the storage folder of the earlier one.
        """
        folder = self._folder / f"{name}-{time.monotonic_ns()}"
        folder.mkdir()
        return self._launch(name, version, folder, free())

    def replace(self, name: str, version: Version) -> Member:
        """Starts a successor beside the running process, with its folder and client address; the caller ends
        the predecessor.
        """
        member = self.members[name]
        return self._launch(name, version, member.folder, member.listen)

    def _launch(self, name: str, version: Version, folder: Path, listen: str) -> Member:
        operator = folder / "operator.toml"
        operator.write_text(tomli_w.dumps(self._tables(name)))
        load_exchange = self._load_exchange_settings(NAMES.index(name)) if name in NAMES else {}
        addresses = {"listen": listen, "control": free()}
        started = node(
            folder, self.roster, version.change_to_tree, operator, name=name, **addresses, **load_exchange
        )
        running = self._stack.enter_context(started)
        self.started_count[name] += 1
        self.members[name] = Member(name, version, folder, listen, running)
        return self.members[name]

    def _load_exchange_settings(self, index: int) -> dict[str, Any]:
        """Returns the platform's settings for the exchange of load datagrams: the node's own address and
        those of the other nodes at the relay.
        """
        return {
            "peer_listen": self._peer_addresses[NAMES[index]],
            "peers": self.relay.peer_addresses_of(index),
            "peers_all": self.relay.broadcast_address_of(index),
            "settings": {**SETTINGS, "siblings": len(NAMES), "index": index},
        }

    def _tables(self, name: str) -> dict[str, Any]:
        join_addresses = [listen for other, listen in self._listen_addresses.items() if other != name]
        return {
            "members": {
                "enabled": True,
                "name": name,
                "listen": self._listen_addresses[name],
                "join": join_addresses,
                "probe_s": 0.3,
            },
            "owners": {
                "enabled": True,
                "voters": list(self._listen_addresses),
                "lease_s": 1.0,
                "order_s": 0.5,
            },
            "permits": {"enabled": True, "drains": 1, "out": 2, "lease_s": 3.0},
            "reader": {"enabled": True},
            "replica": {"enabled": True, "sync_s": 0.2, "stale_s": 5.0},
            "rebalance": {"enabled": True, "tell_s": 0.5},
            "lasting": {"folder": str(self.storage_folder(name)), "idle_sync_s": 0.2},
        }

    def end(self, name: str, signal_number: signal.Signals) -> None:
        """Sends a signal to a node's process and waits until the process has ended."""
        process = self.members[name].running.process
        process.send_signal(signal_number)
        process.wait(WAIT_TIMEOUT_S)

    # ------------------------------------------------------------------ queries

    def running_members(self) -> list[Member]:
        """Returns the nodes whose process is running."""
        return [member for member in self.members.values() if member.running.process.poll() is None]

    def first_of(self, version: Version) -> Member:
        """Returns the first running node of a version."""
        return next(member for member in self.running_members() if member.version is version)

    def query(self, name: str, query: str) -> Any:
        """Sends a `fleet` command to a node's control address and returns the decoded JSON answer."""
        answer = self.members[name].running.call(f"fleet {query}")
        assert answer.startswith("ok "), f"{name}: {query}: {answer}"
        return json.loads(answer.removeprefix("ok "))

    def command(self, version: Version, at: Member, *arguments: str) -> str:
        """Runs `sailrun fleet` of a version against a node and returns its output."""
        return version.output_of("fleet", *arguments, "--at", at.running.control).strip()

    def alive_members_of(self, name: str) -> set[str]:
        """Returns the names of the members that this node sees alive."""
        return {row["name"] for row in self.query(name, "members") if row["state"] == "alive"}

    def await_members(self) -> None:
        """Waits until every running node sees exactly the running nodes alive."""
        running_names = {member.name for member in self.running_members()}
        wait_for(
            f"all of {', '.join(sorted(running_names))} see each other alive",
            lambda: all(self.alive_members_of(name) == running_names for name in running_names),
        )

    def leaders(self) -> dict[str, tuple[str, int]]:
        """Waits until exactly one running node leads each task and no node knows a higher term, and returns
        the leader and term of each task. The leaders and terms that other nodes report are hints that can be
        out of date.
        """
        try:
            return wait_for("one leader for each task", self._agreed_leaders)
        except AssertionError as error:
            views = {m.name: self._leases_known_to(m.name) for m in self.running_members()}
            details = "; ".join(f"{task}: {_format_views(task, views)}" for task in TASKS)
            raise AssertionError(f"{error}; {details}") from None

    def _leases_known_to(self, name: str) -> dict[str, dict[str, Any]]:
        return {row["task"]: row for row in self.query(name, "owners")}

    def _agreed_leaders(self) -> dict[str, tuple[str, int]] | None:
        views = {member.name: self._leases_known_to(member.name) for member in self.running_members()}
        agreed = {}
        for task in TASKS:
            rows = {name: view[task] for name, view in views.items() if task in view}
            held = [name for name, row in rows.items() if row["held"]]
            highest_term = max((int(row["term"]) for row in rows.values()), default=0)
            if len(held) != 1 or rows[held[0]]["term"] != highest_term:
                return None
            agreed[task] = held[0], highest_term
        return agreed

    def format_leaders(self) -> str:
        """Formats the leader of each task with its version and term."""
        return ", ".join(
            f"{task} {self.members[name].label} term {term}" for task, (name, term) in self.leaders().items()
        )

    def has_one_digest(self) -> bool:
        """Whether the replicas of all running nodes have the same digest."""
        return len({self.query(member.name, "state")["digest"] for member in self.running_members()}) == 1

    def rejected_counts(self) -> list[str]:
        """Lists the nonzero counts of messages that running nodes could not read, and of those that they
        attributed to another fleet.
        """
        counts = {member.label: self.query(member.name, "counts") for member in self.running_members()}
        return [
            f"{label}: {count[what]} {what}"
            for label, count in counts.items()
            for what in ("bad_messages", "wrong_fleet")
            if count[what]
        ]

    def log_lines(self) -> list[str]:
        """Returns the log lines of the latest process of each node, with the node's label."""
        return [f"{m.label}: {line}" for m in self.members.values() for line in m.running.lines]


def rejection_lines(lines: Iterable[str]) -> list[str]:
    """Returns the log lines that report unusable data."""
    return [line for line in lines if any(word in line for word in REJECTION_WORDS)]


def check_no_rejections(rejections: list[str]) -> str:
    """Raises AssertionError if the result of `rejection_lines` is not empty."""
    assert not rejections, "; ".join(rejections[:3])
    return "no log line reports unusable data"


def check_counts(fleet: MixedFleet) -> str:
    """Checks the message counts of all running nodes, and that no log line reports unusable data."""
    rejected_counts = fleet.rejected_counts()
    assert not rejected_counts, ", ".join(rejected_counts)
    return check_no_rejections(rejection_lines(fleet.log_lines()))
