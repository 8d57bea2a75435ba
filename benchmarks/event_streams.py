"""Events of the simulator's form, made by seed, for the decision module's process (`sailrun.benchlink`).

A small world answers the module's actions: attempts are opened, end or time out, timers fire, peers hear each
other and lists of backends change. All chance comes from the scenario's seed, so that two versions that act
alike see the same events. Times are whole microseconds.
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
BEGIN_US = 50 * SECOND_US
DEADLINE_US = 1_200_000
COLD_US = 8 * SECOND_US
# Of all events, so many a second and instance are arrivals of requests.
ARRIVALS_PER_S = 12.0
BACKENDS, MOST_HOSTED = 12, 4
ZONES, GROUPS, KEYS = ("east", "west"), 12, 60
GONE, READY, DRAINING = 0, 1, 2
FAILED_LIST, DELTA, CACHED, FULL = 0, 1, 2, 3
# How attempts end that were never opened, and their weights; `delivered` is the end of an open connection.
EARLY_OUTCOMES = {"app_error": 3, "shed": 5, "expired": 3, "dial_failed": 4, "dropped": 3, "unused": 2}
EARLY_SHARE, APP_LATE_SHARE, DROPPED_SHARE = 0.08, 0.05, 0.08
# Of the attempts at the one backend that is faulty, so many fail; what a message takes there, in ms.
FAULTY_SHARE, FAULTY_DELAY_MS, DELAY_MS = 0.7, 600.0, 60.0
# While the store that all backends share is congested, so many attempts fail; from when, for how long.
CONGESTED_SHARE, CONGESTED_FROM_US, CONGESTED_US = 0.85, 5 * SECOND_US, 6 * SECOND_US
# What opening a connection takes, most of the time and else, at most.
OPEN_US, SLOW_OPEN_US = 60_000, 500_000
CLASSES = (("feed", "idempotent", "all"), ("pay", "deduplicated", "cell"), ("once", "at_most_once", "zone"))
REPEAT_MARK, MID_FLOW_MARK, RETURNING_MARK, HINT_MARK = 2, 8, 16, 1


@dataclass(frozen=True, slots=True)
class Scenario:
    """The settings of one stream."""

    seed: int
    discovery: str  # push or ask
    instances: int  # of the tier; at most MOST_HOSTED of them are played
    is_pass_through: bool = False
    has_parallel_attempts: bool = False
    has_congested_store: bool = False  # that all backends share: most attempts fail for a while
    seconds: float = 20.0

    @property
    def name(self) -> str:
        """As the tool names the stream in what it prints."""
        mode = " pass-through" if self.is_pass_through else ""
        parallel = " parallel" if self.has_parallel_attempts else ""
        store = " congested" if self.has_congested_store else ""
        return f"stream {self.seed} {self.discovery} x{self.instances}{mode}{parallel}{store}"


@dataclass(slots=True)
class Backend:
    """One backend of the world."""

    number: int
    zone: str
    cell: int
    state: int = READY
    started_us: int = 0

    def line(self) -> str:
        """As a list has it."""
        started = f"\tbootTimeUs={self.started_us}" if self.started_us else ""
        return (
            f"m\tbackend={self.number}\taz={self.zone}\ttype=k\tcohort={self.cell}\tlifecycle={self.state}"
            f"\tcapacityHint={1 + self.cell / 2}{started}"
        )


@dataclass(slots=True)
class Request:
    """A client's request at one instance."""

    who: int
    name: str
    fields: str
    ends_us: int
    attempts: int = 0
    is_over: bool = False
    outstanding: set[int] = field(default_factory=set)
    opened: dict[int, int] = field(default_factory=dict)  # backend by attempt
    backends: dict[int, int] = field(default_factory=dict)


Happening = Callable[[], None]


class World:
    """Clients, backends, discovery and timers around the hosted instances."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.now_us = BEGIN_US
        self.lines: list[str] = []  # of the batch that is being made
        self._random = random.Random(scenario.seed)
        self._queue: list[tuple[int, int, Happening]] = []
        self._scheduled = self._named = self._version = 0
        self._hosted = range(min(MOST_HOSTED, scenario.instances))
        self._subscribed: set[int] = set()
        self._faulty = 0  # the backend that fails most attempts now
        self._requests: dict[tuple[int, str], Request] = {}
        self._lives = dict.fromkeys(self._hosted, 0)
        self._backends = [Backend(1000 + 37 * n, ZONES[n % len(ZONES)], n % 3) for n in range(BACKENDS)]
        for who in self._hosted:
            self._start(who)
        self._after(SECOND_US, self._change_backends)
        self._after(6 * SECOND_US, self._restart_instance)

    # ------------------------------------------------------------------ time

    def _after(self, wait_us: float, happening: Happening) -> None:
        self._scheduled += 1
        heapq.heappush(self._queue, (self.now_us + max(0, int(wait_us)), self._scheduled, happening))

    def _after_in_life(self, wait_us: float, who: int, happening: Happening) -> None:
        """Nothing reaches an instance from before its restart."""
        life = self._lives[who]
        self._after(wait_us, lambda: happening() if self._lives[who] == life else None)

    def batches(self) -> Iterator[list[str]]:
        """The batches of the stream. `act` is to be called with the reply before the next one is taken."""
        end_us = BEGIN_US + int(self.scenario.seconds * SECOND_US)
        while self._queue and self._queue[0][0] <= end_us:
            self.now_us = self._queue[0][0]
            while self._queue and self._queue[0][0] <= self.now_us:
                heapq.heappop(self._queue)[2]()
            if self.lines:
                batch = [f"clock\tsimTimeUs={self.now_us}", *self.lines, "end"]
                self.lines = []
                yield batch

    # ------------------------------------------------------------------ instances and lists

    def _born_line(self, who: int) -> str:
        scenario = self.scenario
        parts = [
            f"born\twho={who}\tinitSeed={scenario.seed * 100 + who}\taz={ZONES[who % 2]}",
            f"discovery={scenario.discovery}\tsiblings={scenario.instances}\tindex={who}",
            f"services.count={len(CLASSES)}\tfamilyInfo.messageAimUs=50000,null,80000",
            "orgs.count=2\torgs.0.name=t1\torgs.0.share=0.3\torgs.0.quotaPerS=9\torgs.1.name=t2",
            "orgs.1.share=0.7\torgs.1.quotaPerS=40\toverShareWorth=0.5",
            "familyInfo.tenantQuotaConnections=30,60\tfamilyInfo.tellsDelay=true\tfamilyInfo.parkUs=4000000",
            f"obligations.drainGraceUs=500000\tobligations.coldFrom=0.2\tobligations.coldUs={COLD_US}",
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

    def _start(self, who: int) -> None:
        self._lives[who] += 1
        self.lines.append(self._born_line(who))
        self._list(who, CACHED, self._backends)
        for _ in range(self._random.randrange(4)):
            backend = self._random.choice(self._backends)
            request = self._new_request(who, "resumed", f"\tbackend={backend.number}")
            request.attempts = 1
            request.outstanding.add(0)
            request.backends[0] = request.opened[0] = backend.number
            self._hold(request, 0)
        self._after_in_life(0, who, lambda: self._arrive(who))

    def _restart_instance(self) -> None:
        who = self._random.choice(self._hosted)
        self._lives[who] += 1
        self._requests = {key: request for key, request in self._requests.items() if key[0] != who}
        self._subscribed.discard(who)
        self.lines.append(f"crash_now\twho={who}")
        self._start(who)
        self._after(self._random.uniform(4, 9) * SECOND_US, self._restart_instance)

    def _list(self, who: int, kind: int, backends: list[Backend]) -> None:
        self._version += 1
        number = self._version % 16
        if kind != FAILED_LIST:
            self.lines.append(f"list\tsetId={number}\tlines={len(backends)}")
            self.lines += [backend.line() for backend in backends]
        self.lines.append(f"discovery\twho={who}\tkind={kind}\tindex={self._version}\tsetId={number}")

    def _change_backends(self) -> None:
        changed = self._random.sample(self._backends, self._random.choice((1, 1, 2)))
        for backend in changed:
            if backend.state == READY:
                backend.state = self._random.choice((DRAINING, GONE))
                if backend.state == GONE:
                    self._crash(backend)
            elif backend.state == DRAINING:
                backend.state = GONE
            else:
                backend.state, backend.started_us = READY, self.now_us
        self._faulty = self._random.choice(self._backends).number
        for who in self._hosted:
            if self.scenario.discovery == "push" or who in self._subscribed:
                self._list(who, self._random.choice((DELTA, DELTA, FULL)), changed)
                if self._random.random() < 0.1:
                    self._list(who, FULL, self._backends)
        self._after(self._random.uniform(1.0, 4.0) * SECOND_US, self._change_backends)

    def _crash(self, backend: Backend) -> None:
        """All attempts at a backend end at once."""
        for request in list(self._requests.values()):
            for attempt in sorted(request.outstanding):
                if request.backends[attempt] == backend.number:
                    self._end(request, attempt, "dropped" if attempt in request.opened else "dial_failed")

    def _answer_list(self, who: int, kind: int) -> None:
        failed = self._random.random() < 0.2
        self._list(who, FAILED_LIST if failed else kind, [] if failed else self._backends)

    # ------------------------------------------------------------------ requests

    def _new_request(self, who: int, event: str, more: str = "", marks: int = 0) -> Request:
        luck = self._random
        self._named += 1
        name = f"rq_{self._named}"
        left_us = luck.choice((DEADLINE_US, DEADLINE_US, luck.randrange(20_000, DEADLINE_US)))
        marks |= luck.choice((0, 0, 0, REPEAT_MARK, RETURNING_MARK)) | luck.choice((0, HINT_MARK))
        if self.scenario.is_pass_through and luck.random() < 0.1:
            marks |= MID_FLOW_MARK
        fields = f"\tleftUs={left_us}\tmarks={marks}\ttierClass={luck.choice(CLASSES)[0]}{more}"
        if luck.random() < 0.8:
            fields += f"\tresource={luck.randrange(KEYS):016x}"
        if luck.random() < 0.5:
            fields += f"\tteamId={luck.randrange(GROUPS):016x}"
        if marks & HINT_MARK:
            fields += f"\tworkHintUs={luck.randrange(1_000, 40_000)}"
        fields += f"\tbilling={luck.choice(('t1', 't2', '0'))}"
        request = Request(who, name, fields, self.now_us + left_us)
        self._requests[who, name] = request
        self.lines.append(f"{event}\twho={who}\treq={name}{fields}")
        return request

    def _arrive(self, who: int) -> None:
        request = self._new_request(who, "request")
        if self._random.random() < 0.05:
            self._after_in_life(
                self._random.uniform(1, 900) * MILLISECOND_US, who, lambda: self._leave(request)
            )
        wait_us = self._random.expovariate(ARRIVALS_PER_S) * SECOND_US
        self._after_in_life(wait_us, who, lambda: self._arrive(who))

    def _leave(self, request: Request) -> None:
        if not request.is_over:
            request.is_over = True
            self.lines.append(f"dropped\twho={request.who}\treq={request.name}")
            for attempt in sorted(request.outstanding):
                self._end(request, attempt, "revoked", is_over=True)

    def _end(self, request: Request, attempt: int, outcome: str, is_over: bool = False) -> None:
        """The one end of an attempt; nothing where it has ended already."""
        if attempt not in request.outstanding:
            return
        request.outstanding.discard(attempt)
        request.opened.pop(attempt, None)
        request.is_over |= is_over
        luck = self._random
        report = f"\thealthInfo={luck.randrange(9)},{luck.random():.3f}" if luck.random() < 0.3 else ""
        self.lines.append(
            f"reply\twho={request.who}\treq={request.name}\tcopy={attempt}\toutcome={outcome}"
            f"\tover={int(is_over)}\tbackend={request.backends[attempt]}"
            f"\tlatencyUs={luck.randrange(2_000, 300_000)}{report}"
        )

    def _open(self, request: Request, attempt: int, latency_us: int) -> None:
        if attempt not in request.outstanding or request.is_over:
            return
        backend = request.backends[attempt]
        request.opened[attempt] = backend
        self.lines.append(
            f"begun\twho={request.who}\treq={request.name}\tcopy={attempt}\tbackend={backend}"
            f"\tlatencyUs={latency_us}"
        )
        self._hold(request, attempt)

    def _hold(self, request: Request, attempt: int) -> None:
        """Notices on an open connection, and its end."""
        luck, who = self._random, request.who
        length_us = luck.uniform(0.2, 8.0) * SECOND_US
        for _ in range(luck.randrange(4)):
            wait_us = luck.random() * length_us
            self._after_in_life(wait_us, who, lambda: self._notice(request, attempt))
        chance = luck.random()
        outcome = "delivered"
        if chance < DROPPED_SHARE:
            outcome = "dropped"
        elif chance < DROPPED_SHARE + APP_LATE_SHARE:
            outcome = "app_error"
        is_over = outcome != "dropped" or luck.random() < 0.5
        self._after_in_life(length_us, who, lambda: self._end(request, attempt, outcome, is_over))

    def _notice(self, request: Request, attempt: int) -> None:
        if attempt in request.opened:
            sort = self._random.choice((1, 2))
            most_ms = FAULTY_DELAY_MS if request.opened[attempt] == self._faulty else DELAY_MS
            value = self._random.uniform(100, 60_000) if sort == 1 else self._random.uniform(1, most_ms)
            self.lines.append(
                f"interim\twho={request.who}\treq={request.name}\tcopy={attempt}"
                f"\tbackend={request.opened[attempt]}\tsort={sort}\tvalue={value:.3f}"
            )

    # ------------------------------------------------------------------ actions

    def act(self, reply: list[str]) -> None:
        """Takes the lines of one reply."""
        for line in reply:
            name, *parts = line.split("\t")
            fields = dict(part.partition("=")[::2] for part in parts)
            handler = getattr(self, f"_on_{name}", None)
            if handler is not None:
                handler(int(fields["who"]), fields)

    def _on_deliver(self, who: int, fields: dict[str, str]) -> None:
        request = self._requests.get((who, fields["req"]))
        if request is None or request.is_over:
            return
        attempt, request.attempts = request.attempts, request.attempts + 1
        request.outstanding.add(attempt)
        request.backends[attempt] = int(fields["backend"])
        luck = self._random
        until_us = int(fields["untilUs"]) or request.ends_us
        latency_us = luck.randrange(2_000, luck.choice((OPEN_US, OPEN_US, OPEN_US, SLOW_OPEN_US)))
        give_up_us = min(until_us, request.ends_us) - self.now_us
        if latency_us >= give_up_us:
            self._after_in_life(give_up_us, who, lambda: self._expire(request, attempt))
        elif self._is_store_congested() and luck.random() < CONGESTED_SHARE:
            self._after_in_life(latency_us, who, lambda: self._end(request, attempt, "app_error"))
        elif luck.random() < (FAULTY_SHARE if request.backends[attempt] == self._faulty else EARLY_SHARE):
            outcome = luck.choices(tuple(EARLY_OUTCOMES), tuple(EARLY_OUTCOMES.values()))[0]
            is_over = outcome == "app_error" and luck.random() < 0.5
            self._after_in_life(latency_us, who, lambda: self._end(request, attempt, outcome, is_over))
        else:
            self._after_in_life(latency_us, who, lambda: self._open(request, attempt, latency_us))

    def _is_store_congested(self) -> bool:
        since_us = self.now_us - BEGIN_US - CONGESTED_FROM_US
        return self.scenario.has_congested_store and 0 <= since_us < CONGESTED_US

    def _expire(self, request: Request, attempt: int) -> None:
        self._end(request, attempt, "expired")

    def _on_overload_reply(self, who: int, fields: dict[str, str]) -> None:
        request = self._requests.get((who, fields["req"]))
        if request is not None and not request.is_over:
            request.is_over = True
            if self._random.random() < 0.5:
                wait_us = int(fields["backoffUs"]) + self._random.randrange(100_000)
                self._after_in_life(wait_us, who, lambda: self._try_again(who))

    def _try_again(self, who: int) -> None:
        self._new_request(who, "request", marks=REPEAT_MARK)

    def _on_respond_error(self, who: int, fields: dict[str, str]) -> None:
        request = self._requests.get((who, fields["req"]))
        if request is not None:
            request.is_over = True

    def _on_undo_send(self, who: int, fields: dict[str, str]) -> None:
        request = self._requests.get((who, fields["req"]))
        if request is not None:
            attempt = int(fields["copy"])
            self._after_in_life(3_000, who, lambda: self._end(request, attempt, "revoked"))

    def _on_shift(self, who: int, fields: dict[str, str]) -> None:
        request = self._requests.get((who, fields["req"]))
        if request is not None and not request.is_over:
            for attempt in sorted(request.opened):
                self._end(request, attempt, "delivered", is_over=True)
            self._new_request(who, "request", marks=RETURNING_MARK)

    def _on_notify_me(self, who: int, fields: dict[str, str]) -> None:
        line = f"alarm\twho={who}\tref={fields['ref']}"
        self._after_in_life(int(fields["spanUs"]), who, lambda: self.lines.append(line))

    def _on_observe(self, who: int, fields: dict[str, str]) -> None:
        if fields["active"] == "1":
            self._subscribed.add(who)
            self._after_in_life(20_000, who, lambda: self._answer_list(who, DELTA))
        else:
            self._subscribed.discard(who)

    def _on_read_list(self, who: int, fields: dict[str, str]) -> None:
        self._after_in_life(30_000, who, lambda: self._answer_list(who, FULL))

    def _on_test(self, who: int, fields: dict[str, str]) -> None:
        outcome = self._random.choice(("delivered", "delivered", "dial_failed", "expired"))
        line = f"probe_result\twho={who}\tbackend={fields['backend']}\toutcome={outcome}\tlatencyUs=9000"
        self._after_in_life(9_000, who, lambda: self.lines.append(line))

    def _on_say(self, who: int, fields: dict[str, str]) -> None:
        for peer in self._hosted:
            if peer != who and fields["whom"] in ("*", str(peer)):
                line = f"neighbour_says\twho={peer}\toriginPeer={who}\tcontent={fields['content']}"
                self._after_in_life(4_000, peer, lambda line=line: self.lines.append(line))  # type: ignore[misc]


def play_stream(tree: Path, environment: dict[str, str], scenario: Scenario) -> list[str]:
    """Every line that the tree's decision module answers, each batch closed by its `end`."""
    command = [sys.executable, "-m", "sailrun.benchlink"]
    world = World(scenario)
    answered: list[str] = []
    with subprocess.Popen(
        command, cwd=tree, env=environment, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as process:
        assert process.stdin is not None and process.stdout is not None
        for batch in world.batches():
            process.stdin.write("\n".join(batch) + "\n")
            process.stdin.flush()
            reply = []
            for line in process.stdout:
                if line == "end\n":
                    break
                reply.append(line.rstrip("\n"))
            else:
                answered += [*reply, f"the process ended at {world.now_us} us"]
                break
            answered += [*reply, f"end {world.now_us}"]
            world.act([line for line in reply if line])
        process.stdin.close()
    return answered
