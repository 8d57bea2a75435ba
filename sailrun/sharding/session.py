"""A node's session: its heartbeats to the region's assigner, and the shards that it may use. Pure.

The node measures its lease on its own clock from the sending of the heartbeat that was answered, and uses no
shard after the lease has ended. It uses a shard only while the shard is placed on this session in every
generation from the settled one to the latest that this node knows, not counting sessions that have ended.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from sailrun.leadership.settings import DRIFT
from sailrun.sharding.log_events import SessionEvent, SessionEventKind
from sailrun.sharding.messages import (
    FencingToken,
    RenewalRejected,
    RenewSession,
    Session,
    SessionRenewed,
)
from sailrun.sharding.placement_replica import PlacementReplica
from sailrun.sharding.record_formats import SessionList, ShardList
from sailrun.sharding.settings import RENEWALS_PER_LEASE, RegionSettings, ShardingSettings

SECOND_US = 1_000_000
# Number of the latest heartbeats whose answers are accepted; answers to older ones are ignored.
MAX_PENDING_HEARTBEATS = 16
# The heartbeat interval while the node waits for other nodes to apply a generation, or for an answer.
WAITING_INTERVAL_US = 250_000
# A new generation is acknowledged after a random delay below this, so that nodes do not all do so at once.
ACKNOWLEDGE_SPREAD_US = 150_000
NONCE_BITS = 62


class NodeSession:
    """The successive sessions of this process. `events` are for the log; the driver has to empty them."""

    def __init__(
        self,
        region: RegionSettings,
        settings: ShardingSettings,
        seed: int,
        now_us: int,
        disabled_rules: frozenset[str] = frozenset(),
        record: Callable[..., None] = lambda kind, **fields: None,
    ) -> None:
        """`record` receives the shards in use and the end of the lease, for the laboratory's checks.
        `disabled_rules` are safety rules that the laboratory switches off.
        """
        self.events: list[SessionEvent] = []
        self.is_leaving = False  # a planned stop: requests a handover and no new session
        self._region = region
        self._disabled_rules = disabled_rules
        self._record = record
        self._settings_digest = settings.digest(region.name)
        self._random = random.Random(seed)
        self._lease_us = int(settings.lease_s * SECOND_US)
        self._replica = PlacementReplica(region, self._on_generation)
        self._sequence = 0
        self._next_heartbeat_us = now_us
        self._highest_generation = 0  # the highest that this process ever applied, under any session
        self._reset()

    def _reset(self) -> None:
        self.session_number = 0  # 0: none
        self.expires_us = 0
        self.settled_generation = 0
        self.unanswered_heartbeats = 0  # since the last answer
        self._nonce = self._random.getrandbits(NONCE_BITS)
        self._sent_us: dict[int, int] = {}  # by sequence number of the heartbeat
        self._released_session = 0  # a released session that the assigner has not confirmed yet; 0: none
        self._replica.reset()

    # ------------------------------------------------------------------ queries

    def is_valid(self, now_us: int) -> bool:
        """Whether the session is in force by this node's own clock."""
        return bool(self.session_number) and (now_us < self.expires_us or "session" in self._disabled_rules)

    @property
    def generation(self) -> int:
        """The generation that this node applies; 0: none."""
        return self._replica.generation

    def issue_token(self, shard: int, now_us: int) -> FencingToken | None:
        """The token for acts of this node for the shard now; None if it may not act."""
        if not self.is_valid(now_us) or shard not in self._replica.usable:
            return None
        return FencingToken(self.generation, self.session_number)

    def usable_shards(self, now_us: int) -> frozenset[int]:
        """The shards that this node may act for now."""
        return self._replica.usable if self.is_valid(now_us) else frozenset()

    def placed_shards(self) -> list[int]:
        """The shards placed on this node, including those that it may not use yet."""
        return self._replica.shards_of_session(self.session_number)

    def known_sessions(self) -> list[Session]:
        """All sessions of the generation that this node applies."""
        return self._replica.sessions()

    def shards_placed_on(self, node: str) -> list[int]:
        """The shards placed on a node in the generation that this node applies."""
        return self._replica.shards_of_node(node)

    def find_owner(self, shard: int) -> str:
        """The node that a shard is placed on; empty if it is unknown."""
        return self._replica.find_owner(shard)

    # ------------------------------------------------------------------ answers

    def on_renewed(self, now_us: int, answer: SessionRenewed) -> None:
        """Processes the answer to a heartbeat, or a notice of a new generation (sequence number 0)."""
        sent_us = self._sent_us.pop(answer.sequence, None)
        if answer.sequence and sent_us is None:
            return
        if sent_us is not None and not self._renew_lease(now_us, sent_us, answer):
            return
        if not self.session_number:
            if self._is_added_by(answer):
                self._schedule_acknowledgement(now_us)
            return
        generation_before = self.generation
        self._replica.update(answer)
        self.settled_generation = max(self.settled_generation, answer.settled_generation)
        self._update_usable()
        if self.generation != generation_before:
            self._schedule_acknowledgement(now_us)
        is_behind = self._replica.fetch is not None or self.generation < answer.generation
        if sent_us is not None and is_behind:
            self._schedule(now_us, 0)
        if answer.may_hand_over and self.is_leaving:
            self.release(now_us)

    def _is_added_by(self, answer: SessionRenewed) -> bool:
        """Whether a change adds the session that this node has requested."""
        return any(session.nonce == self._nonce for change in answer.changes for session in change.joined)

    def _renew_lease(self, now_us: int, sent_us: int, answer: SessionRenewed) -> bool:
        """Renews the lease, counted from the sending of the heartbeat. False if the answer has to be
        ignored.
        """
        self.unanswered_heartbeats = 0
        if not answer.session_number:
            return True  # the assigner has received the request but has not added the session yet
        expires_us = sent_us + int(self._lease_us * (1 - 2 * DRIFT))
        if not self.session_number:
            if now_us >= expires_us:
                return False
            self.session_number = answer.session_number
            self._add_event(SessionEventKind.BEGAN)
        if answer.session_number != self.session_number:
            return False
        if not self.is_valid(now_us) and self.expires_us:
            self.end_session(now_us, "lapsed")
            return False
        self.expires_us = max(self.expires_us, expires_us)
        return True

    def on_rejected(self, now_us: int, answer: RenewalRejected) -> None:
        """Ends the session that the assigner does not know, or completes the release of one."""
        if self._sent_us.pop(answer.sequence, None) is None or answer.reason != "over":
            return
        self.unanswered_heartbeats = 0
        if self._released_session:
            self._released_session = 0
            self._nonce = self._random.getrandbits(NONCE_BITS)
            self._schedule(now_us, 0)
        elif self.session_number:
            self.end_session(now_us, "over")

    # ------------------------------------------------------------------ effects

    def _on_generation(self) -> None:
        self._highest_generation = max(self._highest_generation, self.generation)
        self._add_event(SessionEventKind.GENERATION)
        self._record(
            "shards-generation",
            region=self._region.name,
            generation=self.generation,
            session=self.session_number,
            sessions=SessionList(self.known_sessions()),
        )

    def _update_usable(self) -> None:
        """Computes the shards that may be used, and records them."""
        if not self._replica.is_complete:
            return
        usable_before = self._replica.usable
        settled = self.generation if "settle" in self._disabled_rules else self.settled_generation
        usable = self._replica.compute_usable(self.session_number, settled)
        if usable != usable_before:
            self._add_event(SessionEventKind.USABLE)
        self._record(
            "shards",
            region=self._region.name,
            generation=self.generation,
            session=self.session_number,
            until_us=self.expires_us,
            shards=ShardList(usable),
        )

    def _add_event(self, kind: SessionEventKind, reason: str = "") -> None:
        shard_count = len(self._replica.usable)
        self.events.append(SessionEvent(kind, self.generation, self.session_number, shard_count, reason))

    def end_session(self, now_us: int, reason: str) -> None:
        """Ends the session: no shard is used any more, and a new session is requested."""
        self._record("shards-lost", region=self._region.name, session=self.session_number, why=reason)
        self._add_event(SessionEventKind.LOST, reason)
        self._reset()
        self._schedule(now_us, 0)

    def release(self, now_us: int) -> None:
        """Releases the session, so that the assigner can end it at once and its shards move to others."""
        session_number, nonce = self.session_number, self._nonce
        if not session_number:
            return
        self.end_session(now_us, "released")
        self._released_session = session_number
        self._nonce = nonce

    def set_leaving(self, now_us: int, is_leaving: bool) -> None:
        """Starts or cancels a planned stop: the node hands over when the assigner permits it, and has no
        shards until the stop is cancelled.
        """
        self.is_leaving = is_leaving
        self._schedule(now_us, 0)

    def retry_now(self, now_us: int) -> None:
        """Makes the next heartbeat due at once, because the last one did not go to the assigner."""
        self._schedule(now_us, 0)

    # ------------------------------------------------------------------ time

    def _schedule(self, now_us: int, wait_us: int) -> None:
        self._next_heartbeat_us = min(self._next_heartbeat_us, now_us + wait_us)

    def _schedule_acknowledgement(self, now_us: int) -> None:
        self._schedule(now_us, self._random.randrange(ACKNOWLEDGE_SPREAD_US))

    @property
    def _is_waiting(self) -> bool:
        """Whether the session has no complete table yet, or shards that it may not use yet."""
        if not self.session_number or not self._replica.is_complete:
            return bool(self.session_number)
        return len(self._replica.usable) < len(self.placed_shards())

    @property
    def _has_stopped(self) -> bool:
        """Whether a planned stop is complete, so that no heartbeat is needed."""
        return self.is_leaving and not self.session_number and not self._released_session

    def due_us(self, now_us: int) -> int:
        """The time at which `tick` has to be called next."""
        if self._has_stopped:
            return now_us + self._lease_us
        if self.session_number and self.expires_us:
            return min(self._next_heartbeat_us, self.expires_us)
        return self._next_heartbeat_us

    def tick(self, now_us: int) -> RenewSession | None:
        """Ends a session that has expired; returns the next heartbeat if one is due."""
        if self.session_number and self.expires_us and not self.is_valid(now_us):
            self.end_session(now_us, "lapsed")
        if now_us < self._next_heartbeat_us or self._has_stopped:
            return None
        self._sequence += 1
        self._sent_us[self._sequence] = now_us
        while len(self._sent_us) > MAX_PENDING_HEARTBEATS:
            del self._sent_us[next(iter(self._sent_us))]
        self._next_heartbeat_us = now_us + self._interval_us()
        self.unanswered_heartbeats += 1
        return self._build_heartbeat()

    def _build_heartbeat(self) -> RenewSession:
        fetch = self._replica.fetch
        return RenewSession(
            self._region.name,
            self._settings_digest,
            self._sequence,
            self._released_session or self.session_number,
            self._nonce,
            self.generation,
            fetched_generation=fetch.generation if fetch is not None else 0,
            fetched_count=len(fetch.sessions) if fetch is not None else 0,
            is_leaving=self.is_leaving,
            is_released=bool(self._released_session),
            highest_generation=self._highest_generation,
        )

    def _interval_us(self) -> int:
        interval_us = self._lease_us // RENEWALS_PER_LEASE
        if self._released_session or self._is_waiting or self.unanswered_heartbeats > 1:
            return min(interval_us, WAITING_INTERVAL_US)
        return int(interval_us * self._random.uniform(0.9, 1.0))
