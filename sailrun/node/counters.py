"""Counters of answers, attempts and moves, which the node counts for all fronts together."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from sailrun.decisions.actions import MoveReason


class InputSource(Enum):
    """Where input came from that was rejected because it is not valid or out of range."""

    CLIENT = "client"
    FORM_SERVER = "form-server"
    REGISTRY = "registry"


class ClassCounters:
    """The final answers to the requests of one class: established, rejected and failed."""

    __slots__ = ("busy", "failure", "success")

    def __init__(self) -> None:
        self.success = 0
        self.busy = 0
        self.failure = 0


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """The counters and gauges at one moment; counters count from the start of this process."""

    classes: dict[str, ClassCounters]  # by the name of the request class
    backend_calls: int  # attempts whose request was written completely to a form server
    inflight: int  # requests and sessions accepted and not yet ended
    hosts_listed: int
    hosts_down: int  # listed form servers that are avoided: excluded by an operator or ejected as outliers
    reconfig_ok: int  # configurations that were applied at SIGHUP
    reconfig_failed: int  # configurations that were not usable
    faults: int  # unforeseen exceptions, each confined to one step
    rejected_inputs: dict[str, int]  # by the name of each input source


class Counters:
    """The node's counters, each incremented where its event occurs."""

    def __init__(self, classes: Iterable[str]) -> None:
        """`classes`: the names of all request classes."""
        self.classes = {name: ClassCounters() for name in classes}
        self.moves = Counter[MoveReason]()  # clients asked to reconnect elsewhere, by reason
        self.backend_calls = 0
        self.reconfig_ok = 0
        self.reconfig_failed = 0
        self.faults = Counter[str]()  # by the step that raised an unforeseen exception
        self.rejected_inputs = Counter[InputSource]()

    def on_request_written(self) -> None:
        """Counts an attempt whose request has been written completely to its form server."""
        self.backend_calls += 1

    def on_configuration_reloaded(self, is_usable: bool) -> None:
        """Counts a new configuration, which was applied or was not usable."""
        if is_usable:
            self.reconfig_ok += 1
        else:
            self.reconfig_failed += 1

    def snapshot(self, inflight: int, hosts_listed: int, hosts_down: int) -> MetricsSnapshot:
        """Returns the current counters, with the gauges that the caller has measured."""
        return MetricsSnapshot(
            self.classes,
            self.backend_calls,
            inflight,
            hosts_listed,
            hosts_down,
            self.reconfig_ok,
            self.reconfig_failed,
            self.faults.total(),
            {source.value: self.rejected_inputs[source] for source in InputSource},
        )
