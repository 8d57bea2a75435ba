"""Rounds in which the nodes of a tier tell one another what they hold, in virtual time."""

from __future__ import annotations

import heapq
from itertools import count, pairwise
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sailrun.decisions.events import LocalLoad
from sailrun.load_gossip.digest import NAMES, BadDatagram, Digest, read, room, short, write
from sailrun.load_gossip.known import SECOND, Others
from sailrun.load_gossip.known import Tier as Known
from sailrun.load_gossip.rounds import ASKS, NODE_US, ROUND_US, SELDOM, Rounds

START_US = 1_796_145_160 * SECOND


def holding(loads: dict[int, float], alert: bool = True, warned: frozenset[int] = frozenset()) -> LocalLoad:
    return LocalLoad(loads, sum(load > 0 for load in loads.values()), True, warned, alert)


class Tier:
    """Nodes that exchange datagrams, some of which are lost."""

    def __init__(
        self, holdings: list[LocalLoad], seed: int, lost: float = 0.0, down: frozenset[int] = frozenset()
    ):
        self.holdings, self.random, self.lost, self.down = holdings, Random(seed), lost, down
        n = len(holdings)
        self.nodes = [Rounds(k, n, seed * 1_000 + k, START_US) for k in range(n)]
        self.known: dict[int, Others] = {}
        self.sent = self.bytes = 0
        self.order, self.events = count(), list[tuple[int, int, int, int, bytes]]()
        self.alive = [k for k in range(n) if k not in down]
        self.armed: dict[int, int] = {}
        for k in self.alive:
            self._arm(k, self.nodes[k].due_us())

    def play(self, until_us: int) -> None:
        """Goes on until so long after the start."""
        while self.events[0][0] < START_US + until_us:
            now, _, k, sender, content = heapq.heappop(self.events)
            if not content:
                self.armed.pop(k, None)
            node, own = self.nodes[k], self.holdings[k]
            out, others = list[tuple[int | None, bytes]](), None
            if content:
                out, others = node.heard(now, sender, content, own)
            elif now >= node.due_us():
                out, others = node.turn(now, own)
            for to, told in out:
                for other in self.alive if to is None else [to]:
                    if other != k:
                        self._send(now, k, other, told)
            self._arm(k, max(now + 1, node.due_us()))
            if others is not None:
                self.known[k] = others

    def _arm(self, k: int, when_us: int) -> None:
        """Its next turn, once: what it heard may have brought it forward."""
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
        holding({s: random.choice([0.0, 0.0, 5_000.0, 40_000.0]) for s in range(60)}) for _ in range(nodes)
    ]


@pytest.mark.parametrize("nodes", [4, 40, 100])
@pytest.mark.parametrize("seed", range(3))
def test_after_a_round_everybody_knows_what_all_hold_at_two_datagrams_a_node(nodes: int, seed: int) -> None:
    tier = Tier(spread(nodes, seed), seed)
    tier.play(3 * max(ROUND_US, NODE_US * nodes) + SECOND)
    for k, others in tier.known.items():
        rest = [h for n, h in enumerate(tier.holdings) if n != k]
        assert others.nodes == nodes
        assert others.connections == sum(h.connections for h in rest)
        for s, load in others.loads.items():
            whole = sum(h.loads[s] for h in rest)
            assert abs(load - whole) <= 0.12 * whole + 0.06 * tier.holdings[k].loads[s]
    assert len(tier.known) == nodes
    assert tier.sent <= (4 * 2 + ASKS) * nodes  # not one for each pair


@pytest.mark.parametrize("seed", range(5))
def test_with_most_nodes_down_and_datagrams_lost_the_rest_still_hear(seed: int) -> None:
    down = frozenset(Random(seed).sample(range(40), 28))
    tier = Tier(spread(40, seed), seed, lost=0.1, down=down)
    tier.play(40 * SECOND)
    assert len(tier.known) == 12
    assert all(2 <= others.nodes <= 12 for others in tier.known.values())


def test_where_there_is_nothing_to_look_at_rounds_are_rare_and_an_alert_spreads() -> None:
    quiet = [holding({1: 5_000.0}, alert=False) for _ in range(8)]
    tier = Tier(quiet, 1)
    tier.play(16 * SECOND)
    calm = tier.sent
    tier = Tier([holding({1: 5_000.0}, alert=k == 3) for k in range(8)], 1)
    tier.play(16 * SECOND)
    assert calm <= 8 * ASKS + 2 * 8 * (1 + 16 * SECOND // (SELDOM * ROUND_US))
    assert tier.sent > 2 * calm


def test_four_hundred_nodes_send_no_more_than_two_hundred_do() -> None:
    few, many = (Tier(spread(nodes, 1), 1) for nodes in (200, 400))
    for tier in (few, many):
        tier.play(12 * SECOND)
        assert len(tier.known) == len(tier.nodes)
    assert many.sent <= few.sent + 400 * ASKS


def test_a_warning_needs_more_than_one_voice() -> None:
    for voices, warned in ((1, frozenset[int]()), (3, frozenset({7}))):
        late = frozenset({7})
        holdings = [holding({7: 5_000.0}, True, late if k < voices else frozenset()) for k in range(8)]
        tier = Tier(holdings, 2)
        tier.play(3 * ROUND_US)
        assert all(others.warned == warned for others in tier.known.values())


def test_what_is_torn_old_or_not_the_senders_to_send_is_counted_and_believed_by_nobody() -> None:
    node, own = Rounds(0, 4, 1, START_US), holding({1: 5_000.0})
    number = START_US // ROUND_US
    collector = node.collector(number)
    everybody = frozenset(range(4))
    total = Digest(number, {short(1): 1e6}, 9, True, voices=everybody)
    stranger = next(k for k in range(4) if k != collector)
    old = next(n for n in range(number - 40, number - 2) if node.collector(n) == collector)
    bad = [
        (collector, write(total, 4)[:-1]),
        (collector, b"\xf2"),
        (stranger, write(total, 4)),
        (collector, write(Digest(old, {}, 0, True, voices=everybody), 4)),
    ]
    for refused, (sender, content) in enumerate(bad, 1):
        assert node.heard(START_US, sender, content, own) == ([], None)
        assert node.refused == refused


@given(
    st.dictionaries(st.integers(0, NAMES - 1), st.floats(0, 4e6), max_size=90),
    st.integers(0, 70_000),
    st.booleans(),
    st.sets(st.integers(0, 39)),
)
def test_a_datagram_holds_what_was_written_to_a_twentieth(
    loads: dict[int, float], connections: int, told: bool, voices: set[int]
) -> None:
    content = write(Digest(9, loads, connections, told, True, frozenset(loads), frozenset(voices)), 40)
    assert len(content) <= 256
    back = read(content, 40)
    assert (back.round, back.told, back.alert, back.voices) == (9, told, True, frozenset(voices))
    assert back.loads.keys() == loads.keys() == back.warned
    for name, load in loads.items():
        assert abs(back.loads[name] - load) <= max(0.05 * load, 50.0) or load > 2.6e6 or not told


@given(st.binary(max_size=300))
def test_no_bytes_break_the_reader(content: bytes) -> None:
    for whole in (content, b"\xf2" + content):
        try:
            digest = read(whole, 40)
        except BadDatagram:
            continue
        assert len(digest.loads) <= room(1) and digest.voices != frozenset({40})


# ---------------------------------------------------------------- what is known of the tier


def a_sum(number: int, loads: dict[int, float], voices: range | set[int], whole: bool = True) -> Digest:
    named = {short(s): load for s, load in loads.items()}
    return Digest(number, named, 10 * len(voices), True, voices=frozenset(voices), whole=whole)


def at(number: int) -> int:
    """Shortly after a round's sum has come."""
    return number * ROUND_US + 400_000


def test_a_form_server_that_no_sum_has_named_is_taken_for_a_usual_one_and_never_for_an_empty_one() -> None:
    known = Known(0, ROUND_US)
    assert known.hear(a_sum(5, {1: 40_000.0, 2: 60_000.0}, range(1, 9), whole=False), None)
    loads = known.others(at(5), [1, 2, 3]).loads
    assert loads[3] == pytest.approx(50_000.0)
    assert known.hear(a_sum(6, {1: 40_000.0, 2: 60_000.0}, range(1, 9)), None)
    assert known.others(at(6), [1, 2, 3]).loads[3] == 0.0  # all that hold anything are named here


def test_two_form_servers_of_one_short_name_are_both_unknown() -> None:
    first = next(n for n in range(1, 100_000) if short(n) == short(0))
    known = Known(0, ROUND_US)
    known.hear(a_sum(5, {0: 90_000.0, 2: 10_000.0, 3: 30_000.0}, range(1, 9)), None)
    loads = known.others(at(5), [0, first, 2, 3]).loads
    assert loads[0] == loads[first] == pytest.approx(20_000.0)


def test_a_cut_makes_no_hole_and_the_halves_merge_without_a_jump() -> None:
    """Eight nodes with 10,000 each; half of them are not heard for three rounds, and come back."""
    known, seen = Known(0, ROUND_US), list[float]()
    for number, voices in enumerate([range(1, 9)] * 3 + [range(1, 5)] * 3 + [range(1, 9)] * 2, 5):
        assert known.hear(a_sum(number, {1: 10_000.0 * len(voices)}, voices), None)
        seen.append(known.others(at(number), [1]).loads[1])
    assert seen[:4] == [pytest.approx(80_000.0)] * 4  # missing once: lost, not gone
    assert all(40_000.0 <= load <= 80_000.0 for load in seen)
    assert seen[5] < seen[4] < seen[3] and seen[5] == pytest.approx(40_000.0)  # by then they are gone
    assert seen[-2:] == [pytest.approx(80_000.0)] * 2


@pytest.mark.parametrize("seed", range(4))
def test_with_three_in_ten_datagrams_lost_the_loads_are_still_known(seed: int) -> None:
    tier = Tier([holding(dict.fromkeys(range(8), 20_000.0)) for _ in range(40)], seed, lost=0.3)
    tier.play(40 * SECOND)
    assert len(tier.known) == 40
    known = sorted(others.loads[1] / (39 * 20_000) for others in tier.known.values())
    assert known[0] >= 0.65 and known[-1] <= 1.2
    assert 0.85 <= known[20] <= 1.1  # a sum alone has seven tenths of it


def test_a_newcomer_asks_and_knows_within_half_a_second_what_the_others_hold() -> None:
    tier = Tier(spread(40, 3), 3)
    tier.play(3 * ROUND_US)
    begin = START_US + 3 * ROUND_US + 600_000  # its next round is 1.4 s away
    newcomer = Rounds(0, 40, 99, begin)
    now, others = begin, None
    while others is None and now < begin + SECOND // 2:
        now = newcomer.due_us()
        for to, asked in newcomer.turn(now, tier.holdings[0])[0]:
            assert to is not None and to != 0
            for back, told in tier.nodes[to].heard(now, 0, asked, tier.holdings[to])[0]:
                assert back == 0
                others = newcomer.heard(now + 10_000, to, told, tier.holdings[0])[1]
    assert others is not None and others.nodes == 40 and sum(others.loads.values()) > 0


def test_what_is_known_counts_less_with_age_and_ends_without_a_cliff() -> None:
    known = Known(0, ROUND_US)
    known.hear(a_sum(5, {1: 40_000.0}, range(1, 9)), None)
    loads = [known.others(at(5) + n * ROUND_US // 4, [1]).loads[1] for n in range(40)]
    assert loads[0] == pytest.approx(40_000.0) and loads[-1] == 0.0
    assert all(0 <= before - after <= 4_000.0 for before, after in pairwise(loads))


@given(st.lists(st.tuples(st.integers(1, 12), st.sets(st.integers(1, 7))), max_size=30))
def test_no_order_loss_or_doubling_counts_a_node_twice_or_goes_back_in_time(
    heard: list[tuple[int, set[int]]],
) -> None:
    """Each of seven nodes holds 10,000 all the time: never is more known, whatever of it is heard."""
    known, latest = Known(0, ROUND_US), -1
    for number, voices in heard:
        total = a_sum(number, {1: 10_000.0 * len(voices)}, voices)
        assert known.hear(total, None) is (number > latest and bool(voices))
        latest = known.round
        assert not known.hear(total, None)  # doubled
        assert known.others(at(number), [1]).loads[1] <= 70_000.0 * 1.0001


def test_form_servers_that_no_one_datagram_can_name_are_told_in_parts_and_named_in_turn() -> None:
    """Each of four nodes holds 250 form servers: three datagrams a telling, three sums for all."""
    tier = Tier([holding({s: 10_000.0 * (1 + s % 5) for s in range(250)}) for _ in range(4)], 1)
    tier.play(8 * ROUND_US)
    meant = {s: 30_000.0 * (1 + s % 5) for s in range(250)}
    for others in tier.known.values():
        known = [s for s, load in others.loads.items() if abs(load - meant[s]) <= 0.1 * meant[s]]
        assert len(known) >= 240  # of 250: a few share a short name
