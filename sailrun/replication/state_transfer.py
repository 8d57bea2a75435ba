"""Both ends of state transfer: records pass in pages, from one sender to one receiver at a time.

The receiver asks for page after page and keeps to a rate of its own; where a sender does not reply, it ends
the transfer at the last key that came. The sender serves so many receivers at a time, within its own rate.
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
# A page that has not come within this is requested again; after so many requests the transfer ends.
PAGE_TIMEOUT_US, MAX_ATTEMPTS = SECOND_US, 3
# A receiver that asked within this holds one of the sender's places.
RECEIVER_ACTIVE_US = 2 * SECOND_US
# A sender may be ahead of its rate by so much.
BURST_US = SECOND_US // 4
# How long a receiver is to wait: at least so long, and so much longer where all places are taken.
MIN_RETRY_US, NO_PLACE_RETRY_US = SECOND_US // 4, SECOND_US // 2


@dataclass(slots=True, eq=False)
class Transfer:
    """Ranges that are being taken from one sender."""

    sender: str
    ranges: list[int]  # still to come, the first perhaps in part
    on_end: Callable[[int, bool], None]  # called with the time, and whether all has come
    urgent: bool = False  # not held to the rates: a voter's recovery, or a leader's beginning
    after: Key | None = None  # the last key that came of the first range
    request_id: int = 0
    request_at_us: int = 0  # when to request, or to request again
    attempts: int = 0
    pages: int = 0
    ended: bool = False


def ignore_end(now_us: int, complete: bool) -> None:
    """For transfers after which nothing is to be done."""


class TransferReceiver:
    """The receiving side of all transfers of a node."""

    def __init__(self, settings: ReplicationSettings, make_request_id: Callable[[], int]) -> None:
        self.settings, self._make_request_id = settings, make_request_id
        self.transfers: list[Transfer] = []
        self.pages = 0  # received since the start
        self.resumed = 0  # transfers that went on where another one had ended
        self._next_page_us = 0  # when the rate allows another page

    def begin(
        self,
        now_us: int,
        sender: str,
        ranges: list[int],
        on_end: Callable[[int, bool], None],
        urgent: bool = False,
        after: Key | None = None,
    ) -> Transfer:
        """Begins a transfer of these ranges; `after`: of the first one, what follows that key."""
        self.resumed += after is not None
        transfer = Transfer(sender, list(ranges), on_end, urgent, after, request_at_us=now_us)
        self.transfers.append(transfer)
        return transfer

    def find_background_transfer(self, sender: str) -> Transfer | None:
        """The transfer from that sender that keeps to the rate, if there is one."""
        return next((t for t in self.transfers if t.sender == sender and not t.urgent), None)

    def find_transfer(self, sender: str, request_id: int) -> Transfer | None:
        """The transfer whose latest request has this id; None: the reply is late, or to nothing."""
        return next((t for t in self.transfers if t.sender == sender and t.request_id == request_id), None)

    def due_us(self) -> int | None:
        """When `turn` has something to do; None: nothing is being transferred."""
        return min((t.request_at_us for t in self.transfers), default=None)

    def turn(self, now_us: int, epoch: int) -> list[OutgoingMessage]:
        """Requests for pages that are due; ends the transfers whose sender does not reply."""
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
        """A page has come, and its records were merged."""
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
        number = find_range(page.after, page.records[-1].soft)
        if number in transfer.ranges:
            transfer.ranges = transfer.ranges[transfer.ranges.index(number) :]

    def end_transfer(self, now_us: int, transfer: Transfer, complete: bool) -> None:
        """Ends a transfer; `complete`: all its ranges have come."""
        transfer.ended = True
        if transfer in self.transfers:
            self.transfers.remove(transfer)
        transfer.on_end(now_us, complete)

    def end_all(self, now_us: int) -> None:
        """Ends all transfers: what is being received is not wanted any more."""
        for transfer in list(self.transfers):
            self.end_transfer(now_us, transfer, False)


class TransferSender:
    """The sending side of all transfers of a node."""

    def __init__(self, settings: ReplicationSettings) -> None:
        self.settings = settings
        self._receivers: dict[str, int] = {}  # by name, when it last asked
        self._sent_until_us = 0  # what was sent so far fills the rate up to this time
        self.rejected_requests = self.pages_sent = 0

    def answer_request(
        self, now_us: int, receiver: str, request: PageRequest, store: RecordStore, is_complete: bool
    ) -> RecordPage | SenderBusy:
        """A page, or when to come back; a copy that is not complete serves only urgent requests."""
        for name, asked_us in list(self._receivers.items()):
            if now_us - asked_us > RECEIVER_ACTIVE_US:
                del self._receivers[name]
        if not request.urgent:
            ahead_us = self._sent_until_us - now_us
            has_place = receiver in self._receivers or len(self._receivers) < self.settings.max_receivers
            if not has_place or not is_complete or ahead_us > BURST_US:
                self.rejected_requests += 1
                retry_after_us = max(MIN_RETRY_US, ahead_us) + (0 if has_place else NO_PLACE_RETRY_US)
                return SenderBusy(request.request_id, retry_after_us)
            self._receivers[receiver] = now_us
        self.pages_sent += 1
        ranges = sorted(set(request.ranges))
        records, after = store.read_page(now_us, ranges, request.after, self.settings.page_kb * BYTES_PER_KB)
        size_bytes = sum(estimate_size_bytes(record) for record in records)
        rate = self.settings.send_kb_per_s * BYTES_PER_KB
        self._sent_until_us = max(now_us, self._sent_until_us) + int(size_bytes / rate * SECOND_US)
        return RecordPage(request.request_id, request.epoch, records, after)
