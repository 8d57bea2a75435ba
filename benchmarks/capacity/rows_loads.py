"""Rows of the sums of loads that all nodes make together."""

from __future__ import annotations

from benchmarks.capacity.record import Record, Row
from benchmarks.capacity.working import BYTES, IN_FORCE, Bound, by_nodes, row
from sailrun.fleet.digest import LONGEST

ROUNDS = "fleet/rounds.py: one node adds up each round, 2 s long and 10 ms a node past 200 nodes"
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
            "rounds.round_seconds",
            lambda fit, target: max(2.0, 0.01 * target.nodes),
            role="every node",
            cost="age of a sum when the next one comes",
            bound=STALE,
            mechanism=ROUNDS,
            arithmetic="10 ms * nodes, 2 s at least",
            kind="constant",
            reckoned=True,
        ),
        row(
            record,
            "rounds.bytes_s",
            lambda fit, target: fit.at(200) * 200 / max(200.0, target.nodes),
            role="ordinary node",
            cost="bytes of rounds while something goes on",
            bound=BYTES,
            mechanism=ROUNDS,
            arithmetic="bytes at 200 nodes * 200 / nodes: rounds grow longer, datagrams stay",
            kind="constant",
            reckoned=True,
        ),
    ]
