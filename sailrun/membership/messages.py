"""The messages and records of the membership protocol. On the wire they are MessagePack arrays: tags, the
order of fields and their types are fixed, and a newer version may add fields at the end.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec
from msgspec.structs import replace


class MemberState(IntEnum):
    """A member's state; within one incarnation a greater value supersedes a smaller one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def is_living(self) -> bool:
        """Whether a member in this state counts as alive; a suspect does until it is declared dead."""
        return self in (MemberState.ALIVE, MemberState.SUSPECT)

    @property
    def has_ended(self) -> bool:
        """Whether a member in this state is dead or has left."""
        return not self.is_living

    @property
    def label(self) -> str:
        """The name that commands print."""
        return "gone" if self is MemberState.DEAD else self.name.lower()


# The role of members that are reserved for work on behalf of the fleet.
CONTROL = "control"


class MemberRecord(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One member as it is known to another member.

    `life` is the process number, a random number of the process. `incarnation` is SWIM's: a member increases
    its own to refute a suspicion, and a new process of a known name starts above the previous one. Older
    versions ignore `region` and `role`.
    """

    name: str
    life: int
    incarnation: int
    state: MemberState
    address: str
    zone: str = ""
    region: str = ""
    role: str = ""

    def supersedes(self, other: MemberRecord) -> bool:
        """Whether this record replaces the other one. The order is total and the same everywhere, so that
        tables converge whatever the order of arrival.
        """
        return (self.incarnation, self.state, self.life) > (other.incarnation, other.state, other.life)

    def with_state(self, state: MemberState) -> MemberRecord:
        """Returns a copy of this record with another state."""
        return replace(self, state=state)


def list_eligible_names(records: list[MemberRecord]) -> list[str]:
    """Returns the names of the members that may work on behalf of the fleet: the control members, or all
    members if there are none.
    """
    control = [record for record in records if record.role == CONTROL]
    return [record.name for record in control or records]


class Ping(msgspec.Struct, array_like=True, frozen=True, tag="ping"):
    """Requests an `Ack` with the same sequence number; 0: the sender does not wait for the answer."""

    sequence: int


class Ack(msgspec.Struct, array_like=True, frozen=True, tag="ack"):
    """Answers a `Ping`; `table_digest` is that of the sender's membership table, 0 in a relayed answer."""

    sequence: int
    table_digest: int


class PingRequest(msgspec.Struct, array_like=True, frozen=True, tag="ping-for"):
    """SWIM's ping-req: asks the receiver to ping the target and to relay its answer."""

    sequence: int
    target: str


class Nack(msgspec.Struct, array_like=True, frozen=True, tag="nack"):
    """Lifeguard's answer to a `PingRequest` whose target did not answer in time: the path between the two
    members works.
    """

    sequence: int


class Join(msgspec.Struct, array_like=True, frozen=True, tag="join"):
    """Requests to be accepted as a member. Sent to the holder of a name, it reports that another process
    claims the name.
    """

    record: MemberRecord


class JoinAccepted(msgspec.Struct, array_like=True, frozen=True, tag="joined"):
    """Answers a `Join`: the newcomer's incarnation, and the member that accepted it."""

    incarnation: int
    accepted_by: MemberRecord


class Rejected(msgspec.Struct, array_like=True, frozen=True, tag="refused"):
    """Answers a message whose sender is not accepted as a member. `reason`: see the constants below."""

    reason: str
    name_holder_address: str = ""


# The rejected process is not known as a member, and has to join first.
REJECTED_UNKNOWN = "unknown"
# The name belongs to another process, whose address is `name_holder_address`.
REJECTED_NAME = "name"


class PullRequest(msgspec.Struct, array_like=True, frozen=True, tag="pull"):
    """Anti-entropy: requests the records after a name, of the ranges whose digests differ.

    `range_digests` has the requester's digests by range of names; empty: requests all ranges.
    """

    after_name: str
    range_digests: list[int]


class TablePage(msgspec.Struct, array_like=True, frozen=True, tag="page"):
    """Answers a `PullRequest`: records in order of their names, and whether more follow."""

    records: list[MemberRecord]
    has_more: bool


MemberBody = Ping | Ack | PingRequest | Nack | Join | JoinAccepted | Rejected | PullRequest | TablePage
