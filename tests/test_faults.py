"""Days of faults in virtual time: nothing is broken, and every safety rule is missed when it is off."""

from __future__ import annotations

import pytest

from sailrun.lab.faults.explore import Bounds, Explorer
from sailrun.lab.faults.history import HistoryChecker, Row
from sailrun.lab.faults.nemesis import PLANS
from sailrun.lab.faults.play import FaultDay, play_virtual


@pytest.mark.parametrize("plan", PLANS)
@pytest.mark.parametrize("seed", [1, 2, 31_337])
def test_nothing_is_broken(plan: str, seed: int) -> None:
    played = play_virtual(FaultDay(plan, seed))
    assert [(c.name, c.occasions, c.faults) for c in played.checks if not c.holds] == []


def test_nothing_is_broken_among_thirteen_with_five_voters() -> None:
    played = play_virtual(FaultDay("permits", 5, nodes=13))
    assert [(c.name, c.occasions, c.faults) for c in played.checks if not c.holds] == []


BITES = {
    "fence": ("owner-stopped", 3),
    "clock": ("owner-stopped", 2),
    "abstain": ("owner-restart", 2),
    "majority": ("owner-cut", 2),
    "terms": ("owner", 1),
    "grace": ("permits", 6),
}


@pytest.mark.parametrize("rule", BITES)
def test_a_rule_that_is_off_is_found_out(rule: str) -> None:
    plan, first = BITES[rule]
    days = (FaultDay(plan, seed, off=frozenset({rule})) for seed in range(first, first + 12))
    assert any(check.value > check.limit for day in days for check in play_virtual(day).checks)


def test_every_order_of_events_in_a_small_case() -> None:
    found = Explorer(Bounds(deliveries=4, steps=2, turns=2, restarts=0)).explore()
    assert found.complete and not found.fault, found
    assert found.states > 3_000 and found.owners > 50


@pytest.mark.parametrize("rule, bounds", [("majority", Bounds(4, 0, 2, 0)), ("abstain", Bounds(8, 0, 2, 1))])
def test_the_exploration_finds_what_a_missing_rule_breaks(rule: str, bounds: Bounds) -> None:
    assert "two owners" in Explorer(bounds, frozenset({rule})).explore().fault


def judged(*rows: Row) -> dict[str, tuple[float, int | None]]:
    checks = HistoryChecker(list(rows), {"out": 1}, 0, 100_000_000).checks()
    return {check.name: (check.value, check.occasions) for check in checks}


def hold(node: str, at_us: int, until_us: int, term: int) -> Row:
    return {"kind": "hold", "node": node, "task": "t", "at_us": at_us, "until_us": until_us, "term": term}


def test_the_judge_finds_two_owners_and_not_one_after_the_other() -> None:
    assert judged(hold("a", 0, 10, 1), hold("b", 10, 20, 2))["one-owner-at-a-time"] == (0, 1)
    assert judged(hold("a", 0, 10, 1), hold("b", 9, 20, 2))["one-owner-at-a-time"] == (1, 1)
    died = {"kind": "died", "node": "a", "at_us": 5}
    assert judged(hold("a", 0, 10, 1), died, hold("b", 9, 20, 2))["one-owner-at-a-time"] == (0, 1)
    assert judged(hold("a", 0, 10, 2), hold("b", 10, 20, 1))["terms-grow"] == (1, 1)
    assert judged(hold("a", 0, 10, 1), hold("b", 10, 20, 1))["no-term-given-twice"][0] == 1


def test_the_judge_finds_orders_of_the_past() -> None:
    def took(node: str, at_us: int, term: int) -> Row:
        return {"kind": "take", "node": node, "task": "t", "at_us": at_us, "term": term}

    assert judged(took("a", 1, 1), took("b", 2, 2))["no-lower-term-after-a-higher"] == (0, 1)
    assert judged(took("a", 1, 2), took("b", 2, 1))["no-lower-term-after-a-higher"] == (1, 1)
    act = {"kind": "act", "node": "a", "task": "t", "term": 1}
    assert judged(hold("a", 0, 10, 1), {**act, "at_us": 5})["orders-only-while-owner"] == (0, 1)
    assert judged(hold("a", 0, 10, 1), {**act, "at_us": 11})["orders-only-while-owner"] == (1, 1)


def test_the_judge_counts_permits_by_what_is_out_not_by_who_has_it_out() -> None:
    def use(node: str, subject: str, at_us: int, until_us: int) -> Row:
        return {"kind": "use", "node": node, "subject": subject, "at_us": at_us, "until_us": until_us}

    same = judged(use("a", "out/s-1", 0, 10), use("b", "out/s-1", 5, 15), use("c", "out/s-2", 15, 20))
    assert same["permits-within-limit"] == (0, 2)
    assert judged(use("a", "out/s-1", 0, 10), use("b", "out/s-2", 5, 15))["permits-within-limit"] == (1, 2)


def test_a_check_without_an_occasion_does_not_hold() -> None:
    checks = {c.name: c for c in HistoryChecker([hold("a", 0, 10, 1)], {}, 0, 100).checks()}
    assert not checks["one-owner-at-a-time"].holds and checks["no-term-given-twice"].holds
