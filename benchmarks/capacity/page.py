"""Writes the tables of docs/CAPACITY.md from docs/capacity.json.

Only text between `<!-- table NAME -->` and `<!-- end -->` is replaced. Text outside these markers is written
by hand and is not changed.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from pathlib import Path

from benchmarks.capacity.record import ROOT, Measurement, Record, Row
from benchmarks.capacity.rows import SECTIONS, rank_rows
from benchmarks.capacity.target import TARGETS
from benchmarks.capacity.working import format_number

PAGE = ROOT / "docs" / "CAPACITY.md"
_TABLE_BLOCK = re.compile(r"(<!-- table (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)
MAX_ROWS_PER_SIZE = 8


class UnknownTable(ValueError):
    """A marker of the page names a table that does not exist."""


def markdown_table(headers: Sequence[str], lines: Sequence[Sequence[str]]) -> str:
    rows = [headers, ["---"] * len(headers), *lines]
    return "".join("| " + " | ".join(cell.replace("|", "\\|") for cell in row) + " |\n" for row in rows)


def _figure(row: Row, target_index: int = 1) -> str:
    return f"{format_number(row.figures[target_index])} {row.unit}" if row.figures else "not measured"


def _ratio(row: Row, target_index: int = 1) -> str:
    return format_number(row.ratios[target_index]) if row.ratios else ""


def _fit_error(row: Row) -> str:
    return f"{row.fit.residual:.0%}" if row.fit else ""


def _verdict(row: Row) -> str:
    note = f"; **replaced by {row.replaced_by}**" if row.replaced_by else ""
    return row.verdict + note


def _limit(row: Row) -> str:
    return f"{format_number(row.limit)} ({row.limit_of})" if row.limit else "none stated"


def ranking_table(record: Record) -> str:
    lines = [
        [str(rank), _ratio(row), row.role, row.cost, _figure(row), _fit_error(row), _verdict(row)]
        for rank, row in enumerate(rank_rows(record.rows), 1)
    ]
    unranked = [row for row in record.rows if not row.ratios]
    unranked_lines = [
        ["", "", row.role, row.cost, _figure(row), _fit_error(row), _verdict(row)] for row in unranked
    ]
    headers = ["", "cost / limit", "role", "cost", "at the target", "fit misses by", "verdict"]
    return markdown_table(headers, lines + unranked_lines)


def section_table(record: Record, section: str) -> str:
    lines = [
        [
            row.role,
            row.cost,
            row.slope or "not measured",
            _fit_error(row),
            row.arithmetic,
            _figure(row),
            _limit(row),
            _ratio(row),
            _verdict(row) + (f" ({row.why})" if row.why else ""),
            row.mechanism,
        ]
        for row in record.rows
        if row.section == section
    ]
    headers = ["role", "cost", "slope", "fit misses by", "arithmetic", "at the target", "limit", "ratio"]
    return markdown_table([*headers, "verdict", "carried by"], lines)


def detail_tables(record: Record) -> str:
    return "\n".join(f"### {section}\n\n{section_table(record, section)}" for section in SECTIONS)


def size_table(record: Record) -> str:
    """Returns the table of the rows with the highest ratios at each size, without replaced rows."""
    lines = []
    current = [row for row in record.rows if not row.replaced_by]
    for target_index, target in enumerate(TARGETS):
        for rank, row in enumerate(rank_rows(current, target_index)[:MAX_ROWS_PER_SIZE], 1):
            size = f"{target.name} ({target.nodes:,.0f} nodes)" if rank == 1 else ""
            lines.append(
                [
                    size,
                    str(rank),
                    _ratio(row, target_index),
                    row.role,
                    row.cost,
                    _figure(row, target_index),
                ]
            )
    return markdown_table(["size", "", "cost / limit", "role", "cost", "figure"], lines)


def failure_table(record: Record) -> str:
    lines = [
        [
            failure.what,
            failure.seen,
            failure.how_long,
            failure.never,
            ("not run; " if failure.reasoned else "") + failure.source,
        ]
        for failure in record.failures
    ]
    return markdown_table(["failure", "what is seen", "for how long", "never broken", "source"], lines)


def measurement_table(record: Record) -> str:
    def line(measurement: Measurement) -> list[str]:
        pairs = zip(measurement.sizes, measurement.values, strict=True)
        samples = ", ".join(f"{format_number(size)}: {format_number(value)}" for size, value in pairs)
        return [
            measurement.name,
            f"{measurement.size}: {measurement.unit}",
            samples,
            f"{measurement.commit} {measurement.date}",
            format_number(measurement.load),
        ]

    headers = ["measurement", "size: unit", "samples", "commit, date (UTC)", "load of the machine"]
    return markdown_table(headers, [line(measurement) for measurement in record.measurements])


def machine_table(record: Record) -> str:
    machine = record.machine
    return markdown_table(
        ["cores", "processor", "Python"], [[str(machine.cores), machine.cpu, machine.python]]
    )


TABLES = {
    "ranking": ranking_table,
    "details": detail_tables,
    "scales": size_table,
    "failures": failure_table,
    "measurements": measurement_table,
    "machine": machine_table,
}


def render_tables(text: str, record: Record) -> str:
    """Returns the text of the page with every table rendered from the record. Raises UnknownTable."""

    def render_block(marker: re.Match[str]) -> str:
        render = TABLES.get(marker[2])
        if render is None:
            raise UnknownTable(marker[2])
        return f"{marker[1]}{render(record)}{marker[3]}"

    return _TABLE_BLOCK.sub(render_block, text)


def write_page(record: Record, path: Path = PAGE) -> None:
    path.write_text(render_tables(path.read_text(), record))
