"""The stored record, docs/capacity.json: the measurements as taken and the rows computed from them.

The field names of the structures are the keys of that file.
"""

from __future__ import annotations

import math
from pathlib import Path

import msgspec

from benchmarks.capacity.fit import Fit

ROOT = Path(__file__).resolve().parents[2]
RECORD_PATH = ROOT / "docs" / "capacity.json"

HOLDS, NOT_MEASURED = "holds", "not measured"


class Machine(msgspec.Struct, frozen=True):
    cores: int
    cpu: str
    python: str


class Measurement(msgspec.Struct, frozen=True):
    """One quantity measured at several sizes. `size` names the items counted by `sizes`, `unit` the unit of
    the values.
    """

    name: str
    size: str
    unit: str
    sizes: list[float]
    values: list[float]
    how: str
    commit: str = ""
    date: str = ""  # UTC, ISO 8601
    load: float = 0.0  # larger of the machine's one-minute load averages before and after


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One cost at the three fleet sizes. `figures` and `ratios` are in the order of `target.TARGETS`."""

    role: str  # the part of the fleet that bears the cost
    cost: str  # name of the cost
    unit: str
    mechanism: str  # the code that causes the cost, existing or planned
    slope: str = ""  # as text, with its unit
    sizes: list[float] = []  # of the samples of the fit
    values: list[float] = []  # of the samples of the fit
    fit: Fit | None = None
    arithmetic: str = ""  # how the figures follow from the fit, as text
    figures: list[float] = []
    limit: float = 0.0  # 0: none stated
    limit_of: str = ""  # text that explains the limit
    ratios: list[float] = []
    verdict: str = NOT_MEASURED
    why: str = ""  # reason why it was not measured, or a further note
    section: str = ""
    replaced_by: str = ""  # the mechanism that replaced this one; the row no longer limits the fleet size


class Failure(msgspec.Struct, frozen=True):
    """The effect of a failure on the fleet. `reasoned`: the effect was derived, not run."""

    what: str
    seen: str  # effects during the failure
    how_long: str  # duration of these effects
    never: str  # invariant that the failure does not violate
    source: str
    reasoned: bool


class Record(msgspec.Struct):
    machine: Machine
    measurements: list[Measurement]
    rows: list[Row]
    failures: list[Failure] = []

    def measurement(self, name: str) -> Measurement | None:
        return next((each for each in self.measurements if each.name == name), None)

    def put(self, measurement: Measurement) -> None:
        """Stores a measurement in place of an older one with the same name."""
        others = [each for each in self.measurements if each.name != measurement.name]
        self.measurements = sorted([*others, measurement], key=lambda each: each.name)


def read_record(path: Path = RECORD_PATH) -> Record | None:
    """Returns None if the file does not exist."""
    return msgspec.json.decode(path.read_bytes(), type=Record) if path.exists() else None


def write_record(record: Record, path: Path = RECORD_PATH) -> None:
    """Raises ValueError if a value is not finite: a state that was not reached in time is not a sample."""
    for measurement in record.measurements:
        if not all(map(math.isfinite, measurement.values)):
            raise ValueError(
                f"measurement {measurement.name} has a value that is not finite: {measurement.values}"
            )
    path.write_bytes(msgspec.json.format(msgspec.json.encode(record), indent=1) + b"\n")
