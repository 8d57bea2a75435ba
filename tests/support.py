"""Settings, short events, and a relay that keeps its side and checks the four rules at each action."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

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
    stands: bool = False


@dataclass
class Promise:
    """What is owed for one request."""

    cls: RequestClass
    due_us: int
    sends: list[tuple[int, int]] = field(default_factory=list)  # (backend, when)
    maybe_ran: list[tuple[int, int]] = field(default_factory=list)
    over: bool = False
    mid_flow: bool = False


NEVER_RAN = (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)


class Relay:
    """Feeds one instance, carries its actions out and asserts the rules that one relay can see."""

    def __init__(self, configured: Settings | None = None, seed: int = 1) -> None:
        self.settings = configured or settings()
        self.now = 1_000
        self.balancer = Balancer(self.settings, seed, self.now)
        self.promises: dict[str, Promise] = {}
        self.attempts: dict[str, Attempt] = {}  # out or standing, by request
        self.timers: list[tuple[int, int]] = []
        self.told: dict[int, tuple[Backend, int]] = {}  # last state told, and since when
        self.log: list[Action] = []
        self._names = 0

    # -------------------------------------------------------------- events

    def feed(self, event: Event) -> list[Action]:
        if isinstance(event, BackendListUpdate) and event.kind is not ListKind.FAILED:
            named = {b.id for b in event.backends}
            if event.kind is not ListKind.DELTA:
                for known, (old, _) in list(self.told.items()):
                    if known not in named and old.state is not BackendState.GONE:
                        self.told[known] = (Backend(known, BackendState.GONE), self.now)
            for entry in event.backends:
                before = self.told.get(entry.id)
                kept = before is not None and before[0].state is entry.state
                self.told[entry.id] = (entry, before[1] if before is not None and kept else self.now)
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self._check(action)
        self.log += actions
        return actions

    def ask(
        self,
        cls: str = "stream",
        key: str | None = None,
        left_us: int = 1_200_000,
        group: str | None = None,
        mid_flow: bool = False,
        hint: float | None = None,
    ) -> str:
        self._names += 1
        name = f"r{self._names}"
        declared = next(c for c in self.settings.classes if c.name == cls)
        self.promises[name] = Promise(declared, self.now + left_us, mid_flow=mid_flow)
        self.feed(RequestArrived(name, cls, left_us, key or name, group, None, hint, mid_flow=mid_flow))
        return name

    def opened(self, name: str) -> None:
        attempt = self.attempts[name]
        attempt.stands = True
        self.feed(ConnectionOpened(name, attempt.number, attempt.backend, 10_000))

    def end(self, name: str, outcome: AttemptOutcome, forced_over: bool = False) -> list[Action]:
        attempt = self.attempts.pop(name)
        promise = self.promises[name]
        if outcome not in NEVER_RAN:
            promise.maybe_ran.append(promise.sends[attempt.number])
        over = promise.over or attempt.stands or outcome is AttemptOutcome.OK or forced_over
        promise.over = over
        return self.feed(AttemptEnded(name, attempt.number, attempt.backend, outcome, over))

    def leave(self, name: str) -> None:
        self.promises[name].over = True
        self.feed(ClientLeft(name))

    def notice(self, name: str, kind: NoticeKind, value: float) -> list[Action]:
        attempt = self.attempts[name]
        return self.feed(AttemptNotice(name, attempt.number, attempt.backend, kind, value))

    def advance(self, us: int) -> None:
        """Lets time pass; timers fire and attempts are given up in their order."""
        end = self.now + us
        while True:
            due = [(when, 0, token, "") for when, token in self.timers]
            due += [(a.until_us, 1, 0, n) for n, a in self.attempts.items() if not a.stands]
            due = [d for d in sorted(due) if d[0] <= end]
            if not due:
                break
            when, kind, token, name = due[0]
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
        for name, promise in self.promises.items():
            late = self.now > promise.due_us + self.settings.answer_slack_us
            attempt = self.attempts.get(name)
            assert promise.over or not late or (attempt is not None and attempt.stands), f"{name} lost"

    def finish(self) -> None:
        """Lets every deadline pass."""
        self.advance(5 * SECOND)
        self.check_answers()

    def _check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert 0 <= action.delay_us <= 71 * 60 * SECOND
            self.timers.append((self.now + max(1, action.delay_us), action.token))
        elif isinstance(action, StartAttempt):
            self._check_send(action)
        elif isinstance(action, (RejectRequest, FailRequest)):
            promise = self.promises[action.request]
            assert not promise.over, "a second final answer"
            assert self.now <= promise.due_us + self.settings.answer_slack_us, "answered late"
            assert action.request not in self.attempts, "answered with an attempt out"
            if isinstance(action, RejectRequest):
                scope_all = promise.cls.dedup_scope is DedupScope.ALL
                keyed = promise.cls.effect is Effect.DEDUPLICATED and scope_all
                harmless = promise.cls.effect is Effect.IDEMPOTENT or keyed
                assert harmless or not promise.maybe_ran, "refused though it may have run"
                assert 0 <= action.retry_after_us <= self.settings.max_retry_after_us
            promise.over = True
        elif isinstance(action, MoveConnection):
            attempt = self.attempts[action.request]
            assert attempt.stands

    def _check_send(self, send: StartAttempt) -> None:
        promise = self.promises[send.request]
        assert not promise.over, "sent after its end"
        assert send.request not in self.attempts, "two attempts out"
        assert len(promise.sends) < self.settings.max_attempts
        assert self.now < send.until_us <= promise.due_us
        entry, since = self.told[send.backend]
        if entry.state is not BackendState.READY:
            grace = self.now - since <= self.settings.drain_grace_us
            assert grace and entry.state is BackendState.DRAINING and promise.mid_flow, "drain not kept"
        if promise.maybe_ran:
            assert promise.cls.effect is not Effect.AT_MOST_ONCE, "an effect twice"
            if promise.cls.effect is Effect.DEDUPLICATED:
                first, when = promise.maybe_ran[0]
                if promise.cls.dedup_scope is DedupScope.ZONE:
                    assert self.told[first][0].zone == entry.zone, "outside the deduplication scope"
                assert self.now - when <= promise.cls.dedup_window_us, "after the deduplication window"
        self.attempts[send.request] = Attempt(send.request, len(promise.sends), send.backend, send.until_us)
        promise.sends.append((send.backend, self.now))

    # -------------------------------------------------------------- looks

    def sent_to(self, name: str) -> int:
        return self.promises[name].sends[-1][0]

    def took(self, kind: type) -> list[Action]:
        return [a for a in self.log if isinstance(a, kind)]


def ten_seconds(relay: Relay, bad: int, before: Callable[[int], None] = lambda n: None) -> int:
    """Sixty households a second for 10 s; every attempt at `bad` times out, all others are answered at once.
    `before` is called before each fifth of a second. Returns how many were brought up at once.
    """
    brought_up = 0
    for n in range(50):
        before(n)
        names = [relay.ask(key=f"k{n % 7}-{m}", left_us=1_200_000) for m in range(12)]
        relay.advance(20_000)
        for name in names:
            if name in relay.attempts and relay.attempts[name].backend != bad:
                relay.opened(name)
        relay.advance(180_000)
        brought_up += sum(name in relay.attempts and relay.attempts[name].stands for name in names)
    return brought_up
