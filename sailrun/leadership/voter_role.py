"""This node's part as a voter, for as long as it is listed as one."""

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
    """`new_initial_term` gives the term that a fleet without any memory begins with. `disabled_rules` names
    safety rules that the laboratory switches off.
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
        """From now on these are the voters; this node may have become one, or be none any more."""
        if self._name not in voters.names():
            self.voter = None
        elif self.voter is None:
            self.voter = self._new_voter(now_us, voters)
        else:
            self.voter.voters = voters
        self._settings = settings

    def observe_term(self, task: str, term: int) -> None:
        """Hearsay: a term of a task."""
        if self.voter is not None:
            self.voter.observe_term(task, term)

    def on_message(
        self, now_us: int, sender: str, life: int, body: LeaseRequest | LeaseRelease | TermQuery | TermReport
    ) -> list[Message]:
        """What candidates, and voters that have started, ask or tell a voter."""
        voter = self.voter
        if voter is None:
            return []
        match body:
            case LeaseRequest():
                return [(sender, voter.on_lease_request(now_us, sender, life, body))]
            case LeaseRelease():
                voter.on_release(sender, life, body)
            case TermQuery():
                if not body.has_durable_state:
                    self._durable_state.freshness.peers.on_peer_without_folder(sender, life)
                return [(sender, voter.report_terms(body))]
            case TermReport():
                voter.on_term_report(now_us, sender, body)
        return []
