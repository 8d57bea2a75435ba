"""Counters of answers, attempts and moves: counted by the node, in one place for all fronts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from sailrun.decisions.actions import MoveReason


class ClassCounters:
    """The final answers to one class's requests: connections established, requests rejected and failed."""

    __slots__ = ("busy", "failure", "success")

    def __init__(self) -> None:
        self.success = 0
        self.busy = 0
        self.failure = 0


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """The counters and gauges at one moment; counters are since this process started."""

    classes: dict[str, ClassCounters]  # by the name of the request class
    backend_calls: int  # attempts whose request was written whole to a form server
    inflight: int  # connections accepted and not yet ended
    hosts_listed: int
    hosts_down: int  # listed, and avoided: by an operator's or the decisions' exclusion
    reconfig_ok: int  # configurations taken over at SIGHUP, and those not usable
    reconfig_failed: int


class Counters:
    """The node's counters, each incremented where its event happens."""

    def __init__(self, classes: Iterable[str]) -> None:
        """`classes`: the names of all request classes."""
        self.classes = {name: ClassCounters() for name in classes}
        self.moves = Counter[MoveReason]()  # clients sent to another node, by reason
        self.backend_calls = 0
        self.reconfig_ok = 0
        self.reconfig_failed = 0

    def on_request_written(self) -> None:
        """An attempt's request has gone out whole."""
        self.backend_calls += 1

    def on_configuration_reloaded(self, is_usable: bool) -> None:
        """A new configuration was taken over, or was not usable."""
        if is_usable:
            self.reconfig_ok += 1
        else:
            self.reconfig_failed += 1

    def snapshot(self, inflight: int, hosts_listed: int, hosts_down: int) -> MetricsSnapshot:
        """The counters now, with the gauges that others measure."""
        return MetricsSnapshot(
            self.classes,
            self.backend_calls,
            inflight,
            hosts_listed,
            hosts_down,
            self.reconfig_ok,
            self.reconfig_failed,
        )
