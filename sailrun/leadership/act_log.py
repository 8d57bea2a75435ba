"""Logs every act of an agent, so that the laboratory's checks can reconstruct the history of a run."""

from __future__ import annotations

import time
from typing import Any

from sailrun.leadership.clock import boot_us
from sailrun.node.clock import log

# If the two clocks are read further apart than this, both are read again, at most MAX_CLOCK_READS times.
MAX_CLOCK_READ_GAP_US = 500
MAX_CLOCK_READS = 10


def log_act(kind: str, **fields: Any) -> None:
    """Logs an act with a time that is common to all processes of a machine (`at_us`). The fields `until_us`
    and `made_us` are times of this node's own clock; they are logged as the time left until then (`left_us`)
    and the time passed since then (`ago_us`).
    """
    for _ in range(MAX_CLOCK_READS):
        at_us, own_us = time.monotonic_ns() // 1000, boot_us()
        if time.monotonic_ns() // 1000 - at_us < MAX_CLOCK_READ_GAP_US:
            break  # otherwise this process was paused between reading the two clocks
    if "until_us" in fields:
        fields["left_us"] = fields.pop("until_us") - own_us
    if "made_us" in fields:
        fields["ago_us"] = own_us - fields.pop("made_us")
    log("act", kind=kind, at_us=at_us, **fields)


def ignore_act(kind: str, **fields: Any) -> None:
    """Ignores an act; used when the laboratory's checks are off."""
