"""Both sides of state transfer, which sends records in pages from one sender to one receiver.

The receiver requests one page after another and limits its own rate. If a sender does not reply, the receiver
ends the transfer at the last key received. The sender limits the number of concurrent receivers and its own
rate.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from sailrun.replication.messages import OutgoingMessage, PageRequest, RecordPage, SenderBusy
from sailrun.replication.range_digests import find_range
from sailrun.replication.records import Key, estimate_size_bytes
from sailrun.replication.settings import ReplicationSettings
from sailrun.replication.store import RecordStore

SECOND_US = 1_000_000
BYTES_PER_KB = 1000
# A page that has not arrived within the timeout is requested again; after the last attempt the transfer ends.
PAGE_TIMEOUT_US, MAX_ATTEMPTS = SECOND_US, 3
# A receiver counts against `max_receivers` for this long after its latest request.
RECEIVER_ACTIVE_US = 2 * SECOND_US
# A sender may send ahead of its rate limit by the amount of data that the limit allows in this time.
BURST_US = SECOND_US // 4
# The least time after which a receiver may retry, and the additional time if `max_receivers` is reached.
MIN_RETRY_US, NO_SLOT_RETRY_US = SECOND_US // 4, SECOND_US // 2


@dataclass(slots=True, eq=False)
class Transfer:
    """A transfer of ranges from one sender."""

    sender: str
    ranges: list[int]  # not complete yet; the first may have been received in part
    on_end: Callable[[int, bool], None]  # called with the time and whether all ranges were received
    urgent: bool = False  # exempt from the rate limits: a voter's recovery or the start of a leader's term
    after: Key | None = None  # the last key received of the first range
    request_id: int = 0
    request_at_us: int = 0  # when to send or repeat the request
    attempts: int = 0
    pages: int = 0
    ended: bool = False


def ignore_end(now_us: int, complete: bool) -> None:
    """Does nothing; for transfers whose end needs no action."""


class TransferReceiver:
    """The receiving side of all transfers of a node."""

    def __init__(self, settings: ReplicationSettings, make_request_id: Callable[[], int]) -> None:
        self.settings, self._make_request_id = settings, make_request_id
        self.transfers: list[Transfer] = []
        self.pages = 0  # received since the process started
        self.resumed = 0  # transfers that continued an interrupted one
        self._next_page_us = 0  # when the rate limit allows the next page

    def begin(
        self,
        now_us: int,
        sender: str,
        ranges: list[int],
        on_end: Callable[[int, bool], None],
        urgent: bool = False,
        after: Key | None = None,
    ) -> Transfer:
        """Begins a transfer of these ranges. With `after`, the first range starts after that key."""
        self.resumed += after is not None
        transfer = Transfer(sender, list(ranges), on_end, urgent, after, request_at_us=now_us)
        self.transfers.append(transfer)
        return transfer

    def find_background_transfer(self, sender: str) -> Transfer | None:
        """Returns the transfer from that sender that is not urgent, if there is one."""
        return next((t for t in self.transfers if t.sender == sender and not t.urgent), None)

    def find_transfer(self, sender: str, request_id: int) -> Transfer | None:
        """Returns the transfer whose latest request has this id; None if the reply is late or unsolicited."""
        return next((t for t in self.transfers if t.sender == sender and t.request_id == request_id), None)

    def due_us(self) -> int | None:
        """Returns when `tick` has to be called next; None if there are no transfers."""
        return min((t.request_at_us for t in self.transfers), default=None)

    def tick(self, now_us: int, epoch: int) -> list[OutgoingMessage]:
        """Returns the due page requests, and ends transfers whose sender does not reply."""
        messages: list[OutgoingMessage] = []
        for transfer in list(self.transfers):
            if now_us < transfer.request_at_us or transfer.ended:
                continue
            if not transfer.urgent and now_us < self._next_page_us and not transfer.attempts:
                transfer.request_at_us = self._next_page_us
                continue
            if transfer.attempts >= MAX_ATTEMPTS:
                self.end_transfer(now_us, transfer, False)
                continue
            transfer.attempts += 1
            transfer.request_id = self._make_request_id()
            transfer.request_at_us = now_us + PAGE_TIMEOUT_US
            request = PageRequest(
                transfer.request_id, epoch, transfer.ranges, transfer.after, transfer.urgent
            )
            messages.append(OutgoingMessage(transfer.sender, request))
        return messages

    def on_page(self, now_us: int, transfer: Transfer, page: RecordPage) -> None:
        """Updates a transfer after a received page has been merged."""
        self.pages += 1
        transfer.pages += 1
        transfer.attempts, transfer.request_at_us = 0, now_us
        size_bytes = sum(estimate_size_bytes(record) for record in page.records)
        rate = self.settings.receive_kb_per_s * BYTES_PER_KB
        self._next_page_us = max(now_us, self._next_page_us) + int(size_bytes / rate * SECOND_US)
        if page.after is None or not page.records:
            self.end_transfer(now_us, transfer, True)
            return
        transfer.after = page.after
        range_number = find_range(page.after, page.records[-1].soft)
        if range_number in transfer.ranges:
            transfer.ranges = transfer.ranges[transfer.ranges.index(range_number) :]

    def end_transfer(self, now_us: int, transfer: Transfer, complete: bool) -> None:
        """Ends a transfer; `complete`: whether all its ranges were received."""
        transfer.ended = True
        if transfer in self.transfers:
            self.transfers.remove(transfer)
        transfer.on_end(now_us, complete)

    def end_all(self, now_us: int) -> None:
        """Ends all transfers as incomplete, because the replica was discarded."""
        for transfer in list(self.transfers):
            self.end_transfer(now_us, transfer, False)


class TransferSender:
    """The sending side of all transfers of a node."""

    def __init__(self, settings: ReplicationSettings) -> None:
        self.settings = settings
        self._receivers: dict[str, int] = {}  # when each receiver sent its latest request, by name
        self._sent_until_us = 0  # the pages sent so far use up the rate until this time
        self.rejected_requests = self.pages_sent = 0

    def answer_request(
        self, now_us: int, receiver: str, request: PageRequest, store: RecordStore, is_complete: bool
    ) -> RecordPage | SenderBusy:
        """Returns a page, or the time after which to retry. An incomplete replica serves urgent requests
        only.
        """
        for name, requested_us in list(self._receivers.items()):
            if now_us - requested_us > RECEIVER_ACTIVE_US:
                del self._receivers[name]
        if not request.urgent:
            ahead_us = self._sent_until_us - now_us
            has_slot = receiver in self._receivers or len(self._receivers) < self.settings.max_receivers
            if not has_slot or not is_complete or ahead_us > BURST_US:
                self.rejected_requests += 1
                retry_after_us = max(MIN_RETRY_US, ahead_us) + (0 if has_slot else NO_SLOT_RETRY_US)
                return SenderBusy(request.request_id, retry_after_us)
            self._receivers[receiver] = now_us
        self.pages_sent += 1
        ranges = sorted(set(request.ranges))
        records, after = store.read_page(now_us, ranges, request.after, self.settings.page_kb * BYTES_PER_KB)
        size_bytes = sum(estimate_size_bytes(record) for record in records)
        rate = self.settings.send_kb_per_s * BYTES_PER_KB
        self._sent_until_us = max(now_us, self._sent_until_us) + int(size_bytes / rate * SECOND_US)
        return RecordPage(request.request_id, request.epoch, records, after)
