"""The clock that leases are counted by."""

from __future__ import annotations

import time


def boot_us() -> int:
    """Microseconds since this machine started, the time in which it was suspended among them. Never set: a
    step
    of the wall clock moves nothing, and a lease does not outlast a machine's sleep.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
