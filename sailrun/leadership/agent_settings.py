"""An agent's part of an operator's file."""

from __future__ import annotations

from dataclasses import dataclass, field

from sailrun.leadership.permits import OUT_OF_SERVICE
from sailrun.leadership.settings import LeadershipSettings, ListReaderSettings, PermitSettings
from sailrun.membership.settings import MembershipSettings
from sailrun.replication.settings import ReplicationSettings
from sailrun.sharding.settings import ShardingSettings


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """`pace`: whether the pace of moves for balance is shared out by an owner."""

    members: MembershipSettings
    owners: LeadershipSettings
    permits: PermitSettings = field(default_factory=PermitSettings)
    reader: ListReaderSettings = field(default_factory=ListReaderSettings)
    pace: bool = False
    replica: ReplicationSettings = field(default_factory=ReplicationSettings)
    shards: ShardingSettings = field(default_factory=ShardingSettings)

    def most_marks(self, kind: str) -> int | None:
        """How many marks of that kind may be in force at a time; None: any number."""
        return self.permits.out if self.permits.enabled and kind == OUT_OF_SERVICE else None
