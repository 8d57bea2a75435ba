"""Permits limit how much may be out of service at a time: nodes that drain, form servers taken out by staff.

The owner of the task `permits` is their coordinator. Each permit is a lease of its own, which its holder
renews. Nothing is stored: holders and those that wait repeat their requests. A new coordinator therefore only
listens at first, for as long as a permit of its predecessor may last; what nobody claims by then is in use by
nobody, since its holder's own clock has ended it before.

Pure: requests and the time (microseconds of one monotonic clock) come in, answers go out.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sailrun.leadership.messages import PermitRequest, PermitResponse
from sailrun.leadership.settings import DRIFT, PermitSettings

SECOND = 1_000_000
PERMITS_TASK = "permits"
DRAIN, OUT_OF_SERVICE = "drain", "out"
# A holder, or one that waits, says so this many times within a permit's lease, and at least once a second.
RENEWALS_PER_LEASE = 6
MAX_QUEUE_ENTRIES = 10_000
# More questions at once than this are left for the next turn.
MAX_REQUESTS_PER_TURN = 64
Key = tuple[str, str]


@dataclass(slots=True)
class _GrantedPermit:
    """A permit in use; several nodes may hold the one for a form server, each having it out."""

    expiry_by_holder: dict[str, tuple[int, int]] = field(
        default_factory=dict
    )  # by name: its life, and until when


@dataclass(slots=True)
class _QueueEntry:
    position: tuple[int, int]
    expires_us: int


class PermitCoordinator:
    """The owner's side: limits, grants and the queue. Made anew at each term; closed until `open_us`."""

    def __init__(
        self, terms: PermitSettings, term: int, now_us: int, off: frozenset[str] = frozenset()
    ) -> None:
        self._settings, self.term = terms, term
        self._lease_us = int(terms.lease_s * SECOND)
        self.opens_us = now_us + (0 if "grace" in off else int(self._lease_us * (1 + 3 * DRIFT)))
        self._in_use: dict[Key, _GrantedPermit] = {}
        self._queue: dict[tuple[Key, str], _QueueEntry] = {}  # by what, and who
        self._count = 0

    def update_settings(self, terms: PermitSettings) -> None:
        """Other limits from now on; what is in use above them stays until it is given back."""
        self._settings = terms

    def limit_of(self, kind: str) -> int:
        return {DRAIN: self._settings.drains, OUT_OF_SERVICE: self._settings.out}.get(kind, 0)

    def on_request(self, now_us: int, sender: str, life: int, want: PermitRequest) -> PermitResponse:
        """Answers one question; the same question again gets the same answer."""
        key = (want.kind, want.subject)
        self._drop_expired(now_us)
        if want.state == "back":
            self._queue.pop((key, sender), None)
            entry = self._in_use.get(key)
            if entry is not None:
                entry.expiry_by_holder.pop(sender, None)
                if not entry.expiry_by_holder:
                    del self._in_use[key]
            return PermitResponse(*key, False, (0, 0), 0, "back")
        if not self.limit_of(want.kind):
            return PermitResponse(*key, False, (0, 0), 0, f"no permits of the kind {want.kind}")
        entry = self._in_use.get(key)
        held = (
            entry is not None
            and sender in entry.expiry_by_holder
            and entry.expiry_by_holder[sender][0] == life
        )
        claims = want.state == "held"
        if claims and not held and now_us < self.opens_us:
            held = True  # given by the owner before: it is in use, however many there are
        place = self._enqueue(now_us, key, sender, want.queue_position)
        if place is None:
            return PermitResponse(*key, False, (0, 0), 0, f"{MAX_QUEUE_ENTRIES} wait already")
        ahead = self._count_ahead(key, place)
        free = entry is not None or (
            now_us >= self.opens_us and self.count_in_use(want.kind) + ahead < self.limit_of(want.kind)
        )
        if not held and not free:
            why = self._denial_reason(now_us, want.kind)
            return PermitResponse(*key, False, place, ahead, why)
        self._queue.pop((key, sender), None)
        entry = self._in_use.setdefault(key, _GrantedPermit())
        # A life that came back has the permit of the one before: they are not two.
        entry.expiry_by_holder[sender] = (life, now_us + self._lease_us)
        return PermitResponse(*key, True, place, 0)

    def _enqueue(self, now_us: int, key: Key, sender: str, place: tuple[int, int]) -> tuple[int, int] | None:
        """The place in the queue: what a former owner gave still counts, before all that came later."""
        waiting = self._queue.get((key, sender))
        if waiting is None:
            if len(self._queue) >= MAX_QUEUE_ENTRIES:
                return None
            if place == (0, 0):
                self._count += 1
                place = (self.term, self._count)
            waiting = self._queue[(key, sender)] = _QueueEntry(place, 0)
        waiting.expires_us = now_us + self._lease_us
        return waiting.position

    def _count_ahead(self, key: Key, place: tuple[int, int]) -> int:
        """Other things of the kind that wait with an earlier place."""
        before = {
            k for (k, _), w in self._queue.items() if k[0] == key[0] and k != key and w.position < place
        }
        return len(before - self._in_use.keys())

    def _denial_reason(self, now_us: int, kind: str) -> str:
        if now_us < self.opens_us:
            return f"a new owner listens for {(self.opens_us - now_us) / SECOND:.1f} s more"
        used = sorted(subject for k, subject in self._in_use if k == kind)
        return f"{len(used)} of {self.limit_of(kind)} in use: {', '.join(used[:5])}"

    def count_in_use(self, kind: str) -> int:
        return sum(1 for k, _ in self._in_use if k == kind)

    def _drop_expired(self, now_us: int) -> None:
        for key, entry in list(self._in_use.items()):
            for name, (_, until_us) in list(entry.expiry_by_holder.items()):
                if now_us >= until_us:
                    del entry.expiry_by_holder[name]
            if not entry.expiry_by_holder:
                del self._in_use[key]
        for waiting, told in list(self._queue.items()):
            if now_us >= told.expires_us:
                del self._queue[waiting]

    def rows(self, now_us: int) -> list[dict[str, object]]:
        """Who holds what and who waits, for staff."""
        self._drop_expired(now_us)
        rows: list[dict[str, object]] = [
            {
                "kind": kind,
                "subject": subject,
                "holder": name,
                "state": "held",
                "ends_in_s": _s(until - now_us),
            }
            for (kind, subject), entry in sorted(self._in_use.items())
            for name, (_, until) in sorted(entry.expiry_by_holder.items())
        ]
        waiting = sorted(self._queue.items(), key=lambda item: item[1].position)
        return rows + [
            {"kind": key[0], "subject": key[1], "holder": name, "state": "waiting", "ends_in_s": None}
            for (key, name), _ in waiting
        ]


def _s(us: int) -> float:
    return round(us / SECOND, 3)


@dataclass(slots=True)
class PermitState:
    """What one node wants or holds."""

    kind: str
    subject: str
    state: str = "want"  # want, held, back
    queue_position: tuple[int, int] = (0, 0)
    expires_us: int = 0  # held until then
    next_request_us: int = 0  # when to ask again
    reason: str = "not asked yet"
    requests_ahead: int = 0
    release_until_us: int = 0  # a permit given back is said so until answered, or until it has ended anyway


@dataclass(frozen=True, slots=True)
class PermitChange:
    """A permit is this node's, or is not any more."""

    kind: str
    subject: str
    is_held: bool
    reason: str = ""


class PermitHolder:
    """The client's side: what this node wants and holds, and until when by its own clock."""

    def __init__(self, terms: PermitSettings) -> None:
        self._settings = terms
        self._lease_us = int(terms.lease_s * SECOND)
        self.permits: dict[Key, PermitState] = {}
        self.changes: list[PermitChange] = []  # the driver reads and empties it

    @property
    def request_interval_us(self) -> int:
        return min(SECOND, self._lease_us // RENEWALS_PER_LEASE)

    def request(self, kind: str, subject: str) -> PermitState:
        key = (kind, subject)
        wanted = self.permits.get(key)
        if wanted is None or wanted.state == "back":
            wanted = self.permits[key] = PermitState(kind, subject)
        return wanted

    def release(self, now_us: int, kind: str, subject: str) -> None:
        wanted = self.permits.get((kind, subject))
        if wanted is None or wanted.state == "back":
            return
        if wanted.state == "held":
            self.changes.append(PermitChange(kind, subject, False, "given back"))
        wanted.state, wanted.next_request_us, wanted.expires_us = "back", now_us, 0
        wanted.release_until_us = now_us + self._lease_us

    def is_held(self, kind: str, subject: str, now_us: int) -> bool:
        wanted = self.permits.get((kind, subject))
        return wanted is not None and wanted.state == "held" and now_us < wanted.expires_us

    def due_us(self, now_us: int) -> int:
        """When `turn` wants to be called next."""
        due_us = now_us + SECOND
        for wanted in self.permits.values():
            due_us = min(due_us, wanted.next_request_us, wanted.expires_us or due_us)
        return due_us

    def turn(self, now_us: int) -> list[PermitRequest]:
        """What is to be asked of the owner now."""
        wants: list[PermitRequest] = []
        for key, wanted in list(self.permits.items()):
            if wanted.state == "held" and now_us >= wanted.expires_us:
                # The coordinator counts it as free from now on: it is used no longer, and asked for anew.
                wanted.state, wanted.expires_us = "want", 0
                self.changes.append(PermitChange(*key, False, "lapsed: its owner was not heard of in time"))
            if wanted.state == "back" and now_us >= wanted.release_until_us:
                del self.permits[key]
                continue
            if now_us >= wanted.next_request_us and len(wants) < MAX_REQUESTS_PER_TURN:
                wanted.next_request_us = now_us + self.request_interval_us
                wants.append(PermitRequest(*key, wanted.state, wanted.queue_position))
        return wants

    def on_response(self, now_us: int, sent_us: int, asked: PermitRequest, say: PermitResponse) -> None:
        """The owner's answer to what was asked at `sent_us`."""
        key = (say.kind, say.subject)
        wanted = self.permits.get(key)
        if wanted is None or (asked.kind, asked.subject) != key:
            return
        if wanted.state == "back":
            if asked.state == "back":
                del self.permits[key]
            return
        if asked.state == "back":
            return
        wanted.queue_position, wanted.requests_ahead, wanted.reason = (
            say.queue_position,
            say.requests_ahead,
            say.reason,
        )
        until_us = sent_us + int(self._lease_us * (1 - 2 * DRIFT))
        if say.is_granted and now_us < until_us:
            if wanted.state != "held":
                self.changes.append(PermitChange(*key, True))
            wanted.state, wanted.expires_us = "held", max(wanted.expires_us, until_us)
        elif not say.is_granted and wanted.state == "held" and asked.state == "held":
            # Its owner knows nothing of it: it has ended there.
            wanted.state, wanted.expires_us = "want", 0
            self.changes.append(PermitChange(*key, False, say.reason or "not known to its owner"))
