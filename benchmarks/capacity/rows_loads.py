"""Rows of the aggregation of loads over all nodes."""

from __future__ import annotations

from benchmarks.capacity.record import Record, Row
from benchmarks.capacity.working import (
    BYTES_LIMIT,
    CONFIG_PROPAGATION_LIMIT,
    CostLimit,
    at_node_count,
    make_row,
)
from sailrun.load_gossip.datagram import MAX_DATAGRAM_BYTES

AGGREGATION_ROUNDS = (
    "load_gossip/aggregation_rounds.py: one node adds up each round, 2 s long and 10 ms a node past 200 nodes"
)
# Rounds have their shortest length, 2 s, up to this number of nodes.
MAX_NODES_OF_SHORTEST_ROUND = 200.0
SUM_AGE_LIMIT = CostLimit("s", CONFIG_PROPAGATION_LIMIT.limit, "8 s, assumed as for changes")


def rows(record: Record) -> list[Row]:
    return [
        make_row(
            record,
            "sum.bytes",
            at_node_count,
            role="collector of a round",
            cost="length of a sum that names one form server",
            cost_limit=CostLimit(
                "bytes", float(MAX_DATAGRAM_BYTES), f"{MAX_DATAGRAM_BYTES} bytes, the longest that is read"
            ),
            mechanism="load_gossip/datagram.py: a bit for each node that was heard, then form servers",
            arithmetic="fit at the number of nodes; a sum longer than that is refused by who hears it",
        ),
        make_row(
            record,
            "rounds.round_seconds",
            lambda fit, target: max(fit.at(MAX_NODES_OF_SHORTEST_ROUND), fit.at(target.nodes)),
            role="every node",
            cost="age of a sum when the next one comes",
            cost_limit=SUM_AGE_LIMIT,
            mechanism=AGGREGATION_ROUNDS,
            arithmetic="10 ms * nodes, 2 s at least, from the program's constants",
            kind="through",
            estimated=True,
            why="past some 1,900 nodes no sum fits its datagram, and there is no next one",
        ),
        make_row(
            record,
            "rounds.bytes_s",
            at_node_count,
            role="ordinary node",
            cost="bytes of rounds while something goes on",
            cost_limit=BYTES_LIMIT,
            mechanism=AGGREGATION_ROUNDS,
            arithmetic="mean of the sizes measured: it falls with the number of nodes",
            kind="constant",
        ),
    ]
