"""An agent's part of an operator's file."""

from __future__ import annotations

from dataclasses import dataclass, field

from sailrun.members.terms import MembersTerms
from sailrun.owners.permits import OUT
from sailrun.owners.terms import OwnersTerms, PermitsTerms, ReaderTerms
from sailrun.replica.terms import ReplicaTerms
from sailrun.shards.terms import ShardsTerms


@dataclass(frozen=True, slots=True)
class AgentTerms:
    """`pace`: whether the pace of moves for balance is shared out by an owner."""

    members: MembersTerms
    owners: OwnersTerms
    permits: PermitsTerms = field(default_factory=PermitsTerms)
    reader: ReaderTerms = field(default_factory=ReaderTerms)
    pace: bool = False
    replica: ReplicaTerms = field(default_factory=ReplicaTerms)
    shards: ShardsTerms = field(default_factory=ShardsTerms)

    def most_marks(self, kind: str) -> int | None:
        """How many marks of that kind may be in force at a time; None: any number."""
        return self.permits.out if self.permits.enabled and kind == OUT else None
