"""Linearizability checker for the history of operations on one register.

The search is that of Wing and Gong (1993) with the cache of configurations by Lowe (2017): it looks for an
order of the operations in which each takes effect at one moment between its call and its answer.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

# The number of configurations after which the search fails. A configuration is the set of operations done so
# far with the value of the register.
MAX_CONFIGURATIONS = 400_000


@dataclass(frozen=True, slots=True)
class Operation:
    """A write of a value, or a read that returned one. `end_us` is infinite for a write whose outcome is
    unknown: it may have taken effect at any time since its call, or never.
    """

    call_us: float
    end_us: float
    writes: bool
    value: str
    label: str = ""  # node and command, for reports of faults


class SearchLimitError(Exception):
    """The search exceeded MAX_CONFIGURATIONS; the history may be linearizable or not."""


def linearizable(operations: Iterable[Operation], value: str) -> bool:
    """Returns whether the operations are linearizable from this initial value.

    Raises SearchLimitError after too many configurations.
    """
    read_values = {op.value for op in operations if not op.writes}
    # A write of unknown outcome whose value no read returned may be ignored: it may have had no effect.
    ops = sorted(
        (o for o in operations if not (o.writes and math.isinf(o.end_us) and o.value not in read_values)),
        key=lambda o: (o.call_us, o.end_us),
    )
    all_operations = (1 << len(ops)) - 1
    required = sum(1 << n for n, op in enumerate(ops) if not math.isinf(op.end_us))
    seen: set[tuple[int, str]] = set()
    stack = [(0, value)]
    while stack:
        done, current = stack.pop()
        if done & required == required:
            return True
        if (done, current) in seen:
            continue
        seen.add((done, current))
        if len(seen) > MAX_CONFIGURATIONS:
            raise SearchLimitError
        remaining = [n for n in range(len(ops)) if not done >> n & 1]
        first_end = min((ops[n].end_us for n in remaining), default=math.inf)
        for n in reversed(remaining):
            op = ops[n]
            if op.call_us > first_end:
                continue  # another operation ended before this one began, so that one comes first
            if op.writes:
                stack.append((done | 1 << n, op.value))
            elif op.value == current:
                stack.append((done | 1 << n, current))
        if done == all_operations:
            return True
    return False


def first_fault(operations: list[Operation], value: str) -> Operation | None:
    """Returns the earliest operation, by the time of its answer, for which the history up to that answer is
    not linearizable; None if the whole history is. Raises SearchLimitError.
    """
    if linearizable(operations, value):
        return None
    ended = sorted((o for o in operations if not math.isinf(o.end_us)), key=lambda o: o.end_us)
    low, high = 0, len(ended)
    while low < high:
        middle = (low + high) // 2
        until_us = ended[middle].end_us
        called = [o for o in operations if o.call_us <= until_us]
        truncated = [
            o if o.end_us <= until_us else _without_answer(o)
            for o in called
            if o.writes or o.end_us <= until_us
        ]
        if linearizable(truncated, value):
            low = middle + 1
        else:
            high = middle
    return ended[min(low, len(ended) - 1)]


def _without_answer(op: Operation) -> Operation:
    return Operation(op.call_us, math.inf, op.writes, op.value, op.label)
