"""What is kept in docs/capacity.json: samples as measured, and the rows worked out from them."""

from __future__ import annotations

import math
from pathlib import Path

import msgspec

from benchmarks.capacity.fit import Fit

ROOT = Path(__file__).resolve().parents[2]
RECORD = ROOT / "docs" / "capacity.json"

HOLDS, NOT_MEASURED = "holds", "not measured"


class Machine(msgspec.Struct, frozen=True):
    cores: int
    cpu: str
    python: str


class Measurement(msgspec.Struct, frozen=True):
    """One quantity at several sizes. `size` says what the sizes count, `unit` what the values are."""

    name: str
    size: str
    unit: str
    sizes: list[float]
    values: list[float]
    how: str
    commit: str = ""
    date: str = ""  # UTC, ISO 8601
    load: float = 0.0  # of the machine (one-minute average) when it was measured


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One cost at the three sizes of the fleet. `figures` and `ratios` follow `target.TARGETS`."""

    role: str  # who pays
    cost: str  # what it pays
    unit: str
    mechanism: str  # what carries it, in the program or planned
    slope: str = ""  # in words, with its unit
    sizes: list[float] = []
    values: list[float] = []
    fit: Fit | None = None
    arithmetic: str = ""
    figures: list[float] = []
    limit: float = 0.0
    limit_of: str = ""
    ratios: list[float] = []
    verdict: str = NOT_MEASURED
    why: str = ""  # where it was not measured, or what else is to be known
    section: str = ""
    replaced_by: str = ""  # what carries the same now; such a row breaks nothing any more


class Failure(msgspec.Struct, frozen=True):
    """What a failure does to the fleet. `reasoned`: it was not run as such."""

    what: str
    seen: str
    how_long: str
    never: str  # what is not broken
    source: str
    reasoned: bool


class Record(msgspec.Struct):
    machine: Machine
    measurements: list[Measurement]
    rows: list[Row]
    failures: list[Failure] = []

    def measurement(self, name: str) -> Measurement | None:
        return next((one for one in self.measurements if one.name == name), None)

    def put(self, measurement: Measurement) -> None:
        """Keeps one, in place of an older one of its name."""
        kept = [one for one in self.measurements if one.name != measurement.name]
        self.measurements = sorted([*kept, measurement], key=lambda one: one.name)


def read_record(path: Path = RECORD) -> Record | None:
    """None: there is no file yet."""
    return msgspec.json.decode(path.read_bytes(), type=Record) if path.exists() else None


def write_record(record: Record, path: Path = RECORD) -> None:
    """Raises ValueError for a figure that is no finite number: what was not reached is not a sample."""
    for one in record.measurements:
        if not all(map(math.isfinite, one.values)):
            raise ValueError(f"{one.name}: {one.values}")
    path.write_bytes(msgspec.json.format(msgspec.json.encode(record), indent=1) + b"\n")
