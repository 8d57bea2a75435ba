"""Generates events from a seed, in the line format that `sailrun.benchlink`, the decision module's process,
reads from the bench's simulator.

The simulation in this file responds to the module's actions: attempts open a connection, end or time out,
timers fire, peers receive each other's messages and lists of backends change. All random choices derive from
the scenario's seed, so two versions that behave the same see the same events. Times are whole microseconds.
"""

from __future__ import annotations

import heapq
import random
import subprocess
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

MILLISECOND_US, SECOND_US = 1_000, 1_000_000
START_US = 50 * SECOND_US
DEADLINE_US = 1_200_000
SLOW_START_US = 8 * SECOND_US
# Mean rate of arriving requests at each instance.
ARRIVALS_PER_S = 12.0
BACKEND_COUNT, MAX_INSTANCES = 12, 4
ZONES, GROUP_COUNT, KEY_COUNT = ("east", "west"), 12, 60
GONE, READY, DRAINING = 0, 1, 2
FAILED_LIST, DELTA, CACHED, FULL = 0, 1, 2, 3
# The outcomes of attempts whose connection is never opened, with their weights; `delivered` is the end of an
# open connection.
EARLY_OUTCOMES = {"app_error": 3, "shed": 5, "expired": 3, "dial_failed": 4, "dropped": 3, "unused": 2}
# Share of the attempts at backends other than the faulty one whose connection is never opened, and shares of
# the open connections that end with `app_error` and with `dropped`.
EARLY_END_SHARE, LATE_APP_ERROR_SHARE, DROPPED_SHARE = 0.08, 0.05, 0.08
# Share of the attempts that fail at the one backend that is currently faulty, and the longest message times
# that interim reports carry, there and elsewhere.
FAULTY_FAILURE_SHARE, MAX_FAULTY_MESSAGE_MS, MAX_MESSAGE_MS = 0.7, 600.0, 60.0
# Share of attempts that fail while the store that all backends share is congested, the start of the
# congestion, counted from START_US, and its duration.
CONGESTED_FAILURE_SHARE, CONGESTION_START_US, CONGESTION_TIME_US = 0.85, 5 * SECOND_US, 6 * SECOND_US
# Upper limits of the time to open a connection: the first for three connections in four, the second for the
# others.
MAX_OPEN_US, MAX_SLOW_OPEN_US = 60_000, 500_000
# Name, effect and group scope of each request class.
CLASSES = (("feed", "idempotent", "all"), ("pay", "deduplicated", "cell"), ("once", "at_most_once", "zone"))
# Bits of the `marks` field of a request.
REPEAT_FLAG, MID_FLOW_FLAG, RETURNING_FLAG, HINT_FLAG = 2, 8, 16, 1


@dataclass(frozen=True, slots=True)
class Scenario:
    """The settings of one stream."""

    seed: int
    discovery: str  # push or ask
    instances: int  # instances of the program, of which at most MAX_INSTANCES are simulated
    is_pass_through: bool = False  # mode `pass`, in which requests may arrive mid-flow
    has_parallel_attempts: bool = False
    has_congested_store: bool = False  # shared by all backends; most attempts fail while it is congested
    seconds: float = 20.0

    @property
    def name(self) -> str:
        """The name of the stream in the output of `same_behaviour.py`."""
        mode = " pass-through" if self.is_pass_through else ""
        parallel = " parallel" if self.has_parallel_attempts else ""
        store = " congested" if self.has_congested_store else ""
        return f"stream {self.seed} {self.discovery} x{self.instances}{mode}{parallel}{store}"


@dataclass(slots=True)
class Backend:
    """One simulated backend."""

    number: int
    zone: str
    cell: int
    state: int = READY
    started_us: int = 0

    def format_line(self) -> str:
        """Returns the line of the backend in a list."""
        started = f"\tbootTimeUs={self.started_us}" if self.started_us else ""
        return (
            f"m\tbackend={self.number}\taz={self.zone}\ttype=k\tcohort={self.cell}\tlifecycle={self.state}"
            f"\tcapacityHint={1 + self.cell / 2}{started}"
        )


@dataclass(slots=True)
class Request:
    """A client's request at one instance, with its attempts."""

    instance: int
    name: str
    fields: str
    deadline_us: int
    attempt_count: int = 0
    is_finished: bool = False
    outstanding: set[int] = field(default_factory=set)  # attempts that have not ended
    opened: dict[int, int] = field(default_factory=dict)  # backend by attempt, of open connections
    backends: dict[int, int] = field(default_factory=dict)  # backend by attempt


Callback = Callable[[], None]


class Simulation:
    """Simulates the clients, backends, discovery and timers of the simulated instances."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.now_us = START_US
        self.pending_lines: list[str] = []  # lines of the next batch
        self._rng = random.Random(scenario.seed)
        self._queue: list[tuple[int, int, Callback]] = []
        self._callback_count = self._request_count = self._list_version = 0
        self._instances = range(min(MAX_INSTANCES, scenario.instances))
        self._subscribed: set[int] = set()
        self._faulty_backend = 0  # number of the backend that currently fails most attempts
        self._requests: dict[tuple[int, str], Request] = {}
        self._process_numbers = dict.fromkeys(self._instances, 0)
        self._backends = [Backend(1000 + 37 * n, ZONES[n % len(ZONES)], n % 3) for n in range(BACKEND_COUNT)]
        for instance in self._instances:
            self._start_instance(instance)
        self._schedule(SECOND_US, self._change_backends)
        self._schedule(6 * SECOND_US, self._restart_instance)

    # ------------------------------------------------------------------ time

    def _schedule(self, wait_us: float, callback: Callback) -> None:
        self._callback_count += 1
        heapq.heappush(self._queue, (self.now_us + max(0, int(wait_us)), self._callback_count, callback))

    def _schedule_for_instance(self, wait_us: float, instance: int, callback: Callback) -> None:
        """Schedules a callback that is dropped if the instance restarts first."""
        process_number = self._process_numbers[instance]
        self._schedule(
            wait_us, lambda: callback() if self._process_numbers[instance] == process_number else None
        )

    def generate_batches(self) -> Iterator[list[str]]:
        """Yields the batches of the stream; call `apply_actions` with the reply before the next one."""
        end_us = START_US + int(self.scenario.seconds * SECOND_US)
        while self._queue and self._queue[0][0] <= end_us:
            self.now_us = self._queue[0][0]
            while self._queue and self._queue[0][0] <= self.now_us:
                heapq.heappop(self._queue)[2]()
            if self.pending_lines:
                batch = [f"clock\tsimTimeUs={self.now_us}", *self.pending_lines, "end"]
                self.pending_lines = []
                yield batch

    # ------------------------------------------------------------------ instances and lists

    def _format_instance_start(self, instance: int) -> str:
        scenario = self.scenario
        parts = [
            f"born\twho={instance}\tinitSeed={scenario.seed * 100 + instance}\taz={ZONES[instance % 2]}",
            f"discovery={scenario.discovery}\tsiblings={scenario.instances}\tindex={instance}",
            f"services.count={len(CLASSES)}\tfamilyInfo.messageAimUs=50000,null,80000",
            "orgs.count=2\torgs.0.name=t1\torgs.0.share=0.3\torgs.0.quotaPerS=9\torgs.1.name=t2",
            "orgs.1.share=0.7\torgs.1.quotaPerS=40\toverShareWorth=0.5",
            "familyInfo.tenantQuotaConnections=30,60\tfamilyInfo.tellsDelay=true\tfamilyInfo.parkUs=4000000",
            f"obligations.drainGraceUs=500000\tobligations.coldFrom=0.2\tobligations.coldUs={SLOW_START_US}",
            "obligations.fallMultiple=3.0\tobligations.fallUs=1000000\tobligations.answerSlackUs=16000",
            "obligations.mustAskInUs=3000000\tlimits.maxAttempts=3\tlimits.connectTimeoutUs=250000",
            "limits.retryAfter=true\tlimits.maxRetryAfterUs=2000000\tlimits.cancel=true\tlimits.probes=true",
            f"limits.peerMessages=true\tlimits.parallelTries={int(scenario.has_parallel_attempts)}",
            "weightSource=nominal\ttelemetry.fields=pending,x0",
        ]
        if scenario.is_pass_through:
            parts.append("familyInfo.mode=pass")
        for number, (name, effect, scope) in enumerate(CLASSES):
            prefix = f"services.{number}"
            parts.append(f"{prefix}.name={name}\t{prefix}.effect={effect}\t{prefix}.group={scope}")
            parts.append(f"{prefix}.objectiveUs=300000\t{prefix}.deadlineUs={DEADLINE_US}")
            parts.append(f"{prefix}.gain={1.0 + number}\t{prefix}.repeatWindowUs=5000000")
        return "\t".join(parts)

    def _start_instance(self, instance: int) -> None:
        self._process_numbers[instance] += 1
        self.pending_lines.append(self._format_instance_start(instance))
        self._send_list(instance, CACHED, self._backends)
        for _ in range(self._rng.randrange(4)):
            backend = self._rng.choice(self._backends)
            request = self._new_request(instance, "resumed", f"\tbackend={backend.number}")
            request.attempt_count = 1
            request.outstanding.add(0)
            request.backends[0] = request.opened[0] = backend.number
            self._schedule_connection_events(request, 0)
        self._schedule_for_instance(0, instance, lambda: self._add_arrival(instance))

    def _restart_instance(self) -> None:
        instance = self._rng.choice(self._instances)
        # Only a change of the number matters; `_start_instance` increases it once more.
        self._process_numbers[instance] += 1
        self._requests = {key: request for key, request in self._requests.items() if key[0] != instance}
        self._subscribed.discard(instance)
        self.pending_lines.append(f"crash_now\twho={instance}")
        self._start_instance(instance)
        self._schedule(self._rng.uniform(4, 9) * SECOND_US, self._restart_instance)

    def _send_list(self, instance: int, kind: int, backends: list[Backend]) -> None:
        self._list_version += 1
        number = self._list_version % 16
        if kind != FAILED_LIST:
            self.pending_lines.append(f"list\tsetId={number}\tlines={len(backends)}")
            self.pending_lines += [backend.format_line() for backend in backends]
        self.pending_lines.append(
            f"discovery\twho={instance}\tkind={kind}\tindex={self._list_version}\tsetId={number}"
        )

    def _change_backends(self) -> None:
        changed = self._rng.sample(self._backends, self._rng.choice((1, 1, 2)))
        for backend in changed:
            if backend.state == READY:
                backend.state = self._rng.choice((DRAINING, GONE))
                if backend.state == GONE:
                    self._crash_backend(backend)
            elif backend.state == DRAINING:
                backend.state = GONE
            else:
                backend.state, backend.started_us = READY, self.now_us
        self._faulty_backend = self._rng.choice(self._backends).number
        for instance in self._instances:
            if self.scenario.discovery == "push" or instance in self._subscribed:
                self._send_list(instance, self._rng.choice((DELTA, DELTA, FULL)), changed)
                if self._rng.random() < 0.1:
                    self._send_list(instance, FULL, self._backends)
        self._schedule(self._rng.uniform(1.0, 4.0) * SECOND_US, self._change_backends)

    def _crash_backend(self, backend: Backend) -> None:
        """Ends all attempts at a backend."""
        for request in list(self._requests.values()):
            for attempt in sorted(request.outstanding):
                if request.backends[attempt] == backend.number:
                    self._end_attempt(
                        request, attempt, "dropped" if attempt in request.opened else "dial_failed"
                    )

    def _answer_list_request(self, instance: int, kind: int) -> None:
        failed = self._rng.random() < 0.2
        self._send_list(instance, FAILED_LIST if failed else kind, [] if failed else self._backends)

    # ------------------------------------------------------------------ requests

    def _new_request(self, instance: int, event: str, extra_fields: str = "", flags: int = 0) -> Request:
        rng = self._rng
        self._request_count += 1
        name = f"rq_{self._request_count}"
        remaining_us = rng.choice((DEADLINE_US, DEADLINE_US, rng.randrange(20_000, DEADLINE_US)))
        flags |= rng.choice((0, 0, 0, REPEAT_FLAG, RETURNING_FLAG)) | rng.choice((0, HINT_FLAG))
        if self.scenario.is_pass_through and rng.random() < 0.1:
            flags |= MID_FLOW_FLAG
        fields = f"\tleftUs={remaining_us}\tmarks={flags}\ttierClass={rng.choice(CLASSES)[0]}{extra_fields}"
        if rng.random() < 0.8:
            fields += f"\tresource={rng.randrange(KEY_COUNT):016x}"
        if rng.random() < 0.5:
            fields += f"\tteamId={rng.randrange(GROUP_COUNT):016x}"
        if flags & HINT_FLAG:
            fields += f"\tworkHintUs={rng.randrange(1_000, 40_000)}"
        fields += f"\tbilling={rng.choice(('t1', 't2', '0'))}"
        request = Request(instance, name, fields, self.now_us + remaining_us)
        self._requests[instance, name] = request
        self.pending_lines.append(f"{event}\twho={instance}\treq={name}{fields}")
        return request

    def _add_arrival(self, instance: int) -> None:
        request = self._new_request(instance, "request")
        if self._rng.random() < 0.05:
            self._schedule_for_instance(
                self._rng.uniform(1, 900) * MILLISECOND_US, instance, lambda: self._cancel_request(request)
            )
        wait_us = self._rng.expovariate(ARRIVALS_PER_S) * SECOND_US
        self._schedule_for_instance(wait_us, instance, lambda: self._add_arrival(instance))

    def _cancel_request(self, request: Request) -> None:
        if not request.is_finished:
            request.is_finished = True
            self.pending_lines.append(f"dropped\twho={request.instance}\treq={request.name}")
            for attempt in sorted(request.outstanding):
                self._end_attempt(request, attempt, "revoked", is_final=True)

    def _end_attempt(self, request: Request, attempt: int, outcome: str, is_final: bool = False) -> None:
        """Ends an attempt; does nothing if it has ended already."""
        if attempt not in request.outstanding:
            return
        request.outstanding.discard(attempt)
        request.opened.pop(attempt, None)
        request.is_finished |= is_final
        rng = self._rng
        report = f"\thealthInfo={rng.randrange(9)},{rng.random():.3f}" if rng.random() < 0.3 else ""
        self.pending_lines.append(
            f"reply\twho={request.instance}\treq={request.name}\tcopy={attempt}\toutcome={outcome}"
            f"\tover={int(is_final)}\tbackend={request.backends[attempt]}"
            f"\tlatencyUs={rng.randrange(2_000, 300_000)}{report}"
        )

    def _open_connection(self, request: Request, attempt: int, latency_us: int) -> None:
        if attempt not in request.outstanding or request.is_finished:
            return
        backend = request.backends[attempt]
        request.opened[attempt] = backend
        self.pending_lines.append(
            f"begun\twho={request.instance}\treq={request.name}\tcopy={attempt}\tbackend={backend}"
            f"\tlatencyUs={latency_us}"
        )
        self._schedule_connection_events(request, attempt)

    def _schedule_connection_events(self, request: Request, attempt: int) -> None:
        """Schedules the interim reports of an open connection and its end."""
        rng, instance = self._rng, request.instance
        duration_us = rng.uniform(0.2, 8.0) * SECOND_US
        for _ in range(rng.randrange(4)):
            wait_us = rng.random() * duration_us
            self._schedule_for_instance(wait_us, instance, lambda: self._report_interim(request, attempt))
        draw = rng.random()
        outcome = "delivered"
        if draw < DROPPED_SHARE:
            outcome = "dropped"
        elif draw < DROPPED_SHARE + LATE_APP_ERROR_SHARE:
            outcome = "app_error"
        is_final = outcome != "dropped" or rng.random() < 0.5
        self._schedule_for_instance(
            duration_us, instance, lambda: self._end_attempt(request, attempt, outcome, is_final)
        )

    def _report_interim(self, request: Request, attempt: int) -> None:
        if attempt in request.opened:
            report_kind = self._rng.choice((1, 2))
            max_ms = (
                MAX_FAULTY_MESSAGE_MS if request.opened[attempt] == self._faulty_backend else MAX_MESSAGE_MS
            )
            value = self._rng.uniform(100, 60_000) if report_kind == 1 else self._rng.uniform(1, max_ms)
            self.pending_lines.append(
                f"interim\twho={request.instance}\treq={request.name}\tcopy={attempt}"
                f"\tbackend={request.opened[attempt]}\tsort={report_kind}\tvalue={value:.3f}"
            )

    # ------------------------------------------------------------------ actions

    def apply_actions(self, reply_lines: list[str]) -> None:
        """Responds to the actions in the lines of one reply."""
        for line in reply_lines:
            action_name, *parts = line.split("\t")
            fields = dict(part.partition("=")[::2] for part in parts)
            handler = getattr(self, f"_on_{action_name}", None)
            if handler is not None:
                handler(int(fields["who"]), fields)

    def _on_deliver(self, instance: int, fields: dict[str, str]) -> None:
        request = self._requests.get((instance, fields["req"]))
        if request is None or request.is_finished:
            return
        attempt, request.attempt_count = request.attempt_count, request.attempt_count + 1
        request.outstanding.add(attempt)
        request.backends[attempt] = int(fields["backend"])
        rng = self._rng
        until_us = int(fields["untilUs"]) or request.deadline_us
        latency_us = rng.randrange(
            2_000, rng.choice((MAX_OPEN_US, MAX_OPEN_US, MAX_OPEN_US, MAX_SLOW_OPEN_US))
        )
        remaining_us = min(until_us, request.deadline_us) - self.now_us
        if latency_us >= remaining_us:
            self._schedule_for_instance(
                remaining_us, instance, lambda: self._expire_attempt(request, attempt)
            )
        elif self._is_store_congested() and rng.random() < CONGESTED_FAILURE_SHARE:
            self._schedule_for_instance(
                latency_us, instance, lambda: self._end_attempt(request, attempt, "app_error")
            )
        elif rng.random() < (
            FAULTY_FAILURE_SHARE if request.backends[attempt] == self._faulty_backend else EARLY_END_SHARE
        ):
            outcome = rng.choices(tuple(EARLY_OUTCOMES), tuple(EARLY_OUTCOMES.values()))[0]
            is_final = outcome == "app_error" and rng.random() < 0.5
            self._schedule_for_instance(
                latency_us, instance, lambda: self._end_attempt(request, attempt, outcome, is_final)
            )
        else:
            self._schedule_for_instance(
                latency_us, instance, lambda: self._open_connection(request, attempt, latency_us)
            )

    def _is_store_congested(self) -> bool:
        since_us = self.now_us - START_US - CONGESTION_START_US
        return self.scenario.has_congested_store and 0 <= since_us < CONGESTION_TIME_US

    def _expire_attempt(self, request: Request, attempt: int) -> None:
        self._end_attempt(request, attempt, "expired")

    def _on_overload_reply(self, instance: int, fields: dict[str, str]) -> None:
        request = self._requests.get((instance, fields["req"]))
        if request is not None and not request.is_finished:
            request.is_finished = True
            if self._rng.random() < 0.5:
                wait_us = int(fields["backoffUs"]) + self._rng.randrange(100_000)
                self._schedule_for_instance(wait_us, instance, lambda: self._retry_request(instance))

    def _retry_request(self, instance: int) -> None:
        self._new_request(instance, "request", flags=REPEAT_FLAG)

    def _on_respond_error(self, instance: int, fields: dict[str, str]) -> None:
        request = self._requests.get((instance, fields["req"]))
        if request is not None:
            request.is_finished = True

    def _on_undo_send(self, instance: int, fields: dict[str, str]) -> None:
        request = self._requests.get((instance, fields["req"]))
        if request is not None:
            attempt = int(fields["copy"])
            self._schedule_for_instance(
                3_000, instance, lambda: self._end_attempt(request, attempt, "revoked")
            )

    def _on_shift(self, instance: int, fields: dict[str, str]) -> None:
        request = self._requests.get((instance, fields["req"]))
        if request is not None and not request.is_finished:
            for attempt in sorted(request.opened):
                self._end_attempt(request, attempt, "delivered", is_final=True)
            self._new_request(instance, "request", flags=RETURNING_FLAG)

    def _on_notify_me(self, instance: int, fields: dict[str, str]) -> None:
        line = f"alarm\twho={instance}\tref={fields['ref']}"
        self._schedule_for_instance(int(fields["spanUs"]), instance, lambda: self.pending_lines.append(line))

    def _on_observe(self, instance: int, fields: dict[str, str]) -> None:
        if fields["active"] == "1":
            self._subscribed.add(instance)
            self._schedule_for_instance(20_000, instance, lambda: self._answer_list_request(instance, DELTA))
        else:
            self._subscribed.discard(instance)

    def _on_read_list(self, instance: int, fields: dict[str, str]) -> None:
        self._schedule_for_instance(30_000, instance, lambda: self._answer_list_request(instance, FULL))

    def _on_test(self, instance: int, fields: dict[str, str]) -> None:
        outcome = self._rng.choice(("delivered", "delivered", "dial_failed", "expired"))
        line = f"probe_result\twho={instance}\tbackend={fields['backend']}\toutcome={outcome}\tlatencyUs=9000"
        self._schedule_for_instance(9_000, instance, lambda: self.pending_lines.append(line))

    def _on_say(self, instance: int, fields: dict[str, str]) -> None:
        for peer in self._instances:
            if peer != instance and fields["whom"] in ("*", str(peer)):
                line = f"neighbour_says\twho={peer}\toriginPeer={instance}\tcontent={fields['content']}"
                self._schedule_for_instance(4_000, peer, lambda line=line: self.pending_lines.append(line))  # type: ignore[misc]


def play_stream(tree: Path, environment: dict[str, str], scenario: Scenario) -> list[str]:
    """Returns every line with which the decision module of the source tree `tree` answers.

    A line `end TIME` with the virtual time follows each batch. If the process ends early, the last line says
    when it did.
    """
    command = [sys.executable, "-m", "sailrun.benchlink"]
    simulation = Simulation(scenario)
    output_lines: list[str] = []
    with subprocess.Popen(
        command, cwd=tree, env=environment, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as process:
        assert process.stdin is not None and process.stdout is not None
        for batch in simulation.generate_batches():
            process.stdin.write("\n".join(batch) + "\n")
            process.stdin.flush()
            reply_lines = []
            for line in process.stdout:
                if line == "end\n":
                    break
                reply_lines.append(line.rstrip("\n"))
            else:
                output_lines += [
                    *reply_lines,
                    f"the decision module's process ended at {simulation.now_us} us of virtual time, "
                    "expected 'end'",
                ]
                break
            output_lines += [*reply_lines, f"end {simulation.now_us}"]
            simulation.apply_actions([line for line in reply_lines if line])
        process.stdin.close()
    return output_lines
