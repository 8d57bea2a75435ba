"""The part of the operator settings that an agent uses."""

from __future__ import annotations

from dataclasses import dataclass, field

from sailrun.leadership.permits import OUT_OF_SERVICE
from sailrun.leadership.settings import LeadershipSettings, ListReaderSettings, PermitSettings
from sailrun.membership.settings import MembershipSettings
from sailrun.replication.settings import ReplicationSettings
from sailrun.sharding.settings import ShardingSettings


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of an agent. `shares_move_rate`: whether a leader distributes the fleet's move rate."""

    membership: MembershipSettings
    leadership: LeadershipSettings
    permits: PermitSettings = field(default_factory=PermitSettings)
    list_reader: ListReaderSettings = field(default_factory=ListReaderSettings)
    shares_move_rate: bool = False
    replication: ReplicationSettings = field(default_factory=ReplicationSettings)
    sharding: ShardingSettings = field(default_factory=ShardingSettings)

    def max_marks(self, kind: str) -> int | None:
        """Returns how many marks of that kind may be in force at a time; None: unlimited."""
        return self.permits.out if self.permits.enabled and kind == OUT_OF_SERVICE else None
