"""Least-squares fits of a few samples, and their largest relative error."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from statistics import fmean

import msgspec

# A line that changes by at most this fraction of the mean value over the measured sizes is replaced by a
# constant.
FLAT_CHANGE_RATIO = 0.05


class Fit(msgspec.Struct, frozen=True):
    """y = intercept + slope * g(x), with g by `kind`: `constant` (slope 0), `line` (x), `log` (ln x),
    `square` (x squared), `through` (x, intercept 0). `residual` is the largest error relative to the measured
    value.
    """

    kind: str
    intercept: float
    slope: float
    residual: float

    def at(self, x: float) -> float:
        return self.intercept + self.slope * BASIS_FUNCTIONS[self.kind](x)


BASIS_FUNCTIONS: dict[str, Callable[[float], float]] = {
    "constant": lambda x: 0.0,
    "line": lambda x: x,
    "through": lambda x: x,
    "log": math.log,
    "square": lambda x: x * x,
}


def fit_curve(kind: str, sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fits a curve of this kind by least squares. Raises ValueError for fewer than two sizes or if the
    number of values differs. At least two sizes must differ, except for `constant` and `through`.
    """
    if len(sizes) != len(values) or len(sizes) < 2:
        raise ValueError(
            f"{kind} fit needs at least two sizes and one value per size, "
            f"got {len(sizes)} sizes and {len(values)} values"
        )
    basis = [BASIS_FUNCTIONS[kind](x) for x in sizes]
    if kind == "constant":
        intercept, slope = fmean(values), 0.0
    elif kind == "through":
        intercept = 0.0
        slope = sum(x * y for x, y in zip(basis, values, strict=True)) / sum(x * x for x in basis)
    else:
        mean_basis, mean_value = fmean(basis), fmean(values)
        basis_variation = sum((x - mean_basis) ** 2 for x in basis)
        slope = (
            sum((x - mean_basis) * (y - mean_value) for x, y in zip(basis, values, strict=True))
            / basis_variation
        )
        intercept = mean_value - slope * mean_basis
    curve = Fit(kind, intercept, slope, 0.0)
    return Fit(kind, intercept, slope, largest_relative_error(curve, sizes, values))


def largest_relative_error(fit: Fit, sizes: Sequence[float], values: Sequence[float]) -> float:
    """Returns the largest error relative to the measured value."""
    return max(abs(fit.at(x) - y) / max(abs(y), 1e-12) for x, y in zip(sizes, values, strict=True))


def line_or_constant(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fits a constant if the line changes by at most the fraction `FLAT_CHANGE_RATIO` of the mean value over
    the sizes, else the line.
    """
    line = fit_curve("line", sizes, values)
    change = abs(line.slope) * (max(sizes) - min(sizes))
    return fit_curve("constant", sizes, values) if change <= FLAT_CHANGE_RATIO * abs(fmean(values)) else line
