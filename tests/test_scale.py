"""Tests of the scale run: node placement, rejected plans, checks, and a small run of each driver."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path

import pytest

from sailrun.lab.faults.history import Row
from sailrun.lab.run import Outcome, Summary
from sailrun.lab.scale.checks import (
    CONVERGENCE_LIMIT_S,
    MAX_LATE_MS,
    late_check,
    longest_gap_s,
    members_known_check,
    owner_checks,
    shards_check,
)
from sailrun.lab.scale.command import run_scale
from sailrun.lab.scale.fault_watch import FaultWatch
from sailrun.lab.scale.faults import (
    CutRegions,
    HealRegions,
    KillHost,
    KillNodes,
    LeaveNodes,
    StartHost,
    StartNodes,
    Step,
    fault_steps,
)
from sailrun.lab.scale.host_messages import Look, NodeReport, line_of, read_command
from sailrun.lab.scale.network_model import LOST_BETWEEN_REGIONS, REGION_STEP_S, NetworkModel
from sailrun.lab.scale.plan import (
    FAULTS,
    MAX_MEMORY_MB,
    DoesNotFit,
    Place,
    ScalePlan,
    check_fit,
    control_of,
    memory_mb,
    place_nodes,
    voters_of,
)
from sailrun.lab.scale.role_table import is_role_figure, role_lines
from sailrun.lab.scale.roles import MEASURES, NodeUse, role_figures, roles_of, use_between
from sailrun.lab.scale.settings import node_settings
from sailrun.leadership.traffic_counters import TrafficCounters

SECOND = 1_000_000
SMALL = ScalePlan(nodes=3, hollow=60, seconds=3.0)


# ---------------------------------------------------------------------- the plan


def test_nodes_are_placed_in_all_zones_and_real_ones_in_the_first_region() -> None:
    places = place_nodes(SMALL, block=20)
    assert len({place.address for place in places}) == len(places) == 63
    assert len({place.zone for place in places}) == 23 and len({place.region for place in places}) == 6
    assert {place.region for place in places if place.real} == {"r0"}
    assert all(place.zone.startswith(place.region + "-") for place in places)
    assert {place.host for place in places} == {-1, 0, 1}


def test_every_region_has_a_voter_and_one_voter_is_a_real_process() -> None:
    places = place_nodes(SMALL)
    voters = [place for place in places if place.name in voters_of(places)]
    assert len(voters) == 7 and {place.region for place in voters} == {f"r{n}" for n in range(6)}
    assert sum(place.real for place in voters) == 1


def test_with_shards_three_members_of_each_region_are_set_aside_and_vote_there() -> None:
    plan = replace(SMALL, shards=6_000)
    places = place_nodes(plan)
    control = [place for place in places if place.role]
    assert len(control) == 18 and not any(place.real for place in control)
    for region in {place.region for place in places}:
        voters = control_of(places, region)
        assert len(voters) == 3 and len({p.zone for p in control if p.region == region}) == 3
        region_settings = node_settings(
            plan, places, next(p for p in places if p.region == region)
        ).sharding.region(region)
        assert region_settings is not None and (region_settings.voters, region_settings.shards) == (
            voters,
            1_000,
        )
    assert set(voters_of(places)) <= {place.name for place in control}
    assert not node_settings(SMALL, place_nodes(SMALL), place_nodes(SMALL)[0]).sharding.enabled
    with pytest.raises(DoesNotFit, match="fewer than 24"):
        check_fit(replace(plan, hollow=23))


def test_no_virtual_node_is_a_process() -> None:
    assert not any(place.real for place in place_nodes(replace(SMALL, driver="virtual")))


def test_node_settings_match_the_place() -> None:
    places = place_nodes(replace(SMALL, replica=False))
    settings = node_settings(replace(SMALL, replica=False), places, places[1])
    assert settings.membership.name == "n1" and settings.membership.listen == places[1].address
    assert places[1].address not in settings.membership.join and len(settings.membership.join) == 2
    assert settings.leadership.enabled and settings.list_reader.enabled and not settings.replication.enabled


@pytest.mark.parametrize(
    "plan, message",
    [
        (ScalePlan(nodes=3, hollow=4_000), "MB are expected, more than 12000"),
        (ScalePlan(nodes=299, hollow=10), "processes are more than 300"),
        (ScalePlan(nodes=0, hollow=3_801, driver="virtual"), "more than 3800"),
        (ScalePlan(nodes=1, hollow=1), "fewer than 3"),
    ],
)
def test_a_run_that_does_not_fit_is_rejected_before_it_starts(plan: ScalePlan, message: str) -> None:
    with pytest.raises(DoesNotFit, match=message):
        run_scale(plan)


def test_the_largest_runs_that_are_allowed_fit() -> None:
    check_fit(ScalePlan(nodes=20, hollow=1_600))
    check_fit(ScalePlan(nodes=0, hollow=3_800, driver="virtual"))
    assert memory_mb(ScalePlan(nodes=0, hollow=3_800, driver="virtual")) < MAX_MEMORY_MB


@pytest.mark.parametrize(
    "arguments, line",
    [
        (("--nodes", "3", "--hollow", "5000"), "sailrun: scale: "),
        (("--faults", "flood"), "sailrun: --faults: 'flood' is none of rest, hosts"),
        (("--driver", "magic"), "sailrun: --driver: 'magic' is none of"),
        (("--seconds", "0"), "sailrun: --seconds: 0 is not from 1"),
    ],
)
def test_the_command_rejects_invalid_options_with_one_line(
    tmp_path: Path, arguments: tuple[str, ...], line: str
) -> None:
    command = [sys.executable, "-m", "sailrun", "lab", "run", "scale", *arguments]
    done = subprocess.run([*command, "--out", str(tmp_path / "out")], capture_output=True, text=True)
    assert done.returncode == 2 and done.stdout == ""
    assert done.stderr.startswith(line) and done.stderr.count("\n") == 1
    assert not (tmp_path / "out").exists()


def test_other_experiments_reject_the_hollow_option(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "sailrun", "lab", "run", "calm", "--hollow", "5", "--out", str(tmp_path)]
    done = subprocess.run(command, capture_output=True, text=True)
    assert done.returncode == 2 and "--hollow: only 'scale' takes it" in done.stderr


# ---------------------------------------------------------------------- the network


def _place(name: str, region: int, zone: int) -> Place:
    return Place(0, name, f"r{region}", f"r{region}-z{zone}", f"r{region}-z{zone}-k0", f"127.1.0.1:{zone}", 0)


def test_delays_grow_with_the_distance_along_the_ring_of_regions() -> None:
    here, near, far, other_way = (_place(f"n{n}", n, n) for n in (0, 1, 3, 5))
    model = NetworkModel([here, near, far, other_way], 6, "seed")

    def delay_s(to: Place) -> float:
        delay = model.frame_s(here, to)
        assert delay is not None
        return delay

    assert delay_s(_place("same", 0, 0)) < delay_s(_place("beside", 0, 6)) < 0.002
    for to, steps in ((near, 1), (far, 3), (other_way, 1)):
        assert REGION_STEP_S * steps <= delay_s(to) <= REGION_STEP_S * steps * 1.2


def test_datagrams_between_regions_are_lost_in_the_stated_share() -> None:
    here, there = _place("n0", 0, 0), _place("n1", 1, 1)
    model = NetworkModel([here, there], 6, "seed")
    lost = sum(model.datagram_s(here, there) is None for _ in range(50_000))
    assert 0.5 * LOST_BETWEEN_REGIONS < lost / 50_000 < 1.5 * LOST_BETWEEN_REGIONS
    assert all(model.frame_s(here, there) is not None for _ in range(5_000))


def test_a_cut_blocks_both_directions_until_it_is_healed() -> None:
    here, there, third = _place("n0", 0, 0), _place("n1", 1, 1), _place("n2", 2, 2)
    model = NetworkModel([here, there, third], 6, "seed")
    model.cut("r0", "r1")
    for sender, receiver in ((here, there), (there, here)):
        assert model.datagram_s(sender, receiver) is None and model.frame_s(sender, receiver) is None
    assert model.passes(here, third) and model.passes(third, there)
    model.heal()
    assert model.passes(here, there)


def test_a_silent_node_exchanges_no_messages() -> None:
    here, there = _place("n0", 0, 0), _place("n1", 0, 0)
    model = NetworkModel([here, there], 6, "seed")
    model.silence(["n1"], True)
    assert not model.passes(here, there) and not model.passes(there, here)
    model.silence(["n1"], False)
    assert model.passes(here, there)


# ---------------------------------------------------------------------- faults


@pytest.mark.parametrize("faults", FAULTS)
def test_fault_steps_are_in_time_order_and_every_ended_node_is_restarted(faults: str) -> None:
    plan = replace(SMALL, faults=faults)
    steps = fault_steps(plan, place_nodes(plan))
    assert bool(steps) is (faults not in ("rest", "begin"))
    assert [step.at_s for step in steps] == sorted(step.at_s for step in steps)
    ended: set[object] = set()
    for step in steps:
        match step.action:
            case KillNodes(names) | LeaveNodes(names):
                ended |= set(names)
            case StartNodes(names):
                ended -= set(names)
            case KillHost(number):
                ended.add(number)
            case StartHost(number):
                ended.discard(number)
    assert not ended


def test_a_rolling_restart_restarts_every_node_once() -> None:
    plan = replace(SMALL, faults="roll")
    left = [
        name
        for step in fault_steps(plan, place_nodes(plan))
        if isinstance(step.action, LeaveNodes)
        for name in step.action.names
    ]
    assert sorted(left) == sorted(place.name for place in place_nodes(plan))


def test_commands_decode_to_what_was_encoded() -> None:
    command = Look(3, 17, {"n1": 2})
    assert read_command(line_of(command)) == command


# ---------------------------------------------------------------------- figures by role


def _report(name: str, sent: int, cpu_s: float, *tasks: str, voter: bool = False) -> NodeReport:
    return NodeReport(
        name, 1, TrafficCounters(sent, 2 * sent, 10 * sent, 100 * sent), cpu_s, list(tasks), voter
    )


def test_the_use_of_a_node_is_the_increase_per_second() -> None:
    use = use_between(_report("n1", 10, 1.0), _report("n1", 60, 1.5), 10.0, 0.125, 24.0)
    assert use == NodeUse("n1", ("ordinary",), 50.0, 500.0, 5.0, 10.0, 0.05, 0.125, 24.0)


def test_roles_come_from_owned_tasks_and_the_vote_or_are_ordinary() -> None:
    assert roles_of(_report("n1", 0, 0.0)) == ("ordinary",)
    both = _report("n1", 0, 0.0, "marks", "roster/r0-z0", voter=True)
    assert roles_of(both) == ("owner_marks", "reader", "voter")
    assert roles_of(both, is_real=True) == ("real",)


def test_figures_are_the_median_and_the_maximum_of_each_role() -> None:
    uses = [use_between(_report(f"n{n}", 0, 0.0), _report(f"n{n}", n, 0.0), 1.0, 0.0, 1.0) for n in (1, 2, 9)]
    uses.append(use_between(_report("v", 0, 0.0), _report("v", 5, 0.0, voter=True), 1.0, 0.0, 1.0))
    figures = role_figures(uses)
    assert figures["ordinary.nodes"] == 3 and figures["voter.nodes"] == 1
    assert figures["ordinary.messages_in.median"] == 2 and figures["ordinary.messages_in.most"] == 9
    assert figures["voter.bytes_out.median"] == figures["voter.bytes_out.most"] == 500
    assert {name.split(".")[1] for name in figures} == {*MEASURES, "nodes"}
    assert set(role_figures(uses, "fault.")) == {f"fault.{name}" for name in figures}


def test_the_table_has_a_row_for_each_stretch_and_role() -> None:
    use = use_between(_report("n1", 0, 0.0), _report("n1", 400, 0.25), 10.0, 0.05, 1.5)
    lines = list(role_lines(role_figures([use]) | role_figures([use], "fault.")))
    assert [line.split()[0] for line in lines] == ["rest:", "ordinary", "fault:", "ordinary"]
    assert "400, 400" in lines[1] and "2.50%, 2.50%" in lines[1] and "1.50, 1.50" in lines[1]
    assert is_role_figure("ordinary.nodes") and not is_role_figure("known_after_begin_s")


# ---------------------------------------------------------------------- checks


def _hold(node: str, at_s: float, until_s: float, term: int, task: str = "permits") -> Row:
    times = {"at_us": int(at_s * SECOND), "until_us": int(until_s * SECOND)}
    return {"node": node, "kind": "hold", "task": task, "term": term, **times}


def _check_by_name(checks: list[Outcome], name: str) -> Outcome:
    return next(check for check in checks if check.name == name)


def test_two_owners_at_the_same_time_are_found() -> None:
    one_after_another = [_hold("n1", 0, 2, 1), _hold("n1", 1, 3, 1), _hold("n2", 4, 6, 2)]
    check = _check_by_name(owner_checks(one_after_another, 0, 5 * SECOND), "one-owner-a-task")
    assert check.holds and check.occasions == 1
    at_once = [_hold("n1", 0, 2, 1), _hold("n1", 1, 3, 1), _hold("n2", 2.5, 6, 2)]
    check = _check_by_name(owner_checks(at_once, 0, 5 * SECOND), "one-owner-a-task")
    assert not check.holds and check.faults == ["2.500 s: permits: n2 and n1 both own it"]


def test_a_dead_owner_no_longer_owns_its_task() -> None:
    died: Row = {"node": "n1", "kind": "died", "at_us": 1 * SECOND}
    rows = [_hold("n1", 0, 3, 1), died, _hold("n2", 2, 6, 2)]
    assert _check_by_name(owner_checks(rows, 0, 5 * SECOND), "one-owner-a-task").holds


def test_a_task_without_an_owner_at_the_end_is_found() -> None:
    rows = [_hold("n1", 0, 2, 1), _hold("n2", 4, 6, 1, "marks")]
    check = _check_by_name(owner_checks(rows, 0, 5 * SECOND), "every-task-owned-at-the-end")
    assert not check.holds and check.faults == ["permits has no owner"]


def test_owner_checks_fail_if_no_task_was_ever_owned() -> None:
    assert not any(check.holds for check in owner_checks([], 0, SECOND))


def test_a_wrong_number_of_shards_in_use_is_found() -> None:
    reports = [NodeReport("a", 1, TrafficCounters(), 0.0, [], False, shards=n) for n in (4, 6)]
    assert shards_check(reports, 10).holds
    assert not shards_check(reports, 11).holds and not shards_check(reports, 9).holds


def test_a_late_host_makes_the_figures_invalid() -> None:
    on_time, late = [1.0] * 100, [1.0] * 97 + [MAX_LATE_MS + 50] * 3
    assert late_check({"host-0": on_time, "host-1": on_time}).holds
    check = late_check({"host-0": on_time, "host-1": late})
    assert not check.holds and check.faults == [
        "host-1 ran its event loop late by 150 ms: the figures of this run are invalid"
    ]
    assert not late_check({}).holds


def test_members_that_are_never_known_fail_the_check() -> None:
    assert members_known_check("known", CONVERGENCE_LIMIT_S, [], occasions=1).holds
    assert not members_known_check("known", 0.0, [], occasions=0).holds
    never = members_known_check("known", float("inf"), ["n4"], occasions=1)
    assert (
        not never.holds
        and never.value is None
        and never.faults == ["n4 does not know exactly the running members"]
    )


def test_the_longest_time_without_an_owner_is_measured_between_two_owners() -> None:
    rows = [_hold("n1", 0, 2, 1), _hold("n2", 3.5, 5, 2), _hold("n1", 0, 9, 1, "marks")]
    assert longest_gap_s(rows, 0, 9 * SECOND) == 1.5
    assert longest_gap_s([], 0, SECOND) == 0.0


def test_the_time_until_all_nodes_know_of_a_kill_is_reported() -> None:
    watch = FaultWatch()
    watch.on_action(10.0, KillNodes(("n1",)))
    for at_s, lacking in ((11.0, 40), (15.0, 3), (17.0, 0), (18.0, 0)):
        watch.on_poll(at_s, lacking)
    watch.on_action(20.0, StartNodes(("n1",)))
    assert watch.figures() == {"fault_actions": 2.0, "most_lacking_in_fault": 40.0, "gone_known_s": 7.0}
    assert watch.occasions(0) == 2


def test_a_restart_before_all_nodes_knew_of_the_kill_makes_that_time_infinite() -> None:
    watch = FaultWatch()
    watch.on_action(0.0, KillHost(0))
    watch.on_poll(1.0, 5)
    watch.on_action(2.0, StartHost(0))
    assert watch.figures()["gone_known_s"] == float("inf")


def test_a_cut_that_blocked_no_message_counts_as_no_occasion() -> None:
    watch = FaultWatch()
    watch.on_action(0.0, CutRegions("r0", "r1"))
    watch.on_action(5.0, HealRegions())
    assert watch.occasions(0) == 0 and watch.occasions(3) == 5


# ---------------------------------------------------------------------- small runs


def _assert_all_checks_hold(summary: Summary) -> None:
    assert summary.holds, [check for check in summary.checks if not check.holds]
    assert all(check.occasions for check in summary.checks)


def test_a_zone_is_killed_and_restarted_in_virtual_time() -> None:
    plan = ScalePlan(nodes=0, hollow=60, zones=6, regions=3, seconds=5.0, faults="zone", driver="virtual")
    summary, records = run_scale(plan)
    _assert_all_checks_hold(summary)
    figures = summary.figures
    assert figures["ordinary.nodes"] and figures["voter.nodes"] == 7 and figures["reader.nodes"] == 6
    for role in ("ordinary", "voter", "reader", "owner_permits", "owner_marks", "owner_pace"):
        for measure in MEASURES:
            median, most = (figures[f"{role}.{measure}.{which}"] for which in ("median", "most"))
            assert median is not None and most is not None and 0 < median <= most, (role, measure)
    assert figures["known_after_fault_s"] is not None and "fault.ordinary.bytes_out.most" in figures
    kinds = set(records.history.columns["kind"])
    assert {"started", "died", "hold", "fault"} <= kinds


def test_all_shards_are_owned_again_after_a_zone_was_lost_in_virtual_time() -> None:
    plan = ScalePlan(nodes=0, hollow=60, seconds=5.0, faults="zone", driver="virtual", shards=1_200)
    summary, _ = run_scale(plan)
    assert summary.holds, [check for check in summary.checks if not check.holds]
    assert summary.figures["assigner.nodes"] == 6 and summary.figures["control.nodes"] == 18


def test_the_same_seed_gives_the_same_traffic_in_virtual_time() -> None:
    plan = ScalePlan(nodes=0, hollow=30, zones=6, regions=3, seconds=5.0, driver="virtual")
    runs = [run_scale(plan)[0].figures for _ in range(2)]
    same = [name for name in runs[0] if ".bytes_" in name or ".messages_" in name]
    assert same and all(runs[0][name] == runs[1][name] for name in same)


def test_all_nodes_start_at_once_in_virtual_time() -> None:
    plan = ScalePlan(nodes=0, hollow=40, zones=6, regions=3, seconds=2.0, faults="begin", driver="virtual")
    summary, _ = run_scale(plan)
    _assert_all_checks_hold(summary)
    assert summary.figures["known_after_begin_s"] and "begin.ordinary.bytes_in.most" in summary.figures


def test_hollow_nodes_and_real_processes_recover_from_a_kill_and_a_cut() -> None:
    """Runs 60 hollow nodes in two hosts and three real processes. A host and a real process are killed and
    restarted, and two regions are cut off from each other and healed.
    """
    real = place_nodes(SMALL)[-1].name
    steps = [
        Step(0.0, KillHost(0)),
        Step(0.0, KillNodes((real,))),
        Step(1.0, StartHost(0)),
        Step(1.0, StartNodes((real,))),
        Step(1.5, CutRegions("r0", "r1")),
        Step(5.0, HealRegions()),
    ]
    summary, _ = run_scale(SMALL, steps=steps)
    on_time = [check for check in summary.checks if check.name == "hosts-on-time-ms"]
    assert len(on_time) == 1
    # The lateness of the hosts depends on the machine, not on the program: this check only has to exist.
    others = [check for check in summary.checks if check.name != "hosts-on-time-ms"]
    assert all(check.holds for check in others), others
    figures = summary.figures
    assert figures["real.nodes"] == 3 and figures["voter.nodes"] == 6 and figures["hosts"] == 2
    assert figures["fault_actions"] == len(steps) and figures["messages_stopped"]
    memory, expected = figures["memory_mb"], figures["memory_expected_mb"]
    assert memory is not None and expected is not None and memory < 1.25 * expected
    for role in ("ordinary", "voter", "real"):
        for measure in MEASURES:
            median, most = (figures[f"{role}.{measure}.{which}"] for which in ("median", "most"))
            assert median is not None and most is not None and 0 < median <= most, (role, measure)


def test_the_command_writes_a_summary_and_records(tmp_path: Path) -> None:
    out = tmp_path / "out"
    command = [sys.executable, "-m", "sailrun", "lab", "run", "scale", "--driver", "virtual"]
    sizes = ["--nodes", "0", "--hollow", "30", "--seconds", "3", "--out", str(out)]
    done = subprocess.run([*command, *sizes], capture_output=True, text=True)
    assert done.returncode == 0, done.stdout + done.stderr
    summary = json.loads((out / "summary.json").read_text())
    assert summary["experiment"] == "scale" and summary["world"]["hollow"] == 30
    assert "ordinary.bytes_out.median" in summary["figures"]
    assert {path.name for path in out.iterdir()} == {"summary.json", "history.parquet", "uses.parquet"}


def _children(pid: int) -> list[int]:
    return [int(child) for child in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def test_a_terminated_run_leaves_no_process_behind(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "sailrun", "lab", "run", "scale", "--nodes", "2", "--hollow", "20"]
    run = subprocess.Popen([*command, "--seconds", "600", "--out", str(tmp_path / "out")])
    try:
        deadline = time.monotonic() + 20
        while len(children := _children(run.pid)) < 4 and time.monotonic() < deadline:
            time.sleep(0.05)
        assert len(children) == 4  # two hosts and two real processes
        run.terminate()
        assert run.wait(timeout=15) != 0
    finally:
        run.kill()
    assert not [child for child in children if Path(f"/proc/{child}").exists()]
