"""Tests membership in virtual time: joining, suspicion and refutation, names claimed twice, and messages of
other fleets.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import suppress

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sailrun.lab.faults.nemesis import PLANS
from sailrun.lab.faults.runs import agent_settings
from sailrun.lab.faults.virtual import VirtualFleet
from sailrun.leadership.envelope import MAX_DATAGRAM_BYTES, InvalidEnvelopeError, decode_envelope
from sailrun.membership.membership import Membership
from sailrun.membership.messages import MemberRecord, MemberState
from sailrun.membership.settings import MembershipSettings

SECOND = 1_000_000


def new_fleet(nodes: int, seed: int = 1) -> VirtualFleet:
    fleet = VirtualFleet(
        nodes, 3, 1, lambda n, voters, joins: agent_settings(n, voters, joins, PLANS["owner"]), seed
    )
    fleet.begin()
    return fleet


def members_of(fleet: VirtualFleet) -> Iterator[Membership]:
    return (n.agent.members for n in fleet.nodes.values() if n.agent is not None)


def list_views(fleet: VirtualFleet) -> set[tuple[str, ...]]:
    return {tuple(r.name for r in members.living_records()) for members in members_of(fleet)}


@pytest.mark.parametrize("nodes", [3, 12, 40])
def test_all_members_join_through_one_seed_address_and_have_equal_tables(nodes: int) -> None:
    fleet = new_fleet(nodes)
    fleet.run(10.0)
    assert list_views(fleet) == {tuple(sorted(fleet.names))}
    assert len({members.compute_digest() for members in members_of(fleet)}) == 1


def test_a_killed_member_is_declared_dead_everywhere_and_returns_with_a_higher_incarnation() -> None:
    fleet = new_fleet(7)
    fleet.run(5.0)
    fleet.kill("n4")
    fleet.run(16.0)
    assert list_views(fleet) == {tuple(sorted(set(fleet.names) - {"n4"}))}
    fleet.start("n4")
    fleet.run(20.0)
    assert list_views(fleet) == {tuple(sorted(fleet.names))}
    assert {m.find_record("n4").incarnation for m in members_of(fleet)} == {2}  # type: ignore[union-attr]


def test_a_leaving_member_is_known_to_have_left_everywhere_within_two_seconds() -> None:
    fleet = new_fleet(7)
    fleet.run(5.0)
    fleet.leave("n4")
    fleet.run(7.0)
    left = {m.find_record("n4").state for m in members_of(fleet)}  # type: ignore[union-attr]
    assert left == {MemberState.LEFT}


def test_a_paused_process_suspects_no_other_member_when_it_resumes() -> None:
    fleet = new_fleet(6)
    fleet.run(5.0)
    pause = fleet.pause("n2")
    fleet.run(5.6)
    fleet.resume("n2", pause)
    rows_before = len(fleet.rows)
    fleet.run(15.0)
    suspected = [
        r for r in fleet.rows[rows_before:] if r["kind"] == "member" and r["what"] in ("suspect", "gone")
    ]
    assert {r["name"] for r in suspected} <= {"n2"}


def test_two_sides_of_a_partition_reconnect_after_it_heals() -> None:
    fleet = new_fleet(6)
    fleet.run(5.0)
    partition = fleet.cut(fleet.names[:3], fleet.names[3:])
    fleet.run(25.0)
    assert list_views(fleet) == {("n0", "n1", "n2"), ("n3", "n4", "n5")}
    fleet.heal(partition)
    fleet.run(40.0)
    assert list_views(fleet) == {tuple(fleet.names)}


def test_false_suspicions_are_refuted_at_ten_percent_packet_loss() -> None:
    fleet = new_fleet(8)
    fleet.set_network_faults(0.10, (1_000, 200_000), 0.02)
    fleet.run(60.0)
    assert not [r for r in fleet.rows if r["kind"] == "member" and r["what"] == "gone"]


def test_a_second_process_is_refused_the_name_of_a_living_one_and_both_log_it() -> None:
    fleet = new_fleet(4)
    fleet.run(5.0)
    second_record = MemberRecord("n2", 77, 1, MemberState.ALIVE, "10.0.0.99:1", "z0")
    second_member = Membership(second_record, MembershipSettings(join=("10.0.0.0:1",)), 1, 0)
    holder, receiver = fleet.nodes["n2"].agent, fleet.nodes["n0"].agent
    assert holder is not None and receiver is not None
    now_us = fleet.clock_us(fleet.nodes["n0"])
    (join,) = second_member.tick(now_us)
    rejection, forwarded = receiver.members.receive(now_us, second_record, join.body)
    second_member.receive(now_us, receiver.members.own_record, rejection.body)
    assert [c.kind for c in second_member.changes] == ["refused"] and not second_member.has_joined
    holder.members.receive(now_us, receiver.members.own_record, forwarded.body)
    assert [c.kind for c in holder.members.changes] == ["claimed"]
    fleet.run(10.0)
    assert all(m.find_record("n2").life != 77 for m in members_of(fleet))  # type: ignore[union-attr]


def test_messages_of_other_fleets_and_unknown_senders_are_dropped_and_counted() -> None:
    fleet = new_fleet(3)
    fleet.run(5.0)
    agent = fleet.nodes["n0"].agent
    other = fleet.nodes["n1"].agent
    assert agent is not None and other is not None
    (outgoing, *_) = other._envelopes.address_messages(other.members.leave(fleet.clock_us(fleet.nodes["n1"])))
    now_us = fleet.clock_us(fleet.nodes["n0"])
    foreign = msgspec.structs.replace(outgoing.envelope, fleet="another")
    assert agent.on_envelope(now_us, "10.0.0.1:1", foreign) == [] and agent.counters.foreign_messages == 1
    unknown_sender = msgspec.structs.replace(outgoing.envelope, sender="nobody", member_updates=[])
    count_before = agent.members.unknown_sender_count
    agent.on_envelope(now_us, "10.0.0.77:1", unknown_sender)
    assert (
        agent.members.unknown_sender_count == count_before + 1 and agent.members.find_record("nobody") is None
    )


@given(st.binary(max_size=MAX_DATAGRAM_BYTES))
def test_any_data_decodes_to_an_envelope_or_raises_an_invalid_envelope_error(data: bytes) -> None:
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
    records: list[MemberRecord], random_source: object
) -> None:
    # A record of an ended member is not stored if the member is unknown. Therefore both members are first
    # known as alive in an older incarnation.
    initial = [MemberRecord(name, 1, 0, MemberState.ALIVE, "10.0.0.9:1") for name in ("a", "b")]
    shuffled = records[:]
    random_source.shuffle(shuffled)  # type: ignore[attr-defined]
    views = []
    for order in (records, shuffled, records + shuffled):
        members = Membership(
            MemberRecord("me", 9, 1, MemberState.ALIVE, "10.0.0.1:1"), MembershipSettings(), 1, 0
        )
        members.merge_records(0, initial + order, "a")
        views.append([r for r, _ in members.records_with_state_time()])
    assert views[0] == views[1] == views[2]
