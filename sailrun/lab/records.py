"""What a day leaves behind: columns of samples, events and requests, in Parquet files."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any


@dataclass(slots=True)
class Table:
    """A table in the making, column by column."""

    name: str
    columns: dict[str, list[Any]] = field(default_factory=dict)

    def add(self, **row: Any) -> None:
        for name, value in row.items():
            self.columns.setdefault(name, []).append(value)

    def __len__(self) -> int:
        return len(next(iter(self.columns.values()), ()))


class Records:
    """Times are us since the day began."""

    def __init__(self) -> None:
        self.servers = Table("servers")  # a row for each form server and second
        self.seconds = Table("seconds")  # a row for each second
        self.events = Table("events")  # what happened to the world, and what nodes logged
        self.requests = Table("requests")  # a row for each answer

    def tables(self) -> tuple[Table, ...]:
        return self.servers, self.seconds, self.events, self.requests

    def write(self, folder: Path) -> None:
        """One file a table. The same rows give the same bytes."""
        import pyarrow as pa
        import pyarrow.parquet as pq

        for table in self.tables():
            columns = pa.table({name: pa.array(values) for name, values in table.columns.items()})
            pq.write_table(columns, folder / f"{table.name}.parquet", compression="zstd")


def read_table(folder: Path, name: str) -> dict[str, list[Any]]:
    """A table's columns. Raises OSError or ValueError for a file that is none."""
    import pyarrow.parquet as pq

    columns: dict[str, list[Any]] = pq.read_table(folder / f"{name}.parquet").to_pydict()
    return columns
