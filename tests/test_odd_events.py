"""Valid but unusual events cause no exception and break no rule."""

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
from tests.support import SECOND, InstanceHarness, backend, delta, full, settings


def test_events_about_finished_or_unknown_requests_have_no_effect() -> None:
    harness = InstanceHarness()
    harness.feed(full(1, 2))
    name = harness.send_request()
    harness.establish(name)
    harness.end(name, AttemptOutcome.OK)
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
        assert not [
            a for a in harness.feed(event) if isinstance(a, (StartAttempt, RejectRequest, FailRequest))
        ]


def test_a_client_that_leaves_during_an_attempt_is_never_answered() -> None:
    harness = InstanceHarness()
    harness.feed(full(1, 2))
    name = harness.send_request()
    harness.leave(name)
    harness.end(name, AttemptOutcome.CONNECT_FAILED)
    harness.finish()
    assert len(harness.expected_answers[name].sends) == 1


def test_requests_are_rejected_at_once_without_any_backend() -> None:
    harness = InstanceHarness()
    first_name = harness.send_request()
    harness.feed(full(1))
    assert harness.sent_to(harness.send_request()) == 1
    harness.feed(full())
    last_name = harness.send_request()
    assert [a.request for a in harness.actions_of(RejectRequest)] == [first_name, last_name]  # type: ignore[union-attr]


def test_an_unsafe_request_that_may_have_run_fails_when_all_backends_are_gone() -> None:
    harness = InstanceHarness()
    harness.feed(full(1, 2))
    name = harness.send_request("unsafe")
    harness.feed(full())
    harness.end(name, AttemptOutcome.RESET)
    assert FailRequest(name, DenialReason.OUT_OF_ATTEMPTS) in harness.actions


@pytest.mark.parametrize("left_us", [0, 1, 4_000])
def test_a_request_without_time_left_is_rejected_at_once(left_us: int) -> None:
    harness = InstanceHarness()
    harness.feed(full(1))
    harness.send_request(left_us=left_us)
    assert harness.actions_of(RejectRequest) and not harness.actions_of(StartAttempt)


def test_repeated_lists_change_nothing() -> None:
    placed_on = []
    for repeats in (1, 5):
        harness = InstanceHarness()
        for _ in range(repeats):
            harness.feed(full(1, 2, 3))
        placed_on.append([harness.sent_to(harness.send_request(key=f"k{n}")) for n in range(9)])
    assert placed_on[0] == placed_on[1]


def test_a_restart_under_the_same_id_begins_a_slow_start() -> None:
    harness = InstanceHarness()
    harness.feed(full(1, 2))
    harness.end(harness.send_request(key="a"), AttemptOutcome.CONNECT_FAILED)
    harness.advance(60 * SECOND)
    harness.feed(delta(backend(1, 1, harness.now), backend(2, 1, harness.now)))
    harness.send_request(key="a")
    harness.finish()


def test_missing_keys_hints_classes_and_tenants() -> None:
    harness = InstanceHarness()
    harness.feed(full(1, 2))
    harness.expected_answers["x"] = harness.expected_answers[harness.send_request()].__class__(
        harness.settings.classes[0], harness.now + 400_000
    )
    actions = harness.feed(RequestArrived("x", "unheard", 400_000))
    assert any(isinstance(a, StartAttempt) for a in actions)


@pytest.mark.parametrize("capacity", [0.0, -3.0, 1e18, 1e-18])
def test_extreme_capacity_hints(capacity: float) -> None:
    harness = InstanceHarness()
    harness.feed(full(backend(1, capacity=capacity), 2, 3))
    for n in range(60):
        harness.establish(harness.send_request(key=f"k{n}"))
    harness.finish()


@pytest.mark.parametrize("value", [-1.0, 0.0, 1e300])
def test_extreme_notices_and_load_hints(value: float) -> None:
    harness = InstanceHarness()
    harness.feed(full(1, 2, 3))
    names = [harness.send_request(key=f"k{n}", hint=value) for n in range(6)]
    for name in names:
        if name in harness.attempts:
            harness.establish(name)
            harness.notice(name, NoticeKind.LOAD, value)
            harness.notice(name, NoticeKind.DELAY, value)
    harness.send_request(key="more")
    harness.finish()


def test_a_clock_that_jumps_far_ahead_or_back() -> None:
    harness = InstanceHarness()
    harness.feed(full(1, 2, backend(3, 1, 500)))
    harness.establish(harness.send_request(key="a"))
    harness.now += 10**15
    harness.establish(harness.send_request(key="b"))
    harness.balancer.handle(5, TimerFired(1))
    harness.establish(harness.send_request(key="c"))


def test_resumed_connections_count_as_load_and_get_no_answer() -> None:
    harness = InstanceHarness()
    harness.feed(full(1, 2))
    for n in range(40):
        harness.feed(ConnectionResumed(f"old{n}", "stream", 1 if n < 39 else 77, key=f"k{n}"))
    harness.finish()
    assert not harness.actions_of(RejectRequest) and not harness.actions_of(FailRequest)
    assert {harness.sent_to(harness.send_request(key=f"n{n}")) for n in range(3)} == {2}
    harness.feed(AttemptEnded("old39", 0, 77, AttemptOutcome.RESET, True))
    harness.finish()


# The field, its name in error messages, and an invalid value.
INVALID_SETTINGS = [
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


@pytest.mark.parametrize(("field", "operator_name", "value"), INVALID_SETTINGS)
def test_errors_name_invalid_settings_and_their_value(field: str, operator_name: str, value: object) -> None:
    with pytest.raises(ValueError, match=rf"\b{operator_name}\b") as raised:
        InstanceHarness(settings(**{field: value}))
    assert repr(value) in str(raised.value) or field == "classes"
