"""The capacity page and its file say the same; fits and arithmetic, case by case."""

from __future__ import annotations

import math

import pytest

from benchmarks.capacity.failures import failures
from benchmarks.capacity.fit import fitted, line_or_constant
from benchmarks.capacity.measure_pure import sum_bytes
from benchmarks.capacity.page import PAGE, TABLES, UnknownTable, table, with_tables
from benchmarks.capacity.record import NOT_MEASURED, Machine, Measurement, Record, read_record
from benchmarks.capacity.rows import SECTIONS, all_rows, ranked
from benchmarks.capacity.target import DESIGNED, LIMITS, TARGETS, TENTH, THREE
from benchmarks.capacity.working import BYTES, Bound, Resized, by_nodes, row, short, verdict
from sailrun.load_gossip.datagram import MAX_DATAGRAM_BYTES


def record_of(*measurements: Measurement) -> Record:
    return Record(Machine(8, "a processor", "3.11"), list(measurements), [])


def measurement(values: list[float], name: str = "m", unit: str = "bytes/s") -> Measurement:
    return Measurement(name, "nodes", unit, [100.0, 200.0, 400.0, 800.0], values, "by hand")


def committed() -> Record:
    record = read_record()
    assert record is not None
    return record


# ---------------------------------------------------------------------- the page and its file


def test_the_page_has_every_table_as_the_file_has_it() -> None:
    text = PAGE.read_text()
    assert with_tables(text, committed()) == text
    assert all(f"<!-- table {name} -->" in text for name in TABLES)


def test_the_files_rows_are_those_that_follow_from_its_measurements() -> None:
    record = committed()
    assert record.rows == all_rows(record)
    assert record.failures == failures(record)


def test_every_measured_row_has_four_sizes_and_every_other_one_says_why() -> None:
    for one in committed().rows:
        if one.figures:
            assert len(one.sizes) >= 4 and len(one.sizes) == len(one.values) and one.fit is not None, one.cost
            assert one.arithmetic and len(one.figures) == len(TARGETS)
        else:
            assert one.verdict == NOT_MEASURED and one.why, one.cost
        assert one.mechanism and one.section in SECTIONS


def test_every_measurement_says_when_and_of_which_commit() -> None:
    assert all(one.commit and one.date and one.how for one in committed().measurements)


def test_a_changed_figure_changes_the_page() -> None:
    record = committed()
    text = PAGE.read_text()
    record.rows[0].figures[1] *= 2
    assert with_tables(text, record) != text


def test_a_marker_of_no_table_is_refused() -> None:
    with pytest.raises(UnknownTable):
        with_tables("<!-- table nothing -->\n<!-- end -->\n", record_of())


# ---------------------------------------------------------------------- fits


def test_a_line_is_found_and_says_by_how_much_it_misses() -> None:
    fit = fitted("line", [1, 2, 3, 4], [5, 7, 9, 11])
    assert (fit.intercept, fit.slope, fit.residual) == pytest.approx((3, 2, 0))
    assert fit.at(10) == pytest.approx(23)
    bent = fitted("line", [1, 2, 3, 4], [5, 7, 9, 22])
    assert bent.residual == pytest.approx(
        max(abs(bent.at(x) - y) / y for x, y in ((1, 5), (2, 7), (3, 9), (4, 22)))
    )


def test_a_line_through_nothing_a_logarithm_and_a_square() -> None:
    through = fitted("through", [10, 20], [20, 40])
    assert (through.intercept, through.slope) == pytest.approx((0, 2))
    spread = fitted("log", [50, 100, 200], [1 + math.log(x) for x in (50, 100, 200)])
    assert spread.at(3_800) == pytest.approx(1 + math.log(3_800))
    assert fitted("square", [1, 2, 3], [2, 5, 10]).at(10) == pytest.approx(101)


def test_what_hardly_rises_is_a_constant() -> None:
    assert line_or_constant([100, 200, 400], [1_000, 1_010, 1_020]).kind == "constant"
    assert line_or_constant([100, 200, 400], [1_000, 1_100, 1_300]).kind == "line"
    assert line_or_constant([100, 200, 400], [0, 0, 0]).at(3_800) == 0


def test_a_fit_wants_two_samples_and_a_value_for_each() -> None:
    for sizes, values in (([1.0], [1.0]), ([1.0, 2.0], [1.0])):
        with pytest.raises(ValueError, match="sizes"):
            fitted("line", sizes, values)


# ---------------------------------------------------------------------- arithmetic


def test_other_sizes_of_the_fleet_keep_what_a_node_has_and_multiply_the_rest() -> None:
    assert (TENTH.nodes, THREE.nodes) == (380, 11_400)
    for target in TARGETS:
        assert target.connections_node == 50_000
        assert target.shards_node == pytest.approx(DESIGNED.shards_node)
        assert (target.regions, target.zones) == (6, 23)
    assert DESIGNED.member_changes_day == 1_106
    assert DESIGNED.changes_s == pytest.approx(0.1505, abs=1e-4)
    assert DESIGNED.deliveries_node_s == pytest.approx(26_316, abs=1)


def test_a_row_works_out_figures_ratios_and_a_verdict() -> None:
    record = record_of(measurement([1_100, 1_200, 1_400, 1_800]))
    one = row(record, "m", by_nodes, role="r", cost="c", bound=BYTES, mechanism="x", arithmetic="a")
    assert one.figures == pytest.approx([1_380, 4_800, 12_400])
    assert one.ratios == pytest.approx([1_380 / 8_000, 0.6, 1.55])
    assert one.verdict == "holds" and one.limit == LIMITS.bytes_s
    by = Resized("pairs", lambda nodes: nodes / 100)
    other = row(
        record,
        "m",
        lambda fit, target: fit.slope * 1_000,
        role="r",
        cost="c",
        bound=BYTES,
        mechanism="x",
        arithmetic="a",
        by=by,
        reckoned=True,
    )
    assert other.sizes == [1, 2, 4, 8] and other.figures[1] == pytest.approx(100_000)
    assert other.verdict == "not measured as a whole; reckoned: short by 12.5 times"


def test_a_row_without_its_measurement_says_so() -> None:
    one = row(record_of(), "m", by_nodes, role="r", cost="c", bound=BYTES, mechanism="x", arithmetic="a")
    assert one.verdict == NOT_MEASURED and "m is not in the file" in one.why and not one.figures


def test_rows_without_a_limit_are_not_ranked_and_the_worst_is_first() -> None:
    record = record_of(measurement([1.0] * 4, "low"), measurement([9_000.0] * 4, "high"))
    rows = [
        row(record, name, by_nodes, role=name, cost="c", bound=bound, mechanism="x", arithmetic="a")
        for name, bound in (("low", BYTES), ("high", BYTES), ("low", Bound("MB")))
    ]
    assert [one.role for one in ranked(rows)] == ["high", "low"]
    assert rows[2].verdict == "no limit stated"


def test_verdicts_and_numbers_in_words() -> None:
    assert [verdict(ratio) for ratio in (0.2, 1.0, 2.5, 1_234.0)] == [
        "holds",
        "holds",
        "short by 2.5 times",
        "short by 1,234 times",
    ]
    assert [short(number) for number in (0, 0.01234, 12.345, 123.4, 2_962_500.0)] == [
        "0",
        "0.0123",
        "12.3",
        "123",
        "2,962,500",
    ]


def test_a_cell_that_holds_a_bar_stays_one_cell() -> None:
    assert table(["a"], [["x|y"]]) == "| a |\n| --- |\n| x\\|y |\n"


def test_a_sum_of_the_target_fleet_is_longer_than_a_datagram_may_be() -> None:
    assert sum_bytes(200) <= MAX_DATAGRAM_BYTES < sum_bytes(3_800)
