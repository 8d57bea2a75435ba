"""One node's leases on the fleet's tasks: candidacy, renewal, handover and expiry.

A majority of the voters grants a lease. Its holder computes the expiry from the time at which it sent the
request that the majority granted, minus the maximum drift between two clocks. The holder therefore stops
acting as the leader before any of these voters may grant the task to another node.

This module does no I/O: it takes messages and the time (microseconds of one monotonic clock) and returns
messages.
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
# The number of candidates for a task; each waits one stagger longer than the better-placed one before it.
MAX_CANDIDATES, CANDIDATE_STAGGER_US = 3, 150_000
# Renewals per lease period; the part of a lease period after which an unanswered request is abandoned.
RENEWALS_PER_LEASE, REQUEST_TIMEOUT_LEASES = 8, 0.5
# After a task was handed over to this node, it requests the lease at this interval for this period.
HANDOVER_RETRY_US, HANDOVER_RETRY_PERIOD_US = 40_000, SECOND
# At most one task is failed back to a better-placed node per interval.
FAIL_BACK_INTERVAL_US = 10 * SECOND
Message = tuple[str, LeaseRequest | LeaseRelease | LeaseHandover]


def best_placed(task: str, names: list[str]) -> list[str]:
    """Returns the candidates for a task among `names` by rendezvous hashing, the highest score first."""
    return heapq.nsmallest(MAX_CANDIDATES, names, key=lambda name: (-_score(task, name), name))


@lru_cache(maxsize=16_384)
def _score(task: str, name: str) -> int:
    return (backend_hash(mmh3.hash(name, signed=False)) * key_hash(task)) & MASK


@dataclass(frozen=True, slots=True)
class LeadershipChange:
    """This node became the leader of a task, or stopped being its leader.

    `reason`: `granted`, `lapsed` (the lease expired), `released` or `outvoted` (a higher term was observed).
    """

    task: str
    term: int
    is_leader: bool
    reason: str


@dataclass(slots=True)
class TaskLease:
    """This node's state of one task's lease, whether the node holds the lease or not."""

    task: str
    term: int = 0  # the term that is requested or held
    expires_us: int = 0  # when the held lease expires; 0: not held
    acquired_us: int = 0
    requesting_since_us: int = 0  # 0: not requesting
    request_times_us: dict[int, int] = field(default_factory=dict)  # by request number, when it was sent
    # By voter, when the latest request that the voter granted was sent.
    granted_request_us: dict[str, int] = field(default_factory=dict)
    next_attempt_us: int = 0
    handover_until_us: int = 0  # the leader handed the task over to this node, which retries often until then
    highest_seen_term: int = 0  # the highest term requested by any node, as far as known here
    # The highest term that a majority granted to any node; responses of lower terms are rejected.
    highest_granted_term: int = 0
    holder: str = ""  # the leader of the task, as far as known here
    last_request_us: int = 0
    better_candidate_since_us: int = 0  # since when a better-placed member has been alive
    rank: int = 0  # the rank of this node among the candidates
    denied_by: set[str] = field(default_factory=set)  # the voters that denied the current request
    rejected_responses: int = 0  # responses of this node that were rejected because of their term


class Leases:
    """Holds the state of all tasks' leases at one node: those it holds, requests or has learned of by gossip.

    `disabled_rules` contains the safety rules that the laboratory switches off.
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
        self._last_request_number = self._random.getrandbits(30) << 20
        self.by_task: dict[str, TaskLease] = {}
        self.changes: list[LeadershipChange] = []  # the driver reads and clears it
        # The tasks whose leader is being gossiped, and how often each hint was sent.
        self.hint_sends: dict[str, int] = {}
        self.last_contact_us: dict[str, int] = {}  # by voter, the time of its last answer
        self._lease_us = int(settings.lease_s * SECOND)
        self._last_fail_back_us = now_us
        self._started_us = now_us
        self.leaving = False

    def update_settings(self, voters: Voters, settings: LeadershipSettings) -> None:
        """Replaces the voters, also for held leases: requests and grants made under the old voters are
        discarded.
        """
        self.voters, self._settings, self._lease_us = voters, settings, int(settings.lease_s * SECOND)
        for lease in self.by_task.values():
            lease.request_times_us.clear()
            lease.granted_request_us.clear()

    def lease_of(self, task: str) -> TaskLease:
        """Returns the state of a task's lease; the first call creates an empty one."""
        lease = self.by_task.get(task)
        if lease is None:
            lease = self.by_task[task] = TaskLease(task)
        return lease

    # ------------------------------------------------------------------ queries and gossip

    def held_term(self, task: str, now_us: int) -> int:
        """Returns the term under which this node holds the lease of the task now; 0: it does not."""
        lease = self.by_task.get(task)
        if lease is None or not lease.expires_us:
            return 0
        return lease.term if now_us < lease.expires_us or "clock" in self._disabled_rules else 0

    def expiry_us(self, task: str) -> int:
        """Returns when the lease that this node holds expires; 0: it holds none."""
        lease = self.by_task.get(task)
        return lease.expires_us if lease is not None else 0

    def reaches_majority(self, now_us: int) -> bool:
        """Whether a majority of the voters has answered within two lease periods, or this node started less
        than two lease periods ago.
        """
        recent = {n for n, at in self.last_contact_us.items() if now_us - at < 2 * self._lease_us}
        return self.voters.is_majority(recent) or now_us - self._started_us < 2 * self._lease_us

    def observe_term(self, task: str, term: int, holder: str, now_us: int) -> None:
        """Handles a report of a granted term and its holder; an empty `holder`: unknown."""
        lease = self.lease_of(task)
        lease.highest_seen_term = max(lease.highest_seen_term, term)
        if term > lease.highest_granted_term or (term == lease.highest_granted_term and not lease.holder):
            lease.highest_granted_term, lease.holder = term, holder or lease.holder
            self.hint_sends[task] = 0
        if lease.expires_us and term > lease.term:
            self._end_lease(lease, "outvoted", now_us)

    def next_leader_hints(self, max_count: int, max_sends: int) -> list[LeaderHint]:
        """Returns the hints to piggyback on the next message, those sent least often first; each hint is sent
        `max_sends` times.
        """
        hints = []
        for task in sorted(self.hint_sends, key=self.hint_sends.__getitem__)[:max_count]:
            self.hint_sends[task] += 1
            if self.hint_sends[task] >= max_sends:
                del self.hint_sends[task]
            lease = self.by_task[task]
            hints.append(LeaderHint(task, lease.highest_granted_term, lease.holder))
        return hints

    def highest_term_leader_hints(self, max_count: int) -> list[LeaderHint]:
        """Returns hints of up to `max_count` tasks, the highest granted terms first."""
        leases = sorted(self.by_task.values(), key=lambda t: (-t.highest_granted_term, t.task))
        return [
            LeaderHint(t.task, t.highest_granted_term, t.holder)
            for t in leases[:max_count]
            if t.highest_granted_term
        ]

    # ------------------------------------------------------------------ time

    def due_us(self, now_us: int, tasks: dict[str, list[str]]) -> int:
        """Returns when `tick` has to be called next."""
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

    def tick(self, now_us: int, tasks: dict[str, list[str]]) -> list[Message]:
        """Ends expired leases, and returns the lease requests and releases that are due.

        `tasks` maps each task to the living members that may lead it, the best placed first.
        """
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
        self._last_request_number += 1
        lease.last_request_us = now_us
        lease.request_times_us[self._last_request_number] = now_us
        while len(lease.request_times_us) > 4 * RENEWALS_PER_LEASE:
            del lease.request_times_us[next(iter(lease.request_times_us))]
        request = LeaseRequest(
            lease.task, lease.term, self._last_request_number, self.voters.stage, bool(lease.expires_us)
        )
        # This node's own voter comes first: if it denies the lease, the other requests are not sent.
        return [
            (voter, request) for voter in sorted(self.voters.names(), key=lambda name: name != self._name)
        ]

    def is_requested(self, request: LeaseRequest) -> bool:
        """Whether the lease is still requested or held; this node's own voter may have denied the request in
        the meantime.
        """
        lease = self.lease_of(request.task)
        return lease.term == request.term and bool(lease.requesting_since_us or lease.expires_us)

    def _abandon_request(self, now_us: int, lease: TaskLease) -> list[Message]:
        """Abandons a request that no majority has granted: releases the lease at all voters, and schedules
        the next attempt after a random delay of 20 to 80 percent of a lease period.
        """
        messages: list[Message] = [(v, LeaseRelease(lease.task, lease.term)) for v in self.voters.names()]
        lease.highest_seen_term = max(lease.highest_seen_term, lease.term)
        lease.requesting_since_us = 0
        lease.next_attempt_us = now_us + int((0.2 + 0.6 * self._random.random()) * self._lease_us)
        return messages

    def _fail_back(self, now_us: int, lease: TaskLease, names: list[str]) -> list[Message]:
        """Hands the task over to a better-placed member that has been alive for `give_back_s`, at most one
        task per FAIL_BACK_INTERVAL_US.
        """
        if not names or names[0] == self._name:
            lease.better_candidate_since_us = 0
            return []
        lease.better_candidate_since_us = lease.better_candidate_since_us or now_us
        min_alive_us = int(self._settings.give_back_s * SECOND)
        if (
            now_us - lease.better_candidate_since_us < min_alive_us
            or now_us - self._last_fail_back_us < FAIL_BACK_INTERVAL_US
        ):
            return []
        self._last_fail_back_us = now_us
        return self.release(now_us, lease.task, names[0])

    def release(self, now_us: int, task: str, to: str | None) -> list[Message]:
        """Releases the lease of a task at all voters, and notifies `to`, the next leader, if there is one."""
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
        """Shuts down: hands over the tasks that this node leads at once, and abandons pending requests."""
        self.leaving = True
        messages: list[Message] = []
        for task, lease in self.by_task.items():
            if lease.expires_us:
                others = [n for n in tasks.get(task, ()) if n != self._name]
                messages += self.release(now_us, task, others[0] if others else None)
            elif lease.requesting_since_us:
                messages += self._abandon_request(now_us, lease)
        return messages

    # ------------------------------------------------------------------ answers of voters

    def on_grant(self, now_us: int, voter: str, grant: LeaseGrant) -> None:
        """Handles a voter's grant or renewal. The lease is held once a majority has granted it, and its
        duration is counted from the request.
        """
        self.last_contact_us[voter] = now_us
        lease = self.lease_of(grant.task)
        sent_us = lease.request_times_us.get(grant.number)
        if sent_us is None or grant.term != lease.term or not (lease.requesting_since_us or lease.expires_us):
            return
        if lease.expires_us and now_us >= lease.expires_us and "clock" not in self._disabled_rules:
            # The lease expired before this grant arrived, so this node stops leading under the term.
            self._end_lease(lease, "lapsed", now_us)
            return
        lease.granted_request_us[voter] = max(sent_us, lease.granted_request_us.get(voter, 0))
        majority_sent_us = self.voters.majority_time_us(lease.granted_request_us)
        if not majority_sent_us:
            return
        expires_us = majority_sent_us + int(self._lease_us * (1 - 2 * DRIFT))
        if lease.requesting_since_us:
            if now_us >= expires_us:
                return
            lease.requesting_since_us, lease.acquired_us, lease.better_candidate_since_us = 0, now_us, 0
            lease.highest_seen_term = lease.highest_granted_term = lease.term
            lease.holder, lease.expires_us = self._name, expires_us
            self.hint_sends[lease.task] = 0
            self.changes.append(LeadershipChange(lease.task, lease.term, True, "granted"))
        lease.expires_us = max(lease.expires_us, expires_us)

    def on_denial(self, now_us: int, voter: str, denial: LeaseDenial) -> list[Message]:
        """Handles a voter's denial; returns releases if the request is abandoned because of it."""
        self.last_contact_us[voter] = now_us
        lease = self.lease_of(denial.task)
        if denial.number not in lease.request_times_us:
            return []
        lease.highest_seen_term = max(lease.highest_seen_term, denial.term)
        if denial.holder and denial.holder != self._name:
            lease.holder = denial.holder
        if lease.requesting_since_us:
            lease.denied_by.add(voter)
            # If the current lease expires within one renewal interval, the request stays pending. Otherwise
            # the grants received so far are released: they would block the current leader of the task, or a
            # candidate with more grants.
            expires_soon = (
                denial.reason == "held" and denial.retry_after_us < self._lease_us // RENEWALS_PER_LEASE
            )
            majority_possible = self.voters.is_majority(set(self.voters.names()) - lease.denied_by)
            if not majority_possible or (not expires_soon and denial.reason in ("held", "term")):
                messages = self._abandon_request(now_us, lease)
                lease.next_attempt_us = now_us + self._retry_delay_us(now_us, lease, denial)
                return messages
        # The denial of a renewal withdraws this voter's grant only; the other grants may still be a majority.
        return []

    def _retry_delay_us(self, now_us: int, lease: TaskLease, denial: LeaseDenial) -> int:
        if now_us < lease.handover_until_us:
            return HANDOVER_RETRY_US
        jitter_us = int(CANDIDATE_STAGGER_US * (lease.rank + 0.3 * self._random.random()))
        if denial.reason == "term":
            return jitter_us
        return min(max(denial.retry_after_us, HANDOVER_RETRY_US), 2 * self._lease_us) + jitter_us

    def on_handover(self, now_us: int, handover: LeaseHandover) -> None:
        """Handles a handover: the leader has released the task for this node to take over."""
        lease = self.lease_of(handover.task)
        lease.highest_seen_term = max(lease.highest_seen_term, handover.term)
        if not self.leaving:
            lease.next_attempt_us, lease.handover_until_us = now_us, now_us + HANDOVER_RETRY_PERIOD_US

    def _end_lease(self, lease: TaskLease, reason: str, now_us: int) -> None:
        lease.expires_us = lease.requesting_since_us = 0
        lease.highest_seen_term = max(lease.highest_seen_term, lease.term)
        lease.next_attempt_us = now_us + int((0.2 + 0.6 * self._random.random()) * self._lease_us)
        self.changes.append(LeadershipChange(lease.task, lease.term, False, reason))
