"""Rows of the leases and votes of fleet tasks, and of the leader of each task."""

from __future__ import annotations

from benchmarks.capacity.record import Record, Row
from benchmarks.capacity.rows_replica import comparisons_per_s
from benchmarks.capacity.target import Target
from benchmarks.capacity.working import BYTES_LIMIT, CORE_LIMIT, RescaledSize, make_row

# The measured fleet is one zone, with the tasks permits, pace and marks and one list reader. The target fleet
# has the same three tasks and one list reader per zone.
MEASURED_TASKS, FLEET_WIDE_TASKS = 4, 3
TASK_LEASES = (
    "leadership/leases.py and voter.py: a lease for each task, renewed 8 times in 2 s with every voter"
)


def voter_rows(record: Record) -> list[Row]:
    def target_tasks(target: Target) -> float:
        return FLEET_WIDE_TASKS + target.zones

    return [
        make_row(
            record,
            "voter.bytes_s",
            lambda fit, target: fit.at(target.nodes) / MEASURED_TASKS * target_tasks(target),
            role="voter",
            cost="leases of fleet tasks: bytes",
            cost_limit=BYTES_LIMIT,
            mechanism=TASK_LEASES,
            arithmetic="fit at the number of nodes / 4 tasks measured * 26 tasks (3 and a reader a zone)",
        ),
        make_row(
            record,
            "shard_leases.voter_cpu",
            lambda fit, target: fit.slope * target_tasks(target),
            role="voter",
            cost="leases of fleet tasks: processor time, without sockets",
            cost_limit=CORE_LIMIT,
            mechanism=TASK_LEASES,
            arithmetic="processor time for a lease * 26 tasks",
            kind="line",
        ),
    ]


def permit_rows(record: Record) -> list[Row]:
    permit_mechanism = "leadership/permits.py: who holds or waits says so once a second"
    return [
        make_row(
            record,
            "permits.bytes_s",
            lambda fit, target: fit.at(target.restarts_per_day * 600 / 86_400),
            role="owner of permits",
            cost="restarts of an ordinary day: bytes",
            cost_limit=BYTES_LIMIT,
            mechanism=permit_mechanism,
            arithmetic="restarts a day * 600 s each with a permit or in line / 86,400 s = how many at a time",
        ),
        make_row(
            record,
            "permits.bytes_s",
            lambda fit, target: fit.at(target.nodes),
            role="owner of permits",
            cost="a rolling drain over all nodes: bytes",
            cost_limit=BYTES_LIMIT,
            mechanism=permit_mechanism,
            arithmetic="fit with every node in line at once",
        ),
    ]


def move_rate_rows(record: Record) -> list[Row]:
    move_rate_mechanism = (
        "leadership/move_rate.py: a share is asked for each half second while clients are moved"
    )
    return [
        make_row(
            record,
            "pace_lent.bytes_s",
            lambda fit, target: fit.at(target.nodes),
            role="owner of the pace",
            cost="all nodes move clients: bytes",
            cost_limit=BYTES_LIMIT,
            mechanism=move_rate_mechanism,
            arithmetic="fit at the number of nodes",
        ),
        make_row(
            record,
            "pace_lent.cpu_us",
            lambda fit, target: fit.at(target.nodes) / 1e6 * 2.0 * target.nodes,
            role="owner of the pace",
            cost="all nodes move clients: processor time, without sockets",
            cost_limit=CORE_LIMIT,
            mechanism=f"{move_rate_mechanism}; each ask adds up all shares lent",
            arithmetic="time for an ask by its fit * 2 asks a second * nodes",
        ),
    ]


def list_reader_rows(record: Record) -> list[Row]:
    reader_mechanism = (
        "leadership/list_reader.py: the reader of a zone is asked twice a second by each node there"
    )
    return [
        make_row(
            record,
            "roster.bytes_s",
            lambda fit, target: fit.at(target.nodes_per_zone),
            role="reader of a zone",
            cost="an empty list that changes each second: bytes",
            cost_limit=BYTES_LIMIT,
            mechanism=reader_mechanism,
            arithmetic="fit at the nodes of a zone (all nodes measured were one zone)",
        ),
        make_row(
            record,
            "roster.cpu",
            lambda fit, target: fit.at(target.nodes_per_zone),
            role="reader of a zone",
            cost="the same: processor time, without sockets",
            cost_limit=CORE_LIMIT,
            mechanism=reader_mechanism,
            arithmetic="fit at the nodes of a zone",
        ),
        make_row(
            record,
            "roster.list_bytes",
            lambda fit, target: fit.at(1_000) * target.nodes_per_zone * target.restarts_per_day / 86_400,
            role="reader of a zone",
            cost="whole lists of 1,000 form servers for the day's changes: bytes",
            cost_limit=BYTES_LIMIT,
            mechanism="leadership/list_reader.py: the whole list goes to every node at each change",
            arithmetic="list of 1,000 (assumed) * nodes of a zone * 520 changes of a day / 86,400 s",
            estimated=True,
        ),
    ]


def mark_rows(record: Record) -> list[Row]:
    comparison_mechanism = "replication/copy_lag.py: each node asks every second, past 200 nodes more seldom"
    costs = (
        ("marks.bytes_s", "at rest, nodes ask whether they are behind: bytes", BYTES_LIMIT),
        ("marks.cpu", "at rest, the same: processor time, without sockets", CORE_LIMIT),
    )
    return [
        make_row(
            record,
            name,
            lambda fit, target: fit.at(comparisons_per_s(target.nodes)),
            role="owner of marks",
            cost=cost,
            cost_limit=cost_limit,
            mechanism=comparison_mechanism,
            arithmetic="fit at nodes / (nodes // 200) questions a second",
            kind="through",
            rescale=RescaledSize("questions a second", comparisons_per_s),
            why="bounded only because nodes ask more seldom: see how late a change is noticed",
        )
        for name, cost, cost_limit in costs
    ]


def rows(record: Record) -> list[Row]:
    return (
        voter_rows(record)
        + permit_rows(record)
        + move_rate_rows(record)
        + list_reader_rows(record)
        + mark_rows(record)
    )
