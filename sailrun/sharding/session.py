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
from sailrun.sharding.messages import (
    FencingToken,
    GenerationChange,
    RenewalRejected,
    RenewSession,
    Session,
    SessionRenewed,
)
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

    kind: str
    generation: int
    session_number: int
    shards: int
    reason: str = ""


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
        settings: ShardingSettings,
        seed: int,
        now_us: int,
        off: frozenset[str] = frozenset(),
        record: Callable[..., None] = lambda kind, **facts: None,
    ) -> None:
        """`record` is told what is used until when, for the laboratory's checks."""
        self._region, self._settings, self._off, self._act = region, settings, off, record
        self._digest = settings.digest(region.name)
        self._luck = random.Random(seed)
        self._lease_us = int(settings.lease_s * SECOND)
        self._placement: Placement | None = None
        self.events: list[SessionEvent] = []  # emptied by whoever drives this
        self._number = 0  # of heartbeats
        self._next_us = now_us
        self.is_leaving = False  # a planned stop: hands over once it may, and asks for no session
        self._seen = 0  # the highest generation that this process ever went by, under any session
        self._clear()

    def _clear(self) -> None:
        self.session_number = 0
        self._nonce = self._luck.getrandbits(NONCE_BITS)
        self.expires_us = 0
        self.settled_generation = 0
        self._ready = False  # a whole table was read
        self._fetch: _Fetch | None = None
        self._sent: dict[int, int] = {}
        self._usable: frozenset[int] = frozenset()
        self._usable_at = (0, 0)  # the generation, and what was settled, that it was worked out for
        self._released = 0  # a session that was given up and has to be taken out of the table
        self.unanswered_heartbeats = 0  # heartbeats since the last answer

    # ------------------------------------------------------------------ what may be used

    def is_valid(self, now_us: int) -> bool:
        """Whether the session is in force by this node's own clock."""
        return bool(self.session_number) and (now_us < self.expires_us or "session" in self._off)

    @property
    def generation(self) -> int:
        """The one this node goes by; 0: none."""
        return self._placement.generation if self._placement is not None and self._ready else 0

    def issue_token(self, shard: int, now_us: int) -> FencingToken | None:
        """With which this node may act for the shard now; None: it may not."""
        if not self.is_valid(now_us) or shard not in self._usable:
            return None
        return FencingToken(self.generation, self.session_number)

    def usable_shards(self, now_us: int) -> frozenset[int]:
        """The shards it may act for now."""
        return self._usable if self.is_valid(now_us) else frozenset()

    def placed_shards(self) -> list[int]:
        """The shards placed on it, also those that it has to wait for."""
        if self._placement is None or not self._ready:
            return []
        return [int(shard) for shard in self._placement.shards_placed_on(self.session_number)]

    def known_sessions(self) -> list[Session]:
        """Everybody in the generation this node goes by."""
        return list(self._placement.sessions.values()) if self._placement is not None and self._ready else []

    def shards_placed_on(self, node: str) -> list[int]:
        """The shards placed on another node, as far as this one knows."""
        number = next((s.number for s in self.known_sessions() if s.name == node), None)
        if self._placement is None or number is None:
            return []
        return [int(shard) for shard in self._placement.shards_placed_on(number)]

    def find_owner(self, shard: int) -> str:
        """Hearsay: the node a shard is placed on; empty where none is known."""
        if self._placement is None or not self._ready or not 0 <= shard < self._region.shards:
            return ""
        session = self._placement.sessions.get(int(self._placement.owner[shard]))
        return session.name if session is not None else ""

    # ------------------------------------------------------------------ what comes in

    def on_renewed(self, now_us: int, told: SessionRenewed) -> None:
        """An answer to a heartbeat, or word of a new generation (number 0)."""
        sent_us = self._sent.pop(told.sequence, None)
        if told.sequence and sent_us is None:
            return
        if sent_us is not None and not self._extended(now_us, sent_us, told):
            return
        if not self.session_number:
            if self._added_by(told):
                self._soon(now_us, self._luck.randrange(ACKNOWLEDGE_US))
            return
        behind = self.generation
        self._take_in(now_us, told)
        self.settled_generation = max(self.settled_generation, told.settled_generation)
        self._use(now_us)
        if self.generation != behind:
            self._soon(now_us, self._luck.randrange(ACKNOWLEDGE_US))
        if sent_us is not None and (self._fetch is not None or self.generation < told.generation):
            self._soon(now_us, 0)
        if told.may_hand_over and self.is_leaving:
            self.release(now_us)

    def _added_by(self, told: SessionRenewed) -> bool:
        """Whether a change adds the session that this node has asked for."""
        return any(session.nonce == self._nonce for change in told.changes for session in change.joined)

    def _extended(self, now_us: int, sent_us: int, told: SessionRenewed) -> bool:
        """Whether the answer is one for this session, which lasts from when it was asked for."""
        self.unanswered_heartbeats = 0
        if not told.session_number:
            return True  # heard of, and waits to be added
        until_us = sent_us + int(self._lease_us * (1 - 2 * DRIFT))
        if not self.session_number:
            if now_us >= until_us:
                return False
            self.session_number = told.session_number
            self._note("began")
        if told.session_number != self.session_number:
            return False
        if not self.is_valid(now_us) and self.expires_us:
            self.end_session(now_us, "lapsed")
            return False
        self.expires_us = max(self.expires_us, until_us)
        return True

    def _take_in(self, now_us: int, told: SessionRenewed) -> None:
        for change in told.changes:
            if self.generation and change.generation == self.generation + 1:
                self._apply(change)
        if told.page_generation > self.generation:
            self._page(told)

    def _apply(self, change: GenerationChange) -> None:
        assert self._placement is not None
        self._placement.apply_change(change)
        self._fetch = None
        self._note_generation()

    def _page(self, told: SessionRenewed) -> None:
        fetch = self._fetch
        if fetch is None or fetch.generation != told.page_generation:
            fetch = self._fetch = _Fetch(told.page_generation)
        if told.page_offset != len(fetch.sessions):
            return
        fetch.sessions += told.sessions
        if told.has_more:
            return
        if self._placement is None:
            self._placement = Placement(self._region.name, self._region.shards)
        self._placement.place_all(fetch.generation, fetch.sessions)
        self._ready, self._fetch = True, None
        self._note_generation()

    def _note_generation(self) -> None:
        self._seen = max(self._seen, self.generation)
        self._note("generation")
        self._act(
            "shards-generation",
            region=self._region.name,
            generation=self.generation,
            session=self.session_number,
            sessions=SessionList(self.known_sessions()),
        )

    def on_rejected(self, now_us: int, told: RenewalRejected) -> None:
        """The assigner knows no such session: nothing is used under it any more."""
        if self._sent.pop(told.sequence, None) is None or told.reason != "over":
            return
        self.unanswered_heartbeats = 0
        if self._released:
            self._released = 0
            self._nonce = self._luck.getrandbits(NONCE_BITS)
            self._soon(now_us, 0)
        elif self.session_number:
            self.end_session(now_us, "over")

    # ------------------------------------------------------------------ what follows from it

    def _use(self, now_us: int) -> None:
        """Works out what may be used, and says so."""
        placement = self._placement
        before = self._usable
        if placement is None or not self._ready:
            return
        settled = placement.generation if "settle" in self._off else self.settled_generation
        if self._usable_at != (placement.generation, settled):
            self._usable_at = placement.generation, settled
            self._usable = frozenset(placement.usable_shards(self.session_number, settled).tolist())
        if self._usable != before:
            self._note("usable")
        self._act(
            "shards",
            region=self._region.name,
            generation=placement.generation,
            session=self.session_number,
            until_us=self.expires_us,
            shards=ShardList(self._usable),
        )

    def _note(self, what: str, why: str = "") -> None:
        self.events.append(SessionEvent(what, self.generation, self.session_number, len(self._usable), why))

    def end_session(self, now_us: int, why: str) -> None:
        """Nothing is used any more; a new session is asked for."""
        self._act("shards-lost", region=self._region.name, session=self.session_number, why=why)
        self._note("lost", why)
        self._clear()
        self._soon(now_us, 0)

    def release(self, now_us: int) -> None:
        """Gives the session up in good order: the assigner may hand its shards on at once."""
        session, nonce = self.session_number, self._nonce
        if not session:
            return
        self.end_session(now_us, "released")
        self._released, self._nonce = session, nonce

    def set_leaving(self, now_us: int, on: bool) -> None:
        """A planned stop: hands over when the assigner lets it, and stays without shards until taken back."""
        self.is_leaving = on
        self._soon(now_us, 0)

    def retry_now(self, now_us: int) -> None:
        """The heartbeat went to one that is not the assigner: it is sent again at once."""
        self._soon(now_us, 0)

    # ------------------------------------------------------------------ time

    def _soon(self, now_us: int, wait_us: int) -> None:
        self._next_us = min(self._next_us, now_us + wait_us)

    @property
    def _waits(self) -> bool:
        """Whether something is placed on it that it may not use yet."""
        if not self.session_number or self._placement is None or not self._ready:
            return bool(self.session_number)
        return len(self._usable) < len(self._placement.shards_placed_on(self.session_number))

    def due_us(self, now_us: int) -> int:
        """When `turn` wants to be called next."""
        if self.is_leaving and not self.session_number and not self._released:
            return now_us + self._lease_us
        return (
            min(self._next_us, self.expires_us) if self.session_number and self.expires_us else self._next_us
        )

    def tick(self, now_us: int) -> RenewSession | None:
        """The next heartbeat, where one is due."""
        if self.session_number and self.expires_us and not self.is_valid(now_us):
            self.end_session(now_us, "lapsed")
        if now_us < self._next_us or (self.is_leaving and not self.session_number and not self._released):
            return None
        self._number += 1
        self._sent[self._number] = now_us
        while len(self._sent) > MOST_SENT:
            del self._sent[next(iter(self._sent))]
        self._next_us = now_us + self._interval_us()
        self.unanswered_heartbeats += 1
        fetch = self._fetch
        return RenewSession(
            self._region.name,
            self._digest,
            self._number,
            self._released or self.session_number,
            self._nonce,
            self.generation,
            fetch.generation if fetch is not None else 0,
            len(fetch.sessions) if fetch is not None else 0,
            self.is_leaving,
            bool(self._released),
            self._seen,
        )

    def _interval_us(self) -> int:
        interval_us = self._lease_us // RENEWALS
        if self._released or self._waits or self.unanswered_heartbeats > 1:
            return min(interval_us, EAGER_US)
        return int(interval_us * self._luck.uniform(0.9, 1.0))
