"""The election of a region's assigner: candidates, votes and the lease, granted by the region's voters."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from sailrun.leadership.leases import LeadershipChange, Leases, best_placed
from sailrun.leadership.messages import (
    LeaseDenial,
    LeaseGrant,
    LeaseHandover,
    LeaseRelease,
    LeaseRequest,
    TermQuery,
    TermReport,
)
from sailrun.leadership.quorum import Voters
from sailrun.leadership.settings import LeadershipSettings
from sailrun.leadership.voter import Voter
from sailrun.membership.messages import MemberRecord, list_eligible_names
from sailrun.sharding.messages import ElectionMessage, PeerMessage
from sailrun.sharding.settings import RegionSettings, region_leadership_settings

SEED_BITS = 32


class MembershipView(Protocol):
    """The part of the membership interface that sharding uses."""

    @property
    def living_version(self) -> int:
        """A version that increases whenever the set of living members changes."""
        ...

    def living_records(self) -> list[MemberRecord]:
        """The records of the living members."""
        ...

    def find_record(self, name: str) -> MemberRecord | None:
        """The record of a member; None if the name is unknown."""
        ...

    def is_living(self, name: str) -> bool:
        """Whether the member is known and alive."""
        ...


class AssignerElection:
    """One member's roles in the election: voter, if it is one of the region's, and candidate, if eligible."""

    def __init__(
        self,
        name: str,
        region: RegionSettings,
        settings_digest: int,
        fleet_leadership: LeadershipSettings,
        members: MembershipView,
        random_bits: Callable[[int], int],
        now_us: int,
        new_initial_term: Callable[[], int],
        disabled_rules: frozenset[str],
        record: Callable[..., None],
    ) -> None:
        """The parameters are those of `ShardingAgent`."""
        self.task = f"shards/{region.name}"
        self._region = region
        self._settings_digest = settings_digest
        self._members = members
        self._record = record
        leadership = region_leadership_settings(region, fleet_leadership)
        self.voters = Voters(leadership, disabled_rules)
        self._leases = Leases(name, self.voters, leadership, random_bits(SEED_BITS), now_us, disabled_rules)
        self._voter: Voter | None = None
        if name in region.voters:
            self._voter = Voter(name, self.voters, leadership, now_us, new_initial_term, disabled_rules)
        self._candidates: list[str] = []
        self._candidates_version = -1  # the membership version for which the candidates were computed
        self._recorded_until_us = 0
        self._reaches_majority = True  # the value last returned by `take_majority_change`

    # ------------------------------------------------------------------ queries

    def candidates(self) -> dict[str, list[str]]:
        """The best placed candidates by task: the region's living control members or, if it has none, all its
        living members.
        """
        if self._members.living_version != self._candidates_version:
            self._candidates_version = self._members.living_version
            living = [r for r in self._members.living_records() if r.region == self._region.name]
            self._candidates = best_placed(self.task, list_eligible_names(living))
        return {self.task: self._candidates}

    def is_assigner(self, now_us: int) -> bool:
        """Whether this member may act as its region's assigner now."""
        return bool(self._leases.held_term(self.task, now_us))

    def known_assigner(self, now_us: int) -> str:
        """The assigner that this member knows; empty if it knows none."""
        if self._voter is not None:
            active_lease = self._voter.active_holders(now_us).get(self.task)
            if active_lease is not None:
                return active_lease[0]
        return self._leases.lease_of(self.task).holder

    def is_still_needed(self, message: ElectionMessage) -> bool:
        """False for a lease request that is obsolete because this member's own vote has denied it since."""
        return not isinstance(message.body, LeaseRequest) or self._leases.is_requested(message.body)

    # ------------------------------------------------------------------ messages

    def receive(
        self, now_us: int, sender: str, process_number: int, message: ElectionMessage
    ) -> list[PeerMessage]:
        """Processes an election message; returns messages to send."""
        match message.body:
            case LeaseGrant() as grant:
                self._leases.on_grant(now_us, sender, grant)
            case LeaseDenial() as denial:
                return self._wrap(self._leases.on_denial(now_us, sender, denial))
            case LeaseHandover() as handover:
                self._leases.on_handover(now_us, handover)
                return self.tick_leases(now_us)
            case body:
                return self._wrap(self._vote(now_us, sender, process_number, body))
        return []

    def _vote(
        self,
        now_us: int,
        sender: str,
        process_number: int,
        body: LeaseRequest | LeaseRelease | TermQuery | TermReport,
    ) -> list[tuple[str, Any]]:
        if self._voter is None:
            return []
        match body:
            case LeaseRequest():
                return [(sender, self._voter.on_lease_request(now_us, sender, process_number, body))]
            case LeaseRelease():
                self._voter.on_release(sender, process_number, body)
            case TermQuery():
                return [(sender, self._voter.report_terms(body))]
            case TermReport():
                self._voter.on_term_report(now_us, sender, body)
        return []

    def observe_term(self, now_us: int, term: int) -> None:
        """Ends a lease with a lower term, because a voter has promised this one. The next term is higher."""
        self._leases.observe_term(self.task, term, "", now_us)

    def _wrap(self, messages: Iterable[tuple[str, Any]]) -> list[PeerMessage]:
        region = self._region.name
        return [
            PeerMessage(name, ElectionMessage(region, self._settings_digest, body)) for name, body in messages
        ]

    # ------------------------------------------------------------------ time

    def due_us(self, now_us: int) -> int:
        """The time at which `tick_leases` and `tick_voter` have to be called next."""
        due_us = self._leases.due_us(now_us, self.candidates())
        voter_due_us = self._voter.due_us() if self._voter is not None else None
        return min(due_us, voter_due_us or due_us)

    def tick_leases(self, now_us: int) -> list[PeerMessage]:
        """Requests or renews the lease if that is due."""
        return self._wrap(self._leases.tick(now_us, self.candidates()))

    def tick_voter(self, now_us: int) -> list[PeerMessage]:
        """Performs the voter's work that is due."""
        return self._wrap(self._voter.tick(now_us)) if self._voter is not None else []

    def leave(self, now_us: int) -> list[PeerMessage]:
        """Releases the lease so that the next candidate can take it."""
        return self._wrap(self._leases.leave(now_us, self.candidates()))

    # ------------------------------------------------------------------ changes

    def take_changes(self) -> list[LeadershipChange]:
        """Returns the changes of the lease since the last call."""
        changes = self._leases.changes[:]
        self._leases.changes.clear()
        return changes

    def record_lease(self) -> None:
        """Records the expiry of the lease if it has changed."""
        lease = self._leases.lease_of(self.task)
        if lease.expires_us and lease.expires_us != self._recorded_until_us:
            self._recorded_until_us = lease.expires_us
            self._record("hold", task=self.task, term=lease.term, until_us=lease.expires_us)

    def take_majority_change(self, now_us: int) -> bool | None:
        """Returns whether this voter reaches a majority of the voters; None if that has not changed since the
        last call, or if this member is not a voter.
        """
        if self._voter is None or self._reaches_majority is self._leases.reaches_majority(now_us):
            return None
        self._reaches_majority = not self._reaches_majority
        return self._reaches_majority
