"""The classification of LOAD lines that state a load and of those that state a message latency."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sailrun.text_protocol.load_lines import INTERVAL_TOLERANCE_US, SECOND, Delay, Load, LoadLineClassifier

MIN_DELAY_MS = 50 / 3


def test_a_value_too_small_for_a_load_is_a_delay_at_once() -> None:
    classifier = LoadLineClassifier[str](MIN_DELAY_MS)
    assert classifier.classify(0, 29.1, "a") == Delay(29.1, None)
    # A large value that arrives a second later is a delay too, and so is the last value, which is back under
    # the threshold.
    assert classifier.classify(SECOND + 4_000, 818.0, "a") == Delay(818.0, None)
    assert classifier.classify(2 * SECOND, 14.5, "b") == Delay(14.5, None)


def test_a_form_server_that_becomes_slow_is_recognized_by_the_interval_of_its_reports() -> None:
    classifier = LoadLineClassifier[str](MIN_DELAY_MS)
    assert classifier.classify(0, 761.0, "a") == Load(761.0)
    assert classifier.classify(200_000, 42_000.0, "b") == Load(42_000.0)
    # The value before it was a delay as well.
    assert classifier.classify(SECOND, 1_011.0, "a") == Delay(1_011.0, "a")
    assert classifier.classify(2 * SECOND, 1_526.0, "a") == Delay(1_526.0, None)


def test_loads_that_do_not_arrive_a_second_apart_stay_loads() -> None:
    classifier = LoadLineClassifier[str](MIN_DELAY_MS)
    assert classifier.classify(0, 761.0, "a") == Load(761.0)
    assert classifier.classify(SECOND // 2, 440.0, "b") == Load(440.0)
    assert classifier.classify(SECOND + 2 * INTERVAL_TOLERANCE_US, 480.0, "c") == Load(480.0)


def test_if_form_servers_report_no_delays_every_value_is_a_load() -> None:
    classifier = LoadLineClassifier[str](0.0)
    for second in range(4):
        assert classifier.classify(second * SECOND, 30.0, "a") == Load(30.0)


@given(st.lists(st.tuples(st.integers(0, 10 * SECOND), st.floats(5_000, 1e6)), max_size=40))
def test_a_large_load_is_never_classified_as_a_delay(lines: list[tuple[int, float]]) -> None:
    classifier = LoadLineClassifier[int](MIN_DELAY_MS)
    for received_us, value in sorted(lines):
        assert classifier.classify(received_us, value, 0) == Load(value)


@pytest.mark.parametrize("late_us", [0, 7_000, INTERVAL_TOLERANCE_US])
def test_delays_are_recognized_even_if_this_node_reads_late(late_us: int) -> None:
    classifier = LoadLineClassifier[str](MIN_DELAY_MS)
    classifier.classify(0, 60.0, "a")
    reports = [classifier.classify(n * SECOND + late_us * (n % 2), 300.0 * n, "a") for n in range(1, 6)]
    assert all(isinstance(report, Delay) for report in reports)
