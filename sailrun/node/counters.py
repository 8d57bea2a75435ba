"""What became of the requests: counted by the core, in one place for all fronts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from sailrun.decisions.actions import MoveReason


@dataclass(slots=True)
class ClassCounters:
    """The final answers to one class's requests: connections brought up, refused, failed."""

    success: int = 0
    busy: int = 0
    failure: int = 0


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """The figures at one moment; counts are since this process started."""

    classes: dict[str, ClassCounters]
    backend_calls: int  # attempts written whole to form servers
    inflight: int  # connections taken and not yet ended
    hosts_listed: int
    hosts_down: int  # listed, and avoided: by hand, or as the decisions have it
    reconfig_ok: int  # files taken over, and files not usable, at SIGHUP
    reconfig_failed: int


class Counters:
    def __init__(self, classes: Iterable[str]) -> None:
        self.classes = {name: ClassCounters() for name in classes}
        self.moves = Counter[MoveReason]()  # clients sent to another node, by what for
        self.backend_calls = self.reconfig_ok = self.reconfig_failed = 0

    def figures(self, inflight: int, hosts_listed: int, hosts_down: int) -> MetricsSnapshot:
        return MetricsSnapshot(
            self.classes,
            self.backend_calls,
            inflight,
            hosts_listed,
            hosts_down,
            self.reconfig_ok,
            self.reconfig_failed,
        )
