"""The state that a process sends to its successor, so that the two processes form one node."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from sailrun.decisions.events import StateSnapshot
from sailrun.node.session import ServerListUpdate


@dataclass(frozen=True, slots=True)
class NodeSnapshot:
    """The state of a node, sent once, when the successor starts. Times are Unix microseconds of the machine's
    clock, which both processes share.
    """

    server_list: ServerListUpdate
    excluded: frozenset[str]  # names of the form servers that an operator has excluded
    is_draining: bool
    decisions: StateSnapshot | None  # the observations of the decision module; None: there are none


@dataclass(frozen=True, slots=True)
class ProcessLoad:
    """The load of the sessions that one of the node's two processes still serves, sent repeatedly."""

    loads: Mapping[int, float]  # by the form servers' numbers
    connections: int
    loads_reported: bool  # loads are microseconds of work a second, not connections
    descriptors: int = 0  # open file descriptors
