"""One node's leases on the fleet's tasks: candidacy, renewal, handover and expiry.

A lease is granted by a majority of the voters. Its holder counts the end of the lease from when it sent the
request that the majority granted, and subtracts what two clocks may drift apart meanwhile. So the holder
stops to act as the owner before any of these voters may grant the task to another node.

Pure: messages and the time (microseconds of one monotonic clock) come in, messages go out.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from functools import lru_cache

import mmh3

from sailrun.decisions.placement import MASK, backend_hash, key_hash
from sailrun.leadership.messages import (
    LeaderHint,
    LeaseDenial,
    LeaseGrant,
    LeaseHandover,
    LeaseRelease,
    LeaseRequest,
)
from sailrun.leadership.quorum import Voters
from sailrun.leadership.settings import DRIFT, LeadershipSettings

SECOND = 1_000_000
# So many of the best placed members try for a task; each waits so much longer than the one before it.
MAX_CANDIDATES, CANDIDATE_STAGGER_US = 3, 150_000
# A lease is renewed so often while it lasts; an ask is given up after this part of it.
RENEWALS_PER_LEASE, REQUEST_TIMEOUT_LEASES = 8, 0.5
# After a task was yielded to a node, it asks so often for so long.
HANDOVER_RETRY_US, HANDOVER_RETRY_PERIOD_US = 40_000, SECOND
# Of the tasks that a better placed node should have, one is failed back within this.
FAIL_BACK_INTERVAL_US = 10 * SECOND
Message = tuple[str, LeaseRequest | LeaseRelease | LeaseHandover]


def best_placed(task: str, names: list[str]) -> list[str]:
    """The candidates for a task among the names, by rendezvous hashing: the highest score first."""
    return heapq.nsmallest(MAX_CANDIDATES, names, key=lambda name: (-_score(task, name), name))


@lru_cache(maxsize=16_384)
def _score(task: str, name: str) -> int:
    return (backend_hash(mmh3.hash(name, signed=False)) * key_hash(task)) & MASK


@dataclass(frozen=True, slots=True)
class LeadershipChange:
    """This node became a task's leader, or is none any more.

    `reason`: `granted`, `lapsed`, `released` or `outvoted`.
    """

    task: str
    term: int
    is_leader: bool
    reason: str


@dataclass(slots=True)
class TaskLease:
    """What this node knows of the lease of one task, whether it holds it or not."""

    task: str
    term: int = 0  # requested or held
    expires_us: int = 0  # held until then; 0: not held
    acquired_us: int = 0
    requesting_since_us: int = 0  # 0: not requesting
    request_times_us: dict[int, int] = field(default_factory=dict)  # by the request's number
    # By voter, when the latest request that it granted was sent.
    granted_request_us: dict[str, int] = field(default_factory=dict)
    next_attempt_us: int = 0
    handover_until_us: int = 0  # until then it is requested often: its leader has yielded it to this node
    highest_seen_term: int = 0  # the highest that anybody has requested, as far as known
    # The highest that a majority granted to somebody; responses of lower terms are rejected.
    highest_granted_term: int = 0
    holder: str = ""  # from gossip: who leads the task
    last_request_us: int = 0
    better_candidate_since_us: int = 0  # since when a better placed member lives
    rank: int = 0  # of this node among the candidates
    denied_by: set[str] = field(default_factory=set)  # the voters that denied the current request
    rejected_responses: int = 0  # responses of this node that were rejected for their term


class Leases:
    """The leases of all tasks, as one node holds them, requests them or knows of them by gossip.

    `disabled_rules` names safety rules that the laboratory switches off.
    """

    def __init__(
        self,
        name: str,
        voters: Voters,
        settings: LeadershipSettings,
        seed: int,
        now_us: int,
        disabled_rules: frozenset[str] = frozenset(),
    ) -> None:
        self._name, self.voters, self._settings, self._disabled_rules = name, voters, settings, disabled_rules
        self._random = random.Random(seed)
        self._number = self._random.getrandbits(30) << 20
        self.by_task: dict[str, TaskLease] = {}
        self.changes: list[LeadershipChange] = []  # the driver reads and empties it
        self.hint_sends: dict[str, int] = {}  # tasks whose owner is to be told, and how often that was done
        self.last_contact_us: dict[str, int] = {}  # by voter, when it last answered
        self._lease_us = int(settings.lease_s * SECOND)
        self._last_fail_back_us = now_us
        self._started_us = now_us
        self.leaving = False

    def update_settings(self, voters: Voters, settings: LeadershipSettings) -> None:
        """From now on these voters count, also for what is held: a renewal of before is none any more."""
        self.voters, self._settings, self._lease_us = voters, settings, int(settings.lease_s * SECOND)
        for lease in self.by_task.values():
            lease.request_times_us.clear()
            lease.granted_request_us.clear()

    def lease_of(self, task: str) -> TaskLease:
        """What is known of a task's lease; begun empty at the first call."""
        lease = self.by_task.get(task)
        if lease is None:
            lease = self.by_task[task] = TaskLease(task)
        return lease

    # ------------------------------------------------------------------ what holds

    def held_term(self, task: str, now_us: int) -> int:
        """The term under which this node holds the task now; 0: it does not."""
        lease = self.by_task.get(task)
        if lease is None or not lease.expires_us:
            return 0
        return lease.term if now_us < lease.expires_us or "clock" in self._disabled_rules else 0

    def expiry_us(self, task: str) -> int:
        """Until when this node holds the task; 0: it does not."""
        lease = self.by_task.get(task)
        return lease.expires_us if lease is not None else 0

    def reaches_majority(self, now_us: int) -> bool:
        """Whether a majority of the voters has answered of late, or there was no time for it yet."""
        recent = {n for n, at in self.last_contact_us.items() if now_us - at < 2 * self._lease_us}
        return self.voters.is_majority(recent) or now_us - self._started_us < 2 * self._lease_us

    def observe_term(self, task: str, term: int, holder: str, now_us: int) -> None:
        """By gossip: a term that was granted, and to whom."""
        lease = self.lease_of(task)
        lease.highest_seen_term = max(lease.highest_seen_term, term)
        if term > lease.highest_granted_term or (term == lease.highest_granted_term and not lease.holder):
            lease.highest_granted_term, lease.holder = term, holder or lease.holder
            self.hint_sends[task] = 0
        if lease.expires_us and term > lease.term:
            self._end_lease(lease, "outvoted", now_us)

    def next_leader_hints(self, max_count: int, max_sends: int) -> list[LeaderHint]:
        """Gossip to ride along: what was sent least often; each hint `max_sends` times."""
        handover = []
        for task in sorted(self.hint_sends, key=self.hint_sends.__getitem__)[:max_count]:
            self.hint_sends[task] += 1
            if self.hint_sends[task] >= max_sends:
                del self.hint_sends[task]
            lease = self.by_task[task]
            handover.append(LeaderHint(task, lease.highest_granted_term, lease.holder))
        return handover

    def latest_leader_hints(self, max_count: int) -> list[LeaderHint]:
        """The highest terms known, the latest changes of leader first."""
        leases = sorted(self.by_task.values(), key=lambda t: (-t.highest_granted_term, t.task))
        return [
            LeaderHint(t.task, t.highest_granted_term, t.holder)
            for t in leases[:max_count]
            if t.highest_granted_term
        ]

    # ------------------------------------------------------------------ time

    def due_us(self, now_us: int, tasks: dict[str, list[str]]) -> int:
        """When `turn` wants to be called next."""
        due_us = now_us + self._lease_us
        for task, names in tasks.items():
            lease = self.lease_of(task)
            if lease.expires_us or lease.requesting_since_us:
                due_us = min(due_us, lease.last_request_us + self._lease_us // RENEWALS_PER_LEASE)
                if lease.expires_us:
                    due_us = min(due_us, lease.expires_us)
            elif not self.leaving and self._name in names:
                due_us = min(due_us, lease.next_attempt_us)
        return due_us

    def turn(self, now_us: int, tasks: dict[str, list[str]]) -> list[Message]:
        """`tasks`: by name, the living members that may own it, best placed first."""
        messages: list[Message] = []
        for lease in list(self.by_task.values()):
            if lease.expires_us and now_us >= lease.expires_us and "clock" not in self._disabled_rules:
                self._end_lease(lease, "lapsed", now_us)
                messages += [(voter, LeaseRelease(lease.task, lease.term)) for voter in self.voters.names()]
        for task, names in tasks.items():
            lease = self.lease_of(task)
            if lease.expires_us:
                if now_us - lease.last_request_us >= self._lease_us // RENEWALS_PER_LEASE:
                    messages += self._request_lease(now_us, lease)
                messages += self._fail_back(now_us, lease, names)
            elif lease.requesting_since_us:
                if now_us - lease.requesting_since_us >= REQUEST_TIMEOUT_LEASES * self._lease_us:
                    messages += self._abandon_request(now_us, lease)
                elif now_us - lease.last_request_us >= self._lease_us // RENEWALS_PER_LEASE:
                    messages += self._request_lease(now_us, lease)
            elif not self.leaving and self._name in names and now_us >= lease.next_attempt_us:
                lease.term = lease.highest_seen_term + (
                    0 if "terms" in self._disabled_rules and lease.highest_seen_term else 1
                )
                lease.requesting_since_us, lease.rank = now_us, names.index(self._name)
                lease.request_times_us.clear()
                lease.granted_request_us.clear()
                lease.denied_by.clear()
                messages += self._request_lease(now_us, lease)
        return messages

    def _request_lease(self, now_us: int, lease: TaskLease) -> list[Message]:
        self._number += 1
        lease.last_request_us = now_us
        lease.request_times_us[self._number] = now_us
        while len(lease.request_times_us) > 4 * RENEWALS_PER_LEASE:
            del lease.request_times_us[next(iter(lease.request_times_us))]
        request = LeaseRequest(
            lease.task, lease.term, self._number, self.voters.stage, bool(lease.expires_us)
        )
        # Its own voter first: where that one denies, nobody else is asked.
        return [
            (voter, request) for voter in sorted(self.voters.names(), key=lambda name: name != self._name)
        ]

    def is_requested(self, request: LeaseRequest) -> bool:
        """Whether the lease is still requested: this node's own voter may have denied it meanwhile."""
        lease = self.lease_of(request.task)
        return lease.term == request.term and bool(lease.requesting_since_us or lease.expires_us)

    def _abandon_request(self, now_us: int, lease: TaskLease) -> list[Message]:
        """No majority in time: those that granted are freed at once, and the next try is at another
        moment.
        """
        messages: list[Message] = [(v, LeaseRelease(lease.task, lease.term)) for v in self.voters.names()]
        lease.highest_seen_term = max(lease.highest_seen_term, lease.term)
        lease.requesting_since_us = 0
        lease.next_attempt_us = now_us + int((0.2 + 0.6 * self._random.random()) * self._lease_us)
        return messages

    def _fail_back(self, now_us: int, lease: TaskLease, names: list[str]) -> list[Message]:
        """A better placed member that has been there for long gets the task, one task at a time."""
        if not names or names[0] == self._name:
            lease.better_candidate_since_us = 0
            return []
        lease.better_candidate_since_us = lease.better_candidate_since_us or now_us
        wait_us = int(self._settings.give_back_s * SECOND)
        if (
            now_us - lease.better_candidate_since_us < wait_us
            or now_us - self._last_fail_back_us < FAIL_BACK_INTERVAL_US
        ):
            return []
        self._last_fail_back_us = now_us
        return self.release(now_us, lease.task, names[0])

    def release(self, now_us: int, task: str, to: str | None) -> list[Message]:
        """Gives a task up, in good order: the voters are freed, and the next leader is notified."""
        lease = self.lease_of(task)
        if not lease.expires_us:
            return []
        term = lease.term
        self._end_lease(lease, "released", now_us)
        messages: list[Message] = [(voter, LeaseRelease(task, term)) for voter in self.voters.names()]
        if to is not None and to != self._name:
            lease.next_attempt_us = now_us + 2 * self._lease_us
            messages.append((to, LeaseHandover(task, term)))
        return messages

    def leave(self, now_us: int, tasks: dict[str, list[str]]) -> list[Message]:
        """This node ends: what it leads is handed over at once, what it requests is abandoned."""
        self.leaving = True
        messages: list[Message] = []
        for task, lease in self.by_task.items():
            if lease.expires_us:
                others = [n for n in tasks.get(task, ()) if n != self._name]
                messages += self.release(now_us, task, others[0] if others else None)
            elif lease.requesting_since_us:
                messages += self._abandon_request(now_us, lease)
        return messages

    # ------------------------------------------------------------------ what voters say

    def on_grant(self, now_us: int, voter: str, grant: LeaseGrant) -> None:
        """A voter granted or renewed the lease. It is held once a majority has, counted from the request."""
        self.last_contact_us[voter] = now_us
        lease = self.lease_of(grant.task)
        sent_us = lease.request_times_us.get(grant.number)
        if sent_us is None or grant.term != lease.term or not (lease.requesting_since_us or lease.expires_us):
            return
        if lease.expires_us and now_us >= lease.expires_us and "clock" not in self._disabled_rules:
            # It had ended before this came: what was owned under the term is over.
            self._end_lease(lease, "lapsed", now_us)
            return
        lease.granted_request_us[voter] = max(sent_us, lease.granted_request_us.get(voter, 0))
        end_us = self.voters.majority_time_us(lease.granted_request_us)
        if not end_us:
            return
        until_us = end_us + int(self._lease_us * (1 - 2 * DRIFT))
        if lease.requesting_since_us:
            if now_us >= until_us:
                return
            lease.requesting_since_us, lease.acquired_us, lease.better_candidate_since_us = 0, now_us, 0
            lease.highest_seen_term = lease.highest_granted_term = lease.term
            lease.holder, lease.expires_us = self._name, until_us
            self.hint_sends[lease.task] = 0
            self.changes.append(LeadershipChange(lease.task, lease.term, True, "granted"))
        lease.expires_us = max(lease.expires_us, until_us)

    def on_denial(self, now_us: int, voter: str, denial: LeaseDenial) -> list[Message]:
        """A voter denied the lease; returns releases where the request is abandoned for it."""
        self.last_contact_us[voter] = now_us
        lease = self.lease_of(denial.task)
        if denial.number not in lease.request_times_us:
            return []
        lease.highest_seen_term = max(lease.highest_seen_term, denial.term)
        if denial.holder and denial.holder != self._name:
            lease.holder = denial.holder
        if lease.requesting_since_us:
            lease.denied_by.add(voter)
            # One whose lease ends in a moment is waited for. Otherwise nothing that was granted is kept:
            # it would be in the way of whoever owns the task, or of a candidate that has more.
            short = denial.reason == "held" and denial.retry_after_us < self._lease_us // RENEWALS_PER_LEASE
            enough = self.voters.is_majority(set(self.voters.names()) - lease.denied_by)
            if not enough or (not short and denial.reason in ("held", "term")):
                messages = self._abandon_request(now_us, lease)
                lease.next_attempt_us = now_us + self._retry_delay_us(now_us, lease, denial)
                return messages
        # A voter that denies a renewal takes away its own grant, no more: the others' may be a majority.
        return []

    def _retry_delay_us(self, now_us: int, lease: TaskLease, denial: LeaseDenial) -> int:
        if now_us < lease.handover_until_us:
            return HANDOVER_RETRY_US
        jitter_us = int(CANDIDATE_STAGGER_US * (lease.rank + 0.3 * self._random.random()))
        if denial.reason == "term":
            return jitter_us
        return min(max(denial.retry_after_us, HANDOVER_RETRY_US), 2 * self._lease_us) + jitter_us

    def on_handover(self, now_us: int, handover: LeaseHandover) -> None:
        """The leader has given the task up, for this node to take over."""
        lease = self.lease_of(handover.task)
        lease.highest_seen_term = max(lease.highest_seen_term, handover.term)
        if not self.leaving:
            lease.next_attempt_us, lease.handover_until_us = now_us, now_us + HANDOVER_RETRY_PERIOD_US

    def _end_lease(self, lease: TaskLease, why: str, now_us: int) -> None:
        lease.expires_us = lease.requesting_since_us = 0
        lease.highest_seen_term = max(lease.highest_seen_term, lease.term)
        lease.next_attempt_us = now_us + int((0.2 + 0.6 * self._random.random()) * self._lease_us)
        self.changes.append(LeadershipChange(lease.task, lease.term, False, why))
