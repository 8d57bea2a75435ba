"""Outlier detection across nodes: reports of the form servers that a node has ejected itself.

Reports of other nodes are passed to the decision module as if it had made the observation itself: the form
server is ejected for the reported time, and then half-open. Each such ejection is logged as `hearsay`.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from sailrun.decisions.balancer import Balancer
from sailrun.decisions.events import BackendSnapshot, StateSnapshot
from sailrun.node.ports import EventLog
from sailrun.node.session import FormServer

# Reports of other nodes eject a form server for no longer than this at a time, and never more than this share
# of the endpoint list: if so many form servers are outliers to other nodes, the fault may lie with those
# nodes.
MAX_EJECTION_US = 10_000_000
MAX_EJECTED_SHARE = 1 / 3
# For this long after the end of an ejection that other nodes' reports caused, only this node's own attempts
# decide whether the form server is ejected again.
OWN_ATTEMPTS_US = 20_000_000
SECOND_US = 1_000_000


@dataclass(frozen=True, slots=True)
class OutlierReport:
    """The observations that a node has made itself."""

    ejected_for_us: dict[str, int]  # remaining ejection time by the names of the form servers it has ejected
    mean_setup_us: int  # the mean time of setting up a session; 0: unknown


class OutlierGossip:
    """Creates this node's reports, and applies those of other nodes."""

    def __init__(self, balancer: Balancer, log: EventLog) -> None:
        self._balancer, self._log = balancer, log
        self._ejected_until_us: dict[int, int] = {}  # by form server, ejected because of other nodes' reports

    def local_report(self, now_us: int, form_servers: Mapping[int, FormServer]) -> OutlierReport:
        """Returns the observations that this node has made itself. Reports of other nodes are not forwarded,
        because they would return to their senders.
        """
        observed = self._balancer.snapshot()
        ejected = {
            form_servers[backend.id].name: backend.ejected_until_us - now_us
            for backend in observed.backends
            if backend.ejected_until_us > now_us
            and backend.id in form_servers
            and backend.ejected_until_us > self._ejected_until_us.get(backend.id, 0)
        }
        rate = observed.setup_rate
        mean_setup_us = int(rate.mean_setup_us) if rate is not None and rate.recent_attempts else 0
        return OutlierReport(ejected, mean_setup_us)

    def merge_reports(
        self, now_us: int, ejected_for_us: Mapping[int, int], responsive: Collection[int], mean_setup_us: int
    ) -> StateSnapshot | None:
        """Returns the event that makes the decision module apply the reports of enough other nodes; None:
        there is nothing new.

        `ejected_for_us`: the remaining ejection time of form servers, by number. `responsive`: the form
        servers from which this node has recently received anything. `mean_setup_us`: the mean set-up time of
        the other nodes; 0: unknown.
        """
        observed = self._balancer.snapshot()
        changed = self._apply_ejections(now_us, observed.backends, ejected_for_us, responsive)
        rate = observed.setup_rate
        is_first = mean_setup_us > 0 and rate is not None and not rate.recent_attempts
        # If no session was set up here recently, the mean of the other nodes applies.
        if is_first and rate is not None:
            rate = replace(rate, mean_setup_us=mean_setup_us)
        if not changed and not is_first:
            return None
        for backend in changed:
            out_s = round((backend.ejected_until_us - now_us) / SECOND_US, 1)
            self._log("hearsay", server=backend.id, out_s=out_s)
        return StateSnapshot(tuple(changed), rate, observed.class_load)

    def _apply_ejections(
        self,
        now_us: int,
        backends: Collection[BackendSnapshot],
        ejected_for_us: Mapping[int, int],
        responsive: Collection[int],
    ) -> list[BackendSnapshot]:
        """Records the new ejections that the reports cause; returns these form servers in their new state."""
        ejected = sum(1 for backend in backends if backend.ejected_until_us > now_us)
        changed: list[BackendSnapshot] = []
        for backend in backends:
            remaining_us = min(ejected_for_us.get(backend.id, 0), MAX_EJECTION_US)
            is_ejected = backend.ejected_until_us > now_us
            if (
                remaining_us <= 0
                or is_ejected
                or backend.id in responsive
                or self._is_decided_by_own_attempts(now_us, backend.id)
            ):
                continue
            if ejected + len(changed) + 1 > MAX_EJECTED_SHARE * len(backends):
                break
            until_us = self._ejected_until_us[backend.id] = now_us + remaining_us
            changed.append(
                replace(
                    backend, ejected_until_us=until_us, ejections=max(1, backend.ejections), half_open=True
                )
            )
        return changed

    def _is_decided_by_own_attempts(self, now_us: int, number: int) -> bool:
        """Returns whether reports of other nodes about this form server are ignored now."""
        return now_us < self._ejected_until_us.get(number, -OWN_ATTEMPTS_US) + OWN_ATTEMPTS_US
