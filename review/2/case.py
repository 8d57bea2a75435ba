"""A new form server joins a loaded fleet whose list gives live weights, and another form server crashes."""

from __future__ import annotations

import asyncio
import math
import random
import sys
from pathlib import Path
from typing import Any

from stand_ins import SETTINGS, Case, FormServer, run_case

# The deployment Horas de Obra: 3 nodes, 9 form servers of 4 cores, of which 8 to 22 connections fill one. The
# most is assumed, so that the new form server bears as much as one can. The fleet is filled to 78%.
NODES, SERVERS, CORES, PER_CORE = 3, 9, 4, 22
SESSIONS = SERVERS * 69
# About 8 new connections a second arrive besides those that come again, and as many end.
ARRIVALS_PER_S = 8
# Weights are renewed every 500 to 1,100 ms, and come 140 to 420 ms late.
RENEWAL_S, LATE_S = 0.8, 0.4
# From the start of the new form server to the crash of another, and from there to the end.
JOINED_S, WATCH_S = 0.5, 8.0
COLD_FROM, COLD_S, FALL_MULTIPLE, FALL_S = 0.36, 8.9, 3.0, 1.5
# Every time limit is extended by this much on sockets.
SLACK_S = 0.05
SERVICES = [("fichada", 500, 3000), ("planilla-capataz", 300, 1800), ("resumen-semana", 800, 3200)]
HORAS: dict[str, Any] = {
    "discovery": "push",
    "weightSource": "live",
    "tickUs": 4000,
    "services": [
        {**SETTINGS["services"][0], "name": name, "objectiveUs": 1000 * objective, "deadlineUs": 1000 * wait}
        for name, objective, wait in SERVICES
    ],
    "familyInfo": {
        **SETTINGS["familyInfo"],
        "messageAimUs": [150000.0, 100000.0, 60000.0],
        "tellsLoad": False,
    },
    "limits": {
        **SETTINGS["limits"],
        "connectTimeoutUs": 250_000,
        "maxAttempts": 3,
        "maxRetryAfterUs": 1_500_000,
        "peerMessages": False,
    },
    "obligations": {
        **SETTINGS["obligations"],
        "coldFrom": COLD_FROM,
        "coldUs": int(COLD_S * 1e6),
        "drainGraceUs": 400_000,
        "fallMultiple": FALL_MULTIPLE,
        "fallUs": int(FALL_S * 1e6),
    },
}


class ColdServer(FormServer):
    """A form server that has just started, and falls over for good if it is sent too much."""

    def begin(self, case: Case) -> None:
        """Starts the clock of the warm-up."""
        self._case, self._began = case, case.record.now()
        self.most: tuple[float, int, float] = (0.0, 0, 0.0)  # share of the limit, requests, limit
        self.fell = False
        self.on_attempt = self._check

    def _limit(self, age_s: float) -> float:
        """Returns how many requests of mean work it bears within the window that ends now."""
        share = min(1.0, COLD_FROM + (1 - COLD_FROM) * age_s / COLD_S)
        # It takes new connections as fast as fills it over its warm-up.
        n = FALL_MULTIPLE * share * CORES * PER_CORE / COLD_S * (FALL_S + SLACK_S)
        return n + 3 * math.sqrt(n) + 3 if n < 30 else n + 2 * math.sqrt(n) + 2

    def _check(self) -> None:
        now = self._case.record.now()
        count = sum(1 for at, _ in self.attempts if at > now - FALL_S)
        limit = self._limit(now - self._began)
        self.most = max(self.most, (count / limit, count, limit))
        if count > limit and not self.fell:
            self.fell = True
            self._record.write(
                f"{self.name} falls over: {count} requests in {FALL_S} s, it bears {limit:.1f}"
            )
            self._case.begin(self.stop())


async def renew_weights(case: Case) -> None:
    """Renews the weights: the size divided by 1 and the requests held per core."""
    while True:
        sizes = {s.name: round(1 / (1 + len(s.standing) / CORES), 4) for s in case.servers}
        await asyncio.sleep(LATE_S)
        case.registry.weigh(sizes)
        await asyncio.sleep(RENEWAL_S - LATE_S)


def route(case: Case) -> str:
    """Distributes connections over the nodes, as the front does."""
    return random.choice(case.nodes).listen


async def arrive(case: Case) -> None:
    """Adds clients at the usual rate; as many leave, so that the load stays the same."""
    n = 0
    while True:
        case.clients[n].leave()
        n += 1
        case.add_client(lambda: route(case), f"new{n}", SERVICES[0][0], SERVICES[0][2])
        await asyncio.sleep(1 / ARRIVALS_PER_S)


async def play(case: Case) -> bool:
    """Returns whether the new form server stays up."""
    await case.set_up(nodes=NODES, servers=SERVERS, **HORAS)
    case.begin(renew_weights(case))
    for n in range(SESSIONS):
        case.add_client(lambda: route(case), f"c{n}", SERVICES[0][0], SERVICES[0][2])
        await asyncio.sleep(0.015)
    await asyncio.sleep(3)
    case.record.say(f"sessions at the form servers: {[len(s.standing) for s in case.servers]}")
    case.begin(arrive(case))
    cold = ColdServer(case.record, "s-5bff0011", case.spare_port)
    cold.begin(case)
    await case.add_server(cold)
    await asyncio.sleep(JOINED_S)
    told = [n.name for n in case.nodes if any("slow-start " in t and cold.name in t for t in n.log)]
    case.record.say(f"nodes that were told of its start: {told}")
    if case.trouble:
        case.record.write(f"{case.servers[0].name} crashes")
        await case.servers[0].stop()
    await asyncio.sleep(WATCH_S)
    _, count, limit = cold.most
    case.record.say(
        f"the new form server was sent up to {count} requests in {FALL_S} s and bears {limit:.1f}"
    )
    case.record.say(f"it {'fell over' if cold.fell else 'stays up'}")
    return not cold.fell


run_case(play, record=Path(sys.argv[1]))  # record.txt in this folder, as run.sh names it
