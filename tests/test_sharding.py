"""Unit tests of sharding: placement, the voters' table, the assigner, and a node's session."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sailrun.decisions.placement import MASK, key_hash
from sailrun.leadership.quorum import Voters
from sailrun.leadership.settings import LeadershipSettings
from sailrun.sharding.assigner import Assigner
from sailrun.sharding.messages import (
    MAX_CHANGED_SESSIONS,
    FencingToken,
    GenerationChange,
    ReadTable,
    RenewalRejected,
    RenewSession,
    Session,
    SessionRenewed,
    TableRead,
    TableRejected,
    TableState,
    TableWritten,
    WriteTable,
)
from sailrun.sharding.placement import Placement, node_hash, shard_key
from sailrun.sharding.session import NodeSession
from sailrun.sharding.settings import RegionSettings, ShardingSettings
from sailrun.sharding.table_replication import TableAcceptor, TableWriter, next_state
from sailrun.sharding.token_fence import TokenFence

SECOND_US = 1_000_000
VOTERS = ("c1", "c2", "c3")
REGION = RegionSettings(name="east", shards=60, voters=VOTERS)
SETTINGS = ShardingSettings(enabled=True, lease_s=6.0, gather_s=0.1, leaving=1, regions=(REGION,))
LEASE_US = int(SETTINGS.lease_s * SECOND_US)


def session(name: str, number: int) -> Session:
    return Session(name, number, number)


def expected_owner(shard: int, sessions: list[Session]) -> int:
    """Computes the placement without numpy: the highest product wins, ties go to the lower name."""
    key = key_hash(shard_key("east", shard))
    ranked = sorted(sessions, key=lambda s: (-((key * node_hash(s.name)) & MASK), s.name))
    return ranked[0].number if ranked else -1


# ---------------------------------------------------------------------- placement


def test_every_shard_is_placed_by_the_highest_product_with_ties_to_the_lower_name() -> None:
    sessions = [session(f"n{n}", n) for n in range(1, 12)]
    placement = Placement("east", 300)
    placement.place_all(5, sessions)
    assert placement.owner.tolist() == [expected_owner(shard, sessions) for shard in range(300)]
    assert set(placement.required_generation.tolist()) == {5}


NAMES = st.lists(st.integers(0, 30), unique=True, max_size=8)


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(NAMES, NAMES), max_size=6), st.integers(1, 40))
def test_a_change_moves_only_the_necessary_shards_and_marks_those_that_wait(
    steps: list[tuple[list[int], list[int]]], shards: int
) -> None:
    placement = Placement("east", shards)
    placement.place_all(1, [])
    present: dict[str, Session] = {}
    numbers = itertools.count(100)
    for generation, (joins, leaves) in enumerate(steps, start=2):
        left = [present.pop(f"n{n}").number for n in leaves if f"n{n}" in present]
        joined = [Session(f"n{n}", next(numbers), 1) for n in joins if f"n{n}" not in present]
        present |= {s.name: s for s in joined}
        owners_before, required_before = placement.owner.tolist(), placement.required_generation.tolist()
        moved = set(placement.apply_change(GenerationChange(generation, joined, left)).tolist())
        for shard in range(shards):
            owner = int(placement.owner[shard])
            assert owner == expected_owner(shard, list(present.values()))
            if owner == owners_before[shard]:
                assert placement.required_generation[shard] == required_before[shard]
                continue
            assert shard in moved
            # A shard that a living session loses waits until the generation is settled; a shard of an ended
            # session does not.
            was_living = owners_before[shard] != -1 and owners_before[shard] not in left
            assert placement.required_generation[shard] == (
                generation if was_living else required_before[shard]
            )
            assert not was_living or owner in {s.number for s in joined}


def test_all_shards_are_placed_again_after_all_sessions_left() -> None:
    placement = Placement("east", 20)
    placement.place_all(1, [session("a", 1)])
    placement.apply_change(GenerationChange(2, [], [1]))
    assert set(placement.owner.tolist()) == {-1}
    placement.apply_change(GenerationChange(3, [session("b", 2)], []))
    assert set(placement.owner.tolist()) == {2}
    # The session of `a` had ended, so its shards need not wait.
    assert set(placement.required_generation.tolist()) == {1}


# ---------------------------------------------------------------------- the voters' table


def table_state(term: int, generation: int, sessions: list[Session] | None = None) -> TableState:
    return TableState(term, generation, sessions or [], [])


def test_a_voter_rejects_terms_below_its_promise_and_writes_for_another_process() -> None:
    acceptor = TableAcceptor("east", 7)
    assert acceptor.promise(ReadTable("east", 0, 3, 1)) == TableRead("east", 3, 1, 7, False, None)
    lower = acceptor.accept(WriteTable("east", 0, 1, 7, table_state(2, 9)))
    assert lower == TableRejected("east", 2, 1, 7, 3)
    other = acceptor.accept(WriteTable("east", 0, 1, 6, table_state(3, 9)))
    assert other == TableRejected("east", 3, 1, 7, 0)
    assert acceptor.state is None and not acceptor.has_memory
    assert isinstance(acceptor.accept(WriteTable("east", 0, 1, 7, table_state(3, 9))), TableWritten)
    assert acceptor.has_memory
    acceptor.accept(WriteTable("east", 0, 1, 7, table_state(3, 8)))  # a late write with an older generation
    assert acceptor.state is not None and acceptor.state.generation == 9
    assert isinstance(acceptor.promise(ReadTable("east", 0, 2, 1)), TableRejected)


class Region:
    """The acceptors of three voters. Tests create writers and deliver their messages explicitly."""

    def __init__(self) -> None:
        self.process_numbers = dict.fromkeys(VOTERS, 1)
        self.acceptors = {name: TableAcceptor("east", 1) for name in VOTERS}
        self.reachable = set(VOTERS)
        self.initial_term = 1000

    def restart(self, name: str) -> None:
        self.process_numbers[name] += 1
        self.acceptors[name] = TableAcceptor("east", self.process_numbers[name])

    def process_number_of(self, name: str) -> int | None:
        return self.process_numbers[name] if name in self.reachable else None

    def writer(self, term: int, now_us: int) -> TableWriter:
        voters = Voters(LeadershipSettings(enabled=True, voters=VOTERS))
        return TableWriter(
            "east", 0, term, voters, self.process_number_of, lambda: self.initial_term, LEASE_US, now_us
        )

    def deliver(self, writer: TableWriter, now_us: int) -> None:
        for name, body in writer.tick(now_us):
            if name in self.reachable:
                acceptor = self.acceptors[name]
                if isinstance(body, ReadTable):
                    writer.receive(now_us, name, acceptor.promise(body))
                elif isinstance(body, WriteTable):
                    writer.receive(now_us, name, acceptor.accept(body))

    def create_ready_writer(self, term: int, now_us: int) -> TableWriter:
        writer = self.writer(term, now_us)
        for step in range(4):
            self.deliver(writer, now_us + step * 200_000)
        return writer

    def create_writer_of_new_table(self) -> TableWriter:
        writer = self.create_ready_writer(1, 0)
        assert writer.state is None  # no voter has memory: the leases of nodes must end first
        for step in range(4):
            self.deliver(writer, LEASE_US + step * SECOND_US)
        assert writer.state is not None and writer.is_new_table
        return writer


def test_a_new_table_is_created_only_after_the_leases_of_all_nodes_have_ended() -> None:
    region = Region()
    writer = region.create_writer_of_new_table()
    assert writer.state == TableState(1, 1001, [], [])


def test_the_next_writer_continues_from_the_table_that_a_majority_stores() -> None:
    region = Region()
    first = region.create_writer_of_new_table()
    assert first.state is not None
    region.reachable = {"c1", "c2"}
    first.write(next_state(first.state, 1, [session("a", 1)], []))
    region.deliver(first, 20 * SECOND_US)
    assert first.state.generation == 1002
    for gone in VOTERS:
        region.reachable = set(VOTERS) - {gone}
        second = region.create_ready_writer(2, 30 * SECOND_US)
        assert second.state is not None
        assert (second.state.generation, second.state.sessions) == (1002, [session("a", 1)])


def test_a_table_that_no_majority_stores_is_not_published() -> None:
    region = Region()
    first = region.create_writer_of_new_table()
    assert first.state is not None
    region.reachable = {"c1"}
    first.write(next_state(first.state, 1, [session("a", 1)], []))
    region.deliver(first, 20 * SECOND_US)
    assert first.state.generation == 1001 and not first.is_idle


def test_a_restarted_voter_counts_only_after_a_write_to_its_new_process() -> None:
    region = Region()
    first = region.create_writer_of_new_table()
    assert first.state is not None
    region.reachable = {"c1", "c2"}
    first.write(next_state(first.state, 1, [session("a", 1)], []))
    late = next(body for name, body in first.tick(20 * SECOND_US) if name == "c1")
    region.deliver(first, 21 * SECOND_US)
    assert first.state.generation == 1002
    region.restart("c1")  # c1 had stored the change, as c2 has; c3 never received it
    assert isinstance(late, WriteTable)
    assert isinstance(region.acceptors["c1"].accept(late), TableRejected)  # it is for the former process
    region.reachable = {"c1", "c3"}
    second = region.create_ready_writer(2, 30 * SECOND_US)
    assert second.state is None  # c1 has no memory, and c3 alone is not a majority
    region.reachable = {"c2", "c3"}
    region.deliver(second, 31 * SECOND_US)
    region.deliver(second, 32 * SECOND_US)
    assert second.state is not None and second.state.generation == 1002
    # After a write to its new process, c1 counts.
    region.reachable = set(VOTERS)
    region.deliver(second, 40 * SECOND_US)
    region.reachable = {"c1", "c3"}
    third = region.create_ready_writer(3, 50 * SECOND_US)
    assert third.state is not None and third.state.generation == 1002


def test_a_new_table_is_above_every_observed_generation() -> None:
    region = Region()
    region.create_writer_of_new_table()
    for name in VOTERS:
        region.restart(name)
    region.initial_term = 5  # the wall clock was set back
    second = region.writer(2, 30 * SECOND_US)
    second.observe_generation(4321)
    for step in range(4):
        region.deliver(second, 30 * SECOND_US + LEASE_US + step * SECOND_US)
    assert second.state is not None and second.state.generation == 4322


# ---------------------------------------------------------------------- the assigner


class AssignerHarness:
    """An assigner whose voters always answer, and nodes that send heartbeats to it."""

    def __init__(self) -> None:
        self.region = Region()
        self.now_us = 0
        self.writer = self.region.create_writer_of_new_table()
        self.now_us = 20 * SECOND_US
        self.assigner = Assigner("east", SETTINGS, self.writer, self.now_us)
        self.run_ticks()

    def run_ticks(self) -> list[tuple[str, SessionRenewed]]:
        notices: list[tuple[str, SessionRenewed]] = []
        for _ in range(4):
            for name, body in self.assigner.tick(self.now_us):
                if isinstance(body, WriteTable):
                    self.writer.receive(self.now_us, name, self.region.acceptors[name].accept(body))
                elif isinstance(body, SessionRenewed):
                    notices.append((name, body))
        return notices

    def renew(self, name: str, number: int, applied: int = 0, nonce: int = 1, **flags: bool) -> object:
        heartbeat = RenewSession("east", 0, 1, number, nonce, applied, **flags)
        return self.assigner.answer_heartbeat(self.now_us, name, heartbeat)

    def advance_s(self, seconds: float) -> list[tuple[str, SessionRenewed]]:
        self.now_us += int(seconds * SECOND_US)
        return self.run_ticks()

    def join(self, *names: str) -> list[int]:
        for name in names:
            assert isinstance(self.renew(name, 0), SessionRenewed)
        self.advance_s(SETTINGS.gather_s)
        self.advance_s(0.5)
        numbers = {s.name: s.number for s in self.assigner.sessions}
        return [numbers[name] for name in names]


def test_newcomers_are_added_together_and_receive_the_complete_table_in_pages() -> None:
    harness = AssignerHarness()
    names = [f"n{n:03}" for n in range(MAX_CHANGED_SESSIONS + 3)]
    numbers = harness.join(*names)
    assert len(set(numbers)) == len(names)
    assert harness.assigner.generation == 1001 + 2  # more newcomers than one generation can add
    first = harness.renew(names[0], 0)
    assert isinstance(first, SessionRenewed) and first.session_number == numbers[0] and first.has_more
    heartbeat = RenewSession("east", 0, 2, numbers[0], 1, 0, first.page_generation, len(first.sessions))
    second = harness.assigner.answer_heartbeat(harness.now_us, names[0], heartbeat)
    assert isinstance(second, SessionRenewed) and not second.has_more
    assert [s.name for s in (*first.sessions, *second.sessions)] == names


def test_a_session_without_contact_for_a_lease_is_ended_and_others_are_notified() -> None:
    harness = AssignerHarness()
    first, second = harness.join("a", "b")
    generation = harness.assigner.generation
    harness.advance_s(SETTINGS.lease_s - 0.1)
    assert isinstance(harness.renew("a", first, generation), SessionRenewed)
    notices = harness.advance_s(0.3)
    assert [(name, body.changes[0].left) for name, body in notices] == [("a", [second])]
    assert harness.renew("b", second) == RenewalRejected("east", 1, "over")


def test_a_new_assigner_counts_the_leases_of_all_sessions_from_its_own_start() -> None:
    harness = AssignerHarness()
    harness.join("a")
    harness.advance_s(SETTINGS.lease_s - 1.0)
    second = harness.region.create_ready_writer(2, harness.now_us)
    harness.assigner = Assigner("east", SETTINGS, second, harness.now_us)
    harness.writer = second
    harness.run_ticks()
    harness.advance_s(SETTINGS.lease_s - 0.1)
    assert [s.name for s in harness.assigner.sessions] == ["a"]
    harness.advance_s(0.2)
    assert harness.assigner.sessions == []


def test_a_node_gets_another_session_only_after_its_former_one_has_ended() -> None:
    harness = AssignerHarness()
    (former_number,) = harness.join("a")
    answer = harness.renew("a", 0, nonce=2)  # the process was restarted
    assert isinstance(answer, SessionRenewed) and not answer.session_number
    harness.advance_s(1.0)
    assert [s.number for s in harness.assigner.sessions] == [former_number]
    for _ in range(6):
        harness.advance_s(1.0)
        harness.renew("a", 0, nonce=2)
    harness.advance_s(1.0)
    assert [(s.name, s.nonce) for s in harness.assigner.sessions] == [("a", 2)]


def test_the_settled_generation_is_applied_by_all_sessions() -> None:
    harness = AssignerHarness()
    first, second = harness.join("a", "b")
    generation = harness.assigner.generation
    answer = harness.renew("a", first, generation)
    assert isinstance(answer, SessionRenewed) and answer.settled_generation < generation
    answer = harness.renew("b", second, generation)
    assert isinstance(answer, SessionRenewed) and answer.settled_generation == generation


def test_planned_stops_are_permitted_one_after_another() -> None:
    harness = AssignerHarness()
    first_number, second_number = harness.join("a", "b")
    generation = harness.assigner.generation
    for name, number in (("a", first_number), ("b", second_number)):
        harness.renew(name, number, generation)
    first_answer = harness.renew("a", first_number, generation, is_leaving=True)
    second_answer = harness.renew("b", second_number, generation, is_leaving=True)
    assert isinstance(first_answer, SessionRenewed) and first_answer.may_hand_over
    assert isinstance(second_answer, SessionRenewed) and not second_answer.may_hand_over
    assert isinstance(harness.renew("a", first_number, generation, is_released=True), RenewalRejected)
    notices = harness.advance_s(0.01)
    assert [body.changes[0].left for _, body in notices] == [[first_number]]
    second_answer = harness.renew("b", second_number, generation + 1, is_leaving=True)
    assert isinstance(second_answer, SessionRenewed) and second_answer.may_hand_over


# ---------------------------------------------------------------------- a node's session


def new_node_session() -> NodeSession:
    return NodeSession(REGION, SETTINGS, 1, 0)


def complete_table(number: int, own: Session, others: list[Session], settled: int) -> SessionRenewed:
    sessions = [own, *others]
    return SessionRenewed("east", number, own.number, 50, settled, [], 50, 0, False, sessions)


def begin_session(settled: int = 50) -> tuple[NodeSession, Session]:
    """A node with a session since 1 s, in a generation with one other session."""
    node_session = new_node_session()
    heartbeat = node_session.tick(SECOND_US)
    assert heartbeat is not None and not heartbeat.session_number
    own = Session("a", 12, heartbeat.nonce)
    node_session.on_renewed(
        SECOND_US + 1000, complete_table(heartbeat.sequence, own, [session("b", 13)], settled)
    )
    return node_session, own


def test_a_node_uses_its_shards_for_less_than_a_lease_from_when_it_sent_its_heartbeat() -> None:
    node_session, own = begin_session()
    own_shards = [s for s in range(60) if expected_owner(s, [own, session("b", 13)]) == 12]
    assert node_session.usable_shards(2 * SECOND_US) == set(own_shards) and node_session.issue_token(
        own_shards[0], 2 * SECOND_US
    ) == FencingToken(50, 12)
    assert node_session.usable_shards(SECOND_US + int(0.979 * LEASE_US)) == set(own_shards)
    assert not node_session.usable_shards(SECOND_US + int(0.981 * LEASE_US))
    assert node_session.issue_token(own_shards[0], SECOND_US + int(0.981 * LEASE_US)) is None


def test_a_node_whose_session_lapsed_requests_another_and_accepts_no_late_answer() -> None:
    node_session, own = begin_session()
    late = node_session.tick(3 * SECOND_US)
    assert late is not None and late.session_number == 12
    new_request = node_session.tick(SECOND_US + LEASE_US)
    assert new_request is not None and not new_request.session_number and new_request.nonce != own.nonce
    answer = SessionRenewed("east", late.sequence, 12, 50, 50, [])
    node_session.on_renewed(SECOND_US + LEASE_US + 1, answer)
    assert not node_session.session_number and not node_session.usable_shards(SECOND_US + LEASE_US + 1)


def test_nothing_is_used_before_it_is_settled() -> None:
    node_session, _ = begin_session(settled=49)
    assert node_session.placed_shards() and not node_session.usable_shards(2 * SECOND_US)
    node_session.on_renewed(2 * SECOND_US, SessionRenewed("east", 0, 0, 50, 50, []))
    assert node_session.usable_shards(2 * SECOND_US) == set(node_session.placed_shards())


def test_shards_of_living_sessions_are_taken_over_once_settled_and_those_of_ended_sessions_at_once() -> None:
    node_session, own = begin_session()
    before = node_session.usable_shards(2 * SECOND_US)
    third = session("c", 14)
    node_session.on_renewed(
        2 * SECOND_US, SessionRenewed("east", 0, 0, 51, 50, [GenerationChange(51, [third], [])])
    )
    remaining = {s for s in range(60) if expected_owner(s, [own, session("b", 13), third]) == 12}
    assert node_session.usable_shards(2 * SECOND_US) == remaining < before
    node_session.on_renewed(
        2 * SECOND_US, SessionRenewed("east", 0, 0, 52, 50, [GenerationChange(52, [], [13])])
    )
    inherited = {s for s in range(60) if expected_owner(s, [own, third]) == 12}
    assert node_session.usable_shards(2 * SECOND_US) == inherited > remaining
    node_session.on_renewed(
        2 * SECOND_US, SessionRenewed("east", 0, 0, 53, 50, [GenerationChange(53, [], [14])])
    )
    # The shards that the joiner had briefly were those of `a` or `b` before: they wait until `a` is known to
    # apply 51.
    assert node_session.usable_shards(2 * SECOND_US) < set(range(60))
    node_session.on_renewed(2 * SECOND_US, SessionRenewed("east", 0, 0, 53, 51, []))
    assert node_session.usable_shards(2 * SECOND_US) == set(range(60))


def test_a_missed_change_is_requested() -> None:
    node_session, _ = begin_session()
    node_session.on_renewed(
        2 * SECOND_US, SessionRenewed("east", 0, 0, 52, 50, [GenerationChange(52, [], [13])])
    )
    assert node_session.generation == 50
    heartbeat = node_session.tick(4 * SECOND_US)
    assert heartbeat is not None and heartbeat.applied_generation == 50
    changes = [GenerationChange(51, [session("c", 14)], []), GenerationChange(52, [], [13])]
    node_session.on_renewed(4 * SECOND_US, SessionRenewed("east", heartbeat.sequence, 12, 52, 50, changes))
    assert node_session.generation == 52


def test_a_newcomer_sends_a_heartbeat_soon_after_it_was_added() -> None:
    node_session = new_node_session()
    heartbeat = node_session.tick(SECOND_US)
    assert heartbeat is not None
    node_session.on_renewed(SECOND_US + 1, SessionRenewed("east", heartbeat.sequence, 0, 50, 50, []))
    due_us = node_session.due_us(SECOND_US + 1)
    other = GenerationChange(51, [Session("b", 13, heartbeat.nonce + 1)], [])
    node_session.on_renewed(SECOND_US + 2, SessionRenewed("east", 0, 0, 51, 50, [other]))
    assert node_session.due_us(SECOND_US + 2) == due_us
    own = GenerationChange(52, [Session("a", 14, heartbeat.nonce)], [])
    node_session.on_renewed(SECOND_US + 3, SessionRenewed("east", 0, 0, 52, 50, [own]))
    assert node_session.due_us(SECOND_US + 3) < 2 * SECOND_US < due_us and not node_session.session_number


def test_a_rejected_session_is_ended_at_once() -> None:
    node_session, _ = begin_session()
    heartbeat = node_session.tick(4 * SECOND_US)
    assert heartbeat is not None
    node_session.on_rejected(4 * SECOND_US, RenewalRejected("east", heartbeat.sequence, "over"))
    assert not node_session.usable_shards(4 * SECOND_US) and not node_session.session_number


def test_a_planned_stop_hands_over_when_permitted_and_can_be_cancelled() -> None:
    node_session, own = begin_session()
    node_session.set_leaving(2 * SECOND_US, True)
    heartbeat = node_session.tick(2 * SECOND_US)
    assert heartbeat is not None and heartbeat.is_leaving and node_session.usable_shards(2 * SECOND_US)
    node_session.on_renewed(
        2 * SECOND_US, SessionRenewed("east", heartbeat.sequence, 12, 50, 50, [], may_hand_over=True)
    )
    assert not node_session.usable_shards(2 * SECOND_US)
    release = node_session.tick(2 * SECOND_US)
    assert (
        release is not None
        and release.is_released
        and (release.session_number, release.nonce) == (12, own.nonce)
    )
    node_session.on_rejected(2 * SECOND_US, RenewalRejected("east", release.sequence, "over"))
    assert node_session.tick(5 * SECOND_US) is None  # sends no heartbeat while it is stopped
    node_session.set_leaving(6 * SECOND_US, False)
    heartbeat = node_session.tick(6 * SECOND_US)
    assert heartbeat is not None and not heartbeat.session_number and not heartbeat.is_leaving


# ---------------------------------------------------------------------- receivers


@settings(max_examples=50, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 5), st.integers(0, 3)), max_size=40))
def test_no_token_is_accepted_below_an_accepted_one(acts: list[tuple[int, int, int]]) -> None:
    fence = TokenFence()
    highest: dict[int, FencingToken] = {}
    for shard, generation, number in acts:
        token = FencingToken(generation, number)
        assert fence.accept("east", shard, token) is (token >= highest.get(shard, token))
        highest[shard] = max(highest.get(shard, token), token)
        assert fence.highest_token("east", shard) == highest[shard]


def test_a_full_fence_removes_the_shards_whose_tokens_are_oldest() -> None:
    fence = TokenFence(capacity=2)
    for shard in (1, 2, 1, 3):
        assert fence.accept("east", shard, FencingToken(9, 1))
    assert fence.highest_token("east", 2) is None and fence.highest_token("east", 1) == FencingToken(9, 1)


# ---------------------------------------------------------------------- settings


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("regions = []", "shards.regions: is missing: at least one region is needed"),
        ('regions = [{ name = "e", shards = 4, voters = ["a", "b"] }]', "shards.regions[0].voters: names 2"),
        ('regions = [{ name = "e", shards = 0, voters = [] }]', "shards.regions[0].shards: "),
        (
            'regions = [{ name = "w", shards = 4, voters = ["a", "b", "c"] }]',
            "region: 'e' is not a configured region: expected one of w",
        ),
        (
            'lease_s = 5.0\nregions = [{ name = "e", shards = 4, voters = ["a", "b", "c"] }]',
            "shards.lease_s: is 5, expected at least 8.22:"
            " 6 s for a change of the assigner plus the time since the last heartbeat",
        ),
        (
            'regions = [{ name = "e", shards = 4, voters = ["a", "b", "c"] },'
            ' { name = "e", shards = 4, voters = ["a", "b", "c"] }]',
            "shards.regions[1].name: 'e' is the name of an earlier region",
        ),
        ("shards = 4", "shards: object contains unknown field `shards`"),
    ],
)
def test_each_fault_of_the_table_is_reported_in_one_line_with_its_key(tmp_path, text: str, line: str) -> None:  # type: ignore[no-untyped-def]
    from sailrun.errors import ConfigError
    from sailrun.operator_settings import read_operator

    path = tmp_path / "operator.toml"
    path.write_text(
        '[members]\nenabled = true\nname = "a"\nlisten = "127.0.0.1:1"\nregion = "e"\n'
        '[owners]\nenabled = true\nvoters = ["a", "b", "c"]\n[shards]\nenabled = true\n' + text + "\n"
    )
    with pytest.raises(ConfigError) as fault:
        read_operator(path)
    assert line in str(fault.value) and "\n" not in str(fault.value)


def test_sharding_is_disabled_by_default_and_its_package_is_not_loaded_with_the_operators_file() -> None:
    import subprocess
    import sys

    check = (
        "import sys, sailrun.operator_settings, sailrun.leadership.agent\n"
        "assert not sailrun.operator_settings.Operator().shards.enabled\n"
        "assert 'numpy' not in sys.modules and 'sailrun.sharding.agent' not in sys.modules"
    )
    subprocess.run([sys.executable, "-c", check], check=True, timeout=30)
