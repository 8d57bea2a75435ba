"""Rows of connections: what they keep, what set-ups cost, what a lost zone or a restart brings back."""

from __future__ import annotations

from benchmarks.capacity.record import Record, Row
from benchmarks.capacity.target import Target
from benchmarks.capacity.working import AWARE, WHOLE_CORE, Bound, row

PROXY = "text_protocol/clients.py: a client's connection and one to its form server, one process"
# The machine on which this is measured allows so many descriptors to a process.
DESCRIPTORS, PER_CONNECTION = 20_000, 2


def memory(record: Record) -> list[Row]:
    return [
        row(
            record,
            "connections.memory_mb",
            lambda fit, target: fit.slope * target.connections_node,
            role="every node",
            cost="memory of standing connections, in user space",
            bound=Bound("MB"),
            mechanism=PROXY,
            arithmetic="memory of a connection * 50,000",
            kind="line",
            why="the kernel's buffers are not in it",
        ),
        row(
            record,
            "connections.idle_cpu",
            lambda fit, target: fit.at(target.connections_node),
            role="every node",
            cost="standing connections on which nothing is said: processor time",
            bound=WHOLE_CORE,
            mechanism=PROXY,
            arithmetic="mean of the sizes measured: no rise was seen up to 4,000",
            kind="constant",
            why="ticks of 10 ms over 5 s: no finer",
        ),
        row(
            record,
            "connections.memory_mb",
            lambda fit, target: PER_CONNECTION * target.connections_node,
            role="every node",
            cost="descriptors of one process",
            bound=Bound("descriptors", float(DESCRIPTORS), "20,000, as on the machine measured"),
            mechanism=PROXY,
            arithmetic="2 * 50,000; counted, not measured; a setting of the machine",
            kind="line",
            reckoned=True,
        ),
    ]


def returning(record: Record) -> list[Row]:
    def of_zone(target: Target) -> float:
        return target.connections_node * target.zone_nodes / (target.nodes - target.zone_nodes)

    return [
        row(
            record,
            "connections.set_up_cpu_s",
            lambda fit, target: fit.slope * of_zone(target),
            role="every node that stays",
            cost="a zone goes: seconds of a core to set up what comes over",
            bound=AWARE,
            mechanism=PROXY,
            arithmetic="processor time of a set-up * 50,000 * 165 nodes / 3,635 nodes that stay",
            kind="line",
            reckoned=True,
        ),
        row(
            record,
            "connections.set_up_cpu_s",
            lambda fit, target: (
                fit.slope
                * target.connections_node
                * (target.restarts_day + target.failures_day)
                / target.nodes
                / 86_400
            ),
            role="every node",
            cost="restarts and failures of a day: processor time for set-ups, if every connection comes anew",
            bound=WHOLE_CORE,
            mechanism=f"{PROXY}; a replaced process hands its standing connections over",
            arithmetic="processor time of a set-up * 50,000 * (520 + 33) / nodes / 86,400 s",
            kind="line",
            reckoned=True,
        ),
        row(
            record,
            "connections.set_up_cpu_s",
            lambda fit, target: fit.slope * target.connections_node,
            role="a node that comes back empty",
            cost="its 50,000 connections set up by one process: seconds of a core",
            bound=AWARE,
            mechanism=PROXY,
            arithmetic="processor time of a set-up * 50,000",
            kind="line",
            reckoned=True,
        ),
    ]


def rows(record: Record) -> list[Row]:
    return memory(record) + returning(record)
