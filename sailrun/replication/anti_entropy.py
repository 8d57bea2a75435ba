"""Anti-entropy: makes the replicas of a fleet converge. Changes are gossiped, differences are found by
comparing digests and then transferred, and a node whose replica is missing or too old fetches a complete one.

This module does no I/O: callers pass in messages and the time (microseconds), and send the returned messages.
It does not protect records that a majority has accepted (`acceptor.py` and `coordinator.py` do). Nothing is
lost here because replicas only merge, and deleted records do not return because replicas of different epochs
are never merged.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection

from sailrun.membership.membership import Membership
from sailrun.replication.epochs import EpochTracker
from sailrun.replication.gossip import FANOUT, MAX_SENDS, GossipQueue
from sailrun.replication.journal import ReplicaJournal
from sailrun.replication.messages import (
    DigestReply,
    DigestRequest,
    OutgoingMessage,
    PageRequest,
    RecordPage,
    RecordReply,
    RecordRequest,
    Rumor,
    SenderBusy,
)
from sailrun.replication.range_digests import list_ranges
from sailrun.replication.records import InvalidRecordError, Key, Record
from sailrun.replication.repair import RecordRepair
from sailrun.replication.replica_state import ReplicaState
from sailrun.replication.replica_transfer import MAX_SENDERS, ReplicaTransfer
from sailrun.replication.settings import ReplicationSettings
from sailrun.replication.state_transfer import TransferReceiver, TransferSender, ignore_end
from sailrun.replication.store import PutResult, RecordStore

SECOND_US = 1_000_000
# Intervals for sending rumors, and for checking some records against their hashes and removing expired ones.
GOSSIP_INTERVAL_US, SCRUB_INTERVAL_US = 200_000, SECOND_US
# The interval between comparisons varies by up to this share in both directions.
COMPARE_JITTER = 0.2
# Replies are accepted for this many of the latest digest requests.
MAX_OPEN_REQUESTS = 64


class AntiEntropy:
    """The anti-entropy of one node; owns the state of its replica as a whole."""

    def __init__(
        self,
        name: str,
        store: RecordStore,
        settings: ReplicationSettings,
        members: Membership,
        voters: Callable[[], list[str]],
        is_majority: Callable[[set[str]], bool],
        seed: int,
        now_us: int,
        disabled_rules: frozenset[str] = frozenset(),
        journal: ReplicaJournal | None = None,
    ) -> None:
        """`is_majority` returns whether a set of voters is a majority. `disabled_rules` are the safety rules
        that the laboratory switches off.
        """
        self._name, self.store, self.settings, self._members = name, store, settings, members
        self._journal = journal or ReplicaJournal()
        self._rng = random.Random(seed)
        self._last_request_id = self._rng.getrandbits(30) << 20
        self._checks_epochs = "forget" not in disabled_rules
        self._checks_hashes = "mend" not in disabled_rules
        self.copy = ReplicaState()
        # Events for the operator's log, each with its fields; the caller writes them and empties the list.
        self.log_events: list[tuple[str, dict[str, object]]] = []
        # Called when the replica or a record of it was discarded, with the time and whether a majority may
        # have counted this replica as having the discarded records.
        self.on_discarded: Callable[[int, bool], None] = lambda now_us, was_counted: None
        # Called for a corrupted record that no member has sent again in time.
        self.on_lost: Callable[[Key], None] = lambda key: None
        self.receiver = TransferReceiver(settings, self.make_request_id)
        self.sender = TransferSender(settings)
        self._gossip = GossipQueue(store)
        self.epochs = EpochTracker(store, self.copy, self._journal, self._gossip.discard, self.log_event)
        self._repair = self._make_repair(voters, is_majority)
        self._replica_transfer = ReplicaTransfer(
            name, store, self.copy, members, voters, self.receiver, self._rng, self._complete_replica
        )
        self._digest_requests: dict[int, str] = {}  # the receivers of digest requests, by request id
        self._compare_next: list[str] = []  # members whose replicas are known to differ
        self._gossip_at_us = self._compare_at_us = self._scrub_at_us = now_us
        self._is_full_logged = False

    def _make_repair(
        self, voters: Callable[[], list[str]], is_majority: Callable[[set[str]], bool]
    ) -> RecordRepair:
        return RecordRepair(
            self._name,
            self.store,
            voters,
            is_majority,
            self.make_request_id,
            lambda now_us, reason: self._discard_replica(now_us, self.copy.epoch, reason),
            self.log_event,
            self._checks_hashes,
        )

    @property
    def awaiting_repair(self) -> Collection[Key]:
        """Keys of records that were corrupted here and have not been received again."""
        return self._repair.awaited

    @property
    def repaired(self) -> int:
        """How many records were repaired since the process started."""
        return self._repair.repaired

    def restore(self, epoch: int) -> None:
        """Sets the epoch of a complete replica that was loaded at the start; its lag is determined later."""
        self.copy.epoch, self.copy.is_complete = epoch, True
        self._replica_transfer.set_complete()

    def make_request_id(self) -> int:
        """Returns an id that no other request of this process has."""
        self._last_request_id += 1
        return self._last_request_id

    def log_event(self, event: str, **fields: object) -> None:
        """Adds an event for the operator's log."""
        self.log_events.append((event, fields))

    # ------------------------------------------------------------------ received records

    def queue_gossip(self, record: Record) -> None:
        """Queues a new or changed record for gossip."""
        self._gossip.add(record)

    def merge_received(self, now_us: int, records: list[Record], sends: int = 0) -> bool:
        """Merges records and queues those that are new for gossip, as if they had been sent `sends` times
        already. Returns False if a record is invalid; that record and those after it are not merged.
        """
        for record in records:
            try:
                result = self.store.put(now_us, record)
            except InvalidRecordError as error:
                self.log_event("bad-record", why=str(error))
                return False
            if result is PutResult.NEW:
                self._repair.on_received(record)
                merged = self.store.get(record.key)
                if sends < MAX_SENDS and merged is not None:
                    self._gossip.add(merged, sends)
            elif result is PutResult.CONTRADICTS:
                self._repair.resolve_contradiction(record.key)
            elif result is PutResult.FULL and not self._is_full_logged:
                self._is_full_logged = True
                self.log_event("replica-full", records=len(self.store), bytes=self.store.size_bytes)
        return True

    # ------------------------------------------------------------------ messages

    def receive(self, now_us: int, sender: str, body: object) -> list[OutgoingMessage]:
        """Handles a message from another member; returns the replies. Messages for other modules
        are ignored.
        """
        match body:
            case Rumor():
                return self._on_rumor(now_us, sender, body)
            case DigestRequest():
                return self._on_digest_request(sender, body)
            case DigestReply():
                return self._on_digest_reply(now_us, sender, body)
            case PageRequest():
                return self._on_page_request(now_us, sender, body)
            case RecordPage():
                self._on_page(now_us, sender, body)
            case SenderBusy():
                self._on_sender_busy(now_us, sender, body)
            case RecordRequest(request_id, key):
                return [OutgoingMessage(sender, RecordReply(request_id, key, self.store.get(key)))]
            case RecordReply():
                self._repair.on_reply(now_us, sender, body)
        return []

    def _is_same_epoch(self, epoch: int) -> bool:
        return epoch == self.copy.epoch or not self._checks_epochs

    def request_digests(self, name: str) -> list[OutgoingMessage]:
        """Returns a request for the digests in which a member's replica differs from this one."""
        request_id = self.make_request_id()
        self._digest_requests[request_id] = name
        while len(self._digest_requests) > MAX_OPEN_REQUESTS:
            del self._digest_requests[next(iter(self._digest_requests))]
        digests = self.store.digests.list_group_digests()
        request = DigestRequest(request_id, self.copy.epoch, digests, self.copy.is_complete)
        return [OutgoingMessage(name, request)]

    def _on_rumor(self, now_us: int, sender: str, rumor: Rumor) -> list[OutgoingMessage]:
        if self._is_same_epoch(rumor.epoch) and self.copy.is_complete:
            self.merge_received(now_us, rumor.records)
        elif rumor.epoch > self.copy.epoch:
            return self.request_digests(sender)
        return []

    def _on_digest_request(self, sender: str, request: DigestRequest) -> list[OutgoingMessage]:
        range_digests = self.store.digests.find_differing_groups(request.group_digests)
        reply = DigestReply(
            request.request_id,
            self.copy.epoch,
            range_digests,
            self.store.digests.count_records(list_ranges(range_digests)),
            self.copy.is_complete,
            self.epochs.get_record() if request.epoch < self.copy.epoch else None,
        )
        messages = [OutgoingMessage(sender, reply)]
        if request.epoch > self.copy.epoch:
            messages += self.request_digests(sender)
        elif (
            range_digests and request.complete and self.copy.is_complete and sender not in self._compare_next
        ):
            self._compare_next.append(sender)
        return messages

    def _on_digest_reply(self, now_us: int, sender: str, reply: DigestReply) -> list[OutgoingMessage]:
        if self._digest_requests.pop(reply.request_id, None) != sender:
            return []
        if self._checks_epochs and reply.epoch != self.copy.epoch:
            messages = self._on_other_epoch(now_us, sender, reply)
            if reply.epoch != self.copy.epoch or messages:
                return messages
        differing = self.store.digests.find_differing_ranges(reply.range_digests)
        if not self.copy.is_complete:
            self._replica_transfer.on_digest_reply(now_us, sender, reply, differing)
        elif (
            differing
            and self.receiver.find_background_transfer(sender) is None
            and len(self.receiver.transfers) < 2 * MAX_SENDERS
        ):
            self.receiver.begin(now_us, sender, differing, ignore_end)
        return []

    def _on_other_epoch(self, now_us: int, sender: str, reply: DigestReply) -> list[OutgoingMessage]:
        """Advances to the sender's later epoch, or discards this replica if that is impossible. After
        discarding it, requests new digests from the sender, because its reply refers to the discarded
        replica.
        """
        if reply.epoch < self.copy.epoch:
            return []
        record = reply.epoch_record
        if record is None and self.copy.is_complete and not reply.complete:
            return []  # the sender has only begun to transfer that epoch; other members have its record
        if not self.copy.is_complete or record is None or not self.epochs.advance(now_us, record):
            self._discard_replica(now_us, reply.epoch, "too far behind")
            return self.request_digests(sender)
        return []

    # ------------------------------------------------------------------ transfers

    def _on_page_request(self, now_us: int, sender: str, request: PageRequest) -> list[OutgoingMessage]:
        if not self._is_same_epoch(request.epoch):
            return self.request_digests(sender)
        page = self.sender.answer_request(now_us, sender, request, self.store, self.copy.is_complete)
        return [OutgoingMessage(sender, page)]

    def _on_page(self, now_us: int, sender: str, page: RecordPage) -> None:
        transfer = self.receiver.find_transfer(sender, page.request_id)
        if transfer is None or not self._is_same_epoch(page.epoch):
            return
        # Records that complete this replica are at other members already. Records in which complete replicas
        # differed may be new to some members, so they are gossiped once.
        sends = MAX_SENDS - 1 if self.copy.is_complete else MAX_SENDS
        if self.merge_received(now_us, page.records, sends):
            self.receiver.on_page(now_us, transfer, page)

    def _on_sender_busy(self, now_us: int, sender: str, busy: SenderBusy) -> None:
        transfer = self.receiver.find_transfer(sender, busy.request_id)
        if transfer is None:
            return
        retry_at_us = now_us + busy.retry_after_us
        self._replica_transfer.back_off(sender, retry_at_us)
        if transfer.urgent or self.copy.is_complete:
            transfer.request_at_us, transfer.attempts = retry_at_us, 0
        else:
            self.receiver.end_transfer(now_us, transfer, False)

    # ------------------------------------------------------------------ the replica as a whole

    def _discard_replica(self, now_us: int, epoch: int, reason: str) -> None:
        """Discards this replica and begins to fetch a complete one of that epoch."""
        self.log_event("copy-begins", why=reason, epoch=epoch, records=len(self.store))
        was_counted = self.copy.is_complete and epoch == self.copy.epoch
        self.copy.discard_count += 1
        self.copy.is_complete, self.copy.epoch, self.copy.begun_us = False, epoch, now_us
        self.receiver.end_all(now_us)
        self._replica_transfer.restart()
        self._repair.clear()
        self.store.clear()
        self._gossip.clear()
        self._digest_requests.clear()  # replies under way refer to the discarded replica
        self._journal.write_replica_state(epoch, False, cleared=True)
        self.on_discarded(now_us, was_counted)

    def _complete_replica(self, now_us: int) -> None:
        self.copy.is_complete = True
        self._journal.write_replica_state(self.copy.epoch, True)
        self.log_event(
            "copy-whole", records=len(self.store), epoch=self.copy.epoch, pieces=self.receiver.pages
        )
        self.copy.missing_records = 0
        local_writes = self._replica_transfer.take_local_writes()
        for record in self.epochs.drop_removed_versions(local_writes):
            self.merge_received(now_us, [record])

    # ------------------------------------------------------------------ time

    def due_us(self) -> int:
        """Returns when `tick` has to be called next."""
        due_us = min(self._compare_at_us, self._scrub_at_us, self.receiver.due_us() or self._compare_at_us)
        is_gossiping = self._gossip or self._compare_next or self._repair.is_polling
        if is_gossiping or not self.copy.is_complete:
            due_us = min(due_us, self._gossip_at_us)
        return due_us

    def tick(self, now_us: int) -> list[OutgoingMessage]:
        """Runs all due work; returns the messages to send."""
        if self.copy.begun_us < 0:
            self.copy.begun_us = now_us
        messages: list[OutgoingMessage] = []
        if now_us >= self._gossip_at_us:
            self._gossip_at_us = now_us + GOSSIP_INTERVAL_US
            messages += self._gossip_or_transfer(now_us)
            messages += self._repair.poll_voters(now_us)
        if now_us >= self._compare_at_us:
            jitter = 1 - COMPARE_JITTER + 2 * COMPARE_JITTER * self._rng.random()
            self._compare_at_us = now_us + int(self.settings.compare_interval_s * SECOND_US * jitter)
            if self.copy.is_complete:
                for name in self._sample_members(1):
                    messages += self.request_digests(name)
        if now_us >= self._scrub_at_us:
            self._scrub_at_us = now_us + SCRUB_INTERVAL_US
            self._scrub(now_us)
        if self.store.corrupted:
            self._drop_corrupted(now_us)
        messages += self.receiver.tick(now_us, self.copy.epoch)
        return messages

    def _gossip_or_transfer(self, now_us: int) -> list[OutgoingMessage]:
        messages: list[OutgoingMessage] = []
        if not self.copy.is_complete:
            for name in self._replica_transfer.choose_senders(now_us):
                messages += self.request_digests(name)
            return messages
        messages += self._send_rumor()
        while self._compare_next:
            name = self._compare_next.pop()
            if self._members.is_living(name) and self.receiver.find_background_transfer(name) is None:
                messages += self.request_digests(name)
        return messages

    def _send_rumor(self) -> list[OutgoingMessage]:
        if not self._gossip:
            return []
        names = self._sample_members(FANOUT)
        # Ages are computed as of the next gossip time, which allows for the network delay: at the receiver a
        # record may appear older than it is, but not younger.
        records = self._gossip.take_batch(self._gossip_at_us, len(names))
        if not records or not names:
            return []
        rumor = Rumor(self.copy.epoch, records)
        return [OutgoingMessage(name, rumor) for name in names]

    def _sample_members(self, count: int) -> list[str]:
        names = self._members.living_names
        chosen = self._rng.sample(names, min(count + 1, len(names)))
        return [name for name in chosen if name != self._name][:count]

    def _scrub(self, now_us: int) -> None:
        self.store.expire_records(now_us)
        if self._checks_hashes:
            self.store.scrub(min(1.0, SCRUB_INTERVAL_US / SECOND_US / self.settings.scrub_interval_s))
        for key in self._repair.pop_lost(now_us):
            self.on_lost(key)

    def _drop_corrupted(self, now_us: int) -> None:
        for _ in self._repair.drop_corrupted(now_us):
            if self.copy.is_complete:
                self.on_discarded(now_us, True)
