"""Checks the limit of slow start over all nodes, and every way in which a node could exceed it.

The tests use the decision module only, where a node is an instance and a form server a backend.
"""

from __future__ import annotations

import math
from dataclasses import replace
from random import Random

import pytest

from sailrun.decisions.actions import StartAttempt
from sailrun.decisions.events import AttemptOutcome, ListKind, OperatorOverride, RequestArrived
from sailrun.decisions.slow_start import SAFETY_DEVIATIONS, max_tolerated_requests, safe_mean_requests
from tests.support import SECOND, InstanceHarness, backend, delta, full, settings
from tests.test_ramp import share_fleet_loads

STABLE_IDS, STARTING_ID, CRASHED = tuple(range(1, 9)), 99, 1
HOUR_US = 3600 * SECOND
BEGIN_US = 2 * HOUR_US


def harness_among(nodes: int = 1, connections: int = 40, seed: int = 1, index: int = 0) -> InstanceHarness:
    """Returns an instance of a tier with connections to eight backends with full capacity, 2 hours old."""
    harness = InstanceHarness(settings(instances=nodes, index=index), seed)
    harness.feed(full(*STABLE_IDS))
    for n in range(connections):
        harness.establish(harness.send_request(key=f"old{seed}-{n}"))
    harness.now = BEGIN_US
    return harness


def count_sends_to_starting(harness: InstanceHarness, request_count: int = 200) -> int:
    """Returns how many of `request_count` simultaneous requests are sent to the backend in slow start."""
    prefix = f"{harness.settings.index}-{harness.now}"
    names = [harness.send_request(key=f"new{prefix}-{n}") for n in range(request_count)]
    return sum(name in harness.attempts and harness.sent_to(name) == STARTING_ID for name in names)


def max_tolerated(harness: InstanceHarness, connections: float, share: float = 0.2) -> float:
    instance_settings = harness.settings
    return max_tolerated_requests(
        instance_settings.overload_multiple
        * share
        * connections
        * instance_settings.overload_window_us
        / instance_settings.slow_start_us
    )


def test_the_request_limit_follows_the_rule_below_and_above_thirty() -> None:
    assert max_tolerated_requests(0) == 3 and max_tolerated_requests(4) == 4 + 6 + 3
    assert max_tolerated_requests(29.9) == pytest.approx(29.9 + 3 * math.sqrt(29.9) + 3)
    assert max_tolerated_requests(36) == 36 + 12 + 2


@pytest.mark.parametrize("limit", [5.0, 10.0, 50.0, 500.0])
def test_the_mean_stays_the_safety_deviations_below_the_limit(limit: float) -> None:
    mean = safe_mean_requests(limit)
    assert SAFETY_DEVIATIONS >= 2 and mean + SAFETY_DEVIATIONS * math.sqrt(mean) == pytest.approx(limit)


@pytest.mark.parametrize("nodes", [1, 2, 3, 5, 8, 16, 32, 64])
@pytest.mark.parametrize("idle_s", [0.1, 1.0, 5.0])
@pytest.mark.parametrize("gossip", [False, True], ids=["without-gossip", "with-gossip"])
def test_an_idle_time_accumulates_no_allowance_for_a_burst(nodes: int, idle_s: float, gossip: bool) -> None:
    """Every node gets 20 requests at the same time, long or shortly after the start of the backend."""
    connections = 160 // nodes + 1
    tier = [harness_among(nodes, connections, seed=7 * nodes + n, index=n) for n in range(nodes)]
    for harness in tier:
        harness.feed(delta(backend(STARTING_ID, 1, BEGIN_US)))
    if gossip:
        share_fleet_loads(tier)
    for harness in tier:
        harness.advance(int(idle_s * SECOND))
    if gossip:
        share_fleet_loads(tier)
    share = 0.2 + 0.8 * idle_s / 10
    assert sum(count_sends_to_starting(harness, 20) for harness in tier) <= max_tolerated(tier[0], 20, share)


@pytest.mark.parametrize("nodes", [6, 32])
@pytest.mark.parametrize("seed", range(6))
def test_clients_that_return_with_their_groups_do_not_overload_a_starting_backend(
    nodes: int, seed: int
) -> None:
    """Two backends crash while two others are in slow start. All their clients return within half a second.

    Each client returns through a random node, and all clients of one group are placed on the same backend.
    """
    random = Random(seed)
    tier = [harness_among(nodes, 0, seed=1000 * seed + n, index=n) for n in range(nodes)]
    groups = [f"group{seed}-{n}" for n in range(10)]
    established: list[tuple[InstanceHarness, str, str]] = []
    for n in range(160):
        harness, group = random.choice(tier), random.choices(groups, [1 / (k + 1) for k in range(10)])[0]
        name = harness.send_request(key=f"client{n}", group=group)
        if name in harness.attempts:
            harness.establish(name)
            established.append((harness, name, group))
    for harness in tier:
        harness.feed(delta(backend(STARTING_ID, 1, BEGIN_US), backend(STARTING_ID + 1, 1, BEGIN_US)))
        harness.advance(3 * SECOND)
    share_fleet_loads(tier)
    lost = [s for s in established if s[0].attempts[s[1]].backend in (1, 2)]
    for harness, name, _ in lost:
        harness.end(name, AttemptOutcome.RESET)
    sent = {STARTING_ID: 0, STARTING_ID + 1: 0}
    for step in range(10):
        for harness in tier:
            harness.advance(50_000)
        for n, (_, _, group) in enumerate(lost[step::10]):
            harness = random.choice(tier)
            name = f"again{step}-{n}-{harness.now}"
            actions = harness.balancer.handle(
                harness.now, RequestArrived(name, "stream", SECOND, name, group, returning=True)
            )
            for action in actions:
                if isinstance(action, StartAttempt) and action.backend in sent:
                    sent[action.backend] += 1
    assert max(sent.values()) <= max_tolerated(tier[0], 20, 0.2 + 0.8 * 3.5 / 10)


@pytest.mark.parametrize("nodes", [1, 5, 40])
def test_a_restart_of_a_node_or_a_backend_gives_no_second_allowance(nodes: int) -> None:
    """The backend restarts shortly after its first start, and then every node restarts."""
    sent = 0
    for n in range(nodes):
        harness = harness_among(nodes, 160 // nodes + 1, seed=n, index=n)
        harness.feed(delta(backend(STARTING_ID, 1, BEGIN_US)))
        harness.advance(300_000)
        count_sends_to_starting(harness, 20)  # to the first process of the backend
        harness.feed(delta(backend(STARTING_ID, 1, BEGIN_US + 300_000)))
        sent += count_sends_to_starting(harness, 20)
        restarted = InstanceHarness(harness.settings, seed=900 + n)
        restarted.now = harness.now
        restarted.feed(
            replace(full(*STABLE_IDS, backend(STARTING_ID, 1, BEGIN_US + 300_000)), kind=ListKind.CACHED)
        )
        sent += count_sends_to_starting(restarted, 20)
    assert sent <= max_tolerated(harness_among(), 20, 0.25)


def test_the_fallback_to_an_ejected_backend_respects_slow_start() -> None:
    """The only backend restarts and refuses its connections."""
    harness = InstanceHarness()
    harness.feed(full(STARTING_ID))
    for n in range(40):
        harness.establish(harness.send_request(key=f"old{n}"))
    harness.now = BEGIN_US
    harness.feed(delta(backend(STARTING_ID, 1, BEGIN_US)))
    harness.advance(harness.settings.overload_window_us)
    sent = 0
    for n in range(200):
        name = harness.send_request(key=f"k{n}")
        if name in harness.attempts:
            sent += 1
            harness.end(name, AttemptOutcome.CONNECT_FAILED)
    assert 1 <= sent <= max_tolerated(harness, 40, 0.28)


def test_a_backend_put_back_by_an_operator_is_not_overloaded_by_all_nodes_at_once() -> None:
    tier = [harness_among(40, 5, seed=n, index=n) for n in range(40)]
    sent = 0
    for harness in tier:
        harness.feed(full(*STABLE_IDS, STARTING_ID))
        harness.feed(OperatorOverride(STARTING_ID, True))
        harness.advance(SECOND)
        harness.feed(delta(backend(STARTING_ID, 1, harness.now)))
        harness.feed(OperatorOverride(STARTING_ID, False))
        sent += count_sends_to_starting(harness, 20)
    assert sent <= max_tolerated(tier[0], 25)


@pytest.mark.parametrize("offset_us", [-HOUR_US, -5 * SECOND, 5 * SECOND, HOUR_US])
def test_a_wrong_clock_neither_ends_nor_prolongs_a_slow_start(offset_us: int) -> None:
    """The listed start time is wrong by seconds or an hour by this node's clock, in either direction."""
    harness = harness_among(connections=160)
    harness.feed(full(*STABLE_IDS))
    harness.feed(delta(backend(STARTING_ID, 1, BEGIN_US + offset_us)))
    assert count_sends_to_starting(harness) <= max_tolerated(harness, 20, 0.2 + 0.8 * 2 / 10)
    for name in list(harness.attempts):
        if not harness.attempts[name].is_established:
            harness.establish(name)
    harness.advance(harness.settings.slow_start_us + SECOND)
    assert count_sends_to_starting(harness) > max_tolerated(harness, 20, 0.2 + 0.8 * 2 / 10)


@pytest.mark.parametrize("offset_us", [-HOUR_US, HOUR_US])
def test_a_wrong_clock_at_node_start_does_not_skip_the_slow_start_of_the_newest_backend(
    offset_us: int,
) -> None:
    """A node starts when one of the backends has just started; its clock is wrong by an hour."""
    harness = InstanceHarness(settings(), 1)
    harness.now = BEGIN_US + HOUR_US
    known = [backend(n, 1, BEGIN_US - HOUR_US) for n in STABLE_IDS]
    harness.feed(
        replace(full(*known, backend(STARTING_ID, 1, BEGIN_US + HOUR_US + offset_us)), kind=ListKind.CACHED)
    )
    assert count_sends_to_starting(harness, 100) <= max_tolerated(harness, 20)


def test_during_a_handover_neither_process_spends_the_allowance_of_the_other() -> None:
    harness = harness_among(connections=160)
    harness.feed(delta(backend(STARTING_ID, 1, BEGIN_US)))
    harness.advance(SECOND)
    snapshot = harness.balancer.snapshot()
    harness.balancer.forfeit_slow_start_allowance(harness.now)
    successor = InstanceHarness(harness.settings, 2)
    successor.now = harness.now
    successor.feed(full(*STABLE_IDS, backend(STARTING_ID, 1, BEGIN_US)))
    successor.feed(snapshot)
    assert count_sends_to_starting(harness) == count_sends_to_starting(successor) == 0
    for name in [n for n, a in harness.attempts.items() if not a.is_established]:
        harness.establish(name)
    harness.advance(harness.settings.overload_window_us + SECOND)
    assert count_sends_to_starting(harness) > 0
