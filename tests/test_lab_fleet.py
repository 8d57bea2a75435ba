"""Small runs of the laboratory's whole-fleet experiments: the scheduled faults happen and the rules hold."""

from __future__ import annotations

from collections import Counter

import pytest

from sailrun.lab.run import Request, run_experiment


@pytest.mark.parametrize("name", ["calm", "roll", "herd", "zone", "split", "join"])
def test_rules_hold_in_whole_fleet_experiments(name: str) -> None:
    request = Request(
        f"fleet-{name}",
        seed=17,
        nodes=20,
        form_servers=16,
        households=150,
        seconds=24.0,
        off=frozenset({"rebalance"}),
    )
    summary, records = run_experiment(request)
    assert summary.holds, [c for c in summary.checks if not c.holds]
    happened = Counter(records.events.columns.get("what", []))
    expected_counts = {
        "calm": {},
        "roll": {"terminate": 20, "start": 8, "roster-moved": 1},
        "herd": {"kill": 14, "start": 6},
        "zone": {"kill": 5, "crash": 4, "cut": 2},
        "split": {"cut": 2, "start": 2},
        "join": {"start": 10, "drained": 10},
    }[name]
    for what, minimum in expected_counts.items():
        assert happened[what] >= minimum, (what, happened)
    figures = summary.figures
    moves_for_all_reasons = sum(
        count or 0.0 for figure, count in figures.items() if figure.startswith("moves_")
    )
    assert (
        moves_for_all_reasons - (figures["moves_for_balance"] or 0) - (figures["moves_over_fewest"] or 0)
        == figures["moves"]
    )
    if name == "roll":
        assert (figures["moves_leaving"] or 0) > 0 and (figures["moves_drains"] or 0) > 0
    if name == "split":
        assert (figures["moves_silent"] or 0) > 0  # sessions on cut-off form servers are moved


def test_nodes_serve_at_least_half_of_what_the_reference_policy_serves() -> None:
    served = {}
    for off in (frozenset({"rebalance"}), frozenset({"rebalance", "decisions"})):
        request = Request(
            "fleet-join", seed=4, nodes=12, form_servers=12, households=110, seconds=20.0, off=off
        )
        summary, _ = run_experiment(request)
        served["decisions" in off] = summary.figures["service"] or 0.0
    assert 0.5 <= served[False] / served[True] <= 1.2 and served[True] > 0.6
