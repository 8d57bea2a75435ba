"""Joins a fleet, accepts processes that join, and reconnects members after a partition."""

from __future__ import annotations

import random

from msgspec.structs import replace

from sailrun.membership.identity import OwnIdentity
from sailrun.membership.messages import (
    REJECTED_NAME,
    Join,
    JoinAccepted,
    MemberRecord,
    MemberState,
    Ping,
    Rejected,
)
from sailrun.membership.outputs import OutgoingMessage
from sailrun.membership.record_merge import RecordMerger
from sailrun.membership.table import MembershipTable

SECOND = 1_000_000
# A process that has not joined sends requests to all its seed addresses at this interval.
JOIN_RETRY_INTERVAL_US = SECOND // 2
# One dead member and one unknown seed address are contacted at this interval.
RECONNECT_INTERVAL_US = 2 * SECOND


class Joining:
    """Sends and answers requests to join. `seed_addresses`: the addresses of members to join through."""

    def __init__(
        self,
        table: MembershipTable,
        identity: OwnIdentity,
        merger: RecordMerger,
        seed_addresses: list[str],
        random_source: random.Random,
        now_us: int,
    ) -> None:
        self._table = table
        self._identity = identity
        self._merger = merger
        self._seed_addresses = seed_addresses
        self._random = random_source
        self._reconnected_us = now_us

    def request_join(self, now_us: int) -> list[OutgoingMessage]:
        """Returns requests to all seed addresses, if they are due."""
        if now_us < self._identity.next_join_us:
            return []
        self._identity.next_join_us = now_us + JOIN_RETRY_INTERVAL_US
        return [self.build_request(address) for address in self._seed_addresses]

    def build_request(self, address: str) -> OutgoingMessage:
        """Returns a request to join, for one address."""
        return OutgoingMessage(address, Join(self._identity.record))

    def answer_join(self, now_us: int, record: MemberRecord, address: str) -> list[OutgoingMessage]:
        """Accepts a newcomer, or rejects it if its name belongs to another process that is not known to have
        ended. A new process gets an incarnation above the last one of its name.
        """
        own = self._identity.record
        if record.name == own.name:
            if record.life == own.life:
                return []
            self._identity.report_claim(now_us, record)
            return [OutgoingMessage(address, Rejected(REJECTED_NAME, own.address))]
        known = self._table.find_record(record.name)
        if known is not None and self._is_name_taken(known, record):
            # The holder is notified of the claim; its answer shows whether it is alive.
            return [
                OutgoingMessage(address, Rejected(REJECTED_NAME, known.address)),
                OutgoingMessage(known.address, Join(record)),
            ]
        incarnation = _first_incarnation(known, record)
        self._merger.merge(
            now_us, replace(record, incarnation=incarnation, state=MemberState.ALIVE), record.name
        )
        return [OutgoingMessage(address, JoinAccepted(incarnation, own))]

    @staticmethod
    def _is_name_taken(known: MemberRecord, record: MemberRecord) -> bool:
        if known.life == record.life or known.state.has_ended:
            return False
        # A process has certainly ended if another one now has its address.
        return known.address != record.address

    def reconnect(self, now_us: int) -> list[OutgoingMessage]:
        """Contacts one dead member and one seed address that no known member has, so that the two sides of a
        partition reconnect after it has healed.
        """
        if now_us - self._reconnected_us < RECONNECT_INTERVAL_US:
            return []
        self._reconnected_us = now_us
        messages: list[OutgoingMessage] = []
        dead = [entry.record for entry in self._table.ended() if entry.record.state is MemberState.DEAD]
        if dead:
            record = self._random.choice(dead)
            messages.append(OutgoingMessage(record.address, Ping(0), record))
        known_addresses = self._table.addresses()
        unknown = [address for address in self._seed_addresses if address not in known_addresses]
        if unknown:
            messages.append(self.build_request(self._random.choice(unknown)))
        return messages


def _first_incarnation(known: MemberRecord | None, record: MemberRecord) -> int:
    """Returns the incarnation of a newcomer whose name is free."""
    if known is None:
        return 1
    if known.life == record.life and known.state.is_living:
        return known.incarnation
    return known.incarnation + 1
