"""One test for each failure found, by what went wrong."""

from __future__ import annotations

from sailrun.decisions.actions import (
    DenialReason,
    FailRequest,
    LogMessage,
    MoveConnection,
    RejectRequest,
    SetTimer,
    StartAttempt,
    Subscribe,
)
from sailrun.decisions.endpoints import ClientRequest, Endpoint
from sailrun.decisions.events import AttemptOutcome, BackendListUpdate, ConnectionOpened, ListKind, NoticeKind
from sailrun.decisions.outlier_detection import MAX_CONSECUTIVE_ERRORS
from sailrun.decisions.placement import MASK, key_hash, server_hash
from sailrun.decisions.selection import MAX_CANDIDATES
from sailrun.decisions.settings import DedupScope, DiscoveryMode, Effect, RequestClass
from tests.support import SECOND, Relay, backend, delta, full, settings

FLEET = tuple(range(1, 21))


def relay_with(connections: int, **changes: object) -> Relay:
    relay = Relay(settings(**changes))
    relay.feed(full(*FLEET))
    for n in range(connections):
        relay.opened(relay.ask(key=f"base{n}"))
    return relay


def busiest(relay: Relay) -> int:
    places = [a.backend for a in relay.attempts.values()]
    return max(set(places), key=places.count)


def test_a_request_held_with_little_time_left_is_answered_in_time() -> None:
    relay = Relay()
    name = relay.ask(left_us=30_000)  # the next look at held requests would come after its answer is due
    relay.finish()
    assert relay.promises[name].over


def test_a_further_attempt_goes_to_another_backend() -> None:
    relay = Relay()
    relay.feed(full(1, 2, 3))
    name = relay.ask()
    for _ in range(2):
        relay.end(name, AttemptOutcome.ERROR)
        relay.advance(700_000 if len(relay.promises[name].sends) == 2 else 350_000)
    sends = [b for b, _ in relay.promises[name].sends]
    assert len(sends) >= 2 and len(set(sends)) == len(sends)
    lone = Relay()
    lone.feed(full(1))
    name = lone.ask()
    lone.end(name, AttemptOutcome.ERROR)
    lone.finish()
    assert len(lone.promises[name].sends) == 1


def test_a_keyed_request_fails_once_its_repeats_are_no_longer_dropped() -> None:
    keyed = RequestClass("keyed", 300_000, 1_200_000, 1.0, Effect.DEDUPLICATED, DedupScope.ALL, 100_000)
    for waited, sends in ((50_000, 2), (150_000, 1)):
        relay = Relay(settings(classes=(keyed,)))
        relay.feed(full(1, 2, 3))
        name = relay.ask("keyed")
        relay.advance(waited)
        relay.end(name, AttemptOutcome.RESET)
        assert len(relay.promises[name].sends) == sends
        assert (FailRequest(name, DenialReason.OUT_OF_ATTEMPTS) in relay.log) == (sends == 1)


def test_a_heavy_group_does_not_land_whole() -> None:
    relay = relay_with(200)
    for n in range(200):
        relay.opened(relay.ask(key=f"client{n}", group="stadium"))
    places = [a.backend for a in relay.attempts.values()]
    assert places.count(busiest(relay)) < 60  # 200 and its fair 10 without the bound; 20 is the mean


def test_the_spill_of_a_heavy_group_follows_the_order_of_scores() -> None:
    relay = relay_with(200)
    order = sorted(FLEET, key=lambda b: -((server_hash(b) * key_hash("g")) & MASK))
    for n in range(40):
        relay.opened(relay.ask(key=f"client{n}", group="g"))
    used = {a.backend for n, a in relay.attempts.items() if relay.promises[n].cls and int(n[1:]) > 200}
    assert used <= set(order[: len(used) + 3])


def test_a_backend_that_drops_its_connections_one_by_one_is_left_alone() -> None:
    relay = relay_with(100)
    name = relay.ask(key="hot")
    place = relay.sent_to(name)
    for _ in range(2):  # one alone is chance
        assert relay.sent_to(name) == place
        relay.opened(name)
        relay.end(name, AttemptOutcome.RESET)
        name = relay.ask(key="hot")
    assert relay.sent_to(name) != place


def test_a_crashed_backend_is_ejected_before_the_list_tells() -> None:
    relay = relay_with(100)
    gone = busiest(relay)
    for name in [n for n, a in relay.attempts.items() if a.backend == gone]:
        relay.end(name, AttemptOutcome.RESET)
    again = [relay.ask(key=f"base{n}") for n in range(100)]
    assert gone not in {relay.sent_to(n) for n in again}


def test_a_relay_cut_off_from_everything_still_tries() -> None:
    relay = Relay()
    relay.feed(full(1))
    relay.end(relay.ask(key="a"), AttemptOutcome.CONNECT_FAILED)
    name = relay.ask(key="b")
    assert relay.promises[name].sends, "the only backend is tried though it was just ejected"


def test_ejection_backs_off_and_readmits_by_a_single_trial() -> None:
    relay = relay_with(0)
    name = relay.ask(key="x")
    place = relay.sent_to(name)
    relay.end(name, AttemptOutcome.CONNECT_FAILED)
    relay.advance(1_300_000)
    trial = [relay.ask(key="x") for _ in range(5)]
    assert [relay.sent_to(n) for n in trial].count(place) == 1


def test_errors_of_a_shared_store_slow_set_ups_down_and_eject_nobody() -> None:
    relay = relay_with(100)
    sends = len(relay.took(StartAttempt))
    for n in range(300):
        name = relay.ask(key=f"s{n}")
        if name in relay.attempts:
            relay.end(name, AttemptOutcome.ERROR)
        relay.advance(5_000)
    assert len(relay.took(StartAttempt)) - sends < 150  # one for each request and more without the pace
    assert not any("ejected" in a.text for a in relay.took(LogMessage) if isinstance(a, LogMessage))


def test_the_pace_recovers_with_time_without_any_success() -> None:
    relay = relay_with(100)
    for n in range(100):
        name = relay.ask(key=f"s{n}")
        if name in relay.attempts:
            relay.end(name, AttemptOutcome.ERROR)
        relay.advance(5_000)
    relay.advance(15 * SECOND)
    names = [relay.ask(key=f"late{n}") for n in range(20)]
    assert sum(1 for n in names if n in relay.attempts) >= 10


def test_time_outs_everywhere_are_no_outliers() -> None:
    relay = relay_with(40)
    for n in range(60):
        relay.ask(key=f"t{n}")
    relay.advance(4 * SECOND)
    ejected = [a for a in relay.took(LogMessage) if isinstance(a, LogMessage) and "ejected" in a.text]
    assert len(ejected) < 5


def test_the_heaviest_connections_move_off_a_slow_backend_first() -> None:
    relay = relay_with(400)
    slow = busiest(relay)
    for n, name in enumerate(relay.attempts):
        relay.notice(name, NoticeKind.LOAD, 1000.0 + 7 * n)
    names = [n for n, a in relay.attempts.items() if a.backend == slow]
    relay.notice(names[0], NoticeKind.DELAY, 500.0)
    moved = [a.request for a in relay.took(MoveConnection) if isinstance(a, MoveConnection)]
    assert 1 <= len(moved) <= len(names) // 3
    assert moved == names[::-1][: len(moved)]
    assert all(relay.sent_to(relay.ask(key=f"n{n}")) != slow for n in range(100))


def test_no_move_while_messages_keep_their_objective() -> None:
    relay = relay_with(400)
    slow = busiest(relay)
    name = next(n for n, a in relay.attempts.items() if a.backend == slow)
    relay.notice(name, NoticeKind.DELAY, 40.0)
    assert not relay.took(MoveConnection)


def test_a_crowded_backend_is_not_flooded_once_it_is_no_longer_crowded() -> None:
    relay = relay_with(400)
    slow = busiest(relay)
    names = [n for n, a in relay.attempts.items() if a.backend == slow]
    relay.notice(names[0], NoticeKind.DELAY, 40.0)
    relay.notice(names[0], NoticeKind.DELAY, 5.0)
    landed = [relay.sent_to(relay.ask(key=f"n{n}")) for n in range(100)]
    assert landed.count(slow) == 0


def test_told_loads_count_instead_of_connections() -> None:
    relay = relay_with(200)
    for n, (name, attempt) in enumerate(list(relay.attempts.items())):
        heavy = attempt.backend == FLEET[0]
        relay.notice(name, NoticeKind.LOAD, 50_000.0 if heavy else 10_000.0 + n)
    landed = [relay.sent_to(relay.ask(key=f"n{n}")) for n in range(200)]
    assert landed.count(FLEET[0]) == 0


def test_rounding_cannot_make_a_load_negative() -> None:
    relay = Relay()
    relay.feed(full(*FLEET))
    for n in range(50):
        relay.opened(relay.ask(key=f"k{n}", hint=0.1 * (n + 1) / 3))
    for name in list(relay.attempts):
        relay.notice(name, NoticeKind.LOAD, 1e-7)
        relay.end(name, AttemptOutcome.RESET)
    assert relay.sent_to(relay.ask(key="last"))


def test_gated_fleets_cost_a_bounded_look() -> None:
    relay = Relay()
    relay.feed(full(*range(1, 501)))
    looks = 0

    def counted(endpoint: Endpoint) -> bool:
        nonlocal looks
        looks += 1
        return False

    relay.balancer._outliers.is_available = counted  # type: ignore[method-assign]
    relay.ask(key="x")
    assert 1 < looks <= MAX_CANDIDATES


def test_a_grown_fleet_takes_traffic_while_it_warms() -> None:
    relay = relay_with(400)
    new = tuple(range(101, 121))
    relay.now = 100 * SECOND
    relay.feed(delta(*(backend(n, 1, relay.now - 200_000) for n in new)))
    for n in range(600):
        relay.advance(10_000)
        name = relay.ask(key=f"n{n}")
        if name in relay.attempts:
            relay.opened(name)
    on_new = sum(1 for a in relay.attempts.values() if a.backend in new)
    assert on_new > 60


def test_a_restart_seen_only_by_its_resets_counts_as_cold() -> None:
    relay = relay_with(400)
    gone = busiest(relay)
    for name in [n for n, a in relay.attempts.items() if a.backend == gone]:
        relay.end(name, AttemptOutcome.RESET)
    relay.advance(3 * SECOND)
    for n in range(400):
        relay.advance(2_000)
        name = relay.ask(key=f"n{n}")
        if name in relay.attempts:
            relay.opened(name)
    back = sum(1 for a in relay.attempts.values() if a.backend == gone)
    assert 1 <= back <= 8


def test_a_failed_subscription_is_asked_for_again_with_growing_jitter() -> None:
    relay = Relay(settings(discovery=DiscoveryMode.ASK, poll_interval_us=10 * SECOND))
    relay.feed(BackendListUpdate(ListKind.CACHED, 1, (backend(1),)))
    waits = []
    for _ in range(8):
        waits += [a.delay_us for a in relay.took(SetTimer) if isinstance(a, SetTimer)]
        relay.log.clear()
        relay.advance(8 * SECOND)
        assert len(relay.took(Subscribe)) == 1
        relay.log.clear()
        relay.feed(BackendListUpdate(ListKind.FAILED))
    assert max(waits) <= 8 * SECOND and max(waits) > 10 * min(waits)


def test_log_lines_are_rare() -> None:
    relay = relay_with(100)
    for n in range(50):
        name = relay.ask(key=f"c{n}")
        if name in relay.attempts:
            relay.end(name, AttemptOutcome.CONNECT_FAILED)
    assert len(relay.took(LogMessage)) == 1


def test_a_full_fleet_does_not_flood_the_backend_that_recovers() -> None:
    relay = relay_with(400)
    first: dict[int, str] = {}
    for name, attempt in relay.attempts.items():
        first.setdefault(attempt.backend, name)
    for name in first.values():
        relay.notice(name, NoticeKind.DELAY, 45.0)
    lucky = busiest(relay)
    relay.notice(first[lucky], NoticeKind.DELAY, 5.0)
    names = [relay.ask(key=f"n{n}") for n in range(200)]
    assert sum(1 for n in names if n in relay.attempts and relay.sent_to(n) == lucky) == 0


def crowded_everywhere(relay: Relay) -> None:
    first: dict[int, str] = {}
    for name, attempt in relay.attempts.items():
        first.setdefault(attempt.backend, name)
    for name in first.values():
        relay.notice(name, NoticeKind.DELAY, 60.0)


def test_held_requests_of_a_full_fleet_cost_few_looks() -> None:
    relay = relay_with(400)
    crowded_everywhere(relay)
    # The notes lapse before these households give up, so there is something to wait for.
    for n in range(300):
        relay.ask(key=f"k{n}", left_us=5 * SECOND)
    looks = 0
    place = relay.balancer._lifecycle.place

    def counted(request: ClientRequest) -> None:
        nonlocal looks
        looks += 1
        place(request)

    relay.balancer._lifecycle.place = counted  # type: ignore[method-assign]
    relay.advance(SECOND)
    assert 0 < looks <= 4 * 21
    relay.advance(3_900_000)
    relay.finish()


def test_what_no_backend_can_take_in_time_is_answered_at_once() -> None:
    """Held until near its deadline, a household could not turn to another node while it waits."""
    relay = relay_with(400)
    crowded_everywhere(relay)
    hopeless = relay.ask(key="k", left_us=SECOND)  # the notes outlast it
    assert [a.request for a in relay.took(RejectRequest)][-1:] == [hopeless]  # type: ignore[union-attr]
    held = relay.ask(key="k", left_us=5 * SECOND)
    assert held not in relay.attempts and not relay.promises[held].over
    relay.advance(SECOND)
    crowded_everywhere(relay)  # the fleet is as full as before, beyond this one's time too
    relay.advance(SECOND)
    crowded_everywhere(relay)
    relay.advance(SECOND)
    crowded_everywhere(relay)
    relay.advance(100_000)
    assert relay.promises[held].over


def test_sends_before_the_trouble_are_no_debt_of_the_pace() -> None:
    relay = relay_with(400)
    for n in range(30):
        name = relay.ask(key=f"s{n}")
        if name in relay.attempts:
            relay.end(name, AttemptOutcome.ERROR)
    relay.advance(4 * SECOND)
    assert relay.ask(key="late") in relay.attempts, "a pace of one send a second and more gives one in four"


def test_a_group_heavier_than_a_backend_spreads_before_any_is_crowded() -> None:
    tier = [Relay(settings(instances=20, index=n), seed=n + 1) for n in range(20)]
    fleet = tuple(range(1, 61))
    for relay in tier:
        relay.feed(full(*fleet))
    for n in range(400):  # ten groups of forty over sixty backends, each relay sees two of a group
        relay = tier[n % 20]
        relay.opened(relay.ask(key=f"client{n}", group=f"group{n // 20 % 10}"))
    places = [a.backend for relay in tier for a in relay.attempts.values()]
    assert len(set(places)) >= 20, "without the spread ten groups fill eleven backends"


def test_a_returning_client_of_a_spread_group_finds_its_place() -> None:
    relay = relay_with(100)
    for n in range(60):
        relay.opened(relay.ask(key=f"client{n}", group="g"))
    landed = [relay.sent_to(relay.ask(key="again", group="g")) for _ in range(3)]
    assert len(set(landed)) == 1


def test_one_reset_or_failed_connect_alone_shuts_no_backend() -> None:
    # On a day with chance resets, each shut a form server for 2.5 s and capped it far under its load.
    relay = relay_with(100)
    place = busiest(relay)
    here = [n for n, a in relay.attempts.items() if a.backend == place]
    relay.end(here[0], AttemptOutcome.RESET)
    key = next(f"k{n}" for n in range(10_000) if top(f"k{n}") == place)
    name = relay.ask(key=key)
    assert relay.sent_to(name) == place
    relay.end(name, AttemptOutcome.CONNECT_FAILED)
    assert relay.sent_to(name) != place
    assert relay.sent_to(relay.ask(key=key)) == place


def test_connections_that_break_within_moments_broke_together() -> None:
    # Sockets tell of a dead process one connection after another, not in one batch.
    relay = relay_with(100)
    place = busiest(relay)
    for name in [n for n, a in relay.attempts.items() if a.backend == place]:
        relay.end(name, AttemptOutcome.RESET)
        relay.advance(5_000)
    key = next(f"k{n}" for n in range(10_000) if top(f"k{n}") == place)
    assert relay.sent_to(relay.ask(key=key)) != place
    assert any("broke all" in line.text for line in relay.took(LogMessage) if isinstance(line, LogMessage))


def test_set_ups_that_take_long_mark_a_crowd_and_relieve_it() -> None:
    # No delay note ever comes on sockets, but set-ups queue behind the same work as messages.
    relay = relay_with(100)
    place = busiest(relay)
    keys = (f"k{n}" for n in range(10_000) if top(f"k{n}") == place)
    name = relay.ask(key=next(keys))
    assert relay.sent_to(name) == place
    attempt = relay.attempts[name]
    attempt.stands = True
    actions = relay.feed(ConnectionOpened(name, attempt.number, place, 300_000))
    moved = [a.request for a in actions if isinstance(a, MoveConnection)]
    assert moved and all(relay.attempts[m].backend == place for m in moved)
    assert relay.sent_to(relay.ask(key=next(keys))) != place


def test_errors_slow_nobody_down_while_set_ups_are_quick() -> None:
    # On a recorded day form servers answered some set-ups with errors; the pace fell to 3 a second, and
    # after a restart 80 households were held before form servers with room.
    relay = relay_with(100)
    relay.advance(300_000)
    for n in range(8):
        name = relay.ask(key=f"e{n}")
        relay.end(name, AttemptOutcome.ERROR)
        if name in relay.attempts:
            relay.opened(name)
    names = [relay.ask(key=f"n{n}") for n in range(50)]
    assert all(relay.promises[n].sends for n in names)


def test_a_form_server_that_answers_with_errors_is_left_out_and_slows_nobody_down() -> None:
    # On a recorded day one answered ERR within 10 ms and got all the keys it scored highest for, again.
    relay = relay_with(100)
    relay.advance(300_000)
    place = busiest(relay)
    keys = (f"k{n}" for n in range(100_000) if top(f"k{n}") == place)
    for _ in range(MAX_CONSECUTIVE_ERRORS):
        name = relay.ask(key=next(keys))
        assert relay.sent_to(name) == place
        relay.end(name, AttemptOutcome.ERROR)
    assert relay.sent_to(relay.ask(key=next(keys))) != place


def test_what_stands_on_a_draining_backend_is_moved_bit_by_bit_within_the_grace() -> None:
    # All at once crowded the others, before the one that took its place was listed.
    relay = relay_with(400)
    leaving = busiest(relay)
    here = [n for n, a in relay.attempts.items() if a.backend == leaving]
    began = relay.now
    relay.feed(delta(backend(leaving, 2)))
    moved: list[str] = []
    while relay.now < began + relay.settings.drain_grace_us:
        new = [a.request for a in relay.took(MoveConnection)[len(moved) :] if isinstance(a, MoveConnection)]
        assert len(new) <= len(here) // 3
        moved += new
        relay.advance(50_000)
    assert sorted(moved) == sorted(here)


def top(key: str) -> int:
    return max(FLEET, key=lambda b: (server_hash(b) * key_hash(key)) & MASK)
