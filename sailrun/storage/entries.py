"""What is written down, entry by entry, and what all entries together come to. Pure.

An entry states how something is from then on, never what is to be added: whoever applies one twice, or a
later one of the same thing alone, comes to the same. Fields are read by place; a newer version of the program
may add some at the end, with a default, and an older file is read with those defaults. Another kind of entry,
or another meaning, is another schema (`frames.SCHEMA`).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from sailrun.replication.records import Key, Record


class Begun(msgspec.Struct, array_like=True, frozen=True, tag="begun"):
    """A process has taken the folder over. `life` counts them."""

    life: int
    wall_s: float  # for staff to read


class Ended(msgspec.Struct, array_like=True, frozen=True, tag="ended"):
    """It has ended in good order, and nothing of it was left to write."""

    wall_s: float


class Slot(msgspec.Struct, array_like=True, frozen=True, tag="slot"):
    """A voter's grant of a task: to whom, under which term, and the highest it ever granted. Renewals change
    nothing of this.
    """

    task: str
    term: int
    holder: str
    life: int
    highest: int
    released: bool = False


class Floor(msgspec.Struct, array_like=True, frozen=True, tag="floor"):
    """A term that is known of a task; of no task: below which none is granted for any."""

    task: str
    term: int


class Votes(msgspec.Struct, array_like=True, frozen=True, tag="votes"):
    """Whether the voter here knows of all that it may ever have granted. One that is learning it from the
    others does not, however sound its folder.
    """

    remembers: bool


class Keeps(msgspec.Struct, array_like=True, frozen=True, tag="keeps"):
    """What a voter has promised of marks, in which of its lives, and the lives of others that it knows."""

    life: int
    promised: int
    lives: dict[str, int]
    remembers: bool


class Held(msgspec.Struct, array_like=True, frozen=True, tag="held"):
    """A record of the fleet's state, as this copy has it. `mark` is the hash that was taken when it came to
    be so there (0: none is known): a copy whose bytes were spoilt in memory is found out after a restart as
    well.
    """

    record: Record
    mark: int = 0


class Dropped(msgspec.Struct, array_like=True, frozen=True, tag="dropped"):
    """A record that the fleet has forgotten."""

    key: Key


class Copy(msgspec.Struct, array_like=True, frozen=True, tag="copy"):
    """The copy as a whole: its epoch, and whether it is one. `cleared`: all records were thrown away."""

    epoch: int
    whole: bool
    cleared: bool = False


class Noted(msgspec.Struct, array_like=True, frozen=True, tag="noted"):
    """The newest that another voter has told of its folder. Of a voter without one, `identity` is empty.
    `run` tells two processes apart that both took this life.
    """

    voter: str
    identity: str
    life: int
    position: int
    run: int = 0


class Learned(msgspec.Struct, array_like=True, frozen=True, tag="learned"):
    """What this node's decision module had learned of form servers, packed by `beliefs.py`."""

    wall_s: float
    content: bytes


class Hand(msgspec.Struct, array_like=True, frozen=True, tag="hand"):
    """Form servers that staff have taken out at this node alone: there is no fleet that would keep it."""

    out: list[str]


class Drained(msgspec.Struct, array_like=True, frozen=True, tag="walked"):
    """The rolling drain `walk` (so called on the disk and by `export`) has drained this node: not again."""

    walk: str


class DrainPlan(msgspec.Struct, array_like=True, frozen=True, tag="planned"):
    """A rolling drain that was begun here, to be gone on with; over once there are no names."""

    walk: str
    for_us: int
    names: list[str]


Entry = (
    Begun
    | Ended
    | Slot
    | Floor
    | Votes
    | Keeps
    | Held
    | Dropped
    | Copy
    | Noted
    | Learned
    | Hand
    | Drained
    | DrainPlan
)
# Rolling drains that are remembered; the oldest make room.
MOST_DRAINS = 256

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Entry] = msgspec.msgpack.Decoder(Entry)
_of_many: msgspec.msgpack.Decoder[list[Entry]] = msgspec.msgpack.Decoder(list[Entry])


def pack(entry: Entry) -> bytes:
    return _encoder.encode(entry)


def pack_many(entries: list[Entry]) -> bytes:
    return _encoder.encode(entries)


def unpack_many(data: bytes) -> list[Entry]:
    """Raises ValueError for what are no entries of this schema."""
    try:
        return _of_many.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(f"no entries: {error}") from None


def unpack(data: bytes) -> Entry:
    """Raises ValueError for what is no entry of this schema."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(f"no entry: {error}") from None


@dataclass(slots=True)
class Memory:
    """What all entries so far come to."""

    life: int = 0  # how many processes have had the folder
    clean: bool = False  # the last one ended in good order
    begun_s: float = 0.0  # by its wall clock
    slots: dict[str, Slot] = field(default_factory=dict)
    floors: dict[str, int] = field(default_factory=dict)
    votes: bool = False
    keeps: Keeps | None = None
    records: dict[Key, Record] = field(default_factory=dict)
    marks: dict[Key, int] = field(default_factory=dict)  # by record, its hash where that is known
    epoch: int = 0
    whole: bool = False
    notes: dict[str, Noted] = field(default_factory=dict)
    learned: Learned | None = None
    hand: Hand | None = None
    drained: dict[str, None] = field(default_factory=dict)
    plans: dict[str, DrainPlan] = field(default_factory=dict)

    def apply(self, entry: Entry) -> None:
        if isinstance(entry, Held):  # most are
            key = entry.record.key
            self.records[key], self.marks[key] = entry.record, entry.mark
            return
        match entry:
            case Begun(life, wall_s):
                self.life, self.clean, self.begun_s = life, False, wall_s
            case Ended():
                self.clean = True
            case Slot(task):
                self.slots[task] = entry
            case Floor(task, term):
                self.floors[task] = max(term, self.floors.get(task, 0))
            case Votes(remembers):
                self.votes = remembers
            case Keeps():
                self.keeps = entry
            case Dropped(key):
                self.records.pop(key, None)
                self.marks.pop(key, None)
            case Copy(epoch, whole, cleared):
                self.epoch, self.whole = epoch, whole
                if cleared:
                    self.records.clear()
                    self.marks.clear()
            case Noted(voter):
                self.notes[voter] = entry
            case Learned():
                self.learned = entry
            case Hand():
                self.hand = entry
            case Drained(walk):
                self.drained[walk] = None
                while len(self.drained) > MOST_DRAINS:
                    del self.drained[next(iter(self.drained))]
            case DrainPlan(walk, _, names):
                self.plans.pop(walk, None)
                if names:
                    self.plans[walk] = entry
                while len(self.plans) > MOST_DRAINS:
                    del self.plans[next(iter(self.plans))]

    def entries(self) -> Iterator[Entry]:
        """What makes another memory the same as this."""
        if self.life:
            yield Begun(self.life, self.begun_s)
        if self.clean:
            yield Ended(self.begun_s)
        yield from self.slots.values()
        yield from (Floor(task, term) for task, term in self.floors.items())
        yield Votes(self.votes)
        if self.keeps is not None:
            yield self.keeps
        yield from (Held(record, self.marks.get(key, 0)) for key, record in self.records.items())
        yield Copy(self.epoch, self.whole)
        yield from self.notes.values()
        if self.learned is not None:
            yield self.learned
        if self.hand is not None:
            yield self.hand
        yield from (Drained(walk) for walk in self.drained)
        yield from self.plans.values()

    def highest(self) -> dict[str, int]:
        """By task, the highest term that was granted or heard of; of no task: below which none may be
        given.
        """
        terms = dict(self.floors)
        for task, slot in self.slots.items():
            terms[task] = max(slot.highest, slot.term, terms.get(task, 0))
        return terms
