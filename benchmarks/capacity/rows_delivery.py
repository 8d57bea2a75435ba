"""Rows of deliveries: a line through one process, and a topic's fan-out to all its listeners."""

from __future__ import annotations

from benchmarks.capacity.fit import Fit
from benchmarks.capacity.record import Record, Row
from benchmarks.capacity.target import Target
from benchmarks.capacity.working import DELIVERED, WHOLE_CORE, row

LINE = "text_protocol/clients.py: a line from a form server passed to its client, one process"
NONE = "none in the program yet: topics and their fan-out are not built"
# Assumed: the longest way between two regions, and a hop within one; publisher to owner of the shard, owner
# to a node of its region or of another, node to client.
FAR_S, NEAR_S = 0.150, 0.001


def _line_s(fit: Fit) -> float:
    """Seconds of a core for a line, the mean of the sizes measured: they rise with the connections, and what
    50,000 would make of it was not measured.
    """
    return fit.intercept / 1e6


def _fan_out_s(fit: Fit, listeners: float, on_nodes: float) -> float:
    """The owner sends to each node in turn, each node to its listeners in turn; the last waits longest."""
    return FAR_S + 2 * NEAR_S + _line_s(fit) * (on_nodes + listeners / on_nodes)


def _fan_out_fewest(fit: Fit, target: Target) -> float:
    return _fan_out_s(fit, target.largest_topic, max(1.0, target.largest_topic / target.connections_node))


def _by_regions_s(fit: Fit, target: Target) -> float:
    """The owner sends to a node of each region, that one to all of its region."""
    hops = target.regions + target.region_nodes + target.largest_topic / target.nodes
    return FAR_S + 3 * NEAR_S + _line_s(fit) * hops


def rows(record: Record) -> list[Row]:
    return [
        row(
            record,
            "connections.line_cpu_us",
            lambda fit, target: _line_s(fit) * target.deliveries_node_s,
            role="every node",
            cost="deliveries: cores, so processes of one core each that a machine needs",
            bound=WHOLE_CORE,
            mechanism=LINE,
            arithmetic="processor time of a line * 100 million / nodes",
            kind="constant",
        ),
        row(
            record,
            "connections.line_cpu_us",
            lambda fit, target: _fan_out_s(fit, target.largest_topic, target.nodes),
            role="largest topic",
            cost="fan-out, listeners spread evenly, the owner sends to every node",
            bound=DELIVERED,
            mechanism=NONE,
            arithmetic="150 ms between regions (assumed) + 2 ms + a line * (nodes + listeners / nodes)",
            kind="constant",
            reckoned=True,
        ),
        row(
            record,
            "connections.line_cpu_us",
            _by_regions_s,
            role="largest topic",
            cost="fan-out, listeners spread evenly, by one node of each region",
            bound=DELIVERED,
            mechanism=NONE,
            arithmetic="150 ms (assumed) + 3 ms + a line * (6 + nodes / 6 + listeners / nodes)",
            kind="constant",
            reckoned=True,
        ),
        row(
            record,
            "connections.line_cpu_us",
            _fan_out_fewest,
            role="largest topic",
            cost="fan-out, all listeners on as few nodes as hold them, one process each",
            bound=DELIVERED,
            mechanism=NONE,
            arithmetic="150 ms (assumed) + 2 ms + a line * (2 nodes + 50,000 listeners)",
            kind="constant",
            reckoned=True,
        ),
    ]
