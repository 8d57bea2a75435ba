"""Rows of restarts, and of the machines set aside for control."""

from __future__ import annotations

from benchmarks.capacity.record import Record, Row
from benchmarks.capacity.working import BYTES, Bound, not_measured, row

VOTERS = 5
ROLE = "control machines"


def restarts(record: Record) -> Row:
    return row(
        record,
        "restart.extra_bytes_node",
        lambda fit, target: (
            max(0.0, fit.at(target.nodes)) * (target.restarts_day + target.failures_day) / 86_400
        ),
        role="every other node",
        cost="restarts and failures of a day: bytes of members' news, on top of rest",
        bound=BYTES,
        mechanism="members/swim.py",
        arithmetic="bytes that one restart costs each other node, by its fit * (520 + 33) / 86,400 s",
    )


def machines(record: Record) -> list[Row]:
    return [
        row(
            record,
            "shard_leases.voter_cpu",
            lambda fit, target: fit.slope * target.shards * VOTERS,
            role=ROLE,
            cost="cores for a lease for each shard, all voters together",
            bound=Bound("cores", 47.0, "47 machines, one process of one core each (assumed)"),
            mechanism="owners/voter.py: five voters share nothing: each is asked about every shard",
            arithmetic="processor time of a lease at a voter * shards * 5 voters",
            kind="line",
            reckoned=True,
            why="no more than 7 voters are allowed, so 47 machines would not help",
        ),
        not_measured(
            ROLE,
            "voters across 23 zones",
            Bound("zones"),
            "owners/quorum.py: 3, 5 or 7 voters, ordinary nodes of the fleet",
            "there is no control machine in the program yet: 7 voters stand in 7 of 23 zones at most, and "
            "two regions that lose each other leave the side with fewer voters without leases",
        ),
    ]


def rows(record: Record) -> list[Row]:
    return [restarts(record), *machines(record)]
