"""Events that are legal but odd: no exception, no broken rule."""

from __future__ import annotations

import pytest

from sailrun.decisions.actions import DenialReason, FailRequest, RejectRequest, StartAttempt
from sailrun.decisions.events import (
    AttemptEnded,
    AttemptNotice,
    AttemptOutcome,
    ClientLeft,
    ConnectionOpened,
    ConnectionResumed,
    NoticeKind,
    PeerMessage,
    ProbeEnded,
    RequestArrived,
    TimerFired,
)
from sailrun.decisions.settings import RequestClass
from tests.support import SECOND, Relay, backend, delta, full, settings


def test_word_of_requests_already_over_or_never_seen() -> None:
    relay = Relay()
    relay.feed(full(1, 2))
    name = relay.ask()
    relay.opened(name)
    relay.end(name, AttemptOutcome.OK)
    for event in (
        AttemptEnded(name, 0, 1, AttemptOutcome.OK, True),
        AttemptEnded("never", 0, 77, AttemptOutcome.RESET, False),
        ClientLeft(name),
        ClientLeft("never"),
        ConnectionOpened(name, 0, 1),
        AttemptNotice(name, 0, 1, NoticeKind.LOAD, 5.0),
        AttemptNotice("never", 0, 77, NoticeKind.DELAY, 5.0),
        ProbeEnded(77, AttemptOutcome.OK),
        TimerFired(12345),
        TimerFired(1),
        TimerFired(2),
        PeerMessage(3, b"\xff\x00 garbled"),
    ):
        assert not [a for a in relay.feed(event) if isinstance(a, (StartAttempt, RejectRequest, FailRequest))]


def test_a_client_that_leaves_with_an_attempt_out_is_never_answered() -> None:
    relay = Relay()
    relay.feed(full(1, 2))
    name = relay.ask()
    relay.leave(name)
    relay.end(name, AttemptOutcome.CONNECT_FAILED)
    relay.finish()
    assert len(relay.promises[name].sends) == 1


def test_no_backend_at_all_is_refused_at_once() -> None:
    relay = Relay()
    early = relay.ask()
    relay.feed(full(1))
    assert relay.sent_to(relay.ask()) == 1
    relay.feed(full())
    late = relay.ask()
    assert [a.request for a in relay.took(RejectRequest)] == [early, late]  # type: ignore[union-attr]


def test_every_backend_gone_with_an_unsafe_attempt_that_may_have_run_fails() -> None:
    relay = Relay()
    relay.feed(full(1, 2))
    name = relay.ask("unsafe")
    relay.feed(full())
    relay.end(name, AttemptOutcome.RESET)
    assert FailRequest(name, DenialReason.OUT_OF_ATTEMPTS) in relay.log


@pytest.mark.parametrize("left_us", [0, 1, 4_000])
def test_no_time_left_is_refused_at_once(left_us: int) -> None:
    relay = Relay()
    relay.feed(full(1))
    relay.ask(left_us=left_us)
    assert relay.took(RejectRequest) and not relay.took(StartAttempt)


def test_repeated_lists_change_nothing() -> None:
    landed = []
    for repeats in (1, 5):
        relay = Relay()
        for _ in range(repeats):
            relay.feed(full(1, 2, 3))
        landed.append([relay.sent_to(relay.ask(key=f"k{n}")) for n in range(9)])
    assert landed[0] == landed[1]


def test_a_restart_under_the_same_id_is_a_new_cold_backend() -> None:
    relay = Relay()
    relay.feed(full(1, 2))
    relay.end(relay.ask(key="a"), AttemptOutcome.CONNECT_FAILED)
    relay.advance(60 * SECOND)
    relay.feed(delta(backend(1, 1, relay.now), backend(2, 1, relay.now)))
    relay.ask(key="a")
    relay.finish()


def test_missing_keys_hints_classes_and_tenants() -> None:
    relay = Relay()
    relay.feed(full(1, 2))
    relay.promises["x"] = relay.promises[relay.ask()].__class__(
        relay.settings.classes[0], relay.now + 400_000
    )
    actions = relay.feed(RequestArrived("x", "unheard", 400_000))
    assert any(isinstance(a, StartAttempt) for a in actions)


@pytest.mark.parametrize("capacity", [0.0, -3.0, 1e18, 1e-18])
def test_absurd_capacity_hints(capacity: float) -> None:
    relay = Relay()
    relay.feed(full(backend(1, capacity=capacity), 2, 3))
    for n in range(60):
        relay.opened(relay.ask(key=f"k{n}"))
    relay.finish()


@pytest.mark.parametrize("value", [-1.0, 0.0, 1e300])
def test_absurd_notes_and_hints(value: float) -> None:
    relay = Relay()
    relay.feed(full(1, 2, 3))
    names = [relay.ask(key=f"k{n}", hint=value) for n in range(6)]
    for name in names:
        if name in relay.attempts:
            relay.opened(name)
            relay.notice(name, NoticeKind.LOAD, value)
            relay.notice(name, NoticeKind.DELAY, value)
    relay.ask(key="more")
    relay.finish()


def test_a_clock_that_jumps_far_ahead_or_back() -> None:
    relay = Relay()
    relay.feed(full(1, 2, backend(3, 1, 500)))
    relay.opened(relay.ask(key="a"))
    relay.now += 10**15
    relay.opened(relay.ask(key="b"))
    relay.balancer.handle(5, TimerFired(1))
    relay.opened(relay.ask(key="c"))


def test_connections_that_already_run_count_and_owe_nothing() -> None:
    relay = Relay()
    relay.feed(full(1, 2))
    for n in range(40):
        relay.feed(ConnectionResumed(f"old{n}", "stream", 1 if n < 39 else 77, key=f"k{n}"))
    relay.finish()
    assert not relay.took(RejectRequest) and not relay.took(FailRequest)
    assert {relay.sent_to(relay.ask(key=f"n{n}")) for n in range(3)} == {2}
    relay.feed(AttemptEnded("old39", 0, 77, AttemptOutcome.RESET, True))
    relay.finish()


# The field, the name that a complaint gives it, and a value that it refuses.
BAD = [
    ("overload_window_us", "fall_us", 0),
    ("initial_capacity_share", "cold_from", 0.0),
    ("initial_capacity_share", "cold_from", 1.5),
    ("slow_start_us", "cold_us", -1),
    ("overload_multiple", "fall_multiple", 0.5),
    ("max_attempts", "max_attempts", "3"),
    ("drain_grace_us", "drain_grace_us", 1.5),
    ("instances", "instances", 0),
    ("index", "index", 4),
    ("over_quota_priority_weight", "over_share_worth", 2.0),
    ("classes", "classes", ()),
    ("classes", "classes", (RequestClass("a", 1, 1), RequestClass("a", 1, 1))),
    ("discovery", "discovery", "push"),
    ("zone", "zone", None),
    ("retry_after", "retry_after", 1),
    ("overload_multiple", "fall_multiple", float("nan")),
]


@pytest.mark.parametrize(("field", "shown", "value"), BAD)
def test_bad_settings_are_named_with_their_value(field: str, shown: str, value: object) -> None:
    with pytest.raises(ValueError, match=rf"\b{shown}\b") as raised:
        Relay(settings(**{field: value}))
    assert repr(value) in str(raised.value) or field == "classes"
