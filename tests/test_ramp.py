"""All instances together keep the limit of a backend in slow start, with and without gossip."""

from __future__ import annotations

import math
from random import Random

import pytest

from sailrun.decisions.events import AttemptOutcome, FleetLoad
from tests.support import SECOND, InstanceHarness, backend, delta, full, settings

STABLE_IDS, STARTING_ID, STARTED_US = tuple(range(1, 9)), 99, 20 * SECOND
STEP_US, STEPS, STEPS_PER_UPDATE = 150_000, 60, 14


def share_fleet_loads(tier: list[InstanceHarness]) -> None:
    """Gives each instance the load of the others, as after a gossip round without lost datagrams."""
    own_backends = [[a.backend for a in harness.attempts.values()] for harness in tier]
    loads = {
        b: float(sum(backends.count(b) for backends in own_backends)) for b in (*STABLE_IDS, STARTING_ID)
    }
    for harness, backends in zip(tier, own_backends, strict=True):
        other_loads = {b: load - backends.count(b) for b, load in loads.items()}
        fresh_until_us = harness.now + 16 * SECOND
        connections = int(sum(other_loads.values()))
        harness.feed(FleetLoad(other_loads, connections, False, len(tier), frozenset(), fresh_until_us))


@pytest.mark.parametrize("per_backend", [10, 20])
@pytest.mark.parametrize("gossip", [False, True], ids=["without-gossip", "with-gossip"])
@pytest.mark.parametrize("instance_count", [4, 20, 30])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_burst_at_all_instances_stays_within_the_slow_start_limit(
    instance_count: int, gossip: bool, per_backend: int, seed: int
) -> None:
    """Traffic is uneven, a third of the instances restart within the window, the backend starts twice."""
    random = Random(seed)
    tier = [
        InstanceHarness(settings(instances=instance_count, index=n), seed=1000 * seed + n)
        for n in range(instance_count)
    ]
    instance_settings = tier[0].settings
    weights = [random.choice((1, 2, 6)) for _ in range(instance_count)]
    for harness in tier:
        harness.feed(full(*STABLE_IDS))
    for n in range(per_backend * len(STABLE_IDS)):
        harness = random.choices(tier, weights)[0]
        harness.establish(harness.send_request(key=f"old{n}"))
    starts = [STARTED_US, STARTED_US + 3 * SECOND]
    for harness in tier:
        harness.now = STARTED_US + 200_000
    if gossip:
        share_fleet_loads(tier)
    sent_us: list[int] = []
    for step in range(STEPS):
        if tier[0].now >= starts[0]:
            update = delta(backend(STARTING_ID, 1, starts.pop(0)))
            for harness in tier:
                for name in [n for n, a in harness.attempts.items() if a.backend == STARTING_ID]:
                    harness.end(name, AttemptOutcome.RESET)
                harness.feed(update)
        if not starts:
            starts = [10**15]
        if step == 4:
            for n in range(0, instance_count, 3):
                now, tier[n] = tier[n].now, InstanceHarness(tier[n].settings, seed=5000 + n)
                tier[n].now = now
                tier[n].feed(full(*STABLE_IDS, backend(STARTING_ID, 1, STARTED_US)))
        for harness in tier:
            harness.advance(STEP_US)
        for m in range(2 * per_backend):
            harness = random.choices(tier, weights)[0]
            name = harness.send_request(key=f"new{step}-{m}")
            if name in harness.attempts:
                backend_id = harness.sent_to(name)
                harness.establish(name)
                if backend_id == STARTING_ID:
                    sent_us.append(harness.now)
                else:
                    harness.end(name, AttemptOutcome.OK)
        if gossip and step % STEPS_PER_UPDATE == STEPS_PER_UPDATE - 1:
            share_fleet_loads(tier)
    slow_start_sends = [at for at in sent_us if at < STARTED_US + instance_settings.slow_start_us]
    assert slow_start_sends, "a backend in slow start gets some requests"
    for at in slow_start_sends:
        since = at - (STARTED_US + 3 * SECOND if at >= STARTED_US + 3 * SECOND else STARTED_US)
        share = (
            instance_settings.initial_capacity_share
            + (1 - instance_settings.initial_capacity_share) * since / instance_settings.slow_start_us
        )
        expected = (
            instance_settings.overload_multiple
            * share
            * per_backend
            * instance_settings.overload_window_us
            / instance_settings.slow_start_us
        )
        window = sum(1 for s in slow_start_sends if at - instance_settings.overload_window_us < s <= at)
        assert window <= expected + 3 * math.sqrt(expected) + 3
