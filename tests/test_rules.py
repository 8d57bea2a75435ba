"""The four rules as properties over generated event sequences, and the cold budget over many relays."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from sailrun.decisions.events import AttemptOutcome, BackendListUpdate, ListKind, NoticeKind
from sailrun.decisions.placement import MASK, key_hash, server_hash
from sailrun.decisions.settings import DiscoveryMode
from tests.support import SECOND, Relay, backend, delta, full, settings

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


def _play(relay: Relay, step: tuple[str, object, object]) -> None:
    kind, a, b = step
    out = [n for n, t in relay.attempts.items() if not t.stands]
    if kind == "ask":
        relay.ask(str(a), key=f"k{b}")
    elif kind == "left":
        assert isinstance(a, int)
        relay.ask(key=f"k{b}", left_us=a)
    elif kind == "mid":
        relay.ask(key=f"k{a}", mid_flow=True)
    elif kind == "state":
        assert isinstance(a, int) and isinstance(b, int)
        relay.feed(delta(backend(a, b)))
    elif kind == "restart":
        assert isinstance(a, int) and isinstance(b, int)
        relay.feed(delta(backend(a, 1, max(1, relay.now - b * SECOND))))
    elif kind == "full":
        assert isinstance(a, set)
        relay.feed(full(*sorted(a)))
    elif kind == "failed":
        relay.feed(BackendListUpdate(ListKind.FAILED))
    elif kind == "wait":
        assert isinstance(a, int)
        relay.advance(a)
    else:
        assert isinstance(a, int)
        name = _pick(out if kind == "open" else list(relay.attempts), a)
        if kind == "leave":
            name = _pick([n for n, p in relay.promises.items() if not p.over and n not in relay.attempts], a)
        if name is None:
            return
        if kind == "open":
            relay.opened(name)
        elif kind == "end":
            assert isinstance(b, AttemptOutcome)
            if b is not AttemptOutcome.OK or relay.attempts[name].stands:
                relay.end(name, b)
        elif kind == "leave":
            relay.leave(name)
        else:
            assert isinstance(b, (int, float))
            relay.notice(name, NoticeKind.DELAY if kind == "delay" else NoticeKind.LOAD, b)


@given(st.lists(STEP, max_size=60), st.sampled_from([DiscoveryMode.PUSH, DiscoveryMode.ASK]), st.booleans())
@profile(derandomize=True, deadline=None, max_examples=300)
def test_rules_hold_over_any_sequence(steps: list, discovery: DiscoveryMode, passing: bool) -> None:  # type: ignore[type-arg]
    relay = Relay(settings(discovery=discovery, poll_interval_us=10 * SECOND, pass_through=passing))
    relay.feed(replace(full(1, 2, 3, 4, 5), kind=ListKind.CACHED))
    for step in steps:
        _play(relay, step)
        relay.check_answers()
    relay.finish()


@given(st.lists(STEP, max_size=40), st.integers(0, 5))
@profile(derandomize=True, deadline=None, max_examples=60)
def test_the_same_events_lead_to_the_same_actions(steps: list, seed: int) -> None:  # type: ignore[type-arg]
    logs = []
    for _ in range(2):
        relay = Relay(seed=seed)
        relay.feed(full(1, 2, 3, 4, 5))
        for step in steps:
            _play(relay, step)
        logs.append(relay.log)
    assert logs[0] == logs[1]


@pytest.mark.parametrize(("relays", "blind"), [(1, 0), (6, 0), (30, 0), (30, 20), (100, 0)])
def test_a_cold_backend_gets_no_more_than_its_budget(relays: int, blind: int) -> None:
    """All relays together, traffic uneven among them, some just restarted and so without connections."""
    tier = [Relay(settings(instances=relays, index=n), seed=n + 1) for n in range(relays)]
    warm, cold, started = list(range(1, 9)), 99, 20 * SECOND
    weight = [1 + n % 3 for n in range(relays)]
    per_backend = 100
    for relay in tier:
        relay.feed(full(*warm))
    n = 0
    while sum(len(r.attempts) for r in tier) < per_backend * len(warm):
        relay = tier[n % relays]
        for _ in range(weight[n % relays]):
            relay.opened(relay.ask(key=f"old{n}-{_}"))
        n += 1
    for number, relay in enumerate(tier):
        relay.now = started + 200_000
        if number < blind:
            fresh = tier[number] = Relay(relay.settings, seed=500 + number)
            fresh.now = relay.now
            fresh.feed(full(*warm, backend(cold, 1, started)))
        else:
            relay.feed(delta(backend(cold, 1, started)))
    sent: list[int] = []
    for burst in range(60):  # a storm: the whole fleet's connections come again within the warm-up
        for number, relay in enumerate(tier):
            relay.advance(150_000)
            for m in range(weight[number] * max(1, 40 // relays)):
                name = relay.ask(key=f"new{burst}-{number}-{m}")
                if name in relay.attempts:
                    if relay.sent_to(name) == cold:
                        sent.append(relay.now)
                    relay.opened(name)
                    if relay.sent_to(name) != cold:
                        relay.end(name, AttemptOutcome.OK)
    first = tier[0].settings
    assert sent, "a cold backend is not starved"
    for at in sent:
        share = first.initial_capacity_share + (1 - first.initial_capacity_share) * min(
            1.0, (at - started) / first.slow_start_us
        )
        window = sum(1 for s in sent if at - first.overload_window_us < s <= at)
        slack = 3  # chance: relays do not know of each other
        assert window <= first.overload_multiple * share * per_backend + slack
        standing = sum(1 for s in sent if s <= at)
        assert standing <= 2 * share * per_backend + slack


def test_a_drain_is_kept_from_the_event_on() -> None:
    relay = Relay()
    relay.feed(full(1, 2))
    landed = {relay.sent_to(relay.ask(key=f"k{n}")) for n in range(6)}
    assert landed == {1, 2}
    relay.feed(delta(backend(1, 2)))
    assert {relay.sent_to(relay.ask(key=f"m{n}")) for n in range(6)} == {2}


def test_mid_flow_may_reach_its_draining_holder_within_the_grace_only() -> None:
    for waited, expected in ((100_000, {1}), (600_000, {2})):
        relay = Relay(settings(pass_through=True))
        relay.feed(full(1, 2))
        score = {(b, k): (server_hash(b) * key_hash(k)) & MASK for b in (1, 2) for k in map(str, range(20))}
        keys = [k for k in map(str, range(20)) if score[1, k] > score[2, k]]
        relay.feed(delta(backend(1, 2)))
        relay.advance(waited)
        assert {relay.sent_to(relay.ask(key=k, mid_flow=True)) for k in keys[:3]} == expected
