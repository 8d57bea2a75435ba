"""Many nodes at once: what is harmless in one and harmful in forty. Virtual time, several seeds."""

from __future__ import annotations

import heapq
import math
from collections import Counter
from itertools import count
from random import Random

import pytest

from sailrun.decisions.actions import SetTimer, StartAttempt, Subscribe
from sailrun.decisions.balancer import Balancer
from sailrun.decisions.events import (
    AttemptEnded,
    AttemptOutcome,
    BackendListUpdate,
    ConnectionOpened,
    Event,
    FleetLoad,
    ListKind,
    RequestArrived,
    TimerFired,
)
from sailrun.decisions.settings import DiscoveryMode
from tests.support import SECOND, backend, settings

# ---------------------------------------------------------------- the roster, asked by all


def starts_all_at_once(nodes: int, per_s: float, seed: int) -> tuple[list[int], Counter[int]]:
    """All nodes start within 0.3 s before a roster that takes calls in turn, also those it has given up after
    2 s. Returns when each node's watch stood, and the calls of each second.
    """
    told = settings(discovery=DiscoveryMode.ASK, poll_interval_us=10 * SECOND, instances=nodes)
    relays = [Balancer(told, seed * 1_000 + n, 0) for n in range(nodes)]
    events: list[tuple[int, int, int, Event]] = []
    order = count()
    known = BackendListUpdate(ListKind.CACHED, 1, (backend(1),))
    for n in range(nodes):
        heapq.heappush(events, (n * 300_000 // nodes, next(order), n, known))
    stood: dict[int, int] = {}
    calls: Counter[int] = Counter()
    free_us = 0
    while len(stood) < nodes:
        now, _, n, event = heapq.heappop(events)
        assert now < 120 * SECOND, f"{nodes - len(stood)} nodes are still without a watch"
        for action in relays[n].handle(now, event):
            match action:
                case SetTimer(delay_us, token):
                    heapq.heappush(events, (now + delay_us, next(order), n, TimerFired(token)))
                case Subscribe():
                    calls[now // SECOND] += 1
                    free_us = max(free_us, now) + int(SECOND / per_s)
                    if free_us - now > 2 * SECOND:
                        failed = BackendListUpdate(ListKind.FAILED)
                        heapq.heappush(events, (now + 2 * SECOND, next(order), n, failed))
                    else:
                        stood[n] = free_us
    return sorted(stood.values()), calls


@pytest.mark.parametrize("seed", range(5))
def test_forty_nodes_that_start_at_once_do_not_ask_the_roster_to_a_standstill(seed: int) -> None:
    stood, calls = starts_all_at_once(40, 7.5, seed)
    assert stood[-1] < 20 * SECOND  # a roster that only answered those it could would need 5.4 s
    assert max(calls.values()) <= 2.5 * 10  # of the 10 a second that are meant, with what chance adds


@pytest.mark.parametrize("seed", range(5))
def test_four_nodes_are_not_kept_waiting_for_the_sake_of_forty(seed: int) -> None:
    stood, _ = starts_all_at_once(4, 7.5, seed)
    assert stood[-1] < 2 * SECOND


# ---------------------------------------------------------------- cold form servers, filled by all


def fills_a_cold_server(nodes: int, seed: int) -> tuple[list[int], float]:
    """Twenty sessions stand on each of ten form servers, spread over the nodes; then an eleventh starts,
    while sessions end and come back all the time. Returns when each send to it was made, and what it held
    at last. The nodes hear every two seconds what the others hold, as a sum.
    """
    random = Random(seed)
    told = settings(
        instances=nodes, slow_start_us=24 * SECOND, initial_capacity_share=0.13, overload_window_us=3 * SECOND
    )
    relays = [Balancer(told, seed * 1_000 + n, 0) for n in range(nodes)]
    old = tuple(backend(s) for s in range(10))
    standing: list[tuple[int, str, int]] = []
    for relay in relays:
        relay.handle(0, BackendListUpdate(ListKind.FULL, 1, old))
    names = count()
    sends: list[int] = []

    def come(now: int, n: int) -> None:
        name = f"r{next(names)}"
        for action in relays[n].handle(now, RequestArrived(name, "stream", SECOND, name)):
            if isinstance(action, StartAttempt):
                if action.backend == 10:
                    sends.append(now)
                relays[n].handle(now, ConnectionOpened(name, 0, action.backend, 10_000))
                standing.append((n, name, action.backend))

    for _ in range(200):
        come(1, random.randrange(nodes))
    began = 10 * SECOND
    for relay in relays:
        relay.handle(began, BackendListUpdate(ListKind.DELTA, 2, (backend(10, 1, began),)))
    for now in range(began, began + 24 * SECOND, 100_000):
        if now % (2 * SECOND) == 0:
            held = [relay.local_load() for relay in relays]
            for n, relay in enumerate(relays):
                rest = [h for k, h in enumerate(held) if k != n]
                loads = {s: sum(h.loads[s] for h in rest) for s in range(11)}
                others = sum(h.connections for h in rest)
                until = now + 7 * SECOND
                relay.handle(now, FleetLoad(loads, others, False, nodes, frozenset(), until))
        n, name, server = standing.pop(random.randrange(len(standing)))
        relays[n].handle(now, AttemptEnded(name, 0, server, AttemptOutcome.OK, True))
        come(now, random.randrange(nodes))
    return [at - began for at in sends], sum(server == 10 for _, _, server in standing)


@pytest.mark.parametrize("nodes", [4, 40])
@pytest.mark.parametrize("seed", range(4))
def test_all_nodes_together_fill_a_cold_server_as_fast_as_it_warms_up(nodes: int, seed: int) -> None:
    _, held = fills_a_cold_server(nodes, seed)
    assert 0.4 * 200 / 11 <= held <= 1.3 * 200 / 11


@pytest.mark.parametrize("nodes", [4, 40])
def test_what_fills_a_cold_server_keeps_the_rule_and_is_half_a_fair_load_in_the_mean(nodes: int) -> None:
    fair, held = 200 / 11, []
    for seed in range(20):
        sends, holds = fills_a_cold_server(nodes, seed)
        held.append(holds)
        for start in sends:
            share = 0.13 + 0.87 * start / (24 * SECOND)
            window = sum(start <= at < start + 3 * SECOND for at in sends)
            # Its capacity is at least the load it may hold, which fills it over the warm-up at the soonest.
            calls = 3 * share * fair * 3 / 24
            assert window <= calls + 3 * math.sqrt(calls) + 3
        assert holds <= 1.3 * fair
    # How many of those sent are still there at the end is chance in one play, and at least half in the mean.
    assert sum(held) / len(held) >= 0.5 * fair


def test_what_the_others_hold_bounds_a_form_server_that_looks_empty_from_here() -> None:
    relay = Balancer(settings(instances=40), 1, 0)
    relay.handle(0, BackendListUpdate(ListKind.FULL, 1, tuple(backend(s) for s in range(4))))

    def sent(at: int, name: str) -> int:
        (action,) = relay.handle(at, RequestArrived(name, "stream", SECOND, "k"))
        assert isinstance(action, StartAttempt)
        relay.handle(at, ConnectionOpened(name, 0, action.backend, 10_000))
        relay.handle(at, AttemptEnded(name, 0, action.backend, AttemptOutcome.OK, True))
        return action.backend

    home = sent(1, "a")
    crowd = {s: 60.0 if s == home else 10.0 for s in range(4)}
    relay.handle(2, FleetLoad(crowd, 90, False, 40, frozenset(), SECOND))
    assert sent(3, "b") != home
    relay.handle(SECOND, FleetLoad({}, 0, False, 1, frozenset(), SECOND))
    assert sent(SECOND + 1, "c") == home  # what was heard has aged to nothing


def test_a_warning_makes_others_come_first_and_lists_nobody() -> None:
    relay = Balancer(settings(instances=40), 1, 0)
    relay.handle(0, BackendListUpdate(ListKind.FULL, 1, (backend(1), backend(2))))
    for n in range(20):
        at = 10 + n
        relay.handle(at, FleetLoad({1: 20.0, 2: 20.0, 9: 5.0}, 45, False, 40, frozenset({1, 9}), SECOND))
        (action,) = relay.handle(at, RequestArrived(f"r{n}", "stream", SECOND, f"k{n}"))
        assert isinstance(action, StartAttempt) and action.backend == 2
        relay.handle(at, ConnectionOpened(f"r{n}", 0, 2, 10_000))
        relay.handle(at, AttemptEnded(f"r{n}", 0, 2, AttemptOutcome.OK, True))
    relay.handle(50, BackendListUpdate(ListKind.FULL, 2, (backend(1),)))
    (action,) = relay.handle(60, RequestArrived("last", "stream", SECOND, "k"))
    assert isinstance(action, StartAttempt) and action.backend == 1  # the only one there is, warned of or not
