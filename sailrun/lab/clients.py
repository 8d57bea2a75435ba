"""Clients as the public documentation describes them: which sessions they want and when they reconnect."""

from __future__ import annotations

from dataclasses import dataclass

from sailrun.lab.chance import Stream
from sailrun.lab.settings import SECOND, RequestClassSettings, WorldSettings

# Upper bound of the wait of a client that fails repeatedly.
LONGEST_WAIT_US = 4 * SECOND


@dataclass(slots=True, eq=False)
class Client:
    """One connection that is wanted from `from_us` to `until_us`, across failures and moves."""

    number: int
    key: str
    group: str
    terms: RequestClassSettings
    zone: str
    from_us: int
    until_us: int
    mean_load: float
    load: float
    follows_advice: bool
    setup_us: float  # work to set it up
    failures: int = 0
    tries: int = 0
    returning: bool = False  # its connection broke or was moved
    request: str = ""  # of its current connection or attempt
    stands: bool = False
    moved_us: int = -(1 << 62)  # last move for balance
    sent_off_us: int = -(1 << 62)  # last move for any reason

    def again_us(self, chance: Stream, rejoin_us: tuple[int, int], advice_us: int = 0) -> int:
        """Returns the wait before the next connection after a rejection, a failure or a broken session."""
        if advice_us and self.follows_advice:
            return advice_us + int(advice_us * 0.1 * chance.random())
        wait_us = chance.whole(rejoin_us) << min(self.failures, 3)
        return min(wait_us, LONGEST_WAIT_US)


class Population:
    """Draws groups of clients. The clients of a group share its name and arrive together."""

    def __init__(self, terms: WorldSettings, seed: int) -> None:
        self._terms = terms
        self._who = Stream(seed, "who")
        self._loads = Stream(seed, "loads")
        self._count = self._homes = 0
        self._shares = tuple(c.share for c in terms.classes)
        mean = sum(c.share * sum(c.load) / 2 for c in terms.classes)
        self._base = terms.unit / mean
        self._life = sum(c.share * sum(c.life) / 2 for c in terms.classes)

    @property
    def arrivals_per_s(self) -> float:
        """Returns the rate of new groups that keeps the configured number of households connected."""
        return self._terms.households / self._terms.life_s

    def new_group(self, now_us: int, spread_us: int) -> list[Client]:
        """Draws the clients of a new group. All but the first arrive up to `spread_us` later."""
        self._homes += 1
        name = f"{(self._homes * 0x9E3779B97F4A7C15) & (1 << 64) - 1:016x}"
        zone = self._terms.zones[self._who.below(len(self._terms.zones))]
        members = 1 + self._who.pick(self._terms.members)
        return [
            self._client(name, zone, now_us + (int(spread_us * self._who.random()) if n else 0))
            for n in range(members)
        ]

    def _client(self, group: str, zone: str, from_us: int) -> Client:
        self._count += 1
        terms = self._terms.classes[self._who.pick(self._shares)]
        usual = self._base * self._who.between(terms.load)
        mean = self._who.lognormal(usual, self._terms.load_sigma)
        life_s = self._terms.life_s * self._who.between(terms.life) / self._life
        return Client(
            number=self._count,
            key=f"{(self._count * 0xD1B54A32D192ED03) & (1 << 64) - 1:016x}",
            group=group,
            terms=terms,
            zone=zone,
            from_us=from_us,
            until_us=from_us + int(SECOND * self._who.exponential(life_s)) + SECOND // 10,
            mean_load=mean,
            load=self._loads.lognormal(mean, self._terms.swing_sigma),
            follows_advice=self._who.random() < self._terms.honour,
            setup_us=self._who.between(self._terms.handshake_us) + self._who.exponential(terms.setup_us),
        )

    def swing(self, client: Client) -> float:
        """Draws the client's load from now on."""
        client.load = self._loads.lognormal(client.mean_load, self._terms.swing_sigma)
        return client.load

    def next_swing_us(self) -> int:
        return int(self._loads.exponential(self._terms.swing_us))
