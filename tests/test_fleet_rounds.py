"""Rounds in which the nodes of a tier tell one another what they hold, in virtual time."""

from __future__ import annotations

import heapq
from itertools import count
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sailrun.fleet.digest import BadDatagram, Digest, read, room, short, write
from sailrun.fleet.rounds import NODE_US, ROUND_US, SECOND, SELDOM, Holding, Others, Rounds

START_US = 1_796_145_160 * SECOND


def holding(loads: dict[int, float], alert: bool = True, warned: frozenset[int] = frozenset()) -> Holding:
    return Holding(loads, sum(load > 0 for load in loads.values()), True, warned, alert)


class Tier:
    """Nodes that exchange datagrams, some of which are lost."""

    def __init__(
        self, holdings: list[Holding], seed: int, lost: float = 0.0, down: frozenset[int] = frozenset()
    ):
        self.holdings, self.random, self.lost, self.down = holdings, Random(seed), lost, down
        n = len(holdings)
        self.nodes = [Rounds(k, n, seed * 1_000 + k, START_US) for k in range(n)]
        self.known: dict[int, Others] = {}
        self.sent = 0

    def play(self, for_us: int) -> None:
        order, events = count(), list[tuple[int, int, int, int, bytes]]()
        alive = [k for k in range(len(self.nodes)) if k not in self.down]
        for k in alive:
            heapq.heappush(events, (self.nodes[k].due_us(), next(order), k, -1, b""))
        while events[0][0] < START_US + for_us:
            now, _, k, sender, content = heapq.heappop(events)
            node, own = self.nodes[k], self.holdings[k]
            if content:
                others = node.heard(now, sender, content, own)
            else:
                out, others = node.turn(now, own) if now >= node.due_us() else ([], None)
                for to, told in out:
                    for other in alive if to is None else [to]:
                        if other == k:
                            continue
                        self.sent += 1
                        if self.random.random() >= self.lost and other not in self.down:
                            late = now + self.random.randrange(1_400, 33_000)
                            heapq.heappush(events, (late, next(order), other, k, told))
            heapq.heappush(events, (max(now + 1, node.due_us()), next(order), k, -1, b""))
            if others is not None:
                self.known[k] = others


def spread(nodes: int, seed: int) -> list[Holding]:
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
    assert tier.sent <= 4 * 2 * nodes  # not one for each pair


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
    assert calm <= 2 * 8 * (1 + 16 * SECOND // (SELDOM * ROUND_US))
    assert tier.sent > 2 * calm


def test_a_hundred_nodes_send_no_more_than_forty_do() -> None:
    forty, hundred = (Tier(spread(nodes, 1), 1) for nodes in (40, 100))
    for tier in (forty, hundred):
        tier.play(40 * SECOND)
        assert len(tier.known) == len(tier.nodes)
    assert hundred.sent <= 1.1 * forty.sent


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
        (collector, b"\xf1"),
        (stranger, write(total, 4)),
        (collector, write(Digest(old, {}, 0, True, voices=everybody), 4)),
    ]
    for refused, (sender, content) in enumerate(bad, 1):
        assert node.heard(START_US, sender, content, own) is None
        assert node.refused == refused


@given(
    st.dictionaries(st.integers(0, (1 << 24) - 1), st.floats(0, 4e6), max_size=58),
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
        assert abs(back.loads[name] - load) <= max(0.05 * load, 25.0) or load > 3e6 or not told


@given(st.binary(max_size=300))
def test_no_bytes_break_the_reader(content: bytes) -> None:
    for whole in (content, b"\xf1" + content):
        try:
            digest = read(whole, 40)
        except BadDatagram:
            continue
        assert len(digest.loads) <= room(1) and digest.voices != frozenset({40})
