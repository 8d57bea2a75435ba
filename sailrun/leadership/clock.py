"""The clock that leases are measured by."""

from __future__ import annotations

import time


def boot_us() -> int:
    """Returns the microseconds since this machine started, including the time for which it was suspended. The
    clock is never set: a step of the wall clock does not change it, and leases expire while the machine is
    suspended.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
