"""One member's view of its fleet, maintained by SWIM (Das, Gupta, Motivala 2002) with Lifeguard (2018).

This module does no I/O: it takes messages and the time, and returns messages. Times are microseconds of one
clock that only this process reads.
"""

from __future__ import annotations

import random

from msgspec.structs import replace

from sailrun.membership.anti_entropy import TableSync
from sailrun.membership.failure_detector import FailureDetector
from sailrun.membership.identity import OwnIdentity
from sailrun.membership.joining import Joining
from sailrun.membership.lifeguard import LocalHealth, SuspicionTimers
from sailrun.membership.messages import (
    REJECTED_UNKNOWN,
    Ack,
    Join,
    JoinAccepted,
    MemberBody,
    MemberRecord,
    MemberState,
    Nack,
    Ping,
    PingRequest,
    PullRequest,
    Rejected,
    TablePage,
)
from sailrun.membership.outputs import MembershipChange, OutgoingMessage
from sailrun.membership.record_merge import RecordMerger
from sailrun.membership.settings import MembershipSettings
from sailrun.membership.table import MembershipTable

SECOND = 1_000_000
# `tick` has to be called at least once per interval.
MAX_TICK_INTERVAL_US = 250_000
# The number of members that a leaving member notifies itself.
PEERS_NOTIFIED_OF_LEAVE = 8


class Membership:
    """Connects the parts of the protocol: table, failure detector, joining, anti-entropy."""

    def __init__(
        self, own_record: MemberRecord, settings: MembershipSettings, seed: int, now_us: int
    ) -> None:
        """`own_record` has incarnation 1 and the state alive. Without any address to join through, this
        member is the first of its fleet.
        """
        self.changes: list[MembershipChange] = []  # the driver clears it
        self.unknown_sender_count = 0  # messages whose sender is not a member
        self._settings = settings
        self._random = random.Random(seed)
        seed_addresses = [address for address in settings.join if address != own_record.address]
        self._table = MembershipTable(own_record, now_us)
        self._health = LocalHealth()
        self._identity = OwnIdentity(own_record, not seed_addresses, self._table, self.changes, now_us)
        self._suspicions = SuspicionTimers(self._table, settings, self._health, self.changes)
        self._merger = RecordMerger(self._table, self._identity, self._suspicions, self.changes)
        self._detector = FailureDetector(
            self._table, settings, self._health, self._suspicions, self._random, now_us
        )
        self._joining = Joining(
            self._table, self._identity, self._merger, seed_addresses, self._random, now_us
        )
        self._sync = TableSync(self._table, now_us)
        self._expected_tick_us = now_us

    # ------------------------------------------------------------------ queries

    @property
    def own_record(self) -> MemberRecord:
        """This member's own record."""
        return self._identity.record

    @property
    def has_joined(self) -> bool:
        """Whether the fleet has accepted this member."""
        return self._identity.has_joined

    @property
    def is_leaving(self) -> bool:
        """Whether `leave` was called."""
        return self._identity.is_leaving

    @property
    def living_version(self) -> int:
        """Increases whenever the set of living members changes, or the zone, region or role of one."""
        return self._table.living_version

    @property
    def living_names(self) -> list[str]:
        """The names of the living members, sorted; the caller must not change the list."""
        return self._table.living_names

    @property
    def local_health_multiplier(self) -> int:
        """The factor for this process's times: 1 if it is healthy, up to 9 if it is slow."""
        return self._health.multiplier

    def find_record(self, name: str) -> MemberRecord | None:
        """Returns the record of a member; None: the name is not known."""
        return self._table.find_record(name)

    def records_with_state_time(self) -> list[tuple[MemberRecord, int]]:
        """Returns every record, sorted by name, with the time at which it got its state, in microseconds."""
        return [(entry.record, entry.since_us) for entry in self._table.entries()]

    def living_records(self) -> list[MemberRecord]:
        """Returns the records of the living members, including this one, sorted by name."""
        return [self._table.record_of(name) for name in self._table.living_names]

    def is_living(self, name: str) -> bool:
        """Whether the member is known, is not dead and has not left."""
        return self._table.is_living(name)

    def is_current_process(self, name: str, process_number: int) -> bool:
        """Whether the process is, as far as is known here, the current one of another member of that name."""
        record = self._table.find_record(name)
        return record is not None and record.life == process_number and name != self.own_record.name

    def compute_digest(self) -> int:
        """Returns a digest of the table, which is equal for equal tables."""
        return self._table.compute_digest()

    # ------------------------------------------------------------------ messages

    def take_updates(self, limit: int, first: MemberRecord | None = None) -> list[MemberRecord]:
        """Returns up to `limit` records to piggyback on the next message: `first`, then those transmitted
        least often.
        """
        updates = [first] if first is not None else []
        names = self._table.updates.take(limit - len(updates), len(self._table))
        updates += [self._table.record_of(name) for name in names if first is None or name != first.name]
        return updates

    def accept_sender(self, name: str, process_number: int) -> bool:
        """Whether a message of this sender is accepted; counts the message if the sender is not a member."""
        if self.is_current_process(name, process_number):
            return True
        self.unknown_sender_count += 1
        return False

    def observe_contact(self, now_us: int, name: str, process_number: int, incarnation: int) -> None:
        """Handles direct contact with a member, which proves that it is alive in that incarnation, even if
        gossip states otherwise.
        """
        record = self._table.find_record(name)
        if record is not None and record.life == process_number and incarnation > record.incarnation:
            alive = replace(record, incarnation=incarnation, state=MemberState.ALIVE)
            self._merger.merge(now_us, alive, name)

    def merge_records(self, now_us: int, records: list[MemberRecord], sender: str) -> None:
        """Merges records that the member `sender` has sent."""
        for record in records:
            self._merger.merge(now_us, record, sender)

    def preload(self, now_us: int, records: list[MemberRecord]) -> None:
        """Starts as a member that already knows these records and has disseminated them."""
        self.merge_records(now_us, records, self.own_record.name)
        self._identity.has_joined = True
        self._table.updates.clear()
        self.changes.clear()

    def receive(self, now_us: int, sender: MemberRecord, body: MemberBody) -> list[OutgoingMessage]:
        """Handles a message and returns the messages to send. `sender` has the name, process number and
        incarnation that the message states, and the address it came from.
        """
        match body:
            case Join(record):
                return self._joining.answer_join(now_us, record, sender.address)
            case JoinAccepted(incarnation, accepted_by):
                self._merger.merge(now_us, accepted_by, accepted_by.name)
                self._identity.accept(now_us, incarnation)
                return [self._sync.request_pull(now_us, sender.address)]
            case Rejected():
                return self._on_rejected(now_us, sender.address, body)
        if not self.accept_sender(sender.name, sender.life):
            # The sender may have been removed here, or use a name that belongs to another process.
            is_ping = isinstance(body, Ping)
            return [OutgoingMessage(sender.address, Rejected(REJECTED_UNKNOWN))] if is_ping else []
        return self._on_member_message(now_us, sender.name, body)

    def _on_rejected(self, now_us: int, address: str, body: Rejected) -> list[OutgoingMessage]:
        if body.reason != REJECTED_UNKNOWN:
            self._identity.reject(now_us, body.name_holder_address)
            return []
        # The sender does not know this member, or has removed it, so this member sends its record.
        is_member = self.has_joined and not self.is_leaving
        return [self._joining.build_request(address)] if is_member else []

    def _on_member_message(self, now_us: int, name: str, body: MemberBody) -> list[OutgoingMessage]:
        address = self._table.record_of(name).address
        match body:
            case Ping():
                return self._on_ping(name, body)
            case Ack():
                return self._on_ack(now_us, name, body)
            case PingRequest():
                return self._detector.relay_ping(now_us, name, body)
            case Nack():
                self._detector.count_nack(body)
            case PullRequest():
                return [OutgoingMessage(address, self._sync.build_page(body))]
            case TablePage(records, has_more):
                self.merge_records(now_us, records, name)
                if has_more and records:
                    return [self._sync.request_pull(now_us, address, records[-1].name)]
        return []

    def _on_ping(self, name: str, ping: Ping) -> list[OutgoingMessage]:
        entry = self._table.find(name)
        if entry is None:
            return []
        ack = Ack(ping.sequence, self.compute_digest())
        return [OutgoingMessage(entry.record.address, ack, entry.record_to_refute)]

    def _on_ack(self, now_us: int, name: str, ack: Ack) -> list[OutgoingMessage]:
        relay = self._detector.end_relay(name, ack.sequence)
        if relay is not None:
            return self._detector.relay_ack(relay)
        if not self._detector.is_probing(ack.sequence):
            return []
        if self._detector.is_probe_target(name) and ack.table_digest:
            self._sync.observe_digest(ack.table_digest)
        messages: list[OutgoingMessage] = []
        if self._sync.is_pull_due(now_us):
            messages.append(self._sync.request_pull(now_us, self._table.record_of(name).address))
        self._detector.complete_probe()
        return messages

    # ------------------------------------------------------------------ time

    def due_us(self, now_us: int) -> int:
        """Returns when `tick` has to be called next."""
        latest_us = now_us + MAX_TICK_INTERVAL_US
        if not self.has_joined:
            return min(latest_us, self._identity.next_join_us)
        suspicion_ends = [suspicion.ends_us for suspicion in self._table.suspicions()]
        return min([latest_us, self._detector.due_us(), *suspicion_ends])

    def tick(self, now_us: int) -> list[OutgoingMessage]:
        """Runs everything that is due by the clock; returns the messages to send."""
        late_us = now_us - self._expected_tick_us
        if self._detector.is_pause(late_us):
            self._detector.recover_from_pause(now_us, late_us)
        messages = self._run_timers(now_us)
        self._expected_tick_us = max(now_us, self.due_us(now_us))
        return messages

    def _run_timers(self, now_us: int) -> list[OutgoingMessage]:
        if not self.has_joined and not self.is_leaving:
            return self._joining.request_join(now_us)
        messages = self._detector.expire_relays(now_us)
        self._suspicions.declare_dead(now_us)
        self._remove_ended(now_us)
        if not self.is_leaving:
            messages += self._detector.tick(now_us)
            messages += self._joining.reconnect(now_us)
        return messages

    def _remove_ended(self, now_us: int) -> None:
        retention_us = self._settings.forget_s * SECOND
        for entry in self._table.ended():
            name = entry.record.name
            if now_us - entry.since_us > retention_us and name != self.own_record.name:
                self._table.remove(name)

    def leave(self, now_us: int) -> list[OutgoingMessage]:
        """Leaves the fleet gracefully: notifies some members at once, which disseminate it to the others."""
        if self.is_leaving:
            return []
        self._identity.is_leaving = True
        self._identity.update(now_us, self.own_record.incarnation, MemberState.LEFT)
        peers = self._table.sample_peers(self._random, PEERS_NOTIFIED_OF_LEAVE)
        return [OutgoingMessage(peer.address, Ping(0), self.own_record) for peer in peers]
