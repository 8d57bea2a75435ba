"""The rebalancer and its parts: tests with chosen events, and property-based tests."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field

import mmh3
from hypothesis import given
from hypothesis import strategies as st

from sailrun.decisions.events import AttemptOutcome, Backend, BackendState, ListKind
from sailrun.decisions.settings import RequestClass, Settings
from sailrun.rebalance.connection_table import ConnectionTable, TrackedConnection
from sailrun.rebalance.gossip import (
    MAX_DATAGRAM_BYTES,
    MAX_GROUPS,
    MAX_LOADS,
    InvalidGossipError,
    LoadReport,
    LoadReporter,
    NeighbourLoads,
    decode_report,
    encode_report,
)
from sailrun.rebalance.move_rate import MoveRate
from sailrun.rebalance.rebalancer import Orders, Rebalancer
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
class Harness:
    """A rebalancer, and a decision module that chooses `target` or the server with the fewest connections."""

    count: int = 4
    nodes: int = 1
    now_us: int = START
    target: int | None = None
    moved: list[str] = field(default_factory=list)
    log_entries: list[dict[str, object]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rebalancer = Rebalancer(RebalanceSettings(enabled=True), settings(self.nodes), self.now_us)
        self.rebalancer.on_list_update(self.now_us, ListKind.FULL, servers(self.count))

    def counts(self) -> dict[int, int]:
        by_server = self.rebalancer.connections.by_server
        return {n: by_server[n].count if n in by_server else 0 for n in range(1, self.count + 1)}

    def least_loaded(self) -> int:
        return min(self.counts().items(), key=lambda item: (item[1], item[0]))[0]

    def establish(self, name: str, server: int, group: str | None = None, has_returned: bool = False) -> None:
        self.rebalancer.on_established(
            self.now_us,
            name,
            server,
            group or name,
            "page-load",
            has_returned,
            None if not has_returned else 10_000,
        )

    def establish_many(self, server: int, count: int, has_returned: bool = False) -> None:
        for n in range(count):
            self.establish(f"{server}.{n}", server, has_returned=has_returned)

    def run(self, seconds: float) -> list[Orders]:
        """Advances the time in steps and checks the balance; moved clients reconnect at once."""
        results: list[Orders] = []
        end_us = self.now_us + int(seconds * SECOND)
        while self.now_us < end_us:
            self.now_us += SECOND // 10
            if self.rebalancer.is_due(self.now_us):
                orders = self.rebalancer.plan_moves(
                    self.now_us, lambda names: self.target or self.least_loaded()
                )
                for name in orders.moves:
                    self.moved.append(name)
                    group = self.rebalancer.connections.by_id[name].group
                    self.rebalancer.on_ended(self.now_us, name, AttemptOutcome.CANCELLED)
                    self.establish(f"{name}+", self.target or self.least_loaded(), group, has_returned=True)
                self.log_entries += orders.log_entries
                results.append(orders)
        return results


def test_overloaded_form_server_is_relieved_but_not_below_the_others() -> None:
    harness = Harness()
    harness.establish_many(1, 40)
    harness.run(30)
    assert max(harness.counts().values()) <= 12 and min(harness.counts().values()) >= 8
    assert len(harness.moved) == len({name.rstrip("+") for name in harness.moved}) <= 31
    assert [entry["state"] for entry in harness.log_entries] == ["begun", "balanced"]


def test_balanced_fleet_moves_no_client() -> None:
    harness = Harness()
    for server in range(1, 5):
        harness.establish_many(server, 20 + server % 2)
    harness.run(60)
    assert not harness.moved and not harness.log_entries


def test_no_client_is_moved_to_a_form_server_in_slow_start_or_draining_or_full() -> None:
    for state, started_us in ((BackendState.READY, START - SECOND), (BackendState.DRAINING, 0)):
        harness = Harness(target=4)
        harness.rebalancer.on_list_update(START, ListKind.DELTA, [Backend(4, state, started_us=started_us)])
        harness.establish_many(1, 40)
        harness.run(20)
        assert not harness.moved
    harness = Harness(target=2)
    harness.establish_many(1, 40)
    harness.establish_many(2, 30)
    harness.run(20)
    assert not harness.moved


def test_trouble_suspends_moves_at_once_for_a_limited_time() -> None:
    def drain_server(harness: Harness) -> None:
        harness.rebalancer.on_list_update(harness.now_us, ListKind.DELTA, [Backend(3, BackendState.DRAINING)])

    def return_many(harness: Harness) -> None:
        for _ in range(40):
            harness.rebalancer.on_request(harness.now_us, is_returning=True)

    def set_up_slowly(harness: Harness) -> None:
        for n in range(2):
            harness.rebalancer.on_established(
                harness.now_us, f"slow{n}", 4, f"slow{n}", "page-load", False, 400_000
            )

    trouble_causes = (
        drain_server,
        return_many,
        set_up_slowly,
        lambda harness: harness.rebalancer.on_rejected(harness.now_us),
        lambda harness: harness.rebalancer.on_attempt_rejected(harness.now_us, 4),
    )
    for cause_trouble in trouble_causes:
        harness = Harness()
        harness.establish_many(1, 60)
        harness.run(4)
        before = len(harness.moved)
        assert before
        cause_trouble(harness)
        harness.run(2.5)
        assert len(harness.moved) == before, cause_trouble
        assert any(entry["state"] == "held" for entry in harness.log_entries)
        harness.run(5)
        assert len(harness.moved) > before, cause_trouble


def test_no_client_is_moved_until_discovery_recovers() -> None:
    harness = Harness()
    harness.establish_many(1, 60)
    harness.run(4)
    before = len(harness.moved)
    harness.rebalancer.on_discovery_failed(harness.now_us)
    harness.run(20)
    assert len(harness.moved) == before
    harness.rebalancer.on_list_update(harness.now_us, ListKind.DELTA, [])
    harness.run(5)
    assert len(harness.moved) > before


def test_datagram_of_another_version_is_logged_once() -> None:
    harness = Harness(nodes=2)
    for _ in range(1000):
        harness.rebalancer.on_peer_message(harness.now_us, 1, b"\x07" * 40)
    harness.run(1)
    assert harness.log_entries == [
        {"state": "datagram-rejected", "neighbour": 1, "why": "datagram is too short or of another version"}
    ]


def test_group_that_another_node_moves_is_moved_here_too() -> None:
    """The connections of a group came through two nodes, and the other node moves its own first."""
    harness = Harness(nodes=2)
    harness.establish_many(1, 10)
    for server in (2, 3, 4):
        harness.establish_many(server, 10)
    harness.establish("mine", 1, "home")
    harness.run(3)
    assert not harness.moved
    report = LoadReport(
        1, 1, False, 41.0, {1: 11.0, 2: 10.0, 3: 10.0, 4: 10.0}, (mmh3.hash("home", signed=False),)
    )
    harness.rebalancer.on_peer_message(harness.now_us, 1, encode_report(report))
    harness.run(3)
    assert harness.moved == ["mine"]


def test_group_with_a_reconnecting_connection_is_not_moved() -> None:
    """Another connection of the group is reconnecting after a failure while the rest could be moved."""
    harness = Harness()
    harness.establish_many(1, 40)
    harness.establish("a", 1, "home")
    harness.establish("b", 1, "home")
    harness.rebalancer.on_ended(harness.now_us, "a", AttemptOutcome.RESET)
    harness.run(2.9)
    assert "b" not in harness.moved


def test_returned_client_is_not_moved_for_a_minute() -> None:
    harness = Harness()
    harness.establish_many(1, 40, has_returned=True)
    harness.run(59)
    assert not harness.moved
    harness.run(10)
    assert harness.moved


def test_groups_on_one_form_server_and_heavy_ones_are_moved_first() -> None:
    harness = Harness()
    for n in range(12):
        harness.establish(f"scattered{n}", 1, f"split{n}")
        harness.establish(f"other{n}", 2, f"split{n}")
        harness.establish(f"whole{n}", 1)
    for n in range(12):
        harness.rebalancer.on_load_reported(f"scattered{n}", 100.0)
        harness.rebalancer.on_load_reported(f"other{n}", 1.0)
        harness.rebalancer.on_load_reported(f"whole{n}", 90.0 if n == 7 else 50.0)
    harness.run(6)
    assert harness.moved[0] == "whole7"
    assert all(name.startswith("whole") for name in harness.moved[:6])


def test_draining_node_moves_no_client_for_balance() -> None:
    harness = Harness()
    harness.establish_many(1, 40)
    harness.rebalancer.set_draining()
    harness.run(20)
    assert not harness.moved


def test_four_nodes_without_reports_do_not_overshoot_together() -> None:
    """Each node has a quarter of the load; together they must move as much as one node with all of it."""
    harnesses = [Harness(nodes=4) for _ in range(4)]
    for n in range(160):
        harnesses[n % 4].establish(f"c{n}", 1)
    for harness in harnesses:
        harness.run(40)
    counts = [sum(harness.counts()[n] for harness in harnesses) for n in range(1, 5)]
    assert max(counts) <= 56 and min(counts) >= 30


def test_report_of_another_node_applies_once_in_order_and_expires() -> None:
    neighbour_loads = NeighbourLoads(2 * SECOND, 2)
    assert neighbour_loads.update(0, 1, LoadReport(5, 2, False, 9.0, {1: 4.0, 2: 5.0}))
    assert not neighbour_loads.update(0, 1, LoadReport(5, 2, False, 9.0, {1: 4.0, 2: 5.0}))  # duplicate
    assert not neighbour_loads.update(0, 1, LoadReport(5, 1, False, 9.0, {1: 1.0}))  # out of order
    assert not neighbour_loads.update(0, 1, LoadReport(4, 9, False, 9.0, {1: 1.0}))  # from before its restart
    assert neighbour_loads.loads(1, False, {1: None, 2: None}) == ({1: 4.0, 2: 5.0}, 1)
    assert neighbour_loads.loads(1, True, {1: None, 2: None}) == ({1: 0.0, 2: 0.0}, 0)  # another unit
    assert neighbour_loads.update(2, 1, LoadReport(6, 1, False, 3.0, {2: 3.0}))  # it has restarted
    assert neighbour_loads.loads(3, False, {1: None, 2: None}) == ({1: 0.0, 2: 3.0}, 1)
    assert neighbour_loads.loads(60 * SECOND, False, {1: None, 2: None})[1] == 0


loads = st.dictionaries(st.integers(0, 2**32 - 1), st.floats(0, 1e9, width=32), max_size=MAX_LOADS)
reports = st.builds(
    LoadReport,
    st.integers(0, 2**64 - 1),
    st.integers(0, 2**32 - 1),
    st.booleans(),
    st.floats(0, 1e9, width=32),
    loads,
    st.lists(st.integers(0, 2**32 - 1), max_size=MAX_GROUPS).map(tuple),
    st.booleans(),
)


@given(reports)
def test_report_survives_encoding_in_at_most_256_bytes(report: LoadReport) -> None:
    content = encode_report(report)
    assert len(content) <= MAX_DATAGRAM_BYTES
    assert decode_report(content) == report


@given(st.binary(max_size=300))
def test_decoding_any_bytes_returns_a_report_or_raises_invalid_gossip_error(content: bytes) -> None:
    with contextlib.suppress(InvalidGossipError):
        decode_report(content)


@given(st.lists(st.tuples(st.integers(0, 100), st.floats(0.1, 10)), max_size=60), st.integers(0, 1000))
def test_reports_of_a_node_add_up_to_its_load(changes: list[tuple[int, float]], begin_us: int) -> None:
    reporter, neighbour_loads, own_loads, now_us = (
        LoadReporter(1, SECOND, 4),
        NeighbourLoads(SECOND, 4),
        dict[int, float](),
        begin_us,
    )
    for number, load in [*changes, *([(0, 1.0)] * 12)]:
        own_loads[number] = load
        now_us += 4 * SECOND
        content = reporter.next_datagram(now_us, True, own_loads, alert=True)
        if content is not None:
            neighbour_loads.update(now_us, 3, decode_report(content))
            reporter.on_datagram()
    reported_loads, counted_nodes = neighbour_loads.loads(now_us, True, own_loads)
    assert counted_nodes == 1
    assert abs(sum(reported_loads.values()) - sum(own_loads.values())) <= 1e-3 * sum(own_loads.values())


steps = st.lists(
    st.tuples(st.integers(0, 5), st.integers(1, 4), st.floats(0.1, 100)), min_size=1, max_size=120
)


@given(steps)
def test_connection_table_sums_are_consistent_after_any_events(events: list[tuple[int, int, float]]) -> None:
    connections = ConnectionTable()
    for n, (action, server_number, load) in enumerate(events):
        names = list(connections.by_id)
        if action <= 2 or not names:
            connections.add(TrackedConnection(f"c{n}", f"h{n % 7}", "page-load", server_number, 0, False))
        elif action == 3:
            connections.set_load(names[n % len(names)], load)
        else:
            connections.remove(names[n % len(names)])
    loads_before = {n: server.load for n, server in connections.by_server.items()}
    connections.recount()
    for number, server in connections.by_server.items():
        assert server.count == sum(len(members) for members in server.groups.values())
        if not connections.loads_reported:
            assert abs(server.load - loads_before[number]) < 1e-6 * max(1.0, server.load)
    assert sum(server.count for server in connections.by_server.values()) == len(connections.by_id)


@given(
    st.lists(
        st.tuples(st.integers(1, 900_000), st.integers(0, 20), st.floats(1, 5)), min_size=1, max_size=80
    ),
    st.integers(0, 80),
)
def test_move_rate_never_exceeds_its_bounds(checks: list[tuple[int, int, float]], trouble_at: int) -> None:
    move_rate, now_us = MoveRate(0.3, 2.0, 1.5, 3 * SECOND, 0), 0
    moves: list[tuple[int, int]] = []
    suspended_until_us = -1
    for n, (wait_us, target_count, imbalance) in enumerate(checks):
        now_us += wait_us
        if n == trouble_at:
            move_rate.suspend(now_us)
            suspended_until_us = now_us + 3 * SECOND
        allowed = move_rate.allowance(now_us, imbalance, target_count)
        assert now_us >= suspended_until_us or allowed == 0
        assert allowed <= max(1, 2 * target_count)
        move_rate.spend(allowed)
        moves.append((now_us, allowed))
        moved_in_window = sum(count for at_us, count in moves if now_us - at_us < 10 * SECOND)
        assert moved_in_window <= 2.0 * 20 * 10 + 2.0 * 20 + 1


def test_group_heavier_than_the_free_capacity_is_not_moved() -> None:
    harness = Harness()
    for n in range(30):
        harness.establish(f"heavy{n}", 1, "home")
    for server in (1, 2, 3, 4):
        harness.establish_many(server, 5)
    harness.run(40)
    assert not any(name.startswith("heavy") for name in harness.moved)
    assert "nothing-to-move" in [entry["state"] for entry in harness.log_entries]


def test_form_server_below_the_acceptable_utilization_is_not_relieved() -> None:
    for load, expects_moves in ((10_000.0, False), (60_000.0, True)):
        harness = Harness()
        harness.rebalancer = Rebalancer(
            RebalanceSettings(enabled=True, cores=2.0), settings(), harness.now_us
        )
        harness.rebalancer.on_list_update(harness.now_us, ListKind.FULL, servers(harness.count))
        harness.establish_many(1, 40)
        for name in list(harness.rebalancer.connections.by_id):
            # With the cost of their groups, the 40 connections use half of the 2 cores, or three times the
            # 2 cores.
            harness.rebalancer.on_load_reported(name, load)
        harness.run(20)
        assert bool(harness.moved) is expects_moves


def test_refuted_alert_moves_no_client_and_alerts_become_rarer() -> None:
    """One node's loads are uneven by chance; the report of the other shows that the fleet is balanced."""
    harness = Harness(nodes=2)
    for server, count in ((1, 33), (2, 20), (3, 19), (4, 8)):
        harness.establish_many(server, count)
    datagram_counts = []
    for sequence in range(1, 1200):
        orders = harness.run(0.25)
        datagram_counts.append(sum(order.datagram is not None for order in orders))
        if datagram_counts[-1]:
            report = LoadReport(1, sequence, False, 200.0, {1: 17.5, 2: 50.0, 3: 52.5, 4: 80.0})
            harness.rebalancer.on_peer_message(harness.now_us, 1, encode_report(report))
    assert not harness.moved
    assert 0 < sum(datagram_counts) < 60
