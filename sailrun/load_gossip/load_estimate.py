"""An estimate of the load of all other nodes from summaries that may be incomplete, late or lost. This module
does no I/O.

A summary covers the nodes whose reports reached its collector. If a node is missing from one summary, its
report was most likely lost and the node still has its load. If it is missing from the following summaries
too, the node is most likely down. Therefore a missing node counts with an average share of the previous
estimate, and its weight decreases with each summary that lacks it. A partition of a few seconds or the loss
of a third of the datagrams leaves no gap in the estimate, and the load of a killed node disappears within
three summaries.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from sailrun.decisions.events import FleetLoad
from sailrun.load_gossip.datagram import LoadDatagram, ambiguous_names, short_name

SECOND_US = 1_000_000
# The weight of a node, by the number of consecutive summaries that lack it.
MISSED_WEIGHTS = (1.0, 1.0, 0.5)
# A summary has full weight for FRESH_ROUNDS; then its weight decreases linearly to zero at STALE_ROUNDS.
FRESH_ROUNDS, STALE_ROUNDS = 2.0, 8.0
# Backends count as overloaded for this many rounds after the round of the summary that reported them so.
OVERLOAD_VALID_ROUNDS = 3


@dataclass(frozen=True, slots=True)
class _BackendLoad:
    load: float  # of all nodes except this one
    round_number: int  # of the latest summary that determined the load


_NEVER_NAMED = _BackendLoad(0.0, -1)


class LoadEstimate:
    """The estimated load of the other nodes, updated by each summary. `index` is this node's index."""

    def __init__(self, index: int, round_us: int) -> None:
        self.summary_round = -1  # of the latest summary; -1: none received
        self._index = index
        self._round_us = round_us
        self._loads_reported = False
        self._connections = 0.0
        self._overloaded: frozenset[int] = frozenset()
        self._instances = 1
        self._is_complete = False  # the latest summary named all backends with load
        self._loads: dict[int, _BackendLoad] = {}  # by short name
        # The number of consecutive summaries that lack each node, by index, for the nodes that still count.
        self._missed: dict[int, int] = {}

    # ------------------------------------------------------------------ summaries

    def merge_summary(self, summary: LoadDatagram, own: LoadDatagram | None) -> bool:
        """Merges a summary; `own` is this node's report in it, or None. Returns False for a summary that is
        not newer than the latest one or has no contributors, because the estimate must not return to an older
        round.
        """
        contributors = summary.contributors or frozenset()
        if summary.round_number <= self.summary_round or not contributors:
            return False
        if summary.loads_reported is not self._loads_reported:
            # The unit of loads has changed, so the previous loads cannot be used.
            self._loads.clear()
            self._missed.clear()
            self._connections = 0.0
        others = contributors - {self._index}
        missing_share = self._update_missed(others)
        self._merge_loads(summary, own, missing_share)
        own_connections = own.connections if own is not None else 0
        self._connections = summary.connections - own_connections + missing_share * self._connections
        self._is_complete = summary.is_complete
        self.summary_round = summary.round_number
        self._loads_reported = summary.loads_reported
        self._overloaded = summary.overloaded
        self._instances = len(others) + 1
        self._remove_stale_loads()
        return True

    def _update_missed(self, others: frozenset[int]) -> float:
        """Counts the missing nodes; returns their share of the previous estimate."""
        weight_before = self._total_weight()
        missed = {index: count + 1 for index, count in self._missed.items() if index not in others}
        self._missed = {index: count for index, count in missed.items() if count < len(MISSED_WEIGHTS)}
        missing_weight = self._total_weight()
        self._missed |= dict.fromkeys(others, 0)
        return min(1.0, missing_weight / weight_before) if weight_before > 0 else 0.0

    def _total_weight(self) -> float:
        """Returns the sum of the weights of the nodes that count."""
        return sum(MISSED_WEIGHTS[count] for count in self._missed.values())

    def _merge_loads(self, summary: LoadDatagram, own: LoadDatagram | None, missing_share: float) -> None:
        own_scale = 1.0
        if own is not None and own.loads_reported != summary.loads_reported:
            own_scale = sum(summary.loads.values()) / max(1, summary.connections)
        for name in {*summary.loads, *(self._loads if summary.is_complete else ())}:
            own_load = own.loads.get(name, 0.0) * own_scale if own is not None else 0.0
            others_load = max(0.0, summary.loads.get(name, 0.0) - own_load)
            previous = self._loads.get(name)
            missing_load = missing_share * previous.load if previous is not None else 0.0
            self._loads[name] = _BackendLoad(others_load + missing_load, summary.round_number)

    def _remove_stale_loads(self) -> None:
        self._loads = {
            name: backend_load
            for name, backend_load in self._loads.items()
            if self.summary_round - backend_load.round_number < STALE_ROUNDS
        }

    # ------------------------------------------------------------------ queries

    def estimate_fleet_load(self, now_us: int, backends: Iterable[int]) -> FleetLoad:
        """Estimates the load of the other nodes at each of these backends, given by their numbers."""
        numbers = list(backends)
        loads = self._estimate_loads(now_us, numbers)
        share = self._freshness(now_us, self.summary_round)
        overload_ends_us = (self.summary_round + OVERLOAD_VALID_ROUNDS) * self._round_us
        overloaded_names = self._overloaded if now_us < overload_ends_us else frozenset[int]()
        return FleetLoad(
            loads,
            max(0, round(self._connections * share)),
            self._loads_reported,
            self._instances if share else 1,
            frozenset(number for number in numbers if short_name(number) in overloaded_names),
            int((self.summary_round + FRESH_ROUNDS) * self._round_us),
        )

    def _estimate_loads(self, now_us: int, numbers: list[int]) -> dict[int, float]:
        """Estimates loads by backend number. A backend with unknown load gets the average load, not zero."""
        ambiguous = ambiguous_names(numbers)
        loads: dict[int, float] = {}
        unknown: list[int] = []
        for number in numbers:
            name = short_name(number)
            backend_load = self._loads.get(name)
            if name in ambiguous or (backend_load is None and not self._is_complete):
                unknown.append(number)
            elif backend_load is None:
                loads[number] = 0.0
            else:
                loads[number] = backend_load.load * self._freshness(now_us, backend_load.round_number)
        average = sum(loads.values()) / len(loads) if loads else 0.0
        return loads | dict.fromkeys(unknown, average)

    def order_by_last_named(self, loads: Mapping[int, float], first: frozenset[int]) -> list[int]:
        """Sorts short names: those in `first`, then those that summaries have not named for the
        longest time.
        """

        def order(name: int) -> tuple[bool, int, float, int]:
            return name not in first, self._loads.get(name, _NEVER_NAMED).round_number, -loads[name], name

        return sorted(loads, key=order)

    def _freshness(self, now_us: int, round_number: int) -> float:
        """Returns the weight of a summary by its age, from 1 to 0."""
        age_rounds = now_us / self._round_us - round_number
        return max(0.0, min(1.0, (STALE_ROUNDS - age_rounds) / (STALE_ROUNDS - FRESH_ROUNDS)))
