"""The command: see the package."""

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
from benchmarks.capacity.measure_fleet import PLAYS, measured
from benchmarks.capacity.measure_leases import leases
from benchmarks.capacity.measure_process import connections
from benchmarks.capacity.measure_pure import PURE
from benchmarks.capacity.measure_scale import scale
from benchmarks.capacity.measure_shards import placements, region
from benchmarks.capacity.page import write_page
from benchmarks.capacity.record import ROOT, Machine, Measurement, Record, read_record, write_record
from benchmarks.capacity.rows import all_rows, ranked
from benchmarks.capacity.working import short

ALONE: dict[str, Callable[[], list[Measurement]]] = {
    **PURE,
    "leases": leases,
    "connections": connections,
    "placements": placements,
    "region": region,
    "scale": scale,
}
GROUPS = [*ALONE, *PLAYS]
USAGE = f"usage: python -m benchmarks.capacity measure [GROUP ...] | page | rank\ngroups: {' '.join(GROUPS)}"


def this_machine() -> Machine:
    lines = Path("/proc/cpuinfo").read_text().splitlines()
    model = next((line.partition(":")[2].strip() for line in lines if line.startswith("model name")), "")
    return Machine(os.cpu_count() or 0, model or platform.machine(), platform.python_version())


def this_commit() -> str:
    asked = ["git", "-C", str(ROOT), "rev-parse", "--short", "HEAD"]
    return subprocess.run(asked, capture_output=True, text=True, check=True).stdout.strip()


def run(group: str) -> list[Measurement]:
    return ALONE[group]() if group in ALONE else measured(group)


def measure(groups: list[str]) -> None:
    """Runs the groups one after another, and keeps each as soon as it has ended."""
    for group in groups:
        commit, date = this_commit(), datetime.now(UTC).isoformat(timespec="seconds")
        load = os.getloadavg()[0]
        found = run(group)
        record = read_record() or Record(this_machine(), [], [])
        for one in found:
            record.put(
                structs.replace(one, commit=commit, date=date, load=round(max(load, os.getloadavg()[0]), 1))
            )
            pairs = zip(one.sizes, one.values, strict=True)
            samples = ", ".join(f"{short(size)}: {short(value)}" for size, value in pairs)
            print(f"{one.name:32} {one.unit:12} {samples}", flush=True)
        work_out(record)
        write_record(record)


def work_out(record: Record) -> None:
    """Rows and failures anew, from the measurements that there are."""
    record.rows, record.failures = all_rows(record), failures(record)


def rank(record: Record) -> None:
    for place, row in enumerate(ranked(record.rows), 1):
        figure = f"{short(row.figures[1])} {row.unit}"
        print(f"{place:3} {short(row.ratios[1]):>10}  {row.role}: {row.cost}: {figure}; {row.verdict}")
    for row in record.rows:
        if not row.ratios:
            figure = f"{short(row.figures[1])} {row.unit}" if row.figures else row.why
            print(f"    {'':>10}  {row.role}: {row.cost}: {figure}; {row.verdict}")


def main(words: list[str]) -> int:
    command, groups = (words[0], words[1:]) if words else ("", [])
    if command == "measure" and set(groups) <= set(GROUPS):
        measure(groups or GROUPS)
        return 0
    record = read_record()
    if command not in ("page", "rank") or groups or record is None:
        print(USAGE, file=sys.stderr)
        return 2
    work_out(record)
    if command == "rank":
        rank(record)
    else:
        write_record(record)
        write_page(record)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
