"""Checks the four rules over generated event sequences, and the slow start limit over many instances."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from sailrun.decisions.events import AttemptOutcome, BackendListUpdate, ListKind, NoticeKind
from sailrun.decisions.placement import MASK, backend_hash, key_hash
from sailrun.decisions.settings import DiscoveryMode
from tests.support import SECOND, InstanceHarness, backend, delta, full, settings

STEP = st.one_of(
    st.tuples(st.just("ask"), st.sampled_from(["stream", "keyed", "unsafe"]), st.integers(0, 9)),
    st.tuples(st.just("ask"), st.just("stream"), st.integers(0, 2)),
    st.tuples(st.just("left"), st.sampled_from([0, 1, 3_000, 40_000, 300_000]), st.integers(0, 9)),
    st.tuples(st.just("mid"), st.integers(0, 9), st.just(0)),
    st.tuples(st.just("open"), st.integers(0, 99), st.just(0)),
    st.tuples(st.just("end"), st.integers(0, 99), st.sampled_from(list(AttemptOutcome))),
    st.tuples(st.just("leave"), st.integers(0, 99), st.just(0)),
    st.tuples(st.just("state"), st.integers(1, 6), st.integers(0, 2)),
    st.tuples(st.just("restart"), st.integers(1, 6), st.integers(0, 30)),
    st.tuples(st.just("full"), st.sets(st.integers(1, 8)), st.just(0)),
    st.tuples(st.just("failed"), st.just(0), st.just(0)),
    st.tuples(st.just("delay"), st.integers(0, 99), st.floats(-10, 1e6)),
    st.tuples(st.just("load"), st.integers(0, 99), st.floats(-10, 1e9)),
    st.tuples(st.just("wait"), st.sampled_from([0, 4_000, 60_000, 700_000, 8_000_000]), st.just(0)),
)


def _pick(names: list[str], n: int) -> str | None:
    return names[n % len(names)] if names else None


def _apply_step(harness: InstanceHarness, step: tuple[str, object, object]) -> None:
    kind, a, b = step
    unestablished = [n for n, t in harness.attempts.items() if not t.is_established]
    if kind == "ask":
        harness.send_request(str(a), key=f"k{b}")
    elif kind == "left":
        assert isinstance(a, int)
        harness.send_request(key=f"k{b}", left_us=a)
    elif kind == "mid":
        harness.send_request(key=f"k{a}", mid_flow=True)
    elif kind == "state":
        assert isinstance(a, int) and isinstance(b, int)
        harness.feed(delta(backend(a, b)))
    elif kind == "restart":
        assert isinstance(a, int) and isinstance(b, int)
        harness.feed(delta(backend(a, 1, max(1, harness.now - b * SECOND))))
    elif kind == "full":
        assert isinstance(a, set)
        harness.feed(full(*sorted(a)))
    elif kind == "failed":
        harness.feed(BackendListUpdate(ListKind.FAILED))
    elif kind == "wait":
        assert isinstance(a, int)
        harness.advance(a)
    else:
        assert isinstance(a, int)
        name = _pick(unestablished if kind == "open" else list(harness.attempts), a)
        if kind == "leave":
            name = _pick(
                [n for n, p in harness.expected_answers.items() if not p.over and n not in harness.attempts],
                a,
            )
        if name is None:
            return
        if kind == "open":
            harness.establish(name)
        elif kind == "end":
            assert isinstance(b, AttemptOutcome)
            if b is not AttemptOutcome.OK or harness.attempts[name].is_established:
                harness.end(name, b)
        elif kind == "leave":
            harness.leave(name)
        else:
            assert isinstance(b, (int, float))
            harness.notice(name, NoticeKind.DELAY if kind == "delay" else NoticeKind.LOAD, b)


@given(st.lists(STEP, max_size=60), st.sampled_from([DiscoveryMode.PUSH, DiscoveryMode.ASK]), st.booleans())
@profile(derandomize=True, deadline=None, max_examples=300)
def test_rules_hold_over_any_sequence(steps: list, discovery: DiscoveryMode, passing: bool) -> None:  # type: ignore[type-arg]
    harness = InstanceHarness(
        settings(discovery=discovery, poll_interval_us=10 * SECOND, pass_through=passing)
    )
    harness.feed(replace(full(1, 2, 3, 4, 5), kind=ListKind.CACHED))
    for step in steps:
        _apply_step(harness, step)
        harness.check_answers()
    harness.finish()


@given(st.lists(STEP, max_size=40), st.integers(0, 5))
@profile(derandomize=True, deadline=None, max_examples=60)
def test_the_same_events_lead_to_the_same_actions(steps: list, seed: int) -> None:  # type: ignore[type-arg]
    action_logs = []
    for _ in range(2):
        harness = InstanceHarness(seed=seed)
        harness.feed(full(1, 2, 3, 4, 5))
        for step in steps:
            _apply_step(harness, step)
        action_logs.append(harness.actions)
    assert action_logs[0] == action_logs[1]


@pytest.mark.parametrize(("instance_count", "restarted_count"), [(1, 0), (6, 0), (30, 0), (30, 20), (100, 0)])
def test_a_backend_in_slow_start_gets_no_more_than_its_limit(
    instance_count: int, restarted_count: int
) -> None:
    """Counts the requests of all instances, with uneven traffic and some instances that just restarted.

    Restarted instances have no connections.
    """
    tier = [
        InstanceHarness(settings(instances=instance_count, index=n), seed=n + 1)
        for n in range(instance_count)
    ]
    stable_ids, starting_id, started = list(range(1, 9)), 99, 20 * SECOND
    weight = [1 + n % 3 for n in range(instance_count)]
    per_backend = 100
    for harness in tier:
        harness.feed(full(*stable_ids))
    n = 0
    while sum(len(r.attempts) for r in tier) < per_backend * len(stable_ids):
        harness = tier[n % instance_count]
        for k in range(weight[n % instance_count]):
            harness.establish(harness.send_request(key=f"old{n}-{k}"))
        n += 1
    for index, harness in enumerate(tier):
        harness.now = started + 200_000
        if index < restarted_count:
            restarted_harness = tier[index] = InstanceHarness(harness.settings, seed=500 + index)
            restarted_harness.now = harness.now
            restarted_harness.feed(full(*stable_ids, backend(starting_id, 1, started)))
        else:
            harness.feed(delta(backend(starting_id, 1, started)))
    sent_us: list[int] = []
    # A burst: the connections of the whole fleet are set up again during the slow start.
    for burst in range(60):
        for index, harness in enumerate(tier):
            harness.advance(150_000)
            for m in range(weight[index] * max(1, 40 // instance_count)):
                name = harness.send_request(key=f"new{burst}-{index}-{m}")
                if name in harness.attempts:
                    if harness.sent_to(name) == starting_id:
                        sent_us.append(harness.now)
                    harness.establish(name)
                    if harness.sent_to(name) != starting_id:
                        harness.end(name, AttemptOutcome.OK)
    instance_settings = tier[0].settings
    assert sent_us, "a backend in slow start gets some requests"
    for at in sent_us:
        share = instance_settings.initial_capacity_share + (
            1 - instance_settings.initial_capacity_share
        ) * min(1.0, (at - started) / instance_settings.slow_start_us)
        window = sum(1 for s in sent_us if at - instance_settings.overload_window_us < s <= at)
        slack = 3  # random variation: instances do not know the requests of each other
        assert window <= instance_settings.overload_multiple * share * per_backend + slack
        accepted = sum(1 for s in sent_us if s <= at)
        assert accepted <= 2 * share * per_backend + slack


def test_a_draining_backend_gets_no_requests_after_the_event() -> None:
    harness = InstanceHarness()
    harness.feed(full(1, 2))
    placed_on = {harness.sent_to(harness.send_request(key=f"k{n}")) for n in range(6)}
    assert placed_on == {1, 2}
    harness.feed(delta(backend(1, 2)))
    assert {harness.sent_to(harness.send_request(key=f"m{n}")) for n in range(6)} == {2}


def test_mid_flow_requests_reach_a_draining_backend_only_within_the_grace() -> None:
    for waited_us, expected in ((100_000, {1}), (600_000, {2})):
        harness = InstanceHarness(settings(pass_through=True))
        harness.feed(full(1, 2))
        score = {(b, k): (backend_hash(b) * key_hash(k)) & MASK for b in (1, 2) for k in map(str, range(20))}
        keys = [k for k in map(str, range(20)) if score[1, k] > score[2, k]]
        harness.feed(delta(backend(1, 2)))
        harness.advance(waited_us)
        assert {harness.sent_to(harness.send_request(key=k, mid_flow=True)) for k in keys[:3]} == expected
