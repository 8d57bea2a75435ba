"""The tables of the capacity page match the stored record; fits and row arithmetic by example."""

from __future__ import annotations

import math

import pytest

from benchmarks.capacity.failures import failures
from benchmarks.capacity.fit import fit_curve, line_or_constant
from benchmarks.capacity.measure_pure import summary_bytes
from benchmarks.capacity.page import PAGE, TABLES, UnknownTable, markdown_table, render_tables
from benchmarks.capacity.record import NOT_MEASURED, Machine, Measurement, Record, read_record
from benchmarks.capacity.rows import SECTIONS, all_rows, rank_rows
from benchmarks.capacity.target import DESIGNED, LIMITS, TARGETS, TENTH_SIZE, TRIPLE_SIZE
from benchmarks.capacity.working import (
    BYTES_LIMIT,
    CostLimit,
    RescaledSize,
    at_node_count,
    format_number,
    make_row,
    verdict,
)
from sailrun.load_gossip.datagram import MAX_DATAGRAM_BYTES


def make_record(*measurements: Measurement) -> Record:
    return Record(Machine(8, "a processor", "3.11"), list(measurements), [])


def make_measurement(values: list[float], name: str = "m", unit: str = "bytes/s") -> Measurement:
    return Measurement(name, "nodes", unit, [100.0, 200.0, 400.0, 800.0], values, "by hand")


def stored_record() -> Record:
    record = read_record()
    assert record is not None
    return record


# ---------------------------------------------------------------------- the page and the stored record


def test_page_tables_match_the_stored_record() -> None:
    text = PAGE.read_text()
    assert render_tables(text, stored_record()) == text
    assert all(f"<!-- table {name} -->" in text for name in TABLES)


def test_stored_rows_and_failures_follow_from_the_stored_measurements() -> None:
    record = stored_record()
    assert record.rows == all_rows(record)
    assert record.failures == failures(record)


def test_measured_rows_have_at_least_four_sizes_and_other_rows_a_reason() -> None:
    for row in stored_record().rows:
        if row.figures:
            assert len(row.sizes) >= 4 and len(row.sizes) == len(row.values) and row.fit is not None, row.cost
            assert row.arithmetic and len(row.figures) == len(TARGETS)
        else:
            assert row.verdict == NOT_MEASURED and row.why, row.cost
        assert row.mechanism and row.section in SECTIONS


def test_every_measurement_has_commit_date_and_method() -> None:
    assert all(each.commit and each.date and each.how for each in stored_record().measurements)


def test_changed_figure_changes_the_page() -> None:
    record = stored_record()
    text = PAGE.read_text()
    record.rows[0].figures[1] *= 2
    assert render_tables(text, record) != text


def test_marker_of_unknown_table_raises() -> None:
    with pytest.raises(UnknownTable):
        render_tables("<!-- table nothing -->\n<!-- end -->\n", make_record())


# ---------------------------------------------------------------------- fits


def test_line_fit_and_its_residual() -> None:
    fit = fit_curve("line", [1, 2, 3, 4], [5, 7, 9, 11])
    assert (fit.intercept, fit.slope, fit.residual) == pytest.approx((3, 2, 0))
    assert fit.at(10) == pytest.approx(23)
    bent_line = fit_curve("line", [1, 2, 3, 4], [5, 7, 9, 22])
    assert bent_line.residual == pytest.approx(
        max(abs(bent_line.at(x) - y) / y for x, y in ((1, 5), (2, 7), (3, 9), (4, 22)))
    )


def test_proportional_logarithmic_and_square_fits() -> None:
    proportional = fit_curve("through", [10, 20], [20, 40])
    assert (proportional.intercept, proportional.slope) == pytest.approx((0, 2))
    logarithmic = fit_curve("log", [50, 100, 200], [1 + math.log(x) for x in (50, 100, 200)])
    assert logarithmic.at(3_800) == pytest.approx(1 + math.log(3_800))
    assert fit_curve("square", [1, 2, 3], [2, 5, 10]).at(10) == pytest.approx(101)


def test_nearly_flat_samples_are_fitted_by_a_constant() -> None:
    assert line_or_constant([100, 200, 400], [1_000, 1_010, 1_020]).kind == "constant"
    assert line_or_constant([100, 200, 400], [1_000, 1_100, 1_300]).kind == "line"
    assert line_or_constant([100, 200, 400], [0, 0, 0]).at(3_800) == 0


def test_fit_needs_two_samples_and_a_value_for_each() -> None:
    for sizes, values in (([1.0], [1.0]), ([1.0, 2.0], [1.0])):
        with pytest.raises(ValueError, match="sizes"):
            fit_curve("line", sizes, values)


# ---------------------------------------------------------------------- arithmetic


def test_other_fleet_sizes_keep_per_node_counts_regions_and_zones() -> None:
    assert (TENTH_SIZE.nodes, TRIPLE_SIZE.nodes) == (380, 11_400)
    for target in TARGETS:
        assert target.connections_per_node == 50_000
        assert target.shards_per_node == pytest.approx(DESIGNED.shards_per_node)
        assert (target.regions, target.zones) == (6, 23)
    assert DESIGNED.member_changes_per_day == 1_106
    assert DESIGNED.config_changes_per_s == pytest.approx(0.1505, abs=1e-4)
    assert DESIGNED.deliveries_per_node_per_s == pytest.approx(26_316, abs=1)


def test_row_has_figures_ratios_and_a_verdict() -> None:
    record = make_record(make_measurement([1_100, 1_200, 1_400, 1_800]))
    result = make_row(
        record, "m", at_node_count, role="r", cost="c", cost_limit=BYTES_LIMIT, mechanism="x", arithmetic="a"
    )
    assert result.figures == pytest.approx([1_380, 4_800, 12_400])
    assert result.ratios == pytest.approx([1_380 / 8_000, 0.6, 1.55])
    assert result.verdict == "holds" and result.limit == LIMITS.bytes_per_s
    rescale = RescaledSize("pairs", lambda nodes: nodes / 100)
    estimate = make_row(
        record,
        "m",
        lambda fit, target: fit.slope * 1_000,
        role="r",
        cost="c",
        cost_limit=BYTES_LIMIT,
        mechanism="x",
        arithmetic="a",
        rescale=rescale,
        estimated=True,
    )
    assert estimate.sizes == [1, 2, 4, 8] and estimate.figures[1] == pytest.approx(100_000)
    assert estimate.verdict == "not measured as a whole; reckoned: short by 12.5 times"


def test_row_without_its_measurement_is_not_measured() -> None:
    result = make_row(
        make_record(),
        "m",
        at_node_count,
        role="r",
        cost="c",
        cost_limit=BYTES_LIMIT,
        mechanism="x",
        arithmetic="a",
    )
    assert result.verdict == NOT_MEASURED and "m is not in the file" in result.why and not result.figures


def test_ranking_omits_rows_without_a_limit_and_puts_the_worst_first() -> None:
    record = make_record(make_measurement([1.0] * 4, "low"), make_measurement([9_000.0] * 4, "high"))
    rows = [
        make_row(
            record,
            name,
            at_node_count,
            role=name,
            cost="c",
            cost_limit=cost_limit,
            mechanism="x",
            arithmetic="a",
        )
        for name, cost_limit in (("low", BYTES_LIMIT), ("high", BYTES_LIMIT), ("low", CostLimit("MB")))
    ]
    assert [each.role for each in rank_rows(rows)] == ["high", "low"]
    assert rows[2].verdict == "no limit stated"


def test_formats_of_verdicts_and_numbers() -> None:
    assert [verdict(ratio) for ratio in (0.2, 1.0, 2.5, 1_234.0)] == [
        "holds",
        "holds",
        "short by 2.5 times",
        "short by 1,234 times",
    ]
    assert [format_number(number) for number in (0, 0.01234, 12.345, 123.4, 2_962_500.0)] == [
        "0",
        "0.0123",
        "12.3",
        "123",
        "2,962,500",
    ]


def test_table_escapes_vertical_bars_in_cells() -> None:
    assert markdown_table(["a"], [["x|y"]]) == "| a |\n| --- |\n| x\\|y |\n"


def test_load_summary_exceeds_a_datagram_at_the_target_size() -> None:
    assert summary_bytes(200) <= MAX_DATAGRAM_BYTES < summary_bytes(3_800)
