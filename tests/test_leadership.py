"""Tests leases, permits, rolling drains and the other modules of leadership that do no I/O."""

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
LEADERSHIP = LeadershipSettings(enabled=True, voters=("a", "b", "c"))
PERMITS = PermitSettings(enabled=True, drains=1, out=2, lease_s=4.0)


def new_voter(now_us: int = 0, remembers: bool = True) -> Voter:
    voter = Voter("a", Voters(LEADERSHIP), LEADERSHIP, now_us, lambda: 1_000)
    voter.remembers = remembers
    return voter


def lease_request(term: int, number: int = 1, stage: int = LEADERSHIP.stage) -> LeaseRequest:
    return LeaseRequest("t", term, number, stage)


# ---------------------------------------------------------------------- voters


def test_a_voter_grants_one_holder_at_a_time_and_no_term_twice() -> None:
    voter = new_voter()
    assert voter.on_lease_request(0, "x", 1, lease_request(1)) == LeaseGrant("t", 1, 1)
    denial = voter.on_lease_request(SECOND, "y", 1, lease_request(2))
    assert isinstance(denial, LeaseDenial) and (denial.reason, denial.holder, denial.retry_after_us) == (
        "held",
        "x",
        SECOND,
    )
    assert isinstance(voter.on_lease_request(2 * SECOND, "y", 1, lease_request(1)), LeaseDenial)
    assert isinstance(voter.on_lease_request(2 * SECOND, "y", 1, lease_request(2)), LeaseGrant)
    late_denial = voter.on_lease_request(2 * SECOND, "x", 1, lease_request(1))
    assert isinstance(late_denial, LeaseDenial) and late_denial.term == 2


def test_another_process_under_the_holders_name_is_another_holder() -> None:
    voter = new_voter()
    voter.on_lease_request(0, "x", 1, lease_request(1))
    assert isinstance(voter.on_lease_request(1, "x", 2, lease_request(1)), LeaseDenial)
    voter.on_release("x", 2, LeaseRelease("t", 1))
    assert isinstance(voter.on_lease_request(2, "y", 1, lease_request(2)), LeaseDenial)
    voter.on_release("x", 1, LeaseRelease("t", 1))
    assert isinstance(voter.on_lease_request(3, "y", 1, lease_request(2)), LeaseGrant)
    # A released lease is not renewed.
    assert isinstance(voter.on_lease_request(4, "x", 1, lease_request(1)), LeaseDenial)


def test_a_started_voter_abstains_until_leases_expired_and_two_voters_with_memory_reported_terms() -> None:
    voter = new_voter(remembers=False)
    abstention_end_us = abstention_us(LEADERSHIP)
    voter.on_term_report(1, "b", TermReport(1, True, {"t": 7}))
    denied = voter.on_lease_request(abstention_end_us - 1, "x", 1, lease_request(9))
    assert isinstance(denied, LeaseDenial) and denied.reason == "abstains"
    voter.tick(abstention_end_us)
    assert not voter.remembers
    voter.on_term_report(abstention_end_us, "c", TermReport(1, True, {"t": 5}))
    assert voter.remembers and not voter.began_new_terms and voter.highest_term("t") == 7
    assert isinstance(voter.on_lease_request(abstention_end_us, "x", 1, lease_request(7)), LeaseDenial)
    assert isinstance(voter.on_lease_request(abstention_end_us, "x", 1, lease_request(8)), LeaseGrant)


def test_if_no_voter_remembers_terms_start_above_all_known_terms() -> None:
    voter = new_voter(remembers=False)
    abstention_end_us = abstention_us(LEADERSHIP)
    for name in ("b", "c"):
        voter.on_term_report(
            abstention_end_us, name, TermReport(1, False, {"t": 2_000} if name == "b" else {})
        )
    assert voter.remembers and voter.began_new_terms
    assert voter.highest_term("t") == 2_000 and voter.highest_term("other") == 1_000
    assert voter.report_terms(TermQuery(1)).terms == {"t": 2_000, "": 1_000}


def test_a_single_voter_does_not_start_new_terms() -> None:
    voter = new_voter(remembers=False)
    voter.tick(100 * SECOND)
    assert not voter.remembers


def test_initial_terms_grow_with_the_clock_and_fit_in_53_bits() -> None:
    assert new_initial_term(1.8e9, 0xFFF) < new_initial_term(1.8e9 + 1, 0)
    assert new_initial_term(2_300_000_000, 0xFFF) < 2**53
    assert new_initial_term(-5.0, 0) == 0


def test_voters_are_replaced_through_a_stage_that_needs_majorities_of_both_sets() -> None:
    before = LEADERSHIP
    both = LeadershipSettings(enabled=True, voters=("a", "b", "d"), voters_before=("a", "b", "c"), revision=2)
    after = LeadershipSettings(enabled=True, voters=("a", "b", "d"), revision=2)
    assert (before.stage, both.stage, after.stage) == (2, 3, 4)
    assert not Voters(both).is_majority({"b", "d"}) and Voters(both).is_majority({"a", "b"})
    assert Voters(both).is_majority({"a", "c", "d"})
    for current, next_settings, allowed in (
        (before, both, True),
        (both, after, True),
        (before, after, False),
    ):
        assert Voters(current).accepts_stage(next_settings.stage) is allowed
        assert (check_voter_change(current, next_settings) is None) is allowed
    assert not Voters(both).accepts_stage(before.stage)
    next_settings = LeadershipSettings(enabled=True, voters=("a", "b", "e"), revision=2)
    assert check_voter_change(both, next_settings) is not None


# ---------------------------------------------------------------------- leases


def start_lease_request(now_us: int) -> tuple[Leases, int]:
    leases = Leases("x", Voters(LEADERSHIP), LEADERSHIP, 1, now_us)
    requests = leases.tick(now_us, {"t": ["x"]})
    assert [recipient for recipient, _ in requests] == ["a", "b", "c"]
    return leases, requests[0][1].number  # type: ignore[union-attr]


def test_a_leader_measures_its_lease_from_its_request_and_shorter_than_its_voters() -> None:
    leases, number = start_lease_request(SECOND)
    leases.on_grant(2_500_000, "a", LeaseGrant("t", 1, number))
    assert not leases.held_term("t", 2_500_000)
    leases.on_grant(2_500_000, "b", LeaseGrant("t", 1, number))
    assert leases.held_term("t", 2_500_000) == 1 and leases.expiry_us("t") == 2_960_000
    assert not leases.held_term("t", 2_960_000)


def test_grants_that_arrive_too_late_make_no_leader() -> None:
    leases, number = start_lease_request(SECOND)
    for name in ("a", "b", "c"):
        leases.on_grant(3 * SECOND, name, LeaseGrant("t", 1, number))
    assert not leases.held_term("t", 3 * SECOND) and not leases.changes


def test_tasks_are_spread_over_members_and_keep_their_place_when_a_member_is_removed() -> None:
    names = [f"n{n}" for n in range(40)]
    before_removal = [best_placed(f"task{n}", names)[0] for n in range(200)]
    after_removal = [best_placed(f"task{n}", names[1:])[0] for n in range(200)]
    assert all(a == b for a, b in zip(before_removal, after_removal, strict=True) if a != "n0")
    assert len(set(before_removal)) > 25


# ---------------------------------------------------------------------- permits


def send_permit_request(
    coordinator: PermitCoordinator, now_us: int, name: str, kind: str, subject: str, state: str = "want"
) -> PermitResponse:
    return coordinator.on_request(now_us, name, 1, PermitRequest(kind, subject, state))


def open_coordinator(now_us: int = 10 * SECOND) -> PermitCoordinator:
    return PermitCoordinator(PERMITS, 5, now_us - 5 * SECOND)


def test_permits_are_granted_in_queue_order_and_within_the_limit() -> None:
    coordinator, now_us = open_coordinator(), 10 * SECOND
    assert send_permit_request(coordinator, now_us, "a", DRAIN, "a").is_granted
    second, third = (send_permit_request(coordinator, now_us, n, DRAIN, n) for n in ("b", "c"))
    assert (second.is_granted, second.requests_ahead, third.requests_ahead) == (False, 0, 1)
    assert "1 of 1 in use: a" in second.reason
    send_permit_request(coordinator, now_us, "a", DRAIN, "a", "back")
    assert not send_permit_request(coordinator, now_us, "c", DRAIN, "c").is_granted
    assert send_permit_request(coordinator, now_us, "b", DRAIN, "b").is_granted


def test_one_form_server_out_of_service_at_several_nodes_is_one_permit() -> None:
    coordinator, now_us = open_coordinator(), 10 * SECOND
    assert all(
        send_permit_request(coordinator, now_us, name, OUT_OF_SERVICE, "s-1").is_granted for name in "abc"
    )
    assert send_permit_request(coordinator, now_us, "a", OUT_OF_SERVICE, "s-2").is_granted
    assert not send_permit_request(coordinator, now_us, "a", OUT_OF_SERVICE, "s-3").is_granted
    for name in "ab":
        send_permit_request(coordinator, now_us, name, OUT_OF_SERVICE, "s-1", "back")
    assert not send_permit_request(coordinator, now_us, "a", OUT_OF_SERVICE, "s-3").is_granted
    send_permit_request(coordinator, now_us, "c", OUT_OF_SERVICE, "s-1", "back")
    assert send_permit_request(coordinator, now_us, "a", OUT_OF_SERVICE, "s-3").is_granted


def test_the_permit_of_a_dead_holder_expires_and_the_next_requester_gets_it() -> None:
    coordinator, now_us = open_coordinator(), 10 * SECOND
    send_permit_request(coordinator, now_us, "a", DRAIN, "a")
    assert not send_permit_request(coordinator, now_us + 3 * SECOND, "b", DRAIN, "b").is_granted
    assert send_permit_request(coordinator, now_us + 4 * SECOND, "b", DRAIN, "b").is_granted


def test_a_new_leader_first_observes_and_retains_the_queue_positions_of_its_predecessor() -> None:
    coordinator = PermitCoordinator(PERMITS, 6, 0)
    assert send_permit_request(coordinator, 1, "a", OUT_OF_SERVICE, "s-1", "held").is_granted
    assert not send_permit_request(coordinator, 1, "b", OUT_OF_SERVICE, "s-2").is_granted
    waiting = coordinator.on_request(1, "c", 1, PermitRequest(OUT_OF_SERVICE, "s-3", "want", (5, 1)))
    assert not waiting.is_granted and waiting.queue_position == (5, 1)
    send_permit_request(coordinator, coordinator.opens_us - 1, "a", OUT_OF_SERVICE, "s-1", "held")
    coordinator.on_request(
        coordinator.opens_us - 1, "c", 1, PermitRequest(OUT_OF_SERVICE, "s-3", "want", (5, 1))
    )
    send_permit_request(coordinator, coordinator.opens_us - 1, "b", OUT_OF_SERVICE, "s-2")
    # s-3 has the earlier position.
    assert not send_permit_request(coordinator, coordinator.opens_us, "b", OUT_OF_SERVICE, "s-2").is_granted
    assert coordinator.on_request(
        coordinator.opens_us, "c", 1, PermitRequest(OUT_OF_SERVICE, "s-3", "want", (5, 1))
    ).is_granted


class PermitMachine(RuleBasedStateMachine):
    """One leader at a time, which may be replaced; requests and responses of holders are lost or delayed."""

    def __init__(self) -> None:
        super().__init__()
        self.now_us = 100 * SECOND
        self.coordinator = PermitCoordinator(PERMITS, 1, 0)
        self.term = 1
        self.holders = {name: PermitHolder(PERMITS) for name in "abcd"}
        self.in_flight: list[tuple[str, int, PermitRequest]] = []

    @rule(name=st.sampled_from("abcd"), number=st.integers(1, 4))
    def start_requesting(self, name: str, number: int) -> None:
        self.holders[name].request(OUT_OF_SERVICE, f"s-{number}")

    @rule(name=st.sampled_from("abcd"), number=st.integers(1, 4))
    def release(self, name: str, number: int) -> None:
        self.holders[name].release(self.now_us, OUT_OF_SERVICE, f"s-{number}")

    @rule(twentieths=st.integers(1, 60))
    def pass_time(self, twentieths: int) -> None:
        self.now_us += twentieths * SECOND // 20
        for name, holder in self.holders.items():
            self.in_flight += [(name, self.now_us, request) for request in holder.tick(self.now_us)]
        # Stands for the rest of the protocol, which rejects a response that is too old.
        self.in_flight = [message for message in self.in_flight if self.now_us - message[1] <= SECOND]

    @precondition(lambda self: self.in_flight)
    @rule(data=st.data(), is_lost=st.booleans())
    def answer(self, data: Any, is_lost: bool) -> None:
        index = data.draw(st.integers(0, len(self.in_flight) - 1))
        name, sent_us, request = self.in_flight.pop(index)
        response = self.coordinator.on_request(self.now_us, name, 1, request)
        if not is_lost:
            self.holders[name].on_response(self.now_us, sent_us, request, response)

    @rule()
    def change_leader(self) -> None:
        self.term += 1
        # A new leader waits until no response of its predecessor is accepted any more.
        self.now_us += SECOND + 1
        self.in_flight.clear()
        self.coordinator = PermitCoordinator(PERMITS, self.term, self.now_us)

    @invariant()
    def never_more_than_the_limit(self) -> None:
        out_of_service = {
            subject
            for holder in self.holders.values()
            for kind, subject in holder.permits
            if holder.is_held(kind, subject, self.now_us)
        }
        assert len(out_of_service) <= PERMITS.out, out_of_service


TestPermitMachine = PermitMachine.TestCase
TestPermitMachine.settings = hypothesis_settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_a_rolling_drain_resumes_under_the_same_name_and_drains_no_node_twice() -> None:
    coordinator = open_coordinator(0)
    holders = {name: PermitHolder(PERMITS) for name in "abc"}
    drains = {name: RollingDrains(name, holder) for name, holder in holders.items()}
    drained: list[str] = []

    def exchange_messages(now_us: int) -> None:
        for recipient, message in drains["a"].tick(now_us):
            drains["a"].on_status(now_us, recipient, drains[recipient].on_request(now_us, message))
        for name, holder in holders.items():
            for permit_request in holder.tick(now_us):
                holder.on_response(
                    now_us, now_us, permit_request, coordinator.on_request(now_us, name, 1, permit_request)
                )
            for change in holder.changes:
                drains[name].on_permit_change(change)
            holder.changes.clear()
            if drains[name].core_drain_change:
                drained.append(name)
            drains[name].core_drain_change = None
            if drains[name].is_draining:
                drains[name].on_session_count(now_us, 0)

    drains["a"].begin(0, "w", ["c", "a", "b"], SECOND)
    for tenth in range(400):
        exchange_messages(tenth * SECOND // 10)
    assert drains["a"].drains["w"].is_over and drained == ["c", "a", "b"]
    drains["a"].drains.clear()
    drains["a"].begin(40 * SECOND, "w", ["c", "a", "b"], SECOND)
    for tenth in range(400, 500):
        exchange_messages(tenth * SECOND // 10)
    assert drained == ["c", "a", "b"] and drains["a"].drains["w"].is_over


def test_a_rolling_drain_keeps_its_old_names_on_the_wire_and_on_the_disk() -> None:
    """Nodes of other versions, stored folders and scripts depend on these names."""
    messages = (DrainRequest("w", 5), DrainStatus("w", "queued", "why"))
    assert list(map(msgspec.to_builtins, messages)) == [["walk", "w", 5], ["walking", "w", "queued", "why"]]
    stored_entries = (entries.DrainCompleted("w"), entries.DrainPlan("w", 5, ["a"]))
    assert list(map(msgspec.to_builtins, stored_entries)) == [["walked", "w"], ["planned", "w", 5, ["a"]]]
    # The field names that `sailrun lasting export` prints.
    assert [entry.__struct_encode_fields__ for entry in stored_entries] == [
        ("walk",),
        ("walk", "for_us", "names"),
    ]


# ---------------------------------------------------------------------- list reader, move rate, settings


def test_an_older_list_is_never_accepted_and_without_a_reader_a_node_reads_the_registry() -> None:
    reader, node = (SharedList("r:1", ListReaderSettings(), 0) for _ in range(2))
    reader.on_registry_list(7, [{"id": "s-1"}])
    assert node.on_reply(0, reader.answer_query(["r:1", -1])) == [{"id": "s-1"}]
    assert node.on_reply(0, reader.answer_query(["r:1", 7])) is None and node.revision == 7
    assert not node.must_read_registry(2_900_000) and node.must_read_registry(3_000_000)
    stale = SharedList("r:1", ListReaderSettings(), 0)
    stale.on_registry_list(6, [])
    assert node.on_reply(4_000_000, stale.answer_query(["r:1", 5])) is None and node.lists_rejected == 1
    # Replies of a reader with an older list do not count as contact.
    assert node.must_read_registry(4_000_000)
    assert stale.answer_query(["r:2", -1]) is None
    assert node.on_reply(4_000_000, ["r:2", 9, []]) is None and node.on_reply(0, "nothing") is None


def test_shares_of_the_move_rate_never_add_up_to_more_than_one() -> None:
    coordinator, shares = MoveRateCoordinator(1, 0), {name: MoveRateShare() for name in "abc"}
    now_us = RATE_GRANT_US
    assert coordinator.grant_share(now_us, "a") == [0.0]
    totals = []
    for step in range(60):
        now_us += 100_000
        for n, (name, share) in enumerate(shares.items()):
            # Some nodes start requesting later, and some responses are lost.
            if step >= 10 * n and (step + n) % 4:
                response = coordinator.grant_share(now_us, name)
                if (step + n) % 3:
                    share.on_grant(now_us, response)
        totals.append(sum(share.current_share(now_us) for share in shares.values()))
    assert max(totals) <= 1.0 + 1e-9 and totals[-1] > 0.9
    assert all(share.current_share(now_us + RATE_GRANT_US) == 0 for share in shares.values())


VALID_SETTINGS = """
[members]
enabled = true
name = "n1"
listen = "127.0.0.1:9700"
[owners]
enabled = true
voters = ["n1", "n2", "n3"]
"""


@pytest.mark.parametrize(
    "text, expected_message",
    [
        (VALID_SETTINGS.replace('name = "n1"\n', ""), "members.name: is missing"),
        (VALID_SETTINGS.replace("127.0.0.1:9700", "here"), "members.listen: 'here'"),
        (VALID_SETTINGS.replace(', "n3"', ""), "owners.voters: names 2 voters"),
        (VALID_SETTINGS.replace('"n3"', '"n2"'), "owners.voters: names a voter twice"),
        (VALID_SETTINGS + "lease_s = 1.5\n", "owners.lease_s: is 1.5, under twice order_s"),
        (VALID_SETTINGS + "revision = 0\n", "owners.revision: "),
        (VALID_SETTINGS + 'voters_before = ["n4", "n5", "n6"]\n', "owners.voters_before: must differ"),
        (VALID_SETTINGS + "[permits]\nenabled = true\nlease_s = 1.0\n", "permits.lease_s: is 1, under the 6"),
        ("[permits]\nenabled = true\n", "permits.enabled: is true, but owners.enabled is not"),
        (VALID_SETTINGS + "[reader]\nask = 1\n", "reader: "),
    ],
)
def test_an_error_in_the_operator_settings_is_one_line_that_names_the_key(
    tmp_path: Path, text: str, expected_message: str
) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    with pytest.raises(ConfigError) as raised:
        read_operator(path)
    assert str(raised.value).startswith(f"{path}: ") and expected_message in str(raised.value)
    assert "\n" not in str(raised.value)


def test_valid_operator_settings_are_accepted(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(VALID_SETTINGS)
    assert [name for name, table in read_operator(path).tables() if table.enabled] == ["members", "owners"]


def test_fleet_tasks_go_to_control_members_if_there_are_any() -> None:
    records = [
        MemberRecord(n, 1, 1, MemberState.ALIVE, "", zone, "", role)
        for n, zone, role in (("a", "z0", ""), ("b", "z0", "control"), ("c", "z1", ""), ("d", "z1", "node"))
    ]
    assert list_eligible_names(records) == ["b"]
    assert list_eligible_names([r for r in records if r.zone == "z1"]) == ["c", "d"]
    assert list_eligible_names([]) == []
