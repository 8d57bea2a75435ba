"""Leases, permits, rolling drains and the other parts of leadership as pure modules, case by case."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sailrun.errors import ConfigError
from sailrun.leadership.initial_term import new_initial_term
from sailrun.leadership.leases import Leases, best_placed
from sailrun.leadership.list_reader import SharedList
from sailrun.leadership.messages import (
    DrainRequest,
    DrainStatus,
    LeaseDenial,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    PermitRequest,
    PermitResponse,
    TermQuery,
    TermReport,
)
from sailrun.leadership.move_rate import RATE_GRANT_US, MoveRateCoordinator, MoveRateShare
from sailrun.leadership.permits import DRAIN, OUT_OF_SERVICE, PermitCoordinator, PermitHolder
from sailrun.leadership.quorum import Voters
from sailrun.leadership.rolling_drain import RollingDrains
from sailrun.leadership.settings import LeadershipSettings, ListReaderSettings, PermitSettings
from sailrun.leadership.voter import Voter, abstention_us
from sailrun.membership.messages import MemberRecord, MemberState, list_eligible_names
from sailrun.operator_settings import check_voter_change, read_operator
from sailrun.storage import entries

SECOND = 1_000_000
TERMS = LeadershipSettings(enabled=True, voters=("a", "b", "c"))
PERMITS = PermitSettings(enabled=True, drains=1, out=2, lease_s=4.0)


def voter(now_us: int = 0, remembers: bool = True) -> Voter:
    made = Voter("a", Voters(TERMS), TERMS, now_us, lambda: 1_000)
    made.remembers = remembers
    return made


def ask(term: int, number: int = 1, stage: int = TERMS.stage) -> LeaseRequest:
    return LeaseRequest("t", term, number, stage)


# ---------------------------------------------------------------------- voters


def test_a_voter_grants_one_holder_at_a_time_and_no_term_twice() -> None:
    one = voter()
    assert one.on_lease_request(0, "x", 1, ask(1)) == LeaseGrant("t", 1, 1)
    held = one.on_lease_request(SECOND, "y", 1, ask(2))
    assert isinstance(held, LeaseDenial) and (held.reason, held.holder, held.retry_after_us) == (
        "held",
        "x",
        SECOND,
    )
    assert isinstance(one.on_lease_request(2 * SECOND, "y", 1, ask(1)), LeaseDenial)
    assert isinstance(one.on_lease_request(2 * SECOND, "y", 1, ask(2)), LeaseGrant)
    late = one.on_lease_request(2 * SECOND, "x", 1, ask(1))
    assert isinstance(late, LeaseDenial) and late.term == 2


def test_another_life_under_the_holders_name_is_another_holder() -> None:
    one = voter()
    one.on_lease_request(0, "x", 1, ask(1))
    assert isinstance(one.on_lease_request(1, "x", 2, ask(1)), LeaseDenial)
    one.on_release("x", 2, LeaseRelease("t", 1))
    assert isinstance(one.on_lease_request(2, "y", 1, ask(2)), LeaseDenial)
    one.on_release("x", 1, LeaseRelease("t", 1))
    assert isinstance(one.on_lease_request(3, "y", 1, ask(2)), LeaseGrant)
    assert isinstance(
        one.on_lease_request(4, "x", 1, ask(1)), LeaseDenial
    )  # what was given up is not renewed


def test_a_voter_that_has_started_abstains_until_leases_ended_and_two_that_remember_reported_terms() -> None:
    one = voter(remembers=False)
    over_us = abstention_us(TERMS)
    one.on_term_report(1, "b", TermReport(1, True, {"t": 7}))
    denied = one.on_lease_request(over_us - 1, "x", 1, ask(9))
    assert isinstance(denied, LeaseDenial) and denied.reason == "abstains"
    one.turn(over_us)
    assert not one.remembers
    one.on_term_report(over_us, "c", TermReport(1, True, {"t": 5}))
    assert one.remembers and not one.began_new_terms and one.highest_term("t") == 7
    assert isinstance(one.on_lease_request(over_us, "x", 1, ask(7)), LeaseDenial)
    assert isinstance(one.on_lease_request(over_us, "x", 1, ask(8)), LeaseGrant)


def test_where_nobody_remembers_terms_begin_above_what_can_be_known() -> None:
    one = voter(remembers=False)
    over_us = abstention_us(TERMS)
    for name in ("b", "c"):
        one.on_term_report(over_us, name, TermReport(1, False, {"t": 2_000} if name == "b" else {}))
    assert one.remembers and one.began_new_terms
    assert one.highest_term("t") == 2_000 and one.highest_term("other") == 1_000
    assert one.report_terms(TermQuery(1)).terms == {"t": 2_000, "": 1_000}


def test_a_voter_alone_does_not_begin_new_terms() -> None:
    one = voter(remembers=False)
    one.turn(100 * SECOND)
    assert not one.remembers


def test_founding_terms_grow_with_the_clock_and_stay_in_53_bits() -> None:
    assert new_initial_term(1.8e9, 0xFFF) < new_initial_term(1.8e9 + 1, 0)
    assert new_initial_term(2_300_000_000, 0xFFF) < 2**53
    assert new_initial_term(-5.0, 0) == 0


def test_voters_are_exchanged_through_a_stage_in_which_both_are_asked() -> None:
    before = TERMS
    both = LeadershipSettings(enabled=True, voters=("a", "b", "d"), voters_before=("a", "b", "c"), revision=2)
    after = LeadershipSettings(enabled=True, voters=("a", "b", "d"), revision=2)
    assert (before.stage, both.stage, after.stage) == (2, 3, 4)
    assert not Voters(both).is_majority({"b", "d"}) and Voters(both).is_majority({"a", "b"})
    assert Voters(both).is_majority({"a", "c", "d"})
    for one, other, allowed in ((before, both, True), (both, after, True), (before, after, False)):
        assert Voters(one).accepts_stage(other.stage) is allowed
        assert (check_voter_change(one, other) is None) is allowed
    assert not Voters(both).accepts_stage(before.stage)
    other = LeadershipSettings(enabled=True, voters=("a", "b", "e"), revision=2)
    assert check_voter_change(both, other) is not None


# ---------------------------------------------------------------------- leases


def asking(now_us: int) -> tuple[Leases, int]:
    one = Leases("x", Voters(TERMS), TERMS, 1, now_us)
    posts = one.turn(now_us, {"t": ["x"]})
    assert [to for to, _ in posts] == ["a", "b", "c"]
    return one, posts[0][1].number  # type: ignore[union-attr]


def test_a_leader_counts_its_lease_from_its_request_and_less_than_its_voters() -> None:
    one, number = asking(SECOND)
    one.on_grant(2_500_000, "a", LeaseGrant("t", 1, number))
    assert not one.held_term("t", 2_500_000)
    one.on_grant(2_500_000, "b", LeaseGrant("t", 1, number))
    assert one.held_term("t", 2_500_000) == 1 and one.expiry_us("t") == 2_960_000
    assert not one.held_term("t", 2_960_000)


def test_grants_that_come_too_late_make_no_leader() -> None:
    one, number = asking(SECOND)
    for name in ("a", "b", "c"):
        one.on_grant(3 * SECOND, name, LeaseGrant("t", 1, number))
    assert not one.held_term("t", 3 * SECOND) and not one.changes


def test_tasks_are_placed_by_the_designs_score_and_stay_when_others_come() -> None:
    names = [f"n{n}" for n in range(40)]
    first = [best_placed(f"task{n}", names)[0] for n in range(200)]
    without = [best_placed(f"task{n}", names[1:])[0] for n in range(200)]
    assert all(a == b for a, b in zip(first, without, strict=True) if a != "n0")
    assert len(set(first)) > 25


# ---------------------------------------------------------------------- permits


def held(
    coordinator: PermitCoordinator, now_us: int, name: str, kind: str, subject: str, state: str = "want"
) -> PermitResponse:
    return coordinator.on_request(now_us, name, 1, PermitRequest(kind, subject, state))


def open_coordinator(now_us: int = 10 * SECOND) -> PermitCoordinator:
    return PermitCoordinator(PERMITS, 5, now_us - 5 * SECOND)


def test_permits_go_in_the_order_of_the_queue_and_no_more_than_allowed() -> None:
    coordinator, now_us = open_coordinator(), 10 * SECOND
    assert held(coordinator, now_us, "a", DRAIN, "a").is_granted
    second, third = (held(coordinator, now_us, n, DRAIN, n) for n in ("b", "c"))
    assert (second.is_granted, second.requests_ahead, third.requests_ahead) == (False, 0, 1)
    assert "1 of 1 in use: a" in second.reason
    held(coordinator, now_us, "a", DRAIN, "a", "back")
    assert not held(coordinator, now_us, "c", DRAIN, "c").is_granted
    assert held(coordinator, now_us, "b", DRAIN, "b").is_granted


def test_the_same_form_server_out_at_several_nodes_is_one_permit() -> None:
    coordinator, now_us = open_coordinator(), 10 * SECOND
    assert all(held(coordinator, now_us, name, OUT_OF_SERVICE, "s-1").is_granted for name in "abc")
    assert held(coordinator, now_us, "a", OUT_OF_SERVICE, "s-2").is_granted
    assert not held(coordinator, now_us, "a", OUT_OF_SERVICE, "s-3").is_granted
    for name in "ab":
        held(coordinator, now_us, name, OUT_OF_SERVICE, "s-1", "back")
    assert not held(coordinator, now_us, "a", OUT_OF_SERVICE, "s-3").is_granted
    held(coordinator, now_us, "c", OUT_OF_SERVICE, "s-1", "back")
    assert held(coordinator, now_us, "a", OUT_OF_SERVICE, "s-3").is_granted


def test_a_dead_holders_permit_ends_and_the_next_one_has_it() -> None:
    coordinator, now_us = open_coordinator(), 10 * SECOND
    held(coordinator, now_us, "a", DRAIN, "a")
    assert not held(coordinator, now_us + 3 * SECOND, "b", DRAIN, "b").is_granted
    assert held(coordinator, now_us + 4 * SECOND, "b", DRAIN, "b").is_granted


def test_a_new_leader_observes_first_and_retains_the_queue_positions_of_the_one_before() -> None:
    coordinator = PermitCoordinator(PERMITS, 6, 0)
    assert held(coordinator, 1, "a", OUT_OF_SERVICE, "s-1", "held").is_granted
    assert not held(coordinator, 1, "b", OUT_OF_SERVICE, "s-2").is_granted
    waiting = coordinator.on_request(1, "c", 1, PermitRequest(OUT_OF_SERVICE, "s-3", "want", (5, 1)))
    assert not waiting.is_granted and waiting.queue_position == (5, 1)
    held(coordinator, coordinator.opens_us - 1, "a", OUT_OF_SERVICE, "s-1", "held")
    coordinator.on_request(
        coordinator.opens_us - 1, "c", 1, PermitRequest(OUT_OF_SERVICE, "s-3", "want", (5, 1))
    )
    held(coordinator, coordinator.opens_us - 1, "b", OUT_OF_SERVICE, "s-2")
    assert not held(
        coordinator, coordinator.opens_us, "b", OUT_OF_SERVICE, "s-2"
    ).is_granted  # s-3 has the earlier place
    assert coordinator.on_request(
        coordinator.opens_us, "c", 1, PermitRequest(OUT_OF_SERVICE, "s-3", "want", (5, 1))
    ).is_granted


class Permitting(RuleBasedStateMachine):
    """One leader at a time, replaced at will; holders whose requests and responses get lost or wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now_us = 100 * SECOND
        self.coordinator = PermitCoordinator(PERMITS, 1, 0)
        self.term = 1
        self.holders = {name: PermitHolder(PERMITS) for name in "abcd"}
        self.flying: list[tuple[str, int, PermitRequest]] = []

    @rule(name=st.sampled_from("abcd"), number=st.integers(1, 4))
    def want(self, name: str, number: int) -> None:
        self.holders[name].request(OUT_OF_SERVICE, f"s-{number}")

    @rule(name=st.sampled_from("abcd"), number=st.integers(1, 4))
    def give_back(self, name: str, number: int) -> None:
        self.holders[name].release(self.now_us, OUT_OF_SERVICE, f"s-{number}")

    @rule(part=st.integers(1, 60))
    def pass_time(self, part: int) -> None:
        self.now_us += part * SECOND // 20
        for name, holder in self.holders.items():
            self.flying += [(name, self.now_us, want) for want in holder.turn(self.now_us)]
        # The rest of the protocol: what is older than an answer may be is not taken any more.
        self.flying = [f for f in self.flying if self.now_us - f[1] <= SECOND]

    @precondition(lambda self: self.flying)
    @rule(data=st.data(), lost=st.booleans())
    def answer(self, data: Any, lost: bool) -> None:
        at = data.draw(st.integers(0, len(self.flying) - 1))
        name, sent_us, want = self.flying.pop(at)
        say = self.coordinator.on_request(self.now_us, name, 1, want)
        if not lost:
            self.holders[name].on_response(self.now_us, sent_us, want, say)

    @rule()
    def another_owner(self) -> None:
        self.term += 1
        # It rests until no answer of the one before is taken any more.
        self.now_us += SECOND + 1
        self.flying.clear()
        self.coordinator = PermitCoordinator(PERMITS, self.term, self.now_us)

    @invariant()
    def never_more_than_allowed(self) -> None:
        out = {
            subject
            for holder in self.holders.values()
            for kind, subject in holder.permits
            if holder.is_held(kind, subject, self.now_us)
        }
        assert len(out) <= PERMITS.out, out


TestPermitting = Permitting.TestCase
TestPermitting.settings = hypothesis_settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_a_rolling_drain_resumes_under_the_same_name_and_drains_no_node_twice() -> None:
    coordinator = open_coordinator(0)
    holders = {name: PermitHolder(PERMITS) for name in "abc"}
    drains = {name: RollingDrains(name, holder) for name, holder in holders.items()}
    drained: list[str] = []

    def play(now_us: int) -> None:
        for to, word in drains["a"].turn(now_us):
            drains["a"].on_status(now_us, to, drains[to].on_request(now_us, word))
        for name, holder in holders.items():
            for want in holder.turn(now_us):
                holder.on_response(now_us, now_us, want, coordinator.on_request(now_us, name, 1, want))
            for use in holder.changes:
                drains[name].on_permit_change(use)
            holder.changes.clear()
            if drains[name].core_drain_change:
                drained.append(name)
            drains[name].core_drain_change = None
            if drains[name].is_draining:
                drains[name].on_session_count(now_us, 0)

    drains["a"].begin(0, "w", ["c", "a", "b"], SECOND)
    for tenth in range(400):
        play(tenth * SECOND // 10)
    assert drains["a"].drains["w"].is_over and drained == ["c", "a", "b"]
    drains["a"].drains.clear()
    drains["a"].begin(40 * SECOND, "w", ["c", "a", "b"], SECOND)
    for tenth in range(400, 500):
        play(tenth * SECOND // 10)
    assert drained == ["c", "a", "b"] and drains["a"].drains["w"].is_over


def test_a_rolling_drain_keeps_its_older_names_on_the_wire_and_on_the_disk() -> None:
    """Nodes of other versions, folders and scripts know them."""
    messages = (DrainRequest("w", 5), DrainStatus("w", "queued", "why"))
    assert list(map(msgspec.to_builtins, messages)) == [["walk", "w", 5], ["walking", "w", "queued", "why"]]
    kept = (entries.DrainCompleted("w"), entries.DrainPlan("w", 5, ["a"]))
    assert list(map(msgspec.to_builtins, kept)) == [["walked", "w"], ["planned", "w", 5, ["a"]]]
    # What `sailrun lasting export` calls them.
    assert [entry.__struct_encode_fields__ for entry in kept] == [("walk",), ("walk", "for_us", "names")]


# ---------------------------------------------------------------------- the reader, the pace, the file


def test_an_older_list_is_never_accepted_and_a_silent_reader_has_a_node_read_the_registry() -> None:
    reader, node = (SharedList("r:1", ListReaderSettings(), 0) for _ in range(2))
    reader.on_registry_list(7, [{"id": "s-1"}])
    assert node.on_reply(0, reader.answer_query(["r:1", -1])) == [{"id": "s-1"}]
    assert node.on_reply(0, reader.answer_query(["r:1", 7])) is None and node.revision == 7
    assert not node.must_read_registry(2_900_000) and node.must_read_registry(3_000_000)
    stale = SharedList("r:1", ListReaderSettings(), 0)
    stale.on_registry_list(6, [])
    assert node.on_reply(4_000_000, stale.answer_query(["r:1", 5])) is None and node.lists_rejected == 1
    assert node.must_read_registry(4_000_000)  # a reader that is behind counts as silent
    assert stale.answer_query(["r:2", -1]) is None
    assert node.on_reply(4_000_000, ["r:2", 9, []]) is None and node.on_reply(0, "nothing") is None


def test_shares_of_the_move_rate_never_add_up_to_more_than_the_whole() -> None:
    coordinator, shares = MoveRateCoordinator(1, 0), {name: MoveRateShare() for name in "abc"}
    now_us = RATE_GRANT_US
    assert coordinator.grant_share(now_us, "a") == [0.0]
    seen = []
    for step in range(60):
        now_us += 100_000
        for n, (name, share) in enumerate(shares.items()):
            # Some join later, and some answers get lost.
            if step >= 10 * n and (step + n) % 4:
                answer = coordinator.grant_share(now_us, name)
                if (step + n) % 3:
                    share.on_grant(now_us, answer)
        seen.append(sum(share.current_share(now_us) for share in shares.values()))
    assert max(seen) <= 1.0 + 1e-9 and seen[-1] > 0.9
    assert all(share.current_share(now_us + RATE_GRANT_US) == 0 for share in shares.values())


GOOD = """
[members]
enabled = true
name = "n1"
listen = "127.0.0.1:9700"
[owners]
enabled = true
voters = ["n1", "n2", "n3"]
"""


@pytest.mark.parametrize(
    "text, key",
    [
        (GOOD.replace('name = "n1"\n', ""), "members.name: is missing"),
        (GOOD.replace("127.0.0.1:9700", "here"), "members.listen: 'here'"),
        (GOOD.replace(', "n3"', ""), "owners.voters: names 2 voters"),
        (GOOD.replace('"n3"', '"n2"'), "owners.voters: names a voter twice"),
        (GOOD + "lease_s = 1.5\n", "owners.lease_s: is 1.5, under twice order_s"),
        (GOOD + "revision = 0\n", "owners.revision: "),
        (GOOD + 'voters_before = ["n4", "n5", "n6"]\n', "owners.voters_before: differs"),
        (GOOD + "[permits]\nenabled = true\nlease_s = 1.0\n", "permits.lease_s: is 1, under the 6"),
        ("[permits]\nenabled = true\n", "permits.enabled: is true, but owners.enabled is not"),
        (GOOD + "[reader]\nask = 1\n", "reader: "),
    ],
)
def test_a_fault_in_the_file_is_one_line_that_names_the_key(tmp_path: Path, text: str, key: str) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    with pytest.raises(ConfigError) as told:
        read_operator(path)
    assert str(told.value).startswith(f"{path}: ") and key in str(told.value)
    assert "\n" not in str(told.value)


def test_a_valid_file_is_accepted(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(GOOD)
    assert [name for name, table in read_operator(path).tables() if table.enabled] == ["members", "owners"]


def test_fleet_tasks_go_to_control_members_where_there_are_any() -> None:
    records = [
        MemberRecord(n, 1, 1, MemberState.ALIVE, "", zone, "", role)
        for n, zone, role in (("a", "z0", ""), ("b", "z0", "control"), ("c", "z1", ""), ("d", "z1", "node"))
    ]
    assert list_eligible_names(records) == ["b"]
    assert list_eligible_names([r for r in records if r.zone == "z1"]) == ["c", "d"]
    assert list_eligible_names([]) == []
