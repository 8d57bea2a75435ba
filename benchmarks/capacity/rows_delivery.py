"""Rows of deliveries: a line passed through one process, and the fan-out of a topic to all its listeners."""

from __future__ import annotations

from benchmarks.capacity.fit import Fit
from benchmarks.capacity.record import Record, Row
from benchmarks.capacity.target import Target
from benchmarks.capacity.working import DELIVERY_TIME_LIMIT, WHOLE_CORE_LIMIT, make_row

LINE_PROXY = "text_protocol/clients.py: a line from a form server passed to its client, one process"
NOT_BUILT = "none in the program yet: topics and their fan-out are not built"
# Assumed latencies: the longest between two regions, and one hop within a region. The hops are publisher to
# shard owner, shard owner to a node of its region or of another, and node to client.
INTER_REGION_LATENCY_S, HOP_LATENCY_S = 0.150, 0.001


def _line_cpu_s(fit: Fit) -> float:
    """Returns the processor time of passing one line from a form server to a client, in seconds, the mean
    over the measured sizes. The time rises with the number of connections, and 50,000 connections were not
    measured.
    """
    return fit.intercept / 1e6


def _direct_fan_out_s(fit: Fit, listeners: float, nodes: float) -> float:
    """Returns the time until the last listener is served: the owner sends to the nodes one after another, and
    each node to its listeners one after another.
    """
    return INTER_REGION_LATENCY_S + 2 * HOP_LATENCY_S + _line_cpu_s(fit) * (nodes + listeners / nodes)


def _fewest_nodes_fan_out_s(fit: Fit, target: Target) -> float:
    return _direct_fan_out_s(
        fit, target.largest_topic, max(1.0, target.largest_topic / target.connections_per_node)
    )


def _regional_fan_out_s(fit: Fit, target: Target) -> float:
    """Returns the fan-out time if the owner sends to one node per region, which sends to all nodes of its
    region.
    """
    sequential_sends = target.regions + target.nodes_per_region + target.largest_topic / target.nodes
    return INTER_REGION_LATENCY_S + 3 * HOP_LATENCY_S + _line_cpu_s(fit) * sequential_sends


def rows(record: Record) -> list[Row]:
    return [
        make_row(
            record,
            "connections.line_cpu_us",
            lambda fit, target: _line_cpu_s(fit) * target.deliveries_per_node_per_s,
            role="every node",
            cost="deliveries: cores, so processes of one core each that a machine needs",
            cost_limit=WHOLE_CORE_LIMIT,
            mechanism=LINE_PROXY,
            arithmetic="processor time of a line * 100 million / nodes",
            kind="constant",
        ),
        make_row(
            record,
            "connections.line_cpu_us",
            lambda fit, target: _direct_fan_out_s(fit, target.largest_topic, target.nodes),
            role="largest topic",
            cost="fan-out, listeners spread evenly, the owner sends to every node",
            cost_limit=DELIVERY_TIME_LIMIT,
            mechanism=NOT_BUILT,
            arithmetic="150 ms between regions (assumed) + 2 ms + a line * (nodes + listeners / nodes)",
            kind="constant",
            estimated=True,
        ),
        make_row(
            record,
            "connections.line_cpu_us",
            _regional_fan_out_s,
            role="largest topic",
            cost="fan-out, listeners spread evenly, by one node of each region",
            cost_limit=DELIVERY_TIME_LIMIT,
            mechanism=NOT_BUILT,
            arithmetic="150 ms (assumed) + 3 ms + a line * (6 + nodes / 6 + listeners / nodes)",
            kind="constant",
            estimated=True,
        ),
        make_row(
            record,
            "connections.line_cpu_us",
            _fewest_nodes_fan_out_s,
            role="largest topic",
            cost="fan-out, all listeners on as few nodes as hold them, one process each",
            cost_limit=DELIVERY_TIME_LIMIT,
            mechanism=NOT_BUILT,
            arithmetic="150 ms (assumed) + 2 ms + a line * (2 nodes + 50,000 listeners)",
            kind="constant",
            estimated=True,
        ),
    ]
