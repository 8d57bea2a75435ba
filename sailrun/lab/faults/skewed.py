"""Runs `sailrun` with skewed clocks: `python -m sailrun.lab.faults.skewed WALL_S RATE ARGUMENTS...`.

WALL_S is the offset of the wall clock in seconds, negative for a clock that is behind. RATE is the speed of
the lease clock (CLOCK_BOOTTIME) relative to real time; 1.01 is 1% fast. The program is otherwise the one that
runs in production.
"""

from __future__ import annotations

import sys
import time


def skew(wall_s: float, rate: float) -> None:
    """Replaces the clock functions of this process by skewed ones."""
    real_time, real_time_ns, real_gettime_ns = time.time, time.time_ns, time.clock_gettime_ns
    time.time = lambda: real_time() + wall_s
    time.time_ns = lambda: real_time_ns() + int(wall_s * 1e9)

    def skewed(clock: int) -> int:
        value = real_gettime_ns(clock)
        return int(value * rate) if clock == time.CLOCK_BOOTTIME else value

    time.clock_gettime_ns = skewed


def main() -> None:
    wall_s, rate, *arguments = sys.argv[1:]
    skew(float(wall_s), float(rate))
    sys.argv = ["sailrun", *arguments]
    from sailrun.cli import command

    command()


if __name__ == "__main__":
    main()
