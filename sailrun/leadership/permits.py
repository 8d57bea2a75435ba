"""Permits limit how many nodes drain, and how many form servers operators take out of service, at a time.

The leader of the task `permits` is their coordinator. Each permit is a lease of its own, which its holder
renews. The coordinator stores nothing on disk: holders and waiting nodes repeat their requests. A new
coordinator therefore grants nothing new for as long as a permit of its predecessor may last. A permit that no
node claims by then is not in use, since it has expired by its holder's own clock.

This module does no I/O: it takes requests and the time (microseconds of one monotonic clock) and returns
responses.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sailrun.leadership.messages import PermitRequest, PermitResponse
from sailrun.leadership.settings import DRIFT, PermitSettings

SECOND = 1_000_000
PERMITS_TASK = "permits"
DRAIN, OUT_OF_SERVICE = "drain", "out"
# Requests are repeated this many times within a permit's lease, and at least once a second.
RENEWALS_PER_LEASE = 6
# The limit of requests that wait at the coordinator; further ones are denied.
MAX_QUEUE_ENTRIES = 10_000
# Requests in excess of this number are left for the next tick.
MAX_REQUESTS_PER_TURN = 64
# The kind and the subject of a permit.
Key = tuple[str, str]


@dataclass(slots=True)
class _GrantedPermit:
    """A permit in use. Several nodes may hold the permit for one form server, each of which has taken it out
    of service.
    """

    # By name of the holder: its process number, and the expiry.
    expiry_by_holder: dict[str, tuple[int, int]] = field(default_factory=dict)


@dataclass(slots=True)
class _QueueEntry:
    position: tuple[int, int]  # the term of the leader that assigned it, and a number within the term
    expires_us: int


class PermitCoordinator:
    """The leader's side: limits, grants and the queue. Each term has a new instance, which makes no new
    grants until `opens_us`.
    """

    def __init__(
        self, settings: PermitSettings, term: int, now_us: int, disabled_rules: frozenset[str] = frozenset()
    ) -> None:
        self._settings, self.term = settings, term
        self._lease_us = int(settings.lease_s * SECOND)
        self.opens_us = now_us + (0 if "grace" in disabled_rules else int(self._lease_us * (1 + 3 * DRIFT)))
        self._in_use: dict[Key, _GrantedPermit] = {}
        self._queue: dict[tuple[Key, str], _QueueEntry] = {}  # by permit and requester
        self._count = 0

    def update_settings(self, settings: PermitSettings) -> None:
        """Applies new limits; permits in use above them stay valid until they are released."""
        self._settings = settings

    def limit_of(self, kind: str) -> int:
        """Returns how many permits of a kind may be in use at a time; 0: there is no such kind."""
        return {DRAIN: self._settings.drains, OUT_OF_SERVICE: self._settings.out}.get(kind, 0)

    def on_request(
        self, now_us: int, sender: str, process_number: int, request: PermitRequest
    ) -> PermitResponse:
        """Answers a request; a repeated request gets the same answer as long as nothing has changed."""
        key = (request.kind, request.subject)
        self._drop_expired(now_us)
        if request.state == "back":
            self._queue.pop((key, sender), None)
            granted = self._in_use.get(key)
            if granted is not None:
                granted.expiry_by_holder.pop(sender, None)
                if not granted.expiry_by_holder:
                    del self._in_use[key]
            return PermitResponse(*key, False, (0, 0), 0, "back")
        if not self.limit_of(request.kind):
            return PermitResponse(*key, False, (0, 0), 0, f"no permits of the kind {request.kind}")
        granted = self._in_use.get(key)
        is_held = (
            granted is not None
            and sender in granted.expiry_by_holder
            and granted.expiry_by_holder[sender][0] == process_number
        )
        is_claim = request.state == "held"
        if is_claim and not is_held and now_us < self.opens_us:
            is_held = True  # granted by the previous leader: it is in use even above the limit
        position = self._enqueue(now_us, key, sender, request.queue_position)
        if position is None:
            return PermitResponse(*key, False, (0, 0), 0, f"{MAX_QUEUE_ENTRIES} wait already")
        ahead = self._count_ahead(key, position)
        is_free = granted is not None or (
            now_us >= self.opens_us and self.count_in_use(request.kind) + ahead < self.limit_of(request.kind)
        )
        if not is_held and not is_free:
            reason = self._denial_reason(now_us, request.kind)
            return PermitResponse(*key, False, position, ahead, reason)
        self._queue.pop((key, sender), None)
        granted = self._in_use.setdefault(key, _GrantedPermit())
        # A restarted process takes over the permit of the previous one: they count as one holder.
        granted.expiry_by_holder[sender] = (process_number, now_us + self._lease_us)
        return PermitResponse(*key, True, position, 0)

    def _enqueue(
        self, now_us: int, key: Key, sender: str, position: tuple[int, int]
    ) -> tuple[int, int] | None:
        """Queues a request, and returns its position; None: the queue is full. A position that a previous
        leader assigned stays valid and precedes all later ones.
        """
        waiting = self._queue.get((key, sender))
        if waiting is None:
            if len(self._queue) >= MAX_QUEUE_ENTRIES:
                return None
            if position == (0, 0):
                self._count += 1
                position = (self.term, self._count)
            waiting = self._queue[(key, sender)] = _QueueEntry(position, 0)
        waiting.expires_us = now_us + self._lease_us
        return waiting.position

    def _count_ahead(self, key: Key, position: tuple[int, int]) -> int:
        """Counts the other permits of the kind that wait at an earlier position."""
        earlier = {
            permit_key
            for (permit_key, _), entry in self._queue.items()
            if permit_key[0] == key[0] and permit_key != key and entry.position < position
        }
        return len(earlier - self._in_use.keys())

    def _denial_reason(self, now_us: int, kind: str) -> str:
        if now_us < self.opens_us:
            return f"a new owner listens for {(self.opens_us - now_us) / SECOND:.1f} s more"
        used = sorted(subject for k, subject in self._in_use if k == kind)
        return f"{len(used)} of {self.limit_of(kind)} in use: {', '.join(used[:5])}"

    def count_in_use(self, kind: str) -> int:
        """Returns how many permits of a kind are in use."""
        return sum(1 for k, _ in self._in_use if k == kind)

    def _drop_expired(self, now_us: int) -> None:
        for key, granted in list(self._in_use.items()):
            for name, (_, expires_us) in list(granted.expiry_by_holder.items()):
                if now_us >= expires_us:
                    del granted.expiry_by_holder[name]
            if not granted.expiry_by_holder:
                del self._in_use[key]
        for key_and_name, waiting in list(self._queue.items()):
            if now_us >= waiting.expires_us:
                del self._queue[key_and_name]

    def rows(self, now_us: int) -> list[dict[str, object]]:
        """Returns the held and the waiting permits as rows for operators."""
        self._drop_expired(now_us)
        rows: list[dict[str, object]] = [
            {
                "kind": kind,
                "subject": subject,
                "holder": name,
                "state": "held",
                "ends_in_s": _seconds(expires_us - now_us),
            }
            for (kind, subject), granted in sorted(self._in_use.items())
            for name, (_, expires_us) in sorted(granted.expiry_by_holder.items())
        ]
        waiting = sorted(self._queue.items(), key=lambda item: item[1].position)
        return rows + [
            {"kind": key[0], "subject": key[1], "holder": name, "state": "waiting", "ends_in_s": None}
            for (key, name), _ in waiting
        ]


def _seconds(us: int) -> float:
    return round(us / SECOND, 3)


@dataclass(slots=True)
class PermitState:
    """A permit that one node requests, holds or releases."""

    kind: str
    subject: str
    state: str = "want"  # as in `PermitRequest`
    queue_position: tuple[int, int] = (0, 0)
    expires_us: int = 0  # when the held permit expires
    next_request_us: int = 0  # when to send the next request
    reason: str = "not asked yet"
    requests_ahead: int = 0
    release_until_us: int = 0  # a release is repeated until it is answered, or the permit expires here


@dataclass(frozen=True, slots=True)
class PermitChange:
    """This node acquired or lost a permit."""

    kind: str
    subject: str
    is_held: bool
    reason: str = ""


class PermitHolder:
    """The client's side: the permits that this node requests and holds, and their expiry by its own clock."""

    def __init__(self, settings: PermitSettings) -> None:
        self._settings = settings
        self._lease_us = int(settings.lease_s * SECOND)
        self.permits: dict[Key, PermitState] = {}
        self.changes: list[PermitChange] = []  # the driver reads and clears it

    @property
    def request_interval_us(self) -> int:
        """The interval at which a permit is requested or renewed."""
        return min(SECOND, self._lease_us // RENEWALS_PER_LEASE)

    def request(self, kind: str, subject: str) -> PermitState:
        """Starts requesting a permit, unless it is already requested or held."""
        key = (kind, subject)
        permit = self.permits.get(key)
        if permit is None or permit.state == "back":
            permit = self.permits[key] = PermitState(kind, subject)
        return permit

    def release(self, now_us: int, kind: str, subject: str) -> None:
        """Releases a permit, or stops requesting it; the leader is notified."""
        permit = self.permits.get((kind, subject))
        if permit is None or permit.state == "back":
            return
        if permit.state == "held":
            self.changes.append(PermitChange(kind, subject, False, "given back"))
        permit.state, permit.next_request_us, permit.expires_us = "back", now_us, 0
        permit.release_until_us = now_us + self._lease_us

    def is_held(self, kind: str, subject: str, now_us: int) -> bool:
        """Whether this node may use the permit now."""
        permit = self.permits.get((kind, subject))
        return permit is not None and permit.state == "held" and now_us < permit.expires_us

    def due_us(self, now_us: int) -> int:
        """Returns when `tick` has to be called next."""
        due_us = now_us + SECOND
        for permit in self.permits.values():
            due_us = min(due_us, permit.next_request_us, permit.expires_us or due_us)
        return due_us

    def tick(self, now_us: int) -> list[PermitRequest]:
        """Ends expired permits, and returns the requests to the leader that are due now."""
        requests: list[PermitRequest] = []
        for key, permit in list(self.permits.items()):
            if permit.state == "held" and now_us >= permit.expires_us:
                # The coordinator may grant it to another node from now on, so it is requested again.
                permit.state, permit.expires_us = "want", 0
                self.changes.append(PermitChange(*key, False, "lapsed: its owner was not heard of in time"))
            if permit.state == "back" and now_us >= permit.release_until_us:
                del self.permits[key]
                continue
            if now_us >= permit.next_request_us and len(requests) < MAX_REQUESTS_PER_TURN:
                permit.next_request_us = now_us + self.request_interval_us
                requests.append(PermitRequest(*key, permit.state, permit.queue_position))
        return requests

    def on_response(
        self, now_us: int, sent_us: int, request: PermitRequest, response: PermitResponse
    ) -> None:
        """Handles the leader's response to a request sent at `sent_us`."""
        key = (response.kind, response.subject)
        permit = self.permits.get(key)
        if permit is None or (request.kind, request.subject) != key:
            return
        if permit.state == "back":
            if request.state == "back":
                del self.permits[key]
            return
        if request.state == "back":
            return
        permit.queue_position, permit.requests_ahead, permit.reason = (
            response.queue_position,
            response.requests_ahead,
            response.reason,
        )
        expires_us = sent_us + int(self._lease_us * (1 - 2 * DRIFT))
        if response.is_granted and now_us < expires_us:
            if permit.state != "held":
                self.changes.append(PermitChange(*key, True))
            permit.state, permit.expires_us = "held", max(permit.expires_us, expires_us)
        elif not response.is_granted and permit.state == "held" and request.state == "held":
            # The permit has expired at the leader.
            permit.state, permit.expires_us = "want", 0
            self.changes.append(PermitChange(*key, False, response.reason or "not known to its owner"))
