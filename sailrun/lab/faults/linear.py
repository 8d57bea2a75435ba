"""Whether what was told of one register can have been told by one copy of it: linearizability.

The search is Wing and Gong's (1993) with Lowe's memory of configurations (2017): it looks for an order of the
operations in which each takes effect at one moment between its call and its answer.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

# Configurations looked at before the search is given up.
MOST_SEEN = 400_000


@dataclass(frozen=True, slots=True)
class Operation:
    """A write of a value, or a read that told one. `end_us` is infinite where nobody knows what became of a
    write: it may have taken effect at any time since its call, or never.
    """

    call_us: float
    end_us: float
    writes: bool
    value: str
    told: str = ""  # who and what, for people


class TooMany(Exception):
    """The search was given up: nothing is known."""


def linearizable(operations: Iterable[Operation], value: str) -> bool:
    """Whether there is such an order, from this value on. Raises TooMany."""
    read = {op.value for op in operations if not op.writes}
    # A write of unknown fate that nobody ever read may as well never have been, if its value is its own.
    ops = sorted(
        (o for o in operations if not (o.writes and math.isinf(o.end_us) and o.value not in read)),
        key=lambda o: (o.call_us, o.end_us),
    )
    every = (1 << len(ops)) - 1
    owed = sum(1 << n for n, op in enumerate(ops) if not math.isinf(op.end_us))
    seen: set[tuple[int, str]] = set()
    stack = [(0, value)]
    while stack:
        done, now = stack.pop()
        if done & owed == owed:
            return True
        if (done, now) in seen:
            continue
        seen.add((done, now))
        if len(seen) > MOST_SEEN:
            raise TooMany
        left = [n for n in range(len(ops)) if not done >> n & 1]
        first_end = min((ops[n].end_us for n in left), default=math.inf)
        for n in reversed(left):
            op = ops[n]
            if op.call_us > first_end:
                continue  # another one had ended before this began
            if op.writes:
                stack.append((done | 1 << n, op.value))
            elif op.value == now:
                stack.append((done | 1 << n, now))
        if done == every:
            return True
    return False


def first_fault(operations: list[Operation], value: str) -> Operation | None:
    """The operation with which the history, taken in the order of its answers, cannot be explained any more;
    None: all of it can.
    """
    if linearizable(operations, value):
        return None
    ended = sorted((o for o in operations if not math.isinf(o.end_us)), key=lambda o: o.end_us)
    low, high = 0, len(ended)
    while low < high:
        middle = (low + high) // 2
        until_us = ended[middle].end_us
        part = [o for o in operations if o.call_us <= until_us]
        cut = [o if o.end_us <= until_us else _open(o) for o in part if o.writes or o.end_us <= until_us]
        if linearizable(cut, value):
            low = middle + 1
        else:
            high = middle
    return ended[min(low, len(ended) - 1)]


def _open(op: Operation) -> Operation:
    return Operation(op.call_us, math.inf, op.writes, op.value, op.told)
