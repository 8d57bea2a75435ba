"""Runs this node's voter while the settings list the node as one."""

from __future__ import annotations

from collections.abc import Callable

from sailrun.leadership.durable_state import DurableState
from sailrun.leadership.messages import (
    LeaseDenial,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    TermQuery,
    TermReport,
)
from sailrun.leadership.quorum import Voters
from sailrun.leadership.settings import LeadershipSettings
from sailrun.leadership.voter import Voter

Message = tuple[str, LeaseGrant | LeaseDenial | TermReport]


class VoterRole:
    """Owns the voter and passes messages to it.

    `new_initial_term` returns the term at which a fleet without any memory starts. `disabled_rules` contains
    the safety rules that the laboratory switches off.
    """

    def __init__(
        self,
        name: str,
        voters: Voters,
        settings: LeadershipSettings,
        durable_state: DurableState,
        new_initial_term: Callable[[], int],
        now_us: int,
        disabled_rules: frozenset[str],
    ) -> None:
        self._name, self._settings, self._durable_state = name, settings, durable_state
        self._new_initial_term, self._disabled_rules = new_initial_term, disabled_rules
        self.voter = self._new_voter(now_us, voters) if name in voters.names() else None

    def _new_voter(self, now_us: int, voters: Voters) -> Voter:
        voter = Voter(
            self._name, voters, self._settings, now_us, self._new_initial_term, self._disabled_rules
        )
        self._durable_state.attach_voter(voter)
        return voter

    def update_settings(self, now_us: int, voters: Voters, settings: LeadershipSettings) -> None:
        """Replaces the voters; starts or drops this node's voter if the node was added or removed."""
        if self._name not in voters.names():
            self.voter = None
        elif self.voter is None:
            self.voter = self._new_voter(now_us, voters)
        else:
            self.voter.voters = voters
        self._settings = settings

    def observe_term(self, task: str, term: int) -> None:
        """Passes a report of a task's term to the voter."""
        if self.voter is not None:
            self.voter.observe_term(task, term)

    def on_message(
        self,
        now_us: int,
        sender: str,
        process_number: int,
        body: LeaseRequest | LeaseRelease | TermQuery | TermReport,
    ) -> list[Message]:
        """Handles a message of a candidate or of a voter that has started; returns messages by recipient."""
        voter = self.voter
        if voter is None:
            return []
        match body:
            case LeaseRequest():
                return [(sender, voter.on_lease_request(now_us, sender, process_number, body))]
            case LeaseRelease():
                voter.on_release(sender, process_number, body)
            case TermQuery():
                if not body.has_durable_state:
                    self._durable_state.freshness.peers.on_peer_without_folder(sender, process_number)
                return [(sender, voter.report_terms(body))]
            case TermReport():
                voter.on_term_report(now_us, sender, body)
        return []
