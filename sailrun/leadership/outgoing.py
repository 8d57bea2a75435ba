"""Builds envelopes to other members: addresses, the sender's identity, and piggybacked gossip."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from sailrun.leadership.envelope import MAX_LEADER_HINTS, MAX_MEMBER_UPDATES, Body, Envelope
from sailrun.leadership.leases import Leases
from sailrun.membership.membership import Membership
from sailrun.membership.messages import JoinAccepted, MemberBody, MemberRecord, Rejected
from sailrun.membership.outputs import OutgoingMessage

# A change of leader is gossiped this many times, piggybacked on membership messages.
LEADER_HINT_SENDS = 30
# A task, and the term under which the sender still has to lead it when the message is sent.
TermGuard = tuple[str, int]


@dataclass(frozen=True, slots=True)
class OutgoingEnvelope:
    """An envelope for an address. An envelope with a guard may only be sent while this node leads that task
    under that term, so the sender has to check the guard again after any wait.
    """

    address: str
    envelope: Envelope
    recipient: str = ""
    guard: TermGuard | None = None


class EnvelopeFactory:
    """Wraps messages in envelopes from this node. `fleet_name` returns the fleet's name."""

    def __init__(self, fleet_name: Callable[[], str], members: Membership, leases: Leases) -> None:
        self._fleet_name, self._members, self._leases = fleet_name, members, leases

    def address_messages(self, messages: list[OutgoingMessage]) -> list[OutgoingEnvelope]:
        """Wraps messages of the membership protocol, which are sent by address."""
        return [
            OutgoingEnvelope(message.address, self._envelope(message.body, message.first_update))
            for message in messages
        ]

    def address_member(self, name: str, body: Body, guard: TermGuard | None = None) -> list[OutgoingEnvelope]:
        """Wraps a message for a member; returns an empty list if the member's address is not known."""
        record = self._members.find_record(name)
        if record is None:
            return []
        return [OutgoingEnvelope(record.address, self._envelope(body), name, guard)]

    def _envelope(self, body: Body, first_update: MemberRecord | None = None) -> Envelope:
        own_record = self._members.own_record
        # Gossip is only piggybacked on membership messages, not on messages that must be small or fast.
        carries_gossip = isinstance(body, MemberBody) and not isinstance(body, Rejected)
        member_updates = (
            self._members.take_updates(MAX_MEMBER_UPDATES, first_update) if carries_gossip else []
        )
        leader_hints = (
            self._leases.next_leader_hints(MAX_LEADER_HINTS, LEADER_HINT_SENDS) if carries_gossip else []
        )
        if isinstance(body, JoinAccepted):
            # A newcomer may be a voter without memory: it gets the highest known terms.
            leader_hints = self._leases.highest_term_leader_hints(MAX_LEADER_HINTS)
        return Envelope(
            self._fleet_name(),
            own_record.name,
            own_record.life,
            own_record.incarnation,
            body,
            member_updates,
            leader_hints,
        )
