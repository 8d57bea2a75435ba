"""Owners, voters and one record, in every kind of order: messages that come late, twice or never, voters that
restart with nothing, owners that follow each other. The real modules, driven by a seed; no time passes but
what a step says.

Nothing passes between copies here but what owners and returning voters ask for: what is safe must be so
without any rumor or comparison.
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
    """How long one schedule is, and what comes how often in it."""

    voters: int = 3
    owners: int = 2  # that do not vote themselves
    steps: int = 600
    restarts: int = 6
    changes: int = 8  # of owner


@dataclass(slots=True)
class Explored:
    schedules: int = 0
    acknowledged: int = 0
    changes: int = 0
    restarts: int = 0
    opened: int = 0
    fault: str = ""
    seed: int = -1
    events: list[str] = field(default_factory=list)


class _World:
    def __init__(self, seed: int, bounds: Bounds, off: frozenset[str]) -> None:
        self.luck, self.bounds, self.off = random.Random(f"copies/{seed}"), bounds, off
        self.now_us = 1_000_000
        self.voters = [f"v{n}" for n in range(bounds.voters)]
        self.owners = [f"o{n}" for n in range(bounds.owners)]
        self.nodes: dict[str, Replica] = {}
        self.lives = dict.fromkeys([*self.voters, *self.owners], 0)
        self.mail: list[tuple[str, str, object, int]] = []  # from, to, body, in which life of the sender
        self.term = 0
        self.owner = ""
        self.acked: list[str] = []  # ids, in the order in which they were acknowledged
        self.made: dict[str, int] = {}  # ids by when they were made
        self.found = Explored(schedules=1, seed=seed)
        self._told: set[str] = set()
        self._apart: set[str] = set()  # whom nothing reaches just now, and who reaches nobody
        self._opened: set[int] = set()
        for name in self.lives:
            self._start(name)
            acceptor = self.nodes[name].acceptor
            if acceptor is not None:  # all have been there for long
                acceptor.state.incarnation, acceptor.state.is_recovered = 1, True

    def _start(self, name: str) -> None:
        self.lives[name] += 1
        record = MemberRecord(name, self.lives[name], 1, MemberState.ALIVE, name)
        members = Membership(record, MembershipSettings(enabled=True, name=name), 1, self.now_us)
        members.merge_records(
            self.now_us,
            [MemberRecord(n, life, 1, MemberState.ALIVE, n) for n, life in self.lives.items() if n != name],
            name,
        )
        owners = LeadershipSettings(enabled=True, voters=tuple(self.voters))
        node = self.nodes[name] = Replica(
            name,
            self.lives[name],
            ReplicationSettings(enabled=True, compare_interval_s=600.0, scrub_interval_s=600.0),
            "lab",
            members,
            lambda: Voters(owners, self.off),
            lambda kind: None,
            self.luck.getrandbits(32),
            self.now_us,
            self.off,
        )
        # The worst that a whole copy can be: it was taken from somebody who knew nothing.
        node.anti_entropy.copy.is_complete = True

    # ------------------------------------------------------------------ steps

    def run(self) -> Explored:
        restarts, changes = self.bounds.restarts, self.bounds.changes
        for _ in range(self.bounds.steps):
            what = self.luck.random()
            if what < 0.012 and restarts and self.owner:
                restarts -= 1
                self._restart(self.luck.choice(self.voters))
            elif what < 0.03 and changes:
                changes -= 1
                self._change()
            elif what < 0.14:
                self.now_us += STEP_US
                if self.luck.random() < 0.12:
                    picked = self.luck.sample(self.voters, self.luck.choice((0, 1, 1, 1, 2)))
                    self._apart = {*picked, *(o for o in self.owners if self.luck.random() < 0.15)}
                for name in self.lives:
                    self._turn(name)
            elif what < 0.20 and self.owner:
                self._write()
            elif self.mail:
                self._deliver()
            if self.found.fault:
                break
        self.found.acknowledged = len(self.acked)
        return self.found

    def _note(self, what: str) -> None:
        self.found.events.append(what)

    def _restart(self, name: str) -> None:
        """Only one voter at a time has forgotten: a majority of them remembers throughout."""
        if "lives" not in self.off and any(
            (k := self.nodes[v].acceptor) is not None and not k.state.is_recovered
            for v in self.voters
            if v != name
        ):
            return
        self.found.restarts += 1
        self._note(f"{name} restarts")
        self._start(name)

    def _change(self) -> None:
        """Another owner under a higher term; the old one does not know."""
        self.term += 1
        self.owner = self.luck.choice(self.owners)
        self.found.changes += 1
        self._note(f"{self.owner} owns under {self.term}")
        self.nodes[self.owner].set_leadership(self.now_us, self.term)

    def _turn(self, name: str) -> None:
        node = self.nodes[name]
        for to, body in node.tick(self.now_us, ""):
            self._send(name, to, body)
        node.leader_requests.clear()
        coordinator = node.coordinator
        if coordinator is not None:
            for id_ in list(self.made):
                said = coordinator.answer_request(self.now_us, MarkRequest("poll", id_))
                if said is not None and said.state == "done" and id_ not in self._told:
                    self._told.add(id_)
                    self.acked.append(id_)
                    self._note(f"{id_} is acknowledged by {name} under {coordinator.term}")
                    self._fenced(coordinator.term, id_)
            if coordinator.is_open and coordinator.term not in self._opened:
                self._opened.add(coordinator.term)
                self.found.opened += 1
                self._look(name, node)

    def _held(self, node: Replica) -> list[str]:
        record = node.store.get(("out", SUBJECT, ""))
        return (
            [m.id for v in record.versions if (m := decode_mark(v)) is not None] if record is not None else []
        )

    def _fenced(self, term: int, id_: str) -> None:
        """Nothing is acknowledged under a term that an open owner of a higher one does not know."""
        for name, node in self.nodes.items():
            coordinator = node.coordinator
            if coordinator is None or not coordinator.is_open or coordinator.term <= term:
                continue
            if max((self.made.get(i, -1) for i in self._held(node)), default=-1) < self.made[id_]:
                self.found.fault = (
                    f"{id_} is acknowledged under {term}, {name} under {coordinator.term} knows it not"
                )

    def _look(self, name: str, node: Replica) -> None:
        """A new owner knows every mark that was acknowledged, or shown by an owner, before it opened: its
        record holds it, or one that was made later.
        """
        held = self._held(node)
        coordinator = node.coordinator
        assert coordinator is not None
        latest = max((self.made[i] for i in self.acked), default=-1)
        if self.acked and max((self.made.get(i, -1) for i in held), default=-1) < latest:
            told = f"{name} opens under {coordinator.term} with {held or 'nothing'}"
            self.found.fault = f"{told}, {self.acked[-1]} was acknowledged"

    def _write(self) -> None:
        name = self.luck.choice(self.owners)  # also one that does not know of the next
        node = self.nodes[name]
        coordinator = node.coordinator
        if coordinator is None or not coordinator.is_open:
            return
        if self.luck.random() < 0.4:
            newest = coordinator.term == self.term  # the lease sees to it that no older one answers
            said = coordinator.answer_request(
                self.now_us, MarkRequest("look", "", coordinator.term, "out", SUBJECT)
            )
            if newest and said is not None and said.state == "done":
                shown = [i for i in self._held(node) if i in self.made and i not in self._told]
                self._told.update(shown)
                self.acked += shown
                if shown:
                    self._note(f"{shown[0]} is shown by {name} under {coordinator.term}")
            return
        id_ = f"w{len(self.made)}"
        op = MarkRequest("mark", id_, coordinator.term, "out", SUBJECT, True)
        said = coordinator.answer_request(self.now_us, op)
        if said is not None and said.state == "pending":
            self.made[id_] = len(self.made)
            self._note(f"{id_} is made by {name} under {coordinator.term}")

    def _send(self, sender: str, to: str, body: object) -> None:
        if isinstance(body, DigestRequest) or to not in self.nodes:
            return
        self.mail.append((sender, to, body, self.lives[sender]))

    def _deliver(self) -> None:
        """One message, from anywhere in the queue; some are lost, some come again."""
        ways = [n for n, m in enumerate(self.mail) if m[0] == m[1] or not self._apart & {m[0], m[1]}]
        if not ways:
            return
        at = self.luck.choice(ways) if self.luck.random() < 0.2 else ways[0]
        sender, to, body, life = self.mail[at]
        if self.luck.random() > 0.08:
            del self.mail[at]
        if self.luck.random() < 0.08:
            return
        if life != self.lives[sender] and self.luck.random() < 0.5:
            return
        for answer_to, answer in self.nodes[to].receive(self.now_us, sender, body):
            self._send(to, answer_to, answer)
        while len(self.mail) > 150:
            del self.mail[self.luck.randrange(len(self.mail))]


def explore_copies(
    schedules: int, bounds: Bounds | None = None, off: frozenset[str] = frozenset(), first: int = 0
) -> Explored:
    """Plays so many schedules; ends at the first fault, with its seed and what led to it."""
    bounds, total = bounds or Bounds(), Explored()
    for seed in range(first, first + schedules):
        found = _World(seed, bounds, off).run()
        total.schedules += 1
        total.acknowledged += found.acknowledged
        total.changes += found.changes
        total.restarts += found.restarts
        total.opened += found.opened
        if found.fault:
            total.fault, total.seed, total.events = found.fault, seed, found.events
            break
    return total
