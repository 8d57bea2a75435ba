"""What the running replica needs of the node's part in its fleet."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class FleetServices(Protocol):
    """Implemented by `leadership/service.py`, which makes the replica's service."""

    @property
    def permits(self) -> bool:
        """Whether drains wait for permits."""

    def ask_permit(self, kind: str, subject: str, reply: Callable[[str], None]) -> None:
        """`reply` is called with "" once the permit is in use, or with why it is not."""

    def give_back(self, kind: str, subject: str) -> None:
        """Releases a permit."""

    def call_soon(self, call: Callable[[int], None]) -> None:
        """Has the agent's task call this with the time (microseconds)."""

    def living(self) -> set[str]:
        """The names of the members that live, as far as is known."""

    def highest_term(self, task: str) -> int:
        """The highest term under which anybody is known to have led the task."""

    def when_kept(self, now_us: int, call: Callable[[bool], None]) -> None:
        """Calls with whether all that was written so far is on this node's disk, if it has a folder."""
