"""Ownership of shards, part by part: placement, the voters' table, the assigner, and a node's session."""

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

SECOND = 1_000_000
VOTERS = ("c1", "c2", "c3")
REGION = RegionSettings(name="east", shards=60, voters=VOTERS)
TERMS = ShardingSettings(enabled=True, lease_s=6.0, gather_s=0.1, leaving=1, regions=(REGION,))
LEASE_US = int(TERMS.lease_s * SECOND)


def session(name: str, number: int) -> Session:
    return Session(name, number, number)


def best_of(shard: int, sessions: list[Session]) -> int:
    """The design's score, the long way: the highest product wins, ties go to the lower name."""
    key = key_hash(shard_key("east", shard))
    ranked = sorted(sessions, key=lambda s: (-((key * node_hash(s.name)) & MASK), s.name))
    return ranked[0].number if ranked else -1


# ---------------------------------------------------------------------- placement


def test_every_shard_is_placed_by_the_highest_product_with_ties_to_the_lower_name() -> None:
    sessions = [session(f"n{n}", n) for n in range(1, 12)]
    placement = Placement("east", 300)
    placement.place_all(5, sessions)
    assert placement.owner.tolist() == [best_of(shard, sessions) for shard in range(300)]
    assert set(placement.required_generation.tolist()) == {5}


NAMES = st.lists(st.integers(0, 30), unique=True, max_size=8)


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(NAMES, NAMES), max_size=6), st.integers(1, 40))
def test_a_change_moves_only_what_it_has_to_and_marks_what_waits(
    steps: list[tuple[list[int], list[int]]], shards: int
) -> None:
    placement = Placement("east", shards)
    placement.place_all(1, [])
    there: dict[str, Session] = {}
    numbers = itertools.count(100)
    for generation, (joins, leaves) in enumerate(steps, start=2):
        left = [there.pop(f"n{n}").number for n in leaves if f"n{n}" in there]
        joined = [Session(f"n{n}", next(numbers), 1) for n in joins if f"n{n}" not in there]
        there |= {s.name: s for s in joined}
        before, waited = placement.owner.tolist(), placement.required_generation.tolist()
        moved = set(placement.apply_change(GenerationChange(generation, joined, left)).tolist())
        for shard in range(shards):
            now = int(placement.owner[shard])
            assert now == best_of(shard, list(there.values()))
            if now == before[shard]:
                assert placement.required_generation[shard] == waited[shard]
                continue
            assert shard in moved
            # What a living session loses waits for it; what an ended one had does not.
            living = before[shard] != -1 and before[shard] not in left
            assert placement.required_generation[shard] == (generation if living else waited[shard])
            assert not living or now in {s.number for s in joined}


def test_a_complete_region_is_placed_again_after_all_sessions_left() -> None:
    placement = Placement("east", 20)
    placement.place_all(1, [session("a", 1)])
    placement.apply_change(GenerationChange(2, [], [1]))
    assert set(placement.owner.tolist()) == {-1}
    placement.apply_change(GenerationChange(3, [session("b", 2)], []))
    assert set(placement.owner.tolist()) == {2}
    assert set(placement.required_generation.tolist()) == {1}  # `a` had ended: nothing more to wait for


# ---------------------------------------------------------------------- the voters' table


def written(term: int, generation: int, sessions: list[Session] | None = None) -> TableState:
    return TableState(term, generation, sessions or [], [])


def test_a_voter_accepts_nothing_below_its_promise_and_nothing_for_another_process() -> None:
    acceptor = TableAcceptor("east", 7)
    assert acceptor.promise(ReadTable("east", 0, 3, 1)) == TableRead("east", 3, 1, 7, False, None)
    lower = acceptor.accept(WriteTable("east", 0, 1, 7, written(2, 9)))
    assert lower == TableRejected("east", 2, 1, 7, 3)
    other = acceptor.accept(WriteTable("east", 0, 1, 6, written(3, 9)))
    assert other == TableRejected("east", 3, 1, 7, 0)
    assert acceptor.state is None and not acceptor.has_memory
    assert isinstance(acceptor.accept(WriteTable("east", 0, 1, 7, written(3, 9))), TableWritten)
    assert acceptor.has_memory
    acceptor.accept(WriteTable("east", 0, 1, 7, written(3, 8)))  # late
    assert acceptor.state is not None and acceptor.state.generation == 9
    assert isinstance(acceptor.promise(ReadTable("east", 0, 2, 1)), TableRejected)


class Region:
    """Three voters' acceptors and a writer, with messages carried by hand."""

    def __init__(self) -> None:
        self.lives = dict.fromkeys(VOTERS, 1)
        self.acceptors = {name: TableAcceptor("east", 1) for name in VOTERS}
        self.reached = set(VOTERS)
        self.founded_with = 1000

    def restart(self, name: str) -> None:
        self.lives[name] += 1
        self.acceptors[name] = TableAcceptor("east", self.lives[name])

    def life_of(self, name: str) -> int | None:
        return self.lives[name] if name in self.reached else None

    def writer(self, term: int, now_us: int) -> TableWriter:
        voters = Voters(LeadershipSettings(enabled=True, voters=VOTERS))
        return TableWriter("east", 0, term, voters, self.life_of, lambda: self.founded_with, LEASE_US, now_us)

    def carry(self, writer: TableWriter, now_us: int) -> None:
        for name, body in writer.tick(now_us):
            if name in self.reached:
                acceptor = self.acceptors[name]
                if isinstance(body, ReadTable):
                    writer.receive(now_us, name, acceptor.promise(body))
                elif isinstance(body, WriteTable):
                    writer.receive(now_us, name, acceptor.accept(body))

    def ready(self, term: int, now_us: int) -> TableWriter:
        writer = self.writer(term, now_us)
        for step in range(4):
            self.carry(writer, now_us + step * 200_000)
        return writer

    def founded(self) -> TableWriter:
        writer = self.ready(1, 0)
        assert writer.state is None  # nobody remembers: the leases of nodes have to end first
        for step in range(4):
            self.carry(writer, LEASE_US + step * SECOND)
        assert writer.state is not None and writer.is_new_table
        return writer


def test_a_new_table_is_begun_only_once_the_leases_of_all_nodes_have_ended() -> None:
    region = Region()
    writer = region.founded()
    assert writer.state == TableState(1, 1001, [], [])


def test_the_next_writer_continues_from_the_table_that_a_majority_stores() -> None:
    region = Region()
    first = region.founded()
    assert first.state is not None
    region.reached = {"c1", "c2"}
    first.write(next_state(first.state, 1, [session("a", 1)], []))
    region.carry(first, 20 * SECOND)
    assert first.state.generation == 1002
    for gone in VOTERS:
        region.reached = set(VOTERS) - {gone}
        second = region.ready(2, 30 * SECOND)
        assert second.state is not None
        assert (second.state.generation, second.state.sessions) == (1002, [session("a", 1)])


def test_a_table_that_no_majority_stores_is_not_published() -> None:
    region = Region()
    first = region.founded()
    assert first.state is not None
    region.reached = {"c1"}
    first.write(next_state(first.state, 1, [session("a", 1)], []))
    region.carry(first, 20 * SECOND)
    assert first.state.generation == 1001 and not first.is_idle


def test_a_restarted_voter_counts_only_once_its_new_process_was_written_to() -> None:
    region = Region()
    first = region.founded()
    assert first.state is not None
    region.reached = {"c1", "c2"}
    first.write(next_state(first.state, 1, [session("a", 1)], []))
    late = next(body for name, body in first.tick(20 * SECOND) if name == "c1")
    region.carry(first, 21 * SECOND)
    assert first.state.generation == 1002
    region.restart("c1")  # it held the change, as c2 does; c3 never heard of it
    assert isinstance(late, WriteTable)
    assert isinstance(region.acceptors["c1"].accept(late), TableRejected)  # for its former life
    region.reached = {"c1", "c3"}
    second = region.ready(2, 30 * SECOND)
    assert second.state is None  # c1 does not remember, and c3 alone is no majority
    region.reached = {"c2", "c3"}
    region.carry(second, 31 * SECOND)
    region.carry(second, 32 * SECOND)
    assert second.state is not None and second.state.generation == 1002
    # Told again in this life, c1 counts.
    region.reached = set(VOTERS)
    region.carry(second, 40 * SECOND)
    region.reached = {"c1", "c3"}
    third = region.ready(3, 50 * SECOND)
    assert third.state is not None and third.state.generation == 1002


def test_a_new_table_is_above_every_observed_generation() -> None:
    region = Region()
    region.founded()
    for name in VOTERS:
        region.restart(name)
    region.founded_with = 5  # the wall clock was set back
    second = region.writer(2, 30 * SECOND)
    second.observe_generation(4321)
    for step in range(4):
        region.carry(second, 30 * SECOND + LEASE_US + step * SECOND)
    assert second.state is not None and second.state.generation == 4322


# ---------------------------------------------------------------------- the assigner


class Assigned:
    """An assigner whose voters always answer, and nodes that talk to it."""

    def __init__(self) -> None:
        self.region = Region()
        self.now_us = 0
        self.writer = self.region.founded()
        self.now_us = 20 * SECOND
        self.assigner = Assigner("east", TERMS, self.writer, self.now_us)
        self.work()

    def work(self) -> list[tuple[str, SessionRenewed]]:
        told: list[tuple[str, SessionRenewed]] = []
        for _ in range(4):
            for name, body in self.assigner.tick(self.now_us):
                if isinstance(body, WriteTable):
                    self.writer.receive(self.now_us, name, self.region.acceptors[name].accept(body))
                elif isinstance(body, SessionRenewed):
                    told.append((name, body))
        return told

    def renew(self, name: str, number: int, applied: int = 0, nonce: int = 1, **told: bool) -> object:
        asked = RenewSession("east", 0, 1, number, nonce, applied, **told)
        return self.assigner.answer_heartbeat(self.now_us, name, asked)

    def pass_s(self, seconds: float) -> list[tuple[str, SessionRenewed]]:
        self.now_us += int(seconds * SECOND)
        return self.work()

    def join(self, *names: str) -> list[int]:
        for name in names:
            assert isinstance(self.renew(name, 0), SessionRenewed)
        self.pass_s(TERMS.gather_s)
        self.pass_s(0.5)
        numbers = {s.name: s.number for s in self.assigner.sessions}
        return [numbers[name] for name in names]


def test_newcomers_are_added_together_and_receive_the_complete_table_in_pages() -> None:
    assigned = Assigned()
    names = [f"n{n:03}" for n in range(MAX_CHANGED_SESSIONS + 3)]
    numbers = assigned.join(*names)
    assert len(set(numbers)) == len(names)
    assert assigned.assigner.generation == 1001 + 2  # more than fit one generation
    first = assigned.renew(names[0], 0)
    assert isinstance(first, SessionRenewed) and first.session_number == numbers[0] and first.has_more
    asked = RenewSession("east", 0, 2, numbers[0], 1, 0, first.page_generation, len(first.sessions))
    second = assigned.assigner.answer_heartbeat(assigned.now_us, names[0], asked)
    assert isinstance(second, SessionRenewed) and not second.has_more
    assert [s.name for s in (*first.sessions, *second.sessions)] == names


def test_a_session_without_contact_for_a_lease_is_ended_and_others_are_notified() -> None:
    assigned = Assigned()
    one, other = assigned.join("a", "b")
    generation = assigned.assigner.generation
    assigned.pass_s(TERMS.lease_s - 0.1)
    assert isinstance(assigned.renew("a", one, generation), SessionRenewed)
    told = assigned.pass_s(0.3)
    assert [(name, body.changes[0].left) for name, body in told] == [("a", [other])]
    assert assigned.renew("b", other) == RenewalRejected("east", 1, "over")


def test_a_new_assigner_counts_every_session_from_its_own_beginning() -> None:
    assigned = Assigned()
    assigned.join("a")
    assigned.pass_s(TERMS.lease_s - 1.0)
    second = assigned.region.ready(2, assigned.now_us)
    assigned.assigner = Assigner("east", TERMS, second, assigned.now_us)
    assigned.writer = second
    assigned.work()
    assigned.pass_s(TERMS.lease_s - 0.1)
    assert [s.name for s in assigned.assigner.sessions] == ["a"]
    assigned.pass_s(0.2)
    assert assigned.assigner.sessions == []


def test_a_name_gets_another_session_only_once_its_former_one_has_ended() -> None:
    assigned = Assigned()
    (old,) = assigned.join("a")
    waits = assigned.renew("a", 0, nonce=2)  # the process was restarted
    assert isinstance(waits, SessionRenewed) and not waits.session_number
    assigned.pass_s(1.0)
    assert [s.number for s in assigned.assigner.sessions] == [old]
    for _ in range(6):
        assigned.pass_s(1.0)
        assigned.renew("a", 0, nonce=2)
    assigned.pass_s(1.0)
    assert [(s.name, s.nonce) for s in assigned.assigner.sessions] == [("a", 2)]


def test_the_settled_generation_is_applied_by_all_sessions() -> None:
    assigned = Assigned()
    one, other = assigned.join("a", "b")
    generation = assigned.assigner.generation
    answer = assigned.renew("a", one, generation)
    assert isinstance(answer, SessionRenewed) and answer.settled_generation < generation
    answer = assigned.renew("b", other, generation)
    assert isinstance(answer, SessionRenewed) and answer.settled_generation == generation


def test_planned_stops_are_permitted_one_after_another() -> None:
    assigned = Assigned()
    one, other = assigned.join("a", "b")
    generation = assigned.assigner.generation
    for name, number in (("a", one), ("b", other)):
        assigned.renew(name, number, generation)
    first = assigned.renew("a", one, generation, is_leaving=True)
    second = assigned.renew("b", other, generation, is_leaving=True)
    assert isinstance(first, SessionRenewed) and first.may_hand_over
    assert isinstance(second, SessionRenewed) and not second.may_hand_over
    assert isinstance(assigned.renew("a", one, generation, is_released=True), RenewalRejected)
    told = assigned.pass_s(0.01)
    assert [body.changes[0].left for _, body in told] == [[one]]
    second = assigned.renew("b", other, generation + 1, is_leaving=True)
    assert isinstance(second, SessionRenewed) and second.may_hand_over


# ---------------------------------------------------------------------- a node's session


def node() -> NodeSession:
    return NodeSession(REGION, TERMS, 1, 0)


def whole(number: int, own: Session, others: list[Session], settled: int) -> SessionRenewed:
    sessions = [own, *others]
    return SessionRenewed("east", number, own.number, 50, settled, [], 50, 0, False, sessions)


def begun(settled: int = 50) -> tuple[NodeSession, Session]:
    """A node with a session since 1 s, in a generation with one other."""
    made = node()
    asked = made.tick(SECOND)
    assert asked is not None and not asked.session_number
    own = Session("a", 12, asked.nonce)
    made.on_renewed(SECOND + 1000, whole(asked.sequence, own, [session("b", 13)], settled))
    return made, own


def test_a_node_uses_its_shards_for_less_than_a_lease_from_when_it_sent_its_heartbeat() -> None:
    made, own = begun()
    mine = [s for s in range(60) if best_of(s, [own, session("b", 13)]) == 12]
    assert made.usable_shards(2 * SECOND) == set(mine) and made.issue_token(
        mine[0], 2 * SECOND
    ) == FencingToken(50, 12)
    assert made.usable_shards(SECOND + int(0.979 * LEASE_US)) == set(mine)
    assert not made.usable_shards(SECOND + int(0.981 * LEASE_US))
    assert made.issue_token(mine[0], SECOND + int(0.981 * LEASE_US)) is None


def test_a_node_whose_session_lapsed_requests_another_and_accepts_no_late_answer() -> None:
    made, own = begun()
    late = made.tick(3 * SECOND)
    assert late is not None and late.session_number == 12
    again = made.tick(SECOND + LEASE_US)
    assert again is not None and not again.session_number and again.nonce != own.nonce
    answer = SessionRenewed("east", late.sequence, 12, 50, 50, [])
    made.on_renewed(SECOND + LEASE_US + 1, answer)
    assert not made.session_number and not made.usable_shards(SECOND + LEASE_US + 1)


def test_nothing_is_used_before_it_is_settled() -> None:
    made, _ = begun(settled=49)
    assert made.placed_shards() and not made.usable_shards(2 * SECOND)
    made.on_renewed(2 * SECOND, SessionRenewed("east", 0, 0, 50, 50, []))
    assert made.usable_shards(2 * SECOND) == set(made.placed_shards())


def test_a_joiner_takes_over_only_once_all_apply_its_generation_and_shards_of_ended_sessions_at_once() -> (
    None
):
    made, own = begun()
    before = made.usable_shards(2 * SECOND)
    third = session("c", 14)
    made.on_renewed(2 * SECOND, SessionRenewed("east", 0, 0, 51, 50, [GenerationChange(51, [third], [])]))
    kept = {s for s in range(60) if best_of(s, [own, session("b", 13), third]) == 12}
    assert made.usable_shards(2 * SECOND) == kept < before
    made.on_renewed(2 * SECOND, SessionRenewed("east", 0, 0, 52, 50, [GenerationChange(52, [], [13])]))
    heir = {s for s in range(60) if best_of(s, [own, third]) == 12}
    assert made.usable_shards(2 * SECOND) == heir > kept
    made.on_renewed(2 * SECOND, SessionRenewed("east", 0, 0, 53, 50, [GenerationChange(53, [], [14])]))
    # What the joiner had for a moment was `a`'s own, or `b`'s: it waits until `a` is known to go by 51.
    assert made.usable_shards(2 * SECOND) < set(range(60))
    made.on_renewed(2 * SECOND, SessionRenewed("east", 0, 0, 53, 51, []))
    assert made.usable_shards(2 * SECOND) == set(range(60))


def test_a_missed_change_is_requested() -> None:
    made, _ = begun()
    made.on_renewed(2 * SECOND, SessionRenewed("east", 0, 0, 52, 50, [GenerationChange(52, [], [13])]))
    assert made.generation == 50
    asked = made.tick(4 * SECOND)
    assert asked is not None and asked.applied_generation == 50
    changes = [GenerationChange(51, [session("c", 14)], []), GenerationChange(52, [], [13])]
    made.on_renewed(4 * SECOND, SessionRenewed("east", asked.sequence, 12, 52, 50, changes))
    assert made.generation == 52


def test_a_newcomer_sends_a_heartbeat_soon_after_it_was_added() -> None:
    made = node()
    asked = made.tick(SECOND)
    assert asked is not None
    made.on_renewed(SECOND + 1, SessionRenewed("east", asked.sequence, 0, 50, 50, []))
    due_us = made.due_us(SECOND + 1)
    other = GenerationChange(51, [Session("b", 13, asked.nonce + 1)], [])
    made.on_renewed(SECOND + 2, SessionRenewed("east", 0, 0, 51, 50, [other]))
    assert made.due_us(SECOND + 2) == due_us
    own = GenerationChange(52, [Session("a", 14, asked.nonce)], [])
    made.on_renewed(SECOND + 3, SessionRenewed("east", 0, 0, 52, 50, [own]))
    assert made.due_us(SECOND + 3) < 2 * SECOND < due_us and not made.session_number


def test_a_rejected_session_is_ended_at_once() -> None:
    made, _ = begun()
    asked = made.tick(4 * SECOND)
    assert asked is not None
    made.on_rejected(4 * SECOND, RenewalRejected("east", asked.sequence, "over"))
    assert not made.usable_shards(4 * SECOND) and not made.session_number


def test_a_planned_stop_hands_over_when_it_may_and_comes_back_when_taken_back() -> None:
    made, own = begun()
    made.set_leaving(2 * SECOND, True)
    asked = made.tick(2 * SECOND)
    assert asked is not None and asked.is_leaving and made.usable_shards(2 * SECOND)
    made.on_renewed(2 * SECOND, SessionRenewed("east", asked.sequence, 12, 50, 50, [], may_hand_over=True))
    assert not made.usable_shards(2 * SECOND)
    told = made.tick(2 * SECOND)
    assert told is not None and told.is_released and (told.session_number, told.nonce) == (12, own.nonce)
    made.on_rejected(2 * SECOND, RenewalRejected("east", told.sequence, "over"))
    assert made.tick(5 * SECOND) is None  # asks for nothing while it is stopped
    made.set_leaving(6 * SECOND, False)
    asked = made.tick(6 * SECOND)
    assert asked is not None and not asked.session_number and not asked.is_leaving


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


def test_a_fence_forgets_the_shards_whose_tokens_are_oldest() -> None:
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
def test_each_fault_of_the_table_is_one_line_with_its_key(tmp_path, text: str, line: str) -> None:  # type: ignore[no-untyped-def]
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


def test_the_table_is_off_by_default_and_its_package_is_not_loaded_with_the_operators_file() -> None:
    import subprocess
    import sys

    check = (
        "import sys, sailrun.operator_settings, sailrun.leadership.agent\n"
        "assert not sailrun.operator_settings.Operator().shards.enabled\n"
        "assert 'numpy' not in sys.modules and 'sailrun.sharding.agent' not in sys.modules"
    )
    subprocess.run([sys.executable, "-c", check], check=True, timeout=30)
