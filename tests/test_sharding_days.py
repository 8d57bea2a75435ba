"""Days of shards: nothing is broken, a safety rule that is off is missed, and the judge finds each breach."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from multiprocessing import get_context

import pytest

from sailrun.lab.faults.history import Row
from sailrun.lab.faults.play import FaultDay, Played
from sailrun.lab.faults.shard_days import play_shards_real, play_shards_virtual
from sailrun.lab.faults.shard_history import ShardHistory, shards_in_use, shards_of
from sailrun.lab.faults.shard_judge import Expected, ShardJudge, placed
from sailrun.lab.faults.shard_plans import SHARD_PLANS
from sailrun.lab.faults.shard_world import NODES, SHARDS_OF_A_REGION, control_of, place_of
from sailrun.sharding.messages import Session
from sailrun.sharding.placement import Placement

SECOND = 1_000_000


@pytest.fixture(scope="module", autouse=True)
def real_day() -> Iterator[Future[Played]]:
    """A day on real processes, played beside the other tests of this module, from a process of its own: its
    relays would wait for those tests in this one.
    """
    with ProcessPoolExecutor(1, get_context("spawn")) as pool:
        yield pool.submit(play_shards_real, FaultDay("shards-short", 5, NODES))


def broken(played: Played) -> list[tuple[str, int | None, list[str]]]:
    return [(c.name, c.occasions, c.faults) for c in played.checks if not c.holds]


# ---------------------------------------------------------------------- days in virtual time


@pytest.mark.parametrize("plan", SHARD_PLANS)
@pytest.mark.parametrize("seed", [1, 31_337])
def test_nothing_is_broken(plan: str, seed: int) -> None:
    assert broken(play_shards_virtual(FaultDay(plan, seed, NODES))) == []


def test_nothing_is_broken_among_twenty() -> None:
    assert broken(play_shards_virtual(FaultDay("shards", 3, 20))) == []


def test_one_seed_gives_one_history() -> None:
    rows = [play_shards_virtual(FaultDay("shards-short", 4, NODES)).rows for _ in range(2)]
    assert [{k: str(v) for k, v in row.items()} for row in rows[0]] == [
        {k: str(v) for k, v in row.items()} for row in rows[1]
    ]


# By rule: a day that misses it, and the first seed of those that are looked through.
BITES = {
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


@pytest.mark.parametrize("rule", BITES)
def test_a_rule_that_is_off_is_found_out(rule: str) -> None:
    plan, first = BITES[rule]
    days = (FaultDay(plan, seed, NODES, off=frozenset({rule})) for seed in range(first, first + 12))
    assert any(check.value > check.limit for day in days for check in play_shards_virtual(day).checks)


def test_too_few_nodes_for_two_regions_are_refused() -> None:
    with pytest.raises(ValueError, match="fewer than 10"):
        play_shards_virtual(FaultDay("shards", 1, 9))
    with pytest.raises(ValueError, match="virtual time only"):
        play_shards_real(FaultDay("shards", 1, NODES, off=frozenset({"token"})))


# ---------------------------------------------------------------------- what the judge reads

# n6, n8 and n10 own shards in region r0; n0, n2 and n4 vote there.
ONE, OTHER = "n6", "n8"
SESSIONS = "n6:1,n8:2"


def row(kind: str, node: str, at_us: int, **facts: object) -> Row:
    return {"kind": kind, "node": node, "at_us": at_us, **facts}


def uses(node: str, session: int, at_us: int, until_us: int, shards: object, generation: int = 1) -> Row:
    facts = {"generation": generation, "session": session, "until_us": until_us, "shards": shards}
    return row("shards", node, at_us, region="r0", **facts)


def goes_by(node: str, session: int, at_us: int, generation: int, sessions: str) -> Row:
    facts = {"generation": generation, "session": session, "sessions": sessions}
    return row("shards-generation", node, at_us, region="r0", **facts)


def act(kind: str, node: str, at_us: int, token: tuple[int, int], shard: int = 3) -> Row:
    return row(kind, node, at_us, shard=shard, generation=token[0], session=token[1])


def judge(*rows: Row, end_us: int = 100 * SECOND, expected: Expected | None = None) -> ShardJudge:
    return ShardJudge(list(rows), 0, end_us, expected or Expected())


def seen(check: object) -> tuple[float, int | None]:
    return check.value, check.occasions  # type: ignore[attr-defined]


def test_a_row_replaces_the_one_before_and_an_end_ends_all() -> None:
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


def test_what_is_said_after_a_lease_has_ended_uses_nothing() -> None:
    history = ShardHistory([uses(ONE, 1, 0, 100, "3"), uses(ONE, 1, 200, 100, "3,4")])
    assert [(s.begin_us, s.end_us) for s in history.owned["r0", 3]] == [(0, 100)]
    assert ("r0", 4) not in history.owned


def test_shards_in_use_are_those_said_last() -> None:
    rows = [uses(ONE, 1, 0, 100, "3,4"), uses(OTHER, 2, 0, 100, "5"), uses(ONE, 1, 5, 100, "-")]
    assert shards_in_use(rows) == 1 and shards_of(rows[0]) == {3, 4}


def test_shards_are_placed_score_by_score_as_the_nodes_place_them() -> None:
    sessions = [Session(name, number, 0) for number, name in enumerate(("n6", "n8", "n10", "n12"), 1)]
    placement = Placement("r0", SHARDS_OF_A_REGION)
    placement.place_all(1, sessions)
    text = ",".join(f"{s.name}:{s.number}" for s in sessions)
    assert [placed("r0", n, text) for n in range(SHARDS_OF_A_REGION)] == placement.owner.tolist()
    assert placed("r0", 0, "-") == 0


def test_the_world_has_both_regions_and_their_control_members() -> None:
    assert control_of("r0") == ("n0", "n2", "n4") and control_of("r1") == ("n1", "n3", "n5")
    assert {place_of(n).region for n in range(2)} == {"r0", "r1"} and place_of(6).role == ""


# ---------------------------------------------------------------------- what the judge finds


def test_two_owners_are_found_and_one_after_the_other_are_not() -> None:
    after = [uses(ONE, 1, 0, 10, "3"), uses(OTHER, 2, 10, 20, "3")]
    assert seen(judge(*after).one_owner()) == (0, 1)
    assert seen(judge(uses(ONE, 1, 0, 11, "3"), after[1]).one_owner()) == (1, 1)
    # Also where one ended between: the longest lasting one is looked at.
    third = uses("n10", 3, 30, 40, "3")
    assert seen(judge(uses(ONE, 1, 0, 35, "3"), after[1], third).one_owner()) == (2, 2)


def test_an_act_outside_its_lease_or_without_the_shard_is_found() -> None:
    lease = uses(ONE, 1, 0, 10, "3")
    assert seen(judge(lease, act("shard-act", ONE, 10, (1, 1))).acts_only_while_owner()) == (0, 1)
    assert seen(judge(lease, act("shard-act", ONE, 11, (1, 1))).acts_only_while_owner()) == (1, 1)
    assert seen(judge(lease, act("shard-act", ONE, 5, (1, 1), 4)).acts_only_while_owner()) == (1, 1)
    assert seen(judge(lease, act("shard-act", ONE, 5, (1, 9))).acts_only_while_owner()) == (1, 1)


def test_a_shard_used_where_it_is_not_placed_is_found() -> None:
    owner = placed("r0", 3, SESSIONS)
    name, wrong = (ONE, OTHER) if owner == 1 else (OTHER, ONE)
    known = goes_by(name, owner, 0, 1, SESSIONS)
    assert seen(judge(known, uses(name, owner, 1, 9, "3")).used_only_where_placed()) == (0, 1)
    assert seen(judge(known, uses(wrong, 3 - owner, 1, 9, "3")).used_only_where_placed()) == (1, 1)
    assert seen(judge(uses(name, owner, 1, 9, "3")).used_only_where_placed()) == (1, 1)


def test_a_shard_that_nobody_uses_long_after_the_last_fault_is_found() -> None:
    whole = ",".join(map(str, range(SHARDS_OF_A_REGION)))
    end_us, expected = 30 * SECOND, Expected(owned_within_s=10.0)
    fault = row("fault", "", 5 * SECOND, what="heal")
    second = {**uses("n7", 2, 0, 40 * SECOND, whole), "region": "r1"}

    def found(*rows: Row) -> tuple[float, int | None]:
        return seen(judge(fault, second, *rows, end_us=end_us, expected=expected).owned_after_the_faults())

    assert found(uses(ONE, 1, 14 * SECOND, 31 * SECOND, whole)) == (0, 2 * SHARDS_OF_A_REGION)
    assert found(uses(ONE, 1, 16 * SECOND, 31 * SECOND, whole))[0] == SHARDS_OF_A_REGION
    assert found(uses(ONE, 1, 14 * SECOND, 29 * SECOND, whole))[0] == SHARDS_OF_A_REGION
    assert found(uses(ONE, 1, 14 * SECOND, 31 * SECOND, "3"))[0] == SHARDS_OF_A_REGION - 1
    gap = [uses(ONE, 1, 14 * SECOND, 20 * SECOND, whole), uses(ONE, 3, 21 * SECOND, 31 * SECOND, whole)]
    assert found(*gap)[0] == SHARDS_OF_A_REGION
    # A day that ends before anything is owed has no occasion, and so does not hold.
    check = judge(fault, end_us=12 * SECOND, expected=expected).owned_after_the_faults()
    assert check.occasions == 0 and not check.holds


def test_a_move_without_a_cause_is_found() -> None:
    first = placed("r0", 3, SESSIONS)
    winner, loser = (ONE, OTHER) if first == 1 else (OTHER, ONE)

    def moved(one: str, other: str, before: str, after: str) -> tuple[float, int | None]:
        numbers = {ONE: 1, OTHER: 2}
        rows = [
            goes_by(one, numbers[one], 0, 1, before),
            uses(one, numbers[one], 1, 9, "3", 1),
            goes_by(other, numbers[other], 10, 2, after),
            uses(other, numbers[other], 11, 20, "3", 2),
        ]
        return seen(judge(*rows).moves_with_cause())

    alone = {ONE: "n6:1", OTHER: "n8:2"}
    assert moved(loser, winner, alone[loser], SESSIONS) == (0, 1)  # a better one joined
    assert moved(winner, loser, SESSIONS, alone[loser]) == (0, 1)  # its session ended
    assert moved(winner, loser, alone[winner], SESSIONS) == (1, 1)  # a worse one joined
    assert moved(loser, winner, SESSIONS, SESSIONS) == (1, 1)  # nobody came or went


def test_a_session_that_is_out_while_in_use_is_found() -> None:
    rows = [goes_by(OTHER, 2, 0, 1, SESSIONS), uses(ONE, 1, 0, 10, "3")]
    assert seen(judge(*rows, goes_by(OTHER, 2, 10, 2, "n8:2")).sessions_end_unused()) == (0, 1)
    assert seen(judge(*rows, goes_by(OTHER, 2, 9, 2, "n8:2")).sessions_end_unused()) == (1, 1)
    lost = row("shards-lost", ONE, 5, region="r0", session=1, why="released")
    assert seen(judge(*rows, lost, goes_by(OTHER, 2, 9, 2, "n8:2")).sessions_end_unused()) == (0, 1)


def test_a_generation_that_follows_where_nothing_may_move_is_found() -> None:
    cut = row("fault", "", 5, what="cut")
    early = goes_by(ONE, 1, 1, 1, SESSIONS)
    assert seen(judge(early, cut, goes_by(OTHER, 2, 9, 1, SESSIONS)).nothing_moved()) == (0, 1)
    assert seen(judge(early, cut, goes_by(OTHER, 2, 9, 2, SESSIONS)).nothing_moved()) == (1, 1)
    assert not judge(early).nothing_moved().holds


def test_a_generation_with_two_contents_is_found() -> None:
    rows = [goes_by(ONE, 1, 0, 1, SESSIONS)]
    assert seen(judge(*rows, goes_by(OTHER, 2, 1, 1, SESSIONS)).one_content()) == (0, 1)
    assert seen(judge(*rows, goes_by(OTHER, 2, 1, 1, "n8:2")).one_content()) == (1, 1)


def test_a_generation_that_goes_down_within_a_session_is_found() -> None:
    def stepped(*steps: tuple[int, int]) -> tuple[float, int | None]:
        rows = [goes_by(ONE, session, n, generation, "-") for n, (session, generation) in enumerate(steps)]
        return seen(judge(*rows).generations_grow_at_a_node())

    assert stepped((1, 5), (1, 6)) == (0, 1)
    assert stepped((1, 6), (1, 5)) == (1, 1)
    assert stepped((1, 6), (1, 6)) == (1, 1)
    assert stepped((1, 6), (2, 5)) == (0, 0)


def test_a_lower_token_at_a_receiver_is_found_and_a_new_process_may_take_it() -> None:
    high, low = act("shard-take", "n0", 1, (2, 9)), act("shard-take", "n0", 5, (1, 4))
    assert seen(judge(low, {**high, "at_us": 6}).no_lower_token_at_a_receiver()) == (0, 1)
    assert seen(judge(high, low).no_lower_token_at_a_receiver()) == (1, 1)
    assert seen(judge(high, row("died", "n0", 3), low).no_lower_token_at_a_receiver()) == (0, 0)
    elsewhere = judge(high, {**low, "node": "n2"})
    assert seen(elsewhere.no_lower_token_at_a_receiver()) == (0, 0)
    assert elsewhere.figures()["acts_taken_after_a_higher_elsewhere"] == 1


def test_a_refusal_of_what_is_not_past_is_found() -> None:
    taken = act("shard-take", "n0", 1, (2, 9))
    assert seen(judge(taken, act("shard-refuse", "n0", 2, (1, 4))).only_the_past_is_refused()) == (0, 1)
    assert seen(judge(taken, act("shard-refuse", "n0", 2, (2, 9))).only_the_past_is_refused()) == (1, 1)
    assert seen(judge(act("shard-refuse", "n0", 2, (1, 4))).only_the_past_is_refused()) == (1, 1)


def test_tokens_that_go_down_from_owner_to_owner_are_found() -> None:
    def made(*tokens: tuple[int, int]) -> tuple[float, int | None]:
        rows = [act("shard-act", (ONE, OTHER)[n % 2], n, token) for n, token in enumerate(tokens)]
        return seen(judge(*rows).tokens_grow())

    assert made((1, 1), (1, 1), (2, 2)) == (0, 1)
    assert made((2, 1), (1, 2)) == (1, 1)
    assert made((2, 5), (2, 4)) == (1, 1)


def test_two_assigners_at_an_instant_are_found() -> None:
    def hold(node: str, at_us: int, until_us: int, term: int) -> Row:
        return row("hold", node, at_us, task="shards/r0", until_us=until_us, term=term)

    for until_us, breaches in ((10, 0), (11, 1)):
        rows = (hold("n0", 0, until_us, 1), hold("n2", 10, 20, 2))
        checks = {check.name: check for check in judge(*rows).checks()}
        assert seen(checks["one-owner-at-a-time"]) == (breaches, 1)


def test_a_check_without_an_occasion_does_not_hold() -> None:
    assert not any(check.holds for check in judge().checks())


# ---------------------------------------------------------------------- a day on real processes


def test_a_day_on_real_processes(real_day: Future[Played]) -> None:
    """A stop over a lease, a cut, and the assigner killed: each has happened, and shards moved."""
    played = real_day.result()
    assert broken(played) == []
    struck = [row["what"] for row in played.rows if row["kind"] == "fault"]
    assert {"stop", "go-on", "cut", "heal"} <= set(struck)
    assert [r for r in played.rows if r["kind"] == "log" and "Traceback" in r["text"]] == []
    assert played.figures["changes_of_owner"] > 0 and played.figures["acts_taken"] > 100
    holds = [r for r in played.rows if r["kind"] == "hold"]
    died = [r for r in played.rows if r["kind"] == "died"]
    assert any(
        h["node"] == d["node"] and h["at_us"] < d["at_us"] < h["until_us"] for h in holds for d in died
    )
    assert played.figures["changes_of_assigner"] > 0
