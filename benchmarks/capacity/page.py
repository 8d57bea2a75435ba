"""The tables of docs/CAPACITY.md, from docs/capacity.json. Text outside the markers is written by hand."""

from __future__ import annotations

import re
from collections.abc import Sequence
from pathlib import Path

from benchmarks.capacity.record import ROOT, Measurement, Record, Row
from benchmarks.capacity.rows import SECTIONS, ranked
from benchmarks.capacity.target import TARGETS
from benchmarks.capacity.working import short

PAGE = ROOT / "docs" / "CAPACITY.md"
_MARKED = re.compile(r"(<!-- table (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)
SHOWN_AT_SCALE = 8


class UnknownTable(ValueError):
    """A marker in the page that names no table."""


def table(heads: Sequence[str], lines: Sequence[Sequence[str]]) -> str:
    rows = [heads, ["---"] * len(heads), *lines]
    return "".join("| " + " | ".join(cell.replace("|", "\\|") for cell in row) + " |\n" for row in rows)


def _figure(row: Row, at: int = 1) -> str:
    return f"{short(row.figures[at])} {row.unit}" if row.figures else "not measured"


def _ratio(row: Row, at: int = 1) -> str:
    return short(row.ratios[at]) if row.ratios else ""


def _missed(row: Row) -> str:
    return f"{row.fit.residual:.0%}" if row.fit else ""


def _verdict(row: Row) -> str:
    replaced = f"; **replaced by {row.replaced_by}**" if row.replaced_by else ""
    return row.verdict + replaced


def _limit(row: Row) -> str:
    return f"{short(row.limit)} ({row.limit_of})" if row.limit else "none stated"


def ranking(record: Record) -> str:
    lines = [
        [str(place), _ratio(row), row.role, row.cost, _figure(row), _missed(row), _verdict(row)]
        for place, row in enumerate(ranked(record.rows), 1)
    ]
    unlimited = [row for row in record.rows if not row.ratios]
    without = [["", "", row.role, row.cost, _figure(row), _missed(row), _verdict(row)] for row in unlimited]
    heads = ["", "cost / limit", "role", "cost", "at the target", "fit misses by", "verdict"]
    return table(heads, lines + without)


def rows_of(record: Record, section: str) -> str:
    lines = [
        [
            row.role,
            row.cost,
            row.slope or "not measured",
            _missed(row),
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
    heads = ["role", "cost", "slope", "fit misses by", "arithmetic", "at the target", "limit", "ratio"]
    return table([*heads, "verdict", "carried by"], lines)


def details(record: Record) -> str:
    return "\n".join(f"### {section}\n\n{rows_of(record, section)}" for section in SECTIONS)


def scales(record: Record) -> str:
    """What breaks first at each size: the worst rows there, without those that were replaced."""
    lines = []
    left = [row for row in record.rows if not row.replaced_by]
    for at, target in enumerate(TARGETS):
        for place, row in enumerate(ranked(left, at)[:SHOWN_AT_SCALE], 1):
            size = f"{target.name} ({target.nodes:,.0f} nodes)" if place == 1 else ""
            lines.append([size, str(place), _ratio(row, at), row.role, row.cost, _figure(row, at)])
    return table(["size", "", "cost / limit", "role", "cost", "figure"], lines)


def failed(record: Record) -> str:
    lines = [
        [one.what, one.seen, one.how_long, one.never, ("not run; " if one.reasoned else "") + one.source]
        for one in record.failures
    ]
    return table(["failure", "what is seen", "for how long", "never broken", "source"], lines)


def measurements(record: Record) -> str:
    def line(one: Measurement) -> list[str]:
        pairs = zip(one.sizes, one.values, strict=True)
        samples = ", ".join(f"{short(size)}: {short(value)}" for size, value in pairs)
        return [one.name, f"{one.size}: {one.unit}", samples, f"{one.commit} {one.date}", short(one.load)]

    heads = ["measurement", "size: unit", "samples", "commit, date (UTC)", "load of the machine"]
    return table(heads, [line(one) for one in record.measurements])


def machine(record: Record) -> str:
    one = record.machine
    return table(["cores", "processor", "Python"], [[str(one.cores), one.cpu, one.python]])


TABLES = {
    "ranking": ranking,
    "details": details,
    "scales": scales,
    "failures": failed,
    "measurements": measurements,
    "machine": machine,
}


def with_tables(text: str, record: Record) -> str:
    """The page's text with every table as the record has it. Raises UnknownTable."""

    def written(found: re.Match[str]) -> str:
        make = TABLES.get(found[2])
        if make is None:
            raise UnknownTable(found[2])
        return f"{found[1]}{make(record)}{found[3]}"

    return _MARKED.sub(written, text)


def write_page(record: Record, path: Path = PAGE) -> None:
    path.write_text(with_tables(path.read_text(), record))
