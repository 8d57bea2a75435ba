"""Outlier detection across nodes: reports of which form servers a node has ejected itself.

What others report reaches the decision module as what it could have observed itself: an ejection for so
long, and then half open. The line of the log is `hearsay`.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from sailrun.decisions.balancer import Balancer
from sailrun.decisions.events import BackendSnapshot, StateSnapshot
from sailrun.node.ports import EventLog
from sailrun.node.session import FormServer

# Reports of others eject a form server for no longer than this at a time, and never more than this share of
# the list: where so many are outliers to others, it may be those others.
MAX_EJECTION_US = 10_000_000
MAX_EJECTED_SHARE = 1 / 3
# A form server that was ejected because of others' reports is next judged by this node's own attempts, for so
# long at least.
OWN_ATTEMPTS_US = 20_000_000
SECOND_US = 1_000_000


@dataclass(frozen=True, slots=True)
class OutlierReport:
    """What a node has observed itself."""

    ejected_for_us: dict[str, int]  # by the names of the form servers it has ejected: for how much longer
    mean_setup_us: int  # what the set-up of a session usually takes; 0: it does not know


class OutlierGossip:
    """Makes this node's reports, and applies those of others."""

    def __init__(self, balancer: Balancer, log: EventLog) -> None:
        self._balancer, self._log = balancer, log
        self._ejected_until_us: dict[int, int] = {}  # by form server, because of others' reports

    def local_report(self, now_us: int, form_servers: Mapping[int, FormServer]) -> OutlierReport:
        """What this node found out itself; reports of others are not passed on, or they would come back."""
        observed = self._balancer.snapshot()
        ejected = {
            form_servers[one.id].name: one.ejected_until_us - now_us
            for one in observed.backends
            if one.ejected_until_us > now_us
            and one.id in form_servers
            and one.ejected_until_us > self._ejected_until_us.get(one.id, 0)
        }
        rate = observed.setup_rate
        mean_setup_us = int(rate.mean_setup_us) if rate is not None and rate.recent_attempts else 0
        return OutlierReport(ejected, mean_setup_us)

    def merge_reports(
        self, now_us: int, ejected_for_us: Mapping[int, int], responsive: Collection[int], mean_setup_us: int
    ) -> StateSnapshot | None:
        """The event that has the decisions apply what enough others report; None: there is nothing new.

        `ejected_for_us`: form servers by number, with how much longer others eject them. `responsive`: those
        that this node has received anything from lately. `mean_setup_us`: what a set-up takes others; 0: they
        do not know.
        """
        observed = self._balancer.snapshot()
        changed = self._apply_ejections(now_us, observed.backends, ejected_for_us, responsive)
        rate = observed.setup_rate
        is_first = mean_setup_us > 0 and rate is not None and not rate.recent_attempts
        if is_first and rate is not None:  # nothing was set up here yet: others know what it takes
            rate = replace(rate, mean_setup_us=mean_setup_us)
        if not changed and not is_first:
            return None
        for one in changed:
            out_s = round((one.ejected_until_us - now_us) / SECOND_US, 1)
            self._log("hearsay", server=one.id, out_s=out_s)
        return StateSnapshot(tuple(changed), rate, observed.class_load)

    def _apply_ejections(
        self,
        now_us: int,
        backends: Collection[BackendSnapshot],
        ejected_for_us: Mapping[int, int],
        responsive: Collection[int],
    ) -> list[BackendSnapshot]:
        """Those of the form servers that are ejected now, as they then are."""
        ejected = sum(1 for one in backends if one.ejected_until_us > now_us)
        changed: list[BackendSnapshot] = []
        for one in backends:
            left_us = min(ejected_for_us.get(one.id, 0), MAX_EJECTION_US)
            is_ejected = one.ejected_until_us > now_us
            if left_us <= 0 or is_ejected or one.id in responsive or self._is_on_own_attempts(now_us, one.id):
                continue
            if ejected + len(changed) + 1 > MAX_EJECTED_SHARE * len(backends):
                break
            until_us = self._ejected_until_us[one.id] = now_us + left_us
            changed.append(
                replace(one, ejected_until_us=until_us, ejections=max(1, one.ejections), half_open=True)
            )
        return changed

    def _is_on_own_attempts(self, now_us: int, number: int) -> bool:
        """Whether this node's own attempts alone judge the form server."""
        return now_us < self._ejected_until_us.get(number, -OWN_ATTEMPTS_US) + OWN_ATTEMPTS_US
