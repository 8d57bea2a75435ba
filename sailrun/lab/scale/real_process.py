"""Runs real processes of the program beside the hollow nodes: `sailrun serve` with an operator's file."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import msgspec
import tomli_w
from anyio.abc import Process
from anyio.streams.buffered import BufferedByteReceiveStream

from sailrun.control.cli import ANSWER_TIMEOUT_S
from sailrun.lab.faults.relays import Address
from sailrun.lab.faults.rig import FORM_SERVERS, MAX_LINE_BYTES, RosterStandIn, free_address
from sailrun.lab.scale.hollow_host import rss_mb
from sailrun.lab.scale.hollow_node import names_crc, roster_revision
from sailrun.lab.scale.host_messages import Look, NodeReport
from sailrun.lab.scale.plan import Place, ScalePlan
from sailrun.lab.settings import WorldSettings
from sailrun.leadership.agent import AgentSettings
from sailrun.leadership.clock import boot_us
from sailrun.leadership.traffic_counters import TrafficCounters

STREAM_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)
OWNERSHIP_ACTS = ("hold", "lost")
_LIVING = ("alive", "suspect")


class SteadyRoster(RosterStandIn):
    """A registry that changes the revision of its endpoint list every `ROSTER_CHANGE_INTERVAL_S`.

    Hollow list readers report the same revisions.
    """

    def __init__(self, began_us: int) -> None:
        super().__init__()
        self._began_us = began_us

    async def _change_periodically(self) -> None:
        while True:
            self.revision = roster_revision(self._began_us, boot_us())
            await anyio.sleep(1.0)


@dataclass(frozen=True, slots=True)
class ProcessFiles:
    """The paths of the platform's file and the operator's file."""

    config: Path
    operator: Path


class RealProcess:
    """One place for a real process; each call of `run` is one process lifetime."""

    def __init__(self, place: Place, row: Callable[..., None]) -> None:
        """`row` is called for every event of the process and its tasks: kind, node, at_us, facts."""
        self.place, self._row = place, row
        self.listen, self.control = free_address(), free_address()
        self.start_count = 0
        self.process: Process | None = None
        self.is_ending = False  # the run has sent it a signal to end

    async def run(self, files: ProcessFiles) -> None:
        """Runs the process from its start to its end. Kills it if this call is cancelled."""
        self.start_count, self.is_ending = self.start_count + 1, False
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "SAILRUN_"))}
        command = [sys.executable, "-m", "sailrun", "serve"]
        process = self.process = await anyio.open_process(
            [*command, "--config", str(files.config), "--operator", str(files.operator)],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            env={**environment, "TMPDIR": str(files.config.parent)},
        )
        self._row("started", self.place.name, boot_us(), life=self.start_count)
        try:
            assert process.stderr is not None
            lines = BufferedByteReceiveStream(process.stderr)
            with suppress(*STREAM_ERRORS, anyio.IncompleteRead, anyio.DelimiterNotFound):
                while True:
                    self._on_log_line(
                        (await lines.receive_until(b"\n", MAX_LINE_BYTES)).decode("utf-8", "replace")
                    )
            await process.wait()
        finally:
            if process.returncode is None:
                process.kill()
            with anyio.CancelScope(shield=True):
                await process.aclose()
            self.process = None
            self._row("died", self.place.name, boot_us(), code=process.returncode)

    def _on_log_line(self, line: str) -> None:
        """Records the ownership event of a log line `TIME act kind=hold at_us=... task=... left_us=...`.

        Other lines are ignored. `at_us` is a time of the monotonic clock, `left_us` the rest of the lease.
        """
        _, _, rest = line.strip().partition(" ")
        what, *fields = rest.split(" ")
        facts: dict[str, Any] = dict(field.split("=", 1) for field in fields if "=" in field)
        if what != "act" or facts.get("kind") not in OWNERSHIP_ACTS:
            return
        at_us = int(facts["at_us"]) + _boot_offset_us()
        if facts["kind"] == "lost":
            self._row("lost", self.place.name, at_us, task=facts["task"], term=int(facts["term"]))
            return
        until_us = at_us + int(facts["left_us"])
        task, term = facts["task"], int(facts["term"])
        self._row("hold", self.place.name, at_us, task=task, term=term, until_us=until_us)

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs. SIGKILL and SIGTERM mark it as ending."""
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.is_ending = True
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)

    # ------------------------------------------------------------------ inspection

    async def report(self) -> NodeReport | None:
        """Returns None if the process does not run or does not answer."""
        counts = await self._query("fleet counts")
        process = self.process
        if counts is None or process is None:
            return None
        try:
            cpu_s, memory = process_cpu_s(process.pid), rss_mb(process.pid)
        except OSError:
            return None
        keys = ("messages_in", "messages_out", "bytes_in", "bytes_out")
        traffic = TrafficCounters(*(counts[key] for key in keys))
        report = NodeReport(self.place.name, self.start_count, traffic, cpu_s, [], False, memory)
        shards_answer = await self._query("fleet shards")
        report.shards = len(shards_answer["usable"]) if shards_answer is not None else 0
        return report

    async def knows(self, expected_members: Look) -> bool:
        """Returns whether the process knows exactly the members that the command describes, by name."""
        members = await self._query("fleet members")
        if members is None:
            return False
        names = sorted(m["name"] for m in members if m["state"] in _LIVING)
        return len(names) == expected_members.count and names_crc(names) == expected_members.names_crc

    async def _query(self, line: str) -> Any:
        """Returns the JSON answer to a line on the control address, or None if there is no `ok` answer."""
        answer = b""
        with anyio.move_on_after(ANSWER_TIMEOUT_S), suppress(*STREAM_ERRORS):
            async with await anyio.connect_tcp(*self.control) as stream:
                await stream.send(f"{line}\r\n".encode())
                while True:
                    answer += await stream.receive()
        text = answer.decode("utf-8", "replace").strip()
        return json.loads(text.removeprefix("ok ")) if text.startswith("ok ") else None


def process_cpu_s(pid: int) -> float:
    """Returns the processor time of a process so far. Raises OSError if the process does not exist."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def write_files(
    folder: Path, process: RealProcess, plan: ScalePlan, agent_settings: AgentSettings, roster: RosterStandIn
) -> ProcessFiles:
    """Writes the platform's file and the operator's file of one process."""
    place = process.place
    settings = WorldSettings(nodes=plan.total, form_servers=FORM_SERVERS).node_settings(place.index)
    settings["az"] = place.zone
    config = {
        "name": place.name,
        "listen": _address_text(process.listen),
        "control": _address_text(process.control),
        "discovery": _address_text(roster.address),
        "seed": f"{plan.seed * 10_000 + place.index:x}",
        "peers": [],
        "known": roster.list_document(),
        "settings": settings,
    }
    tables: dict[str, Any] = {
        "members": msgspec.to_builtins(agent_settings.membership),
        "owners": {**msgspec.to_builtins(agent_settings.leadership), "record": True},
        "permits": msgspec.to_builtins(agent_settings.permits),
        "reader": msgspec.to_builtins(agent_settings.list_reader),
        "replica": msgspec.to_builtins(agent_settings.replication),
        "shards": msgspec.to_builtins(agent_settings.sharding),
        "rebalance": {"enabled": agent_settings.shares_move_rate},
    }
    files = ProcessFiles(folder / f"{place.name}.json", folder / f"{place.name}.toml")
    files.config.write_text(json.dumps(config))
    files.operator.write_text(tomli_w.dumps(tables))
    return files


def _address_text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def _boot_offset_us() -> int:
    """Returns the offset from the monotonic clock of the log lines to the clock of leases.

    It is the time that the machine was suspended.
    """
    return boot_us() - time.monotonic_ns() // 1000
