"""Log lines for every act of an agent, from which the laboratory's checks reconstruct what happened."""

from __future__ import annotations

import time
from typing import Any

from sailrun.leadership.clock import boot_us
from sailrun.node.clock import log

# Two clocks are read within this time of each other, or once more.
MAX_CLOCK_READ_GAP_US = 500
MAX_CLOCK_READS = 10


def log_act(kind: str, **facts: Any) -> None:
    """Logs an act with the time that all processes of a machine share (`at_us`). Times of this node's own
    clock are logged as what was left until then (`left_us`) or has passed since (`ago_us`).
    """
    for _ in range(MAX_CLOCK_READS):
        at_us, own_us = time.monotonic_ns() // 1000, boot_us()
        if time.monotonic_ns() // 1000 - at_us < MAX_CLOCK_READ_GAP_US:
            break  # else this process was stopped between its reads of the clocks
    if "until_us" in facts:
        facts["left_us"] = facts.pop("until_us") - own_us
    if "made_us" in facts:
        facts["ago_us"] = own_us - facts.pop("made_us")
    log("act", kind=kind, at_us=at_us, **facts)


def ignore_act(kind: str, **facts: Any) -> None:
    """Where no checks are run: acts are not logged."""
