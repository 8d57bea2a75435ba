"""How a row is worked out of measurements: its fit, its figures at three sizes of the fleet, its verdict."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from msgspec import structs

from benchmarks.capacity.fit import Fit, fitted, line_or_constant
from benchmarks.capacity.record import HOLDS, NOT_MEASURED, Measurement, Record, Row
from benchmarks.capacity.target import LIMITS, TARGETS, Target

NO_LIMIT = "no limit stated"
BEST = "line or constant"
# A fit that misses a sample by more than this part of it says little of sizes beyond.
POOR_FIT = 0.5
At = Callable[[Fit, Target], float]


@dataclass(frozen=True, slots=True)
class Bound:
    """What a cost is counted in, and how much is allowed; `limit` 0: the operators state none."""

    unit: str
    limit: float = 0.0
    limit_of: str = ""


BYTES = Bound("bytes/s", LIMITS.bytes_s, "8 KB/s at a node, in and out")
CORE = Bound("of a core", LIMITS.core, "2.4% of a core at a node")
MEMORY = Bound("MB", LIMITS.memory_mb, "32 MB at a node")
IN_FORCE = Bound("s", LIMITS.in_force_s, "8 s, everywhere")
DELIVERED = Bound("s", LIMITS.delivery_s, "390 ms for 99 in 100")
# The operators state no time for these; a fleet is to know itself again within a minute.
AWARE = Bound("s", 60.0, "a minute, assumed")
LINK = Bound("bytes/s", 125e6, "1 Gbit/s, assumed")
# One process runs on one core.
WHOLE_CORE = Bound("of a core", 1.0, "one core: a process runs on one")


@dataclass(frozen=True, slots=True)
class Resized:
    """Another size, as it follows from the one measured."""

    counted: str
    of: Callable[[float], float]


class Missing(Exception):
    """A measurement that is not in the file."""


def fit_of(record: Record, name: str, kind: str = BEST) -> Fit:
    """Raises Missing."""
    return fit_samples(samples(record, name), kind)


def samples(record: Record, name: str) -> Measurement:
    """Raises Missing."""
    found = record.measurement(name)
    if found is None:
        raise Missing(name)
    return found


def fit_samples(measurement: Measurement, kind: str = BEST) -> Fit:
    if kind == BEST:
        return line_or_constant(measurement.sizes, measurement.values)
    return fitted(kind, measurement.sizes, measurement.values)


def verdict(ratio: float | None) -> str:
    if ratio is None:
        return NO_LIMIT
    return HOLDS if ratio <= 1.0 else f"short by {short(ratio)} times"


def short(number: float) -> str:
    """Three digits that say something, never a power of ten for what is large."""
    if number == 0 or abs(number) >= 100:
        return f"{number:,.0f}"
    return f"{number:.3g}"


def row(
    record: Record,
    measurement: str | Measurement,
    at: At,
    *,
    role: str,
    cost: str,
    bound: Bound,
    mechanism: str,
    arithmetic: str,
    kind: str = BEST,
    by: Resized | None = None,
    reckoned: bool = False,
    why: str = "",
) -> Row:
    """`at` gives the figure for a fit and a target. `by`: the fit is by this instead of the size measured.
    `reckoned`: the parts were measured, the whole was not run.
    """
    try:
        found = samples(record, measurement) if isinstance(measurement, str) else measurement
        if by is not None:
            found = structs.replace(found, sizes=[by.of(size) for size in found.sizes], size=by.counted)
        fit = fit_samples(found, kind)
        figures = [at(fit, target) for target in TARGETS]
    except Missing as missing:
        return not_measured(role, cost, bound, mechanism, f"measurement {missing} is not in the file")
    ratios = [figure / bound.limit for figure in figures] if bound.limit else []
    said = verdict(ratios[1] if ratios else None)
    if fit.residual > POOR_FIT:
        said += f", by a fit that misses by {fit.residual:.0%}"
    return Row(
        role=role,
        cost=cost,
        unit=bound.unit,
        mechanism=mechanism,
        slope=slope_in_words(fit, found),
        sizes=found.sizes,
        values=found.values,
        fit=fit,
        arithmetic=arithmetic,
        figures=figures,
        limit=bound.limit,
        limit_of=bound.limit_of,
        ratios=ratios,
        verdict=f"{NOT_MEASURED} as a whole; reckoned: {said}" if reckoned else said,
        why=why,
    )


def by_nodes(fit: Fit, target: Target) -> float:
    """The fit at the number of nodes."""
    return fit.at(target.nodes)


def slope_in_words(fit: Fit, found: Measurement) -> str:
    if fit.kind == "constant":
        return f"{short(fit.intercept)} {found.unit}, flat"
    shaped = {"log": f"ln({found.size})", "square": f"({found.size}) squared"}.get(fit.kind, found.size)
    start = f"{short(fit.intercept)} + " if fit.intercept else ""
    return f"{start}{short(fit.slope)} {found.unit} * {shaped}"


def not_measured(role: str, cost: str, bound: Bound, mechanism: str, why: str) -> Row:
    return Row(
        role=role,
        cost=cost,
        unit=bound.unit,
        mechanism=mechanism,
        limit=bound.limit,
        limit_of=bound.limit_of,
        why=why,
    )
