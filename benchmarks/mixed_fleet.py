"""Processes of two versions of this program in one fleet on loopback, driven from outside.

A process gets its version by its working directory. Everything it is asked goes by the command line, by the
control address or by the platform's lines, and what it does is read from its log.
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
from tests.stand_ins import SETTINGS, FormServer, Roster, RunningNode, node
from tests.test_sharding_processes import free

COMMAND_TIMEOUT_S = 40.0
# What is waited for takes a few seconds; only a check that fails waits so long.
PATIENCE_S = 30.0
POLL_S = 0.05
LONGEST_SEEN = 900
# Log events that a node writes when what another version has written or sent is not usable.
NOT_READ = (
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
# It runs until the fleet has first leaders, and is then gone for good: a majority of the five voters is
# three, so that from then on no lease is granted by processes of one version alone.
FIFTH_VOTER = "n5"
TASKS = ("marks", "pace", "permits", "roster/daejeon-1")

Found = TypeVar("Found")


def wait_for(what: str, look: Callable[[], Found | None], patience_s: float = PATIENCE_S) -> Found:
    """Looks until something is found; raises AssertionError, naming what was waited for, if nothing is."""
    until = time.monotonic() + patience_s
    while not (found := look()):
        assert time.monotonic() < until, f"{what}: not within {patience_s:g} s"
        time.sleep(POLL_S)
    return found


@dataclass(frozen=True, slots=True)
class Version:
    """One of the two versions, by the tree it runs from."""

    label: str
    tree: Path

    def enter(self) -> None:
        """Makes the process that calls it, which is about to become a node, one of this version."""
        os.chdir(self.tree)

    def run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """A command of this version."""
        return subprocess.run(
            [sys.executable, "-m", "sailrun", *arguments],
            cwd=self.tree,
            env=environment_of(self.tree),
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )

    def printed(self, *arguments: str) -> str:
        """What a command prints that has to succeed."""
        done = self.run(*arguments)
        assert done.returncode == 0, f"{self.label}: {' '.join(arguments)}: {done.stdout}{done.stderr}"
        return done.stdout

    def package(self) -> Path:
        """Where this version's package is loaded from."""
        code = "import sailrun; print(sailrun.__file__)"
        done = subprocess.run(
            [sys.executable, "-c", code],
            cwd=self.tree,
            env=environment_of(self.tree),
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            check=True,
        )
        return Path(done.stdout.strip()).parent


@dataclass(frozen=True, slots=True)
class Versions:
    """The two versions that run together."""

    old: Version
    new: Version

    def both(self) -> tuple[Version, Version]:
        """The earlier one first."""
        return self.old, self.new

    def other(self, version: Version) -> Version:
        """The one that this one is not."""
        return self.new if version is self.old else self.old


class Report:
    """Carries checks out, and prints and counts how they end."""

    def __init__(self) -> None:
        self.outcomes: Counter[bool] = Counter()

    def check(self, name: str, look: Callable[[], str]) -> bool:
        """Prints what `look` has seen, or why it failed: it raises an exception of any kind."""
        try:
            is_ok, seen = True, look()
        except Exception as error:  # whatever it was, the other checks go on
            is_ok, seen = False, f"{type(error).__name__}: {error}"[:LONGEST_SEEN]
        self.outcomes[is_ok] += 1
        print(f"{'ok    ' if is_ok else 'FAILED'} {name}: {' '.join(seen.split())}", flush=True)
        return is_ok

    def conclude(self) -> int:
        """Prints the totals; returns the exit status."""
        held, failed = self.outcomes[True], self.outcomes[False]
        print(f"mixed versions: {held + failed} checks, {held} ok, {failed} FAILED")
        return 1 if failed or not held else 0


# --------------------------------------------------------------------------- the fleet


def _show_views(task: str, views: dict[str, dict[str, dict[str, Any]]]) -> str:
    """Whom each node names as the leader of a task, in which term, and whether it holds that itself."""
    rows = {name: view.get(task, {}) for name, view in views.items()}
    seen = [
        f"{name} names {row.get('holder')} term {row.get('term')}{' and holds' if row.get('held') else ''}"
        for name, row in rows.items()
    ]
    return ", ".join(seen)


@dataclass(slots=True)
class Member:
    """A running node, and what another process of its own name needs."""

    name: str
    version: Version
    folder: Path
    listen: str
    running: RunningNode

    @property
    def shown(self) -> str:
        """As the checks name it."""
        return f"{self.name} ({self.version.label})"


class MixedFleet:
    """Four nodes, of which two are of either version, each with a folder of its own, with all tables of an
    operator's file switched on that need no region.
    """

    def __init__(
        self, versions: Versions, folder: Path, servers: Iterable[FormServer], stack: ExitStack
    ) -> None:
        self.versions = versions
        self.roster = Roster([server.entry() for server in servers])
        self.members: dict[str, Member] = {}
        self.lives: Counter[str] = Counter()  # processes started so far, by name
        self._folder, self._stack = folder, stack
        self._listens = {name: free() for name in (*NAMES, FIFTH_VOTER)}
        self._peer_listens = {name: free() for name in NAMES}
        self.relay = DatagramRelay(list(self._peer_listens.values()))
        stack.callback(self.relay.close)
        for index, name in enumerate(NAMES):
            self.start(name, versions.both()[index % 2])
        self._found_terms()

    def _found_terms(self) -> None:
        """Waits for first leaders, which need every voter once, and ends the fifth."""
        self.start(FIFTH_VOTER, self.versions.new)
        self.leaders()
        self.end(FIFTH_VOTER, signal.SIGKILL)
        del self.members[FIFTH_VOTER]

    # ------------------------------------------------------------------ processes

    def kept(self, name: str) -> Path:
        """The folder that outlasts the node's processes."""
        return self._folder / f"{name}-kept"

    def start(self, name: str, version: Version) -> Member:
        """Starts a process that shares nothing with an earlier one but its name and its kept folder."""
        folder = self._folder / f"{name}-{time.monotonic_ns()}"
        folder.mkdir()
        return self._launch(name, version, folder, free())

    def replace(self, name: str, version: Version) -> Member:
        """Starts a process beside the one that runs, which it succeeds."""
        member = self.members[name]
        return self._launch(name, version, member.folder, member.listen)

    def _launch(self, name: str, version: Version, folder: Path, listen: str) -> Member:
        operator = folder / "operator.toml"
        operator.write_text(tomli_w.dumps(self._tables(name)))
        exchange = self._exchange_of(NAMES.index(name)) if name in NAMES else {}
        addresses = {"listen": listen, "control": free()}
        started = node(folder, self.roster, version.enter, operator, name=name, **addresses, **exchange)
        running = self._stack.enter_context(started)
        self.lives[name] += 1
        self.members[name] = Member(name, version, folder, listen, running)
        return self.members[name]

    def _exchange_of(self, index: int) -> dict[str, Any]:
        """What the platform tells a node of the others with which it exchanges load."""
        return {
            "peer_listen": self._peer_listens[NAMES[index]],
            "peers": self.relay.peers_of(index),
            "peers_all": self.relay.everyone_of(index),
            "settings": {**SETTINGS, "siblings": len(NAMES), "index": index},
        }

    def _tables(self, name: str) -> dict[str, Any]:
        joins = [listen for other, listen in self._listens.items() if other != name]
        return {
            "members": {
                "enabled": True,
                "name": name,
                "listen": self._listens[name],
                "join": joins,
                "probe_s": 0.3,
            },
            "owners": {
                "enabled": True,
                "voters": list(self._listens),
                "lease_s": 1.0,
                "order_s": 0.5,
            },
            "permits": {"enabled": True, "drains": 1, "out": 2, "lease_s": 3.0},
            "reader": {"enabled": True},
            "replica": {"enabled": True, "sync_s": 0.2, "stale_s": 5.0},
            "rebalance": {"enabled": True, "tell_s": 0.5},
            "lasting": {"folder": str(self.kept(name)), "idle_sync_s": 0.2},
        }

    def end(self, name: str, number: signal.Signals) -> None:
        """Ends a node's process, and waits until it has ended."""
        process = self.members[name].running.process
        process.send_signal(number)
        process.wait(PATIENCE_S)

    # ------------------------------------------------------------------ what is asked of it

    def living(self) -> list[Member]:
        """The nodes whose process runs."""
        return [member for member in self.members.values() if member.running.process.poll() is None]

    def one_of(self, version: Version) -> Member:
        """The first living node of a version."""
        return next(member for member in self.living() if member.version is version)

    def ask(self, name: str, what: str) -> Any:
        """A call at the node's control address, answered with JSON."""
        answer = self.members[name].running.call(f"fleet {what}")
        assert answer.startswith("ok "), f"{name}: {what}: {answer}"
        return json.loads(answer.removeprefix("ok "))

    def command(self, version: Version, at: Member, *words: str) -> str:
        """What a version's `sailrun fleet` prints, asked at a node."""
        return version.printed("fleet", *words, "--at", at.running.control).strip()

    def alive_in(self, name: str) -> set[str]:
        """Who is alive as this node sees it."""
        return {row["name"] for row in self.ask(name, "members") if row["state"] == "alive"}

    def await_members(self) -> None:
        """Waits until every living node sees just the living ones alive."""
        living = {member.name for member in self.living()}
        wait_for(
            f"all of {', '.join(sorted(living))} see each other alive",
            lambda: all(self.alive_in(name) == living for name in living),
        )

    def leaders(self) -> dict[str, tuple[str, int]]:
        """The leader and the term of each task, once one living node alone holds the task, and none knows of
        a higher term. Whom the others name, and in which term, are hints that may come late.
        """
        try:
            return wait_for("one leader for each task", self._agreed_leaders)
        except AssertionError as error:
            views = {m.name: self._leases_seen_by(m.name) for m in self.living()}
            shown = "; ".join(f"{task}: {_show_views(task, views)}" for task in TASKS)
            raise AssertionError(f"{error}; {shown}") from None

    def _leases_seen_by(self, name: str) -> dict[str, dict[str, Any]]:
        return {row["task"]: row for row in self.ask(name, "owners")}

    def _agreed_leaders(self) -> dict[str, tuple[str, int]] | None:
        views = {member.name: self._leases_seen_by(member.name) for member in self.living()}
        agreed = {}
        for task in TASKS:
            rows = {name: view[task] for name, view in views.items() if task in view}
            held = [name for name, row in rows.items() if row["held"]]
            highest = max((int(row["term"]) for row in rows.values()), default=0)
            if len(held) != 1 or rows[held[0]]["term"] != highest:
                return None
            agreed[task] = held[0], highest
        return agreed

    def show_leaders(self) -> str:
        """For each task its leader, with version and term."""
        return ", ".join(
            f"{task} {self.members[name].shown} term {term}" for task, (name, term) in self.leaders().items()
        )

    def has_one_digest(self) -> bool:
        """Whether the copies of all living nodes are the same, by their digests."""
        return len({self.ask(member.name, "state")["digest"] for member in self.living()}) == 1

    def miscounted(self) -> list[str]:
        """Messages that living nodes could not read, or took for another fleet's."""
        counts = {member.shown: self.ask(member.name, "counts") for member in self.living()}
        return [
            f"{shown}: {count[what]} {what}"
            for shown, count in counts.items()
            for what in ("bad_messages", "wrong_fleet")
            if count[what]
        ]

    def logged(self) -> list[str]:
        """The log lines of all present processes, each with the node that wrote it."""
        return [f"{m.shown}: {line}" for m in self.members.values() for line in m.running.lines]


def refused_in(lines: Iterable[str]) -> list[str]:
    """The log lines that say that something was not usable."""
    return [line for line in lines if any(word in line for word in NOT_READ)]


def all_read(lines: list[str]) -> str:
    """That no log line says that something was not usable."""
    assert not lines, "; ".join(lines[:3])
    return "nothing refused in the logs"


def see_counts(fleet: MixedFleet) -> str:
    """No node has met a message that it could not read."""
    miscounted = fleet.miscounted()
    assert not miscounted, ", ".join(miscounted)
    return all_read(refused_in(fleet.logged()))
