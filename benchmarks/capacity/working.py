"""Computes a row from a measurement: the fit, the figures at the three fleet sizes and the verdict."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from msgspec import structs

from benchmarks.capacity.fit import Fit, fit_curve, line_or_constant
from benchmarks.capacity.record import HOLDS, NOT_MEASURED, Measurement, Record, Row
from benchmarks.capacity.target import LIMITS, TARGETS, Target

NO_LIMIT = "no limit stated"
BEST_FIT = "line or constant"
# A fit whose relative error at a sample exceeds this is a poor basis for extrapolation.
POOR_FIT_RESIDUAL = 0.5
FigureFunction = Callable[[Fit, Target], float]


@dataclass(frozen=True, slots=True)
class CostLimit:
    """Unit and upper limit of a cost; `limit` 0 if the operators state none. `limit_of`: text that explains
    the limit.
    """

    unit: str
    limit: float = 0.0
    limit_of: str = ""


BYTES_LIMIT = CostLimit("bytes/s", LIMITS.bytes_per_s, "8 KB/s at a node, in and out")
CORE_LIMIT = CostLimit("of a core", LIMITS.core, "2.4% of a core at a node")
MEMORY_LIMIT = CostLimit("MB", LIMITS.memory_mb, "32 MB at a node")
# Also the limit of the time in which shards are placed after a change.
CONFIG_PROPAGATION_LIMIT = CostLimit("s", LIMITS.config_propagation_s, "8 s, everywhere")
DELIVERY_TIME_LIMIT = CostLimit("s", LIMITS.delivery_s, "390 ms for 99 in 100")
# The operators state no time for membership to converge; a minute is assumed.
MEMBERSHIP_CONVERGENCE_LIMIT = CostLimit("s", 60.0, "a minute, assumed")
LINK_LIMIT = CostLimit("bytes/s", 125e6, "1 Gbit/s, assumed")
# A process runs on one core.
WHOLE_CORE_LIMIT = CostLimit("of a core", 1.0, "one core: a process runs on one")


@dataclass(frozen=True, slots=True)
class RescaledSize:
    """Converts the measured sizes to another quantity over which the fit is made, for example requests per
    second instead of nodes.
    """

    size_name: str
    convert: Callable[[float], float]


class MissingMeasurement(Exception):
    """The record has no measurement of this name."""


def fit_by_name(record: Record, name: str, kind: str = BEST_FIT) -> Fit:
    """Returns the fit of a measurement. Raises MissingMeasurement."""
    return fit_measurement(find_measurement(record, name), kind)


def find_measurement(record: Record, name: str) -> Measurement:
    """Returns the measurement of this name. Raises MissingMeasurement."""
    found = record.measurement(name)
    if found is None:
        raise MissingMeasurement(name)
    return found


def fit_measurement(measurement: Measurement, kind: str = BEST_FIT) -> Fit:
    if kind == BEST_FIT:
        return line_or_constant(measurement.sizes, measurement.values)
    return fit_curve(kind, measurement.sizes, measurement.values)


def verdict(ratio: float | None) -> str:
    if ratio is None:
        return NO_LIMIT
    return HOLDS if ratio <= 1.0 else f"short by {format_number(ratio)} times"


def format_number(number: float) -> str:
    """Formats a number with three significant digits; numbers from 100 are rounded to integers with thousands
    separators.
    """
    if number == 0 or abs(number) >= 100:
        return f"{number:,.0f}"
    return f"{number:.3g}"


def make_row(
    record: Record,
    measurement: str | Measurement,
    figure_at: FigureFunction,
    *,
    role: str,
    cost: str,
    cost_limit: CostLimit,
    mechanism: str,
    arithmetic: str,
    kind: str = BEST_FIT,
    rescale: RescaledSize | None = None,
    estimated: bool = False,
    why: str = "",
) -> Row:
    """Returns the row of a measurement, or an unmeasured row if the record does not have the measurement.

    `figure_at` computes the figure from a fit and a target. `rescale` converts the measured sizes
    before the fit. `estimated`: the parts were measured, but the whole was not run.
    """
    try:
        selected = find_measurement(record, measurement) if isinstance(measurement, str) else measurement
        if rescale is not None:
            selected = structs.replace(
                selected, sizes=[rescale.convert(size) for size in selected.sizes], size=rescale.size_name
            )
        fit = fit_measurement(selected, kind)
        figures = [figure_at(fit, target) for target in TARGETS]
    except MissingMeasurement as error:
        return unmeasured_row(role, cost, cost_limit, mechanism, f"measurement {error} is not in the file")
    ratios = [figure / cost_limit.limit for figure in figures] if cost_limit.limit else []
    verdict_text = verdict(ratios[1] if ratios else None)
    if fit.residual > POOR_FIT_RESIDUAL:
        verdict_text += f", by a fit that misses by {fit.residual:.0%}"
    return Row(
        role=role,
        cost=cost,
        unit=cost_limit.unit,
        mechanism=mechanism,
        slope=describe_slope(fit, selected),
        sizes=selected.sizes,
        values=selected.values,
        fit=fit,
        arithmetic=arithmetic,
        figures=figures,
        limit=cost_limit.limit,
        limit_of=cost_limit.limit_of,
        ratios=ratios,
        verdict=f"{NOT_MEASURED} as a whole; reckoned: {verdict_text}" if estimated else verdict_text,
        why=why,
    )


def at_node_count(fit: Fit, target: Target) -> float:
    """Returns the value of the fit at the number of nodes of the target."""
    return fit.at(target.nodes)


def describe_slope(fit: Fit, measurement: Measurement) -> str:
    if fit.kind == "constant":
        return f"{format_number(fit.intercept)} {measurement.unit}, flat"
    variable = {"log": f"ln({measurement.size})", "square": f"({measurement.size}) squared"}.get(
        fit.kind, measurement.size
    )
    offset = f"{format_number(fit.intercept)} + " if fit.intercept else ""
    return f"{offset}{format_number(fit.slope)} {measurement.unit} * {variable}"


def unmeasured_row(role: str, cost: str, cost_limit: CostLimit, mechanism: str, why: str) -> Row:
    return Row(
        role=role,
        cost=cost,
        unit=cost_limit.unit,
        mechanism=mechanism,
        limit=cost_limit.limit,
        limit_of=cost_limit.limit_of,
        why=why,
    )
