"""What all nodes together send to a form server that warms up: one budget, kept without a word."""

from __future__ import annotations

import math
from random import Random

import pytest

from sailrun.decisions.events import AttemptOutcome, FleetLoad
from tests.support import SECOND, Relay, backend, delta, full, settings

WARM, COLD, STARTED = tuple(range(1, 9)), 99, 20 * SECOND
STEP_US, STEPS, SUM_EVERY = 150_000, 60, 14


def tell_sums(tier: list[Relay]) -> None:
    """Each hears what the others hold, as after a round in which nobody's datagram was lost."""
    own = [[a.backend for a in relay.attempts.values()] for relay in tier]
    loads = {b: float(sum(held.count(b) for held in own)) for b in (*WARM, COLD)}
    for relay, held in zip(tier, own, strict=True):
        others = {b: load - held.count(b) for b, load in loads.items()}
        until = relay.now + 16 * SECOND
        count = int(sum(others.values()))
        relay.feed(FleetLoad(others, count, False, len(tier), frozenset(), until))


@pytest.mark.parametrize("per_backend", [10, 20])
@pytest.mark.parametrize("told", [False, True], ids=["alone", "told"])
@pytest.mark.parametrize("relays", [4, 20, 30])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_storm_stays_within_the_budget_of_all(relays: int, told: bool, per_backend: int, seed: int) -> None:
    """Traffic is uneven, a third of the nodes restart within the window, the form server starts twice."""
    chance = Random(seed)
    tier = [Relay(settings(instances=relays, index=n), seed=1000 * seed + n) for n in range(relays)]
    first = tier[0].settings
    weight = [chance.choice((1, 2, 6)) for _ in range(relays)]
    for relay in tier:
        relay.feed(full(*WARM))
    for n in range(per_backend * len(WARM)):
        relay = chance.choices(tier, weight)[0]
        relay.opened(relay.ask(key=f"old{n}"))
    starts = [STARTED, STARTED + 3 * SECOND]
    for relay in tier:
        relay.now = STARTED + 200_000
    if told:
        tell_sums(tier)
    sent: list[int] = []
    for step in range(STEPS):
        if tier[0].now >= starts[0]:
            entry = delta(backend(COLD, 1, starts.pop(0)))
            for relay in tier:
                for name in [n for n, a in relay.attempts.items() if a.backend == COLD]:
                    relay.end(name, AttemptOutcome.RESET)
                relay.feed(entry)
        if not starts:
            starts = [10**15]
        if step == 4:
            for n in range(0, relays, 3):
                now, tier[n] = tier[n].now, Relay(tier[n].settings, seed=5000 + n)
                tier[n].now = now
                tier[n].feed(full(*WARM, backend(COLD, 1, STARTED)))
        for relay in tier:
            relay.advance(STEP_US)
        for m in range(2 * per_backend):
            relay = chance.choices(tier, weight)[0]
            name = relay.ask(key=f"new{step}-{m}")
            if name in relay.attempts:
                place = relay.sent_to(name)
                relay.opened(name)
                if place == COLD:
                    sent.append(relay.now)
                else:
                    relay.end(name, AttemptOutcome.OK)
        if told and step % SUM_EVERY == SUM_EVERY - 1:
            tell_sums(tier)
    cold = [at for at in sent if at < STARTED + first.slow_start_us]
    assert cold, "a cold form server is not starved"
    for at in cold:
        since = at - (STARTED + 3 * SECOND if at >= STARTED + 3 * SECOND else STARTED)
        share = (
            first.initial_capacity_share + (1 - first.initial_capacity_share) * since / first.slow_start_us
        )
        budget = (
            first.overload_multiple * share * per_backend * first.overload_window_us / first.slow_start_us
        )
        window = sum(1 for s in cold if at - first.overload_window_us < s <= at)
        assert window <= budget + 3 * math.sqrt(budget) + 3
