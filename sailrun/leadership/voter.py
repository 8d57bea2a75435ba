"""One voter: to whom it has granted which task, until when, and under which term. Its memory is that of the
process, or durable in a folder (`restore`).

Safety rests on three promises, each kept by this clock alone:
- while a lease that it granted may be in use, nobody else is granted the task;
- it grants no term twice, and none below one it has granted;
- after a start it grants nothing until every lease that its former process may have granted has ended, and
  a majority of voters that remember have reported what terms there were. Where there is no such majority any
  more, it begins above all terms it can learn of (`new_initial_term`).
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
# A voter that cannot reach a majority that remembers waits for so many more leases before it begins anew.
EXTRA_WAIT_LEASES = 2.0


def abstention_us(settings: LeadershipSettings) -> int:
    """How long a voter that has started grants nothing, in microseconds of its own clock: a lease, by
    whatever clock that runs.
    """
    return int(settings.lease_s * SECOND * (1 + 2 * DRIFT))


@dataclass(slots=True)
class GrantedLease:
    """What was granted of one task."""

    term: int
    holder: str
    life: int
    expires_us: int
    is_released: bool = False
    highest_term: int = 0  # granted of the task at any time
    log_position: int = 0  # of the journal's entry for it; 0: none


class Voter:
    """Grants leases, and keeps count of terms. Times are microseconds of one monotonic clock.

    `disabled_rules`: safety rules that the laboratory switches off, to see that its checks find out.
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
        """`new_initial_term` gives a term above all that were ever granted, as far as chance and a clock
        can.
        """
        self._name, self.voters, self._settings, self._disabled_rules = name, voters, settings, disabled_rules
        self._new_initial_term = new_initial_term
        self._grants: dict[str, GrantedLease] = {}
        self._observed_terms: dict[str, int] = {}  # terms heard of, not granted here
        self._minimum_term = 0  # for tasks never heard of
        self._started_us = now_us
        self._next_query_us = now_us
        self._number = 0
        self._term_reports: dict[str, TermReport] = {}  # the latest of each
        self.remembers = "abstain" in disabled_rules
        self.began_new_terms = False
        # With a folder: whether what it holds may turn out to be all that this voter ever granted; that there
        # is one; whether it may vote as one that has learned anew; whether its disk keeps up; who writes
        # down.
        self.may_remember = False
        self.has_durable_state = False
        self.is_registered: Callable[[], bool] = lambda: True
        self.can_persist: Callable[[], bool] = lambda: True
        self.persist_grant: Callable[[str, GrantedLease], int] = lambda task, grant: 0
        self.persist_observed_term: Callable[[str, int], int] = lambda task, term: 0
        self.persist_memory_state: Callable[[bool], int] = lambda remembers: 0
        self.on_new_terms: Callable[[], None] = lambda: None
        self.on_memory_complete: Callable[[], None] = lambda: None

    # ------------------------------------------------------------------ what outlasts the process

    def restore(self, now_us: int, grants: dict[str, GrantedLease], observed_terms: dict[str, int]) -> None:
        """What was granted before this process, as its folder tells. Every lease may have been renewed right
        before the end: it may be in use for as long as a voter without a memory abstains. Nothing is granted
        until `confirm_restored` says that this was all.
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
        """The folder is the newest there is: this voter remembers, and need not abstain."""
        self.may_remember = False
        self._set_remembers(True)

    def _set_remembers(self, remembers: bool) -> None:
        self.remembers = remembers
        self.persist_memory_state(remembers)
        if remembers:
            self.on_memory_complete()

    def discard_memory(self, now_us: int) -> None:
        """The folder is older than what the fleet knows: as if there had been none. Terms only rise by it."""
        for task in self._grants:
            self.observe_term(task, self.highest_term(task))
        self._grants.clear()
        self.may_remember = False
        self._set_remembers(False)
        self._started_us = self._next_query_us = now_us
        self._term_reports.clear()

    def granted_leases(self) -> dict[str, GrantedLease]:
        """The latest grant of each task, whether its lease still runs or not."""
        return self._grants

    def observed_terms(self) -> dict[str, int]:
        """Terms heard of; of no task: below which none is granted for any."""
        return (
            {**self._observed_terms, "": self._minimum_term} if self._minimum_term else self._observed_terms
        )

    def log_position(self, task: str) -> int:
        """The entry that a grant of the task rests on."""
        grant = self._grants.get(task)
        return grant.log_position if grant is not None else 0

    # ------------------------------------------------------------------ leases

    def highest_term(self, task: str) -> int:
        """The highest term this voter knows of the task."""
        grant = self._grants.get(task)
        return max(grant.highest_term if grant else 0, self._observed_terms.get(task, 0), self._minimum_term)

    def observe_term(self, task: str, term: int) -> None:
        """A term that was gossiped may raise what is granted next, never lower it."""
        if term > self._observed_terms.get(task, 0):
            self._observed_terms[task] = term

    def on_lease_request(
        self, now_us: int, candidate: str, life: int, request: LeaseRequest
    ) -> LeaseGrant | LeaseDenial:
        """Grants or denies a task to a candidate, which is known by its name and its process."""
        task = request.task

        def deny(why: str, left_us: int = 0, holder: str = "") -> LeaseDenial:
            return LeaseDenial(task, self.highest_term(task), request.number, why, max(0, left_us), holder)

        if not self.voters.accepts_stage(request.stage):
            return deny("stage", SECOND)
        if not self.remembers:
            wait_us = (
                TERM_QUERY_INTERVAL_US
                if self.may_remember
                else self._started_us + abstention_us(self._settings) - now_us
            )
            return deny("abstains", wait_us)
        grant = self._grants.get(task)
        until_us = now_us + int(self._settings.lease_s * SECOND)
        if grant is not None:
            if (grant.holder, grant.life, grant.term) == (candidate, life, request.term):
                if grant.is_released:
                    return deny("term")
                grant.expires_us = until_us
                return LeaseGrant(task, request.term, request.number)
            if grant.expires_us > now_us and not grant.is_released:
                return deny("held", grant.expires_us - now_us, grant.holder)
        highest = self.highest_term(task)
        # An owner that has been one without a gap may renew where a candidate got this vote alone: had
        # that one
        # had a majority, this one would not be owner any more. What comes late, it does not count itself.
        gone_by = (
            grant is not None
            and grant.term >= request.term
            and (grant.holder, grant.life) == (candidate, life)
        )
        if request.term < highest + (0 if "terms" in self._disabled_rules else 1) and (
            not request.is_renewal or gone_by
        ):
            return deny("term")
        if not self.can_persist():
            return deny("disk", TERM_QUERY_INTERVAL_US)  # it would be promised only once it is too late
        grant = self._grants[task] = GrantedLease(
            request.term, candidate, life, until_us, highest_term=max(highest, request.term)
        )
        grant.log_position = self.persist_grant(task, grant)
        return LeaseGrant(task, request.term, request.number)

    def on_release(self, candidate: str, life: int, release: LeaseRelease) -> None:
        """The holder uses its lease no longer: only it can say so. A late request for it is denied."""
        self.observe_term(release.task, release.term)
        grant = self._grants.get(release.task)
        if grant is not None and (grant.holder, grant.life, grant.term) == (candidate, life, release.term):
            grant.is_released = True
            self.persist_grant(
                release.task, grant
            )  # nobody waits for it: what is not known to be free is held

    def active_holders(self, now_us: int) -> dict[str, tuple[str, int, int]]:
        """By task: holder, term, and how long its lease has left here, in microseconds."""
        return {
            task: (grant.holder, grant.term, grant.expires_us - now_us)
            for task, grant in self._grants.items()
            if grant.expires_us > now_us and not grant.is_released
        }

    # ------------------------------------------------------------------ what a former life may have granted

    def due_us(self) -> int | None:
        """When `turn` wants to be called; None: not for itself."""
        waits = self.remembers or self.may_remember or not self.is_registered()
        return None if waits else self._next_query_us

    def turn(self, now_us: int) -> list[tuple[str, TermQuery]]:
        """Requests from the others what this voter may have forgotten, until it may grant."""
        # Who asks says that it has no memory, which makes a folder of its older: first others know of this
        # one.
        if self.remembers or self.may_remember or now_us < self._next_query_us or not self.is_registered():
            return []
        self._next_query_us = now_us + TERM_QUERY_INTERVAL_US
        self._end_abstaining(now_us)
        if self.remembers:
            return []
        self._number += 1
        return [
            (name, TermQuery(self._number, self.has_durable_state))
            for name in self.voters.names()
            if name != self._name
        ]

    def report_terms(self, query: TermQuery) -> TermReport:
        """Answers another voter that has started: the highest term of each task known here."""
        highest_terms = {task: self.highest_term(task) for task in {*self._grants, *self._observed_terms}}
        if self._minimum_term:
            highest_terms[""] = self._minimum_term
        return TermReport(query.number, self.remembers, highest_terms, self.may_remember)

    def on_term_report(self, now_us: int, sender: str, report: TermReport) -> None:
        """Another voter's answer, used only while this one abstains."""
        if self.remembers or self.may_remember or sender not in self.voters.names():
            return
        self._term_reports[sender] = report
        self._end_abstaining(now_us)

    def _end_abstaining(self, now_us: int) -> None:
        waited_us = now_us - self._started_us
        if waited_us < abstention_us(self._settings) or not self.is_registered():
            return
        remembering = {name for name, a in self._term_reports.items() if a.remembers}
        everybody = {*self._term_reports, self._name} >= set(self.voters.names())
        if not self.voters.is_majority(remembering):
            # Too few remember: a term may have been forgotten by all who granted it.
            if any(a.may_remember for a in self._term_reports.values()):
                return  # they will tell in a moment
            forgot = {name for name, a in self._term_reports.items() if not a.remembers} | {self._name}
            if self.has_durable_state and self.voters.is_majority(set(self.voters.names()) - forgot):
                return  # a majority has folders that may remember: no clock and no chance is needed
            lost = everybody and not remembering
            patient = waited_us >= abstention_us(self._settings) + int(
                EXTRA_WAIT_LEASES * self._settings.lease_s * SECOND
            )
            if not self.voters.is_majority({*self._term_reports, self._name}) or not (lost or patient):
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
