"""Rows of connections: memory, cost of setting them up, and reconnections after a lost zone or a restart."""

from __future__ import annotations

from benchmarks.capacity.record import Record, Row
from benchmarks.capacity.target import Target
from benchmarks.capacity.working import MEMBERSHIP_CONVERGENCE_LIMIT, WHOLE_CORE_LIMIT, CostLimit, make_row

PROXY = "text_protocol/clients.py: a client's connection and one to its form server, one process"
# Limit of open file descriptors of a process on the machine on which the measurements ran, and descriptors
# that a connection uses.
MAX_DESCRIPTORS, DESCRIPTORS_PER_CONNECTION = 20_000, 2


def established_connection_rows(record: Record) -> list[Row]:
    return [
        make_row(
            record,
            "connections.memory_mb",
            lambda fit, target: fit.slope * target.connections_per_node,
            role="every node",
            cost="memory of standing connections, in user space",
            cost_limit=CostLimit("MB"),
            mechanism=PROXY,
            arithmetic="memory of a connection * 50,000",
            kind="line",
            why="the kernel's buffers are not in it",
        ),
        make_row(
            record,
            "connections.idle_cpu",
            lambda fit, target: fit.at(target.connections_per_node),
            role="every node",
            cost="standing connections on which nothing is said: processor time",
            cost_limit=WHOLE_CORE_LIMIT,
            mechanism=PROXY,
            arithmetic="mean of the sizes measured: no rise was seen up to 4,000",
            kind="constant",
            why="ticks of 10 ms over 5 s: no finer",
        ),
        make_row(
            record,
            "connections.memory_mb",
            lambda fit, target: DESCRIPTORS_PER_CONNECTION * target.connections_per_node,
            role="every node",
            cost="descriptors of one process",
            cost_limit=CostLimit("descriptors", float(MAX_DESCRIPTORS), "20,000, as on the machine measured"),
            mechanism=PROXY,
            arithmetic="2 * 50,000; counted, not measured; a setting of the machine",
            kind="line",
            estimated=True,
        ),
    ]


def reconnection_rows(record: Record) -> list[Row]:
    def reconnections_per_node(target: Target) -> float:
        return target.connections_per_node * target.nodes_per_zone / (target.nodes - target.nodes_per_zone)

    return [
        make_row(
            record,
            "connections.set_up_cpu_s",
            lambda fit, target: fit.slope * reconnections_per_node(target),
            role="every node that stays",
            cost="a zone goes: seconds of a core to set up what comes over",
            cost_limit=MEMBERSHIP_CONVERGENCE_LIMIT,
            mechanism=PROXY,
            arithmetic="processor time of a set-up * 50,000 * 165 nodes / 3,635 nodes that stay",
            kind="line",
            estimated=True,
        ),
        make_row(
            record,
            "connections.set_up_cpu_s",
            lambda fit, target: (
                fit.slope
                * target.connections_per_node
                * (target.restarts_per_day + target.failures_per_day)
                / target.nodes
                / 86_400
            ),
            role="every node",
            cost="restarts and failures of a day: processor time for set-ups, if every connection comes anew",
            cost_limit=WHOLE_CORE_LIMIT,
            mechanism=f"{PROXY}; a replaced process hands its standing connections over",
            arithmetic="processor time of a set-up * 50,000 * (520 + 33) / nodes / 86,400 s",
            kind="line",
            estimated=True,
        ),
        make_row(
            record,
            "connections.set_up_cpu_s",
            lambda fit, target: fit.slope * target.connections_per_node,
            role="a node that comes back empty",
            cost="its 50,000 connections set up by one process: seconds of a core",
            cost_limit=MEMBERSHIP_CONVERGENCE_LIMIT,
            mechanism=PROXY,
            arithmetic="processor time of a set-up * 50,000",
            kind="line",
            estimated=True,
        ),
    ]


def rows(record: Record) -> list[Row]:
    return established_connection_rows(record) + reconnection_rows(record)
