"""Fault runs of sharding: all checks hold, detect disabled safety rules, and find each kind of violation."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from multiprocessing import get_context

import pytest

from sailrun.lab.faults.history import Row
from sailrun.lab.faults.runs import FaultRun, RunResult
from sailrun.lab.faults.shard_checks import Expected, ShardChecker, placed_session
from sailrun.lab.faults.shard_history import ShardHistory, shards_in_use, shards_of
from sailrun.lab.faults.shard_plans import SHARD_PLANS
from sailrun.lab.faults.shard_runs import run_shards_real, run_shards_virtual
from sailrun.lab.faults.shard_world import NODES, SHARDS_PER_REGION, place_of, voters_of
from sailrun.sharding.messages import Session
from sailrun.sharding.placement import Placement

SECOND_US = 1_000_000


@pytest.fixture(scope="module", autouse=True)
def real_run() -> Iterator[Future[RunResult]]:
    """A run on real processes, in parallel to the other tests of this module. It has a process of its own, so
    that its relays are not delayed by those tests.
    """
    with ProcessPoolExecutor(1, get_context("spawn")) as pool:
        yield pool.submit(run_shards_real, FaultRun("shards-short", 5, NODES))


def failed_checks(result: RunResult) -> list[tuple[str, int | None, list[str]]]:
    return [(check.name, check.occasions, check.faults) for check in result.checks if not check.holds]


# ---------------------------------------------------------------------- runs in virtual time


@pytest.mark.parametrize("plan", SHARD_PLANS)
@pytest.mark.parametrize("seed", [1, 31_337])
def test_all_checks_hold(plan: str, seed: int) -> None:
    assert failed_checks(run_shards_virtual(FaultRun(plan, seed, NODES))) == []


def test_all_checks_hold_with_twenty_nodes() -> None:
    assert failed_checks(run_shards_virtual(FaultRun("shards", 3, 20))) == []


def test_a_seed_determines_the_history() -> None:
    rows = [run_shards_virtual(FaultRun("shards-short", 4, NODES)).rows for _ in range(2)]
    assert [{k: str(v) for k, v in row.items()} for row in rows[0]] == [
        {k: str(v) for k, v in row.items()} for row in rows[1]
    ]


# By rule: a run whose checks fail without the rule, and the first of the seeds that are tried.
DETECTING_RUNS = {
    "session": ("shards-stopped", 1),
    "settle": ("shards-restart", 3),
    "rest": ("shards-cut", 3),
    "register": ("shards-cut", 1),
    "remember": ("shards-restart", 1),
    "token": ("shards-slow", 1),
    "clock": ("shards-cut", 5),
    "majority": ("shards", 3),
    "abstain": ("shards-restart", 1),
}


@pytest.mark.parametrize("rule", DETECTING_RUNS)
def test_the_checks_detect_each_disabled_rule(rule: str) -> None:
    plan, first_seed = DETECTING_RUNS[rule]
    runs = (FaultRun(plan, seed, NODES, off=frozenset({rule})) for seed in range(first_seed, first_seed + 12))
    assert any(check.value > check.limit for run in runs for check in run_shards_virtual(run).checks)


def test_too_few_nodes_for_two_regions_are_rejected() -> None:
    with pytest.raises(ValueError, match="fewer than 10"):
        run_shards_virtual(FaultRun("shards", 1, 9))
    with pytest.raises(ValueError, match="virtual time only"):
        run_shards_real(FaultRun("shards", 1, NODES, off=frozenset({"token"})))


# ---------------------------------------------------------------------- records that the checks read

# n6, n8 and n10 own shards in region r0; n0, n2 and n4 vote there.
ONE, OTHER = "n6", "n8"
SESSIONS = "n6:1,n8:2"


def row(kind: str, node: str, at_us: int, **fields: object) -> Row:
    return {"kind": kind, "node": node, "at_us": at_us, **fields}


def uses(node: str, session: int, at_us: int, until_us: int, shards: object, generation: int = 1) -> Row:
    fields = {"generation": generation, "session": session, "until_us": until_us, "shards": shards}
    return row("shards", node, at_us, region="r0", **fields)


def applies(node: str, session: int, at_us: int, generation: int, sessions: str) -> Row:
    fields = {"generation": generation, "session": session, "sessions": sessions}
    return row("shards-generation", node, at_us, region="r0", **fields)


def act(kind: str, node: str, at_us: int, token: tuple[int, int], shard: int = 3) -> Row:
    return row(kind, node, at_us, shard=shard, generation=token[0], session=token[1])


def judge(*rows: Row, end_us: int = 100 * SECOND_US, expected: Expected | None = None) -> ShardChecker:
    return ShardChecker(list(rows), 0, end_us, expected or Expected())


def outcome(check: object) -> tuple[float, int | None]:
    return check.value, check.occasions  # type: ignore[attr-defined]


def test_a_row_replaces_the_previous_one_and_the_end_of_a_session_ends_all_its_spans() -> None:
    history = ShardHistory(
        [
            uses(ONE, 1, 0, 100, "3,4"),
            uses(ONE, 1, 50, 150, 4),  # a log line's single shard is read as a number
            row("shards-lost", ONE, 120, region="r0", session=1, why="lapsed"),
            uses(ONE, 2, 200, 300, "-"),
            uses(OTHER, 3, 10, 60, "5"),
            row("died", OTHER, 40),
        ]
    )
    spans = {shard: [(s.begin_us, s.end_us) for s in spans] for (_, shard), spans in history.owned.items()}
    assert spans == {3: [(0, 50)], 4: [(0, 120)], 5: [(10, 40)]}
    assert history.sessions["r0", 1].end_us == 120 and history.sessions["r0", 3].end_us == 40


def test_a_row_after_the_end_of_its_lease_uses_no_shards() -> None:
    history = ShardHistory([uses(ONE, 1, 0, 100, "3"), uses(ONE, 1, 200, 100, "3,4")])
    assert [(s.begin_us, s.end_us) for s in history.owned["r0", 3]] == [(0, 100)]
    assert ("r0", 4) not in history.owned


def test_shards_in_use_are_those_of_the_last_row() -> None:
    rows = [uses(ONE, 1, 0, 100, "3,4"), uses(OTHER, 2, 0, 100, "5"), uses(ONE, 1, 5, 100, "-")]
    assert shards_in_use(rows) == 1 and shards_of(rows[0]) == {3, 4}


def test_shards_are_placed_score_by_score_as_the_nodes_place_them() -> None:
    sessions = [Session(name, number, 0) for number, name in enumerate(("n6", "n8", "n10", "n12"), 1)]
    placement = Placement("r0", SHARDS_PER_REGION)
    placement.place_all(1, sessions)
    text = ",".join(f"{s.name}:{s.number}" for s in sessions)
    assert [placed_session("r0", n, text) for n in range(SHARDS_PER_REGION)] == placement.owner.tolist()
    assert placed_session("r0", 0, "-") == 0


def test_the_scenario_has_both_regions_and_their_control_members() -> None:
    assert voters_of("r0") == ("n0", "n2", "n4") and voters_of("r1") == ("n1", "n3", "n5")
    assert {place_of(n).region for n in range(2)} == {"r0", "r1"} and place_of(6).role == ""


# ---------------------------------------------------------------------- violations that the checks find


def test_two_simultaneous_owners_are_found_and_successive_owners_are_not() -> None:
    successive = [uses(ONE, 1, 0, 10, "3"), uses(OTHER, 2, 10, 20, "3")]
    assert outcome(judge(*successive).one_owner()) == (0, 1)
    assert outcome(judge(uses(ONE, 1, 0, 11, "3"), successive[1]).one_owner()) == (1, 1)
    # Also if another span ended in between: the check compares with the span that lasts longest.
    third = uses("n10", 3, 30, 40, "3")
    assert outcome(judge(uses(ONE, 1, 0, 35, "3"), successive[1], third).one_owner()) == (2, 2)


def test_an_act_outside_its_lease_or_without_the_shard_is_found() -> None:
    lease = uses(ONE, 1, 0, 10, "3")
    assert outcome(judge(lease, act("shard-act", ONE, 10, (1, 1))).acts_only_while_owner()) == (0, 1)
    assert outcome(judge(lease, act("shard-act", ONE, 11, (1, 1))).acts_only_while_owner()) == (1, 1)
    assert outcome(judge(lease, act("shard-act", ONE, 5, (1, 1), 4)).acts_only_while_owner()) == (1, 1)
    assert outcome(judge(lease, act("shard-act", ONE, 5, (1, 9))).acts_only_while_owner()) == (1, 1)


def test_a_shard_used_where_it_is_not_placed_is_found() -> None:
    owner = placed_session("r0", 3, SESSIONS)
    name, other_name = (ONE, OTHER) if owner == 1 else (OTHER, ONE)
    generation_row = applies(name, owner, 0, 1, SESSIONS)
    assert outcome(judge(generation_row, uses(name, owner, 1, 9, "3")).used_only_where_placed()) == (0, 1)
    assert outcome(
        judge(generation_row, uses(other_name, 3 - owner, 1, 9, "3")).used_only_where_placed()
    ) == (1, 1)
    assert outcome(judge(uses(name, owner, 1, 9, "3")).used_only_where_placed()) == (1, 1)


def test_a_shard_without_an_owner_long_after_the_last_fault_is_found() -> None:
    all_shards = ",".join(map(str, range(SHARDS_PER_REGION)))
    end_us, expected = 30 * SECOND_US, Expected(owned_within_s=10.0)
    fault = row("fault", "", 5 * SECOND_US, what="heal")
    other_region = {**uses("n7", 2, 0, 40 * SECOND_US, all_shards), "region": "r1"}

    def outcome_of(*rows: Row) -> tuple[float, int | None]:
        return outcome(
            judge(fault, other_region, *rows, end_us=end_us, expected=expected).owned_after_the_faults()
        )

    assert outcome_of(uses(ONE, 1, 14 * SECOND_US, 31 * SECOND_US, all_shards)) == (0, 2 * SHARDS_PER_REGION)
    assert outcome_of(uses(ONE, 1, 16 * SECOND_US, 31 * SECOND_US, all_shards))[0] == SHARDS_PER_REGION
    assert outcome_of(uses(ONE, 1, 14 * SECOND_US, 29 * SECOND_US, all_shards))[0] == SHARDS_PER_REGION
    assert outcome_of(uses(ONE, 1, 14 * SECOND_US, 31 * SECOND_US, "3"))[0] == SHARDS_PER_REGION - 1
    gap = [
        uses(ONE, 1, 14 * SECOND_US, 20 * SECOND_US, all_shards),
        uses(ONE, 3, 21 * SECOND_US, 31 * SECOND_US, all_shards),
    ]
    assert outcome_of(*gap)[0] == SHARDS_PER_REGION
    # A run that ends before the check applies has no occasion, so the check does not hold.
    check = judge(fault, end_us=12 * SECOND_US, expected=expected).owned_after_the_faults()
    assert check.occasions == 0 and not check.holds


def test_a_move_without_a_cause_is_found() -> None:
    first = placed_session("r0", 3, SESSIONS)
    winner, loser = (ONE, OTHER) if first == 1 else (OTHER, ONE)

    def outcome_of_move(from_node: str, to_node: str, before: str, after: str) -> tuple[float, int | None]:
        numbers = {ONE: 1, OTHER: 2}
        rows = [
            applies(from_node, numbers[from_node], 0, 1, before),
            uses(from_node, numbers[from_node], 1, 9, "3", 1),
            applies(to_node, numbers[to_node], 10, 2, after),
            uses(to_node, numbers[to_node], 11, 20, "3", 2),
        ]
        return outcome(judge(*rows).moves_with_cause())

    single = {ONE: "n6:1", OTHER: "n8:2"}
    # A session with a higher score joined; then the owner's session ended.
    assert outcome_of_move(loser, winner, single[loser], SESSIONS) == (0, 1)
    assert outcome_of_move(winner, loser, SESSIONS, single[loser]) == (0, 1)
    # A session with a lower score joined; then no session joined or ended.
    assert outcome_of_move(winner, loser, single[winner], SESSIONS) == (1, 1)
    assert outcome_of_move(loser, winner, SESSIONS, SESSIONS) == (1, 1)


def test_a_session_that_is_removed_while_in_use_is_found() -> None:
    rows = [applies(OTHER, 2, 0, 1, SESSIONS), uses(ONE, 1, 0, 10, "3")]
    assert outcome(judge(*rows, applies(OTHER, 2, 10, 2, "n8:2")).sessions_end_unused()) == (0, 1)
    assert outcome(judge(*rows, applies(OTHER, 2, 9, 2, "n8:2")).sessions_end_unused()) == (1, 1)
    lost = row("shards-lost", ONE, 5, region="r0", session=1, why="released")
    assert outcome(judge(*rows, lost, applies(OTHER, 2, 9, 2, "n8:2")).sessions_end_unused()) == (0, 1)


def test_a_new_generation_while_nothing_may_move_is_found() -> None:
    cut = row("fault", "", 5, what="cut")
    early = applies(ONE, 1, 1, 1, SESSIONS)
    assert outcome(judge(early, cut, applies(OTHER, 2, 9, 1, SESSIONS)).nothing_moved()) == (0, 1)
    assert outcome(judge(early, cut, applies(OTHER, 2, 9, 2, SESSIONS)).nothing_moved()) == (1, 1)
    assert not judge(early).nothing_moved().holds


def test_a_generation_with_two_contents_is_found() -> None:
    rows = [applies(ONE, 1, 0, 1, SESSIONS)]
    assert outcome(judge(*rows, applies(OTHER, 2, 1, 1, SESSIONS)).one_content()) == (0, 1)
    assert outcome(judge(*rows, applies(OTHER, 2, 1, 1, "n8:2")).one_content()) == (1, 1)


def test_a_generation_that_decreases_within_a_session_is_found() -> None:
    def outcome_of_steps(*steps: tuple[int, int]) -> tuple[float, int | None]:
        rows = [applies(ONE, session, n, generation, "-") for n, (session, generation) in enumerate(steps)]
        return outcome(judge(*rows).generations_grow_at_a_node())

    assert outcome_of_steps((1, 5), (1, 6)) == (0, 1)
    assert outcome_of_steps((1, 6), (1, 5)) == (1, 1)
    assert outcome_of_steps((1, 6), (1, 6)) == (1, 1)
    assert outcome_of_steps((1, 6), (2, 5)) == (0, 0)


def test_a_lower_token_at_a_receiver_is_found_unless_its_process_is_new() -> None:
    high, low = act("shard-take", "n0", 1, (2, 9)), act("shard-take", "n0", 5, (1, 4))
    assert outcome(judge(low, {**high, "at_us": 6}).no_lower_token_at_a_receiver()) == (0, 1)
    assert outcome(judge(high, low).no_lower_token_at_a_receiver()) == (1, 1)
    assert outcome(judge(high, row("died", "n0", 3), low).no_lower_token_at_a_receiver()) == (0, 0)
    elsewhere = judge(high, {**low, "node": "n2"})
    assert outcome(elsewhere.no_lower_token_at_a_receiver()) == (0, 0)
    assert elsewhere.figures()["acts_taken_after_a_higher_elsewhere"] == 1


def test_a_rejection_of_a_token_that_is_not_outdated_is_found() -> None:
    taken = act("shard-take", "n0", 1, (2, 9))
    assert outcome(judge(taken, act("shard-refuse", "n0", 2, (1, 4))).only_lower_tokens_rejected()) == (0, 1)
    assert outcome(judge(taken, act("shard-refuse", "n0", 2, (2, 9))).only_lower_tokens_rejected()) == (1, 1)
    assert outcome(judge(act("shard-refuse", "n0", 2, (1, 4))).only_lower_tokens_rejected()) == (1, 1)


def test_tokens_that_decrease_from_owner_to_owner_are_found() -> None:
    def outcome_of_tokens(*tokens: tuple[int, int]) -> tuple[float, int | None]:
        rows = [act("shard-act", (ONE, OTHER)[n % 2], n, token) for n, token in enumerate(tokens)]
        return outcome(judge(*rows).tokens_grow())

    assert outcome_of_tokens((1, 1), (1, 1), (2, 2)) == (0, 1)
    assert outcome_of_tokens((2, 1), (1, 2)) == (1, 1)
    assert outcome_of_tokens((2, 5), (2, 4)) == (1, 1)


def test_two_simultaneous_assigners_are_found() -> None:
    def hold(node: str, at_us: int, until_us: int, term: int) -> Row:
        return row("hold", node, at_us, task="shards/r0", until_us=until_us, term=term)

    for until_us, breaches in ((10, 0), (11, 1)):
        rows = (hold("n0", 0, until_us, 1), hold("n2", 10, 20, 2))
        checks = {check.name: check for check in judge(*rows).checks()}
        assert outcome(checks["one-owner-at-a-time"]) == (breaches, 1)


def test_a_check_without_an_occasion_does_not_hold() -> None:
    assert not any(check.holds for check in judge().checks())


# ---------------------------------------------------------------------- a run on real processes


def test_a_run_on_real_processes(real_run: Future[RunResult]) -> None:
    """The run has a stop longer than a lease, a network partition and a killed assigner, and shards move."""
    result = real_run.result()
    assert failed_checks(result) == []
    faults = [row["what"] for row in result.rows if row["kind"] == "fault"]
    assert {"stop", "go-on", "cut", "heal"} <= set(faults)
    assert [
        record for record in result.rows if record["kind"] == "log" and "Traceback" in record["text"]
    ] == []
    assert result.figures["changes_of_owner"] > 0 and result.figures["acts_taken"] > 100
    leases = [record for record in result.rows if record["kind"] == "hold"]
    deaths = [record for record in result.rows if record["kind"] == "died"]
    assert any(
        lease["node"] == death["node"] and lease["at_us"] < death["at_us"] < lease["until_us"]
        for lease in leases
        for death in deaths
    )
    assert result.figures["changes_of_assigner"] > 0
