"""Rows of the leases and votes of fleet tasks, and of each task's owner."""

from __future__ import annotations

from benchmarks.capacity.record import Record, Row
from benchmarks.capacity.rows_replica import asks_s
from benchmarks.capacity.target import Target
from benchmarks.capacity.working import BYTES, CORE, Resized, row

# In the measured fleet: permits, pace, marks, and one data centre's reader. At the target a reader a zone.
TASKS_MEASURED, TASKS_OF_FLEET = 4, 3
VOTES = "leadership/leases.py and voter.py: a lease for each task, renewed 8 times in 2 s with every voter"


def votes(record: Record) -> list[Row]:
    def leases(target: Target) -> float:
        return TASKS_OF_FLEET + target.zones

    return [
        row(
            record,
            "voter.bytes_s",
            lambda fit, target: fit.at(target.nodes) / TASKS_MEASURED * leases(target),
            role="voter",
            cost="leases of fleet tasks: bytes",
            bound=BYTES,
            mechanism=VOTES,
            arithmetic="fit at the number of nodes / 4 tasks measured * 26 tasks (3 and a reader a zone)",
        ),
        row(
            record,
            "shard_leases.voter_cpu",
            lambda fit, target: fit.slope * leases(target),
            role="voter",
            cost="leases of fleet tasks: processor time, without sockets",
            bound=CORE,
            mechanism=VOTES,
            arithmetic="processor time for a lease * 26 tasks",
            kind="line",
        ),
    ]


def permits(record: Record) -> list[Row]:
    office = "leadership/permits.py: who holds or waits says so once a second"
    return [
        row(
            record,
            "permits.bytes_s",
            lambda fit, target: fit.at(target.restarts_day * 600 / 86_400),
            role="owner of permits",
            cost="restarts of an ordinary day: bytes",
            bound=BYTES,
            mechanism=office,
            arithmetic="restarts a day * 600 s each with a permit or in line / 86,400 s = how many at a time",
        ),
        row(
            record,
            "permits.bytes_s",
            lambda fit, target: fit.at(target.nodes),
            role="owner of permits",
            cost="a rolling drain over all nodes: bytes",
            bound=BYTES,
            mechanism=office,
            arithmetic="fit with every node in line at once",
        ),
    ]


def pace(record: Record) -> list[Row]:
    office = "leadership/move_rate.py: a share is asked for each half second while clients are moved"
    return [
        row(
            record,
            "pace_lent.bytes_s",
            lambda fit, target: fit.at(target.nodes),
            role="owner of the pace",
            cost="all nodes move clients: bytes",
            bound=BYTES,
            mechanism=office,
            arithmetic="fit at the number of nodes",
        ),
        row(
            record,
            "pace_lent.cpu_us",
            lambda fit, target: fit.at(target.nodes) / 1e6 * 2.0 * target.nodes,
            role="owner of the pace",
            cost="all nodes move clients: processor time, without sockets",
            bound=CORE,
            mechanism=f"{office}; each ask adds up all shares lent",
            arithmetic="time for an ask by its fit * 2 asks a second * nodes",
        ),
    ]


def reader(record: Record) -> list[Row]:
    reading = "leadership/list_reader.py: the reader of a zone is asked twice a second by each node there"
    return [
        row(
            record,
            "roster.bytes_s",
            lambda fit, target: fit.at(target.zone_nodes),
            role="reader of a zone",
            cost="an empty list that changes each second: bytes",
            bound=BYTES,
            mechanism=reading,
            arithmetic="fit at the nodes of a zone (all nodes measured were one zone)",
        ),
        row(
            record,
            "roster.cpu",
            lambda fit, target: fit.at(target.zone_nodes),
            role="reader of a zone",
            cost="the same: processor time, without sockets",
            bound=CORE,
            mechanism=reading,
            arithmetic="fit at the nodes of a zone",
        ),
        row(
            record,
            "roster.list_bytes",
            lambda fit, target: fit.at(1_000) * target.zone_nodes * target.restarts_day / 86_400,
            role="reader of a zone",
            cost="whole lists of 1,000 form servers for the day's changes: bytes",
            bound=BYTES,
            mechanism="leadership/list_reader.py: the whole list goes to every node at each change",
            arithmetic="list of 1,000 (assumed) * nodes of a zone * 520 changes of a day / 86,400 s",
            reckoned=True,
        ),
    ]


def marks(record: Record) -> list[Row]:
    asking = "replication/copy_lag.py: each node asks every second, past 200 nodes more seldom"
    about = (
        ("marks.bytes_s", "at rest, nodes ask whether they are behind: bytes", BYTES),
        ("marks.cpu", "at rest, the same: processor time, without sockets", CORE),
    )
    return [
        row(
            record,
            name,
            lambda fit, target: fit.at(asks_s(target.nodes)),
            role="owner of marks",
            cost=cost,
            bound=bound,
            mechanism=asking,
            arithmetic="fit at nodes / (nodes // 200) questions a second",
            kind="through",
            by=Resized("questions a second", asks_s),
            why="bounded only because nodes ask more seldom: see how late a change is noticed",
        )
        for name, cost, bound in about
    ]


def rows(record: Record) -> list[Row]:
    return votes(record) + permits(record) + pace(record) + reader(record) + marks(record)
