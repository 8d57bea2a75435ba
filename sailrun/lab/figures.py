"""Computes the figures of a run from its records."""

from __future__ import annotations

import math
from collections.abc import Sequence

from sailrun.lab.records import Records

# The fleet is even if the busiest warm form server holds at most EVEN_RATIO times the mean load for
# EVEN_DURATION_S consecutive seconds.
EVEN_RATIO, EVEN_DURATION_S = 1.25, 5
# Prices of the documented deployment, as shares of the requested value: MOVE_PRICE for moving every client
# once, and MESSAGE_PRICE for one full message per request. A full message has FULL_MESSAGE bytes.
MOVE_PRICE, MESSAGE_PRICE, FULL_MESSAGE = 0.02, 0.01, 256


def quantile(values: Sequence[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def even_after(imbalances: Sequence[float], from_s: int) -> float:
    """Returns the seconds from `from_s` until the fleet is even, or infinity if it never is."""
    for second in range(from_s, len(imbalances)):
        window = imbalances[second : second + EVEN_DURATION_S]
        if len(window) == EVEN_DURATION_S and max(window) <= EVEN_RATIO:
            return float(second - from_s)
    return math.inf


def fewest_moves(loads: Sequence[Sequence[tuple[float, int]]]) -> int:
    """Returns the smallest number of connections that must move to make a fleet even. Each form server above
    the bound gives up the groups with the most load per connection first. `loads` lists the groups on each
    server as (load with the group's cost, connections).
    """
    total = sum(load for server in loads for load, _ in server)
    moves = 0
    for server in loads:
        over = sum(load for load, _ in server) - EVEN_RATIO * total / len(loads)
        for load, connections in sorted(server, key=lambda group: -group[0] / group[1]):
            if over <= 0:
                break
            over -= load
            moves += connections
    return moves


def figures(
    records: Records, rebalanced: int, min_moves: int, clients: int, all_warm_s: int, datagram_bytes: int
) -> dict[str, float]:
    seconds = records.seconds.columns
    imbalances = seconds.get("imbalance", [])
    asked, served = sum(seconds.get("asked", [])), sum(seconds.get("served", []))
    set_ups = [
        us / 1000
        for us, answer in zip(
            records.requests.columns.get("took_us", []),
            records.requests.columns.get("answer", []),
            strict=True,
        )
        if answer == "served"
    ]
    answers = records.requests.columns.get("answer", [])
    moves = sum(1 for w in records.events.columns.get("what", []) if w == "move")
    price = MOVE_PRICE * moves / clients if clients else 0.0
    price += MESSAGE_PRICE * datagram_bytes / FULL_MESSAGE / max(1, len(answers))
    service = served / asked if asked else 0.0
    result = {
        "service": service,
        "service_after_prices": service - price,
        "imbalance_at_start": imbalances[0] if imbalances else 0.0,
        "imbalance_at_end": sum(imbalances[-5:]) / max(1, len(imbalances[-5:])),
        "even_after_s": even_after(imbalances, all_warm_s),
        "moves": float(moves),  # for any reason
        "moves_for_balance": float(rebalanced),
        "fewest_moves": float(min_moves),
        "moves_over_fewest": moves / min_moves if min_moves else math.inf if moves else 1.0,
        "clients": float(clients),
        "requests": float(len(answers)),
        "refused": float(sum(1 for a in answers if a == "refused")),
        "failed": float(sum(1 for a in answers if a == "failed")),
        "set_up_ms_p50": quantile(set_ups, 0.5),
        "set_up_ms_p99": quantile(set_ups, 0.99),
        "simulated_s": len(imbalances) * 1.0,
    }
    return {name: round(value, 6) for name, value in result.items()}
