"""Rows of the sums of loads that all nodes make together."""

from __future__ import annotations

from benchmarks.capacity.record import Record, Row
from benchmarks.capacity.working import BYTES, IN_FORCE, Bound, by_nodes, row
from sailrun.load_gossip.datagram import MAX_DATAGRAM_BYTES

ROUNDS = (
    "load_gossip/aggregation_rounds.py: one node adds up each round, 2 s long and 10 ms a node past 200 nodes"
)
# Up to so many nodes a round lasts 2 s.
FULL_ROUNDS = 200.0
STALE = Bound("s", IN_FORCE.limit, "8 s, assumed as for changes")


def rows(record: Record) -> list[Row]:
    return [
        row(
            record,
            "sum.bytes",
            by_nodes,
            role="collector of a round",
            cost="length of a sum that names one form server",
            bound=Bound(
                "bytes", float(MAX_DATAGRAM_BYTES), f"{MAX_DATAGRAM_BYTES} bytes, the longest that is read"
            ),
            mechanism="load_gossip/datagram.py: a bit for each node that was heard, then form servers",
            arithmetic="fit at the number of nodes; a sum longer than that is refused by who hears it",
        ),
        row(
            record,
            "rounds.round_seconds",
            lambda fit, target: max(fit.at(FULL_ROUNDS), fit.at(target.nodes)),
            role="every node",
            cost="age of a sum when the next one comes",
            bound=STALE,
            mechanism=ROUNDS,
            arithmetic="10 ms * nodes, 2 s at least, from the program's constants",
            kind="through",
            reckoned=True,
            why="past some 1,900 nodes no sum fits its datagram, and there is no next one",
        ),
        row(
            record,
            "rounds.bytes_s",
            by_nodes,
            role="ordinary node",
            cost="bytes of rounds while something goes on",
            bound=BYTES,
            mechanism=ROUNDS,
            arithmetic="mean of the sizes measured: it falls with the number of nodes",
            kind="constant",
        ),
    ]
