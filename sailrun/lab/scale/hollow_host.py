"""A host process that runs many hollow nodes: `python -m sailrun.lab.scale.hollow_host`.

Reads commands from stdin and writes answers to stdout, see `host_messages.py`. Ends after the `end` command
or at the end of stdin.
"""

from __future__ import annotations

import gc
import os
import resource
import sys
import time
from pathlib import Path
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup

from sailrun.lab.scale.delay_line import DelayLine
from sailrun.lab.scale.hollow_node import HollowNode, member_record, process_number_of
from sailrun.lab.scale.host_messages import (
    Answer,
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
    Ready,
    Recorded,
    Report,
    Setup,
    Silence,
    Start,
    line_of,
    read_command,
)
from sailrun.lab.scale.network_model import NetworkModel
from sailrun.lab.scale.plan import place_nodes
from sailrun.lab.scale.settings import node_settings
from sailrun.leadership.clock import boot_us
from sailrun.membership.messages import MemberRecord

# The interval at which the lateness of the event loop is measured.
LATENESS_INTERVAL_S = 0.05
# The kinds of ownership rows that are recorded; the others would add a row for every request.
OWNERSHIP_KINDS = ("hold", "lost")


class HollowHost:
    def __init__(self, setup: Setup, group: TaskGroup) -> None:
        self._setup, self._group = setup, group
        self._places = place_nodes(setup.plan, setup.block)
        self._by_name = {place.name: place for place in self._places}
        self._network = NetworkModel(
            self._places, setup.plan.regions, f"network/{setup.plan.seed}/{setup.host}"
        )
        self._delays = DelayLine()
        self._nodes: dict[str, HollowNode] = {}
        self._late_ms: list[float] = []
        group.start_soon(self._delays.run)
        group.start_soon(self._measure_lateness)

    async def _measure_lateness(self) -> None:
        while True:
            due_s = anyio.current_time() + LATENESS_INTERVAL_S
            await anyio.sleep_until(due_s)
            self._late_ms.append(round((anyio.current_time() - due_s) * 1000, 2))

    async def carry_out(self, command: Command) -> Answer | None:
        match command:
            case Start(lives, known):
                await self._start(lives, known)
            case Kill(names):
                for name in names:
                    self._kill(name)
            case Leave(names):
                for node in [self._nodes[name] for name in names if name in self._nodes]:
                    self._group.start_soon(self._leave, node)
            case Silence(names, on):
                self._network.silence(names, on)
            case Cut(one, other):
                self._network.cut(one, other)
            case Heal():
                self._network.heal()
            case Look():
                return await self._look(command)
            case Report():
                return await self._report()
        return None

    # ------------------------------------------------------------------ nodes

    async def _start(self, lives: dict[str, int], known: bool) -> None:
        seed = self._setup.plan.seed
        hollow = [place for place in self._places if not place.real] if known else []
        encoded_records = msgspec.msgpack.encode([member_record(seed, place, 1) for place in hollow])
        decoder = msgspec.msgpack.Decoder(list[MemberRecord])
        for name, number in lives.items():
            node = self._new_node(name, number)
            if known:
                # Each node gets its own copies of the records, as if it had received them on its own sockets.
                node.preload([record for record in decoder.decode(encoded_records) if record.name != name])
            self._nodes[name] = node
            self._group.start_soon(node.run)
            await anyio.sleep(0)
        # Keeps the garbage collector from scanning the objects that exist now. A real node has few objects,
        # but a scan of those of many nodes in one process would pause all of them.
        gc.collect()
        gc.freeze()

    def _new_node(self, name: str, number: int) -> HollowNode:
        setup, place = self._setup, self._by_name[name]

        def record(kind: str, **facts: Any) -> None:
            if kind in OWNERSHIP_KINDS:
                self._row(kind, name, **facts)

        self._row("started", name, life=process_number_of(setup.plan.seed, name, number))
        return HollowNode(
            place,
            node_settings(setup.plan, self._places, place),
            setup.plan.seed,
            number,
            self._network,
            self._delays,
            setup.roster,
            setup.began_us,
            record,
        )

    def _row(self, kind: str, node: str, **facts: Any) -> None:
        _answer(Recorded({"at_us": boot_us(), "node": node, "kind": kind, **facts}))

    def _kill(self, name: str) -> None:
        node = self._nodes.pop(name, None)
        if node is not None:
            node.kill()
            self._row("died", name)

    async def _leave(self, node: HollowNode) -> None:
        await node.leave()
        if self._nodes.get(node.place.name) is node:
            self._kill(node.place.name)

    # ------------------------------------------------------------------ queries

    async def _look(self, expected_members: Look) -> Looked:
        lacking = []
        nodes = list(self._nodes.values())
        for node in nodes:
            if not node.knows(expected_members, self._setup.plan.seed):
                lacking.append(node.place.name)
            await anyio.sleep(0)
        return Looked(len(nodes), lacking)

    async def _report(self) -> HostReport:
        reports: list[NodeReport] = []
        cpu_s = time.process_time()
        for node in list(self._nodes.values()):
            reports.append(node.report())
            await anyio.sleep(0)
        late_ms, self._late_ms = self._late_ms, []
        return HostReport(reports, cpu_s, rss_mb(os.getpid()), late_ms, self._network.blocked_messages)


def rss_mb(pid: int) -> float:
    """Returns the resident memory of a process. Raises OSError if the process does not exist."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1024 / 1024


async def _serve() -> None:
    stdin = anyio.wrap_file(sys.stdin.buffer)
    setup = read_command(await stdin.readline())
    if not isinstance(setup, Setup):
        raise SystemExit("hollow_host: the first line on stdin must be a setup command")
    async with anyio.create_task_group() as group:
        host = HollowHost(setup, group)
        _answer(Ready(rss_mb(os.getpid()), time.process_time()))
        while line := await stdin.readline():
            command = read_command(line)
            if isinstance(command, End):
                break
            answer = await host.carry_out(command)
            if answer is not None:
                _answer(answer)
        group.cancel_scope.cancel()


def _answer(answer: Answer) -> None:
    sys.stdout.buffer.write(line_of(answer))
    sys.stdout.buffer.flush()


if __name__ == "__main__":
    anyio.run(_serve)
