"""Runs all processes of a scale run in real time: hosts with hollow nodes, and real processes."""

from __future__ import annotations

import random
import signal
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup

from sailrun.lab.faults.history import Row
from sailrun.lab.scale.faults import (
    Action,
    ContinueHost,
    ContinueNodes,
    CutRegions,
    HealRegions,
    KillHost,
    KillNodes,
    LeaveNodes,
    SilenceNodes,
    StartHost,
    StartNodes,
    StopHost,
    StopNodes,
)
from sailrun.lab.scale.hollow_node import names_crc
from sailrun.lab.scale.host_messages import (
    Command,
    Cut,
    End,
    Heal,
    HostReport,
    Kill,
    Leave,
    Look,
    Looked,
    NodeReport,
    Report,
    Setup,
    Silence,
    Start,
)
from sailrun.lab.scale.host_process import HostProcess
from sailrun.lab.scale.plan import PORT, ScalePlan, place_nodes
from sailrun.lab.scale.real_process import RealProcess, SteadyRoster, write_files
from sailrun.lab.scale.roles import NodeUse, use_between
from sailrun.lab.scale.settings import node_settings
from sailrun.leadership.clock import boot_us
from sailrun.leadership.traffic_counters import TrafficCounters

# Blocks of loopback addresses, by their second octet, that a run may take.
BLOCKS = range(16, 240)
# The time that all hosts together have for ending after the `end` command, before they are killed.
END_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class HostSample:
    """A host's report, its time of arrival (monotonic seconds), the host's start number, and the memory and
    processor time that the host used without nodes.
    """

    at_s: float
    life: int
    base_mb: float
    base_cpu_s: float
    report: HostReport


@dataclass(frozen=True, slots=True)
class Sample:
    """The reports of all hosts and real processes that answered.

    `real`: by name, with the time of arrival (monotonic seconds).
    """

    hosts: dict[int, HostSample]
    real: dict[str, tuple[float, NodeReport]]

    def blocked_messages(self) -> int:
        """Returns the number of messages that cuts and silences blocked since the answering hosts started."""
        return sum(host.report.stopped for host in self.hosts.values())

    def reports(self) -> list[NodeReport]:
        """Returns the reports of all nodes."""
        hollow = [report for host in self.hosts.values() for report in host.report.nodes]
        return hollow + [report for _, report in self.real.values()]

    def memory_mb(self) -> float:
        hosts_mb = sum(host.report.rss_mb for host in self.hosts.values())
        return hosts_mb + sum(report.rss_mb for _, report in self.real.values())


def uses_between(before: Sample, after: Sample) -> list[NodeUse]:
    """Returns the use of the nodes that ran from the first sample to the second without a restart."""
    uses = []
    for number, end in after.hosts.items():
        begin = before.hosts.get(number)
        if begin is None or begin.life != end.life or not end.report.nodes:
            continue
        seconds, nodes = end.at_s - begin.at_s, len(end.report.nodes)
        memory_mb = (end.report.rss_mb - end.base_mb) / nodes
        earlier = {(report.name, report.life): report for report in begin.report.nodes}
        same_start = [(earlier[r.name, r.life], r) for r in end.report.nodes if (r.name, r.life) in earlier]
        spent_s = end.report.cpu_s - begin.report.cpu_s
        agents_s = sum(report.cpu_s - earlier_report.cpu_s for earlier_report, report in same_start)
        for earlier_report, report in same_start:
            # A node's part of the process time equals its part of the time of all agents.
            share = (report.cpu_s - earlier_report.cpu_s) / agents_s if agents_s else 0.0
            uses.append(use_between(earlier_report, report, seconds, spent_s * share / seconds, memory_mb))
    for name, (end_s, report) in after.real.items():
        if name not in before.real:
            continue
        begin_s, first = before.real[name]
        if first.life == report.life:
            seconds = end_s - begin_s
            cpu = (report.cpu_s - first.cpu_s) / seconds
            uses.append(use_between(first, report, seconds, cpu, report.rss_mb, is_real=True))
    return uses


class SocketFleet:
    def __init__(self, plan: ScalePlan, block: int, folder: Path, group: TaskGroup) -> None:
        self.plan, self._block, self._folder, self._group = plan, block, folder, group
        self.begin_us = boot_us()
        self.places = place_nodes(plan, block)
        self.rows: list[Row] = []
        self.late_ms: dict[str, list[float]] = {}
        self.hosts = [HostProcess(number, folder, group, self.rows.append) for number in range(plan.hosts)]
        self.real = {p.name: RealProcess(p, self.record) for p in self.places if p.real}
        self._roster_us = self.begin_us
        self._roster = SteadyRoster(self._roster_us)
        self._numbers: dict[str, int] = {}  # the number of each node's latest start
        self._running: set[str] = set()
        self._stopped: set[str] = set()  # by SIGSTOP
        self._is_ending = False
        self.ended: list[str] = []  # once the run is over: processes that ended by themselves
        self._real_ended: list[str] = []

    def record(self, kind: str, node: str, at_us: int, **facts: Any) -> None:
        self.rows.append({"at_us": at_us, "node": node, "kind": kind, **facts})

    # ------------------------------------------------------------------ begin and end

    async def open(self) -> None:
        """Starts the registry and the hosts, without nodes."""
        await self._roster.open(self._group)
        async with anyio.create_task_group() as starting:
            for host in self.hosts:
                starting.start_soon(host.start, self._setup(host.number))

    def _setup(self, host: int) -> Setup:
        source = "{}:{}".format(*self._roster.address)
        return Setup(self.plan, host, self._block, self._roster_us, source)

    async def start_all(self, known: bool) -> None:
        """Starts all nodes without waiting for any of them."""
        for host in self.hosts:
            await self._start_hollow(host, self._names_of(host), known)
        for name in self.real:
            self._start_real(name)

    def _names_of(self, host: HostProcess) -> list[str]:
        return [place.name for place in self.places if place.host == host.number]

    async def _start_hollow(self, host: HostProcess, names: list[str], known: bool = False) -> None:
        for name in names:
            self._numbers[name] = self._numbers.get(name, 0) + 1
        self._running.update(names)
        await host.send_command(Start({name: self._numbers[name] for name in names}, known))

    def _start_real(self, name: str) -> None:
        self._running.add(name)
        self._group.start_soon(self._run_real, self.real[name])

    async def _run_real(self, process: RealProcess) -> None:
        agent_settings = node_settings(self.plan, self.places, process.place)
        await process.run(write_files(self._folder, process, self.plan, agent_settings, self._roster))
        if not process.is_ending and not self._is_ending:
            self._real_ended.append(process.place.name)

    async def end(self) -> None:
        """Ends every process that was started, and waits until each has ended."""
        self.ended += self.ended_by_itself()
        self._is_ending = True
        for host in self.hosts:
            host.is_ending = True
            if host.stopped:
                host.resume()
            await host.send_command(End())
        for process in self.real.values():
            process.send_signal(signal.SIGKILL)
        with anyio.move_on_after(END_TIMEOUT_S):
            for host in self.hosts:
                await host.wait_until_ended()
        for host in self.hosts:
            host.kill()
            await host.wait_until_ended()
        while any(process.process is not None for process in self.real.values()):
            await anyio.sleep(0.02)

    def ended_by_itself(self) -> list[str]:
        """Returns the processes that ended except by an action of the run.

        Hosts are returned with the last line of their log.
        """
        hosts = [f"{host.name} ({host.last_log_line()})" for host in self.hosts if host.ended_by_itself]
        return hosts + self._real_ended

    # ------------------------------------------------------------------ faults

    async def carry_out(self, action: Action) -> None:
        self.record("fault", "", boot_us(), what=type(action).__name__, facts=str(action)[:500])
        match action:
            case KillHost(number):
                self.hosts[number].kill()
                for name in self._names_of(self.hosts[number]):
                    self._running.discard(name)
                    self.record("died", name, boot_us())
            case StartHost(number):
                host = self.hosts[number]
                await host.wait_until_ended()
                await host.start(self._setup(number))
                await self._start_hollow(host, self._names_of(host))
            case StopHost(number):
                self._stopped.update(self._names_of(self.hosts[number]))
                self.hosts[number].stop()
            case ContinueHost(number):
                self._stopped.difference_update(self._names_of(self.hosts[number]))
                self.hosts[number].resume()
            case KillNodes(names):
                await self._end_nodes(names, signal.SIGKILL)
            case LeaveNodes(names):
                await self._end_nodes(names, signal.SIGTERM)
            case StartNodes(names):
                await self._start_nodes(names)
            case StopNodes(names):
                self._stopped.update(names)
                self._signal(names, signal.SIGSTOP)
            case ContinueNodes(names):
                self._stopped.difference_update(names)
                self._signal(names, signal.SIGCONT)
            case SilenceNodes(names, on):
                await self._send_to_all(Silence(list(names), on))
            case CutRegions(one, other):
                await self._send_to_all(Cut(one, other))
            case HealRegions():
                await self._send_to_all(Heal())

    async def _send_to_all(self, command: Command) -> None:
        for host in self.hosts:
            await host.send_command(command)

    def _signal(self, names: tuple[str, ...], number: signal.Signals) -> None:
        for name in names:
            if name in self.real:
                self.real[name].send_signal(number)

    async def _end_nodes(self, names: tuple[str, ...], number: signal.Signals) -> None:
        self._running.difference_update(names)
        self._signal(names, number)
        for host in self.hosts:
            host_names = [
                place.name for place in self.places if place.host == host.number and place.name in names
            ]
            if host_names:
                await host.send_command(Kill(host_names) if number is signal.SIGKILL else Leave(host_names))

    async def _start_nodes(self, names: tuple[str, ...]) -> None:
        for host in self.hosts:
            host_names = [
                place.name for place in self.places if place.host == host.number and place.name in names
            ]
            if host_names:
                await self._start_hollow(host, host_names)
        for name in names:
            if name in self.real:
                while self.real[name].process is not None:
                    await anyio.sleep(0.02)
                self._start_real(name)

    # ------------------------------------------------------------------ inspection

    async def lacking(self) -> list[str]:
        """Returns the nodes that do not know exactly the running nodes.

        A stopped node counts as not running.
        """
        running = self._running - self._stopped
        names = sorted(running)
        restarted = {n: number for n, number in self._numbers.items() if number > 1 and n in running}
        expected_members = Look(len(names), names_crc(names), restarted)
        lacking: list[str] = []

        async def check_host(host: HostProcess) -> None:
            expected = [name for name in self._names_of(host) if name in running]
            answer = await host.request(expected_members) if expected else None
            if isinstance(answer, Looked) and answer.nodes == len(expected):
                lacking.extend(answer.lacking)
            else:
                lacking.extend(expected)

        async def check_real(process: RealProcess) -> None:
            if not await process.knows(expected_members):
                lacking.append(process.place.name)

        async with anyio.create_task_group() as checks:
            for host in self.hosts:
                checks.start_soon(check_host, host)
            for name, process in self.real.items():
                if name in running:
                    checks.start_soon(check_real, process)
        return sorted(lacking)

    async def sample(self) -> Sample:
        hosts: dict[int, HostSample] = {}
        real: dict[str, tuple[float, NodeReport]] = {}

        async def sample_host(host: HostProcess) -> None:
            report = await host.request(Report())
            if isinstance(report, HostReport):
                hosts[host.number] = HostSample(
                    time.monotonic(), host.start_count, host.base_mb, host.base_cpu_s, report
                )
                self.late_ms.setdefault(host.name, []).extend(report.late_ms)

        async def sample_real(process: RealProcess) -> None:
            report = await process.report()
            if report is not None:
                real[process.place.name] = (time.monotonic(), report)

        async with anyio.create_task_group() as requests:
            for host in self.hosts:
                requests.start_soon(sample_host, host)
            for name, process in self.real.items():
                if name not in self._stopped:
                    requests.start_soon(sample_real, process)
        return Sample(hosts, real)

    def zero_sample(self, sample: Sample) -> Sample:
        """Returns a sample of the same nodes with zero use, as of the start of the run."""

        def zeroed(report: NodeReport) -> NodeReport:
            return NodeReport(report.name, report.life, TrafficCounters(), 0.0, [], report.voter)

        began_s = time.monotonic() - (boot_us() - self.begin_us) / 1e6
        hosts = {
            number: HostSample(
                began_s,
                host.life,
                host.base_mb,
                host.base_cpu_s,
                HostReport([zeroed(r) for r in host.report.nodes], host.base_cpu_s, host.base_mb, [], 0),
            )
            for number, host in sample.hosts.items()
        }
        return Sample(hosts, {name: (began_s, zeroed(report)) for name, (_, report) in sample.real.items()})


@contextmanager
def loopback_block(seed: int) -> Iterator[int]:
    """Reserves a block of loopback addresses that no other run uses: 127.BLOCK.0.0/16.

    Raises OSError if none is free.
    """
    blocks = list(BLOCKS)
    random.Random(f"{seed}/{time.monotonic_ns()}").shuffle(blocks)
    for block in blocks:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as reservation:
            try:
                reservation.bind((f"127.{block}.255.1", PORT))
            except OSError:
                continue
            yield block
            return
    raise OSError("no block of loopback addresses is free")
