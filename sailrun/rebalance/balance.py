"""Who is moved, and when. A pure state machine: what has happened and the time in, moves and datagrams out.

A node acts on its own share of the load: of what a form server holds too much, it sheds as much as it holds
of it itself. So nodes that hear nothing of each other still do not overshoot together. Which place a
group would get is asked of the decision module every time; here it is only decided whether to move it.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

import mmh3

from sailrun.decisions.events import AttemptOutcome, Backend, BackendState, ListKind
from sailrun.decisions.settings import Settings
from sailrun.rebalance.connection_table import ConnectionTable, Key, Standing
from sailrun.rebalance.gossip import InvalidGossipError, LoadReporter, NeighbourLoads, read
from sailrun.rebalance.pace import Pace
from sailrun.rebalance.settings import RebalanceSettings

SECOND = 1_000_000
LOOK_US = SECOND // 4
# Sums are made anew this often; every second while most loads are not told yet.
RECOUNT_US, YOUNG_US = 5 * SECOND, 15 * SECOND
# A moved group is back, or will not come, after this; so long its place is spoken for.
RETURN_US = 3 * SECOND
# What a neighbour has begun to move is followed within this.
FOLLOW_US = 3 * SECOND
# So many groups are asked for in a look, and one that has to stay is asked for again only after this.
QUESTIONS, ASK_AGAIN_US = 24, 4 * SECOND
# Without a move for so long there is nothing to be done: what is over is too heavy, or has nowhere to go.
GIVE_UP_US, PAUSE_US, LONGEST_PAUSE_US = 15 * SECOND, 10 * SECOND, 640 * SECOND
# Of what chance would explain of the spread, so much is taken off while groups are moved. All of it, as
# before, is the best estimate of every single load, but leaves the busiest where it is: four nodes that hear
# nothing came to 1.3 only.
CHANCE = 0.2
# After the alarm neighbours have so long to be heard before the first move.
HEAR_US = 1 * SECOND
# Of the patience, so much must be spent before a node tells its neighbours of what it sees.
ALERT_AT = 0.5
# An alarm that the neighbours' word shows to be chance: the next one is kept back for so long, twice as long
# after each further one. What is bad enough to begin at once does not wait.
QUIET_US, LONGEST_QUIET_US, MOST_KNOWN = 30 * SECOND, 480 * SECOND, 0.8
# An excess that has gone is forgotten at this rate: a spell of it does not begin what a later one would not.
FORGIVING = 0.05
# Returns that this node did not bring about: so many, and this share of what stands, in so long are a storm.
STORM_US, STORM_FEW, STORM_SHARE = 2 * SECOND, 4, 0.05
# Set-ups that took this share of the wanted time, so many in so long, where there seemed to be room.
SLOW_SHARE, SLOW_MANY, SLOW_US = 0.5, 2, 2 * SECOND

# Where the decision module would place these connections if they came now: a form server, or None to stay.
ChooseElsewhere = Callable[[Sequence[str]], int | None]


@dataclass(slots=True)
class Orders:
    """What a look has come to."""

    moves: list[str] = field(default_factory=list)  # the connections to move
    datagram: bytes | None = None  # a datagram for all neighbours
    log_entries: list[dict[str, object]] = field(default_factory=list)  # facts for log lines


@dataclass(slots=True)
class _Reserved:
    group: Key
    server: int
    weight: float
    until_us: int


@dataclass(slots=True)
class View:
    """The warm fleet as this node sees it; loads are of the whole fleet, estimated from what is known."""

    loads: dict[int, float]
    shares: dict[int, float]  # each form server's share of the load, by its capacity
    known: float  # the share of the nodes that the loads rest on, 0 to 1
    spared: dict[int, float]  # loads up to which a form server serves well, where that is known

    @property
    def imbalance(self) -> float:
        """The load over its share of the busiest form server that is not spared; 0 where there is none."""
        over = (self.loads[n] / s for n, s in self.shares.items() if s > 0 and self.loads[n] > self.spared[n])
        return max(over, default=0.0)


class Rebalancer:
    """Decides which clients are moved for balance. Pure: time comes with each call."""

    def __init__(self, terms: RebalanceSettings, settings: Settings, now_us: int) -> None:
        self._terms = terms
        self._nodes = settings.instances
        self._cold_us = settings.slow_start_us
        self._objectives = {c.name: c.objective_us for c in settings.classes}
        self._rest_us = int(terms.rest_s * SECOND)
        self._servers: dict[int, Backend] = {}
        self.connections = ConnectionTable()
        self._neighbour_loads = NeighbourLoads(int(terms.tell_s * SECOND), self._nodes)
        talks = terms.neighbours and settings.peer_messages and self._nodes > 1
        self._reporter = (
            LoadReporter(now_us // 1000, int(terms.tell_s * SECOND), self._nodes) if talks else None
        )
        self._pace = Pace(
            terms.first_per_s / self._nodes,
            terms.most_per_s / self._nodes,
            terms.widening,
            int(terms.hold_s * SECOND),
            now_us,
        )
        self._seen = View({}, {}, 1.0, {})  # at the last look
        self._reserved: list[_Reserved] = []
        self._unsettled: dict[Key, int] = {}  # groups with a connection on its way back, until when
        self._asked: dict[Key, int] = {}  # groups that had to stay, and when to ask again
        self._named: dict[int, Key] = {}  # the groups that stand here, by their hash
        self._followed: dict[int, int] = {}  # those that neighbours have begun to move, until when
        self._moved_us: deque[int] = deque()
        self._returns_us: deque[int] = deque()
        self._slow_us: dict[int, deque[int]] = {}
        self._look_us = now_us + LOOK_US
        self._began_us, self._recount_us = now_us, now_us + SECOND
        self._excess_s = 0.0  # what was over the start, times its seconds
        self._active = False
        self._alarm_us: int | None = None  # since when this node tells that the fleet is not even
        self._quiet_until_us, self._quiet_us = 0, QUIET_US
        self._useful_us = now_us  # the last move, or the begin
        self._paused_until_us, self._pause_us = 0, PAUSE_US
        self._moved = 0
        self._leaving = self._discovery_lost = False
        self._unread: set[int] = set()  # neighbours whose last datagram could not be read
        self._notes: list[dict[str, object]] = []

    # ------------------------------------------------------------------ what has happened

    def on_list_update(self, now_us: int, kind: ListKind, entries: Iterable[Backend]) -> None:
        """News of the registry."""
        self._discovery_lost = self._discovery_lost and kind is ListKind.CACHED
        named = {entry.id: entry for entry in entries}
        for number, entry in named.items():
            old = self._servers.get(number)
            if old is not None and old.state is BackendState.READY and entry.state is not BackendState.READY:
                self._trouble(now_us, "drain")
        if kind is ListKind.DELTA:
            self._servers.update(named)
            return
        if any(s.state is BackendState.READY and n not in named for n, s in self._servers.items()):
            self._trouble(now_us, "gone")
        self._servers = named

    def on_discovery_failed(self, now_us: int) -> None:
        """Until it tells something again nobody is moved: who drains or is gone is not known."""
        self._discovery_lost = True
        self._trouble(now_us, "roster-lost")

    def on_request(self, now_us: int, returning: bool) -> None:
        """A client asks for a session."""
        if not returning:
            return
        self._returns_us.append(now_us)
        _forget(self._returns_us, now_us - STORM_US)
        _forget(self._moved_us, now_us - STORM_US - RETURN_US)
        usual = STORM_FEW + 2 * len(self._moved_us) + STORM_SHARE * len(self.connections.by_id)
        if len(self._returns_us) > usual:
            self._trouble(now_us, "returns")

    def on_established(
        self,
        now_us: int,
        name: str,
        server: int,
        group: Key,
        request_class: str,
        returned: bool,
        took_us: int | None,
    ) -> None:
        """A session stands; `returned`: back from a break or a move. `took_us` is None where it stood before
        this node started.
        """
        self.connections.stands(Standing(name, group, request_class, server, now_us, returned))
        self._unsettled.pop(group, None)
        if self._reporter is not None:
            self._named[_hash(group)] = group
        for n, reserved in enumerate(self._reserved):
            if reserved.group == group:
                del self._reserved[n]
                break
        if took_us is not None and took_us >= SLOW_SHARE * self._objectives.get(request_class, math.inf):
            late = self._slow_us.setdefault(server, deque())
            late.append(now_us)
            _forget(late, now_us - SLOW_US)
            if len(late) >= SLOW_MANY and self._has_room(server):
                self._trouble(now_us, "slow-set-ups")

    def on_load_reported(self, name: str, load: float) -> None:
        """The load of an established session was reported."""
        self.connections.loaded(name, load)

    def on_ended(self, now_us: int, name: str, outcome: AttemptOutcome) -> None:
        """A session that stood has ended here. One that did not end well comes back."""
        one = self.connections.ended(name)
        if one is not None and outcome is not AttemptOutcome.OK:
            self._unsettled[one.group] = now_us + RETURN_US

    def on_attempt_rejected(self, now_us: int, server: int) -> None:
        """A form server refused a set-up."""
        if self._has_room(server):
            self._trouble(now_us, "turned-away")

    def on_rejected(self, now_us: int) -> None:
        """A client was refused: there is no place for those who come by themselves."""
        self._trouble(now_us, "refusals")

    def on_peer_message(self, now_us: int, sender: int, content: bytes) -> None:
        """A neighbour's datagram. One that is none of ours is noted, and changes nothing."""
        try:
            report = read(content)
        except InvalidGossipError as error:
            if sender not in self._unread:
                self._unread.add(sender)
                self._notes.append({"state": "datagram-rejected", "neighbour": sender, "why": str(error)})
            return
        self._unread.discard(sender)
        if self._reporter is not None:
            self._reporter.answered()
        if self._neighbour_loads.heard(now_us, sender, report):
            if report.alert and self._reporter is not None:
                self._reporter.heard_alert()
            for group in report.moved:
                if group in self._named:
                    self._followed[group] = now_us + FOLLOW_US

    def set_draining(self, on: bool = True) -> None:
        """This node sends its clients away by another rule from now on; or does no more."""
        self._leaving = on

    @property
    def is_active(self) -> bool:
        """Whether groups are being moved."""
        return self._active

    def set_rate_share(self, share: float) -> None:
        """This part of the fleet's pace is this node's now, 0 to 1; what it took for its own is none any
        more.
        """
        self._pace.parts = share * self._nodes

    def _trouble(self, now_us: int, why: str) -> None:
        if self._pace.close(now_us) and self._active:
            self._notes.append({"state": "held", "why": why, "moved": self._moved})

    # ------------------------------------------------------------------ looks

    def is_due(self, now_us: int) -> bool:
        """Whether it is time to call `look`."""
        return now_us >= self._look_us

    def plan_moves(self, now_us: int, choose_elsewhere: ChooseElsewhere) -> Orders:
        """What is to be done now; to be called when `due`."""
        self._look_us = now_us + LOOK_US
        if now_us >= self._recount_us:
            young = now_us - self._began_us < YOUNG_US
            self._recount_us = now_us + (SECOND if young else RECOUNT_US)
            self.connections.recount()
            self._unsettled = {k: until for k, until in self._unsettled.items() if until > now_us}
            self._asked = {k: until for k, until in self._asked.items() if until > now_us}
            self._named = {h: k for h, k in self._named.items() if self.connections.where(k)}
        self._reserved = [r for r in self._reserved if r.until_us > now_us]
        self._followed = {h: until for h, until in self._followed.items() if until > now_us}
        orders = Orders()
        if self._leaving:
            return orders
        if self._discovery_lost:
            self._trouble(now_us, "roster-lost")
        view = self._seen = self.view(now_us)
        active = self._judge(now_us, view)
        if self._reporter is not None:
            own = {n: held.load for n, held in self.connections.held.items()}
            orders.datagram = self._reporter.due(
                now_us, self.connections.told, own, active or self._alarm_us is not None
            )
        if active or self._followed:
            self._choose(now_us, view, choose_elsewhere, orders, active)
        orders.log_entries, self._notes = self._notes, []
        return orders

    def warm(self, now_us: int) -> dict[int, Backend]:
        """Ready backends that are out of slow start, by number."""
        return {
            number: server
            for number, server in self._servers.items()
            if server.state is BackendState.READY
            and (server.started_us <= 0 or now_us - server.started_us >= self._cold_us)
        }

    def view(self, now_us: int) -> View:
        """The load of this node and of those heard, by form server."""
        warm = self.warm(now_us)
        own = {n: held.load for n, held in self.connections.held.items() if n in warm}
        heard, voices = self._neighbour_loads.loads(now_us, self.connections.told, warm)
        known = min(1.0, (1.0 + voices) / self._nodes)
        loads = {n: (own.get(n, 0.0) + heard.get(n, 0.0)) / known for n in warm}
        capacity = sum(s.capacity for s in warm.values())
        total = sum(loads.values())
        shares = {n: total * s.capacity / capacity for n, s in warm.items()} if capacity > 0 else {}
        core = SECOND * self._terms.cores * self._terms.spare_below if self.connections.told else 0.0
        noise = self.connections.unevenness() * (1.0 - known) / known * (CHANCE if self._active else 1.0)
        spared = {n: core * s.capacity for n, s in warm.items()}
        return View(_shrunk(loads, shares, noise), shares, known, spared)

    def _has_room(self, server: int) -> bool:
        view = self._seen
        return server in view.shares and view.loads[server] < self._terms.fill_to * view.shares[server]

    def _judge(self, now_us: int, view: View) -> bool:
        """Whether groups are being moved at present. Begins late and ends early: in between, a fleet that
        is neither is left alone.
        """
        if not self._active:
            over = view.imbalance - self._terms.start_at
            self._excess_s += (over if over > 0 else -FORGIVING) * LOOK_US / SECOND
            self._excess_s = max(0.0, self._excess_s)
            if over <= 0 and view.known >= MOST_KNOWN and now_us >= self._quiet_until_us:
                self._excess_s = 0.0
                self._quiet_until_us = now_us + self._quiet_us
                self._quiet_us = min(2 * self._quiet_us, LONGEST_QUIET_US)
            ready = over > 0 and self._excess_s >= self._terms.patience_s and now_us >= self._paused_until_us
            warned = over > 0 and self._excess_s >= ALERT_AT * self._terms.patience_s
            if not ready and not (warned and now_us >= self._quiet_until_us):
                self._alarm_us = None
                return False
            self._alarm_us = self._alarm_us if self._alarm_us is not None else now_us
            deaf = self._reporter is not None and view.known < MOST_KNOWN
            if not ready or (deaf and now_us - self._alarm_us < HEAR_US):
                return False
            self._alarm_us = None
            self._active, self._moved, self._useful_us = True, 0, now_us
            self._quiet_us = QUIET_US
            self._asked.clear()
            self._pace.begin(now_us)
            self._notes.append({"state": "begun", "imbalance": round(view.imbalance, 2)})
            return True
        done = all(self._excess(view, n) <= 0 for n in view.shares)
        if self._pace.shut(now_us):
            self._useful_us = now_us  # held, not in vain
        if done or now_us - self._useful_us >= GIVE_UP_US:
            self._active, self._excess_s = False, 0.0
            self._paused_until_us = now_us + self._pause_us
            self._pause_us = PAUSE_US if done else min(2 * self._pause_us, LONGEST_PAUSE_US)
            state = "balanced" if done else "nothing-to-move"
            self._notes.append({"state": state, "imbalance": round(view.imbalance, 2), "moved": self._moved})
            return False
        return True

    def _excess(self, view: View, number: int) -> float:
        """What a form server holds beyond what is left in peace, in the whole fleet."""
        return view.loads[number] - max(self._terms.stop_at * view.shares[number], view.spared[number])

    def _choose(
        self, now_us: int, view: View, choose_elsewhere: ChooseElsewhere, orders: Orders, active: bool
    ) -> None:
        """Heaviest first, so that few are moved, and groups that stand whole before scattered ones."""
        reserved: dict[int, float] = {}
        for one in self._reserved:
            reserved[one.server] = reserved.get(one.server, 0.0) + one.weight
        room = {
            n: self._terms.fill_to * share - view.loads[n] - reserved.get(n, 0.0)
            for n, share in view.shares.items()
        }
        targets = sum(1 for free in room.values() if free > 0)
        allowed = self._pace.allowance(now_us, view.imbalance, targets)
        if allowed <= 0:
            return
        allowed -= self._follow(now_us, room, choose_elsewhere, orders)
        questions = QUESTIONS if active else 0
        over = [n for n in view.shares if self._excess(view, n) > 0]
        for number in sorted(over, key=lambda n: (-self._excess(view, n), n)):
            held = self.connections.held.get(number)
            if held is None:
                continue
            # This node's part of what is too much there.
            excess = self._excess(view, number) * held.load / view.loads[number]
            for group, members in self._candidates(now_us, number):
                if allowed <= 0 or questions <= 0:
                    return
                if excess <= 0:
                    break
                weight = self.connections.weight(members)
                # One heavier than what is to go, or than this node's part of the room, goes by lot: so all
                # nodes together move about as much as they should. The lot is the group's own, the same
                # at every node.
                lot = weight * _hash(group) / 2**32
                if lot > excess:
                    continue
                questions -= 1
                target = choose_elsewhere(list(members))
                free = room.get(target, 0.0) if target is not None else 0.0
                if target is None or weight > free or lot > free * max(1.0 / self._nodes, view.known):
                    self._asked[group] = now_us + ASK_AGAIN_US
                    continue
                self._move(now_us, group, members, target, weight, orders)
                room[target] -= weight
                excess -= weight
                allowed -= len(members)

    def _follow(
        self, now_us: int, room: dict[int, float], choose_elsewhere: ChooseElsewhere, orders: Orders
    ) -> int:
        """Moves what is left here of groups that neighbours have begun to move; returns how many."""
        moved = 0
        followed, self._followed = self._followed, {}
        for hashed in followed:
            group = self._named.get(hashed)
            if group is None:
                continue
            for number in self.connections.where(group):
                if room.get(number, 0.0) > 0:
                    continue  # not where the neighbour has moved it from: this one takes others in
                members = self.connections.movable(number, group, now_us - self._rest_us)
                target = choose_elsewhere(list(members)) if members else None
                if target is not None and room.get(target, 0.0) > 0:
                    weight = self.connections.weight(members)
                    self._move(now_us, group, members, target, weight, orders)
                    room[target] -= weight
                    moved += len(members)
        return moved

    def _candidates(self, now_us: int, number: int) -> list[tuple[Key, dict[str, Standing]]]:
        connections = self.connections
        found = [
            (group, members)
            for group in connections.held[number].groups
            if self._unsettled.get(group, 0) <= now_us
            and self._asked.get(group, 0) <= now_us
            and (members := connections.movable(number, group, now_us - self._rest_us))
        ]

        def order(item: tuple[Key, dict[str, Standing]]) -> tuple[bool, float, Key]:
            group, members = item
            return not connections.whole(group), -connections.weight(members) / len(members), group

        return sorted(found, key=order)

    def _move(
        self,
        now_us: int,
        group: Key,
        members: dict[str, Standing],
        target: int,
        weight: float,
        orders: Orders,
    ) -> None:
        for one in members.values():
            one.leaving = True
            orders.moves.append(one.id)
            self._moved_us.append(now_us)
        self._pace.spend(len(members))
        self._reserved.append(_Reserved(group, target, weight, now_us + RETURN_US))
        self._unsettled[group] = now_us + RETURN_US
        if self._reporter is not None:
            self._reporter.moved(_hash(group))
        self._moved += len(members)
        self._useful_us = now_us


def _hash(group: Key) -> int:
    """The same 32 bits at every node."""
    return mmh3.hash(group, signed=False)


def _shrunk(loads: dict[int, float], shares: dict[int, float], noise: float) -> dict[int, float]:
    """A node that knows only part of the load sees differences that are chance. What of the spread between
    form servers chance explains is taken off every difference (the estimator of James and Stein): where it
    explains all, as in a fleet in balance, none is left. `noise`: the variance of an estimate over its mean.
    """
    ratios = {n: loads[n] / share for n, share in shares.items() if share > 0}
    if noise <= 0 or not ratios:
        return loads
    seen = sum((ratio - 1.0) ** 2 for ratio in ratios.values())
    chance = sum(noise / shares[n] for n in ratios)
    real = max(0.0, 1.0 - chance / seen) if seen > 0 else 0.0
    return {n: shares[n] * (1.0 + real * (ratios[n] - 1.0)) if n in ratios else loads[n] for n in loads}


def _forget(times_us: deque[int], before_us: int) -> None:
    while times_us and times_us[0] < before_us:
        times_us.popleft()
