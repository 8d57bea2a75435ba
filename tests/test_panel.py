"""The verdict of the bench's panels: what is read of a report, and what may be called better or worse."""

from __future__ import annotations

import math

import pytest

from benchmarks.panel import Day, lines, mean_with_interval, read_day, seeds_of, verdict


def day(score: float, seed: int, kind: str = "roll+mass", fault: str = "") -> Day:
    return Day(kind, seed, score, 0.8, 0.5, 0.9, fault)


def test_a_report_tells_of_a_broken_rule_whatever_the_score() -> None:
    row = {"score": 0.7, "served": 0.9, "served_least": 0.5, "served_late": 0.95, "fault": None}
    good = read_day("calm+mass", 3, {"row": {**row, "rules": {"drain": 0, "lost": 0}}})
    assert good.passes and good.score == 0.7
    bad = read_day("calm+mass", 3, {"row": {**row, "rules": {"drain": 0, "lost": 2}}})
    assert not bad.passes and "lost broken 2 times" in bad.fault
    assert not read_day("calm+mass", 3, {"row": {**row, "rules": {}, "served": 0.4}}).passes
    assert not read_day("calm+mass", 3, {"row": {**row, "rules": {}, "fault": "a node crashed"}}).passes
    with pytest.raises(KeyError):
        read_day("calm+mass", 3, {})


def test_a_difference_counts_only_beyond_its_interval() -> None:
    mean, half = mean_with_interval([0.1, 0.1, 0.1])
    assert mean == pytest.approx(0.1) and half == pytest.approx(0.0)
    mean, half = mean_with_interval([0.0, 0.2])
    assert mean == pytest.approx(0.1) and half == pytest.approx(12.71 * 0.1)
    assert verdict(0.1, 0.05) == "better" and verdict(-0.1, 0.05) == "worse"
    assert verdict(0.1, 0.2) == "can't be told apart"
    assert verdict(0.1, math.inf) == "one day says nothing"


def test_the_tables_pair_seeds_and_name_the_worst_day_first() -> None:
    now = [day(0.5, 1), day(0.2, 2), day(0.6, 3, "join+mass")]
    before = [day(0.6, 3, "join+mass"), day(0.4, 2), day(0.4, 1)]  # in the order in which they ended
    told = list(lines(now, before))
    assert "-0.20(2) +0.10(1)" in next(line for line in told[4:] if line.startswith("roll+mass"))
    assert told[1].split()[:4] == ["roll+mass", "2", "0.200", "0.350"]
    assert any(line.startswith("all") for line in told)


def test_seeds_are_a_range_or_numbers() -> None:
    assert seeds_of("11..13") == [11, 12, 13] and seeds_of("3,8") == [3, 8]
    with pytest.raises(ValueError):
        seeds_of("few")
