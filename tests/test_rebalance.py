"""The rebalancer: pure, so driven by hand; and for whatever happens, by properties."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field

import mmh3
from hypothesis import given
from hypothesis import strategies as st

from sailrun.decisions.events import AttemptOutcome, Backend, BackendState, ListKind
from sailrun.decisions.settings import RequestClass, Settings
from sailrun.rebalance.balance import Orders, Rebalancer
from sailrun.rebalance.connection_table import ConnectionTable, Standing
from sailrun.rebalance.gossip import (
    ENTRIES,
    LONGEST,
    MOVED,
    InvalidGossipError,
    LoadReport,
    LoadReporter,
    NeighbourLoads,
    read,
    write,
)
from sailrun.rebalance.pace import Pace
from sailrun.rebalance.settings import RebalanceSettings

SECOND = 1_000_000
START = 100 * SECOND


def settings(nodes: int = 1, index: int = 0) -> Settings:
    return Settings(
        zone="a",
        classes=(RequestClass("page-load", 500_000, 2_000_000),),
        drain_grace_us=2 * SECOND,
        initial_capacity_share=0.13,
        slow_start_us=24 * SECOND,
        overload_multiple=3.0,
        overload_window_us=3 * SECOND,
        instances=nodes,
        index=index,
        peer_messages=nodes > 1,
    )


def servers(count: int, **states: BackendState) -> list[Backend]:
    return [Backend(n, states.get(f"s{n}", BackendState.READY)) for n in range(1, count + 1)]


@dataclass
class Bench:
    """A rebalancer, and a decision module that would place everybody at `place`, or where least stands."""

    count: int = 4
    nodes: int = 1
    now_us: int = START
    place: int | None = None
    moved: list[str] = field(default_factory=list)
    notes: list[dict[str, object]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.it = Rebalancer(RebalanceSettings(enabled=True), settings(self.nodes), self.now_us)
        self.it.on_list_update(self.now_us, ListKind.FULL, servers(self.count))

    def held(self) -> dict[int, int]:
        held = self.it.connections.held
        return {n: held[n].count if n in held else 0 for n in range(1, self.count + 1)}

    def emptiest(self) -> int:
        return min(self.held().items(), key=lambda item: (item[1], item[0]))[0]

    def stand(self, name: str, server: int, household: str | None = None, returned: bool = False) -> None:
        self.it.on_established(
            self.now_us,
            name,
            server,
            household or name,
            "page-load",
            returned,
            None if not returned else 10_000,
        )

    def crowd(self, server: int, count: int, returned: bool = False) -> None:
        for n in range(count):
            self.stand(f"{server}.{n}", server, returned=returned)

    def look(self, seconds: float) -> list[Orders]:
        """Lets time pass; whoever is moved comes back at once."""
        found: list[Orders] = []
        end_us = self.now_us + int(seconds * SECOND)
        while self.now_us < end_us:
            self.now_us += SECOND // 10
            if self.it.is_due(self.now_us):
                orders = self.it.plan_moves(self.now_us, lambda names: self.place or self.emptiest())
                for name in orders.moves:
                    self.moved.append(name)
                    household = self.it.connections.by_id[name].group
                    self.it.on_ended(self.now_us, name, AttemptOutcome.CANCELLED)
                    self.stand(f"{name}+", self.place or self.emptiest(), household, returned=True)
                self.notes += orders.log_entries
                found.append(orders)
        return found


def test_a_crowded_form_server_is_relieved_and_not_below_the_others() -> None:
    bench = Bench()
    bench.crowd(1, 40)
    bench.look(30)
    assert max(bench.held().values()) <= 12 and min(bench.held().values()) >= 8
    assert len(bench.moved) == len({name.rstrip("+") for name in bench.moved}) <= 31
    assert [note["state"] for note in bench.notes] == ["begun", "balanced"]


def test_a_fleet_in_balance_moves_nobody() -> None:
    bench = Bench()
    for server in range(1, 5):
        bench.crowd(server, 20 + server % 2)
    bench.look(60)
    assert not bench.moved and not bench.notes


def test_nobody_is_moved_onto_a_form_server_that_is_cold_or_draining_or_full() -> None:
    for state, started_us in ((BackendState.READY, START - SECOND), (BackendState.DRAINING, 0)):
        bench = Bench(place=4)
        bench.it.on_list_update(START, ListKind.DELTA, [Backend(4, state, started_us=started_us)])
        bench.crowd(1, 40)
        bench.look(20)
        assert not bench.moved
    bench = Bench(place=2)
    bench.crowd(1, 40)
    bench.crowd(2, 30)
    bench.look(20)
    assert not bench.moved


def test_trouble_closes_the_pace_at_once_and_for_a_while() -> None:
    def drained(bench: Bench) -> None:
        bench.it.on_list_update(bench.now_us, ListKind.DELTA, [Backend(3, BackendState.DRAINING)])

    def storm(bench: Bench) -> None:
        for _ in range(40):
            bench.it.on_request(bench.now_us, returning=True)

    def slow(bench: Bench) -> None:
        for n in range(2):
            bench.it.on_established(bench.now_us, f"slow{n}", 4, f"slow{n}", "page-load", False, 400_000)

    troubles = (
        drained,
        storm,
        slow,
        lambda bench: bench.it.on_rejected(bench.now_us),
        lambda bench: bench.it.on_attempt_rejected(bench.now_us, 4),
    )
    for trouble in troubles:
        bench = Bench()
        bench.crowd(1, 60)
        bench.look(4)
        before = len(bench.moved)
        assert before
        trouble(bench)
        bench.look(2.5)
        assert len(bench.moved) == before, trouble
        assert any(note["state"] == "held" for note in bench.notes)
        bench.look(5)
        assert len(bench.moved) > before, trouble


def test_while_the_roster_is_lost_nobody_is_moved_however_long_that_is() -> None:
    bench = Bench()
    bench.crowd(1, 60)
    bench.look(4)
    before = len(bench.moved)
    bench.it.on_discovery_failed(bench.now_us)
    bench.look(20)
    assert len(bench.moved) == before
    bench.it.on_list_update(bench.now_us, ListKind.DELTA, [])
    bench.look(5)
    assert len(bench.moved) > before


def test_a_neighbour_of_another_version_is_told_of_once() -> None:
    bench = Bench(nodes=2)
    for _ in range(1000):
        bench.it.on_peer_message(bench.now_us, 1, b"\x07" * 40)
    bench.look(1)
    assert bench.notes == [{"state": "datagram-rejected", "neighbour": 1, "why": "another version"}]


def test_what_a_neighbour_has_begun_to_move_follows() -> None:
    """A household's connections came through two nodes: the second hears that the first moves its own."""
    bench = Bench(nodes=2)
    bench.crowd(1, 10)
    for server in (2, 3, 4):
        bench.crowd(server, 10)
    bench.stand("mine", 1, "home")
    bench.look(3)
    assert not bench.moved
    report = LoadReport(
        1, 1, False, 41.0, {1: 11.0, 2: 10.0, 3: 10.0, 4: 10.0}, (mmh3.hash("home", signed=False),)
    )
    bench.it.on_peer_message(bench.now_us, 1, write(report))
    bench.look(3)
    assert bench.moved == ["mine"]


def test_a_household_on_its_way_back_keeps_its_other_connections() -> None:
    """It is reconnecting from a break while the rest of it would be moved."""
    bench = Bench()
    bench.crowd(1, 40)
    bench.stand("a", 1, "home")
    bench.stand("b", 1, "home")
    bench.it.on_ended(bench.now_us, "a", AttemptOutcome.RESET)
    bench.look(2.9)
    assert "b" not in bench.moved


def test_whoever_came_back_is_left_alone_for_a_minute() -> None:
    bench = Bench()
    bench.crowd(1, 40, returned=True)
    bench.look(59)
    assert not bench.moved
    bench.look(10)
    assert bench.moved


def test_whole_households_go_before_scattered_ones_and_the_heavy_first() -> None:
    bench = Bench()
    for n in range(12):
        bench.stand(f"scattered{n}", 1, f"split{n}")
        bench.stand(f"other{n}", 2, f"split{n}")
        bench.stand(f"whole{n}", 1)
    for n in range(12):
        bench.it.on_load_reported(f"scattered{n}", 100.0)
        bench.it.on_load_reported(f"other{n}", 1.0)
        bench.it.on_load_reported(f"whole{n}", 90.0 if n == 7 else 50.0)
    bench.look(6)
    assert bench.moved[0] == "whole7"
    assert all(name.startswith("whole") for name in bench.moved[:6])


def test_after_sigterm_it_moves_nobody() -> None:
    bench = Bench()
    bench.crowd(1, 40)
    bench.it.set_draining()
    bench.look(20)
    assert not bench.moved


def test_four_deaf_nodes_together_do_not_overshoot() -> None:
    """Each sees a quarter of what stands and hears nothing: together they shed what one would."""
    benches = [Bench(nodes=4) for _ in range(4)]
    for n in range(160):
        benches[n % 4].stand(f"c{n}", 1)
    for bench in benches:
        bench.look(40)
    held = [sum(bench.held()[n] for bench in benches) for n in range(1, 5)]
    assert max(held) <= 56 and min(held) >= 30


def test_a_neighbours_word_counts_once_the_newest_and_not_for_ever() -> None:
    neighbour_loads = NeighbourLoads(2 * SECOND, 2)
    assert neighbour_loads.heard(0, 1, LoadReport(5, 2, False, 9.0, {1: 4.0, 2: 5.0}))
    assert not neighbour_loads.heard(0, 1, LoadReport(5, 2, False, 9.0, {1: 4.0, 2: 5.0}))  # twice
    assert not neighbour_loads.heard(0, 1, LoadReport(5, 1, False, 9.0, {1: 1.0}))  # out of order
    assert not neighbour_loads.heard(0, 1, LoadReport(4, 9, False, 9.0, {1: 1.0}))  # from before its restart
    assert neighbour_loads.loads(1, False, {1: None, 2: None}) == ({1: 4.0, 2: 5.0}, 1)
    assert neighbour_loads.loads(1, True, {1: None, 2: None}) == ({1: 0.0, 2: 0.0}, 0)  # counts otherwise
    assert neighbour_loads.heard(2, 1, LoadReport(6, 1, False, 3.0, {2: 3.0}))  # it has started anew
    assert neighbour_loads.loads(3, False, {1: None, 2: None}) == ({1: 0.0, 2: 3.0}, 1)
    assert neighbour_loads.loads(60 * SECOND, False, {1: None, 2: None})[1] == 0


loads = st.dictionaries(st.integers(0, 2**32 - 1), st.floats(0, 1e9, width=32), max_size=ENTRIES)
reports = st.builds(
    LoadReport,
    st.integers(0, 2**64 - 1),
    st.integers(0, 2**32 - 1),
    st.booleans(),
    st.floats(0, 1e9, width=32),
    loads,
    st.lists(st.integers(0, 2**32 - 1), max_size=MOVED).map(tuple),
    st.booleans(),
)


@given(reports)
def test_a_datagram_says_what_was_written_in_at_most_256_bytes(report: LoadReport) -> None:
    content = write(report)
    assert len(content) <= LONGEST
    assert read(content) == report


@given(st.binary(max_size=300))
def test_no_bytes_whatever_break_a_reader(content: bytes) -> None:
    with contextlib.suppress(InvalidGossipError):
        read(content)


@given(st.lists(st.tuples(st.integers(0, 100), st.floats(0.1, 10)), max_size=60), st.integers(0, 1000))
def test_what_a_reporter_tells_adds_up_for_whoever_hears_all(
    changes: list[tuple[int, float]], begin_us: int
) -> None:
    reporter, neighbour_loads, held, now_us = (
        LoadReporter(1, SECOND, 4),
        NeighbourLoads(SECOND, 4),
        dict[int, float](),
        begin_us,
    )
    for number, load in [*changes, *([(0, 1.0)] * 12)]:
        held[number] = load
        now_us += 4 * SECOND
        content = reporter.due(now_us, True, held, alert=True)
        if content is not None:
            neighbour_loads.heard(now_us, 3, read(content))
            reporter.answered()
    heard, voices = neighbour_loads.loads(now_us, True, held)
    assert voices == 1
    assert abs(sum(heard.values()) - sum(held.values())) <= 1e-3 * sum(held.values())


steps = st.lists(
    st.tuples(st.integers(0, 5), st.integers(1, 4), st.floats(0.1, 100)), min_size=1, max_size=120
)


@given(steps)
def test_the_connection_table_adds_up_whatever_comes_and_goes(events: list[tuple[int, int, float]]) -> None:
    connections = ConnectionTable()
    for n, (what, server, load) in enumerate(events):
        names = list(connections.by_id)
        if what <= 2 or not names:
            connections.stands(Standing(f"c{n}", f"h{n % 7}", "page-load", server, 0, False))
        elif what == 3:
            connections.loaded(names[n % len(names)], load)
        else:
            connections.ended(names[n % len(names)])
    told = {n: held.load for n, held in connections.held.items()}
    connections.recount()
    for number, held in connections.held.items():
        assert held.count == sum(len(members) for members in held.groups.values())
        if not connections.told:
            assert abs(held.load - told[number]) < 1e-6 * max(1.0, held.load)
    assert sum(held.count for held in connections.held.values()) == len(connections.by_id)


@given(
    st.lists(
        st.tuples(st.integers(1, 900_000), st.integers(0, 20), st.floats(1, 5)), min_size=1, max_size=80
    ),
    st.integers(0, 80),
)
def test_no_pace_is_ever_over_what_form_servers_can_take(
    looks: list[tuple[int, int, float]], trouble_at: int
) -> None:
    pace, now_us = Pace(0.3, 2.0, 1.5, 3 * SECOND, 0), 0
    spent: list[tuple[int, int]] = []
    shut_until = -1
    for n, (wait_us, targets, imbalance) in enumerate(looks):
        now_us += wait_us
        if n == trouble_at:
            pace.close(now_us)
            shut_until = now_us + 3 * SECOND
        allowed = pace.allowance(now_us, imbalance, targets)
        assert now_us >= shut_until or allowed == 0
        assert allowed <= max(1, 2 * targets)
        pace.spend(allowed)
        spent.append((now_us, allowed))
        within = sum(count for at_us, count in spent if now_us - at_us < 10 * SECOND)
        assert within <= 2.0 * 20 * 10 + 2.0 * 20 + 1


def test_a_household_heavier_than_a_form_servers_room_stays() -> None:
    bench = Bench()
    for n in range(30):
        bench.stand(f"heavy{n}", 1, "home")
    for server in (1, 2, 3, 4):
        bench.crowd(server, 5)
    bench.look(40)
    assert not any(name.startswith("heavy") for name in bench.moved)
    assert "nothing-to-move" in [note["state"] for note in bench.notes]


def test_cores_spare_a_form_server_that_is_used_little() -> None:
    for load, moves in ((10_000.0, False), (60_000.0, True)):
        bench = Bench()
        bench.it = Rebalancer(RebalanceSettings(enabled=True, cores=2.0), settings(), bench.now_us)
        bench.it.on_list_update(bench.now_us, ListKind.FULL, servers(bench.count))
        bench.crowd(1, 40)
        for name in list(bench.it.connections.by_id):
            bench.it.on_load_reported(
                name, load
            )  # 40 of these with their households: half, or three times, of 2 cores
        bench.look(20)
        assert bool(bench.moved) is moves


def test_a_false_alarm_moves_nobody_and_is_told_of_ever_less() -> None:
    """A node's own part looks uneven by chance; the neighbours' word says that the fleet is even."""
    bench = Bench(nodes=2)
    for server, count in ((1, 33), (2, 20), (3, 19), (4, 8)):
        bench.crowd(server, count)
    told = []
    for sequence in range(1, 1200):
        orders = bench.look(0.25)
        told.append(sum(order.datagram is not None for order in orders))
        if told[-1]:
            other = LoadReport(1, sequence, False, 200.0, {1: 17.5, 2: 50.0, 3: 52.5, 4: 80.0})
            bench.it.on_peer_message(bench.now_us, 1, write(other))
    assert not bench.moved
    assert 0 < sum(told) < 60
