"""Many nodes at once: what is harmless in one and harmful in forty. Virtual time, several seeds."""

from __future__ import annotations

import heapq
from collections import Counter
from itertools import count

import pytest

from sailrun import interface as i
from sailrun.decide import Balancer
from tests.support import SECOND, backend, settings

# ---------------------------------------------------------------- the roster, asked by all


def starts_all_at_once(nodes: int, per_s: float, seed: int) -> tuple[list[int], Counter[int]]:
    """All nodes start within 0.3 s before a roster that takes calls in turn, also those it has given up after
    2 s. Returns when each node's watch stood, and the calls of each second.
    """
    told = settings(discovery=i.Discovery.ASK, must_ask_in_us=10 * SECOND, instances=nodes)
    relays = [Balancer(told, seed * 1_000 + n, 0) for n in range(nodes)]
    events: list[tuple[int, int, int, i.Event]] = []
    order = count()
    known = i.ListUpdate(i.ListKind.CACHED, 1, (backend(1),))
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
                case i.SetTimer(delay_us, token):
                    heapq.heappush(events, (now + delay_us, next(order), n, i.TimerFired(token)))
                case i.Subscribe():
                    calls[now // SECOND] += 1
                    free_us = max(free_us, now) + int(SECOND / per_s)
                    if free_us - now > 2 * SECOND:
                        failed = i.ListUpdate(i.ListKind.FAILED)
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
