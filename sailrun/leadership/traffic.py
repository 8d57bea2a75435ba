"""Counts of what one member says to the others and hears of them."""

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
        """Counts a message that came in, of `size` bytes."""
        self.messages_in += 1
        self.bytes_in += size

    def sent(self, size: int) -> None:
        """Counts a message that went out, of `size` bytes."""
        self.messages_out += 1
        self.bytes_out += size
