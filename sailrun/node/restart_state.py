"""The state that a process sends to the one that succeeds it, so that the two are one node."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from sailrun.decisions.events import StateSnapshot
from sailrun.node.session import ServerListUpdate


@dataclass(frozen=True, slots=True)
class NodeSnapshot:
    """Sent once, when the successor starts. Times are Unix microseconds of the machine's one clock."""

    server_list: ServerListUpdate
    excluded: frozenset[str]  # names of the form servers that an operator has excluded
    is_draining: bool
    decisions: StateSnapshot | None  # what the decisions have observed; None: nothing is known


@dataclass(frozen=True, slots=True)
class ProcessLoad:
    """Sent again and again: the load of the sessions that one of the node's two processes still serves."""

    loads: Mapping[int, float]  # by the form servers' numbers
    connections: int
    loads_reported: bool  # loads are microseconds of work a second, not connections
    descriptors: int = 0  # open file descriptors
