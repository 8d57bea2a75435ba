"""The decisions of a balancer for long-lived connections. Its interface: sailrun/decisions/events.py.

Rank by score, take the first backend that admits. A score is the product of two 32-bit MurmurHash3
values, one of the backend id and one of the key, cut to 32 bits; the higher score wins, ties go to
the lower id. Every gate below is a named exception to that, and says when it acts."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from itertools import islice, takewhile
from random import Random

from sailrun.decisions import snapshot as recollection
from sailrun.decisions.actions import (
    Action,
    DenialReason,
    FailRequest,
    LogMessage,
    MoveConnection,
    MoveReason,
    RejectRequest,
    SetTimer,
    SlowStartChanged,
    SlowStartReason,
    StartAttempt,
    Subscribe,
)
from sailrun.decisions.endpoints import LIMIT_US, NOTE_US, TrackedBackend, TrackedRequest
from sailrun.decisions.events import (
    AttemptEnded,
    AttemptNotice,
    AttemptOutcome,
    Backend,
    BackendListUpdate,
    BackendState,
    ClientLeft,
    ConnectionOpened,
    ConnectionResumed,
    Event,
    FleetLoad,
    ListKind,
    LocalLoad,
    NoticeKind,
    OperatorOverride,
    RequestArrived,
    StateSnapshot,
    TimerFired,
)
from sailrun.decisions.placement import MASK, Ranking, key_hash
from sailrun.decisions.settings import DedupScope, DiscoveryMode, Effect, Settings
from sailrun.decisions.slow_start import SlowStart
from sailrun.decisions.start_times import StartDates
from sailrun.decisions.validation import check_settings

SECOND = 1_000_000

PUMP, FOLLOW = 1, 2  # the tokens of the instance's timers
# Held requests are looked at again this often: well under any set-up objective, well over a tick.
PUMP_US, PUMP_MISSES = 50_000, 4
# Calls for the list: one of all relays in so long, fewer after failures; each in this share of its time.
ASK_US, ASK_SHARE = 100_000, 0.75
# Outlier ejection: the first stay away, the longest; with more of the list away, its own link is at fault.
EJECT_US, EJECT_MAX_US, EJECT_SHARE = 1 * SECOND, 8 * SECOND, 0.7
# How far down a key's order of scores to look. A heavy group spreads so that each of its backends gets
# about so many fair loads of it. A class's mean load rests on about so many of its latest notes.
DEPTH, SPREAD, CLASS_NOTES = 24, 0.7, 200
# What breaks within so long broke for one reason.
BURST_US = 1 * SECOND
# What a set-up usually takes: the lower quarter of so many latest ones, once there are a few.
LATEST_TOOK, FEW_TOOK = 64, 8
# Bounded loads: the multiple of the fair share, its roots, connections.
BOUND, BOUND_ROOT, BOUND_MORE = 1.15, 1.0, 1.0
# What the slowest core does of the work that connections are told to ask for, in us a second.
CORE_US = 800_000.0
# Of its sure share, what a backend in slow start holds while so many relays are heard of.
BOLD, MANY = 1.6, 16
# A crowded backend's limit: the share that one cut leaves of it; its growth a second.
LIMIT_CUT, LIMIT_GROWTH = 0.85, 0.1
# From this multiple of the shortest aim on, this share moves a second; at a drain, all by this of the grace.
MOVE_AT, MOVE_SHARE, MOVE_BY = 1.0, 0.2, 0.9
# The pace: how often it falls, its fall, least, growth; the usual rate's time, the multiple that frees it.
PACE_US, PACE_CUT, PACE_MIN, PACE_GROWTH, USUAL_US, PACE_FREE = 250_000, 0.6, 1.0, 0.6, 10 * SECOND, 20.0
# Errors mean congestion while set-ups take this share of the wanted time, or where most of them fail; so
# many in a row, at a few backends only, are theirs; the first wait after one, doubled at each further one.
SLOW, ERRORS, ERROR_WAIT_US = 0.25, 3, 200_000
PATIENCE = 8.0  # an attempt is given up after the objective or so many times what set-ups take, if longer
NEVER_RAN = (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)


class Balancer:
    """One relay's decisions. Pure: time comes with each event, chance from the seed."""

    def __init__(self, settings: Settings, seed: int, now_us: int) -> None:
        check_settings(settings)
        self._set, self._random, self._now = settings, Random(seed), now_us
        self._slow_start, self._dates = SlowStart(settings, self._random), StartDates(settings.slow_start_us)
        self._classes = {cls.name: cls for cls in settings.classes}
        aims = [cls.message_objective_us for cls in settings.classes if cls.message_objective_us > 0]
        self._aim_ms = min(aims) / 1_000 if aims else 0.0
        self._servers: dict[int, TrackedBackend] = {}
        self._ready: list[TrackedBackend] = []  # listed ready, by id
        self._hand: frozenset[int] = frozenset()  # out by hand
        self._ranking = Ranking(self._ready)
        self._requests: dict[str, TrackedRequest] = {}
        self._held: dict[str, TrackedRequest] = {}
        self._pump_set = self._follow_set = False
        self._token, self._moves = FOLLOW, dict[int, str]()  # who leaves a draining backend, by timer
        self._load, self._count, self._capacity = 0.0, 0, 0.0
        # Set-ups a second, 0: not limited; slots of it; at which pace it is no longer limited.
        self._pace, self._pace_tokens, self._pace_free = 0.0, 1.0, 0.0
        self._pace_us = self._slowed_us = now_us
        self._took: deque[int] = deque(maxlen=LATEST_TOOK)  # what the latest set-ups took
        # Moving: the mean of what a set-up takes, and the share that succeed, failed connects left out.
        self._setup_us, self._succeeding = 0.0, 1.0
        self._sends, self._sent_us = 0.0, now_us  # sends in about the last USUAL_US
        self._logged_us = now_us - SECOND
        self._groups: dict[int, float] = {}  # this relay's load by the key that decides
        self._class_load: dict[str, tuple[float, int]] = {}  # mean told load and notes it rests on
        self._list_failures, self._recount_us, self._alert_until_us = 0, now_us, now_us
        self._others, self._others_count, self._relays = 0.0, 0, 1
        # Until when the sum is fresh; load placed since it; capacity of those that it may go to.
        self._fresh_until_us, self._since, self._open = now_us, 0.0, 0.0
        self._open_warm, self._listed_capacity = 0, 0.0
        self._out: list[Action] = []
        self._handlers: dict[type, Callable[..., None]] = {
            RequestArrived: self._arrived, ConnectionOpened: self._stands, AttemptEnded: self._ended,
            AttemptNotice: self._notice, BackendListUpdate: self._listed, TimerFired: self._timer,
            ClientLeft: self._left, ConnectionResumed: self._resumed, FleetLoad: self._heard,
            OperatorOverride: self._by_hand, StateSnapshot: self._recalled,
        }  # fmt: skip

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Takes one event; returns what to do, in order."""
        self._now, self._out = max(self._now, now_us), []
        if (handler := self._handlers.get(type(event))) is not None:
            handler(event)
        return self._out

    def choose_elsewhere(self, now_us: int, names: Sequence[str]) -> int | None:
        """Where these standing connections of one key and backend would go if they came now; None if nowhere
        else, or if a cold backend is ahead: it may have a slot by the time they come."""
        self._now = max(self._now, now_us)
        ones = [r for r in map(self._requests.get, names) if r is not None and r.opened and r.at is not None]
        if not ones or (holder := ones[0].at) is None:
            return None
        newcomer = TrackedRequest("", ones[0].cls, ones[0].hash, 0)
        newcomer.client, newcomer.load = ones[0].client, sum(r.load for r in ones)
        for request in ones:
            self._weigh(request, holder, -1.0)
        place = self._choose(newcomer, sends=False)
        for request in ones:
            self._weigh(request, holder, 1.0)
        ahead = takewhile(lambda s: s is not place, self._ranking.highest_first(newcomer.hash))
        moves = place is not holder and all(s.slow_start_began_us < 0 for s in ahead)
        return place.id if moves and place is not None and place.slow_start_began_us < 0 else None

    def local_load(self) -> LocalLoad:
        """What the other instances are to know of this one."""
        late = [s.id for s in self._ready if s.ejected_until_us > self._now or self._crowded(s, MOVE_AT)
                or self._now - s.resets_us < BURST_US]  # fmt: skip
        loads, alert = {s.id: s.load for s in self._ready}, bool(late) or self._now < self._alert_until_us
        return LocalLoad(loads, self._count, bool(self._class_load), frozenset(late), alert)

    def _heard(self, event: FleetLoad) -> None:
        if event.loads_reported and not self._class_load and event.connections:
            self._told_first(sum(event.loads.values()) / event.connections)
        if event.connections and event.loads_reported is not bool(self._class_load):
            return
        for server in self._servers.values():
            server.others = event.loads.get(server.id, 0.0)
            server.warned_us = event.fresh_until_us if server.id in event.overloaded else 0
        self._others, self._others_count = sum(event.loads.values()), event.connections
        self._relays = event.instances
        if event.fresh_until_us != self._fresh_until_us:
            self._fresh_until_us, self._since = event.fresh_until_us, 0.0

    # ------------------------------------------------------------------ the backend list

    def _listed(self, event: BackendListUpdate) -> None:
        if event.kind is not ListKind.CACHED:
            self._list_failures = self._list_failures + 1 if event.kind is ListKind.FAILED else 0
        if event.kind in (ListKind.FAILED, ListKind.CACHED):
            self._follow()
        if event.kind is ListKind.FAILED:
            return
        named = {entry.id for entry in event.backends}
        if named and event.kind is not ListKind.CACHED:
            self._alert_until_us = self._now + self._set.slow_start_us
        if not self._dates.running:
            self._dates.listed({s.id: max(0, s.started_us) for s in self._servers.values()}, event.backends)
        for entry in event.backends:
            self._entry(entry)
        self._dates.running = self._dates.running or event.kind is not ListKind.CACHED
        full = event.kind is not ListKind.DELTA
        for server in (s for s in self._servers.values() if full and s.id not in named):
            self._state(server, BackendState.GONE)
        self._relist()

    def _relist(self) -> None:
        listed = sorted(self._servers.values(), key=lambda s: s.id)
        self._ready = [s for s in listed if s.state is BackendState.READY]
        self._ranking = Ranking(self._ready)
        self._listed_capacity = sum(s.capacity for s in self._ready)
        self._recount()
        self._pump()

    def _entry(self, entry: Backend) -> None:
        server = self._servers.get(entry.id)
        if server is None:
            server = self._servers[entry.id] = TrackedBackend(entry)
        server.zone, server.cell = entry.zone, entry.cell
        server.capacity = entry.capacity if entry.capacity > 0 else 1.0
        if entry.started_us != server.started_us:
            self._slow_start.forget(server)
            server.forget()
            server.started_us, server.start_told_us = entry.started_us, self._now
            if entry.started_us > 0:
                age_us = self._dates.age_us(entry.started_us, self._now)
                self._chill(server, self._now - age_us, SlowStartReason.LISTED)
        self._state(server, entry.state)

    def _recalled(self, event: StateSnapshot) -> None:
        recollection.recall(self, event)
        for server in self._servers.values():
            if server.slow_start_began_us >= 0:
                self._slow_start.backends[server.id] = server
        self._recount()
        self.forfeit_slow_start_allowance(self._now)

    def forfeit_slow_start_allowance(self, now_us: int) -> None:
        """Two processes are this instance for a while: neither counts on what the other may have used."""
        self._slow_start.forfeit(now_us)

    def _by_hand(self, event: OperatorOverride) -> None:
        """Out by hand. Acts from staff's call until they call the backend back, which by then has restarted:
        until the list tells of the start, it counts as cold from the call."""
        self._hand = self._hand | {event.backend} if event.excluded else self._hand - {event.backend}
        if (server := self._servers.get(event.backend)) is not None:
            if not event.excluded:
                self._slow_start.forget(server)
                server.forget()
                since_us = (
                    server.start_told_us if server.start_told_us > server.draining_notified_us else self._now
                )
                self._chill(server, since_us, SlowStartReason.OPERATOR)
            self._state(server, server.listed)
            self._relist()

    def avoided_backends(self, now_us: int) -> list[int]:
        """The listed backends that nothing is sent to now: out by hand, or ejected."""
        shut = (s for s in self._servers.values() if s.id in self._hand or s.ejected_until_us > now_us)
        return [s.id for s in shut if s.listed is not BackendState.GONE]

    def _state(self, server: TrackedBackend, state: BackendState) -> None:
        server.listed = state
        if state is BackendState.READY and server.id in self._hand:
            state = BackendState.DRAINING
        if server.state is BackendState.READY and state is not BackendState.READY:
            server.draining_notified_us = self._now
            # Its clients move before it leaves, spread over the grace: at once they would crowd the rest.
            for name in server.open:
                self._token += 1
                self._moves[self._token] = name
                wait_us = MOVE_BY * self._set.drain_grace_us * self._random.random()
                self._out.append(SetTimer(1 + int(wait_us), self._token))
        server.state = state

    def _follow(self) -> None:
        """Ask mode: (re)subscribe at a random time within a window. Discovery takes calls in turn, also those
        that have been given up: more than it takes, and none is answered in time any more."""
        if self._set.discovery is DiscoveryMode.ASK and not self._follow_set:
            self._follow_set = True
            longest = max(ASK_SHARE * self._set.poll_interval_us, SECOND)
            window = min(longest, (ASK_US * self._set.instances) << min(self._list_failures, 10))
            self._out.append(SetTimer(1 + int(self._random.random() * window), FOLLOW))

    # ------------------------------------------------------------------ arrivals

    def _new(self, event: RequestArrived | ConnectionResumed, left_us: int) -> TrackedRequest:
        cls = self._classes.get(event.request_class, self._set.classes[0])
        key = key_hash(event.group_key or event.key or event.request)
        request = self._requests[event.request] = TrackedRequest(event.request, cls, key, self._now + left_us)
        request.client = key_hash(event.key or event.request) if event.group_key else 0
        self._expect(request, event.load_hint)
        return request

    def _arrived(self, event: RequestArrived) -> None:
        request = self._new(event, event.left_us)
        request.mid_flow = event.mid_flow and self._set.pass_through
        request.comes_again = event.returning or event.repeat
        self._place(request)

    def _resumed(self, event: ConnectionResumed) -> None:
        request = self._new(event, 0)
        server = self._servers.get(event.backend)
        if server is None:  # not on any list yet: known by id alone, and not to be sent to
            server = self._servers[event.backend] = TrackedBackend(Backend(event.backend, BackendState.GONE))
        request.attempts, request.opened, request.at = 1, True, server
        self._weigh(request, server, 1.0)
        server.open[request.id] = request

    def _expect(self, request: TrackedRequest, hint: float | None) -> None:
        """The load to count for a new connection: its hint, else what its class was seen to load."""
        if hint is not None and hint > 0:
            self._told(request, hint)
        elif self._class_load:
            request.load = self._class_load.get(request.cls.name, (self._unit(), 0))[0]

    def _left(self, event: ClientLeft) -> None:
        if (request := self._requests.get(event.request)) is not None:
            self._held.pop(request.id, None)
            if request.at is None:
                del self._requests[request.id]
            else:
                request.deadline_us = -1  # over; its attempt's outcome is still to come

    # ------------------------------------------------------------------ placing

    def _place(self, request: TrackedRequest) -> None:
        """Sends the request to the first backend that admits it, else holds or ends it."""
        if request.deadline_us - self._now <= self._set.tick_us:
            self._finish(request, DenialReason.OUT_OF_TIME)
            return
        if request.attempts >= self._set.max_attempts or self._now >= self._begin_by_us(request):
            self._finish(request, DenialReason.OUT_OF_ATTEMPTS)
            return
        server = self._choose(request) if self._paced(request) else None
        if server is None:
            if self._opens_us(request) > self._last_look_us(request):
                # Given up: answered at once, not when its time is nearly over.
                self._finish(request, DenialReason.NO_BACKEND)
            elif request.id not in self._held:
                self._held[request.id] = request
                self._arm_pump()
            return
        self._held.pop(request.id, None)
        self._send(request, server)

    def _send(self, request: TrackedRequest, server: TrackedBackend) -> None:
        request.attempts += 1
        request.at, request.sent_us = server, self._now
        self._sends = 1.0 + self._sends * math.exp((self._sent_us - self._now) / USUAL_US)
        self._sent_us = self._now
        self._since += request.load
        if self._pace > 0:
            self._pace_tokens -= 1.0
        self._weigh(request, server, 1.0)
        request.tried += (server,)
        server.pending += 1
        slow_start = self._slow_start.send(server, self._now) if server.slow_start_began_us >= 0 else None
        until_us = request.deadline_us
        if request.attempts < self._set.max_attempts:
            # A silent backend must leave time for another attempt; patience grows with what set-ups take.
            patience_us = max(request.cls.objective_us, int(PATIENCE * self._setup_us))
            until_us = min(until_us, self._now + patience_us)
        self._out.append(
            StartAttempt(request.id, server.id, until_us, self._begin_by_us(request), slow_start)
        )

    def _choose(self, request: TrackedRequest, sends: bool = True) -> TrackedBackend | None:
        """The best backend that admits the request. Unless it `sends`, no backend in slow start admits it."""
        if self._now >= self._recount_us:
            self._recount()
        if sends:
            unit = max(self._unit(), 1e-9)
            key_load = self._groups.get(request.hash, 0.0) / unit
            self._slow_start.look(self._open_warm, key_load, self._load / unit, self._now)
        if request.mid_flow and request.attempts == 0:
            holder = self._holder(request)
            if holder is None or self._admits_cold(holder, request, sends):
                return holder
        spare = last = None
        for server in self._order(request):
            if not self._may(request, server):
                continue
            if not self._healthy(server):
                if last is None and self._admits_cold(server, request, sends):
                    last = server
            elif not self._crowded(server, 1.0) and self._below_limit(server, request.load):
                uncrowded = not self._crowded(server, 0.5) and self._bounded(server, request.load)
                if uncrowded and self._admits_cold(server, request, sends):
                    return server
                if server.slow_start_began_us < 0:
                    spare = spare or server
        # All over their bound: the best not crowded. None healthy in reach: the best ejected one, after all.
        return spare or (last if self._capacity <= 0 else None)

    def _order(self, request: TrackedRequest) -> Iterator[TrackedBackend]:
        """The best scores, highest first. A group whose load here makes up several fair loads is heavier
        than a backend: its connections spread over as many of its best scores, each by its own client key."""
        spread = 1
        if request.client and self._load > 0 and not self._others:
            fair = SPREAD * self._load / max(1, len(self._ready))
            spread = 1 + int(max(0.0, self._groups.get(request.hash, 0.0) - self._unit() / 2) / fair)
        ranked = islice(self._ranking.highest_first(request.hash), DEPTH)
        yield from sorted(islice(ranked, spread), key=lambda s: (-((s.hash * request.client) & MASK), s.id))
        yield from ranked

    def _last_look_us(self, request: TrackedRequest) -> int:
        """When a held request is looked at for the last time: later, an answer would come too late."""
        return request.deadline_us - PUMP_US - 2 * self._set.tick_us

    def _opens_us(self, request: TrackedRequest) -> float:
        """The earliest time at which a backend not tried yet may take the request, as things stand: what is
        sure to keep every one shut for longer leaves nothing to wait for."""
        if request.mid_flow and request.attempts == 0:
            return self._now  # its holder may be listed yet
        opens = min((self._gates_open_us(s, request.load) for s in self._ready if self._may(request, s)),
                    default=math.inf)  # fmt: skip
        if self._pace > 0:
            opens = max(opens, self._now + SECOND * (1.0 - self._pace_tokens) / self._pace)
        return max(opens, request.not_before_us)

    def _gates_open_us(self, server: TrackedBackend, load: float) -> float:
        """When the gates that time alone opens would let a connection of this load through."""
        opens: float = max(self._now, server.ejected_until_us)
        if self._crowded(server, 1.0):
            opens = max(opens, server.delay_us + NOTE_US)
        if not self._below_limit(server, load):
            grown = (
                (server.held() + load / 2) / server.load_limit - 1.0 if server.load_limit > 0 else math.inf
            )
            opens = max(opens, server.load_limit_us + SECOND * grown / LIMIT_GROWTH)
        if server.slow_start_began_us >= 0:
            fair, share = self._fair(server), self._bold() * self._share(server)
            room = (
                (server.held() / fair - share) / (1 - self._set.initial_capacity_share)
                if fair > 0
                else math.inf
            )
            room_us = max(0.0, room) * self._set.slow_start_us if server.held() > 0 else 0.0
            opens = max(opens, self._now + room_us, self._slow_start.opens_us(server, self._now))
            opens = min(opens, max(self._now, server.slow_start_began_us + self._set.slow_start_us))
        return opens

    def _holder(self, request: TrackedRequest) -> TrackedBackend | None:
        """Mid-flow: the top score over ready backends and those draining within the grace."""
        grace_us = self._set.drain_grace_us - self._set.tick_us
        drains = (s for s in self._servers.values() if s.state is BackendState.DRAINING)
        pool = [*self._ready, *(s for s in drains if self._now - s.draining_notified_us < grace_us)]
        return max(pool, key=lambda s: ((s.hash * request.hash) & MASK, -s.id), default=None)

    def _begin_by_us(self, request: TrackedRequest) -> float:
        """By when the effect class allows another attempt to begin."""
        if request.ran_at is None or request.cls.effect is Effect.IDEMPOTENT:
            return math.inf
        window_us = request.cls.dedup_window_us - self._set.tick_us
        return request.ran_us + window_us if request.cls.effect is Effect.DEDUPLICATED else -math.inf

    def _may(self, request: TrackedRequest, server: TrackedBackend) -> bool:
        """Whether it allows this backend: no repeat outside the scope that drops repeats."""
        if server in request.tried:
            return False
        first = request.ran_at
        if first is None or request.cls.effect is Effect.IDEMPOTENT:
            return True
        inside = {DedupScope.ZONE: server.zone == first.zone, DedupScope.CELL: server.cell == first.cell}
        return inside.get(request.cls.dedup_scope, True)

    # ------------------------------------------------------------------ gates

    def _healthy(self, server: TrackedBackend) -> bool:
        """Outlier ejection. Acts after failed connects, repeated time-outs or a mass reset."""
        on_trial = server.half_open and server.pending > 0  # one attempt at a time
        return server.ejected_until_us <= self._now and not on_trial

    def _crowded(self, server: TrackedBackend, share: float) -> bool:
        """Acts while messages there take over this share of the shortest objective."""
        fresh = self._now - server.delay_us < NOTE_US
        hearsay = self._now < server.warned_us and share < 1.0 and not fresh  # others come first
        return hearsay or (fresh and server.delay_ms > max(self._aim_ms, 1.0) * share * 0.999)

    def _bounded(self, server: TrackedBackend, load: float) -> bool:
        """Bounded loads. Acts when this relay's own load there is far over its fair share. The root
        leaves room for chance where a relay sees only a few of a backend's connections."""
        fair, unit = self._fair(server), self._unit()
        most = BOUND * fair + BOUND_ROOT * math.sqrt(fair * unit) + BOUND_MORE * unit
        return server.held() + self._rush(server) + load / 2 <= most

    def _rush(self, server: TrackedBackend) -> float:
        """What other relays have sent there since the sum, if each has sent as much as this one has to those
        that are open: or all would fill the same few until the next one."""
        part = server.capacity * self._share(server) / max(self._open, 1e-9)
        return (self._relays - 1) * max(0.0, self._since) * part

    def _below_limit(self, server: TrackedBackend, load: float) -> bool:
        """Acts after a backend was crowded, until its limit has grown past this relay's load there."""
        grown = 1.0 + LIMIT_GROWTH * (self._now - server.load_limit_us) / SECOND
        return server.held() + load / 2 <= max(server.load_limit * grown, self._fair(server) / 4)

    def _lower(self, server: TrackedBackend) -> None:
        """A crowded backend's limit: without it the same groups flood back once it is no longer crowded."""
        if self._now - server.load_limit_us >= LIMIT_US:
            server.load_limit = LIMIT_CUT * max(min(server.load_limit, server.held()), self._fair(server) / 2)
            server.load_limit_us = self._now

    def _unit(self) -> float:
        """The mean load of the connections known of."""
        count = self._count + self._others_count
        return max(0.0, self._load + self._others) / count if count else 1.0

    def _fair(self, server: TrackedBackend) -> float:
        """What a warm server's share of the load known of is, by present capacity, among the healthy."""
        load = max(0.0, self._load + self._others)
        return load * server.capacity / self._capacity if self._capacity > 0 else 0.0

    def _weigh(self, request: TrackedRequest, server: TrackedBackend, sign: float) -> None:
        """Books a connection's load at its server and in the sum, or takes it off."""
        self._count += int(sign)
        self._load = self._load + sign * request.load if self._count else 0.0
        busy = server.open or server.pending > 0  # an idle one starts from exactly 0, free of rounding
        server.load = max(0.0, server.load + sign * request.load) if busy or sign > 0 else 0.0
        self._groups[request.hash] = self._groups.get(request.hash, 0.0) + sign * request.load
        if self._groups[request.hash] < 1e-6 * request.load:
            del self._groups[request.hash]

    def _recount(self) -> None:
        self._recount_us = self._now + PUMP_US  # those that warm up have more by then
        for server in self._slow_start.ended(self._now):
            self._slow_start.forget(server)
            if server.listed is not BackendState.GONE:
                self._out.append(SlowStartChanged(server.id, SlowStartReason.ENDED))
        works = (
            s for s in self._ready if s.ejected_until_us <= self._now or (s.consecutive_errors and s.open)
        )  # full ones
        shares = {s: s.capacity * self._share(s) for s in works}
        self._capacity = sum(shares.values())
        self._open = sum(c for s, c in shares.items() if not self._crowded(s, 0.5) and self._bounded(s, 0.0))
        self._divide_slow_start([s for s in shares if s.slow_start_began_us < 0])

    def _divide_slow_start(self, warm: list[TrackedBackend]) -> None:
        """This relay's part in each slow start, by the connections that fill a warm backend: those that all
        relays hold at a usual one, or what one core bears of the loads told. Relays that were not heard are
        taken to hold as many each as those that were."""
        if not self._slow_start.backends:
            return
        unheard = max(1.0, self._set.instances / max(1, self._relays))
        each = (self._count + self._others_count) * unheard / max(self._listed_capacity, 1e-9)
        well = [s for s in warm if not self._crowded(s, 0.5)]
        self._open_warm = sum(self._bounded(s, 0.0) for s in well)
        if unheard == 1.0 and well:
            borne = sorted(s.held() / s.capacity for s in well)
            each = max(each, borne[len(borne) // 2] / max(self._unit(), 1e-9))
        core = CORE_US / max(self._unit(), 1e-9) if self._class_load else 0.0
        for server in self._slow_start.backends.values():
            self._slow_start.divide(server, max(core, each * server.capacity), self._relays, self._now)

    def _paced(self, request: TrackedRequest) -> bool:
        """Congestion control. Acts after backends answer set-ups with errors, as before a shared store that
        is overloaded: sends are spaced at a rate, and what met an error waits before it is sent again."""
        if request.not_before_us > self._now:
            return False
        if self._pace <= 0:
            return True
        seconds = (self._now - self._pace_us) / SECOND
        self._pace_us = self._now
        gained = self._pace * seconds
        self._pace *= (1 + PACE_GROWTH) ** min(seconds, 60.0)  # no overflow after a long lull
        if self._pace > self._pace_free:
            self._pace, self._pace_tokens = 0.0, 1.0
            return True
        self._pace_tokens = min(max(1.0, self._pace / 10), self._pace_tokens + gained)
        return self._pace_tokens >= 1.0

    def _slow_down(self) -> None:
        if self._now - self._slowed_us < PACE_US:
            return
        if self._pace <= 0:
            self._pace = self._sends * math.exp((self._sent_us - self._now) / USUAL_US) * SECOND / USUAL_US
            self._pace_free = PACE_FREE * max(self._pace, PACE_MIN)
            self._pace_tokens = 0.0
        self._pace = max(PACE_MIN, PACE_CUT * self._pace)
        self._pace_us = self._slowed_us = self._now
        self._pace_tokens = min(self._pace_tokens, 0.0)

    def _share(self, server: TrackedBackend) -> float:
        """What a backend is sure to have of its capacity."""
        return self._slow_start.share(server, self._now)

    def _admits_cold(self, server: TrackedBackend, request: TrackedRequest, sends: bool) -> bool:
        """Slow start. Acts during the warm-up. The load there stays under the fair load times the share of
        its capacity that the backend is sure to have, and what is sent under what `SlowStart` allows."""
        if server.slow_start_began_us < 0:
            return True
        if not sends or server.held() > self._bold() * self._share(server) * self._fair(server):
            return False
        weight = request.load / max(self._unit(), 1e-9)
        return self._slow_start.admits(server, weight, request.comes_again, self._now)

    def _bold(self) -> float:
        """A cold one's share is the least it may have: many relays, of which each sends little, risk more."""
        return BOLD if self._relays >= MANY and self._now < self._fresh_until_us else 1.0

    def _chill(self, server: TrackedBackend, since_us: int, cause: SlowStartReason) -> None:
        sent = cause is SlowStartReason.LISTED and not self._dates.running
        assumed = cause is SlowStartReason.RECOVERED and (server.assumed or server.slow_start_began_us < 0)
        if self._slow_start.begin(server, since_us, sent, assumed, self._now):
            self._out.append(SlowStartChanged(server.id, cause, self._now - since_us))
            self._recount_us = self._now  # its part is worked out before anything is sent there

    # ------------------------------------------------------------------ attempts

    def _stands(self, event: ConnectionOpened) -> None:
        request = self._requests.get(event.request)
        server = request.at if request else None
        if request is None or server is None or request.opened or event.backend != server.id:
            return
        request.opened = True
        self._setup_us += 0.1 * (event.latency_us - self._setup_us)
        self._succeeding += 0.1 * (1.0 - self._succeeding)
        server.pending -= 1
        server.open[request.id] = request
        self._recovered(server)
        self._timed(server, event.latency_us)

    def _timed(self, server: TrackedBackend, took_us: int) -> None:
        """Set-ups queue behind the same work as messages: what one takes beyond the usual, a message waits
        there too. What is moved off only comes to better where another backend is not crowded."""
        self._took.append(took_us)
        late_ms = max(0, took_us - sorted(self._took)[len(self._took) // 4]) / 1000
        known_ms = server.late_ms if self._now - server.late_us < NOTE_US else 0.0
        server.late_ms, server.late_us = (known_ms + late_ms) / 2, self._now
        soon = self._now - server.delay_us < SECOND or len(self._took) < FEW_TOOK
        if soon or server.late_ms <= self._aim_ms / 2:
            return
        room, server.delay_us = self._room(server), self._now
        server.delay_ms = server.late_ms if room else min(server.late_ms, 0.9 * self._aim_ms)
        if room and self._crowded(server, MOVE_AT):  # a limit for a passing burst would hold everybody
            self._lower(server)
            self._relieve(server, room)

    def _room(self, server: TrackedBackend) -> bool:
        well = (s for s in self._ready if s is not server and self._healthy(s))
        return any(not self._crowded(s, 0.5) and self._bounded(s, 0.0) for s in well)

    def _ended(self, event: AttemptEnded) -> None:
        request = self._requests.get(event.request)
        server = request.at if request else None
        if request is None or server is None or event.backend != server.id:
            return
        stood = request.opened
        if stood:
            server.open.pop(request.id, None)
            self._since -= request.load * (server.state is BackendState.READY)
        else:
            server.pending -= 1
        self._weigh(request, server, -1.0)
        request.at, request.opened = None, False
        self._judge(server, event.outcome, stood)
        if event.outcome not in NEVER_RAN and request.ran_at is None:
            request.ran_at, request.ran_us = server, request.sent_us
        if event.over or request.deadline_us < 0:
            del self._requests[request.id]
        elif stood or event.outcome is AttemptOutcome.CANCELLED:
            self._finish(request, DenialReason.CANCELLED)
        elif self._now >= self._begin_by_us(request):
            self._finish(request, DenialReason.OUT_OF_ATTEMPTS)
        else:
            failed = event.outcome in (
                AttemptOutcome.ERROR,
                AttemptOutcome.TIMED_OUT,
                AttemptOutcome.REJECTED,
            )
            if failed and not server.half_open:  # what an ejected one answers says nothing of the others
                self._succeeding *= 0.9
                slow = self._setup_us > SLOW * request.cls.objective_us
                if self._succeeding < (0.7 if slow else 0.3):
                    self._slow_down()
            elsewhere = any(s.consecutive_errors for s in self._ready if s is not server)
            if (
                event.outcome is AttemptOutcome.ERROR and not server.half_open and elsewhere
            ):  # a store that all share?
                wait_us = ERROR_WAIT_US << min(request.attempts - 1, 3)
                request.not_before_us = self._now + int(wait_us * (0.5 + self._random.random()))
            self._place(request)

    def _finish(self, request: TrackedRequest, why: DenialReason) -> None:
        """The one final answer: a refusal only where trying again is known to be harmless."""
        self._held.pop(request.id, None)
        del self._requests[request.id]
        longest_us = self._set.max_retry_after_us if self._set.retry_after else 0
        back_us = int(longest_us * (0.25 + 0.75 * self._random.random()))
        failed = request.ran_at is not None
        self._out.append(FailRequest(request.id, why) if failed else RejectRequest(request.id, back_us, why))

    # ------------------------------------------------------------------ health

    def _judge(self, server: TrackedBackend, outcome: AttemptOutcome, stood: bool) -> None:
        if outcome is AttemptOutcome.OK:
            self._recovered(server)
        elif outcome is AttemptOutcome.CONNECT_FAILED:
            if not server.open or self._now - server.missed_us < SECOND:
                self._eject(server, "does not accept connections")
            server.missed_us = self._now  # once, beside connections that stand, is chance
        elif outcome is AttemptOutcome.TIMED_OUT and not stood:
            server.consecutive_timeouts += 1
            self._strain(server)
            if (server.consecutive_timeouts >= 2 or server.half_open) and self._succeeding > 0.5:
                self._eject(server, "does not answer")
        elif outcome is AttemptOutcome.ERROR:
            server.consecutive_errors += 1
            erring = sum(1 for s in self._ready if s.consecutive_errors)
            if server.consecutive_errors >= ERRORS and 2 * erring <= len(
                self._ready
            ):  # no fault of a store all share
                self._eject(server, "answers with errors")
        elif outcome is AttemptOutcome.REJECTED:
            self._strain(server)
        elif outcome is AttemptOutcome.RESET:
            if self._now - server.resets_us > BURST_US:
                server.resets = 0
            server.resets, server.resets_us = server.resets + 1, self._now
            if not server.open and server.resets >= 2:  # all at once: the process is gone, listed or not
                self._eject(server, "broke all its connections")
                server.load_limit, server.delay_ms = math.inf, 0.0  # and what crowded it with it
            elif server.resets >= 2 or self._crowded(server, 0.0):  # one alone is no sign of a crowd
                self._strain(server)

    def _strain(self, server: TrackedBackend) -> None:
        """A backend that drops connections or set-ups is crowded, though no delay note may ever say so."""
        server.delay_ms, server.delay_us = max(server.delay_ms, self._aim_ms, 1.0), self._now
        self._lower(server)

    def _eject(self, server: TrackedBackend, why: str) -> None:
        away = [s for s in self._ready if s.ejected_until_us > self._now]
        if server in away or server not in self._ready or len(away) >= EJECT_SHARE * len(self._ready):
            return
        stay = min(EJECT_MAX_US, EJECT_US << min(server.ejections, 10))
        server.ejected_until_us = self._now + int(stay * (0.75 + 0.5 * self._random.random()))
        server.ejections += 1
        self._report(f"backend {server.id} ejected: it {why}")
        server.half_open = True
        self._recount()

    def _report(self, what: str) -> None:
        """One log line a second at most: a fault of many backends has one reason."""
        if self._now - self._logged_us >= SECOND:
            self._out.append(LogMessage(what))
            self._logged_us = self._now

    def _recovered(self, server: TrackedBackend) -> None:
        server.consecutive_timeouts = server.consecutive_errors = 0
        if server.half_open:
            self._report(f"backend {server.id} readmitted")
            server.half_open = False
            server.ejections = server.ejected_until_us = 0
            self._recount()
            if len(server.open) <= 1:  # it may have restarted before the list tells: treated as cold from now
                self._chill(server, self._now, SlowStartReason.RECOVERED)

    def _notice(self, event: AttemptNotice) -> None:
        server = self._servers.get(event.backend)
        request = self._requests.get(event.request)
        if event.kind is NoticeKind.LOAD:
            if request is not None and request.at is server and event.value >= 0:
                self._told(request, event.value)
        elif server is not None:
            server.delay_ms, server.delay_us = event.value, self._now
            if self._crowded(server, 0.5):
                self._lower(server)
            self._relieve(server, self._relays > 1 and self._room(server))

    def _told(self, request: TrackedRequest, load: float) -> None:
        """A connection's load, by hint or note. Until the first one every connection counts 1."""
        if not self._class_load:
            self._told_first(load)
        mean, count = self._class_load.get(request.cls.name, (0.0, 0))
        count = min(count + 1, CLASS_NOTES)
        self._class_load[request.cls.name] = (mean + (load - mean) / count, count)
        if request.at is not None:
            request.at.load += load - request.load
            self._groups[request.hash] = max(0.0, self._groups.get(request.hash, 0.0) + load - request.load)
            self._load += load - request.load
        request.load = load

    def _told_first(self, load: float) -> None:
        self._class_load[""] = (load, 0)
        ones: list[TrackedBackend | TrackedRequest] = [*self._servers.values(), *self._requests.values()]
        for one in ones:
            one.load *= load
        self._groups = {known: sum_ * load for known, sum_ in self._groups.items()}
        self._load *= load

    def _relieve(self, server: TrackedBackend, room: bool = False) -> None:
        """Moves connections off a backend whose messages miss the objective: every relay the same share of
        its own, or what is over its fair load there if there is room elsewhere; first those that score higher
        elsewhere by now, the heaviest of them first. In a full fleet they are refused until there is room."""
        if not self._crowded(server, MOVE_AT):
            return
        over = (1.0 - self._fair(server) / max(server.held(), 1e-9)) / (2 if self._relays > 1 else 1)
        excess = server.load * max(MOVE_SHARE, over if room else 0.0)
        hashes = [s.hash for s in self._ready if s.ejected_until_us <= self._now]

        def keeps(request: TrackedRequest) -> tuple[bool, float]:
            score = (server.hash * request.hash) & MASK
            return room and score >= max((h * request.hash) & MASK for h in hashes), -request.load

        for request in sorted(server.open.values(), key=keeps):
            if excess <= request.load * self._random.random():
                break
            excess -= request.load
            self._out.append(MoveConnection(request.id))

    # ------------------------------------------------------------------ timers

    def _arm_pump(self) -> None:
        if not self._pump_set:
            self._pump_set = True
            self._out.append(SetTimer(PUMP_US, PUMP))

    def _timer(self, event: TimerFired) -> None:
        if (token := event.token) == PUMP and self._pump_set:
            self._pump_set = False
            self._pump()
        elif (leaving := self._requests.get(self._moves.pop(token, ""))) is not None and leaving.opened:
            self._out.append(MoveConnection(leaving.id, MoveReason.DRAINING))
        elif token == FOLLOW and self._follow_set:
            self._follow_set = False
            self._out.append(Subscribe())

    def _pump(self) -> None:
        """Held requests: another look, and the refusal while it still counts. After some looks in vain the
        rest wait for the next round, first in line then: in a full fleet looks cost CPU and find nothing."""
        misses = 0
        opens = min((self._gates_open_us(s, 0.0) for s in self._ready), default=math.inf)
        for request in list(self._held.values()):
            if self._now >= self._last_look_us(request):
                self._finish(request, DenialReason.OUT_OF_TIME)
            elif opens > self._last_look_us(request):
                self._finish(request, DenialReason.NO_BACKEND)
            elif misses < PUMP_MISSES and request.not_before_us <= self._now:
                self._place(request)
                if self._held.pop(request.id, None):
                    self._held[request.id] = request
                    misses += 1
        if self._held:
            self._arm_pump()
