"""Fits of few samples by least squares, and how far they miss."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from statistics import fmean

import msgspec

# A straight line whose slope changes the value by less than this over the sizes measured is a constant.
FLAT = 0.05


class Fit(msgspec.Struct, frozen=True):
    """y = intercept + slope * g(x), with g by `kind`: `constant` (slope 0), `line` (x), `log` (ln x),
    `square` (x squared), `through` (x, intercept 0). `residual` is the largest miss as a part of the value
    measured.
    """

    kind: str
    intercept: float
    slope: float
    residual: float

    def at(self, x: float) -> float:
        return self.intercept + self.slope * SHAPES[self.kind](x)


SHAPES: dict[str, Callable[[float], float]] = {
    "constant": lambda x: 0.0,
    "line": lambda x: x,
    "through": lambda x: x,
    "log": math.log,
    "square": lambda x: x * x,
}


def fitted(kind: str, sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Least squares. Raises ValueError for fewer than two samples or unequal counts."""
    if len(sizes) != len(values) or len(sizes) < 2:
        raise ValueError(f"{len(sizes)} sizes and {len(values)} values")
    shaped = [SHAPES[kind](x) for x in sizes]
    if kind == "constant":
        intercept, slope = fmean(values), 0.0
    elif kind == "through":
        intercept = 0.0
        slope = sum(x * y for x, y in zip(shaped, values, strict=True)) / sum(x * x for x in shaped)
    else:
        middle, level = fmean(shaped), fmean(values)
        spread = sum((x - middle) ** 2 for x in shaped)
        slope = sum((x - middle) * (y - level) for x, y in zip(shaped, values, strict=True)) / spread
        intercept = level - slope * middle
    without = Fit(kind, intercept, slope, 0.0)
    return Fit(kind, intercept, slope, residual(without, sizes, values))


def residual(fit: Fit, sizes: Sequence[float], values: Sequence[float]) -> float:
    """The largest miss, as a part of the value measured."""
    return max(abs(fit.at(x) - y) / max(abs(y), 1e-12) for x, y in zip(sizes, values, strict=True))


def line_or_constant(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """A constant where the line's rise over the sizes measured is below `FLAT` of the mean, else the line."""
    line = fitted("line", sizes, values)
    rise = abs(line.slope) * (max(sizes) - min(sizes))
    return fitted("constant", sizes, values) if rise <= FLAT * abs(fmean(values)) else line
