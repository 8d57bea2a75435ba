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

    giver: str
    ranges: list[int]
    done: Callable[[int, bool], None]  # told the time, and whether all has come
    urgent: bool = False
    after: Key | None = None
    number: int = 0
    next_us: int = 0  # when to ask, or to ask again
    tries: int = 0
    pieces: int = 0
    over: bool = False


@dataclass(slots=True)
class TransferReceiver:
    """The side that takes. `numbers` gives each question its own."""

    terms: ReplicationSettings
    numbers: Callable[[], int]
    pulls: list[Transfer] = field(default_factory=list)
    pieces: int = 0
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
        self.pulls.append(Transfer(giver, list(ranges), done, urgent, after, next_us=now_us))

    def from_giver(self, giver: str) -> Transfer | None:
        return next((p for p in self.pulls if p.giver == giver and not p.urgent), None)

    def due_us(self) -> int | None:
        return min((p.next_us for p in self.pulls), default=None)

    def turn(self, now_us: int, epoch: int) -> list[tuple[str, PageRequest]]:
        posts: list[tuple[str, PageRequest]] = []
        for pull in list(self.pulls):
            if now_us < pull.next_us or pull.over:
                continue
            if not pull.urgent and now_us < self._free_us and not pull.tries:
                pull.next_us = self._free_us
                continue
            if pull.tries >= TRIES:
                self.end(now_us, pull, False)
                continue
            pull.tries += 1
            pull.number, pull.next_us = self.numbers(), now_us + PIECE_US
            posts.append((pull.giver, PageRequest(pull.number, epoch, pull.ranges, pull.after, pull.urgent)))
        return posts

    def of(self, giver: str, number: int) -> Transfer | None:
        return next((p for p in self.pulls if p.giver == giver and p.number == number), None)

    def came(self, now_us: int, pull: Transfer, given: RecordPage) -> None:
        """A piece has come, and was taken in."""
        self.pieces += 1
        pull.pieces += 1
        pull.tries, pull.next_us = 0, now_us
        size = sum(estimate_size_bytes(record) for record in given.records)
        self._free_us = max(now_us, self._free_us) + int(size / (self.terms.take_kb_s * KILO) * SECOND)
        if given.after is None or not given.records:
            self.end(now_us, pull, True)
            return
        pull.after = given.after
        at = find_range(given.after, given.records[-1].soft)
        if at in pull.ranges:
            pull.ranges = pull.ranges[pull.ranges.index(at) :]

    def end(self, now_us: int, pull: Transfer, whole: bool) -> None:
        pull.over = True
        if pull in self.pulls:
            self.pulls.remove(pull)
        pull.done(now_us, whole)

    def drop(self, now_us: int) -> None:
        """Ends all pulls: what is being taken is not wanted any more."""
        for pull in list(self.pulls):
            self.end(now_us, pull, False)


class TransferSender:
    """The side that gives."""

    def __init__(self, terms: ReplicationSettings) -> None:
        self.terms = terms
        self._takers: dict[str, int] = {}  # by name, when it last asked
        self._given_until_us = 0  # what was given so far fills the rate up to this time
        self.refused = self.given = 0  # questions for a piece

    def asked(
        self, now_us: int, taker: str, take: PageRequest, store: RecordStore, whole: bool
    ) -> RecordPage | SenderBusy:
        """`whole`: this node's own copy is; from another one only what is urgent is taken."""
        for name, at_us in list(self._takers.items()):
            if now_us - at_us > TAKING_US:
                del self._takers[name]
        if not take.urgent:
            crowded = taker not in self._takers and len(self._takers) >= self.terms.takers
            ahead_us = self._given_until_us - now_us
            if crowded or not whole or ahead_us > BURST_S * SECOND:
                self.refused += 1
                return SenderBusy(take.number, max(SECOND // 4, ahead_us) + (SECOND // 2 if crowded else 0))
            self._takers[taker] = now_us
        self.given += 1
        ranges = sorted(set(take.ranges))
        records, after = store.page(now_us, ranges, take.after, self.terms.page_kb * KILO)
        size = sum(estimate_size_bytes(record) for record in records)
        self._given_until_us = max(now_us, self._given_until_us) + int(
            size / (self.terms.give_kb_s * KILO) * SECOND
        )
        return RecordPage(take.number, take.epoch, records, after)
