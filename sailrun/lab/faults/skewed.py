"""Runs `sailrun` with clocks that are wrong: `python -m sailrun.lab.faults.skewed WALL_S RATE ARGUMENTS...`.

WALL_S is how far the wall clock is set ahead, or back below 0; RATE how many seconds the clock that leases
are
counted by shows in one. The program is the very one that serves.
"""

from __future__ import annotations

import sys
import time


def skew(wall_s: float, rate: float) -> None:
    """Sets this process's clocks wrong."""
    wall, nanos, gettime = time.time, time.time_ns, time.clock_gettime_ns
    time.time = lambda: wall() + wall_s
    time.time_ns = lambda: nanos() + int(wall_s * 1e9)

    def skewed(clock: int) -> int:
        shown = gettime(clock)
        return int(shown * rate) if clock == time.CLOCK_BOOTTIME else shown

    time.clock_gettime_ns = skewed


def main() -> None:
    wall_s, rate, *arguments = sys.argv[1:]
    skew(float(wall_s), float(rate))
    sys.argv = ["sailrun", *arguments]
    from sailrun.cli import command

    command()


if __name__ == "__main__":
    main()
