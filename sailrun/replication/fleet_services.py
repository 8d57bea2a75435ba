"""The interface of the fleet services that a running replica uses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class FleetServices(Protocol):
    """Implemented by `leadership/service.py`, which creates the replica's service."""

    @property
    def permits(self) -> bool:
        """Whether drains need permits."""

    def request_permit(self, kind: str, subject: str, reply: Callable[[str], None]) -> None:
        """Requests a permit. `reply` is called with "" once the permit is in use, or with the reason if it is
        not granted.
        """

    def release_permit(self, kind: str, subject: str) -> None:
        """Releases a permit."""

    def call_soon(self, call: Callable[[int], None]) -> None:
        """Schedules the call in the agent's task, with the time (microseconds) as its argument."""

    def living_members(self) -> set[str]:
        """Returns the names of the members that are not known to be dead or to have left."""

    def highest_term(self, task: str) -> int:
        """Returns the highest known term of a leader of the task."""

    def call_when_durable(self, now_us: int, call: Callable[[bool], None]) -> None:
        """Calls `call` with True once all writes so far are on this node's disk, or with False if the disk
        has failed. At a node without a folder, calls it with True immediately.
        """
