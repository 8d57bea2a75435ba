"""Checks for effects that are harmless with one node and harmful with forty, in virtual time."""

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

# ---------------------------------------------------------------- calls of all nodes to discovery


def simulate_simultaneous_start(nodes: int, calls_per_s: float, seed: int) -> tuple[list[int], Counter[int]]:
    """Starts all nodes within 0.3 s; discovery handles their calls in order, at `calls_per_s`.

    A call fails after 2 s but still takes its time at discovery. Returns when each node's subscription was
    established, and the number of calls in each second.
    """
    instance_settings = settings(discovery=DiscoveryMode.ASK, poll_interval_us=10 * SECOND, instances=nodes)
    instances = [Balancer(instance_settings, seed * 1_000 + n, 0) for n in range(nodes)]
    events: list[tuple[int, int, int, Event]] = []
    order = count()
    cached_list = BackendListUpdate(ListKind.CACHED, 1, (backend(1),))
    for n in range(nodes):
        heapq.heappush(events, (n * 300_000 // nodes, next(order), n, cached_list))
    subscribed_us: dict[int, int] = {}
    calls: Counter[int] = Counter()
    registry_free_us = 0
    while len(subscribed_us) < nodes:
        now, _, n, event = heapq.heappop(events)
        assert now < 120 * SECOND, f"{nodes - len(subscribed_us)} nodes have no subscription yet"
        for action in instances[n].handle(now, event):
            match action:
                case SetTimer(delay_us, token):
                    heapq.heappush(events, (now + delay_us, next(order), n, TimerFired(token)))
                case Subscribe():
                    calls[now // SECOND] += 1
                    registry_free_us = max(registry_free_us, now) + int(SECOND / calls_per_s)
                    if registry_free_us - now > 2 * SECOND:
                        failed = BackendListUpdate(ListKind.FAILED)
                        heapq.heappush(events, (now + 2 * SECOND, next(order), n, failed))
                    else:
                        subscribed_us[n] = registry_free_us
    return sorted(subscribed_us.values()), calls


@pytest.mark.parametrize("seed", range(5))
def test_forty_nodes_that_start_together_do_not_overload_discovery(seed: int) -> None:
    subscribed_us, calls = simulate_simultaneous_start(40, 7.5, seed)
    assert subscribed_us[-1] < 20 * SECOND  # 5.4 s if discovery handled only calls that it answers in time
    assert max(calls.values()) <= 2.5 * 10  # the target is 10 per second; the rest is random variation


@pytest.mark.parametrize("seed", range(5))
def test_four_nodes_that_start_together_subscribe_quickly(seed: int) -> None:
    subscribed_us, _ = simulate_simultaneous_start(4, 7.5, seed)
    assert subscribed_us[-1] < 2 * SECOND


# ---------------------------------------------------------------- backends in slow start, filled by all nodes


def fill_starting_backend(nodes: int, seed: int) -> tuple[list[int], float]:
    """Starts an eleventh backend when ten have about 20 connections each from all nodes.

    Connections end and new ones are requested throughout. Every 2 s each node gets the total load of the
    other nodes. Returns the times of the requests sent to the new backend, from its start on, and the number
    of connections that it has at the end.
    """
    random = Random(seed)
    instance_settings = settings(
        instances=nodes, slow_start_us=24 * SECOND, initial_capacity_share=0.13, overload_window_us=3 * SECOND
    )
    instances = [Balancer(instance_settings, seed * 1_000 + n, 0) for n in range(nodes)]
    established = tuple(backend(s) for s in range(10))
    connections: list[tuple[int, str, int]] = []
    for instance in instances:
        instance.handle(0, BackendListUpdate(ListKind.FULL, 1, established))
    names = count()
    sends_us: list[int] = []

    def place_request(now: int, n: int) -> None:
        name = f"r{next(names)}"
        for action in instances[n].handle(now, RequestArrived(name, "stream", SECOND, name)):
            if isinstance(action, StartAttempt):
                if action.backend == 10:
                    sends_us.append(now)
                instances[n].handle(now, ConnectionOpened(name, 0, action.backend, 10_000))
                connections.append((n, name, action.backend))

    for _ in range(200):
        place_request(1, random.randrange(nodes))
    began_us = 10 * SECOND
    for instance in instances:
        instance.handle(began_us, BackendListUpdate(ListKind.DELTA, 2, (backend(10, 1, began_us),)))
    for now in range(began_us, began_us + 24 * SECOND, 100_000):
        if now % (2 * SECOND) == 0:
            local_loads = [instance.local_load() for instance in instances]
            for n, instance in enumerate(instances):
                other_loads = [h for k, h in enumerate(local_loads) if k != n]
                loads = {s: sum(h.loads[s] for h in other_loads) for s in range(11)}
                other_connections = sum(h.connections for h in other_loads)
                until = now + 7 * SECOND
                instance.handle(now, FleetLoad(loads, other_connections, False, nodes, frozenset(), until))
        n, name, backend_id = connections.pop(random.randrange(len(connections)))
        instances[n].handle(now, AttemptEnded(name, 0, backend_id, AttemptOutcome.OK, True))
        place_request(now, random.randrange(nodes))
    return [at - began_us for at in sends_us], sum(backend_id == 10 for _, _, backend_id in connections)


@pytest.mark.parametrize("nodes", [4, 40])
@pytest.mark.parametrize("seed", range(4))
def test_all_nodes_together_fill_a_cold_server_as_fast_as_it_warms_up(nodes: int, seed: int) -> None:
    _, final_load = fill_starting_backend(nodes, seed)
    assert 0.4 * 200 / 11 <= final_load <= 1.3 * 200 / 11


@pytest.mark.parametrize("nodes", [4, 40])
def test_sends_in_slow_start_keep_the_limit_and_reach_half_a_fair_load_on_average(nodes: int) -> None:
    fair, final_loads = 200 / 11, []
    for seed in range(20):
        sends_us, final_load = fill_starting_backend(nodes, seed)
        final_loads.append(final_load)
        for start in sends_us:
            share = 0.13 + 0.87 * start / (24 * SECOND)
            window = sum(start <= at < start + 3 * SECOND for at in sends_us)
            # Its capacity is at least the fair load, which fills it over the slow start at the earliest.
            expected = 3 * share * fair * 3 / 24
            assert window <= expected + 3 * math.sqrt(expected) + 3
        assert final_load <= 1.3 * fair
    # How many of these connections remain at the end is random in one run, but at least half on average.
    assert sum(final_loads) / len(final_loads) >= 0.5 * fair


def test_the_load_of_other_nodes_counts_towards_the_bound_of_a_backend() -> None:
    instance = Balancer(settings(instances=40), 1, 0)
    instance.handle(0, BackendListUpdate(ListKind.FULL, 1, tuple(backend(s) for s in range(4))))

    def placed_on(at: int, name: str) -> int:
        (action,) = instance.handle(at, RequestArrived(name, "stream", SECOND, "k"))
        assert isinstance(action, StartAttempt)
        instance.handle(at, ConnectionOpened(name, 0, action.backend, 10_000))
        instance.handle(at, AttemptEnded(name, 0, action.backend, AttemptOutcome.OK, True))
        return action.backend

    preferred = placed_on(1, "a")
    loads = {s: 60.0 if s == preferred else 10.0 for s in range(4)}
    instance.handle(2, FleetLoad(loads, 90, False, 40, frozenset(), SECOND))
    assert placed_on(3, "b") != preferred
    instance.handle(SECOND, FleetLoad({}, 0, False, 1, frozenset(), SECOND))
    assert placed_on(SECOND + 1, "c") == preferred  # the load of the other nodes has expired


def test_reported_overload_makes_other_backends_preferred_and_adds_none_to_the_list() -> None:
    instance = Balancer(settings(instances=40), 1, 0)
    instance.handle(0, BackendListUpdate(ListKind.FULL, 1, (backend(1), backend(2))))
    for n in range(20):
        at = 10 + n
        instance.handle(at, FleetLoad({1: 20.0, 2: 20.0, 9: 5.0}, 45, False, 40, frozenset({1, 9}), SECOND))
        (action,) = instance.handle(at, RequestArrived(f"r{n}", "stream", SECOND, f"k{n}"))
        assert isinstance(action, StartAttempt) and action.backend == 2
        instance.handle(at, ConnectionOpened(f"r{n}", 0, 2, 10_000))
        instance.handle(at, AttemptEnded(f"r{n}", 0, 2, AttemptOutcome.OK, True))
    instance.handle(50, BackendListUpdate(ListKind.FULL, 2, (backend(1),)))
    (action,) = instance.handle(60, RequestArrived("last", "stream", SECOND, "k"))
    # The only backend gets the request although it is reported as overloaded.
    assert isinstance(action, StartAttempt) and action.backend == 1
