"""Rounds in which the nodes of a fleet report and sum their load, in virtual time."""

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
    NAMES,
    InvalidDatagramError,
    LoadDatagram,
    datagram_capacity,
    decode_datagram,
    encode_datagram,
    short_name,
)
from sailrun.load_gossip.load_estimate import SECOND, LoadEstimate

START_US = 1_796_145_160 * SECOND


def local_load(
    loads: dict[int, float], alert: bool = True, warned: frozenset[int] = frozenset()
) -> LocalLoad:
    return LocalLoad(loads, sum(load > 0 for load in loads.values()), True, warned, alert)


class SimulatedFleet:
    """Nodes that exchange datagrams, some of which are lost."""

    def __init__(
        self, local_loads: list[LocalLoad], seed: int, lost: float = 0.0, down: frozenset[int] = frozenset()
    ):
        self.local_loads, self.random, self.lost, self.down = local_loads, Random(seed), lost, down
        n = len(local_loads)
        self.nodes = [AggregationRounds(k, n, seed * 1_000 + k, START_US) for k in range(n)]
        self.estimates: dict[int, FleetLoad] = {}
        self.sent = self.bytes = 0
        self.order, self.events = count(), list[tuple[int, int, int, int, bytes]]()
        self.alive = [k for k in range(n) if k not in down]
        self.armed: dict[int, int] = {}
        for k in self.alive:
            self._arm(k, self.nodes[k].due_us())

    def play(self, until_us: int) -> None:
        """Advances the clock until so long after the start."""
        while self.events[0][0] < START_US + until_us:
            now, _, k, sender, content = heapq.heappop(self.events)
            if not content:
                self.armed.pop(k, None)
            node, own = self.nodes[k], self.local_loads[k]
            out, others = list[OutgoingDatagram](), None
            if content:
                out, others = node.receive(now, sender, content, own)
            elif now >= node.due_us():
                out, others = node.tick(now, own)
            for to, told in out:
                for other in self.alive if to is None else [to]:
                    if other != k:
                        self._send(now, k, other, told)
            self._arm(k, max(now + 1, node.due_us()))
            if others is not None:
                self.estimates[k] = others

    def _arm(self, k: int, when_us: int) -> None:
        """Schedules its next tick, once: what it received may have brought it forward."""
        if not START_US <= self.armed.get(k, 0) <= when_us:
            self.armed[k] = when_us
            heapq.heappush(self.events, (when_us, next(self.order), k, -1, b""))

    def _send(self, now: int, sender: int, to: int, content: bytes) -> None:
        self.sent += 1
        self.bytes += len(content)
        if self.random.random() >= self.lost and to not in self.down:
            late = now + self.random.randrange(1_400, 33_000)
            heapq.heappush(self.events, (late, next(self.order), to, sender, content))


def spread(nodes: int, seed: int) -> list[LocalLoad]:
    random = Random(seed)
    return [
        local_load({s: random.choice([0.0, 0.0, 5_000.0, 40_000.0]) for s in range(60)}) for _ in range(nodes)
    ]


@pytest.mark.parametrize("nodes", [4, 40, 100])
@pytest.mark.parametrize("seed", range(3))
def test_after_a_round_every_node_has_the_load_of_all_at_two_datagrams_a_node(nodes: int, seed: int) -> None:
    fleet = SimulatedFleet(spread(nodes, seed), seed)
    fleet.play(3 * max(MIN_ROUND_US, ROUND_US_PER_NODE * nodes) + SECOND)
    for k, others in fleet.estimates.items():
        rest = [h for n, h in enumerate(fleet.local_loads) if n != k]
        assert others.instances == nodes
        assert others.connections == sum(h.connections for h in rest)
        for s, load in others.loads.items():
            whole = sum(h.loads[s] for h in rest)
            assert abs(load - whole) <= 0.12 * whole + 0.06 * fleet.local_loads[k].loads[s]
    assert len(fleet.estimates) == nodes
    assert fleet.sent <= (4 * 2 + MAX_REQUESTS) * nodes  # not one for each pair


@pytest.mark.parametrize("seed", range(5))
def test_with_most_nodes_down_and_datagrams_lost_the_rest_still_receive_summaries(seed: int) -> None:
    down = frozenset(Random(seed).sample(range(40), 28))
    fleet = SimulatedFleet(spread(40, seed), seed, lost=0.1, down=down)
    fleet.play(40 * SECOND)
    assert len(fleet.estimates) == 12
    assert all(2 <= others.instances <= 12 for others in fleet.estimates.values())


def test_without_an_alert_rounds_are_rare_and_an_alert_spreads() -> None:
    quiet = [local_load({1: 5_000.0}, alert=False) for _ in range(8)]
    fleet = SimulatedFleet(quiet, 1)
    fleet.play(16 * SECOND)
    calm = fleet.sent
    fleet = SimulatedFleet([local_load({1: 5_000.0}, alert=k == 3) for k in range(8)], 1)
    fleet.play(16 * SECOND)
    assert calm <= 8 * MAX_REQUESTS + 2 * 8 * (1 + 16 * SECOND // (QUIET_ROUND_INTERVAL * MIN_ROUND_US))
    assert fleet.sent > 2 * calm


def test_four_hundred_nodes_send_no_more_than_two_hundred_do() -> None:
    few, many = (SimulatedFleet(spread(nodes, 1), 1) for nodes in (200, 400))
    for fleet in (few, many):
        fleet.play(12 * SECOND)
        assert len(fleet.estimates) == len(fleet.nodes)
    assert many.sent <= few.sent + 400 * MAX_REQUESTS


def test_an_overload_needs_more_than_one_report() -> None:
    for voices, warned in ((1, frozenset[int]()), (3, frozenset({7}))):
        late = frozenset({7})
        local_loads = [local_load({7: 5_000.0}, True, late if k < voices else frozenset()) for k in range(8)]
        fleet = SimulatedFleet(local_loads, 2)
        fleet.play(3 * MIN_ROUND_US)
        assert all(others.overloaded == warned for others in fleet.estimates.values())


def test_torn_old_and_unauthorized_datagrams_are_rejected_and_counted() -> None:
    node, own = AggregationRounds(0, 4, 1, START_US), local_load({1: 5_000.0})
    number = START_US // MIN_ROUND_US
    collector = node.collector_of(number)
    everybody = frozenset(range(4))
    total = LoadDatagram(number, {short_name(1): 1e6}, 9, True, contributors=everybody)
    stranger = next(k for k in range(4) if k != collector)
    old = next(n for n in range(number - 40, number - 2) if node.collector_of(n) == collector)
    bad = [
        (collector, encode_datagram(total, 4)[:-1]),
        (collector, b"\xf2"),
        (stranger, encode_datagram(total, 4)),
        (collector, encode_datagram(LoadDatagram(old, {}, 0, True, contributors=everybody), 4)),
    ]
    for refused, (sender, content) in enumerate(bad, 1):
        assert node.receive(START_US, sender, content, own) == ([], None)
        assert node.rejected_count == refused


@given(
    st.dictionaries(st.integers(0, NAMES - 1), st.floats(0, 4e6), max_size=90),
    st.integers(0, 70_000),
    st.booleans(),
    st.sets(st.integers(0, 39)),
)
def test_a_datagram_decodes_to_what_was_encoded_within_a_twentieth(
    loads: dict[int, float], connections: int, told: bool, voices: set[int]
) -> None:
    content = encode_datagram(
        LoadDatagram(9, loads, connections, told, True, frozenset(loads), frozenset(voices)), 40
    )
    assert len(content) <= 256
    back = decode_datagram(content, 40)
    assert (back.round_number, back.loads_reported, back.has_alert, back.contributors) == (
        9,
        told,
        True,
        frozenset(voices),
    )
    assert back.loads.keys() == loads.keys() == back.overloaded
    for name, load in loads.items():
        assert abs(back.loads[name] - load) <= max(0.05 * load, 50.0) or load > 2.6e6 or not told


@given(st.binary(max_size=300))
def test_no_bytes_break_the_decoder(content: bytes) -> None:
    for whole in (content, b"\xf2" + content):
        try:
            digest = decode_datagram(whole, 40)
        except InvalidDatagramError:
            continue
        assert len(digest.loads) <= datagram_capacity(1) and digest.contributors != frozenset({40})


# ---------------------------------------------------------------- the estimate


def summary(
    number: int, loads: dict[int, float], voices: range | set[int], whole: bool = True
) -> LoadDatagram:
    named = {short_name(s): load for s, load in loads.items()}
    return LoadDatagram(
        number, named, 10 * len(voices), True, contributors=frozenset(voices), is_complete=whole
    )


def at(number: int) -> int:
    """Shortly after a round's sum has come."""
    return number * MIN_ROUND_US + 400_000


def test_a_backend_that_no_summary_has_named_counts_as_an_average_one_never_as_an_empty_one() -> None:
    known = LoadEstimate(0, MIN_ROUND_US)
    assert known.merge_summary(summary(5, {1: 40_000.0, 2: 60_000.0}, range(1, 9), whole=False), None)
    loads = known.estimate_fleet_load(at(5), [1, 2, 3]).loads
    assert loads[3] == pytest.approx(50_000.0)
    assert known.merge_summary(summary(6, {1: 40_000.0, 2: 60_000.0}, range(1, 9)), None)
    assert (
        known.estimate_fleet_load(at(6), [1, 2, 3]).loads[3] == 0.0
    )  # all that hold anything are named here


def test_two_backends_of_one_short_name_are_both_unknown() -> None:
    first = next(n for n in range(1, 100_000) if short_name(n) == short_name(0))
    known = LoadEstimate(0, MIN_ROUND_US)
    known.merge_summary(summary(5, {0: 90_000.0, 2: 10_000.0, 3: 30_000.0}, range(1, 9)), None)
    loads = known.estimate_fleet_load(at(5), [0, first, 2, 3]).loads
    assert loads[0] == loads[first] == pytest.approx(20_000.0)


def test_a_partition_leaves_no_gap_and_the_halves_merge_without_a_jump() -> None:
    """Eight nodes with 10,000 each; half of them are not heard for three rounds, and come back."""
    known, seen = LoadEstimate(0, MIN_ROUND_US), list[float]()
    for number, voices in enumerate([range(1, 9)] * 3 + [range(1, 5)] * 3 + [range(1, 9)] * 2, 5):
        assert known.merge_summary(summary(number, {1: 10_000.0 * len(voices)}, voices), None)
        seen.append(known.estimate_fleet_load(at(number), [1]).loads[1])
    assert seen[:4] == [pytest.approx(80_000.0)] * 4  # missing once: lost, not gone
    assert all(40_000.0 <= load <= 80_000.0 for load in seen)
    assert seen[5] < seen[4] < seen[3] and seen[5] == pytest.approx(40_000.0)  # by then they are gone
    assert seen[-2:] == [pytest.approx(80_000.0)] * 2


@pytest.mark.parametrize("seed", range(4))
def test_with_three_in_ten_datagrams_lost_the_loads_are_still_estimated(seed: int) -> None:
    fleet = SimulatedFleet([local_load(dict.fromkeys(range(8), 20_000.0)) for _ in range(40)], seed, lost=0.3)
    fleet.play(40 * SECOND)
    assert len(fleet.estimates) == 40
    known = sorted(others.loads[1] / (39 * 20_000) for others in fleet.estimates.values())
    assert known[0] >= 0.65 and known[-1] <= 1.2
    assert 0.85 <= known[20] <= 1.1  # a sum alone has seven tenths of it


def test_a_newcomer_requests_and_has_the_load_of_the_others_within_half_a_second() -> None:
    fleet = SimulatedFleet(spread(40, 3), 3)
    fleet.play(3 * MIN_ROUND_US)
    begin = START_US + 3 * MIN_ROUND_US + 600_000  # its next round is 1.4 s away
    newcomer = AggregationRounds(0, 40, 99, begin)
    now, others = begin, None
    while others is None and now < begin + SECOND // 2:
        now = newcomer.due_us()
        for to, asked in newcomer.tick(now, fleet.local_loads[0])[0]:
            assert to is not None and to != 0
            for back, told in fleet.nodes[to].receive(now, 0, asked, fleet.local_loads[to])[0]:
                assert back == 0
                others = newcomer.receive(now + 10_000, to, told, fleet.local_loads[0])[1]
    assert others is not None and others.instances == 40 and sum(others.loads.values()) > 0


def test_an_estimate_loses_weight_with_age_and_ends_without_a_cliff() -> None:
    known = LoadEstimate(0, MIN_ROUND_US)
    known.merge_summary(summary(5, {1: 40_000.0}, range(1, 9)), None)
    loads = [known.estimate_fleet_load(at(5) + n * MIN_ROUND_US // 4, [1]).loads[1] for n in range(40)]
    assert loads[0] == pytest.approx(40_000.0) and loads[-1] == 0.0
    assert all(0 <= before - after <= 4_000.0 for before, after in pairwise(loads))


@given(st.lists(st.tuples(st.integers(1, 12), st.sets(st.integers(1, 7))), max_size=30))
def test_no_order_loss_or_doubling_counts_a_node_twice_or_goes_back_in_time(
    heard: list[tuple[int, set[int]]],
) -> None:
    """Each of seven nodes holds 10,000 all the time: never is more known, whatever of it is heard."""
    known, latest = LoadEstimate(0, MIN_ROUND_US), -1
    for number, voices in heard:
        total = summary(number, {1: 10_000.0 * len(voices)}, voices)
        assert known.merge_summary(total, None) is (number > latest and bool(voices))
        latest = known.summary_round
        assert not known.merge_summary(total, None)  # doubled
        assert known.estimate_fleet_load(at(number), [1]).loads[1] <= 70_000.0 * 1.0001


def test_backends_that_no_one_datagram_can_name_are_reported_in_parts_and_named_in_turn() -> None:
    """Each of four nodes holds 250 form servers: three datagrams a telling, three sums for all."""
    fleet = SimulatedFleet([local_load({s: 10_000.0 * (1 + s % 5) for s in range(250)}) for _ in range(4)], 1)
    fleet.play(8 * MIN_ROUND_US)
    meant = {s: 30_000.0 * (1 + s % 5) for s in range(250)}
    for others in fleet.estimates.values():
        known = [s for s, load in others.loads.items() if abs(load - meant[s]) <= 0.1 * meant[s]]
        assert len(known) >= 240  # of 250: a few share a short name
