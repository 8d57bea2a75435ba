"""LOAD lines that state a load, and those that state what a message takes."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sailrun.text_protocol.figures import SECOND, SLACK_US, Delay, Figures, Load

LEAST_MS = 50 / 3


def test_a_figure_too_small_for_a_load_is_a_time_at_once() -> None:
    figures = Figures[str](LEAST_MS)
    assert figures.read(0, 29.1, "a") == Delay(29.1, None)
    # Whatever comes on the beat is one too, however large, and so is the last, which is back under.
    assert figures.read(SECOND + 4_000, 818.0, "a") == Delay(818.0, None)
    assert figures.read(2 * SECOND, 14.5, "b") == Delay(14.5, None)


def test_a_form_server_that_is_slow_from_one_second_to_the_next_shows_by_the_beat() -> None:
    figures = Figures[str](LEAST_MS)
    assert figures.read(0, 761.0, "a") == Load(761.0)
    assert figures.read(200_000, 42_000.0, "b") == Load(42_000.0)
    assert figures.read(SECOND, 1_011.0, "a") == Delay(1_011.0, "a")  # and so was the first
    assert figures.read(2 * SECOND, 1_526.0, "a") == Delay(1_526.0, None)


def test_loads_out_of_the_beat_stay_loads() -> None:
    figures = Figures[str](LEAST_MS)
    assert figures.read(0, 761.0, "a") == Load(761.0)
    assert figures.read(SECOND // 2, 440.0, "b") == Load(440.0)
    assert figures.read(SECOND + 2 * SLACK_US, 480.0, "c") == Load(480.0)


def test_where_form_servers_tell_no_times_every_figure_is_a_load() -> None:
    figures = Figures[str](0.0)
    for second in range(4):
        assert figures.read(second * SECOND, 30.0, "a") == Load(30.0)


@given(st.lists(st.tuples(st.integers(0, 10 * SECOND), st.floats(5_000, 1e6)), max_size=40))
def test_a_load_of_some_size_is_never_taken_for_a_time(lines: list[tuple[int, float]]) -> None:
    figures = Figures[int](LEAST_MS)
    for at, value in sorted(lines):
        assert figures.read(at, value, 0) == Load(value)


@pytest.mark.parametrize("late_us", [0, 7_000, SLACK_US])
def test_the_beat_is_followed_though_this_node_reads_late(late_us: int) -> None:
    figures = Figures[str](LEAST_MS)
    figures.read(0, 60.0, "a")
    told = [figures.read(n * SECOND + late_us * (n % 2), 300.0 * n, "a") for n in range(1, 6)]
    assert all(isinstance(one, Delay) for one in told)
