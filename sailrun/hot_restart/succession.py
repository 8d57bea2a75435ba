"""Decides which of two processes accepts clients, from the predecessor's point of view.

Pure: takes events and returns what they change.
"""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """The role of a process in a hot restart."""

    ALONE = "alone"  # serves, and no successor has sent a request
    HANDING_OVER = "handing"  # a successor was sent the listeners and has not accepted them yet
    SUCCEEDED = "succeeded"  # a successor accepts the clients


class Succession:
    """The state of a process that a successor may replace.

    There is one successor at a time. The connection of a second one is closed, so that it connects again, and
    by then it reaches the first successor.
    """

    def __init__(self) -> None:
        self.role = Role.ALONE

    def on_request(self) -> bool:
        """A process requests to succeed this one. Returns whether it is sent the listeners and the state."""
        if self.role is not Role.ALONE:
            return False
        self.role = Role.HANDING_OVER
        return True

    def on_accepted(self) -> bool:
        """The successor has accepted the listeners. Returns whether this is a change."""
        if self.role is not Role.HANDING_OVER:
            return False
        self.role = Role.SUCCEEDED
        return True

    def on_disconnected(self, is_shutting_down: bool) -> bool:
        """The connection to the successor is closed. Returns whether this process accepts clients again.

        A process that is shutting down does not accept clients: its exit would end their sessions.
        """
        previous_role, self.role = self.role, Role.ALONE if not is_shutting_down else self.role
        return previous_role is Role.SUCCEEDED and not is_shutting_down
