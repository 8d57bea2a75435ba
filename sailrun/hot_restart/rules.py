"""Who of two processes takes clients, as one of them sees it. Pure: events in, the new state out."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """Which part a process has in a replacement."""

    ALONE = "alone"  # serves, and nobody has asked to succeed it
    HANDING = "handing"  # a successor was handed the listeners and has not said yes
    SUCCEEDED = "succeeded"  # a successor takes the clients


class Succession:
    """A process that may be succeeded. One successor at a time: whoever asks meanwhile is told to ask again,
    and by then finds the successor itself.
    """

    def __init__(self) -> None:
        self.role = Role.ALONE

    def asked(self) -> bool:
        """A process asks to succeed this one; whether it is handed what it needs."""
        if self.role is not Role.ALONE:
            return False
        self.role = Role.HANDING
        return True

    def took(self) -> bool:
        """The successor takes clients; whether this is news."""
        if self.role is not Role.HANDING:
            return False
        self.role = Role.SUCCEEDED
        return True

    def lost(self, ending: bool) -> bool:
        """The successor is gone; whether this process has to take clients again. One that was asked to
        end does not: it would only be cut off with them.
        """
        was, self.role = self.role, Role.ALONE if not ending else self.role
        return was is Role.SUCCEEDED and not ending
