"""The records of a run: samples, events and requests as columns in Parquet files."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any


@dataclass(slots=True)
class Table:
    """A table under construction, stored by column."""

    name: str
    columns: dict[str, list[Any]] = field(default_factory=dict)

    def add(self, **row: Any) -> None:
        for name, value in row.items():
            self.columns.setdefault(name, []).append(value)

    def __len__(self) -> int:
        return len(next(iter(self.columns.values()), ()))


class Records:
    """The tables of a run. Times are in us since the run began."""

    def __init__(self) -> None:
        self.servers = Table("servers")  # one row per form server and second
        self.seconds = Table("seconds")  # one row per second
        self.events = Table("events")  # events in the world and log events of nodes
        self.requests = Table("requests")  # one row per answer

    def tables(self) -> tuple[Table, ...]:
        return self.servers, self.seconds, self.events, self.requests

    def write(self, folder: Path) -> None:
        """Writes one file per table. The same rows give the same bytes."""
        import pyarrow as pa
        import pyarrow.parquet as pq

        for table in self.tables():
            columns = pa.table({name: pa.array(values) for name, values in table.columns.items()})
            pq.write_table(columns, folder / f"{table.name}.parquet", compression="zstd")


def read_table(folder: Path, name: str) -> dict[str, list[Any]]:
    """Returns a table's columns. Raises OSError or ValueError if the file is not a readable table."""
    import pyarrow.parquet as pq

    columns: dict[str, list[Any]] = pq.read_table(folder / f"{name}.parquet").to_pydict()
    return columns
