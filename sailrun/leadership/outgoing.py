"""Envelopes to other members: their addresses, the sender's identity, and the gossip that rides along."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from sailrun.leadership.envelope import MAX_LEADER_HINTS, MAX_MEMBER_UPDATES, Body, Envelope
from sailrun.leadership.leases import Leases
from sailrun.membership.membership import Membership
from sailrun.membership.messages import JoinAccepted, MemberBody, MemberRecord, Rejected
from sailrun.membership.outputs import OutgoingMessage

# A change of owner is gossiped so many times, on messages that go out anyway.
LEADER_HINT_SENDS = 30
# A task, and the term under which the sender has to own it yet when the message leaves.
TermGuard = tuple[str, int]


@dataclass(frozen=True, slots=True)
class OutgoingEnvelope:
    """An envelope for an address. With a guard it may only be sent while this node leads that task under that
    term: whoever sends looks at the clock once more, after any wait.
    """

    address: str
    envelope: Envelope
    recipient: str = ""
    guard: TermGuard | None = None


class EnvelopeFactory:
    """Puts messages into envelopes of this node. `fleet` gives the fleet's name."""

    def __init__(self, fleet: Callable[[], str], members: Membership, leases: Leases) -> None:
        self._fleet_name, self._members, self._leases = fleet, members, leases

    def address_letters(self, letters: list[OutgoingMessage]) -> list[OutgoingEnvelope]:
        """The membership protocol's own messages, which go by address."""
        return [
            OutgoingEnvelope(letter.address, self._envelope(letter.body, letter.first_update))
            for letter in letters
        ]

    def address_member(self, name: str, body: Body, guard: TermGuard | None = None) -> list[OutgoingEnvelope]:
        """To a member by name; empty where its address is not known."""
        record = self._members.find_record(name)
        if record is None:
            return []
        return [OutgoingEnvelope(record.address, self._envelope(body), name, guard)]

    def _envelope(self, body: Body, first: MemberRecord | None = None) -> Envelope:
        me = self._members.own_record
        # Gossip rides on what members say anyway, and on nothing that must be small or soon.
        light = isinstance(body, MemberBody) and not isinstance(body, Rejected)
        news = self._members.take_updates(MAX_MEMBER_UPDATES, first) if light else []
        claims = self._leases.next_leader_hints(MAX_LEADER_HINTS, LEADER_HINT_SENDS) if light else []
        if isinstance(body, JoinAccepted):
            # A newcomer may be a voter that has forgotten: it hears of every term there is.
            claims = self._leases.latest_leader_hints(MAX_LEADER_HINTS)
        return Envelope(self._fleet_name(), me.name, me.life, me.incarnation, body, news, claims)
