"""The parts of the node that depend on no other: command queue, timers, message latency, failure detector."""

from __future__ import annotations

from sailrun.node.command_queue import CommandQueue
from sailrun.node.failure_detector import SEVERAL_UNRESPONSIVE_US, UNRESPONSIVE_US, FailureDetector
from sailrun.node.message_latency import REPORT_INTERVAL_US, MessageLatency
from sailrun.node.session import FormSession
from sailrun.node.timers import TimerQueue

THRESHOLD_US = 20_000.0


def make_waiting_session(name: str, since_us: int) -> FormSession:
    session = FormSession(name, "page-load", 0, None)  # type: ignore[arg-type]
    session.unanswered_since_us.append(since_us)
    return session


def test_commands_run_in_order_including_those_posted_meanwhile() -> None:
    queue, results = CommandQueue(), list[str]()
    queue.post(results.append, "first")
    queue.post(lambda: queue.post(results.append, "third"))
    queue.post(results.append, "second")
    queue.run()
    assert results == ["first", "second", "third"] and not queue


def test_only_a_command_posted_to_the_empty_queue_calls_wake() -> None:
    queue, woken = CommandQueue(), list[bool]()
    queue.wake = lambda: woken.append(True)
    queue.post(list[int]().append, 1)
    queue.post(list[int]().append, 2)
    assert len(woken) == 1
    queue.run()
    queue.post(list[int]().append, 3)
    assert len(woken) == 2


def test_timers_fire_in_order_of_time_and_not_early() -> None:
    timers = TimerQueue()
    assert timers.due_us() is None
    timers.set(30, 1)
    timers.set(10, 2)
    assert timers.due_us() == 10
    assert [timers.pop_due(9), timers.pop_due(10), timers.pop_due(10)] == [None, 2, None]
    assert timers.pop_due(30) == 1 and timers.due_us() is None


def test_a_pending_line_counts_once_it_has_waited_longer_than_the_median() -> None:
    latency, now_us = MessageLatency(), 10_000_000
    assert latency.median_us(now_us, []) is None
    latency.record(now_us, 4_000)
    assert latency.median_us(now_us, [now_us - 3_000]) == 4_000
    assert latency.median_us(now_us, [now_us - 9_000, now_us - 9_000]) == 9_000


def test_a_latency_over_the_threshold_is_reported_each_second_and_once_when_back_under() -> None:
    latency, now_us = MessageLatency(), 10_000_000
    latency.record(now_us, 50_000)
    assert latency.is_report_due(now_us, THRESHOLD_US)
    assert latency.poll_report(now_us, THRESHOLD_US, []) == 50.0 and latency.is_slow
    assert not latency.is_report_due(now_us + REPORT_INTERVAL_US - 1, THRESHOLD_US)
    now_us += 2 * REPORT_INTERVAL_US
    latency.record(now_us, 5_000)
    assert latency.poll_report(now_us, THRESHOLD_US, []) == 5.0 and not latency.is_slow
    assert latency.poll_report(now_us, THRESHOLD_US, []) is None


def test_a_latency_reported_by_the_form_server_delays_reports_of_those_measured_here() -> None:
    latency, now_us = MessageLatency(), 10_000_000
    assert latency.on_reported(now_us, True) and not latency.on_reported(now_us, True)
    assert not latency.is_report_due(now_us + 2 * REPORT_INTERVAL_US, THRESHOLD_US)
    assert latency.is_report_due(now_us + 3 * REPORT_INTERVAL_US, THRESHOLD_US)


def test_several_waiting_sessions_reveal_an_unresponsive_form_server_sooner_than_one() -> None:
    detector, idle = FailureDetector(), FormSession("idle", "page-load", 0, None)  # type: ignore[arg-type]
    began_us = 1_000_000
    one = [make_waiting_session("one", began_us), idle]
    assert detector.find_unresponsive(began_us + UNRESPONSIVE_US - 1, one) == []
    assert detector.find_unresponsive(began_us + UNRESPONSIVE_US, one) == one
    three = [make_waiting_session(name, began_us) for name in ("one", "two", "three")]
    assert detector.find_unresponsive(began_us + SEVERAL_UNRESPONSIVE_US - 1, three) == []
    assert detector.find_unresponsive(began_us + SEVERAL_UNRESPONSIVE_US, [*three, idle]) == [*three, idle]


def test_a_form_server_that_has_sent_anything_since_is_responsive() -> None:
    detector, session = FailureDetector(), make_waiting_session("one", 1_000_000)
    detector.last_received_us = 1_000_001
    assert detector.find_unresponsive(1_000_000 + UNRESPONSIVE_US, [session]) == []
