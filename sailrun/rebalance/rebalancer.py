"""Decides which clients are moved to balance the load, and when.

A pure state machine: takes events and the time, returns moves and datagrams. A node moves a part of a form
server's excess load that is proportional to its own part of the form server's load, so that nodes that
receive no reports of each other do not overshoot together either. The decision module chooses the new place
of a group; this module only decides whether to move it.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

import mmh3

from sailrun.decisions.events import AttemptOutcome, Backend, BackendState, ListKind
from sailrun.decisions.settings import Settings
from sailrun.rebalance.connection_table import ConnectionTable, GroupKey, TrackedConnection
from sailrun.rebalance.gossip import InvalidGossipError, LoadReporter, NeighbourLoads, decode_report
from sailrun.rebalance.move_rate import MoveRate
from sailrun.rebalance.settings import RebalanceSettings

SECOND = 1_000_000
CHECK_INTERVAL_US = SECOND // 4
# The interval at which sums are recalculated. For STARTUP_US after the start, while most loads are not
# reported yet, it is a second.
RECOUNT_INTERVAL_US, STARTUP_US = 5 * SECOND, 15 * SECOND
# The time in which the client of a moved group reconnects, if at all. Capacity is reserved for the group for
# as long.
RETURN_US = 3 * SECOND
# The time in which a node moves its connections of a group that another node has begun to move.
FOLLOW_US = 3 * SECOND
# The number of groups for which a check queries the decision module, and the time until the next query for a
# group that has to stay.
MAX_PLACEMENT_QUERIES, QUERY_RETRY_US = 24, 4 * SECOND
# Moving ends after the first time without a move: the groups are too heavy, or no form server has capacity
# for them. After every end, moving does not begin again for a pause. An end without balance doubles the pause
# that follows the next end, up to the maximum; an end with balance resets it.
GIVE_UP_US, PAUSE_US, MAX_PAUSE_US = 15 * SECOND, 10 * SECOND, 640 * SECOND
# The share of the spread explained by chance that is subtracted while groups are moved. Before moving begins
# all of it is subtracted, which gives the best estimate of each single load. While groups are moved that
# would leave the busiest form server as it is: four nodes without reports of each other only reached an
# imbalance of 1.3.
ACTIVE_NOISE_SHARE = 0.2
# After its alert a node waits this long for the reports of the other nodes before its first move.
ALERT_WAIT_US = 1 * SECOND
# The share of `patience_s` that the excess must reach before a node sends an alert to the other nodes.
ALERT_EXCESS_SHARE = 0.5
# An estimate that includes at least this share of the nodes and shows no excess refutes alerts: they are
# blocked for this time, which doubles each time up to the maximum and is reset when moving begins. An excess
# that is high enough to begin moving is not blocked.
ALERT_BLOCK_US, MAX_ALERT_BLOCK_US, SUFFICIENT_KNOWN_SHARE = 30 * SECOND, 480 * SECOND, 0.8
# The rate at which the integrated excess decays while there is no excess, so that separate short excesses do
# not add up until moving begins.
EXCESS_DECAY_PER_S = 0.05
# Returning clients are a storm if within this time there are more than this number, plus this share of the
# established connections, plus two for each recent move of this node, because moves cause returns.
STORM_WINDOW_US, STORM_MIN_RETURNS, STORM_SHARE = 2 * SECOND, 4, 0.05
# Slow set-ups on a form server that seemed to have free capacity are a sign of trouble: set-ups that take at
# least this share of the objective, at least this number of them within this time.
SLOW_SETUP_SHARE, SLOW_SETUP_COUNT, SLOW_SETUP_WINDOW_US = 0.5, 2, 2 * SECOND

# Returns the form server on which the decision module would place these connections now; None: they stay.
ChooseElsewhere = Callable[[Sequence[str]], int | None]


@dataclass(slots=True)
class Orders:
    """The result of a check."""

    moves: list[str] = field(default_factory=list)  # the connections to move
    datagram: bytes | None = None  # a datagram for all other nodes
    log_entries: list[dict[str, object]] = field(default_factory=list)  # fields of log lines


@dataclass(slots=True)
class _Reservation:
    group: GroupKey
    server: int
    weight: float
    until_us: int


@dataclass(slots=True)
class LoadEstimate:
    """The estimated loads, over all nodes, of the form servers that are out of slow start."""

    loads: dict[int, float]
    shares: dict[int, float]  # each form server's share of the load, by its capacity
    known_share: float  # the share of the nodes whose loads are included, 0 to 1
    acceptable_loads: dict[int, float]  # loads up to which a form server is not relieved; 0: unknown

    @property
    def imbalance(self) -> float:
        """Returns the highest ratio of load to share of the form servers over their acceptable load, or 0."""
        ratios = (
            self.loads[n] / s
            for n, s in self.shares.items()
            if s > 0 and self.loads[n] > self.acceptable_loads[n]
        )
        return max(ratios, default=0.0)


class Rebalancer:
    """Decides which clients are moved to balance the load. Pure: each call passes the time."""

    def __init__(
        self, rebalance_settings: RebalanceSettings, decision_settings: Settings, now_us: int
    ) -> None:
        self._settings = rebalance_settings
        self._node_count = decision_settings.instances
        self._slow_start_us = decision_settings.slow_start_us
        self._weight_source = decision_settings.weight_source
        self._objectives_us = {c.name: c.objective_us for c in decision_settings.classes}
        self._rest_us = int(rebalance_settings.rest_s * SECOND)
        self._servers: dict[int, Backend] = {}
        self.connections = ConnectionTable()
        self._neighbour_loads = NeighbourLoads(int(rebalance_settings.tell_s * SECOND), self._node_count)
        sends_datagrams = (
            rebalance_settings.neighbours and decision_settings.peer_messages and self._node_count > 1
        )
        self._reporter = (
            LoadReporter(now_us // 1000, int(rebalance_settings.tell_s * SECOND), self._node_count)
            if sends_datagrams
            else None
        )
        self._move_rate = MoveRate(
            rebalance_settings.first_per_s / self._node_count,
            rebalance_settings.most_per_s / self._node_count,
            rebalance_settings.widening,
            int(rebalance_settings.hold_s * SECOND),
            now_us,
        )
        self._last_estimate = LoadEstimate({}, {}, 1.0, {})  # at the last check
        self._reservations: list[_Reservation] = []
        self._returning_until_us: dict[GroupKey, int] = {}  # groups with a connection that is reconnecting
        self._query_retry_at_us: dict[GroupKey, int] = {}  # groups that had to stay
        self._groups_by_hash: dict[int, GroupKey] = {}  # the groups of this node
        self._moved_elsewhere_until_us: dict[int, int] = {}  # by hash: groups that other nodes move
        self._move_times_us: deque[int] = deque()
        self._return_times_us: deque[int] = deque()
        self._slow_setup_times_us: dict[int, deque[int]] = {}
        self._next_check_us = now_us + CHECK_INTERVAL_US
        self._started_us, self._next_recount_us = now_us, now_us + SECOND
        self._excess_s = 0.0  # the excess over `start_at`, integrated over seconds
        self._is_active = False
        self._alert_since_us: int | None = None  # since when this node sends alerts
        self._alerts_blocked_until_us, self._alert_block_us = 0, ALERT_BLOCK_US
        self._last_useful_us = now_us  # the last move, the start of moving, or the last suspension
        self._paused_until_us, self._pause_us = 0, PAUSE_US
        self._moved_count = 0
        self._is_draining = self._discovery_failed = False
        self._unreadable_neighbours: set[int] = set()  # nodes whose last datagram was invalid
        self._log_entries: list[dict[str, object]] = []

    # ------------------------------------------------------------------ events

    def on_list_update(self, now_us: int, kind: ListKind, entries: Iterable[Backend]) -> None:
        """The endpoint list or changes to it have arrived."""
        self._discovery_failed = self._discovery_failed and kind is ListKind.CACHED
        servers_by_number = {entry.id: entry for entry in entries}
        for number, entry in servers_by_number.items():
            old = self._servers.get(number)
            if old is not None and old.state is BackendState.READY and entry.state is not BackendState.READY:
                self._suspend(now_us, "drain")
        if kind is ListKind.DELTA:
            self._servers.update(servers_by_number)
            return
        if any(
            s.state is BackendState.READY and n not in servers_by_number for n, s in self._servers.items()
        ):
            self._suspend(now_us, "gone")
        self._servers = servers_by_number

    def on_discovery_failed(self, now_us: int) -> None:
        """Discovery has failed. No client is moved until it recovers: form servers may be draining."""
        self._discovery_failed = True
        self._suspend(now_us, "roster-lost")

    def on_request(self, now_us: int, is_returning: bool) -> None:
        """A client has requested a session."""
        if not is_returning:
            return
        self._return_times_us.append(now_us)
        _drop_before(self._return_times_us, now_us - STORM_WINDOW_US)
        _drop_before(self._move_times_us, now_us - STORM_WINDOW_US - RETURN_US)
        limit = STORM_MIN_RETURNS + 2 * len(self._move_times_us) + STORM_SHARE * len(self.connections.by_id)
        if len(self._return_times_us) > limit:
            self._suspend(now_us, "returns")

    def on_established(
        self,
        now_us: int,
        connection_id: str,
        server: int,
        group: GroupKey,
        request_class: str,
        has_returned: bool,
        latency_us: int | None,
    ) -> None:
        """A session is established. `has_returned`: the client reconnected after a failure or a move.
        `latency_us`: the set-up time; None: the session was established before this node started.
        """
        self.connections.add(
            TrackedConnection(connection_id, group, request_class, server, now_us, has_returned)
        )
        self._returning_until_us.pop(group, None)
        if self._reporter is not None:
            self._groups_by_hash[_hash(group)] = group
        for n, reservation in enumerate(self._reservations):
            if reservation.group == group:
                del self._reservations[n]
                break
        if latency_us is not None and latency_us >= SLOW_SETUP_SHARE * self._objectives_us.get(
            request_class, math.inf
        ):
            slow_times_us = self._slow_setup_times_us.setdefault(server, deque())
            slow_times_us.append(now_us)
            _drop_before(slow_times_us, now_us - SLOW_SETUP_WINDOW_US)
            if len(slow_times_us) >= SLOW_SETUP_COUNT and self._has_free_capacity(server):
                self._suspend(now_us, "slow-set-ups")

    def on_load_reported(self, connection_id: str, load: float) -> None:
        """The load of an established session was reported."""
        self.connections.set_load(connection_id, load)

    def on_ended(self, now_us: int, connection_id: str, outcome: AttemptOutcome) -> None:
        """An established session has ended. If it was not closed normally, its client will reconnect."""
        connection = self.connections.remove(connection_id)
        if connection is not None and outcome is not AttemptOutcome.OK:
            self._returning_until_us[connection.group] = now_us + RETURN_US

    def on_attempt_rejected(self, now_us: int, server: int) -> None:
        """A form server has rejected an attempt."""
        if self._has_free_capacity(server):
            self._suspend(now_us, "turned-away")

    def on_rejected(self, now_us: int) -> None:
        """This node has rejected a request: there is not even capacity for new clients."""
        self._suspend(now_us, "refusals")

    def on_peer_message(self, now_us: int, sender: int, content: bytes) -> None:
        """A datagram was received from another node. Of successive invalid ones only the first is logged."""
        try:
            report = decode_report(content)
        except InvalidGossipError as error:
            if sender not in self._unreadable_neighbours:
                self._unreadable_neighbours.add(sender)
                self._log_entries.append(
                    {"state": "datagram-rejected", "neighbour": sender, "why": str(error)}
                )
            return
        self._unreadable_neighbours.discard(sender)
        if self._reporter is not None:
            self._reporter.on_datagram()
        if self._neighbour_loads.update(now_us, sender, report):
            if report.alert and self._reporter is not None:
                self._reporter.on_alert()
            for group in report.moved_groups:
                if group in self._groups_by_hash:
                    self._moved_elsewhere_until_us[group] = now_us + FOLLOW_US

    def set_draining(self, is_draining: bool = True) -> None:
        """Sets whether this node is draining. A draining node moves no clients to balance the load."""
        self._is_draining = is_draining

    @property
    def is_active(self) -> bool:
        """Returns whether groups are being moved."""
        return self._is_active

    def set_rate_share(self, share: float) -> None:
        """Sets this node's share of the fleet's move rate, 0 to 1, which replaces the equal share."""
        self._move_rate.node_shares = share * self._node_count

    def _suspend(self, now_us: int, reason: str) -> None:
        if self._move_rate.suspend(now_us) and self._is_active:
            self._log_entries.append({"state": "held", "why": reason, "moved": self._moved_count})

    # ------------------------------------------------------------------ checks

    def is_due(self, now_us: int) -> bool:
        """Returns whether it is time to call `plan_moves`."""
        return now_us >= self._next_check_us

    def plan_moves(self, now_us: int, choose_elsewhere: ChooseElsewhere) -> Orders:
        """Checks the balance and returns the orders; to be called when `is_due` returns True."""
        self._next_check_us = now_us + CHECK_INTERVAL_US
        if now_us >= self._next_recount_us:
            is_starting = now_us - self._started_us < STARTUP_US
            self._next_recount_us = now_us + (SECOND if is_starting else RECOUNT_INTERVAL_US)
            self.connections.recount()
            self._returning_until_us = {
                k: until for k, until in self._returning_until_us.items() if until > now_us
            }
            self._query_retry_at_us = {
                k: until for k, until in self._query_retry_at_us.items() if until > now_us
            }
            self._groups_by_hash = {
                h: k for h, k in self._groups_by_hash.items() if self.connections.servers_of(k)
            }
        self._reservations = [r for r in self._reservations if r.until_us > now_us]
        self._moved_elsewhere_until_us = {
            h: until for h, until in self._moved_elsewhere_until_us.items() if until > now_us
        }
        orders = Orders()
        if self._is_draining:
            return orders
        if self._discovery_failed:
            self._suspend(now_us, "roster-lost")
        estimate = self._last_estimate = self.estimate_loads(now_us)
        is_active = self._update_is_active(now_us, estimate)
        if self._reporter is not None:
            own_loads = {
                n: server_connections.load for n, server_connections in self.connections.by_server.items()
            }
            orders.datagram = self._reporter.next_datagram(
                now_us,
                self.connections.loads_reported,
                own_loads,
                is_active or self._alert_since_us is not None,
            )
        if is_active or self._moved_elsewhere_until_us:
            self._choose_moves(now_us, estimate, choose_elsewhere, orders, is_active)
        orders.log_entries, self._log_entries = self._log_entries, []
        return orders

    def servers_past_slow_start(self, now_us: int) -> dict[int, Backend]:
        """Returns the ready form servers that are out of slow start, by number."""
        return {
            number: server
            for number, server in self._servers.items()
            if server.state is BackendState.READY
            and (server.started_us <= 0 or now_us - server.started_us >= self._slow_start_us)
        }

    def estimate_loads(self, now_us: int) -> LoadEstimate:
        """Estimates the loads of the fleet from those of this node and the reports of the others."""
        servers_past_slow_start = self.servers_past_slow_start(now_us)
        own_loads = {
            n: server_connections.load
            for n, server_connections in self.connections.by_server.items()
            if n in servers_past_slow_start
        }
        reported_loads, counted_nodes = self._neighbour_loads.loads(
            now_us, self.connections.loads_reported, servers_past_slow_start
        )
        known_share = min(1.0, (1.0 + counted_nodes) / self._node_count)
        loads = {
            n: (own_loads.get(n, 0.0) + reported_loads.get(n, 0.0)) / known_share
            for n in servers_past_slow_start
        }
        capacities = {
            n: self._weight_source.capacity(server.weight) for n, server in servers_past_slow_start.items()
        }
        capacity = sum(capacities.values())
        total_load = sum(loads.values())
        shares = (
            {n: total_load * capacities[n] / capacity for n in servers_past_slow_start}
            if capacity > 0
            else {}
        )
        acceptable_load = (
            SECOND * self._settings.cores * self._settings.spare_below
            if self.connections.loads_reported
            else 0.0
        )
        noise = (
            self.connections.mean_group_weight()
            * (1.0 - known_share)
            / known_share
            * (ACTIVE_NOISE_SHARE if self._is_active else 1.0)
        )
        acceptable_loads = {n: acceptable_load * capacities[n] for n in servers_past_slow_start}
        return LoadEstimate(_shrink_to_shares(loads, shares, noise), shares, known_share, acceptable_loads)

    def _has_free_capacity(self, server: int) -> bool:
        estimate = self._last_estimate
        return (
            server in estimate.shares
            and estimate.loads[server] < self._settings.fill_to * estimate.shares[server]
        )

    def _update_is_active(self, now_us: int, estimate: LoadEstimate) -> bool:
        """Begins or ends moving; returns whether groups are moved now.

        Moving begins at a higher imbalance than that at which it ends. Between the two nothing changes.
        """
        if not self._is_active:
            excess_ratio = estimate.imbalance - self._settings.start_at
            self._excess_s += (
                (excess_ratio if excess_ratio > 0 else -EXCESS_DECAY_PER_S) * CHECK_INTERVAL_US / SECOND
            )
            self._excess_s = max(0.0, self._excess_s)
            if (
                excess_ratio <= 0
                and estimate.known_share >= SUFFICIENT_KNOWN_SHARE
                and now_us >= self._alerts_blocked_until_us
            ):
                self._excess_s = 0.0
                self._alerts_blocked_until_us = now_us + self._alert_block_us
                self._alert_block_us = min(2 * self._alert_block_us, MAX_ALERT_BLOCK_US)
            may_begin = (
                excess_ratio > 0
                and self._excess_s >= self._settings.patience_s
                and now_us >= self._paused_until_us
            )
            may_alert = excess_ratio > 0 and self._excess_s >= ALERT_EXCESS_SHARE * self._settings.patience_s
            if not may_begin and not (may_alert and now_us >= self._alerts_blocked_until_us):
                self._alert_since_us = None
                return False
            self._alert_since_us = self._alert_since_us if self._alert_since_us is not None else now_us
            waits_for_answers = self._reporter is not None and estimate.known_share < SUFFICIENT_KNOWN_SHARE
            if not may_begin or (waits_for_answers and now_us - self._alert_since_us < ALERT_WAIT_US):
                return False
            self._alert_since_us = None
            self._is_active, self._moved_count, self._last_useful_us = True, 0, now_us
            self._alert_block_us = ALERT_BLOCK_US
            self._query_retry_at_us.clear()
            self._move_rate.restart(now_us)
            self._log_entries.append({"state": "begun", "imbalance": round(estimate.imbalance, 2)})
            return True
        is_balanced = all(self._excess(estimate, n) <= 0 for n in estimate.shares)
        if self._move_rate.is_suspended(now_us):
            self._last_useful_us = now_us  # a suspension does not count as time without a useful move
        if is_balanced or now_us - self._last_useful_us >= GIVE_UP_US:
            self._is_active, self._excess_s = False, 0.0
            self._paused_until_us = now_us + self._pause_us
            self._pause_us = PAUSE_US if is_balanced else min(2 * self._pause_us, MAX_PAUSE_US)
            state = "balanced" if is_balanced else "nothing-to-move"
            self._log_entries.append(
                {"state": state, "imbalance": round(estimate.imbalance, 2), "moved": self._moved_count}
            )
            return False
        return True

    def _excess(self, estimate: LoadEstimate, number: int) -> float:
        """Returns the load, over all nodes, by which a form server exceeds its limit; negative below it."""
        return estimate.loads[number] - max(
            self._settings.stop_at * estimate.shares[number], estimate.acceptable_loads[number]
        )

    def _choose_moves(
        self,
        now_us: int,
        estimate: LoadEstimate,
        choose_elsewhere: ChooseElsewhere,
        orders: Orders,
        is_active: bool,
    ) -> None:
        """Moves groups on one form server before scattered ones, and those with the highest load for each
        connection first, so that few connections are moved.
        """
        reserved_loads: dict[int, float] = {}
        for reservation in self._reservations:
            reserved_loads[reservation.server] = (
                reserved_loads.get(reservation.server, 0.0) + reservation.weight
            )
        free_capacities = {
            n: self._settings.fill_to * share - estimate.loads[n] - reserved_loads.get(n, 0.0)
            for n, share in estimate.shares.items()
        }
        target_count = sum(1 for free_capacity in free_capacities.values() if free_capacity > 0)
        moves_left = self._move_rate.allowance(now_us, estimate.imbalance, target_count)
        if moves_left <= 0:
            return
        moves_left -= self._move_rest_of_groups(now_us, free_capacities, choose_elsewhere, orders)
        queries_left = MAX_PLACEMENT_QUERIES if is_active else 0
        overloaded = [n for n in estimate.shares if self._excess(estimate, n) > 0]
        for number in sorted(overloaded, key=lambda n: (-self._excess(estimate, n), n)):
            server_connections = self.connections.by_server.get(number)
            if server_connections is None:
                continue
            # This node moves a part of the excess that is proportional to its part of the load.
            excess = self._excess(estimate, number) * server_connections.load / estimate.loads[number]
            for group, connections in self._candidates(now_us, number):
                if moves_left <= 0 or queries_left <= 0:
                    return
                if excess <= 0:
                    break
                weight = self.connections.weight(connections)
                # A group heavier than the excess, or than this node's part of the free capacity, is moved
                # with a probability, so that all nodes together move about the right load. The hash of the
                # group replaces a random number, so that every node decides the same.
                drawn_weight = weight * _hash(group) / 2**32
                if drawn_weight > excess:
                    continue
                queries_left -= 1
                target = choose_elsewhere(list(connections))
                free_capacity = free_capacities.get(target, 0.0) if target is not None else 0.0
                if (
                    target is None
                    or weight > free_capacity
                    or drawn_weight > free_capacity * max(1.0 / self._node_count, estimate.known_share)
                ):
                    self._query_retry_at_us[group] = now_us + QUERY_RETRY_US
                    continue
                self._move(now_us, group, connections, target, weight, orders)
                free_capacities[target] -= weight
                excess -= weight
                moves_left -= len(connections)

    def _move_rest_of_groups(
        self,
        now_us: int,
        free_capacities: dict[int, float],
        choose_elsewhere: ChooseElsewhere,
        orders: Orders,
    ) -> int:
        """Moves the connections of groups that other nodes have begun to move; returns their number."""
        moved = 0
        groups, self._moved_elsewhere_until_us = self._moved_elsewhere_until_us, {}
        for group_hash in groups:
            group = self._groups_by_hash.get(group_hash)
            if group is None:
                continue
            for number in self.connections.servers_of(group):
                if free_capacities.get(number, 0.0) > 0:
                    continue  # has free capacity, so the other node did not move the group from here
                connections = self.connections.movable_connections(number, group, now_us - self._rest_us)
                target = choose_elsewhere(list(connections)) if connections else None
                if target is not None and free_capacities.get(target, 0.0) > 0:
                    weight = self.connections.weight(connections)
                    self._move(now_us, group, connections, target, weight, orders)
                    free_capacities[target] -= weight
                    moved += len(connections)
        return moved

    def _candidates(self, now_us: int, number: int) -> list[tuple[GroupKey, dict[str, TrackedConnection]]]:
        table = self.connections
        candidates = [
            (group, connections)
            for group in table.by_server[number].groups
            if self._returning_until_us.get(group, 0) <= now_us
            and self._query_retry_at_us.get(group, 0) <= now_us
            and (connections := table.movable_connections(number, group, now_us - self._rest_us))
        ]

        def sort_key(item: tuple[GroupKey, dict[str, TrackedConnection]]) -> tuple[bool, float, GroupKey]:
            group, connections = item
            return not table.is_on_one_server(group), -table.weight(connections) / len(connections), group

        return sorted(candidates, key=sort_key)

    def _move(
        self,
        now_us: int,
        group: GroupKey,
        connections: dict[str, TrackedConnection],
        target: int,
        weight: float,
        orders: Orders,
    ) -> None:
        for connection in connections.values():
            connection.is_moving = True
            orders.moves.append(connection.id)
            self._move_times_us.append(now_us)
        self._move_rate.spend(len(connections))
        self._reservations.append(_Reservation(group, target, weight, now_us + RETURN_US))
        self._returning_until_us[group] = now_us + RETURN_US
        if self._reporter is not None:
            self._reporter.add_moved_group(_hash(group))
        self._moved_count += len(connections)
        self._last_useful_us = now_us


def _hash(group: GroupKey) -> int:
    """Returns 32 bits that are the same at every node."""
    return mmh3.hash(group, signed=False)


def _shrink_to_shares(loads: dict[int, float], shares: dict[int, float], noise: float) -> dict[int, float]:
    """Shrinks the estimated loads towards the shares of the form servers (the James-Stein estimator).

    A node that knows only part of the load sees random differences between form servers. The part of the
    spread that chance explains is subtracted from every difference. Where it explains all of the spread, as
    in a balanced fleet, no difference is left. `noise`: the variance of an estimate divided by its mean.
    """
    ratios = {n: loads[n] / share for n, share in shares.items() if share > 0}
    if noise <= 0 or not ratios:
        return loads
    observed = sum((ratio - 1.0) ** 2 for ratio in ratios.values())
    expected = sum(noise / shares[n] for n in ratios)
    real_share = max(0.0, 1.0 - expected / observed) if observed > 0 else 0.0
    return {n: shares[n] * (1.0 + real_share * (ratios[n] - 1.0)) if n in ratios else loads[n] for n in loads}


def _drop_before(times_us: deque[int], before_us: int) -> None:
    while times_us and times_us[0] < before_us:
        times_us.popleft()
