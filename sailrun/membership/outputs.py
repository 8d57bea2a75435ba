"""The outputs of the protocol to its driver: messages to send, and changes of members for the log."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from sailrun.membership.messages import MemberBody, MemberRecord


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message for an address. `first_update` is piggybacked before all other updates, so that a suspected
    member learns of the suspicion and can refute it.
    """

    address: str
    body: MemberBody
    first_update: MemberRecord | None = None


class ChangeKind(StrEnum):
    """The kind of a member's change; the values appear in the log."""

    JOINED = "joined"
    SUSPECTED = "suspect"
    DEAD = "gone"
    LEFT = "left"
    RETURNED = "back"
    # This process may not use its name, which belongs to another process.
    NAME_REFUSED = "refused"
    # Another process claimed the name of this one.
    NAME_CLAIMED = "claimed"


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """One change of a member, for the log."""

    kind: ChangeKind
    record: MemberRecord
    reason: str = ""
