"""Slow start: what bounds the sum of all nodes, and every way on which a node might send past it. Pure."""

from __future__ import annotations

import math
from dataclasses import replace
from random import Random

import pytest

from sailrun.decisions.actions import StartAttempt
from sailrun.decisions.events import AttemptOutcome, ListKind, OperatorOverride, RequestArrived
from sailrun.decisions.slow_start import SAFETY_DEVIATIONS, max_bearable_requests, safe_mean_requests
from tests.support import SECOND, Relay, backend, delta, full, settings
from tests.test_ramp import tell_sums

WARM, COLD, GONE = tuple(range(1, 9)), 99, 1
HOUR = 3600 * SECOND
BEGIN = 2 * HOUR


def relay_among(nodes: int = 1, standing: int = 40, seed: int = 1, index: int = 0) -> Relay:
    """A node of a tier with sessions of its own at eight warm form servers, 100 s after its begin."""
    relay = Relay(settings(instances=nodes, index=index), seed)
    relay.feed(full(*WARM))
    for n in range(standing):
        relay.opened(relay.ask(key=f"old{seed}-{n}"))
    relay.now = BEGIN
    return relay


def sent_cold(relay: Relay, asked: int = 200) -> int:
    """How many of so many sessions asked for at one moment are sent to the young form server."""
    own = f"{relay.settings.index}-{relay.now}"
    names = [relay.ask(key=f"new{own}-{n}") for n in range(asked)]
    return sum(name in relay.attempts and relay.sent_to(name) == COLD for name in names)


def most(relay: Relay, connections: float, share: float = 0.2) -> float:
    known = relay.settings
    return max_bearable_requests(
        known.overload_multiple * share * connections * known.overload_window_us / known.slow_start_us
    )


def test_what_a_form_server_bears_follows_the_rule_on_both_sides_of_thirty() -> None:
    assert max_bearable_requests(0) == 3 and max_bearable_requests(4) == 4 + 6 + 3
    assert max_bearable_requests(29.9) == pytest.approx(29.9 + 3 * math.sqrt(29.9) + 3)
    assert max_bearable_requests(36) == 36 + 12 + 2


@pytest.mark.parametrize("limit", [5.0, 10.0, 50.0, 500.0])
def test_the_mean_stays_so_many_deviations_below_what_is_borne(limit: float) -> None:
    mean = safe_mean_requests(limit)
    assert SAFETY_DEVIATIONS >= 2 and mean + SAFETY_DEVIATIONS * math.sqrt(mean) == pytest.approx(limit)


@pytest.mark.parametrize("nodes", [1, 2, 3, 5, 8, 16, 32, 64])
@pytest.mark.parametrize("quiet_s", [0.1, 1.0, 5.0])
@pytest.mark.parametrize("told", [False, True], ids=["alone", "told"])
def test_a_quiet_time_saves_up_nothing_that_a_rush_could_spend(
    nodes: int, quiet_s: float, told: bool
) -> None:
    """Twenty sessions come to every node at one moment, long or shortly after the start."""
    standing = 160 // nodes + 1
    tier = [relay_among(nodes, standing, seed=7 * nodes + n, index=n) for n in range(nodes)]
    for relay in tier:
        relay.feed(delta(backend(COLD, 1, BEGIN)))
    if told:
        tell_sums(tier)
    for relay in tier:
        relay.advance(int(quiet_s * SECOND))
    if told:
        tell_sums(tier)
    share = 0.2 + 0.8 * quiet_s / 10
    assert sum(sent_cold(relay, 20) for relay in tier) <= most(tier[0], 20, share)


@pytest.mark.parametrize("nodes", [6, 32])
@pytest.mark.parametrize("seed", range(6))
def test_clients_that_come_again_with_their_groups_do_not_push_it_over(nodes: int, seed: int) -> None:
    """Two warm form servers break while two are young. All their clients come again within half a second,
    each through a node of its own, and the sessions of one group all go the same way.
    """
    chance = Random(seed)
    tier = [relay_among(nodes, 0, seed=1000 * seed + n, index=n) for n in range(nodes)]
    groups = [f"group{seed}-{n}" for n in range(10)]
    stands: list[tuple[Relay, str, str]] = []
    for n in range(160):
        relay, group = chance.choice(tier), chance.choices(groups, [1 / (k + 1) for k in range(10)])[0]
        name = relay.ask(key=f"client{n}", group=group)
        if name in relay.attempts:
            relay.opened(name)
            stands.append((relay, name, group))
    for relay in tier:
        relay.feed(delta(backend(COLD, 1, BEGIN), backend(COLD + 1, 1, BEGIN)))
        relay.advance(3 * SECOND)
    tell_sums(tier)
    lost = [s for s in stands if s[0].attempts[s[1]].backend in (1, 2)]
    for relay, name, _ in lost:
        relay.end(name, AttemptOutcome.RESET)
    sent = {COLD: 0, COLD + 1: 0}
    for step in range(10):
        for relay in tier:
            relay.advance(50_000)
        for n, (_, _, group) in enumerate(lost[step::10]):
            relay = chance.choice(tier)
            name = f"again{step}-{n}-{relay.now}"
            before = relay.balancer.handle(
                relay.now, RequestArrived(name, "stream", SECOND, name, group, returning=True)
            )
            for action in before:
                if isinstance(action, StartAttempt) and action.backend in sent:
                    sent[action.backend] += 1
    assert max(sent.values()) <= most(tier[0], 20, 0.2 + 0.8 * 3.5 / 10)


@pytest.mark.parametrize("nodes", [1, 5, 40])
def test_a_node_that_starts_anew_or_whose_form_server_does_has_no_second_part(nodes: int) -> None:
    """The form server starts a second time right after its first start, and then every node restarts."""
    total = 0
    for n in range(nodes):
        relay = relay_among(nodes, 160 // nodes + 1, seed=n, index=n)
        relay.feed(delta(backend(COLD, 1, BEGIN)))
        relay.advance(300_000)
        sent_cold(relay, 20)  # to the first of its processes
        relay.feed(delta(backend(COLD, 1, BEGIN + 300_000)))
        total += sent_cold(relay, 20)
        anew = Relay(relay.settings, seed=900 + n)
        anew.now = relay.now
        anew.feed(replace(full(*WARM, backend(COLD, 1, BEGIN + 300_000)), kind=ListKind.CACHED))
        total += sent_cold(anew, 20)
    assert total <= most(relay_among(), 20, 0.25)


def test_the_last_resort_among_ejected_ones_is_no_way_around() -> None:
    """The only form server there is starts anew, and refuses the first connection that it gets."""
    relay = Relay()
    relay.feed(full(COLD))
    for n in range(40):
        relay.opened(relay.ask(key=f"old{n}"))
    relay.now = BEGIN
    relay.feed(delta(backend(COLD, 1, BEGIN)))
    relay.advance(relay.settings.overload_window_us)
    sent = 0
    for n in range(200):
        name = relay.ask(key=f"k{n}")
        if name in relay.attempts:
            sent += 1
            relay.end(name, AttemptOutcome.CONNECT_FAILED)
    assert 1 <= sent <= most(relay, 40, 0.28)


def test_one_put_back_by_hand_is_not_sent_to_by_all_nodes_at_once() -> None:
    tier = [relay_among(40, 5, seed=n, index=n) for n in range(40)]
    sent = 0
    for relay in tier:
        relay.feed(full(*WARM, COLD))
        relay.feed(OperatorOverride(COLD, True))
        relay.advance(SECOND)
        relay.feed(delta(backend(COLD, 1, relay.now)))
        relay.feed(OperatorOverride(COLD, False))
        sent += sent_cold(relay, 20)
    assert sent <= most(tier[0], 25)


@pytest.mark.parametrize("off_us", [-HOUR, -5 * SECOND, 5 * SECOND, HOUR])
def test_a_clock_set_wrong_opens_it_to_nobody_and_shuts_it_for_no_longer(off_us: int) -> None:
    """The start that the list states is off by seconds or an hour beside this node's clock, either way."""
    relay = relay_among(standing=160)
    relay.feed(full(*WARM))
    relay.feed(delta(backend(COLD, 1, BEGIN + off_us)))
    assert sent_cold(relay) <= most(relay, 20, 0.2 + 0.8 * 2 / 10)
    for name in list(relay.attempts):
        if not relay.attempts[name].stands:
            relay.opened(name)
    relay.advance(relay.settings.slow_start_us + SECOND)
    assert sent_cold(relay) > most(relay, 20, 0.2 + 0.8 * 2 / 10)


@pytest.mark.parametrize("off_us", [-HOUR, HOUR])
def test_a_clock_set_wrong_before_the_start_opens_the_newest_to_nobody(off_us: int) -> None:
    """A node begins among warm form servers and one that started just now; its clock is an hour off."""
    relay = Relay(settings(), 1)
    relay.now = BEGIN + HOUR
    known = [backend(n, 1, BEGIN - HOUR) for n in WARM]
    relay.feed(replace(full(*known, backend(COLD, 1, BEGIN + HOUR + off_us)), kind=ListKind.CACHED))
    assert sent_cold(relay, 100) <= most(relay, 20)


def test_of_two_processes_that_are_one_node_neither_spends_what_the_other_may_have() -> None:
    relay = relay_among(standing=160)
    relay.feed(delta(backend(COLD, 1, BEGIN)))
    relay.advance(SECOND)
    learned = relay.balancer.snapshot()
    relay.balancer.forfeit_slow_start_allowance(relay.now)
    successor = Relay(relay.settings, 2)
    successor.now = relay.now
    successor.feed(full(*WARM, backend(COLD, 1, BEGIN)))
    successor.feed(learned)
    assert sent_cold(relay) == sent_cold(successor) == 0
    for name in [n for n, a in relay.attempts.items() if not a.stands]:
        relay.opened(name)
    relay.advance(relay.settings.overload_window_us + SECOND)
    assert sent_cold(relay) > 0
