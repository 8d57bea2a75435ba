"""Load gossip: the rounds in which the nodes of a fleet report and sum their load, in virtual time."""

from __future__ import annotations

import heapq
from itertools import count, pairwise
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sailrun.decisions.events import FleetLoad, LocalLoad
from sailrun.load_gossip.aggregation_rounds import (
    MAX_REQUESTS,
    MIN_ROUND_US,
    QUIET_ROUND_INTERVAL,
    ROUND_US_PER_NODE,
    AggregationRounds,
    OutgoingDatagram,
)
from sailrun.load_gossip.datagram import (
    NAME_COUNT,
    InvalidDatagramError,
    LoadDatagram,
    datagram_capacity,
    decode_datagram,
    encode_datagram,
    short_name,
)
from sailrun.load_gossip.load_estimate import SECOND_US, LoadEstimate

START_US = 1_796_145_160 * SECOND_US


def local_load(
    loads: dict[int, float], alert: bool = True, overloaded: frozenset[int] = frozenset()
) -> LocalLoad:
    return LocalLoad(loads, sum(load > 0 for load in loads.values()), True, overloaded, alert)


class SimulatedFleet:
    """Simulates nodes that exchange datagrams, some of which are lost."""

    def __init__(
        self,
        local_loads: list[LocalLoad],
        seed: int,
        loss_rate: float = 0.0,
        down: frozenset[int] = frozenset(),
    ):
        self.local_loads, self.random, self.loss_rate, self.down = local_loads, Random(seed), loss_rate, down
        node_count = len(local_loads)
        self.nodes = [AggregationRounds(k, node_count, seed * 1_000 + k, START_US) for k in range(node_count)]
        self.estimates: dict[int, FleetLoad] = {}
        self.sent = self.bytes = 0
        self.order, self.events = count(), list[tuple[int, int, int, int, bytes]]()
        self.alive = [k for k in range(node_count) if k not in down]
        self.scheduled_us: dict[int, int] = {}
        for k in self.alive:
            self._schedule(k, self.nodes[k].due_us())

    def play(self, until_us: int) -> None:
        """Advances the clock to `until_us` after the start."""
        while self.events[0][0] < START_US + until_us:
            now, _, k, sender, content = heapq.heappop(self.events)
            if not content:
                self.scheduled_us.pop(k, None)
            node, own = self.nodes[k], self.local_loads[k]
            out, fleet_load = list[OutgoingDatagram](), None
            if content:
                out, fleet_load = node.receive(now, sender, content, own)
            elif now >= node.due_us():
                out, fleet_load = node.tick(now, own)
            for to, datagram in out:
                for other in self.alive if to is None else [to]:
                    if other != k:
                        self._send(now, k, other, datagram)
            self._schedule(k, max(now + 1, node.due_us()))
            if fleet_load is not None:
                self.estimates[k] = fleet_load

    def _schedule(self, k: int, when_us: int) -> None:
        """Schedules the node's next tick unless one is scheduled by then; a received datagram may make it
        earlier.
        """
        if not START_US <= self.scheduled_us.get(k, 0) <= when_us:
            self.scheduled_us[k] = when_us
            heapq.heappush(self.events, (when_us, next(self.order), k, -1, b""))

    def _send(self, now: int, sender: int, to: int, content: bytes) -> None:
        self.sent += 1
        self.bytes += len(content)
        if self.random.random() >= self.loss_rate and to not in self.down:
            arrival_us = now + self.random.randrange(1_400, 33_000)
            heapq.heappush(self.events, (arrival_us, next(self.order), to, sender, content))


def make_random_loads(nodes: int, seed: int) -> list[LocalLoad]:
    random = Random(seed)
    return [
        local_load({s: random.choice([0.0, 0.0, 5_000.0, 40_000.0]) for s in range(60)}) for _ in range(nodes)
    ]


@pytest.mark.parametrize("nodes", [4, 40, 100])
@pytest.mark.parametrize("seed", range(3))
def test_after_a_round_every_node_has_the_load_of_all_with_two_datagrams_per_node(
    nodes: int, seed: int
) -> None:
    fleet = SimulatedFleet(make_random_loads(nodes, seed), seed)
    fleet.play(3 * max(MIN_ROUND_US, ROUND_US_PER_NODE * nodes) + SECOND_US)
    for k, others in fleet.estimates.items():
        other_loads = [local for n, local in enumerate(fleet.local_loads) if n != k]
        assert others.instances == nodes
        assert others.connections == sum(local.connections for local in other_loads)
        for s, load in others.loads.items():
            total = sum(local.loads[s] for local in other_loads)
            assert abs(load - total) <= 0.12 * total + 0.06 * fleet.local_loads[k].loads[s]
    assert len(fleet.estimates) == nodes
    assert fleet.sent <= (4 * 2 + MAX_REQUESTS) * nodes  # linear in the number of nodes


@pytest.mark.parametrize("seed", range(5))
def test_with_most_nodes_down_and_datagrams_lost_the_rest_still_receive_summaries(seed: int) -> None:
    down = frozenset(Random(seed).sample(range(40), 28))
    fleet = SimulatedFleet(make_random_loads(40, seed), seed, loss_rate=0.1, down=down)
    fleet.play(40 * SECOND_US)
    assert len(fleet.estimates) == 12
    assert all(2 <= others.instances <= 12 for others in fleet.estimates.values())


def test_without_an_alert_rounds_are_rare_and_an_alert_spreads() -> None:
    quiet = [local_load({1: 5_000.0}, alert=False) for _ in range(8)]
    fleet = SimulatedFleet(quiet, 1)
    fleet.play(16 * SECOND_US)
    sent_without_alert = fleet.sent
    fleet = SimulatedFleet([local_load({1: 5_000.0}, alert=k == 3) for k in range(8)], 1)
    fleet.play(16 * SECOND_US)
    assert sent_without_alert <= 8 * MAX_REQUESTS + 2 * 8 * (
        1 + 16 * SECOND_US // (QUIET_ROUND_INTERVAL * MIN_ROUND_US)
    )
    assert fleet.sent > 2 * sent_without_alert


def test_four_hundred_nodes_send_no_more_than_two_hundred_do() -> None:
    few, many = (SimulatedFleet(make_random_loads(nodes, 1), 1) for nodes in (200, 400))
    for fleet in (few, many):
        fleet.play(12 * SECOND_US)
        assert len(fleet.estimates) == len(fleet.nodes)
    assert many.sent <= few.sent + 400 * MAX_REQUESTS


def test_an_overload_requires_more_than_one_report() -> None:
    for reporter_count, expected in ((1, frozenset[int]()), (3, frozenset({7}))):
        overloaded = frozenset({7})
        local_loads = [
            local_load({7: 5_000.0}, True, overloaded if k < reporter_count else frozenset())
            for k in range(8)
        ]
        fleet = SimulatedFleet(local_loads, 2)
        fleet.play(3 * MIN_ROUND_US)
        assert all(others.overloaded == expected for others in fleet.estimates.values())


def test_truncated_old_and_unauthorized_datagrams_are_rejected_and_counted() -> None:
    node, own = AggregationRounds(0, 4, 1, START_US), local_load({1: 5_000.0})
    round_number = START_US // MIN_ROUND_US
    collector = node.collector_of(round_number)
    all_nodes = frozenset(range(4))
    total = LoadDatagram(round_number, {short_name(1): 1e6}, 9, True, contributors=all_nodes)
    other_node = next(k for k in range(4) if k != collector)
    old_round = next(
        n for n in range(round_number - 40, round_number - 2) if node.collector_of(n) == collector
    )
    bad = [
        (collector, encode_datagram(total, 4)[:-1]),
        (collector, b"\xf2"),
        (other_node, encode_datagram(total, 4)),
        (collector, encode_datagram(LoadDatagram(old_round, {}, 0, True, contributors=all_nodes), 4)),
    ]
    for rejected_count, (sender, content) in enumerate(bad, 1):
        assert node.receive(START_US, sender, content, own) == ([], None)
        assert node.rejected_count == rejected_count


@given(
    st.dictionaries(st.integers(0, NAME_COUNT - 1), st.floats(0, 4e6), max_size=90),
    st.integers(0, 70_000),
    st.booleans(),
    st.sets(st.integers(0, 39)),
)
def test_a_datagram_decodes_to_the_encoded_values_within_five_percent(
    loads: dict[int, float], connections: int, loads_reported: bool, contributors: set[int]
) -> None:
    content = encode_datagram(
        LoadDatagram(9, loads, connections, loads_reported, True, frozenset(loads), frozenset(contributors)),
        40,
    )
    assert len(content) <= 256
    decoded = decode_datagram(content, 40)
    assert (decoded.round_number, decoded.loads_reported, decoded.has_alert, decoded.contributors) == (
        9,
        loads_reported,
        True,
        frozenset(contributors),
    )
    assert decoded.loads.keys() == loads.keys() == decoded.overloaded
    for name, load in loads.items():
        assert abs(decoded.loads[name] - load) <= max(0.05 * load, 50.0) or load > 2.6e6 or not loads_reported


@given(st.binary(max_size=300))
def test_arbitrary_bytes_do_not_crash_the_decoder(content: bytes) -> None:
    for datagram_bytes in (content, b"\xf2" + content):
        try:
            datagram = decode_datagram(datagram_bytes, 40)
        except InvalidDatagramError:
            continue
        assert len(datagram.loads) <= datagram_capacity(1) and datagram.contributors != frozenset({40})


# ---------------------------------------------------------------- load estimate


def summary(
    round_number: int, loads: dict[int, float], contributors: range | set[int], is_complete: bool = True
) -> LoadDatagram:
    loads_by_name = {short_name(s): load for s, load in loads.items()}
    return LoadDatagram(
        round_number,
        loads_by_name,
        10 * len(contributors),
        True,
        contributors=frozenset(contributors),
        is_complete=is_complete,
    )


def time_in_round(round_number: int) -> int:
    """Returns a time shortly after the summary of the round was received."""
    return round_number * MIN_ROUND_US + 400_000


def test_a_backend_not_named_by_a_summary_counts_with_the_average_load() -> None:
    estimate = LoadEstimate(0, MIN_ROUND_US)
    assert estimate.merge_summary(
        summary(5, {1: 40_000.0, 2: 60_000.0}, range(1, 9), is_complete=False), None
    )
    loads = estimate.estimate_fleet_load(time_in_round(5), [1, 2, 3]).loads
    assert loads[3] == pytest.approx(50_000.0)
    assert estimate.merge_summary(summary(6, {1: 40_000.0, 2: 60_000.0}, range(1, 9)), None)
    assert (
        estimate.estimate_fleet_load(time_in_round(6), [1, 2, 3]).loads[3] == 0.0
    )  # this summary names all backends with load


def test_two_backends_with_the_same_short_name_are_both_unknown() -> None:
    same_name = next(n for n in range(1, 100_000) if short_name(n) == short_name(0))
    estimate = LoadEstimate(0, MIN_ROUND_US)
    estimate.merge_summary(summary(5, {0: 90_000.0, 2: 10_000.0, 3: 30_000.0}, range(1, 9)), None)
    loads = estimate.estimate_fleet_load(time_in_round(5), [0, same_name, 2, 3]).loads
    assert loads[0] == loads[same_name] == pytest.approx(20_000.0)


def test_a_partition_causes_no_gap_and_no_jump_when_it_heals() -> None:
    """Eight nodes have a load of 10,000 each. Half of them are missing from three summaries, then return."""
    estimate, loads = LoadEstimate(0, MIN_ROUND_US), list[float]()
    for number, contributors in enumerate([range(1, 9)] * 3 + [range(1, 5)] * 3 + [range(1, 9)] * 2, 5):
        assert estimate.merge_summary(summary(number, {1: 10_000.0 * len(contributors)}, contributors), None)
        loads.append(estimate.estimate_fleet_load(time_in_round(number), [1]).loads[1])
    assert loads[:4] == [pytest.approx(80_000.0)] * 4  # missing once: the report was lost
    assert all(40_000.0 <= load <= 80_000.0 for load in loads)
    # By the third summary without them, the missing nodes no longer count.
    assert loads[5] < loads[4] < loads[3] and loads[5] == pytest.approx(40_000.0)
    assert loads[-2:] == [pytest.approx(80_000.0)] * 2


@pytest.mark.parametrize("seed", range(4))
def test_loads_are_estimated_with_thirty_percent_datagram_loss(seed: int) -> None:
    fleet = SimulatedFleet(
        [local_load(dict.fromkeys(range(8), 20_000.0)) for _ in range(40)], seed, loss_rate=0.3
    )
    fleet.play(40 * SECOND_US)
    assert len(fleet.estimates) == 40
    ratios = sorted(others.loads[1] / (39 * 20_000) for others in fleet.estimates.values())
    assert ratios[0] >= 0.65 and ratios[-1] <= 1.2
    assert 0.85 <= ratios[20] <= 1.1  # a plain sum has 70% of it


def test_a_new_node_requests_and_gets_the_load_of_the_others_within_half_a_second() -> None:
    fleet = SimulatedFleet(make_random_loads(40, 3), 3)
    fleet.play(3 * MIN_ROUND_US)
    begin = START_US + 3 * MIN_ROUND_US + 600_000  # its next round is 1.4 s away
    new_node = AggregationRounds(0, 40, 99, begin)
    now, fleet_load = begin, None
    while fleet_load is None and now < begin + SECOND_US // 2:
        now = new_node.due_us()
        for to, request in new_node.tick(now, fleet.local_loads[0])[0]:
            assert to is not None and to != 0
            for recipient, reply in fleet.nodes[to].receive(now, 0, request, fleet.local_loads[to])[0]:
                assert recipient == 0
                fleet_load = new_node.receive(now + 10_000, to, reply, fleet.local_loads[0])[1]
    assert fleet_load is not None and fleet_load.instances == 40 and sum(fleet_load.loads.values()) > 0


def test_an_estimate_decreases_gradually_with_age() -> None:
    estimate = LoadEstimate(0, MIN_ROUND_US)
    estimate.merge_summary(summary(5, {1: 40_000.0}, range(1, 9)), None)
    loads = [
        estimate.estimate_fleet_load(time_in_round(5) + n * MIN_ROUND_US // 4, [1]).loads[1]
        for n in range(40)
    ]
    assert loads[0] == pytest.approx(40_000.0) and loads[-1] == 0.0
    assert all(0 <= before - after <= 4_000.0 for before, after in pairwise(loads))


@given(st.lists(st.tuples(st.integers(1, 12), st.sets(st.integers(1, 7))), max_size=30))
def test_reordered_lost_or_duplicate_summaries_never_count_a_node_twice_or_go_back_in_time(
    summaries: list[tuple[int, set[int]]],
) -> None:
    """Each of seven nodes has a constant load of 10,000; the estimate must never exceed the sum, whichever
    summaries arrive.
    """
    estimate, latest_round = LoadEstimate(0, MIN_ROUND_US), -1
    for number, contributors in summaries:
        total = summary(number, {1: 10_000.0 * len(contributors)}, contributors)
        assert estimate.merge_summary(total, None) is (number > latest_round and bool(contributors))
        latest_round = estimate.summary_round
        assert not estimate.merge_summary(total, None)  # duplicate
        assert estimate.estimate_fleet_load(time_in_round(number), [1]).loads[1] <= 70_000.0 * 1.0001


def test_backends_beyond_one_datagram_are_reported_in_parts_and_named_in_rotation() -> None:
    """Each of four nodes has load at 250 form servers, which takes three datagrams per report and three
    summaries to name them all.
    """
    fleet = SimulatedFleet([local_load({s: 10_000.0 * (1 + s % 5) for s in range(250)}) for _ in range(4)], 1)
    fleet.play(8 * MIN_ROUND_US)
    expected = {s: 30_000.0 * (1 + s % 5) for s in range(250)}
    for others in fleet.estimates.values():
        accurate = [s for s, load in others.loads.items() if abs(load - expected[s]) <= 0.1 * expected[s]]
        assert len(accurate) >= 240  # of 250: a few share a short name
