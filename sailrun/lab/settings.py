"""The figures of a world. Ranges and defaults are those of the account of the deployment."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from typing import Any

SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class RequestClassSettings:
    """One class of connections. Times in us; load and life relative to the usual ones."""

    name: str
    share: float  # of new connections
    objective_us: int  # wanted set-up time
    deadline_us: int  # given up after
    message_us: int  # a message wanted within
    priority_weight: float  # a second
    load: tuple[float, float]
    life: tuple[float, float]
    setup_us: float  # mean work to set one up


CLASSES = (
    RequestClassSettings("page-load", 0.42, 500_000, 2_000_000, 50_000, 1.0, (1, 1), (1, 1), 8_000),
    RequestClassSettings("answer-save", 0.26, 500_000, 2_000_000, 250_000, 3.0, (4, 8), (0.3, 1), 10_000),
    RequestClassSettings("field-check", 0.18, 300_000, 1_800_000, 100_000, 1.0, (2, 4), (1, 1), 10_000),
    RequestClassSettings("progress-sync", 0.14, 800_000, 4_800_000, 100_000, 2.0, (4, 8), (1, 1), 11_000),
)
ZONES = ("daejeon-1", "daejeon-2", "sejong-1", "gwangju-1")


@dataclass(frozen=True)
class WorldSettings:
    """One world. Durations in us unless a name says otherwise."""

    form_servers: int = 14
    nodes: int = 4
    households: int = 800  # standing at any time, each with one connection or a few
    seconds: float = 60.0
    utilization: float = 0.35  # of the warm fleet, by what stands
    classes: tuple[RequestClassSettings, ...] = CLASSES
    zones: tuple[str, ...] = ZONES
    members: tuple[float, ...] = (0.55, 0.25, 0.12, 0.08)  # chances of 1, 2, ... connections a household
    life_s: float = 120.0
    # Form servers.
    cores: float = 2.0
    speed: tuple[float, float] = (0.85, 1.1)
    initial_capacity_share: tuple[float, float] = (0.13, 0.36)
    slow_start_us: tuple[int, int] = (12 * SECOND, 24 * SECOND)
    places: float = 2.8  # connections that one holds at most, over what fills it
    handshake_us: tuple[float, float] = (2_700, 6_000)
    household_cost: float = 1.5  # mean connection loads, once for each household held
    buffer_us: int = 1_500_000  # piled-up work beyond which the newest connections are dropped
    overload_multiple: float = 3.0
    overload_window_us: int = 3 * SECOND
    drain_grace_us: int = 2 * SECOND
    # Households.
    load_sigma: float = 0.6
    swing_sigma: float = 0.4
    swing_us: int = 10 * SECOND
    rejoin_us: tuple[int, int] = (50_000, 640_000)
    honour: float = 0.6  # share of the clients that follow advice
    # The network, one way.
    near_us: tuple[int, int] = (60, 170)
    far_us: tuple[int, int] = (1_000, 1_900)
    client_us: tuple[int, int] = (370, 1_100)
    datagram_us: tuple[int, int] = (1_400, 33_000)
    datagrams_lost: float = 0.02
    # The service registry (the platform's roster).
    notice_us: tuple[int, int] = (1_700_000, 4_500_000)
    silent_notice_us: tuple[int, int] = (5_200_000, 12_000_000)
    call_us: tuple[int, int] = (28_000, 86_000)
    # New watches that it takes a second, in turn, also those it has given up after so long; 0: all there are.
    roster_per_s: float = 0.0
    roster_patience_us: int = 2_000_000
    # The policy in place of the nodes' own sees the true state, so late; negative: the nodes decide.
    seeing_us: int = -1
    # What the nodes are told.
    tick_us: int = 5_000
    max_attempts: int = 5
    connect_timeout_us: int = 120_000
    max_retry_after_us: int = 2_000_000
    peer_messages: bool = True

    @cached_property
    def connections(self) -> float:
        """Connections that stand at any time, on average."""
        return self.households * sum(c * (n + 1) for n, c in enumerate(self.members))

    @cached_property
    def unit(self) -> float:
        """A mean connection's load, in us of work a second: what stands comes to the stated utilization."""
        fleet = self.form_servers * self.cores * sum(self.speed) / 2 * SECOND
        groups = self.household_cost * self.households / self.connections
        return self.utilization * fleet / (self.connections * (1.0 + groups))

    def settings(self, index: int) -> dict[str, Any]:
        """What a node is told, with the platform's names."""
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
