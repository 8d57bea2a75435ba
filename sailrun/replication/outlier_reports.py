"""What nodes believe of form servers: told by each for itself, aged, and taken from others only where enough
of them say the same. Pure.
"""

from __future__ import annotations

from collections.abc import Iterable
from statistics import median

import msgspec

from sailrun.replication.records import Record

KILO = 1000
# So many form servers at most are told of; of the usual set-up time, changes below this share are not.
MOST_TOLD, CHANGED = 64, 0.25
# A standing belief is said again this often within the time after which it ends unless said.
SAYS = 3


class OutlierReport(msgspec.Struct, array_like=True, frozen=True):
    """`out`: form servers kept away from, with for how many more ms. `setup_ms`: a set-up's usual time."""

    ejected_ms: dict[str, int]
    setup_ms: int = 0


class OutlierReporter:
    """This node's own belief: when it is worth saying."""

    def __init__(self, belief_s: float) -> None:
        self._again_us = int(belief_s * 1_000_000 / SAYS)
        self._said = OutlierReport({})
        self._said_us = 0

    def make_report(self, now_us: int, out_us: dict[str, int], setup_us: int) -> bytes | None:
        """What to tell now; None: nothing has changed, or nothing is to be told."""
        worst = sorted(out_us.items(), key=lambda pair: -pair[1])[:MOST_TOLD]
        belief = OutlierReport({name: left // KILO for name, left in worst}, setup_us // KILO)
        old = self._said
        same = belief.ejected_ms.keys() == old.ejected_ms.keys()
        same = same and abs(belief.setup_ms - old.setup_ms) <= CHANGED * max(1, old.setup_ms)
        due = bool(belief.ejected_ms or belief.setup_ms) and now_us - self._said_us >= self._again_us
        if same and not due:
            return None
        self._said, self._said_us = belief, now_us
        return msgspec.msgpack.encode(belief)


def combine_outlier_reports(
    records: Iterable[tuple[Record, int]], living: set[str], me: str, voices: int
) -> tuple[dict[str, int], int]:
    """What this node may go by: form servers with for how much longer (us) at least `voices` living others
    keep away from them, and what set-ups usually take (us, the median of others; 0: nobody knows). `records`
    are beliefs with their age in us.
    """
    left_us: dict[str, list[int]] = {}
    setups: list[int] = []
    for record, age_us in records:
        if record.subject == me or record.subject not in living or not record.versions:
            continue
        try:
            belief = msgspec.msgpack.decode(record.versions[-1].content, type=OutlierReport)
        except msgspec.MsgspecError:
            continue  # of another version of the program
        for name, ms in belief.ejected_ms.items():
            if ms * KILO > age_us:
                left_us.setdefault(name, []).append(ms * KILO - age_us)
        if belief.setup_ms > 0:
            setups.append(belief.setup_ms * KILO)
    out = {name: sorted(told)[-voices] for name, told in left_us.items() if len(told) >= voices}
    return out, int(median(setups)) if len(setups) >= voices else 0
