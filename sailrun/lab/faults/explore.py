"""Every order of events, for small cases: three voters, two candidates, one task, the real modules.

A message that is not delivered is lost or late: it stays deliverable for ever, so loss, delay and
reordering are
all the orders in which deliveries, steps of time and restarts can come. States that were seen are not gone
into
again. What must hold is looked at after every event.
"""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from sailrun.leadership.leases import Leases
from sailrun.leadership.messages import LeaseGrant, LeaseRelease, LeaseRequest, TermQuery, TermReport
from sailrun.leadership.quorum import Voters
from sailrun.leadership.settings import LeadershipSettings
from sailrun.leadership.voter import Voter, abstention_us

SECOND = 1_000_000
TASK = "t"
VOTERS, CANDIDATES = ("a", "b", "c"), ("x", "y")
LEASE_S = 1.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """How far to go along one path: deliveries, steps of time (each half a lease), turns of candidates (in
    which
    they ask, renew, give up or find their lease ended), restarts of voters.
    """

    deliveries: int = 8
    steps: int = 3
    turns: int = 3
    restarts: int = 1
    states: int = 2_000_000
    depth_first: bool = False  # needs little memory; the paths to faults are longer


@dataclass(slots=True)
class Found:
    states: int = 0
    events: int = 0
    complete: bool = True  # all within the bounds, not stopped by the number of states
    owners: int = 0  # states in which somebody owned the task
    changes: int = 0  # paths on which it went from one to the other
    fault: str = ""  # what was broken, and how it came about
    path: tuple[str, ...] = ()


class _Even:
    """In place of chance, so that the same events give the same state."""

    def random(self) -> float:
        return 0.5

    def getrandbits(self, bits: int) -> int:
        return 1


@dataclass
class World:
    """One state. Messages are (from, to, body); all that was ever sent and not delivered may still come."""

    now_us: int = 0
    leases: dict[str, Leases] = field(default_factory=dict)
    voters: dict[str, Voter] = field(default_factory=dict)
    lives: dict[str, int] = field(default_factory=dict)
    flying: list[tuple[str, str, Any]] = field(default_factory=list)
    given: dict[int, str] = field(default_factory=dict)  # by term, who owned
    highest: int = 0
    owner: str = ""
    deliveries: int = 0
    steps: int = 0
    turns: int = 0
    restarts: int = 0
    path: tuple[str, ...] = ()


def _copied(world: World) -> World:
    """Copies what changes; messages never do. A copy of everything takes fifty times as long."""
    after = copy.copy(world)
    after.flying, after.given, after.lives = world.flying[:], dict(world.given), dict(world.lives)
    after.leases = {}
    for name, old in world.leases.items():
        leases = after.leases[name] = copy.copy(old)
        leases.by_task, leases.changes = {}, []
        leases.hint_sends, leases.last_contact_us = dict(old.hint_sends), dict(old.last_contact_us)
        for task, lease in old.by_task.items():
            one = leases.by_task[task] = copy.copy(lease)
            one.request_times_us, one.granted_request_us, one.denied_by = (
                dict(one.request_times_us),
                dict(one.granted_request_us),
                set(one.denied_by),
            )
    after.voters = {}
    for name, was in world.voters.items():
        voter = after.voters[name] = copy.copy(was)
        voter._grants = {task: copy.copy(slot) for task, slot in was._grants.items()}
        voter._observed_terms, voter._term_reports = dict(was._observed_terms), dict(was._term_reports)
    return after


class Explorer:
    def __init__(self, bounds: Bounds, off: frozenset[str] = frozenset()) -> None:
        self._bounds, self._off = bounds, off
        self._terms = LeadershipSettings(enabled=True, voters=VOTERS, lease_s=LEASE_S)
        self._quorum = Voters(self._terms, off)

    def _voter(self, name: str, now_us: int) -> Voter:
        return Voter(name, self._quorum, self._terms, now_us, lambda: 1_000 + now_us, self._off)

    def begin(self) -> World:
        """Voters that may vote, and candidates that have not asked."""
        world = World(now_us=10 * SECOND)
        for name in VOTERS:
            voter = self._voter(name, 0)
            voter.remembers = True
            world.voters[name], world.lives[name] = voter, 0
        for name in CANDIDATES:
            leases = Leases(name, self._quorum, self._terms, 1, world.now_us, self._off)
            leases._random = _Even()  # type: ignore[assignment]
            leases._last_request_number = 0
            world.leases[name] = leases
        return world

    def explore(self) -> Found:
        found = Found()
        first = self.begin()
        seen = {self._key(first)}
        queue = deque([first])
        while queue:
            world = queue.pop() if self._bounds.depth_first else queue.popleft()
            found.states += 1
            for event in self._events(world):
                after = _copied(world)
                self._do(after, event)
                found.events += 1
                after.path = (*world.path, str(event))
                fault = self._judge(after, found)
                if fault:
                    found.fault, found.path = fault, after.path
                    return found
                key = self._key(after)
                if key not in seen:
                    seen.add(key)
                    queue.append(after)
            if len(seen) >= self._bounds.states:
                found.complete = False
                return found
        return found

    def _events(self, world: World) -> Iterator[tuple[Any, ...]]:
        if world.deliveries < self._bounds.deliveries:
            told = set()
            for n, message in enumerate(world.flying):
                if repr(message) not in told:
                    told.add(repr(message))
                    yield "deliver", n
        if world.steps < self._bounds.steps:
            yield ("step",)
        if world.turns < self._bounds.turns:
            for name in CANDIDATES:
                yield "turn", name
        if world.restarts < self._bounds.restarts:
            for name in VOTERS:
                yield "restart", name

    def _do(self, world: World, event: tuple[Any, ...]) -> None:
        match event:
            case "deliver", int(n):
                world.deliveries += 1
                sender, to, body = world.flying.pop(n)
                self._deliver(world, sender, to, body)
            case ("step",):
                world.steps += 1
                world.now_us += int(LEASE_S * SECOND) // 2
                for name, voter in world.voters.items():
                    self._fly(world, name, voter.turn(world.now_us))
            case "turn", str(name):
                world.turns += 1
                posts = world.leases[name].turn(world.now_us, {TASK: list(CANDIDATES)})
                self._fly(world, name, posts)
            case "restart", str(name):
                world.restarts += 1
                world.lives[name] += 1
                world.voters[name] = self._voter(name, world.now_us)
                # What was sent to the old process came to nobody.
                world.flying = [m for m in world.flying if m[1] != name]

    def _fly(self, world: World, sender: str, posts: Any) -> None:
        world.flying += [(sender, to, body) for to, body in posts]

    def _deliver(self, world: World, sender: str, to: str, body: Any) -> None:
        now_us = world.now_us
        match body:
            case LeaseRequest():
                answer = world.voters[to].on_lease_request(now_us, sender, 0, body)
                # A denial only has its candidate give up sooner than it would without: taken for lost.
                if isinstance(answer, LeaseGrant):
                    world.flying.append((to, sender, answer))
            case LeaseRelease():
                world.voters[to].on_release(sender, 0, body)
            case TermQuery():
                world.flying.append((to, sender, world.voters[to].report_terms(body)))
            case TermReport():
                world.voters[to].on_term_report(now_us, sender, body)
            case LeaseGrant():
                world.leases[to].on_grant(now_us, sender, body)

    def _judge(self, world: World, found: Found) -> str:
        """What must hold in every state."""
        owners = {n: t.held_term(TASK, world.now_us) for n, t in world.leases.items()}
        holding = {n: term for n, term in owners.items() if term}
        if len(holding) > 1:
            return f"two owners at {world.now_us} us: {holding}"
        for name, term in holding.items():
            found.owners += 1
            if world.given.setdefault(term, name) != name:
                return f"term {term} was given to {world.given[term]} and to {name}"
            if term < world.highest:
                return f"term {term} after {world.highest}"
            if world.owner and name != world.owner:
                found.changes += 1
            world.highest, world.owner = term, name
        return ""

    def _key(self, world: World) -> int:
        """What the future depends on: times as they are to now, and nothing of how it came about. Voters
        differ
        by what they hold and by what flies to and from them, not by name, unless they talk to each other.
        """
        now_us = world.now_us
        parts: list[Any] = [
            world.deliveries,
            world.steps,
            world.turns,
            world.restarts,
            world.highest,
            world.owner,
        ]
        for leases in world.leases.values():
            for t in leases.by_task.values():
                parts.append(
                    (
                        t.term,
                        t.expires_us and t.expires_us - now_us,
                        t.requesting_since_us and t.requesting_since_us - now_us,
                    )
                )
                parts.append(
                    (
                        t.next_attempt_us - now_us,
                        t.last_request_us - now_us,
                        t.highest_seen_term,
                        leases._last_request_number,
                    )
                )
                parts.append([(number, sent_us - now_us) for number, sent_us in t.request_times_us.items()])
        among = [m for m in world.flying if m[0] in VOTERS and m[1] in VOTERS]
        about = []
        for name, voter in world.voters.items():
            slots = (
                (k, s.term, s.holder, s.expires_us - now_us, s.is_released, s.highest_term)
                for k, s in voter._grants.items()
            )
            waited_us = min(now_us - voter._started_us, abstention_us(self._terms))
            granted = [
                t.granted_request_us[name] - now_us if name in t.granted_request_us else None
                for leases in world.leases.values()
                for t in leases.by_task.values()
            ]
            flying = sorted(
                f"{m[0] == name} {m[1] if m[0] == name else m[0]} {m[2]}"
                for m in world.flying
                if name in m[:2] and m not in among
            )
            whole = (
                sorted(slots),
                sorted(voter._observed_terms.items()),
                voter._minimum_term,
                voter.remembers,
                granted,
                flying,
            )
            forgetful = (
                () if voter.remembers else (name, waited_us, sorted(map(repr, voter._term_reports.items())))
            )
            about.append(repr((whole, forgetful, name if among else "")))
        return hash((repr(parts), tuple(sorted(about)), tuple(sorted(map(repr, among)))))
