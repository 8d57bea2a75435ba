"""A voter grants leases: it records the holder, expiry and term of each task's lease. The records are held in
memory; with a storage folder they are journalled too, and restored after a restart (`restore`).

Safety rests on three guarantees, each of which depends on this voter's clock alone:
- while a lease that it granted may be in use, it grants the task to no other candidate;
- it grants no term twice, and no term below one it has granted;
- after a start it grants nothing until every lease that its previous process may have granted has expired,
  and a majority of voters that remember their grants have reported the terms they know. If there is no such
  majority any more, it starts above all terms it can learn of (`new_initial_term`).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from sailrun.leadership.messages import (
    LeaseDenial,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    TermQuery,
    TermReport,
)
from sailrun.leadership.quorum import Voters
from sailrun.leadership.settings import DRIFT, LeadershipSettings

SECOND = 1_000_000
TERM_QUERY_INTERVAL_US = 250_000
# A voter that cannot reach a majority of voters that remember waits for this many additional lease periods
# before it starts new terms.
EXTRA_WAIT_LEASES = 2.0


def abstention_us(settings: LeadershipSettings) -> int:
    """Returns how long a voter grants nothing after its start, in microseconds of its own clock: one lease
    period plus the maximum clock drift.
    """
    return int(settings.lease_s * SECOND * (1 + 2 * DRIFT))


@dataclass(slots=True)
class GrantedLease:
    """The latest grant of one task's lease."""

    term: int
    holder: str
    process_number: int
    expires_us: int
    is_released: bool = False
    highest_term: int = 0  # the highest term known of the task when this lease was granted
    log_position: int = 0  # of the journal entry of this grant; 0: none


class Voter:
    """Grants leases and tracks terms. Times are microseconds of one monotonic clock.

    `disabled_rules` contains the safety rules that the laboratory switches off to verify that its checks
    detect it.
    """

    def __init__(
        self,
        name: str,
        voters: Voters,
        settings: LeadershipSettings,
        now_us: int,
        new_initial_term: Callable[[], int],
        disabled_rules: frozenset[str] = frozenset(),
    ) -> None:
        """`new_initial_term` returns a term that is very likely above all terms ever granted: it is derived
        from the wall clock and a random number.
        """
        self._name, self.voters, self._settings, self._disabled_rules = name, voters, settings, disabled_rules
        self._new_initial_term = new_initial_term
        self._grants: dict[str, GrantedLease] = {}
        self._observed_terms: dict[str, int] = {}  # learned from others, not granted here
        self._minimum_term = 0  # for tasks of which no term is known
        self._started_us = now_us
        self._next_query_us = now_us
        self._last_query_number = 0
        self._term_reports: dict[str, TermReport] = {}  # the latest report of each voter
        self.remembers = "abstain" in disabled_rules
        self.began_new_terms = False
        # With a storage folder: whether the folder may turn out to contain every grant of this voter.
        self.may_remember = False
        # Whether this voter has a storage folder.
        self.has_durable_state = False
        # Whether the current folder is established at the other voters, so that this voter may relearn the
        # terms from them; always true without a folder.
        self.is_folder_established: Callable[[], bool] = lambda: True
        # Whether the disk accepts writes.
        self.can_persist: Callable[[], bool] = lambda: True
        # These write to the journal and return the position of the entry.
        self.persist_grant: Callable[[str, GrantedLease], int] = lambda task, grant: 0
        self.persist_observed_term: Callable[[str, int], int] = lambda task, term: 0
        self.persist_memory_state: Callable[[bool], int] = lambda remembers: 0
        self.on_new_terms: Callable[[], None] = lambda: None
        self.on_memory_complete: Callable[[], None] = lambda: None

    # ------------------------------------------------------------------ durable state

    def restore(self, now_us: int, grants: dict[str, GrantedLease], observed_terms: dict[str, int]) -> None:
        """Restores the grants of previous processes from the storage folder. Every lease may have been
        renewed right before the last process ended, so it may be in use for as long as a voter without memory
        abstains. Nothing is granted until `confirm_restored` is called.
        """
        until_us = now_us + abstention_us(self._settings)
        for task, grant in grants.items():
            grant.expires_us = until_us
            self._grants[task] = grant
        for task, term in observed_terms.items():
            self.observe_term(task, term)
        self._minimum_term = max(self._minimum_term, observed_terms.get("", 0))
        self.may_remember = True

    def confirm_restored(self) -> None:
        """The folder is confirmed as the newest: this voter remembers all its grants and need not abstain."""
        self.may_remember = False
        self._set_remembers(True)

    def _set_remembers(self, remembers: bool) -> None:
        self.remembers = remembers
        self.persist_memory_state(remembers)
        if remembers:
            self.on_memory_complete()

    def discard_memory(self, now_us: int) -> None:
        """The folder is older than the version that the fleet knows: discards its grants, but keeps their
        terms as lower bounds.
        """
        for task in self._grants:
            self.observe_term(task, self.highest_term(task))
        self._grants.clear()
        self.may_remember = False
        self._set_remembers(False)
        self._started_us = self._next_query_us = now_us
        self._term_reports.clear()

    def granted_leases(self) -> dict[str, GrantedLease]:
        """Returns the latest grant of each task, whether its lease has expired or not."""
        return self._grants

    def observed_terms(self) -> dict[str, int]:
        """Returns the terms learned from others by task; the key "" has a lower bound for all tasks."""
        return (
            {**self._observed_terms, "": self._minimum_term} if self._minimum_term else self._observed_terms
        )

    def log_position(self, task: str) -> int:
        """Returns the position of the journal entry of the task's latest grant; 0: there is none."""
        grant = self._grants.get(task)
        return grant.log_position if grant is not None else 0

    # ------------------------------------------------------------------ leases

    def highest_term(self, task: str) -> int:
        """Returns the highest term that this voter knows of the task."""
        grant = self._grants.get(task)
        return max(grant.highest_term if grant else 0, self._observed_terms.get(task, 0), self._minimum_term)

    def observe_term(self, task: str, term: int) -> None:
        """Handles a report of a term: it may raise the lowest term that can be granted, never lower it."""
        if term > self._observed_terms.get(task, 0):
            self._observed_terms[task] = term

    def on_lease_request(
        self, now_us: int, candidate: str, process_number: int, request: LeaseRequest
    ) -> LeaseGrant | LeaseDenial:
        """Grants or denies a lease to a candidate, which is identified by its name and process number."""
        if not self.voters.accepts_stage(request.stage):
            return self._deny(request, "stage", SECOND)
        if not self.remembers:
            return self._deny(request, "abstains", self._abstention_left_us(now_us))
        grant = self._grants.get(request.task)
        if grant is not None and (grant.holder, grant.process_number, grant.term) == (
            candidate,
            process_number,
            request.term,
        ):
            return self._renew(now_us, grant, request)
        if grant is not None and grant.expires_us > now_us and not grant.is_released:
            return self._deny(request, "held", grant.expires_us - now_us, grant.holder)
        if self._is_term_too_low(candidate, process_number, request):
            return self._deny(request, "term")
        if not self.can_persist():
            # The grant would be durable only after it is too late for the candidate.
            return self._deny(request, "disk", TERM_QUERY_INTERVAL_US)
        return self._grant(now_us, candidate, process_number, request)

    def _deny(
        self, request: LeaseRequest, reason: str, retry_after_us: int = 0, holder: str = ""
    ) -> LeaseDenial:
        highest = self.highest_term(request.task)
        return LeaseDenial(request.task, highest, request.number, reason, max(0, retry_after_us), holder)

    def _abstention_left_us(self, now_us: int) -> int:
        if self.may_remember:
            return TERM_QUERY_INTERVAL_US
        return self._started_us + abstention_us(self._settings) - now_us

    def _expiry_us(self, now_us: int) -> int:
        return now_us + int(self._settings.lease_s * SECOND)

    def _renew(self, now_us: int, grant: GrantedLease, request: LeaseRequest) -> LeaseGrant | LeaseDenial:
        if grant.is_released:
            return self._deny(request, "term")
        grant.expires_us = self._expiry_us(now_us)
        return LeaseGrant(request.task, request.term, request.number)

    def _is_term_too_low(self, candidate: str, process_number: int, request: LeaseRequest) -> bool:
        """Whether the requested term is not above every term known of the task.

        A leader that has held its lease without a gap may renew it although this voter has granted a higher
        term to another candidate: if that candidate had won a majority, the leader could not have kept its
        lease, and the leader ignores grants that arrive too late.
        """
        lowest_allowed = self.highest_term(request.task) + (0 if "terms" in self._disabled_rules else 1)
        if request.term >= lowest_allowed:
            return False
        grant = self._grants.get(request.task)
        is_overtaken = (
            grant is not None
            and grant.term >= request.term
            and (grant.holder, grant.process_number) == (candidate, process_number)
        )
        return not request.is_renewal or is_overtaken

    def _grant(self, now_us: int, candidate: str, process_number: int, request: LeaseRequest) -> LeaseGrant:
        task, term = request.task, request.term
        highest = max(self.highest_term(task), term)
        grant = GrantedLease(term, candidate, process_number, self._expiry_us(now_us), highest_term=highest)
        self._grants[task] = grant
        grant.log_position = self.persist_grant(task, grant)
        return LeaseGrant(task, term, request.number)

    def on_release(self, candidate: str, process_number: int, release: LeaseRelease) -> None:
        """Releases a lease; only its holder can do so. A late request for the released lease is denied."""
        self.observe_term(release.task, release.term)
        grant = self._grants.get(release.task)
        if grant is not None and (grant.holder, grant.process_number, grant.term) == (
            candidate,
            process_number,
            release.term,
        ):
            grant.is_released = True
            # No answer waits for this entry: a restored lease counts as held unless its release is recorded.
            self.persist_grant(release.task, grant)

    def active_holders(self, now_us: int) -> dict[str, tuple[str, int, int]]:
        """Returns by task the holder, the term and the microseconds until the lease expires here."""
        return {
            task: (grant.holder, grant.term, grant.expires_us - now_us)
            for task, grant in self._grants.items()
            if grant.expires_us > now_us and not grant.is_released
        }

    # ------------------------------------------------------------------ recovery of the terms after a start

    def due_us(self) -> int | None:
        """Returns when `tick` has to be called next; None: the voter needs no call."""
        is_idle = self.remembers or self.may_remember or not self.is_folder_established()
        return None if is_idle else self._next_query_us

    def tick(self, now_us: int) -> list[tuple[str, TermQuery]]:
        """Requests the terms that this voter may have forgotten from the other voters, until it may grant."""
        # A query states that its sender has no memory, which makes any earlier folder of the sender outdated.
        # Therefore the other voters have to know the current folder first.
        if (
            self.remembers
            or self.may_remember
            or now_us < self._next_query_us
            or not self.is_folder_established()
        ):
            return []
        self._next_query_us = now_us + TERM_QUERY_INTERVAL_US
        self._end_abstaining(now_us)
        if self.remembers:
            return []
        self._last_query_number += 1
        return [
            (name, TermQuery(self._last_query_number, self.has_durable_state))
            for name in self.voters.names()
            if name != self._name
        ]

    def report_terms(self, query: TermQuery) -> TermReport:
        """Answers the query of a voter after its start: returns the highest term known here of each task."""
        highest_terms = {task: self.highest_term(task) for task in {*self._grants, *self._observed_terms}}
        if self._minimum_term:
            highest_terms[""] = self._minimum_term
        return TermReport(query.number, self.remembers, highest_terms, self.may_remember)

    def on_term_report(self, now_us: int, sender: str, report: TermReport) -> None:
        """Handles another voter's report, which is used only while this voter abstains."""
        if self.remembers or self.may_remember or sender not in self.voters.names():
            return
        self._term_reports[sender] = report
        self._end_abstaining(now_us)

    def _end_abstaining(self, now_us: int) -> None:
        waited_us = now_us - self._started_us
        if waited_us < abstention_us(self._settings) or not self.is_folder_established():
            return
        remembering = {name for name, answer in self._term_reports.items() if answer.remembers}
        all_reported = {*self._term_reports, self._name} >= set(self.voters.names())
        if not self.voters.is_majority(remembering):
            # Too few voters remember: all the voters that granted a term may have forgotten it.
            if any(answer.may_remember for answer in self._term_reports.values()):
                return  # that voter's folder is being compared; a later report states the result
            without_memory = {name for name, answer in self._term_reports.items() if not answer.remembers} | {
                self._name
            }
            if self.has_durable_state and self.voters.is_majority(set(self.voters.names()) - without_memory):
                return  # a majority may still remember: no term from a clock and a random number is needed
            none_remembers = all_reported and not remembering
            extra_wait_over = waited_us >= abstention_us(self._settings) + int(
                EXTRA_WAIT_LEASES * self._settings.lease_s * SECOND
            )
            if not self.voters.is_majority({*self._term_reports, self._name}) or not (
                none_remembers or extra_wait_over
            ):
                return
            self._minimum_term = max(self._new_initial_term(), self._minimum_term)
            self.persist_observed_term("", self._minimum_term)
            self.began_new_terms = True
            self.on_new_terms()
        for report in self._term_reports.values():
            for task, term in report.terms.items():
                if task:
                    self.observe_term(task, term)
                else:
                    self._minimum_term = max(self._minimum_term, term)
        self._term_reports.clear()
        self._set_remembers(True)
