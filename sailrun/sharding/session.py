"""One node's session: its heartbeats to the region's assigner, and the shards it may use by them.

The node counts its lease on its own clock from when it sent the heartbeat that was answered, and uses nothing
past its end. A shard is used only while it is placed on this session in every generation between the one that
is settled and the latest this node knows, sessions that have ended aside.

Pure: the time and messages come in, messages go out.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from sailrun.leadership.settings import DRIFT
from sailrun.sharding.messages import Change, Renew, Renewed, RenewRefused, Session, Token
from sailrun.sharding.placement import Placement
from sailrun.sharding.settings import RENEWALS, RegionSettings, ShardingSettings

SECOND = 1_000_000
# Heartbeats whose answer is still waited for.
MOST_SENT = 16
# While it waits for something that others have to apply first, a node asks this often.
EAGER_US = 250_000
# A change is acknowledged within this, at a moment of chance, so that not all nodes do at once.
ACKNOWLEDGE_US = 150_000
NONCE_BITS = 62
# Shards that are written down one by one, for the laboratory's checks.
MOST_LISTED = 1_000


@dataclass(slots=True)
class _Fetch:
    """A whole table that comes in pages."""

    generation: int
    sessions: list[Session] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class SessionEvent:
    """For the log. `what`: `began`, `lost` (with `why`), `generation`, `usable`."""

    what: str
    generation: int
    session: int
    shards: int
    why: str = ""


class ShardList:
    """Shards as text, `0,3,7` or `-`; made only where it is written down. Of many only how many there are."""

    def __init__(self, shards: frozenset[int]) -> None:
        self._shards = shards

    def __str__(self) -> str:
        if len(self._shards) > MOST_LISTED:
            return f"{len(self._shards)}-shards"
        return ",".join(map(str, sorted(self._shards))) or "-"


class SessionList:
    """Sessions as text, `NAME:NUMBER,...` by number, or `-`; made only where it is written down."""

    def __init__(self, sessions: list[Session]) -> None:
        self._sessions = sessions

    def __str__(self) -> str:
        ordered = sorted(self._sessions, key=lambda session: session.number)
        return ",".join(f"{session.name}:{session.number}" for session in ordered) or "-"


class NodeSession:
    def __init__(
        self,
        region: RegionSettings,
        terms: ShardingSettings,
        seed: int,
        now_us: int,
        off: frozenset[str] = frozenset(),
        record: Callable[..., None] = lambda kind, **facts: None,
    ) -> None:
        """`record` is told what is used until when, for the laboratory's checks."""
        self._region, self._terms, self._off, self._act = region, terms, off, record
        self._digest = terms.digest(region.name)
        self._luck = random.Random(seed)
        self._lease_us = int(terms.lease_s * SECOND)
        self._placement: Placement | None = None
        self.events: list[SessionEvent] = []  # emptied by whoever drives this
        self._number = 0  # of heartbeats
        self._next_us = now_us
        self.leaving = False  # a planned stop: hands over once it may, and asks for no session
        self._seen = 0  # the highest generation that this process ever went by, under any session
        self._clear()

    def _clear(self) -> None:
        self.session = 0
        self._nonce = self._luck.getrandbits(NONCE_BITS)
        self.until_us = 0
        self.settled = 0
        self._ready = False  # a whole table was read
        self._fetch: _Fetch | None = None
        self._sent: dict[int, int] = {}
        self._usable: frozenset[int] = frozenset()
        self._usable_at = (0, 0)  # the generation, and what was settled, that it was worked out for
        self._released = 0  # a session that was given up and has to be taken out of the table
        self.unanswered = 0  # heartbeats since the last answer

    # ------------------------------------------------------------------ what may be used

    def holds(self, now_us: int) -> bool:
        """Whether the session is in force by this node's own clock."""
        return bool(self.session) and (now_us < self.until_us or "session" in self._off)

    @property
    def generation(self) -> int:
        """The one this node goes by; 0: none."""
        return self._placement.generation if self._placement is not None and self._ready else 0

    def token(self, shard: int, now_us: int) -> Token | None:
        """With which this node may act for the shard now; None: it may not."""
        if not self.holds(now_us) or shard not in self._usable:
            return None
        return Token(self.generation, self.session)

    def usable(self, now_us: int) -> frozenset[int]:
        """The shards it may act for now."""
        return self._usable if self.holds(now_us) else frozenset()

    def placed(self) -> list[int]:
        """The shards placed on it, also those that it has to wait for."""
        if self._placement is None or not self._ready:
            return []
        return [int(shard) for shard in self._placement.placed_on(self.session)]

    def sessions(self) -> list[Session]:
        """Everybody in the generation this node goes by."""
        return list(self._placement.sessions.values()) if self._placement is not None and self._ready else []

    def placed_of(self, node: str) -> list[int]:
        """The shards placed on another node, as far as this one knows."""
        number = next((s.number for s in self.sessions() if s.name == node), None)
        if self._placement is None or number is None:
            return []
        return [int(shard) for shard in self._placement.placed_on(number)]

    def owner_of(self, shard: int) -> str:
        """Hearsay: the node a shard is placed on; empty where none is known."""
        if self._placement is None or not self._ready or not 0 <= shard < self._region.shards:
            return ""
        session = self._placement.sessions.get(int(self._placement.owner[shard]))
        return session.name if session is not None else ""

    # ------------------------------------------------------------------ what comes in

    def renewed(self, now_us: int, told: Renewed) -> None:
        """An answer to a heartbeat, or word of a new generation (number 0)."""
        sent_us = self._sent.pop(told.number, None)
        if told.number and sent_us is None:
            return
        if sent_us is not None and not self._extended(now_us, sent_us, told):
            return
        if not self.session:
            if self._added_by(told):
                self._soon(now_us, self._luck.randrange(ACKNOWLEDGE_US))
            return
        behind = self.generation
        self._take_in(now_us, told)
        self.settled = max(self.settled, told.settled)
        self._use(now_us)
        if self.generation != behind:
            self._soon(now_us, self._luck.randrange(ACKNOWLEDGE_US))
        if sent_us is not None and (self._fetch is not None or self.generation < told.generation):
            self._soon(now_us, 0)
        if told.may_leave and self.leaving:
            self.release(now_us)

    def _added_by(self, told: Renewed) -> bool:
        """Whether a change adds the session that this node has asked for."""
        return any(session.nonce == self._nonce for change in told.changes for session in change.joined)

    def _extended(self, now_us: int, sent_us: int, told: Renewed) -> bool:
        """Whether the answer is one for this session, which lasts from when it was asked for."""
        self.unanswered = 0
        if not told.session:
            return True  # heard of, and waits to be added
        until_us = sent_us + int(self._lease_us * (1 - 2 * DRIFT))
        if not self.session:
            if now_us >= until_us:
                return False
            self.session = told.session
            self._note("began")
        if told.session != self.session:
            return False
        if not self.holds(now_us) and self.until_us:
            self.lose(now_us, "lapsed")
            return False
        self.until_us = max(self.until_us, until_us)
        return True

    def _take_in(self, now_us: int, told: Renewed) -> None:
        for change in told.changes:
            if self.generation and change.generation == self.generation + 1:
                self._apply(change)
        if told.table > self.generation:
            self._page(told)

    def _apply(self, change: Change) -> None:
        assert self._placement is not None
        self._placement.apply(change)
        self._fetch = None
        self._note_generation()

    def _page(self, told: Renewed) -> None:
        fetch = self._fetch
        if fetch is None or fetch.generation != told.table:
            fetch = self._fetch = _Fetch(told.table)
        if told.offset != len(fetch.sessions):
            return
        fetch.sessions += told.sessions
        if told.more:
            return
        if self._placement is None:
            self._placement = Placement(self._region.name, self._region.shards)
        self._placement.begin(fetch.generation, fetch.sessions)
        self._ready, self._fetch = True, None
        self._note_generation()

    def _note_generation(self) -> None:
        self._seen = max(self._seen, self.generation)
        self._note("generation")
        self._act(
            "shards-generation",
            region=self._region.name,
            generation=self.generation,
            session=self.session,
            sessions=SessionList(self.sessions()),
        )

    def refused(self, now_us: int, told: RenewRefused) -> None:
        """The assigner knows no such session: nothing is used under it any more."""
        if self._sent.pop(told.number, None) is None or told.why != "over":
            return
        self.unanswered = 0
        if self._released:
            self._released = 0
            self._nonce = self._luck.getrandbits(NONCE_BITS)
            self._soon(now_us, 0)
        elif self.session:
            self.lose(now_us, "over")

    # ------------------------------------------------------------------ what follows from it

    def _use(self, now_us: int) -> None:
        """Works out what may be used, and says so."""
        placement = self._placement
        before = self._usable
        if placement is None or not self._ready:
            return
        settled = placement.generation if "settle" in self._off else self.settled
        if self._usable_at != (placement.generation, settled):
            self._usable_at = placement.generation, settled
            self._usable = frozenset(placement.usable(self.session, settled).tolist())
        if self._usable != before:
            self._note("usable")
        self._act(
            "shards",
            region=self._region.name,
            generation=placement.generation,
            session=self.session,
            until_us=self.until_us,
            shards=ShardList(self._usable),
        )

    def _note(self, what: str, why: str = "") -> None:
        self.events.append(SessionEvent(what, self.generation, self.session, len(self._usable), why))

    def lose(self, now_us: int, why: str) -> None:
        """Nothing is used any more; a new session is asked for."""
        self._act("shards-lost", region=self._region.name, session=self.session, why=why)
        self._note("lost", why)
        self._clear()
        self._soon(now_us, 0)

    def release(self, now_us: int) -> None:
        """Gives the session up in good order: the assigner may hand its shards on at once."""
        session, nonce = self.session, self._nonce
        if not session:
            return
        self.lose(now_us, "released")
        self._released, self._nonce = session, nonce

    def plan_to_leave(self, now_us: int, on: bool) -> None:
        """A planned stop: hands over when the assigner lets it, and stays without shards until taken back."""
        self.leaving = on
        self._soon(now_us, 0)

    def again(self, now_us: int) -> None:
        """The heartbeat went to one that is not the assigner: it is sent again at once."""
        self._soon(now_us, 0)

    # ------------------------------------------------------------------ time

    def _soon(self, now_us: int, wait_us: int) -> None:
        self._next_us = min(self._next_us, now_us + wait_us)

    @property
    def _waits(self) -> bool:
        """Whether something is placed on it that it may not use yet."""
        if not self.session or self._placement is None or not self._ready:
            return bool(self.session)
        return len(self._usable) < len(self._placement.placed_on(self.session))

    def due_us(self, now_us: int) -> int:
        """When `turn` wants to be called next."""
        if self.leaving and not self.session and not self._released:
            return now_us + self._lease_us
        return min(self._next_us, self.until_us) if self.session and self.until_us else self._next_us

    def turn(self, now_us: int) -> Renew | None:
        """The next heartbeat, where one is due."""
        if self.session and self.until_us and not self.holds(now_us):
            self.lose(now_us, "lapsed")
        if now_us < self._next_us or (self.leaving and not self.session and not self._released):
            return None
        self._number += 1
        self._sent[self._number] = now_us
        while len(self._sent) > MOST_SENT:
            del self._sent[next(iter(self._sent))]
        self._next_us = now_us + self._interval_us()
        self.unanswered += 1
        fetch = self._fetch
        return Renew(
            self._region.name,
            self._digest,
            self._number,
            self._released or self.session,
            self._nonce,
            self.generation,
            fetch.generation if fetch is not None else 0,
            len(fetch.sessions) if fetch is not None else 0,
            self.leaving,
            bool(self._released),
            self._seen,
        )

    def _interval_us(self) -> int:
        interval_us = self._lease_us // RENEWALS
        if self._released or self._waits or self.unanswered > 1:
            return min(interval_us, EAGER_US)
        return int(interval_us * self._luck.uniform(0.9, 1.0))
