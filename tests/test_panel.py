"""Tests of the comparison of bench days: parsing of reports and classification of differences."""

from __future__ import annotations

import math

import pytest

from benchmarks.panel import (
    DayResult,
    classify_difference,
    format_tables,
    mean_with_interval,
    parse_report,
    parse_seeds,
)


def make_day(score: float, seed: int, kind: str = "roll+mass", fault: str = "") -> DayResult:
    return DayResult(kind, seed, score, 0.8, 0.5, 0.9, fault)


def test_report_with_a_fault_fails_the_day() -> None:
    row = {"score": 0.7, "served": 0.9, "served_least": 0.5, "served_late": 0.95, "fault": None}
    good = parse_report("calm+mass", 3, {"row": {**row, "rules": {"drain": 0, "lost": 0}}})
    assert good.passed and good.score == 0.7
    bad = parse_report("calm+mass", 3, {"row": {**row, "rules": {"drain": 0, "lost": 2}}})
    assert not bad.passed and "lost: rule broken 2 times" in bad.fault
    assert not parse_report("calm+mass", 3, {"row": {**row, "rules": {}, "served": 0.4}}).passed
    assert not parse_report("calm+mass", 3, {"row": {**row, "rules": {}, "fault": "a node crashed"}}).passed
    with pytest.raises(KeyError):
        parse_report("calm+mass", 3, {})


def test_difference_within_its_interval_is_neither_better_nor_worse() -> None:
    mean, half_width = mean_with_interval([0.1, 0.1, 0.1])
    assert mean == pytest.approx(0.1) and half_width == pytest.approx(0.0)
    mean, half_width = mean_with_interval([0.0, 0.2])
    assert mean == pytest.approx(0.1) and half_width == pytest.approx(12.71 * 0.1)
    assert classify_difference(0.1, 0.05) == "better" and classify_difference(-0.1, 0.05) == "worse"
    assert classify_difference(0.1, 0.2) == "no significant difference"
    assert classify_difference(0.1, math.inf) == "a single day gives no interval"


def test_tables_pair_seeds_and_list_the_worst_day_first() -> None:
    current = [make_day(0.5, 1), make_day(0.2, 2), make_day(0.6, 3, "join+mass")]
    earlier = [
        make_day(0.6, 3, "join+mass"),
        make_day(0.4, 2),
        make_day(0.4, 1),
    ]  # in the order in which the days ended
    table = list(format_tables(current, earlier))
    assert "-0.20(2) +0.10(1)" in next(line for line in table[4:] if line.startswith("roll+mass"))
    assert table[1].split()[:4] == ["roll+mass", "2", "0.200", "0.350"]
    assert any(line.startswith("all") for line in table)


def test_seeds_are_parsed_from_a_range_or_numbers() -> None:
    assert parse_seeds("11..13") == [11, 12, 13] and parse_seeds("3,8") == [3, 8]
    with pytest.raises(ValueError):
        parse_seeds("few")
