"""Limits of what one client's connection, and all together, may keep open in this process."""

from __future__ import annotations

from typing import Protocol

# The highest channel number that the open frame states (`channel-max`): 16 sessions.
CHANNEL_MAX = 15
# The links of one connection, including those whose detach the client has not answered. Proton states no
# `handle-max`, so this process counts.
MAX_LINKS_PER_CONNECTION = 1024
# Links of one connection that stated no valid request and whose detach the client has not answered.
MAX_INVALID_LINKS = 64
# A session's incoming window in frames of the stated size, and its least number of bytes.
WINDOW_FRAMES, MIN_WINDOW_BYTES = 2, 64 * 1024


def session_window_bytes(max_frame_size: int) -> int:
    """Returns how many bytes one session may buffer unread before its sender has to wait."""
    return max(MIN_WINDOW_BYTES, WINDOW_FRAMES * max_frame_size)


class LimitedConnection(Protocol):
    """What is counted of one connection."""

    @property
    def link_count(self) -> int:
        """All links that the client has not detached."""
        ...

    def count_invalid_links(self) -> int:
        """Counts the links among them that stated no valid request."""
        ...

    def count_ended_links(self) -> int:
        """Counts the links among them that this process has detached."""
        ...

    def close_for_too_many_links(self) -> None:
        """Closes the connection with an error."""
        ...


class LinkLimits:
    """The connections of one front, and which of them has to be closed for too many links."""

    def __init__(self, descriptors: int) -> None:
        """`descriptors`: how many the process may open; a session uses one at least."""
        self._max_links = max(MAX_LINKS_PER_CONNECTION, 2 * descriptors)
        self._connections: set[LimitedConnection] = set()

    def add(self, connection: LimitedConnection) -> None:
        """Counts a connection from now on."""
        self._connections.add(connection)

    def remove(self, connection: LimitedConnection) -> None:
        """Counts a connection no more."""
        self._connections.discard(connection)

    def enforce(self, connection: LimitedConnection) -> None:
        """Closes a connection if there are too many links after `connection` got another one. With too many
        in all, it is the connection that leaves most of them without its detach.
        """
        excess = self._find_excess(connection)
        if excess is not None:
            self.remove(excess)
            excess.close_for_too_many_links()

    def _find_excess(self, connection: LimitedConnection) -> LimitedConnection | None:
        links = connection.link_count
        if links > MAX_LINKS_PER_CONNECTION:
            return connection
        if links > MAX_INVALID_LINKS and connection.count_invalid_links() > MAX_INVALID_LINKS:
            return connection
        if sum(other.link_count for other in self._connections) <= self._max_links:
            return None
        return max(self._connections, key=lambda other: (other.count_ended_links(), other.link_count))
