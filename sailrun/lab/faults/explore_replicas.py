"""Random schedules of leaders, voters and one record: late, duplicated and lost messages, voters that restart
without memory, and changes of leader. The schedules run the modules of `sailrun.replication` without a
network, are determined by a seed, and advance time only in explicit steps.

Replicas exchange only the messages that leaders and returning voters request: safety must not depend on
gossip or anti-entropy.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from sailrun.leadership.quorum import Voters
from sailrun.leadership.settings import LeadershipSettings
from sailrun.membership.membership import Membership
from sailrun.membership.messages import MemberRecord, MemberState
from sailrun.membership.settings import MembershipSettings
from sailrun.replication.messages import DigestRequest, MarkRequest
from sailrun.replication.operator_marks import decode_mark
from sailrun.replication.replica import Replica
from sailrun.replication.settings import ReplicationSettings

STEP_US = 120_000
SUBJECT = "s-00000001"


@dataclass(frozen=True, slots=True)
class Bounds:
    """The members of one schedule, its number of steps, and the maximum number of restarts and of changes of
    leader.
    """

    voters: int = 3
    candidates: int = 2  # nodes that may become leader and do not vote
    steps: int = 600
    restarts: int = 6
    changes: int = 8  # of leader


@dataclass(slots=True)
class ExplorationResult:
    """The result of one schedule, or the sums of several."""

    schedules: int = 0
    acknowledged: int = 0
    changes: int = 0
    restarts: int = 0
    opened: int = 0  # terms whose leader began to serve requests (`Coordinator.is_open`)
    violation: str = ""
    seed: int = -1
    events: list[str] = field(default_factory=list)


class _Schedule:
    def __init__(self, seed: int, bounds: Bounds, off: frozenset[str]) -> None:
        self.rng, self.bounds, self.off = random.Random(f"copies/{seed}"), bounds, off
        self.now_us = 1_000_000
        self.voters = [f"v{n}" for n in range(bounds.voters)]
        self.candidates = [f"o{n}" for n in range(bounds.candidates)]
        self.nodes: dict[str, Replica] = {}
        self.incarnations = dict.fromkeys([*self.voters, *self.candidates], 0)
        self.messages: list[tuple[str, str, object, int]] = []  # sender, receiver, body, sender's incarnation
        self.term = 0
        self.leader = ""
        # Ids that were acknowledged, or returned by a leader, in this order.
        self.acked: list[str] = []
        self.creation_order: dict[str, int] = {}  # ids, each with its position in order of creation
        self.result = ExplorationResult(schedules=1, seed=seed)
        self._reported_ids: set[str] = set()
        self._isolated: set[str] = set()  # nodes that neither receive nor send messages now
        self._opened_terms: set[int] = set()
        for name in self.incarnations:
            self._start(name)
            acceptor = self.nodes[name].acceptor
            if acceptor is not None:  # all voters recovered long ago
                acceptor.state.incarnation, acceptor.state.is_recovered = 1, True

    def _start(self, name: str) -> None:
        self.incarnations[name] += 1
        record = MemberRecord(name, self.incarnations[name], 1, MemberState.ALIVE, name)
        members = Membership(record, MembershipSettings(enabled=True, name=name), 1, self.now_us)
        members.merge_records(
            self.now_us,
            [
                MemberRecord(n, incarnation, 1, MemberState.ALIVE, n)
                for n, incarnation in self.incarnations.items()
                if n != name
            ],
            name,
        )
        leadership = LeadershipSettings(enabled=True, voters=tuple(self.voters))
        node = self.nodes[name] = Replica(
            name,
            self.incarnations[name],
            ReplicationSettings(enabled=True, compare_interval_s=600.0, scrub_interval_s=600.0),
            "lab",
            members,
            lambda: Voters(leadership, self.off),
            lambda kind: None,
            self.rng.getrandbits(32),
            self.now_us,
            self.off,
        )
        # The worst case of a complete replica: it was fetched from a member without any records.
        node.anti_entropy.copy.is_complete = True

    # ------------------------------------------------------------------ steps

    def run(self) -> ExplorationResult:
        restarts, changes = self.bounds.restarts, self.bounds.changes
        for _ in range(self.bounds.steps):
            draw = self.rng.random()
            if draw < 0.012 and restarts and self.leader:
                restarts -= 1
                self._restart(self.rng.choice(self.voters))
            elif draw < 0.03 and changes:
                changes -= 1
                self._change_leader()
            elif draw < 0.14:
                self.now_us += STEP_US
                if self.rng.random() < 0.12:
                    isolated_voters = self.rng.sample(self.voters, self.rng.choice((0, 1, 1, 1, 2)))
                    self._isolated = {
                        *isolated_voters,
                        *(o for o in self.candidates if self.rng.random() < 0.15),
                    }
                for name in self.incarnations:
                    self._tick(name)
            elif draw < 0.20 and self.leader:
                self._send_operator_request()
            elif self.messages:
                self._deliver()
            if self.result.violation:
                break
        self.result.acknowledged = len(self.acked)
        return self.result

    def _log_event(self, message: str) -> None:
        self.result.events.append(message)

    def _restart(self, name: str) -> None:
        """Restarts a voter, unless another voter has not recovered yet: a majority of the three must remember
        at all times. Without the rule `lives` the voter is always restarted.
        """
        if "lives" not in self.off and any(
            (acceptor := self.nodes[v].acceptor) is not None and not acceptor.state.is_recovered
            for v in self.voters
            if v != name
        ):
            return
        self.result.restarts += 1
        self._log_event(f"{name} restarted")
        self._start(name)

    def _change_leader(self) -> None:
        """Makes a random candidate the leader in the next term; a previous leader is not told."""
        self.term += 1
        self.leader = self.rng.choice(self.candidates)
        self.result.changes += 1
        self._log_event(f"{self.leader} leads in term {self.term}")
        self.nodes[self.leader].set_leadership(self.now_us, self.term)

    def _tick(self, name: str) -> None:
        node = self.nodes[name]
        for to, body in node.tick(self.now_us, ""):
            self._send(name, to, body)
        node.leader_requests.clear()
        coordinator = node.coordinator
        if coordinator is not None:
            # Polls the state of each mark at this leader.
            for id_ in list(self.creation_order):
                answer = coordinator.answer_request(self.now_us, MarkRequest("poll", id_))
                if answer is not None and answer.state == "done" and id_ not in self._reported_ids:
                    self._reported_ids.add(id_)
                    self.acked.append(id_)
                    self._log_event(f"{id_} was acknowledged by {name} in term {coordinator.term}")
                    self._check_fencing(coordinator.term, id_)
            if coordinator.is_open and coordinator.term not in self._opened_terms:
                self._opened_terms.add(coordinator.term)
                self.result.opened += 1
                self._check_opened_leader(name, node)

    def _held_ids(self, node: Replica) -> list[str]:
        record = node.store.get(("out", SUBJECT, ""))
        return (
            [m.id for v in record.versions if (m := decode_mark(v)) is not None] if record is not None else []
        )

    def _check_fencing(self, term: int, id_: str) -> None:
        """Checks that each open leader of a higher term knows the mark `id_`, which was acknowledged in
        `term`, or one that was created later.
        """
        for name, node in self.nodes.items():
            coordinator = node.coordinator
            if coordinator is None or not coordinator.is_open or coordinator.term <= term:
                continue
            if (
                max((self.creation_order.get(i, -1) for i in self._held_ids(node)), default=-1)
                < self.creation_order[id_]
            ):
                self.result.violation = (
                    f"{id_} was acknowledged in term {term}, but the open leader {name} of "
                    f"term {coordinator.term} lacks it"
                )

    def _check_opened_leader(self, name: str, node: Replica) -> None:
        """Checks that a new leader knows every mark that was acknowledged, or returned by a leader, before
        the new leader began to serve requests: its record contains the mark, or one that was created later.
        """
        held = self._held_ids(node)
        coordinator = node.coordinator
        assert coordinator is not None
        latest = max((self.creation_order[i] for i in self.acked), default=-1)
        if self.acked and max((self.creation_order.get(i, -1) for i in held), default=-1) < latest:
            message = f"{name} began to serve requests in term {coordinator.term} with {held or 'nothing'}"
            self.result.violation = (
                f"{message}, but a later mark was known before (the last known one is {self.acked[-1]})"
            )

    def _send_operator_request(self) -> None:
        name = self.rng.choice(self.candidates)  # may be a former leader
        node = self.nodes[name]
        coordinator = node.coordinator
        if coordinator is None or not coordinator.is_open:
            return
        if self.rng.random() < 0.4:
            # In a fleet the lease prevents answers of former leaders, so they are ignored here.
            is_latest = coordinator.term == self.term
            answer = coordinator.answer_request(
                self.now_us, MarkRequest("look", "", coordinator.term, "out", SUBJECT)
            )
            if is_latest and answer is not None and answer.state == "done":
                unreported = [
                    i
                    for i in self._held_ids(node)
                    if i in self.creation_order and i not in self._reported_ids
                ]
                self._reported_ids.update(unreported)
                self.acked += unreported
                if unreported:
                    self._log_event(f"{unreported[0]} was returned by {name} in term {coordinator.term}")
            return
        id_ = f"w{len(self.creation_order)}"
        request = MarkRequest("mark", id_, coordinator.term, "out", SUBJECT, True)
        answer = coordinator.answer_request(self.now_us, request)
        if answer is not None and answer.state == "pending":
            self.creation_order[id_] = len(self.creation_order)
            self._log_event(f"{id_} was created by {name} in term {coordinator.term}")

    def _send(self, sender: str, to: str, body: object) -> None:
        if isinstance(body, DigestRequest) or to not in self.nodes:
            return
        self.messages.append((sender, to, body, self.incarnations[sender]))

    def _deliver(self) -> None:
        """Delivers one message, mostly the oldest one; 8 % of the messages are kept, to be delivered
        again, and 8 % of the deliveries fail, as do half of those from an earlier incarnation of the sender.
        At most 150 messages are in flight: if there are more, random ones are lost.
        """
        deliverable = [
            n for n, m in enumerate(self.messages) if m[0] == m[1] or not self._isolated & {m[0], m[1]}
        ]
        if not deliverable:
            return
        index = self.rng.choice(deliverable) if self.rng.random() < 0.2 else deliverable[0]
        sender, to, body, incarnation = self.messages[index]
        if self.rng.random() > 0.08:
            del self.messages[index]
        if self.rng.random() < 0.08:
            return
        if incarnation != self.incarnations[sender] and self.rng.random() < 0.5:
            return
        for answer_to, answer in self.nodes[to].receive(self.now_us, sender, body):
            self._send(to, answer_to, answer)
        while len(self.messages) > 150:
            del self.messages[self.rng.randrange(len(self.messages))]


def explore_replicas(
    schedules: int, bounds: Bounds | None = None, off: frozenset[str] = frozenset(), first: int = 0
) -> ExplorationResult:
    """Runs `schedules` schedules, with seeds from `first` on. Stops at the first violation, and returns its
    seed and the events before it.
    """
    bounds, total = bounds or Bounds(), ExplorationResult()
    for seed in range(first, first + schedules):
        result = _Schedule(seed, bounds, off).run()
        total.schedules += 1
        total.acknowledged += result.acknowledged
        total.changes += result.changes
        total.restarts += result.restarts
        total.opened += result.opened
        if result.violation:
            total.violation, total.seed, total.events = result.violation, seed, result.events
            break
    return total
