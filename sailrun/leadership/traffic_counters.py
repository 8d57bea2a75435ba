"""Counts the messages that one member sends to and receives from the others."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TrafficCounters:
    """Messages and their bytes since the process started, without the headers of IP, UDP and TCP."""

    messages_in: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0

    def received(self, size: int) -> None:
        """Counts a received message of `size` bytes."""
        self.messages_in += 1
        self.bytes_in += size

    def sent(self, size: int) -> None:
        """Counts a sent message of `size` bytes."""
        self.messages_out += 1
        self.bytes_out += size
