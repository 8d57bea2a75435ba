"""The settings of a world. Ranges and defaults are those of the documented deployment."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from typing import Any

SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class RequestClassSettings:
    """One class of connections. Times are in us; load and lifetime are relative to the usual values."""

    name: str
    share: float  # share of new connections
    objective_us: int  # objective for the set-up time
    deadline_us: int  # the client gives up after this time
    message_us: int  # objective for the time to answer a message
    priority_weight: float  # per second
    load: tuple[float, float]
    lifetime: tuple[float, float]
    setup_us: float  # mean of the exponentially distributed part of the set-up work


CLASSES = (
    RequestClassSettings("page-load", 0.42, 500_000, 2_000_000, 50_000, 1.0, (1, 1), (1, 1), 8_000),
    RequestClassSettings("answer-save", 0.26, 500_000, 2_000_000, 250_000, 3.0, (4, 8), (0.3, 1), 10_000),
    RequestClassSettings("field-check", 0.18, 300_000, 1_800_000, 100_000, 1.0, (2, 4), (1, 1), 10_000),
    RequestClassSettings("progress-sync", 0.14, 800_000, 4_800_000, 100_000, 2.0, (4, 8), (1, 1), 11_000),
)
ZONES = ("daejeon-1", "daejeon-2", "sejong-1", "gwangju-1")


@dataclass(frozen=True)
class WorldSettings:
    """The settings of one world. Durations are in us unless the name states another unit."""

    form_servers: int = 14
    nodes: int = 4
    households: int = 800  # households connected at any time, each with one or a few connections
    seconds: float = 60.0
    utilization: float = 0.35  # load of the established connections over the capacity of the warm fleet
    classes: tuple[RequestClassSettings, ...] = CLASSES
    zones: tuple[str, ...] = ZONES
    # Probabilities of 1, 2, ... connections per household.
    group_size_shares: tuple[float, ...] = (0.55, 0.25, 0.12, 0.08)
    lifetime_s: float = 120.0  # mean time for which a connection is wanted
    # Form servers.
    cores: float = 2.0
    speed: tuple[float, float] = (0.85, 1.1)  # capacity of one core in seconds of work per second
    initial_capacity_share: tuple[float, float] = (0.13, 0.36)
    slow_start_us: tuple[int, int] = (12 * SECOND, 24 * SECOND)
    # Maximum number of connections of one form server, over the number that fills its capacity.
    max_connections_ratio: float = 2.8
    handshake_us: tuple[float, float] = (2_700, 6_000)  # uniformly distributed part of the set-up work
    household_cost: float = 1.5  # in mean connection loads, added once per household on a form server
    buffer_us: int = 1_500_000  # backlog beyond which the newest connections are dropped
    # In slow start a form server falls over if the work that it receives within the window exceeds this
    # multiple of its current capacity.
    overload_multiple: float = 3.0
    overload_window_us: int = 3 * SECOND
    drain_grace_us: int = 2 * SECOND
    # Households.
    load_sigma: float = 0.6
    load_change_sigma: float = 0.4
    load_change_us: int = 10 * SECOND
    reconnect_us: tuple[int, int] = (50_000, 640_000)
    follows_advice_share: float = 0.6  # share of the clients that follow advice
    # One-way delays and losses of the network.
    near_us: tuple[int, int] = (60, 170)
    far_us: tuple[int, int] = (1_000, 1_900)
    client_us: tuple[int, int] = (370, 1_100)
    datagram_us: tuple[int, int] = (1_400, 33_000)
    datagrams_lost: float = 0.02
    # The service registry (the platform's roster).
    notice_us: tuple[int, int] = (1_700_000, 4_500_000)
    unresponsive_notice_us: tuple[int, int] = (5_200_000, 12_000_000)
    call_us: tuple[int, int] = (28_000, 86_000)
    # Number of new watches that the registry starts per second, one after another (0: no limit), and the time
    # after which a waiting call fails.
    roster_per_s: float = 0.0
    registry_call_timeout_us: int = 2_000_000
    # Delay with which the reference policy sees the true state. Negative: the nodes decide themselves.
    reference_delay_us: int = -1
    # Settings that are passed to the nodes.
    tick_us: int = 5_000
    max_attempts: int = 5
    connect_timeout_us: int = 120_000
    max_retry_after_us: int = 2_000_000
    peer_messages: bool = True

    @cached_property
    def connections(self) -> float:
        """Returns the mean number of established connections."""
        return self.households * sum(c * (n + 1) for n, c in enumerate(self.group_size_shares))

    @cached_property
    def connection_load(self) -> float:
        """Returns a mean connection's load in us of work per second, derived from the utilization."""
        fleet = self.form_servers * self.cores * sum(self.speed) / 2 * SECOND
        groups = self.household_cost * self.households / self.connections
        return self.utilization * fleet / (self.connections * (1.0 + groups))

    def node_settings(self, index: int) -> dict[str, Any]:
        """Returns the settings of a node under the platform's names."""
        return {
            "az": self.zones[index % len(self.zones)],
            "siblings": self.nodes,
            "index": index,
            "discovery": "ask",
            "tickUs": self.tick_us,
            "services": [
                {
                    "name": c.name,
                    "objectiveUs": c.objective_us,
                    "deadlineUs": c.deadline_us,
                    "effect": "idempotent",
                    "gain": c.priority_weight,
                }
                for c in self.classes
            ],
            "familyInfo": {
                "messageAimUs": [float(c.message_us) for c in self.classes],
                "groups": True,
                "mode": "proxy",
            },
            "limits": {
                "maxAttempts": self.max_attempts,
                "connectTimeoutUs": self.connect_timeout_us,
                "retryAfter": True,
                "maxRetryAfterUs": self.max_retry_after_us,
                "peerMessages": self.peer_messages,
            },
            "obligations": {
                "drainGraceUs": self.drain_grace_us,
                "coldFrom": min(0.13, self.initial_capacity_share[0]),
                "coldUs": 24 * SECOND,
                "fallMultiple": self.overload_multiple,
                "fallUs": self.overload_window_us,
                "answerSlackUs": 20_000,
                "mustAskInUs": 10 * SECOND,
            },
        }
