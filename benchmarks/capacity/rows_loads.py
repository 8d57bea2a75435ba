"""Rows of the sums of loads that all nodes make together."""

from __future__ import annotations

from benchmarks.capacity.record import Record, Row
from benchmarks.capacity.working import BYTES, IN_FORCE, Bound, Resized, by_nodes, row
from sailrun.fleet.digest import LONGEST

ROUNDS = "fleet/rounds.py: one node adds up each round, 2 s long and 10 ms a node past 200 nodes"
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
            bound=Bound("bytes", float(LONGEST), f"{LONGEST} bytes, the longest that is read"),
            mechanism="fleet/digest.py: a bit for each node that was heard, then form servers",
            arithmetic="fit at the number of nodes; a sum longer than that is refused by who hears it",
        ),
        row(
            record,
            "rounds.seconds_99",
            by_nodes,
            role="every node",
            cost="a change of loads: until 99 in 100 nodes know it",
            bound=STALE,
            mechanism=ROUNDS,
            arithmetic="fit at the number of nodes, where rounds grow; nothing lost",
            why="past some 1,900 nodes no sum fits its datagram, so the figure is never reached",
        ),
        row(
            record,
            "rounds.bytes_s",
            lambda fit, target: fit.at(min(1.0, FULL_ROUNDS / target.nodes)),
            role="ordinary node",
            cost="bytes of rounds while something goes on",
            bound=BYTES,
            mechanism=ROUNDS,
            arithmetic="bytes of two datagrams of 2 s * 200 / nodes: rounds grow longer instead",
            kind="through",
            by=Resized("part of a round of 2 s", lambda nodes: FULL_ROUNDS / nodes),
        ),
    ]
