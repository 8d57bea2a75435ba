"""Fault runs in virtual time: no check fails, and switching off a rule of `RULE_RUNS` makes a check
fail.
"""

from __future__ import annotations

import pytest

from sailrun.lab.faults.explore import Bounds, Explorer
from sailrun.lab.faults.history import HistoryChecker, Row
from sailrun.lab.faults.nemesis import PLANS
from sailrun.lab.faults.runs import FaultRun, run_virtual


@pytest.mark.parametrize("plan", PLANS)
@pytest.mark.parametrize("seed", [1, 2, 31_337])
def test_all_checks_hold(plan: str, seed: int) -> None:
    result = run_virtual(FaultRun(plan, seed))
    assert [(c.name, c.occasions, c.faults) for c in result.checks if not c.holds] == []


def test_all_checks_hold_with_thirteen_nodes_and_five_voters() -> None:
    result = run_virtual(FaultRun("permits", 5, nodes=13))
    assert [(c.name, c.occasions, c.faults) for c in result.checks if not c.holds] == []


# By safety rule: the plan and the first of 12 consecutive seeds; with the rule off, a check fails for at
# least one of them.
RULE_RUNS = {
    "fence": ("owner-stopped", 3),
    "clock": ("owner-stopped", 2),
    "abstain": ("owner-restart", 2),
    "majority": ("owner-cut", 2),
    "terms": ("owner", 1),
    "grace": ("permits", 6),
}


@pytest.mark.parametrize("rule", RULE_RUNS)
def test_checks_detect_that_a_safety_rule_is_off(rule: str) -> None:
    plan, first_seed = RULE_RUNS[rule]
    runs = (FaultRun(plan, seed, off=frozenset({rule})) for seed in range(first_seed, first_seed + 12))
    assert any(check.value > check.limit for run in runs for check in run_virtual(run).checks)


def test_all_event_orders_of_a_small_case_are_safe() -> None:
    found = Explorer(Bounds(deliveries=4, steps=2, turns=2, restarts=0)).explore()
    assert found.complete and not found.violation, found
    # The exploration must not become trivial.
    assert found.states > 3_000 and found.led_states > 50


@pytest.mark.parametrize("rule, bounds", [("majority", Bounds(4, 0, 2, 0)), ("abstain", Bounds(8, 0, 2, 1))])
def test_the_exploration_detects_two_owners_without_a_safety_rule(rule: str, bounds: Bounds) -> None:
    assert "two owners" in Explorer(bounds, frozenset({rule})).explore().violation


def run_checks(*rows: Row) -> dict[str, tuple[float, int | None]]:
    checks = HistoryChecker(list(rows), {"out": 1}, 0, 100_000_000).checks()
    return {check.name: (check.value, check.occasions) for check in checks}


def hold(node: str, at_us: int, until_us: int, term: int) -> Row:
    return {"kind": "hold", "node": node, "task": "t", "at_us": at_us, "until_us": until_us, "term": term}


def test_checks_detect_two_owners_at_a_time_and_terms_that_repeat_or_decrease() -> None:
    assert run_checks(hold("a", 0, 10, 1), hold("b", 10, 20, 2))["one-owner-at-a-time"] == (0, 1)
    assert run_checks(hold("a", 0, 10, 1), hold("b", 9, 20, 2))["one-owner-at-a-time"] == (1, 1)
    died = {"kind": "died", "node": "a", "at_us": 5}
    assert run_checks(hold("a", 0, 10, 1), died, hold("b", 9, 20, 2))["one-owner-at-a-time"] == (0, 1)
    assert run_checks(hold("a", 0, 10, 2), hold("b", 10, 20, 1))["terms-grow"] == (1, 1)
    assert run_checks(hold("a", 0, 10, 1), hold("b", 10, 20, 1))["no-term-given-twice"][0] == 1


def test_checks_detect_orders_with_an_outdated_term_or_after_the_lease() -> None:
    def take(node: str, at_us: int, term: int) -> Row:
        return {"kind": "take", "node": node, "task": "t", "at_us": at_us, "term": term}

    assert run_checks(take("a", 1, 1), take("b", 2, 2))["no-lower-term-after-a-higher"] == (0, 1)
    assert run_checks(take("a", 1, 2), take("b", 2, 1))["no-lower-term-after-a-higher"] == (1, 1)
    act = {"kind": "act", "node": "a", "task": "t", "term": 1}
    assert run_checks(hold("a", 0, 10, 1), {**act, "at_us": 5})["orders-only-while-owner"] == (0, 1)
    assert run_checks(hold("a", 0, 10, 1), {**act, "at_us": 11})["orders-only-while-owner"] == (1, 1)


def test_permits_are_counted_by_subject_and_not_by_holder() -> None:
    def use(node: str, subject: str, at_us: int, until_us: int) -> Row:
        return {"kind": "use", "node": node, "subject": subject, "at_us": at_us, "until_us": until_us}

    same = run_checks(use("a", "out/s-1", 0, 10), use("b", "out/s-1", 5, 15), use("c", "out/s-2", 15, 20))
    assert same["permits-within-limit"] == (0, 2)
    assert run_checks(use("a", "out/s-1", 0, 10), use("b", "out/s-2", 5, 15))["permits-within-limit"] == (
        1,
        2,
    )


def test_a_check_that_needs_occasions_does_not_hold_without_one() -> None:
    checks = {c.name: c for c in HistoryChecker([hold("a", 0, 10, 1)], {}, 0, 100).checks()}
    assert not checks["one-owner-at-a-time"].holds and checks["no-term-given-twice"].holds
