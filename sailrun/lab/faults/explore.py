"""Model checking of leases: explores every order of events within bounds, for three voters, two candidates
and one task, with the modules `leases` and `voter` of `sailrun.leadership`.

A message that was not delivered is lost or late. It stays deliverable, except that messages to a voter
are lost when it restarts, and denials are never delivered. The orders of deliveries, steps of time and
restarts therefore cover loss, delay and reordering. States that were seen before are not explored again. The
invariants are checked after every event.
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

SECOND_US = 1_000_000
TASK = "t"
VOTERS, CANDIDATES = ("a", "b", "c"), ("x", "y")
LEASE_S = 1.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """`states` limits the whole exploration. The other numbers limit one path: deliveries, steps of time
    (each half a lease), turns of candidates (in which they request, renew or give up a lease, or notice that
    it expired), and restarts of voters.
    """

    deliveries: int = 8
    steps: int = 3
    turns: int = 3
    restarts: int = 1
    states: int = 2_000_000
    depth_first: bool = False  # needs little memory, but finds longer paths to violations


@dataclass(slots=True)
class ExplorationResult:
    states: int = 0
    events: int = 0
    complete: bool = True  # False: the exploration ended at the limit `states`
    led_states: int = 0  # how often a candidate held the lease after an event
    changes: int = 0  # how often the lease passed from one candidate to the other
    violation: str = ""  # the violated invariant; `path` has the events that led to it
    path: tuple[str, ...] = ()


class _ConstantRandom:
    """Replaces the random generator with constants, so that the same events lead to the same state."""

    def random(self) -> float:
        return 0.5

    def getrandbits(self, bits: int) -> int:
        return 1


@dataclass
class World:
    """One state. Messages are (sender, receiver, body); each message that was sent and not delivered may
    still arrive.
    """

    now_us: int = 0
    leases: dict[str, Leases] = field(default_factory=dict)
    voters: dict[str, Voter] = field(default_factory=dict)
    incarnations: dict[str, int] = field(default_factory=dict)
    in_flight: list[tuple[str, str, Any]] = field(default_factory=list)
    leader_by_term: dict[int, str] = field(default_factory=dict)  # the leader of each term
    highest_term: int = 0
    leader: str = ""
    deliveries: int = 0
    steps: int = 0
    turns: int = 0
    restarts: int = 0
    path: tuple[str, ...] = ()


def _copy_world(world: World) -> World:
    """Returns a copy whose mutable parts are copied; the immutable messages are shared. A deep copy takes
    fifty times as long.
    """
    after = copy.copy(world)
    after.in_flight, after.leader_by_term, after.incarnations = (
        world.in_flight[:],
        dict(world.leader_by_term),
        dict(world.incarnations),
    )
    after.leases = {}
    for name, original_leases in world.leases.items():
        leases = after.leases[name] = copy.copy(original_leases)
        leases.by_task, leases.changes = {}, []
        leases.hint_sends, leases.last_contact_us = (
            dict(original_leases.hint_sends),
            dict(original_leases.last_contact_us),
        )
        for task, lease in original_leases.by_task.items():
            lease_copy = leases.by_task[task] = copy.copy(lease)
            lease_copy.request_times_us, lease_copy.granted_request_us, lease_copy.denied_by = (
                dict(lease_copy.request_times_us),
                dict(lease_copy.granted_request_us),
                set(lease_copy.denied_by),
            )
    after.voters = {}
    for name, original in world.voters.items():
        voter = after.voters[name] = copy.copy(original)
        voter._grants = {task: copy.copy(slot) for task, slot in original._grants.items()}
        voter._observed_terms, voter._term_reports = (
            dict(original._observed_terms),
            dict(original._term_reports),
        )
    return after


class Explorer:
    """Explores all paths within bounds. `disabled_rules` contains the safety rules that are disabled, to test
    that violations are found.
    """

    def __init__(self, bounds: Bounds, disabled_rules: frozenset[str] = frozenset()) -> None:
        self._bounds, self._disabled_rules = bounds, disabled_rules
        self._settings = LeadershipSettings(enabled=True, voters=VOTERS, lease_s=LEASE_S)
        self._quorum = Voters(self._settings, disabled_rules)

    def _voter(self, name: str, now_us: int) -> Voter:
        # The initial term of a voter without memory is above all terms of a path.
        return Voter(name, self._quorum, self._settings, now_us, lambda: 1_000 + now_us, self._disabled_rules)

    def begin(self) -> World:
        """Returns the first state: voters that may vote, and candidates that have not requested a lease."""
        world = World(now_us=10 * SECOND_US)
        for name in VOTERS:
            voter = self._voter(name, 0)
            voter.remembers = True
            world.voters[name], world.incarnations[name] = voter, 0
        for name in CANDIDATES:
            leases = Leases(name, self._quorum, self._settings, 1, world.now_us, self._disabled_rules)
            leases._random = _ConstantRandom()  # type: ignore[assignment]
            leases._last_request_number = 0
            world.leases[name] = leases
        return world

    def explore(self) -> ExplorationResult:
        result = ExplorationResult()
        first = self.begin()
        seen = {self._state_hash(first)}
        queue = deque([first])
        while queue:
            world = queue.pop() if self._bounds.depth_first else queue.popleft()
            result.states += 1
            for event in self._events(world):
                after = _copy_world(world)
                self._apply(after, event)
                result.events += 1
                after.path = (*world.path, str(event))
                violation = self._find_violation(after, result)
                if violation:
                    result.violation, result.path = violation, after.path
                    return result
                key = self._state_hash(after)
                if key not in seen:
                    seen.add(key)
                    queue.append(after)
            if len(seen) >= self._bounds.states:
                result.complete = False
                return result
        return result

    def _events(self, world: World) -> Iterator[tuple[Any, ...]]:
        if world.deliveries < self._bounds.deliveries:
            seen_messages = set()
            for n, message in enumerate(world.in_flight):
                if repr(message) not in seen_messages:
                    seen_messages.add(repr(message))
                    yield "deliver", n
        if world.steps < self._bounds.steps:
            yield ("step",)
        if world.turns < self._bounds.turns:
            for name in CANDIDATES:
                yield "turn", name
        if world.restarts < self._bounds.restarts:
            for name in VOTERS:
                yield "restart", name

    def _apply(self, world: World, event: tuple[Any, ...]) -> None:
        match event:
            case "deliver", int(n):
                world.deliveries += 1
                sender, to, body = world.in_flight.pop(n)
                self._deliver(world, sender, to, body)
            case ("step",):
                world.steps += 1
                world.now_us += int(LEASE_S * SECOND_US) // 2
                for name, voter in world.voters.items():
                    self._send(world, name, voter.tick(world.now_us))
            case "turn", str(name):
                world.turns += 1
                messages = world.leases[name].tick(world.now_us, {TASK: list(CANDIDATES)})
                self._send(world, name, messages)
            case "restart", str(name):
                world.restarts += 1
                world.incarnations[name] += 1
                world.voters[name] = self._voter(name, world.now_us)
                # Messages to the previous process are lost.
                world.in_flight = [message for message in world.in_flight if message[1] != name]

    def _send(self, world: World, sender: str, messages: Any) -> None:
        world.in_flight += [(sender, to, body) for to, body in messages]

    def _deliver(self, world: World, sender: str, to: str, body: Any) -> None:
        now_us = world.now_us
        match body:
            case LeaseRequest():
                answer = world.voters[to].on_lease_request(now_us, sender, 0, body)
                # A denial only makes the candidate give up earlier, so denials are treated as lost.
                if isinstance(answer, LeaseGrant):
                    world.in_flight.append((to, sender, answer))
            case LeaseRelease():
                world.voters[to].on_release(sender, 0, body)
            case TermQuery():
                world.in_flight.append((to, sender, world.voters[to].report_terms(body)))
            case TermReport():
                world.voters[to].on_term_report(now_us, sender, body)
            case LeaseGrant():
                world.leases[to].on_grant(now_us, sender, body)

    def _find_violation(self, world: World, result: ExplorationResult) -> str:
        """Checks the invariants of a state. Returns the violation, or an empty string."""
        terms = {n: leases.held_term(TASK, world.now_us) for n, leases in world.leases.items()}
        terms_by_leader = {n: term for n, term in terms.items() if term}
        if len(terms_by_leader) > 1:
            return f"two owners at {world.now_us} us, expected one (term by candidate): {terms_by_leader}"
        for name, term in terms_by_leader.items():
            result.led_states += 1
            if world.leader_by_term.setdefault(term, name) != name:
                return f"term {term} was granted to {world.leader_by_term[term]} and to {name}"
            if term < world.highest_term:
                return f"a candidate leads in term {term} after a candidate led in term {world.highest_term}"
            if world.leader and name != world.leader:
                result.changes += 1
            world.highest_term, world.leader = term, name
        return ""

    def _state_hash(self, world: World) -> int:
        """Returns a hash of everything that later states depend on: times relative to now, but not the path.
        `leader_by_term` is left out because a state with a leader in a lower term than the highest one is a
        violation anyway, and the leader of the highest term is included. Of the modules, fields are left
        out that no event here reads, such as those of gossip and of denials and `last_contact_us`;
        `_next_query_us` of voters, because a step of time is longer than the interval of queries; and
        `better_candidate_since_us` and a voter's waiting time after it abstained, because the paths of the
        tests and benchmarks end before they have an effect. Voters are distinguished by their state and by
        the messages in flight to and from them, and by name only if messages between voters are in flight.
        """
        now_us = world.now_us
        state: list[Any] = [
            world.deliveries,
            world.steps,
            world.turns,
            world.restarts,
            world.highest_term,
            world.leader,
        ]
        for leases in world.leases.values():
            for lease in leases.by_task.values():
                state.append(
                    (
                        lease.term,
                        lease.expires_us and lease.expires_us - now_us,
                        lease.requesting_since_us and lease.requesting_since_us - now_us,
                    )
                )
                state.append(
                    (
                        lease.next_attempt_us - now_us,
                        lease.last_request_us - now_us,
                        lease.highest_seen_term,
                        leases._last_request_number,
                    )
                )
                state.append(
                    [(number, sent_us - now_us) for number, sent_us in lease.request_times_us.items()]
                )
        between_voters = [
            message for message in world.in_flight if message[0] in VOTERS and message[1] in VOTERS
        ]
        voter_states = []
        for name, voter in world.voters.items():
            grants = (
                (
                    task,
                    grant.term,
                    grant.holder,
                    grant.expires_us - now_us,
                    grant.is_released,
                    grant.highest_term,
                )
                for task, grant in voter._grants.items()
            )
            waited_us = min(now_us - voter._started_us, abstention_us(self._settings))
            granted = [
                lease.granted_request_us[name] - now_us if name in lease.granted_request_us else None
                for leases in world.leases.values()
                for lease in leases.by_task.values()
            ]
            in_flight = sorted(
                f"{message[0] == name} {message[1] if message[0] == name else message[0]} {message[2]}"
                for message in world.in_flight
                if name in message[:2] and message not in between_voters
            )
            voter_state = (
                sorted(grants),
                sorted(voter._observed_terms.items()),
                voter._minimum_term,
                voter.remembers,
                granted,
                in_flight,
            )
            recovery_state = (
                () if voter.remembers else (name, waited_us, sorted(map(repr, voter._term_reports.items())))
            )
            voter_states.append(repr((voter_state, recovery_state, name if between_voters else "")))
        return hash((repr(state), tuple(sorted(voter_states)), tuple(sorted(map(repr, between_voters)))))
