"""Events that are legal but odd: no exception, no broken rule."""

from __future__ import annotations

import pytest

from sailrun import interface as i
from tests.support import SECOND, Relay, backend, delta, full, settings


def test_word_of_requests_already_over_or_never_seen() -> None:
    relay = Relay()
    relay.feed(full(1, 2))
    name = relay.ask()
    relay.opened(name)
    relay.end(name, i.Outcome.OK)
    for event in (
        i.AttemptEnded(name, 0, 1, i.Outcome.OK, True),
        i.AttemptEnded("never", 0, 77, i.Outcome.RESET, False),
        i.ClientLeft(name),
        i.ClientLeft("never"),
        i.ConnectionOpened(name, 0, 1),
        i.AttemptNotice(name, 0, 1, i.NoticeKind.LOAD, 5.0),
        i.AttemptNotice("never", 0, 77, i.NoticeKind.DELAY, 5.0),
        i.ProbeEnded(77, i.Outcome.OK),
        i.TimerFired(12345),
        i.TimerFired(1),
        i.TimerFired(2),
        i.PeerMessage(3, b"\xff\x00 garbled"),
    ):
        assert not [a for a in relay.feed(event) if isinstance(a, (i.Send, i.Refuse, i.Fail))]


def test_a_client_that_leaves_with_an_attempt_out_is_never_answered() -> None:
    relay = Relay()
    relay.feed(full(1, 2))
    name = relay.ask()
    relay.leave(name)
    relay.end(name, i.Outcome.CONNECT_FAILED)
    relay.finish()
    assert len(relay.promises[name].sends) == 1


def test_no_backend_at_all_is_refused_at_once() -> None:
    relay = Relay()
    early = relay.ask()
    relay.feed(full(1))
    assert relay.sent_to(relay.ask()) == 1
    relay.feed(full())
    late = relay.ask()
    assert [a.request for a in relay.took(i.Refuse)] == [early, late]  # type: ignore[union-attr]


def test_every_backend_gone_with_an_unsafe_attempt_that_may_have_run_fails() -> None:
    relay = Relay()
    relay.feed(full(1, 2))
    name = relay.ask("unsafe")
    relay.feed(full())
    relay.end(name, i.Outcome.RESET)
    assert i.Fail(name, i.Withheld.OUT_OF_ATTEMPTS) in relay.log


@pytest.mark.parametrize("left_us", [0, 1, 4_000])
def test_no_time_left_is_refused_at_once(left_us: int) -> None:
    relay = Relay()
    relay.feed(full(1))
    relay.ask(left_us=left_us)
    assert relay.took(i.Refuse) and not relay.took(i.Send)


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
    relay.end(relay.ask(key="a"), i.Outcome.CONNECT_FAILED)
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
    actions = relay.feed(i.RequestArrived("x", "unheard", 400_000))
    assert any(isinstance(a, i.Send) for a in actions)


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
            relay.notice(name, i.NoticeKind.LOAD, value)
            relay.notice(name, i.NoticeKind.DELAY, value)
    relay.ask(key="more")
    relay.finish()


def test_a_clock_that_jumps_far_ahead_or_back() -> None:
    relay = Relay()
    relay.feed(full(1, 2, backend(3, 1, 500)))
    relay.opened(relay.ask(key="a"))
    relay.now += 10**15
    relay.opened(relay.ask(key="b"))
    relay.balancer.handle(5, i.TimerFired(1))
    relay.opened(relay.ask(key="c"))


def test_connections_that_already_run_count_and_owe_nothing() -> None:
    relay = Relay()
    relay.feed(full(1, 2))
    for n in range(40):
        relay.feed(i.ConnectionResumed(f"old{n}", "stream", 1 if n < 39 else 77, key=f"k{n}"))
    relay.finish()
    assert not relay.took(i.Refuse) and not relay.took(i.Fail)
    assert {relay.sent_to(relay.ask(key=f"n{n}")) for n in range(3)} == {2}
    relay.feed(i.AttemptEnded("old39", 0, 77, i.Outcome.RESET, True))
    relay.finish()


BAD = [
    ("fall_us", 0),
    ("cold_from", 0.0),
    ("cold_from", 1.5),
    ("cold_us", -1),
    ("fall_multiple", 0.5),
    ("max_attempts", "3"),
    ("drain_grace_us", 1.5),
    ("instances", 0),
    ("index", 4),
    ("over_share_worth", 2.0),
    ("classes", ()),
    ("classes", (i.RequestClass("a", 1, 1), i.RequestClass("a", 1, 1))),
    ("discovery", "push"),
    ("zone", None),
    ("retry_after", 1),
    ("fall_multiple", float("nan")),
]


@pytest.mark.parametrize(("name", "value"), BAD)
def test_bad_settings_are_named_with_their_value(name: str, value: object) -> None:
    with pytest.raises(ValueError, match=name) as raised:
        Relay(settings(**{name: value}))
    assert repr(value) in str(raised.value) or name == "classes"
