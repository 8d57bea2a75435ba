"""The state that a process hands to the one that succeeds it, so that the two are one node."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from sailrun.decisions.events import StateSnapshot
from sailrun.node.session import ServerListUpdate


@dataclass(frozen=True, slots=True)
class NodeSnapshot:
    """Told once, when the successor starts. Times are Unix microseconds of the machine's one clock."""

    server_list: ServerListUpdate
    excluded: frozenset[str]
    is_draining: bool
    decisions: StateSnapshot | None  # None: nothing is known


@dataclass(frozen=True, slots=True)
class ProcessLoad:
    """Told again and again: what the predecessor still holds."""

    loads: Mapping[int, float]  # by the form servers' numbers
    connections: int
    loads_reported: bool  # loads are us of work a second, not connections
    descriptors: int = 0
