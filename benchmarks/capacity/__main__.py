"""Command line of the capacity model; the package's doc comment lists the subcommands."""

from __future__ import annotations

import os
import platform
import subprocess
import sys
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path

from msgspec import structs

from benchmarks.capacity.failures import failures
from benchmarks.capacity.measure_fleet import FLEET_SCENARIOS, measure_scenario
from benchmarks.capacity.measure_leases import measure_leases
from benchmarks.capacity.measure_process import measure_connections
from benchmarks.capacity.measure_pure import MODULE_GROUPS
from benchmarks.capacity.measure_scale import measure_scale
from benchmarks.capacity.measure_shards import measure_assigner_loss, measure_placement, measure_region
from benchmarks.capacity.page import write_page
from benchmarks.capacity.record import ROOT, Machine, Measurement, Record, read_record, write_record
from benchmarks.capacity.rows import all_rows, rank_rows
from benchmarks.capacity.working import format_number

STANDALONE_GROUPS: dict[str, Callable[[], list[Measurement]]] = {
    **MODULE_GROUPS,
    "leases": measure_leases,
    "connections": measure_connections,
    "placements": measure_placement,
    "region": measure_region,
    "assigner": measure_assigner_loss,
    "scale": measure_scale,
}
GROUPS = [*STANDALONE_GROUPS, *FLEET_SCENARIOS]
USAGE = f"usage: python -m benchmarks.capacity measure [GROUP ...] | page | rank\ngroups: {' '.join(GROUPS)}"


def describe_machine() -> Machine:
    lines = Path("/proc/cpuinfo").read_text().splitlines()
    model = next((line.partition(":")[2].strip() for line in lines if line.startswith("model name")), "")
    return Machine(os.cpu_count() or 0, model or platform.machine(), platform.python_version())


def current_commit() -> str:
    command = ["git", "-C", str(ROOT), "rev-parse", "--short", "HEAD"]
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout.strip()


def run_group(group: str) -> list[Measurement]:
    return STANDALONE_GROUPS[group]() if group in STANDALONE_GROUPS else measure_scenario(group)


def measure_groups(groups: list[str]) -> None:
    """Runs the groups one after another and stores the measurements of each group as soon as it ends."""
    for group in groups:
        commit, date = current_commit(), datetime.now(UTC).isoformat(timespec="seconds")
        load_before = os.getloadavg()[0]
        measurements = run_group(group)
        record = read_record() or Record(describe_machine(), [], [])
        for measurement in measurements:
            record.put(
                structs.replace(
                    measurement, commit=commit, date=date, load=round(max(load_before, os.getloadavg()[0]), 1)
                )
            )
            pairs = zip(measurement.sizes, measurement.values, strict=True)
            samples_text = ", ".join(
                f"{format_number(size)}: {format_number(value)}" for size, value in pairs
            )
            print(f"{measurement.name:32} {measurement.unit:12} {samples_text}", flush=True)
        update_rows(record)
        write_record(record)


def update_rows(record: Record) -> None:
    """Recomputes the rows and failures of the record from its measurements."""
    record.rows, record.failures = all_rows(record), failures(record)


def print_ranking(record: Record) -> None:
    for rank, row in enumerate(rank_rows(record.rows), 1):
        figure = f"{format_number(row.figures[1])} {row.unit}"
        print(f"{rank:3} {format_number(row.ratios[1]):>10}  {row.role}: {row.cost}: {figure}; {row.verdict}")
    for row in record.rows:
        if not row.ratios:
            figure = f"{format_number(row.figures[1])} {row.unit}" if row.figures else row.why
            print(f"    {'':>10}  {row.role}: {row.cost}: {figure}; {row.verdict}")


def main(arguments: list[str]) -> int:
    command, groups = (arguments[0], arguments[1:]) if arguments else ("", [])
    if command == "measure" and set(groups) <= set(GROUPS):
        measure_groups(groups or GROUPS)
        return 0
    record = read_record()
    if command not in ("page", "rank") or groups or record is None:
        print(USAGE, file=sys.stderr)
        return 2
    update_rows(record)
    if command == "rank":
        print_ranking(record)
    else:
        write_record(record)
        write_page(record)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
