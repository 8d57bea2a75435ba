"""Both ends of passing records on in pieces: the taker, which goes on elsewhere where one giver fails, and
the giver, which gives so much and to so many at a time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from sailrun.replication.messages import PageRequest, RecordPage, SenderBusy
from sailrun.replication.records import Key, estimate_size_bytes
from sailrun.replication.settings import ReplicationSettings
from sailrun.replication.store import RecordStore, find_range

SECOND = 1_000_000
# A piece that has not come by then is asked for again; a giver that missed this many is given up.
PIECE_US, TRIES = SECOND, 3
# Whoever has asked within this is being given to.
TAKING_US = 2 * SECOND
KILO = 1000
# In a burst, a giver gives what it may give in so long.
BURST_S = 0.25


@dataclass(slots=True)
class Transfer:
    """Ranges that are being taken from one giver."""

    sender: str
    ranges: list[int]
    on_end: Callable[[int, bool], None]  # told the time, and whether all has come
    urgent: bool = False
    after: Key | None = None
    request_id: int = 0
    request_at_us: int = 0  # when to ask, or to ask again
    attempts: int = 0
    pages: int = 0
    ended: bool = False


@dataclass(slots=True)
class TransferReceiver:
    """The side that takes. `numbers` gives each question its own."""

    settings: ReplicationSettings
    make_request_id: Callable[[], int]
    transfers: list[Transfer] = field(default_factory=list)
    pages: int = 0
    resumed: int = 0  # pulls that went on where another giver's had ended
    _free_us: int = 0  # from then on the rate allows another piece

    def begin(
        self,
        now_us: int,
        giver: str,
        ranges: list[int],
        done: Callable[[int, bool], None],
        urgent: bool = False,
        after: Key | None = None,
    ) -> None:
        self.resumed += after is not None
        self.transfers.append(Transfer(giver, list(ranges), done, urgent, after, request_at_us=now_us))

    def find_background_transfer(self, giver: str) -> Transfer | None:
        return next((p for p in self.transfers if p.sender == giver and not p.urgent), None)

    def due_us(self) -> int | None:
        return min((p.request_at_us for p in self.transfers), default=None)

    def turn(self, now_us: int, epoch: int) -> list[tuple[str, PageRequest]]:
        posts: list[tuple[str, PageRequest]] = []
        for pull in list(self.transfers):
            if now_us < pull.request_at_us or pull.ended:
                continue
            if not pull.urgent and now_us < self._free_us and not pull.attempts:
                pull.request_at_us = self._free_us
                continue
            if pull.attempts >= TRIES:
                self.end_transfer(now_us, pull, False)
                continue
            pull.attempts += 1
            pull.request_id, pull.request_at_us = self.make_request_id(), now_us + PIECE_US
            posts.append(
                (pull.sender, PageRequest(pull.request_id, epoch, pull.ranges, pull.after, pull.urgent))
            )
        return posts

    def find_transfer(self, giver: str, number: int) -> Transfer | None:
        return next((p for p in self.transfers if p.sender == giver and p.request_id == number), None)

    def on_page(self, now_us: int, pull: Transfer, given: RecordPage) -> None:
        """A piece has come, and was taken in."""
        self.pages += 1
        pull.pages += 1
        pull.attempts, pull.request_at_us = 0, now_us
        size = sum(estimate_size_bytes(record) for record in given.records)
        self._free_us = max(now_us, self._free_us) + int(size / (self.settings.take_kb_s * KILO) * SECOND)
        if given.after is None or not given.records:
            self.end_transfer(now_us, pull, True)
            return
        pull.after = given.after
        at = find_range(given.after, given.records[-1].soft)
        if at in pull.ranges:
            pull.ranges = pull.ranges[pull.ranges.index(at) :]

    def end_transfer(self, now_us: int, pull: Transfer, whole: bool) -> None:
        pull.ended = True
        if pull in self.transfers:
            self.transfers.remove(pull)
        pull.on_end(now_us, whole)

    def end_all(self, now_us: int) -> None:
        """Ends all pulls: what is being taken is not wanted any more."""
        for pull in list(self.transfers):
            self.end_transfer(now_us, pull, False)


class TransferSender:
    """The side that gives."""

    def __init__(self, terms: ReplicationSettings) -> None:
        self.settings = terms
        self._takers: dict[str, int] = {}  # by name, when it last asked
        self._given_until_us = 0  # what was given so far fills the rate up to this time
        self.rejected_requests = self.pages_sent = 0  # questions for a piece

    def answer_request(
        self, now_us: int, taker: str, take: PageRequest, store: RecordStore, whole: bool
    ) -> RecordPage | SenderBusy:
        """`whole`: this node's own copy is; from another one only what is urgent is taken."""
        for name, at_us in list(self._takers.items()):
            if now_us - at_us > TAKING_US:
                del self._takers[name]
        if not take.urgent:
            crowded = taker not in self._takers and len(self._takers) >= self.settings.takers
            ahead_us = self._given_until_us - now_us
            if crowded or not whole or ahead_us > BURST_S * SECOND:
                self.rejected_requests += 1
                return SenderBusy(
                    take.request_id, max(SECOND // 4, ahead_us) + (SECOND // 2 if crowded else 0)
                )
            self._takers[taker] = now_us
        self.pages_sent += 1
        ranges = sorted(set(take.ranges))
        records, after = store.read_page(now_us, ranges, take.after, self.settings.page_kb * KILO)
        size = sum(estimate_size_bytes(record) for record in records)
        self._given_until_us = max(now_us, self._given_until_us) + int(
            size / (self.settings.give_kb_s * KILO) * SECOND
        )
        return RecordPage(take.request_id, take.epoch, records, after)
