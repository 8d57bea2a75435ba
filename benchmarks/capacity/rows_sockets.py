"""Rows of nodes at rest over real sockets. They cost more than in virtual time, where nodes use none."""

from __future__ import annotations

from benchmarks.capacity.record import Record, Row
from benchmarks.capacity.target import Target
from benchmarks.capacity.working import (
    BYTES_LIMIT,
    CORE_LIMIT,
    MEMORY_LIMIT,
    CostLimit,
    at_node_count,
    fit_by_name,
    make_row,
)

SCALE_RUN = "sailrun lab run scale, real time, all tables but shards"
MEAN = "mean of the sizes measured, no rise was seen"
ROLE_TITLES = {"ordinary": "ordinary node", "voter": "voter", "owner_marks": "owner of marks"}


def _usage_row(
    record: Record, role: str, quantity: str, cost: str, cost_limit: CostLimit, kind: str = "constant"
) -> Row:
    return make_row(
        record,
        f"scale.{role}.{quantity}",
        at_node_count,
        role=ROLE_TITLES[role],
        cost=cost,
        cost_limit=cost_limit,
        mechanism=SCALE_RUN,
        arithmetic=MEAN if kind == "constant" else "fit at the number of nodes",
        kind=kind,
    )


def _bytes_row(record: Record, role: str) -> Row:
    def bytes_in_and_out(target: Target) -> float:
        return sum(
            fit_by_name(record, f"scale.{role}.bytes_{direction}", "constant").at(target.nodes)
            for direction in ("in", "out")
        )

    return make_row(
        record,
        f"scale.{role}.bytes_in",
        lambda fit, target: bytes_in_and_out(target),
        role=ROLE_TITLES[role],
        cost="at rest over sockets: bytes, without headers",
        cost_limit=BYTES_LIMIT,
        mechanism=SCALE_RUN,
        arithmetic=f"bytes in + bytes out; {MEAN}; samples are those in",
        kind="constant",
    )


def rows(record: Record) -> list[Row]:
    cpu_text, memory_text = "processor time, whole process shared out", "memory beside the process's own"
    return [
        *(_bytes_row(record, role) for role in ROLE_TITLES),
        *(
            _usage_row(record, role, "cpu_whole", f"at rest over sockets: {cpu_text}", CORE_LIMIT)
            for role in ROLE_TITLES
        ),
        _usage_row(
            record, "ordinary", "memory_mb", f"at rest over sockets: {memory_text}", MEMORY_LIMIT, "line"
        ),
    ]
