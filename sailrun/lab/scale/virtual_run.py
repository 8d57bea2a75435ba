"""Runs a plan of the `scale` run in virtual time: the same agents, the same network model, in one process.

There are no event loop and no sockets, so `cpu` excludes decoding and sending. All nodes share the member
records with which they start, so they use less memory than nodes with records of their own.
"""

from __future__ import annotations

import gc
import math
import os
import time
from collections.abc import Callable
from time import thread_time
from typing import Any

from sailrun.lab.faults.virtual import VirtualFleet, VirtualNode
from sailrun.lab.scale.checks import MAX_NAMED_FAULTS
from sailrun.lab.scale.fault_watch import FaultWatch
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
    Step,
    StopHost,
    StopNodes,
)
from sailrun.lab.scale.hollow_host import OWNERSHIP_KINDS, rss_mb
from sailrun.lab.scale.hollow_node import ROSTER_CHANGE_INTERVAL_S, node_report, preload_members
from sailrun.lab.scale.host_messages import NodeReport
from sailrun.lab.scale.metered_agent import MeteredAgent
from sailrun.lab.scale.network_model import NetworkModel
from sailrun.lab.scale.plan import Place, ScalePlan, memory_mb, place_nodes, voters_of
from sailrun.lab.scale.real_run import CHECK_INTERVAL_S, CONVERGENCE_TIMEOUT_S, SETTLE_S
from sailrun.lab.scale.results import Convergence, Measured
from sailrun.lab.scale.roles import NodeUse, use_between
from sailrun.lab.scale.settings import initial_member_record, node_settings
from sailrun.lab.scale.stretches import BEGIN, FAULT, REST
from sailrun.lab.scheduler import BEGIN_US
from sailrun.leadership.agent import OutgoingEnvelope
from sailrun.leadership.envelope import MAX_DATAGRAM_BYTES, Envelope, encode_envelope
from sailrun.leadership.traffic_counters import TrafficCounters
from sailrun.membership.messages import MemberRecord

SECOND = 1_000_000
RECORDED_KINDS = (*OWNERSHIP_KINDS, "started", "died", "fault", "look")
OnProgress = Callable[[float], None]


class VirtualScaleFleet(VirtualFleet):
    agent_class = MeteredAgent

    def __init__(self, plan: ScalePlan) -> None:
        places = place_nodes(plan)
        super().__init__(
            plan.total,
            len(voters_of(places)),
            plan.zones,
            lambda index, voters, joins: node_settings(plan, places, places[index]),
            plan.seed,
        )
        self.plan, self.places = plan, places
        self.place_of = {place.name: place for place in places}
        self.network = NetworkModel(places, plan.regions, f"network/{plan.seed}")
        for place in places:
            node = self.nodes[place.name]
            node.address, node.zone = place.address, place.zone
        self._nodes_by_address = {node.address: node for node in self.nodes.values()}
        self.traffic: dict[str, TrafficCounters] = {}
        self._pause_numbers: dict[str, int] = {}

    def begin(self) -> None:
        """Starts all nodes at once.

        Except for the fault `begin`, every node knows every other from the start.
        """
        self.time.after(ROSTER_CHANGE_INTERVAL_S * SECOND, self._increment_list_revision)
        for name in self.names:
            self.start(name)
        if self.plan.faults == "begin":
            return
        records = [self.agent(name).members.own_record for name in self.names]
        gc.disable()  # none of these allocations is garbage
        for name in self.names:
            others = [record for record in records if record.name != name]
            preload_members(self.agent(name), self.clock_us(self.nodes[name]), others)
        gc.enable()
        gc.freeze()

    def agent(self, name: str) -> MeteredAgent:
        agent = self.nodes[name].agent
        assert isinstance(agent, MeteredAgent)
        return agent

    def _record_of(self, node: VirtualNode, life: int) -> MemberRecord:
        return initial_member_record(self.place_of[node.name], life)

    def start(self, name: str, clock_s: float = 0.0) -> None:
        self.traffic[name] = TrafficCounters()
        super().start(name, clock_s)

    def row(self, kind: str, node: str, **facts: Any) -> None:
        if kind in RECORDED_KINDS:
            super().row(kind, node, **facts)

    def _increment_list_revision(self) -> None:
        self.revision += 1
        self.time.after(ROSTER_CHANGE_INTERVAL_S * SECOND, self._increment_list_revision)

    # ------------------------------------------------------------------ the network

    def _transmit(self, node: VirtualNode, out: OutgoingEnvelope) -> None:
        began_s = thread_time()
        size = len(encode_envelope(out.envelope))
        if isinstance(node.agent, MeteredAgent):
            node.agent.cpu_s += thread_time() - began_s
        self.traffic[node.name].sent(size)
        to = self._nodes_by_address.get(out.address)
        if to is None:
            return
        model, sender, receiver = self.network, self.place_of[node.name], self.place_of[to.name]
        by_link = size > MAX_DATAGRAM_BYTES
        wait_s = model.frame_s(sender, receiver) if by_link else model.datagram_s(sender, receiver)
        if wait_s is not None:
            self.time.after(int(wait_s * SECOND), self._deliver, sender, to, out.envelope, size)

    def _deliver(self, sender: Place, to: VirtualNode, envelope: Envelope, size: int) -> None:
        if to.agent is not None and self.network.passes(sender, self.place_of[to.name]):
            self.traffic[to.name].received(size)
            self._receive(to, sender.address, envelope)

    # ------------------------------------------------------------------ faults

    def carry_out(self, action: Action) -> None:
        self.row("fault", "", what=type(action).__name__, facts=str(action)[:500])
        match action:
            case KillHost(number):
                self._for_each(self._names_of(number), self.kill)
            case StartHost(number):
                self._for_each(self._names_of(number), self.start)
            case StopHost(number):
                self._for_each(self._names_of(number), self._stop)
            case ContinueHost(number):
                self._for_each(self._names_of(number), self._continue)
            case KillNodes(names):
                self._for_each(names, self.kill)
            case LeaveNodes(names):
                self._for_each(names, self.leave)
            case StartNodes(names):
                self._for_each(names, self.start)
            case StopNodes(names):
                self._for_each(names, self._stop)
            case ContinueNodes(names):
                self._for_each(names, self._continue)
            case SilenceNodes(names, on):
                self.network.silence(names, on)
            case CutRegions(one, other):
                self.network.cut(one, other)
            case HealRegions():
                self.network.heal()

    def _names_of(self, host: int) -> tuple[str, ...]:
        return tuple(place.name for place in self.places if place.host == host)

    @staticmethod
    def _for_each(names: tuple[str, ...], act: Callable[[str], None]) -> None:
        for name in names:
            act(name)

    def _stop(self, name: str) -> None:
        self._pause_numbers[name] = self.pause(name)

    def _continue(self, name: str) -> None:
        self.resume(name, self._pause_numbers.get(name, 0))

    # ------------------------------------------------------------------ inspection

    @property
    def now_s(self) -> float:
        """Seconds since the start of the run."""
        return (self.time.now_us - BEGIN_US) / SECOND

    def run_for(self, seconds: float) -> None:
        self.run(self.now_s + seconds)

    def lacking(self) -> list[str]:
        """Returns the nodes that do not know exactly the running nodes.

        A stopped node counts as not running.
        """
        nodes = [self.nodes[name] for name in sorted(self.names)]
        running = [node for node in nodes if node.agent is not None and not node.paused]
        names = [node.name for node in running]
        restarted = {n.name: self.agent(n.name).process_number for n in running if n.start_count > 1}
        return [node.name for node in running if not self._knows(node.name, names, restarted)]

    def _knows(self, name: str, names: list[str], lives: dict[str, int]) -> bool:
        members = self.agent(name).members
        if not members.has_joined or members.living_names != names:
            return False
        known = {other: members.find_record(other) for other in lives}
        return all(record is not None and record.life == lives[other] for other, record in known.items())

    def until_converged(self) -> Convergence:
        began_s = self.now_s
        lacking: list[str] = []
        while self.now_s - began_s < CONVERGENCE_TIMEOUT_S:
            lacking = self.lacking()
            if not lacking:
                return Convergence(self.now_s - began_s)
            self.run_for(CHECK_INTERVAL_S)
        return Convergence(math.inf, lacking)

    def reports(self) -> dict[str, NodeReport]:
        return {node.name: self._report(node) for node in self.nodes.values() if node.agent is not None}

    def _report(self, node: VirtualNode) -> NodeReport:
        agent, counted = self.agent(node.name), self.traffic[node.name]
        traffic = TrafficCounters(
            counted.messages_in, counted.messages_out, counted.bytes_in, counted.bytes_out
        )
        return node_report(agent, node.start_count, traffic, self.clock_us(node))


class _Stretch:
    """A stretch of a run: the resource use of the nodes since it began."""

    def __init__(self, fleet: VirtualScaleFleet, base_mb: float) -> None:
        self._fleet, self._base_mb = fleet, base_mb
        self._reports, self._begin_s, self._cpu_s = fleet.reports(), fleet.now_s, time.process_time()

    def uses(self) -> list[NodeUse]:
        fleet = self._fleet
        seconds, nodes = max(0.001, fleet.now_s - self._begin_s), fleet.plan.total
        cpu_whole = (time.process_time() - self._cpu_s) / seconds / nodes
        memory_mb = (rss_mb(os.getpid()) - self._base_mb) / nodes
        return [
            use_between(self._reports[name], report, seconds, cpu_whole, memory_mb)
            for name, report in fleet.reports().items()
            if name in self._reports and self._reports[name].life == report.life
        ]


def run_virtual(plan: ScalePlan, steps: list[Step], on_progress: OnProgress) -> Measured:
    base_mb = rss_mb(os.getpid())
    fleet = VirtualScaleFleet(plan)
    try:
        return _measure(fleet, steps, on_progress, base_mb)
    finally:
        gc.unfreeze()


def _measure(
    fleet: VirtualScaleFleet, steps: list[Step], on_progress: OnProgress, base_mb: float
) -> Measured:
    fleet.begin()
    stretch = _Stretch(fleet, base_mb)
    begin = fleet.until_converged()
    uses = {BEGIN: stretch.uses()} if fleet.now_s else {}
    on_progress(0.2)
    fleet.run_for(SETTLE_S)
    stretch = _Stretch(fleet, base_mb)
    fleet.run_for(fleet.plan.seconds)
    uses[REST] = stretch.uses()
    on_progress(0.6)
    after, watch = None, FaultWatch()
    if steps:
        stretch = _Stretch(fleet, base_mb)
        after = _run_steps(fleet, steps, watch)
        uses[FAULT] = stretch.uses()
    on_progress(1.0)
    figures = {"memory_expected_mb": memory_mb(fleet.plan), "memory_mb": rss_mb(os.getpid())}
    if steps:
        figures |= {**watch.figures(), "messages_stopped": float(fleet.network.blocked_messages)}
    measured = Measured(begin, after, uses, fleet.rows, BEGIN_US, fleet.time.now_us, figures=figures)
    measured.reports = list(fleet.reports().values())
    return measured


def _run_steps(fleet: VirtualScaleFleet, steps: list[Step], watch: FaultWatch) -> Convergence:
    began_s = fleet.now_s
    for step in steps:
        while (left_s := began_s + step.at_s - fleet.now_s) > 0:
            fleet.run_for(min(CHECK_INTERVAL_S, left_s))
            if watch.actions:
                lacking = fleet.lacking()
                watch.on_poll(fleet.now_s, len(lacking))
                fleet.row("look", "", lacking=len(lacking), some=",".join(lacking[:MAX_NAMED_FAULTS]))
        fleet.carry_out(step.action)
        watch.on_action(fleet.now_s, step.action)
    convergence = fleet.until_converged()
    fleet.run_for(SETTLE_S)
    convergence.occasions = watch.occasions(fleet.network.blocked_messages)
    return convergence
