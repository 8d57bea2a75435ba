"""Clients as the public documentation describes them: which sessions they want and when they reconnect."""

from __future__ import annotations

from dataclasses import dataclass

from sailrun.lab.random_streams import Stream
from sailrun.lab.settings import SECOND, RequestClassSettings, WorldSettings

# Maximum delay before a client reconnects after repeated failures, unless it follows advice.
MAX_WAIT_US = 4 * SECOND


@dataclass(slots=True, eq=False)
class Client:
    """One connection that is wanted from `from_us` to `until_us`, across failures and moves."""

    number: int
    key: str
    group: str
    request_class: RequestClassSettings
    zone: str
    from_us: int
    until_us: int
    mean_load: float
    load: float
    follows_advice: bool
    setup_us: float  # work to set it up
    failures: int = 0
    connection_attempts: int = 0
    returning: bool = False  # its connection broke or was moved
    request: str = ""  # id of the request of its current connection or attempt
    is_connected: bool = False
    last_balance_move_us: int = -(1 << 62)  # time of its last move for balance
    last_move_us: int = -(1 << 62)  # time of its last move for any reason

    def reconnect_delay_us(
        self, random_stream: Stream, reconnect_us: tuple[int, int], advice_us: int = 0
    ) -> int:
        """Returns the delay before the client reconnects after a rejection, a failure or a broken session.
        The delay is doubled for each of up to 3 failures. A client that follows advice waits for the advised
        time and up to 10% more.
        """
        if advice_us and self.follows_advice:
            return advice_us + int(advice_us * 0.1 * random_stream.random())
        wait_us = random_stream.integer(reconnect_us) << min(self.failures, 3)
        return min(wait_us, MAX_WAIT_US)


class Population:
    """Draws groups of clients. The clients of a group share its name and arrive within a short time."""

    def __init__(self, settings: WorldSettings, seed: int) -> None:
        self._settings = settings
        self._group_random = Stream(seed, "who")
        self._load_random = Stream(seed, "loads")
        self._count = self._groups_drawn = 0
        self._shares = tuple(c.share for c in settings.classes)
        mean = sum(c.share * sum(c.load) / 2 for c in settings.classes)
        self._load_unit = settings.connection_load / mean
        self._mean_lifetime = sum(c.share * sum(c.lifetime) / 2 for c in settings.classes)

    @property
    def arrivals_per_s(self) -> float:
        """Returns the rate of new groups that keeps the configured number of households connected."""
        return self._settings.households / self._settings.lifetime_s

    def new_group(self, now_us: int, spread_us: int) -> list[Client]:
        """Draws the clients of a new group. All but the first arrive up to `spread_us` later."""
        self._groups_drawn += 1
        name = f"{(self._groups_drawn * 0x9E3779B97F4A7C15) & (1 << 64) - 1:016x}"
        zone = self._settings.zones[self._group_random.below(len(self._settings.zones))]
        members = 1 + self._group_random.pick(self._settings.group_size_shares)
        return [
            self._client(name, zone, now_us + (int(spread_us * self._group_random.random()) if n else 0))
            for n in range(members)
        ]

    def _client(self, group: str, zone: str, from_us: int) -> Client:
        self._count += 1
        request_class = self._settings.classes[self._group_random.pick(self._shares)]
        class_mean = self._load_unit * self._group_random.between(request_class.load)
        mean = self._group_random.lognormal(class_mean, self._settings.load_sigma)
        lifetime_s = (
            self._settings.lifetime_s
            * self._group_random.between(request_class.lifetime)
            / self._mean_lifetime
        )
        return Client(
            number=self._count,
            key=f"{(self._count * 0xD1B54A32D192ED03) & (1 << 64) - 1:016x}",
            group=group,
            request_class=request_class,
            zone=zone,
            from_us=from_us,
            until_us=from_us + int(SECOND * self._group_random.exponential(lifetime_s)) + SECOND // 10,
            mean_load=mean,
            load=self._load_random.lognormal(mean, self._settings.load_change_sigma),
            follows_advice=self._group_random.random() < self._settings.follows_advice_share,
            setup_us=self._group_random.between(self._settings.handshake_us)
            + self._group_random.exponential(request_class.setup_us),
        )

    def draw_load(self, client: Client) -> float:
        """Draws the client's load from now on."""
        client.load = self._load_random.lognormal(client.mean_load, self._settings.load_change_sigma)
        return client.load

    def next_load_change_us(self) -> int:
        return int(self._load_random.exponential(self._settings.load_change_us))
