"""Settings, shorthand for events, and a harness that runs one instance and checks the four rules."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from sailrun.decisions.actions import (
    Action,
    FailRequest,
    MoveConnection,
    RejectRequest,
    SetTimer,
    StartAttempt,
)
from sailrun.decisions.balancer import Balancer
from sailrun.decisions.events import (
    AttemptEnded,
    AttemptNotice,
    AttemptOutcome,
    Backend,
    BackendListUpdate,
    BackendState,
    ClientLeft,
    ConnectionOpened,
    Event,
    ListKind,
    NoticeKind,
    RequestArrived,
    TimerFired,
)
from sailrun.decisions.settings import DedupScope, Effect, RequestClass, Settings

SECOND = 1_000_000


def settings(**changes: object) -> Settings:
    values: dict[str, object] = {
        "zone": "a",
        "classes": (
            RequestClass("stream", 300_000, 1_200_000, message_objective_us=50_000.0),
            RequestClass("keyed", 300_000, 1_200_000, 1.0, Effect.DEDUPLICATED, DedupScope.ZONE, 700_000),
            RequestClass("unsafe", 300_000, 1_200_000, 1.0, Effect.AT_MOST_ONCE),
        ),
        "drain_grace_us": 500_000,
        "initial_capacity_share": 0.2,
        "slow_start_us": 10 * SECOND,
        "overload_multiple": 3.0,
        "overload_window_us": SECOND,
        "answer_slack_us": 16_000,
        "max_attempts": 3,
        "max_retry_after_us": 600_000,
        "tick_us": 4_000,
    }
    values.update(changes)
    return Settings(**values)  # type: ignore[arg-type]


def backend(n: int, state: int = 1, started_us: int = 0, capacity: float = 1.0) -> Backend:
    return Backend(n, BackendState(state), "ab"[n % 2], n // 3, capacity, started_us)


def full(*backends: Backend | int) -> BackendListUpdate:
    entries = tuple(backend(b) if isinstance(b, int) else b for b in backends)
    return BackendListUpdate(ListKind.FULL, 1, entries)


def delta(*backends: Backend) -> BackendListUpdate:
    return BackendListUpdate(ListKind.DELTA, 2, backends)


@dataclass
class Attempt:
    request: str
    number: int
    backend: int
    until_us: int
    is_established: bool = False


@dataclass
class ExpectedAnswer:
    """The final answer that one request must get, and its attempts so far."""

    request_class: RequestClass
    due_us: int
    sends: list[tuple[int, int]] = field(default_factory=list)  # (backend, time)
    maybe_ran: list[tuple[int, int]] = field(default_factory=list)
    over: bool = False
    mid_flow: bool = False


NEVER_RAN = (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)


class InstanceHarness:
    """Feeds events to one instance, carries out its actions and asserts the rules for one instance.

    Each request gets one final answer in time, a rejection only if a retry is harmless, a repeat only as its
    effect allows, and no attempt at a draining or gone backend, except mid-flow within the drain grace.
    """

    def __init__(self, configured: Settings | None = None, seed: int = 1) -> None:
        self.settings = configured or settings()
        self.now = 1_000
        self.balancer = Balancer(self.settings, seed, self.now)
        self.expected_answers: dict[str, ExpectedAnswer] = {}
        self.attempts: dict[str, Attempt] = {}  # under way or established, by request
        self.timers: list[tuple[int, int]] = []
        self.listed: dict[int, tuple[Backend, int]] = {}  # last listed entry, and the start of its state
        self.actions: list[Action] = []
        self._request_count = 0

    # -------------------------------------------------------------- events

    def feed(self, event: Event) -> list[Action]:
        if isinstance(event, BackendListUpdate) and event.kind is not ListKind.FAILED:
            listed_ids = {b.id for b in event.backends}
            if event.kind is not ListKind.DELTA:
                for known, (old, _) in list(self.listed.items()):
                    if known not in listed_ids and old.state is not BackendState.GONE:
                        self.listed[known] = (replace(old, state=BackendState.GONE), self.now)
            for entry in event.backends:
                previous = self.listed.get(entry.id)
                is_unchanged = previous is not None and previous[0].state is entry.state
                self.listed[entry.id] = (
                    entry,
                    previous[1] if previous is not None and is_unchanged else self.now,
                )
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self._check(action)
        self.actions += actions
        return actions

    def send_request(
        self,
        request_class: str = "stream",
        key: str | None = None,
        left_us: int = 1_200_000,
        group: str | None = None,
        mid_flow: bool = False,
        hint: float | None = None,
    ) -> str:
        self._request_count += 1
        name = f"r{self._request_count}"
        declared = next(c for c in self.settings.classes if c.name == request_class)
        self.expected_answers[name] = ExpectedAnswer(declared, self.now + left_us, mid_flow=mid_flow)
        self.feed(
            RequestArrived(name, request_class, left_us, key or name, group, None, hint, mid_flow=mid_flow)
        )
        return name

    def establish(self, name: str) -> None:
        attempt = self.attempts[name]
        attempt.is_established = True
        self.feed(ConnectionOpened(name, attempt.number, attempt.backend, 10_000))

    def end(self, name: str, outcome: AttemptOutcome, forced_over: bool = False) -> list[Action]:
        attempt = self.attempts.pop(name)
        expected = self.expected_answers[name]
        if outcome not in NEVER_RAN:
            expected.maybe_ran.append(expected.sends[attempt.number])
        over = expected.over or attempt.is_established or outcome is AttemptOutcome.OK or forced_over
        expected.over = over
        return self.feed(AttemptEnded(name, attempt.number, attempt.backend, outcome, over))

    def leave(self, name: str) -> None:
        self.expected_answers[name].over = True
        self.feed(ClientLeft(name))

    def notice(self, name: str, kind: NoticeKind, value: float) -> list[Action]:
        attempt = self.attempts[name]
        return self.feed(AttemptNotice(name, attempt.number, attempt.backend, kind, value))

    def advance(self, us: int) -> None:
        """Advances the time; timers fire and attempts time out in order of time."""
        end = self.now + us
        while True:
            due_events = [(when, 0, token, "") for when, token in self.timers]
            due_events += [(a.until_us, 1, 0, n) for n, a in self.attempts.items() if not a.is_established]
            due_events = [d for d in sorted(due_events) if d[0] <= end]
            if not due_events:
                break
            when, kind, token, name = due_events[0]
            self.now = max(self.now, when)
            if kind == 0:
                self.timers.remove((when, token))
                self.feed(TimerFired(token))
            else:
                self.end(name, AttemptOutcome.TIMED_OUT)
        self.now = end
        self.check_answers()

    # -------------------------------------------------------------- rules

    def check_answers(self) -> None:
        for name, expected in self.expected_answers.items():
            is_late = self.now > expected.due_us + self.settings.answer_slack_us
            attempt = self.attempts.get(name)
            assert expected.over or not is_late or (attempt is not None and attempt.is_established), (
                f"{name} got no answer"
            )

    def finish(self) -> None:
        """Advances the time past every deadline."""
        self.advance(5 * SECOND)
        self.check_answers()

    def _check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert 0 <= action.delay_us <= 71 * 60 * SECOND
            self.timers.append((self.now + max(1, action.delay_us), action.token))
        elif isinstance(action, StartAttempt):
            self._check_send(action)
        elif isinstance(action, (RejectRequest, FailRequest)):
            expected = self.expected_answers[action.request]
            assert not expected.over, "a second final answer"
            assert self.now <= expected.due_us + self.settings.answer_slack_us, "answered late"
            assert action.request not in self.attempts, "answered during an attempt"
            if isinstance(action, RejectRequest):
                scope_all = expected.request_class.dedup_scope is DedupScope.ALL
                keyed = expected.request_class.effect is Effect.DEDUPLICATED and scope_all
                harmless = expected.request_class.effect is Effect.IDEMPOTENT or keyed
                assert harmless or not expected.maybe_ran, "rejected although it may have run"
                assert 0 <= action.retry_after_us <= self.settings.max_retry_after_us
            expected.over = True
        elif isinstance(action, MoveConnection):
            attempt = self.attempts[action.request]
            assert attempt.is_established

    def _check_send(self, send: StartAttempt) -> None:
        expected = self.expected_answers[send.request]
        assert not expected.over, "sent after its final answer"
        assert send.request not in self.attempts, "two attempts at the same time"
        assert len(expected.sends) < self.settings.max_attempts
        assert self.now < send.until_us <= expected.due_us
        entry, since = self.listed[send.backend]
        if entry.state is not BackendState.READY:
            grace = self.now - since <= self.settings.drain_grace_us
            assert grace and entry.state is BackendState.DRAINING and expected.mid_flow, (
                "sent to a backend that is draining or gone"
            )
        if expected.maybe_ran:
            assert expected.request_class.effect is not Effect.AT_MOST_ONCE, (
                "an at-most-once request is repeated"
            )
            if expected.request_class.effect is Effect.DEDUPLICATED:
                first, when = expected.maybe_ran[0]
                if expected.request_class.dedup_scope is DedupScope.ZONE:
                    assert self.listed[first][0].zone == entry.zone, "outside the deduplication scope"
                assert self.now - when <= expected.request_class.dedup_window_us, (
                    "after the deduplication window"
                )
        self.attempts[send.request] = Attempt(send.request, len(expected.sends), send.backend, send.until_us)
        expected.sends.append((send.backend, self.now))

    # -------------------------------------------------------------- queries

    def sent_to(self, name: str) -> int:
        return self.expected_answers[name].sends[-1][0]

    def actions_of(self, kind: type) -> list[Action]:
        return [a for a in self.actions if isinstance(a, kind)]


def run_ten_seconds(
    harness: InstanceHarness, unresponsive: int, before: Callable[[int], None] = lambda n: None
) -> int:
    """Sends 60 requests per second for 10 s.

    Attempts at the backend `unresponsive` time out, all others succeed within 20 ms. `before` is called
    before each interval of 0.2 s. Returns how many requests were established within their interval.
    """
    established_count = 0
    for n in range(50):
        before(n)
        names = [harness.send_request(key=f"k{n % 7}-{m}", left_us=1_200_000) for m in range(12)]
        harness.advance(20_000)
        for name in names:
            if name in harness.attempts and harness.attempts[name].backend != unresponsive:
                harness.establish(name)
        harness.advance(180_000)
        established_count += sum(
            name in harness.attempts and harness.attempts[name].is_established for name in names
        )
    return established_count
