"""What members say to each other about who is a member."""

from __future__ import annotations

from enum import IntEnum

import msgspec


class MemberState(IntEnum):
    """In the order in which they overrule one another in one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


# The role of members set aside for work on behalf of the fleet.
CONTROL = "control"


class MemberRecord(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One member as somebody knows it. A process is a `life`; its incarnation grows when it refutes, and a
    returning name begins above the one it had. `region` and `role` came later: an older version skips them.
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
        """Any two are in order, the same everywhere: copies converge whatever the order of arrival."""
        return (self.incarnation, self.state, self.life) > (other.incarnation, other.state, other.life)


def list_eligible_names(records: list[MemberRecord]) -> list[str]:
    """The names of those set aside for work on behalf of the fleet; of all where there are none."""
    control = [record for record in records if record.role == CONTROL]
    return [record.name for record in control or records]


class Ping(msgspec.Struct, array_like=True, frozen=True, tag="ping"):
    sequence: int


class Ack(msgspec.Struct, array_like=True, frozen=True, tag="ack"):
    sequence: int
    table_digest: int  # of the sender's copy of the members


class PingRequest(msgspec.Struct, array_like=True, frozen=True, tag="ping-for"):
    """Probe the target for me. One who gets no answer in time says so, so that I know that I am heard."""

    sequence: int
    target: str


class Nack(msgspec.Struct, array_like=True, frozen=True, tag="nack"):
    sequence: int


class Join(msgspec.Struct, array_like=True, frozen=True, tag="join"):
    record: MemberRecord


class JoinAccepted(msgspec.Struct, array_like=True, frozen=True, tag="joined"):
    incarnation: int  # the newcomer's from now on
    accepted_by: MemberRecord  # whom it may ask for the others


class Rejected(msgspec.Struct, array_like=True, frozen=True, tag="refused"):
    """`why`: `unknown` (join first), `name` (it is another's), `fleet`."""

    reason: str
    name_holder_address: str = ""


class PullRequest(msgspec.Struct, array_like=True, frozen=True, tag="pull"):
    """Tell me those that come after this name, of the ranges in which our copies differ."""

    after_name: str
    range_digests: list[int]  # the asker's, by range; empty: all ranges


class TablePage(msgspec.Struct, array_like=True, frozen=True, tag="page"):
    records: list[MemberRecord]
    has_more: bool


MemberBody = Ping | Ack | PingRequest | Nack | Join | JoinAccepted | Rejected | PullRequest | TablePage
