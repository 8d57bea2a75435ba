"""All rows in the order of the page, and their ranking."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import structs

from benchmarks.capacity import (
    rows_connections,
    rows_control,
    rows_delivery,
    rows_loads,
    rows_membership,
    rows_replica,
    rows_shards,
    rows_shards_by_node,
    rows_sockets,
    rows_tasks,
)
from benchmarks.capacity.record import Record, Row

SECTIONS: dict[str, Callable[[Record], list[Row]]] = {
    "Members": rows_membership.rows,
    "At rest over sockets": rows_sockets.rows,
    "Leases, votes and owners of fleet tasks": rows_tasks.rows,
    "Copies and changes of configuration": rows_replica.rows,
    "Sums of loads": rows_loads.rows,
    "Shards, as tasks are owned": rows_shards.rows,
    "Shards, one lease per node": rows_shards_by_node.rows,
    "Connections": rows_connections.rows,
    "Deliveries": rows_delivery.rows,
    "Restarts and control machines": rows_control.rows,
}


def all_rows(record: Record) -> list[Row]:
    return [
        structs.replace(row, section=title)
        for title, section_rows in SECTIONS.items()
        for row in section_rows(record)
    ]


def rank_rows(rows: list[Row], target_index: int = 1) -> list[Row]:
    """Returns the rows with a ratio of cost to limit, highest ratio first. `target_index` is an index of
    `target.TARGETS`.
    """
    return sorted((row for row in rows if row.ratios), key=lambda row: -row.ratios[target_index])
