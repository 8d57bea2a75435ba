"""Rows of nodes at rest over real sockets: dearer than in virtual time, where no socket is."""

from __future__ import annotations

from benchmarks.capacity.record import Record, Row
from benchmarks.capacity.target import Target
from benchmarks.capacity.working import BYTES, CORE, MEMORY, Bound, by_nodes, fit_of, row

RUN = "sailrun lab run scale, real time, all tables but shards"
MEAN = "mean of the sizes measured, no rise was seen"
ROLES = {"ordinary": "ordinary node", "voter": "voter", "owner_marks": "owner of marks"}


def _use(record: Record, role: str, what: str, cost: str, bound: Bound, kind: str = "constant") -> Row:
    return row(
        record,
        f"scale.{role}.{what}",
        by_nodes,
        role=ROLES[role],
        cost=cost,
        bound=bound,
        mechanism=RUN,
        arithmetic=MEAN if kind == "constant" else "fit at the number of nodes",
        kind=kind,
    )


def _bytes(record: Record, role: str) -> Row:
    def both(target: Target) -> float:
        return sum(
            fit_of(record, f"scale.{role}.bytes_{way}", "constant").at(target.nodes) for way in ("in", "out")
        )

    return row(
        record,
        f"scale.{role}.bytes_in",
        lambda fit, target: both(target),
        role=ROLES[role],
        cost="at rest over sockets: bytes, without headers",
        bound=BYTES,
        mechanism=RUN,
        arithmetic=f"bytes in + bytes out; {MEAN}; samples are those in",
        kind="constant",
    )


def rows(record: Record) -> list[Row]:
    time, memory = "processor time, whole process shared out", "memory beside the process's own"
    return [
        *(_bytes(record, role) for role in ROLES),
        *(_use(record, role, "cpu_whole", f"at rest over sockets: {time}", CORE) for role in ROLES),
        _use(record, "ordinary", "memory_mb", f"at rest over sockets: {memory}", MEMORY, "line"),
    ]
