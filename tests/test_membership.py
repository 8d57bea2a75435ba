"""Members in virtual time: joining, suspicion and refutation, names claimed twice, fleets that must not
mix.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import suppress

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sailrun.lab.faults.nemesis import PLANS
from sailrun.lab.faults.play import agent_terms
from sailrun.lab.faults.virtual import VirtualFleet
from sailrun.leadership.envelope import MAX_DATAGRAM_BYTES, InvalidEnvelopeError, decode_envelope
from sailrun.membership.membership import Membership
from sailrun.membership.messages import MemberRecord, MemberState
from sailrun.membership.settings import MembershipSettings

SECOND = 1_000_000


def fleet(nodes: int, seed: int = 1) -> VirtualFleet:
    made = VirtualFleet(
        nodes, 3, 1, lambda n, voters, joins: agent_terms(n, voters, joins, PLANS["owner"]), seed
    )
    made.begin()
    return made


def members_of(made: VirtualFleet) -> Iterator[Membership]:
    return (n.agent.members for n in made.nodes.values() if n.agent is not None)


def views(made: VirtualFleet) -> set[tuple[str, ...]]:
    return {tuple(r.name for r in members.living_records()) for members in members_of(made)}


@pytest.mark.parametrize("nodes", [3, 12, 40])
def test_all_join_by_one_seed_address_and_have_equal_tables(nodes: int) -> None:
    made = fleet(nodes)
    made.run(10.0)
    assert views(made) == {tuple(sorted(made.names))}
    assert len({members.compute_digest() for members in members_of(made)}) == 1


def test_a_killed_member_is_dead_everywhere_and_returns_with_a_higher_incarnation() -> None:
    made = fleet(7)
    made.run(5.0)
    made.kill("n4")
    made.run(16.0)
    assert views(made) == {tuple(sorted(set(made.names) - {"n4"}))}
    made.start("n4")
    made.run(20.0)
    assert views(made) == {tuple(sorted(made.names))}
    assert {m.find_record("n4").incarnation for m in members_of(made)} == {2}  # type: ignore[union-attr]


def test_a_member_that_leaves_has_left_everywhere_at_once() -> None:
    made = fleet(7)
    made.run(5.0)
    made.leave("n4")
    made.run(7.0)
    left = {m.find_record("n4").state for m in members_of(made)}  # type: ignore[union-attr]
    assert left == {MemberState.LEFT}


def test_a_paused_process_accuses_nobody_when_it_wakes() -> None:
    made = fleet(6)
    made.run(5.0)
    stop = made.stop("n2")
    made.run(5.6)
    made.go_on("n2", stop)
    before = len(made.rows)
    made.run(15.0)
    accused = [r for r in made.rows[before:] if r["kind"] == "member" and r["what"] in ("suspect", "gone")]
    assert {r["name"] for r in accused} <= {"n2"}


def test_two_sides_of_a_cut_find_each_other_again() -> None:
    made = fleet(6)
    made.run(5.0)
    cut = made.cut(made.names[:3], made.names[3:])
    made.run(25.0)
    assert views(made) == {("n0", "n1", "n2"), ("n3", "n4", "n5")}
    made.heal(cut)
    made.run(40.0)
    assert views(made) == {tuple(made.names)}


def test_false_alarms_are_refuted_where_a_tenth_is_lost() -> None:
    made = fleet(8)
    made.weather(0.10, (1_000, 200_000), 0.02)
    made.run(60.0)
    assert not [r for r in made.rows if r["kind"] == "member" and r["what"] == "gone"]


def test_a_name_of_a_living_process_is_refused_to_a_second_one_and_both_log_it() -> None:
    made = fleet(4)
    made.run(5.0)
    second = MemberRecord("n2", 77, 1, MemberState.ALIVE, "10.0.0.99:1", "z0")
    impostor = Membership(second, MembershipSettings(join=("10.0.0.0:1",)), 1, 0)
    holder, asked = made.nodes["n2"].agent, made.nodes["n0"].agent
    assert holder is not None and asked is not None
    now_us = made.clock_us(made.nodes["n0"])
    (join,) = impostor.tick(now_us)
    refused, passed_on = asked.members.receive(now_us, second, join.body)
    impostor.receive(now_us, asked.members.own_record, refused.body)
    assert [c.kind for c in impostor.changes] == ["refused"] and not impostor.has_joined
    holder.members.receive(now_us, asked.members.own_record, passed_on.body)
    assert [c.kind for c in holder.members.changes] == ["claimed"]
    made.run(10.0)
    assert all(m.find_record("n2").life != 77 for m in members_of(made))  # type: ignore[union-attr]


def test_messages_of_another_fleet_and_of_strangers_are_dropped_and_counted() -> None:
    made = fleet(3)
    made.run(5.0)
    agent = made.nodes["n0"].agent
    other = made.nodes["n1"].agent
    assert agent is not None and other is not None
    (out, *_) = other._envelopes.address_messages(other.members.leave(made.clock_us(made.nodes["n1"])))
    now_us = made.clock_us(made.nodes["n0"])
    foreign = msgspec.structs.replace(out.envelope, fleet="another")
    assert agent.on_envelope(now_us, "10.0.0.1:1", foreign) == [] and agent.counters.foreign_messages == 1
    stranger = msgspec.structs.replace(out.envelope, sender="nobody", member_updates=[])
    before = agent.members.unknown_sender_count
    agent.on_envelope(now_us, "10.0.0.77:1", stranger)
    assert agent.members.unknown_sender_count == before + 1 and agent.members.find_record("nobody") is None


@given(st.binary(max_size=MAX_DATAGRAM_BYTES))
def test_whatever_comes_is_an_envelope_or_a_bad_message(data: bytes) -> None:
    with suppress(InvalidEnvelopeError):
        decode_envelope(data)


RECORDS = st.builds(
    MemberRecord,
    st.sampled_from(["a", "b"]),
    st.integers(1, 2),
    st.integers(1, 3),
    st.sampled_from(list(MemberState)),
    st.just("10.0.0.9:1"),
)


@given(st.lists(RECORDS, max_size=8), st.randoms(use_true_random=False))
def test_merged_records_do_not_depend_on_the_order_of_arrival(
    records: list[MemberRecord], luck: object
) -> None:
    # What was never heard alive is not remembered as ended: so each is, first, in an older incarnation.
    first = [MemberRecord(name, 1, 0, MemberState.ALIVE, "10.0.0.9:1") for name in ("a", "b")]
    shuffled = records[:]
    luck.shuffle(shuffled)  # type: ignore[attr-defined]
    views = []
    for order in (records, shuffled, records + shuffled):
        members = Membership(
            MemberRecord("me", 9, 1, MemberState.ALIVE, "10.0.0.1:1"), MembershipSettings(), 1, 0
        )
        members.merge_records(0, first + order, "a")
        views.append([r for r, _ in members.records_with_age()])
    assert views[0] == views[1] == views[2]
